/// @file budget.h
/// One gateway's share of the retry budget of a fleet: in any window, retries
/// at a service stay below a ratio of its requests plus a slack that is
/// divided among all gateways. No I/O.
///
/// The slack is a token bucket that starts empty, so that a gateway that
/// restarts, however often, has at most its share in any window: what its
/// previous process spent isn't known, and counts as everything.
#ifndef KB_COORDINATION_BUDGET_H
#define KB_COORDINATION_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  BUD_BUCKETS = 20, ///< Buckets of the sliding window.
};

typedef struct
{
  double ratio;
  double slack; ///< Retries of the whole fleet.
  uint32_t window_ms;
} bud_options_t;

typedef struct
{
  bud_options_t options;
  uint32_t requests[BUD_BUCKETS];
  double retries[BUD_BUCKETS]; ///< Taken from the ratio of the requests.
  uint64_t bucket;             ///< Number of the current bucket.
  double slack;                ///< Retries of the slack that are available.
  uint64_t refilled_ms;        ///< When `slack` was last refilled.
} bud_budget_t;

void bud_budget_init (bud_budget_t *budget, const bud_options_t *options,
                      uint64_t now_ms);
/// Change the options. Unless the window changes, what was spent in it remains
/// spent; else the budget begins anew, empty.
void bud_set_options (bud_budget_t *budget, const bud_options_t *options,
                      uint64_t now_ms);
void bud_record_request (bud_budget_t *budget, uint64_t now_ms);
/// Spend one retry of the budget.
/// @param gateway_count  Gateways that share the slack; zero: unknown, which
///                       allows none of it.
/// @return               False if the budget is used up.
bool bud_take_retry (bud_budget_t *budget, uint32_t gateway_count,
                     uint64_t now_ms);
/// @return  Retries that are available now.
double bud_remaining (bud_budget_t *budget, uint32_t gateway_count,
                      uint64_t now_ms);

#endif
