/// @file quota_level.h
/// How much of a quota is used beyond its rate: it rises with each use, and
/// falls with the rate.
#ifndef KB_COORDINATION_QUOTA_LEVEL_H
#define KB_COORDINATION_QUOTA_LEVEL_H

#include "coordination/quota.h"

typedef struct
{
  double level; ///< At `at_ms`.
  uint64_t at_ms;
} qlv_level_t;

/// @return  What it is now.
double qlv_now (const qlv_level_t *level, double rate_per_s, uint64_t now_ms);
/// Note a use, or with a negative amount what was not used after all.
void qlv_add (qlv_level_t *level, double amount, double rate_per_s,
              uint64_t now_ms);
/// @return  How long until it has fallen to a value.
uint64_t qlv_time_to_ms (const qlv_level_t *level, double value,
                         double rate_per_s, uint64_t now_ms);

#endif
