/// @file gateway_answer.c
/// A request at a target: what is sent, what of the answer is passed on, and
/// what a broken answer means. An answer is passed on only as far as it is
/// certainly whole events or a whole body of this very request.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
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
  /// A request that may not run twice goes out on a connection that was in
  /// use this recently: a reset of an old one would leave its fate unknown.
  FRESH_IDLE_MS = 1000,
  /// Answers up to this size are passed on whole, so that a broken one can
  /// still be asked for again.
  HOLD_BYTES = 65536,
  /// A caller that reads slower than the target writes.
  PAUSE_BYTES = 262144,
  /// A target of safe requests that is silent for this many objectives is
  /// asked no longer; its own slowest tenth answers well within two.
  SILENT_OBJECTIVES = 3,
  /// Longest silence between two events of a stream that may be resumed, where
  /// nothing says that its engine lives.
  STREAM_SILENCE_MS = 1200,
  /// A live engine's stream is waited for until only this much is left for a
  /// place elsewhere and the event from there. Engines under pressure pause
  /// streams for seconds, and a stream that is cut then finds the next engine
  /// as crowded: on two days past saturation such streams were lost.
  RESUME_MS = 500,
  /// Silence before the first event of such a stream.
  FIRST_SILENCE_MS = 2000,
  MAX_ENGINE_PRIORITY = 9,
  /// Pauses of a stream from here on are logged.
  LOGGED_GAP_MS = 300,
};

static void answer_broken (gtw_request_t *r, bool was_sent,
                           const char *reason);

static bool
is_idempotent (const gtw_request_t *r)
{
  return r->kind == SVC_KIND_SAFE
         || (r->kind == SVC_KIND_STREAM && r->is_resumable);
}

/// The request will not be tried again.
static void
answer_give_up (gtw_request_t *r, const char *reason)
{
  if (r->fate == GTW_NOT_RUN && !r->is_head_written)
    gtw_request_refuse (r, reason, r->retry_after_ms);
  else
    gtw_request_fail (r, HTTP_BAD_GATEWAY, reason);
}

/// Try elsewhere if the request may, and the budget allows one more arrival.
static void
answer_retry (gtw_request_t *r, const char *reason)
{
  gtw_request_exclude (r);
  gtw_request_leave_target (r);
  kb_buf_clear (&r->held);
  r->reason = reason;
  if (!r->is_head_written)
    kb_buf_clear (&r->head);
  bool may_run = r->fate == GTW_NOT_RUN || is_idempotent (r);
  if (!may_run || r->runs >= r->max_attempts + (r->fate == GTW_NOT_RUN))
    {
      answer_give_up (r, reason);
      return;
    }
  gtw_request_next (r);
}

/// No whole answer came.
static void
answer_broken (gtw_request_t *r, bool was_sent, const char *reason)
{
  gtw_log_attempt (r, "attempt_broken", reason);
  gtw_target_note (r->gateway, r->target, false);
  if (was_sent)
    r->fate = GTW_MAY_HAVE_RUN;
  else
    r->runs--;
  answer_retry (r, reason);
}

static void answer_silent (void *arg);

/// Wait on for the next event of a stream, as long as its engine is known to
/// live and its caller's patience leaves time to resume it elsewhere.
/// @return  Whether it waits.
static bool
wait_for_live_engine (gtw_request_t *r)
{
  if (!r->has_event || !gtw_target_is_alive (r->gateway, r->target))
    return false;
  uint64_t now_ms = gtw_now_ms (r->gateway);
  uint64_t end_ms = gtw_request_patience_end_ms (r, r->passed_ms);
  uint64_t left_ms = gtw_left_ms (end_ms, now_ms);
  if (left_ms <= RESUME_MS)
    return false;
  tmr_start_once (&r->gateway->host.timers, &r->silence, left_ms - RESUME_MS,
                  answer_silent, r);
  return true;
}

static void
answer_silent (void *arg)
{
  gtw_request_t *r = arg;
  if (wait_for_live_engine (r))
    return;
  MET_INC ("knapweedbay_silent_targets_total", "");
  gtw_quarantine_note_break (r);
  answer_broken (r, true, "silent_target");
}

/// Arm the limit on a target's silence; only a request that may be sent again
/// has one, all others wait for their timeout.
static void
arm_silence (gtw_request_t *r)
{
  if (!is_idempotent (r) || r->runs >= r->max_attempts)
    return;
  uint64_t limit_ms = STREAM_SILENCE_MS;
  if (r->kind == SVC_KIND_SAFE)
    limit_ms = SILENT_OBJECTIVES * (r->objective_ms - r->arrived_ms);
  else if (!r->has_event)
    limit_ms = FIRST_SILENCE_MS;
  tmr_start_once (&r->gateway->host.timers, &r->silence, limit_ms,
                  answer_silent, r);
}

/// Pass bytes of the body on.
static void
pass (gtw_request_t *r, kb_slice_t bytes)
{
  gtw_client_t *client = r->client;
  if (!r->is_head_written)
    {
      r->is_head_written = true;
      r->stage = GTW_PASSING;
      // Head and first bytes in one packet.
      if (r->is_chunked && bytes.len_bytes > 0)
        kb_buf_printf (&r->head, "%x\r\n", bytes.len_bytes);
      kb_buf_append (&r->head, bytes.ptr, bytes.len_bytes);
      if (r->is_chunked && bytes.len_bytes > 0)
        kb_buf_append (&r->head, "\r\n", 2);
      h1_conn_write (&client->conn, r->head.ptr, r->head.len_bytes);
      kb_buf_finish (&r->head);
      kb_buf_init (&r->head);
    }
  else if (r->is_chunked)
    h1_conn_write_chunk (&client->conn, bytes);
  else
    h1_conn_write (&client->conn, bytes.ptr, bytes.len_bytes);
  if (client->conn.unsent_bytes > PAUSE_BYTES)
    xch_pause (&r->exchange);
}

/// Remember a pause between events, and log one that a caller notices.
static void
note_gap (gtw_request_t *r, uint64_t gap_ms)
{
  r->longest_gap_ms = gap_ms;
  log_line_t line;
  if (gap_ms < LOGGED_GAP_MS
      || !log_begin (&line, LOG_INFO, "gateway", "stream_paused"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "target", r->target->told.who.id);
  log_int (&line, "gap_ms", (int64_t)gap_ms);
  log_int (&line, "backlog_ms", (int64_t)r->target->backlog_ms);
  log_int (&line, "granted", r->target->granted);
  log_int (&line, "sends", r->sends);
  log_end (&line);
}

/// Note that events are passed on now.
static void
note_passed (gtw_request_t *r, uint32_t events)
{
  uint64_t now_ms = gtw_now_ms (r->gateway);
  if (!r->is_begun)
    {
      gtw_place_begun (r);
      r->begun_ms = now_ms;
    }
  r->is_begun = true;
  if (r->first_event_ms == 0)
    r->first_event_ms = now_ms;
  else
    {
      r->gap_count += events;
      if (now_ms - r->passed_ms > r->longest_gap_ms)
        note_gap (r, now_ms - r->passed_ms);
    }
  r->passed_ms = now_ms;
}

/// @return  Whether an event was passed on before, by the target that this one
///          resumes from; else it is the last one now.
static bool
was_passed (gtw_request_t *r, kb_slice_t event)
{
  uint64_t id;
  if (!sse_event_id (event, &id))
    return false;
  if (r->has_event && id <= r->last_event)
    return true;
  r->has_event = true;
  r->last_event = id;
  return false;
}

/// Pass on all whole events. A target may stop within one, and the rest of
/// the stream then comes from another target, which begins with a whole one.
static void
pass_events (gtw_request_t *r)
{
  uint32_t at = 0;
  uint32_t from = 0;
  uint32_t events = 0;
  kb_slice_t held = kb_buf_slice (&r->held);
  for (;;)
    {
      kb_slice_t rest = { held.ptr + at, held.len_bytes - at };
      uint32_t len_bytes = sse_event_length (rest);
      if (len_bytes == 0)
        break;
      bool is_new = !was_passed (r, (kb_slice_t){ rest.ptr, len_bytes });
      if (!is_new && at > from)
        pass (r, (kb_slice_t){ held.ptr + from, at - from });
      at += len_bytes;
      events += is_new;
      if (!is_new)
        from = at;
    }
  if (at > from)
    {
      note_passed (r, events);
      pass (r, (kb_slice_t){ held.ptr + from, at - from });
      arm_silence (r);
    }
  kb_buf_consume (&r->held, at);
}

static bool
is_promise_status (int http_status)
{
  return http_status == 408 || http_status == HTTP_MISDIRECTED
         || http_status == 429 || http_status == HTTP_UNAVAILABLE;
}

/// A target said that it did not run the request.
static void
answer_not_run (gtw_request_t *r, const rly_answer_t *answer)
{
  gtw_log_attempt (r, "attempt_not_run", "target_refused");
  // Another incarnation answers at its address; an engine says so for an
  // adapter that it does not hold as well.
  if (!r->is_engine && r->http_status == HTTP_MISDIRECTED)
    gtw_quarantine_target_ended (r->gateway, r->target, "misdirected");
  MET_INC ("knapweedbay_attempts_not_run_total", "");
  r->runs--;
  if (answer->retry_after_ms > r->retry_after_ms)
    r->retry_after_ms = answer->retry_after_ms;
  gtw_target_note (r->gateway, r->target, true);
  bool asks_for_pause
      = r->http_status == HTTP_UNAVAILABLE && answer->retry_after_ms > 0;
  if (asks_for_pause && !gtw_backpressure_may_go_on (r))
    {
      gtw_request_leave_target (r);
      answer_give_up (r, "target_paused");
      return;
    }
  answer_retry (r, "target_refused");
}

/// Whether an answer is a target's own and whole as far as its head tells.
static bool
is_sound (const gtw_request_t *r, const rly_answer_t *answer)
{
  if (answer->is_encoded)
    return false;
  return answer->has_seal || r->http_status >= HTTP_REDIRECT;
}

static void
write_head (gtw_request_t *r, const h1_conn_t *conn)
{
  const h1_conn_t *caller = &r->client->conn;
  bool has_body = caller->parser.method != HTTP_HEAD && r->http_status != 204
                  && r->http_status != 304;
  bool is_modern = caller->parser.http_minor >= 1;
  bool has_length = h1_head_count (&conn->head, "content-length") > 0
                    && !r->is_stream_answer;
  if (!is_modern && !has_length)
    r->client->is_last = true;
  rly_framing_t framing = { .is_chunked = has_body && is_modern && !has_length,
                            .is_last = gtw_client_is_last (r->client) };
  r->is_chunked = framing.is_chunked;
  kb_buf_clear (&r->head);
  r->gateway->dialect->write_answer (conn, &framing, &r->head);
}

static void
answer_on_head (xch_t *x)
{
  gtw_request_t *r = x->owner;
  const h1_conn_t *conn = xch_conn (x);
  rly_answer_t answer;
  r->gateway->dialect->read_answer (conn, &answer);
  // An answer of an earlier request on this connection that came late.
  if (answer.attempt_id.len_bytes > 0
      && !kb_slice_equal (answer.attempt_id, kb_slice_str (r->attempt_id)))
    {
      MET_INC ("knapweedbay_stray_answers_total", "");
      xch_skip (x);
      return;
    }
  r->http_status = conn->parser.status_code;
  gtw_backpressure_note (r, &answer);
  if (answer.is_not_run && r->http_status >= 400)
    {
      answer_not_run (r, &answer);
      return;
    }
  if (!is_sound (r, &answer) || is_promise_status (r->http_status))
    {
      answer_broken (r, true, "unsound_answer");
      return;
    }
  bool is_good = r->http_status >= HTTP_OK && r->http_status < HTTP_REDIRECT;
  if (r->is_head_written && !is_good)
    {
      answer_broken (r, true, "resume_failed");
      return;
    }
  if (r->is_head_written)
    return;
  r->is_stream_answer = r->kind == SVC_KIND_STREAM && is_good;
  write_head (r, conn);
}

static void
answer_on_body (xch_t *x, kb_slice_t bytes)
{
  gtw_request_t *r = x->owner;
  kb_buf_append (&r->held, bytes.ptr, bytes.len_bytes);
  if (r->is_stream_answer)
    pass_events (r);
  else if (r->is_head_written || r->held.len_bytes > HOLD_BYTES)
    {
      pass (r, kb_buf_slice (&r->held));
      kb_buf_clear (&r->held);
    }
}

/// The answer is passed on whole.
static void
answer_finish (gtw_request_t *r)
{
  static const char last_chunk[] = "0\r\n\r\n";
  gtw_client_t *client = r->client;
  pass (r, kb_buf_slice (&r->held));
  if (r->is_chunked)
    h1_conn_write (&client->conn, last_chunk, sizeof last_chunk - 1);
  gtw_target_note (r->gateway, r->target, r->http_status < HTTP_SERVER_ERROR);
  if (r->http_status < HTTP_SERVER_ERROR)
    gtw_quarantine_note_served (r);
  MET_INC ("knapweedbay_requests_total", "outcome=\"answered\"");
  gtw_request_log (r, "answered", r->http_status);
  r->is_whole = true;
  gtw_request_end (r);
  gtw_client_answered (client, true);
}

static void
answer_on_done (xch_t *x)
{
  gtw_request_t *r = x->owner;
  bool is_error = r->http_status >= HTTP_SERVER_ERROR;
  bool may_repeat
      = is_idempotent (r) && r->runs < r->max_attempts && !r->is_head_written;
  if (is_error && may_repeat)
    {
      // A target's own failure counts as run; an idempotent one may run again.
      r->fate = GTW_MAY_HAVE_RUN;
      gtw_log_attempt (r, "attempt_failed", "target_error");
      gtw_target_note (r->gateway, r->target, false);
      gtw_request_exclude (r);
      gtw_request_leave_target (r);
      kb_buf_clear (&r->held);
      kb_buf_clear (&r->head);
      r->reason = "target_error";
      gtw_request_next (r);
      return;
    }
  if (r->is_stream_answer && r->held.len_bytes > 0)
    {
      // It ended within an event: not the whole stream.
      answer_broken (r, true, "cut_event");
      return;
    }
  answer_finish (r);
}

static void
answer_on_fail (xch_t *x, xch_fail_t fail)
{
  static const char *const names[] = { "not_sent", "reset", "malformed" };
  if (fail == XCH_RESET)
    gtw_quarantine_note_break (x->owner);
  answer_broken (x->owner, fail != XCH_NOT_SENT, names[fail]);
}

static const xch_events_t answer_events
    = { answer_on_head, answer_on_body, answer_on_done, answer_on_fail };

static void
describe_forward (const gtw_request_t *r, rly_forward_t *out)
{
  uint64_t now_ms = gtw_now_ms (r->gateway);
  uint64_t end_ms = gtw_request_end_ms (r);
  uint32_t priority = r->priority;
  if (priority > MAX_ENGINE_PRIORITY)
    priority = MAX_ENGINE_PRIORITY;
  *out = (rly_forward_t){
    .deadline_ms = end_ms > now_ms ? end_ms - now_ms : 1,
    .instance = kb_slice_str (gtw_request_addressee (r)->id),
    .workspace = kb_slice_str (r->workspace),
    .adapter_version = r->granted_version,
    .priority = r->is_engine ? (int32_t)priority : -1,
    .is_resume = r->has_event,
    .resume_after = r->last_event,
    .body_bytes = r->body.len_bytes,
  };
}

void
gtw_answer_send (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  // It may have waited for its place while targets ended under another send.
  uint64_t hold_ms = 0;
  if (gtw_quarantine_judge (r, &hold_ms) == QRT_HELD)
    {
      gtw_request_leave_target (r);
      gtw_quarantine_refuse (r, hold_ms);
      return;
    }
  if (r->sends > 0 && !gtw_budget_take (gateway, r->service))
    {
      MET_INC ("knapweedbay_retries_out_of_budget_total", "");
      gtw_request_leave_target (r);
      answer_give_up (r, "retry_budget");
      return;
    }
  if (r->sends == 0)
    gtw_budget_note_first (gateway, r->service);
  rly_forward_t forward;
  describe_forward (r, &forward);
  kb_buf_t head = { 0 };
  gateway->dialect->write_request (&r->client->conn, &forward, &head);
  xch_request_t request
      = { .head = kb_buf_slice (&head),
          .body = kb_buf_slice (&r->body),
          .max_idle_ms = is_idempotent (r) ? XCH_ANY_IDLE : FRESH_IDLE_MS,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .expects_no_body = r->client->conn.parser.method == HTTP_HEAD };
  r->stage = r->is_head_written ? GTW_PASSING : GTW_SENT;
  r->sends++;
  r->is_permit_used = true;
  r->sent_ms = gtw_now_ms (gateway);
  r->sent_boot_ms = tmr_boottime_ms ();
  r->runs++;
  r->is_begun = false;
  xch_start (&r->exchange, &r->target->peer, &answer_events, r, &request);
  kb_buf_finish (&head);
  arm_silence (r);
}

void
gtw_answer_cut (gtw_request_t *r, const char *reason)
{
  answer_broken (r, true, reason);
}
