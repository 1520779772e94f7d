/// @file recent.h
/// Adapters that an engine held recently. Engines keep copies of them and load
/// them again in a tenth of the time, without the weight store. Without this,
/// many fetches under heavy load bring an engine an adapter of which another
/// engine has a copy.
#ifndef KB_GATEWAY_RECENT_H
#define KB_GATEWAY_RECENT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/map.h"

enum
{
  /// Adapters remembered per engine. Engines keep about two hundred copies; a
  /// remembered copy that is gone costs an ordinary fetch.
  RCT_MAX_ADAPTERS = 160,
};

typedef struct
{
  kb_map_t versions; ///< By adapter key; version plus one, as a pointer.
  uint64_t keys[RCT_MAX_ADAPTERS]; ///< Ring, in the order of insertion.
  uint32_t next;
} rct_adapters_t;

void rct_adapters_finish (rct_adapters_t *recent);
/// Forget all adapters, after a restart of the engine: its copies are gone.
void rct_adapters_clear (rct_adapters_t *recent);
/// Add an adapter that the engine holds now.
void rct_add (rct_adapters_t *recent, uint64_t key, uint32_t version);
/// @return  Whether the engine recently held this version or a newer one.
bool rct_was_held (const rct_adapters_t *recent, uint64_t key,
                   uint32_t version);

#endif
