/// @file sidecar_share.c
/// Reads the store for gateways that ask (coordination/share.h). A sidecar
/// that nobody asks reads nothing and keeps nothing.
#include <stdlib.h>

#include "relay/changes.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// The changes kept for gateways go after this long without a question.
  IDLE_MS = 10000,
};

static void share_update (scr_sidecar_t *s);

static void
share_wake (void *arg)
{
  share_update (arg);
}

static msg_changes_status_t
status_of (shr_verdict_t verdict)
{
  switch (verdict)
    {
    case SHR_KNOWN:
      return MSG_CHANGES_KNOWN;
    case SHR_BEHIND:
      return MSG_CHANGES_BEHIND;
    case SHR_NO_ANSWER:
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
share_tell (scr_sidecar_t *s, const shr_ask_t *ask, shr_verdict_t verdict)
{
  const shr_cache_t *cache = s->share;
  bool is_known = verdict == SHR_KNOWN;
  bool is_after = cache->began_ms > ask->arrived_ms;
  kb_buf_t changes = { 0 };
  if (is_known)
    pack_changes (cache, ask->after, &changes);
  uint64_t before_ms = is_after ? 0 : ask->arrived_ms - cache->began_ms;
  uint64_t after_ms = is_after ? cache->began_ms - ask->arrived_ms : 0;
  msg_t msg = { .type = MSG_CHANGES,
                .changes = { .id = ask->id,
                             .status = status_of (verdict),
                             .as_of = is_known ? cache->as_of : 0,
                             .began_before_ms = is_known ? before_ms : 0,
                             .began_after_ms = is_known ? after_ms : 0,
                             .config_revision = cache->config_revision,
                             .changes = kb_buf_slice (&changes) } };
  if (hst_send (&s->host, ask->gateway, &msg) != KB_OK)
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
      shr_read_answered (s->share, result->changes, result->change_count,
                         result->as_of, result->config_revision);
    }
  else
    {
      MET_INC ("knapweedbay_shared_reads_total", "result=\"failed\"");
      log_line_t line;
      if (log_begin (&line, LOG_INFO, "store", "store_read_failed"))
        {
          log_int (&line, "behind", (int64_t)s->share->as_of);
          log_int (&line, "waited_ms",
                   (int64_t)(tmr_boottime_ms () - s->share->reading_since_ms));
          log_int (&line, "asked_by", s->share->ask_count);
          log_end (&line);
        }
      shr_read_failed (s->share, result->status == KB_ENOTFOUND);
    }
  share_update (s);
}

/// Answer whom it can, read when it is time, and come back in time.
static void
share_update (scr_sidecar_t *s)
{
  shr_cache_t *cache = s->share;
  uint64_t now_ms = tmr_boottime_ms ();
  shr_ask_t ask;
  shr_verdict_t verdict;
  while (shr_ask_take (cache, now_ms, &ask, &verdict))
    share_tell (s, &ask, verdict);
  uint64_t after;
  if (shr_read_begin (cache, now_ms, &after))
    s->reader->vtable->read (s->reader, after, share_read_done, s);
  uint64_t due_ms = shr_due_ms (cache);
  if (due_ms != UINT64_MAX)
    tmr_start_once (&s->host.timers, &s->share_timer,
                    due_ms > now_ms ? due_ms - now_ms : 0, share_wake, s);
}

static void
share_idle (void *arg)
{
  scr_sidecar_t *s = arg;
  if (s->share->is_reading)
    {
      tmr_start_once (&s->host.timers, &s->share_idle_timer, IDLE_MS,
                      share_idle, s);
      return;
    }
  tmr_cancel (&s->host.timers, &s->share_timer);
  shr_cache_finish (s->share);
  free (s->share);
  s->share = NULL;
}

static void
share_refuse (scr_sidecar_t *s, const char *gateway, uint64_t id)
{
  msg_t msg = { .type = MSG_CHANGES,
                .changes = { .id = id, .status = MSG_CHANGES_NO_ANSWER } };
  if (hst_send (&s->host, gateway, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
}

/// A gateway of another deployment follows another store; its revisions say
/// nothing here.
static bool
is_same_store (const scr_sidecar_t *s, uint64_t store)
{
  const char *own = s->host.settings.store_address;
  return kb_hash (own, strlen (own), 0) == store;
}

void
scr_share_ask (scr_sidecar_t *s, kb_slice_t peer,
               const msg_changes_ask_t *given)
{
  shr_ask_t ask = { .id = given->id,
                    .after = given->after,
                    .known_age_ms = given->known_age_ms,
                    .pause_ms = given->pause_ms,
                    .arrived_ms = tmr_boottime_ms () };
  kb_slice_copy (peer, ask.gateway, sizeof ask.gateway);
  bool is_open = s->reader != NULL && !s->host.is_stopping && given->after > 0
                 && is_same_store (s, given->store);
  if (is_open && s->share == NULL)
    {
      s->share = kb_alloc (sizeof *s->share);
      shr_cache_init (s->share);
    }
  if (!is_open || !shr_ask_add (s->share, &ask))
    {
      share_refuse (s, ask.gateway, ask.id);
      return;
    }
  tmr_start_once (&s->host.timers, &s->share_idle_timer, IDLE_MS, share_idle,
                  s);
  share_update (s);
}
