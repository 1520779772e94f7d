#include "coordination/resume.h"

#include <stdbool.h>

enum
{
  PERCENT = 100,
  /// The rest of the bound is for the way to the engine and the prompt, before
  /// the run counts as begun.
  RESUME_PERCENT = 50,
};

static bool
may_begin_older (const rsm_versions_t *versions, const rsm_bounds_t *bounds,
                 uint32_t began, uint64_t now_ms)
{
  uint64_t limit_ms = bounds->version_bound_ms * RESUME_PERCENT / PERCENT;
  // When versions before the previous one were replaced isn't known any more.
  return began >= versions->previous && versions->unconfirmed_ms > 0
         && now_ms <= versions->unconfirmed_ms + limit_ms;
}

/// @return  Whether the newest version began all streams that can still be
///          continued.
static bool
is_settled (const rsm_versions_t *versions, const rsm_bounds_t *bounds,
            uint64_t now_ms)
{
  return now_ms > versions->learned_ms + bounds->version_bound_ms
                      + bounds->longest_stream_ms;
}

rsm_verdict_t
rsm_judge (const rsm_versions_t *versions, const rsm_bounds_t *bounds,
           uint32_t began, uint64_t now_ms, uint32_t *out)
{
  *out = began;
  if (began == 0 && versions->newest == 0)
    return RSM_ANY;
  if (began == 0)
    {
      *out = versions->newest;
      return is_settled (versions, bounds, now_ms) ? RSM_EXACT : RSM_UNKNOWN;
    }
  if (began >= versions->newest
      || may_begin_older (versions, bounds, began, now_ms))
    return RSM_EXACT;
  return RSM_GONE;
}

bool
rsm_is_only_version (const rsm_versions_t *versions)
{
  return versions->newest != 0 && versions->previous == 0
         && versions->unconfirmed_ms == 0;
}
