#include "state/workspace.h"

#include <stdlib.h>
#include <string.h>

#include "state/buf.h"

enum
{
  INITIAL_WORKSPACES = 16,
  INITIAL_KEYS = 32,
  /// Keeps the probe sequences short.
  INDEX_SLOTS_PER_KEY = 2,
};

void
wsp_finish (wsp_table_t *table)
{
  for (uint32_t i = 0; i < table->count; i++)
    free (table->items[i].name);
  free (table->items);
  free (table->keys);
  free (table->index_slots);
  *table = (wsp_table_t){ 0 };
}

/// @return  A capacity with room for at least one more item.
static uint32_t
next_capacity (uint32_t cap, uint32_t initial)
{
  return cap == 0 ? initial : 2 * cap;
}

wsp_workspace_t *
wsp_add (wsp_table_t *table, const char *name)
{
  if (table->count == table->cap)
    {
      table->cap = next_capacity (table->cap, INITIAL_WORKSPACES);
      table->items
          = kb_realloc (table->items, table->cap * sizeof *table->items);
    }
  wsp_workspace_t *item = &table->items[table->count++];
  *item = (wsp_workspace_t){ .name = kb_strdup (name) };
  return item;
}

void
wsp_add_key (wsp_table_t *table, const uint8_t digest[WSP_DIGEST_BYTES])
{
  if (table->key_count == table->key_cap)
    {
      table->key_cap = next_capacity (table->key_cap, INITIAL_KEYS);
      table->keys
          = kb_realloc (table->keys, table->key_cap * sizeof *table->keys);
    }
  wsp_key_t *key = &table->keys[table->key_count++];
  memcpy (key->digest, digest, sizeof key->digest);
  key->workspace = table->count - 1;
}

/// @return  The slot where the search for a digest begins. Digests are
/// uniform,
///          so their first bytes serve as the hash.
static uint32_t
first_index_slot (const wsp_table_t *table, const uint8_t *digest)
{
  uint32_t start;
  memcpy (&start, digest, sizeof start);
  return start & (table->index_slot_count - 1);
}

/// Compares in constant time, independent of where two digests differ.
static bool
is_digest_equal (const uint8_t *a, const uint8_t *b)
{
  uint8_t difference = 0;
  for (uint32_t i = 0; i < WSP_DIGEST_BYTES; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

/// @return  Index of the key with that digest, or WSP_NONE.
static uint32_t
key_find (const wsp_table_t *table, const uint8_t *digest)
{
  if (table->index_slot_count == 0)
    return WSP_NONE;
  uint32_t mask = table->index_slot_count - 1;
  for (uint32_t slot = first_index_slot (table, digest);
       table->index_slots[slot] != 0; slot = (slot + 1) & mask)
    if (is_digest_equal (table->keys[table->index_slots[slot] - 1].digest,
                         digest))
      return table->index_slots[slot] - 1;
  return WSP_NONE;
}

static void
index_key (wsp_table_t *table, uint32_t index)
{
  const uint8_t *digest = table->keys[index].digest;
  if (key_find (table, digest) != WSP_NONE)
    return;
  uint32_t mask = table->index_slot_count - 1;
  uint32_t slot = first_index_slot (table, digest);
  while (table->index_slots[slot] != 0)
    slot = (slot + 1) & mask;
  table->index_slots[slot] = index + 1;
}

void
wsp_seal (wsp_table_t *table)
{
  if (table->key_count == 0)
    return;
  table->index_slot_count = 1;
  while (table->index_slot_count < INDEX_SLOTS_PER_KEY * table->key_count)
    table->index_slot_count *= 2;
  size_t bytes = table->index_slot_count * sizeof *table->index_slots;
  table->index_slots = kb_alloc (bytes);
  memset (table->index_slots, 0, bytes);
  for (uint32_t i = 0; i < table->key_count; i++)
    index_key (table, i);
}

const wsp_workspace_t *
wsp_find (const wsp_table_t *table, const uint8_t digest[WSP_DIGEST_BYTES])
{
  uint32_t key = key_find (table, digest);
  return key == WSP_NONE ? NULL : &table->items[table->keys[key].workspace];
}
