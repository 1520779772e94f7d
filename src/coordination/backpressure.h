/// @file backpressure.h
/// What a target asks of its callers in the heads of its answers. Answers
/// overtake each other, and several callers hear the same target, so each
/// statement has a time, and the newest one holds. No I/O; time is an
/// argument, from a clock that also counts while the VM is suspended.
#ifndef KB_COORDINATION_BACKPRESSURE_H
#define KB_COORDINATION_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

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
bool bkp_limit_heard (bkp_limit_t *limit, double per_s, uint64_t sent_ms,
                      uint64_t now_ms);
/// Take what another caller of the target knows, by the own clock.
/// @return  As above.
bool bkp_limit_told (bkp_limit_t *limit, const bkp_limit_t *told);

#endif
