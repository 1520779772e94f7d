/// @file quota_level.h
/// Leaky bucket: how much of a quota has been used beyond its rate. The level
/// rises with each use and falls at the rate.
#ifndef KB_COORDINATION_QUOTA_LEVEL_H
#define KB_COORDINATION_QUOTA_LEVEL_H

#include "coordination/quota.h"

typedef struct
{
  double level; ///< At `at_ms`.
  uint64_t at_ms;
} qlv_level_t;

/// @return  The present level.
double qlv_now (const qlv_level_t *level, double rate_per_s, uint64_t now_ms);
/// Adds use.
/// @param amount  Negative for credit that was not spent; the level stays at
///                zero or above.
void qlv_add (qlv_level_t *level, double amount, double rate_per_s,
              uint64_t now_ms);
/// @return  Time in ms until the level has fallen to `value`.
uint64_t qlv_time_to_ms (const qlv_level_t *level, double value,
                         double rate_per_s, uint64_t now_ms);

#endif
