/// @file sidecar_share.c
/// Reads the store for gateways that request its changes
/// (coordination/share.h). Without requests nothing is read or cached.
#include <stdlib.h>

#include "relay/changes.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// The cache is freed after this time without a request.
  SHARE_IDLE_MS = 10000,
};

static void share_update (scr_sidecar_t *s);

static void
share_on_timer (void *arg)
{
  share_update (arg);
}

static msg_changes_status_t
status_of (shr_status_t status)
{
  switch (status)
    {
    case SHR_CHANGES_KNOWN:
      return MSG_CHANGES_AVAILABLE;
    case SHR_TOO_OLD:
      return MSG_CHANGES_NOT_RETAINED;
    case SHR_READ_FAILED:
      break;
    }
  return MSG_CHANGES_NO_ANSWER;
}

static void
pack_changes (const shr_cache_t *cache, uint64_t after, kb_buf_t *out)
{
  uint32_t at = 0;
  for (const shr_item_t *item = shr_next_change (cache, after, &at);
       item != NULL; item = shr_next_change (cache, after, &at))
    {
      src_change_t change = { .revision = item->revision,
                              .key = kb_slice_str (item->key),
                              .value = kb_buf_slice (&item->value),
                              .is_gone = item->is_gone };
      chg_pack (out, &change);
    }
}

static void
share_answer (scr_sidecar_t *s, const shr_request_t *request,
              shr_status_t status)
{
  const shr_cache_t *cache = s->share_cache;
  bool is_known = status == SHR_CHANGES_KNOWN;
  bool is_after = cache->read_began_ms > request->arrived_ms;
  kb_buf_t changes = { 0 };
  if (is_known)
    pack_changes (cache, request->after, &changes);
  uint64_t before_ms
      = is_after ? 0 : request->arrived_ms - cache->read_began_ms;
  uint64_t after_ms
      = is_after ? cache->read_began_ms - request->arrived_ms : 0;
  msg_t msg = { .type = MSG_CHANGES,
                .changes = { .id = request->id,
                             .status = status_of (status),
                             .as_of = is_known ? cache->as_of : 0,
                             .began_before_ms = is_known ? before_ms : 0,
                             .began_after_ms = is_known ? after_ms : 0,
                             .config_revision = cache->config_revision,
                             .changes = kb_buf_slice (&changes),
                             .era = cache->era } };
  if (hst_send (&s->host, request->gateway, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
  kb_buf_finish (&changes);
}

static void
share_read_done (void *arg, const rdr_result_t *result)
{
  scr_sidecar_t *s = arg;
  if (result->status == KB_OK)
    {
      MET_INC ("knapweedbay_shared_reads_total", "result=\"ok\"");
      shr_read_answered (s->share_cache, &result->answer);
    }
  else
    {
      MET_INC ("knapweedbay_shared_reads_total", "result=\"failed\"");
      log_line_t line;
      if (log_begin (&line, LOG_INFO, "store", "store_read_failed"))
        {
          log_int (&line, "behind", (int64_t)s->share_cache->as_of);
          log_int (&line, "waited_ms",
                   (int64_t)(tmr_boottime_ms ()
                             - s->share_cache->reading_since_ms));
          log_int (&line, "asked_by", s->share_cache->request_count);
          log_end (&line);
        }
      shr_read_failed (s->share_cache, result->status == KB_ENOTFOUND);
    }
  share_update (s);
}

/// Answer the requests that can be answered, send a read if one is due, and
/// set the timer for the next one.
static void
share_update (scr_sidecar_t *s)
{
  shr_cache_t *cache = s->share_cache;
  uint64_t now_ms = tmr_boottime_ms ();
  shr_request_t request;
  shr_status_t status;
  while (shr_request_pop (cache, now_ms, &request, &status))
    share_answer (s, &request, status);
  uint64_t after;
  if (shr_read_begin (cache, now_ms, &after))
    s->reader->vtable->read (s->reader, after, share_read_done, s);
  uint64_t due_ms = shr_due_ms (cache);
  if (due_ms != UINT64_MAX)
    tmr_start_once (&s->host.timers, &s->share_timer,
                    due_ms > now_ms ? due_ms - now_ms : 0, share_on_timer, s);
}

static void
share_on_idle (void *arg)
{
  scr_sidecar_t *s = arg;
  if (s->share_cache->is_reading)
    {
      tmr_start_once (&s->host.timers, &s->share_idle_timer, SHARE_IDLE_MS,
                      share_on_idle, s);
      return;
    }
  tmr_cancel (&s->host.timers, &s->share_timer);
  shr_cache_finish (s->share_cache);
  free (s->share_cache);
  s->share_cache = NULL;
}

static void
share_refuse (scr_sidecar_t *s, const char *gateway, uint64_t id)
{
  msg_t msg = { .type = MSG_CHANGES,
                .changes = { .id = id, .status = MSG_CHANGES_NO_ANSWER } };
  if (hst_send (&s->host, gateway, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
}

/// A gateway of another deployment follows another store, whose revisions are
/// not comparable.
static bool
is_same_store (const scr_sidecar_t *s, uint64_t store)
{
  const char *own_address = s->host.settings.store_address;
  return kb_hash (own_address, strlen (own_address), 0) == store;
}

void
scr_share_handle_request (scr_sidecar_t *s, kb_slice_t peer,
                          const msg_changes_request_t *msg)
{
  shr_request_t request = { .id = msg->id,
                            .era = msg->era,
                            .after = msg->after,
                            .known_age_ms = msg->known_age_ms,
                            .pause_ms = msg->pause_ms,
                            .arrived_ms = tmr_boottime_ms () };
  kb_slice_copy (peer, request.gateway, sizeof request.gateway);
  bool is_open = s->reader != NULL && !s->host.is_stopping && msg->after > 0
                 && is_same_store (s, msg->store);
  if (is_open && s->share_cache == NULL)
    {
      s->share_cache = kb_alloc (sizeof *s->share_cache);
      shr_cache_init (s->share_cache);
    }
  if (!is_open || !shr_request_add (s->share_cache, &request))
    {
      share_refuse (s, request.gateway, request.id);
      return;
    }
  tmr_start_once (&s->host.timers, &s->share_idle_timer, SHARE_IDLE_MS,
                  share_on_idle, s);
  share_update (s);
}
