/// @file agent_quarantine.c
/// Requests during which this agent's target ended
/// (coordination/quarantine.h): recorded when the runs break, and reported to
/// entries.
#include "coordination/replace.h"
#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Time between the break of a connection and the proof that the target has
  /// ended. An engine's list is requested at once; a plain target refuses the
  /// next connection.
  MAX_BREAK_TO_END_MS = 5000,
  /// A target that ends with a run has ended by then.
  PROBE_DELAY_MS = ALN_STARTUP_MS + 50,
};

/// @return  A non-zero hash, constant within an incarnation of the target.
static uint64_t
incarnation_hash (const agt_agent_t *agent)
{
  uint64_t own = dmn_own_id (agent->daemon);
  if (agt_is_plain (agent))
    return kb_hash (&own, sizeof own, agent->target_end_count) | 1;
  const char *incarnation = agent->engine_incarnation;
  return kb_hash (incarnation, strlen (incarnation), own) | 1;
}

/// Tell all entries that a request was served.
static void
send_confirmed (agt_agent_t *agent, uint64_t request)
{
  msg_t msg = { .type = MSG_RUN_CONFIRMED };
  msg.run_confirmed.request = request;
  for (uint32_t i = 0; i < agent->peer_count; i++)
    dmn_send (agent->daemon, agent->peers[i].name, &msg);
}

void
agt_quarantine_confirm_alive (agt_agent_t *agent, uint64_t alive_ms)
{
  for (uint32_t i = 0; i < AGT_MAX_BROKEN_RUNS; i++)
    {
      agt_broken_run_t *run = &agent->broken_runs[i];
      if (run->request == 0 || !run->is_unconfirmed
          || run->at_ms + ALN_STARTUP_MS > alive_ms)
        continue;
      if (run->is_served)
        send_confirmed (agent, run->request);
      run->request = 0;
    }
}

static void probe_start (agt_agent_t *agent);

static void
probe_on_result (prb_probe_t *connection, prb_result_t result)
{
  agt_probe_t *probe = (agt_probe_t *)connection;
  agt_agent_t *agent = probe->agent;
  probe->is_active = false;
  if (result == PRB_ACCEPTED)
    agt_quarantine_confirm_alive (agent, probe->began_ms);
  else if (result == PRB_REFUSED)
    agt_quarantine_record_target_end (agent);
  if (probe->is_wanted)
    probe_start (agent);
}

static const prb_events_t probe_events = { probe_on_result };

static void
probe_connect (void *arg)
{
  agt_agent_t *agent = arg;
  struct sockaddr_in address;
  uv_ip4_addr (agent->engine.address, agent->engine.port, &address);
  agent->probe.began_ms = tmr_now_ms ();
  prb_probe_start (&agent->probe.connection, &probe_events,
                   &agent->daemon->loop, &agent->daemon->timers, &address);
}

/// Find out whether a plain target lives on. An engine's list shows that.
static void
probe_start (agt_agent_t *agent)
{
  agt_probe_t *probe = &agent->probe;
  probe->is_wanted = probe->is_active;
  if (probe->is_active)
    return;
  probe->is_active = true;
  probe->agent = agent;
  tmr_start_once (&agent->daemon->timers, &probe->timer, PROBE_DELAY_MS,
                  probe_connect, agent);
}

/// Keep a run until it is known whether the target has ended.
static void
keep_run (agt_agent_t *agent, const agt_broken_run_t *run)
{
  rpl_entry_t entries[AGT_MAX_BROKEN_RUNS];
  agt_broken_run_t *kept = agent->broken_runs;
  for (uint32_t i = 0; i < AGT_MAX_BROKEN_RUNS; i++)
    entries[i]
        = (rpl_entry_t){ .caller = kept[i].caller,
                         .at_ms = kept[i].request == 0 ? 0 : kept[i].at_ms };
  rpl_entry_t added = { .caller = run->caller, .at_ms = run->at_ms };
  kept[rpl_choose (entries, AGT_MAX_BROKEN_RUNS, &added, MAX_BREAK_TO_END_MS)]
      = *run;
}

/// Record a run that may have ended the target.
/// @return  False: it had begun too long ago for that.
static bool
record_run (agt_request_t *r, end_proof_t proof)
{
  agt_agent_t *agent = r->agent;
  uint64_t now_ms = tmr_now_ms ();
  uint64_t since_begun_ms
      = r->first_byte_ms > 0 ? now_ms - r->first_byte_ms : 0;
  bool is_starting = since_begun_ms <= ALN_STARTUP_MS;
  if (!is_starting && (r->parts.count == 0 || since_begun_ms > PRT_STARTUP_MS))
    return false;
  agt_broken_run_t run = { .request = r->fingerprint,
                           .caller = r->item.workspace | 1,
                           .at_ms = now_ms,
                           .is_alone = aln_is_still_alone (&r->alone),
                           .is_unconfirmed = proof != END_SUSPECT,
                           .is_served = proof == END_SERVED_IF_ALIVE,
                           .is_starting = is_starting,
                           .parts = r->parts };
  keep_run (agent, &run);
  if (is_starting && r->first_byte_ms > 0)
    aln_broke_after_first_byte (&agent->alone);
  if (agt_is_plain (agent))
    probe_start (agent);
  return true;
}

void
agt_quarantine_record_end (agt_request_t *r, end_kind_t kind)
{
  agt_agent_t *agent = r->agent;
  end_proof_t proof = end_row (kind)->proof;
  if (proof == END_PROVES_NOTHING || proof == END_PROVES_SERVED)
    return;
  bool is_recorded = record_run (r, proof);
  if (proof == END_SERVED_IF_ALIVE)
    return;
  // The list is asked for once this start counts as broken.
  aln_block_ended (&agent->alone, &r->alone, tmr_now_ms ());
  aln_ended (&agent->alone, &r->alone);
  if (is_recorded || kind == END_RESET || kind == END_CUT)
    agt_engine_poll (agent);
}

void
agt_quarantine_send (agt_agent_t *agent, const agt_peer_t *peer)
{
  kb_buf_t packed = { 0 };
  qrt_expire (&agent->quarantine, tmr_now_ms ());
  qrt_pack_all (&agent->quarantine, tmr_now_ms (), &packed);
  msg_t msg = { .type = MSG_QUARANTINE };
  msg.quarantine.records = kb_buf_slice (&packed);
  if (packed.len_bytes > 0)
    dmn_send (agent->daemon, peer->name, &msg);
  kb_buf_finish (&packed);
}

/// Record a request and the parts of its prompt as suspects of the target's
/// end. Which parts were served is known to the entries.
/// @return  Whether one of these ends was not yet known.
static bool
add_suspect (agt_agent_t *agent, const agt_broken_run_t *run)
{
  uint64_t now_ms = tmr_now_ms ();
  qrt_end_t end = { .target = incarnation_hash (agent),
                    .caller = run->caller,
                    .is_alone = run->is_alone };
  bool is_new
      = run->is_starting
        && qrt_add_end (&agent->quarantine, run->request, &end, now_ms);
  end.is_alone = prt_proof_of (&run->parts, run->is_alone && run->is_starting);
  for (uint32_t i = 0; i < run->parts.count; i++)
    is_new = qrt_add_end (&agent->quarantine, run->parts.keys[i], &end, now_ms)
             || is_new;
  return is_new;
}

void
agt_quarantine_record_target_end (agt_agent_t *agent)
{
  uint64_t now_ms = tmr_now_ms ();
  bool has_new = false;
  for (uint32_t i = 0; i < AGT_MAX_BROKEN_RUNS; i++)
    {
      agt_broken_run_t *run = &agent->broken_runs[i];
      if (run->request != 0 && now_ms - run->at_ms <= MAX_BREAK_TO_END_MS)
        has_new = add_suspect (agent, run) || has_new;
      run->request = 0;
    }
  agent->target_end_count++;
  if (!has_new)
    return;
  MET_INC ("knapweedbay_targets_ended_total", "");
  log_write (LOG_WARN, "engine",
             "The target ended while requests were starting.");
  for (uint32_t i = 0; i < agent->peer_count; i++)
    agt_quarantine_send (agent, &agent->peers[i]);
}

/// @return  A queued request that must start alone and cannot, or NULL.
static agt_request_t *
find_blocked (const agt_agent_t *agent)
{
  uint32_t at = 0;
  for (agt_request_t *r = kb_map_next (&agent->requests, &at); r != NULL;
       r = kb_map_next (&agent->requests, &at))
    if (!r->item.is_running
        && aln_is_refused (&agent->alone, &r->alone, tmr_now_ms ()))
      return r;
  return NULL;
}

void
agt_quarantine_refuse_blocked (agt_agent_t *agent)
{
  for (agt_request_t *r = find_blocked (agent); r != NULL;
       r = find_blocked (agent))
    agt_run_refuse (r, "others begin at the target", 0);
}
