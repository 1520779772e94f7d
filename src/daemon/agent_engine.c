/// @file agent_engine.c
/// Orders to the engine: loads and evictions, the load gate, and keeping the
/// slot table in step with the engine's own list.
#include <stdio.h>
#include <stdlib.h>

#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  GATE_SILENCE_MS = 1500, ///< Without a grant this long: use the own share.
  GATE_RENEW_MS = 500,
  PEER_LIVE_MS = 20000,
  LOAD_FAILURES_TO_REFUSE = 2,
  RETRY_ELSEWHERE_MS = 500,
};

static const char *
model_name (agt_agent_t *agent, uint64_t adapter)
{
  agt_model_t *model = kb_map_get (&agent->models, adapter);
  return model == NULL ? "" : model->model;
}

uint64_t
agt_model_remember (agt_agent_t *agent, const char *name)
{
  uint64_t adapter = kb_hash (name, strlen (name), 0) | 1;
  if (kb_map_get (&agent->models, adapter) == NULL)
    {
      agt_model_t *model = kb_alloc (sizeof *model);
      snprintf (model->model, sizeof model->model, "%s", name);
      kb_map_put (&agent->models, adapter, model);
    }
  return adapter;
}

/// A name is needed while the adapter holds a slot or has requests.
static void
model_release (agt_agent_t *agent, uint64_t adapter)
{
  if (slt_find (&agent->slots, adapter) != NULL
      || sch_demand (&agent->queue, adapter) > 0)
    return;
  free (kb_map_remove (&agent->models, adapter));
}

/// Another process gave the engine a newer fencing number: this one is no
/// longer the owner and must not order anything any more.
static void
ownership_lost (agt_agent_t *agent)
{
  log_write (LOG_ERROR, "fence",
             "The engine refused an old fencing number; leaving.");
  MET_INC ("knapweedbay_fence_refusals_total", "");
  dmn_drain (agent->daemon);
}

static void
refuse_group (agt_agent_t *agent, uint64_t adapter, const char *reason)
{
  sch_item_t *item;
  while ((item = sch_first_of (&agent->queue, adapter)) != NULL)
    agt_run_refuse ((agt_request_t *)item, reason, RETRY_ELSEWHERE_MS);
}

static void
load_done (void *arg, kb_status_t status)
{
  agt_agent_t *agent = arg;
  uint64_t adapter = agent->order.adapter;
  uint64_t now_us = tmr_now_us ();
  bool is_loaded = status == KB_OK;
  agent->order.is_busy = false;
  sch_note_load_end (&agent->queue, adapter, is_loaded, now_us);
  agt_gate_give_back (agent);
  if (is_loaded)
    {
      MET_INC ("knapweedbay_loads_total", "result=\"ok\"");
      log_write (LOG_DEBUG, "load", "Loaded %s in %llu ms.",
                 model_name (agent, adapter),
                 (unsigned long long)(now_us - agent->order.started_us)
                     / 1000);
    }
  else
    {
      MET_INC ("knapweedbay_loads_total", "result=\"failed\"");
      log_write (LOG_WARN, "load", "Load of %s failed (%s).",
                 model_name (agent, adapter), kb_status_name (status));
      if (sch_failed_loads (&agent->queue, adapter) >= LOAD_FAILURES_TO_REFUSE)
        refuse_group (agent, adapter, "the adapter cannot be loaded here");
      model_release (agent, adapter);
    }
  if (status == KB_ECONFLICT)
    ownership_lost (agent);
  // A load whose answer was lost may have taken a slot of the engine that
  // the table does not know; the engine's list tells.
  if (status == KB_EUNKNOWN)
    agt_engine_poll (agent);
  agt_pump (agent);
}

void
agt_engine_load (agt_agent_t *agent, uint64_t adapter)
{
  agt_request_t *first
      = (agt_request_t *)sch_first_of (&agent->queue, adapter);
  uint64_t now_us = tmr_now_us ();
  agent->order = (agt_order_t){
    .is_busy = true, .is_load = true, .adapter = adapter, .started_us = now_us
  };
  sch_note_load_begin (&agent->queue, adapter, now_us);
  agent->engine.vtable->load (&agent->engine, first->model, first->source,
                              agent->fence, load_done, agent);
}

static void
unload_done (void *arg, kb_status_t status)
{
  agt_agent_t *agent = arg;
  uint64_t adapter = agent->order.adapter;
  agent->order.is_busy = false;
  // An adapter that the engine no longer knows is as good as unloaded.
  bool is_unloaded = status == KB_OK || status == KB_EINVAL;
  slt_end_unload (&agent->slots, adapter, is_unloaded, tmr_now_us ());
  MET_INC ("knapweedbay_evictions_total", "");
  if (is_unloaded)
    model_release (agent, adapter);
  if (status == KB_ECONFLICT)
    ownership_lost (agent);
  agt_pump (agent);
}

void
agt_engine_unload (agt_agent_t *agent, uint64_t adapter)
{
  slt_slot_t *slot = slt_find (&agent->slots, adapter);
  slt_begin_unload (&agent->slots, slot, tmr_now_us ());
  agent->order = (agt_order_t){ .is_busy = true,
                                .adapter = adapter,
                                .started_us = tmr_now_us () };
  agent->engine.vtable->unload (&agent->engine, model_name (agent, adapter),
                                agent->fence, unload_done, agent);
}

static bool
list_has (agt_agent_t *agent, uint64_t adapter, const char *const *models,
          uint32_t count)
{
  const char *name = model_name (agent, adapter);
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (models[i], name) == 0)
      return true;
  return false;
}

/// The engine's own list is the truth: forget what it lost, adopt what it
/// holds. A pinned slot is left to the end of its runs.
static void
reconcile (agt_agent_t *agent, const char *const *models, uint32_t count)
{
  for (uint32_t i = 0; i < agent->slots.cap; i++)
    {
      slt_slot_t *slot = &agent->slots.slots[i];
      if (slot->key == 0 || slot->state != SLT_RESIDENT || slot->pins > 0
          || list_has (agent, slot->key, models, count))
        continue;
      MET_INC ("knapweedbay_slots_forgotten_total", "");
      slt_forget (&agent->slots, slot->key);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t adapter = agt_model_remember (agent, models[i]);
      uint64_t now_us = tmr_now_us ();
      if (slt_find (&agent->slots, adapter) != NULL
          || slt_begin_load (&agent->slots, adapter, now_us) == NULL)
        continue;
      slt_end_load (&agent->slots, adapter, true, now_us);
    }
}

static void
poll_done (void *arg, kb_status_t status, const char *const *models,
           uint32_t count, const char *incarnation)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK)
    {
      if (agent->is_engine_up)
        log_write (LOG_WARN, "engine", "The engine does not answer.");
      agent->is_engine_up = false;
      agt_quarantine_target_ended (agent);
      return;
    }
  bool is_cold = agent->engine_incarnation[0] != '\0'
                 && strcmp (agent->engine_incarnation, incarnation) != 0;
  if (is_cold)
    {
      log_write (LOG_WARN, "engine", "The engine restarted cold.");
      MET_INC ("knapweedbay_engine_restarts_total", "");
      agt_backpressure_forget (agent);
      agt_quarantine_target_ended (agent);
    }
  snprintf (agent->engine_incarnation, sizeof agent->engine_incarnation, "%s",
            incarnation);
  // While an order is under way the list may show it half done.
  if (!agent->order.is_busy)
    {
      reconcile (agent, models, count);
      agent->is_reconciled = true;
    }
  agent->is_engine_up = true;
  agt_pump (agent);
}

void
agt_engine_poll (agt_agent_t *agent)
{
  if (agt_is_plain (agent))
    {
      agent->is_engine_up = true;
      agent->is_reconciled = true;
      return;
    }
  agent->engine.vtable->list (&agent->engine, poll_done, agent);
}

/// The region's gate: the live entry with the highest rendezvous weight.
static agt_peer_t *
gate_peer (agt_agent_t *agent)
{
  agt_peer_t *best = NULL;
  uint64_t best_weight = 0;
  uint64_t now = tmr_now_ms ();
  for (uint32_t i = 0; i < agent->peer_count; i++)
    {
      agt_peer_t *peer = &agent->peers[i];
      uint64_t weight = kb_hash (&peer->id, sizeof peer->id, 0x67617465);
      if (now - peer->heard_ms > PEER_LIVE_MS || weight < best_weight)
        continue;
      best = peer;
      best_weight = weight;
    }
  return best;
}

static void
gate_ask (agt_agent_t *agent, const sch_action_t *wanted)
{
  agt_wish_t *wish = &agent->wish;
  agt_peer_t *gate = gate_peer (agent);
  uint64_t now = tmr_now_ms ();
  if (!wish->is_asked)
    {
      *wish = (agt_wish_t){ .is_asked = true,
                            .id = dmn_random () | 1,
                            .asked_ms = now };
    }
  else if (now - wish->sent_ms < GATE_RENEW_MS)
    return;
  wish->sent_ms = now;
  if (gate == NULL)
    return;
  snprintf (wish->gate, sizeof wish->gate, "%s", gate->name);
  msg_t msg = { .type = MSG_GATE_REQUEST };
  msg.gate_request
      = (msg_gate_request_t){ .id = wish->id,
                              .waiting = wanted->waiting,
                              .priority_class = wanted->priority_class };
  // A gate that cannot be reached gives way to the next entry at once.
  if (dmn_send (agent->daemon, wish->gate, &msg) == KB_OK)
    return;
  gate->heard_ms = 0;
  wish->sent_ms = 0;
}

/// Without a reachable gate each agent keeps to its share of the rate.
static void
gate_try_own_share (agt_agent_t *agent)
{
  agt_wish_t *wish = &agent->wish;
  uint64_t now = tmr_now_ms ();
  agt_peer_t *gate = gate_peer (agent);
  bool is_gate_silent = gate == NULL || now - gate->heard_ms > GATE_SILENCE_MS;
  if (!is_gate_silent || now - wish->asked_ms < GATE_SILENCE_MS)
    return;
  uint32_t count = agent->target_count > 0 ? agent->target_count : 1;
  agent->own_share.rate_per_s
      = agent->daemon->settings.load_rate_per_s / count;
  uint64_t retry_after_ms;
  if (!lim_bucket_take (&agent->own_share, now, &retry_after_ms))
    return;
  MET_INC ("knapweedbay_loads_own_share_total", "");
  // It counts as lost until it is heard again, so that the next load does not
  // wait for it as well.
  if (gate != NULL)
    gate->heard_ms = 0;
  wish->is_granted = true;
  wish->is_own_share = true;
}

void
agt_gate_give_back (agt_agent_t *agent)
{
  agt_wish_t *wish = &agent->wish;
  if (wish->is_asked && !wish->is_own_share && wish->gate[0] != '\0')
    {
      msg_t msg = { .type = MSG_GATE_DONE };
      msg.gate_done.id = wish->id;
      dmn_send (agent->daemon, wish->gate, &msg);
    }
  *wish = (agt_wish_t){ 0 };
}

void
agt_gate_update (agt_agent_t *agent)
{
  if (agent->order.is_busy && agent->order.is_load)
    return;
  sch_action_t wanted = sch_wanted_load (&agent->queue, tmr_now_us ());
  if (wanted.kind == SCH_IDLE)
    {
      if (agent->wish.is_asked)
        agt_gate_give_back (agent);
      return;
    }
  if (agent->wish.is_granted)
    return;
  gate_ask (agent, &wanted);
  gate_try_own_share (agent);
}

void
agt_gate_granted (agt_agent_t *agent, uint64_t id)
{
  if (!agent->wish.is_asked || agent->wish.id != id)
    return;
  agent->wish.is_granted = true;
  agt_pump (agent);
}
