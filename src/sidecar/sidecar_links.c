/// @file sidecar_links.c
/// Messages of the gateways: configuration and versions that are passed on,
/// and places that are asked for, granted, declined and released.
#include "relay/passing.h"
#include "relay/turn.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// A gateway that reads the store itself has a new configuration by then:
  /// what it takes on a free link, and the time of its bytes on one that is
  /// slow or shared. Sent sooner, copies of a large one crowd out the
  /// gateway's own.
  HELP_AFTER_MS = 300,
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

/// Take over the figures of the configuration.
static void
apply_config (scr_sidecar_t *s)
{
  const svc_service_t *service = scr_own_service (s);
  if (service == NULL || !service->is_engine)
    return;
  s->table.options.slots = service->slots;
  s->table.options.kv_tokens = service->kv_tokens;
  // An engine that is ordered to hold more than its slots or its memory
  // crashes, and with it all that it runs.
  s->table.options.adapter_slots = svc_service_max_adapters (service);
  pce_accept (&s->table.reading.pace,
              svc_service_gap_target_ms (s->config, service->name));
}

static void
take_document (scr_sidecar_t *s, const msg_document_t *given)
{
  uint64_t present = s->config == NULL ? 0 : s->config->revision;
  if (!svc_revision_is_newer (present, given->revision))
    return;
  kb_error_t error = { 0 };
  svc_config_t *config = s->decode (given->data, &error);
  if (config == NULL)
    {
      log_write (LOG_ERROR, "config", "A passed on document is ignored: %s.",
                 error.message);
      return;
    }
  svc_config_free (s->config);
  s->config = config;
  kb_buf_clear (&s->document);
  kb_buf_append (&s->document, given->data.ptr, given->data.len_bytes);
  s->document_ms = scr_now_ms (s);
  apply_config (s);
  // Two thousand routes take 0.8 MB, at each of hundreds of engines.
  svc_config_drop_gateway_data (config);
  log_event_t line;
  if (log_begin (&line, LOG_INFO, "config", "config_in_force"))
    {
      log_int (&line, "revision", (int64_t)config->revision);
      log_end (&line);
    }
  scr_state_changed (s);
}

static bool
is_help_due (const scr_sidecar_t *s, uint64_t now_ms)
{
  uint64_t after_ms
      = HELP_AFTER_MS + s->document.len_bytes / SLOW_LINK_BYTES_PER_MS;
  return now_ms - s->document_ms >= after_ms;
}

/// Pass on what a gateway lacks: it may be cut off from the store. Most read
/// it there themselves, a moment later than the first one.
static void
help_gateway (scr_sidecar_t *s, const scr_gateway_t *gateway)
{
  uint64_t now_ms = scr_now_ms (s);
  uint64_t own = scr_name_id (kb_slice_str (s->host.settings.name));
  if (!trn_is_mine (own, gateway->id, s->engine_count, now_ms))
    return;
  if (s->config != NULL && gateway->revision < s->config->revision
      && is_help_due (s, now_ms))
    psn_give_document (&s->host, gateway->name, s->config->revision,
                       &s->document);
  if (gateway->versions_known < s->versions.changes)
    psn_give_versions (&s->host, gateway->name, &s->versions);
}

static void
take_version (scr_sidecar_t *s, const msg_adapter_version_t *given)
{
  const ver_item_t *item = ver_learn (
      &s->versions, given->model, given->adapter, (uint32_t)given->version);
  if (item == NULL)
    return;
  adm_adapter_t *adapter = kb_map_get (&s->table.adapters, item->key);
  if (adapter != NULL)
    adm_adapter_want (adapter, item->version);
  log_event_t line;
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
      log_write (LOG_WARN, "sidecar", "More gateways than %d; one is ignored.",
                 SCR_MAX_GATEWAYS);
      return NULL;
    }
  scr_gateway_t *gateway = &s->gateways[s->gateway_count++];
  *gateway = (scr_gateway_t){ .id = scr_name_id (name) };
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
scr_grant (scr_sidecar_t *s, const adm_ask_t *ask)
{
  const scr_gateway_t *gateway = scr_gateway_find (s, ask->owner);
  if (gateway == NULL)
    return;
  uint64_t load_us = ask->load_from_ms == 0
                         ? 0
                         : (ask->granted_ms - ask->load_from_ms) * 1000;
  msg_t msg
      = { .type = MSG_PLACE_GRANT,
          .place_grant
          = { .id = ask->id,
              .version = ask->adapter == NULL ? 0 : ask->adapter->version,
              .load_us = load_us,
              .instance = kb_slice_str (s->who.id),
              .born_ms = s->who.born_ms,
              .is_alone = ask->alone.is_alone } };
  scr_send (s, gateway, &msg);
  MET_INC ("knapweedbay_places_granted_total", "");
}

/// A message that is lost with a connection must not keep a place taken, nor
/// a request waiting. What a gateway says it has open is compared with what is
/// known here; messages of one connection stay in order, so whatever it does
/// not name was released, and whatever is not known here was never heard.
static void
reconcile_places (scr_sidecar_t *s, kb_slice_t peer, kb_slice_t packed)
{
  uint64_t owner = scr_name_id (peer);
  uint32_t made_good = 0;
  adm_compare_begin (&s->table);
  for (uint32_t at = 0; at + sizeof (msg_place_ref_t) <= packed.len_bytes;
       at += sizeof (msg_place_ref_t))
    {
      msg_place_ref_t ref;
      memcpy (&ref, packed.ptr + at, sizeof ref);
      adm_ask_t *ask = adm_ask_find (&s->table, owner, ref.id);
      if (ask != NULL)
        adm_compare_keep (&s->table, ask);
      if (ref.is_granted || (ask != NULL && ask->granted_ms == 0))
        continue;
      if (ask != NULL)
        scr_grant (s, ask);
      else
        scr_decline (s, peer, ref.id, "not_heard", 0);
      made_good++;
    }
  uint32_t released = adm_compare_end (&s->table, owner);
  log_event_t line;
  if (made_good + released == 0
      || !log_begin (&line, LOG_INFO, "sidecar", "places_reconciled"))
    return;
  log_str (&line, "gateway", peer);
  log_int (&line, "answered", made_good);
  log_int (&line, "released", released);
  log_end (&line);
}

/// What the engine stated in an answer that this gateway passed on.
static void
take_limit (scr_sidecar_t *s, const msg_gateway_state_t *state)
{
  uint64_t now_ms = tmr_boot_ms ();
  bkp_limit_t told
      = { .is_limited = state->limit_milli > 0,
          .per_s = (double)state->limit_milli / MILLI,
          .at_ms
          = now_ms > state->limit_age_ms ? now_ms - state->limit_age_ms : 0 };
  if (!bkp_meter_told (&s->table.meter, &told, scr_now_ms (s)))
    return;
  scr_state_changed (s);
  log_event_t line;
  if (!log_begin (&line, LOG_INFO, "sidecar", "engine_limit"))
    return;
  log_int (&line, "is_limited", told.is_limited);
  log_int (&line, "per_1000_s", (int64_t)state->limit_milli);
  log_int (&line, "waiting", s->table.waiting);
  log_end (&line);
}

static void
take_gateway_state (scr_sidecar_t *s, kb_slice_t peer,
                    const msg_gateway_state_t *state)
{
  scr_gateway_t *gateway = scr_gateway_find (s, scr_name_id (peer));
  if (gateway == NULL)
    gateway = gateway_add (s, peer);
  if (gateway == NULL)
    return;
  bool is_new = gateway->incarnation != state->incarnation;
  if (is_new)
    adm_owner_gone (&s->table, gateway->id);
  gateway->incarnation = state->incarnation;
  gateway->revision = state->revision;
  gateway->versions_known = state->versions_known;
  gateway->list_stamp = state->list_stamp;
  gateway->heard_ms = scr_now_ms (s);
  s->engine_count = (uint32_t)state->engine_count;
  help_gateway (s, gateway);
  scr_quarantine_help (s, gateway, state->quarantine_stamp);
  scr_quota_take_state (s, gateway->id, state);
  take_limit (s, state);
  reconcile_places (s, peer, state->places);
  if (is_new)
    scr_tell_state (s, gateway);
  scr_pump (s);
}

/// Why a request got no place, with what decided it.
static void
log_decline (const scr_sidecar_t *s, kb_slice_t attempt, const char *reason,
             uint64_t wait_ms)
{
  log_event_t line;
  if (!log_begin (&line, LOG_INFO, "sidecar", "place_refused"))
    return;
  log_str (&line, "id", attempt);
  log_text (&line, "reason", reason);
  log_int (&line, "wait_ms", (int64_t)wait_ms);
  log_int (&line, "fetch_ms", (int64_t)s->table.lanes.fetch_ms);
  log_int (&line, "fetches", s->table.coming);
  log_int (&line, "waiting", s->table.waiting);
  log_int (&line, "granted", s->table.granted);
  log_int (&line, "backlog_ms",
           (int64_t)(adm_backlog_us (&s->table, scr_now_ms (s)) / 1000));
  log_end (&line);
}

static void
take_ask (scr_sidecar_t *s, kb_slice_t peer, const msg_place_ask_t *given)
{
  if (s->condition != MSG_ENGINE_READY || s->host.is_stopping)
    {
      log_decline (s, given->attempt, "engine_closed", 0);
      scr_decline (s, peer, given->id, "engine_closed", 0);
      return;
    }
  uint64_t now_ms = scr_now_ms (s);
  adm_ask_t ask
      = { .id = given->id,
          .owner = scr_name_id (peer),
          .priority = (uint32_t)given->priority,
          .declined = (uint32_t)given->declined,
          .alone.is_alone = given->is_alone != 0,
          .tokens = (uint32_t)(given->prompt_tokens + given->output_tokens),
          .prompt_tokens = (uint32_t)given->prompt_tokens,
          .arrived_ms = now_ms,
          .due_ms = now_ms + given->left_ms,
          .objective_ms = now_ms + given->objective_ms };
  if (given->adapter.len_bytes > 0)
    {
      char name[EGN_KEY_BYTES];
      uint64_t key = ver_key (given->model, given->adapter, name, sizeof name);
      ask.adapter = adm_adapter_need (&s->table, key, kb_slice_str (name));
      adm_adapter_want (ask.adapter, ver_newest (&s->versions, key));
      adm_adapter_want (ask.adapter, (uint32_t)given->version);
      if (!adm_adapter_is_fit (ask.adapter))
        ask.load_from_ms = now_ms;
    }
  adm_forecast_t forecast = adm_forecast (&s->table, &ask, now_ms);
  const char *reason = adm_refusal (&s->table, &ask, &forecast, now_ms);
  if (ask.adapter != NULL)
    adm_adapter_asked (ask.adapter, now_ms);
  if (reason != NULL)
    {
      log_decline (s, given->attempt, reason, forecast.first_ms);
      scr_decline (s, peer, given->id, reason, forecast.first_ms);
      return;
    }
  ask.forecast_ms = now_ms + forecast.first_ms;
  if (adm_ask_add (&s->table, &ask) == NULL)
    return;
  scr_pump (s);
}

static void
take_release (scr_sidecar_t *s, kb_slice_t peer,
              const msg_place_release_t *given)
{
  adm_ask_t *ask = adm_ask_find (&s->table, scr_name_id (peer), given->id);
  if (ask == NULL)
    return;
  pce_note_stream (&s->table.reading.pace, (uint32_t)given->gaps,
                   given->gaps_ms, scr_now_ms (s));
  adm_note_held (&s->table, ask, scr_now_ms (s));
  adm_ask_remove (&s->table, ask);
  scr_pump (s);
}

/// How wrong the forecast was that let a request in.
static void
observe_forecast (const adm_ask_t *ask, uint64_t now_ms)
{
  static const char name[] = "knapweedbay_forecast_error_ms";
  if (now_ms >= ask->forecast_ms)
    met_observe (met_histogram (name, "came=\"later\""),
                 now_ms - ask->forecast_ms);
  else
    met_observe (met_histogram (name, "came=\"earlier\""),
                 ask->forecast_ms - now_ms);
}

static void
take_begun (scr_sidecar_t *s, kb_slice_t peer, uint64_t id)
{
  adm_ask_t *ask = adm_ask_find (&s->table, scr_name_id (peer), id);
  if (ask == NULL)
    return;
  if (ask->is_reading)
    observe_forecast (ask, scr_now_ms (s));
  adm_ask_begun (&s->table, ask, scr_now_ms (s));
  scr_pump (s);
}

void
scr_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg)
{
  scr_sidecar_t *s = (scr_sidecar_t *)host;
  switch (msg->type)
    {
    case MSG_GATEWAY_STATE:
      take_gateway_state (s, peer, &msg->gateway_state);
      break;
    case MSG_PLACE_ASK:
      take_ask (s, peer, &msg->place_ask);
      break;
    case MSG_PLACE_RELEASE:
      take_release (s, peer, &msg->place_release);
      break;
    case MSG_PLACE_BEGUN:
      take_begun (s, peer, msg->place_begun.id);
      break;
    case MSG_CHANGES_ASK:
      scr_share_ask (s, peer, &msg->changes_ask);
      break;
    case MSG_QUOTA_ASK:
      scr_quota_ask (s, peer, &msg->quota_ask);
      break;
    case MSG_QUARANTINE:
      scr_quarantine_take (s, msg->quarantine.words);
      break;
    case MSG_DOCUMENT:
      take_document (s, &msg->document);
      scr_pump (s);
      break;
    case MSG_ADAPTER_VERSION:
      take_version (s, &msg->adapter_version);
      scr_pump (s);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
      break;
    }
}
