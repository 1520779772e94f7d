#include "state/limit.h"

void
lim_bucket_init (lim_bucket_t *bucket, double rate_per_s, double burst,
                 uint64_t now_ms)
{
  *bucket = (lim_bucket_t){ .tokens = burst,
                            .burst = burst,
                            .rate_per_s = rate_per_s,
                            .filled_ms = now_ms };
}

bool
lim_bucket_take (lim_bucket_t *bucket, uint64_t now_ms,
                 uint64_t *retry_after_ms)
{
  *retry_after_ms = 0;
  if (bucket->rate_per_s <= 0)
    return true;
  double add
      = (double)(now_ms - bucket->filled_ms) / 1000 * bucket->rate_per_s;
  bucket->tokens = bucket->tokens + add < bucket->burst ? bucket->tokens + add
                                                        : bucket->burst;
  bucket->filled_ms = now_ms;
  if (bucket->tokens >= 1)
    {
      bucket->tokens -= 1;
      return true;
    }
  *retry_after_ms
      = (uint64_t)((1 - bucket->tokens) / bucket->rate_per_s * 1000) + 1;
  return false;
}

void
lim_retry_init (lim_retry_t *budget, double share, double most)
{
  *budget = (lim_retry_t){ .credit = most, .share = share, .most = most };
}

void
lim_retry_note_first (lim_retry_t *budget)
{
  double next = budget->credit + budget->share;
  budget->credit = next < budget->most ? next : budget->most;
}

bool
lim_retry_take (lim_retry_t *budget)
{
  if (budget->credit < 1)
    return false;
  budget->credit -= 1;
  return true;
}
