/// @file entry_request.c
/// The life of one caller's request: claim, choice of target, attempts,
/// outcome. Every path ends in exactly one answer to the caller.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  DEADLINE_GRACE_MS = 300, ///< For the agent's own word on the deadline.
  RETRY_DEFAULT_MS = 1000,
  RUNNING_RETRY_MS = 1000,
  ANSWER_MAX_BYTES = 16 << 20,
  STREAM_PENDING_MAX_BYTES = 4 << 20,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504,
};

void
ent_request_drop_attempt (ent_request_t *r)
{
  if (r->attempt != 0)
    kb_map_remove (&r->entry->by_attempt, r->attempt);
  r->attempt = 0;
}

void
ent_request_leave_vm (ent_request_t *r)
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
  ent_request_leave_vm (r);
  tmr_cancel (&entry->daemon->timers, &r->deadline);
  tmr_cancel (&entry->daemon->timers, &r->retry);
  if (r->limits != NULL)
    r->limits->inflight--;
  if (r->prev != NULL)
    r->prev->next = r->next;
  else
    entry->requests = r->next;
  if (r->next != NULL)
    r->next->prev = r->prev;
  entry->request_count--;
  free (r->source);
  free (r->method);
  free (r->path);
  kb_buf_finish (&r->body);
  kb_buf_finish (&r->answer);
  free (r);
}

static void
request_trace_end (ent_request_t *r, const char *outcome)
{
  uint64_t now_us = tmr_now_us ();
  if (r->first_sent_us != 0)
    {
      trc_context_t route = trc_child (&r->trace, dmn_random ());
      trc_export (&route, "entry.route", r->arrived_wall_us,
                  r->first_sent_us - r->arrived_us, outcome);
    }
  trc_export (&r->trace, "entry.receive", r->arrived_wall_us,
              now_us - r->arrived_us, outcome);
}

/// The final answer when there is no whole one.
void
ent_request_fail (ent_request_t *r, int http_status, const char *outcome,
                  const char *message, uint64_t retry_after_ms)
{
  request_trace_end (r, outcome);
  if (r->http != NULL)
    {
      hts_request_t *http = r->http;
      r->http = NULL;
      // Part of a stream is out: the status cannot be changed, and joining
      // another attempt's text to it would mix two answers. Cutting the
      // stream tells the caller's library that it is not whole.
      if (r->is_delivering)
        hts_stream_end (http, false);
      else
        dmn_reply_error (http, http_status, outcome, message, retry_after_ms);
    }
  request_free (r);
}

static void
fail_unknown (ent_request_t *r, const char *message)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"unknown\"");
  if (r->is_claimed)
    ent_claim_note (r, CLM_UNKNOWN);
  ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown", message, 0);
}

static void
fail_ran (ent_request_t *r, const char *message)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"ran_failed\"");
  if (r->is_claimed)
    ent_claim_note (r, CLM_FAILED);
  ent_request_fail (r, HTTP_BAD_GATEWAY, "ran_failed", message, 0);
}

void
ent_request_fail_not_run (ent_request_t *r, const char *message,
                          uint64_t retry_after_ms)
{
  // An earlier attempt ran or may have run. Only this last one did not.
  if (r->earlier == MSG_OUTCOME_RAN_FAILED)
    {
      fail_ran (r, message);
      return;
    }
  if (r->earlier == MSG_OUTCOME_UNKNOWN)
    {
      fail_unknown (r, message);
      return;
    }
  MET_INC ("knapweedbay_requests_total", "outcome=\"not_run\"");
  if (r->is_claimed)
    ent_claim_note (r, CLM_RELEASED);
  ent_request_fail (r, HTTP_UNAVAILABLE, "not_run", message,
                    retry_after_ms > 0 ? retry_after_ms : RETRY_DEFAULT_MS);
}

static bool
request_may_repeat (const ent_request_t *r)
{
  return (r->flags & MSG_FLAG_IDEMPOTENT) != 0 && r->claim_key == 0
         && !r->is_delivering;
}

static void
send_cancel (ent_request_t *r)
{
  if (r->vm == NULL || r->attempt == 0 || r->stage != ENT_SENT)
    return;
  msg_t msg = { .type = MSG_CANCEL };
  msg.cancel.attempt = r->attempt;
  dmn_send (r->entry->daemon, r->vm->name, &msg);
}

static void
deadline_passed (void *arg)
{
  ent_request_t *r = arg;
  if (r->stage != ENT_SENT)
    {
      if (r->stage == ENT_CLAIMING && r->holder_attempt == 0)
        ent_request_fail_not_run (
            r, "the deadline passed before it was placed", 0);
      else
        ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                          "the earlier request with this key did not answer",
                          RUNNING_RETRY_MS);
      return;
    }
  send_cancel (r);
  fail_unknown (r, "the deadline passed while it ran");
}

static bool
request_is_late (const ent_request_t *r)
{
  return tmr_now_ms () >= r->deadline_at_ms;
}

static void
exclude_target (ent_request_t *r)
{
  if (r->vm != NULL && r->vm->route != RT_NONE
      && r->excluded_count < ENT_MAX_TRIES)
    r->excluded[r->excluded_count++] = r->vm->route;
}

/// The attempt is over and certainly did not run: try elsewhere if that can
/// help, else tell the caller at once.
void
ent_request_after_not_run (ent_request_t *r, const char *reason,
                           uint64_t retry_after_ms)
{
  exclude_target (r);
  r->voided_attempt = r->attempt;
  ent_request_drop_attempt (r);
  ent_request_leave_vm (r);
  snprintf (r->reason, sizeof r->reason, "%s", reason);
  r->retry_after_ms = retry_after_ms;
  // Both callers that hung up and late requests end here: another attempt
  // would only cost others their place.
  if (r->http == NULL || request_is_late (r) || r->tries >= ENT_MAX_TRIES
      || !lim_retry_take (&r->entry->retries))
    {
      ent_request_fail_not_run (r, r->reason, retry_after_ms);
      return;
    }
  MET_INC ("knapweedbay_retries_total", "");
  ent_request_next (r);
}

/// The attempt may have run. Only work that may be repeated, and of which the
/// caller has seen nothing, is tried again.
void
ent_request_after_unknown (ent_request_t *r, const char *reason, bool ran)
{
  bool may_retry = r->http != NULL && request_may_repeat (r)
                   && !request_is_late (r) && r->tries < ENT_MAX_TRIES
                   && lim_retry_take (&r->entry->retries);
  if (!may_retry)
    {
      if (ran)
        fail_ran (r, reason);
      else
        fail_unknown (r, reason);
      return;
    }
  MET_INC ("knapweedbay_retries_total", "");
  if (r->earlier != MSG_OUTCOME_UNKNOWN)
    r->earlier = ran ? MSG_OUTCOME_RAN_FAILED : MSG_OUTCOME_UNKNOWN;
  exclude_target (r);
  ent_request_drop_attempt (r);
  ent_request_leave_vm (r);
  kb_buf_clear (&r->answer);
  r->next_seq = 0;
  r->is_gap = false;
  ent_request_next (r);
}

void
ent_request_dispatch (ent_request_t *r)
{
  ent_entry_t *entry = r->entry;
  uint64_t now = tmr_now_ms ();
  char parent[TRC_PARENT_BYTES];
  trc_write_parent (&r->trace, parent);
  msg_t msg = { .type = MSG_DISPATCH };
  msg.dispatch = (msg_dispatch_t){
    .attempt = r->attempt,
    .claim_key = r->claim_key,
    .claim_digest = r->claim_digest,
    .claim_epoch = r->epoch,
    .deadline_ms = r->deadline_at_ms > now ? r->deadline_at_ms - now : 1,
    .flags = r->flags | (r->stage == ENT_FETCHING ? MSG_FLAG_FETCH : 0)
             | (r->begins_alone ? MSG_FLAG_ALONE : 0),
    .priority_class = r->priority_class,
    .weight = r->weight,
    .revision = ent_revision (entry),
    .version = r->version,
    .max_tokens = r->max_tokens,
    .incarnation = r->vm_incarnation,
    .fingerprint = r->fingerprint,
    .workspace = kb_slice_str (r->workspace),
    .adapter = kb_slice_str (r->adapter),
    .source = kb_slice_str (r->source == NULL ? "" : r->source),
    .method = kb_slice_str (r->method),
    .path = kb_slice_str (r->path),
    .body = kb_buf_slice (&r->body),
    .traceparent = kb_slice_str (parent)
  };
  if (r->first_sent_us == 0)
    r->first_sent_us = tmr_now_us ();
  if (r->stage == ENT_FETCHING)
    msg.dispatch.body = (kb_slice_t){ "", 0 };
  else
    r->stage = ENT_SENT;
  if (dmn_send (entry->daemon, r->vm->name, &msg) != KB_OK)
    {
      mem_vm_note_disconnect (&r->vm->mem);
      ent_vm_update (entry, r->vm);
      if (r->stage == ENT_FETCHING)
        ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                          "the target that holds the answer is not reachable",
                          RETRY_DEFAULT_MS);
      else
        ent_request_after_not_run (r, "the target is not reachable", 0);
      return;
    }
  if (r->vm->route != RT_NONE && r->stage == ENT_SENT)
    rt_note_sent (&entry->routes, r->vm->route, r->adapter_id);
}

void
ent_request_next (ent_request_t *r)
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
  r->begins_alone = verdict == QRT_ALONE;
  uint16_t index
      = rt_choose (&entry->routes, r->service_id, r->adapter_id, r->excluded,
                   r->excluded_count, tmr_now_ms (), dmn_random ());
  if (index == RT_NONE)
    {
      ent_request_fail_not_run (
          r, r->reason[0] ? r->reason : "no target is available",
          r->retry_after_ms);
      return;
    }
  r->vm = kb_map_get (&entry->vms, entry->routes.targets[index].id);
  r->vm->inflight++;
  r->vm_incarnation = r->vm->mem.incarnation;
  r->attempt = dmn_attempt_id (entry->daemon);
  r->tries++;
  kb_map_put (&entry->by_attempt, r->attempt, r);
  if (r->claim_key != 0)
    {
      r->stage = ENT_CLAIMING;
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
  lim_retry_record_first_attempt (&entry->retries);
  uint64_t now = tmr_now_ms ();
  uint64_t left = r->deadline_at_ms > now ? r->deadline_at_ms - now : 0;
  tmr_after (&entry->daemon->timers, &r->deadline, left + DEADLINE_GRACE_MS,
             deadline_passed, r);
  ent_request_next (r);
}

void
ent_request_abort (ent_request_t *r)
{
  MET_INC ("knapweedbay_hangups_total", "");
  r->http = NULL;
  if (r->stage == ENT_SENT && !request_may_repeat (r)
      && (r->claim_key != 0 || (r->flags & MSG_FLAG_IDEMPOTENT) == 0))
    return; // It finishes, and its outcome is kept for a re-send.
  send_cancel (r);
  request_trace_end (r, "hangup");
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
  char parent[TRC_PARENT_BYTES];
  trc_write_parent (&r->trace, parent);
  hts_response_header (r->http, "traceparent", kb_slice_str (parent));
}

static bool
request_streams (const ent_request_t *r)
{
  return (r->flags & MSG_FLAG_STREAM) != 0 && r->http_status == 200
         && strncmp (r->content_type, "text/event-stream", 17) == 0;
}

static void
deliver_stream (ent_request_t *r, kb_slice_t data)
{
  if (!r->is_delivering)
    {
      r->is_delivering = true;
      hts_response_header (r->http, "cache-control",
                           kb_slice_str ("no-cache"));
      add_answer_headers (r);
      hts_stream_begin (r->http, r->http_status, r->content_type);
    }
  hts_stream_write (r->http, data);
}

void
ent_request_part (ent_entry_t *entry, const msg_part_t *part)
{
  ent_request_t *r = kb_map_get (&entry->by_attempt, part->attempt);
  if (r == NULL || (r->stage != ENT_SENT && r->stage != ENT_FETCHING))
    {
      // Late parts of an attempt that was given up must not reach a caller.
      MET_INC ("knapweedbay_stray_parts_total", "");
      return;
    }
  if (part->seq != r->next_seq)
    {
      MET_INC ("knapweedbay_part_gaps_total", "");
      r->is_gap = true;
      return;
    }
  r->next_seq++;
  if (part->http_status != 0)
    {
      r->http_status = (int)part->http_status;
      kb_slice_copy (part->content_type, r->content_type,
                     sizeof r->content_type);
    }
  if (r->http == NULL || r->is_gap)
    return;
  if (!request_streams (r))
    {
      if (r->answer.len_bytes + part->data.len_bytes <= ANSWER_MAX_BYTES)
        kb_buf_append (&r->answer, part->data.ptr, part->data.len_bytes);
      else
        r->is_gap = true;
      return;
    }
  deliver_stream (r, part->data);
  if (hts_stream_pending (r->http) > STREAM_PENDING_MAX_BYTES)
    {
      MET_INC ("knapweedbay_slow_callers_total", "");
      send_cancel (r);
      fail_ran (r, "the caller reads too slowly");
    }
}

static void
finish_done (ent_request_t *r)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"done\"");
  if (r->is_claimed)
    ent_claim_note (r, CLM_DONE);
  ent_quarantine_note_served (r);
  request_trace_end (r, "done");
  hts_request_t *http = r->http;
  if (http != NULL && r->is_delivering)
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
note_load (ent_entry_t *entry, ent_request_t *r, ent_vm_t *vm,
           const msg_end_t *end)
{
  if (vm == NULL || vm->route == RT_NONE)
    return;
  uint64_t now = tmr_now_ms ();
  rt_note_load (&entry->routes, vm->route, (uint32_t)end->queue_len,
                (uint32_t)end->running, (uint32_t)end->expected_wait_ms, now);
  if (r != NULL && r->stage == ENT_SENT && end->outcome != MSG_OUTCOME_NOT_RUN)
    rt_note_end (&entry->routes, vm->route, r->adapter_id,
                 end->is_resident != 0, (uint32_t)end->demand_permille, now);
  if (end->state == MSG_STATE_LEAVING)
    {
      vm->mem.says = MEM_SAYS_LEAVING;
      ent_vm_update (entry, vm);
    }
}

/// The adapter and version that answered must be the ones that were named.
static bool
end_names_request (const ent_request_t *r, const msg_end_t *end)
{
  if (r->model[0] == '\0' || r->stage == ENT_FETCHING)
    return true;
  return end->version == r->version
         && kb_slice_equal (end->adapter, kb_slice_str (r->model));
}

void
ent_request_end (ent_entry_t *entry, kb_slice_t from, const msg_end_t *end)
{
  ent_request_t *r = kb_map_get (&entry->by_attempt, end->attempt);
  note_load (entry, r, ent_vm_find (entry, from), end);
  ent_config_heard (entry, end->revision, (kb_slice_t){ "", 0 });
  if (r == NULL || (r->stage != ENT_SENT && r->stage != ENT_FETCHING))
    {
      MET_INC ("knapweedbay_stray_ends_total", "");
      return;
    }
  char reason[128];
  kb_slice_copy (end->reason, reason, sizeof reason);
  bool is_whole
      = !r->is_gap && end->seq == r->next_seq && end_names_request (r, end);
  if (r->stage == ENT_FETCHING)
    {
      if (end->outcome == MSG_OUTCOME_DONE && is_whole)
        finish_done (r);
      else
        ent_request_fail (r, 410, "done",
                          "it ran; its answer is no longer kept", 0);
      return;
    }
  switch (end->outcome)
    {
    case MSG_OUTCOME_DONE:
      if (is_whole)
        finish_done (r);
      else
        ent_request_after_unknown (r, "part of the answer was lost", true);
      break;
    case MSG_OUTCOME_NOT_RUN:
      ent_request_after_not_run (r, reason, end->retry_after_ms);
      break;
    case MSG_OUTCOME_RAN_FAILED:
      ent_request_after_unknown (r, reason, true);
      break;
    default:
      ent_request_after_unknown (r, reason, false);
    }
}

static ent_request_t *
first_at_vm (ent_entry_t *entry, const ent_vm_t *vm, bool only_repeatable)
{
  for (ent_request_t *r = entry->requests; r != NULL; r = r->next)
    // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): see the caller.
    if (r->vm == vm && r->stage != ENT_CLAIMING
        && (!only_repeatable
            || (r->stage == ENT_SENT && request_may_repeat (r))))
      return r;
  return NULL;
}

void
ent_request_vm_lost (ent_entry_t *entry, ent_vm_t *vm, bool is_final)
{
  ent_request_t *r;
  // Each round either frees the request and unlinks it, or moves it to
  // another target; the analyzer does not follow the unlinking.
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc)
  while ((r = first_at_vm (entry, vm, !is_final)) != NULL)
    {
      if (r->stage == ENT_SENT)
        ent_request_after_unknown (r, "the target was lost while it ran",
                                   false);
      else
        ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                          "the target of the earlier request was lost", 0);
    }
}

void
ent_request_vm_back (ent_entry_t *entry, ent_vm_t *vm)
{
  for (ent_request_t *r = entry->requests; r != NULL; r = r->next)
    {
      if (r->vm != vm || r->stage != ENT_SENT)
        continue;
      // Messages on the lost connection may be lost in either direction.
      // The revocation settles it: either the attempt never arrived and now
      // never will run, or the agent tells how far it is.
      msg_t msg = { .type = MSG_REVOKE };
      msg.revoke = (msg_revoke_t){ .attempt = r->attempt,
                                   .claim_key = r->claim_key,
                                   .incarnation = r->vm_incarnation };
      dmn_send (entry->daemon, vm->name, &msg);
    }
}
