/// @file gateway_backpressure.c
/// Limits, pauses and leaving that targets state in the heads of their
/// answers.
#include "coordination/backpressure.h"
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Targets that may request a pause because of one request.
  MAX_PAUSES_PER_REQUEST = 3,
};

static void
log_limit (const gtw_request_t *r, const gtw_advertised_t *stated)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_limit"))
    return;
  log_text (&line, "target", stated->identity.id);
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
  log_text (&line, "target", gtw_request_recipient (r)->id);
  log_text (&line, "field", field);
  log_end (&line);
}

static bool
is_same_incarnation (const inc_t *a, const inc_t *b)
{
  bool is_other_birth
      = a->born_ms > 0 && b->born_ms > 0 && a->born_ms != b->born_ms;
  return strcmp (a->id, b->id) == 0 && !is_other_birth;
}

/// @return  The target that is used at the address of the present one. The
///          list may have two incarnations of an engine for a while, while its
///          sidecar serves one.
static gtw_target_t *
linked_target (const gtw_request_t *r)
{
  gtw_target_t *linked
      = r->is_engine ? kb_map_get (
            &r->gateway->links, gtw_link_key (kb_slice_str (r->target->link)))
                     : NULL;
  return linked != NULL ? linked : r->target;
}

/// @return  What the addressee of a request has stated so far.
static gtw_advertised_t *
stated_of_addressee (const gtw_request_t *r)
{
  gtw_advertised_t *stated = &linked_target (r)->advertised;
  const inc_t *who = gtw_request_recipient (r);
  if (!is_same_incarnation (&stated->identity, who))
    *stated = (gtw_advertised_t){ .identity = *who };
  return stated;
}

void
gtw_backpressure_inherit (gtw_target_t *target, const gtw_target_t *from)
{
  if (is_same_incarnation (&from->advertised.identity,
                           &target->list_entry.identity))
    target->advertised = from->advertised;
}

bool
gtw_backpressure_is_in_force (const gtw_target_t *target)
{
  return target->advertised.is_leaving || target->advertised.limit.is_limited
         || gtw_target_pause_ms (target) > 0;
}

static void
apply_limit (gtw_request_t *r, gtw_advertised_t *stated,
             const rly_response_t *answer)
{
  double per_s = answer->has_limit ? answer->limit_per_s : -1;
  if (answer->is_limit_malformed
      || !bkp_limit_apply_answer (&stated->limit, per_s, r->sent_boot_ms,
                                  tmr_boottime_ms ()))
    return;
  log_limit (r, stated);
  // The next tick reports it to the sidecar.
  linked_target (r)->state_sent_ms = 0;
}

/// Holds for this incarnation; the list may state it much later.
static void
apply_leaving (const gtw_request_t *r, gtw_advertised_t *stated)
{
  if (stated->is_leaving)
    return;
  stated->is_leaving = true;
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_states_leaving"))
    return;
  log_text (&line, "target", stated->identity.id);
  log_int (&line, "is_listed_leaving", r->target->list_entry.is_leaving);
  log_text (&line, "id", r->attempt_id);
  log_end (&line);
}

/// The target refused a request and requested a pause. Pauses overlap: a
/// shorter one does not end a longer one.
static void
apply_pause (const gtw_request_t *r, gtw_advertised_t *stated,
             uint64_t pause_ms)
{
  // The clock is rounded down to whole milliseconds.
  uint64_t until_ms = tmr_boottime_ms () + 1 + pause_ms;
  if (until_ms <= stated->paused_until_ms)
    return;
  stated->paused_until_ms = until_ms;
  MET_INC ("knapweedbay_target_pauses_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "target_paused"))
    return;
  log_text (&line, "target", stated->identity.id);
  log_int (&line, "pause_ms", (int64_t)pause_ms);
  log_text (&line, "id", r->attempt_id);
  log_end (&line);
}

void
gtw_backpressure_apply_answer (gtw_request_t *r, const rly_response_t *answer)
{
  enum
  {
    HTTP_MISDIRECTED = 421,
    HTTP_UNAVAILABLE = 503,
  };
  // Another incarnation may give this answer at the target's address.
  if (r->http_status == HTTP_MISDIRECTED)
    return;
  if (answer->malformed_field != NULL)
    log_malformed (r, answer->malformed_field);
  gtw_advertised_t *stated = stated_of_addressee (r);
  apply_limit (r, stated, answer);
  if (answer->is_leaving)
    apply_leaving (r, stated);
  if (r->http_status == HTTP_UNAVAILABLE && answer->retry_after_ms > 0)
    apply_pause (r, stated, answer->retry_after_ms);
}

static uint64_t
subject_key (const gtw_target_t *target)
{
  enum
  {
    TARGET_KEY_SEED = 1, ///< Differs from the seed of workspace keys.
  };
  uint64_t parts[2] = { 0, target->known_birth.born_ms };
  const char *id = target->list_entry.identity.id;
  parts[0] = kb_hash (id, strlen (id), TARGET_KEY_SEED);
  return kb_hash (parts, sizeof parts, TARGET_KEY_SEED) | 1;
}

static void
prepare_permit (gtw_request_t *r)
{
  const gtw_target_t *target = r->target;
  gtw_quota_subject_t subject
      = { .key = subject_key (target),
          .name = target->list_entry.identity.id,
          .is_target = true,
          .limit
          = { .rate_per_s = bkp_limit_rate_per_s (&target->advertised.limit) },
          .revision = target->advertised.limit.at_ms };
  gtw_quota_prepare_charge (r, &r->permit, &subject, 1);
}

qsp_verdict_t
gtw_backpressure_try_permit (gtw_request_t *r)
{
  if (r->permit.quota == NULL && !r->target->advertised.limit.is_limited)
    return QSP_ADMITTED;
  if (r->permit.quota == NULL)
    prepare_permit (r);
  qsp_verdict_t verdict = gtw_quota_try_charge (&r->permit);
  // Another target may accept it before a lender is found.
  if (verdict == QSP_WAITING && !gtw_quota_has_lender (&r->permit))
    verdict = QSP_NO_LENDER;
  uint64_t wait_ms = gtw_quota_wait_ms (&r->permit);
  bool is_sooner = r->limit_wait_ms == 0 || wait_ms < r->limit_wait_ms;
  if (verdict == QSP_OVER_QUOTA && is_sooner)
    r->limit_wait_ms = wait_ms > 0 ? wait_ms : 1;
  return verdict;
}

uint64_t
gtw_backpressure_wait_ms (const gtw_gateway_t *gateway,
                          const gtw_target_t *target)
{
  return target->advertised.limit.is_limited
             ? gtw_quota_subject_wait_ms (gateway, subject_key (target))
             : 0;
}

bool
gtw_backpressure_may_retry (gtw_request_t *r)
{
  return ++r->pauses_requested < MAX_PAUSES_PER_REQUEST;
}

/// @return  Whether a target would be used if it were not paused.
static bool
is_usable_without_pause (const gtw_request_t *r, const gtw_target_t *target)
{
  if (!gtw_target_is_staying (target)
      || strcmp (target->list_entry.service, r->service) != 0)
    return false;
  return !r->is_engine || target->condition == MSG_ENGINE_READY;
}

uint64_t
gtw_backpressure_retry_after_ms (const gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  uint64_t min_ms = r->limit_wait_ms;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      uint64_t pause_ms
          = is_usable_without_pause (r, t) ? gtw_target_pause_ms (t) : 0;
      if (pause_ms > 0 && (min_ms == 0 || pause_ms < min_ms))
        min_ms = pause_ms;
    }
  return min_ms;
}
