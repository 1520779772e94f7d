/// @file gateway_log.c
/// Log lines about a request.
#include "gateway/gateway_defs.h"
#include "relay/fingerprint.h"
#include "transport/log.h"

/// @return  Age of the last report of the target's sidecar, in milliseconds;
///          -1 if there is none.
static int64_t
report_age_ms (const gtw_request_t *r)
{
  if (r->target == NULL || r->target->last_contact_ms == 0)
    return -1;
  return (int64_t)(gtw_now_ms (r->gateway) - r->target->last_contact_ms);
}

/// Log how long the answer of the last attempt is and what that rests on.
static void
log_answer_size (log_line_t *line, const gtw_request_t *r)
{
  log_int (line, "close_delimited", r->is_close_delimited);
  log_text (line, "framing", r->framing);
  log_int (line, "received_bytes", (int64_t)r->received_bytes);
  log_int (line, "surplus_bytes", (int64_t)r->surplus_bytes);
}

void
gtw_log_request_end (const gtw_request_t *r, const char *outcome,
                     int http_status)
{
  gtw_metrics_observe_end (r, http_status);
  uint64_t now_ms = gtw_now_ms (r->gateway);
  bool is_good = http_status >= 200 && http_status < 300;
  log_line_t line;
  if (!log_begin (&line, is_good ? LOG_INFO : LOG_WARN, "gateway",
                  "request_end"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "outcome", outcome);
  log_int (&line, "status", http_status);
  log_text (&line, "reason", r->reason);
  log_text (&line, "workspace", r->workspace);
  log_int (&line, "charge", (int64_t)r->charge.amount);
  log_text (&line, "route", r->route);
  log_text (&line, "service", r->service);
  log_int (&line, "revision", (int64_t)r->revision);
  log_text (&line, "adapter", r->adapter_name);
  log_int (&line, "version", r->granted_version);
  log_text (&line, "target",
            r->target == NULL ? "" : r->target->list_entry.identity.id);
  log_text (&line, "software",
            r->target == NULL ? "" : r->target->list_entry.software);
  log_int (&line, "sends", r->send_count);
  log_text (&line, "end", r->end);
  log_text (&line, "evidence", r->evidence);
  log_answer_size (&line, r);
  log_int (&line, "relayed_bytes", (int64_t)r->relayed_bytes);
  log_int (&line, "ms", (int64_t)(now_ms - r->arrived_ms));
  log_int (&line, "first_ms",
           r->first_event_ms == 0
               ? -1
               : (int64_t)(r->first_event_ms - r->arrived_ms));
  log_int (&line, "gap_ms", (int64_t)r->longest_gap_ms);
  log_int (&line, "load_us", (int64_t)r->load_us);
  log_int (&line, "left_ms", (int64_t)(r->deadline_ms - now_ms));
  log_end (&line);
}

/// Begin a log line with the fields common to events of a request.
/// @return  Whether the line is to be written.
static bool
begin_request_line (log_line_t *line, const gtw_request_t *r,
                    const char *event, const char *reason)
{
  if (!log_begin (line, LOG_INFO, "gateway", event))
    return false;
  log_text (line, "id", r->attempt_id);
  log_text (line, "reason", reason);
  log_text (line, "target",
            r->target == NULL ? "" : r->target->list_entry.identity.id);
  return true;
}

void
gtw_log_continuation (const gtw_request_t *r)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "stream_continued"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_slice (&line, "resumes", r->parsed_head.resumes);
  log_int (&line, "last_event", (int64_t)r->parsed_head.resume_after_event_id);
  log_text (&line, "service", r->service);
  log_end (&line);
}

void
gtw_log_request_event (const gtw_request_t *r, const char *event,
                       const char *reason)
{
  log_line_t line;
  if (!begin_request_line (&line, r, event, reason))
    return;
  log_int (&line, "word_age_ms", report_age_ms (r));
  log_int (&line, "sends", r->send_count);
  log_end (&line);
}

void
gtw_log_attempt (gtw_request_t *r, const char *event, const char *reason)
{
  log_line_t line;
  if (!begin_request_line (&line, r, event, reason))
    return;
  log_int (&line, "send", r->send_count);
  log_int (&line, "runs", r->possible_runs);
  log_text (&line, "end", r->end);
  log_text (&line, "evidence", r->evidence);
  log_int (&line, "last_event", (int64_t)r->events.last_id);
  log_answer_size (&line, r);
  log_text (&line, "software",
            r->target == NULL ? "" : r->target->list_entry.software);
  uint64_t now_ms = gtw_now_ms (r->gateway);
  log_int (&line, "begun_ms",
           r->is_begun ? (int64_t)(now_ms - r->begun_ms) : -1);
  log_int (&line, "ms", (int64_t)(now_ms - r->arrived_ms));
  log_text (&line, "caller", r->client->caller);
  char fingerprint[FPR_TEXT_BYTES];
  fpr_format (gtw_request_fingerprint (r, GTW_SCOPE_ANY_ADAPTER), fingerprint);
  log_text (&line, "fingerprint", fingerprint);
  log_slice (&line, "prompt_parts", r->parsed_head.prompt_parts);
  log_end (&line);
}

void
gtw_log_irregular_event (const gtw_request_t *r, esq_verdict_t verdict,
                         uint64_t event_id)
{
  bool is_unsound = esq_verdict_is_unsound (verdict);
  log_line_t line;
  if (!log_begin (&line, is_unsound ? LOG_WARN : LOG_INFO, "gateway",
                  "irregular_event"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "kind", esq_verdict_name (verdict));
  log_int (&line, "event", (int64_t)event_id);
  log_int (&line, "last_event",
           r->events.has_last_id ? (int64_t)r->events.last_id : -1);
  log_int (&line, "is_continuation", r->events.is_continuation);
  log_int (&line, "send", r->send_count);
  log_text (&line, "target", r->target->list_entry.identity.id);
  log_text (&line, "software", r->target->list_entry.software);
  log_text (&line, "service", r->service);
  log_end (&line);
}

void
gtw_log_choice (const gtw_request_t *r)
{
  const gtw_target_t *t = r->target;
  log_line_t line;
  if (!log_begin (&line, LOG_DEBUG, "gateway", "target_chosen"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "target", t->list_entry.identity.id);
  log_int (&line, "word_age_ms", report_age_ms (r));
  log_int (&line, "granted", t->granted);
  log_int (&line, "waiting", t->waiting);
  log_int (&line, "backlog_ms", (int64_t)t->backlog_ms);
  log_int (&line, "load_wait_ms", (int64_t)t->load_wait_ms);
  log_int (&line, "active", t->active);
  log_int (&line, "tried", r->excluded_target_count);
  log_end (&line);
}
