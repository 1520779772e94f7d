/// @file limit.h
/// Workspace limits and the retry budget of an entry: token buckets and
/// counts.
#ifndef KB_STATE_LIMIT_H
#define KB_STATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/// A bucket of tokens that fills at a steady rate.
typedef struct
{
  double tokens;
  double burst;
  double rate_per_s; ///< Zero: no limit.
  uint64_t refilled_ms;
} lim_bucket_t;

void lim_bucket_init (lim_bucket_t *bucket, double rate_per_s, double burst,
                      uint64_t now_ms);
/// Take one token.
/// @param retry_after_ms  When refused: when a token will be there.
bool lim_bucket_take (lim_bucket_t *bucket, uint64_t now_ms,
                      uint64_t *retry_after_ms);
/// @return  Time until a number of tokens is there that may exceed the burst.
uint64_t lim_bucket_wait_ms (const lim_bucket_t *bucket, double tokens,
                             uint64_t now_ms);
/// Go on at another rate with the tokens that are there.
void lim_bucket_set_rate (lim_bucket_t *bucket, double rate_per_s,
                          double burst, uint64_t now_ms);

/// Retries may be at max_credit a ratio of recent first attempts, so that
/// overload is not multiplied by the attempts to escape it.
typedef struct
{
  double credit;
  double ratio; ///< Credit each first attempt adds.
  double max_credit;
} lim_retry_budget_t;

void lim_retry_init (lim_retry_budget_t *budget, double ratio,
                     double max_credit);
void lim_retry_record_first_attempt (lim_retry_budget_t *budget);
/// @return  True when one more retry is allowed.
bool lim_retry_take (lim_retry_budget_t *budget);

#endif
