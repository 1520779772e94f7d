#include "coordination/admit.h"

#include <stdlib.h>

#include "coordination/admit_defs.h"

enum
{
  /// Half-life of the request count that decides what is dropped.
  HEAT_HALF_MS = 8000,
  /// Pause before an order that failed is given again.
  ORDER_RETRY_MS = 150,
  /// Adapters remembered that are neither held nor asked for.
  MAX_REMEMBERED = 4096,
};

/// Weight of a recent request against a waiting one when fetches are ordered.
static const double HEAT_VALUE = 0.5;
/// What a request that is late anyway counts against one in time. A fetch that
/// comes too late for its own request costs the next one its time as well: at
/// a loaded weight store all were late. Mean worth of five heavy days 0.593
/// and 0.736 with the longest wait first, 0.599 and 0.739 so.
static const double LATE_VALUE = 0.3;
/// Of the newest run in the mean time for which a place is held; and before
/// any run ended.
static const double HELD_WEIGHT = 0.05;
static const double HELD_DEFAULT_MS = 1000;

void
adm_table_init (adm_table_t *table, const adm_options_t *options)
{
  *table
      = (adm_table_t){ .options = *options, .held_for_ms = HELD_DEFAULT_MS };
  lns_lanes_init (&table->lanes, options->max_cold);
  pfl_prefill_init (&table->reading);
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

double
adm_heat_at (const adm_adapter_t *adapter, uint64_t now_ms)
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
      bool is_needed = a->state != ADM_ABSENT || a->waiting > 0 || a->pins > 0
                       || a->wanted > 0;
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
         || (adapter->state == ADM_HELD
             && adapter->version >= adapter->wanted);
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

/// Whether its fetch takes a turn at the weight store.
bool
adm_is_cold_load (const adm_adapter_t *adapter)
{
  return adapter->held_ms == 0 || adapter->version < adapter->wanted;
}

static bool
waits_for_cold_load (const adm_adapter_t *adapter)
{
  return adapter->waiting > 0 && adapter->state == ADM_ABSENT
         && adm_is_cold_load (adapter);
}

/// What a fetch of an adapter is worth: the requests that wait for it now, and
/// those that will come while it is held.
double
adm_load_value (const adm_table_t *table, const adm_adapter_t *adapter,
                uint64_t now_ms)
{
  bool is_timely = adm_load_is_timely (table, adapter, now_ms);
  return adapter->waiting * (is_timely ? 1 : LATE_VALUE)
         + HEAT_VALUE * adm_heat_at (adapter, now_ms);
}

void
adm_adapter_asked (adm_adapter_t *adapter, uint64_t now_ms)
{
  adapter->heat = adm_heat_at (adapter, now_ms) + 1;
  adapter->heat_ms = now_ms;
  adapter->used_ms = now_ms;
}

/// Adapters whose fetch would begin before one of this value.
static uint32_t
fetches_ahead (const adm_table_t *table, double value, uint64_t now_ms)
{
  double ahead = table->cold_coming;
  // Each of an adapter's requests counts its part: thousands of adapters are
  // remembered, of which few wait.
  for (const adm_ask_t *ask = table->first; ask != NULL; ask = ask->next)
    {
      const adm_adapter_t *a = ask->adapter;
      if (a != NULL && waits_for_cold_load (a)
          && adm_load_value (table, a, now_ms) >= value)
        ahead += 1.0 / a->waiting;
    }
  return (uint32_t)(ahead + 0.5);
}

uint64_t
adm_load_wait_ms (const adm_table_t *table, const adm_adapter_t *adapter,
                  uint64_t now_ms)
{
  if (adm_adapter_is_fit (adapter) || adapter->waiting > 0
      || adapter->state == ADM_COMING || !adm_is_cold_load (adapter))
    return 0;
  double value = adm_load_value (table, adapter, now_ms) + 1;
  return lns_wait_ms (&table->lanes, fetches_ahead (table, value, now_ms));
}

uint64_t
adm_new_load_wait_ms (const adm_table_t *table, uint64_t now_ms)
{
  return lns_wait_ms (&table->lanes, fetches_ahead (table, 1, now_ms));
}

void
adm_engine_restarted (adm_table_t *table)
{
  uint32_t at = 0;
  for (adm_adapter_t *a = kb_map_next (&table->adapters, &at); a != NULL;
       a = kb_map_next (&table->adapters, &at))
    {
      a->held_ms = 0;
      a->ordered_ms = 0;
      a->state = ADM_ABSENT;
      a->is_replacing = false;
    }
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
  table->waiting_cost += pfl_cost_tokens (ask->prompt_tokens);
  table->waiting++;
  adm_adapter_t *adapter = ask->adapter;
  if (adapter == NULL)
    return;
  if (adapter->waiting++ == 0 || ask->objective_ms > adapter->objective_ms)
    adapter->objective_ms = ask->objective_ms;
}

void
adm_waiting_remove (adm_table_t *table, adm_ask_t *ask)
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
  // Sums of fractions do not come back to zero by themselves.
  table->waiting_cost
      = table->waiting == 0
            ? 0
            : table->waiting_cost - pfl_cost_tokens (ask->prompt_tokens);
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
  return ask;
}

void
adm_ask_begun (adm_table_t *table, adm_ask_t *ask, uint64_t now_ms)
{
  if (!ask->is_reading)
    return;
  ask->is_reading = false;
  aln_first_byte (&table->alone, &ask->alone, now_ms);
  pfl_record_first_event (&table->reading, ask->ahead_tokens,
                          (double)(now_ms - ask->granted_ms));
}

uint64_t
adm_backlog_us (const adm_table_t *table, uint64_t now_ms)
{
  double cost
      = pfl_outstanding_tokens (&table->reading, now_ms) + table->waiting_cost;
  return (uint64_t)(cost * 1000 / table->reading.tokens_per_ms);
}

void
adm_note_held (adm_table_t *table, const adm_ask_t *ask, uint64_t now_ms)
{
  if (ask->granted_ms == 0)
    return;
  double held_ms = (double)(now_ms - ask->granted_ms);
  table->held_for_ms += HELD_WEIGHT * (held_ms - table->held_for_ms);
}

void
adm_ask_remove (adm_table_t *table, adm_ask_t *ask)
{
  aln_ended (&table->alone, &ask->alone);
  if (ask->is_reading)
    pfl_cancel (&table->reading, pfl_cost_tokens (ask->prompt_tokens));
  kb_map_remove (&table->asks, ask_key (ask->owner, ask->id));
  if (ask->granted_ms == 0)
    adm_waiting_remove (table, ask);
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
adm_compare_begin (adm_table_t *table)
{
  table->compare_mark++;
}

void
adm_compare_keep (adm_table_t *table, adm_ask_t *ask)
{
  ask->compared = table->compare_mark;
}

uint32_t
adm_compare_end (adm_table_t *table, uint64_t owner)
{
  uint32_t forgotten = 0;
  uint32_t at = 0;
  for (adm_ask_t *ask = kb_map_next (&table->asks, &at); ask != NULL;
       ask = kb_map_next (&table->asks, &at))
    if (ask->owner == owner && ask->compared != table->compare_mark)
      {
        adm_ask_remove (table, ask);
        forgotten++;
        // Removal moves entries; begin again.
        at = 0;
      }
  return forgotten;
}

void
adm_owner_gone (adm_table_t *table, uint64_t owner)
{
  adm_compare_begin (table);
  adm_compare_end (table, owner);
}

void
adm_report_begin (adm_table_t *table)
{
  table->report_mark++;
  table->held = 0;
  table->coming = 0;
  table->cold_coming = 0;
}

/// A fetch that was ordered has arrived.
static void
note_arrival (adm_table_t *table, adm_adapter_t *adapter, uint64_t now_ms)
{
  if (adapter->ordered_ms == 0)
    return;
  if (adapter->is_cold)
    lns_learn (&table->lanes, (double)(now_ms - adapter->ordered_ms));
  adapter->ordered_ms = 0;
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
      table->cold_coming += adapter->is_cold;
      adapter->is_replacing = is_listed && adapter->state == ADM_HELD;
      if (adapter->is_replacing)
        return;
      adapter->state = ADM_COMING;
    }
  else
    {
      table->held++;
      note_arrival (table, adapter, now_ms);
      adapter->state = ADM_HELD;
      adapter->is_replacing = false;
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
  adapter->is_cold = adm_is_cold_load (adapter);
  adapter->ordered_ms = now_ms;
  table->coming++;
  table->cold_coming += adapter->is_cold;
  adapter->retry_ms = now_ms + ORDER_RETRY_MS;
  if (adapter->state == ADM_ABSENT)
    adapter->state = ADM_COMING;
  else if (adapter->state == ADM_HELD)
    adapter->is_replacing = true;
}

void
adm_unload_done (adm_table_t *table, adm_adapter_t *adapter)
{
  if (adapter->state == ADM_HELD)
    table->held--;
  adapter->state = ADM_ABSENT;
}

void
adm_order_pending (adm_adapter_t *adapter, uint64_t now_ms)
{
  adapter->retry_ms = now_ms + ORDER_RETRY_MS;
}
