#include "relay/versions.h"

#include <stdio.h>
#include <stdlib.h>

void
ver_table_finish (ver_table_t *table)
{
  uint32_t at = 0;
  for (ver_item_t *item = kb_map_next (&table->items, &at); item != NULL;
       item = kb_map_next (&table->items, &at))
    free (item);
  kb_map_finish (&table->items);
}

uint64_t
ver_key (kb_slice_t model, kb_slice_t adapter, char *name, size_t name_bytes)
{
  snprintf (name, name_bytes, "%.*s/%.*s", (int)model.len_bytes, model.ptr,
            (int)adapter.len_bytes, adapter.ptr);
  return egn_adapter_key (kb_slice_str (name));
}

ver_item_t *
ver_table_update (ver_table_t *table, kb_slice_t model, kb_slice_t adapter,
                  uint32_t version)
{
  char name[EGN_KEY_BYTES];
  uint64_t key = ver_key (model, adapter, name, sizeof name);
  ver_item_t *item = kb_map_get (&table->items, key);
  if (item == NULL)
    {
      item = kb_alloc (sizeof *item);
      *item = (ver_item_t){ .key = key };
      kb_slice_copy (model, item->model, sizeof item->model);
      kb_slice_copy (adapter, item->adapter, sizeof item->adapter);
      kb_map_put (&table->items, key, item);
    }
  if (version <= item->version)
    return NULL;
  table->version_sum += version - item->version;
  item->previous_version = item->version;
  item->version = version;
  return item;
}

const ver_item_t *
ver_find (const ver_table_t *table, uint64_t key)
{
  return kb_map_get (&table->items, key);
}

uint32_t
ver_newest (const ver_table_t *table, uint64_t key)
{
  const ver_item_t *item = ver_find (table, key);
  return item == NULL ? 0 : item->version;
}
