#include "gateway/gateway_quota.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "coordination/quota_rank.h"
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MILLI = 1000,
  /// A workspace without requests for this long uses no lender.
  IN_USE_MS = 2000,
  DECIDED_MS = 0, ///< At the next turn of the loop.
  /// When a first sidecar is heard, others follow that rank before it.
  SETTLE_MS = 500,
};

static gtw_charge_t *
charge_of (qsp_waiter_t *waiter)
{
  return (gtw_charge_t *)((char *)waiter - offsetof (gtw_charge_t, waiter));
}

/// Clocks of two VMs tell nothing to each other: of a target, the age of the
/// limit is sent.
static uint64_t
revision_to_send (const gtw_quota_t *quota, const qln_ask_t *ask)
{
  return quota->is_of_target ? tmr_boot_ms () - ask->revision : ask->revision;
}

static void
send_ask (qsp_purse_t *purse, uint64_t id, const qln_ask_t *ask)
{
  gtw_quota_t *quota = (gtw_quota_t *)purse;
  gtw_gateway_t *gateway = quota->gateway;
  const gtw_target_t *target = kb_map_get (&gateway->links, purse->lender.id);
  msg_t msg = { .type = MSG_QUOTA_ASK,
                .quota_ask
                = { .id = id,
                    .subject = ask->workspace,
                    .is_of_target = quota->is_of_target,
                    .revision = revision_to_send (quota, ask),
                    .rate_milli = (uint64_t)(ask->limit.rate_per_s * MILLI),
                    .burst_milli = (uint64_t)(ask->limit.burst * MILLI),
                    .least_milli = (uint64_t)(ask->least * MILLI),
                    .want_milli = (uint64_t)(ask->want * MILLI) + 1,
                    .unspent_milli = (uint64_t)(ask->unspent * MILLI),
                    .since_ms = ask->since_ms,
                    .life = ask->life,
                    .uptime_ms = ask->uptime_ms,
                    .reach_milli = (uint64_t)(ask->reach * MILLI),
                    .past = ask->past,
                    .ledger_age_ms = ask->ledger_age_ms,
                    .ledger = ask->ledger,
                    .gateway_peak = gateway->peak.count,
                    .gateway_peak_age_ms
                    = tmr_boot_ms () - gateway->peak.seen_ms } };
  MET_INC ("knapweedbay_quota_asks_total", "");
  // One that can not be sent is sent again by the next tick.
  if (target == NULL || hst_send (&gateway->host, target->link, &msg) != KB_OK)
    MET_INC ("knapweedbay_sidecar_unreached_total", "");
}

static void
note_decided (qsp_purse_t *purse, qsp_waiter_t *waiter, qsp_verdict_t verdict)
{
  gtw_gateway_t *gateway = ((gtw_quota_t *)purse)->gateway;
  gtw_charge_t *charge = charge_of (waiter);
  charge->verdict = verdict;
  charge->taken_ms = tmr_boot_ms ();
  charge->is_decided = true;
  charge->next_decided = NULL;
  gtw_charge_t **at = &gateway->decided;
  while (*at != NULL)
    at = &(*at)->next_decided;
  *at = charge;
  tmr_after (&gateway->host.timers, &gateway->decided_timer, DECIDED_MS,
             gateway->on_decided, gateway);
}

static const qsp_events_t purse_events = { send_ask, note_decided };

gtw_request_t *
gtw_quota_next_decided (gtw_gateway_t *gateway)
{
  gtw_charge_t *charge = gateway->decided;
  if (charge == NULL)
    return NULL;
  gateway->decided = charge->next_decided;
  charge->is_decided = false;
  return charge->request;
}

static void
forget_decided (gtw_gateway_t *gateway, gtw_charge_t *charge)
{
  gtw_charge_t **at = &gateway->decided;
  while (*at != charge)
    at = &(*at)->next_decided;
  *at = charge->next_decided;
  charge->is_decided = false;
}

static quo_tolerance_t
tolerance_of (const set_settings_t *s)
{
  return (quo_tolerance_t){ .window_s = s->quota_window_s,
                            .overshoot = s->quota_overshoot,
                            .slack = s->quota_slack };
}

static uint64_t
workspace_key (const char *name)
{
  return kb_hash (name, strlen (name), 0) | 1;
}

static bool
is_young (const gtw_gateway_t *gateway, const quo_tolerance_t *tolerance)
{
  return tmr_boot_ms () - gateway->born_ms < quo_window_ms (tolerance);
}

static gtw_quota_t *
quota_open (gtw_gateway_t *gateway, const gtw_subject_t *subject)
{
  gtw_quota_t *quota = kb_alloc (sizeof *quota);
  *quota = (gtw_quota_t){ .gateway = gateway,
                          .is_of_target = subject->is_target };
  snprintf (quota->name, sizeof quota->name, "%s", subject->name);
  qsp_options_t options
      = { .workspace = subject->key,
          .tolerance = subject->is_target
                           ? bkp_limit_tolerance
                           : tolerance_of (&gateway->host.settings),
          .first_id = gateway->host.incarnation >> 32,
          .born_ms = gateway->born_ms };
  options.past
      = is_young (gateway, &options.tolerance) ? QLN_PAST_LOST : QLN_PAST_NONE;
  qsp_init (&quota->purse, &purse_events, gateway, &options, tmr_boot_ms ());
  kb_map_put (&gateway->quotas, subject->key, quota);
  return quota;
}

static qrk_place_t
place_of (const gtw_gateway_t *gateway, const gtw_target_t *target,
          uint64_t workspace)
{
  return (qrk_place_t){
    .link = gtw_link_key (kb_slice_str (target->link)),
    .rank = kb_hash (&target->place_key, sizeof target->place_key, workspace),
    .life = target->incarnation,
    .heard_since_ms = target->heard_since_ms,
    .silent_ms = target->unheard_ms,
  };
}

/// Find who lends and who would be next, of those that are heard.
static qrk_rank_t
find_lenders (const gtw_gateway_t *gateway, uint64_t workspace,
              uint64_t now_ms)
{
  qrk_rank_t rank;
  qrk_init (&rank, gateway->unlinked_ms);
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      qrk_place_t place = place_of (gateway, t, workspace);
      if (t->is_linked && gtw_target_is_heard (gateway, t))
        qrk_add (&rank, &place, now_ms);
    }
  at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (!t->is_linked || t->unheard_ms <= rank.changed_ms)
        continue;
      qrk_place_t place = place_of (gateway, t, workspace);
      qrk_note_silent (&rank, &place);
    }
  return rank;
}

/// Sidecars are to know at once who borrows where.
static void
tell_soon (const gtw_gateway_t *gateway, uint64_t link)
{
  gtw_target_t *target = kb_map_get (&gateway->links, link);
  if (target != NULL)
    target->told_ms = 0;
}

static void
follow_lender (gtw_quota_t *quota, uint64_t now_ms)
{
  gtw_gateway_t *gateway = quota->gateway;
  qrk_rank_t rank = find_lenders (gateway, quota->purse.workspace, now_ms);
  qrk_place_t first = rank.first;
  if (now_ms - gateway->alone_ms < SETTLE_MS)
    first = (qrk_place_t){ 0 };
  uint64_t before = quota->purse.lender.id;
  quota->next = rank.second.link;
  qsp_lender_t taken = { first.link, first.life };
  qsp_set_reach (&quota->purse, gateway->reach);
  qsp_set_lender (&quota->purse, &taken, qrk_first_since_ms (&rank),
                  gateway->peak.count, now_ms);
  if (before == first.link)
    return;
  tell_soon (gateway, before);
  tell_soon (gateway, quota->next);
  log_event_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "quota_lender"))
    return;
  const gtw_target_t *lender = kb_map_get (&gateway->links, first.link);
  log_text (&line, quota->is_of_target ? "target" : "workspace", quota->name);
  log_text (&line, "sidecar", lender == NULL ? "" : lender->link);
  log_int (&line, "rate_per_s", (int64_t)quota->purse.limit.rate_per_s);
  log_int (&line, "burst", (int64_t)quota->purse.limit.burst);
  log_end (&line);
}

void
gtw_quota_use (gtw_request_t *r, gtw_charge_t *charge,
               const gtw_subject_t *subject, double amount)
{
  gtw_gateway_t *gateway = r->gateway;
  gtw_quota_t *quota = kb_map_get (&gateway->quotas, subject->key);
  bool is_new = quota == NULL;
  if (is_new)
    quota = quota_open (gateway, subject);
  qsp_set_limit (&quota->purse, &subject->limit, subject->revision);
  if (is_new)
    follow_lender (quota, tmr_boot_ms ());
  quota->users++;
  *charge = (gtw_charge_t){
    .quota = quota, .request = r, .amount = amount, .verdict = QSP_WAITS
  };
}

void
gtw_quota_charge (gtw_request_t *r, const wsp_workspace_t *workspace)
{
  const wsp_limit_t *limit = &workspace->limit;
  if (limit->rate_per_s <= 0)
    return;
  gtw_subject_t subject = { .key = workspace_key (workspace->name),
                            .name = workspace->name,
                            .limit = { limit->rate_per_s, limit->burst },
                            .revision = r->gateway->config->revision };
  double tokens
      = r->said.states_tokens
            ? (double)r->said.prompt_tokens + (double)r->said.output_tokens
            : (double)limit->default_request_tokens;
  gtw_quota_use (r, &r->charge, &subject, limit->counts_tokens ? tokens : 1);
}

qsp_verdict_t
gtw_quota_take (gtw_charge_t *charge)
{
  if (charge->quota == NULL)
    return QSP_SPENT;
  if (charge->is_asked)
    return charge->verdict;
  charge->is_asked = true;
  charge->taken_ms = tmr_boot_ms ();
  charge->verdict = qsp_enter (&charge->quota->purse, &charge->waiter,
                               charge->amount, charge->taken_ms);
  return charge->verdict;
}

bool
gtw_quota_has_lender (const gtw_charge_t *charge)
{
  return charge->quota->purse.lender.id != 0;
}

uint64_t
gtw_quota_wait_ms (const gtw_charge_t *charge)
{
  return qsp_wait_ms (&charge->quota->purse, tmr_boot_ms ());
}

uint64_t
gtw_quota_subject_wait_ms (const gtw_gateway_t *gateway, uint64_t subject)
{
  const gtw_quota_t *quota = kb_map_get (&gateway->quotas, subject);
  return quota == NULL ? 0 : qsp_wait_ms (&quota->purse, tmr_boot_ms ());
}

void
gtw_quota_release (gtw_charge_t *charge, bool has_not_run)
{
  gtw_quota_t *quota = charge->quota;
  if (quota == NULL)
    return;
  qsp_leave (&quota->purse, &charge->waiter);
  if (charge->is_decided)
    forget_decided (quota->gateway, charge);
  bool is_spent = charge->is_asked && charge->verdict == QSP_SPENT;
  if (is_spent && has_not_run)
    qsp_give_back (&quota->purse, charge->amount, charge->taken_ms);
  quota->users--;
  charge->quota = NULL;
}

void
gtw_quota_granted (gtw_gateway_t *gateway, const msg_quota_grant_t *given)
{
  gtw_quota_t *quota = kb_map_get (&gateway->quotas, given->subject);
  if (quota == NULL)
    return;
  qln_grant_t grant = { .granted = (double)given->granted_milli / MILLI,
                        .lasts_ms = given->lasts_ms,
                        .wait_ms = given->wait_ms,
                        .is_pause = given->is_pause != 0,
                        .is_refused = given->is_refused != 0 };
  qsp_take_grant (&quota->purse, given->id, &grant, given->ledger,
                  tmr_boot_ms ());
}

static void
note_heard (gtw_target_t *target, bool is_heard, uint64_t now_ms)
{
  bool was_heard = target->heard_since_ms > 0;
  if (is_heard == was_heard)
    return;
  target->heard_since_ms = is_heard ? now_ms : 0;
  if (was_heard)
    target->unheard_ms = now_ms;
}

/// Note which sidecars are heard, and since when.
static void
follow_heard (gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint32_t linked = 0;
  uint32_t heard = 0;
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      bool is_heard = t->is_linked && gtw_target_is_heard (gateway, t);
      linked += t->is_listed && t->is_linked;
      heard += is_heard;
      note_heard (t, is_heard, now_ms);
    }
  gateway->reach = linked == 0 ? 0 : (double)heard / linked;
  if (heard == 0)
    gateway->alone_ms = now_ms;
}

/// @return  A quota that nobody needs any more, or NULL.
static gtw_quota_t *
find_idle (const gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint32_t at = 0;
  for (gtw_quota_t *q = kb_map_next (&gateway->quotas, &at); q != NULL;
       q = kb_map_next (&gateway->quotas, &at))
    if (q->users == 0 && qsp_is_idle (&q->purse, now_ms))
      return q;
  return NULL;
}

void
gtw_quotas_tick (gtw_gateway_t *gateway)
{
  uint64_t now_ms = tmr_boot_ms ();
  follow_heard (gateway, now_ms);
  gtw_quota_t *idle = find_idle (gateway, now_ms);
  if (idle != NULL)
    {
      kb_map_remove (&gateway->quotas, idle->purse.workspace);
      free (idle);
    }
  uint32_t at = 0;
  for (gtw_quota_t *q = kb_map_next (&gateway->quotas, &at); q != NULL;
       q = kb_map_next (&gateway->quotas, &at))
    {
      follow_lender (q, now_ms);
      qsp_tick (&q->purse, now_ms);
    }
}

void
gtw_quotas_pack_elsewhere (const gtw_gateway_t *gateway, uint64_t link,
                           kb_buf_t *out)
{
  uint64_t now_ms = tmr_boot_ms ();
  const gtw_target_t *target = kb_map_get (&gateway->links, link);
  // One that is not heard here may lend to others.
  bool is_silent = target == NULL || !gtw_target_is_heard (gateway, target);
  uint32_t at = 0;
  for (const gtw_quota_t *q = kb_map_next (&gateway->quotas, &at); q != NULL;
       q = kb_map_next (&gateway->quotas, &at))
    {
      const qsp_purse_t *purse = &q->purse;
      bool is_in_use
          = purse->lender.id != 0 && now_ms - purse->demand_ms < IN_USE_MS;
      if (is_in_use && (is_silent || q->next == link)
          && out->len_bytes < QOF_WORKSPACES_MOST * sizeof purse->workspace)
        kb_buf_append (out, &purse->workspace, sizeof purse->workspace);
    }
}
