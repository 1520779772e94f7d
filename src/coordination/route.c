#include "coordination/route.h"

#include <stdlib.h>

#include "state/buf.h"

void
rt_options_default (rt_options_t *options)
{
  *options = (rt_options_t){ .load_ms = 1000,
                             .report_half_life_ms = 1000,
                             .grow_permille = 900,
                             .shrink_permille = 250,
                             .width_hold_ms = 500,
                             .service_ms = 1000 };
}

void
rt_table_init (rt_table_t *table, const rt_options_t *options)
{
  *table = (rt_table_t){ .options = *options, .membership_version = 1 };
}

void
rt_table_finish (rt_table_t *table)
{
  uint32_t at = 0;
  rt_adapter_t *adapter;
  while ((adapter = kb_map_next (&table->adapters, &at)) != NULL)
    free (adapter);
  kb_map_finish (&table->adapters);
  kb_map_finish (&table->by_id);
}

uint16_t
rt_target_add (rt_table_t *table, uint64_t id, uint64_t service,
               uint64_t domain, uint32_t max_batch)
{
  rt_target_t *existing = kb_map_get (&table->by_id, id);
  if (existing != NULL)
    {
      if (existing->service != service || existing->domain != domain)
        table->membership_version++;
      existing->service = service;
      existing->domain = domain;
      existing->max_batch = max_batch;
      return (uint16_t)(existing - table->targets);
    }
  uint16_t index = 0;
  while (index < table->target_count && table->targets[index].is_used)
    index++;
  if (index == RT_MAX_TARGETS)
    return RT_NONE;
  if (index == table->target_count)
    table->target_count++;
  table->targets[index] = (rt_target_t){ .is_used = true,
                                         .id = id,
                                         .service = service,
                                         .domain = domain,
                                         .max_batch = max_batch };
  kb_map_put (&table->by_id, id, &table->targets[index]);
  table->membership_version++;
  return index;
}

void
rt_target_remove (rt_table_t *table, uint16_t index)
{
  rt_target_t *target = &table->targets[index];
  if (!target->is_used)
    return;
  kb_map_remove (&table->by_id, target->id);
  *target = (rt_target_t){ 0 };
  table->membership_version++;
}

void
rt_target_set_state (rt_table_t *table, uint16_t index, rt_state_t state)
{
  table->targets[index].state = state;
}

/// A target with its rendezvous weight for an adapter.
typedef struct
{
  uint64_t weight;
  uint16_t index;
} ranked_t;

static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

static int
ranked_compare (const void *a, const void *b)
{
  uint64_t wa = ((const ranked_t *)a)->weight;
  uint64_t wb = ((const ranked_t *)b)->weight;
  return wa < wb ? 1 : wa > wb ? -1 : 0;
}

static bool
domain_in_round (const rt_table_t *table, const rt_adapter_t *adapter,
                 uint8_t round_start, uint64_t domain)
{
  for (uint8_t i = round_start; i < adapter->rank_count; i++)
    if (table->targets[adapter->ranks[i]].domain == domain)
      return true;
  return false;
}

/// Compute the ranks: walk the targets by weight in rounds, each of which
/// takes at most one target of each failure domain, so that the loss of a
/// domain leaves the other ranks usable.
static void
adapter_rank (rt_table_t *table, rt_adapter_t *adapter, uint64_t service)
{
  ranked_t all[RT_MAX_TARGETS];
  uint32_t count = 0;
  for (uint16_t i = 0; i < table->target_count; i++)
    if (table->targets[i].is_used && table->targets[i].service == service)
      all[count++] = (ranked_t){ mix (table->targets[i].id, adapter->key), i };
  qsort (all, count, sizeof all[0], ranked_compare);
  adapter->rank_count = 0;
  uint32_t left = count;
  while (left > 0 && adapter->rank_count < RT_MAX_RANKS)
    {
      uint8_t round_start = adapter->rank_count;
      for (uint32_t i = 0; i < count && adapter->rank_count < RT_MAX_RANKS;
           i++)
        {
          if (all[i].index == RT_NONE
              || domain_in_round (table, adapter, round_start,
                                  table->targets[all[i].index].domain))
            continue;
          adapter->ranks[adapter->rank_count++] = all[i].index;
          all[i].index = RT_NONE;
          left--;
        }
    }
  adapter->membership_version = table->membership_version;
}

/// Recompute the ranks, and keep the residency bits of targets that are still
/// ranked.
static void
adapter_rerank (rt_table_t *table, rt_adapter_t *adapter, uint64_t service)
{
  uint16_t old_ranks[RT_MAX_RANKS];
  uint8_t old_count = adapter->rank_count;
  uint16_t old_resident = adapter->resident;
  memcpy (old_ranks, adapter->ranks, sizeof old_ranks);
  adapter_rank (table, adapter, service);
  adapter->resident = 0;
  adapter->loading = 0;
  for (uint8_t i = 0; i < adapter->rank_count; i++)
    for (uint8_t j = 0; j < old_count; j++)
      if (old_ranks[j] == adapter->ranks[i] && (old_resident >> j & 1))
        adapter->resident |= (uint16_t)(1u << i);
  if (adapter->width > adapter->rank_count)
    adapter->width = adapter->rank_count > 0 ? adapter->rank_count : 1;
}

static rt_adapter_t *
adapter_get (rt_table_t *table, uint64_t service, uint64_t key)
{
  rt_adapter_t *adapter = kb_map_get (&table->adapters, key);
  if (adapter == NULL)
    {
      adapter = kb_alloc (sizeof *adapter);
      adapter->key = key;
      adapter->width = 1;
      kb_map_put (&table->adapters, key, adapter);
    }
  if (adapter->membership_version != table->membership_version)
    adapter_rerank (table, adapter, service);
  return adapter;
}

static bool
is_excluded (uint16_t index, const uint16_t *excluded, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (excluded[i] == index)
      return true;
  return false;
}

static bool
target_is_available (const rt_table_t *table, uint16_t index,
                     const uint16_t *excluded, uint32_t excluded_count)
{
  return table->targets[index].state == RT_UP
         && !is_excluded (index, excluded, excluded_count);
}

/// Expected wait at a target in milliseconds: the reported one, discounted by
/// age, plus that of the requests this entry has sent since.
static uint64_t
target_wait_ms (const rt_table_t *table, const rt_target_t *target,
                uint64_t now_ms)
{
  const rt_options_t *o = &table->options;
  uint64_t age = now_ms - target->reported_ms;
  uint64_t reported = (uint64_t)target->expected_wait_ms
                      * o->report_half_life_ms
                      / (o->report_half_life_ms + age);
  uint32_t batch = target->max_batch > 0 ? target->max_batch : 1;
  uint64_t busy = target->running + target->sent_since_report;
  uint64_t queued = busy > batch ? busy - batch : 0;
  return reported + queued * o->service_ms / batch
         + busy * 20 / batch; // A partly full batch is slightly slower.
}

static uint16_t
choose_ranked (rt_table_t *table, rt_adapter_t *adapter,
               const uint16_t *excluded, uint32_t excluded_count,
               uint64_t now_ms)
{
  uint16_t best = RT_NONE;
  uint64_t best_cost = UINT64_MAX;
  uint8_t seen = 0;
  for (uint8_t i = 0; i < adapter->rank_count && seen < adapter->width; i++)
    {
      uint16_t index = adapter->ranks[i];
      if (!target_is_available (table, index, excluded, excluded_count))
        continue;
      seen++;
      uint64_t cost = target_wait_ms (table, &table->targets[index], now_ms);
      if (!(adapter->resident >> i & 1))
        cost += adapter->loading >> i & 1 ? table->options.load_ms / 2
                                          : table->options.load_ms;
      if (cost < best_cost)
        {
          best_cost = cost;
          best = index;
        }
    }
  return best;
}

/// First usable target of a service, searched from a random start.
static uint16_t
pick_random (const rt_table_t *table, uint64_t service,
             const uint16_t *excluded, uint32_t excluded_count,
             uint64_t random)
{
  if (table->target_count == 0)
    return RT_NONE;
  uint16_t start = (uint16_t)(random % table->target_count);
  for (uint16_t i = 0; i < table->target_count; i++)
    {
      uint16_t index = (uint16_t)((start + i) % table->target_count);
      if (table->targets[index].is_used
          && table->targets[index].service == service
          && target_is_available (table, index, excluded, excluded_count))
        return index;
    }
  return RT_NONE;
}

static uint16_t
choose_of_two (rt_table_t *table, uint64_t service, const uint16_t *excluded,
               uint32_t excluded_count, uint64_t now_ms, uint64_t random)
{
  uint16_t a = pick_random (table, service, excluded, excluded_count, random);
  uint16_t b = pick_random (table, service, excluded, excluded_count,
                            mix (random, 1));
  if (a == RT_NONE || a == b)
    return a;
  uint64_t wait_a = target_wait_ms (table, &table->targets[a], now_ms);
  uint64_t wait_b = target_wait_ms (table, &table->targets[b], now_ms);
  return wait_b < wait_a ? b : a;
}

uint16_t
rt_choose (rt_table_t *table, uint64_t service, uint64_t adapter,
           const uint16_t *excluded, uint32_t excluded_count, uint64_t now_ms,
           uint64_t random)
{
  if (table->options.is_naive)
    return pick_random (table, service, excluded, excluded_count, random);
  if (adapter == 0)
    return choose_of_two (table, service, excluded, excluded_count, now_ms,
                          random);
  rt_adapter_t *existing = adapter_get (table, service, adapter);
  existing->used_ms = now_ms;
  uint16_t index
      = choose_ranked (table, existing, excluded, excluded_count, now_ms);
  if (index != RT_NONE)
    return index;
  return choose_of_two (table, service, excluded, excluded_count, now_ms,
                        random);
}

static int
adapter_rank_of (const rt_adapter_t *adapter, uint16_t index)
{
  for (uint8_t i = 0; i < adapter->rank_count; i++)
    if (adapter->ranks[i] == index)
      return i;
  return -1;
}

void
rt_record_sent (rt_table_t *table, uint16_t index, uint64_t adapter)
{
  table->targets[index].sent_since_report++;
  rt_adapter_t *existing = kb_map_get (&table->adapters, adapter);
  if (adapter == 0 || existing == NULL)
    return;
  int rank = adapter_rank_of (existing, index);
  if (rank >= 0)
    existing->loading |= (uint16_t)(1u << rank);
}

static void
adapter_adjust_width (rt_table_t *table, rt_adapter_t *adapter,
                      uint64_t now_ms)
{
  const rt_options_t *o = &table->options;
  if (now_ms - adapter->width_changed_ms < o->width_hold_ms)
    return;
  if (adapter->demand_permille > o->grow_permille
      && adapter->width < adapter->rank_count)
    {
      uint32_t new_width
          = (adapter->width * adapter->demand_permille + o->grow_permille - 1)
            / o->grow_permille;
      if (new_width > adapter->width * 2u)
        new_width = adapter->width * 2u;
      adapter->width
          = (uint8_t)(new_width < adapter->rank_count ? new_width
                                                      : adapter->rank_count);
      adapter->width_changed_ms = now_ms;
    }
  else if (adapter->demand_permille < o->shrink_permille && adapter->width > 1)
    {
      adapter->width--;
      adapter->width_changed_ms = now_ms;
    }
}

void
rt_record_end (rt_table_t *table, uint16_t index, uint64_t adapter,
               bool is_resident, uint32_t demand_permille, uint64_t now_ms)
{
  rt_adapter_t *existing = kb_map_get (&table->adapters, adapter);
  if (adapter == 0 || existing == NULL)
    return;
  int rank = adapter_rank_of (existing, index);
  if (rank < 0)
    return;
  uint16_t bit = (uint16_t)(1u << rank);
  existing->loading &= (uint16_t)~bit;
  if (is_resident)
    existing->resident |= bit;
  else
    existing->resident &= (uint16_t)~bit;
  existing->demand_permille
      = (existing->demand_permille * 3 + demand_permille) / 4;
  if (demand_permille > existing->demand_permille)
    existing->demand_permille = demand_permille;
  adapter_adjust_width (table, existing, now_ms);
}

void
rt_record_load_report (rt_table_t *table, uint16_t index, uint32_t queue_len,
                       uint32_t running, uint32_t expected_wait_ms,
                       uint64_t now_ms)
{
  rt_target_t *target = &table->targets[index];
  target->queue_len = queue_len;
  target->running = running;
  target->expected_wait_ms = expected_wait_ms;
  target->reported_ms = now_ms;
  target->sent_since_report = 0;
}

void
rt_clear_residency (rt_table_t *table, uint16_t index)
{
  uint32_t at = 0;
  rt_adapter_t *adapter;
  while ((adapter = kb_map_next (&table->adapters, &at)) != NULL)
    {
      int rank = adapter_rank_of (adapter, index);
      if (rank >= 0)
        adapter->resident &= (uint16_t) ~(1u << rank);
    }
}

void
rt_remove_idle_adapters (rt_table_t *table, uint64_t before_ms)
{
  // A removal may move entries past the cursor, so the scan starts over. The
  // bound keeps one call short; the next call continues.
  for (int removed = 0; removed < 64; removed++)
    {
      uint32_t at = 0;
      rt_adapter_t *adapter;
      while ((adapter = kb_map_next (&table->adapters, &at)) != NULL)
        if (adapter->used_ms < before_ms)
          break;
      if (adapter == NULL)
        return;
      kb_map_remove (&table->adapters, adapter->key);
      free (adapter);
    }
}
