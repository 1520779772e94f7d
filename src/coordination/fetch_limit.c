#include "coordination/fetch_limit.h"

/// Assumed before the first fetch ends.
static const double DEFAULT_FETCH_MS = 250;
static const double MEAN_FETCH_WEIGHT = 0.2;
/// Fetches up to this much longer than the shortest count as full speed:
/// reports arrive every 25 ms, which blurs the measured time.
static const double MAX_FULL_SPEED_RATIO = 1.15;
/// Ten fetches at full speed add one to the limit. A slow one takes off a
/// third, so that an overloaded store recovers within a second.
static const double INCREASE_STEP = 0.1;
static const double DECREASE_FACTOR = 0.7;
/// Raises the shortest time by a tenth over a hundred fetches, since the
/// adapters of another model may be larger.
static const double MIN_FETCH_DRIFT = 1.001;

void
ftl_limit_init (ftl_limit_t *limit, uint32_t max_fetches)
{
  *limit = (ftl_limit_t){ .max_fetches = max_fetches > 0 ? max_fetches : 1,
                          .limit = 1,
                          .mean_fetch_ms = DEFAULT_FETCH_MS };
}

void
ftl_limit_record_fetch (ftl_limit_t *limit, double duration_ms)
{
  limit->mean_fetch_ms
      += MEAN_FETCH_WEIGHT * (duration_ms - limit->mean_fetch_ms);
  limit->min_fetch_ms *= MIN_FETCH_DRIFT;
  if (limit->min_fetch_ms <= 0 || duration_ms < limit->min_fetch_ms)
    limit->min_fetch_ms = duration_ms;
  if (duration_ms <= MAX_FULL_SPEED_RATIO * limit->min_fetch_ms)
    limit->limit += INCREASE_STEP;
  else
    limit->limit *= DECREASE_FACTOR;
  if (limit->limit > limit->max_fetches)
    limit->limit = limit->max_fetches;
  if (limit->limit < 1)
    limit->limit = 1;
}

uint32_t
ftl_limit_count (const ftl_limit_t *limit)
{
  return (uint32_t)limit->limit;
}

uint64_t
ftl_limit_wait_ms (const ftl_limit_t *limit, uint32_t ahead)
{
  uint32_t turns = ahead / ftl_limit_count (limit) + 1;
  return (uint64_t)(turns * limit->mean_fetch_ms);
}
