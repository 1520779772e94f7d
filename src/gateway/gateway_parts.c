/// @file gateway_parts.c
/// Parts of prompts with which engines end (coordination/parts.h): which are
/// to blame for an end, which were served, and where a suspect is tried.
#include "gateway/gateway_suspects.h"
#include "relay/fingerprint.h"
#include "transport/log.h"

enum
{
  /// A gateway that saw the engine of a trial ready within this time does not
  /// turn to the next one: what happened there may not be known yet.
  RECENTLY_READY_MS = 1000,
};

/// @return  Hash of its workspace; callers without one are one caller.
static uint64_t
caller_of (const gtw_request_t *r)
{
  return kb_hash (r->workspace, strlen (r->workspace), 1) | 1;
}

static const prt_list_t *
parts_of (gtw_request_t *r)
{
  if (!r->are_parts_known)
    prt_list_parse (r->parsed_head.prompt_parts, &r->parts);
  r->are_parts_known = true;
  return &r->parts;
}

bool
gtw_parts_are_starting (gtw_request_t *r)
{
  bool is_sent = r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING;
  if (!is_sent || !r->is_engine || r->target == NULL
      || parts_of (r)->count == 0)
    return false;
  return !r->is_begun
         || gtw_now_ms (r->gateway) - r->begun_ms <= PRT_STARTUP_MS;
}

void
gtw_parts_describe (gtw_request_t *r, gtw_broken_attempt_t *attempt)
{
  attempt->parts = *parts_of (r);
  attempt->parts_caller = caller_of (r);
  attempt->are_parts_starting = gtw_parts_are_starting (r);
}

static void
log_blamed (const gtw_gateway_t *gateway, const gtw_target_t *target,
            uint64_t part, const qrt_end_t *end)
{
  prt_list_t one = { .keys = { part }, .count = 1 };
  prt_judgement_t judgement = prt_judge (&gateway->quarantine, &one,
                                         end->caller, gtw_now_ms (gateway));
  static const char *const verdicts[] = { "free", "trial", "wait", "held" };
  static const char *const proofs[] = { "none", "alone", "sole" };
  log_line_t line;
  if (!log_begin (&line, judgement.verdict == PRT_HELD ? LOG_WARN : LOG_INFO,
                  "gateway", "part_suspected"))
    return;
  char text[FPR_TEXT_BYTES];
  fpr_format (part, text);
  log_text (&line, "part", text);
  log_text (&line, "target", target->list_entry.identity.id);
  log_text (&line, "proof", proofs[end->is_alone]);
  log_int (&line, "ends", qrt_count_ends (&gateway->quarantine, part));
  log_text (&line, "verdict", verdicts[judgement.verdict]);
  log_int (&line, "hold_ms", (int64_t)judgement.hold_ms);
  log_end (&line);
}

void
gtw_parts_blame (gtw_gateway_t *gateway, const gtw_target_t *target,
                 const gtw_broken_attempt_t *attempt, bool is_alone)
{
  // A request that had ended a target before is a suspect itself.
  uint64_t request = attempt->fingerprints[GTW_SCOPE_ANY_ADAPTER];
  if (!attempt->are_parts_starting
      || qrt_count_ends (&gateway->quarantine, request) > 0)
    return;
  prt_list_t blamed = attempt->parts;
  prt_list_remove_served (&blamed, &gateway->served_parts, attempt->at_ms);
  // Others are let in once the request counts as started.
  qrt_end_t end = { .target = attempt->incarnation,
                    .caller = attempt->parts_caller,
                    .is_alone = prt_proof_of (
                        &blamed, is_alone && attempt->is_starting) };
  for (uint32_t i = 0; i < blamed.count; i++)
    {
      uint64_t part = blamed.keys[i];
      if (!qrt_add_end (&gateway->quarantine, part, &end,
                        gtw_now_ms (gateway)))
        continue;
      uint32_t ends = qrt_count_ends (&gateway->quarantine, part);
      gtw_quarantine_publish (gateway, part, ends >= QRT_ENDS_ALONE);
      log_blamed (gateway, target, part, &end);
    }
}

void
gtw_parts_record_served (gtw_gateway_t *gateway, const prt_list_t *parts)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  for (uint32_t i = 0; i < parts->count; i++)
    {
      prt_served_add (&gateway->served_parts, parts->keys[i], now_ms);
      if (gateway->quarantine.entries.len > 0)
        gtw_quarantine_mark_served (gateway, parts->keys[i]);
    }
}

void
gtw_parts_record_progress (gtw_request_t *r)
{
  if (!r->is_engine || r->are_parts_served || !r->is_begun)
    return;
  if (!r->is_complete && gtw_parts_are_starting (r))
    return;
  r->are_parts_served = true;
  gtw_parts_record_served (r->gateway, parts_of (r));
}

void
gtw_parts_clear_served (gtw_gateway_t *gateway)
{
  uint64_t served[QRT_MAX_ENTRIES];
  uint32_t count
      = prt_find_served (&gateway->quarantine, &gateway->served_parts,
                         gtw_now_ms (gateway), served);
  for (uint32_t i = 0; i < count; i++)
    gtw_quarantine_mark_served (gateway, served[i]);
}

/// @return  The engine at which all gateways try a part, if it is ready; NULL:
///          none is, or it was until just now.
static const gtw_target_t *
find_trial_target (const gtw_request_t *r, uint64_t part)
{
  const gtw_gateway_t *gateway = r->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  const gtw_target_t *best = NULL;
  uint64_t best_weight = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (!t->is_listed || t->ready_ms == 0
          || now_ms - t->ready_ms > RECENTLY_READY_MS
          || strcmp (t->list_entry.service, r->service) != 0)
        continue;
      uint64_t pair[2] = { part, t->address_hash };
      uint64_t weight = kb_hash (pair, sizeof pair, 0);
      if (best != NULL && weight <= best_weight)
        continue;
      best = t;
      best_weight = weight;
    }
  return best != NULL && best->condition == MSG_ENGINE_READY ? best : NULL;
}

prt_judgement_t
gtw_parts_judge (gtw_request_t *r)
{
  prt_judgement_t out = { .verdict = PRT_FREE };
  r->trial_target = 0;
  if (!r->is_engine || r->gateway->quarantine.entries.len == 0)
    return out;
  out = prt_judge (&r->gateway->quarantine, parts_of (r), caller_of (r),
                   gtw_now_ms (r->gateway));
  if (out.verdict != PRT_TRIAL)
    return out;
  const gtw_target_t *target = find_trial_target (r, out.suspect);
  if (target == NULL)
    out.verdict = PRT_WAIT;
  else
    r->trial_target = target->key;
  return out;
}
