#include "coordination/admit.h"

#include <stdlib.h>

#include "coordination/admit_defs.h"

enum
{
  /// Half-life of the decayed request count that selects what to unload.
  RECENT_HALF_LIFE_MS = 8000,
  /// Pause before a failed order is repeated.
  ORDER_RETRY_MS = 150,
  /// Limit of remembered adapters; above it those neither held nor requested
  /// are removed.
  MAX_REMEMBERED = 4096,
};

/// Value of a recent request relative to a waiting one when loads are ordered.
static const double RECENT_REQUEST_VALUE = 0.5;
/// Value of a late waiting request relative to a timely one. A load that is
/// too late for its own requests also delays the next one: at a busy weight
/// store, loading for the longest wait first makes all loads late.
static const double LATE_REQUEST_VALUE = 0.3;
/// Weight of the newest sample in the mean hold time, and the mean before the
/// first sample.
static const double HOLD_TIME_WEIGHT = 0.05;
static const double DEFAULT_HOLD_MS = 1000;

void
adm_table_init (adm_table_t *table, const adm_options_t *options)
{
  *table
      = (adm_table_t){ .options = *options, .mean_hold_ms = DEFAULT_HOLD_MS };
  ftl_limit_init (&table->fetch_limit, options->max_cold_loads);
  pfl_prefill_init (&table->prefill);
}

void
adm_table_finish (adm_table_t *table)
{
  uint32_t at = 0;
  for (adm_request_t *request = kb_map_next (&table->requests, &at);
       request != NULL; request = kb_map_next (&table->requests, &at))
    free (request);
  at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    free (a);
  kb_map_finish (&table->requests);
  kb_map_finish (&table->adapters);
}

double
adm_adapter_recent_requests (const adm_adapter_t *adapter, uint64_t now_ms)
{
  double halves
      = (double)(now_ms - adapter->recent_requests_ms) / RECENT_HALF_LIFE_MS;
  double recent_requests = adapter->recent_requests;
  // Halving in a loop is fast enough: this runs only when orders are chosen.
  while (halves >= 1 && recent_requests > 0.01)
    {
      recent_requests /= 2;
      halves -= 1;
    }
  return recent_requests * (1 - halves / 2);
}

/// Remove unused adapters, so that memory stays bounded over a long uptime
/// with many adapters.
static void
adapters_trim (adm_table_t *table)
{
  if (table->adapters.len < MAX_REMEMBERED)
    return;
  kb_map_t kept;
  kb_map_init (&kept);
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    {
      bool is_needed = a->state != ADM_ABSENT || a->waiting > 0 || a->pins > 0
                       || a->min_version > 0;
      if (is_needed)
        kb_map_put (&kept, a->key, a);
      else
        free (a);
    }
  kb_map_finish (&table->adapters);
  table->adapters = kept;
}

adm_adapter_t *
adm_adapter_get_or_add (adm_table_t *table, uint64_t key, kb_slice_t name)
{
  adm_adapter_t *adapter = kb_map_get (&table->adapters, key);
  if (adapter != NULL)
    return adapter;
  adapters_trim (table);
  adapter = kb_alloc (sizeof *adapter);
  *adapter = (adm_adapter_t){ .key = key };
  kb_slice_copy (name, adapter->name, sizeof adapter->name);
  kb_map_put (&table->adapters, key, adapter);
  return adapter;
}

void
adm_adapter_require_version (adm_adapter_t *adapter, uint32_t version)
{
  if (version > adapter->min_version)
    adapter->min_version = version;
}

bool
adm_adapter_is_servable (const adm_adapter_t *adapter)
{
  return adapter == NULL
         || (adapter->state == ADM_HELD
             && adapter->version >= adapter->min_version);
}

bool
adm_request_is_servable (const adm_request_t *request)
{
  const adm_adapter_t *adapter = request->adapter;
  if (adapter == NULL || request->exact_version == 0)
    return adm_adapter_is_servable (adapter);
  return adapter->state == ADM_HELD && !adapter->is_replacing
         && adapter->version == request->exact_version;
}

bool
adm_request_is_outdated (const adm_request_t *request)
{
  const adm_adapter_t *adapter = request->adapter;
  if (adapter == NULL || request->exact_version == 0
      || adm_request_is_servable (request))
    return false;
  bool is_newer_held = adapter->state == ADM_HELD
                       && adapter->version > request->exact_version;
  return is_newer_held || request->exact_version < adapter->min_version;
}

static uint64_t
owned_request_key (uint64_t owner, uint64_t id)
{
  uint64_t pair[2] = { owner, id };
  return kb_hash (pair, sizeof pair, 0) | 1;
}

adm_request_t *
adm_request_find (adm_table_t *table, uint64_t owner, uint64_t id)
{
  return kb_map_get (&table->requests, owned_request_key (owner, id));
}

bool
adm_is_cold_load (const adm_adapter_t *adapter)
{
  return adapter->last_held_ms == 0 || adapter->version < adapter->min_version;
}

static bool
needs_cold_load (const adm_adapter_t *adapter)
{
  return adapter->waiting > 0 && adapter->state == ADM_ABSENT
         && adm_is_cold_load (adapter);
}

double
adm_load_value (const adm_table_t *table, const adm_adapter_t *adapter,
                uint64_t now_ms)
{
  bool is_timely = adm_load_is_timely (table, adapter, now_ms);
  return adapter->waiting * (is_timely ? 1 : LATE_REQUEST_VALUE)
         + RECENT_REQUEST_VALUE
               * adm_adapter_recent_requests (adapter, now_ms);
}

void
adm_adapter_record_request (adm_adapter_t *adapter, uint64_t now_ms)
{
  adapter->recent_requests = adm_adapter_recent_requests (adapter, now_ms) + 1;
  adapter->recent_requests_ms = now_ms;
  adapter->used_ms = now_ms;
}

/// Cold loads that would start before one of this value.
static uint32_t
count_cold_loads_ahead (const adm_table_t *table, double value,
                        uint64_t now_ms)
{
  double ahead = table->adapters_cold_loading;
  // Each request adds its share of its adapter. This avoids a walk over
  // thousands of remembered adapters, few of which are waited for.
  for (const adm_request_t *request = table->first; request != NULL;
       request = request->next)
    {
      const adm_adapter_t *a = request->adapter;
      if (a != NULL && needs_cold_load (a)
          && adm_load_value (table, a, now_ms) >= value)
        ahead += 1.0 / a->waiting;
    }
  return (uint32_t)(ahead + 0.5);
}

uint64_t
adm_load_wait_ms (const adm_table_t *table, const adm_adapter_t *adapter,
                  uint64_t now_ms)
{
  if (adm_adapter_is_servable (adapter) || adapter->waiting > 0
      || adapter->state == ADM_LOADING || !adm_is_cold_load (adapter))
    return 0;
  double value = adm_load_value (table, adapter, now_ms) + 1;
  return ftl_limit_wait_ms (&table->fetch_limit,
                            count_cold_loads_ahead (table, value, now_ms));
}

uint64_t
adm_new_adapter_load_wait_ms (const adm_table_t *table, uint64_t now_ms)
{
  return ftl_limit_wait_ms (&table->fetch_limit,
                            count_cold_loads_ahead (table, 1, now_ms));
}

void
adm_handle_engine_restart (adm_table_t *table)
{
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    {
      a->last_held_ms = 0;
      a->load_started_ms = 0;
      a->state = ADM_ABSENT;
      a->is_replacing = false;
    }
}

static void
waiting_append (adm_table_t *table, adm_request_t *request)
{
  request->prev = table->last;
  request->next = NULL;
  if (table->last != NULL)
    table->last->next = request;
  else
    table->first = request;
  table->last = request;
  table->waiting_cost += pfl_cost_tokens (request->prompt_tokens);
  table->waiting++;
  adm_adapter_t *adapter = request->adapter;
  if (adapter == NULL)
    return;
  if (adapter->waiting++ == 0 || request->objective_ms > adapter->objective_ms)
    adapter->objective_ms = request->objective_ms;
}

void
adm_waiting_remove (adm_table_t *table, adm_request_t *request)
{
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    table->first = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  else
    table->last = request->prev;
  request->next = NULL;
  request->prev = NULL;
  table->waiting--;
  // Floating-point sums do not return to exactly zero.
  table->waiting_cost
      = table->waiting == 0
            ? 0
            : table->waiting_cost - pfl_cost_tokens (request->prompt_tokens);
  if (request->adapter != NULL)
    request->adapter->waiting--;
}

adm_request_t *
adm_request_add (adm_table_t *table, const adm_request_t *original)
{
  uint64_t key = owned_request_key (original->owner, original->id);
  if (kb_map_get (&table->requests, key) != NULL)
    return NULL;
  adm_request_t *request = kb_alloc (sizeof *request);
  *request = *original;
  kb_map_put (&table->requests, key, request);
  waiting_append (table, request);
  return request;
}

void
adm_request_record_first_event (adm_table_t *table, adm_request_t *request,
                                uint64_t now_ms)
{
  if (!request->is_first_event_pending)
    return;
  request->is_first_event_pending = false;
  aln_first_byte (&table->alone, &request->alone, now_ms);
  pfl_record_first_event (&table->prefill, request->ahead_tokens,
                          (double)(now_ms - request->granted_ms));
}

uint64_t
adm_backlog_us (const adm_table_t *table, uint64_t now_ms)
{
  double cost
      = pfl_outstanding_tokens (&table->prefill, now_ms) + table->waiting_cost;
  return (uint64_t)(cost * 1000 / table->prefill.tokens_per_ms);
}

void
adm_request_record_hold_time (adm_table_t *table, const adm_request_t *request,
                              uint64_t now_ms)
{
  if (request->granted_ms == 0)
    return;
  double hold_ms = (double)(now_ms - request->granted_ms);
  table->mean_hold_ms += HOLD_TIME_WEIGHT * (hold_ms - table->mean_hold_ms);
}

void
adm_request_remove (adm_table_t *table, adm_request_t *request)
{
  aln_ended (&table->alone, &request->alone);
  if (request->is_first_event_pending)
    pfl_cancel (&table->prefill, pfl_cost_tokens (request->prompt_tokens));
  kb_map_remove (&table->requests,
                 owned_request_key (request->owner, request->id));
  if (request->granted_ms == 0)
    adm_waiting_remove (table, request);
  else
    {
      table->granted--;
      table->granted_kv_tokens -= request->kv_tokens_needed;
      if (request->adapter != NULL)
        request->adapter->pins--;
    }
  free (request);
}

void
adm_reconcile_begin (adm_table_t *table)
{
  table->current_reconcile_generation++;
}

void
adm_reconcile_keep (adm_table_t *table, adm_request_t *request)
{
  request->reconcile_generation = table->current_reconcile_generation;
}

uint32_t
adm_reconcile_end (adm_table_t *table, uint64_t owner)
{
  uint32_t forgotten = 0;
  uint32_t at = 0;
  for (adm_request_t *request = kb_map_next (&table->requests, &at);
       request != NULL; request = kb_map_next (&table->requests, &at))
    if (request->owner == owner
        && request->reconcile_generation
               != table->current_reconcile_generation)
      {
        adm_request_remove (table, request);
        forgotten++;
        // Removal moves entries; restart the iteration.
        at = 0;
      }
  return forgotten;
}

void
adm_owner_remove (adm_table_t *table, uint64_t owner)
{
  adm_reconcile_begin (table);
  adm_reconcile_end (table, owner);
}

void
adm_report_begin (adm_table_t *table)
{
  table->current_report_generation++;
  table->adapters_held = 0;
  table->adapters_loading = 0;
  table->adapters_cold_loading = 0;
}

/// Record the end of a load that was ordered.
static void
record_load_time (adm_table_t *table, adm_adapter_t *adapter, uint64_t now_ms)
{
  if (adapter->load_started_ms == 0)
    return;
  if (adapter->is_cold)
    ftl_limit_record_fetch (&table->fetch_limit,
                            (double)(now_ms - adapter->load_started_ms));
  adapter->load_started_ms = 0;
}

void
adm_report_adapter (adm_table_t *table, uint64_t key, kb_slice_t name,
                    uint32_t version, bool is_loading, uint64_t now_ms)
{
  adm_adapter_t *adapter = adm_adapter_get_or_add (table, key, name);
  // A replacement is listed twice: the held version and the loading one.
  bool is_listed
      = adapter->report_generation == table->current_report_generation;
  if (is_loading)
    {
      table->adapters_loading++;
      table->adapters_cold_loading += adapter->is_cold;
      adapter->is_replacing = is_listed && adapter->state == ADM_HELD;
      if (adapter->is_replacing)
        return;
      adapter->state = ADM_LOADING;
    }
  else
    {
      table->adapters_held++;
      record_load_time (table, adapter, now_ms);
      adapter->state = ADM_HELD;
      adapter->is_replacing = false;
      adapter->version = version;
      adapter->last_held_ms = now_ms;
    }
  adapter->report_generation = table->current_report_generation;
}

void
adm_report_end (adm_table_t *table)
{
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    if (a->report_generation != table->current_report_generation)
      a->state = ADM_ABSENT;
}

void
adm_record_load_started (adm_table_t *table, adm_adapter_t *adapter,
                         uint64_t now_ms)
{
  adapter->is_cold = adm_is_cold_load (adapter);
  adapter->load_started_ms = now_ms;
  table->adapters_loading++;
  table->adapters_cold_loading += adapter->is_cold;
  adapter->next_order_ms = now_ms + ORDER_RETRY_MS;
  if (adapter->state == ADM_ABSENT)
    adapter->state = ADM_LOADING;
  else if (adapter->state == ADM_HELD)
    adapter->is_replacing = true;
}

void
adm_record_unloaded (adm_table_t *table, adm_adapter_t *adapter)
{
  if (adapter->state == ADM_HELD)
    table->adapters_held--;
  adapter->state = ADM_ABSENT;
}

void
adm_delay_order (adm_adapter_t *adapter, uint64_t now_ms)
{
  adapter->next_order_ms = now_ms + ORDER_RETRY_MS;
}
