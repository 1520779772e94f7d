#include "state/incarnation.h"

/// A number beyond this is no time of day in milliseconds.
static const int64_t BIRTH_MOST_MS = 100000000000000;

bool
inc_is_birth (int64_t born_ms)
{
  return born_ms > 0 && born_ms <= BIRTH_MOST_MS;
}

/// An older birth than the one that is known.
static inc_verdict_t
judge_older (inc_belief_t *belief, uint64_t born_ms)
{
  if (belief->older_ms != born_ms)
    belief->older_told = 0;
  belief->older_ms = born_ms;
  belief->older_told++;
  if (belief->older_told < INC_INSIST)
    return INC_STALE;
  *belief = (inc_belief_t){ .born_ms = born_ms };
  return INC_ANOTHER;
}

inc_verdict_t
inc_judge (inc_belief_t *belief, uint64_t born_ms)
{
  if (born_ms == 0)
    return INC_SAME;
  if (belief->born_ms > 0 && born_ms < belief->born_ms)
    return judge_older (belief, born_ms);
  bool is_same = belief->born_ms == 0 || born_ms == belief->born_ms;
  *belief = (inc_belief_t){ .born_ms = born_ms };
  return is_same ? INC_SAME : INC_ANOTHER;
}
