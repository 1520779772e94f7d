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
  uint64_t service;
  uint64_t software;
  uint64_t instance;
  uint64_t ttl_ms;
} record_t;

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

/// Fill in what is not known yet of the origin of a stream.
static void
origin_merge (org_origin_t *known, const org_origin_t *other)
{
  uint64_t adapter_version = known->adapter_version != 0
                                 ? known->adapter_version
                                 : other->adapter_version;
  if (known->software == 0)
    *known = *other;
  known->adapter_version = adapter_version;
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
  if (entry->expires_ms > now_ms)
    origin_merge (&entry->origin, origin);
  else
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
org_packed_clear (org_packed_t *packed)
{
  kb_buf_clear (&packed->records);
  kb_buf_clear (&packed->adapter_versions);
}

void
org_packed_finish (org_packed_t *packed)
{
  kb_buf_finish (&packed->records);
  kb_buf_finish (&packed->adapter_versions);
}

void
org_pack (uint64_t stream, const org_origin_t *origin, uint64_t ttl_ms,
          org_packed_t *out)
{
  record_t record = { .stream = stream,
                      .service = origin->service,
                      .software = origin->software,
                      .instance = origin->instance,
                      .ttl_ms = ttl_ms };
  kb_buf_append (&out->records, &record, sizeof record);
  kb_buf_append (&out->adapter_versions, &origin->adapter_version,
                 sizeof origin->adapter_version);
}

/// @return  Whether all records can be read, and have versions or none has.
static bool
is_well_formed (kb_slice_t records, kb_slice_t adapter_versions)
{
  if (records.len_bytes % sizeof (record_t) != 0)
    return false;
  uint32_t count = records.len_bytes / (uint32_t)sizeof (record_t);
  if (adapter_versions.len_bytes != 0
      && adapter_versions.len_bytes != count * sizeof (uint64_t))
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      record_t record;
      memcpy (&record, records.ptr + i * sizeof record, sizeof record);
      if (record.stream == 0 || record.service == 0)
        return false;
    }
  return true;
}

bool
org_unpack (org_table_t *table, kb_slice_t records,
            kb_slice_t adapter_versions, uint64_t now_ms)
{
  if (!is_well_formed (records, adapter_versions))
    return false;
  uint32_t count = records.len_bytes / (uint32_t)sizeof (record_t);
  for (uint32_t i = 0; i < count; i++)
    {
      record_t record;
      memcpy (&record, records.ptr + i * sizeof record, sizeof record);
      org_origin_t origin = { .service = record.service,
                              .software = record.software,
                              .instance = record.instance };
      if (adapter_versions.len_bytes > 0)
        memcpy (&origin.adapter_version,
                adapter_versions.ptr + i * sizeof origin.adapter_version,
                sizeof origin.adapter_version);
      org_put (table, record.stream, &origin, record.ttl_ms, now_ms);
    }
  return true;
}
