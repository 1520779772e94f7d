/// @file fetch_limit.h
/// Limit of the concurrent fetches of one engine from the weight store, with
/// additive increase and multiplicative decrease. All engines share the store:
/// up to some concurrency each fetch runs at full speed, beyond it all slow
/// down in proportion. The store does not state that concurrency, so the limit
/// follows the duration of the engine's own fetches. No I/O.
#ifndef KB_COORDINATION_FETCH_LIMIT_H
#define KB_COORDINATION_FETCH_LIMIT_H

#include <stdint.h>

typedef struct
{
  uint32_t max_fetches; ///< Upper bound of the limit.
  double limit;         ///< Concurrent fetches, one at least, with a fraction.
  double mean_fetch_ms; ///< Moving average of the fetch time.
  double min_fetch_ms;  ///< Shortest fetch time; zero: none yet.
} ftl_limit_t;

/// @param max_fetches  Upper bound of concurrent fetches; zero counts as one.
void ftl_limit_init (ftl_limit_t *limit, uint32_t max_fetches);
/// Adjust the limit to the duration of a fetch that has ended.
void ftl_limit_record_fetch (ftl_limit_t *limit, double duration_ms);
/// @return  Allowed number of concurrent fetches, one at least.
uint32_t ftl_limit_count (const ftl_limit_t *limit);
/// @param ahead  Fetches that start before.
/// @return       Milliseconds until a fetch behind these has ended.
uint64_t ftl_limit_wait_ms (const ftl_limit_t *limit, uint32_t ahead);

#endif
