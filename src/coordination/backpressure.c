#include "coordination/backpressure.h"

static bool
is_same (const bkp_limit_t *a, const bkp_limit_t *b)
{
  return a->is_limited == b->is_limited && a->per_s == b->per_s;
}

bool
bkp_limit_told (bkp_limit_t *limit, const bkp_limit_t *told)
{
  if (told->at_ms <= limit->at_ms)
    return false;
  bool is_change = !is_same (limit, told);
  *limit = *told;
  return is_change;
}

bool
bkp_limit_heard (bkp_limit_t *limit, double per_s, uint64_t sent_ms,
                 uint64_t now_ms)
{
  bkp_limit_t stated = { .is_limited = per_s >= 0,
                         .per_s = per_s >= 0 ? per_s : 0,
                         // An answer without a limit may have been overtaken
                         // by one that states it, but was not given before
                         // its request was sent.
                         .at_ms = per_s >= 0 ? now_ms : sent_ms };
  return bkp_limit_told (limit, &stated);
}
