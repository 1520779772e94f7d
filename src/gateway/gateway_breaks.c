/// @file gateway_breaks.c
/// Ends of attempts: which requests were starting at a target when it ended.
#include <stdio.h>

#include "coordination/alone.h"
#include "coordination/quarantine.h"
#include "coordination/replace.h"
#include "gateway/gateway_suspects.h"
#include "relay/fingerprint.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Longest time from a broken connection to the proof that the target has
  /// ended. A sidecar's report or refused connections prove it within a
  /// second; where a proxy still accepts connections for the target, only the
  /// next incarnation proves it, some seconds later.
  END_EVIDENCE_TIMEOUT_MS = 5000,
  /// All connections of a process break within this time when it ends.
  SAME_END_WINDOW_MS = 100,
  /// The list names the next incarnation, or the target is asked whether it
  /// lives, and other gateways learn of it, within this time.
  UNSETTLED_MS = 2000,
};

bool
gtw_quarantine_has_earlier_break (gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  if (gateway->quarantine.entries.len == 0 && !gateway->has_broken_attempts)
    return false;
  uint64_t request = gtw_request_fingerprint (r, GTW_SCOPE_ANY_ADAPTER);
  if (qrt_count_ends (&gateway->quarantine, request) > 0)
    return true;
  for (uint32_t i = 0; i < GTW_MAX_BROKEN_ATTEMPTS; i++)
    if (gateway->broken_attempts[i].target != 0
        && gateway->broken_attempts[i].fingerprints[GTW_SCOPE_ANY_ADAPTER]
               == request
        && gtw_now_ms (gateway) - gateway->broken_attempts[i].at_ms
               <= END_EVIDENCE_TIMEOUT_MS)
      return true;
  return false;
}

/// @return  Whether a target has ended with an attempt, or may have.
static bool
is_unsettled (const gtw_broken_attempt_t *attempt)
{
  return attempt->target != 0 || attempt->has_ended;
}

bool
gtw_quarantine_has_unsettled_trial (gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  uint64_t request = gtw_request_fingerprint (r, GTW_SCOPE_ANY_ADAPTER);
  uint64_t caller = gtw_quarantine_caller (r);
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      const gtw_broken_attempt_t *attempt = &gateway->broken_attempts[i];
      if (attempt->is_isolated && attempt->is_starting
          && is_unsettled (attempt) && attempt->caller == caller
          && attempt->fingerprints[GTW_SCOPE_ANY_ADAPTER] == request
          && gtw_now_ms (gateway) - attempt->at_ms <= UNSETTLED_MS)
        return true;
    }
  return false;
}

/// @return  Equal at all gateways.
static uint64_t
incarnation_hash (const char *id, uint64_t born_ms)
{
  return kb_hash (id, strlen (id), born_ms) | 1;
}

static uint64_t
listed_incarnation (const gtw_target_t *target)
{
  return incarnation_hash (target->list_entry.identity.id,
                           target->known_birth.born_ms);
}

/// @return  The incarnation that a request was sent to, which the list may not
///          name yet.
static uint64_t
recipient_incarnation (const gtw_request_t *r)
{
  const inc_t *recipient = gtw_request_recipient (r);
  bool is_listed
      = strcmp (recipient->id, r->target->list_entry.identity.id) == 0
        && (recipient->born_ms == 0
            || recipient == &r->target->list_entry.identity);
  return is_listed ? listed_incarnation (r->target)
                   : incarnation_hash (recipient->id, recipient->born_ms);
}

static void
log_suspect (const gtw_gateway_t *gateway, const gtw_target_t *target,
             const gtw_broken_attempt_t *broken, bool is_alone)
{
  uint64_t hold_ms = 0;
  uint64_t request = broken->fingerprints[GTW_SCOPE_ANY_ADAPTER];
  qrt_verdict_t verdict = gtw_quarantine_judge (
      gateway, request, broken->caller, broken->is_plain, &hold_ms);
  static const char *const names[] = { "free", "alone", "held" };
  log_line_t line;
  if (!log_begin (&line, verdict == QRT_HELD ? LOG_WARN : LOG_INFO, "gateway",
                  "request_suspected"))
    return;
  char fingerprint[FPR_TEXT_BYTES];
  fpr_format (request, fingerprint);
  log_text (&line, "id", broken->attempt_id);
  log_text (&line, "fingerprint", fingerprint);
  log_text (&line, "target", target->list_entry.identity.id);
  log_int (&line, "was_alone", is_alone);
  log_int (&line, "since_ms", (int64_t)(gtw_now_ms (gateway) - broken->at_ms));
  log_text (&line, "verdict", names[verdict]);
  log_int (&line, "hold_ms", (int64_t)hold_ms);
  log_end (&line);
}

/// Record that a target ended while this request was starting there.
static void
record_suspect (gtw_gateway_t *gateway, const gtw_target_t *target,
                const gtw_broken_attempt_t *broken, bool is_alone)
{
  qrt_end_t end = { .target = broken->incarnation,
                    .caller = broken->caller,
                    .is_alone = is_alone };
  bool is_new = false;
  for (int scope = 0; scope < GTW_SCOPE_COUNT; scope++)
    {
      uint64_t request = broken->fingerprints[scope];
      if (!qrt_add_end (&gateway->quarantine, request, &end,
                        gtw_now_ms (gateway)))
        continue;
      is_new = true;
      uint32_t ends = qrt_count_ends (&gateway->quarantine, request);
      gtw_quarantine_publish (gateway, request, ends >= QRT_ENDS_ALONE);
    }
  if (is_new)
    log_suspect (gateway, target, broken, is_alone);
}

static bool
is_recent_break (const gtw_gateway_t *gateway,
                 const gtw_broken_attempt_t *broken,
                 const gtw_target_t *target)
{
  return broken->target == target->key
         && gtw_now_ms (gateway) - broken->at_ms <= END_EVIDENCE_TIMEOUT_MS;
}

bool
gtw_quarantine_awaits_evidence (const gtw_gateway_t *gateway,
                                const gtw_target_t *target)
{
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    if (is_recent_break (gateway, &gateway->broken_attempts[i], target))
      return true;
  return false;
}

/// Whether a request was alone at a target when the target ended. A sidecar
/// lets requests start alone at its engine; a plain target has no sidecar. A
/// request counts as alone there if this gateway kept its other requests away,
/// or if it had broken off before and was this gateway's only request there:
/// others may have been there through other gateways, but not repeatedly. A
/// request that is sent all the time is at several targets that end at the
/// same moment; it had not broken off before any of them. Requests that break
/// off later do so because the target has ended.
static bool
was_alone (const gtw_gateway_t *gateway, const gtw_target_t *target,
           const gtw_broken_attempt_t *broken)
{
  if (!broken->is_plain || !broken->is_alone || broken->is_isolated)
    return broken->is_alone;
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      const gtw_broken_attempt_t *other = &gateway->broken_attempts[i];
      // What ended earlier with an answer was sent by a live target.
      bool is_earlier = other->is_unconfirmed
                        && other->at_ms + SAME_END_WINDOW_MS < broken->at_ms;
      if (is_recent_break (gateway, other, target) && !is_earlier
          && other->fingerprints[GTW_SCOPE_ANY_ADAPTER]
                 != broken->fingerprints[GTW_SCOPE_ANY_ADAPTER]
          && other->at_ms <= broken->at_ms + SAME_END_WINDOW_MS)
        return false;
    }
  return true;
}

/// Record all requests that may have caused the end of a target, once the end
/// is certain.
/// @return  Number of suspects.
static uint32_t
record_suspects (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      const gtw_broken_attempt_t *broken = &gateway->broken_attempts[i];
      if (!is_recent_break (gateway, broken, target))
        continue;
      gtw_parts_blame (gateway, target, broken, broken->is_alone);
      if (!broken->is_starting)
        continue;
      record_suspect (gateway, target, broken,
                      was_alone (gateway, target, broken));
      count++;
    }
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      gtw_broken_attempt_t *attempt = &gateway->broken_attempts[i];
      if (attempt->target != target->key)
        continue;
      attempt->target = 0;
      attempt->has_ended = true;
    }
  return count;
}

void
gtw_quarantine_record_target_end (gtw_gateway_t *gateway, gtw_target_t *target,
                                  const char *evidence)
{
  // A target that is leaving is expected to end.
  if (gtw_target_is_leaving (target))
    return;
  // Another incarnation may have been used since, and have ended as well.
  uint32_t count = record_suspects (gateway, target);
  if (target->ended_ms > 0 && count == 0)
    return;
  target->ended_ms = gtw_now_ms (gateway);
  MET_INC ("knapweedbay_targets_ended_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "gateway", "target_ended"))
    return;
  log_text (&line, "target", target->list_entry.identity.id);
  log_text (&line, "evidence", evidence);
  log_int (&line, "suspects", count);
  log_end (&line);
}

/// Whether a request was starting at its target. Requests that have run there
/// for a while merely shared it.
static bool
is_starting (const gtw_request_t *r)
{
  bool is_sent = r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING;
  if (!is_sent || r->target == NULL)
    return false;
  return !r->is_begun
         || gtw_now_ms (r->gateway) - r->begun_ms <= ALN_STARTUP_MS;
}

bool
gtw_quarantine_is_suspect_starting (const gtw_request_t *r)
{
  bool is_suspect = r->is_engine ? r->is_alone_attempt : r->alone.is_alone;
  return is_suspect && is_starting (r);
}

/// @return  Whether an incarnation is the listed one of a target, or a later
///          one.
static bool
is_listed_or_later (uint64_t incarnation, uint64_t born_ms,
                    const gtw_target_t *target)
{
  uint64_t listed_ms = target->list_entry.identity.born_ms;
  return incarnation == listed_incarnation (target)
         || (listed_ms > 0 && born_ms > listed_ms);
}

/// @return  The target to which the end of an attempt belongs: its own, or the
///          next one at the address, if that was listed meanwhile and the
///          attempt was sent to its incarnation.
static gtw_target_t *
target_of_end (const gtw_request_t *r)
{
  gtw_target_t *target = r->target;
  for (;;)
    {
      gtw_target_t *next
          = target->next_key == 0
                ? NULL
                : kb_map_get (&r->gateway->targets, target->next_key);
      // An incarnation that has ended is not the next one, also if its clock
      // makes it look later.
      bool has_ended
          = target->ended_ms > 0
            && recipient_incarnation (r) == listed_incarnation (target);
      if (next == NULL || has_ended
          || !is_listed_or_later (recipient_incarnation (r),
                                  gtw_request_recipient (r)->born_ms, next))
        return target;
      target = next;
    }
}

static gtw_broken_attempt_t
describe_attempt (gtw_request_t *r)
{
  bool is_isolated = r->alone.is_alone;
  gtw_broken_attempt_t attempt
      = { .target = target_of_end (r)->key,
          .caller = gtw_quarantine_caller (r),
          .at_ms = gtw_now_ms (r->gateway),
          .incarnation = recipient_incarnation (r),
          .born_ms = gtw_request_recipient (r)->born_ms,
          .place_id = r->place_id,
          .is_plain = !r->is_engine,
          .is_isolated = is_isolated,
          .is_alone
          = is_isolated ? aln_is_still_alone (&r->alone) : r->is_alone_attempt,
          .is_starting = is_starting (r) };
  snprintf (attempt.attempt_id, sizeof attempt.attempt_id, "%s",
            r->attempt_id);
  gtw_parts_describe (r, &attempt);
  for (int scope = 0; scope < GTW_SCOPE_COUNT; scope++)
    attempt.fingerprints[scope] = gtw_request_fingerprint (r, scope);
  return attempt;
}

/// @return  Whether the end of a target was proved after a request had been
///          sent there. Its other suspects are recorded then. What was sent
///          later broke off for another reason, or with the next incarnation.
static bool
was_sent_before_end (const gtw_request_t *r)
{
  const gtw_target_t *target = target_of_end (r);
  return target->ended_ms > 0 && r->sent_ms <= target->ended_ms;
}

static void
record_late_suspect (const gtw_request_t *r,
                     const gtw_broken_attempt_t *attempt)
{
  gtw_parts_blame (r->gateway, r->target, attempt, attempt->is_alone);
  if (attempt->is_starting)
    record_suspect (r->gateway, r->target, attempt,
                    attempt->is_alone && !attempt->is_plain);
}

/// Keep an attempt until it is known whether its target has ended.
/// @param first  First entry of the part of the table that it belongs to.
/// @param count  Size of that part, at most GTW_MAX_BROKEN_ATTEMPTS.
static void
keep_attempt (gtw_gateway_t *gateway, uint32_t first, uint32_t count,
              const gtw_broken_attempt_t *attempt)
{
  rpl_entry_t entries[GTW_MAX_BROKEN_ATTEMPTS];
  gtw_broken_attempt_t *kept = &gateway->broken_attempts[first];
  for (uint32_t i = 0; i < count; i++)
    entries[i]
        = (rpl_entry_t){ .group = kept[i].target,
                         .caller = kept[i].caller,
                         .at_ms = kept[i].target == 0 ? 0 : kept[i].at_ms };
  rpl_entry_t added = { .group = attempt->target,
                        .caller = attempt->caller,
                        .at_ms = attempt->at_ms };
  kept[rpl_choose (entries, count, &added, END_EVIDENCE_TIMEOUT_MS)]
      = *attempt;
}

/// Keep an attempt after which the target may end, or has ended.
static void
record_break (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  if (!is_starting (r) && !gtw_parts_are_starting (r))
    return;
  gtw_target_t *target = target_of_end (r);
  gtw_broken_attempt_t broken = describe_attempt (r);
  r->target_doubt
      = r->is_begun && broken.is_starting ? MSG_DOUBT_BROKEN : MSG_DOUBT_NONE;
  if (was_sent_before_end (r))
    {
      record_late_suspect (r, &broken);
      return;
    }
  // The next proof of an end may be another one of the end that is known.
  if (broken.is_plain && target->ended_ms > 0)
    broken.is_alone = false;
  gateway->has_broken_attempts = true;
  keep_attempt (gateway, 0, GTW_MAX_BROKEN_ATTEMPTS, &broken);
  if (broken.is_plain)
    gtw_probe_start (gateway, target);
}

/// Keep an attempt that is a suspect until its target is known to have lived
/// on.
/// @param is_served  It was served if the target has.
static void
record_unconfirmed (gtw_request_t *r, bool is_served)
{
  gtw_gateway_t *gateway = r->gateway;
  gtw_broken_attempt_t attempt = describe_attempt (r);
  attempt.is_unconfirmed = true;
  attempt.is_served = is_served;
  r->target_doubt
      = r->is_begun && attempt.is_starting ? MSG_DOUBT_CLOSED : MSG_DOUBT_NONE;
  if (was_sent_before_end (r))
    {
      record_late_suspect (r, &attempt);
      return;
    }
  gateway->unconfirmed_ms = attempt.at_ms;
  target_of_end (r)->has_unconfirmed = true;
  keep_attempt (gateway, GTW_MAX_BROKEN_ATTEMPTS, GTW_MAX_UNCONFIRMED_ATTEMPTS,
                &attempt);
}

void
gtw_quarantine_record_joined (gtw_gateway_t *gateway, uint64_t place_id)
{
  gtw_request_t *r = kb_map_get (&gateway->requests_by_place, place_id);
  if (r != NULL)
    r->is_alone_attempt = false;
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    if (gateway->broken_attempts[i].place_id == place_id)
      gateway->broken_attempts[i].is_alone = false;
}

void
gtw_quarantine_forget_alone (gtw_gateway_t *gateway,
                             const gtw_target_t *target)
{
  for (gtw_request_t *r = gateway->requests; r != NULL; r = r->next)
    if (r->is_engine && r->has_place
        && strcmp (r->target->link, target->link) == 0)
      r->is_alone_attempt = false;
}

void
gtw_quarantine_move_breaks (gtw_gateway_t *gateway, const gtw_target_t *from,
                            gtw_target_t *to, bool is_from_alive)
{
  to->has_unconfirmed = to->has_unconfirmed || from->has_unconfirmed;
  for (uint32_t i = 0; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      gtw_broken_attempt_t *broken = &gateway->broken_attempts[i];
      if (broken->target != from->key)
        continue;
      // The listed incarnation that `to` replaces has ended, also if its clock
      // makes it look later.
      bool may_live
          = is_from_alive || broken->incarnation != listed_incarnation (from);
      if (may_live
          && is_listed_or_later (broken->incarnation, broken->born_ms, to))
        broken->target = to->key;
    }
}

/// A target that answers has not ended: earlier breaks had another cause.
static void
forget_breaks (gtw_gateway_t *gateway, const gtw_target_t *target,
               uint64_t answered_ms)
{
  for (uint32_t i = 0; i < GTW_MAX_BROKEN_ATTEMPTS; i++)
    if (gateway->broken_attempts[i].target == target->key
        && answered_ms
               > gateway->broken_attempts[i].at_ms + SAME_END_WINDOW_MS)
      gateway->broken_attempts[i].target = 0;
}

static void
record_served (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  uint64_t answered_ms
      = r->watched_ms > 0 ? r->watched_ms : gtw_now_ms (gateway);
  // It has answered, so it had not ended then.
  if (r->target->ended_ms <= answered_ms)
    r->target->ended_ms = 0;
  if (gateway->has_broken_attempts)
    forget_breaks (gateway, r->target, answered_ms);
  gtw_quarantine_confirm_recipient (r, answered_ms);
  if (gateway->quarantine.entries.len == 0)
    return;
  for (int scope = 0; scope < GTW_SCOPE_COUNT; scope++)
    gtw_quarantine_mark_served (gateway, gtw_request_fingerprint (r, scope));
}

void
gtw_quarantine_record_end (gtw_request_t *r, end_kind_t kind)
{
  end_proof_t proof = end_row (kind)->proof;
  r->end = end_row (kind)->name;
  r->evidence = end_proof_name (proof);
  switch (proof)
    {
    case END_PROVES_NOTHING:
      break;
    case END_PROVES_SERVED:
      record_served (r);
      break;
    case END_SERVED_IF_ALIVE:
    case END_SUSPECT_UNLESS_ALIVE:
      record_unconfirmed (r, proof == END_SERVED_IF_ALIVE);
      break;
    case END_SUSPECT:
      record_break (r);
      break;
    }
}

/// @return  Whether an attempt may be unconfirmed.
static bool
has_unconfirmed_attempts (const gtw_gateway_t *gateway)
{
  return gateway->unconfirmed_ms > 0
         && gtw_now_ms (gateway) - gateway->unconfirmed_ms
                <= END_EVIDENCE_TIMEOUT_MS;
}

/// The target of an attempt has lived on.
static void
settle_attempt (gtw_gateway_t *gateway, gtw_broken_attempt_t *attempt)
{
  attempt->target = 0;
  if (!attempt->is_served)
    return;
  gtw_parts_record_served (gateway, &attempt->parts);
  for (int scope = 0; scope < GTW_SCOPE_COUNT; scope++)
    gtw_quarantine_mark_served (gateway, attempt->fingerprints[scope]);
}

/// Settle the attempts after which a target lived on.
/// @param instance  Hash of the incarnation that was alive.
/// @param alive_ms  A moment at which it was.
static void
confirm_alive (gtw_gateway_t *gateway, gtw_target_t *target, uint64_t instance,
               uint64_t alive_ms)
{
  if (!target->has_unconfirmed)
    return;
  target->has_unconfirmed = false;
  for (uint32_t i = GTW_MAX_BROKEN_ATTEMPTS; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      gtw_broken_attempt_t *attempt = &gateway->broken_attempts[i];
      if (attempt->target != target->key)
        continue;
      if (attempt->incarnation != instance
          || attempt->at_ms + ALN_STARTUP_MS > alive_ms)
        {
          target->has_unconfirmed = true;
          continue;
        }
      settle_attempt (gateway, attempt);
    }
}

void
gtw_quarantine_confirm_place (gtw_gateway_t *gateway, uint64_t place_id)
{
  for (uint32_t i = GTW_MAX_BROKEN_ATTEMPTS; i < GTW_MAX_SUSPECT_ATTEMPTS; i++)
    {
      gtw_broken_attempt_t *attempt = &gateway->broken_attempts[i];
      if (attempt->target != 0 && attempt->place_id == place_id)
        settle_attempt (gateway, attempt);
    }
}

void
gtw_quarantine_confirm_recipient (const gtw_request_t *r, uint64_t alive_ms)
{
  if (r->target->has_unconfirmed)
    confirm_alive (r->gateway, r->target, recipient_incarnation (r), alive_ms);
}

void
gtw_quarantine_confirm_listed (gtw_gateway_t *gateway, gtw_target_t *target,
                               uint64_t alive_ms)
{
  confirm_alive (gateway, target, listed_incarnation (target), alive_ms);
}

void
gtw_quarantine_confirm_reported (gtw_gateway_t *gateway, gtw_target_t *target,
                                 const inc_t *engine, uint64_t alive_ms)
{
  confirm_alive (gateway, target,
                 incarnation_hash (engine->id, engine->born_ms), alive_ms);
}

gtw_target_t *
gtw_quarantine_next_unconfirmed (const gtw_gateway_t *gateway, uint32_t *at)
{
  if (!has_unconfirmed_attempts (gateway))
    return NULL;
  uint64_t now_ms = gtw_now_ms (gateway);
  while (*at < GTW_MAX_UNCONFIRMED_ATTEMPTS)
    {
      const gtw_broken_attempt_t *attempt
          = &gateway->broken_attempts[GTW_MAX_BROKEN_ATTEMPTS + (*at)++];
      uint64_t age_ms = now_ms - attempt->at_ms;
      if (attempt->target == 0 || !attempt->is_plain || age_ms < ALN_STARTUP_MS
          || age_ms > END_EVIDENCE_TIMEOUT_MS)
        continue;
      gtw_target_t *target = kb_map_get (&gateway->targets, attempt->target);
      if (target != NULL)
        return target;
    }
  return NULL;
}
