/// @file budget.h
/// The retry budget of a fleet, as one gateway keeps its share of it: in any
/// window, retries at a service stay below a ratio of its requests plus a
/// slack that all gateways share. No I/O.
#ifndef KB_COORDINATION_BUDGET_H
#define KB_COORDINATION_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  BUD_BUCKETS = 20, ///< Steps a window is counted in.
};

typedef struct
{
  double ratio;
  double slack; ///< Of the whole fleet.
  uint32_t window_ms;
} bud_options_t;

typedef struct
{
  bud_options_t options;
  uint32_t requests[BUD_BUCKETS];
  uint32_t retries[BUD_BUCKETS];
  uint64_t bucket; ///< Number of the present bucket.
} bud_budget_t;

void bud_budget_init (bud_budget_t *budget, const bud_options_t *options);
void bud_record_request (bud_budget_t *budget, uint64_t now_ms);
/// Take one repeat.
/// @param gateway_count  Gateways that draw on the budget, at least one.
/// @return         False when it is used up.
bool bud_take_retry (bud_budget_t *budget, uint32_t gateway_count,
                     uint64_t now_ms);
/// @return  Repeats that are left now.
double bud_remaining (bud_budget_t *budget, uint32_t gateway_count,
                      uint64_t now_ms);

#endif
