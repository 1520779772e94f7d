/// @file gateway_ending.c
/// Decides whether the end of an answer is its own. One that ended with its
/// connection is whole if its target still listens; the connection that shows
/// this is kept for the next request, as the one that carried the answer is
/// gone. One with a length whose last bytes may begin another answer is whole
/// unless the rest of that one follows.
#include "gateway/gateway_ending.h"
#include "coordination/ending.h"
#include "gateway/gateway_scan.h"
#include "transport/metrics.h"

enum
{
  /// A VM that does not answer within it is not reachable, which proves
  /// nothing.
  CONNECT_TIMEOUT_MS = 100,
  /// The rest of a head follows its begin soon, but a busy target may pause.
  WATCH_MS = 100,
};

static void
ending_report (gtw_request_t *r, bool is_whole)
{
  gtw_ending_done_t done = r->ending_done;
  r->ending_done = NULL;
  if (!is_whole)
    MET_INC ("knapweedbay_answers_of_ended_targets_total", "");
  done (r, is_whole);
}

static void
ending_on_connect (xch_t *x)
{
  ending_report (x->owner, true);
}

static void
ending_on_fail (xch_t *x, xch_failure_t fail)
{
  ending_report (x->owner, !x->is_refused);
}

static const xch_events_t ending_events
    = { .on_connect = ending_on_connect, .on_fail = ending_on_fail };

static void
ending_connect (void *arg)
{
  gtw_request_t *r = arg;
  xch_open_idle (&r->exchange, &r->target->peer, &ending_events, r,
                 CONNECT_TIMEOUT_MS);
}

bool
gtw_ending_check (gtw_request_t *r, gtw_ending_done_t done)
{
  // A target that leaves, or has left the list, may listen no more while it
  // answers. One that the list replaced by its next incarnation has ended.
  if (!r->is_close_delimited || gtw_target_is_leaving (r->target)
      || r->target->unlisted_ms > 0)
    return false;
  r->ending_done = done;
  // The answer has come in time.
  tmr_cancel (&r->gateway->host.timers, &r->expiry_timer);
  tmr_start_once (&r->gateway->host.timers, &r->silence_timer, END_SETTLE_MS,
                  ending_connect, r);
  return true;
}

uint64_t
gtw_ending_begin_watch (gtw_request_t *r)
{
  if (r->is_close_delimited || !gtw_scan_may_continue (r))
    return 0;
  uint64_t left_ms
      = gtw_remaining_ms (gtw_request_expiry_ms (r), gtw_now_ms (r->gateway));
  // The answer has come in time.
  tmr_cancel (&r->gateway->host.timers, &r->expiry_timer);
  tmr_cancel (&r->gateway->host.timers, &r->silence_timer);
  r->watched_ms = gtw_now_ms (r->gateway);
  return left_ms / 2 < WATCH_MS ? left_ms / 2 : WATCH_MS;
}
