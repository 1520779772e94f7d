#include "coordination/budget.h"

#include <string.h>

/// Fraction of the budget that is used. The bound is checked at the targets,
/// which count requests slightly later, and gateways differ in their share.
static const double USABLE_FRACTION = 0.7;

void
bud_budget_init (bud_budget_t *budget, const bud_options_t *options)
{
  *budget = (bud_budget_t){ .options = *options };
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

void
bud_record_request (bud_budget_t *budget, uint64_t now_ms)
{
  budget_advance (budget, now_ms);
  budget->requests[budget->bucket % BUD_BUCKETS]++;
}

double
bud_remaining (bud_budget_t *budget, uint32_t gateway_count, uint64_t now_ms)
{
  budget_advance (budget, now_ms);
  double requests = 0;
  double retries = 0;
  for (uint32_t i = 0; i < BUD_BUCKETS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  double slack
      = budget->options.slack / (gateway_count > 0 ? gateway_count : 1);
  return USABLE_FRACTION * (budget->options.ratio * requests + slack)
         - retries;
}

bool
bud_take_retry (bud_budget_t *budget, uint32_t gateway_count, uint64_t now_ms)
{
  if (bud_remaining (budget, gateway_count, now_ms) < 1)
    return false;
  budget->retries[budget->bucket % BUD_BUCKETS]++;
  return true;
}
