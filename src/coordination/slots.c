#include "coordination/slots.h"

#include <assert.h>
#include <stdlib.h>

#include "state/buf.h"

enum
{
  VISIT_GAP_US = 2000000,
  VISIT_WINDOW = 32
};

void
slt_table_init (slt_table_t *table, uint32_t cap)
{
  *table = (slt_table_t){ .cap = cap };
  table->slots = kb_alloc (cap * sizeof *table->slots);
}

void
slt_table_finish (slt_table_t *table)
{
  kb_map_finish (&table->by_key);
  kb_map_finish (&table->visits);
  free (table->slots);
  table->slots = NULL;
}

slt_slot_t *
slt_find (slt_table_t *table, uint64_t key)
{
  return kb_map_get (&table->by_key, key);
}

bool
slt_has_free (const slt_table_t *table)
{
  return table->len < table->cap;
}

static uint32_t
visits_get (const slt_table_t *table, uint64_t key)
{
  return (uint32_t)(uintptr_t)kb_map_get (&table->visits, key);
}

/// Halve all counts, and remove those that reach zero.
static void
visits_decay (slt_table_t *table)
{
  kb_map_t kept;
  kb_map_init (&kept);
  for (uint32_t i = 0; i < table->visits.cap; i++)
    {
      kb_map_entry_t *e = &table->visits.entries[i];
      uintptr_t half = (uintptr_t)e->value / 2;
      if (e->key != 0 && half > 0)
        kb_map_put (&kept, e->key, (void *)half);
    }
  kb_map_finish (&table->visits);
  table->visits = kept;
  table->visit_total /= 2;
}

static uint32_t
visits_add (slt_table_t *table, uint64_t key)
{
  uint32_t count = visits_get (table, key) + 2;
  kb_map_put (&table->visits, key, (void *)(uintptr_t)count);
  if (++table->visit_total > VISIT_WINDOW * table->cap)
    visits_decay (table);
  return count;
}

slt_slot_t *
slt_begin_load (slt_table_t *table, uint64_t key, uint64_t now_us)
{
  assert (slt_find (table, key) == NULL);
  if (!slt_has_free (table))
    return NULL;
  slt_slot_t *slot = NULL;
  for (uint32_t i = 0; slot == NULL; i++)
    if (table->slots[i].key == 0)
      slot = &table->slots[i];
  *slot = (slt_slot_t){ .key = key,
                        .state = SLT_LOADING,
                        .keep_score = table->score_floor + 1,
                        .used_us = now_us,
                        .state_us = now_us };
  table->len++;
  kb_map_put (&table->by_key, key, slot);
  return slot;
}

void
slt_forget (slt_table_t *table, uint64_t key)
{
  slt_slot_t *slot = kb_map_remove (&table->by_key, key);
  if (slot == NULL)
    return;
  *slot = (slt_slot_t){ 0 };
  table->len--;
}

void
slt_end_load (slt_table_t *table, uint64_t key, bool is_loaded,
              uint64_t now_us)
{
  slt_slot_t *slot = slt_find (table, key);
  if (slot == NULL || slot->state != SLT_LOADING)
    return;
  if (!is_loaded)
    {
      slt_forget (table, key);
      return;
    }
  slot->state = SLT_RESIDENT;
  slot->state_us = now_us;
}

void
slt_end_unload (slt_table_t *table, uint64_t key, bool is_unloaded,
                uint64_t now_us)
{
  slt_slot_t *slot = slt_find (table, key);
  if (slot == NULL || slot->state != SLT_UNLOADING)
    return;
  if (is_unloaded)
    {
      slt_forget (table, key);
      return;
    }
  slot->state = SLT_RESIDENT;
  slot->state_us = now_us;
}

static bool
is_better_victim (const slt_table_t *table, const slt_slot_t *a,
                  const slt_slot_t *b)
{
  if (table->is_lru || a->keep_score == b->keep_score)
    return a->used_us < b->used_us;
  return a->keep_score < b->keep_score;
}

slt_slot_t *
slt_choose_victim (slt_table_t *table,
                   bool (*is_wanted) (void *arg, uint64_t key), void *arg)
{
  slt_slot_t *best = NULL;
  for (uint32_t i = 0; i < table->cap; i++)
    {
      slt_slot_t *slot = &table->slots[i];
      // Evicting a pinned adapter would break or corrupt the request that runs
      // with it. The pin is set before the request is sent to the engine.
      if (slot->key == 0 || slot->state != SLT_RESIDENT || slot->pins > 0)
        continue;
      if (is_wanted != NULL && !slot->is_draining
          && is_wanted (arg, slot->key))
        continue;
      if (best == NULL || is_better_victim (table, slot, best))
        best = slot;
    }
  return best;
}

void
slt_begin_unload (slt_table_t *table, slt_slot_t *slot, uint64_t now_us)
{
  assert (slot->pins == 0 && slot->state == SLT_RESIDENT);
  slot->state = SLT_UNLOADING;
  slot->state_us = now_us;
  if (slot->keep_score > table->score_floor)
    table->score_floor = slot->keep_score;
}

void
slt_pin (slt_table_t *table, slt_slot_t *slot, uint64_t now_us)
{
  assert (slot->state == SLT_RESIDENT);
  // A batch of requests for one adapter counts as one visit.
  bool is_new_visit = slot->pins == 0 && now_us - slot->used_us > VISIT_GAP_US;
  slot->pins++;
  slot->used_us = now_us;
  uint32_t visits = is_new_visit || visits_get (table, slot->key) == 0
                        ? visits_add (table, slot->key)
                        : visits_get (table, slot->key);
  slot->keep_score = table->score_floor + visits;
}

void
slt_unpin (slt_table_t *table, slt_slot_t *slot, uint64_t now_us)
{
  assert (slot->pins > 0);
  slot->pins--;
  slot->used_us = now_us;
}
