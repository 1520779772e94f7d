/// @file admit.h
/// What a sidecar decides for its engine: which waiting request gets a place,
/// which adapter is fetched or dropped, and what is decline_count. No I/O;
/// reports and time are arguments, actions are handed out one by one.
#ifndef KB_COORDINATION_ADMIT_H
#define KB_COORDINATION_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/alone.h"
#include "coordination/backpressure.h"
#include "coordination/fetch_limit.h"
#include "coordination/reading.h"
#include "state/buf.h"
#include "state/map.h"

enum
{
  ADM_NAME_BYTES = 160,
};

typedef enum
{
  ADM_ABSENT,
  ADM_LOADING, ///< An order to fetch it was accepted.
  ADM_HELD,
} adm_state_t;

/// One adapter that was asked for or is adapters_held.
typedef struct
{
  uint64_t key;
  char name[ADM_NAME_BYTES]; ///< "model/adapter".
  adm_state_t state;
  uint32_t version;     ///< Held.
  uint32_t min_version; ///< Oldest that may serve; zero: any.
  uint32_t pins;        ///< Places granted with it.
  uint32_t waiting;
  uint64_t objective_ms; ///< Latest of the waiting requests.
  uint64_t used_ms;      ///< Last request for it.
  uint64_t last_held_ms; ///< Last seen adapters_held; zero: never by this
                         ///< incarnation.
  uint64_t
      load_started_ms; ///< When its fetch was accepted; zero: not under way.
  bool is_cold;        ///< The fetch under way is from the weight store.
  double recent_requests; ///< Decayed count of requests.
  uint64_t recent_requests_ms;
  bool is_replacing;          ///< Held, and a newer version is on its way.
  uint64_t report_generation; ///< The report that listed it last.
  uint64_t next_order_ms;     ///< Not ordered again before this.
} adm_adapter_t;

/// One request for a place.
typedef struct adm_request
{
  uint64_t id;            ///< Of the gateway.
  uint64_t owner;         ///< Hash of the gateway.
  adm_adapter_t *adapter; ///< NULL: the model itself.
  uint32_t priority;
  uint32_t decline_count;    ///< Engines that decline_count it before.
  uint32_t kv_tokens_needed; ///< Memory it will need.
  uint32_t prompt_tokens;
  uint64_t arrived_ms;
  uint64_t deadline_ms;  ///< Of no more use after this.
  uint64_t objective_ms; ///< Its first event is late after this.
  uint64_t
      load_wait_start_ms; ///< When it began to wait for a load; zero: not.
  uint64_t granted_ms;    ///< Zero: waiting.
  uint64_t forecast_ms;   ///< Moment of its first event, as it was expected.
  uint64_t reconcile_generation; ///< The comparison that named it last.
  bool is_first_event_pending; ///< Granted; its first event has not come yet.
  aln_request_t alone;         ///< Whether it is to begin alone.
  double ahead_tokens;         ///< Prompts to be read with it, at its grant.
  struct adm_request *next;
  struct adm_request *prev;
} adm_request_t;

/// Since when requests in time have min_version more of something than there
/// is.
typedef struct
{
  uint64_t since_ms; ///< Zero: there is some to spare.
} adm_saturation_t;

typedef struct
{
  uint32_t slots;
  uint32_t kv_tokens;
  uint32_t adapter_slots;
  uint32_t
      max_cold_loads; ///< Most adapters on their way from the weight store.
  uint32_t max_loads_in_progress; ///< All adapters on their way.
} adm_options_t;

typedef struct
{
  adm_options_t options;
  kb_map_t adapters;
  kb_map_t requests;    ///< By id and owner.
  adm_request_t *first; ///< Waiting, oldest first.
  adm_request_t *last;
  uint32_t waiting;
  uint32_t granted;
  uint64_t granted_kv_tokens;
  rdg_reading_t reading; ///< Of granted prompts.
  double waiting_cost;   ///< Prompts of waiting requests, as rdg_cost.
  uint32_t adapters_held;
  uint32_t adapters_loading;
  uint32_t reserved_adapter_slots; ///< Places kept free for late orders.
  uint32_t adapters_cold_loading;  ///< Of these, from the weight store.
  uint32_t adapters_waiting_cold;  ///< Adapters asked for that wait for such a
                                   ///< fetch.
  ftl_limit_t fetch_limit;         ///< For fetches from the weight store.
  double urgent_lead_cost; ///< Prompts granted past less urgent ones in time.
  adm_saturation_t grant_saturation;
  adm_saturation_t load_saturation;
  aln_gate_t alone;
  bkp_meter_t meter;   ///< Of the requests that the engine takes.
  double mean_hold_ms; ///< Mean time from a grant to its release.
  uint64_t current_report_generation;
  uint64_t current_reconcile_generation;
  bool is_engine_ready; ///< The engine is up, holds its model and stays.
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
  adm_request_t *request;
  adm_adapter_t *adapter;
  const char *reason;
  uint64_t retry_after_ms;
} adm_action_t;

void adm_table_init (adm_table_t *table, const adm_options_t *options);
void adm_table_finish (adm_table_t *table);
/// Find or add an adapter.
adm_adapter_t *adm_adapter_get_or_add (adm_table_t *table, uint64_t key,
                                       kb_slice_t name);
/// A newer version must serve from now on; an older word changes nothing.
void adm_adapter_require_version (adm_adapter_t *adapter, uint32_t version);
/// Add a waiting request.
/// @return  NULL when the gateway repeats an id.
adm_request_t *adm_request_add (adm_table_t *table,
                                const adm_request_t *request);
adm_request_t *adm_request_find (adm_table_t *table, uint64_t owner,
                                 uint64_t id);
/// A granted request ended: learn for how long places are adapters_held.
void adm_request_record_hold_time (adm_table_t *table,
                                   const adm_request_t *request,
                                   uint64_t now_ms);
/// Forget a request, waiting or granted.
void adm_request_remove (adm_table_t *table, adm_request_t *request);
/// @return  Time until an adapter asked for now would be adapters_held,
/// milliseconds.
uint64_t adm_load_wait_ms (const adm_table_t *table,
                           const adm_adapter_t *adapter, uint64_t now_ms);
/// What a request that arrives now has to expect.
typedef struct
{
  uint64_t load_ms;  ///< Until its adapter is adapters_held.
  uint64_t place_ms; ///< Until a slot and memory are free for it.
  uint64_t first_ms; ///< Until its first event.
} adm_forecast_t;

adm_forecast_t adm_forecast (const adm_table_t *table,
                             const adm_request_t *request, uint64_t now_ms);
/// Why a request that arrives now is to be decline_count at once: it would
/// wait for a fetch until it is late, or be late while others have taken
/// everything.
/// @return  NULL when it is to wait here.
const char *adm_refusal_reason (const adm_table_t *table,
                                const adm_request_t *request,
                                const adm_forecast_t *forecast,
                                uint64_t now_ms);
/// @return  Whether requests in time have taken all there was for a while, so
///          that none is left for late ones.
bool adm_is_saturated (const adm_table_t *table, uint64_t now_ms);
/// @return  The same for an adapter that was never asked for.
uint64_t adm_new_adapter_load_wait_ms (const adm_table_t *table,
                                       uint64_t now_ms);
/// A request for it came, whether or not it is let in.
void adm_adapter_record_request (adm_adapter_t *adapter, uint64_t now_ms);
/// The engine restarted: nothing is adapters_held in its memory any more.
void adm_handle_engine_restart (adm_table_t *table);
/// The first event of a granted request came.
void adm_request_record_first_event (adm_table_t *table,
                                     adm_request_t *request, uint64_t now_ms);
/// @return  Time to read the prompts of all requests here, in microseconds.
uint64_t adm_backlog_us (const adm_table_t *table, uint64_t now_ms);
/// Begin to compare with what a gateway says it has open.
void adm_reconcile_begin (adm_table_t *table);
/// The gateway has this one open.
void adm_reconcile_keep (adm_table_t *table, adm_request_t *request);
/// Forget what the gateway did not name.
/// @return  How many were forgotten.
uint32_t adm_reconcile_end (adm_table_t *table, uint64_t owner);
/// Forget all requests of a gateway that is gone.
void adm_owner_remove (adm_table_t *table, uint64_t owner);
/// Take over what a report lists: begin, each adapter, end.
void adm_report_begin (adm_table_t *table);
void adm_report_adapter (adm_table_t *table, uint64_t key, kb_slice_t name,
                         uint32_t version, bool is_loading, uint64_t now_ms);
void adm_report_end (adm_table_t *table);
/// An order to load was accepted.
void adm_record_load_started (adm_table_t *table, adm_adapter_t *adapter,
                              uint64_t now_ms);
void adm_record_unloaded (adm_table_t *table, adm_adapter_t *adapter);
/// An order failed, or its effect is not there yet: wait a little before it is
/// given again.
void adm_delay_order (adm_adapter_t *adapter, uint64_t now_ms);
/// What to do next. Grants and declines are done by the call; the caller
/// removes a decline_count request after it told the gateway.
/// @param may_order  Whether an order can be given now.
adm_action_t adm_next_action (adm_table_t *table, bool may_order,
                              uint64_t now_ms);
/// @return  Whether a request of this adapter can start now.
bool adm_adapter_is_servable (const adm_adapter_t *adapter);

#endif
