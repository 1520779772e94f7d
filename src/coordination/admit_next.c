/// @file admit_next.c
/// Choice of a sidecar's next action: grants, declines, loads and unloads.
#include "coordination/admit_defs.h"

#include <stddef.h>

enum
{
  /// With less time left, a request cannot produce its first event.
  MIN_RUN_MS = 60,
  DECLINE_RETRY_MS = 400,
  /// Longest time for which a request that does not fit is overtaken, so that
  /// small prompts do not starve large ones.
  MAX_OVERTAKE_MS = 100,
};

static bool
has_capacity (const adm_table_t *table, const adm_request_t *request,
              uint64_t now_ms)
{
  if (table->granted >= table->options.slots
      || bkp_meter_wait_ms (&table->meter, 0, now_ms) > 0)
    return false;
  uint64_t limit = (uint64_t)(ADM_MAX_KV_FRACTION * table->options.kv_tokens);
  bool has_memory
      = table->options.kv_tokens == 0 || table->granted == 0
        || table->granted_kv_tokens + request->kv_tokens_needed <= limit;
  return has_memory
         && pfl_can_dispatch (&table->prefill,
                              pfl_cost_tokens (request->prompt_tokens),
                              now_ms);
}

/// Find the most urgent waiting request whose adapter can serve.
/// @param must_fit  Consider only requests that can be granted now.
static adm_request_t *
find_most_urgent (adm_table_t *table, bool must_fit, uint64_t now_ms)
{
  adm_request_t *best = NULL;
  for (adm_request_t *request = table->first; request != NULL;
       request = request->next)
    {
      if (!adm_request_is_servable (request)
          || (must_fit && !has_capacity (table, request, now_ms)))
        continue;
      if (best == NULL || !adm_is_before (table, best, request, now_ms))
        best = request;
    }
  return best;
}

/// Find the oldest timely request of a less urgent class than `first`.
static adm_request_t *
find_passed_over (adm_table_t *table, const adm_request_t *first,
                  uint64_t now_ms)
{
  for (adm_request_t *request = table->first; request != NULL;
       request = request->next)
    if (request->priority > first->priority
        && adm_request_is_servable (request)
        && adm_is_timely (table, request, now_ms))
      return request;
  return NULL;
}

/// Choose the request whose turn it is, whether it fits or not: the most
/// urgent one, or a timely one of a less urgent class that is owed its share.
static adm_request_t *
choose_next_in_turn (adm_table_t *table, uint64_t now_ms)
{
  adm_request_t *first = find_most_urgent (table, false, now_ms);
  if (first == NULL || !adm_is_timely (table, first, now_ms))
    return first;
  adm_request_t *other = find_passed_over (table, first, now_ms);
  bool is_its_turn = other != NULL
                     && table->urgent_lead_cost
                            >= ADM_URGENT_SHARE_RATIO
                                   * pfl_cost_tokens (other->prompt_tokens);
  return is_its_turn ? other : first;
}

/// Account for prompt cost granted ahead of timely, less urgent requests.
static void
update_urgent_lead (adm_table_t *table, const adm_request_t *granted,
                    uint64_t now_ms)
{
  double cost = pfl_cost_tokens (granted->prompt_tokens);
  if (find_passed_over (table, granted, now_ms) != NULL)
    table->urgent_lead_cost += cost;
  else if (table->urgent_lead_cost > ADM_URGENT_SHARE_RATIO * cost)
    table->urgent_lead_cost -= ADM_URGENT_SHARE_RATIO * cost;
  else
    table->urgent_lead_cost = 0;
}

static adm_request_t *
choose_fitting (adm_table_t *table, uint64_t now_ms)
{
  adm_request_t *first = choose_next_in_turn (table, now_ms);
  if (first == NULL || has_capacity (table, first, now_ms))
    return first;
  if (now_ms - first->arrived_ms > MAX_OVERTAKE_MS)
    return NULL;
  return find_most_urgent (table, true, now_ms);
}

static adm_request_t *
choose_grant (adm_table_t *table, uint64_t now_ms)
{
  if (aln_is_exclusive (&table->alone, now_ms))
    return NULL;
  adm_request_t *request = choose_fitting (table, now_ms);
  bool may_start = request != NULL
                   && aln_may_start (&table->alone, &request->alone, now_ms);
  return may_start ? request : NULL;
}

/// Whether an outdated version is in use. It can be replaced only when the
/// requests that use it end, and the engine loads no other adapter until then.
/// Another engine loads the new version in a fraction of that time.
static bool
is_stale_in_use (const adm_adapter_t *adapter)
{
  return adapter != NULL && adapter->state == ADM_HELD
         && adapter->version < adapter->min_version && adapter->pins > 0
         && !adapter->is_replacing;
}

/// Whether a late request waits for capacity that timely requests have used up
/// for MIN_SATURATION_MS.
static bool
is_late_without_capacity (const adm_table_t *table,
                          const adm_request_t *request, uint64_t now_ms)
{
  if (adm_is_timely (table, request, now_ms))
    return false;
  if (adm_request_is_servable (request))
    return adm_saturation_is_sustained (&table->grant_saturation, now_ms);
  return request->adapter->state == ADM_ABSENT
         && adm_saturation_is_sustained (&table->load_saturation, now_ms);
}

static const char *
decline_reason (const adm_table_t *table, const adm_request_t *request,
                uint64_t now_ms)
{
  if (!table->is_engine_ready)
    return "engine_closed";
  if (now_ms + MIN_RUN_MS >= request->deadline_ms)
    return "no_time_left";
  if (is_late_without_capacity (table, request, now_ms))
    return "late_under_load";
  if (aln_is_refused (&table->alone, &request->alone, now_ms))
    return "others_begin";
  if (request->adapter != NULL && table->options.adapter_slots == 0)
    return "no_adapter_room";
  if (adm_request_is_outdated (request))
    return "version_replaced";
  bool is_blocked = is_stale_in_use (request->adapter)
                    && !adm_request_is_servable (request);
  return is_blocked ? "version_changes" : NULL;
}

static bool
needs_load (const adm_adapter_t *adapter, uint64_t now_ms)
{
  if (adapter == NULL || adapter->next_order_ms > now_ms
      || adapter->is_replacing)
    return false;
  return adapter->state == ADM_ABSENT
         || (adapter->state == ADM_HELD
             && adapter->version < adapter->min_version && adapter->pins == 0);
}

/// Whether the limit of concurrent cold loads allows a load to start.
static bool
can_start_load (const adm_table_t *table, const adm_adapter_t *adapter)
{
  return !adm_is_cold_load (adapter)
         || table->adapters_cold_loading
                < ftl_limit_count (&table->fetch_limit);
}

/// Choose the load of the highest value among adapters with waiting requests.
/// Warm loads come first, because they do not use the weight store.
/// @param must_fit  Consider only loads that can start now.
static adm_adapter_t *
choose_load (adm_table_t *table, bool must_fit, uint64_t now_ms)
{
  adm_adapter_t *best = NULL;
  double best_value = 0;
  for (adm_request_t *request = table->first; request != NULL;
       request = request->next)
    {
      adm_adapter_t *a = request->adapter;
      if (a == best || adm_request_is_servable (request)
          || !needs_load (a, now_ms)
          || (must_fit && !can_start_load (table, a)))
        continue;
      if (must_fit && !adm_is_cold_load (a))
        return a;
      double value = adm_load_value (table, a, now_ms);
      if (best == NULL || value > best_value)
        {
          best = a;
          best_value = value;
        }
    }
  return best;
}

/// Choose the held adapter that is least likely to be requested again.
static adm_adapter_t *
choose_victim (adm_table_t *table, uint64_t now_ms)
{
  adm_adapter_t *best = NULL;
  double best_heat = 0;
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    {
      // An unload order for an adapter in use takes effect only when its last
      // run ends; until then it would block the slot and later orders.
      if (a->state != ADM_HELD || a->pins > 0 || a->waiting > 0
          || a->next_order_ms > now_ms)
        continue;
      bool is_stale = a->version < a->min_version;
      double recent_requests
          = is_stale ? -1 : adm_adapter_recent_requests (a, now_ms);
      if (best == NULL || recent_requests < best_heat
          || (recent_requests == best_heat && a->used_ms < best->used_ms))
        {
          best = a;
          best_heat = recent_requests;
        }
    }
  return best;
}

/// Choose the order that makes progress on a load: the load itself, or an
/// unload that frees a slot for it.
static adm_action_t
order_to_load (adm_table_t *table, adm_adapter_t *adapter, uint64_t now_ms)
{
  bool is_replacement = adapter->state == ADM_HELD;
  if (is_replacement
      || table->adapters_held + table->adapters_loading
                 + table->reserved_adapter_slots
             < table->options.adapter_slots)
    return (adm_action_t){ .kind = ADM_ACTION_LOAD, .adapter = adapter };
  adm_adapter_t *victim = choose_victim (table, now_ms);
  if (victim == NULL)
    return (adm_action_t){ .kind = ADM_ACTION_NONE };
  return (adm_action_t){ .kind = ADM_ACTION_UNLOAD, .adapter = victim };
}

static adm_action_t
next_order (adm_table_t *table, uint64_t now_ms)
{
  adm_adapter_t *adapter = NULL;
  if (table->adapters_loading < table->options.max_loads_in_progress)
    adapter = choose_load (table, true, now_ms);
  if (adapter == NULL)
    return (adm_action_t){ .kind = ADM_ACTION_NONE };
  return order_to_load (table, adapter, now_ms);
}

/// Update both saturations from the heads of their queues. This runs before
/// any decline: when all requests of a burst become late at once, the
/// saturation ends and they may use the engine.
static void
update_saturation (adm_table_t *table, bool may_order, uint64_t now_ms)
{
  const adm_request_t *request = find_most_urgent (table, false, now_ms);
  bool is_timely = request != NULL && adm_is_timely (table, request, now_ms);
  adm_saturation_update (&table->grant_saturation, is_timely,
                         is_timely && has_capacity (table, request, now_ms),
                         now_ms);
  const adm_adapter_t *adapter = choose_load (table, false, now_ms);
  is_timely = adapter != NULL && adm_load_is_timely (table, adapter, now_ms);
  bool fits = !may_order || next_order (table, now_ms).kind != ADM_ACTION_NONE;
  adm_saturation_update (&table->load_saturation, is_timely, fits, now_ms);
}

bool
adm_awaits_proof (const adm_table_t *table)
{
  if (!aln_awaits_answer (&table->alone))
    return false;
  for (const adm_request_t *r = table->first; r != NULL; r = r->next)
    if (r->alone.waiting_since_ms > 0)
      return true;
  return false;
}

static adm_request_t *
request_of_alone (aln_request_t *alone)
{
  return alone == NULL ? NULL
                       : (adm_request_t *)((char *)alone
                                           - offsetof (adm_request_t, alone));
}

adm_action_t
adm_next_action (adm_table_t *table, bool may_order, uint64_t now_ms)
{
  if (table->is_engine_ready)
    update_saturation (table, may_order, now_ms);
  for (adm_request_t *waiting = table->first; waiting != NULL;
       waiting = waiting->next)
    {
      const char *reason = decline_reason (table, waiting, now_ms);
      if (reason != NULL)
        return (adm_action_t){ .kind = ADM_ACTION_DECLINE,
                               .request = waiting,
                               .reason = reason,
                               .retry_after_ms = DECLINE_RETRY_MS };
    }
  adm_request_t *request
      = table->is_engine_ready ? choose_grant (table, now_ms) : NULL;
  if (request != NULL)
    {
      adm_waiting_remove (table, request);
      update_urgent_lead (table, request, now_ms);
      request->granted_ms = now_ms > 0 ? now_ms : 1;
      bkp_meter_start (&table->meter, now_ms);
      table->granted++;
      table->granted_kv_tokens += request->kv_tokens_needed;
      request->is_first_event_pending = true;
      aln_request_t *joined
          = aln_started (&table->alone, &request->alone, now_ms);
      request->ahead_tokens = pfl_dispatch (
          &table->prefill, pfl_cost_tokens (request->prompt_tokens), now_ms);
      if (request->adapter != NULL)
        request->adapter->pins++;
      return (adm_action_t){ .kind = ADM_ACTION_GRANT,
                             .request = request,
                             .joined = request_of_alone (joined) };
    }
  if (may_order && table->is_engine_ready)
    return next_order (table, now_ms);
  return (adm_action_t){ .kind = ADM_ACTION_NONE };
}
