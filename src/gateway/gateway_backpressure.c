/// @file gateway_backpressure.c
/// What targets ask of their callers in the heads of their answers.
#include "coordination/backpressure.h"
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

static void
log_limit (const gtw_request_t *r)
{
  const gtw_target_t *target = r->target;
  log_event_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_limit"))
    return;
  log_text (&line, "target", target->told.who.id);
  log_int (&line, "is_limited", target->limit.is_limited);
  log_int (&line, "per_1000_s", (int64_t)(target->limit.per_s * 1000));
  log_text (&line, "id", r->attempt_id);
  log_end (&line);
}

static void
log_malformed (const gtw_request_t *r, const char *field)
{
  MET_INC ("knapweedbay_answer_fields_ignored_total", "");
  log_event_t line;
  if (!log_begin (&line, LOG_WARN, "gateway", "answer_field_ignored"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "target", r->target->told.who.id);
  log_text (&line, "field", field);
  log_end (&line);
}

void
gtw_backpressure_note (gtw_request_t *r, const rly_answer_t *answer)
{
  enum
  {
    HTTP_MISDIRECTED = 421,
  };
  // Another incarnation may answer so at its address.
  if (r->http_status == HTTP_MISDIRECTED)
    return;
  if (answer->malformed != NULL)
    {
      log_malformed (r, answer->malformed);
      return;
    }
  double per_s = answer->states_limit ? answer->limit_per_s : -1;
  if (bkp_limit_heard (&r->target->limit, per_s, r->sent_boot_ms,
                       tmr_boot_ms ()))
    log_limit (r);
}
