#include "coordination/origins.h"

#include <stdlib.h>

struct org_entry
{
  uint64_t stream;
  org_origin_t origin;
  uint64_t expires_ms;
  org_entry_t *older;
  org_entry_t *newer;
};

/// Entry in packed form.
typedef struct
{
  uint64_t stream;
  org_origin_t origin;
  uint64_t ttl_ms;
} packed_t;

void
org_table_init (org_table_t *table)
{
  *table = (org_table_t){ 0 };
}

static void
entry_unlink (org_table_t *table, org_entry_t *entry)
{
  if (entry->older != NULL)
    entry->older->newer = entry->newer;
  else
    table->oldest = entry->newer;
  if (entry->newer != NULL)
    entry->newer->older = entry->older;
  else
    table->newest = entry->older;
  entry->older = entry->newer = NULL;
}

static void
entry_append (org_table_t *table, org_entry_t *entry)
{
  entry->older = table->newest;
  if (table->newest != NULL)
    table->newest->newer = entry;
  else
    table->oldest = entry;
  table->newest = entry;
}

static void
entry_remove (org_table_t *table, org_entry_t *entry)
{
  entry_unlink (table, entry);
  kb_map_remove (&table->entries, entry->stream);
  free (entry);
}

void
org_table_finish (org_table_t *table)
{
  while (table->oldest != NULL)
    entry_remove (table, table->oldest);
  kb_map_finish (&table->entries);
}

void
org_put (org_table_t *table, uint64_t stream, const org_origin_t *origin,
         uint64_t ttl_ms, uint64_t now_ms)
{
  org_entry_t *entry = kb_map_get (&table->entries, stream);
  if (entry != NULL)
    entry_unlink (table, entry);
  else
    {
      if (table->entries.len >= ORG_MAX_ENTRIES)
        entry_remove (table, table->oldest);
      entry = kb_alloc (sizeof *entry);
      entry->stream = stream;
      kb_map_put (&table->entries, stream, entry);
    }
  if (ttl_ms > ORG_MAX_TTL_MS)
    ttl_ms = ORG_MAX_TTL_MS;
  bool is_known = entry->expires_ms > now_ms && entry->origin.software != 0;
  if (!is_known)
    entry->origin = *origin;
  if (entry->expires_ms < now_ms + ttl_ms)
    entry->expires_ms = now_ms + ttl_ms;
  entry_append (table, entry);
}

uint64_t
org_get (const org_table_t *table, uint64_t stream, uint64_t now_ms,
         org_origin_t *out)
{
  const org_entry_t *entry = kb_map_get (&table->entries, stream);
  if (entry == NULL || entry->expires_ms <= now_ms)
    return 0;
  *out = entry->origin;
  return entry->expires_ms - now_ms;
}

void
org_expire (org_table_t *table, uint64_t now_ms)
{
  org_entry_t *newer;
  for (org_entry_t *entry = table->oldest; entry != NULL; entry = newer)
    {
      newer = entry->newer;
      if (entry->expires_ms <= now_ms)
        entry_remove (table, entry);
    }
}

void
org_each (const org_table_t *table, uint64_t now_ms,
          void (*visit) (void *arg, uint64_t stream,
                         const org_origin_t *origin, uint64_t ttl_ms),
          void *arg)
{
  for (const org_entry_t *e = table->oldest; e != NULL; e = e->newer)
    if (e->expires_ms > now_ms)
      visit (arg, e->stream, &e->origin, e->expires_ms - now_ms);
}

void
org_pack (uint64_t stream, const org_origin_t *origin, uint64_t ttl_ms,
          kb_buf_t *out)
{
  packed_t packed = { .stream = stream, .origin = *origin, .ttl_ms = ttl_ms };
  kb_buf_append (out, &packed, sizeof packed);
}

bool
org_unpack (org_table_t *table, kb_slice_t packed, uint64_t now_ms)
{
  packed_t entry;
  if (packed.len_bytes % sizeof entry != 0)
    return false;
  for (uint32_t at = 0; at < packed.len_bytes; at += sizeof entry)
    {
      memcpy (&entry, packed.ptr + at, sizeof entry);
      if (entry.stream == 0 || entry.origin.service == 0)
        return false;
    }
  for (uint32_t at = 0; at < packed.len_bytes; at += sizeof entry)
    {
      memcpy (&entry, packed.ptr + at, sizeof entry);
      org_put (table, entry.stream, &entry.origin, entry.ttl_ms, now_ms);
    }
  return true;
}
