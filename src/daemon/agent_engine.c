/// @file agent_engine.c
/// Orders to the engine: loads and evictions, the permits of the load gate,
/// and reconciliation of the slot table with the engine's adapter list.
#include <stdio.h>
#include <stdlib.h>

#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  GATE_TIMEOUT_MS = 1500, ///< Then load at the own share without a grant.
  GATE_RENEW_INTERVAL_MS = 500,
  GATE_PEER_TIMEOUT_MS = 20000,
  MAX_LOAD_FAILURES = 2,
  RETRY_AT_OTHER_TARGET_MS = 500,
};

static const char *
model_name (agt_agent_t *agent, uint64_t adapter)
{
  agt_model_t *model = kb_map_get (&agent->models, adapter);
  return model == NULL ? "" : model->model;
}

uint64_t
agt_model_register (agt_agent_t *agent, const char *name)
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

/// Free the name of an adapter unless it holds a slot or has requests.
static void
model_release (agt_agent_t *agent, uint64_t adapter)
{
  if (slt_find (&agent->slots, adapter) != NULL
      || sch_demand (&agent->queue, adapter) > 0)
    return;
  free (kb_map_remove (&agent->models, adapter));
}

/// Another process has used a newer fencing number at the engine: this process
/// is no longer the owner and must not send further orders.
static void
leave_after_ownership_loss (agt_agent_t *agent)
{
  log_write (LOG_ERROR, "fence",
             "The engine refused this agent's fencing number as outdated; "
             "draining.");
  MET_INC ("knapweedbay_fence_refusals_total", "");
  dmn_drain (agent->daemon);
}

static void
refuse_group (agt_agent_t *agent, uint64_t adapter, const char *reason)
{
  sch_item_t *item;
  while ((item = sch_first_waiting (&agent->queue, adapter)) != NULL)
    agt_run_refuse ((agt_request_t *)item, reason, RETRY_AT_OTHER_TARGET_MS);
}

static void
load_done (void *arg, kb_status_t status)
{
  agt_agent_t *agent = arg;
  uint64_t adapter = agent->order.adapter;
  uint64_t now_us = tmr_now_us ();
  bool is_loaded = status == KB_OK;
  agent->order.is_busy = false;
  sch_end_load (&agent->queue, adapter, is_loaded, now_us);
  agt_gate_release (agent);
  if (is_loaded)
    {
      MET_INC ("knapweedbay_loads_total", "result=\"ok\"");
      log_write (LOG_DEBUG, "load", "Loaded adapter %s in %llu ms.",
                 model_name (agent, adapter),
                 (unsigned long long)(now_us - agent->order.started_us)
                     / 1000);
    }
  else
    {
      MET_INC ("knapweedbay_loads_total", "result=\"failed\"");
      log_write (LOG_WARN, "load", "Failed to load adapter %s (%s).",
                 model_name (agent, adapter), kb_status_name (status));
      if (sch_failed_loads (&agent->queue, adapter) >= MAX_LOAD_FAILURES)
        refuse_group (agent, adapter, "the adapter cannot be loaded here");
      model_release (agent, adapter);
    }
  if (status == KB_ECONFLICT)
    leave_after_ownership_loss (agent);
  // A load whose answer was lost may occupy a slot of the engine that the
  // table does not know; the engine's list shows it.
  if (status == KB_EUNKNOWN)
    agt_engine_poll (agent);
  agt_schedule_work (agent);
}

void
agt_engine_load (agt_agent_t *agent, uint64_t adapter)
{
  agt_request_t *first
      = (agt_request_t *)sch_first_waiting (&agent->queue, adapter);
  uint64_t now_us = tmr_now_us ();
  agent->order = (agt_order_t){
    .is_busy = true, .is_load = true, .adapter = adapter, .started_us = now_us
  };
  sch_begin_load (&agent->queue, adapter, now_us);
  agent->engine.vtable->load (&agent->engine, first->model, first->source,
                              agent->fence, load_done, agent);
}

static void
unload_done (void *arg, kb_status_t status)
{
  agt_agent_t *agent = arg;
  uint64_t adapter = agent->order.adapter;
  agent->order.is_busy = false;
  // KB_EINVAL: the engine does not know the adapter, so it is not loaded.
  bool is_unloaded = status == KB_OK || status == KB_EINVAL;
  slt_end_unload (&agent->slots, adapter, is_unloaded, tmr_now_us ());
  MET_INC ("knapweedbay_evictions_total", "");
  if (is_unloaded)
    model_release (agent, adapter);
  if (status == KB_ECONFLICT)
    leave_after_ownership_loss (agent);
  agt_schedule_work (agent);
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
is_model_listed (agt_agent_t *agent, uint64_t adapter,
                 const char *const *models, uint32_t count)
{
  const char *name = model_name (agent, adapter);
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (models[i], name) == 0)
      return true;
  return false;
}

/// Bring the slot table in line with the engine's list, which is
/// authoritative: remove adapters that it lacks and add those that it has. A
/// pinned slot is left alone until its runs end.
static void
reconcile (agt_agent_t *agent, const char *const *models, uint32_t count)
{
  for (uint32_t i = 0; i < agent->slots.cap; i++)
    {
      slt_slot_t *slot = &agent->slots.slots[i];
      if (slot->key == 0 || slot->state != SLT_RESIDENT || slot->pins > 0
          || is_model_listed (agent, slot->key, models, count))
        continue;
      MET_INC ("knapweedbay_slots_forgotten_total", "");
      slt_forget (&agent->slots, slot->key);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t adapter = agt_model_register (agent, models[i]);
      uint64_t now_us = tmr_now_us ();
      if (slt_find (&agent->slots, adapter) != NULL
          || slt_begin_load (&agent->slots, adapter, now_us) == NULL)
        continue;
      slt_end_load (&agent->slots, adapter, true, now_us);
    }
}

static void
handle_list (agt_agent_t *agent, kb_status_t status, const char *const *models,
             uint32_t count, const char *incarnation)
{
  if (status != KB_OK)
    {
      if (agent->is_engine_up)
        log_write (LOG_WARN, "engine",
                   "The engine does not answer its list request.");
      agent->is_engine_up = false;
      agt_quarantine_record_target_end (agent);
      return;
    }
  bool has_restarted = agent->engine_incarnation[0] != '\0'
                       && strcmp (agent->engine_incarnation, incarnation) != 0;
  if (has_restarted)
    {
      log_write (LOG_WARN, "engine",
                 "The engine restarted without its adapters.");
      MET_INC ("knapweedbay_engine_restarts_total", "");
      agt_backpressure_reset (agent);
      agt_quarantine_record_target_end (agent);
    }
  else
    agt_quarantine_confirm_alive (agent, agent->listed_ms);
  snprintf (agent->engine_incarnation, sizeof agent->engine_incarnation, "%s",
            incarnation);
  // While an order is in progress, the list may show it half done.
  if (!agent->order.is_busy)
    {
      reconcile (agent, models, count);
      agent->is_reconciled = true;
    }
  agent->is_engine_up = true;
  aln_confirm_alive (&agent->alone, agent->listed_broken_starts);
  agt_schedule_work (agent);
}

static void
poll_done (void *arg, kb_status_t status, const char *const *models,
           uint32_t count, const char *incarnation)
{
  agt_agent_t *agent = arg;
  agent->is_list_pending = false;
  handle_list (agent, status, models, count, incarnation);
  if (agent->is_list_wanted)
    agt_engine_poll (agent);
}

void
agt_engine_poll (agt_agent_t *agent)
{
  // The list under way proves nothing about starts after its request.
  agent->is_list_wanted = agent->is_list_pending;
  if (agent->is_list_pending)
    return;
  agent->listed_broken_starts = agent->alone.broken_starts;
  agent->listed_ms = tmr_now_ms ();
  if (agt_is_plain (agent))
    {
      // A plain target has no list; its refused connections show its end.
      agent->is_engine_up = true;
      agent->is_reconciled = true;
      aln_confirm_alive (&agent->alone, agent->listed_broken_starts);
      return;
    }
  agent->is_list_pending = true;
  agent->engine.vtable->list (&agent->engine, poll_done, agent);
}

/// @return  The region's load gate: the live entry with the highest rendezvous
///          weight; NULL: no entry is live.
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
      if (now - peer->last_contact_ms > GATE_PEER_TIMEOUT_MS
          || weight < best_weight)
        continue;
      best = peer;
      best_weight = weight;
    }
  return best;
}

/// Request the load permit from the gate, or renew the request.
static void
request_load_permit (agt_agent_t *agent, const sch_action_t *wanted)
{
  agt_load_permit_t *load_permit = &agent->load_permit;
  agt_peer_t *gate = gate_peer (agent);
  uint64_t now = tmr_now_ms ();
  if (!load_permit->is_requested)
    {
      *load_permit = (agt_load_permit_t){ .is_requested = true,
                                          .id = dmn_random () | 1,
                                          .requested_ms = now };
    }
  else if (now - load_permit->sent_ms < GATE_RENEW_INTERVAL_MS)
    return;
  load_permit->sent_ms = now;
  if (gate == NULL)
    return;
  snprintf (load_permit->gate, sizeof load_permit->gate, "%s", gate->name);
  msg_t msg = { .type = MSG_GATE_REQUEST };
  msg.gate_request
      = (msg_gate_request_t){ .id = load_permit->id,
                              .waiting = wanted->waiting,
                              .priority_class = wanted->priority_class };
  // The send failed: exclude this gate, so that the next call selects another
  // entry.
  if (dmn_send (agent->daemon, load_permit->gate, &msg) == KB_OK)
    return;
  gate->last_contact_ms = 0;
  load_permit->sent_ms = 0;
}

/// While the gate is unresponsive, each agent loads at its share of the
/// region's load rate.
static void
gate_try_own_share (agt_agent_t *agent)
{
  agt_load_permit_t *load_permit = &agent->load_permit;
  uint64_t now = tmr_now_ms ();
  agt_peer_t *gate = gate_peer (agent);
  bool is_gate_unresponsive
      = gate == NULL || now - gate->last_contact_ms > GATE_TIMEOUT_MS;
  if (!is_gate_unresponsive
      || now - load_permit->requested_ms < GATE_TIMEOUT_MS)
    return;
  uint32_t count = agent->target_count > 0 ? agent->target_count : 1;
  agent->own_load_share.rate_per_s
      = agent->daemon->settings.load_rate_per_s / count;
  uint64_t retry_after_ms;
  if (!lim_bucket_take (&agent->own_load_share, now, &retry_after_ms))
    return;
  MET_INC ("knapweedbay_loads_own_share_total", "");
  // The gate counts as lost until its next message, so that the next load does
  // not wait for it as well.
  if (gate != NULL)
    gate->last_contact_ms = 0;
  load_permit->is_granted = true;
  load_permit->is_from_own_share = true;
}

void
agt_gate_release (agt_agent_t *agent)
{
  agt_load_permit_t *load_permit = &agent->load_permit;
  if (load_permit->is_requested && !load_permit->is_from_own_share
      && load_permit->gate[0] != '\0')
    {
      msg_t msg = { .type = MSG_GATE_DONE };
      msg.gate_done.id = load_permit->id;
      dmn_send (agent->daemon, load_permit->gate, &msg);
    }
  *load_permit = (agt_load_permit_t){ 0 };
}

void
agt_gate_update (agt_agent_t *agent)
{
  if (agent->order.is_busy && agent->order.is_load)
    return;
  sch_action_t wanted = sch_wanted_load (&agent->queue, tmr_now_us ());
  if (wanted.kind == SCH_IDLE)
    {
      if (agent->load_permit.is_requested)
        agt_gate_release (agent);
      return;
    }
  if (agent->load_permit.is_granted)
    return;
  request_load_permit (agent, &wanted);
  gate_try_own_share (agent);
}

void
agt_gate_on_grant (agt_agent_t *agent, uint64_t id)
{
  if (!agent->load_permit.is_requested || agent->load_permit.id != id)
    return;
  agent->load_permit.is_granted = true;
  agt_schedule_work (agent);
}
