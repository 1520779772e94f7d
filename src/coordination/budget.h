/// @file budget.h
/// The retry budget of a fleet, as one gateway keeps its share of it: in any
/// window, repeats at a service stay below a ratio of its requests plus a
/// slack that all gateways share. No I/O.
#ifndef KB_COORDINATION_BUDGET_H
#define KB_COORDINATION_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  BUD_STEPS = 20, ///< Steps a window is counted in.
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
  uint32_t firsts[BUD_STEPS];
  uint32_t repeats[BUD_STEPS];
  uint64_t step; ///< Number of the present step.
} bud_budget_t;

void bud_budget_init (bud_budget_t *budget, const bud_options_t *options);
void bud_note_first (bud_budget_t *budget, uint64_t now_ms);
/// Take one repeat.
/// @param sharers  Gateways that draw on the budget, at least one.
/// @return         False when it is used up.
bool bud_take_repeat (bud_budget_t *budget, uint32_t sharers, uint64_t now_ms);
/// @return  Repeats that are left now.
double bud_left (bud_budget_t *budget, uint32_t sharers, uint64_t now_ms);

#endif
