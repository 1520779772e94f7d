/// @file sim.c
/// Discrete-event simulation of a trace with the decision modules of the
/// daemon. An engine is modelled by its adapter slots, a step time that grows
/// with the batch, and loads that share the weight store.
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/gate.h"
#include "coordination/route.h"
#include "coordination/sched.h"
#include "replay.h"
#include "state/buf.h"
#include "state/limit.h"

enum
{
  HOP_US = 1000, ///< Network latency between entry and agent.
  MAX_TRIES = 6,
  QUEUE_LIMIT = 2000,
};

typedef enum
{
  EV_ARRIVE,   ///< A request reaches its entry.
  EV_ENQUEUE,  ///< A request reaches its agent.
  EV_STEP,     ///< A batch step of an engine ends.
  EV_STORE,    ///< A load may complete or start at the weight store.
  EV_SCHEDULE, ///< An agent schedules its waiting requests.
  EV_FAULT,    ///< A fault of the trace takes effect.
} event_kind_t;

typedef struct
{
  uint64_t at_us;
  uint64_t sequence;
  event_kind_t kind;
  uint32_t index;
  uint32_t extra;
} event_t;

/// Simulation state of a request.
typedef struct
{
  sch_item_t item; ///< Must be first: cast from sch_item_t.
  const rpl_request_t *request;
  uint32_t engine;
  uint32_t entry;
  uint32_t tokens_left;
  uint32_t tries;               ///< Length of `excluded`.
  uint16_t excluded[MAX_TRIES]; ///< Targets tried before.
  uint64_t stall_since_us;      ///< Start of the wait for a load; 0: none.
  uint64_t stall_us;
  uint64_t started_us;
  uint32_t outcome_count; ///< Must be one at the end.
  bool is_done;
  uint32_t epoch; ///< Of the engine when it was queued.
} job_t;

/// State of an engine and its agent.
typedef struct
{
  slt_table_t slots;
  sch_queue_t queue;
  job_t **running;
  uint32_t running_count;
  bool is_stepping;
  bool is_up;
  uint32_t epoch; ///< Incremented when the engine loses its work.
  bool is_loading;
  bool has_grant; ///< The gate permits a load.
  bool has_gate_request;
  uint64_t loading_key;
  double load_left_ms;  ///< Remaining load time at full speed.
  bool is_store_queued; ///< The load waits for a token of the store.
  uint64_t gate_request_us;
  uint64_t schedule_at_us;
  uint32_t domain;
  double service_ms; ///< Moving average of the run time of a request.
} engine_t;

typedef struct
{
  const rpl_trace_t *trace;
  const rpl_site_t *site;
  rpl_policy_t policy;
  const rpl_overrides_t *overrides;
  rpl_result_t *out;
  event_t *heap;
  uint32_t heap_len;
  uint32_t heap_cap;
  uint64_t sequence;
  uint64_t now_us;
  job_t *jobs;
  engine_t *engines;
  uint32_t engine_count;
  uint32_t batch;
  rt_table_t *routes; ///< One table per entry.
  gat_gate_t *gate;
  // The weight store: a token bucket limits the starts of loads.
  double store_rate;
  double store_tokens;
  uint64_t store_filled_us;
  uint32_t *store_queue; ///< Engines whose load waits for a token, in order.
  uint32_t store_queue_len;
  uint32_t store_active; ///< Loads in progress.
  uint64_t store_updated_us;
  uint64_t store_event_us; ///< Time of the pending EV_STORE; 0: none.
  // Measurements; stalls and waits are in ms, by request.
  double *stalls;
  double *waits;
  double step_capacity; ///< Batch slots of all steps.
  double step_used;     ///< Occupied batch slots of all steps.
  uint64_t random_state;
  uint32_t arrived; ///< Number of requests that have arrived.
} sim_t;

static void
push_event (sim_t *s, uint64_t at_us, event_kind_t kind, uint32_t index,
            uint32_t extra)
{
  if (s->heap_len == s->heap_cap)
    {
      s->heap_cap = s->heap_cap == 0 ? 1024 : s->heap_cap * 2;
      s->heap = kb_realloc (s->heap, s->heap_cap * sizeof *s->heap);
    }
  event_t e = { at_us, s->sequence++, kind, index, extra };
  uint32_t at = s->heap_len++;
  while (at > 0)
    {
      event_t *up = &s->heap[(at - 1) / 2];
      if (up->at_us < e.at_us
          || (up->at_us == e.at_us && up->sequence < e.sequence))
        break;
      s->heap[at] = *up;
      at = (at - 1) / 2;
    }
  s->heap[at] = e;
}

static bool
event_precedes (const event_t *a, const event_t *b)
{
  return a->at_us < b->at_us
         || (a->at_us == b->at_us && a->sequence < b->sequence);
}

static event_t
pop_event (sim_t *s)
{
  event_t top = s->heap[0];
  event_t last = s->heap[--s->heap_len];
  uint32_t at = 0;
  for (;;)
    {
      uint32_t child = 2 * at + 1;
      if (child >= s->heap_len)
        break;
      if (child + 1 < s->heap_len
          && event_precedes (&s->heap[child + 1], &s->heap[child]))
        child++;
      if (!event_precedes (&s->heap[child], &last))
        break;
      s->heap[at] = s->heap[child];
      at = child;
    }
  s->heap[at] = last;
  return top;
}

/// Schedule an EV_STORE, unless an earlier one is pending.
static void
schedule_store_event (sim_t *s, uint64_t at_us)
{
  if (s->store_event_us != 0 && s->store_event_us <= at_us)
    return;
  s->store_event_us = at_us;
  push_event (s, at_us, EV_STORE, 0, 0);
}

/// SplitMix64 generator.
static uint64_t
next_random (sim_t *s)
{
  s->random_state += 0x9E3779B97F4A7C15ULL;
  uint64_t x = s->random_state;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

static uint64_t
adapter_key (const rpl_request_t *r)
{
  return ((uint64_t)r->adapter << 8 | r->version) * 0x9E3779B97F4A7C15ULL | 1;
}

static void engine_schedule (sim_t *s, uint32_t e);

/// Record the outcome of a request.
/// @param is_done  False when it was refused or expired.
static void
job_end (sim_t *s, job_t *job, bool is_done)
{
  job->outcome_count++;
  job->is_done = is_done;
  const rpl_request_t *r = job->request;
  rpl_result_t *out = s->out;
  uint32_t i = r->id - 1;
  s->stalls[i] = (double)job->stall_us / 1000;
  s->waits[i]
      = (double)((job->started_us ? job->started_us : s->now_us) - r->at_us)
        / 1000;
  bool is_late = s->now_us > r->at_us + r->deadline_us;
  if (!is_done)
    {
      out->refused++;
      out->refused_class[r->priority_class]++;
    }
  else
    out->done++;
  if (is_late || !is_done)
    {
      out->late++;
      out->late_class[r->priority_class]++;
    }
  double end_s = (double)s->now_us / 1e6;
  if (end_s > out->last_end_s)
    out->last_end_s = end_s;
}

static uint64_t
expected_wait_ms (const engine_t *engine, uint8_t priority_class)
{
  return sch_expected_wait_ms (&engine->queue, priority_class,
                               engine->service_ms);
}

static void
record_load_report (sim_t *s, uint32_t entry, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  rt_record_load_report (&s->routes[entry], (uint16_t)e, engine->queue.waiting,
                         engine->queue.running,
                         (uint32_t)expected_wait_ms (engine, RPL_CLASSES),
                         s->now_us / 1000);
}

/// Send a request to a target, or refuse it when none is left.
static void
job_dispatch (sim_t *s, job_t *job)
{
  rt_table_t *routes = &s->routes[job->entry];
  uint64_t key = job->item.adapter;
  uint16_t e = rt_choose (routes, 1, s->overrides->is_rank_ignored ? 0 : key,
                          job->excluded, job->tries, s->now_us / 1000,
                          next_random (s));
  if (e == RT_NONE || job->tries == MAX_TRIES)
    {
      job_end (s, job, false);
      return;
    }
  job->engine = e;
  job->excluded[job->tries++] = e;
  rt_record_sent (routes, e, key);
  push_event (s, s->now_us + HOP_US, EV_ENQUEUE, job->request->id - 1, 0);
}

static bool
is_resident (engine_t *engine, uint64_t key)
{
  slt_slot_t *slot = slt_find (&engine->slots, key);
  return slot != NULL && slot->state == SLT_RESIDENT;
}

/// Queue a request at its agent, or try another target when the agent refuses.
static void
job_enqueue (sim_t *s, job_t *job)
{
  engine_t *engine = &s->engines[job->engine];
  const rpl_request_t *r = job->request;
  uint64_t wait_us = expected_wait_ms (engine, r->priority_class) * 1000;
  bool is_deadline_missed = s->now_us + wait_us > r->at_us + r->deadline_us;
  bool is_refused = !engine->is_up || engine->queue.waiting >= QUEUE_LIMIT
                    || (s->policy == RPL_COORDINATED && is_deadline_missed);
  if (is_refused)
    {
      record_load_report (s, job->entry, job->engine);
      job_dispatch (s, job);
      return;
    }
  job->tokens_left = r->tokens;
  job->epoch = engine->epoch;
  job->item.enqueued_us = s->now_us;
  job->item.deadline_us = r->at_us + r->deadline_us;
  job->stall_since_us
      = is_resident (engine, job->item.adapter) ? 0 : s->now_us;
  sch_add (&engine->queue, &job->item);
  engine_schedule (s, job->engine);
}

static void
step_begin (sim_t *s, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  if (engine->is_stepping || engine->running_count == 0)
    return;
  engine->is_stepping = true;
  uint32_t batch = engine->running_count;
  uint32_t engines_needed = s->policy == RPL_BOUND
                                ? (batch + s->site->batch - 1) / s->site->batch
                                : 1;
  double per_engine = (double)batch / engines_needed;
  double ms = s->site->step_ms + s->site->step_seq_ms * (per_engine - 1);
  s->step_used += batch;
  s->step_capacity += (double)engines_needed * s->site->batch;
  push_event (s, s->now_us + (uint64_t)(ms * 1000), EV_STEP, e, engine->epoch);
}

/// Check that no request starts while a request of a better class that could
/// start now waits in the same queue.
static void
check_class_order (sim_t *s, engine_t *engine, const sch_item_t *chosen)
{
  if (s->policy == RPL_NAIVE)
    return;
  for (sch_group_t *g = engine->queue.active; g != NULL; g = g->next)
    {
      slt_slot_t *slot = slt_find (&engine->slots, g->adapter);
      if (slot == NULL || slot->state != SLT_RESIDENT || slot->is_draining)
        continue;
      for (int c = 0; c < chosen->priority_class; c++)
        if (g->heads[c] != NULL)
          {
            s->out->class_inversions++;
            return;
          }
    }
}

static void
job_run (sim_t *s, uint32_t e, job_t *job)
{
  engine_t *engine = &s->engines[e];
  check_class_order (s, engine, &job->item);
  slt_slot_t *slot = slt_find (&engine->slots, job->item.adapter);
  if (slot == NULL || slot->key != adapter_key (job->request))
    s->out->wrong++;
  if (job->stall_since_us != 0)
    {
      job->stall_us += s->now_us - job->stall_since_us;
      job->stall_since_us = 0;
    }
  sch_begin_run (&engine->queue, &job->item, s->now_us);
  job->started_us = s->now_us;
  engine->running[engine->running_count++] = job;
}

/// End the stall of the requests that wait for a loaded adapter. Waiting for a
/// slot of the batch does not count as stall.
static void
group_stop_stall (sim_t *s, engine_t *engine, uint64_t key)
{
  for (sch_group_t *g = engine->queue.active; g != NULL; g = g->next)
    {
      if (g->adapter != key)
        continue;
      for (int c = 0; c < SCH_CLASSES; c++)
        for (sch_item_t *i = g->heads[c]; i != NULL; i = i->next)
          {
            job_t *job = (job_t *)i;
            if (job->stall_since_us == 0)
              continue;
            job->stall_us += s->now_us - job->stall_since_us;
            job->stall_since_us = 0;
          }
    }
}

static void
store_refill_tokens (sim_t *s)
{
  double refill
      = (double)(s->now_us - s->store_filled_us) / 1e6 * s->store_rate;
  double max_tokens = s->site->load_concurrency;
  s->store_tokens = fmin (max_tokens, s->store_tokens + refill);
  s->store_filled_us = s->now_us;
}

/// Advance all loads to the current time. Above the full-speed concurrency
/// they share the bandwidth of the store.
static void
store_advance (sim_t *s)
{
  double ms = (double)(s->now_us - s->store_updated_us) / 1000;
  s->store_updated_us = s->now_us;
  if (s->store_active == 0)
    return;
  double speed = fmin (1, (double)s->site->load_concurrency / s->store_active);
  for (uint32_t e = 0; e < s->engine_count; e++)
    if (s->engines[e].is_loading && !s->engines[e].is_store_queued)
      s->engines[e].load_left_ms -= ms * speed;
}

/// Schedule an event for the next completion or start of a load.
static void
store_schedule (sim_t *s)
{
  double speed
      = s->store_active == 0
            ? 1
            : fmin (1, (double)s->site->load_concurrency / s->store_active);
  double next_ms = 1e18;
  for (uint32_t e = 0; e < s->engine_count; e++)
    if (s->engines[e].is_loading && !s->engines[e].is_store_queued)
      next_ms = fmin (next_ms, s->engines[e].load_left_ms / speed);
  if (s->store_queue_len > 0)
    next_ms = fmin (next_ms,
                    fmax (0, (1 - s->store_tokens) / s->store_rate * 1000));
  if (next_ms < 1e17)
    schedule_store_event (s, s->now_us + (uint64_t)(next_ms * 1000) + 1);
}

static void
store_start_queued (sim_t *s)
{
  store_refill_tokens (s);
  while (s->store_queue_len > 0 && s->store_tokens >= 1)
    {
      uint32_t e = s->store_queue[0];
      memmove (s->store_queue, s->store_queue + 1,
               --s->store_queue_len * sizeof *s->store_queue);
      s->store_tokens -= 1;
      s->engines[e].is_store_queued = false;
      s->store_active++;
    }
}

static void gate_grant_loads (sim_t *s);

static void
load_finish (sim_t *s, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  engine->is_loading = false;
  s->store_active--;
  s->out->loads++;
  bool is_valid = engine->is_up;
  sch_end_load (&engine->queue, engine->loading_key, is_valid, s->now_us);
  if (is_valid)
    group_stop_stall (s, engine, engine->loading_key);
  if (engine->has_grant)
    {
      gat_end_load (s->gate, e + 1, 1);
      engine->has_grant = false;
    }
}

static void
store_tick (sim_t *s)
{
  store_advance (s);
  bool is_load_finished[512] = { false };
  for (uint32_t e = 0; e < s->engine_count; e++)
    if (s->engines[e].is_loading && !s->engines[e].is_store_queued
        && s->engines[e].load_left_ms <= 0.001)
      {
        load_finish (s, e);
        is_load_finished[e] = true;
      }
  store_start_queued (s);
  store_schedule (s);
  for (uint32_t e = 0; e < s->engine_count; e++)
    if (is_load_finished[e])
      engine_schedule (s, e);
  if (s->policy == RPL_COORDINATED && !s->overrides->is_gate_disabled)
    gate_grant_loads (s);
}

static void
load_begin (sim_t *s, uint32_t e, uint64_t key)
{
  engine_t *engine = &s->engines[e];
  store_advance (s);
  sch_begin_load (&engine->queue, key, s->now_us);
  engine->is_loading = true;
  engine->loading_key = key;
  // The bound has a single engine, which loads one adapter at a time, so each
  // load runs at the total speed of the store's concurrent loads.
  engine->load_left_ms
      = s->site->load_ms
        / (s->policy == RPL_BOUND ? s->site->load_concurrency : 1);
  engine->is_store_queued = true;
  s->store_queue[s->store_queue_len++] = e;
  store_start_queued (s);
  store_schedule (s);
}

static void
gate_grant_loads (sim_t *s)
{
  const gat_request_t *granted;
  while ((granted = gat_grant_next (s->gate, s->now_us)) != NULL)
    {
      uint32_t e = (uint32_t)granted->agent - 1;
      s->engines[e].has_grant = true;
      s->engines[e].has_gate_request = false;
      push_event (s, s->now_us + HOP_US, EV_SCHEDULE, e, 0);
    }
  uint64_t wait = gat_wait_us (s->gate, s->now_us);
  if (wait > 0)
    schedule_store_event (s, s->now_us + wait);
}

/// Request, keep or withdraw the load permission of the gate, as the agent
/// does.
static void
gate_update (sim_t *s, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  if (engine->is_loading)
    return;
  sch_action_t wanted_load = sch_wanted_load (&engine->queue, s->now_us);
  if (wanted_load.kind == SCH_IDLE)
    {
      if (engine->has_grant || engine->has_gate_request)
        gat_end_load (s->gate, e + 1, 1);
      engine->has_grant = false;
      engine->has_gate_request = false;
      return;
    }
  if (engine->has_grant)
    return;
  engine->has_gate_request = true;
  gat_request_load (s->gate, e + 1, 1, wanted_load.priority_class,
                    wanted_load.waiting, s->now_us);
  gate_grant_loads (s);
}

/// For the bound only: evict the adapter whose next use is farthest in the
/// future (Belady's algorithm).
static void
bound_set_keep_scores (sim_t *s, engine_t *engine)
{
  uint32_t first = s->arrived;
  uint32_t count = s->trace->request_count;
  for (uint32_t i = 0; i < engine->slots.cap; i++)
    engine->slots.slots[i].keep_score = -1e18;
  for (uint32_t k = count; k > first; k--)
    {
      const rpl_request_t *r = &s->trace->requests[k - 1];
      slt_slot_t *slot = slt_find (&engine->slots, adapter_key (r));
      if (slot != NULL)
        slot->keep_score = -(double)r->at_us;
    }
}

/// End the waiting requests whose deadline has passed.
static void
engine_expire (sim_t *s, engine_t *engine)
{
  if (s->policy != RPL_COORDINATED)
    return;
  sch_item_t *expired;
  while ((expired = sch_first_expired (&engine->queue, s->now_us)) != NULL)
    {
      job_t *job = (job_t *)expired;
      sch_remove (&engine->queue, expired);
      if (job->stall_since_us != 0)
        job->stall_us += s->now_us - job->stall_since_us;
      job_end (s, job, false);
    }
}

/// Start requests, loads and evictions as the scheduler decides.
static void
engine_schedule (sim_t *s, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  bool has_gate
      = s->policy == RPL_COORDINATED && !s->overrides->is_gate_disabled;
  engine_expire (s, engine);
  while (engine->is_up)
    {
      bool may_load = !has_gate || engine->has_grant;
      if (s->policy == RPL_BOUND && !slt_has_free (&engine->slots)
          && sch_wanted_load (&engine->queue, s->now_us).kind != SCH_IDLE)
        bound_set_keep_scores (s, engine);
      sch_action_t action = sch_next_action (&engine->queue, s->now_us,
                                             may_load && !engine->is_loading);
      if (action.kind == SCH_IDLE)
        break;
      if (action.kind == SCH_RUN)
        job_run (s, e, (job_t *)action.item);
      else if (action.kind == SCH_LOAD)
        load_begin (s, e, action.adapter);
      else
        {
          slt_slot_t *slot = slt_find (&engine->slots, action.adapter);
          s->out->evicted_in_use += slot->pins > 0;
          slt_begin_unload (&engine->slots, slot, s->now_us);
          slt_end_unload (&engine->slots, action.adapter, true, s->now_us);
        }
    }
  if (has_gate)
    gate_update (s, e);
  step_begin (s, e);
  // A drain, a backoff or a deadline can become due without another event, so
  // schedule again in 100 ms.
  if (engine->queue.waiting > 0 && engine->schedule_at_us <= s->now_us)
    {
      engine->schedule_at_us = s->now_us + 100000;
      push_event (s, engine->schedule_at_us, EV_SCHEDULE, e, 0);
    }
}

static void
step_end (sim_t *s, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  engine->is_stepping = false;
  uint32_t running_kept = 0;
  for (uint32_t i = 0; i < engine->running_count; i++)
    {
      job_t *job = engine->running[i];
      if (--job->tokens_left > 0)
        {
          engine->running[running_kept++] = job;
          continue;
        }
      uint64_t key = job->item.adapter;
      sch_end_run (&engine->queue, &job->item, s->now_us);
      engine->service_ms = engine->service_ms * 0.9
                           + (double)(s->now_us - job->started_us) / 10000;
      record_load_report (s, job->entry, e);
      rt_record_end (&s->routes[job->entry], (uint16_t)e, key,
                     is_resident (engine, key),
                     sch_demand (&engine->queue, key) * 1000 / s->batch,
                     s->now_us / 1000);
      job_end (s, job, true);
    }
  engine->running_count = running_kept;
  engine_schedule (s, e);
}

/// Drop all requests and adapters of an engine and send the requests to other
/// engines. Traces contain only requests that may be repeated.
static void
engine_drop_work (sim_t *s, uint32_t e)
{
  engine_t *engine = &s->engines[e];
  engine->epoch++;
  engine->is_stepping = false;
  job_t **retried = kb_alloc (
      (engine->running_count + engine->queue.waiting + 1) * sizeof *retried);
  uint32_t count = 0;
  for (uint32_t i = 0; i < engine->running_count; i++)
    {
      sch_end_run (&engine->queue, &engine->running[i]->item, s->now_us);
      retried[count++] = engine->running[i];
    }
  engine->running_count = 0;
  while (engine->queue.active != NULL)
    {
      sch_item_t *item = NULL;
      for (int c = 0; c < SCH_CLASSES && item == NULL; c++)
        item = engine->queue.active->heads[c];
      sch_remove (&engine->queue, item);
      retried[count++] = (job_t *)item;
    }
  for (uint32_t i = 0; i < engine->slots.cap; i++)
    if (engine->slots.slots[i].key != 0
        && engine->slots.slots[i].state == SLT_RESIDENT)
      slt_forget (&engine->slots, engine->slots.slots[i].key);
  for (uint32_t i = 0; i < count; i++)
    {
      job_t *job = retried[i];
      if (job->stall_since_us != 0)
        job->stall_us += s->now_us - job->stall_since_us;
      job->stall_since_us = 0;
      job->tries = engine->is_up ? 0 : 1;
      job->excluded[0] = (uint16_t)e;
      job_dispatch (s, job);
    }
  free (retried);
}

static void
engine_set_up (sim_t *s, uint32_t e, bool is_up)
{
  s->engines[e].is_up = is_up;
  for (uint32_t i = 0; i < s->site->entries; i++)
    {
      rt_target_set_state (&s->routes[i], (uint16_t)e,
                           is_up ? RT_UP : RT_DOWN);
      rt_clear_residency (&s->routes[i], (uint16_t)e);
    }
}

static void
apply_fault (sim_t *s, const rpl_fault_t *fault)
{
  if (s->policy == RPL_BOUND)
    return;
  if (strcmp (fault->kind, "store_rate") == 0)
    {
      store_refill_tokens (s);
      s->store_rate = s->site->loads_per_s * fault->value;
      s->gate->options.rate_per_s = s->store_rate;
      return;
    }
  for (uint32_t e = 0; e < s->engine_count; e++)
    {
      bool is_affected = strcmp (fault->kind, "cold") == 0
                             ? e == fault->which
                             : s->engines[e].domain == fault->which;
      if (!is_affected)
        continue;
      if (strcmp (fault->kind, "domain_back") == 0)
        engine_set_up (s, e, true);
      else
        {
          bool is_cold = strcmp (fault->kind, "cold") == 0;
          engine_set_up (s, e, is_cold);
          engine_drop_work (s, e);
        }
    }
}

static void
sim_init_engines (sim_t *s)
{
  const rpl_site_t *site = s->site;
  bool is_bound = s->policy == RPL_BOUND;
  s->engine_count = is_bound ? 1 : site->engines;
  s->batch = is_bound ? site->batch * site->engines : site->batch;
  s->engines = kb_alloc (s->engine_count * sizeof *s->engines);
  s->store_queue = kb_alloc ((s->engine_count + 1) * sizeof *s->store_queue);
  sch_options_t options;
  sch_options_default (&options);
  options.max_batch = s->batch;
  options.stall_weight = s->overrides->stall_weight >= 0
                             ? s->overrides->stall_weight
                             : site->stall_weight;
  options.efficiency_weight = s->overrides->efficiency_weight >= 0
                                  ? s->overrides->efficiency_weight
                                  : site->efficiency_weight;
  options.is_naive = s->policy == RPL_NAIVE;
  for (uint32_t e = 0; e < s->engine_count; e++)
    {
      engine_t *engine = &s->engines[e];
      slt_table_init (&engine->slots,
                      is_bound ? site->slots * site->engines : site->slots);
      engine->slots.is_lru
          = s->policy == RPL_NAIVE || s->overrides->is_lru_eviction;
      sch_queue_init (&engine->queue, &engine->slots, &options);
      engine->running = kb_alloc (s->batch * sizeof *engine->running);
      engine->is_up = true;
      engine->domain = e % site->domains;
      engine->service_ms = 1000;
    }
}

static void
sim_init_routes (sim_t *s)
{
  rt_options_t options;
  rt_options_default (&options);
  options.is_naive = s->policy == RPL_NAIVE;
  options.load_ms = (uint32_t)(s->site->load_ms * s->overrides->load_margin);
  if (s->overrides->grow_permille > 0)
    options.grow_permille = s->overrides->grow_permille;
  if (s->overrides->is_width_fixed)
    options.width_hold_ms = UINT32_MAX;
  s->routes = kb_alloc (s->site->entries * sizeof *s->routes);
  for (uint32_t i = 0; i < s->site->entries; i++)
    {
      rt_table_init (&s->routes[i], &options);
      for (uint32_t e = 0; e < s->engine_count; e++)
        {
          rt_target_add (&s->routes[i], (e + 1) * 0x100000001B3ULL, 1,
                         s->engines[e].domain + 1, s->batch);
          rt_target_set_state (&s->routes[i], (uint16_t)e, RT_UP);
        }
    }
}

static int
double_compare (const void *a, const void *b)
{
  double da = *(const double *)a;
  double db = *(const double *)b;
  return da < db ? -1 : da > db;
}

static double
percentile (double *values, uint32_t count, double share)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, double_compare);
  uint32_t at = (uint32_t)(share * (count - 1));
  return values[at];
}

static void
sim_summarize (sim_t *s)
{
  rpl_result_t *out = s->out;
  uint32_t count = s->trace->request_count;
  double *copy = kb_alloc ((count + 1) * sizeof *copy);
  for (uint32_t i = 0; i < count; i++)
    {
      out->stall_ms_total += s->stalls[i];
      out->lost += s->jobs[i].outcome_count == 0;
      out->doubled += s->jobs[i].outcome_count > 1;
      out->count_class[s->trace->requests[i].priority_class]++;
    }
  for (uint8_t c = 0; c < RPL_CLASSES; c++)
    {
      uint32_t n = 0;
      for (uint32_t i = 0; i < count; i++)
        if (s->trace->requests[i].priority_class == c)
          copy[n++] = s->stalls[i];
      out->stall_ms_class[c] = percentile (copy, n, 0.95);
    }
  memcpy (copy, s->stalls, count * sizeof *copy);
  out->stall_ms_p95 = percentile (copy, count, 0.95);
  memcpy (copy, s->waits, count * sizeof *copy);
  out->wait_ms_p95 = percentile (copy, count, 0.95);
  out->step_fill = s->step_capacity > 0 ? s->step_used / s->step_capacity : 0;
  free (copy);
}

static void
sim_finish (sim_t *s)
{
  for (uint32_t e = 0; e < s->engine_count; e++)
    {
      sch_queue_finish (&s->engines[e].queue);
      slt_table_finish (&s->engines[e].slots);
      free (s->engines[e].running);
    }
  for (uint32_t i = 0; i < s->site->entries; i++)
    rt_table_finish (&s->routes[i]);
  free (s->routes);
  free (s->engines);
  free (s->store_queue);
  free (s->jobs);
  free (s->stalls);
  free (s->waits);
  free (s->heap);
  free (s->gate);
}

static void
sim_handle (sim_t *s, const event_t *e)
{
  switch (e->kind)
    {
    case EV_ARRIVE:
      s->arrived++;
      job_dispatch (s, &s->jobs[e->index]);
      break;
    case EV_ENQUEUE:
      job_enqueue (s, &s->jobs[e->index]);
      break;
    case EV_STEP:
      if (s->engines[e->index].epoch == e->extra)
        step_end (s, e->index);
      break;
    case EV_STORE:
      if (s->store_event_us != e->at_us)
        break; // Superseded by an earlier event.
      s->store_event_us = 0;
      store_tick (s);
      break;
    case EV_SCHEDULE:
      engine_schedule (s, e->index);
      break;
    case EV_FAULT:
      apply_fault (s, &s->trace->faults[e->index]);
    }
}

void
rpl_overrides_default (rpl_overrides_t *overrides)
{
  *overrides = (rpl_overrides_t){ .stall_weight = -1,
                                  .efficiency_weight = -1,
                                  .load_margin = 8 };
}

void
rpl_run (const rpl_trace_t *trace, rpl_policy_t policy,
         const rpl_overrides_t *overrides, rpl_result_t *out)
{
  *out = (rpl_result_t){ 0 };
  sim_t s = { .trace = trace,
              .site = &trace->site,
              .policy = policy,
              .overrides = overrides,
              .out = out,
              .random_state = 42,
              .store_rate = trace->site.loads_per_s };
  sim_init_engines (&s);
  sim_init_routes (&s);
  s.gate = kb_alloc (sizeof *s.gate);
  gat_options_t gate
      = { trace->site.loads_per_s, trace->site.load_concurrency, 60000000 };
  gat_gate_init (s.gate, &gate, 0);
  uint32_t count = trace->request_count;
  s.jobs = kb_alloc ((count + 1) * sizeof *s.jobs);
  s.stalls = kb_alloc ((count + 1) * sizeof *s.stalls);
  s.waits = kb_alloc ((count + 1) * sizeof *s.waits);
  for (uint32_t i = 0; i < count; i++)
    {
      const rpl_request_t *r = &trace->requests[i];
      s.jobs[i].request = r;
      s.jobs[i].entry = i % trace->site.entries;
      s.jobs[i].item = (sch_item_t){ .adapter = adapter_key (r),
                                     .workspace = r->workspace,
                                     .priority_class = r->priority_class,
                                     .weight = r->weight,
                                     .cost = r->tokens };
      push_event (&s, r->at_us, EV_ARRIVE, i, 0);
    }
  for (uint32_t i = 0; i < trace->fault_count; i++)
    push_event (&s, trace->faults[i].at_us, EV_FAULT, i, 0);
  while (s.heap_len > 0)
    {
      event_t e = pop_event (&s);
      s.now_us = e.at_us;
      sim_handle (&s, &e);
    }
  sim_summarize (&s);
  sim_finish (&s);
}
