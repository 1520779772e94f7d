/// @file entry_config.c
/// The configuration in force at an entry: watch, fetch by digest, adopt only
/// higher revisions, pass on to other entries.
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
  /// An open watch proves nothing: its connection may be silent. The read
  /// beside it bounds how late a change is taken, 3 s being promised; ten
  /// watchers make 6.7 of the store's 2,000 reads a second with it.
  POLL_WATCHER_MS = 1500,
  POLL_OTHER_MS = 60000,
  PULL_PAUSE_MS = 100, ///< One peer is asked at a time.
  BEHIND_MS = 700,
  BACKOFF_MIN_MS = 100,
  BACKOFF_MAX_MS = 5000,
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
head_uses (const doc_head_t *head, uint64_t id)
{
  for (uint32_t i = 0; i < head->folder.len; i++)
    for (uint32_t k = 0; k < head->folder.files[i].chunk_count; k++)
      if (chunk_id (head->folder.files[i].chunks[k].bytes) == id)
        return true;
  return false;
}

/// Drop chunks that no file of the head uses.
static void
chunks_trim (ent_config_t *c)
{
  for (;;)
    {
      uint64_t unused = 0;
      for (uint32_t i = 0; i < c->chunks.cap && unused == 0; i++)
        if (c->chunks.entries[i].key != 0
            && !head_uses (&c->head, c->chunks.entries[i].key))
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
  bool is_good = doc_digest_equal (doc_digest (kb_buf_slice (&file->text)),
                                   file->digest);
  return is_good ? KB_OK : KB_EINVAL;
}

/// Tell the other entries, if this one watches the store, and the agents,
/// which refuse what is dispatched by an older configuration.
static void
announce (ent_entry_t *entry)
{
  msg_t to_entry = { .type = MSG_ANNOUNCE };
  to_entry.announce.revision = ent_revision (entry);
  msg_t to_agent = { .type = MSG_PING };
  to_agent.ping = (msg_ping_t){ .stamp_us = tmr_now_us (),
                                .revision = ent_revision (entry),
                                .target_count = entry->routes.by_id.len };
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->state == MEM_UP && (!vm->is_entry || entry->config.is_watcher))
      dmn_send (entry->daemon, vm->name, vm->is_entry ? &to_entry : &to_agent);
}

static void
fetch_stop (ent_config_t *c)
{
  doc_head_finish (&c->wanted);
  c->wanted = (doc_head_t){ 0 };
  c->is_fetching = false;
  c->missing = 0;
}

/// Build and switch to the wanted head, if all of it is here.
static void
adopt (ent_entry_t *entry)
{
  ent_config_t *c = &entry->config;
  kb_error_t error = { 0 };
  kb_status_t status = KB_OK;
  for (uint32_t i = 0; i < c->wanted.folder.len && status == KB_OK; i++)
    status = file_assemble (c, &c->wanted.folder.files[i]);
  cfg_config_t built;
  if (status == KB_OK)
    status = doc_build_config (&c->wanted.folder, c->wanted.revision, NULL,
                               NULL, &built, &error);
  if (status != KB_OK)
    {
      log_write (LOG_ERROR, "config", "Revision %" PRIu64 " is unusable: %s.",
                 c->wanted.revision, error.message);
      MET_INC ("knapweedbay_config_rejected_total", "");
      fetch_stop (c);
      return;
    }
  if (c->current != NULL)
    cfg_config_finish (c->current);
  else
    c->current = kb_alloc (sizeof *c->current);
  *c->current = built;
  doc_head_finish (&c->head);
  c->head = c->wanted;
  c->wanted = (doc_head_t){ 0 };
  for (uint32_t i = 0; i < c->head.folder.len; i++)
    kb_buf_finish (&c->head.folder.files[i].text);
  c->has_evidence = true;
  fetch_stop (c);
  chunks_trim (c);
  // The parse needs several times the memory of what it builds; without the
  // trim the peak stays resident for the life of the process.
  malloc_trim (0);
  log_write (LOG_INFO, "config",
             "Revision %" PRIu64 " is in force with %u adapters.",
             built.revision, built.adapter_count);
  met_set (met_counter ("knapweedbay_config_revision", ""),
           (int64_t)built.revision);
  announce (entry);
}

static void
fetch_failed (ent_entry_t *entry, const char *reason)
{
  log_write (LOG_WARN, "config", "Fetch failed: %s.", reason);
  fetch_stop (&entry->config);
}

/// A chunk read from the store; the digest says which one was asked.
typedef struct
{
  ent_entry_t *entry;
  doc_digest_t digest;
} chunk_call_t;

static void
chunk_arrived (ent_entry_t *entry, const doc_digest_t *digest, kb_slice_t data)
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
  if (--c->missing == 0)
    adopt (entry);
}

static void
chunk_got (void *arg, kb_status_t status, const kvc_item_t *items,
           uint32_t count)
{
  chunk_call_t *call = arg;
  if (status == KB_OK && count > 0)
    chunk_arrived (call->entry, &call->digest, items[0].value);
  free (call);
}

static void
chunk_ask_store (ent_entry_t *entry, const doc_digest_t *digest)
{
  char text[2 * DOC_DIGEST_BYTES + 1];
  char key[KVC_KEY_BYTES];
  doc_digest_text (*digest, text);
  snprintf (key, sizeof key, "kb/c/%s", text);
  chunk_call_t *call = kb_alloc (sizeof *call);
  *call = (chunk_call_t){ entry, *digest };
  kvc_get (&entry->daemon->kv, key, chunk_got, call);
}

/// Ask for every chunk of the wanted head that is not here: only what
/// changed travels.
static void
fetch_missing (ent_entry_t *entry)
{
  ent_config_t *c = &entry->config;
  kb_buf_t digests = { 0 };
  for (uint32_t i = 0; i < c->wanted.folder.len; i++)
    for (uint32_t k = 0; k < c->wanted.folder.files[i].chunk_count; k++)
      {
        const doc_digest_t *digest = &c->wanted.folder.files[i].chunks[k];
        if (chunk_find (c, digest) != NULL)
          continue;
        bool is_listed = false;
        for (size_t at = 0; at < digests.len_bytes; at += DOC_DIGEST_BYTES)
          is_listed
              |= memcmp (digests.ptr + at, digest->bytes, DOC_DIGEST_BYTES)
                 == 0;
        if (!is_listed)
          kb_buf_append (&digests, digest->bytes, DOC_DIGEST_BYTES);
      }
  c->missing = (uint32_t)(digests.len_bytes / DOC_DIGEST_BYTES);
  if (c->missing == 0)
    adopt (entry);
  else if (c->from_peer[0] != '\0')
    {
      msg_t msg = { .type = MSG_CONFIG_PULL };
      msg.config_pull
          = (msg_config_pull_t){ .have_revision = ent_revision (entry),
                                 .digests = kb_buf_slice (&digests) };
      if (dmn_send (entry->daemon, c->from_peer, &msg) != KB_OK)
        fetch_failed (entry, "the peer is not reachable");
    }
  else
    for (size_t at = 0; at < digests.len_bytes; at += DOC_DIGEST_BYTES)
      {
        doc_digest_t digest;
        memcpy (digest.bytes, digests.ptr + at, DOC_DIGEST_BYTES);
        chunk_ask_store (entry, &digest);
      }
  kb_buf_finish (&digests);
}

static void
note_heard (ent_config_t *c, uint64_t revision)
{
  if (revision <= c->heard_revision)
    return;
  c->heard_revision = revision;
  c->heard_ms = tmr_now_ms ();
}

/// A head arrived from the store or a peer.
static void
head_arrived (ent_entry_t *entry, kb_slice_t text, const char *from_peer)
{
  ent_config_t *c = &entry->config;
  kb_error_t error = { 0 };
  doc_head_t head;
  if (doc_head_parse (text, &head, &error) != KB_OK)
    {
      log_write (LOG_ERROR, "config", "%s.", error.message);
      return;
    }
  c->has_evidence = true;
  met_add (met_counter ("knapweedbay_config_bytes_total", ""), text.len_bytes);
  note_heard (c, head.revision);
  // Adopting only higher revisions is what keeps a change from being undone
  // by a daemon that comes back with old data or by a lagging read.
  bool is_older = head.revision <= ent_revision (entry)
                  || (c->is_fetching && head.revision <= c->wanted.revision);
  if (is_older)
    {
      doc_head_finish (&head);
      return;
    }
  fetch_stop (c);
  c->wanted = head;
  c->is_fetching = true;
  c->fetch_started_ms = tmr_now_ms ();
  snprintf (c->from_peer, sizeof c->from_peer, "%s", from_peer);
  fetch_missing (entry);
}

static void
watch_on_item (void *arg, const kvc_item_t *item)
{
  ent_entry_t *entry = arg;
  if (strcmp (item->key, "kb/w/head") == 0 && item->mod_revision != 0)
    head_arrived (entry, item->value, "");
  else if (strcmp (item->key, SHM_KEY) == 0)
    ent_claims_map_item (entry, item);
}

static uint64_t
backoff_next (ent_config_t *c)
{
  c->backoff_ms = c->backoff_ms == 0 ? BACKOFF_MIN_MS : c->backoff_ms * 2;
  if (c->backoff_ms > BACKOFF_MAX_MS)
    c->backoff_ms = BACKOFF_MAX_MS;
  return c->backoff_ms / 2 + dmn_random () % c->backoff_ms;
}

static void
watch_on_lost (void *arg)
{
  ent_entry_t *entry = arg;
  entry->config.watch = NULL;
  entry->config.watch_retry_ms = tmr_now_ms () + backoff_next (&entry->config);
}

static const kvc_watch_events_t watch_events
    = { watch_on_item, watch_on_lost };

/// The values as they stand, read after a watch was opened so that no change
/// falls between the two.
static void
current_got (void *arg, kb_status_t status, const kvc_item_t *items,
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
    entry->config.has_evidence = true;
  if (!has_map)
    entry->is_map_known = true;
}

static void
read_current (ent_entry_t *entry)
{
  entry->config.polled_ms = tmr_now_ms ();
  kvc_range (&entry->daemon->kv, "kb/w/", current_got, entry);
}

/// Two entries of each failure domain watch the store; the others hear from
/// them. The store counts a waiting watch as a call, and its rates grow more
/// slowly than the fleet.
static bool
is_watcher (ent_entry_t *entry)
{
  const set_settings_t *s = &entry->daemon->settings;
  uint64_t own = kb_hash (s->name, strlen (s->name), 7);
  uint32_t before = 0;
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->is_entry && vm->state == MEM_UP
        && strcmp (vm->domain, s->failure_domain) == 0
        && kb_hash (vm->name, strlen (vm->name), 7) < own)
      before++;
  return before < WATCHERS_PER_DOMAIN;
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
  if (c->is_watcher && c->watch == NULL && now >= c->watch_retry_ms)
    {
      c->watch = kvc_watch_start (&entry->daemon->kv, "kb/w/", &watch_events,
                                  entry);
      read_current (entry);
    }
}

/// Ask one entry that is ahead for its head.
static void
pull_from_peer (ent_entry_t *entry)
{
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->is_entry && vm->state == MEM_UP
        && vm->revision > ent_revision (entry))
      {
        msg_t msg = { .type = MSG_CONFIG_PULL };
        msg.config_pull.have_revision = ent_revision (entry);
        dmn_send (entry->daemon, vm->name, &msg);
        return;
      }
}

/// Whether some daemon has had a newer revision for a while. The peer that
/// told of it is asked first; were all entries to turn to the store at once, a
/// change would cost it as many reads as there are entries.
static bool
is_behind (const ent_entry_t *entry, uint64_t now_ms)
{
  const ent_config_t *c = &entry->config;
  return c->heard_revision > ent_revision (entry) && !c->is_fetching
         && now_ms - c->heard_ms > BEHIND_MS;
}

void
ent_config_tick (ent_entry_t *entry, uint64_t now_ms)
{
  ent_config_t *c = &entry->config;
  if (c->is_fetching && now_ms - c->fetch_started_ms > FETCH_TIMEOUT_MS)
    fetch_failed (entry, "timeout");
  watch_update (entry, now_ms);
  uint64_t period = c->is_watcher ? POLL_WATCHER_MS : POLL_OTHER_MS;
  bool is_wanting = is_behind (entry, now_ms) || !c->has_evidence;
  if (is_wanting)
    period = BEHIND_MS;
  if (now_ms - c->polled_ms > period)
    read_current (entry);
  if (is_wanting && !c->is_fetching)
    pull_from_peer (entry);
}

void
ent_config_heard (ent_entry_t *entry, uint64_t revision, kb_slice_t peer)
{
  ent_config_t *c = &entry->config;
  note_heard (c, revision);
  ent_vm_t *vm = peer.len_bytes > 0 ? ent_vm_find (entry, peer) : NULL;
  if (vm != NULL)
    vm->revision = revision;
  uint64_t now = tmr_now_ms ();
  if (revision <= ent_revision (entry) || c->is_fetching || vm == NULL
      || now - c->pulled_ms < PULL_PAUSE_MS)
    return;
  c->pulled_ms = now;
  msg_t msg = { .type = MSG_CONFIG_PULL };
  msg.config_pull.have_revision = ent_revision (entry);
  lnk_link_send (&entry->daemon->link, peer, &msg);
}

static void
send_head (ent_entry_t *entry, kb_slice_t to)
{
  kb_buf_t text = { 0 };
  doc_head_write (&entry->config.head, &text);
  msg_t msg = { .type = MSG_CONFIG_PART };
  msg.config_part = (msg_config_part_t){ .revision = ent_revision (entry),
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
      if (ent_revision (entry) > pull->have_revision)
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
          = (msg_config_part_t){ .revision = ent_revision (entry),
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
      head_arrived (entry, part->data, peer);
      return;
    }
  if (part->digest.len_bytes != DOC_DIGEST_BYTES)
    return;
  doc_digest_t digest;
  memcpy (digest.bytes, part->digest.ptr, DOC_DIGEST_BYTES);
  chunk_arrived (entry, &digest, part->data);
}
