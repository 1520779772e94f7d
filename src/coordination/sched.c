#include "coordination/sched.h"

#include <assert.h>
#include <stdlib.h>

#include "state/buf.h"

enum
{
  LOAD_BACKOFF_US = 200000,
  LOAD_BACKOFF_MAX_SHIFT = 6
};

void
sch_options_default (sch_options_t *options)
{
  *options = (sch_options_t){ .max_batch = 16,
                              .max_loads = 1,
                              .stall_weight = 1,
                              .efficiency_weight = 1,
                              .drain_after_us = 2000000 };
}

void
sch_queue_init (sch_queue_t *queue, slt_table_t *slots,
                const sch_options_t *options)
{
  *queue = (sch_queue_t){ .options = *options, .slots = slots };
}

void
sch_queue_finish (sch_queue_t *queue)
{
  uint32_t at = 0;
  sch_group_t *group;
  while ((group = kb_map_next (&queue->groups, &at)) != NULL)
    free (group);
  kb_map_finish (&queue->groups);
}

/// Adapter zero needs no slot and has a key of its own: the map has no key
/// zero.
static uint64_t
group_key (uint64_t adapter)
{
  return adapter == 0 ? UINT64_MAX : adapter;
}

static sch_group_t *
group_find (const sch_queue_t *queue, uint64_t adapter)
{
  return kb_map_get (&queue->groups, group_key (adapter));
}

static sch_group_t *
group_get (sch_queue_t *queue, uint64_t adapter)
{
  sch_group_t *group = group_find (queue, adapter);
  if (group != NULL)
    return group;
  group = kb_alloc (sizeof *group);
  group->adapter = adapter;
  kb_map_put (&queue->groups, group_key (adapter), group);
  return group;
}

static void
group_activate (sch_queue_t *queue, sch_group_t *group)
{
  if (group->is_active)
    return;
  group->is_active = true;
  group->prev = NULL;
  group->next = queue->active;
  if (queue->active != NULL)
    queue->active->prev = group;
  queue->active = group;
}

static void
group_deactivate (sch_queue_t *queue, sch_group_t *group)
{
  if (!group->is_active)
    return;
  group->is_active = false;
  if (group->prev != NULL)
    group->prev->next = group->next;
  else
    queue->active = group->next;
  if (group->next != NULL)
    group->next->prev = group->prev;
}

/// Free a group without requests and without a count of failed loads.
static void
group_release (sch_queue_t *queue, sch_group_t *group)
{
  if (group->waiting > 0 || group->running > 0 || group->failed_loads > 0)
    return;
  group_deactivate (queue, group);
  kb_map_remove (&queue->groups, group_key (group->adapter));
  free (group);
}

static sch_workspace_t *
workspace_get (sch_queue_t *queue, uint64_t workspace)
{
  for (uint32_t i = 0; i < queue->workspace_count; i++)
    if (queue->workspaces[i].workspace == workspace)
      return &queue->workspaces[i];
  if (queue->workspace_count < SCH_WORKSPACES)
    {
      sch_workspace_t *fresh = &queue->workspaces[queue->workspace_count++];
      *fresh = (sch_workspace_t){ .workspace = workspace };
      return fresh;
    }
  return &queue->workspaces[workspace % SCH_WORKSPACES];
}

/// Start-time fair queueing: the items of a workspace are spaced by cost over
/// weight, and an idle workspace starts at the present virtual time.
static double
item_tag (sch_queue_t *queue, const sch_item_t *item)
{
  if (queue->options.is_naive)
    return (double)item->enqueued_us;
  sch_workspace_t *workspace = workspace_get (queue, item->workspace);
  uint8_t c = item->priority_class;
  double start = workspace->finish_tags[c] > queue->virtual_time[c]
                     ? workspace->finish_tags[c]
                     : queue->virtual_time[c];
  uint32_t weight = item->weight > 0 ? item->weight : 1;
  workspace->finish_tags[c] = start + (double)(item->cost + 1) / weight;
  return start;
}

static void
group_insert (sch_group_t *group, sch_item_t *item)
{
  uint8_t c = item->priority_class;
  sch_item_t *after = group->tails[c];
  while (after != NULL && after->start_tag > item->start_tag)
    after = after->prev;
  item->prev = after;
  item->next = after != NULL ? after->next : group->heads[c];
  if (item->next != NULL)
    item->next->prev = item;
  else
    group->tails[c] = item;
  if (after != NULL)
    after->next = item;
  else
    group->heads[c] = item;
}

static void
group_remove_item (sch_group_t *group, sch_item_t *item)
{
  uint8_t c = item->priority_class;
  if (item->prev != NULL)
    item->prev->next = item->next;
  else
    group->heads[c] = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    group->tails[c] = item->prev;
  item->next = NULL;
  item->prev = NULL;
}

void
sch_add (sch_queue_t *queue, sch_item_t *item)
{
  if (item->priority_class >= SCH_CLASSES)
    item->priority_class = SCH_CLASSES - 1;
  if (queue->options.is_naive)
    item->priority_class = 0;
  sch_group_t *group = group_get (queue, item->adapter);
  item->group = group;
  item->is_running = false;
  item->start_tag = item_tag (queue, item);
  group_insert (group, item);
  group->waiting++;
  group_activate (queue, group);
  queue->waiting++;
  queue->waiting_by_class[item->priority_class]++;
}

static void
queue_remove_item (sch_queue_t *queue, sch_item_t *item)
{
  sch_group_t *group = item->group;
  group_remove_item (group, item);
  group->waiting--;
  queue->waiting--;
  queue->waiting_by_class[item->priority_class]--;
  if (group->waiting == 0)
    group_deactivate (queue, group);
}

void
sch_remove (sch_queue_t *queue, sch_item_t *item)
{
  sch_group_t *group = item->group;
  queue_remove_item (queue, item);
  item->group = NULL;
  group_release (queue, group);
}

/// @return  The group's first waiting item: lowest class, then lowest
///          start_tag.
static sch_item_t *
group_head (const sch_group_t *group)
{
  for (int c = 0; c < SCH_CLASSES; c++)
    if (group->heads[c] != NULL)
      return group->heads[c];
  return NULL;
}

static bool
item_is_before (const sch_item_t *a, const sch_item_t *b)
{
  if (a->priority_class != b->priority_class)
    return a->priority_class < b->priority_class;
  if (a->start_tag != b->start_tag)
    return a->start_tag < b->start_tag;
  return a->enqueued_us < b->enqueued_us;
}

static bool
group_can_run (const sch_queue_t *queue, const sch_group_t *group)
{
  if (group->adapter == 0)
    return true;
  slt_slot_t *slot = slt_find (queue->slots, group->adapter);
  return slot != NULL && slot->state == SLT_RESIDENT && !slot->is_draining;
}

static sch_item_t *
best_runnable (const sch_queue_t *queue)
{
  sch_item_t *best = NULL;
  for (sch_group_t *g = queue->active; g != NULL; g = g->next)
    {
      if (!group_can_run (queue, g))
        continue;
      sch_item_t *head = group_head (g);
      if (best == NULL || item_is_before (head, best))
        best = head;
    }
  return best;
}

static bool
group_wants_load (const sch_queue_t *queue, const sch_group_t *group,
                  uint64_t now_us)
{
  if (group->adapter == 0 || group->retry_load_us > now_us)
    return false;
  return slt_find (queue->slots, group->adapter) == NULL;
}

/// Score of loading a group now, within its class: the configured weights
/// balance the longest wait against the number of waiting requests.
static double
group_load_score (const sch_queue_t *queue, const sch_group_t *group,
                  const sch_item_t *head, uint64_t now_us)
{
  double age_s = (double)(now_us - head->enqueued_us) / 1e6;
  return queue->options.stall_weight * age_s
         + queue->options.efficiency_weight * group->waiting;
}

static sch_action_t
load_action (const sch_group_t *group, sch_item_t *head)
{
  return (sch_action_t){ .kind = SCH_LOAD,
                         .item = head,
                         .adapter = group->adapter,
                         .priority_class = head->priority_class,
                         .waiting = group->waiting };
}

static sch_item_t *
oldest_item (const sch_queue_t *queue)
{
  sch_item_t *oldest = NULL;
  for (sch_group_t *g = queue->active; g != NULL; g = g->next)
    {
      sch_item_t *head = group_head (g);
      if (oldest == NULL || head->enqueued_us < oldest->enqueued_us)
        oldest = head;
    }
  return oldest;
}

/// Baseline: load only what the oldest request needs.
static sch_action_t
wanted_load_naive (const sch_queue_t *queue, uint64_t now_us)
{
  sch_item_t *oldest = oldest_item (queue);
  if (oldest == NULL || !group_wants_load (queue, oldest->group, now_us))
    return (sch_action_t){ .kind = SCH_IDLE };
  return load_action (oldest->group, oldest);
}

sch_action_t
sch_wanted_load (const sch_queue_t *queue, uint64_t now_us)
{
  if (queue->options.is_naive)
    return wanted_load_naive (queue, now_us);
  sch_action_t action = { .kind = SCH_IDLE };
  double best_score = 0;
  for (sch_group_t *g = queue->active; g != NULL; g = g->next)
    {
      if (!group_wants_load (queue, g, now_us))
        continue;
      sch_item_t *head = group_head (g);
      double score = group_load_score (queue, g, head, now_us);
      bool is_better = action.kind == SCH_IDLE
                       || head->priority_class < action.priority_class
                       || (head->priority_class == action.priority_class
                           && score > best_score);
      if (!is_better)
        continue;
      best_score = score;
      action = load_action (g, head);
    }
  return action;
}

/// Argument of adapter_is_wanted.
typedef struct
{
  const sch_queue_t *queue;
  uint8_t priority_class; ///< Class of the work that needs the slot.
} eviction_arg_t;

/// An adapter with waiting work is not evicted, unless all of that work is of
/// a lower class than the work that needs the slot.
static bool
adapter_is_wanted (void *arg, uint64_t key)
{
  const eviction_arg_t *wanted = arg;
  const sch_group_t *group = group_find (wanted->queue, key);
  if (group == NULL || group->waiting == 0)
    return false;
  return group_head (group)->priority_class <= wanted->priority_class;
}

/// @return  Best class of the work that waits for a slot's adapter;
///          SCH_CLASSES, worse than any, when none waits.
static uint8_t
slot_class (const sch_queue_t *queue, const slt_slot_t *slot)
{
  const sch_group_t *group = group_find (queue, slot->key);
  if (group == NULL || group->waiting == 0)
    return SCH_CLASSES;
  return group_head (group)->priority_class;
}

/// Whether a slot can be drained for a load.
static bool
slot_can_drain (const sch_queue_t *queue, const slt_slot_t *slot,
                const sch_action_t *load, uint64_t now_us)
{
  uint8_t waiting_class = slot_class (queue, slot);
  if (waiting_class < load->priority_class)
    return false;
  // Work of a worse class yields at once; equal classes share by time.
  if (waiting_class > load->priority_class)
    return true;
  return now_us - load->item->enqueued_us >= queue->options.drain_after_us
         && now_us - slot->state_us >= queue->options.drain_after_us;
}

/// Drain one resident adapter: it accepts no new work, and its slot becomes
/// free when its running requests end. Without this, popular adapters that
/// always have work would keep all slots pinned, and the requests of a rare
/// adapter would wait forever. The adapter with work of the worst class is
/// chosen, then the one that has held its slot longest.
static void
start_drain (sch_queue_t *queue, const sch_action_t *load, uint64_t now_us)
{
  slt_slot_t *best = NULL;
  uint8_t best_class = 0;
  for (uint32_t i = 0; i < queue->slots->cap; i++)
    {
      slt_slot_t *slot = &queue->slots->slots[i];
      if (slot->key == 0)
        continue;
      if (slot->is_draining || slot->state != SLT_RESIDENT)
        return; // A slot is about to become free.
      if (!slot_can_drain (queue, slot, load, now_us))
        continue;
      uint8_t waiting_class = slot_class (queue, slot);
      if (best != NULL
          && (waiting_class < best_class
              || (waiting_class == best_class
                  && slot->state_us >= best->state_us)))
        continue;
      best = slot;
      best_class = waiting_class;
    }
  if (best == NULL)
    return;
  best->is_draining = true;
  queue->has_draining = true;
}

/// Cancel all drains when no load needs a slot. Otherwise the requests of a
/// drained adapter would wait forever: they cannot run, because it accepts no
/// work, and it cannot be loaded, because it is resident.
static void
cancel_drains (sch_queue_t *queue)
{
  for (uint32_t i = 0; i < queue->slots->cap; i++)
    queue->slots->slots[i].is_draining = false;
  queue->has_draining = false;
}

static sch_action_t
next_load (sch_queue_t *queue, uint64_t now_us)
{
  sch_action_t load = sch_wanted_load (queue, now_us);
  if (load.kind == SCH_IDLE || queue->loading >= queue->options.max_loads)
    return (sch_action_t){ .kind = SCH_IDLE };
  if (slt_has_free (queue->slots))
    return load;
  eviction_arg_t wanted = { queue, load.priority_class };
  slt_slot_t *victim = slt_choose_victim (
      queue->slots, queue->options.is_naive ? NULL : adapter_is_wanted,
      &wanted);
  if (victim == NULL && !queue->options.is_naive)
    {
      start_drain (queue, &load, now_us);
      return (sch_action_t){ .kind = SCH_IDLE };
    }
  if (victim == NULL)
    return (sch_action_t){ .kind = SCH_IDLE };
  for (uint32_t i = 0; i < queue->slots->cap; i++)
    if (queue->slots->slots[i].state == SLT_UNLOADING
        && queue->slots->slots[i].key != 0)
      return (sch_action_t){ .kind = SCH_IDLE };
  load.kind = SCH_EVICT;
  load.adapter = victim->key;
  return load;
}

/// Baseline: only the oldest request may run or load.
static sch_action_t
next_naive (sch_queue_t *queue, uint64_t now_us, bool may_load)
{
  sch_item_t *oldest = oldest_item (queue);
  if (oldest == NULL || queue->running >= queue->options.max_batch)
    return (sch_action_t){ .kind = SCH_IDLE };
  if (group_can_run (queue, oldest->group))
    return (sch_action_t){ .kind = SCH_RUN, .item = oldest };
  return may_load ? next_load (queue, now_us)
                  : (sch_action_t){ .kind = SCH_IDLE };
}

sch_action_t
sch_next_action (sch_queue_t *queue, uint64_t now_us, bool may_load)
{
  if (queue->options.is_naive)
    return next_naive (queue, now_us, may_load);
  if (queue->has_draining && sch_wanted_load (queue, now_us).kind == SCH_IDLE)
    cancel_drains (queue);
  if (queue->running < queue->options.max_batch)
    {
      sch_item_t *item = best_runnable (queue);
      if (item != NULL)
        return (sch_action_t){ .kind = SCH_RUN, .item = item };
    }
  if (!may_load)
    return (sch_action_t){ .kind = SCH_IDLE };
  return next_load (queue, now_us);
}

void
sch_begin_run (sch_queue_t *queue, sch_item_t *item, uint64_t now_us)
{
  queue_remove_item (queue, item);
  item->is_running = true;
  item->group->running++;
  queue->running++;
  if (queue->virtual_time[item->priority_class] < item->start_tag)
    queue->virtual_time[item->priority_class] = item->start_tag;
  if (item->adapter != 0)
    slt_pin (queue->slots, slt_find (queue->slots, item->adapter), now_us);
}

void
sch_end_run (sch_queue_t *queue, sch_item_t *item, uint64_t now_us)
{
  sch_group_t *group = item->group;
  assert (item->is_running);
  item->is_running = false;
  group->running--;
  queue->running--;
  if (item->adapter != 0)
    slt_unpin (queue->slots, slt_find (queue->slots, item->adapter), now_us);
  item->group = NULL;
  group_release (queue, group);
}

void
sch_begin_load (sch_queue_t *queue, uint64_t adapter, uint64_t now_us)
{
  slt_begin_load (queue->slots, adapter, now_us);
  queue->loading++;
}

void
sch_end_load (sch_queue_t *queue, uint64_t adapter, bool is_loaded,
              uint64_t now_us)
{
  slt_end_load (queue->slots, adapter, is_loaded, now_us);
  if (queue->loading > 0)
    queue->loading--;
  sch_group_t *group = group_get (queue, adapter);
  if (is_loaded)
    {
      group->failed_loads = 0;
      group_release (queue, group);
      return;
    }
  uint32_t shift = group->failed_loads < LOAD_BACKOFF_MAX_SHIFT
                       ? group->failed_loads
                       : LOAD_BACKOFF_MAX_SHIFT;
  group->failed_loads++;
  group->retry_load_us = now_us + ((uint64_t)LOAD_BACKOFF_US << shift);
}

uint64_t
sch_expected_wait_ms (const sch_queue_t *queue, uint8_t priority_class,
                      double service_ms)
{
  uint32_t ahead = 0;
  for (int c = 0; c < SCH_CLASSES && c <= priority_class; c++)
    ahead += queue->waiting_by_class[c];
  uint32_t batch = queue->options.max_batch;
  if (queue->running + ahead < batch)
    return 0;
  return (uint64_t)((ahead + 1) * service_ms / batch);
}

uint32_t
sch_demand (const sch_queue_t *queue, uint64_t adapter)
{
  const sch_group_t *group = group_find (queue, adapter);
  return group == NULL ? 0 : group->waiting + group->running;
}

uint32_t
sch_failed_loads (const sch_queue_t *queue, uint64_t adapter)
{
  const sch_group_t *group = group_find (queue, adapter);
  return group == NULL ? 0 : group->failed_loads;
}

sch_item_t *
sch_first_waiting (const sch_queue_t *queue, uint64_t adapter)
{
  const sch_group_t *group = group_find (queue, adapter);
  return group == NULL ? NULL : group_head (group);
}

sch_item_t *
sch_first_expired (const sch_queue_t *queue, uint64_t now_us)
{
  for (sch_group_t *g = queue->active; g != NULL; g = g->next)
    for (int c = 0; c < SCH_CLASSES; c++)
      for (sch_item_t *i = g->heads[c]; i != NULL; i = i->next)
        if (i->deadline_us <= now_us)
          return i;
  return NULL;
}
