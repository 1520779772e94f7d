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
  /// A quota without requests for this long is not reported to sidecars.
  QUOTA_IN_USE_MS = 2000,
  DECIDED_DELAY_MS = 0, ///< At the next iteration of the event loop.
  /// After contact with a first sidecar, the time that sidecars of a higher
  /// rank get to connect before a lender is chosen.
  LENDER_SETTLE_MS = 500,
};

static gtw_charge_t *
charge_from_waiter (qsp_waiter_t *waiter)
{
  return (gtw_charge_t *)((char *)waiter - offsetof (gtw_charge_t, waiter));
}

/// Clocks of two VMs are not comparable, so a target's limit is sent with its
/// age.
static uint64_t
revision_to_send (const gtw_quota_t *quota,
                  const qln_request_t *credit_request)
{
  return quota->is_target_limit ? tmr_boottime_ms () - credit_request->revision
                                : credit_request->revision;
}

static void
send_credit_request (qsp_spender_t *spender, uint64_t id,
                     const qln_request_t *credit_request)
{
  gtw_quota_t *quota = (gtw_quota_t *)spender;
  gtw_gateway_t *gateway = quota->gateway;
  const gtw_target_t *target
      = kb_map_get (&gateway->links, spender->lender.id);
  msg_t msg = {
    .type = MSG_QUOTA_REQUEST,
    .quota_request
    = { .id = id,
        .subject = credit_request->workspace,
        .is_of_target = quota->is_target_limit,
        .revision = revision_to_send (quota, credit_request),
        .rate_milli = (uint64_t)(credit_request->limit.rate_per_s * MILLI),
        .burst_milli = (uint64_t)(credit_request->limit.burst * MILLI),
        .min_milli = (uint64_t)(credit_request->min_amount * MILLI),
        .wanted_milli = (uint64_t)(credit_request->wanted_amount * MILLI) + 1,
        .unspent_milli = (uint64_t)(credit_request->unspent * MILLI),
        .since_ms = credit_request->lender_age_ms,
        .sidecar_incarnation = credit_request->lender_incarnation,
        .uptime_ms = credit_request->uptime_ms,
        .reachable_milli = (uint64_t)(credit_request->reach * MILLI),
        .prior = credit_request->prior,
        .ledger_age_ms = credit_request->ledger_age_ms,
        .ledger = credit_request->ledger,
        .gateway_peak = gateway->gateway_peak.count,
        .gateway_peak_age_ms
        = tmr_boottime_ms () - gateway->gateway_peak.seen_ms }
  };
  MET_INC ("knapweedbay_quota_asks_total", "");
  // A request that cannot be sent is sent again by the next tick.
  if (target == NULL || hst_send (&gateway->host, target->link, &msg) != KB_OK)
    MET_INC ("knapweedbay_sidecar_unreached_total", "");
}

static void
queue_decided (qsp_spender_t *spender, qsp_waiter_t *waiter,
               qsp_verdict_t verdict)
{
  gtw_gateway_t *gateway = ((gtw_quota_t *)spender)->gateway;
  gtw_charge_t *charge = charge_from_waiter (waiter);
  charge->verdict = verdict;
  charge->charged_ms = tmr_boottime_ms ();
  charge->is_decided = true;
  charge->next_decided = NULL;
  gtw_charge_t **at = &gateway->decided;
  while (*at != NULL)
    at = &(*at)->next_decided;
  *at = charge;
  tmr_start_once (&gateway->host.timers, &gateway->decided_timer,
                  DECIDED_DELAY_MS, gateway->on_decided, gateway);
}

static const qsp_callbacks_t spender_callbacks
    = { send_credit_request, queue_decided };

gtw_request_t *
gtw_quota_pop_decided (gtw_gateway_t *gateway)
{
  gtw_charge_t *charge = gateway->decided;
  if (charge == NULL)
    return NULL;
  gateway->decided = charge->next_decided;
  charge->is_decided = false;
  return charge->request;
}

static void
dequeue_decided (gtw_gateway_t *gateway, gtw_charge_t *charge)
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
is_recently_started (const gtw_gateway_t *gateway,
                     const quo_tolerance_t *tolerance)
{
  return tmr_boottime_ms () - gateway->started_boot_ms
         < quo_window_ms (tolerance);
}

static gtw_quota_t *
quota_create (gtw_gateway_t *gateway, const gtw_quota_subject_t *subject)
{
  gtw_quota_t *quota = kb_alloc (sizeof *quota);
  *quota = (gtw_quota_t){ .gateway = gateway,
                          .is_target_limit = subject->is_target };
  snprintf (quota->name, sizeof quota->name, "%s", subject->name);
  qsp_options_t options
      = { .workspace = subject->key,
          .tolerance = subject->is_target
                           ? bkp_limit_tolerance
                           : tolerance_of (&gateway->host.settings),
          .first_id = gateway->host.incarnation >> 32,
          .started_ms = gateway->started_boot_ms };
  options.prior = is_recently_started (gateway, &options.tolerance)
                      ? QLN_PRIOR_LOST
                      : QLN_PRIOR_NONE;
  qsp_init (&quota->spender, &spender_callbacks, gateway, &options,
            tmr_boottime_ms ());
  kb_map_put (&gateway->quotas, subject->key, quota);
  return quota;
}

static qrk_candidate_t
rank_entry_of (const gtw_gateway_t *gateway, const gtw_target_t *target,
               uint64_t workspace)
{
  return (qrk_candidate_t){
    .link = gtw_link_key (kb_slice_str (target->link)),
    .rank
    = kb_hash (&target->address_hash, sizeof target->address_hash, workspace),
    .incarnation = target->sidecar_incarnation,
    .contact_since_ms = target->contact_since_ms,
    .contact_lost_ms = target->contact_lost_ms,
  };
}

/// Find the lender and its standby among the sidecars in contact.
static qrk_ranking_t
rank_lenders (const gtw_gateway_t *gateway, uint64_t workspace,
              uint64_t now_ms)
{
  qrk_ranking_t rank;
  qrk_init (&rank, gateway->last_unlink_ms);
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      qrk_candidate_t entry = rank_entry_of (gateway, t, workspace);
      if (t->is_linked && gtw_target_is_in_contact (gateway, t))
        qrk_add (&rank, &entry, now_ms);
    }
  at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (!t->is_linked || t->contact_lost_ms <= rank.better_seen_ms)
        continue;
      qrk_candidate_t entry = rank_entry_of (gateway, t, workspace);
      qrk_add_unreachable (&rank, &entry);
    }
  return rank;
}

/// Send a state report with the next tick, so that the sidecar learns at once
/// who borrows where.
static void
expedite_state_report (const gtw_gateway_t *gateway, uint64_t link)
{
  gtw_target_t *target = kb_map_get (&gateway->links, link);
  if (target != NULL)
    target->state_sent_ms = 0;
}

static void
update_lender (gtw_quota_t *quota, uint64_t now_ms)
{
  gtw_gateway_t *gateway = quota->gateway;
  qrk_ranking_t rank
      = rank_lenders (gateway, quota->spender.workspace, now_ms);
  qrk_candidate_t first = rank.first;
  if (now_ms - gateway->last_no_contact_ms < LENDER_SETTLE_MS)
    first = (qrk_candidate_t){ 0 };
  uint64_t before = quota->spender.lender.id;
  quota->standby_lender = rank.second.link;
  qsp_lender_t chosen_lender = { first.link, first.incarnation };
  qsp_set_reach (&quota->spender, gateway->reachable_share);
  qsp_set_lender (&quota->spender, &chosen_lender, qrk_first_since_ms (&rank),
                  gateway->gateway_peak.count, now_ms);
  if (before == first.link)
    return;
  expedite_state_report (gateway, before);
  expedite_state_report (gateway, quota->standby_lender);
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "quota_lender"))
    return;
  const gtw_target_t *lender = kb_map_get (&gateway->links, first.link);
  log_text (&line, quota->is_target_limit ? "target" : "workspace",
            quota->name);
  log_text (&line, "sidecar", lender == NULL ? "" : lender->link);
  log_int (&line, "rate_per_s", (int64_t)quota->spender.limit.rate_per_s);
  log_int (&line, "burst", (int64_t)quota->spender.limit.burst);
  log_end (&line);
}

void
gtw_quota_prepare_charge (gtw_request_t *r, gtw_charge_t *charge,
                          const gtw_quota_subject_t *subject, double amount)
{
  gtw_gateway_t *gateway = r->gateway;
  gtw_quota_t *quota = kb_map_get (&gateway->quotas, subject->key);
  bool is_new = quota == NULL;
  if (is_new)
    quota = quota_create (gateway, subject);
  qsp_set_limit (&quota->spender, &subject->limit, subject->revision);
  if (is_new)
    update_lender (quota, tmr_boottime_ms ());
  quota->charge_count++;
  *charge = (gtw_charge_t){
    .quota = quota, .request = r, .amount = amount, .verdict = QSP_WAITING
  };
}

void
gtw_quota_prepare_workspace_charge (gtw_request_t *r,
                                    const wsp_workspace_t *workspace)
{
  const wsp_limit_t *limit = &workspace->limit;
  if (limit->rate_per_s <= 0)
    return;
  gtw_quota_subject_t subject = { .key = workspace_key (workspace->name),
                                  .name = workspace->name,
                                  .limit = { limit->rate_per_s, limit->burst },
                                  .revision = r->gateway->config->revision };
  double tokens = r->parsed_head.has_token_counts
                      ? (double)r->parsed_head.prompt_tokens
                            + (double)r->parsed_head.output_tokens
                      : (double)limit->default_request_tokens;
  gtw_quota_prepare_charge (r, &r->charge, &subject,
                            limit->counts_tokens ? tokens : 1);
}

qsp_verdict_t
gtw_quota_try_charge (gtw_charge_t *charge)
{
  if (charge->quota == NULL)
    return QSP_ADMITTED;
  if (charge->is_requested)
    return charge->verdict;
  charge->is_requested = true;
  charge->charged_ms = tmr_boottime_ms ();
  charge->verdict = qsp_admit (&charge->quota->spender, &charge->waiter,
                               charge->amount, charge->charged_ms);
  return charge->verdict;
}

bool
gtw_quota_has_lender (const gtw_charge_t *charge)
{
  return charge->quota->spender.lender.id != 0;
}

uint64_t
gtw_quota_wait_ms (const gtw_charge_t *charge)
{
  return qsp_wait_ms (&charge->quota->spender, tmr_boottime_ms ());
}

uint64_t
gtw_quota_subject_wait_ms (const gtw_gateway_t *gateway, uint64_t subject)
{
  const gtw_quota_t *quota = kb_map_get (&gateway->quotas, subject);
  return quota == NULL ? 0 : qsp_wait_ms (&quota->spender, tmr_boottime_ms ());
}

void
gtw_quota_release_charge (gtw_charge_t *charge, bool has_not_run)
{
  gtw_quota_t *quota = charge->quota;
  if (quota == NULL)
    return;
  qsp_cancel (&quota->spender, &charge->waiter);
  if (charge->is_decided)
    dequeue_decided (quota->gateway, charge);
  bool is_spent = charge->is_requested && charge->verdict == QSP_ADMITTED;
  if (is_spent && has_not_run)
    qsp_return_credit (&quota->spender, charge->amount, charge->charged_ms);
  quota->charge_count--;
  charge->quota = NULL;
}

void
gtw_quota_receive_grant (gtw_gateway_t *gateway,
                         const msg_quota_grant_t *grant_msg)
{
  gtw_quota_t *quota = kb_map_get (&gateway->quotas, grant_msg->subject);
  if (quota == NULL)
    return;
  qln_grant_t grant = { .granted = (double)grant_msg->granted_milli / MILLI,
                        .lasts_ms = grant_msg->lasts_ms,
                        .wait_ms = grant_msg->wait_ms,
                        .is_pause = grant_msg->is_pause != 0,
                        .is_refused = grant_msg->is_refused != 0 };
  qsp_apply_grant (&quota->spender, grant_msg->id, &grant, grant_msg->ledger,
                   tmr_boottime_ms ());
}

static void
update_contact (gtw_target_t *target, bool is_in_contact, uint64_t now_ms)
{
  bool was_in_contact = target->contact_since_ms > 0;
  if (is_in_contact == was_in_contact)
    return;
  target->contact_since_ms = is_in_contact ? now_ms : 0;
  if (was_in_contact)
    target->contact_lost_ms = now_ms;
}

/// Record which sidecars are in contact, and since when.
static void
update_contacts (gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint32_t linked = 0;
  uint32_t contact_count = 0;
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      bool is_in_contact
          = t->is_linked && gtw_target_is_in_contact (gateway, t);
      linked += t->is_listed && t->is_linked;
      contact_count += is_in_contact;
      update_contact (t, is_in_contact, now_ms);
    }
  gateway->reachable_share = linked == 0 ? 0 : (double)contact_count / linked;
  if (contact_count == 0)
    gateway->last_no_contact_ms = now_ms;
}

/// @return  A quota that is no longer used, or NULL.
static gtw_quota_t *
find_idle (const gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint32_t at = 0;
  for (gtw_quota_t *q = kb_map_next (&gateway->quotas, &at); q != NULL;
       q = kb_map_next (&gateway->quotas, &at))
    if (q->charge_count == 0 && qsp_is_idle (&q->spender, now_ms))
      return q;
  return NULL;
}

void
gtw_quotas_tick (gtw_gateway_t *gateway)
{
  uint64_t now_ms = tmr_boottime_ms ();
  update_contacts (gateway, now_ms);
  gtw_quota_t *idle = find_idle (gateway, now_ms);
  if (idle != NULL)
    {
      kb_map_remove (&gateway->quotas, idle->spender.workspace);
      free (idle);
    }
  uint32_t at = 0;
  for (gtw_quota_t *q = kb_map_next (&gateway->quotas, &at); q != NULL;
       q = kb_map_next (&gateway->quotas, &at))
    {
      update_lender (q, now_ms);
      qsp_tick (&q->spender, now_ms);
    }
}

void
gtw_quotas_pack_served_elsewhere (const gtw_gateway_t *gateway, uint64_t link,
                                  kb_buf_t *out)
{
  uint64_t now_ms = tmr_boottime_ms ();
  const gtw_target_t *target = kb_map_get (&gateway->links, link);
  // A sidecar without contact to this gateway may lend to others.
  bool is_silent
      = target == NULL || !gtw_target_is_in_contact (gateway, target);
  uint32_t at = 0;
  for (const gtw_quota_t *q = kb_map_next (&gateway->quotas, &at); q != NULL;
       q = kb_map_next (&gateway->quotas, &at))
    {
      const qsp_spender_t *spender = &q->spender;
      bool is_in_use = spender->lender.id != 0
                       && now_ms - spender->demand_ms < QUOTA_IN_USE_MS;
      if (is_in_use && (is_silent || q->standby_lender == link)
          && out->len_bytes < QGW_MAX_WORKSPACES * sizeof spender->workspace)
        kb_buf_append (out, &spender->workspace, sizeof spender->workspace);
    }
}
