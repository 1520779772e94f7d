/// @file backpressure.h
/// Rate limits that targets state in the headers of their answers. Answers
/// overtake each other, and several callers receive answers of the same
/// target, so each limit has a time, and the newest one applies. No I/O; time
/// is an argument, from a clock that also counts while the VM is suspended.
#ifndef KB_COORDINATION_BACKPRESSURE_H
#define KB_COORDINATION_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/quota.h"
#include "state/limit.h"

/// Rate of requests that a target accepts from all callers together.
typedef struct
{
  bool is_limited;
  double per_s;   ///< Zero unless limited.
  uint64_t at_ms; ///< When it was known to apply; zero: unknown.
} bkp_limit_t;

/// Apply the limit in the headers of an answer.
/// @param per_s    Negative: no limit is stated, all requests are accepted.
/// @param sent_ms  When the request was sent.
/// @return         Whether the limit changed.
bool bkp_limit_apply_answer (bkp_limit_t *limit, double per_s,
                             uint64_t sent_ms, uint64_t now_ms);
/// Apply the limit known to another caller if it is newer.
/// @param other  Its time is by the local clock.
/// @return       Whether the limit changed.
bool bkp_limit_merge (bkp_limit_t *limit, const bkp_limit_t *other);

/// Maximum overshoot of a target's limit under any failure: over 4 s, 50 %
/// plus five requests.
extern const quo_tolerance_t bkp_limit_tolerance;
/// @return  Requests per second for a limited target. A target with a limit of
///          zero still gets a few, since it lifts the limit in an answer.
double bkp_limit_rate_per_s (const bkp_limit_t *limit);

/// Enforces the limit of a target that is called through this process only.
typedef struct
{
  bkp_limit_t limit;
  lim_bucket_t starts;
} bkp_meter_t;

/// Apply a limit if it is newer.
/// @param now_ms  By the clock that is used for starts of requests.
/// @return        Whether the limit changed.
bool bkp_meter_merge (bkp_meter_t *meter, const bkp_limit_t *other,
                      uint64_t now_ms);
/// @param ahead  Requests queued before.
/// @return       Time until one more request may start.
uint64_t bkp_meter_wait_ms (const bkp_meter_t *meter, uint32_t ahead,
                            uint64_t now_ms);
/// A request starts.
void bkp_meter_start (bkp_meter_t *meter, uint64_t now_ms);

#endif
