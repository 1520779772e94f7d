#include "coordination/era.h"

enum
{
  /// An answer that was on its way during a restore comes once. A store that
  /// keeps answering with an earlier era was replaced.
  MAX_STALE_ANSWERS = 3,
};

static era_verdict_t
begin_era (era_tracker_t *tracker, const era_answer_t *answer)
{
  *tracker
      = (era_tracker_t){ .era = answer->era > 0 ? answer->era : tracker->era,
                         .revision = answer->as_of };
  return ERA_RESTORED;
}

static era_verdict_t
observe_stale (era_tracker_t *tracker, const era_answer_t *answer)
{
  if (++tracker->stale_count < MAX_STALE_ANSWERS)
    return ERA_STALE;
  return begin_era (tracker, answer);
}

era_verdict_t
era_observe (era_tracker_t *tracker, const era_answer_t *answer)
{
  if (tracker->revision == 0)
    {
      begin_era (tracker, answer);
      return ERA_CURRENT;
    }
  bool is_other = answer->era > 0 && answer->era != tracker->era;
  if (is_other && answer->era < tracker->era)
    return observe_stale (tracker, answer);
  if (is_other || answer->as_of < answer->known_revision)
    return begin_era (tracker, answer);
  tracker->stale_count = 0;
  if (answer->as_of > tracker->revision)
    tracker->revision = answer->as_of;
  return ERA_CURRENT;
}
