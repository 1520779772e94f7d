/// @file gateway_caller.c
/// Record of callers who leave before their answer.
#include "gateway/gateway_suspects.h"
#include "transport/log.h"
#include "transport/metrics.h"

/// How far a request had come: name for the log, label for the metrics.
typedef struct
{
  const char *name;
  const char *label;
} caller_step_t;

static const caller_step_t stage_steps[] = {
  [GTW_STAGE_READING_BODY] = { "body", "step=\"body\"" },
  [GTW_STAGE_WAITING_FOR_ORIGIN] = { "origin", "step=\"origin\"" },
  [GTW_STAGE_WAITING_FOR_TARGET] = { "target", "step=\"target\"" },
  [GTW_STAGE_WAITING_FOR_CREDIT] = { "credit", "step=\"credit\"" },
  [GTW_STAGE_WAITING_FOR_PLACE] = { "place", "step=\"place\"" },
  [GTW_STAGE_WAITING_TO_BE_ALONE] = { "alone", "step=\"alone\"" },
  [GTW_STAGE_SENT] = { "sent", "step=\"sent\"" },
  [GTW_STAGE_RELAYING] = { "relaying", "step=\"relaying\"" },
};

static const caller_step_t retry_step = { "retry", "step=\"retry\"" };

/// @return  Whether a target may be at work on a request.
static bool
is_at_target (const gtw_request_t *r)
{
  return (r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING)
         && xch_is_sent (&r->exchange);
}

static const caller_step_t *
step_of (const gtw_request_t *r)
{
  bool is_between_attempts
      = (r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING)
        && !xch_is_active (&r->exchange);
  return is_between_attempts ? &retry_step : &stage_steps[r->stage];
}

static void
log_caller_left (const gtw_request_t *r, const char *found, int64_t closed_ms)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "caller_left"))
    return;
  uint64_t now_ms = gtw_now_ms (r->gateway);
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "step", step_of (r)->name);
  log_text (&line, "found", found);
  log_int (&line, "closed_ms", closed_ms);
  log_int (&line, "sent_ms",
           r->send_count == 0 ? -1 : (int64_t)(now_ms - r->sent_ms));
  log_int (&line, "sends", r->send_count);
  log_text (&line, "target",
            r->target == NULL ? "" : r->target->list_entry.identity.id);
  log_int (&line, "ms", (int64_t)(now_ms - r->arrived_ms));
  log_end (&line);
}

void
gtw_caller_record_left (gtw_request_t *r, const char *found,
                        prs_presence_t presence)
{
  met_add (met_counter ("knapweedbay_callers_left_total", step_of (r)->label),
           1);
  log_caller_left (r, found, presence.closed_ms);
  if (is_at_target (r))
    {
      gtw_quarantine_record_end (r, END_CALLER_LEFT);
      gtw_log_attempt (r, "attempt_broken", end_row (END_CALLER_LEFT)->name);
    }
}
