/// @file entry_request.c
/// Life cycle of a caller's request: choice of the target, claim, attempts,
/// outcome. Every path ends in exactly one answer to the caller.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  DEADLINE_GRACE_MS = 300, ///< Time for the agent to report the deadline.
  DEFAULT_RETRY_AFTER_MS = 1000,
  RUNNING_RETRY_AFTER_MS = 1000,
  MAX_ANSWER_BYTES = 16 << 20,
  MAX_STREAM_PENDING_BYTES = 4 << 20,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504,
};

void
ent_request_drop_attempt (ent_request_t *r)
{
  if (r->attempt != 0)
    kb_map_remove (&r->entry->requests_by_attempt, r->attempt);
  r->attempt = 0;
}

void
ent_request_release_vm (ent_request_t *r)
{
  if (r->vm != NULL && r->vm->inflight > 0)
    r->vm->inflight--;
  r->vm = NULL;
}

static void
request_free (ent_request_t *r)
{
  ent_entry_t *entry = r->entry;
  ent_request_drop_attempt (r);
  ent_request_release_vm (r);
  tmr_cancel (&entry->daemon->timers, &r->deadline_timer);
  tmr_cancel (&entry->daemon->timers, &r->claim_retry_timer);
  if (r->limits != NULL)
    r->limits->inflight--;
  if (r->prev != NULL)
    r->prev->next = r->next;
  else
    entry->requests = r->next;
  if (r->next != NULL)
    r->next->prev = r->prev;
  entry->request_count--;
  kb_account_release (&entry->daemon->memory, r->queued_bytes);
  free (r->source);
  free (r->method);
  free (r->path);
  kb_buf_finish (&r->body);
  kb_buf_finish (&r->answer);
  free (r);
}

static void
request_export_trace (ent_request_t *r, const char *outcome)
{
  uint64_t now_us = tmr_now_us ();
  if (r->first_dispatch_us != 0)
    {
      trc_context_t route = trc_make_child (&r->trace, dmn_random ());
      trc_export (&route, "entry.route", r->arrived_wall_us,
                  r->first_dispatch_us - r->arrived_us, outcome);
    }
  trc_export (&r->trace, "entry.receive", r->arrived_wall_us,
              now_us - r->arrived_us, outcome);
}

void
ent_request_fail (ent_request_t *r, int http_status, const char *outcome,
                  const char *message, uint64_t retry_after_ms)
{
  request_export_trace (r, outcome);
  if (r->http != NULL)
    {
      hts_request_t *http = r->http;
      r->http = NULL;
      // Part of the stream has been sent: the status can't be changed, and
      // text of another attempt would mix two answers. Aborting the stream
      // shows the caller's library that the answer is incomplete.
      if (r->is_stream_started)
        hts_stream_end (http, false);
      else
        dmn_reply_error (http, http_status, outcome, message, retry_after_ms);
    }
  request_free (r);
}

static void
request_fail_unknown (ent_request_t *r, const char *message)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"unknown\"");
  if (r->is_claimed)
    ent_claim_report_outcome (r, CLM_UNKNOWN);
  ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown", message, 0);
}

static void
request_fail_ran (ent_request_t *r, const char *message)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"ran_failed\"");
  if (r->is_claimed)
    ent_claim_report_outcome (r, CLM_FAILED);
  ent_request_fail (r, HTTP_BAD_GATEWAY, "ran_failed", message, 0);
}

void
ent_request_fail_not_run (ent_request_t *r, const char *message,
                          uint64_t retry_after_ms)
{
  // Only the last attempt did not run; an earlier one ran or may have run.
  if (r->earlier_outcome == MSG_OUTCOME_RAN_FAILED)
    {
      request_fail_ran (r, message);
      return;
    }
  if (r->earlier_outcome == MSG_OUTCOME_UNKNOWN)
    {
      request_fail_unknown (r, message);
      return;
    }
  MET_INC ("knapweedbay_requests_total", "outcome=\"not_run\"");
  if (r->is_claimed)
    ent_claim_report_outcome (r, CLM_RELEASED);
  ent_request_fail (r, HTTP_UNAVAILABLE, "not_run", message,
                    retry_after_ms > 0 ? retry_after_ms
                                       : DEFAULT_RETRY_AFTER_MS);
}

static bool
request_is_repeatable (const ent_request_t *r)
{
  return (r->flags & MSG_FLAG_IDEMPOTENT) != 0 && r->claim_key == 0
         && !r->is_stream_started;
}

/// @param found  How it was found out.
static void
request_log_caller_left (const ent_request_t *r, const char *found,
                         prs_presence_t presence)
{
  static const char *const steps[] = { [ENT_STAGE_CLAIMING] = "unsent",
                                       [ENT_STAGE_SENT] = "sent",
                                       [ENT_STAGE_REVOKING] = "revoke",
                                       [ENT_STAGE_FETCHING] = "fetch" };
  MET_INC ("knapweedbay_hangups_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "entry", "caller_left"))
    return;
  char trace[TRC_TRACEPARENT_BYTES];
  trc_format_traceparent (&r->trace, trace);
  log_text (&line, "trace", trace);
  log_text (&line, "step", steps[r->stage]);
  log_text (&line, "found", found);
  log_int (&line, "closed_ms", presence.closed_ms);
  log_int (&line, "sent_ms",
           r->sent_us == 0 ? -1
                           : (int64_t)((tmr_now_us () - r->sent_us) / 1000));
  log_int (&line, "sends", r->attempt_count);
  log_end (&line);
}

static void
send_cancel (ent_request_t *r)
{
  if (r->vm == NULL || r->attempt == 0 || r->stage != ENT_STAGE_SENT)
    return;
  msg_t msg = { .type = MSG_CANCEL };
  msg.cancel.attempt = r->attempt;
  dmn_send (r->entry->daemon, r->vm->name, &msg);
}

static void
on_deadline (void *arg)
{
  ent_request_t *r = arg;
  if (r->stage != ENT_STAGE_SENT)
    {
      if (r->stage == ENT_STAGE_CLAIMING && r->holder_attempt == 0)
        ent_request_fail_not_run (
            r, "the deadline passed before it was placed", 0);
      else
        ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                          "the earlier request with this key did not answer",
                          RUNNING_RETRY_AFTER_MS);
      return;
    }
  send_cancel (r);
  request_fail_unknown (r, "the deadline passed while it ran");
}

void
ent_request_end_at_drain_limit (ent_request_t *r)
{
  // A run without its caller ends by itself; its outcome is kept.
  if (r->http == NULL)
    return;
  if (r->stage == ENT_STAGE_CLAIMING && r->holder_attempt == 0)
    {
      ent_request_fail_not_run (r, "this entry is shutting down", 1);
      return;
    }
  if (request_is_repeatable (r))
    send_cancel (r);
  MET_INC ("knapweedbay_requests_total", "outcome=\"unknown\"");
  ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                    "this entry is shutting down", 0);
}

static bool
request_is_past_deadline (const ent_request_t *r)
{
  return tmr_now_ms () >= r->deadline_at_ms;
}

static void
exclude_target (ent_request_t *r)
{
  if (r->vm != NULL && r->vm->route != RT_NONE
      && r->excluded_count < ENT_MAX_ATTEMPTS)
    r->excluded_routes[r->excluded_count++] = r->vm->route;
}

void
ent_request_handle_not_run (ent_request_t *r, const char *reason,
                            uint64_t retry_after_ms)
{
  exclude_target (r);
  r->voided_attempt = r->attempt;
  ent_request_drop_attempt (r);
  ent_request_release_vm (r);
  snprintf (r->not_run_reason, sizeof r->not_run_reason, "%s", reason);
  r->retry_after_ms = retry_after_ms;
  // If the caller hung up or the deadline has passed, another attempt would
  // only take a place from other requests.
  if (r->http == NULL || request_is_past_deadline (r)
      || r->attempt_count >= ENT_MAX_ATTEMPTS
      || !lim_retry_take (&r->entry->retry_budget))
    {
      ent_request_fail_not_run (r, r->not_run_reason, retry_after_ms);
      return;
    }
  MET_INC ("knapweedbay_retries_total", "");
  ent_request_begin_attempt (r);
}

/// Only a repeatable request of which the caller has received nothing is
/// retried.
void
ent_request_handle_unknown (ent_request_t *r, const char *reason, bool has_run)
{
  // Whether a suspect has ended its target is known only later.
  bool can_retry = r->http != NULL && request_is_repeatable (r)
                   && !r->is_alone_attempt && !request_is_past_deadline (r)
                   && r->attempt_count < ENT_MAX_ATTEMPTS
                   && lim_retry_take (&r->entry->retry_budget);
  if (!can_retry)
    {
      if (has_run)
        request_fail_ran (r, reason);
      else
        request_fail_unknown (r, reason);
      return;
    }
  MET_INC ("knapweedbay_retries_total", "");
  if (r->earlier_outcome != MSG_OUTCOME_UNKNOWN)
    r->earlier_outcome
        = has_run ? MSG_OUTCOME_RAN_FAILED : MSG_OUTCOME_UNKNOWN;
  exclude_target (r);
  ent_request_drop_attempt (r);
  ent_request_release_vm (r);
  kb_buf_clear (&r->answer);
  r->next_seq = 0;
  r->has_gap = false;
  ent_request_begin_attempt (r);
}

/// @return  Size of the parts that an agent is to blame if its target ends;
///          none if the request is a suspect itself.
static uint32_t
blamable_parts_bytes (const ent_request_t *r)
{
  return r->is_suspect ? 0 : r->parts.count * (uint32_t)sizeof *r->parts.keys;
}

/// Check that the caller is still there, right before its request is sent.
/// @return  False: it has left, and the request was ended.
static bool
request_check_caller (ent_request_t *r)
{
  if (r->http == NULL)
    return true;
  prs_presence_t presence = hts_request_query_client (r->http);
  if (!presence.has_left)
    return true;
  request_log_caller_left (r, "asked", presence);
  if (r->stage == ENT_STAGE_FETCHING)
    ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown", "the caller left",
                      0);
  else
    ent_request_fail_not_run (r, "the caller left", 0);
  return false;
}

void
ent_request_dispatch (ent_request_t *r)
{
  if (!request_check_caller (r))
    return;
  ent_entry_t *entry = r->entry;
  uint64_t now = tmr_now_ms ();
  char parent[TRC_TRACEPARENT_BYTES];
  trc_format_traceparent (&r->trace, parent);
  msg_t msg = { .type = MSG_DISPATCH };
  msg.dispatch = (msg_dispatch_t){
    .attempt = r->attempt,
    .claim_key = r->claim_key,
    .claim_digest = r->claim_digest,
    .claim_epoch = r->epoch,
    .deadline_ms = r->deadline_at_ms > now ? r->deadline_at_ms - now : 1,
    .flags = r->flags | (r->stage == ENT_STAGE_FETCHING ? MSG_FLAG_FETCH : 0)
             | (r->is_alone_attempt ? MSG_FLAG_ALONE : 0),
    .priority_class = r->priority_class,
    .weight = r->weight,
    .revision = ent_config_revision (entry),
    .version = r->version,
    .max_tokens = r->max_tokens,
    .incarnation = r->vm_incarnation,
    .fingerprint = r->fingerprint,
    .parts = { (const char *)r->parts.keys, blamable_parts_bytes (r) },
    .workspace = kb_slice_str (r->workspace),
    .adapter = kb_slice_str (r->adapter),
    .source = kb_slice_str (r->source == NULL ? "" : r->source),
    .method = kb_slice_str (r->method),
    .path = kb_slice_str (r->path),
    .body = kb_buf_slice (&r->body),
    .traceparent = kb_slice_str (parent)
  };
  if (r->first_dispatch_us == 0)
    r->first_dispatch_us = tmr_now_us ();
  if (r->stage == ENT_STAGE_FETCHING)
    msg.dispatch.body = (kb_slice_t){ "", 0 };
  else
    r->stage = ENT_STAGE_SENT;
  if (dmn_send (entry->daemon, r->vm->name, &msg) != KB_OK)
    {
      mem_vm_record_disconnect (&r->vm->member);
      ent_vm_update_state (entry, r->vm);
      if (r->stage == ENT_STAGE_FETCHING)
        ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                          "the target that holds the answer is not reachable",
                          DEFAULT_RETRY_AFTER_MS);
      else
        ent_request_handle_not_run (r, "the target is not reachable", 0);
      return;
    }
  if (r->queued_bytes == 0)
    {
      r->queued_bytes = r->body.len_bytes;
      kb_account_charge (&entry->daemon->memory, r->queued_bytes);
    }
  r->sent_us = tmr_now_us ();
  if (r->vm->route != RT_NONE && r->stage == ENT_STAGE_SENT)
    rt_record_sent (&entry->routes, r->vm->route, r->adapter_id);
}

void
ent_request_begin_attempt (ent_request_t *r)
{
  ent_entry_t *entry = r->entry;
  uint64_t hold_ms = 0;
  qrt_verdict_t verdict = ent_quarantine_judge (r, &hold_ms);
  if (verdict == QRT_HELD)
    {
      MET_INC ("knapweedbay_requests_held_total", "");
      ent_request_fail_not_run (r, "targets ended under this request",
                                hold_ms);
      return;
    }
  prt_judgement_t parts = ent_parts_judge (r);
  if (parts.verdict == PRT_HELD || parts.verdict == PRT_WAIT)
    {
      MET_INC ("knapweedbay_requests_held_total", "");
      ent_request_fail_not_run (r, "targets ended under a part of the prompt",
                                parts.hold_ms);
      return;
    }
  bool is_trial = parts.verdict == PRT_TRIAL;
  r->is_suspect = verdict == QRT_ALONE;
  r->is_alone_attempt = r->is_suspect || is_trial;
  r->first_part_ms = 0;
  r->are_parts_served = false;
  uint16_t route
      = is_trial ? ent_parts_trial_route (r, parts.suspect)
                 : rt_choose (&entry->routes, r->service_id, r->adapter_id,
                              r->excluded_routes, r->excluded_count,
                              tmr_now_ms (), dmn_random ());
  if (route == RT_NONE)
    {
      ent_request_fail_not_run (
          r,
          r->not_run_reason[0] ? r->not_run_reason : "no target is available",
          r->retry_after_ms);
      return;
    }
  r->vm = kb_map_get (&entry->vms, entry->routes.targets[route].id);
  r->vm->inflight++;
  r->vm_incarnation = r->vm->member.incarnation;
  r->attempt = dmn_new_attempt_id (entry->daemon);
  r->attempt_count++;
  kb_map_put (&entry->requests_by_attempt, r->attempt, r);
  if (r->claim_key != 0)
    {
      r->stage = ENT_STAGE_CLAIMING;
      ent_claim_send (r);
      return;
    }
  ent_request_dispatch (r);
}

void
ent_request_start (ent_request_t *r)
{
  ent_entry_t *entry = r->entry;
  r->next = entry->requests;
  if (entry->requests != NULL)
    entry->requests->prev = r;
  entry->requests = r;
  entry->request_count++;
  lim_retry_record_first_attempt (&entry->retry_budget);
  uint64_t now = tmr_now_ms ();
  uint64_t remaining_ms
      = r->deadline_at_ms > now ? r->deadline_at_ms - now : 0;
  tmr_start_once (&entry->daemon->timers, &r->deadline_timer,
                  remaining_ms + DEADLINE_GRACE_MS, on_deadline, r);
  ent_request_begin_attempt (r);
}

void
ent_request_abort (ent_request_t *r)
{
  request_log_caller_left (r, "read", hts_request_query_client (r->http));
  r->http = NULL;
  if (r->stage == ENT_STAGE_SENT && !request_is_repeatable (r)
      && (r->claim_key != 0 || (r->flags & MSG_FLAG_IDEMPOTENT) == 0))
    return; // It runs to its end; the outcome is stored for a re-send.
  send_cancel (r);
  request_export_trace (r, "hangup");
  request_free (r);
}

static void
add_answer_headers (ent_request_t *r)
{
  if (r->model[0] != '\0')
    hts_response_header (r->http, "x-knapweedbay-model",
                         kb_slice_str (r->model));
  hts_response_header (r->http, "x-knapweedbay-outcome",
                       kb_slice_str ("done"));
  char parent[TRC_TRACEPARENT_BYTES];
  trc_format_traceparent (&r->trace, parent);
  hts_response_header (r->http, "traceparent", kb_slice_str (parent));
}

static bool
request_is_streaming (const ent_request_t *r)
{
  return (r->flags & MSG_FLAG_STREAM) != 0 && r->http_status == 200
         && strncmp (r->content_type, "text/event-stream", 17) == 0;
}

static void
deliver_stream (ent_request_t *r, kb_slice_t data)
{
  if (!r->is_stream_started)
    {
      r->is_stream_started = true;
      hts_response_header (r->http, "cache-control",
                           kb_slice_str ("no-cache"));
      add_answer_headers (r);
      hts_stream_begin (r->http, r->http_status, r->content_type);
    }
  hts_stream_write (r->http, data);
}

void
ent_request_on_part (ent_entry_t *entry, const msg_part_t *part)
{
  ent_request_t *r = kb_map_get (&entry->requests_by_attempt, part->attempt);
  if (r == NULL
      || (r->stage != ENT_STAGE_SENT && r->stage != ENT_STAGE_FETCHING))
    {
      // Late parts of an abandoned attempt must not reach a caller.
      MET_INC ("knapweedbay_stray_parts_total", "");
      return;
    }
  if (part->seq != r->next_seq)
    {
      MET_INC ("knapweedbay_part_gaps_total", "");
      r->has_gap = true;
      return;
    }
  r->next_seq++;
  ent_parts_record_progress (r);
  if (part->http_status != 0)
    {
      r->http_status = (int)part->http_status;
      kb_slice_copy (part->content_type, r->content_type,
                     sizeof r->content_type);
    }
  if (r->http == NULL || r->has_gap)
    return;
  const kb_account_t *memory = &entry->daemon->memory;
  if (!request_is_streaming (r))
    {
      if (r->answer.len_bytes + part->data.len_bytes <= MAX_ANSWER_BYTES
          && memory->held_bytes + part->data.len_bytes <= memory->limit_bytes)
        kb_buf_append (&r->answer, part->data.ptr, part->data.len_bytes);
      else
        r->has_gap = true;
      return;
    }
  deliver_stream (r, part->data);
  if (hts_stream_unsent_bytes (r->http) > MAX_STREAM_PENDING_BYTES)
    {
      MET_INC ("knapweedbay_slow_callers_total", "");
      send_cancel (r);
      request_fail_ran (r, "the caller reads too slowly");
    }
}

/// @param end  The end message of the attempt that answered.
static void
request_finish_done (ent_request_t *r, const msg_end_t *end)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"done\"");
  if (r->is_claimed)
    ent_claim_report_outcome (r, CLM_DONE);
  if (end->is_unconfirmed == 0)
    {
      ent_quarantine_mark_served (r);
      ent_parts_record_served (r);
    }
  request_export_trace (r, "done");
  hts_request_t *http = r->http;
  if (http != NULL && r->is_stream_started)
    hts_stream_end (http, true);
  else if (http != NULL)
    {
      add_answer_headers (r);
      hts_reply (http, r->http_status, r->content_type,
                 kb_buf_slice (&r->answer));
    }
  r->http = NULL;
  request_free (r);
}

static void
record_target_load (ent_entry_t *entry, ent_request_t *r, ent_vm_t *vm,
                    const msg_end_t *end)
{
  if (vm == NULL || vm->route == RT_NONE)
    return;
  uint64_t now = tmr_now_ms ();
  rt_record_load_report (&entry->routes, vm->route, (uint32_t)end->queue_len,
                         (uint32_t)end->running,
                         (uint32_t)end->expected_wait_ms, now);
  if (r != NULL && r->stage == ENT_STAGE_SENT
      && end->outcome != MSG_OUTCOME_NOT_RUN)
    rt_record_end (&entry->routes, vm->route, r->adapter_id,
                   end->is_resident != 0, (uint32_t)end->demand_permille, now);
  if (end->state == MSG_STATE_LEAVING)
    {
      vm->member.reported = MEM_REPORTED_LEAVING;
      ent_vm_update_state (entry, vm);
    }
}

/// Whether the adapter and version that answered are those of the request.
static bool
end_matches_request (const ent_request_t *r, const msg_end_t *end)
{
  if (r->model[0] == '\0' || r->stage == ENT_STAGE_FETCHING)
    return true;
  return end->version == r->version
         && kb_slice_equal (end->adapter, kb_slice_str (r->model));
}

void
ent_request_on_end (ent_entry_t *entry, kb_slice_t from, const msg_end_t *end)
{
  ent_request_t *r = kb_map_get (&entry->requests_by_attempt, end->attempt);
  record_target_load (entry, r, ent_vm_find (entry, from), end);
  ent_config_record_revision (entry, end->revision, (kb_slice_t){ "", 0 });
  if (r == NULL
      || (r->stage != ENT_STAGE_SENT && r->stage != ENT_STAGE_FETCHING))
    {
      MET_INC ("knapweedbay_stray_ends_total", "");
      return;
    }
  char reason[128];
  kb_slice_copy (end->reason, reason, sizeof reason);
  bool is_complete
      = !r->has_gap && end->seq == r->next_seq && end_matches_request (r, end);
  if (r->stage == ENT_STAGE_FETCHING)
    {
      if (end->outcome == MSG_OUTCOME_DONE && is_complete)
        request_finish_done (r, end);
      else
        ent_request_fail (r, 410, "done",
                          "it ran; its answer is no longer kept", 0);
      return;
    }
  switch (end->outcome)
    {
    case MSG_OUTCOME_DONE:
      if (is_complete)
        request_finish_done (r, end);
      else
        ent_request_handle_unknown (r, "part of the answer was lost", true);
      break;
    case MSG_OUTCOME_NOT_RUN:
      ent_request_handle_not_run (r, reason, end->retry_after_ms);
      break;
    case MSG_OUTCOME_RAN_FAILED:
      ent_request_handle_unknown (r, reason, true);
      break;
    default:
      ent_request_handle_unknown (r, reason, false);
    }
}

static ent_request_t *
find_request_at_vm (ent_entry_t *entry, const ent_vm_t *vm,
                    bool only_repeatable)
{
  for (ent_request_t *r = entry->requests; r != NULL; r = r->next)
    // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): see the caller.
    if (r->vm == vm && r->stage != ENT_STAGE_CLAIMING
        && (!only_repeatable
            || (r->stage == ENT_STAGE_SENT && request_is_repeatable (r))))
      return r;
  return NULL;
}

void
ent_requests_on_vm_lost (ent_entry_t *entry, ent_vm_t *vm, bool is_final)
{
  ent_request_t *r;
  // Each iteration either unlinks and frees the request or moves it to
  // another target; the analyzer doesn't track the unlinking.
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc)
  while ((r = find_request_at_vm (entry, vm, !is_final)) != NULL)
    {
      if (r->stage == ENT_STAGE_SENT)
        ent_request_handle_unknown (r, "the target was lost while it ran",
                                    false);
      else
        ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                          "the target of the earlier request was lost", 0);
    }
}

void
ent_requests_on_vm_reconnected (ent_entry_t *entry, ent_vm_t *vm)
{
  for (ent_request_t *r = entry->requests; r != NULL; r = r->next)
    {
      if (r->vm != vm || r->stage != ENT_STAGE_SENT)
        continue;
      // Messages on the lost connection may be lost in either direction. The
      // revocation resolves it: either the attempt didn't arrive and can no
      // longer run, or the agent reports its state.
      msg_t msg = { .type = MSG_REVOKE };
      msg.revoke = (msg_revoke_t){ .attempt = r->attempt,
                                   .claim_key = r->claim_key,
                                   .incarnation = r->vm_incarnation };
      dmn_send (entry->daemon, vm->name, &msg);
    }
}
