#include "state/map.h"

#include <assert.h>
#include <stdlib.h>

#include "state/buf.h"

enum
{
  MAP_MIN_CAP = 16
};

void
kb_map_init (kb_map_t *map)
{
  *map = (kb_map_t){ 0 };
}

void
kb_map_finish (kb_map_t *map)
{
  free (map->entries);
  kb_map_init (map);
}

static uint32_t
map_home (const kb_map_t *map, uint64_t key)
{
  return (uint32_t)((key * 0x9E3779B97F4A7C15ULL) >> 32) & (map->cap - 1);
}

static kb_map_entry_t *
map_find (const kb_map_t *map, uint64_t key)
{
  uint32_t at = map_home (map, key);
  while (map->entries[at].key != 0 && map->entries[at].key != key)
    at = (at + 1) & (map->cap - 1);
  return &map->entries[at];
}

void *
kb_map_get (const kb_map_t *map, uint64_t key)
{
  if (map->cap == 0)
    return NULL;
  kb_map_entry_t *entry = map_find (map, key);
  return entry->key == key ? entry->value : NULL;
}

static void
map_grow (kb_map_t *map)
{
  kb_map_t grown = { 0 };
  grown.cap = map->cap == 0 ? MAP_MIN_CAP : map->cap * 2;
  grown.entries = kb_alloc (grown.cap * sizeof *grown.entries);
  for (uint32_t i = 0; i < map->cap; i++)
    if (map->entries[i].key != 0)
      *map_find (&grown, map->entries[i].key) = map->entries[i];
  grown.len = map->len;
  free (map->entries);
  *map = grown;
}

void
kb_map_put (kb_map_t *map, uint64_t key, void *value)
{
  assert (key != 0);
  if ((map->len + 1) * 4 > map->cap * 3)
    map_grow (map);
  kb_map_entry_t *entry = map_find (map, key);
  if (entry->key == 0)
    map->len++;
  entry->key = key;
  entry->value = value;
}

void *
kb_map_remove (kb_map_t *map, uint64_t key)
{
  if (map->cap == 0)
    return NULL;
  kb_map_entry_t *entry = map_find (map, key);
  if (entry->key != key || key == 0)
    return NULL;
  void *value = entry->value;
  uint32_t hole = (uint32_t)(entry - map->entries);
  uint32_t at = hole;
  for (;;)
    {
      at = (at + 1) & (map->cap - 1);
      if (map->entries[at].key == 0)
        break;
      uint32_t home = map_home (map, map->entries[at].key);
      uint32_t distance_home = (at - home) & (map->cap - 1);
      uint32_t distance_hole = (at - hole) & (map->cap - 1);
      if (distance_home < distance_hole)
        continue;
      map->entries[hole] = map->entries[at];
      hole = at;
    }
  map->entries[hole] = (kb_map_entry_t){ 0 };
  map->len--;
  return value;
}

void *
kb_map_next (const kb_map_t *map, uint32_t *at)
{
  while (*at < map->cap)
    {
      kb_map_entry_t *entry = &map->entries[(*at)++];
      if (entry->key != 0)
        return entry->value;
    }
  return NULL;
}
