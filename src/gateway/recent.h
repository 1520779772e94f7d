/// @file recent.h
/// Adapters that an engine held not long ago. Engines keep copies of them and
/// load them again in a tenth of the time, without the weight store. Of 957
/// fetches before the loss of power on a heavy day, 104 brought to one engine
/// what another one had such a copy of.
#ifndef KB_GATEWAY_RECENT_H
#define KB_GATEWAY_RECENT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/map.h"

enum
{
  /// Adapters remembered of each engine. Engines keep about two hundred
  /// copies; one that is remembered and gone costs an ordinary fetch.
  RCT_MAX_ADAPTERS = 160,
};

typedef struct
{
  kb_map_t versions; ///< By adapter key; version plus one, as a pointer.
  uint64_t keys[RCT_MAX_ADAPTERS]; ///< In the order in which they came.
  uint32_t next;
} rct_adapters_t;

void rct_adapters_finish (rct_adapters_t *recent);
/// The engine restarted: its copies are gone.
void rct_adapters_clear (rct_adapters_t *recent);
/// The engine holds an adapter now.
void rct_add (rct_adapters_t *recent, uint64_t key, uint32_t version);
/// @return  Whether it held this version, or a newer one, not long ago.
bool rct_was_held (const rct_adapters_t *recent, uint64_t key,
                   uint32_t version);

#endif
