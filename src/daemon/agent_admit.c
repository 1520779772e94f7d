/// @file agent_admit.c
/// Admission of dispatched attempts: each is queued, or refused with the
/// outcome that is certain.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/agent_defs.h"
#include "transport/metrics.h"

enum
{
  STALE_REVISION_GRACE_MS = 3000,
  REFUSAL_RETRY_MS = 1000,
};

/// Refuse an attempt that was not queued.
static void
refuse_dispatch (agt_agent_t *agent, kb_slice_t peer,
                 const msg_dispatch_t *dispatch, const char *reason,
                 uint64_t retry_after_ms, msg_outcome_t outcome)
{
  msg_t msg = { .type = MSG_END };
  msg.end = (msg_end_t){ .attempt = dispatch->attempt,
                         .outcome = outcome,
                         .retry_after_ms = retry_after_ms,
                         .reason = kb_slice_str (reason),
                         .version = dispatch->version,
                         .adapter = dispatch->adapter };
  agt_end_fill_load (agent, 0, &msg.end);
  lnk_link_send (&agent->daemon->link, peer, &msg);
  agt_count_outcome (outcome);
}

static void
copy_parts (kb_slice_t packed, prt_list_t *out)
{
  out->count = packed.len_bytes / (uint32_t)sizeof *out->keys;
  if (out->count > PRT_MAX_PARTS)
    out->count = PRT_MAX_PARTS;
  if (out->count > 0)
    memcpy (out->keys, packed.ptr, out->count * sizeof *out->keys);
}

static agt_request_t *
request_new (agt_agent_t *agent, agt_peer_t *peer,
             const msg_dispatch_t *dispatch)
{
  agt_request_t *r = kb_alloc (sizeof *r);
  uint64_t now_us = tmr_now_us ();
  r->agent = agent;
  r->attempt = dispatch->attempt;
  r->claim_key = dispatch->claim_key;
  r->flags = dispatch->flags;
  r->peer = peer->id;
  snprintf (r->peer_name, sizeof r->peer_name, "%s", peer->name);
  r->version = dispatch->version;
  r->fingerprint = dispatch->fingerprint;
  copy_parts (dispatch->parts, &r->parts);
  r->alone.is_alone = (dispatch->flags & MSG_FLAG_ALONE) != 0;
  r->alone.patience = qrt_patience (&agent->quarantine, r->fingerprint);
  if ((dispatch->flags & MSG_FLAG_PLAIN) == 0)
    snprintf (r->model, sizeof r->model, "%.*s@%" PRIu64,
              (int)dispatch->adapter.len_bytes, dispatch->adapter.ptr,
              dispatch->version);
  r->source = kb_slice_dup (dispatch->source);
  r->method = kb_slice_dup (dispatch->method);
  r->path = kb_slice_dup (dispatch->path);
  kb_buf_set_account (&r->body, &agent->daemon->memory);
  kb_buf_set_account (&r->answer, &agent->daemon->memory);
  kb_buf_set_account (&r->sent_stream, &agent->daemon->memory);
  kb_buf_append (&r->body, dispatch->body.ptr, dispatch->body.len_bytes);
  r->copied_bytes = r->body.len_bytes;
  kb_account_charge (&agent->daemon->memory, r->copied_bytes);
  uint64_t random[2] = { dmn_random (), dmn_random () };
  r->trace = trc_begin (dispatch->traceparent, random);
  trc_format_traceparent (&r->trace, r->traceparent);
  r->arrived_us = now_us;
  r->arrived_wall_us = tmr_wall_ms () * 1000;
  r->item = (sch_item_t){
    .adapter
    = r->model[0] == '\0' ? 0 : kb_hash (r->model, strlen (r->model), 0) | 1,
    .workspace
    = kb_hash (dispatch->workspace.ptr, dispatch->workspace.len_bytes, 0),
    .priority_class = (uint8_t)(dispatch->priority_class < SCH_CLASSES
                                    ? dispatch->priority_class
                                    : SCH_CLASSES - 1),
    .weight = (uint32_t)dispatch->weight,
    .cost = (uint32_t)dispatch->max_tokens,
    .enqueued_us = now_us,
    .deadline_us = now_us + dispatch->deadline_ms * 1000
  };
  peer->inflight++;
  kb_map_put (&agent->requests, r->attempt, r);
  return r;
}

/// Send the stored answer of a claim key that ran here.
static void
send_stored_answer (agt_agent_t *agent, kb_slice_t peer,
                    const msg_dispatch_t *dispatch)
{
  clm_run_t *run = clm_runner_find_key (&agent->claims, dispatch->claim_key);
  if (run == NULL || run->state != CLM_RUN_DONE || run->answer == NULL)
    {
      refuse_dispatch (agent, peer, dispatch, "the answer is no longer kept",
                       0, MSG_OUTCOME_RAN_FAILED);
      return;
    }
  msg_t msg = { .type = MSG_PART };
  msg.part = (msg_part_t){ .attempt = dispatch->attempt,
                           .http_status = 200,
                           .content_type = kb_slice_str (run->content_type),
                           .data = { run->answer, run->answer_bytes } };
  lnk_link_send (&agent->daemon->link, peer, &msg);
  msg = (msg_t){ .type = MSG_END };
  msg.end = (msg_end_t){ .attempt = dispatch->attempt,
                         .seq = 1,
                         .outcome = MSG_OUTCOME_DONE,
                         .http_status = 200,
                         .version = dispatch->version,
                         .adapter = dispatch->adapter,
                         .reason = kb_slice_str ("kept answer") };
  agt_end_fill_load (agent, 0, &msg.end);
  lnk_link_send (&agent->daemon->link, peer, &msg);
}

/// @return  The last queued request of the worst class below the given one, or
///          NULL.
static agt_request_t *
find_lower_class (agt_agent_t *agent, uint64_t priority_class)
{
  for (int c = SCH_CLASSES - 1; c > (int)priority_class; c--)
    {
      if (agent->queue.waiting_by_class[c] == 0)
        continue;
      for (sch_group_t *g = agent->queue.active; g != NULL; g = g->next)
        if (g->tails[c] != NULL)
          return (agt_request_t *)g->tails[c];
    }
  return NULL;
}

/// @param retry_after_ms  Receives the wait to report with a refusal.
/// @return                Why the attempt is refused, or NULL.
static const char *
admission_refusal (agt_agent_t *agent, const msg_dispatch_t *dispatch,
                   uint64_t *retry_after_ms)
{
  *retry_after_ms = REFUSAL_RETRY_MS;
  uint64_t pause_ms = agt_backpressure_pause_ms (agent);
  if (pause_ms > 0)
    {
      *retry_after_ms = pause_ms;
      return "the target asks for a pause";
    }
  if (agt_reported_state (agent) == MSG_STATE_LEAVING)
    return "the target is leaving";
  if (!agent->is_engine_up)
    return "the target does not answer";
  // A partitioned entry keeps dispatching by an old configuration. It is
  // accepted for the time that a change may take to reach all entries.
  if (dispatch->revision < agent->revision
      && tmr_now_ms () - agent->revision_since_ms > STALE_REVISION_GRACE_MS)
    return "the entry's configuration is stale";
  // A copy of the body is sent to the target.
  if (!dmn_has_memory (agent->daemon, 2 * (size_t)dispatch->body.len_bytes))
    return "the agent is short of memory";
  if (agent->queue.waiting >= (uint32_t)agent->daemon->settings.queue_limit)
    {
      agt_request_t *displaced
          = find_lower_class (agent, dispatch->priority_class);
      if (displaced == NULL)
        {
          *retry_after_ms = agt_expected_wait_ms (
              agent, (uint8_t)dispatch->priority_class);
          return "the queue is full";
        }
      agt_run_refuse (displaced, "the queue is full of better classes",
                      agt_expected_wait_ms (agent, SCH_CLASSES - 1));
    }
  return NULL;
}

static const char *
claim_refusal (clm_admit_t admit)
{
  switch (admit)
    {
    case CLM_ADMIT_VOIDED:
      return "the attempt was revoked";
    case CLM_ADMIT_STALE_EPOCH:
      return "the grant is of a former owner";
    case CLM_ADMIT_FULL:
      return "too many attempts are remembered";
    default:
      return NULL;
    }
}

void
agt_run_accept (agt_agent_t *agent, kb_slice_t peer_name,
                const msg_dispatch_t *dispatch)
{
  agt_peer_t *peer = agt_peer_find (agent, peer_name);
  if (peer == NULL || dispatch->attempt == 0)
    {
      refuse_dispatch (agent, peer_name, dispatch, "say hello first",
                       REFUSAL_RETRY_MS, MSG_OUTCOME_NOT_RUN);
      return;
    }
  agt_record_revision (agent, dispatch->revision);
  if (dispatch->flags & MSG_FLAG_FETCH)
    {
      send_stored_answer (agent, peer_name, dispatch);
      return;
    }
  uint64_t retry_after_ms;
  const char *refusal = admission_refusal (agent, dispatch, &retry_after_ms);
  if (refusal != NULL)
    {
      refuse_dispatch (agent, peer_name, dispatch, refusal, retry_after_ms,
                       MSG_OUTCOME_NOT_RUN);
      return;
    }
  // A delayed grant may be dispatched after this target restarted. Its attempt
  // may have been voided at the former incarnation, or its key may have run
  // there; this incarnation has no record of either.
  if (dispatch->incarnation != agent->daemon->incarnation)
    {
      refuse_dispatch (agent, peer_name, dispatch, "the target was restarted",
                       0, MSG_OUTCOME_NOT_RUN);
      return;
    }
  if (dispatch->claim_key != 0 && !agent->is_registered)
    {
      // A new owner rebuilds its claims from the agents on the roster. Keyed
      // requests must not run at an agent that is not listed there, as its
      // claim records would be missing.
      refuse_dispatch (agent, peer_name, dispatch,
                       "the agent is not registered yet", REFUSAL_RETRY_MS,
                       MSG_OUTCOME_NOT_RUN);
      return;
    }
  clm_admit_t admit = clm_runner_admit (
      &agent->claims, dispatch->attempt, dispatch->claim_key,
      dispatch->claim_digest, dispatch->claim_epoch, tmr_now_ms ());
  if (admit == CLM_ADMIT_ALREADY)
    {
      MET_INC ("knapweedbay_duplicates_stopped_total", "");
      refuse_dispatch (agent, peer_name, dispatch,
                       "this key or attempt ran here", 0, MSG_OUTCOME_UNKNOWN);
      return;
    }
  if (admit != CLM_ADMIT_OK)
    {
      refuse_dispatch (agent, peer_name, dispatch, claim_refusal (admit),
                       REFUSAL_RETRY_MS, MSG_OUTCOME_NOT_RUN);
      return;
    }
  agt_request_t *r = request_new (agent, peer, dispatch);
  if (r->item.adapter != 0)
    agt_model_register (agent, r->model);
  slt_slot_t *slot = r->item.adapter == 0
                         ? NULL
                         : slt_find (&agent->slots, r->item.adapter);
  bool is_resident = slot != NULL && slot->state == SLT_RESIDENT;
  if (r->item.adapter != 0 && !is_resident)
    r->not_resident_since_us = r->arrived_us;
  sch_add (&agent->queue, &r->item);
  // Refuse now: at the deadline the caller would have no time left to try
  // another target.
  uint64_t wait_ms = agt_expected_wait_ms (agent, r->item.priority_class);
  if (wait_ms > dispatch->deadline_ms)
    {
      agt_run_refuse (r, "the deadline cannot be met", wait_ms);
      return;
    }
  agt_schedule_work (agent);
}
