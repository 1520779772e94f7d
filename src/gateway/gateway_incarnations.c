/// @file gateway_incarnations.c
/// Replaces a target by another incarnation with the same id, and reports late
/// messages about an earlier one.
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Clock difference of two VMs in normal operation. A request that was sent
  /// this close to a birth may run at either incarnation and is not cut.
  MAX_CLOCK_SKEW_MS = 500,
};

void
gtw_target_report_stale (const gtw_target_t *target, uint64_t born_ms,
                         const char *from)
{
  MET_INC ("knapweedbay_stale_births_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "birth_stale"))
    return;
  log_text (&line, "target", target->list_entry.identity.id);
  log_int (&line, "born", (int64_t)target->known_birth.born_ms);
  log_int (&line, "told", (int64_t)born_ms);
  log_text (&line, "from", from);
  log_end (&line);
}

/// @return  Time since an attempt was sent or its answer last progressed.
static uint64_t
since_received_ms (const gtw_request_t *r)
{
  uint64_t received_ms
      = r->relayed_ms > r->sent_ms ? r->relayed_ms : r->sent_ms;
  return gtw_now_ms (r->gateway) - received_ms;
}

/// Requests that were sent to an incarnation before it ended will not be
/// answered; behind a network partition their connections stay open, and
/// callers would wait for their timeout. Requests that were sent after the
/// birth of the next incarnation run there, since both have the same id, and
/// go on.
static void
cut_requests (gtw_gateway_t *gateway, const gtw_target_t *target,
              uint64_t born_ms)
{
  uint64_t wall_ms = tmr_wall_ms ();
  uint64_t age_ms
      = MAX_CLOCK_SKEW_MS + (wall_ms > born_ms ? wall_ms - born_ms : 0);
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      bool is_sent_there
          = r->target == target
            && (r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING);
      if (is_sent_there && r->watched_ms == 0
          && since_received_ms (r) > age_ms)
        gtw_attempt_abort (r);
    }
}

gtw_target_t *
gtw_target_replace_incarnation (gtw_gateway_t *gateway, gtw_target_t *target,
                                const src_target_t *listing)
{
  gtw_target_log_event (target, "target_reborn");
  target->is_listed = false;
  gtw_target_close_peers (target);
  gtw_target_t *next = gtw_target_add (gateway, listing);
  gtw_target_open_link (gateway, next);
  cut_requests (gateway, target, listing->identity.born_ms);
  return next;
}
