#include "sidecar/sidecar.h"

#include <stdio.h>
#include <stdlib.h>

#include "relay/turn.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Reports are free on the engine's own VM. While an adapter is on its way
  /// its arrival is what requests wait for.
  POLL_COMING_MS = 25,
  POLL_BUSY_MS = 150,
  POLL_IDLE_MS = 300,
  /// Reports missed in a row until the engine counts as down.
  REPORT_FAILURES = 2,
  /// Shortest time between two words of load to the gateways.
  TELL_MS = 100,
  /// The same for each gateway, so that the messages of a large fleet grow
  /// with its size, not with its square.
  TELL_PER_GATEWAY_MS = 8,
  /// Heartbeat when nothing changes; gateways give up after three.
  HEARTBEAT_MS = 400,
  GATEWAY_GONE_MS = 5000,
  /// Models fetched from the weight store by all engines together stay far
  /// below its ceiling when each waits this long between two tries.
  MODEL_RETRY_MS = 5000,
  MODEL_RETRY_AT_HAND_MS = 1000,
  DEFAULT_SLOTS = 16,
  DEFAULT_ADAPTER_SLOTS = 8,
  /// An engine takes at most four adapters at one time. From the weight
  /// store, which serves about one for each engine at full speed, one at a
  /// time arrives sooner than several that share its rate.
  MAX_COMING = 4,
  MAX_COLD = 1,
  EXIT_MS = 250,
  /// A gateway that reads the store itself has a new configuration by then.
  HELP_AFTER_MS = 300,
  IDENTIFY_RETRY_MS = 1000,
  MS_PER_S = 1000,
};

static void sidecar_pump (scr_sidecar_t *s);
static void sidecar_poll (void *arg);

static uint64_t
now_ms_of (const scr_sidecar_t *s)
{
  return hst_now_ms (&s->host);
}

static uint64_t
name_id (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

static scr_gateway_t *
gateway_find (scr_sidecar_t *s, uint64_t id)
{
  for (uint32_t i = 0; i < s->gateway_count; i++)
    if (s->gateways[i].id == id)
      return &s->gateways[i];
  return NULL;
}

static void
send_to (scr_sidecar_t *s, const scr_gateway_t *gateway, const msg_t *msg)
{
  if (hst_send (&s->host, gateway->name, msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
}

static void
pack_adapters (const scr_sidecar_t *s, kb_buf_t *out)
{
  uint32_t at = 0;
  for (const adm_adapter_t *a = kb_map_next (&s->table.adapters, &at);
       a != NULL; a = kb_map_next (&s->table.adapters, &at))
    {
      if (a->state == ADM_ABSENT)
        continue;
      msg_engine_adapter_t packed = { .key = a->key,
                                      .version = a->version,
                                      .is_coming = a->state == ADM_COMING };
      kb_buf_append (out, &packed, sizeof packed);
    }
}

static void
tell_gateway (scr_sidecar_t *s, scr_gateway_t *gateway, msg_t *msg,
              kb_slice_t adapters)
{
  msg_engine_state_t *state = &msg->engine_state;
  bool is_list_known = gateway->list_stamp == state->list_stamp;
  state->adapters = is_list_known ? (kb_slice_t){ NULL, 0 } : adapters;
  gateway->list_stamp = state->list_stamp;
  send_to (s, gateway, msg);
}

/// Tell one gateway, or all.
static void
tell_state (scr_sidecar_t *s, scr_gateway_t *only)
{
  kb_buf_t adapters = { 0 };
  pack_adapters (s, &adapters);
  msg_t msg = {
    .type = MSG_ENGINE_STATE,
    .engine_state
    = { .incarnation = s->host.incarnation,
        .revision = s->config == NULL ? 0 : s->config->revision,
        .versions_known = s->versions.changes,
        .condition = s->host.is_stopping ? MSG_ENGINE_LEAVING : s->condition,
        .slots = s->table.options.slots,
        .granted = s->table.granted,
        .waiting = s->table.waiting,
        .gateway_count = s->gateway_count,
        .backlog_us = adm_backlog_us (&s->table),
        .tokens_per_s = (uint64_t)(s->table.tokens_per_ms * MS_PER_S),
        .load_wait_ms = adm_new_load_wait_ms (&s->table),
        .instance = kb_slice_str (s->instance),
        .list_stamp = kb_hash (adapters.ptr, adapters.len_bytes, 1) | 1 }
  };
  if (only != NULL)
    tell_gateway (s, only, &msg, kb_buf_slice (&adapters));
  for (uint32_t i = 0; only == NULL && i < s->gateway_count; i++)
    tell_gateway (s, &s->gateways[i], &msg, kb_buf_slice (&adapters));
  kb_buf_finish (&adapters);
  if (only != NULL)
    return;
  s->told_ms = now_ms_of (s);
  s->is_state_due = false;
}

static void
tell_on_time (void *arg)
{
  tell_state (arg, NULL);
}

/// Tell the gateways soon; changes close together go out as one.
static void
state_changed (scr_sidecar_t *s)
{
  if (s->is_state_due)
    return;
  s->is_state_due = true;
  uint64_t since_ms = now_ms_of (s) - s->told_ms;
  uint64_t pause_ms = TELL_PER_GATEWAY_MS * s->gateway_count;
  if (pause_ms < TELL_MS)
    pause_ms = TELL_MS;
  if (pause_ms > HEARTBEAT_MS)
    pause_ms = HEARTBEAT_MS;
  tmr_after (&s->host.timers, &s->tell_timer,
             since_ms >= pause_ms ? 0 : pause_ms - since_ms, tell_on_time, s);
}

static void
set_condition (scr_sidecar_t *s, msg_engine_condition_t condition)
{
  static const char *const names[] = { "?", "down", "ready", "leaving" };
  if (s->condition == condition)
    return;
  log_event_t line;
  if (log_begin (&line, LOG_INFO, "sidecar", "engine_condition"))
    {
      log_text (&line, "from", names[s->condition]);
      log_text (&line, "to", names[condition]);
      log_text (&line, "instance", s->instance);
      log_int (&line, "granted", s->table.granted);
      log_end (&line);
    }
  s->condition = condition;
  s->table.is_open = condition == MSG_ENGINE_READY;
  state_changed (s);
}

static const svc_service_t *
own_service (const scr_sidecar_t *s)
{
  return s->config == NULL
             ? NULL
             : svc_service_find (s->config, s->host.settings.service);
}

/// Take over the figures of the configuration.
static void
apply_config (scr_sidecar_t *s)
{
  const svc_service_t *service = own_service (s);
  if (service == NULL || !service->is_engine)
    return;
  s->table.options.slots = service->slots;
  s->table.options.kv_tokens = service->kv_tokens;
  if (service->adapter_slots > 0)
    s->table.options.adapter_slots = service->adapter_slots;
}

static void
take_document (scr_sidecar_t *s, const msg_document_t *given)
{
  if (s->config != NULL && given->revision <= s->config->revision)
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
  s->document_ms = now_ms_of (s);
  apply_config (s);
  log_event_t line;
  if (log_begin (&line, LOG_INFO, "config", "config_in_force"))
    {
      log_int (&line, "revision", (int64_t)config->revision);
      log_end (&line);
    }
  state_changed (s);
}

static void
give_document (scr_sidecar_t *s, const scr_gateway_t *gateway)
{
  msg_t msg = { .type = MSG_DOCUMENT,
                .document = { .revision = s->config->revision,
                              .data = kb_buf_slice (&s->document) } };
  send_to (s, gateway, &msg);
}

static void
give_version (scr_sidecar_t *s, const scr_gateway_t *gateway,
              const ver_item_t *item)
{
  msg_t msg
      = { .type = MSG_ADAPTER_VERSION,
          .adapter_version = { .version = item->version,
                               .model = kb_slice_str (item->model),
                               .adapter = kb_slice_str (item->adapter) } };
  send_to (s, gateway, &msg);
}

/// Pass on what a gateway lacks: it may be cut off from the store. Most read
/// it there themselves, a moment later than the first one.
static void
help_gateway (scr_sidecar_t *s, const scr_gateway_t *gateway)
{
  uint64_t now_ms = now_ms_of (s);
  uint64_t own = name_id (kb_slice_str (s->host.settings.name));
  if (!trn_is_mine (own, gateway->id, s->engine_count, now_ms))
    return;
  if (s->config != NULL && gateway->revision < s->config->revision
      && now_ms - s->document_ms >= HELP_AFTER_MS)
    give_document (s, gateway);
  if (gateway->versions_known >= s->versions.changes)
    return;
  uint32_t at = 0;
  for (const ver_item_t *item = kb_map_next (&s->versions.items, &at);
       item != NULL; item = kb_map_next (&s->versions.items, &at))
    give_version (s, gateway, item);
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
  *gateway = (scr_gateway_t){ .id = name_id (name) };
  kb_slice_copy (name, gateway->name, sizeof gateway->name);
  return gateway;
}

static void
decline (scr_sidecar_t *s, kb_slice_t peer, uint64_t id, const char *reason,
         uint64_t retry_after_ms)
{
  msg_t msg = { .type = MSG_PLACE_DECLINE,
                .place_decline = { .id = id,
                                   .retry_after_ms = retry_after_ms,
                                   .reason = kb_slice_str (reason) } };
  if (lnk_link_send (&s->host.link, peer, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
  MET_INC ("knapweedbay_places_declined_total", "");
}

static void
grant (scr_sidecar_t *s, const adm_ask_t *ask)
{
  const scr_gateway_t *gateway = gateway_find (s, ask->owner);
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
              .instance = kb_slice_str (s->instance) } };
  send_to (s, gateway, &msg);
  MET_INC ("knapweedbay_places_granted_total", "");
}

/// A message that is lost with a connection must not keep a place taken, nor
/// a request waiting. What a gateway says it has open is compared with what is
/// known here; messages of one connection stay in order, so whatever it does
/// not name was released, and whatever is not known here was never heard.
static void
reconcile_places (scr_sidecar_t *s, kb_slice_t peer, kb_slice_t packed)
{
  uint64_t owner = name_id (peer);
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
        grant (s, ask);
      else
        decline (s, peer, ref.id, "not_heard", 0);
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

static void
take_gateway_state (scr_sidecar_t *s, kb_slice_t peer,
                    const msg_gateway_state_t *state)
{
  scr_gateway_t *gateway = gateway_find (s, name_id (peer));
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
  gateway->heard_ms = now_ms_of (s);
  s->engine_count = (uint32_t)state->engine_count;
  help_gateway (s, gateway);
  reconcile_places (s, peer, state->places);
  if (is_new)
    tell_state (s, gateway);
  sidecar_pump (s);
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
  log_int (&line, "fetch_ms", (int64_t)s->table.load_ms);
  log_int (&line, "fetches", s->table.coming);
  log_int (&line, "waiting", s->table.waiting);
  log_int (&line, "granted", s->table.granted);
  log_int (&line, "backlog_ms", (int64_t)(adm_backlog_us (&s->table) / 1000));
  log_end (&line);
}

static void
take_ask (scr_sidecar_t *s, kb_slice_t peer, const msg_place_ask_t *given)
{
  if (s->condition != MSG_ENGINE_READY || s->host.is_stopping)
    {
      log_decline (s, given->attempt, "engine_closed", 0);
      decline (s, peer, given->id, "engine_closed", 0);
      return;
    }
  uint64_t now_ms = now_ms_of (s);
  adm_ask_t ask
      = { .id = given->id,
          .owner = name_id (peer),
          .priority = (uint32_t)given->priority,
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
      uint64_t wait_ms = adm_load_wait_ms (&s->table, ask.adapter, now_ms);
      adm_adapter_asked (ask.adapter, now_ms);
      if (wait_ms > given->objective_ms && wait_ms > s->table.load_ms)
        {
          log_decline (s, given->attempt, "load_queue", wait_ms);
          decline (s, peer, given->id, "load_queue", wait_ms);
          return;
        }
    }
  if (adm_ask_add (&s->table, &ask) == NULL)
    return;
  sidecar_pump (s);
}

static void
take_release (scr_sidecar_t *s, kb_slice_t peer, uint64_t id)
{
  adm_ask_t *ask = adm_ask_find (&s->table, name_id (peer), id);
  if (ask == NULL)
    return;
  adm_ask_remove (&s->table, ask);
  sidecar_pump (s);
}

static void
take_begun (scr_sidecar_t *s, kb_slice_t peer, uint64_t id)
{
  adm_ask_t *ask = adm_ask_find (&s->table, name_id (peer), id);
  if (ask == NULL)
    return;
  adm_ask_begun (&s->table, ask, now_ms_of (s));
  sidecar_pump (s);
}

static void
sidecar_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg)
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
      take_release (s, peer, msg->place_release.id);
      break;
    case MSG_PLACE_BEGUN:
      take_begun (s, peer, msg->place_begun.id);
      break;
    case MSG_DOCUMENT:
      take_document (s, &msg->document);
      sidecar_pump (s);
      break;
    case MSG_ADAPTER_VERSION:
      take_version (s, &msg->adapter_version);
      sidecar_pump (s);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
      break;
    }
}

static const char *
order_end_name (egn_order_end_t end)
{
  static const char *const names[]
      = { "accepted", "holds", "conflict", "refused", "not_sent", "unknown" };
  return names[end];
}

static void
log_order (const scr_sidecar_t *s, const adm_adapter_t *adapter,
           egn_order_end_t end)
{
  log_event_t line;
  if (!log_begin (&line, end <= EGN_ORDER_HOLDS ? LOG_DEBUG : LOG_WARN,
                  "sidecar", "order"))
    return;
  log_text (&line, "operation",
            s->order_kind == ADM_DO_UNLOAD ? "unload" : "load");
  log_text (&line, "adapter", adapter == NULL ? "" : adapter->name);
  log_int (&line, "seq", (int64_t)s->seq);
  log_text (&line, "outcome", order_end_name (end));
  log_end (&line);
}

static void
order_done (void *arg, egn_order_end_t end)
{
  scr_sidecar_t *s = arg;
  s->is_calling = false;
  adm_adapter_t *adapter = kb_map_get (&s->table.adapters, s->order_adapter);
  log_order (s, adapter, end);
  bool is_done = end == EGN_ORDER_ACCEPTED || end == EGN_ORDER_HOLDS;
  if (is_done)
    s->seq++;
  bool is_unload = s->order_kind == ADM_DO_UNLOAD;
  // An unload that is only accepted keeps its room until the last run with it
  // ends, which the report tells. An engine that is ordered to hold more than
  // it has room for crashes.
  bool is_pending = !is_done || (is_unload && end == EGN_ORDER_ACCEPTED);
  if (adapter != NULL && is_pending)
    adm_order_pending (adapter, now_ms_of (s));
  else if (adapter != NULL && is_unload)
    adm_unload_done (&s->table, adapter);
  else if (adapter != NULL)
    adm_load_begun (&s->table, adapter, now_ms_of (s));
  if (is_done)
    {
      state_changed (s);
      sidecar_pump (s);
    }
  // The report tells what holds: whether an order without an answer was
  // accepted shows in the count of orders.
  if (!s->is_calling)
    tmr_after (&s->host.timers, &s->poll_timer, is_done ? POLL_COMING_MS : 0,
               sidecar_poll, s);
}

/// Order the engine to fetch or drop an adapter.
static void
order_adapter (scr_sidecar_t *s, adm_kind_t kind, const adm_adapter_t *adapter)
{
  char model[EGN_KEY_BYTES];
  snprintf (model, sizeof model, "%s", adapter->name);
  char *slash = strchr (model, '/');
  if (slash == NULL)
    return;
  *slash = '\0';
  egn_order_t order = { .is_load = kind == ADM_DO_LOAD,
                        .model = model,
                        .adapter = slash + 1,
                        .version = kind == ADM_DO_LOAD ? adapter->wanted : 0,
                        .expected_seq = s->seq,
                        .instance = s->instance };
  s->order_kind = kind;
  s->order_adapter = adapter->key;
  s->is_calling = true;
  if (kind == ADM_DO_LOAD)
    MET_INC ("knapweedbay_orders_total", "operation=\"load\"");
  else
    MET_INC ("knapweedbay_orders_total", "operation=\"unload\"");
  s->engine->vtable->order (s->engine, &order, order_done, s);
}

/// Do whatever can be done now: grant, decline, order.
static void
sidecar_pump (scr_sidecar_t *s)
{
  for (;;)
    {
      // Without the configuration the places for adapters are not known; an
      // engine that is ordered to hold more than it can crashes.
      bool may_order = !s->is_calling && s->has_report && !s->is_engine_busy
                       && !s->host.is_stopping && s->config != NULL;
      adm_action_t action = adm_next (&s->table, may_order, now_ms_of (s));
      switch (action.kind)
        {
        case ADM_DO_NOTHING:
          return;
        case ADM_DO_GRANT:
          grant (s, action.ask);
          state_changed (s);
          break;
        case ADM_DO_DECLINE:
          {
            const scr_gateway_t *gateway = gateway_find (s, action.ask->owner);
            if (gateway != NULL)
              decline (s, kb_slice_str (gateway->name), action.ask->id,
                       action.reason, action.retry_after_ms);
            adm_ask_remove (&s->table, action.ask);
            break;
          }
        case ADM_DO_LOAD:
        case ADM_DO_UNLOAD:
          order_adapter (s, action.kind, action.adapter);
          return;
        }
    }
}

static bool
is_at_hand (const egn_report_t *report, const char *model)
{
  for (uint32_t i = 0; i < report->at_hand_count; i++)
    if (strcmp (report->at_hand[i], model) == 0)
      return true;
  return false;
}

/// An engine restarts without its model; only this process can bring it back.
static void
order_model (scr_sidecar_t *s, const egn_report_t *report)
{
  const svc_service_t *service = own_service (s);
  if (service == NULL || service->model_count == 0 || report->is_busy
      || report->is_leaving || s->is_calling)
    return;
  const char *model = service->models[0].name;
  uint64_t pause_ms
      = is_at_hand (report, model) ? MODEL_RETRY_AT_HAND_MS : MODEL_RETRY_MS;
  uint64_t now_ms = now_ms_of (s);
  if (s->model_ordered_ms > 0 && now_ms - s->model_ordered_ms < pause_ms)
    return;
  s->model_ordered_ms = now_ms;
  s->order_kind = ADM_DO_LOAD;
  s->order_adapter = 0;
  s->is_calling = true;
  egn_order_t order = { .is_load = true,
                        .model = model,
                        .expected_seq = s->seq,
                        .instance = s->instance };
  MET_INC ("knapweedbay_orders_total", "operation=\"load_model\"");
  s->engine->vtable->order (s->engine, &order, order_done, s);
}

static void
identity_done (void *arg, kb_slice_t instance)
{
  scr_sidecar_t *s = arg;
  s->is_identifying = false;
  if (instance.len_bytes == 0)
    return;
  kb_slice_copy (instance, s->instance, sizeof s->instance);
  log_event_t line;
  if (log_begin (&line, LOG_INFO, "sidecar", "engine_identified"))
    {
      log_text (&line, "instance", s->instance);
      log_end (&line);
    }
  state_changed (s);
}

/// Requests and orders name the incarnation that they are for. The list tells
/// it a second or more after a restart; the engine itself at once.
static void
identify_engine (scr_sidecar_t *s)
{
  uint64_t now_ms = now_ms_of (s);
  if (s->instance[0] != '\0' || s->is_identifying
      || (s->identified_ms > 0
          && now_ms - s->identified_ms < IDENTIFY_RETRY_MS))
    return;
  s->is_identifying = true;
  s->identified_ms = now_ms;
  s->engine->vtable->identify (s->engine, identity_done, s);
}

static void
engine_restarted (scr_sidecar_t *s)
{
  log_event_t line;
  if (log_begin (&line, LOG_WARN, "sidecar", "engine_restarted"))
    {
      log_text (&line, "instance", s->instance);
      log_int (&line, "granted", s->table.granted);
      log_end (&line);
    }
  s->model_ordered_ms = 0;
  s->instance[0] = '\0';
  s->identified_ms = 0;
  adm_engine_restarted (&s->table);
  state_changed (s);
}

static void
take_report (scr_sidecar_t *s, const egn_report_t *report)
{
  // A restart clears the count of orders and everything that was held.
  if (s->has_report
      && (report->seq < s->seq
          || (s->is_model_held && report->model_count == 0)))
    engine_restarted (s);
  s->has_report = true;
  s->report_failures = 0;
  s->seq = report->seq;
  s->is_engine_busy = report->is_busy;
  s->is_model_held = report->model_count > 0;
  uint32_t held = s->table.held;
  uint32_t coming = s->table.coming;
  adm_report_begin (&s->table);
  for (uint32_t i = 0; i < report->adapter_count; i++)
    {
      const egn_adapter_t *a = &report->adapters[i];
      adm_report_adapter (&s->table, a->key, kb_slice_str (a->name),
                          a->version, a->is_coming, now_ms_of (s));
      adm_adapter_t *adapter = kb_map_get (&s->table.adapters, a->key);
      adm_adapter_want (adapter, ver_newest (&s->versions, a->key));
    }
  adm_report_end (&s->table);
  if (held != s->table.held || coming != s->table.coming)
    state_changed (s);
  if (s->is_model_held)
    identify_engine (s);
  if (report->is_leaving)
    set_condition (s, MSG_ENGINE_LEAVING);
  else
    set_condition (s, s->is_model_held ? MSG_ENGINE_READY : MSG_ENGINE_DOWN);
}

static void
report_done (void *arg, kb_status_t status, const egn_report_t *report)
{
  scr_sidecar_t *s = arg;
  s->is_calling = false;
  if (status == KB_OK)
    take_report (s, report);
  else if (++s->report_failures >= REPORT_FAILURES)
    {
      // A crashed engine comes back as another incarnation.
      if (s->has_report)
        engine_restarted (s);
      s->has_report = false;
      set_condition (s, MSG_ENGINE_DOWN);
    }
  if (status == KB_OK && !s->is_model_held)
    order_model (s, report);
  sidecar_pump (s);
  if (s->is_calling)
    return;
  uint64_t pause_ms = s->table.coming > 0 ? POLL_COMING_MS
                      : s->table.granted > 0 || s->table.waiting > 0
                          ? POLL_BUSY_MS
                          : POLL_IDLE_MS;
  tmr_after (&s->host.timers, &s->poll_timer, pause_ms, sidecar_poll, s);
}

static void
sidecar_poll (void *arg)
{
  scr_sidecar_t *s = arg;
  if (s->is_calling)
    return;
  s->is_calling = true;
  s->engine->vtable->report (s->engine, report_done, s);
}

/// Forget gateways that fell silent, and say that this process lives.
static void
sidecar_watch (void *arg)
{
  scr_sidecar_t *s = arg;
  uint64_t now_ms = now_ms_of (s);
  for (uint32_t i = 0; i < s->gateway_count;)
    {
      scr_gateway_t *gateway = &s->gateways[i];
      if (now_ms - gateway->heard_ms < GATEWAY_GONE_MS)
        {
          i++;
          continue;
        }
      log_event_t line;
      if (log_begin (&line, LOG_WARN, "sidecar", "gateway_lost"))
        {
          log_text (&line, "gateway", gateway->name);
          log_int (&line, "silent_ms", (int64_t)(now_ms - gateway->heard_ms));
          log_end (&line);
        }
      adm_owner_gone (&s->table, gateway->id);
      *gateway = s->gateways[--s->gateway_count];
    }
  if (now_ms - s->told_ms >= HEARTBEAT_MS)
    tell_state (s, NULL);
  sidecar_pump (s);
}

static void
sidecar_exit (void *arg)
{
  scr_sidecar_t *s = arg;
  hst_host_exit (&s->host, 0);
}

/// Requests under way do not pass through here; only places wait.
static void
sidecar_on_stop (hst_host_t *host)
{
  scr_sidecar_t *s = (scr_sidecar_t *)host;
  s->table.is_open = false;
  tell_state (s, NULL);
  sidecar_pump (s);
  tmr_after (&host->timers, &s->exit_timer, EXIT_MS, sidecar_exit, s);
}

static void
sidecar_on_reload (hst_host_t *host)
{
}

static void
sidecar_on_metrics (hst_host_t *host)
{
  const scr_sidecar_t *s = (const scr_sidecar_t *)host;
  met_set (met_counter ("knapweedbay_places", "state=\"granted\""),
           s->table.granted);
  met_set (met_counter ("knapweedbay_places", "state=\"waiting\""),
           s->table.waiting);
  met_set (met_counter ("knapweedbay_adapters", "state=\"held\""),
           s->table.held);
  met_set (met_counter ("knapweedbay_adapters", "state=\"coming\""),
           s->table.coming);
  met_set (met_counter ("knapweedbay_engine_condition", ""), s->condition);
  met_set (met_counter ("knapweedbay_gateways", ""), s->gateway_count);
  met_set (met_counter ("knapweedbay_config_revision", ""),
           s->config == NULL ? 0 : (int64_t)s->config->revision);
}

static const hst_role_t sidecar_role
    = { sidecar_on_message, sidecar_on_stop, sidecar_on_reload,
        sidecar_on_metrics };

scr_sidecar_t *
scr_sidecar_start (const set_settings_t *settings, const char *path,
                   const dpl_deployment_t *deployment, kb_error_t *error)
{
  scr_sidecar_t *s = kb_alloc (sizeof *s);
  *s = (scr_sidecar_t){ .host.settings = *settings,
                        .decode = deployment->decode_config,
                        .condition = MSG_ENGINE_DOWN };
  adm_options_t options = { .slots = DEFAULT_SLOTS,
                            .adapter_slots = DEFAULT_ADAPTER_SLOTS,
                            .max_cold = MAX_COLD,
                            .max_coming = MAX_COMING };
  adm_table_init (&s->table, &options);
  // Gateways know a sidecar by the address of its VM alone.
  char link_name[SET_TEXT_BYTES + 16];
  bool is_advertised = settings->advertised_address[0] != '\0';
  snprintf (link_name, sizeof link_name, "%s:%d",
            is_advertised ? settings->advertised_address
                          : settings->listen_address,
            (int)settings->inner_port);
  if (hst_host_init (&s->host, &sidecar_role, s, path, link_name, error)
      != KB_OK)
    return NULL;
  s->engine = deployment->make_engine (&s->host.pool, settings, error);
  uint16_t port = (uint16_t)settings->inner_port;
  if (s->engine == NULL
      || lnk_link_bind (&s->host.link, settings->listen_address, &port, error)
             != KB_OK)
    return NULL;
  tmr_every (&s->host.timers, &s->watch_timer, HEARTBEAT_MS, sidecar_watch, s);
  tmr_after (&s->host.timers, &s->poll_timer, 0, sidecar_poll, s);
  return s;
}

int
scr_sidecar_run (scr_sidecar_t *s)
{
  return hst_host_run (&s->host);
}
