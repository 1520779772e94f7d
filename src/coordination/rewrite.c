#include "coordination/rewrite.h"

#include <stddef.h>

enum
{
  /// Time for the process that wrote a record, before others write it again.
  OTHERS_DELAY_MS = 2000,
  RETRY_MS = 2000,
  /// Writes are spread over this time, and more for each gateway: all of them
  /// see the restore within a second, and the store limits its writes.
  SPREAD_MS = 400,
  SPREAD_PER_GATEWAY_MS = 20,
};

static rwr_item_t *
find (rwr_table_t *table, uint64_t key)
{
  for (uint32_t i = 0; i < RWR_MAX_ITEMS; i++)
    if (table->items[i].key == key)
      return &table->items[i];
  return NULL;
}

static rwr_item_t *
find_or_add (rwr_table_t *table, uint64_t key)
{
  rwr_item_t *item = find (table, key);
  if (item != NULL)
    return item;
  item = find (table, 0);
  if (item == NULL)
    item = &table->items[table->next++ % RWR_MAX_ITEMS];
  *item = (rwr_item_t){ .key = key };
  return item;
}

static void
record_stamp (rwr_item_t *item, uint64_t stamp)
{
  if (stamp > item->stamp)
    item->stamp = stamp;
  if (item->stamp >= item->lost_stamp)
    item->due_ms = 0;
}

void
rwr_listed (rwr_table_t *table, uint64_t key, uint64_t revision,
            uint64_t stamp)
{
  rwr_item_t *item = find_or_add (table, key);
  item->revision = revision;
  record_stamp (item, stamp);
}

void
rwr_written (rwr_table_t *table, uint64_t key, uint64_t stamp)
{
  rwr_item_t *item = find_or_add (table, key);
  item->is_own = true;
  record_stamp (item, stamp);
}

void
rwr_restored (rwr_table_t *table, uint64_t now_ms, uint32_t gateways,
              uint32_t random)
{
  uint64_t spread_ms = SPREAD_MS + (uint64_t)gateways * SPREAD_PER_GATEWAY_MS;
  for (uint32_t i = 0; i < RWR_MAX_ITEMS; i++)
    {
      rwr_item_t *item = &table->items[i];
      if (item->key == 0)
        continue;
      if (item->stamp > item->lost_stamp)
        item->lost_stamp = item->stamp;
      item->stamp = 0;
      item->revision = 0;
      uint64_t delay_ms = (random ^ item->key) % spread_ms;
      item->due_ms = now_ms + delay_ms + (item->is_own ? 0 : OTHERS_DELAY_MS);
    }
}

uint64_t
rwr_due_ms (const rwr_table_t *table)
{
  uint64_t due_ms = UINT64_MAX;
  for (uint32_t i = 0; i < RWR_MAX_ITEMS; i++)
    if (table->items[i].due_ms > 0 && table->items[i].due_ms < due_ms)
      due_ms = table->items[i].due_ms;
  return due_ms;
}

bool
rwr_pop_due (rwr_table_t *table, uint64_t now_ms, uint64_t *key,
             uint64_t *revision)
{
  for (uint32_t i = 0; i < RWR_MAX_ITEMS; i++)
    {
      rwr_item_t *item = &table->items[i];
      if (item->due_ms == 0 || item->due_ms > now_ms)
        continue;
      item->due_ms = 0;
      *key = item->key;
      *revision = item->revision;
      return true;
    }
  return false;
}

void
rwr_retry (rwr_table_t *table, uint64_t key, uint64_t now_ms)
{
  rwr_item_t *item = find (table, key);
  if (item != NULL && item->stamp < item->lost_stamp)
    item->due_ms = now_ms + RETRY_MS;
}
