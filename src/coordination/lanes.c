#include "coordination/lanes.h"

/// Before a fetch was measured.
static const double FETCH_DEFAULT_MS = 250;
static const double FETCH_WEIGHT = 0.2;
/// Fetches up to this much over the best are at full speed: reports are read
/// every 25 ms.
static const double FULL_SPEED = 1.15;
/// Ten fetches at full speed open one more lane; one that was slowed closes a
/// third of them, so that a store that all press on is left again within a
/// second.
static const double OPEN_STEP = 0.1;
static const double CLOSE_FACTOR = 0.7;
/// The best time is forgotten by a tenth in a hundred fetches: another model's
/// adapters may be larger.
static const double BEST_DRIFT = 1.001;

void
lns_lanes_init (lns_lanes_t *lanes, uint32_t most)
{
  *lanes = (lns_lanes_t){ .most = most > 0 ? most : 1,
                          .lanes = 1,
                          .fetch_ms = FETCH_DEFAULT_MS };
}

void
lns_learn (lns_lanes_t *lanes, double took_ms)
{
  lanes->fetch_ms += FETCH_WEIGHT * (took_ms - lanes->fetch_ms);
  lanes->best_ms *= BEST_DRIFT;
  if (lanes->best_ms <= 0 || took_ms < lanes->best_ms)
    lanes->best_ms = took_ms;
  if (took_ms <= FULL_SPEED * lanes->best_ms)
    lanes->lanes += OPEN_STEP;
  else
    lanes->lanes *= CLOSE_FACTOR;
  if (lanes->lanes > lanes->most)
    lanes->lanes = lanes->most;
  if (lanes->lanes < 1)
    lanes->lanes = 1;
}

uint32_t
lns_count (const lns_lanes_t *lanes)
{
  return (uint32_t)lanes->lanes;
}

uint64_t
lns_wait_ms (const lns_lanes_t *lanes, uint32_t ahead)
{
  uint32_t turns = ahead / lns_count (lanes) + 1;
  return (uint64_t)(turns * lanes->fetch_ms);
}
