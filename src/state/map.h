/// @file map.h
/// Open-addressing map from a non-zero 64-bit key to a pointer. Linear
/// probing with backward-shift deletion, so lookups stay short after many
/// removals. The map does not own its values.
#ifndef KB_STATE_MAP_H
#define KB_STATE_MAP_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint64_t key; ///< Zero marks an empty slot.
  void *value;
} kb_map_entry_t;

typedef struct
{
  kb_map_entry_t *entries;
  uint32_t cap; ///< A power of two, or zero before the first insertion.
  uint32_t len;
} kb_map_t;

void kb_map_init (kb_map_t *map);
void kb_map_finish (kb_map_t *map);
/// @return  The value, or NULL when the key is absent.
void *kb_map_get (const kb_map_t *map, uint64_t key);
/// Insert or replace.
/// @param key  Must not be zero.
void kb_map_put (kb_map_t *map, uint64_t key, void *value);
/// @return  The removed value, or NULL.
void *kb_map_remove (kb_map_t *map, uint64_t key);
/// Iterate, starting with `*at` = 0. The map must not change meanwhile.
/// @return  The next value, or NULL at the end.
void *kb_map_next (const kb_map_t *map, uint32_t *at);

#endif
