#include "coordination/rto.h"

#include <math.h>

/// Constants of RFC 6298: smoothing of the mean and of the deviation, and
/// deviations that the timeout is above the mean.
static const double MEAN_WEIGHT = 0.125;
static const double DEVIATION_WEIGHT = 0.25;
static const double DEVIATIONS = 4;

enum
{
  /// A lost answer does not show that the peer is slow; backoff starts with
  /// the third consecutive call without an answer.
  TOLERATED_LOSSES = 2,
};

void
rto_init (rto_timeout_t *timeout, uint32_t min_ms, uint32_t max_ms)
{
  *timeout = (rto_timeout_t){ .min_ms = min_ms, .max_ms = max_ms };
}

void
rto_answered (rto_timeout_t *timeout, uint64_t duration_ms)
{
  double sample_ms = (double)duration_ms;
  timeout->unanswered = 0;
  if (timeout->mean_ms <= 0)
    {
      timeout->mean_ms = sample_ms > 0 ? sample_ms : 1;
      timeout->deviation_ms = sample_ms / 2;
      return;
    }
  timeout->deviation_ms
      += DEVIATION_WEIGHT
         * (fabs (sample_ms - timeout->mean_ms) - timeout->deviation_ms);
  timeout->mean_ms += MEAN_WEIGHT * (sample_ms - timeout->mean_ms);
}

void
rto_unanswered (rto_timeout_t *timeout)
{
  timeout->unanswered++;
}

uint32_t
rto_ms (const rto_timeout_t *timeout)
{
  if (timeout->mean_ms <= 0)
    return timeout->max_ms;
  double ms = timeout->mean_ms + DEVIATIONS * timeout->deviation_ms;
  if (ms < timeout->min_ms)
    ms = timeout->min_ms;
  for (uint32_t i = TOLERATED_LOSSES;
       i < timeout->unanswered && ms < timeout->max_ms; i++)
    ms *= 2;
  return ms < timeout->max_ms ? (uint32_t)ms : timeout->max_ms;
}
