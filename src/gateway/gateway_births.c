/// @file gateway_births.c
/// Another incarnation lives under a target's id: what ends with the one
/// before, and what is said of words about it that come late.
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// How far clocks of two VMs are apart without a fault: what was sent this
  /// close to a birth may run at either incarnation and is left alone.
  CLOCK_SLACK_MS = 500,
};

void
gtw_target_turn_away (const gtw_target_t *target, uint64_t born_ms,
                      const char *from)
{
  MET_INC ("knapweedbay_stale_births_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "birth_stale"))
    return;
  log_text (&line, "target", target->told.who.id);
  log_int (&line, "born", (int64_t)target->belief.born_ms);
  log_int (&line, "told", (int64_t)born_ms);
  log_text (&line, "from", from);
  log_end (&line);
}

/// @return  How long nothing has been heard of an attempt.
static uint64_t
quiet_ms (const gtw_request_t *r)
{
  uint64_t heard_ms = r->passed_ms > r->sent_ms ? r->passed_ms : r->sent_ms;
  return gtw_now_ms (r->gateway) - heard_ms;
}

/// What was sent to an incarnation before it ended will not be answered; its
/// connections may be silent, behind a cut, and callers would wait for their
/// timeout. What was sent after the birth of the next one runs there, since
/// both bear one id, and goes on.
static void
end_requests (gtw_gateway_t *gateway, const gtw_target_t *target,
              uint64_t born_ms)
{
  uint64_t wall_ms = tmr_wall_ms ();
  uint64_t age_ms
      = CLOCK_SLACK_MS + (wall_ms > born_ms ? wall_ms - born_ms : 0);
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      bool is_there = r->target == target
                      && (r->stage == GTW_SENT || r->stage == GTW_PASSING);
      if (is_there && quiet_ms (r) > age_ms)
        gtw_answer_cut (r, "target_ended");
    }
}

gtw_target_t *
gtw_target_reborn (gtw_gateway_t *gateway, gtw_target_t *target,
                   const src_target_t *told)
{
  gtw_target_log (target, "target_reborn");
  target->is_listed = false;
  xch_peer_finish (&target->peer);
  gtw_target_t *next = gtw_target_add (gateway, told);
  gtw_target_link (gateway, next);
  end_requests (gateway, target, told->who.born_ms);
  return next;
}
