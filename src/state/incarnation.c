#include "state/incarnation.h"

/// Early in the year 5138; larger numbers are not times in milliseconds.
static const int64_t MAX_BIRTH_MS = 100000000000000;

bool
inc_is_valid_birth (int64_t born_ms)
{
  return born_ms > 0 && born_ms <= MAX_BIRTH_MS;
}

/// Apply a report of a birth older than the known one.
static inc_verdict_t
observe_older_birth (inc_tracker_t *tracker, uint64_t born_ms)
{
  if (tracker->older_born_ms != born_ms)
    tracker->older_report_count = 0;
  tracker->older_born_ms = born_ms;
  tracker->older_report_count++;
  if (tracker->older_report_count < INC_MIN_OLDER_REPORTS)
    return INC_STALE;
  *tracker = (inc_tracker_t){ .born_ms = born_ms };
  return INC_NEW;
}

inc_verdict_t
inc_observe_birth (inc_tracker_t *tracker, uint64_t born_ms)
{
  if (born_ms == 0)
    return INC_SAME;
  if (tracker->born_ms > 0 && born_ms < tracker->born_ms)
    return observe_older_birth (tracker, born_ms);
  bool is_same = tracker->born_ms == 0 || born_ms == tracker->born_ms;
  *tracker = (inc_tracker_t){ .born_ms = born_ms };
  return is_same ? INC_SAME : INC_NEW;
}
