#include "state/seen.h"

bool
sen_is_new (sen_table_t *table, uint64_t hash, uint64_t now_ms)
{
  uint32_t oldest = 0;
  for (uint32_t i = 0; i < SEN_SLOTS; i++)
    {
      if (table->hashes[i] == hash)
        {
          bool is_forgotten = now_ms - table->seen_ms[i] >= SEN_FORGET_MS;
          table->seen_ms[i] = now_ms;
          return is_forgotten;
        }
      if (table->seen_ms[i] < table->seen_ms[oldest])
        oldest = i;
    }
  table->hashes[oldest] = hash;
  table->seen_ms[oldest] = now_ms;
  return true;
}
