/// @file sidecar_quota.c
/// Credit that this sidecar lends to gateways: of workspaces' quotas, and of
/// what plain targets take.
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
  qln_init (&s->limits, &bkp_limit_tolerance, s->host.incarnation,
            tmr_boottime_ms ());
  s->limits.keeps_to_reach = true;
  qof_init (&s->office, tmr_boottime_ms ());
}

void
scr_quota_take_state (scr_sidecar_t *s, uint64_t gateway,
                      const msg_gateway_state_t *state)
{
  uint64_t now_ms = tmr_boottime_ms ();
  qof_peak_take (&s->office.peak, (uint32_t)state->gateway_peak,
                 state->gateway_peak_age_ms, now_ms);
  if (qof_note_elsewhere (&s->office, gateway, state->lent_elsewhere, now_ms))
    return;
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  log_write (LOG_WARN, "sidecar",
             "A list of workspaces that are lent elsewhere is ignored.");
}

static void
log_refusal (kb_slice_t peer, const msg_quota_ask_t *given)
{
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"quota_ask\"");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "sidecar", "quota_ask_refused"))
    return;
  log_slice (&line, "gateway", peer);
  log_int (&line, "subject", (int64_t)given->subject);
  log_int (&line, "rate_milli", (int64_t)given->rate_milli);
  log_int (&line, "least_milli", (int64_t)given->least_milli);
  log_int (&line, "want_milli", (int64_t)given->want_milli);
  log_end (&line);
}

/// When a target's limit was known to hold, by the own clock.
static uint64_t
revision_of (const msg_quota_ask_t *given, uint64_t now_ms)
{
  if (!given->is_of_target)
    return given->revision;
  return now_ms > given->revision ? now_ms - given->revision : 0;
}

static qln_ask_t
ask_of (scr_sidecar_t *s, uint64_t gateway, const msg_quota_ask_t *given,
        uint64_t now_ms)
{
  qof_peak_take (&s->office.peak, (uint32_t)given->gateway_peak,
                 given->gateway_peak_age_ms, now_ms);
  uint32_t asker = qof_hear (&s->office, gateway, now_ms);
  return (qln_ask_t){
    .workspace = given->subject,
    .revision = revision_of (given, now_ms),
    .limit = { .rate_per_s = (double)given->rate_milli / MILLI,
               .burst = (double)given->burst_milli / MILLI },
    .least = (double)given->least_milli / MILLI,
    .want = (double)given->want_milli / MILLI,
    .unspent = (double)given->unspent_milli / MILLI,
    .life = given->life,
    .since_ms = given->since_ms,
    .past = (qln_past_t)given->past,
    .ledger = given->ledger,
    .ledger_age_ms = given->ledger_age_ms,
    .uptime_ms = given->uptime_ms,
    .reach = (double)given->reach_milli / MILLI,
    .asker = asker,
    .share = qof_share (&s->office, given->subject, gateway, now_ms),
  };
}

void
scr_quota_ask (scr_sidecar_t *s, kb_slice_t peer, const msg_quota_ask_t *given)
{
  uint64_t now_ms = tmr_boottime_ms ();
  qln_ask_t ask = ask_of (s, scr_name_id (peer), given, now_ms);
  if (!qln_ask_is_sound (&ask))
    {
      log_refusal (peer, given);
      return;
    }
  kb_buf_t ledger = { 0 };
  qln_lender_t *lender = given->is_of_target ? &s->limits : &s->lender;
  qln_grant_t grant = qln_lend (lender, &ask, &ledger, now_ms);
  msg_t msg
      = { .type = MSG_QUOTA_GRANT,
          .quota_grant = { .id = given->id,
                           .subject = given->subject,
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
