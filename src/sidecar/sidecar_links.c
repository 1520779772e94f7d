/// @file sidecar_links.c
/// Messages from gateways: forwarded configuration and adapter versions, and
/// places that are requested, granted, declined and released.
#include "relay/forward.h"
#include "relay/turn.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// A gateway that reads the store itself has a new configuration after this
  /// time plus its transfer time on a slow or shared link. Copies sent earlier
  /// would compete with the gateway's own read of a large configuration.
  SYNC_DELAY_MS = 300,
  SLOW_LINK_BYTES_PER_MS = 200,
  MILLI = 1000,
};

const svc_service_t *
scr_own_service (const scr_sidecar_t *s)
{
  return s->config == NULL
             ? NULL
             : svc_service_find (s->config, s->host.settings.service);
}

/// Apply the service's settings from the configuration.
static void
apply_config (scr_sidecar_t *s)
{
  const svc_service_t *service = scr_own_service (s);
  if (service == NULL || !service->is_engine)
    return;
  s->table.options.slots = service->slots;
  s->table.options.kv_tokens = service->kv_tokens;
  // An engine that is ordered to hold more than fits its slots or its memory
  // crashes, and all its runs fail.
  s->table.options.adapter_slots = svc_service_max_adapters (service);
  pce_set_max_gap (&s->table.prefill.pace,
                   svc_service_gap_target_ms (s->config, service->name));
}

static void
apply_document (scr_sidecar_t *s, const msg_document_t *msg)
{
  uint64_t own_revision = s->config == NULL ? 0 : s->config->revision;
  if (!svc_revision_is_newer (own_revision, msg->revision))
    return;
  kb_error_t error = { 0 };
  svc_config_t *config = s->decode (msg->data, &error);
  if (config == NULL)
    {
      log_write (LOG_ERROR, "config", "Ignored a forwarded configuration: %s.",
                 error.message);
      return;
    }
  svc_config_free (s->config);
  s->config = config;
  kb_buf_clear (&s->document);
  kb_buf_append (&s->document, msg->data.ptr, msg->data.len_bytes);
  s->document_received_ms = scr_now_ms (s);
  apply_config (s);
  // Routes of callers are not needed here; 2,000 of them take 0.8 MB at each
  // of hundreds of engines.
  svc_config_drop_gateway_data (config);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "config", "config_in_force"))
    {
      log_int (&line, "revision", (int64_t)config->revision);
      log_end (&line);
    }
  scr_state_changed (s);
}

static bool
is_sync_due (const scr_sidecar_t *s, uint64_t now_ms)
{
  uint64_t after_ms
      = SYNC_DELAY_MS + s->document.len_bytes / SLOW_LINK_BYTES_PER_MS;
  return now_ms - s->document_received_ms >= after_ms;
}

/// Send a gateway the configuration and versions that it lacks: it may have no
/// connection to the store. Most gateways read the store themselves, slightly
/// later than the first one, hence the delay.
static void
sync_gateway (scr_sidecar_t *s, const scr_gateway_t *gateway)
{
  uint64_t now_ms = scr_now_ms (s);
  uint64_t own_id = scr_name_id (kb_slice_str (s->host.settings.name));
  if (!trn_has_turn (own_id, gateway->id, s->engine_count, now_ms))
    return;
  if (s->config != NULL && gateway->revision < s->config->revision
      && is_sync_due (s, now_ms))
    fwd_send_document (&s->host, gateway->name, s->config->revision,
                       &s->document);
  if (gateway->versions_known < s->versions.version_sum)
    fwd_send_versions (&s->host, gateway->name, &s->versions);
}

static void
apply_version (scr_sidecar_t *s, const msg_adapter_version_t *msg)
{
  const ver_item_t *item = ver_table_update (
      &s->versions, msg->model, msg->adapter, (uint32_t)msg->version);
  if (item == NULL)
    return;
  adm_adapter_t *adapter = kb_map_get (&s->table.adapters, item->key);
  if (adapter != NULL)
    adm_adapter_require_version (adapter, item->version);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "sidecar", "adapter_version"))
    {
      log_text (&line, "adapter", item->adapter);
      log_int (&line, "version", item->version);
      log_end (&line);
    }
}

static scr_gateway_t *
gateway_add (scr_sidecar_t *s, kb_slice_t name)
{
  if (s->gateway_count == SCR_MAX_GATEWAYS)
    {
      log_write (LOG_WARN, "sidecar",
                 "Ignored a gateway: more than %d are connected.",
                 SCR_MAX_GATEWAYS);
      return NULL;
    }
  scr_gateway_t *gateway = &s->gateways[s->gateway_count++];
  *gateway = (scr_gateway_t){ .id = scr_name_id (name),
                              .connected_ms = scr_now_ms (s) };
  kb_slice_copy (name, gateway->name, sizeof gateway->name);
  return gateway;
}

void
scr_decline (scr_sidecar_t *s, kb_slice_t peer, uint64_t id,
             const char *reason, uint64_t retry_after_ms)
{
  msg_t msg = { .type = MSG_PLACE_DECLINE,
                .place_decline = { .id = id,
                                   .retry_after_ms = retry_after_ms,
                                   .reason = kb_slice_str (reason) } };
  if (plk_link_send (&s->host.link, peer, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
  MET_INC ("knapweedbay_places_declined_total", "");
}

void
scr_grant (scr_sidecar_t *s, const adm_request_t *request)
{
  const scr_gateway_t *gateway = scr_gateway_find (s, request->owner);
  if (gateway == NULL)
    return;
  uint64_t load_us
      = request->load_wait_start_ms == 0
            ? 0
            : (request->granted_ms - request->load_wait_start_ms) * 1000;
  msg_t msg = { .type = MSG_PLACE_GRANT,
                .place_grant
                = { .id = request->id,
                    .version
                    = request->adapter == NULL ? 0 : request->adapter->version,
                    .load_us = load_us,
                    .instance = kb_slice_str (s->engine_incarnation.id),
                    .born_ms = s->engine_incarnation.born_ms,
                    .is_alone = aln_is_still_alone (&request->alone) } };
  scr_send (s, gateway, &msg);
  MET_INC ("knapweedbay_places_granted_total", "");
}

void
scr_report_joined (scr_sidecar_t *s, uint64_t owner, uint64_t place_id,
                   bool has_lived_on)
{
  const scr_gateway_t *gateway = scr_gateway_find (s, owner);
  msg_t msg
      = { .type = MSG_PLACE_JOINED,
          .place_joined = { .id = place_id, .has_lived_on = has_lived_on } };
  if (gateway != NULL)
    scr_send (s, gateway, &msg);
}

/// Compare the places that a gateway has open with those known here, because a
/// message lost with its connection must not leave a place occupied or a
/// request waiting. Messages of a connection stay in order: a place that the
/// gateway does not list was released, and a request that is not known here
/// was never received.
static void
reconcile_places (scr_sidecar_t *s, kb_slice_t peer, kb_slice_t packed)
{
  uint64_t owner = scr_name_id (peer);
  uint32_t answered = 0;
  adm_reconcile_begin (&s->table);
  for (uint32_t at = 0; at + sizeof (msg_place_ref_t) <= packed.len_bytes;
       at += sizeof (msg_place_ref_t))
    {
      msg_place_ref_t ref;
      memcpy (&ref, packed.ptr + at, sizeof ref);
      adm_request_t *request = adm_request_find (&s->table, owner, ref.id);
      if (request != NULL)
        adm_reconcile_keep (&s->table, request);
      if (ref.is_granted || (request != NULL && request->granted_ms == 0))
        continue;
      if (request != NULL)
        scr_grant (s, request);
      else
        scr_decline (s, peer, ref.id, "not_heard", 0);
      answered++;
    }
  uint32_t released = adm_reconcile_end (&s->table, owner);
  log_line_t line;
  if (answered + released == 0
      || !log_begin (&line, LOG_INFO, "sidecar", "places_reconciled"))
    return;
  log_slice (&line, "gateway", peer);
  log_int (&line, "answered", answered);
  log_int (&line, "released", released);
  log_end (&line);
}

/// Apply the limit that the engine stated in an answer to this gateway.
static void
apply_limit (scr_sidecar_t *s, const msg_gateway_state_t *state)
{
  uint64_t now_ms = tmr_boottime_ms ();
  bkp_limit_t limit
      = { .is_limited = state->limit_milli > 0,
          .per_s = (double)state->limit_milli / MILLI,
          .at_ms
          = now_ms > state->limit_age_ms ? now_ms - state->limit_age_ms : 0 };
  if (!bkp_meter_merge (&s->table.meter, &limit, scr_now_ms (s)))
    return;
  scr_state_changed (s);
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "sidecar", "engine_limit"))
    return;
  log_int (&line, "is_limited", limit.is_limited);
  log_int (&line, "per_1000_s", (int64_t)state->limit_milli);
  log_int (&line, "waiting", s->table.waiting);
  log_end (&line);
}

static void
handle_gateway_state (scr_sidecar_t *s, kb_slice_t peer,
                      const msg_gateway_state_t *state)
{
  scr_gateway_t *gateway = scr_gateway_find (s, scr_name_id (peer));
  if (gateway == NULL)
    gateway = gateway_add (s, peer);
  if (gateway == NULL)
    return;
  bool is_new = gateway->incarnation != state->incarnation;
  if (is_new)
    adm_owner_remove (&s->table, gateway->id);
  gateway->incarnation = state->incarnation;
  gateway->revision = state->revision;
  gateway->versions_known = state->versions_known;
  gateway->list_stamp = state->list_stamp;
  gateway->last_contact_ms = scr_now_ms (s);
  s->engine_count = (uint32_t)state->engine_count;
  sync_gateway (s, gateway);
  scr_quarantine_sync_gateway (s, gateway, state->quarantine_stamp);
  scr_quota_receive_state (s, gateway->id, state);
  apply_limit (s, state);
  reconcile_places (s, peer, state->places);
  if (is_new)
    scr_send_state (s, gateway);
  scr_process_queue (s);
}

/// Log why a request got no place, with the values behind the decision.
static void
log_decline (const scr_sidecar_t *s, kb_slice_t attempt, const char *reason,
             uint64_t wait_ms)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "sidecar", "place_refused"))
    return;
  log_slice (&line, "id", attempt);
  log_text (&line, "reason", reason);
  log_int (&line, "wait_ms", (int64_t)wait_ms);
  log_int (&line, "fetch_ms", (int64_t)s->table.fetch_limit.mean_fetch_ms);
  log_int (&line, "fetches", s->table.adapters_loading);
  log_int (&line, "waiting", s->table.waiting);
  log_int (&line, "granted", s->table.granted);
  log_int (&line, "backlog_ms",
           (int64_t)(adm_backlog_us (&s->table, scr_now_ms (s)) / 1000));
  log_end (&line);
}

static aln_request_t
alone_of_level (uint64_t level)
{
  bool is_alone = level > 0;
  uint64_t patience = is_alone ? level - 1 : 0;
  return (aln_request_t){ .is_alone = is_alone,
                          .patience = patience < ALN_MAX_PATIENCE
                                          ? (uint32_t)patience
                                          : ALN_MAX_PATIENCE };
}

static void
handle_place_request (scr_sidecar_t *s, kb_slice_t peer,
                      const msg_place_request_t *msg)
{
  if (s->condition != MSG_ENGINE_READY || s->host.is_stopping)
    {
      log_decline (s, msg->attempt, "engine_closed", 0);
      scr_decline (s, peer, msg->id, "engine_closed", 0);
      return;
    }
  uint64_t now_ms = scr_now_ms (s);
  adm_request_t request
      = { .id = msg->id,
          .owner = scr_name_id (peer),
          .priority = (uint32_t)msg->priority,
          .decline_count = (uint32_t)msg->decline_count,
          .exact_version = (uint32_t)msg->exact_version,
          .alone = alone_of_level (msg->alone_level),
          .kv_tokens_needed
          = (uint32_t)(msg->prompt_tokens + msg->output_tokens),
          .prompt_tokens = (uint32_t)msg->prompt_tokens,
          .arrived_ms = now_ms,
          .deadline_ms = now_ms + msg->left_ms,
          .objective_ms = now_ms + msg->objective_ms };
  if (msg->adapter.len_bytes > 0)
    {
      char name[EGN_KEY_BYTES];
      uint64_t key = ver_key (msg->model, msg->adapter, name, sizeof name);
      request.adapter
          = adm_adapter_get_or_add (&s->table, key, kb_slice_str (name));
      adm_adapter_require_version (request.adapter,
                                   ver_newest (&s->versions, key));
      adm_adapter_require_version (request.adapter, (uint32_t)msg->version);
      if (!adm_request_is_servable (&request))
        request.load_wait_start_ms = now_ms;
    }
  adm_forecast_t forecast = adm_forecast (&s->table, &request, now_ms);
  const char *reason
      = adm_refusal_reason (&s->table, &request, &forecast, now_ms);
  if (request.adapter != NULL)
    adm_adapter_record_request (request.adapter, now_ms);
  if (reason != NULL)
    {
      log_decline (s, msg->attempt, reason, forecast.first_ms);
      scr_decline (s, peer, msg->id, reason, forecast.first_ms);
      return;
    }
  request.forecast_ms = now_ms + forecast.first_ms;
  if (adm_request_add (&s->table, &request) == NULL)
    return;
  scr_process_queue (s);
}

static void
handle_place_release (scr_sidecar_t *s, kb_slice_t peer,
                      const msg_place_release_t *msg)
{
  adm_request_t *request
      = adm_request_find (&s->table, scr_name_id (peer), msg->id);
  if (request == NULL)
    return;
  pce_record_stream (&s->table.prefill.pace, (uint32_t)msg->gaps, msg->gaps_ms,
                     scr_now_ms (s));
  adm_request_record_hold_time (&s->table, request, scr_now_ms (s));
  aln_block_ended (&s->table.alone, &request->alone, scr_now_ms (s));
  if (msg->engine_doubt != MSG_DOUBT_NONE && !request->is_first_event_pending)
    {
      aln_broke_after_first_byte (&s->table.alone);
      if (msg->engine_doubt == MSG_DOUBT_CLOSED
          && aln_is_still_alone (&request->alone))
        scr_await_settlement (s, request);
    }
  adm_request_remove (&s->table, request);
  scr_process_queue (s);
}

/// Record the error of the forecast by which a request was admitted.
static void
observe_forecast (const adm_request_t *request, uint64_t now_ms)
{
  static const char name[] = "knapweedbay_forecast_error_ms";
  if (now_ms >= request->forecast_ms)
    met_observe (met_histogram (name, "came=\"later\""),
                 now_ms - request->forecast_ms);
  else
    met_observe (met_histogram (name, "came=\"earlier\""),
                 request->forecast_ms - now_ms);
}

static void
handle_place_begun (scr_sidecar_t *s, kb_slice_t peer, uint64_t id)
{
  adm_request_t *request
      = adm_request_find (&s->table, scr_name_id (peer), id);
  if (request == NULL)
    return;
  if (request->is_first_event_pending)
    observe_forecast (request, scr_now_ms (s));
  adm_request_record_first_event (&s->table, request, scr_now_ms (s));
  scr_process_queue (s);
}

void
scr_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg)
{
  scr_sidecar_t *s = (scr_sidecar_t *)host;
  switch (msg->type)
    {
    case MSG_GATEWAY_STATE:
      handle_gateway_state (s, peer, &msg->gateway_state);
      break;
    case MSG_PLACE_REQUEST:
      handle_place_request (s, peer, &msg->place_request);
      break;
    case MSG_PLACE_RELEASE:
      handle_place_release (s, peer, &msg->place_release);
      break;
    case MSG_PLACE_BEGUN:
      handle_place_begun (s, peer, msg->place_begun.id);
      break;
    case MSG_CHANGES_REQUEST:
      scr_share_handle_request (s, peer, &msg->changes_request);
      break;
    case MSG_QUOTA_REQUEST:
      scr_quota_handle_request (s, peer, &msg->quota_request);
      break;
    case MSG_QUARANTINE:
      scr_quarantine_receive (s, msg->quarantine.records);
      break;
    case MSG_ORIGINS:
      scr_origins_receive (s, &msg->origins);
      break;
    case MSG_ORIGIN_REQUEST:
      scr_origins_handle_request (s, peer, &msg->origin_request);
      break;
    case MSG_DOCUMENT:
      apply_document (s, &msg->document);
      scr_process_queue (s);
      break;
    case MSG_ADAPTER_VERSION:
      apply_version (s, &msg->adapter_version);
      scr_process_queue (s);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
      break;
    }
}
