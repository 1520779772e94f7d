/// @file gateway_quarantine.c
/// Requests under which targets ended (coordination/quarantine.h): who was
/// beginning at a target when it ended, and what other daemons are told.
#include "coordination/alone.h"
#include "coordination/quarantine.h"
#include "gateway/gateway_defs.h"
#include "relay/fingerprint.h"
#include "relay/passing.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Between the break of a connection and the proof that the target has
  /// ended. A sidecar's word or refused connections tell within a second;
  /// where something before the target still takes connections, only the next
  /// incarnation does, some seconds later.
  EVIDENCE_MS = 5000,
  /// All connections of a process break within this when it ends.
  ONE_END_MS = 100,
  /// Sidecars that are told at once, and join what gateways say.
  FIRST_RECEIVERS = 3,
};

/// Its workspace, or else the address of its connection.
static uint64_t
caller_of (const gtw_request_t *r)
{
  bool has_workspace = r->workspace[0] != '\0';
  const char *caller = has_workspace ? r->workspace : r->client->caller;
  return kb_hash (caller, strlen (caller), has_workspace) | 1;
}

qrt_verdict_t
gtw_quarantine_judge (gtw_request_t *r, uint64_t *hold_ms)
{
  const qrt_table_t *table = &r->gateway->quarantine;
  // The fingerprint is not worked out while nothing is known of any request.
  if (table->entries.len == 0)
    return QRT_FREE;
  qrt_verdict_t worst = QRT_FREE;
  for (int width = 0; width < GTW_WIDTHS; width++)
    {
      qrt_verdict_t verdict
          = qrt_judge (table, gtw_request_fingerprint (r, width),
                       caller_of (r), gtw_now_ms (r->gateway), hold_ms);
      if (verdict > worst)
        worst = verdict;
    }
  return worst;
}

bool
gtw_quarantine_has_broken (gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  if (gateway->quarantine.entries.len == 0 && gateway->break_count == 0)
    return false;
  uint64_t request = gtw_request_fingerprint (r, GTW_WIDE);
  if (qrt_ends (&gateway->quarantine, request) > 0)
    return true;
  for (uint32_t i = 0; i < GTW_MAX_BREAKS; i++)
    if (gateway->breaks[i].target != 0
        && gateway->breaks[i].requests[GTW_WIDE] == request
        && gtw_now_ms (gateway) - gateway->breaks[i].at_ms <= EVIDENCE_MS)
      return true;
  return false;
}

void
gtw_quarantine_refuse (gtw_request_t *r, uint64_t hold_ms)
{
  MET_INC ("knapweedbay_requests_held_total", "");
  gtw_request_refuse (r, "quarantined", hold_ms);
}

static void
give_all (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  kb_buf_t words = { 0 };
  qrt_pack (&gateway->quarantine, gtw_now_ms (gateway), &words);
  psn_give_quarantine (&gateway->host, target->link, &words);
  kb_buf_finish (&words);
}

void
gtw_quarantine_help (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  if (target->quarantine_stamp != qrt_stamp (&gateway->quarantine))
    give_all (gateway, target);
}

/// @return  The sidecar that is heard and ranks highest for a request below a
///          rank, or NULL.
static const gtw_target_t *
next_receiver (const gtw_gateway_t *gateway, uint64_t request, uint64_t *rank)
{
  const gtw_target_t *best = NULL;
  uint64_t best_rank = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      uint64_t own = kb_hash (&t->place_key, sizeof t->place_key, request);
      if (!gtw_target_is_heard (gateway, t) || own >= *rank
          || own <= best_rank)
        continue;
      best = t;
      best_rank = own;
    }
  *rank = best_rank;
  return best;
}

/// Tell a few sidecars at once what changed about a request. All gateways tell
/// the same ones, so that these can join what each of them saw, and tell all
/// gateways once it matters.
/// @return  How many were told.
static uint32_t
tell_some (gtw_gateway_t *gateway, uint64_t request)
{
  kb_buf_t words = { 0 };
  qrt_pack_one (&gateway->quarantine, request, gtw_now_ms (gateway), &words);
  uint32_t told = 0;
  uint64_t rank = UINT64_MAX;
  for (const gtw_target_t *t = next_receiver (gateway, request, &rank);
       t != NULL && told < FIRST_RECEIVERS;
       t = next_receiver (gateway, request, &rank))
    {
      psn_give_quarantine (&gateway->host, t->link, &words);
      told++;
    }
  kb_buf_finish (&words);
  return told;
}

/// What this gateway found out goes to others. Most requests are suspected
/// once and never again; only those that may be held are kept at the platform,
/// unless there is no sidecar that could tell the other gateways.
static void
spread (gtw_gateway_t *gateway, uint64_t request, bool may_be_held)
{
  if (tell_some (gateway, request) == 0 || may_be_held)
    gtw_keep (gateway, request);
}

void
gtw_quarantine_take (gtw_gateway_t *gateway, kb_slice_t words)
{
  if (qrt_take (&gateway->quarantine, words, gtw_now_ms (gateway), NULL))
    return;
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  log_write (LOG_WARN, "gateway",
             "A word about requests that end targets is ignored.");
}

/// The same in all gateways.
static uint64_t
incarnation_hash (const gtw_target_t *target)
{
  const char *id = target->told.who.id;
  return kb_hash (id, strlen (id), target->belief.born_ms) | 1;
}

static void
log_suspect (const gtw_gateway_t *gateway, const gtw_target_t *target,
             const gtw_break_t *broken, bool is_alone)
{
  uint64_t hold_ms = 0;
  uint64_t request = broken->requests[GTW_WIDE];
  qrt_verdict_t verdict
      = qrt_judge (&gateway->quarantine, request, broken->caller,
                   gtw_now_ms (gateway), &hold_ms);
  static const char *const names[] = { "free", "alone", "held" };
  log_line_t line;
  if (!log_begin (&line, verdict == QRT_HELD ? LOG_WARN : LOG_INFO, "gateway",
                  "request_suspected"))
    return;
  char fingerprint[FPR_TEXT_BYTES];
  fpr_text (request, fingerprint);
  log_text (&line, "fingerprint", fingerprint);
  log_text (&line, "target", target->told.who.id);
  log_int (&line, "was_alone", is_alone);
  log_text (&line, "verdict", names[verdict]);
  log_int (&line, "hold_ms", (int64_t)hold_ms);
  log_end (&line);
}

/// A target ended while this request was beginning there.
static void
suspect (gtw_gateway_t *gateway, const gtw_target_t *target,
         const gtw_break_t *broken, bool is_alone)
{
  qrt_end_t end = { .target = incarnation_hash (target),
                    .caller = broken->caller,
                    .is_alone = is_alone };
  bool is_new = false;
  for (int width = 0; width < GTW_WIDTHS; width++)
    {
      uint64_t request = broken->requests[width];
      if (!qrt_note_end (&gateway->quarantine, request, &end,
                         gtw_now_ms (gateway)))
        continue;
      is_new = true;
      uint32_t ends = qrt_ends (&gateway->quarantine, request);
      spread (gateway, request, ends >= QRT_ENDS_ALONE);
    }
  if (is_new)
    log_suspect (gateway, target, broken, is_alone);
}

static bool
is_of (const gtw_gateway_t *gateway, const gtw_break_t *broken,
       const gtw_target_t *target)
{
  return broken->target == target->key
         && gtw_now_ms (gateway) - broken->at_ms <= EVIDENCE_MS;
}

/// Beside a plain target no sidecar lets a request begin alone. One that this
/// gateway kept its others from, or that had broken off before and was the
/// only one of this gateway's there, counts as if it had: others may have been
/// there through other gateways, but not time and again. One that is sent all
/// the time is at several targets that end at one moment; it had not broken
/// off before any of them. What breaks off later does so because the target
/// has ended.
static bool
was_alone (const gtw_gateway_t *gateway, const gtw_target_t *target,
           const gtw_break_t *broken)
{
  if (!broken->is_plain || !broken->is_alone || broken->is_isolated)
    return broken->is_alone;
  for (uint32_t i = 0; i < GTW_MAX_BREAKS; i++)
    {
      const gtw_break_t *other = &gateway->breaks[i];
      if (is_of (gateway, other, target)
          && other->requests[GTW_WIDE] != broken->requests[GTW_WIDE]
          && other->at_ms <= broken->at_ms + ONE_END_MS)
        return false;
    }
  return true;
}

/// Whom the end of a target may be put down to, once it is certain.
/// @return  How many.
static uint32_t
suspect_all (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < GTW_MAX_BREAKS; i++)
    {
      const gtw_break_t *broken = &gateway->breaks[i];
      if (!is_of (gateway, broken, target))
        continue;
      suspect (gateway, target, broken, was_alone (gateway, target, broken));
      count++;
    }
  for (uint32_t i = 0; i < GTW_MAX_BREAKS; i++)
    if (gateway->breaks[i].target == target->key)
      gateway->breaks[i].target = 0;
  return count;
}

void
gtw_quarantine_target_ended (gtw_gateway_t *gateway, gtw_target_t *target,
                             const char *evidence)
{
  // A target that leaves ends by itself.
  if (target->ended_ms > 0 || gtw_target_is_leaving (target))
    return;
  target->ended_ms = gtw_now_ms (gateway);
  uint32_t count = suspect_all (gateway, target);
  MET_INC ("knapweedbay_targets_ended_total", "");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "gateway", "target_ended"))
    return;
  log_text (&line, "target", target->told.who.id);
  log_text (&line, "evidence", evidence);
  log_int (&line, "suspects", count);
  log_end (&line);
}

/// Whether a request was beginning at its target. What has run there for a
/// while merely shared it.
static bool
is_beginning (const gtw_request_t *r)
{
  bool is_sent = r->stage == GTW_SENT || r->stage == GTW_PASSING;
  if (!is_sent || r->target == NULL)
    return false;
  return !r->is_begun || gtw_now_ms (r->gateway) - r->begun_ms <= ALN_BEGUN_MS;
}

void
gtw_quarantine_note_break (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  if (!is_beginning (r))
    return;
  gtw_target_t *target = r->target;
  gtw_break_t broken = { .target = target->key,
                         .caller = caller_of (r),
                         .at_ms = gtw_now_ms (gateway),
                         .is_plain = !r->is_engine,
                         .is_isolated = r->alone.is_alone,
                         .is_alone = r->begins_alone || r->alone.is_alone };
  for (int width = 0; width < GTW_WIDTHS; width++)
    broken.requests[width] = gtw_request_fingerprint (r, width);
  // The proof came first: who else was there is looked through already.
  if (target->ended_ms > 0)
    {
      suspect (gateway, target, &broken, broken.is_alone && !broken.is_plain);
      return;
    }
  gateway->breaks[gateway->break_count++ % GTW_MAX_BREAKS] = broken;
  if (broken.is_plain)
    gtw_probe_start (gateway, target);
}

/// A target answers: what broke off there before broke for another reason.
static void
forget_breaks (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  for (uint32_t i = 0; i < GTW_MAX_BREAKS; i++)
    if (gateway->breaks[i].target == target->key
        && now_ms - gateway->breaks[i].at_ms > ONE_END_MS)
      gateway->breaks[i].target = 0;
}

void
gtw_quarantine_note_served (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  // Whatever it was taken for: it lives.
  r->target->ended_ms = 0;
  if (gateway->break_count > 0)
    forget_breaks (gateway, r->target);
  if (gateway->quarantine.entries.len == 0)
    return;
  for (int width = 0; width < GTW_WIDTHS; width++)
    {
      uint64_t request = gtw_request_fingerprint (r, width);
      uint32_t ends = qrt_ends (&gateway->quarantine, request);
      if (qrt_note_served (&gateway->quarantine, request,
                           gtw_now_ms (gateway)))
        spread (gateway, request, ends >= QRT_ENDS_ALONE);
    }
}
