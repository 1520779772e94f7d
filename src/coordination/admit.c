#include "coordination/admit.h"

#include <stdlib.h>

enum
{
  /// Half-life of the request count that decides what is dropped.
  HEAT_HALF_MS = 8000,
  /// Pause before an order that failed is given again.
  ORDER_RETRY_MS = 150,
  /// Below this a request can not produce a first event any more.
  LEAST_RUN_MS = 60,
  /// Adapters remembered that are neither held nor asked for.
  MAX_REMEMBERED = 4096,
  DECLINE_RETRY_MS = 400,
};

/// Part of the memory that is given out. Output lengths are guesses that are
/// off by half and more; a run that outgrows the rest preempts another one,
/// which is then read anew.
static const double MEMORY_PART = 0.9;

void
adm_table_init (adm_table_t *table, const adm_options_t *options)
{
  *table = (adm_table_t){ .options = *options };
}

void
adm_table_finish (adm_table_t *table)
{
  uint32_t at = 0;
  for (adm_ask_t *ask = kb_map_next (&table->asks, &at); ask != NULL;
       ask = kb_map_next (&table->asks, &at))
    free (ask);
  at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    free (a);
  kb_map_finish (&table->asks);
  kb_map_finish (&table->adapters);
}

static double
heat_at (const adm_adapter_t *adapter, uint64_t now_ms)
{
  double halves = (double)(now_ms - adapter->heat_ms) / HEAT_HALF_MS;
  double heat = adapter->heat;
  // A table of powers is not worth it: this runs on orders only.
  while (halves >= 1 && heat > 0.01)
    {
      heat /= 2;
      halves -= 1;
    }
  return heat * (1 - halves / 2);
}

/// Forget adapters that nobody needs, so that a long life with many adapters
/// does not fill the memory.
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
      bool is_needed = a->state != ADM_ABSENT || a->waiting > 0
                       || a->pins > 0 || a->wanted > 0;
      if (is_needed)
        kb_map_put (&kept, a->key, a);
      else
        free (a);
    }
  kb_map_finish (&table->adapters);
  table->adapters = kept;
}

adm_adapter_t *
adm_adapter_need (adm_table_t *table, uint64_t key, kb_slice_t name)
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
adm_adapter_want (adm_adapter_t *adapter, uint32_t version)
{
  if (version > adapter->wanted)
    adapter->wanted = version;
}

bool
adm_adapter_is_fit (const adm_adapter_t *adapter)
{
  return adapter == NULL
         || (adapter->state == ADM_HELD && adapter->version >= adapter->wanted);
}

static uint64_t
ask_key (uint64_t owner, uint64_t id)
{
  uint64_t pair[2] = { owner, id };
  return kb_hash (pair, sizeof pair, 0) | 1;
}

adm_ask_t *
adm_ask_find (adm_table_t *table, uint64_t owner, uint64_t id)
{
  return kb_map_get (&table->asks, ask_key (owner, id));
}

static void
waiting_append (adm_table_t *table, adm_ask_t *ask)
{
  ask->prev = table->last;
  ask->next = NULL;
  if (table->last != NULL)
    table->last->next = ask;
  else
    table->first = ask;
  table->last = ask;
  table->waiting++;
  if (ask->adapter != NULL)
    ask->adapter->waiting++;
}

static void
waiting_remove (adm_table_t *table, adm_ask_t *ask)
{
  if (ask->prev != NULL)
    ask->prev->next = ask->next;
  else
    table->first = ask->next;
  if (ask->next != NULL)
    ask->next->prev = ask->prev;
  else
    table->last = ask->prev;
  ask->next = NULL;
  ask->prev = NULL;
  table->waiting--;
  if (ask->adapter != NULL)
    ask->adapter->waiting--;
}

adm_ask_t *
adm_ask_add (adm_table_t *table, const adm_ask_t *given)
{
  uint64_t key = ask_key (given->owner, given->id);
  if (kb_map_get (&table->asks, key) != NULL)
    return NULL;
  adm_ask_t *ask = kb_alloc (sizeof *ask);
  *ask = *given;
  kb_map_put (&table->asks, key, ask);
  waiting_append (table, ask);
  adm_adapter_t *adapter = ask->adapter;
  if (adapter != NULL)
    {
      adapter->heat = heat_at (adapter, ask->arrived_ms) + 1;
      adapter->heat_ms = ask->arrived_ms;
      adapter->used_ms = ask->arrived_ms;
    }
  return ask;
}

void
adm_ask_remove (adm_table_t *table, adm_ask_t *ask)
{
  kb_map_remove (&table->asks, ask_key (ask->owner, ask->id));
  if (ask->granted_ms == 0)
    waiting_remove (table, ask);
  else
    {
      table->granted--;
      table->granted_tokens -= ask->tokens;
      if (ask->adapter != NULL)
        ask->adapter->pins--;
    }
  free (ask);
}

void
adm_owner_gone (adm_table_t *table, uint64_t owner)
{
  uint32_t at = 0;
  for (adm_ask_t *ask = kb_map_next (&table->asks, &at); ask != NULL;
       ask = kb_map_next (&table->asks, &at))
    if (ask->owner == owner)
      {
        adm_ask_remove (table, ask);
        // Removal moves entries; begin again.
        at = 0;
      }
}

void
adm_report_begin (adm_table_t *table)
{
  table->report_mark++;
  table->held = 0;
  table->coming = 0;
}

void
adm_report_adapter (adm_table_t *table, uint64_t key, kb_slice_t name,
                    uint32_t version, bool is_coming, uint64_t now_ms)
{
  adm_adapter_t *adapter = adm_adapter_need (table, key, name);
  // A replacement is listed twice: the version held and the one that comes.
  bool is_listed = adapter->mark == table->report_mark;
  if (is_coming)
    {
      table->coming++;
      if (is_listed && adapter->state == ADM_HELD)
        return;
      adapter->state = ADM_COMING;
    }
  else
    {
      table->held++;
      adapter->state = ADM_HELD;
      adapter->version = version;
      adapter->held_ms = now_ms;
    }
  adapter->mark = table->report_mark;
}

void
adm_report_end (adm_table_t *table)
{
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    if (a->mark != table->report_mark)
      a->state = ADM_ABSENT;
}

void
adm_load_begun (adm_table_t *table, adm_adapter_t *adapter, uint64_t now_ms)
{
  table->coming++;
  adapter->retry_ms = now_ms + ORDER_RETRY_MS;
  if (adapter->state == ADM_ABSENT)
    adapter->state = ADM_COMING;
}

void
adm_unload_done (adm_table_t *table, adm_adapter_t *adapter)
{
  if (adapter->state == ADM_HELD)
    table->held--;
  adapter->state = ADM_ABSENT;
}

void
adm_order_failed (adm_adapter_t *adapter, uint64_t now_ms)
{
  adapter->retry_ms = now_ms + ORDER_RETRY_MS;
}

static bool
has_place (const adm_table_t *table, const adm_ask_t *ask)
{
  if (table->granted >= table->options.slots)
    return false;
  uint64_t limit = (uint64_t)(MEMORY_PART * table->options.kv_tokens);
  return table->options.kv_tokens == 0 || table->granted == 0
         || table->granted_tokens + ask->tokens <= limit;
}

/// Whether `a` is to be served before `b`; both wait, `a` longer.
static bool
is_before (const adm_ask_t *a, const adm_ask_t *b)
{
  return a->priority <= b->priority;
}

/// The most urgent request whose adapter is there and which fits.
static adm_ask_t *
choose_grant (adm_table_t *table)
{
  adm_ask_t *best = NULL;
  for (adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    if (adm_adapter_is_fit (ask->adapter) && has_place (table, ask)
        && (best == NULL || !is_before (best, ask)))
      best = ask;
  return best;
}

static adm_ask_t *
choose_decline (adm_table_t *table, uint64_t now_ms)
{
  for (adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    if (!table->is_open || now_ms + LEAST_RUN_MS >= ask->due_ms)
      return ask;
  return NULL;
}

static bool
needs_load (const adm_adapter_t *adapter, uint64_t now_ms)
{
  if (adapter == NULL || adapter->retry_ms > now_ms)
    return false;
  return adapter->state == ADM_ABSENT
         || (adapter->state == ADM_HELD && adapter->version < adapter->wanted);
}

/// The adapter whose load serves the most urgent request that waits for one.
static adm_adapter_t *
choose_load (adm_table_t *table, uint64_t now_ms)
{
  adm_ask_t *best = NULL;
  for (adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    if (needs_load (ask->adapter, now_ms)
        && (best == NULL || !is_before (best, ask)))
      best = ask;
  return best == NULL ? NULL : best->adapter;
}

/// A held adapter without runs that is wanted in a newer version: fetched
/// ahead of the next request for it.
static adm_adapter_t *
choose_refresh (adm_table_t *table, uint64_t now_ms)
{
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    if (a->state == ADM_HELD && needs_load (a, now_ms))
      return a;
  return NULL;
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
      double heat = heat_at (a, now_ms);
      if (best == NULL || heat < best_heat
          || (heat == best_heat && a->used_ms < best->used_ms))
        {
          best = a;
          best_heat = heat;
        }
    }
  return best;
}

static adm_action_t
next_order (adm_table_t *table, uint64_t now_ms)
{
  adm_action_t none = { .kind = ADM_DO_NOTHING };
  if (table->coming >= table->options.max_coming)
    return none;
  adm_adapter_t *adapter = choose_load (table, now_ms);
  if (adapter == NULL)
    adapter = choose_refresh (table, now_ms);
  if (adapter == NULL)
    return none;
  bool is_replacement = adapter->state == ADM_HELD;
  if (is_replacement
      || table->held + table->coming < table->options.adapter_slots)
    return (adm_action_t){ .kind = ADM_DO_LOAD, .adapter = adapter };
  adm_adapter_t *victim = choose_victim (table, now_ms);
  if (victim == NULL)
    return none;
  return (adm_action_t){ .kind = ADM_DO_UNLOAD, .adapter = victim };
}

adm_action_t
adm_next (adm_table_t *table, bool may_order, uint64_t now_ms)
{
  adm_ask_t *late = choose_decline (table, now_ms);
  if (late != NULL)
    return (adm_action_t){ .kind = ADM_DO_DECLINE,
                           .ask = late,
                           .reason
                           = table->is_open ? "no_time_left" : "engine_closed",
                           .retry_after_ms = DECLINE_RETRY_MS };
  adm_ask_t *ask = table->is_open ? choose_grant (table) : NULL;
  if (ask != NULL)
    {
      waiting_remove (table, ask);
      ask->granted_ms = now_ms > 0 ? now_ms : 1;
      table->granted++;
      table->granted_tokens += ask->tokens;
      if (ask->adapter != NULL)
        ask->adapter->pins++;
      return (adm_action_t){ .kind = ADM_DO_GRANT, .ask = ask };
    }
  if (may_order && table->is_open)
    return next_order (table, now_ms);
  return (adm_action_t){ .kind = ADM_DO_NOTHING };
}
