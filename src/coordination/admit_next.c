/// @file admit_next.c
/// What a sidecar does next: the order of grants, declines, fetches and drops.
#include "coordination/admit_defs.h"

enum
{
  /// Below this a request can not produce a first event any more.
  LEAST_RUN_MS = 60,
  DECLINE_RETRY_MS = 400,
  /// A request that does not fit is not overtaken for longer than this, so
  /// that large prompts are not starved by small ones.
  OVERTAKE_MS = 100,
};

static bool
has_place (const adm_table_t *table, const adm_ask_t *ask, uint64_t now_ms)
{
  if (table->granted >= table->options.slots
      || bkp_meter_wait_ms (&table->meter, 0, now_ms) > 0)
    return false;
  uint64_t limit = (uint64_t)(ADM_MEMORY_PART * table->options.kv_tokens);
  bool has_memory = table->options.kv_tokens == 0 || table->granted == 0
                    || table->granted_tokens + ask->tokens <= limit;
  return has_memory
         && pfl_can_dispatch (&table->reading,
                              pfl_cost_tokens (ask->prompt_tokens), now_ms);
}

/// The most urgent waiting request whose adapter is there.
/// @param must_fit  Only one that can be granted now.
static adm_ask_t *
most_urgent (adm_table_t *table, bool must_fit, uint64_t now_ms)
{
  adm_ask_t *best = NULL;
  for (adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    {
      if (!adm_adapter_is_fit (ask->adapter)
          || (must_fit && !has_place (table, ask, now_ms)))
        continue;
      if (best == NULL || !adm_is_before (table, best, ask, now_ms))
        best = ask;
    }
  return best;
}

/// The oldest request in time of a less urgent class than `first`.
static adm_ask_t *
passed_over (adm_table_t *table, const adm_ask_t *first, uint64_t now_ms)
{
  for (adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    if (ask->priority > first->priority && adm_adapter_is_fit (ask->adapter)
        && adm_is_timely (table, ask, now_ms))
      return ask;
  return NULL;
}

/// The request whose turn it is, whether it fits or not: the most urgent one,
/// or one of another class that was passed over for long enough.
static adm_ask_t *
next_in_turn (adm_table_t *table, uint64_t now_ms)
{
  adm_ask_t *first = most_urgent (table, false, now_ms);
  if (first == NULL || !adm_is_timely (table, first, now_ms))
    return first;
  adm_ask_t *other = passed_over (table, first, now_ms);
  bool is_its_turn
      = other != NULL
        && table->urgent_cost
               >= ADM_URGENT_PARTS * pfl_cost_tokens (other->prompt_tokens);
  return is_its_turn ? other : first;
}

/// Keep account of what is granted past less urgent requests.
static void
note_turn (adm_table_t *table, const adm_ask_t *granted, uint64_t now_ms)
{
  double cost = pfl_cost_tokens (granted->prompt_tokens);
  if (passed_over (table, granted, now_ms) != NULL)
    table->urgent_cost += cost;
  else if (table->urgent_cost > ADM_URGENT_PARTS * cost)
    table->urgent_cost -= ADM_URGENT_PARTS * cost;
  else
    table->urgent_cost = 0;
}

static adm_ask_t *
choose_fitting (adm_table_t *table, uint64_t now_ms)
{
  adm_ask_t *first = next_in_turn (table, now_ms);
  if (first == NULL || has_place (table, first, now_ms))
    return first;
  if (now_ms - first->arrived_ms > OVERTAKE_MS)
    return NULL;
  return most_urgent (table, true, now_ms);
}

static adm_ask_t *
choose_grant (adm_table_t *table, uint64_t now_ms)
{
  if (aln_is_exclusive (&table->alone, now_ms))
    return NULL;
  adm_ask_t *ask = choose_fitting (table, now_ms);
  bool may_start
      = ask != NULL && aln_may_start (&table->alone, &ask->alone, now_ms);
  return may_start ? ask : NULL;
}

/// A version that runs still use is replaced only when they end. Until then
/// no other adapter of this engine is fetched; another engine fetches the new
/// version in a fraction of that time.
static bool
is_stale_in_use (const adm_adapter_t *adapter)
{
  return adapter != NULL && adapter->state == ADM_HELD
         && adapter->version < adapter->wanted && adapter->pins > 0
         && !adapter->is_replacing;
}

/// Whether a request that is late in any case waits for what requests in time
/// have taken for a while.
static bool
is_hopeless (const adm_table_t *table, const adm_ask_t *ask, uint64_t now_ms)
{
  if (adm_is_timely (table, ask, now_ms))
    return false;
  if (adm_adapter_is_fit (ask->adapter))
    return adm_press_lasts (&table->grant_press, now_ms);
  return ask->adapter->state == ADM_ABSENT
         && adm_press_lasts (&table->fetch_press, now_ms);
}

static const char *
decline_reason (const adm_table_t *table, const adm_ask_t *ask,
                uint64_t now_ms)
{
  if (!table->is_open)
    return "engine_closed";
  if (now_ms + LEAST_RUN_MS >= ask->due_ms)
    return "no_time_left";
  if (is_hopeless (table, ask, now_ms))
    return "late_under_load";
  if (aln_is_refused (&table->alone, &ask->alone, now_ms))
    return "others_begin";
  if (ask->adapter != NULL && table->options.adapter_slots == 0)
    return "no_adapter_room";
  return is_stale_in_use (ask->adapter) ? "version_changes" : NULL;
}

static bool
needs_load (const adm_adapter_t *adapter, uint64_t now_ms)
{
  if (adapter == NULL || adapter->retry_ms > now_ms || adapter->is_replacing)
    return false;
  return adapter->state == ADM_ABSENT
         || (adapter->state == ADM_HELD && adapter->version < adapter->wanted
             && adapter->pins == 0);
}

/// Whether a fetch may begin beside those under way.
static bool
has_load_lane (const adm_table_t *table, const adm_adapter_t *adapter)
{
  return !adm_is_cold_load (adapter)
         || table->cold_coming < lns_count (&table->lanes);
}

/// The waiting adapter whose fetch serves most; one held before comes first,
/// because it takes no turn at the weight store.
/// @param must_fit  Only one whose fetch may begin now.
static adm_adapter_t *
choose_load (adm_table_t *table, bool must_fit, uint64_t now_ms)
{
  adm_adapter_t *best = NULL;
  double best_value = 0;
  for (adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    {
      adm_adapter_t *a = ask->adapter;
      if (a == best || !needs_load (a, now_ms)
          || (must_fit && !has_load_lane (table, a)))
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

/// The held adapter that is least likely to be asked for again.
static adm_adapter_t *
choose_victim (adm_table_t *table, uint64_t now_ms)
{
  adm_adapter_t *best = NULL;
  double best_heat = 0;
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    {
      // Unloading one that serves a request would hold the order back until
      // the run ends, and the slot with it.
      if (a->state != ADM_HELD || a->pins > 0 || a->waiting > 0
          || a->retry_ms > now_ms)
        continue;
      bool is_stale = a->version < a->wanted;
      double heat = is_stale ? -1 : adm_heat_at (a, now_ms);
      if (best == NULL || heat < best_heat
          || (heat == best_heat && a->used_ms < best->used_ms))
        {
          best = a;
          best_heat = heat;
        }
    }
  return best;
}

/// The order that an adapter's fetch needs now.
static adm_action_t
order_for (adm_table_t *table, adm_adapter_t *adapter, uint64_t now_ms)
{
  bool is_replacement = adapter->state == ADM_HELD;
  if (is_replacement
      || table->held + table->coming + table->reserved
             < table->options.adapter_slots)
    return (adm_action_t){ .kind = ADM_DO_LOAD, .adapter = adapter };
  adm_adapter_t *victim = choose_victim (table, now_ms);
  if (victim == NULL)
    return (adm_action_t){ .kind = ADM_DO_NOTHING };
  return (adm_action_t){ .kind = ADM_DO_UNLOAD, .adapter = victim };
}

static adm_action_t
next_order (adm_table_t *table, uint64_t now_ms)
{
  adm_adapter_t *adapter = NULL;
  if (table->coming < table->options.max_coming)
    adapter = choose_load (table, true, now_ms);
  if (adapter == NULL)
    return (adm_action_t){ .kind = ADM_DO_NOTHING };
  return order_for (table, adapter, now_ms);
}

/// Note whether requests in time want more than there is. Before anything is
/// declined: a burst whose requests all become late at one moment leaves the
/// engine to them.
static void
note_press (adm_table_t *table, bool may_order, uint64_t now_ms)
{
  const adm_ask_t *ask = most_urgent (table, false, now_ms);
  bool is_timely = ask != NULL && adm_is_timely (table, ask, now_ms);
  adm_press_note (&table->grant_press, is_timely,
                  is_timely && has_place (table, ask, now_ms), now_ms);
  const adm_adapter_t *adapter = choose_load (table, false, now_ms);
  is_timely = adapter != NULL && adm_load_is_timely (table, adapter, now_ms);
  bool fits = !may_order || next_order (table, now_ms).kind != ADM_DO_NOTHING;
  adm_press_note (&table->fetch_press, is_timely, fits, now_ms);
}

adm_action_t
adm_next (adm_table_t *table, bool may_order, uint64_t now_ms)
{
  if (table->is_open)
    note_press (table, may_order, now_ms);
  for (adm_ask_t *late = table->first; late != NULL; late = late->next)
    {
      const char *reason = decline_reason (table, late, now_ms);
      if (reason != NULL)
        return (adm_action_t){ .kind = ADM_DO_DECLINE,
                               .ask = late,
                               .reason = reason,
                               .retry_after_ms = DECLINE_RETRY_MS };
    }
  adm_ask_t *ask = table->is_open ? choose_grant (table, now_ms) : NULL;
  if (ask != NULL)
    {
      adm_waiting_remove (table, ask);
      note_turn (table, ask, now_ms);
      ask->granted_ms = now_ms > 0 ? now_ms : 1;
      bkp_meter_start (&table->meter, now_ms);
      table->granted++;
      table->granted_tokens += ask->tokens;
      ask->is_reading = true;
      aln_started (&table->alone, &ask->alone, now_ms);
      ask->ahead_tokens = pfl_dispatch (
          &table->reading, pfl_cost_tokens (ask->prompt_tokens), now_ms);
      if (ask->adapter != NULL)
        ask->adapter->pins++;
      return (adm_action_t){ .kind = ADM_DO_GRANT, .ask = ask };
    }
  if (may_order && table->is_open)
    return next_order (table, now_ms);
  return (adm_action_t){ .kind = ADM_DO_NOTHING };
}
