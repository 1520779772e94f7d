/// @file agent.c
/// The agent role: peer messages, membership, scheduling and the drain.
#include "daemon/agent.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  TICK_MS = 100,
  POLL_MS = 1000,
  STALL_THRESHOLD_MS = 2000, ///< A later tick means that the process stalled.
  PEER_TIMEOUT_MS = 6000,
  CLAIM_EXPIRE_TICKS = 50,
  MAX_HANDOVER_ENTRIES = 2,
  EXIT_FLUSH_MS = 200,
  HANDOVER_TIMEOUT_MS = 1500,
};

static void
schedule_again (void *arg)
{
  agt_schedule_work (arg);
}

/// Whether the target's limit or pause forbids a request now; if so, schedule
/// the next attempt for when it ends.
static bool
is_deferred_by_target (agt_agent_t *agent)
{
  uint64_t wait_ms = bkp_meter_wait_ms (&agent->meter, 0, tmr_now_ms ());
  uint64_t pause_ms = agt_backpressure_pause_ms (agent);
  if (pause_ms > wait_ms)
    wait_ms = pause_ms;
  if (wait_ms > 0)
    tmr_start_once (&agent->daemon->timers, &agent->meter_timer, wait_ms,
                    schedule_again, agent);
  return wait_ms > 0;
}

void
agt_schedule_work (agt_agent_t *agent)
{
  if (!agent->is_engine_up || !agent->is_reconciled)
    return;
  for (;;)
    {
      bool may_order = !agent->order.is_busy && !agent->is_fence_unverified;
      sch_action_t action
          = sch_next_action (&agent->queue, tmr_now_us (),
                             may_order && agent->load_permit.is_granted);
      if (action.kind == SCH_RUN)
        {
          agt_request_t *r = (agt_request_t *)action.item;
          if (!aln_may_start (&agent->alone, &r->alone, tmr_now_ms ()))
            {
              if (aln_awaits_answer (&agent->alone) && !agent->is_list_pending)
                agt_engine_poll (agent);
              break;
            }
          if (is_deferred_by_target (agent))
            break;
          agt_run_start (agent, r);
          continue;
        }
      if (action.kind == SCH_LOAD)
        agt_engine_load (agent, action.adapter);
      else if (action.kind == SCH_EVICT)
        agt_engine_unload (agent, action.adapter);
      break;
    }
  agt_gate_update (agent);
}

agt_peer_t *
agt_peer_find (agt_agent_t *agent, kb_slice_t name)
{
  uint64_t id = kb_hash (name.ptr, name.len_bytes, 0);
  for (uint32_t i = 0; i < agent->peer_count; i++)
    if (agent->peers[i].id == id)
      return &agent->peers[i];
  return NULL;
}

/// Allocate an entry of the peer table; when it is full, the peer with the
/// oldest contact is replaced.
static agt_peer_t *
peer_allocate (agt_agent_t *agent)
{
  if (agent->peer_count < AGT_MAX_PEERS)
    return &agent->peers[agent->peer_count++];
  agt_peer_t *oldest = &agent->peers[0];
  for (uint32_t i = 1; i < agent->peer_count; i++)
    if (agent->peers[i].last_contact_ms < oldest->last_contact_ms)
      oldest = &agent->peers[i];
  return oldest;
}

static void
resident_pack (agt_agent_t *agent, kb_buf_t *out)
{
  for (uint32_t i = 0; i < agent->slots.cap; i++)
    if (agent->slots.slots[i].key != 0
        && agent->slots.slots[i].state == SLT_RESIDENT)
      kb_buf_append (out, &agent->slots.slots[i].key, sizeof (uint64_t));
}

static void
send_hello (agt_agent_t *agent, kb_slice_t peer)
{
  const set_settings_t *s = &agent->daemon->settings;
  kb_buf_t resident = { 0 };
  resident_pack (agent, &resident);
  msg_t msg = { .type = MSG_HELLO };
  msg.hello
      = (msg_hello_t){ .name = kb_slice_str (s->name),
                       .role = SET_ROLE_AGENT,
                       .incarnation = agent->daemon->incarnation,
                       .failure_domain = kb_slice_str (s->failure_domain),
                       .service = kb_slice_str (s->service),
                       .is_plain = agt_is_plain (agent),
                       .slots = (uint64_t)s->slots,
                       .max_batch = (uint64_t)s->max_batch,
                       .revision = agent->revision,
                       .state = agt_reported_state (agent),
                       .memory_since_wall_ms = agent->memory_since_wall_ms,
                       .is_reply = 1,
                       .resident = kb_buf_slice (&resident) };
  lnk_link_send (&agent->daemon->link, peer, &msg);
  kb_buf_finish (&resident);
}

void
agt_record_revision (agt_agent_t *agent, uint64_t revision)
{
  if (revision <= agent->revision)
    return;
  agent->revision = revision;
  agent->revision_since_ms = tmr_now_ms ();
}

static void
on_hello (agt_agent_t *agent, kb_slice_t from, const msg_hello_t *hello)
{
  agt_peer_t *peer = agt_peer_find (agent, from);
  if (peer == NULL)
    {
      peer = peer_allocate (agent);
      *peer = (agt_peer_t){
        .id = kb_hash (from.ptr, from.len_bytes, 0),
      };
      kb_slice_copy (from, peer->name, sizeof peer->name);
      log_write (LOG_INFO, "member", "Entry %s connected.", peer->name);
    }
  else if (peer->incarnation != hello->incarnation)
    agt_run_cancel_peer (agent, peer->id);
  peer->incarnation = hello->incarnation;
  peer->last_contact_ms = tmr_now_ms ();
  agt_record_revision (agent, hello->revision);
  send_hello (agent, from);
  agt_quarantine_send (agent, peer);
}

static void
pong_fill (agt_agent_t *agent, uint64_t stamp_us, msg_t *msg)
{
  *msg = (msg_t){ .type = MSG_PONG };
  msg->pong = (msg_pong_t){ .stamp_us = stamp_us,
                            .revision = agent->revision,
                            .state = agt_reported_state (agent),
                            .queue_len = agent->queue.waiting,
                            .running = agent->queue.running,
                            .expected_wait_ms
                            = agt_expected_wait_ms (agent, SCH_CLASSES - 1),
                            .stall_us_total = agent->stall_us_total,
                            .fill_permille
                            = agent->fill_ticks == 0
                                  ? 0
                                  : agent->fill_sum * 1000 / agent->fill_ticks
                                        / agent->queue.options.max_batch };
}

static void
broadcast_state (agt_agent_t *agent)
{
  msg_t msg;
  pong_fill (agent, 0, &msg);
  for (uint32_t i = 0; i < agent->peer_count; i++)
    dmn_send (agent->daemon, agent->peers[i].name, &msg);
}

static void
on_ping (agt_agent_t *agent, kb_slice_t from, const msg_ping_t *ping)
{
  agt_record_revision (agent, ping->revision);
  if (ping->target_count > 0)
    agent->target_count = (uint32_t)ping->target_count;
  msg_t msg;
  pong_fill (agent, ping->stamp_us, &msg);
  lnk_link_send (&agent->daemon->link, from, &msg);
}

static void
on_recover (agt_agent_t *agent, kb_slice_t from, const msg_recover_t *recover)
{
  uint64_t epochs[CLM_SHARDS];
  if (recover->epochs.len_bytes != sizeof epochs)
    return;
  memcpy (epochs, recover->epochs.ptr, sizeof epochs);
  kb_buf_t records = { 0 };
  clm_runner_recover (&agent->claims, epochs, dmn_own_id (agent->daemon),
                      agent->daemon->incarnation, &records);
  msg_t msg = { .type = MSG_RECORDS };
  msg.records
      = (msg_records_t){ .id = recover->id,
                         .is_last = 1,
                         .purpose = MSG_RECORDS_REBUILD,
                         .memory_since_wall_ms = agent->memory_since_wall_ms,
                         .records = kb_buf_slice (&records) };
  lnk_link_send (&agent->daemon->link, from, &msg);
  kb_buf_finish (&records);
}

static void on_records (agt_agent_t *agent, const msg_records_t *records);

static void
link_on_message (lnk_link_t *link, kb_slice_t from, const msg_t *msg)
{
  agt_agent_t *agent = ((dmn_daemon_t *)link->owner)->role_state;
  agt_peer_t *peer = agt_peer_find (agent, from);
  if (peer != NULL)
    peer->last_contact_ms = tmr_now_ms ();
  switch (msg->type)
    {
    case MSG_HELLO:
      on_hello (agent, from, &msg->hello);
      break;
    case MSG_PING:
      on_ping (agent, from, &msg->ping);
      break;
    case MSG_DISPATCH:
      agt_run_accept (agent, from, &msg->dispatch);
      break;
    case MSG_CANCEL:
      agt_run_cancel (agent, msg->cancel.attempt);
      break;
    case MSG_REVOKE:
      agt_run_revoke (agent, from, &msg->revoke);
      break;
    case MSG_RECOVER:
      on_recover (agent, from, &msg->recover);
      break;
    case MSG_RECORDS:
      on_records (agent, &msg->records);
      break;
    case MSG_GATE_GRANT:
      agt_gate_on_grant (agent, msg->gate_grant.id);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
    }
}

/// Cancel the work of entries that are silent for PEER_TIMEOUT_MS, as nobody
/// waits for it.
static void
check_peers (agt_agent_t *agent, uint64_t now)
{
  for (uint32_t i = 0; i < agent->peer_count; i++)
    {
      agt_peer_t *peer = &agent->peers[i];
      if (peer->inflight == 0 || now - peer->last_contact_ms < PEER_TIMEOUT_MS)
        continue;
      log_write (LOG_WARN, "member",
                 "Entry %s timed out with %u requests in progress.",
                 peer->name, peer->inflight);
      agt_run_cancel_peer (agent, peer->id);
    }
}

static void
sample_fill (agt_agent_t *agent)
{
  if (agent->queue.running == 0 && agent->queue.waiting == 0)
    return;
  agent->fill_sum += agent->queue.running;
  agent->fill_ticks++;
}

static void
exit_now (void *arg)
{
  agt_agent_t *agent = arg;
  dmn_exit (agent->daemon,
            agent->queue.running == 0 ? DMN_EXIT_OK : DMN_EXIT_DRAIN_LIMIT);
}

static void
exit_after_flush (void *arg)
{
  agt_agent_t *agent = arg;
  tmr_start_once (&agent->daemon->timers, &agent->exit_timer, EXIT_FLUSH_MS,
                  exit_now, agent);
}

/// Send the claim records to entries, so that an owner that rebuilds its
/// claims within the claim window still receives them.
static void
hand_over_claims (agt_agent_t *agent)
{
  uint64_t epochs[CLM_SHARDS];
  for (uint32_t i = 0; i < CLM_SHARDS; i++)
    epochs[i] = 1;
  kb_buf_t records = { 0 };
  clm_runner_recover (&agent->claims, epochs, dmn_own_id (agent->daemon),
                      agent->daemon->incarnation, &records);
  msg_t msg = { .type = MSG_RECORDS };
  msg.records
      = (msg_records_t){ .is_last = 1,
                         .purpose = MSG_RECORDS_INHERIT,
                         .memory_since_wall_ms = agent->memory_since_wall_ms,
                         .records = kb_buf_slice (&records) };
  uint32_t sent = 0;
  for (uint32_t i = 0; i < agent->peer_count && sent < MAX_HANDOVER_ENTRIES;
       i++)
    if (dmn_send (agent->daemon, agent->peers[i].name, &msg) == KB_OK)
      sent++;
  kb_buf_finish (&records);
  // The roster may say "left" only after an entry has confirmed the records:
  // otherwise the next incarnation would claim a history that no process has.
  tmr_start_once (&agent->daemon->timers, &agent->exit_timer,
                  sent > 0 ? HANDOVER_TIMEOUT_MS : 0, exit_after_flush, agent);
}

static void
on_records (agt_agent_t *agent, const msg_records_t *records)
{
  if (records->purpose != MSG_RECORDS_INHERIT || !agent->is_handover_started
      || agent->is_handover_confirmed)
    return;
  agent->is_handover_confirmed = true;
  tmr_cancel (&agent->daemon->timers, &agent->exit_timer);
  agt_fence_leave (agent, exit_after_flush);
}

static void
check_drain (agt_agent_t *agent, uint64_t now)
{
  if (agent->state != MSG_STATE_LEAVING || agent->is_handover_started)
    return;
  uint64_t limit = (uint64_t)agent->daemon->settings.drain_limit_ms;
  bool is_late = now - agent->drain_started_ms > limit;
  if (agent->queue.running > 0 && !is_late)
    return;
  if (agent->queue.running > 0)
    log_write (LOG_ERROR, "daemon",
               "The drain limit is reached with %u requests running.",
               agent->queue.running);
  agent->is_handover_started = true;
  hand_over_claims (agent);
}

/// Report the state to entries at once, so that they send nothing new, and
/// return queued requests to them: another target can start them sooner.
static void
announce_leaving (agt_agent_t *agent)
{
  broadcast_state (agent);
  agt_run_refuse_all (agent, "the target takes nothing new");
}

/// Report to entries when the target stops or resumes accepting requests.
/// Otherwise they would spend their retry budget on a closed target.
static void
update_target_closed (agt_agent_t *agent)
{
  bool is_closed = agt_backpressure_is_closed (agent);
  if (is_closed == agent->is_target_closed)
    return;
  agent->is_target_closed = is_closed;
  log_write (LOG_INFO, "engine", "The target accepts %s.",
             is_closed ? "no new requests" : "requests again");
  if (is_closed)
    announce_leaving (agent);
  else
    broadcast_state (agent);
}

static void
tick (void *arg)
{
  agt_agent_t *agent = arg;
  uint64_t now = tmr_now_ms ();
  if (agent->last_tick_ms != 0
      && now - agent->last_tick_ms > STALL_THRESHOLD_MS
      && !agt_is_plain (agent))
    {
      log_write (LOG_WARN, "fence",
                 "The process stalled for %" PRIu64
                 " ms; checking ownership of the target.",
                 now - agent->last_tick_ms);
      agt_fence_check (agent);
    }
  agent->last_tick_ms = now;
  update_target_closed (agent);
  agt_run_expire (agent);
  agt_quarantine_refuse_blocked (agent);
  check_peers (agent, now);
  sample_fill (agent);
  if (++agent->ticks % CLAIM_EXPIRE_TICKS == 0)
    clm_runner_expire (&agent->claims, now);
  agt_schedule_work (agent);
  check_drain (agent, now);
}

static void
poll (void *arg)
{
  agt_engine_poll (arg);
}

static void
on_drain (dmn_daemon_t *daemon)
{
  agt_agent_t *agent = daemon->role_state;
  agent->state = MSG_STATE_LEAVING;
  agent->drain_started_ms = tmr_now_ms ();
  announce_leaving (agent);
}

static void
on_request (dmn_daemon_t *daemon, hts_request_t *request)
{
  dmn_reply_error (request, 404, "not_run", "an agent has no such page", 0);
}

static void
on_abort (dmn_daemon_t *daemon, hts_request_t *request)
{
}

static bool
is_ready (dmn_daemon_t *daemon)
{
  agt_agent_t *agent = daemon->role_state;
  return agent->is_engine_up && agent->is_reconciled;
}

static void
write_status (dmn_daemon_t *daemon, kb_buf_t *out)
{
  agt_agent_t *agent = daemon->role_state;
  msg_t pong;
  pong_fill (agent, 0, &pong);
  kb_buf_printf (
      out,
      ",\"service\":\"%s\",\"revision\":%" PRIu64 ",\"queue\":%" PRIu64
      ",\"running\":%" PRIu64 ",\"slots_used\":%u,\"slots\":%u,"
      "\"stall_ms_total\":%" PRIu64 ",\"step_fill\":%.3f,\"fence\":%" PRIu64
      ",\"registered\":%s,\"engine_up\":%s,\"attempts_remembered\":%u",
      daemon->settings.service, agent->revision, pong.pong.queue_len,
      pong.pong.running, agent->slots.len, agent->slots.cap,
      agent->stall_us_total / 1000, (double)pong.pong.fill_permille / 1000,
      agent->fence, agent->is_registered ? "true" : "false",
      agent->is_engine_up ? "true" : "false", agent->claims.by_attempt.len);
}

static const dmn_role_t agent_role
    = { on_request, on_abort, on_drain, is_ready, write_status };
static const lnk_events_t link_events = { link_on_message, NULL };

kb_status_t
agt_start (dmn_daemon_t *daemon, kb_error_t *error)
{
  static agt_agent_t agent;
  const set_settings_t *s = &daemon->settings;
  agent.daemon = daemon;
  agent.state = MSG_STATE_LIVE;
  kb_status_t status
      = dmn_init (daemon, &agent_role, &link_events, &agent, error);
  if (status != KB_OK)
    return status;
  slt_table_init (&agent.slots, (uint32_t)s->slots);
  sch_options_t options;
  sch_options_default (&options);
  options.max_batch = (uint32_t)s->max_batch;
  options.stall_weight = s->stall_weight;
  options.efficiency_weight = s->efficiency_weight;
  sch_queue_init (&agent.queue, &agent.slots, &options);
  clm_runner_init (&agent.claims, (uint32_t)s->claim_limit,
                   (uint64_t)s->claim_window_ms,
                   (uint64_t)s->answer_cache_bytes);
  lim_bucket_init (&agent.own_load_share, s->load_rate_per_s, 1,
                   tmr_now_ms ());
  eng_openai_init (&agent.engine, &daemon->http, s->target_address,
                   (uint16_t)s->target_port, s->target_order_token,
                   (uint64_t)s->load_timeout_ms);
  agt_fence_start (&agent);
  agt_engine_poll (&agent);
  tmr_start_periodic (&daemon->timers, &agent.tick, TICK_MS, tick, &agent);
  tmr_start_periodic (&daemon->timers, &agent.poll, POLL_MS, poll, &agent);
  return KB_OK;
}
