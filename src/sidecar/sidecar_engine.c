/// @file sidecar_engine.c
/// Handles the engine beside a sidecar: its reports, orders, and its model.
#include <stdio.h>

#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Reports cost nothing on the engine's own VM. While an adapter is loading,
  /// requests wait for it, so reports are frequent.
  POLL_LOADING_MS = 25,
  POLL_BUSY_MS = 150,
  POLL_IDLE_MS = 300,
  /// While a request waits for the proof that the engine is alive.
  POLL_PROOF_MS = 25,
  /// Consecutive failed reports until the engine counts as down.
  MAX_REPORT_FAILURES = 2,
  /// Keeps the model fetches of all engines together far below the rate limit
  /// of the weight store.
  MODEL_RETRY_MS = 5000,
  MODEL_RETRY_CACHED_MS = 1000,
  IDENTIFY_RETRY_MS = 1000,
  /// While requests wait, progress of the prefill makes room for more.
  QUEUE_RETRY_MS = 10,
};

static void order_done (void *arg, egn_order_outcome_t outcome);

static const char *
order_outcome_name (egn_order_outcome_t outcome)
{
  static const char *const names[]
      = { "accepted", "holds", "conflict", "refused", "not_sent", "unknown" };
  return names[outcome];
}

static void
log_order (const scr_sidecar_t *s, const adm_adapter_t *adapter,
           egn_order_outcome_t outcome)
{
  log_line_t line;
  if (!log_begin (&line, outcome <= EGN_ORDER_SATISFIED ? LOG_DEBUG : LOG_WARN,
                  "sidecar", "order"))
    return;
  log_text (&line, "operation",
            s->order_kind == ADM_ACTION_UNLOAD ? "unload" : "load");
  log_text (&line, "adapter", adapter == NULL ? "" : adapter->name);
  log_int (&line, "seq", (int64_t)s->seq);
  log_text (&line, "outcome", order_outcome_name (outcome));
  log_end (&line);
}

/// @return  Hash of the engine's id; zero before it is known.
static uint64_t
engine_hash (const scr_sidecar_t *s)
{
  return s->engine_incarnation.id[0] == '\0'
             ? 0
             : scr_name_id (kb_slice_str (s->engine_incarnation.id));
}

/// Update the order timeout. An order whose answer is lost blocks all later
/// ones until its timeout: with a fixed 400 ms and a third of the answers
/// lost, an engine loads one adapter a second instead of three.
static void
record_order_time (scr_sidecar_t *s, egn_order_outcome_t outcome)
{
  if (outcome == EGN_ORDER_UNKNOWN)
    rto_unanswered (&s->order_timeout);
  else if (outcome != EGN_ORDER_NOT_SENT)
    rto_answered (&s->order_timeout, scr_now_ms (s) - s->ordered_ms);
}

/// Send an order; only one may be pending.
static void
send_order (scr_sidecar_t *s, egn_order_t *order)
{
  order->expected_seq = s->seq;
  order->instance = s->engine_incarnation.id;
  order->timeout_ms = rto_ms (&s->order_timeout);
  s->ordered_ms = scr_now_ms (s);
  s->is_engine_call_pending = true;
  s->engine->vtable->order (s->engine, order, order_done, s);
}

static void
order_done (void *arg, egn_order_outcome_t outcome)
{
  scr_sidecar_t *s = arg;
  s->is_engine_call_pending = false;
  record_order_time (s, outcome);
  adm_adapter_t *adapter = kb_map_get (&s->table.adapters, s->order_adapter);
  log_order (s, adapter, outcome);
  bool is_fetch = s->order_kind == ADM_ACTION_LOAD && s->order_adapter != 0;
  if (outcome == EGN_ORDER_UNKNOWN && is_fetch)
    lto_record (&s->late_orders, engine_hash (s), s->seq, s->ordered_ms);
  bool is_done
      = outcome == EGN_ORDER_ACCEPTED || outcome == EGN_ORDER_SATISFIED;
  if (s->order_adapter == 0)
    s->is_model_order_in_doubt = !is_done && outcome != EGN_ORDER_REFUSED;
  if (is_done)
    s->seq++;
  bool is_unload = s->order_kind == ADM_ACTION_UNLOAD;
  // An accepted unload frees its slot only after the last run with the adapter
  // has ended, as shown by the report. An engine that is ordered to hold more
  // adapters than it has room for crashes.
  bool is_pending = !is_done || (is_unload && outcome == EGN_ORDER_ACCEPTED);
  // The next report shows whether an order without an answer was accepted; if
  // not, it is sent again at once.
  if (outcome == EGN_ORDER_UNKNOWN)
    adapter = NULL;
  if (adapter != NULL && is_pending)
    adm_delay_order (adapter, scr_now_ms (s));
  else if (adapter != NULL && is_unload)
    adm_record_unloaded (&s->table, adapter);
  else if (adapter != NULL)
    adm_record_load_started (&s->table, adapter, scr_now_ms (s));
  if (is_done)
    {
      scr_state_changed (s);
      scr_process_queue (s);
    }
  // The count of orders in the report shows whether an order without an answer
  // was accepted.
  if (!s->is_engine_call_pending)
    tmr_start_once (&s->host.timers, &s->poll_timer,
                    is_done ? POLL_LOADING_MS : 0, scr_poll_engine, s);
}

/// Order the engine to load or unload an adapter.
static void
order_adapter (scr_sidecar_t *s, adm_action_kind_t kind,
               const adm_adapter_t *adapter)
{
  char model[EGN_KEY_BYTES];
  snprintf (model, sizeof model, "%s", adapter->name);
  char *slash = strchr (model, '/');
  if (slash == NULL)
    return;
  *slash = '\0';
  egn_order_t order
      = { .is_load = kind == ADM_ACTION_LOAD,
          .model = model,
          .adapter = slash + 1,
          .version = kind == ADM_ACTION_LOAD ? adapter->min_version : 0 };
  s->order_kind = kind;
  s->order_adapter = adapter->key;
  if (kind == ADM_ACTION_LOAD)
    MET_INC ("knapweedbay_orders_total", "operation=\"load\"");
  else
    MET_INC ("knapweedbay_orders_total", "operation=\"unload\"");
  send_order (s, &order);
}

static void
process_queue_on_timer (void *arg)
{
  scr_process_queue (arg);
}

/// Ask the engine for the proof that a request waits for.
static void
seek_proof (scr_sidecar_t *s)
{
  if (adm_awaits_proof (&s->table)
      && scr_now_ms (s) - s->polled_ms >= POLL_PROOF_MS)
    scr_poll_engine (s);
}

/// Grant and decline places and order the engine, as far as possible now.
void
scr_process_queue (scr_sidecar_t *s)
{
  s->table.reserved_adapter_slots = lto_reserved (
      &s->late_orders, engine_hash (s), s->seq, scr_now_ms (s));
  for (;;)
    {
      // Without the configuration the adapter slots are unknown; an engine
      // that is ordered to hold more adapters than it has room for crashes.
      bool may_order = !s->is_engine_call_pending && s->has_report
                       && !s->is_engine_busy && !s->host.is_stopping
                       && s->config != NULL;
      adm_action_t action
          = adm_next_action (&s->table, may_order, scr_now_ms (s));
      switch (action.kind)
        {
        case ADM_ACTION_NONE:
          if (s->table.waiting > 0)
            tmr_start_once (&s->host.timers, &s->queue_timer, QUEUE_RETRY_MS,
                            process_queue_on_timer, s);
          seek_proof (s);
          return;
        case ADM_ACTION_GRANT:
          if (action.joined != NULL)
            scr_report_joined (s, action.joined->owner, action.joined->id,
                               false);
          scr_grant (s, action.request);
          scr_state_changed (s);
          break;
        case ADM_ACTION_DECLINE:
          {
            const scr_gateway_t *gateway
                = scr_gateway_find (s, action.request->owner);
            if (gateway != NULL)
              scr_decline (s, kb_slice_str (gateway->name), action.request->id,
                           action.reason, action.retry_after_ms);
            adm_request_remove (&s->table, action.request);
            break;
          }
        case ADM_ACTION_LOAD:
        case ADM_ACTION_UNLOAD:
          order_adapter (s, action.kind, action.adapter);
          return;
        }
    }
}

static bool
is_model_cached (const egn_report_t *report, const char *model)
{
  for (uint32_t i = 0; i < report->cached_model_count; i++)
    if (strcmp (report->cached_models[i], model) == 0)
      return true;
  return false;
}

/// The model that the engine is to hold: the configured one or, before a
/// configuration arrived, the only one whose weights the engine still has.
/// After a power loss the configuration arrives last, after the store, the
/// list of targets and a gateway are up: 2.0 s after the start when the store
/// was down as well. Without this rule the engine would idle during that time.
/// @return  NULL if it is not known.
static const char *
wanted_model (const scr_sidecar_t *s, const egn_report_t *report)
{
  const svc_service_t *service = scr_own_service (s);
  if (service != NULL)
    return service->model_count > 0 ? service->models[0].name : NULL;
  bool is_only_cached = s->config == NULL && report->cached_model_count == 1;
  return is_only_cached ? report->cached_models[0] : NULL;
}

/// Time between two orders to load a model. One that the engine has not
/// accepted fetches nothing. Should it still arrive, at most one of the two is
/// accepted, as both expect the same count.
static uint64_t
model_retry_ms (const scr_sidecar_t *s, const egn_report_t *report,
                const char *model)
{
  bool is_not_accepted
      = s->is_model_order_in_doubt && report->seq == s->model_ordered_seq;
  return is_not_accepted || is_model_cached (report, model)
             ? MODEL_RETRY_CACHED_MS
             : MODEL_RETRY_MS;
}

/// An engine restarts without its model; only the sidecar makes it load one.
static void
order_model (scr_sidecar_t *s, const egn_report_t *report)
{
  const char *model = wanted_model (s, report);
  if (model == NULL || report->is_busy || report->is_leaving
      || s->is_engine_call_pending)
    return;
  uint64_t pause_ms = model_retry_ms (s, report, model);
  uint64_t now_ms = scr_now_ms (s);
  if (s->model_ordered_ms > 0 && now_ms - s->model_ordered_ms < pause_ms)
    return;
  s->model_ordered_ms = now_ms;
  s->model_ordered_seq = s->seq;
  s->order_kind = ADM_ACTION_LOAD;
  s->order_adapter = 0;
  egn_order_t order = { .is_load = true, .model = model };
  MET_INC ("knapweedbay_orders_total", "operation=\"load_model\"");
  send_order (s, &order);
}

static void
identity_done (void *arg, kb_slice_t instance)
{
  scr_sidecar_t *s = arg;
  s->is_identifying = false;
  // Whatever it names has ended if the engine has restarted meanwhile.
  bool is_outdated = s->identify_restarts != s->engine_restarts;
  if (instance.len_bytes == 0 || is_outdated)
    return;
  kb_slice_copy (instance, s->engine_incarnation.id,
                 sizeof s->engine_incarnation.id);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "sidecar", "engine_identified"))
    {
      log_text (&line, "instance", s->engine_incarnation.id);
      log_end (&line);
    }
  scr_state_changed (s);
}

/// Requests and orders carry the incarnation that they address. After a
/// restart the engine reports it at once, the list of targets a second or more
/// later.
static void
identify_engine (scr_sidecar_t *s)
{
  uint64_t now_ms = scr_now_ms (s);
  if (s->engine_incarnation.id[0] != '\0' || s->is_identifying
      || (s->identify_sent_ms > 0
          && now_ms - s->identify_sent_ms < IDENTIFY_RETRY_MS))
    return;
  s->is_identifying = true;
  s->identify_sent_ms = now_ms;
  s->identify_restarts = s->engine_restarts;
  s->engine->vtable->identify (s->engine, identity_done, s);
}

static void
engine_restarted (scr_sidecar_t *s)
{
  log_line_t line;
  if (log_begin (&line, LOG_WARN, "sidecar", "engine_restarted"))
    {
      log_text (&line, "instance", s->engine_incarnation.id);
      log_int (&line, "granted", s->table.granted);
      log_end (&line);
    }
  s->model_ordered_ms = 0;
  s->unsettled_place = 0;
  s->engine_incarnation = (inc_t){ 0 };
  s->identify_sent_ms = 0;
  s->engine_restarts++;
  lto_restarted (&s->late_orders);
  adm_handle_engine_restart (&s->table);
  bkp_limit_t no_limit = { .at_ms = tmr_boottime_ms () };
  bkp_meter_merge (&s->table.meter, &no_limit, scr_now_ms (s));
  scr_state_changed (s);
}

/// A restart resets the count of orders and unloads everything. The birth time
/// shows it even after the count has reached its old value. Reports come
/// directly from the engine and are fresh, so any other birth time means a
/// restart, also an earlier one from a clock that was stepped back. A report
/// without a birth time is about the known incarnation.
static bool
is_restarted (const scr_sidecar_t *s, const egn_report_t *report)
{
  if (!s->has_report)
    return false;
  bool has_new_birth = report->born_ms > 0 && s->engine_incarnation.born_ms > 0
                       && report->born_ms != s->engine_incarnation.born_ms;
  return has_new_birth || report->seq < s->seq
         || (s->is_model_held && report->model_count == 0);
}

void
scr_await_settlement (scr_sidecar_t *s, const adm_request_t *request)
{
  s->unsettled_place = request->id;
  s->unsettled_owner = request->owner;
  aln_closed_alone (&s->table.alone, scr_now_ms (s));
  tmr_start_once (&s->host.timers, &s->settle_timer, ALN_STARTUP_MS,
                  scr_poll_engine, s);
}

/// The engine has answered a report.
static void
settle (scr_sidecar_t *s)
{
  aln_confirm_alive (&s->table.alone, s->polled_broken_starts);
  if (!aln_settle (&s->table.alone, s->polled_ms, scr_now_ms (s)))
    return;
  if (s->unsettled_place != 0)
    scr_report_joined (s, s->unsettled_owner, s->unsettled_place, true);
  s->unsettled_place = 0;
}

static void
apply_report (scr_sidecar_t *s, const egn_report_t *report)
{
  bool is_first = !s->has_report && report->seq == 0;
  if (is_restarted (s, report))
    engine_restarted (s);
  else if (is_first && report->model_count == 0)
    // It may have restarted before this process started.
    lto_restarted (&s->late_orders);
  if (report->born_ms > 0)
    s->engine_incarnation.born_ms = report->born_ms;
  s->has_report = true;
  s->report_failures = 0;
  settle (s);
  s->seq = report->seq;
  s->is_engine_busy = report->is_busy;
  s->is_model_held = report->model_count > 0;
  uint32_t held = s->table.adapters_held;
  uint32_t loading = s->table.adapters_loading;
  adm_report_begin (&s->table);
  for (uint32_t i = 0; i < report->adapter_count; i++)
    {
      const egn_adapter_t *a = &report->adapters[i];
      adm_report_adapter (&s->table, a->key, kb_slice_str (a->name),
                          a->version, a->is_loading, scr_now_ms (s));
      adm_adapter_t *adapter = kb_map_get (&s->table.adapters, a->key);
      adm_adapter_require_version (adapter, ver_newest (&s->versions, a->key));
    }
  adm_report_end (&s->table);
  if (held != s->table.adapters_held || loading != s->table.adapters_loading)
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
  s->is_engine_call_pending = false;
  if (status == KB_OK)
    apply_report (s, report);
  else if (++s->report_failures >= MAX_REPORT_FAILURES)
    {
      // A crashed engine restarts as another incarnation.
      if (s->has_report)
        engine_restarted (s);
      s->has_report = false;
      scr_set_condition (s, MSG_ENGINE_DOWN);
    }
  if (status == KB_OK && !s->is_model_held)
    order_model (s, report);
  scr_process_queue (s);
  if (s->is_engine_call_pending)
    return;
  uint64_t pause_ms = s->table.adapters_loading > 0 ? POLL_LOADING_MS
                      : s->table.granted > 0 || s->table.waiting > 0
                          ? POLL_BUSY_MS
                          : POLL_IDLE_MS;
  if (s->unsettled_place != 0)
    pause_ms = POLL_PROOF_MS;
  tmr_start_once (&s->host.timers, &s->poll_timer, pause_ms, scr_poll_engine,
                  s);
}

void
scr_poll_engine (void *arg)
{
  scr_sidecar_t *s = arg;
  if (s->is_engine_call_pending)
    return;
  s->is_engine_call_pending = true;
  s->polled_ms = scr_now_ms (s);
  s->polled_broken_starts = s->table.alone.broken_starts;
  s->engine->vtable->report (s->engine, report_done, s);
}
