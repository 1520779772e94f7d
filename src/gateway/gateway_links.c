/// @file gateway_links.c
/// Messages between gateways and sidecars, including the configuration and
/// adapter versions that sidecars forward to gateways which cannot reach the
/// store.
#include <stdlib.h>

#include "gateway/gateway_origin.h"
#include "gateway/gateway_suspects.h"
#include "relay/forward.h"
#include "relay/turn.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// By then a gateway of the sidecar's own failure domain has had two turns
  /// (relay/turn.h) to send it a configuration.
  REMOTE_DOMAIN_DELAY_MS = 1000,
  /// A sidecar may report an engine as ready for this long after its end: two
  /// polls have to fail, and the report may be queued.
  MAX_REPORT_LAG_MS = 1500,
};

static uint64_t
current_revision (const gtw_gateway_t *gateway)
{
  return gateway->config == NULL ? 0 : gateway->config->revision;
}

static void
pack_places (const gtw_gateway_t *gateway, const gtw_target_t *target,
             kb_buf_t *out)
{
  for (const gtw_request_t *r = gateway->requests; r != NULL; r = r->next)
    {
      if (r->place_id == 0 || strcmp (r->target->link, target->link) != 0)
        continue;
      msg_place_ref_t ref = { .id = r->place_id, .is_granted = r->has_place };
      kb_buf_append (out, &ref, sizeof ref);
    }
}

/// Zero means no limit in the message: a limit of zero becomes the smallest.
static uint64_t
limit_milli (const bkp_limit_t *limit)
{
  enum
  {
    MILLI = 1000,
  };
  uint64_t milli = (uint64_t)(limit->per_s * MILLI);
  return limit->is_limited && milli == 0 ? 1 : milli;
}

void
gtw_send_gateway_state (gtw_gateway_t *gateway, gtw_target_t *target)
{
  kb_buf_t places = { 0 };
  kb_buf_t served_elsewhere = { 0 };
  pack_places (gateway, target, &places);
  gtw_quotas_pack_served_elsewhere (
      gateway, gtw_link_key (kb_slice_str (target->link)), &served_elsewhere);
  target->state_sent_ms = gtw_now_ms (gateway);
  const bkp_limit_t *limit = &target->advertised.limit;
  msg_t msg = { .type = MSG_GATEWAY_STATE,
                .gateway_state
                = { .incarnation = gateway->host.incarnation,
                    .revision = current_revision (gateway),
                    .versions_known = gateway->versions.version_sum,
                    .engine_count
                    = gtw_targets_count (gateway, target->list_entry.service),
                    .list_stamp = target->list_stamp,
                    .quarantine_stamp = qrt_digest (&gateway->quarantine),
                    .gateway_peak = gateway->gateway_peak.count,
                    .gateway_peak_age_ms
                    = tmr_boottime_ms () - gateway->gateway_peak.seen_ms,
                    .limit_milli = limit_milli (limit),
                    .limit_age_ms = tmr_boottime_ms () - limit->at_ms,
                    .served_elsewhere = kb_buf_slice (&served_elsewhere),
                    .places = kb_buf_slice (&places) } };
  if (hst_send (&gateway->host, target->link, &msg) != KB_OK)
    MET_INC ("knapweedbay_sidecar_unreached_total", "");
  kb_buf_finish (&places);
  kb_buf_finish (&served_elsewhere);
}

static void
send_document (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  fwd_send_document (&gateway->host, target->link, current_revision (gateway),
                     &gateway->config_document);
}

static bool
lacks_config (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return target->sidecar_revision < current_revision (gateway);
}

static bool
is_same_domain (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return strcmp (target->list_entry.domain,
                 gateway->host.settings.failure_domain)
         == 0;
}

/// A sidecar gets a configuration from gateways of its own failure domain, and
/// from others if it still lacks it after REMOTE_DOMAIN_DELAY_MS, because its
/// domain may have no gateway that could send it. A document of 0.3 MB for
/// each of 120 sidecars, five of six in other domains, would be most of the
/// traffic between domains when the configuration changes often.
static bool
may_send_config (gtw_gateway_t *gateway, gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  if (!lacks_config (gateway, target))
    target->config_missing_since_ms = 0;
  else if (target->config_missing_since_ms == 0)
    target->config_missing_since_ms = now_ms;
  if (target->config_missing_since_ms == 0)
    return false;
  return is_same_domain (gateway, target)
         || now_ms - target->config_missing_since_ms >= REMOTE_DOMAIN_DELAY_MS;
}

/// Send a sidecar the configuration, versions and records that it lacks.
static void
sync_sidecar (gtw_gateway_t *gateway, gtw_target_t *target)
{
  bool may_send = may_send_config (gateway, target);
  if (!trn_has_turn (gateway->host.incarnation, target->address_hash,
                     gateway->gateway_count, gtw_now_ms (gateway)))
    return;
  if (may_send)
    send_document (gateway, target);
  if (target->sidecar_versions < gateway->versions.version_sum)
    fwd_send_versions (&gateway->host, target->link, &gateway->versions);
  gtw_quarantine_sync_sidecar (gateway, target);
}

/// @return  Number of sidecars in this gateway's failure domain.
static uint32_t
count_same_domain (const gtw_gateway_t *gateway)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    count += t->is_linked && is_same_domain (gateway, t);
  return count;
}

void
gtw_send_state_to_all (gtw_gateway_t *gateway)
{
  uint32_t same_domain_count = count_same_domain (gateway);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (!t->is_linked || t->last_contact_ms == 0)
        continue;
      if (may_send_config (gateway, t)
          && trn_is_first_receiver (gateway->host.incarnation, t->address_hash,
                                    same_domain_count))
        send_document (gateway, t);
      gtw_send_gateway_state (gateway, t);
    }
}

void
gtw_apply_config (gtw_gateway_t *gateway, svc_config_t *config,
                  kb_slice_t document, const char *from)
{
  if (!svc_revision_is_newer (current_revision (gateway), config->revision))
    {
      svc_config_free (config);
      return;
    }
  svc_config_free (gateway->config);
  gateway->config = config;
  kb_buf_clear (&gateway->config_document);
  kb_buf_append (&gateway->config_document, document.ptr, document.len_bytes);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "config", "config_in_force"))
    {
      log_int (&line, "revision", (int64_t)config->revision);
      log_int (&line, "routes", config->route_count);
      log_text (&line, "from", from);
      log_end (&line);
    }
  gtw_budgets_apply_config (gateway);
  gtw_software_apply_config (gateway);
  gtw_targets_tick (gateway);
  gtw_send_state_to_all (gateway);
}

void
gtw_apply_adapter_version (gtw_gateway_t *gateway, kb_slice_t model,
                           kb_slice_t adapter, uint32_t version)
{
  ver_item_t *item
      = ver_table_update (&gateway->versions, model, adapter, version);
  if (item == NULL)
    return;
  gtw_resume_record_version (gateway, item);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "config", "adapter_version"))
    {
      log_slice (&line, "adapter", adapter);
      log_int (&line, "version", version);
      log_end (&line);
    }
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_linked && t->last_contact_ms > 0)
      sync_sidecar (gateway, t);
}

static void
copy_adapters (gtw_target_t *target, kb_slice_t packed)
{
  uint32_t count = packed.len_bytes / (uint32_t)sizeof *target->adapters;
  target->adapters
      = kb_realloc (target->adapters, (count + 1) * sizeof *target->adapters);
  memcpy (target->adapters, packed.ptr, count * sizeof *target->adapters);
  target->adapter_count = count;
  for (uint32_t i = 0; i < count; i++)
    if (target->adapters[i].state == MSG_ADAPTER_HELD)
      rct_add (&target->recent_adapters, target->adapters[i].key,
               target->adapters[i].version);
}

/// @return  Whether a sidecar reports another engine than before.
static bool
is_other_engine (const gtw_target_t *target, const msg_engine_state_t *state)
{
  return state->instance.len_bytes > 0 && target->reported_engine.id[0] != '\0'
         && (!kb_slice_equal (state->instance,
                              kb_slice_str (target->reported_engine.id))
             || target->reported_engine.born_ms != state->born_ms);
}

/// @return  Whether the engine that was ready in the last report has ended.
static bool
reports_engine_ended (const gtw_target_t *target,
                      const msg_engine_state_t *state)
{
  bool is_down = target->condition == MSG_ENGINE_READY
                 && state->condition == MSG_ENGINE_DOWN;
  return is_down || is_other_engine (target, state);
}

/// @return  Whether an engine that was considered ended is alive: its reports
///          were late.
static bool
reports_engine_alive (const gtw_target_t *target,
                      const msg_engine_state_t *state)
{
  return state->condition == MSG_ENGINE_READY
         && kb_slice_equal (state->instance,
                            kb_slice_str (target->list_entry.identity.id));
}

/// A restarted engine has lost the copies of the adapters that it held.
static void
apply_engine_instance (gtw_target_t *target, const msg_engine_state_t *state)
{
  if (state->instance.len_bytes == 0)
    return;
  if (is_other_engine (target, state))
    rct_adapters_clear (&target->recent_adapters);
  target->reported_engine.born_ms = state->born_ms;
  kb_slice_copy (state->instance, target->reported_engine.id,
                 sizeof target->reported_engine.id);
}

/// Judge the birth time of the engine in a sidecar's report. A sidecar learns
/// of a restart before the list does; the list decides which target is used.
/// @return  The target that the report is about, or NULL when it is about an
///          earlier incarnation than the known one.
static gtw_target_t *
target_of_report (gtw_gateway_t *gateway, gtw_target_t *target,
                  const msg_engine_state_t *state)
{
  if (!target->is_listed
      || !kb_slice_equal (state->instance,
                          kb_slice_str (target->list_entry.identity.id)))
    return target;
  src_target_t listing = target->list_entry;
  listing.identity.born_ms = state->born_ms;
  // The next incarnation's list entry names its software, and that or its
  // sidecar says whether it leaves.
  listing.is_leaving = false;
  listing.software[0] = '\0';
  switch (inc_observe_birth (&target->known_birth, state->born_ms))
    {
    case INC_STALE:
      gtw_target_report_stale (target, state->born_ms, "sidecar");
      return NULL;
    case INC_NEW:
      return gtw_target_replace_incarnation (gateway, target, &listing);
    default:
      return target;
    }
}

/// Adapters are sent when they change; in a report without them, the stamp
/// shows whether the previous list still holds. A stamp that does not match is
/// reset and sent back, so that the next report includes the list.
static void
apply_adapter_list (gtw_target_t *target, const msg_engine_state_t *state)
{
  if (state->adapters.len_bytes == 0
      && target->list_stamp == state->list_stamp)
    return;
  copy_adapters (target, state->adapters);
  uint64_t stamp
      = kb_hash (state->adapters.ptr, state->adapters.len_bytes, 1) | 1;
  target->list_stamp = stamp == state->list_stamp ? stamp : 0;
}

/// The sidecar reports that its engine lives, an incarnation which the list
/// doesn't name yet.
static void
confirm_unlisted (gtw_gateway_t *gateway, gtw_target_t *target,
                  const msg_engine_state_t *state)
{
  inc_t engine = { .born_ms = state->born_ms };
  kb_slice_copy (state->instance, engine.id, sizeof engine.id);
  gtw_quarantine_confirm_reported (gateway, target, &engine,
                                   gtw_now_ms (gateway) - MAX_REPORT_LAG_MS);
}

static void
apply_engine_state (gtw_gateway_t *gateway, gtw_target_t *target,
                    const msg_engine_state_t *state)
{
  target = target_of_report (gateway, target, state);
  if (target == NULL)
    return;
  bool is_restarted = target->last_contact_ms > 0
                      && target->sidecar_incarnation != 0
                      && target->sidecar_incarnation != state->incarnation;
  bool is_first = target->last_contact_ms == 0;
  if (is_restarted)
    gtw_quarantine_forget_alone (gateway, target);
  target->last_contact_ms = gtw_now_ms (gateway);
  // A sidecar that has just started does not know its engine yet.
  if (!is_first && !is_restarted && reports_engine_ended (target, state))
    gtw_quarantine_record_target_end (gateway, target, "sidecar");
  else if (reports_engine_alive (target, state))
    {
      target->ended_ms = 0;
      gtw_quarantine_confirm_listed (gateway, target,
                                     gtw_now_ms (gateway) - MAX_REPORT_LAG_MS);
    }
  else if (state->condition == MSG_ENGINE_READY)
    confirm_unlisted (gateway, target, state);
  target->sidecar_incarnation = state->incarnation;
  target->sidecar_revision = state->revision;
  target->sidecar_versions = state->versions_known;
  target->quarantine_stamp = state->quarantine_stamp;
  qgw_peak_merge (&gateway->gateway_peak, (uint32_t)state->gateway_peak,
                  state->gateway_peak_age_ms, tmr_boottime_ms ());
  target->condition = (msg_engine_condition_t)state->condition;
  target->is_closed = false;
  if (target->condition == MSG_ENGINE_READY)
    target->ready_ms = target->last_contact_ms;
  target->slots = (uint32_t)state->slots;
  target->granted = (uint32_t)state->granted;
  target->waiting = (uint32_t)state->waiting;
  target->requests_since_report = 0;
  target->tokens_since_report = 0;
  target->backlog_ms = (double)state->backlog_us / 1000;
  target->load_wait_ms = (double)state->load_wait_ms;
  target->mean_hold_ms = (double)state->mean_hold_ms;
  target->start_wait_ms = (double)state->start_wait_ms;
  target->start_every_ms = (double)state->start_every_ms;
  target->tokens_per_ms = (double)state->tokens_per_s / 1000;
  if (state->gateway_count > 0)
    gateway->gateway_count = (uint32_t)state->gateway_count;
  apply_engine_instance (target, state);
  apply_adapter_list (target, state);
  if (is_first || is_restarted)
    {
      gtw_send_gateway_state (gateway, target);
      gtw_origin_share_with (gateway, target);
    }
  sync_sidecar (gateway, target);
  if (is_restarted)
    gtw_places_reroute (gateway, target, "sidecar_lost");
}

static void
apply_document (gtw_gateway_t *gateway, const msg_document_t *document_msg,
                const char *from)
{
  if (!svc_revision_is_newer (current_revision (gateway),
                              document_msg->revision))
    return;
  kb_error_t error = { 0 };
  svc_config_t *config
      = gateway->deployment->decode_config (document_msg->data, &error);
  if (config == NULL)
    {
      log_write (LOG_ERROR, "config", "Ignored a forwarded configuration: %s.",
                 error.message);
      return;
    }
  gtw_apply_config (gateway, config, document_msg->data, from);
}

void
gtw_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg)
{
  gtw_gateway_t *gateway = (gtw_gateway_t *)host;
  gtw_target_t *target = kb_map_get (&gateway->links, gtw_link_key (peer));
  if (target == NULL)
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unknown_peer\"");
      return;
    }
  switch (msg->type)
    {
    case MSG_ENGINE_STATE:
      apply_engine_state (gateway, target, &msg->engine_state);
      break;
    case MSG_PLACE_GRANT:
      gtw_place_on_grant (gateway, &msg->place_grant, target);
      break;
    case MSG_PLACE_JOINED:
      gtw_quarantine_record_joined (gateway, msg->place_joined.id);
      if (msg->place_joined.has_lived_on != 0)
        gtw_quarantine_confirm_place (gateway, msg->place_joined.id);
      break;
    case MSG_PLACE_DECLINE:
      gtw_place_on_decline (gateway, &msg->place_decline);
      break;
    case MSG_CHANGES:
      gtw_peers_receive_changes (gateway, target, &msg->changes);
      break;
    case MSG_QUOTA_GRANT:
      gtw_quota_receive_grant (gateway, &msg->quota_grant);
      break;
    case MSG_QUARANTINE:
      gtw_quarantine_merge_records (gateway, msg->quarantine.records);
      gtw_parts_clear_served (gateway);
      break;
    case MSG_ORIGIN_REPLY:
      gtw_origin_receive_reply (gateway, &msg->origin_reply);
      break;
    case MSG_DOCUMENT:
      apply_document (gateway, &msg->document, target->link);
      break;
    case MSG_ADAPTER_VERSION:
      gtw_apply_adapter_version (gateway, msg->adapter_version.model,
                                 msg->adapter_version.adapter,
                                 (uint32_t)msg->adapter_version.version);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
      break;
    }
}
