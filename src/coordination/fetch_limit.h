/// @file limit.h
/// How many adapters one engine fetches from the weight store at one time. All
/// engines share the store: up to some number of fetches each runs at full
/// speed, beyond it all take longer in proportion. That number is not told;
/// how long the own fetches take shows whether it is exceeded. No I/O.
#ifndef KB_COORDINATION_FETCH_LIMIT_H
#define KB_COORDINATION_FETCH_LIMIT_H

#include <stdint.h>

typedef struct
{
  uint32_t max_fetches;
  double limit; ///< At least one; the fraction counts towards the next.
  double
      mean_fetch_ms;   ///< Mean time of a fetch, the newest weigh max_fetches.
  double min_fetch_ms; ///< Shortest time of one; zero: none yet.
} ftl_limit_t;

void ftl_limit_init (ftl_limit_t *limit, uint32_t max_fetches);
/// A fetch arrived.
void ftl_limit_record_fetch (ftl_limit_t *limit, double took_ms);
/// @return  Fetches that may be under way at one time, one at least.
uint32_t ftl_limit_count (const ftl_limit_t *limit);
/// @return  Time until a fetch behind `ahead` others has arrived,
/// milliseconds.
uint64_t ftl_limit_wait_ms (const ftl_limit_t *limit, uint32_t ahead);

#endif
