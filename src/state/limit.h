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
  uint64_t filled_ms;
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

/// Retries may be at most a share of recent first attempts, so that overload
/// is not multiplied by the attempts to escape it.
typedef struct
{
  double credit;
  double share; ///< Credit each first attempt adds.
  double most;
} lim_retry_t;

void lim_retry_init (lim_retry_t *budget, double share, double most);
void lim_retry_note_first (lim_retry_t *budget);
/// @return  True when one more retry is allowed.
bool lim_retry_take (lim_retry_t *budget);

#endif
