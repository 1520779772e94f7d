/// @file gateway_refusal.c
/// Decides whether a refusal without an id belongs to a request. Targets
/// refuse without ids, and may send a refusal again where the next answer is
/// expected. The request runs then, and its answer follows on the connection.
#include "gateway/gateway_refusal.h"
#include "transport/metrics.h"

enum
{
  /// Refused requests wait for it before they are sent again.
  HOLD_MS = 10,
};

static void
refusal_report (gtw_request_t *r)
{
  gtw_refusal_done_t done = r->refusal_done;
  r->refusal_done = NULL;
  r->http_status = r->refusal_status;
  tmr_cancel (&r->gateway->host.timers, &r->silence_timer);
  done (r, r->refusal_retry_after_ms);
}

static void
refusal_on_timer (void *arg)
{
  gtw_request_t *r = arg;
  if (xch_is_receiving (&r->exchange))
    tmr_start_once (&r->gateway->host.timers, &r->silence_timer, HOLD_MS,
                    refusal_on_timer, r);
  else
    refusal_report (r);
}

bool
gtw_refusal_hold (gtw_request_t *r, const rly_response_t *refusal,
                  gtw_refusal_done_t done)
{
  xch_t *x = &r->exchange;
  if (refusal->attempt_id.len_bytes > 0 || !x->is_reused
      || xch_is_close_delimited (x))
    return false;
  r->refusal_done = done;
  r->refusal_status = r->http_status;
  r->refusal_retry_after_ms = refusal->retry_after_ms;
  xch_discard_response (x);
  tmr_start_once (&r->gateway->host.timers, &r->silence_timer, HOLD_MS,
                  refusal_on_timer, r);
  return true;
}

bool
gtw_refusal_judge_next (gtw_request_t *r, const rly_response_t *next)
{
  if (r->refusal_done == NULL)
    return false;
  if (next->attempt_id.len_bytes == 0 && next->is_not_run)
    {
      refusal_report (r);
      return true;
    }
  MET_INC ("knapweedbay_stray_answers_total", "");
  r->refusal_done = NULL;
  tmr_cancel (&r->gateway->host.timers, &r->silence_timer);
  return false;
}

bool
gtw_refusal_judge_end (gtw_request_t *r)
{
  if (r->refusal_done == NULL || r->exchange.is_begun)
    return false;
  refusal_report (r);
  return true;
}
