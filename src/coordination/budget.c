#include "coordination/budget.h"

#include <string.h>

/// Part of the budget that is used. Requests of a window are counted at the
/// targets, a little later than here, and gateways differ in their share.
static const double USED_PART = 0.7;

void
bud_budget_init (bud_budget_t *budget, const bud_options_t *options)
{
  *budget = (bud_budget_t){ .options = *options };
}

static void
budget_turn (bud_budget_t *budget, uint64_t now_ms)
{
  uint64_t step = now_ms / (budget->options.window_ms / BUD_STEPS + 1);
  uint64_t passed = step - budget->step;
  budget->step = step;
  if (passed > BUD_STEPS)
    passed = BUD_STEPS;
  for (uint64_t i = 0; i < passed; i++)
    {
      budget->firsts[(step - i) % BUD_STEPS] = 0;
      budget->repeats[(step - i) % BUD_STEPS] = 0;
    }
}

void
bud_note_first (bud_budget_t *budget, uint64_t now_ms)
{
  budget_turn (budget, now_ms);
  budget->firsts[budget->step % BUD_STEPS]++;
}

double
bud_left (bud_budget_t *budget, uint32_t sharers, uint64_t now_ms)
{
  budget_turn (budget, now_ms);
  double firsts = 0;
  double repeats = 0;
  for (uint32_t i = 0; i < BUD_STEPS; i++)
    {
      firsts += budget->firsts[i];
      repeats += budget->repeats[i];
    }
  double slack = budget->options.slack / (sharers > 0 ? sharers : 1);
  return USED_PART * (budget->options.ratio * firsts + slack) - repeats;
}

bool
bud_take_repeat (bud_budget_t *budget, uint32_t sharers, uint64_t now_ms)
{
  if (bud_left (budget, sharers, now_ms) < 1)
    return false;
  budget->repeats[budget->step % BUD_STEPS]++;
  return true;
}
