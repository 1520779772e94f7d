/// @file sidecar_engine.c
/// The engine beside a sidecar: its reports, orders to it, and its model.
#include <stdio.h>

#include "sidecar/sidecar_defs.h"
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
  /// Models fetched from the weight store by all engines together stay far
  /// below its ceiling when each waits this long between two tries.
  MODEL_RETRY_MS = 5000,
  MODEL_RETRY_AT_HAND_MS = 1000,
  IDENTIFY_RETRY_MS = 1000,
  /// While requests wait, prompts that are read make room for more.
  PACE_MS = 10,
};

static void order_done (void *arg, egn_order_end_t end);

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
  log_line_t line;
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

/// @return  Hash of the engine's id, or zero before it is known.
static uint64_t
engine_hash (const scr_sidecar_t *s)
{
  return s->who.id[0] == '\0' ? 0 : scr_name_id (kb_slice_str (s->who.id));
}

/// Learn how long answers take. An order whose answer is lost holds all later
/// ones back until its timeout: with 400 ms always and a third of the answers
/// lost, an engine brought one adapter a second instead of three.
static void
note_order_time (scr_sidecar_t *s, egn_order_end_t end)
{
  if (end == EGN_ORDER_UNKNOWN)
    rto_unanswered (&s->order_timeout);
  else if (end != EGN_ORDER_NOT_SENT)
    rto_answered (&s->order_timeout, scr_now_ms (s) - s->ordered_ms);
}

/// Give an order; one at a time.
static void
give_order (scr_sidecar_t *s, egn_order_t *order)
{
  order->expected_seq = s->seq;
  order->instance = s->who.id;
  order->timeout_ms = rto_ms (&s->order_timeout);
  s->ordered_ms = scr_now_ms (s);
  s->is_calling = true;
  s->engine->vtable->order (s->engine, order, order_done, s);
}

static void
order_done (void *arg, egn_order_end_t end)
{
  scr_sidecar_t *s = arg;
  s->is_calling = false;
  note_order_time (s, end);
  adm_adapter_t *adapter = kb_map_get (&s->table.adapters, s->order_adapter);
  log_order (s, adapter, end);
  bool is_fetch = s->order_kind == ADM_DO_LOAD && s->order_adapter != 0;
  if (end == EGN_ORDER_UNKNOWN && is_fetch)
    lto_note (&s->late_orders, engine_hash (s), s->seq, s->ordered_ms);
  bool is_done = end == EGN_ORDER_ACCEPTED || end == EGN_ORDER_HOLDS;
  if (is_done)
    s->seq++;
  bool is_unload = s->order_kind == ADM_DO_UNLOAD;
  // An unload that is only accepted keeps its room until the last run with it
  // ends, which the report tells. An engine that is ordered to hold more than
  // it has room for crashes.
  bool is_pending = !is_done || (is_unload && end == EGN_ORDER_ACCEPTED);
  // The report that follows tells whether an order without an answer was
  // accepted; if not, it is given again at once.
  if (end == EGN_ORDER_UNKNOWN)
    adapter = NULL;
  if (adapter != NULL && is_pending)
    adm_order_pending (adapter, scr_now_ms (s));
  else if (adapter != NULL && is_unload)
    adm_unload_done (&s->table, adapter);
  else if (adapter != NULL)
    adm_load_begun (&s->table, adapter, scr_now_ms (s));
  if (is_done)
    {
      scr_state_changed (s);
      scr_pump (s);
    }
  // The report tells what holds: whether an order without an answer was
  // accepted shows in the count of orders.
  if (!s->is_calling)
    tmr_start_once (&s->host.timers, &s->poll_timer,
                    is_done ? POLL_COMING_MS : 0, scr_poll, s);
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
                        .version = kind == ADM_DO_LOAD ? adapter->wanted : 0 };
  s->order_kind = kind;
  s->order_adapter = adapter->key;
  if (kind == ADM_DO_LOAD)
    MET_INC ("knapweedbay_orders_total", "operation=\"load\"");
  else
    MET_INC ("knapweedbay_orders_total", "operation=\"unload\"");
  give_order (s, &order);
}

static void
pump_again (void *arg)
{
  scr_pump (arg);
}

/// Do whatever can be done now: grant, scr_decline, order.
void
scr_pump (scr_sidecar_t *s)
{
  s->table.reserved = lto_reserved (&s->late_orders, engine_hash (s), s->seq,
                                    scr_now_ms (s));
  for (;;)
    {
      // Without the configuration the places for adapters are not known; an
      // engine that is ordered to hold more than it can crashes.
      bool may_order = !s->is_calling && s->has_report && !s->is_engine_busy
                       && !s->host.is_stopping && s->config != NULL;
      adm_action_t action = adm_next (&s->table, may_order, scr_now_ms (s));
      switch (action.kind)
        {
        case ADM_DO_NOTHING:
          if (s->table.waiting > 0)
            tmr_start_once (&s->host.timers, &s->pace_timer, PACE_MS,
                            pump_again, s);
          return;
        case ADM_DO_GRANT:
          scr_grant (s, action.ask);
          scr_state_changed (s);
          break;
        case ADM_DO_DECLINE:
          {
            const scr_gateway_t *gateway
                = scr_gateway_find (s, action.ask->owner);
            if (gateway != NULL)
              scr_decline (s, kb_slice_str (gateway->name), action.ask->id,
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

/// The model that the engine is to hold: the configuration's, or, before one
/// is known, the only one whose weights the engine still has. After a loss of
/// all power the configuration arrives here last, behind the store, the list
/// of targets and a gateway: 2.0 s after the start on a day whose store was
/// down as well, of which the engine spent none on its model.
/// @return  NULL when it is not known.
static const char *
wanted_model (const scr_sidecar_t *s, const egn_report_t *report)
{
  const svc_service_t *service = scr_own_service (s);
  if (service != NULL)
    return service->model_count > 0 ? service->models[0].name : NULL;
  bool is_alone = s->config == NULL && report->at_hand_count == 1;
  return is_alone ? report->at_hand[0] : NULL;
}

/// An engine restarts without its model; only this process can bring it back.
static void
order_model (scr_sidecar_t *s, const egn_report_t *report)
{
  const char *model = wanted_model (s, report);
  if (model == NULL || report->is_busy || report->is_leaving || s->is_calling)
    return;
  uint64_t pause_ms
      = is_at_hand (report, model) ? MODEL_RETRY_AT_HAND_MS : MODEL_RETRY_MS;
  uint64_t now_ms = scr_now_ms (s);
  if (s->model_ordered_ms > 0 && now_ms - s->model_ordered_ms < pause_ms)
    return;
  s->model_ordered_ms = now_ms;
  s->order_kind = ADM_DO_LOAD;
  s->order_adapter = 0;
  egn_order_t order = { .is_load = true, .model = model };
  MET_INC ("knapweedbay_orders_total", "operation=\"load_model\"");
  give_order (s, &order);
}

static void
identity_done (void *arg, kb_slice_t instance)
{
  scr_sidecar_t *s = arg;
  s->is_identifying = false;
  if (instance.len_bytes == 0)
    return;
  kb_slice_copy (instance, s->who.id, sizeof s->who.id);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "sidecar", "engine_identified"))
    {
      log_text (&line, "instance", s->who.id);
      log_end (&line);
    }
  scr_state_changed (s);
}

/// Requests and orders name the incarnation that they are for. The list tells
/// it a second or more after a restart; the engine itself at once.
static void
identify_engine (scr_sidecar_t *s)
{
  uint64_t now_ms = scr_now_ms (s);
  if (s->who.id[0] != '\0' || s->is_identifying
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
  log_line_t line;
  if (log_begin (&line, LOG_WARN, "sidecar", "engine_restarted"))
    {
      log_text (&line, "instance", s->who.id);
      log_int (&line, "granted", s->table.granted);
      log_end (&line);
    }
  s->model_ordered_ms = 0;
  s->who = (inc_t){ 0 };
  s->identified_ms = 0;
  lto_restarted (&s->late_orders);
  adm_engine_restarted (&s->table);
  bkp_limit_t none = { .at_ms = tmr_boottime_ms () };
  bkp_meter_told (&s->table.meter, &none, scr_now_ms (s));
  scr_state_changed (s);
}

/// A restart clears the count of orders and everything that was held. The
/// birth tells it also when the engine is as far again as it was. A report is
/// the engine's own and fresh, so that any other birth is a restart here, also
/// an earlier one, of a clock that was stepped back; a report without a birth
/// is about the incarnation that is known.
static bool
is_restarted (const scr_sidecar_t *s, const egn_report_t *report)
{
  if (!s->has_report)
    return false;
  bool is_reborn = report->born_ms > 0 && s->who.born_ms > 0
                   && report->born_ms != s->who.born_ms;
  return is_reborn || report->seq < s->seq
         || (s->is_model_held && report->model_count == 0);
}

static void
take_report (scr_sidecar_t *s, const egn_report_t *report)
{
  if (is_restarted (s, report))
    engine_restarted (s);
  if (report->born_ms > 0)
    s->who.born_ms = report->born_ms;
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
                          a->version, a->is_coming, scr_now_ms (s));
      adm_adapter_t *adapter = kb_map_get (&s->table.adapters, a->key);
      adm_adapter_want (adapter, ver_newest (&s->versions, a->key));
    }
  adm_report_end (&s->table);
  if (held != s->table.held || coming != s->table.coming)
    scr_state_changed (s);
  if (s->is_model_held)
    identify_engine (s);
  if (report->is_leaving)
    scr_set_condition (s, MSG_ENGINE_LEAVING);
  else
    scr_set_condition (s,
                       s->is_model_held ? MSG_ENGINE_READY : MSG_ENGINE_DOWN);
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
      scr_set_condition (s, MSG_ENGINE_DOWN);
    }
  if (status == KB_OK && !s->is_model_held)
    order_model (s, report);
  scr_pump (s);
  if (s->is_calling)
    return;
  uint64_t pause_ms = s->table.coming > 0 ? POLL_COMING_MS
                      : s->table.granted > 0 || s->table.waiting > 0
                          ? POLL_BUSY_MS
                          : POLL_IDLE_MS;
  tmr_start_once (&s->host.timers, &s->poll_timer, pause_ms, scr_poll, s);
}

void
scr_poll (void *arg)
{
  scr_sidecar_t *s = arg;
  if (s->is_calling)
    return;
  s->is_calling = true;
  s->engine->vtable->report (s->engine, report_done, s);
}
