/// @file entry_rebuild.c
/// Rebuild of claim shards that an entry takes over, from the records of
/// agents and entries.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "protocol/fence.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  REBUILD_RETRY_MS = 500,
};

void
ent_rebuild_merge (ent_entry_t *entry, kb_slice_t records)
{
  clm_record_t record;
  uint64_t now = tmr_now_ms ();
  while (clm_record_unpack (&records, &record))
    if (entry->claim_owner.shards[clm_shard (record.key)].state
        == CLM_SHARD_REBUILDING)
      clm_owner_merge (&entry->claim_owner, &record, now);
}

static void
rebuild_add_source (ent_rebuild_t *b, const char *name, bool is_entry,
                    bool has_left)
{
  b->sources
      = kb_realloc (b->sources, (b->source_count + 1) * sizeof *b->sources);
  ent_rebuild_source_t *source = &b->sources[b->source_count++];
  *source
      = (ent_rebuild_source_t){ .is_entry = is_entry, .has_left = has_left };
  snprintf (source->name, sizeof source->name, "%s", name);
}

/// An agent whose record cannot be read is one that has not left.
static void
rebuild_read_roster_item (ent_entry_t *entry, const kvc_item_t *item)
{
  const char *name = item->key + strlen (FNC_KEY_PREFIX);
  if (!set_name_is_valid (kb_slice_str (name)))
    {
      MET_INC ("knapweedbay_entries_ignored_total", "reason=\"roster\"");
      return;
    }
  fnc_record_t record = { 0 };
  if (!fnc_record_parse (item->value, &record))
    {
      MET_INC ("knapweedbay_entries_ignored_total", "reason=\"roster\"");
      log_write (LOG_WARN, "claims",
                 "The record of %s on the roster cannot be read.", name);
    }
  rebuild_add_source (&entry->rebuild, name, false, record.has_left);
}

static void
on_roster_read (void *arg, kb_status_t status, const kvc_item_t *items,
                uint32_t count)
{
  ent_entry_t *entry = arg;
  ent_rebuild_t *b = &entry->rebuild;
  if (status != KB_OK || !b->is_active)
    return; // ent_rebuild_check_progress retries.
  b->source_count = 0;
  for (uint32_t i = 0; i < count; i++)
    rebuild_read_roster_item (entry, &items[i]);
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->is_entry && vm->state == MEM_UP)
      rebuild_add_source (b, vm->name, true, false);
  b->is_roster_known = true;
  b->last_request_ms = 0;
}

void
ent_rebuild_start (ent_entry_t *entry, const uint64_t *epochs)
{
  ent_rebuild_t *b = &entry->rebuild;
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    if (epochs[s] != 0)
      {
        clm_owner_begin_rebuild (&entry->claim_owner, s, epochs[s]);
        b->epochs[s] = epochs[s];
      }
  // Records that stopped agents sent to this entry; the other entries are
  // queried for theirs. Without them a key that ran at a replaced agent would
  // run again.
  for (uint32_t i = 0; i < entry->inherited_count; i++)
    ent_rebuild_merge (entry, (kb_slice_t){ entry->inherited[i].bytes,
                                            entry->inherited[i].len_bytes });
  b->is_active = true;
  b->is_roster_known = false;
  b->is_complete = true;
  b->id = dmn_random () | 1;
  b->started_ms = tmr_now_ms ();
  b->last_request_ms = b->started_ms;
  kvc_range (&entry->daemon->kv, FNC_KEY_PREFIX, on_roster_read, entry);
}

/// @return  True if the source can send no more records.
static bool
source_is_settled (ent_entry_t *entry, ent_rebuild_source_t *source,
                   uint64_t now)
{
  if (source->has_replied || source->has_left)
    return true;
  ent_vm_t *vm
      = kb_map_get (&entry->vms, dmn_name_id (kb_slice_str (source->name)));
  bool is_gone = vm == NULL ? entry->is_list_known
                                  && now - entry->rebuild.started_ms
                                         > entry->member_options.gone_after_ms
                            : vm->state == MEM_GONE;
  if (!is_gone)
    return false;
  // Its records are lost, as are the former owner's.
  if (!source->is_entry)
    entry->rebuild.is_complete = false;
  return true;
}

static void
rebuild_request_records (ent_entry_t *entry)
{
  ent_rebuild_t *b = &entry->rebuild;
  msg_t msg = { .type = MSG_RECOVER };
  msg.recover = (msg_recover_t){
    .id = b->id, .epochs = { (const char *)b->epochs, sizeof b->epochs }
  };
  for (uint32_t i = 0; i < b->source_count; i++)
    if (!b->sources[i].has_replied)
      dmn_send (entry->daemon, b->sources[i].name, &msg);
}

void
ent_rebuild_check_progress (ent_entry_t *entry, uint64_t now)
{
  ent_rebuild_t *b = &entry->rebuild;
  if (!b->is_roster_known)
    {
      if (now - b->last_request_ms > REBUILD_RETRY_MS)
        {
          b->last_request_ms = now;
          kvc_range (&entry->daemon->kv, FNC_KEY_PREFIX, on_roster_read,
                     entry);
        }
      return;
    }
  bool is_settled = true;
  for (uint32_t i = 0; i < b->source_count; i++)
    is_settled &= source_is_settled (entry, &b->sources[i], now);
  if (!is_settled)
    {
      if (now - b->last_request_ms > REBUILD_RETRY_MS)
        {
          b->last_request_ms = now;
          rebuild_request_records (entry);
        }
      return;
    }
  uint32_t count = 0;
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    if (b->epochs[s] != 0)
      {
        clm_owner_end_rebuild (&entry->claim_owner, s, b->is_complete, now);
        count++;
      }
  log_write (b->is_complete ? LOG_INFO : LOG_WARN, "claims",
             "Took ownership of %u shards after a rebuild of %" PRIu64
             " ms%s.",
             count, now - b->started_ms,
             b->is_complete ? ""
                            : "; keys without a record have an unknown "
                              "outcome for one claim window");
  free (b->sources);
  *b = (ent_rebuild_t){ 0 };
}

void
ent_rebuild_receive_records (ent_entry_t *entry, kb_slice_t from,
                             const msg_records_t *records)
{
  ent_rebuild_t *b = &entry->rebuild;
  if (!b->is_active || records->id != b->id)
    return;
  ent_rebuild_merge (entry, records->records);
  for (uint32_t i = 0; i < b->source_count; i++)
    {
      ent_rebuild_source_t *source = &b->sources[i];
      if (source->has_replied
          || !kb_slice_equal (kb_slice_str (source->name), from))
        continue;
      source->has_replied = true;
      uint64_t window_ms = (uint64_t)entry->daemon->settings.claim_window_ms;
      // A runner that lost its records within the claim window can't report
      // what it ran before, and neither can the former owner.
      if (!source->is_entry
          && records->memory_since_wall_ms + window_ms > tmr_wall_ms ())
        b->is_complete = false;
    }
}
