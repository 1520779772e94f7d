/// @file backpressure.h
/// What a target asks of its callers in the heads of its answers. Answers
/// overtake each other, and several callers hear the same target, so each
/// statement has a time, and the newest one holds. No I/O; time is an
/// argument, from a clock that also counts while the VM is suspended.
#ifndef KB_COORDINATION_BACKPRESSURE_H
#define KB_COORDINATION_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/quota.h"
#include "state/limit.h"

/// How many requests a target takes from all callers together.
typedef struct
{
  bool is_limited;
  double per_s;   ///< Zero unless it is limited.
  uint64_t at_ms; ///< When that was known to hold; zero: nothing is known.
} bkp_limit_t;

/// Take what the head of an answer says.
/// @param per_s    Negative: it states no limit, and takes all requests.
/// @param sent_ms  When its request was sent.
/// @return         Whether another limit, or none, holds from now on.
bool bkp_limit_apply_answer (bkp_limit_t *limit, double per_s,
                             uint64_t sent_ms, uint64_t now_ms);
/// Take what another caller of the target knows, by the own clock.
/// @return  As above.
bool bkp_limit_merge (bkp_limit_t *limit, const bkp_limit_t *other);

/// How far a target may get more than it takes, whatever fails: over 4 s, half
/// as much again and five requests.
extern const quo_tolerance_t bkp_limit_tolerance;
/// @return  What a limited target may get a second. One that takes nothing is
///          still asked now and then: it could not take the limit back.
double bkp_limit_rate_per_s (const bkp_limit_t *limit);

/// Keeps the limit of a target whose callers all pass through this process.
typedef struct
{
  bkp_limit_t limit;
  lim_bucket_t starts;
} bkp_meter_t;

/// Take what is known of the limit; an older word changes nothing.
/// @param now_ms  Of the clock that tells when requests start.
/// @return        As bkp_limit_merge.
bool bkp_meter_merge (bkp_meter_t *meter, const bkp_limit_t *other,
                      uint64_t now_ms);
/// @param ahead  Requests that start before.
/// @return       Time until one more request may start.
uint64_t bkp_meter_wait_ms (const bkp_meter_t *meter, uint32_t ahead,
                            uint64_t now_ms);
/// A request starts.
void bkp_meter_start (bkp_meter_t *meter, uint64_t now_ms);

#endif
