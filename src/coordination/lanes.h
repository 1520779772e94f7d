/// @file lanes.h
/// How many adapters one engine fetches from the weight store at one time. All
/// engines share the store: up to some number of fetches each runs at full
/// speed, beyond it all take longer in proportion. That number is not told;
/// how long the own fetches take shows whether it is exceeded. No I/O.
#ifndef KB_COORDINATION_LANES_H
#define KB_COORDINATION_LANES_H

#include <stdint.h>

typedef struct
{
  uint32_t most;
  double lanes;    ///< At least one; the fraction counts towards the next.
  double fetch_ms; ///< Mean time of a fetch, the newest weigh most.
  double best_ms;  ///< Shortest time of one; zero: none yet.
} lns_lanes_t;

void lns_lanes_init (lns_lanes_t *lanes, uint32_t most);
/// A fetch arrived.
void lns_learn (lns_lanes_t *lanes, double took_ms);
/// @return  Fetches that may be under way at one time, one at least.
uint32_t lns_count (const lns_lanes_t *lanes);
/// @return  Time until a fetch behind `ahead` others has arrived,
/// milliseconds.
uint64_t lns_wait_ms (const lns_lanes_t *lanes, uint32_t ahead);

#endif
