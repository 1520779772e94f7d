#include "state/limit.h"

void
lim_bucket_init (lim_bucket_t *bucket, double rate_per_s, double burst,
                 uint64_t now_ms)
{
  *bucket = (lim_bucket_t){ .tokens = burst,
                            .burst = burst,
                            .rate_per_s = rate_per_s,
                            .refilled_ms = now_ms };
}

enum
{
  MS_PER_S = 1000,
};

static double
tokens_at (const lim_bucket_t *bucket, uint64_t now_ms)
{
  double added
      = (double)(now_ms - bucket->refilled_ms) * bucket->rate_per_s / MS_PER_S;
  double tokens = bucket->tokens + added;
  return tokens < bucket->burst ? tokens : bucket->burst;
}

uint64_t
lim_bucket_wait_ms (const lim_bucket_t *bucket, double tokens, uint64_t now_ms)
{
  double missing = tokens - tokens_at (bucket, now_ms);
  if (bucket->rate_per_s <= 0 || missing <= 0)
    return 0;
  return (uint64_t)(missing * MS_PER_S / bucket->rate_per_s) + 1;
}

void
lim_bucket_set_rate (lim_bucket_t *bucket, double rate_per_s, double burst,
                     uint64_t now_ms)
{
  double tokens = tokens_at (bucket, now_ms);
  *bucket = (lim_bucket_t){ .tokens = tokens < burst ? tokens : burst,
                            .burst = burst,
                            .rate_per_s = rate_per_s,
                            .refilled_ms = now_ms };
}

bool
lim_bucket_take (lim_bucket_t *bucket, uint64_t now_ms,
                 uint64_t *retry_after_ms)
{
  *retry_after_ms = 0;
  if (bucket->rate_per_s <= 0)
    return true;
  bucket->tokens = tokens_at (bucket, now_ms);
  bucket->refilled_ms = now_ms;
  if (bucket->tokens >= 1)
    {
      bucket->tokens -= 1;
      return true;
    }
  *retry_after_ms = lim_bucket_wait_ms (bucket, 1, now_ms);
  return false;
}

void
lim_retry_init (lim_retry_budget_t *budget, double ratio, double max_credit)
{
  *budget = (lim_retry_budget_t){ .credit = max_credit,
                                  .ratio = ratio,
                                  .max_credit = max_credit };
}

void
lim_retry_record_first_attempt (lim_retry_budget_t *budget)
{
  double next = budget->credit + budget->ratio;
  budget->credit = next < budget->max_credit ? next : budget->max_credit;
}

bool
lim_retry_take (lim_retry_budget_t *budget)
{
  if (budget->credit < 1)
    return false;
  budget->credit -= 1;
  return true;
}
