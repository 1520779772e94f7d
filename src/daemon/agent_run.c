/// @file agent_run.c
/// Attempts at the target: start, answer, end and cancellation.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/agent_defs.h"
#include "protocol/openai.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MAX_PART_BYTES = 262144,
  MAX_ANSWER_BYTES = 16 << 20,
  MAX_PENDING_STREAM_BYTES = 1 << 20,
  MAX_RERUNS = 3,
  REFUSAL_RETRY_MS = 1000,
  HTTP_NOT_FOUND = 404,
  US_PER_MS = 1000,
};

bool
agt_is_plain (const agt_agent_t *agent)
{
  return strcmp (agent->daemon->settings.target_kind, "plain") == 0;
}

uint64_t
agt_expected_wait_ms (const agt_agent_t *agent, uint8_t priority_class)
{
  uint64_t wait_ms = sch_expected_wait_ms (&agent->queue, priority_class,
                                           agent->mean_run_ms);
  uint64_t limit_ms = agt_backpressure_wait_ms (agent, priority_class);
  return wait_ms > limit_ms ? wait_ms : limit_ms;
}

void
agt_end_fill_load (const agt_agent_t *agent, uint64_t adapter, msg_end_t *end)
{
  slt_slot_t *slot
      = adapter == 0 ? NULL : slt_find ((slt_table_t *)&agent->slots, adapter);
  end->queue_len = agent->queue.waiting;
  end->running = agent->queue.running;
  end->expected_wait_ms = agt_expected_wait_ms (agent, SCH_CLASSES - 1);
  end->is_resident = slot != NULL && slot->state == SLT_RESIDENT;
  end->demand_permille = adapter == 0
                             ? 0
                             : sch_demand (&agent->queue, adapter) * 1000ULL
                                   / agent->queue.options.max_batch;
  end->revision = agent->revision;
  end->state = agt_reported_state (agent);
}

void
agt_count_outcome (msg_outcome_t outcome)
{
  switch (outcome)
    {
    case MSG_OUTCOME_DONE:
      MET_INC ("knapweedbay_attempts_total", "outcome=\"done\"");
      break;
    case MSG_OUTCOME_NOT_RUN:
      MET_INC ("knapweedbay_attempts_total", "outcome=\"not_run\"");
      break;
    case MSG_OUTCOME_RAN_FAILED:
      MET_INC ("knapweedbay_attempts_total", "outcome=\"ran_failed\"");
      break;
    default:
      MET_INC ("knapweedbay_attempts_total", "outcome=\"unknown\"");
    }
}

static void
send_part (agt_request_t *r, kb_slice_t data, bool is_first)
{
  msg_t msg = { .type = MSG_PART };
  msg.part
      = (msg_part_t){ .attempt = r->attempt,
                      .seq = r->seq++,
                      .http_status = is_first ? (uint64_t)r->http_status : 0,
                      .content_type
                      = kb_slice_str (is_first ? r->content_type : ""),
                      .data = data };
  dmn_send (r->agent->daemon, r->peer_name, &msg);
}

static void
send_parts (agt_request_t *r, kb_slice_t data)
{
  bool is_first = r->seq == 0;
  while (data.len_bytes > MAX_PART_BYTES)
    {
      send_part (r, (kb_slice_t){ data.ptr, MAX_PART_BYTES }, is_first);
      is_first = false;
      data.ptr += MAX_PART_BYTES;
      data.len_bytes -= MAX_PART_BYTES;
    }
  send_part (r, data, is_first);
}

static agt_peer_t *
peer_of (agt_request_t *r)
{
  for (uint32_t i = 0; i < r->agent->peer_count; i++)
    if (r->agent->peers[i].id == r->peer)
      return &r->agent->peers[i];
  return NULL;
}

static void
request_free (agt_request_t *r)
{
  agt_peer_t *peer = peer_of (r);
  if (peer != NULL && peer->inflight > 0)
    peer->inflight--;
  aln_block_ended (&r->agent->alone, &r->alone, tmr_now_ms ());
  aln_ended (&r->agent->alone, &r->alone);
  kb_map_remove (&r->agent->requests, r->attempt);
  kb_account_release (&r->agent->daemon->memory, r->copied_bytes);
  free (r->source);
  free (r->method);
  free (r->path);
  kb_buf_finish (&r->body);
  kb_buf_finish (&r->answer);
  kb_buf_finish (&r->sent_stream);
  free (r);
}

static void
export_spans (agt_request_t *r, uint64_t now_us, const char *outcome)
{
  uint64_t started = r->started_us != 0 ? r->started_us : now_us;
  trc_context_t queue = trc_make_child (&r->trace, dmn_random ());
  trc_export (&queue, "agent.queue", r->arrived_wall_us,
              started - r->arrived_us, outcome);
  if (r->load_us > 0)
    {
      trc_context_t load = trc_make_child (&queue, dmn_random ());
      trc_export (&load, "adapter.load", r->arrived_wall_us, r->load_us,
                  outcome);
    }
  if (r->started_us == 0)
    return;
  trc_context_t run = trc_make_child (&r->trace, dmn_random ());
  trc_export (&run, "engine.run",
              r->arrived_wall_us + (started - r->arrived_us), now_us - started,
              outcome);
}

/// @return  Whether the answer ended with its connection and its content does
///          not show whether it is whole.
static bool
is_unconfirmed (const agt_request_t *r)
{
  return r->is_close_delimited && (r->flags & MSG_FLAG_PLAIN) != 0;
}

/// Send the end message of an attempt and free it. The attempt must have been
/// removed from the queue.
static void
request_end (agt_request_t *r, msg_outcome_t outcome, const char *reason,
             uint64_t retry_after_ms)
{
  static const char *const names[]
      = { "", "done", "not_run", "ran_failed", "unknown" };
  agt_agent_t *agent = r->agent;
  uint64_t now_us = tmr_now_us ();
  static const clm_run_state_t run_states[]
      = { 0, CLM_RUN_DONE, CLM_RUN_VOIDED, CLM_RUN_FAILED, CLM_RUN_FAILED };
  clm_runner_set_state (&agent->claims, r->attempt, run_states[outcome],
                        tmr_now_ms ());
  msg_t msg = { .type = MSG_END };
  msg.end = (msg_end_t){ .attempt = r->attempt,
                         .seq = r->seq,
                         .outcome = outcome,
                         .http_status = (uint64_t)r->http_status,
                         .retry_after_ms = retry_after_ms,
                         .queue_us = (r->started_us ? r->started_us : now_us)
                                     - r->arrived_us,
                         .load_us = r->load_us,
                         .run_us = r->started_us ? now_us - r->started_us : 0,
                         .version = r->version,
                         .is_unconfirmed = is_unconfirmed (r),
                         .adapter = kb_slice_str (r->model),
                         .reason = kb_slice_str (reason) };
  agt_end_fill_load (agent, r->item.adapter, &msg.end);
  dmn_send (agent->daemon, r->peer_name, &msg);
  agt_count_outcome (outcome);
  export_spans (r, now_us, names[outcome]);
  request_free (r);
}

void
agt_run_refuse (agt_request_t *r, const char *reason, uint64_t retry_after_ms)
{
  sch_remove (&r->agent->queue, &r->item);
  request_end (r, MSG_OUTCOME_NOT_RUN, reason, retry_after_ms);
}

/// Add the time spent waiting for the adapter's load to the totals.
static void
request_stop_stall (agt_request_t *r, uint64_t now_us)
{
  if (r->not_resident_since_us == 0)
    return;
  r->load_us += now_us - r->not_resident_since_us;
  r->agent->stall_us_total += now_us - r->not_resident_since_us;
  r->not_resident_since_us = 0;
}

static void
run_record_end (agt_request_t *r)
{
  agt_agent_t *agent = r->agent;
  uint64_t now_us = tmr_now_us ();
  r->run = NULL;
  sch_end_run (&agent->queue, &r->item, now_us);
  double duration_ms = (double)(now_us - r->started_us) / 1000;
  agent->mean_run_ms = agent->mean_run_ms * 0.9 + duration_ms * 0.1;
}

static void
run_on_head (void *arg, const eng_head_t *head)
{
  agt_request_t *r = arg;
  r->http_status = head->http_status;
  r->is_close_delimited = head->is_close_delimited;
  kb_slice_copy (head->content_type, r->content_type, sizeof r->content_type);
  agt_backpressure_apply_head (r, head);
}

static bool
is_stream_answer (const agt_request_t *r)
{
  return (r->flags & MSG_FLAG_STREAM) != 0 && r->http_status == 200
         && strncmp (r->content_type, "text/event-stream", 17) == 0;
}

/// Check one event of a stream. A data event is the end mark or a chunk, which
/// must name the requested adapter and version.
static bool
is_event_valid (agt_request_t *r, kb_slice_t event)
{
  const char prefix[] = "data:";
  if (event.len_bytes < sizeof prefix - 1
      || memcmp (event.ptr, prefix, sizeof prefix - 1) != 0)
    return true; // An SSE comment or another field.
  event.ptr += sizeof prefix - 1;
  event.len_bytes -= sizeof prefix - 1;
  while (event.len_bytes > 0 && event.ptr[0] == ' ')
    {
      event.ptr++;
      event.len_bytes--;
    }
  if (kb_slice_equal (event, kb_slice_str ("[DONE]")))
    {
      r->has_end_mark = true;
      return true;
    }
  return oai_answer_check (event, r->model) == KB_OK;
}

/// Forward the events that have arrived completely.
static void
stream_forward (agt_request_t *r)
{
  size_t forwarded_bytes = 0;
  while (!r->is_wrong_model)
    {
      char *start = r->answer.ptr + forwarded_bytes;
      size_t left = r->answer.len_bytes - forwarded_bytes;
      char *end = left > 1 ? memmem (start, left, "\n\n", 2) : NULL;
      if (end == NULL)
        break;
      if (!is_event_valid (r, (kb_slice_t){ start, (uint32_t)(end - start) }))
        {
          r->is_wrong_model = true;
          break;
        }
      forwarded_bytes += (size_t)(end - start) + 2;
    }
  if (forwarded_bytes == 0)
    return;
  kb_slice_t ready = { r->answer.ptr, (uint32_t)forwarded_bytes };
  if (r->claim_key != 0
      && r->sent_stream.len_bytes + forwarded_bytes <= MAX_ANSWER_BYTES)
    kb_buf_append (&r->sent_stream, ready.ptr, forwarded_bytes);
  send_parts (r, ready);
  kb_buf_consume (&r->answer, forwarded_bytes);
}

static void
run_fail (agt_request_t *r, msg_outcome_t outcome, const char *reason)
{
  agt_agent_t *agent = r->agent;
  run_record_end (r);
  request_end (r, outcome, reason, 0);
  agt_schedule_work (agent);
}

static void
run_end_unusable (agt_request_t *r, end_kind_t end, const char *reason)
{
  r->agent->engine.vtable->cancel (&r->agent->engine, r->run);
  agt_quarantine_record_end (r, end);
  run_fail (r, MSG_OUTCOME_RAN_FAILED, reason);
}

static void
agent_relieve_memory (const agt_agent_t *agent)
{
  agt_request_t *r;
  while ((r = agt_memory_find_excess (agent)) != NULL)
    run_end_unusable (r, END_OVERSIZED, "the agent is short of memory");
}

static void
run_on_body (void *arg, kb_slice_t bytes)
{
  agt_request_t *r = arg;
  if (r->first_byte_ms == 0)
    {
      r->first_byte_ms = tmr_now_ms ();
      aln_first_byte (&r->agent->alone, &r->alone, r->first_byte_ms);
    }
  kb_buf_append (&r->answer, bytes.ptr, bytes.len_bytes);
  size_t limit = MAX_ANSWER_BYTES;
  if (is_stream_answer (r))
    {
      stream_forward (r);
      limit = MAX_PENDING_STREAM_BYTES;
    }
  agt_agent_t *agent = r->agent;
  if (r->is_wrong_model)
    run_end_unusable (r, END_WRONG_ANSWER,
                      "the engine answered for another model");
  else if (r->answer.len_bytes > limit)
    run_end_unusable (r, END_OVERSIZED, "the answer is too large");
  else
    agent_relieve_memory (agent);
}

/// The engine does not know an adapter that the slot table lists as resident,
/// so it has restarted without its adapters. Its protocol refuses such a
/// request before running any of it, so it is safe to queue the request again
/// and reload the adapter.
static void
requeue_after_cold_start (agt_request_t *r)
{
  agt_agent_t *agent = r->agent;
  run_record_end (r);
  aln_block_ended (&agent->alone, &r->alone, tmr_now_ms ());
  aln_ended (&agent->alone, &r->alone);
  slt_slot_t *slot = slt_find (&agent->slots, r->item.adapter);
  if (slot != NULL && slot->pins == 0 && slot->state == SLT_RESIDENT)
    slt_forget (&agent->slots, r->item.adapter);
  MET_INC ("knapweedbay_cold_reruns_total", "");
  r->reruns++;
  r->started_us = 0;
  r->http_status = 0;
  kb_buf_clear (&r->answer);
  r->not_resident_since_us = tmr_now_us ();
  sch_add (&agent->queue, &r->item);
  agt_engine_poll (agent);
  agt_schedule_work (agent);
}

static void
run_finish_stream (agt_request_t *r)
{
  agt_agent_t *agent = r->agent;
  if (!r->has_end_mark || r->answer.len_bytes > 0)
    {
      agt_quarantine_record_end (r, END_CUT);
      run_fail (r, MSG_OUTCOME_RAN_FAILED, "the engine cut its stream");
      return;
    }
  run_record_end (r);
  if (r->claim_key != 0)
    clm_runner_cache_answer (&agent->claims, r->attempt, r->content_type,
                             kb_buf_slice (&r->sent_stream));
  request_end (r, MSG_OUTCOME_DONE, "", 0);
  agt_schedule_work (agent);
}

static void
run_finish_unary (agt_request_t *r)
{
  agt_agent_t *agent = r->agent;
  kb_slice_t answer = kb_buf_slice (&r->answer);
  bool is_model_answer
      = (r->flags & MSG_FLAG_PLAIN) == 0 && r->http_status == 200;
  if (is_model_answer && oai_answer_check (answer, r->model) != KB_OK)
    {
      agt_quarantine_record_end (r, r->is_close_delimited ? END_CUT
                                                          : END_WRONG_ANSWER);
      run_fail (r, MSG_OUTCOME_RAN_FAILED,
                "the engine's answer is cut or names another model");
      return;
    }
  run_record_end (r);
  send_parts (r, answer);
  if (r->claim_key != 0 && r->http_status == 200)
    clm_runner_cache_answer (&agent->claims, r->attempt, r->content_type,
                             answer);
  bool is_done = r->http_status < 500;
  agt_quarantine_record_end (r, !is_done             ? END_FAILED
                                : is_unconfirmed (r) ? END_CLOSED
                                                     : END_ANSWERED);
  request_end (r, is_done ? MSG_OUTCOME_DONE : MSG_OUTCOME_RAN_FAILED,
               is_done ? "" : "the target answered with an error", 0);
  agt_schedule_work (agent);
}

/// End an attempt whose answer is not whole.
static void
run_handle_broken (agt_request_t *r, htc_end_t end)
{
  if (end == HTC_END_TIMEOUT)
    {
      agt_quarantine_record_end (r, END_SILENT);
      run_fail (r, MSG_OUTCOME_UNKNOWN, "the target is silent");
    }
  else if (end == HTC_END_SECOND)
    {
      agt_quarantine_record_end (r, END_SECOND);
      run_fail (r, MSG_OUTCOME_UNKNOWN, "the target answered twice");
    }
  else
    {
      agt_quarantine_record_end (r, END_RESET);
      run_fail (r, MSG_OUTCOME_UNKNOWN, "the connection to the target broke");
    }
}

static void
run_on_ending_checked (agt_request_t *r, bool is_whole)
{
  if (is_whole)
    {
      run_finish_unary (r);
      return;
    }
  agt_quarantine_record_end (r, END_CUT);
  run_fail (r, MSG_OUTCOME_UNKNOWN, "the target ended within its answer");
}

static void
run_on_end (void *arg, htc_end_t end)
{
  agt_request_t *r = arg;
  agt_agent_t *agent = r->agent;
  r->run = NULL;
  if (end == HTC_END_NOT_SENT)
    {
      agent->is_engine_up = false;
      agt_quarantine_record_target_end (agent);
      run_fail (r, MSG_OUTCOME_NOT_RUN, "the target refuses connections");
      return;
    }
  if (end != HTC_END_COMPLETE)
    {
      run_handle_broken (r, end);
      return;
    }
  bool is_unknown_model
      = r->http_status == HTTP_NOT_FOUND && (r->flags & MSG_FLAG_PLAIN) == 0;
  if (is_unknown_model && r->reruns < MAX_RERUNS)
    requeue_after_cold_start (r);
  else if (is_stream_answer (r))
    run_finish_stream (r);
  else if (!agt_ending_check (r, run_on_ending_checked))
    run_finish_unary (r);
}

static const eng_run_events_t run_events
    = { run_on_head, run_on_body, run_on_end };

void
agt_run_start (agt_agent_t *agent, agt_request_t *r)
{
  uint64_t now_us = tmr_now_us ();
  request_stop_stall (r, now_us);
  sch_begin_run (&agent->queue, &r->item, now_us);
  bkp_meter_start (&agent->meter, now_us / 1000);
  clm_runner_set_state (&agent->claims, r->attempt, CLM_RUN_STARTED,
                        tmr_now_ms ());
  r->started_us = now_us;
  r->first_byte_ms = 0;
  aln_started (&agent->alone, &r->alone, now_us / 1000);
  uint64_t idle_timeout_ms
      = (uint64_t)agent->daemon->settings.engine_idle_timeout_ms;
  uint64_t left_us
      = r->item.deadline_us > now_us ? r->item.deadline_us - now_us : 0;
  eng_run_request_t request
      = { .method = r->method,
          .path = r->path,
          .body = kb_buf_slice (&r->body),
          .traceparent = r->traceparent,
          .idle_timeout_ms = idle_timeout_ms,
          // What may not be repeated runs on for a resend of its caller.
          .total_timeout_ms = left_us / US_PER_MS + idle_timeout_ms };
  r->run
      = agent->engine.vtable->run (&agent->engine, &request, &run_events, r);
}

void
agt_run_cancel (agt_agent_t *agent, uint64_t attempt)
{
  agt_request_t *r = kb_map_get (&agent->requests, attempt);
  if (r == NULL)
    return;
  if (!r->item.is_running)
    {
      agt_run_refuse (r, "cancelled by the entry", 0);
      return;
    }
  // A non-idempotent request must not be stopped half done: it finishes, and
  // its outcome is stored for a resend.
  if ((r->flags & MSG_FLAG_IDEMPOTENT) == 0 || r->run == NULL)
    return;
  agent->engine.vtable->cancel (&agent->engine, r->run);
  agt_quarantine_record_end (r, END_CALLER_LEFT);
  run_fail (r, MSG_OUTCOME_RAN_FAILED, "cancelled by the entry");
}

void
agt_run_revoke (agt_agent_t *agent, kb_slice_t peer,
                const msg_revoke_t *revoke)
{
  msg_t msg = { .type = MSG_REVOKED };
  msg.revoked = (msg_revoked_t){ .attempt = revoke->attempt,
                                 .claim_key = revoke->claim_key };
  if (revoke->incarnation != agent->daemon->incarnation)
    {
      // The attempt was sent to a former incarnation; that this one does not
      // know it is no proof that it did not run.
      msg.revoked.state = MSG_REVOKED_OTHER_INCARNATION;
      lnk_link_send (&agent->daemon->link, peer, &msg);
      return;
    }
  switch (clm_runner_revoke (&agent->claims, revoke->attempt, tmr_now_ms ()))
    {
    case CLM_RUN_VOIDED:
      msg.revoked.state = MSG_REVOKED_VOIDED;
      break;
    case CLM_RUN_DONE:
      msg.revoked.state = MSG_REVOKED_DONE;
      break;
    case CLM_RUN_FAILED:
      msg.revoked.state = MSG_REVOKED_FAILED;
      break;
    default:
      msg.revoked.state = MSG_REVOKED_RUNNING;
    }
  lnk_link_send (&agent->daemon->link, peer, &msg);
}

void
agt_run_expire (agt_agent_t *agent)
{
  uint64_t now_us = tmr_now_us ();
  sch_item_t *item;
  while ((item = sch_first_expired (&agent->queue, now_us)) != NULL)
    agt_run_refuse ((agt_request_t *)item, "the deadline passed in the queue",
                    REFUSAL_RETRY_MS);
}

void
agt_run_refuse_all (agt_agent_t *agent, const char *reason)
{
  while (agent->queue.active != NULL)
    {
      sch_group_t *group = agent->queue.active;
      sch_item_t *first = NULL;
      for (int c = 0; c < SCH_CLASSES && first == NULL; c++)
        first = group->heads[c];
      // A refusal unlinks the item, which the analyzer does not see.
      // NOLINTNEXTLINE(clang-analyzer-unix.Malloc)
      agt_run_refuse ((agt_request_t *)first, reason, REFUSAL_RETRY_MS);
    }
}

void
agt_run_cancel_peer (agt_agent_t *agent, uint64_t peer)
{
  uint64_t attempts[64];
  uint32_t count;
  do
    {
      count = 0;
      uint32_t at = 0;
      agt_request_t *r;
      while (count < 64 && (r = kb_map_next (&agent->requests, &at)) != NULL)
        if (r->peer == peer
            && (!r->item.is_running
                || ((r->flags & MSG_FLAG_IDEMPOTENT) && r->run != NULL)))
          attempts[count++] = r->attempt;
      for (uint32_t i = 0; i < count; i++)
        agt_run_cancel (agent, attempts[i]);
    }
  while (count == 64);
}
