/// @file entry_config.c
/// The configuration in force at an entry: watches the store, fetches chunks
/// by digest, applies only higher revisions and serves them to other entries.
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  WATCHERS_PER_DOMAIN = 2,
  FETCH_TIMEOUT_MS = 3000,
  /// A watch may be open on a silent connection. The periodic read bounds the
  /// delay of a change, which must be in force within 3 s. Ten watchers cause
  /// 6.7 of the store's 2,000 reads per second.
  WATCHER_POLL_INTERVAL_MS = 1500,
  OTHER_POLL_INTERVAL_MS = 60000,
  PULL_INTERVAL_MS = 100,     ///< One peer is queried per interval.
  CATCH_UP_INTERVAL_MS = 700, ///< Time for peers before the store is read.
  MIN_BACKOFF_MS = 100,
  MAX_BACKOFF_MS = 5000,
};

static uint64_t
chunk_id (const uint8_t *digest)
{
  uint64_t id;
  memcpy (&id, digest, sizeof id);
  return id | 1;
}

static kb_buf_t *
chunk_find (ent_config_t *c, const doc_digest_t *digest)
{
  return kb_map_get (&c->chunks, chunk_id (digest->bytes));
}

static void
chunk_store (ent_config_t *c, const doc_digest_t *digest, kb_slice_t data)
{
  if (chunk_find (c, digest) != NULL)
    return;
  kb_buf_t *chunk = kb_alloc (sizeof *chunk);
  kb_buf_append (chunk, data.ptr, data.len_bytes);
  kb_map_put (&c->chunks, chunk_id (digest->bytes), chunk);
}

static bool
head_has_chunk (const doc_head_t *head, uint64_t id)
{
  for (uint32_t i = 0; i < head->folder.len; i++)
    for (uint32_t k = 0; k < head->folder.files[i].chunk_count; k++)
      if (chunk_id (head->folder.files[i].chunks[k].bytes) == id)
        return true;
  return false;
}

/// Free the chunks that no file of the current head uses.
static void
chunks_remove_unused (ent_config_t *c)
{
  for (;;)
    {
      uint64_t unused = 0;
      for (uint32_t i = 0; i < c->chunks.cap && unused == 0; i++)
        if (c->chunks.entries[i].key != 0
            && !head_has_chunk (&c->head, c->chunks.entries[i].key))
          unused = c->chunks.entries[i].key;
      if (unused == 0)
        return;
      kb_buf_t *chunk = kb_map_remove (&c->chunks, unused);
      kb_buf_finish (chunk);
      free (chunk);
    }
}

static kb_status_t
file_assemble (ent_config_t *c, doc_file_t *file)
{
  for (uint32_t k = 0; k < file->chunk_count; k++)
    {
      kb_buf_t *chunk = chunk_find (c, &file->chunks[k]);
      if (chunk == NULL)
        return KB_ENOTFOUND;
      kb_buf_append (&file->text, chunk->ptr, chunk->len_bytes);
    }
  bool is_digest_correct = doc_digest_equal (
      doc_digest (kb_buf_slice (&file->text)), file->digest);
  return is_digest_correct ? KB_OK : KB_EINVAL;
}

/// Announce the revision to the agents, which refuse requests dispatched under
/// an older configuration, and, if this entry watches the store, to the other
/// entries.
static void
announce_revision (ent_entry_t *entry)
{
  msg_t to_entry = { .type = MSG_ANNOUNCE };
  to_entry.announce.revision = ent_config_revision (entry);
  msg_t to_agent = { .type = MSG_PING };
  to_agent.ping = (msg_ping_t){ .stamp_us = tmr_now_us (),
                                .revision = ent_config_revision (entry),
                                .target_count = entry->routes.by_id.len };
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->state == MEM_UP && (!vm->is_entry || entry->config.is_watcher))
      dmn_send (entry->daemon, vm->name, vm->is_entry ? &to_entry : &to_agent);
}

static void
fetch_reset (ent_config_t *c)
{
  doc_head_finish (&c->pending_head);
  c->pending_head = (doc_head_t){ 0 };
  c->is_fetching = false;
  c->missing_chunks = 0;
}

/// Build the configuration of the pending head from its chunks and put it in
/// force.
static void
apply_pending_head (ent_entry_t *entry)
{
  ent_config_t *c = &entry->config;
  kb_error_t error = { 0 };
  kb_status_t status = KB_OK;
  for (uint32_t i = 0; i < c->pending_head.folder.len && status == KB_OK; i++)
    status = file_assemble (c, &c->pending_head.folder.files[i]);
  cfg_config_t built;
  if (status == KB_OK)
    status
        = doc_build_config (&c->pending_head.folder, c->pending_head.revision,
                            NULL, NULL, &built, &error);
  if (status != KB_OK)
    {
      log_write (LOG_ERROR, "config", "Rejected revision %" PRIu64 ": %s.",
                 c->pending_head.revision, error.message);
      MET_INC ("knapweedbay_config_rejected_total", "");
      fetch_reset (c);
      return;
    }
  if (c->current != NULL)
    cfg_config_finish (c->current);
  else
    c->current = kb_alloc (sizeof *c->current);
  *c->current = built;
  doc_head_finish (&c->head);
  c->head = c->pending_head;
  c->pending_head = (doc_head_t){ 0 };
  for (uint32_t i = 0; i < c->head.folder.len; i++)
    kb_buf_finish (&c->head.folder.files[i].text);
  c->is_confirmed = true;
  fetch_reset (c);
  chunks_remove_unused (c);
  // Parsing needs several times the memory of its result. Without the trim the
  // peak would stay resident for the life of the process.
  malloc_trim (0);
  log_write (LOG_INFO, "config",
             "Revision %" PRIu64 " is in force with %u adapters.",
             built.revision, built.adapter_count);
  met_set (met_counter ("knapweedbay_config_revision", ""),
           (int64_t)built.revision);
  announce_revision (entry);
}

static void
fetch_failed (ent_entry_t *entry, const char *reason)
{
  log_write (LOG_WARN, "config", "Fetch of the configuration failed: %s.",
             reason);
  fetch_reset (&entry->config);
}

/// A pending read of a chunk from the store; `digest` is the requested one.
typedef struct
{
  ent_entry_t *entry;
  doc_digest_t digest;
} chunk_read_t;

static void
on_chunk (ent_entry_t *entry, const doc_digest_t *digest, kb_slice_t data)
{
  ent_config_t *c = &entry->config;
  if (!c->is_fetching || chunk_find (c, digest) != NULL)
    return;
  if (!doc_digest_equal (doc_digest (data), *digest))
    {
      MET_INC ("knapweedbay_config_chunk_damaged_total", "");
      return;
    }
  met_add (met_counter ("knapweedbay_config_bytes_total", ""), data.len_bytes);
  chunk_store (c, digest, data);
  if (--c->missing_chunks == 0)
    apply_pending_head (entry);
}

static void
on_chunk_read (void *arg, kb_status_t status, const kvc_item_t *items,
               uint32_t count)
{
  chunk_read_t *chunk_read = arg;
  if (status == KB_OK && count > 0)
    on_chunk (chunk_read->entry, &chunk_read->digest, items[0].value);
  free (chunk_read);
}

static void
chunk_read_from_store (ent_entry_t *entry, const doc_digest_t *digest)
{
  char text[2 * DOC_DIGEST_BYTES + 1];
  char key[KVC_KEY_BYTES];
  doc_digest_text (*digest, text);
  snprintf (key, sizeof key, "kb/c/%s", text);
  chunk_read_t *chunk_read = kb_alloc (sizeof *chunk_read);
  *chunk_read = (chunk_read_t){ entry, *digest };
  kvc_get (&entry->daemon->kv, key, on_chunk_read, chunk_read);
}

/// Request the missing chunks of the pending head from its source. Unchanged
/// chunks aren't transferred again.
static void
fetch_missing_chunks (ent_entry_t *entry)
{
  ent_config_t *c = &entry->config;
  kb_buf_t missing_digests = { 0 };
  for (uint32_t i = 0; i < c->pending_head.folder.len; i++)
    for (uint32_t k = 0; k < c->pending_head.folder.files[i].chunk_count; k++)
      {
        const doc_digest_t *digest
            = &c->pending_head.folder.files[i].chunks[k];
        if (chunk_find (c, digest) != NULL)
          continue;
        bool is_listed = false;
        for (size_t at = 0; at < missing_digests.len_bytes;
             at += DOC_DIGEST_BYTES)
          is_listed |= memcmp (missing_digests.ptr + at, digest->bytes,
                               DOC_DIGEST_BYTES)
                       == 0;
        if (!is_listed)
          kb_buf_append (&missing_digests, digest->bytes, DOC_DIGEST_BYTES);
      }
  c->missing_chunks = (uint32_t)(missing_digests.len_bytes / DOC_DIGEST_BYTES);
  if (c->missing_chunks == 0)
    apply_pending_head (entry);
  else if (c->source_peer[0] != '\0')
    {
      msg_t msg = { .type = MSG_CONFIG_PULL };
      msg.config_pull
          = (msg_config_pull_t){ .have_revision = ent_config_revision (entry),
                                 .digests = kb_buf_slice (&missing_digests) };
      if (dmn_send (entry->daemon, c->source_peer, &msg) != KB_OK)
        fetch_failed (entry, "the peer is not reachable");
    }
  else
    for (size_t at = 0; at < missing_digests.len_bytes; at += DOC_DIGEST_BYTES)
      {
        doc_digest_t digest;
        memcpy (digest.bytes, missing_digests.ptr + at, DOC_DIGEST_BYTES);
        chunk_read_from_store (entry, &digest);
      }
  kb_buf_finish (&missing_digests);
}

static void
record_latest_revision (ent_config_t *c, uint64_t revision)
{
  if (revision <= c->latest_revision)
    return;
  c->latest_revision = revision;
  c->latest_revision_since_ms = tmr_now_ms ();
}

/// Handle a head from the store or a peer.
/// @param source_peer  Empty: from the store.
static void
on_head (ent_entry_t *entry, kb_slice_t text, const char *source_peer)
{
  ent_config_t *c = &entry->config;
  kb_error_t error = { 0 };
  doc_head_t head;
  if (doc_head_parse (text, &head, &error) != KB_OK)
    {
      log_write (LOG_ERROR, "config", "%s.", error.message);
      return;
    }
  c->is_confirmed = true;
  met_add (met_counter ("knapweedbay_config_bytes_total", ""), text.len_bytes);
  record_latest_revision (c, head.revision);
  // Only higher revisions are applied, so that neither a daemon that returns
  // with old data nor a stale read can undo a change.
  bool is_older
      = head.revision <= ent_config_revision (entry)
        || (c->is_fetching && head.revision <= c->pending_head.revision);
  if (is_older)
    {
      doc_head_finish (&head);
      return;
    }
  fetch_reset (c);
  c->pending_head = head;
  c->is_fetching = true;
  c->fetch_started_ms = tmr_now_ms ();
  snprintf (c->source_peer, sizeof c->source_peer, "%s", source_peer);
  fetch_missing_chunks (entry);
}

static void
watch_on_item (void *arg, const kvc_item_t *item)
{
  ent_entry_t *entry = arg;
  if (strcmp (item->key, "kb/w/head") == 0 && item->mod_revision != 0)
    on_head (entry, item->value, "");
  else if (strcmp (item->key, SHM_KEY) == 0)
    ent_claims_apply_map_item (entry, item);
}

static uint64_t
next_backoff_ms (ent_config_t *c)
{
  c->backoff_ms = c->backoff_ms == 0 ? MIN_BACKOFF_MS : c->backoff_ms * 2;
  if (c->backoff_ms > MAX_BACKOFF_MS)
    c->backoff_ms = MAX_BACKOFF_MS;
  return c->backoff_ms / 2 + dmn_random () % c->backoff_ms;
}

static void
watch_on_lost (void *arg)
{
  ent_entry_t *entry = arg;
  entry->config.watch = NULL;
  entry->config.watch_retry_at_ms
      = tmr_now_ms () + next_backoff_ms (&entry->config);
}

static const kvc_watch_events_t watch_events
    = { watch_on_item, watch_on_lost };

/// Handle the current values. They are read after the watch is opened, so that
/// no change is missed between the two.
static void
on_current_values_read (void *arg, kb_status_t status, const kvc_item_t *items,
                        uint32_t count)
{
  ent_entry_t *entry = arg;
  if (status != KB_OK)
    return;
  entry->config.backoff_ms = 0;
  bool has_head = false;
  bool has_map = false;
  for (uint32_t i = 0; i < count; i++)
    {
      has_head |= strcmp (items[i].key, "kb/w/head") == 0;
      has_map |= strcmp (items[i].key, SHM_KEY) == 0;
      watch_on_item (entry, &items[i]);
    }
  if (!has_head)
    entry->config.is_confirmed = true;
  if (!has_map)
    entry->is_map_known = true;
}

static void
read_current_values (ent_entry_t *entry)
{
  entry->config.last_poll_ms = tmr_now_ms ();
  kvc_range (&entry->daemon->kv, "kb/w/", on_current_values_read, entry);
}

/// Whether this entry watches the store. WATCHERS_PER_DOMAIN entries of each
/// failure domain do and notify the others: the store counts an open watch as
/// a call, and its rate limits grow more slowly than the number of entries.
static bool
is_watcher (ent_entry_t *entry)
{
  const set_settings_t *s = &entry->daemon->settings;
  uint64_t own_rank = kb_hash (s->name, strlen (s->name), 7);
  uint32_t lower_rank_count = 0;
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->is_entry && vm->state == MEM_UP
        && strcmp (vm->domain, s->failure_domain) == 0
        && kb_hash (vm->name, strlen (vm->name), 7) < own_rank)
      lower_rank_count++;
  return lower_rank_count < WATCHERS_PER_DOMAIN;
}

static void
watch_update (ent_entry_t *entry, uint64_t now)
{
  ent_config_t *c = &entry->config;
  c->is_watcher = is_watcher (entry);
  if (!c->is_watcher && c->watch != NULL)
    {
      kvc_watch_stop (c->watch);
      c->watch = NULL;
    }
  if (c->is_watcher && c->watch == NULL && now >= c->watch_retry_at_ms)
    {
      c->watch = kvc_watch_start (&entry->daemon->kv, "kb/w/", &watch_events,
                                  entry);
      read_current_values (entry);
    }
}

/// Request the head from an entry with a newer revision.
static void
pull_from_newer_peer (ent_entry_t *entry)
{
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->is_entry && vm->state == MEM_UP
        && vm->revision > ent_config_revision (entry))
      {
        msg_t msg = { .type = MSG_CONFIG_PULL };
        msg.config_pull.have_revision = ent_config_revision (entry);
        dmn_send (entry->daemon, vm->name, &msg);
        return;
      }
}

/// Whether another daemon has had a newer revision for longer than
/// CATCH_UP_INTERVAL_MS. Until then only the peer that reported it is queried:
/// if all entries read the store at once, each change would cost one read per
/// entry.
static bool
is_behind (const ent_entry_t *entry, uint64_t now_ms)
{
  const ent_config_t *c = &entry->config;
  return c->latest_revision > ent_config_revision (entry) && !c->is_fetching
         && now_ms - c->latest_revision_since_ms > CATCH_UP_INTERVAL_MS;
}

void
ent_config_tick (ent_entry_t *entry, uint64_t now_ms)
{
  ent_config_t *c = &entry->config;
  if (c->is_fetching && now_ms - c->fetch_started_ms > FETCH_TIMEOUT_MS)
    fetch_failed (entry, "timeout");
  watch_update (entry, now_ms);
  uint64_t period_ms
      = c->is_watcher ? WATCHER_POLL_INTERVAL_MS : OTHER_POLL_INTERVAL_MS;
  bool is_out_of_date = is_behind (entry, now_ms) || !c->is_confirmed;
  if (is_out_of_date)
    period_ms = CATCH_UP_INTERVAL_MS;
  if (now_ms - c->last_poll_ms > period_ms)
    read_current_values (entry);
  if (is_out_of_date && !c->is_fetching)
    pull_from_newer_peer (entry);
}

void
ent_config_record_revision (ent_entry_t *entry, uint64_t revision,
                            kb_slice_t peer)
{
  ent_config_t *c = &entry->config;
  record_latest_revision (c, revision);
  ent_vm_t *vm = peer.len_bytes > 0 ? ent_vm_find (entry, peer) : NULL;
  if (vm != NULL)
    vm->revision = revision;
  uint64_t now = tmr_now_ms ();
  if (revision <= ent_config_revision (entry) || c->is_fetching || vm == NULL
      || now - c->last_pull_ms < PULL_INTERVAL_MS)
    return;
  c->last_pull_ms = now;
  msg_t msg = { .type = MSG_CONFIG_PULL };
  msg.config_pull.have_revision = ent_config_revision (entry);
  lnk_link_send (&entry->daemon->link, peer, &msg);
}

static void
send_head (ent_entry_t *entry, kb_slice_t to)
{
  kb_buf_t text = { 0 };
  doc_head_write (&entry->config.head, &text);
  msg_t msg = { .type = MSG_CONFIG_PART };
  msg.config_part
      = (msg_config_part_t){ .revision = ent_config_revision (entry),
                             .is_head = 1,
                             .data = kb_buf_slice (&text) };
  lnk_link_send (&entry->daemon->link, to, &msg);
  kb_buf_finish (&text);
}

void
ent_config_on_pull (ent_entry_t *entry, kb_slice_t from,
                    const msg_config_pull_t *pull)
{
  if (pull->digests.len_bytes == 0)
    {
      if (ent_config_revision (entry) > pull->have_revision)
        send_head (entry, from);
      return;
    }
  for (uint32_t at = 0; at + DOC_DIGEST_BYTES <= pull->digests.len_bytes;
       at += DOC_DIGEST_BYTES)
    {
      doc_digest_t digest;
      memcpy (digest.bytes, pull->digests.ptr + at, DOC_DIGEST_BYTES);
      kb_buf_t *chunk = chunk_find (&entry->config, &digest);
      if (chunk == NULL)
        continue;
      msg_t msg = { .type = MSG_CONFIG_PART };
      msg.config_part
          = (msg_config_part_t){ .revision = ent_config_revision (entry),
                                 .digest = { (const char *)digest.bytes,
                                             DOC_DIGEST_BYTES },
                                 .data = kb_buf_slice (chunk) };
      lnk_link_send (&entry->daemon->link, from, &msg);
    }
}

void
ent_config_on_part (ent_entry_t *entry, kb_slice_t from,
                    const msg_config_part_t *part)
{
  if (part->is_head)
    {
      char peer[ENT_NAME_BYTES];
      kb_slice_copy (from, peer, sizeof peer);
      on_head (entry, part->data, peer);
      return;
    }
  if (part->digest.len_bytes != DOC_DIGEST_BYTES)
    return;
  doc_digest_t digest;
  memcpy (digest.bytes, part->digest.ptr, DOC_DIGEST_BYTES);
  on_chunk (entry, &digest, part->data);
}
