#include "coordination/quota_level.h"

enum
{
  MS_PER_S = 1000,
};

double
qlv_now (const qlv_level_t *level, double rate_per_s, uint64_t now_ms)
{
  double drained = rate_per_s * (double)(now_ms - level->at_ms) / MS_PER_S;
  return level->level > drained ? level->level - drained : 0;
}

void
qlv_add (qlv_level_t *level, double amount, double rate_per_s, uint64_t now_ms)
{
  double sum = qlv_now (level, rate_per_s, now_ms) + amount;
  *level = (qlv_level_t){ sum > 0 ? sum : 0, now_ms };
}

uint64_t
qlv_time_to_ms (const qlv_level_t *level, double value, double rate_per_s,
                uint64_t now_ms)
{
  double above = qlv_now (level, rate_per_s, now_ms) - value;
  return above > 0 ? (uint64_t)(above * MS_PER_S / rate_per_s) + 1 : 0;
}
