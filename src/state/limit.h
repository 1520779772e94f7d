/// @file limit.h
/// Token buckets for rate limits, and the retry budget of an entry VM.
#ifndef KB_STATE_LIMIT_H
#define KB_STATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/// A token bucket, refilled at a constant rate.
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
/// @param retry_after_ms  Receives the time until a token is available; zero
///                        when one was taken.
/// @return                False when the bucket holds no token.
bool lim_bucket_take (lim_bucket_t *bucket, uint64_t now_ms,
                      uint64_t *retry_after_ms);
/// @return  Time until the bucket would hold a number of tokens, which may
///          exceed the burst.
uint64_t lim_bucket_wait_ms (const lim_bucket_t *bucket, double tokens,
                             uint64_t now_ms);
/// Change the rate and the burst, keeping the tokens up to the new burst.
void lim_bucket_set_rate (lim_bucket_t *bucket, double rate_per_s,
                          double burst, uint64_t now_ms);

/// Limits retries to a ratio of recent first attempts, so that retries do not
/// amplify an overload.
typedef struct
{
  double credit;
  double ratio; ///< Credit that each first attempt adds.
  double max_credit;
} lim_retry_budget_t;

void lim_retry_init (lim_retry_budget_t *budget, double ratio,
                     double max_credit);
void lim_retry_record_first_attempt (lim_retry_budget_t *budget);
/// Take the credit of one retry.
/// @return  False when the budget is exhausted.
bool lim_retry_take (lim_retry_budget_t *budget);

#endif
