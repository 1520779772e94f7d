/// @file admit.h
/// Admission control of a sidecar: which waiting request is granted a place,
/// which adapter the engine loads or unloads, and which requests are declined.
/// A cold load fetches an adapter from the weight store that all engines
/// share, a warm one from the engine's host memory, in a tenth of the time. No
/// I/O: engine reports and the time are arguments, and adm_next_action returns
/// one action at a time. All `_ms` moments are of the caller's clock.
#ifndef KB_COORDINATION_ADMIT_H
#define KB_COORDINATION_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/alone.h"
#include "coordination/backpressure.h"
#include "coordination/fetch_limit.h"
#include "coordination/prefill.h"
#include "state/buf.h"
#include "state/map.h"

enum
{
  ADM_NAME_BYTES = 160,
};

typedef enum
{
  ADM_ABSENT,
  ADM_LOADING, ///< The engine accepted an order to load it.
  ADM_HELD,
} adm_state_t;

/// An adapter that was requested or that the engine holds.
typedef struct
{
  uint64_t key;
  char name[ADM_NAME_BYTES]; ///< "model/adapter".
  adm_state_t state;
  uint32_t version;      ///< Version held by the engine.
  uint32_t min_version;  ///< Oldest version that may serve; zero: any.
  uint32_t pins;         ///< Granted requests that use it.
  uint32_t waiting;      ///< Waiting requests that need it.
  uint64_t objective_ms; ///< Latest objective of the waiting requests.
  uint64_t used_ms;      ///< Last request for it.
  /// When a report last listed it as held; zero: not by this incarnation of
  /// the engine.
  uint64_t last_held_ms;
  uint64_t load_started_ms;    ///< Load accepted; zero: none in progress.
  bool is_cold;                ///< The load in progress is a cold load.
  double recent_requests;      ///< Exponentially decayed request count.
  uint64_t recent_requests_ms; ///< Time of the last update of that count.
  bool is_replacing;           ///< Held while a newer version is loading.
  uint64_t report_generation;  ///< Last report that listed it.
  uint64_t next_order_ms;      ///< No order for it before this.
} adm_adapter_t;

/// A gateway's request for a place.
typedef struct adm_request
{
  uint64_t id;            ///< Assigned by the gateway.
  uint64_t owner;         ///< Hash of the gateway's name.
  adm_adapter_t *adapter; ///< NULL: the base model.
  uint32_t exact_version; ///< Only this version may serve; zero: the newest.
  uint32_t priority;      ///< Priority class; lower is more urgent.
  uint32_t decline_count; ///< Engines that already declined it.
  uint32_t kv_tokens_needed;
  uint32_t prompt_tokens;
  uint64_t arrived_ms;
  uint64_t deadline_ms;          ///< The answer is useless after this.
  uint64_t objective_ms;         ///< The first event is late after this.
  uint64_t load_wait_start_ms;   ///< Start of its wait for a load; zero: none.
  uint64_t granted_ms;           ///< Zero: waiting.
  uint64_t forecast_ms;          ///< Forecast time of the first event.
  uint64_t reconcile_generation; ///< Last reconciliation that kept it.
  bool is_first_event_pending;   ///< Granted, no first event yet.
  aln_request_t alone;           ///< Whether it has to start alone.
  /// Prompt tokens to process until its first event, its own included, at the
  /// time of the grant.
  double ahead_tokens;
  struct adm_request *next;
  struct adm_request *prev;
} adm_request_t;

/// Since when timely requests (those that can still meet their objective) have
/// exceeded a capacity of the engine.
typedef struct
{
  uint64_t since_ms; ///< Zero: spare capacity.
} adm_saturation_t;

typedef struct
{
  uint32_t slots; ///< Requests that the engine runs at a time.
  uint32_t kv_tokens;
  uint32_t adapter_slots;
  uint32_t max_cold_loads;        ///< Concurrent loads from the weight store.
  uint32_t max_loads_in_progress; ///< Concurrent loads of any kind.
} adm_options_t;

typedef struct
{
  adm_options_t options;
  kb_map_t adapters;
  kb_map_t requests;    ///< By hash of owner and id.
  adm_request_t *first; ///< Waiting requests, oldest first.
  adm_request_t *last;
  uint32_t waiting;
  uint32_t granted;
  uint64_t granted_kv_tokens;
  pfl_prefill_t prefill; ///< Prefill of granted prompts.
  double waiting_cost;   ///< Sum of pfl_cost_tokens over the waiting requests.
  uint32_t adapters_held;
  uint32_t adapters_loading;
  /// Adapter slots kept free for orders that may still be carried out.
  uint32_t reserved_adapter_slots;
  uint32_t adapters_cold_loading; ///< Part of adapters_loading.
  uint32_t adapters_waiting_cold; ///< Adapters that wait for a cold load.
  ftl_limit_t fetch_limit;        ///< Limit of concurrent cold loads.
  /// Prompt cost granted to urgent requests while timely requests of less
  /// urgent classes waited, less the share that these received.
  double urgent_lead_cost;
  adm_saturation_t grant_saturation; ///< Of slots, memory and prefill.
  adm_saturation_t load_saturation;  ///< Of adapter loads.
  aln_gate_t alone;
  bkp_meter_t meter;   ///< Rate limit stated by the engine.
  double mean_hold_ms; ///< Mean time from a grant to its release.
  uint64_t current_report_generation;
  uint64_t current_reconcile_generation;
  bool is_engine_ready; ///< Up, holds its model and is not leaving.
} adm_table_t;

typedef enum
{
  ADM_ACTION_NONE,
  ADM_ACTION_GRANT,
  ADM_ACTION_DECLINE,
  ADM_ACTION_LOAD,
  ADM_ACTION_UNLOAD,
} adm_action_kind_t;

typedef struct
{
  adm_action_kind_t kind;
  adm_request_t *request;  ///< Granted or declined.
  adm_request_t *joined;   ///< Of a grant: the request that was starting alone
                           ///< until now; NULL: none.
  adm_adapter_t *adapter;  ///< To load or unload.
  const char *reason;      ///< Of a decline.
  uint64_t retry_after_ms; ///< Of a decline: pause before a retry.
} adm_action_t;

void adm_table_init (adm_table_t *table, const adm_options_t *options);
void adm_table_finish (adm_table_t *table);
adm_adapter_t *adm_adapter_get_or_add (adm_table_t *table, uint64_t key,
                                       kb_slice_t name);
/// Raise the oldest version that may serve; a lower one is ignored.
void adm_adapter_require_version (adm_adapter_t *adapter, uint32_t version);
/// Add a copy of a request to the waiting ones.
/// @return  The copy; NULL when the gateway repeats an id.
adm_request_t *adm_request_add (adm_table_t *table,
                                const adm_request_t *original);
/// @return  NULL when no request of this owner has the id.
adm_request_t *adm_request_find (adm_table_t *table, uint64_t owner,
                                 uint64_t id);
/// Update the mean hold time when a granted request ends. A waiting request is
/// ignored.
void adm_request_record_hold_time (adm_table_t *table,
                                   const adm_request_t *request,
                                   uint64_t now_ms);
/// Remove and free a request, waiting or granted.
void adm_request_remove (adm_table_t *table, adm_request_t *request);
/// @return  Milliseconds until an adapter requested now would be held.
uint64_t adm_load_wait_ms (const adm_table_t *table,
                           const adm_adapter_t *adapter, uint64_t now_ms);
/// Expected delays of a request that arrives now.
typedef struct
{
  uint64_t load_ms;  ///< Until its adapter is held.
  uint64_t place_ms; ///< Until a slot and memory are free for it.
  uint64_t first_ms; ///< Until its first event.
} adm_forecast_t;

adm_forecast_t adm_forecast (const adm_table_t *table,
                             const adm_request_t *request, uint64_t now_ms);
/// Decide whether a request that arrives now is declined at once: because it
/// would be late waiting for a load or a slot, or because it would be late
/// while the engine is saturated.
/// @return  The reason, or NULL when the request may wait here.
const char *adm_refusal_reason (const adm_table_t *table,
                                const adm_request_t *request,
                                const adm_forecast_t *forecast,
                                uint64_t now_ms);
/// @return  Whether timely requests have used all capacity for long enough
///          that none is left for late ones.
bool adm_is_saturated (const adm_table_t *table, uint64_t now_ms);
/// @return  As adm_load_wait_ms, for an adapter that is not in the table.
uint64_t adm_new_adapter_load_wait_ms (const adm_table_t *table,
                                       uint64_t now_ms);
/// Count a request for an adapter, also one that is declined.
void adm_adapter_record_request (adm_adapter_t *adapter, uint64_t now_ms);
/// Mark all adapters as absent: a restarted engine holds none, not even in
/// host memory.
void adm_handle_engine_restart (adm_table_t *table);
/// Record the first event of a granted request; later ones are ignored.
void adm_request_record_first_event (adm_table_t *table,
                                     adm_request_t *request, uint64_t now_ms);
/// @return  Prefill time of all granted and waiting requests, microseconds.
uint64_t adm_backlog_us (const adm_table_t *table, uint64_t now_ms);
/// Begin a reconciliation with the list of requests that a gateway has open:
/// begin, keep each listed request, end.
void adm_reconcile_begin (adm_table_t *table);
void adm_reconcile_keep (adm_table_t *table, adm_request_t *request);
/// Remove the requests of `owner` that were not kept.
/// @return  Number of requests removed.
uint32_t adm_reconcile_end (adm_table_t *table, uint64_t owner);
/// Remove all requests of a gateway that is gone.
void adm_owner_remove (adm_table_t *table, uint64_t owner);
/// Apply a report of the engine: begin, each listed adapter, end.
void adm_report_begin (adm_table_t *table);
void adm_report_adapter (adm_table_t *table, uint64_t key, kb_slice_t name,
                         uint32_t version, bool is_loading, uint64_t now_ms);
void adm_report_end (adm_table_t *table);
/// Record that the engine accepted a load order.
void adm_record_load_started (adm_table_t *table, adm_adapter_t *adapter,
                              uint64_t now_ms);
/// Record that the engine unloaded an adapter.
void adm_record_unloaded (adm_table_t *table, adm_adapter_t *adapter);
/// Delay the next order for an adapter, after one that failed or has not taken
/// effect yet.
void adm_delay_order (adm_adapter_t *adapter, uint64_t now_ms);
/// @return  Whether a request waits to start alone until the engine has proved
///          that it lives (coordination/alone.h).
bool adm_awaits_proof (const adm_table_t *table);
/// Choose the next action. A grant takes effect within the call. The caller
/// removes a declined request after it has notified the gateway, and records
/// orders with adm_record_load_started, adm_record_unloaded and
/// adm_delay_order.
/// @param may_order  Whether a load or unload order can be sent now.
adm_action_t adm_next_action (adm_table_t *table, bool may_order,
                              uint64_t now_ms);
/// @param adapter  NULL: the base model, which can always serve.
/// @return         Whether a request for it can start now: it is held, at a
///                 version that may serve.
bool adm_adapter_is_servable (const adm_adapter_t *adapter);
/// @return  Whether a request can start now as far as its adapter goes: the
///          version that may serve it is held.
bool adm_request_is_servable (const adm_request_t *request);
/// @return  Whether a request needs a version of its adapter that is not held
///          and will not be loaded again, or that is being replaced.
bool adm_request_is_outdated (const adm_request_t *request);

#endif
