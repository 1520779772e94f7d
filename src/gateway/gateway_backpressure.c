/// @file gateway_backpressure.c
/// What targets ask of their callers in the heads of their answers.
#include "coordination/backpressure.h"
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Targets that may ask for a pause because of one request.
  PAUSES_MOST = 3,
};

static void
log_limit (const gtw_request_t *r, const gtw_stated_t *stated)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_limit"))
    return;
  log_text (&line, "target", stated->who.id);
  log_int (&line, "is_limited", stated->limit.is_limited);
  log_int (&line, "per_1000_s", (int64_t)(stated->limit.per_s * 1000));
  log_text (&line, "id", r->attempt_id);
  log_end (&line);
}

static void
log_malformed (const gtw_request_t *r, const char *field)
{
  MET_INC ("knapweedbay_answer_fields_ignored_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "gateway", "answer_field_ignored"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "target", gtw_request_addressee (r)->id);
  log_text (&line, "field", field);
  log_end (&line);
}

static bool
is_same_life (const inc_t *a, const inc_t *b)
{
  bool is_other_birth
      = a->born_ms > 0 && b->born_ms > 0 && a->born_ms != b->born_ms;
  return strcmp (a->id, b->id) == 0 && !is_other_birth;
}

/// The target that is used at the address of the present one: of an engine the
/// list may name two incarnations for a while, and its sidecar serves one.
static gtw_target_t *
target_in_use (const gtw_request_t *r)
{
  gtw_target_t *linked
      = r->is_engine ? kb_map_get (
            &r->gateway->links, gtw_link_key (kb_slice_str (r->target->link)))
                     : NULL;
  return linked != NULL ? linked : r->target;
}

/// @return  What the addressee of a request has said so far.
static gtw_stated_t *
stated_by_addressee (const gtw_request_t *r)
{
  gtw_stated_t *stated = &target_in_use (r)->stated;
  const inc_t *who = gtw_request_addressee (r);
  if (!is_same_life (&stated->who, who))
    *stated = (gtw_stated_t){ .who = *who };
  return stated;
}

void
gtw_backpressure_take_over (gtw_target_t *target, const gtw_target_t *from)
{
  if (is_same_life (&from->stated.who, &target->told.who))
    target->stated = from->stated;
}

static void
note_limit (gtw_request_t *r, gtw_stated_t *stated, const rly_answer_t *answer)
{
  double per_s = answer->states_limit ? answer->limit_per_s : -1;
  if (answer->is_limit_malformed
      || !bkp_limit_heard (&stated->limit, per_s, r->sent_boot_ms,
                           tmr_boottime_ms ()))
    return;
  log_limit (r, stated);
  // Its sidecar is to know with the next tick.
  target_in_use (r)->told_ms = 0;
}

/// It holds for the incarnation; the list may tell it much later.
static void
note_leaving (const gtw_request_t *r, gtw_stated_t *stated)
{
  if (stated->is_leaving)
    return;
  stated->is_leaving = true;
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_states_leaving"))
    return;
  log_text (&line, "target", stated->who.id);
  log_int (&line, "is_listed_leaving", r->target->told.is_leaving);
  log_text (&line, "id", r->attempt_id);
  log_end (&line);
}

/// It turned a request away, and wants none for a while. Each such answer
/// holds: a shorter pause does not end a longer one.
static void
note_pause (const gtw_request_t *r, gtw_stated_t *stated, uint64_t pause_ms)
{
  uint64_t until_ms = tmr_boottime_ms () + pause_ms;
  if (until_ms <= stated->paused_until_ms)
    return;
  stated->paused_until_ms = until_ms;
  MET_INC ("knapweedbay_target_pauses_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_paused"))
    return;
  log_text (&line, "target", stated->who.id);
  log_int (&line, "pause_ms", (int64_t)pause_ms);
  log_text (&line, "id", r->attempt_id);
  log_end (&line);
}

void
gtw_backpressure_note (gtw_request_t *r, const rly_answer_t *answer)
{
  enum
  {
    HTTP_MISDIRECTED = 421,
    HTTP_UNAVAILABLE = 503,
  };
  // Another incarnation may answer so at its address.
  if (r->http_status == HTTP_MISDIRECTED)
    return;
  if (answer->malformed != NULL)
    log_malformed (r, answer->malformed);
  gtw_stated_t *stated = stated_by_addressee (r);
  note_limit (r, stated, answer);
  if (answer->is_leaving)
    note_leaving (r, stated);
  if (r->http_status == HTTP_UNAVAILABLE && answer->retry_after_ms > 0)
    note_pause (r, stated, answer->retry_after_ms);
}

static uint64_t
subject_key (const gtw_target_t *target)
{
  enum
  {
    SEED = 1, ///< Keys of workspaces have another one.
  };
  uint64_t parts[2] = { 0, target->belief.born_ms };
  const char *id = target->told.who.id;
  parts[0] = kb_hash (id, strlen (id), SEED);
  return kb_hash (parts, sizeof parts, SEED) | 1;
}

static void
use_quota (gtw_request_t *r)
{
  const gtw_target_t *target = r->target;
  gtw_subject_t subject
      = { .key = subject_key (target),
          .name = target->told.who.id,
          .is_target = true,
          .limit
          = { .rate_per_s = bkp_limit_rate_per_s (&target->stated.limit) },
          .revision = target->stated.limit.at_ms };
  gtw_quota_use (r, &r->permit, &subject, 1);
}

qsp_verdict_t
gtw_backpressure_take (gtw_request_t *r)
{
  if (r->permit.quota == NULL && !r->target->stated.limit.is_limited)
    return QSP_SPENT;
  if (r->permit.quota == NULL)
    use_quota (r);
  qsp_verdict_t verdict = gtw_quota_take (&r->permit);
  // Another target may take it sooner than a lender is there.
  if (verdict == QSP_WAITS && !gtw_quota_has_lender (&r->permit))
    verdict = QSP_UNKNOWN;
  uint64_t wait_ms = gtw_quota_wait_ms (&r->permit);
  bool is_sooner = r->limit_wait_ms == 0 || wait_ms < r->limit_wait_ms;
  if (verdict == QSP_OVER && is_sooner)
    r->limit_wait_ms = wait_ms > 0 ? wait_ms : 1;
  return verdict;
}

uint64_t
gtw_backpressure_wait_ms (const gtw_gateway_t *gateway,
                          const gtw_target_t *target)
{
  return target->stated.limit.is_limited
             ? gtw_quota_subject_wait_ms (gateway, subject_key (target))
             : 0;
}

bool
gtw_backpressure_may_go_on (gtw_request_t *r)
{
  return ++r->pauses < PAUSES_MOST;
}

/// Whether a target would be used if it asked for no pause.
static bool
is_there (const gtw_request_t *r, const gtw_target_t *target)
{
  if (!target->is_listed || gtw_target_is_leaving (target)
      || strcmp (target->told.service, r->service) != 0)
    return false;
  return !r->is_engine || target->condition == MSG_ENGINE_READY;
}

uint64_t
gtw_backpressure_back_ms (const gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  uint64_t least_ms = r->limit_wait_ms;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      uint64_t pause_ms = is_there (r, t) ? gtw_target_pause_ms (t) : 0;
      if (pause_ms > 0 && (least_ms == 0 || pause_ms < least_ms))
        least_ms = pause_ms;
    }
  return least_ms;
}
