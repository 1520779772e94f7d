/// @file agent_quarantine.c
/// Requests under which this agent's target ended (coordination/quarantine.h):
/// who was beginning there, and what entries are told.
#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Between the break of a connection and the proof that the target has
  /// ended: its list is asked for at once; a plain target refuses the next
  /// request.
  EVIDENCE_MS = 5000,
};

/// @return  A hash of the target's present life, the same at every call.
static uint64_t
life_hash (const agt_agent_t *agent)
{
  uint64_t own = dmn_own_id (agent->daemon);
  if (agt_is_plain (agent))
    return kb_hash (&own, sizeof own, agent->end_count) | 1;
  const char *incarnation = agent->engine_incarnation;
  return kb_hash (incarnation, strlen (incarnation), own) | 1;
}

void
agt_quarantine_note_break (agt_request_t *r)
{
  agt_agent_t *agent = r->agent;
  uint64_t now_ms = tmr_now_ms ();
  if (r->begun_ms > 0 && now_ms - r->begun_ms > ALN_BEGUN_MS)
    return;
  agent->breaks[agent->break_count++ % AGT_MAX_BREAKS]
      = (agt_break_t){ .request = r->fingerprint,
                       .caller = r->item.workspace | 1,
                       .at_ms = now_ms,
                       .is_alone = r->alone.is_alone };
  agt_engine_poll (agent);
}

void
agt_quarantine_tell (agt_agent_t *agent, const agt_peer_t *peer)
{
  kb_buf_t words = { 0 };
  qrt_lapse (&agent->quarantine, tmr_now_ms ());
  qrt_pack_all (&agent->quarantine, tmr_now_ms (), &words);
  msg_t msg = { .type = MSG_QUARANTINE };
  msg.quarantine.records = kb_buf_slice (&words);
  if (words.len_bytes > 0)
    dmn_send (agent->daemon, peer->name, &msg);
  kb_buf_finish (&words);
}

/// @return  Whether anything was new.
static bool
suspect (agt_agent_t *agent, const agt_break_t *broken)
{
  qrt_end_t end = { .target = life_hash (agent),
                    .caller = broken->caller,
                    .is_alone = broken->is_alone };
  return qrt_note_end (&agent->quarantine, broken->request, &end,
                       tmr_now_ms ());
}

void
agt_quarantine_target_ended (agt_agent_t *agent)
{
  uint64_t now_ms = tmr_now_ms ();
  bool is_new = false;
  for (uint32_t i = 0; i < AGT_MAX_BREAKS; i++)
    {
      agt_break_t *broken = &agent->breaks[i];
      if (broken->request != 0 && now_ms - broken->at_ms <= EVIDENCE_MS)
        is_new = suspect (agent, broken) || is_new;
      broken->request = 0;
    }
  agent->end_count++;
  if (!is_new)
    return;
  MET_INC ("knapweedbay_targets_ended_total", "");
  log_write (LOG_WARN, "engine", "The target ended under requests.");
  for (uint32_t i = 0; i < agent->peer_count; i++)
    agt_quarantine_tell (agent, &agent->peers[i]);
}

/// @return  A request that waits, is to begin alone and can not; or NULL.
static agt_request_t *
find_refused (const agt_agent_t *agent)
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
agt_quarantine_expire (agt_agent_t *agent)
{
  for (agt_request_t *r = find_refused (agent); r != NULL;
       r = find_refused (agent))
    agt_run_refuse (r, "others begin at the target", 0);
}
