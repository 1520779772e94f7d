/// @file gateway_answer.c
/// Attempts of a request at a target: sending it, relaying the answer, and
/// handling incomplete answers. Only complete events, or a complete body, that
/// certainly belong to this request are relayed, the events in their order.
#include <stdlib.h>

#include "gateway/gateway_ending.h"
#include "gateway/gateway_origin.h"
#include "gateway/gateway_refusal.h"
#include "gateway/gateway_scan.h"
#include "gateway/gateway_suspects.h"
#include "transport/log.h"
#include "transport/metrics.h"
#include "transport/sse.h"

enum
{
  HTTP_OK = 200,
  HTTP_REDIRECT = 300,
  HTTP_MISDIRECTED = 421,
  HTTP_SERVER_ERROR = 500,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504,
  CONNECT_TIMEOUT_MS = 400,
  /// A request that may not run twice uses a connection that was idle for no
  /// longer: a reset of an older one would leave open whether it ran.
  MAX_IDLE_NON_IDEMPOTENT_MS = 1000,
  /// Answers up to this size are relayed only once they are complete, so that
  /// a request whose answer breaks off can still be retried.
  MAX_BUFFERED_BYTES = 65536,
  /// Longest event of a stream; events are relayed whole.
  MAX_EVENT_BYTES = 131072,
  /// Unsent bytes to a slow caller above which reading from the target pauses.
  MAX_UNSENT_BYTES = 262144,
  /// Silence, in objectives, after which an attempt of a safe request is given
  /// up. The slowest tenth of a target's answers takes well under two.
  SILENCE_OBJECTIVES = 3,
  /// Maximum silence between two events of a resumable stream, unless its
  /// engine is known to be alive.
  MAX_STREAM_SILENCE_MS = 1200,
  /// Time reserved for a place at another engine and the first event from
  /// there; until then the gateway waits for the stream of a live engine.
  /// Engines past saturation pause streams for seconds; a stream that is cut
  /// for that finds the next engine equally loaded and is lost.
  RESUME_RESERVE_MS = 500,
  /// Interval at which a silent attempt that is not given up is looked at.
  RESUME_CHECK_MS = 100,
  /// Maximum silence before the first event of a resumable stream.
  FIRST_EVENT_SILENCE_MS = 2000,
  MAX_ENGINE_PRIORITY = 9,
  /// Minimum pause of a stream that is logged.
  MIN_LOGGED_GAP_MS = 300,
};

/// End a request that will not be retried: refuse it if it has certainly not
/// run, else fail it.
static void
request_give_up (gtw_request_t *r, const char *reason)
{
  if (r->execution_state == GTW_EXECUTION_NOT_RUN && !r->is_head_written)
    gtw_request_refuse (r, reason, r->retry_after_ms);
  else
    gtw_request_fail (r, HTTP_BAD_GATEWAY, reason);
}

/// Retry at another target if the request may run again.
static void
attempt_retry (gtw_request_t *r, const char *reason)
{
  gtw_request_exclude_target (r);
  gtw_request_release_target (r);
  kb_buf_finish (&r->pending_answer);
  r->scanned_bytes = 0;
  r->reason = reason;
  if (!r->is_head_written)
    kb_buf_clear (&r->head);
  bool may_run = r->execution_state == GTW_EXECUTION_NOT_RUN
                 || gtw_request_is_repeatable (r);
  if (!may_run
      || r->possible_runs
             >= r->max_attempts
                    + (r->execution_state == GTW_EXECUTION_NOT_RUN))
    {
      request_give_up (r, reason);
      return;
    }
  gtw_request_dispatch (r);
}

/// Handle an attempt without a usable answer.
static void
attempt_handle_broken (gtw_request_t *r, end_kind_t kind)
{
  const end_row_t *end = end_row (kind);
  gtw_quarantine_record_end (r, kind);
  gtw_log_attempt (r, "attempt_broken", end->name);
  gtw_target_record_result (r->gateway, r->target, false);
  if (end->may_have_run)
    r->execution_state = GTW_EXECUTION_UNKNOWN;
  else
    r->possible_runs--;
  // Whether a suspect has ended its target is known only later; a retry at
  // once would end the next one.
  if (end->may_have_run && gtw_quarantine_is_suspect_starting (r))
    {
      gtw_request_release_target (r);
      request_give_up (r, end->name);
      return;
    }
  attempt_retry (r, end->name);
}

static void attempt_on_silence (void *arg);

/// Extend the wait for the next event of a stream while its engine is known to
/// be alive, and either the caller's timeout leaves time to resume it
/// elsewhere later, or it can't be resumed: giving it up would only cut it.
/// @return  Whether the wait was extended.
static bool
wait_for_live_engine (gtw_request_t *r)
{
  if (!r->has_event || !gtw_target_is_alive (r->gateway, r->target))
    return false;
  uint64_t now_ms = gtw_now_ms (r->gateway);
  uint64_t end_ms = gtw_request_caller_timeout_ms (r, r->relayed_ms);
  uint64_t left_ms = gtw_remaining_ms (end_ms, now_ms);
  uint64_t wait_ms = RESUME_CHECK_MS;
  if (left_ms > RESUME_RESERVE_MS)
    wait_ms = left_ms - RESUME_RESERVE_MS;
  else if (gtw_target_has_free_place (r->gateway, r)
           && gtw_budget_has_retry (r))
    return false;
  tmr_start_once (&r->gateway->host.timers, &r->silence_timer, wait_ms,
                  attempt_on_silence, r);
  return true;
}

/// Extend the wait for the first byte while no other target can be chosen: to
/// give the attempt up would only fail the request. Suspects and trials are
/// given up, as they may have hung their target.
/// @return  Whether the wait was extended.
static bool
wait_for_only_target (gtw_request_t *r)
{
  if (r->has_event || r->is_trial || gtw_quarantine_is_suspect_starting (r)
      || gtw_target_has_other (r->gateway, r))
    return false;
  tmr_start_once (&r->gateway->host.timers, &r->silence_timer, RESUME_CHECK_MS,
                  attempt_on_silence, r);
  return true;
}

static void
attempt_on_silence (void *arg)
{
  gtw_request_t *r = arg;
  if (wait_for_live_engine (r) || wait_for_only_target (r))
    return;
  MET_INC ("knapweedbay_silent_targets_total", "");
  attempt_handle_broken (r, END_SILENT);
}

/// Arm the timer for a target's silence. Only a request that may be sent again
/// has one; others wait for their timeout.
static void
arm_silence_timer (gtw_request_t *r)
{
  tmr_cancel (&r->gateway->host.timers, &r->silence_timer);
  if (!gtw_request_is_repeatable (r) || r->possible_runs >= r->max_attempts)
    return;
  uint64_t limit_ms = MAX_STREAM_SILENCE_MS;
  if (r->kind == SVC_KIND_SAFE)
    limit_ms = SILENCE_OBJECTIVES * (r->objective_ms - r->arrived_ms);
  else if (!r->has_event)
    limit_ms = FIRST_EVENT_SILENCE_MS;
  tmr_service_t *timers = &r->gateway->host.timers;
  tmr_start_once (timers, &r->silence_timer, limit_ms + tmr_turn_ms (timers),
                  attempt_on_silence, r);
}

/// Relay bytes of the body, after the head if it is not written yet.
static void
relay_bytes (gtw_request_t *r, kb_slice_t bytes)
{
  gtw_client_t *client = r->client;
  r->relayed_bytes += bytes.len_bytes;
  if (!r->is_head_written)
    {
      r->is_head_written = true;
      r->stage = GTW_STAGE_RELAYING;
      if (!r->is_stream_answer)
        arm_silence_timer (r);
      // Head and first bytes in one packet.
      if (r->is_chunked && bytes.len_bytes > 0)
        kb_buf_printf (&r->head, "%x\r\n", bytes.len_bytes);
      kb_buf_append (&r->head, bytes.ptr, bytes.len_bytes);
      if (r->is_chunked && bytes.len_bytes > 0)
        kb_buf_append (&r->head, "\r\n", 2);
      h1_conn_write (&client->conn, r->head.ptr, r->head.len_bytes);
      kb_buf_finish (&r->head);
    }
  else if (r->is_chunked)
    h1_conn_write_chunk (&client->conn, bytes);
  else
    h1_conn_write (&client->conn, bytes.ptr, bytes.len_bytes);
  if (client->conn.unsent_bytes > MAX_UNSENT_BYTES)
    xch_pause (&r->exchange);
}

/// Record the longest pause between events, and log one that a caller notices.
static void
record_gap (gtw_request_t *r, uint64_t gap_ms)
{
  r->longest_gap_ms = gap_ms;
  log_line_t line;
  if (gap_ms < MIN_LOGGED_GAP_MS
      || !log_begin (&line, LOG_INFO, "gateway", "stream_paused"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "target", r->target->list_entry.identity.id);
  log_int (&line, "gap_ms", (int64_t)gap_ms);
  log_int (&line, "backlog_ms", (int64_t)r->target->backlog_ms);
  log_int (&line, "granted", r->target->granted);
  log_int (&line, "sends", r->send_count);
  log_end (&line);
}

/// Record that new events are relayed now.
static void
record_relayed_events (gtw_request_t *r, uint32_t events)
{
  uint64_t now_ms = gtw_now_ms (r->gateway);
  if (!r->is_begun && r->is_engine)
    gtw_resume_record (r);
  if (!r->is_begun)
    {
      gtw_place_report_begun (r);
      r->begun_ms = now_ms;
    }
  r->is_begun = true;
  r->has_event = true;
  if (r->first_event_ms == 0)
    {
      r->first_event_ms = now_ms;
      gtw_origin_record (r);
    }
  else
    {
      r->gap_count += events;
      if (now_ms - r->relayed_ms > r->longest_gap_ms)
        record_gap (r, now_ms - r->relayed_ms);
    }
  r->relayed_ms = now_ms;
}

/// Relay the complete events in the pending answer, without those that the
/// caller has received. A target may stop within an event; the rest of the
/// stream then comes from another target, which starts with a complete one.
/// @return  False: an event broke the order, and nothing is relayed from it
/// on.
static bool
relay_events (gtw_request_t *r)
{
  uint32_t at = 0;
  uint32_t from = 0;
  uint32_t events = 0;
  bool is_sound = true;
  kb_slice_t pending = kb_buf_slice (&r->pending_answer);
  for (;;)
    {
      kb_slice_t rest = { pending.ptr + at, pending.len_bytes - at };
      uint32_t len_bytes
          = sse_event_length (rest, at == 0 ? r->scanned_bytes : 0);
      if (len_bytes == 0)
        break;
      kb_slice_t event = { rest.ptr, len_bytes };
      bool is_comment = sse_event_is_comment (event);
      esq_verdict_t verdict
          = is_comment ? ESQ_NEW : gtw_events_judge (r, event);
      is_sound = !esq_verdict_is_unsound (verdict);
      if (!is_sound)
        break;
      bool is_new = esq_verdict_is_new (verdict);
      if (!is_new && at > from)
        relay_bytes (r, (kb_slice_t){ pending.ptr + from, at - from });
      at += len_bytes;
      events += is_new && !is_comment;
      if (!is_new)
        from = at;
    }
  if (events > 0)
    {
      record_relayed_events (r, events);
      gtw_quarantine_confirm_recipient (r, r->relayed_ms);
      gtw_parts_record_progress (r);
    }
  if (at > from)
    relay_bytes (r, (kb_slice_t){ pending.ptr + from, at - from });
  if (events > 0)
    arm_silence_timer (r);
  kb_buf_consume (&r->pending_answer, at);
  r->scanned_bytes = (uint32_t)r->pending_answer.len_bytes;
  return is_sound;
}

static bool
is_not_run_status (int http_status)
{
  return http_status == 408 || http_status == HTTP_MISDIRECTED
         || http_status == 429 || http_status == HTTP_UNAVAILABLE;
}

/// Handle an answer which says that the target did not run the request.
static void
attempt_handle_not_run (gtw_request_t *r, uint64_t retry_after_ms)
{
  // Another incarnation answers at the address. An engine sends this status
  // also for an adapter that it does not hold.
  bool is_misdirected = !r->is_engine && r->http_status == HTTP_MISDIRECTED;
  gtw_quarantine_record_end (r,
                             is_misdirected ? END_MISDIRECTED : END_REFUSED);
  gtw_log_attempt (r, "attempt_not_run", "target_refused");
  if (is_misdirected)
    gtw_quarantine_record_target_end (r->gateway, r->target, "misdirected");
  MET_INC ("knapweedbay_attempts_not_run_total", "");
  r->possible_runs--;
  if (retry_after_ms > r->retry_after_ms)
    r->retry_after_ms = retry_after_ms;
  gtw_target_record_result (r->gateway, r->target, true);
  bool requests_pause
      = r->http_status == HTTP_UNAVAILABLE && retry_after_ms > 0;
  if (requests_pause && !gtw_backpressure_may_retry (r))
    {
      gtw_request_release_target (r);
      request_give_up (r, "target_paused");
      return;
    }
  attempt_retry (r, "target_refused");
}

/// @return  Whether an answer is the target's own and usable, as far as its
///          head shows.
static bool
is_valid_answer (const gtw_request_t *r, const rly_response_t *answer)
{
  if (answer->is_encoded)
    return false;
  return answer->has_seal || r->http_status >= HTTP_REDIRECT;
}

static void
build_head (gtw_request_t *r, const h1_conn_t *conn)
{
  const h1_conn_t *caller = &r->client->conn;
  bool has_body = caller->parser.method != HTTP_HEAD && r->http_status != 204
                  && r->http_status != 304;
  bool is_http_1_1 = caller->parser.http_minor >= 1;
  bool has_length = h1_head_count (&conn->head, "content-length") > 0
                    && !r->is_stream_answer;
  if (!is_http_1_1 && !has_length)
    r->client->is_last = true;
  rly_framing_t framing
      = { .is_chunked = has_body && is_http_1_1 && !has_length,
          .is_last = gtw_client_is_last_answer (r->client) };
  r->is_chunked = framing.is_chunked;
  kb_buf_clear (&r->head);
  r->gateway->dialect->write_response (conn, &framing, &r->head);
}

static const char *
framing_name (const gtw_request_t *r, const h1_conn_t *conn)
{
  if (r->is_close_delimited)
    return "close";
  if (h1_head_count (&conn->head, "content-length") > 0)
    return "length";
  return (conn->parser.flags & F_CHUNKED) != 0 ? "chunked" : "none";
}

/// @return  Whether an answer bears the id of another request.
static bool
is_stray_answer (const gtw_request_t *r, const rly_response_t *answer)
{
  return answer->attempt_id.len_bytes > 0
         && !kb_slice_equal (answer->attempt_id, r->parsed_head.attempt_id);
}

/// @return  Whether an answer cannot be assigned: it bears no id behind other
///          answers on its connection. A refusal may have none, and its
///          connection carries no further request.
static bool
is_unassignable (const xch_t *x, const rly_response_t *answer)
{
  return answer->attempt_id.len_bytes == 0 && x->is_reused
         && !answer->is_not_run;
}

static void
answer_on_head (xch_t *x)
{
  gtw_request_t *r = x->owner;
  const h1_conn_t *conn = xch_conn (x);
  rly_response_t answer;
  r->gateway->dialect->read_response (conn, &answer);
  // A late answer to an earlier request on this connection.
  if (is_stray_answer (r, &answer))
    {
      MET_INC ("knapweedbay_stray_answers_total", "");
      // One that ends with its connection is followed by none.
      if (xch_is_close_delimited (x))
        attempt_handle_broken (r, END_UNSOUND);
      else
        xch_discard_response (x);
      return;
    }
  if (gtw_refusal_judge_next (r, &answer))
    return;
  // A second one could not be distinguished from the next answer.
  if (answer.attempt_id.len_bytes == 0)
    xch_close_after (x);
  r->http_status = conn->parser.status_code;
  r->is_close_delimited = xch_is_close_delimited (x);
  r->framing = framing_name (r, conn);
  gtw_backpressure_apply_answer (r, &answer);
  if (answer.is_not_run && r->http_status >= 400)
    {
      if (gtw_request_is_repeatable (r)
          || !gtw_refusal_hold (r, &answer, attempt_handle_not_run))
        attempt_handle_not_run (r, answer.retry_after_ms);
      return;
    }
  if (is_unassignable (x, &answer) || !is_valid_answer (r, &answer)
      || is_not_run_status (r->http_status))
    {
      attempt_handle_broken (r, END_UNSOUND);
      return;
    }
  gtw_quarantine_confirm_recipient (r, r->sent_ms);
  bool is_good = r->http_status >= HTTP_OK && r->http_status < HTTP_REDIRECT;
  if (r->is_head_written && !is_good)
    {
      attempt_handle_broken (r, END_WRONG_ANSWER);
      return;
    }
  if (r->is_head_written)
    return;
  r->is_stream_answer = r->kind == SVC_KIND_STREAM && is_good;
  build_head (r, conn);
}

/// Relay a part of a body: all that is pending, or what has arrived while
/// nothing is. The caller must not have all of the body while its last bytes
/// may belong to another answer.
static void
relay_part (gtw_request_t *r, kb_slice_t part)
{
  bool is_held = part.len_bytes > 0 && gtw_scan_may_continue (r);
  part.len_bytes -= is_held;
  char last = is_held ? part.ptr[part.len_bytes] : '\0';
  relay_bytes (r, part);
  kb_buf_finish (&r->pending_answer);
  if (is_held)
    kb_buf_append (&r->pending_answer, &last, 1);
}

static void
answer_on_body (xch_t *x, kb_slice_t bytes)
{
  gtw_request_t *r = x->owner;
  r->received_bytes += bytes.len_bytes;
  if (gtw_scan_body (r, bytes))
    {
      attempt_handle_broken (r, END_SECOND);
      return;
    }
  bool is_body_begun = r->is_head_written && !r->is_stream_answer;
  if (is_body_begun && r->pending_answer.len_bytes == 0)
    {
      relay_part (r, bytes);
      return;
    }
  kb_buf_append (&r->pending_answer, bytes.ptr, bytes.len_bytes);
  if (r->is_stream_answer)
    {
      if (!relay_events (r))
        attempt_handle_broken (r, END_DISORDERED);
      else if (r->pending_answer.len_bytes > MAX_EVENT_BYTES)
        attempt_handle_broken (r, END_OVERSIZED);
    }
  else if (is_body_begun || r->pending_answer.len_bytes > MAX_BUFFERED_BYTES)
    relay_part (r, kb_buf_slice (&r->pending_answer));
}

static uint64_t
answer_watch_ms (xch_t *x)
{
  // Chunks cannot be filled up by another answer.
  bool is_chunked = (xch_conn (x)->parser.flags & F_CHUNKED) != 0;
  return is_chunked ? 0 : gtw_ending_begin_watch (x->owner);
}

/// @return  How an attempt ended whose answer is relayed as complete.
static end_kind_t
answer_end_kind (const gtw_request_t *r)
{
  if (r->http_status >= HTTP_SERVER_ERROR)
    return END_FAILED;
  return r->is_close_delimited ? END_CLOSED : END_ANSWERED;
}

/// Relay the rest of the answer, and end the request.
static void
answer_finish (gtw_request_t *r)
{
  static const char last_chunk[] = "0\r\n\r\n";
  gtw_client_t *client = r->client;
  relay_bytes (r, kb_buf_slice (&r->pending_answer));
  if (r->is_chunked)
    h1_conn_write (&client->conn, last_chunk, sizeof last_chunk - 1);
  gtw_target_record_result (r->gateway, r->target,
                            r->http_status < HTTP_SERVER_ERROR);
  end_kind_t kind = answer_end_kind (r);
  gtw_quarantine_record_end (r, kind);
  gtw_grace_record_duration (r);
  MET_INC ("knapweedbay_requests_total", "outcome=\"answered\"");
  gtw_log_request_end (r, "answered", r->http_status);
  r->is_complete = true;
  r->is_served = end_row (kind)->proof == END_PROVES_SERVED;
  if (!r->is_close_delimited)
    gtw_parts_record_progress (r);
  gtw_request_end (r);
  gtw_client_finish_answer (client, true);
}

/// @return  Whether a stream that has ended is incomplete: it ended within an
///          event, or with its connection before the first one.
static bool
is_cut_stream (const gtw_request_t *r)
{
  if (!r->is_stream_answer)
    return false;
  return r->pending_answer.len_bytes > 0
         || (r->is_close_delimited && !r->is_begun);
}

static void
answer_on_checked (gtw_request_t *r, bool is_whole)
{
  if (is_whole)
    {
      answer_finish (r);
      return;
    }
  gtw_request_arm_expiry (r);
  attempt_handle_broken (r, END_CUT);
}

static void
answer_on_done (xch_t *x)
{
  gtw_request_t *r = x->owner;
  if (r->watched_ms > 0)
    gtw_request_arm_expiry (r);
  r->surplus_bytes = x->surplus.len_bytes;
  if (gtw_scan_end (r, x->surplus))
    {
      attempt_handle_broken (r, END_SECOND);
      return;
    }
  bool is_error = r->http_status >= HTTP_SERVER_ERROR;
  bool may_repeat
      = gtw_request_is_repeatable (r) && r->possible_runs < r->max_attempts
        && !r->is_head_written && !gtw_quarantine_is_suspect_starting (r);
  if (is_error && may_repeat)
    {
      // A server error counts as run; an idempotent request may run again.
      r->execution_state = GTW_EXECUTION_UNKNOWN;
      gtw_quarantine_record_end (r, END_FAILED);
      gtw_log_attempt (r, "attempt_failed", "target_error");
      gtw_target_record_result (r->gateway, r->target, false);
      gtw_request_exclude_target (r);
      gtw_request_release_target (r);
      kb_buf_finish (&r->pending_answer);
      r->scanned_bytes = 0;
      kb_buf_clear (&r->head);
      r->reason = "target_error";
      gtw_request_dispatch (r);
      return;
    }
  if (is_cut_stream (r))
    {
      attempt_handle_broken (r, END_CUT);
      return;
    }
  if (r->is_stream_answer && esq_verdict_is_unsound (gtw_events_judge_end (r)))
    {
      attempt_handle_broken (r, END_DISORDERED);
      return;
    }
  if (!gtw_ending_check (r, answer_on_checked))
    answer_finish (r);
}

static void
answer_on_fail (xch_t *x, xch_failure_t fail)
{
  static const end_kind_t kinds[] = { [XCH_NOT_SENT] = END_NOT_SENT,
                                      [XCH_RESET] = END_RESET,
                                      [XCH_MALFORMED] = END_MALFORMED };
  if (gtw_refusal_judge_end (x->owner))
    return;
  attempt_handle_broken (x->owner, kinds[fail]);
}

/// The caller may have left while the connection to the target was made. What
/// that took is not a part of the target's silence.
static void
attempt_on_connect (xch_t *x)
{
  gtw_request_t *r = x->owner;
  if (gtw_client_check_present (r->client))
    arm_silence_timer (r);
}

static const xch_events_t answer_events = { .on_connect = attempt_on_connect,
                                            .on_head = answer_on_head,
                                            .on_body = answer_on_body,
                                            .watch_ms = answer_watch_ms,
                                            .on_done = answer_on_done,
                                            .on_fail = answer_on_fail };

static void
describe_forward (const gtw_request_t *r, rly_forward_t *out)
{
  uint64_t now_ms = gtw_now_ms (r->gateway);
  uint64_t end_ms = gtw_request_expiry_ms (r);
  uint32_t priority = r->priority;
  if (priority > MAX_ENGINE_PRIORITY)
    priority = MAX_ENGINE_PRIORITY;
  *out = (rly_forward_t){
    .deadline_ms = end_ms > now_ms ? end_ms - now_ms : 1,
    .instance = kb_slice_str (gtw_request_recipient (r)->id),
    .workspace = kb_slice_str (r->workspace),
    .adapter_version = r->granted_version,
    .priority = r->is_engine ? (int32_t)priority : -1,
    .is_resume = r->events.has_relayed && r->events.has_last_id,
    .resume_after_event_id = r->events.last_id,
    .body_bytes = r->body->buf.len_bytes,
  };
}

void
gtw_attempt_send (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  if (!gtw_client_check_present (r->client))
    return;
  if (!gtw_grace_leaves_time (r))
    {
      gtw_request_release_target (r);
      request_give_up (r, "stopping");
      return;
    }
  // Targets may have ended during another attempt while it waited for a place.
  uint64_t hold_ms = 0;
  if (gtw_quarantine_check (r, &hold_ms) == QRT_HELD)
    {
      gtw_request_release_target (r);
      gtw_request_refuse_held (r, hold_ms);
      return;
    }
  prt_judgement_t parts = gtw_parts_judge (r);
  if (parts.verdict == PRT_HELD)
    {
      gtw_request_release_target (r);
      gtw_request_refuse_held (r, parts.hold_ms);
      return;
    }
  // A part became a suspect while the request waited for its place.
  bool is_trial_here = parts.verdict == PRT_TRIAL && r->is_trial
                       && r->trial_target == r->target->key;
  if (parts.verdict != PRT_FREE && !is_trial_here)
    {
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
      return;
    }
  if (r->send_count > 0 && !gtw_budget_take_retry (r))
    {
      gtw_request_release_target (r);
      request_give_up (r, "retry_budget");
      return;
    }
  if (r->send_count == 0)
    gtw_budget_record_first (gateway, r->service);
  gtw_events_begin (r);
  rly_forward_t forward;
  describe_forward (r, &forward);
  kb_buf_t head = { 0 };
  gateway->dialect->write_request (&r->client->conn, &forward, &head);
  xch_request_t request
      = { .head = kb_buf_slice (&head),
          .body = r->body,
          .max_idle_ms = gtw_request_is_repeatable (r)
                             ? XCH_ANY_IDLE_MS
                             : MAX_IDLE_NON_IDEMPOTENT_MS,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .is_head_method = r->client->conn.parser.method == HTTP_HEAD,
          .tag = gtw_scan_tag (r) };
  r->stage = r->is_head_written ? GTW_STAGE_RELAYING : GTW_STAGE_SENT;
  r->send_count++;
  r->is_permit_used = true;
  r->sent_ms = gtw_now_ms (gateway);
  r->sent_boot_ms = tmr_boottime_ms ();
  r->possible_runs++;
  r->is_begun = false;
  r->received_bytes = 0;
  r->surplus_bytes = 0;
  r->framing = "";
  r->end = "";
  r->evidence = "";
  r->target_doubt = MSG_DOUBT_NONE;
  r->are_parts_served = false;
  r->is_close_delimited = false;
  r->refusal_done = NULL;
  r->ending_done = NULL;
  gtw_scan_begin (r);
  xch_start (&r->exchange, &r->target->peer, &answer_events, r, &request);
  kb_buf_finish (&head);
  arm_silence_timer (r);
}

void
gtw_attempt_release_answer (gtw_request_t *r)
{
  if (r->is_stream_answer)
    {
      attempt_handle_broken (r, END_OVERSIZED);
      return;
    }
  MET_INC ("knapweedbay_answers_released_total", "");
  relay_part (r, kb_buf_slice (&r->pending_answer));
}

void
gtw_attempt_abort (gtw_request_t *r)
{
  attempt_handle_broken (r, END_REPLACED);
}
