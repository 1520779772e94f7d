#include "coordination/budget.h"

#include <string.h>

/// Fraction of the ratio that is used. The bound is checked at the targets,
/// which count requests slightly later.
static const double USABLE_RATIO = 0.7;

/// Parts of a gateway's share of the slack: saved at most, and refilled in one
/// window. Their sum is what any window may contain; the rest is for gateways
/// that are not counted yet.
static const double SLACK_BURST = 0.4;
static const double SLACK_REFILL = 0.5;

void
bud_budget_init (bud_budget_t *budget, const bud_options_t *options,
                 uint64_t now_ms)
{
  *budget = (bud_budget_t){ .options = *options, .refilled_ms = now_ms };
}

void
bud_set_options (bud_budget_t *budget, const bud_options_t *options,
                 uint64_t now_ms)
{
  // The buckets of another window have another width.
  if (options->window_ms != budget->options.window_ms)
    bud_budget_init (budget, options, now_ms);
  budget->options = *options;
}

static void
budget_advance (bud_budget_t *budget, uint64_t now_ms)
{
  uint64_t bucket = now_ms / (budget->options.window_ms / BUD_BUCKETS + 1);
  uint64_t elapsed = bucket - budget->bucket;
  budget->bucket = bucket;
  if (elapsed > BUD_BUCKETS)
    elapsed = BUD_BUCKETS;
  for (uint64_t i = 0; i < elapsed; i++)
    {
      budget->requests[(bucket - i) % BUD_BUCKETS] = 0;
      budget->retries[(bucket - i) % BUD_BUCKETS] = 0;
    }
}

static void
refill_slack (bud_budget_t *budget, uint32_t gateway_count, uint64_t now_ms)
{
  double elapsed_windows = (double)(now_ms - budget->refilled_ms)
                           / (double)budget->options.window_ms;
  budget->refilled_ms = now_ms;
  if (gateway_count == 0)
    return;
  double share = budget->options.slack / gateway_count;
  budget->slack += SLACK_REFILL * share * elapsed_windows;
  if (budget->slack > SLACK_BURST * share)
    budget->slack = SLACK_BURST * share;
}

void
bud_record_request (bud_budget_t *budget, uint64_t now_ms)
{
  budget_advance (budget, now_ms);
  budget->requests[budget->bucket % BUD_BUCKETS]++;
}

/// @return  Retries that the requests of the window allow, less those taken.
static double
remaining_of_ratio (const bud_budget_t *budget)
{
  double remaining = 0;
  for (uint32_t i = 0; i < BUD_BUCKETS; i++)
    remaining += USABLE_RATIO * budget->options.ratio * budget->requests[i]
                 - budget->retries[i];
  return remaining > 0 ? remaining : 0;
}

double
bud_remaining (bud_budget_t *budget, uint32_t gateway_count, uint64_t now_ms)
{
  budget_advance (budget, now_ms);
  refill_slack (budget, gateway_count, now_ms);
  return remaining_of_ratio (budget) + budget->slack;
}

bool
bud_take_retry (bud_budget_t *budget, uint32_t gateway_count, uint64_t now_ms)
{
  if (bud_remaining (budget, gateway_count, now_ms) < 1)
    return false;
  double of_ratio = remaining_of_ratio (budget);
  if (of_ratio > 1)
    of_ratio = 1;
  budget->retries[budget->bucket % BUD_BUCKETS] += of_ratio;
  budget->slack -= 1 - of_ratio;
  return true;
}
