/// @file sidecar_quota.c
/// Lends credit of workspaces' quotas and of plain targets' limits to
/// gateways.
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MILLI = 1000,
};

void
scr_quota_init (scr_sidecar_t *s)
{
  const set_settings_t *settings = &s->host.settings;
  quo_tolerance_t tolerance = { .window_s = settings->quota_window_s,
                                .overshoot = settings->quota_overshoot,
                                .slack = settings->quota_slack };
  qln_init (&s->lender, &tolerance, s->host.incarnation, tmr_boottime_ms ());
  qln_init (&s->target_limits, &bkp_limit_tolerance, s->host.incarnation,
            tmr_boottime_ms ());
  s->target_limits.is_capped_by_reach = true;
  qgw_init (&s->lender_role, tmr_boottime_ms ());
}

void
scr_quota_receive_state (scr_sidecar_t *s, uint64_t gateway,
                         const msg_gateway_state_t *state)
{
  uint64_t now_ms = tmr_boottime_ms ();
  qgw_peak_merge (&s->lender_role.peak, (uint32_t)state->gateway_peak,
                  state->gateway_peak_age_ms, now_ms);
  if (qgw_record_served_elsewhere (&s->lender_role, gateway,
                                   state->served_elsewhere, now_ms))
    return;
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  log_write (LOG_WARN, "sidecar",
             "Ignored a malformed list of workspaces served elsewhere.");
}

static void
log_quota_refusal (kb_slice_t peer, const msg_quota_request_t *request)
{
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"quota_ask\"");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "sidecar", "quota_ask_refused"))
    return;
  log_slice (&line, "gateway", peer);
  log_int (&line, "subject", (int64_t)request->subject);
  log_int (&line, "rate_milli", (int64_t)request->rate_milli);
  log_int (&line, "least_milli", (int64_t)request->min_milli);
  log_int (&line, "want_milli", (int64_t)request->wanted_milli);
  log_end (&line);
}

/// @return  Revision of a quota or, for a target, when its limit was known to
///          hold by the local clock.
static uint64_t
revision_of (const msg_quota_request_t *request, uint64_t now_ms)
{
  if (!request->is_of_target)
    return request->revision;
  return now_ms > request->revision ? now_ms - request->revision : 0;
}

static qln_request_t
request_from_msg (scr_sidecar_t *s, uint64_t gateway,
                  const msg_quota_request_t *request, uint64_t now_ms)
{
  qgw_peak_merge (&s->lender_role.peak, (uint32_t)request->gateway_peak,
                  request->gateway_peak_age_ms, now_ms);
  uint32_t gateway_number
      = qgw_record_contact (&s->lender_role, gateway, now_ms);
  return (qln_request_t){
    .workspace = request->subject,
    .revision = revision_of (request, now_ms),
    .limit = { .rate_per_s = (double)request->rate_milli / MILLI,
               .burst = (double)request->burst_milli / MILLI },
    .min_amount = (double)request->min_milli / MILLI,
    .wanted_amount = (double)request->wanted_milli / MILLI,
    .unspent = (double)request->unspent_milli / MILLI,
    .lender_incarnation = request->sidecar_incarnation,
    .lender_age_ms = request->since_ms,
    .prior = (qln_prior_t)request->prior,
    .ledger = request->ledger,
    .ledger_age_ms = request->ledger_age_ms,
    .uptime_ms = request->uptime_ms,
    .reach = (double)request->reachable_milli / MILLI,
    .gateway_number = gateway_number,
    .share = qgw_share (&s->lender_role, request->subject, gateway, now_ms),
  };
}

void
scr_quota_handle_request (scr_sidecar_t *s, kb_slice_t peer,
                          const msg_quota_request_t *request)
{
  uint64_t now_ms = tmr_boottime_ms ();
  qln_request_t credit_request
      = request_from_msg (s, scr_name_id (peer), request, now_ms);
  if (!qln_request_is_valid (&credit_request))
    {
      log_quota_refusal (peer, request);
      return;
    }
  kb_buf_t ledger = { 0 };
  qln_lender_t *lender
      = request->is_of_target ? &s->target_limits : &s->lender;
  qln_grant_t grant = qln_lend (lender, &credit_request, &ledger, now_ms);
  msg_t msg
      = { .type = MSG_QUOTA_GRANT,
          .quota_grant = { .id = request->id,
                           .subject = request->subject,
                           .granted_milli = (uint64_t)(grant.granted * MILLI),
                           .lasts_ms = grant.lasts_ms,
                           .wait_ms = grant.wait_ms,
                           .is_pause = grant.is_pause,
                           .is_refused = grant.is_refused,
                           .ledger = kb_buf_slice (&ledger) } };
  if (plk_link_send (&s->host.link, peer, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
  kb_buf_finish (&ledger);
  MET_INC ("knapweedbay_quota_grants_total", "result=\"any\"");
}
