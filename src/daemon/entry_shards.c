/// @file entry_shards.c
/// Ownership of claim shards at an entry: shard map, assignment and handovers.
/// Rebuilds are in entry_rebuild.c. Claims are decided in
/// coordination/claim_owner.c.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  STARTUP_SETTLE_MS = 1500, ///< From the start to the first assignment.
  RECORD_EXPIRE_TICKS = 50,
  MAP_CHECK_TICKS = 5,
  MAP_READ_INTERVAL_MS = 200,
  ASSIGNER_SEED = 0x61737369, ///< Key by which the assigner is chosen.
  ASSIGNER_TIMEOUT_MS = 3000,
  /// Until each entry that knows takeovers has written them again to a map
  /// that was damaged; no takeovers until then.
  MAP_SETTLE_MS = 2 * ASSIGNER_TIMEOUT_MS + 4000,
};

_Static_assert((int)SHM_SHARDS == (int)CLM_SHARDS,
               "the shard map and the protocol must have the same shards");

static const char *
own_name (const ent_entry_t *entry)
{
  return entry->daemon->settings.name;
}

bool
ent_shard_is_own (const ent_entry_t *entry, const shm_shard_t *shard)
{
  return shard->incarnation == entry->daemon->incarnation
         && strcmp (shard->owner, own_name (entry)) == 0;
}

uint32_t
ent_claims_count_owned_shards (const ent_entry_t *entry)
{
  uint32_t owned_count = 0;
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    owned_count += entry->claim_owner.shards[s].state == CLM_SHARD_READY;
  return owned_count;
}

/// Take over a shard with the records that the former owner sent; this needs
/// no rebuild.
/// @return  False if it sent none.
static bool
shard_apply_handover (ent_entry_t *entry, uint32_t s)
{
  if (!entry->has_handover[s])
    return false;
  clm_owner_begin_rebuild (&entry->claim_owner, s, entry->shard_map[s].epoch);
  ent_rebuild_merge (entry, kb_buf_slice (&entry->handover[s]));
  clm_owner_end_rebuild (&entry->claim_owner, s, true, tmr_now_ms ());
  kb_buf_finish (&entry->handover[s]);
  entry->has_handover[s] = false;
  return true;
}

static bool
map_is_settling (const ent_entry_t *entry, uint64_t now)
{
  return entry->map_damaged_ms != 0
         && now - entry->map_damaged_ms < MAP_SETTLE_MS;
}

/// Replace a stored map that cannot be read by the one that is known, as after
/// the loss of takeovers. If no entry has written one in time, none knows it:
/// all shards are vacant then, at epochs above the former ones, which count
/// takeovers.
static void
map_replace_damaged (ent_entry_t *entry, const kvc_item_t *item)
{
  uint64_t now = tmr_now_ms ();
  if (!entry->is_map_damaged)
    {
      entry->is_map_damaged = true;
      entry->map_damaged_ms = now;
      MET_INC ("knapweedbay_entries_ignored_total", "reason=\"shard_map\"");
      log_write (LOG_ERROR, "claims",
                 "The stored map of shards cannot be read.");
    }
  if (!entry->is_map_known)
    {
      if (map_is_settling (entry, now))
        return;
      for (uint32_t s = 0; s < CLM_SHARDS; s++)
        entry->shard_map[s] = (shm_shard_t){ .epoch = tmr_wall_ms () };
      entry->is_map_known = true;
    }
  entry->shard_map_restore_count = entry->daemon->kv.restore_count;
  entry->shard_map_mod_revision = item->mod_revision;
  entry->is_shard_map_outdated = true;
}

void
ent_claims_apply_map_item (ent_entry_t *entry, const kvc_item_t *item)
{
  uint32_t restore_count = entry->daemon->kv.restore_count;
  bool is_known = item->mod_revision <= entry->shard_map_mod_revision
                  && restore_count == entry->shard_map_restore_count;
  shm_shard_t read[CLM_SHARDS];
  if (item->mod_revision == 0 || is_known)
    return;
  if (!shm_parse (item->value, read))
    {
      map_replace_damaged (entry, item);
      return;
    }
  entry->is_map_damaged = false;
  entry->shard_map_restore_count = restore_count;
  entry->is_shard_map_outdated = shm_merge (read, entry->shard_map);
  memcpy (entry->shard_map, read, sizeof read);
  entry->shard_map_mod_revision = item->mod_revision;
  entry->is_map_known = true;
  uint32_t lost_count = 0;
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    {
      clm_shard_t *shard = &entry->claim_owner.shards[s];
      if (ent_shard_is_own (entry, &entry->shard_map[s]))
        {
          if (shard->state == CLM_SHARD_FOREIGN)
            shard_apply_handover (entry, s);
          continue;
        }
      // Another entry took over the shard while this process was stalled. The
      // epoch invalidates this entry's grants; its records are dropped too.
      if (shard->state != CLM_SHARD_FOREIGN)
        {
          kb_buf_t dropped = { 0 };
          clm_owner_release_shard (&entry->claim_owner, s, &dropped);
          kb_buf_finish (&dropped);
          lost_count++;
        }
    }
  if (lost_count > 0)
    log_write (LOG_WARN, "claims",
               "%u shards were taken over by other entries.", lost_count);
}

/// Whether the owner of a shard can never reply again. A timeout alone
/// doesn't show this. The epoch fences the owner's grants, and a live owner
/// keeps its shards.
static bool
owner_is_gone (ent_entry_t *entry, const shm_shard_t *shard, uint64_t now)
{
  if (shard->owner[0] == '\0')
    return true;
  if (strcmp (shard->owner, own_name (entry)) == 0)
    return shard->incarnation != entry->daemon->incarnation;
  ent_vm_t *vm = ent_vm_find (entry, kb_slice_str (shard->owner));
  if (vm == NULL)
    return entry->is_list_known
           && now - entry->started_ms > entry->member_options.gone_after_ms;
  if (vm->state == MEM_GONE)
    return true;
  return vm->state == MEM_UP && vm->member.incarnation != shard->incarnation;
}

static void
on_map_read (void *arg, kb_status_t status, const kvc_item_t *items,
             uint32_t count)
{
  ent_entry_t *entry = arg;
  entry->is_map_call_pending = false;
  if (status == KB_OK && count > 0)
    ent_claims_apply_map_item (entry, &items[0]);
}

void
ent_claims_read_map (ent_entry_t *entry)
{
  uint64_t now = tmr_now_ms ();
  if (entry->is_map_call_pending
      || now - entry->last_map_read_ms < MAP_READ_INTERVAL_MS)
    return;
  entry->is_map_call_pending = true;
  entry->last_map_read_ms = now;
  kvc_get (&entry->daemon->kv, SHM_KEY, on_map_read, entry);
}

/// Notify the other entries that the map changed; most don't watch it.
static void
map_announce (ent_entry_t *entry)
{
  msg_t msg = { .type = MSG_ANNOUNCE };
  msg.announce
      = (msg_announce_t){ .revision = ent_config_revision (entry),
                          .map_revision = entry->shard_map_mod_revision + 1 };
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->is_entry && vm->state == MEM_UP)
      dmn_send (entry->daemon, vm->name, &msg);
}

/// Whether the write succeeded, failed or is unknown, a read of the map shows
/// the result.
static void
on_assignment_written (void *arg, kb_status_t status, const kvc_item_t *items,
                       uint32_t count)
{
  ent_entry_t *entry = arg;
  entry->is_map_call_pending = false;
  if (status == KB_EUNAVAIL)
    return;
  if (status == KB_OK)
    map_announce (entry);
  ent_claims_read_map (entry);
}

static uint64_t
entry_incarnation (ent_entry_t *entry, const char *name)
{
  if (strcmp (name, own_name (entry)) == 0)
    return entry->daemon->incarnation;
  return ent_vm_find (entry, kb_slice_str (name))->member.incarnation;
}

/// Whether this entry assigns the vacant shards. One entry assigns all of them
/// in one compare-and-swap. If each entry claimed its own shards, N entries
/// would contend for one value, which takes 50 entries more than 20 s. The
/// others take over if the assigner doesn't act.
static bool
is_assigner (ent_entry_t *entry, uint64_t now)
{
  const char *assigner = ent_members_choose_entry (entry, ASSIGNER_SEED, true);
  if (strcmp (assigner, own_name (entry)) == 0)
    return true;
  return entry->vacant_since_ms != 0
         && now - entry->vacant_since_ms
                > ASSIGNER_TIMEOUT_MS + dmn_random () % ASSIGNER_TIMEOUT_MS;
}

static void
assign_shards (ent_entry_t *entry, uint64_t now)
{
  shm_shard_t new_map[CLM_SHARDS];
  memcpy (new_map, entry->shard_map, sizeof new_map);
  uint32_t vacant_count = 0;
  bool can_take_over = !map_is_settling (entry, now);
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    {
      if (!can_take_over || !owner_is_gone (entry, &entry->shard_map[s], now))
        continue;
      const char *new_owner = ent_members_choose_entry (entry, s + 1, true);
      snprintf (new_map[s].owner, sizeof new_map[s].owner, "%s", new_owner);
      new_map[s].incarnation = entry_incarnation (entry, new_owner);
      new_map[s].epoch++;
      vacant_count++;
    }
  if (vacant_count == 0 && !entry->is_shard_map_outdated)
    {
      entry->vacant_since_ms = 0;
      return;
    }
  if (entry->vacant_since_ms == 0)
    entry->vacant_since_ms = now;
  if (!is_assigner (entry, now))
    return;
  entry->is_map_call_pending = true;
  kb_buf_t value = { 0 };
  shm_write (new_map, &value);
  kvc_cas (&entry->daemon->kv, SHM_KEY, entry->shard_map_mod_revision,
           kb_buf_slice (&value), on_assignment_written, entry);
  kb_buf_finish (&value);
}

/// Begin to own the shards that the map assigns to this entry. Those without
/// records from the former owner are rebuilt from the runners.
static void
begin_owned_shards (ent_entry_t *entry)
{
  uint64_t epochs[CLM_SHARDS] = { 0 };
  bool has_any = false;
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    if (ent_shard_is_own (entry, &entry->shard_map[s])
        && entry->claim_owner.shards[s].state == CLM_SHARD_FOREIGN
        && !shard_apply_handover (entry, s))
      {
        epochs[s] = entry->shard_map[s].epoch;
        has_any = true;
      }
  if (has_any)
    ent_rebuild_start (entry, epochs);
}

static void
expire_records (ent_entry_t *entry, uint64_t now)
{
  clm_owner_expire (&entry->claim_owner, now);
  for (uint32_t i = entry->inherited_count; i > 0; i--)
    {
      ent_inherited_t *item = &entry->inherited[i - 1];
      if (now < item->expires_ms)
        continue;
      free (item->bytes);
      *item = entry->inherited[--entry->inherited_count];
    }
}

void
ent_claims_tick (ent_entry_t *entry, uint64_t now_ms)
{
  met_set (met_counter ("knapweedbay_claim_shards_owned", ""),
           ent_claims_count_owned_shards (entry));
  met_set (met_counter ("knapweedbay_claims_remembered", ""),
           entry->claim_owner.records.len);
  if (entry->tick_count % RECORD_EXPIRE_TICKS == 0)
    expire_records (entry, now_ms);
  if (entry->rebuild.is_active)
    {
      ent_rebuild_check_progress (entry, now_ms);
      return;
    }
  if (entry->daemon->is_draining || entry->tick_count % MAP_CHECK_TICKS != 0)
    return;
  begin_owned_shards (entry);
  bool can_assign = entry->is_map_known && !entry->is_map_call_pending
                    && entry->is_list_known
                    && now_ms - entry->started_ms > STARTUP_SETTLE_MS;
  if (can_assign)
    assign_shards (entry, now_ms);
}

/// Store the records of a stopping agent and acknowledge them; the agent
/// counts them as handed over only when an entry has confirmed it.
static void
store_inherited_records (ent_entry_t *entry, kb_slice_t from,
                         kb_slice_t records)
{
  if (entry->inherited_count == ENT_MAX_INHERITED)
    return;
  msg_t ack = { .type = MSG_RECORDS };
  ack.records
      = (msg_records_t){ .is_last = 1, .purpose = MSG_RECORDS_INHERIT };
  lnk_link_send (&entry->daemon->link, from, &ack);
  if (records.len_bytes == 0)
    return;
  entry->inherited[entry->inherited_count++] = (ent_inherited_t){
    .bytes = kb_slice_dup (records),
    .len_bytes = records.len_bytes,
    .expires_ms
    = tmr_now_ms () + (uint64_t)entry->daemon->settings.claim_window_ms
  };
}

static void
store_handover (ent_entry_t *entry, const msg_records_t *records)
{
  if (records->id >= CLM_SHARDS)
    return;
  kb_buf_t *stored = &entry->handover[records->id];
  kb_buf_clear (stored);
  kb_buf_append (stored, records->records.ptr, records->records.len_bytes);
  entry->has_handover[records->id] = true;
}

void
ent_claims_on_records (ent_entry_t *entry, kb_slice_t from,
                       const msg_records_t *records)
{
  switch (records->purpose)
    {
    case MSG_RECORDS_INHERIT:
      store_inherited_records (entry, from, records->records);
      break;
    case MSG_RECORDS_HANDOVER:
      store_handover (entry, records);
      break;
    default:
      ent_rebuild_receive_records (entry, from, records);
    }
}

static void
on_handover_written (void *arg, kb_status_t status, const kvc_item_t *items,
                     uint32_t count)
{
  ent_entry_t *entry = arg;
  entry->is_handover_done = true;
  if (status == KB_OK)
    map_announce (entry);
  log_write (LOG_INFO, "claims", "Handover of shards finished: %s.",
             kb_status_name (status));
}

void
ent_claims_hand_over (ent_entry_t *entry)
{
  shm_shard_t new_map[CLM_SHARDS];
  memcpy (new_map, entry->shard_map, sizeof new_map);
  bool has_any = false;
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    {
      const char *new_owner = ent_members_choose_entry (entry, s + 1, false);
      bool is_record_complete
          = entry->claim_owner.shards[s].state == CLM_SHARD_READY
            && entry->claim_owner.shards[s].uncertain_until_ms < tmr_now_ms ();
      if (!ent_shard_is_own (entry, &entry->shard_map[s]) || new_owner == NULL
          || !is_record_complete)
        continue;
      ent_vm_t *vm = ent_vm_find (entry, kb_slice_str (new_owner));
      kb_buf_t records = { 0 };
      clm_owner_release_shard (&entry->claim_owner, s, &records);
      msg_t msg = { .type = MSG_RECORDS };
      msg.records = (msg_records_t){ .id = s,
                                     .is_last = 1,
                                     .purpose = MSG_RECORDS_HANDOVER,
                                     .records = kb_buf_slice (&records) };
      dmn_send (entry->daemon, new_owner, &msg);
      kb_buf_finish (&records);
      snprintf (new_map[s].owner, sizeof new_map[s].owner, "%s", new_owner);
      new_map[s].incarnation = vm->member.incarnation;
      // If the records are lost in transit, the new epoch makes a rebuild safe
      // too: it invalidates grants of this entry that are still in transit.
      new_map[s].epoch++;
      has_any = true;
    }
  if (!has_any)
    {
      entry->is_handover_done = true;
      return;
    }
  kb_buf_t value = { 0 };
  shm_write (new_map, &value);
  kvc_cas (&entry->daemon->kv, SHM_KEY, entry->shard_map_mod_revision,
           kb_buf_slice (&value), on_handover_written, entry);
  kb_buf_finish (&value);
}
