/// @file entry_keyed.c
/// Stages of requests with an idempotency key: claiming the key at its owner,
/// revoking an earlier attempt at its runner, fetching a stored answer.
#include "daemon/entry_defs.h"
#include "transport/metrics.h"

enum
{
  DEFAULT_RETRY_AFTER_MS = 1000,
  RUNNING_RETRY_AFTER_MS = 1000,
  CLAIM_RETRY_INTERVAL_MS = 200, ///< Also the timeout of one reply.
  MAX_CLAIM_RETRIES = 15,
  HTTP_CONFLICT = 409,
  HTTP_UNPROCESSABLE = 422,
  HTTP_BAD_GATEWAY = 502,
  HTTP_GATEWAY_TIMEOUT = 504,
};

static void
claim_retry_timer_on_expire (void *arg)
{
  ent_claim_send (arg);
}

static void
schedule_claim_retry (ent_request_t *r)
{
  if (++r->claim_retry_count > MAX_CLAIM_RETRIES)
    {
      ent_request_release_vm (r);
      ent_request_fail_not_run (r, "the owner of this key is not available",
                                0);
      return;
    }
  // The owner in the shard map didn't reply as the owner: the map is stale.
  if (r->claim_retry_count > 1)
    ent_claims_read_map (r->entry);
  tmr_start_once (&r->entry->daemon->timers, &r->claim_retry_timer,
                  CLAIM_RETRY_INTERVAL_MS, claim_retry_timer_on_expire, r);
}

/// Bind the request to the target of the earlier attempt with the same key.
/// @return  False if that incarnation of the target can no longer be reached.
static bool
select_holder_target (ent_request_t *r, uint64_t runner, uint64_t incarnation)
{
  ent_request_release_vm (r);
  ent_vm_t *vm = kb_map_get (&r->entry->vms, runner);
  bool is_holder_reachable
      = vm != NULL && vm->member.incarnation == incarnation
        && (vm->state == MEM_UP || vm->state == MEM_LEAVING);
  if (!is_holder_reachable)
    return false;
  r->vm = vm;
  vm->inflight++;
  r->vm_incarnation = incarnation;
  return true;
}

static void
fetch_answer (ent_request_t *r)
{
  MET_INC ("knapweedbay_resends_answered_total", "");
  r->stage = ENT_STAGE_FETCHING;
  r->is_claimed = false;
  ent_request_dispatch (r);
}

static void
revoke_holder_attempt (ent_request_t *r, uint64_t holder)
{
  r->stage = ENT_STAGE_REVOKING;
  r->holder_attempt = holder;
  msg_t msg = { .type = MSG_REVOKE };
  msg.revoke = (msg_revoke_t){ .attempt = holder,
                               .claim_key = r->claim_key,
                               .incarnation = r->vm_incarnation };
  // The reply carries the holder's attempt; ent_request_on_revoked finds this
  // request by `holder_attempt`.
  kb_map_put (&r->entry->requests_by_attempt, r->attempt, r);
  if (dmn_send (r->entry->daemon, r->vm->name, &msg) != KB_OK)
    ent_request_fail (r, HTTP_GATEWAY_TIMEOUT, "unknown",
                      "the target of the earlier request is not reachable",
                      DEFAULT_RETRY_AFTER_MS);
}

static void
handle_held_claim (ent_request_t *r, clm_verdict_t verdict, uint64_t holder,
                   uint64_t incarnation, clm_state_t state, uint64_t runner)
{
  if (verdict == CLM_VERDICT_FINISHED && state == CLM_FAILED)
    {
      ent_request_fail (r, HTTP_BAD_GATEWAY, "ran_failed",
                        "an earlier request with this key ran and failed", 0);
      return;
    }
  if (!select_holder_target (r, runner, incarnation))
    {
      ent_request_fail (
          r, HTTP_GATEWAY_TIMEOUT, "unknown",
          "the target of an earlier request with this key is lost", 0);
      return;
    }
  if (verdict == CLM_VERDICT_FINISHED)
    fetch_answer (r);
  else
    revoke_holder_attempt (r, holder);
}

void
ent_request_handle_claim_verdict (ent_request_t *r, clm_verdict_t verdict,
                                  uint64_t epoch, uint64_t holder,
                                  uint64_t incarnation, clm_state_t state,
                                  uint64_t runner)
{
  switch (verdict)
    {
    case CLM_VERDICT_GRANTED:
      r->is_claimed = true;
      r->epoch = epoch;
      r->voided_attempt = 0;
      ent_request_dispatch (r);
      break;
    case CLM_VERDICT_HELD:
    case CLM_VERDICT_FINISHED:
      handle_held_claim (r, verdict, holder, incarnation, state, runner);
      break;
    case CLM_VERDICT_MISMATCH:
      ent_request_fail (r, HTTP_UNPROCESSABLE, "not_run",
                        "this idempotency key was used with another request",
                        0);
      break;
    case CLM_VERDICT_UNKNOWN:
      ent_request_fail (
          r, HTTP_GATEWAY_TIMEOUT, "unknown",
          "a request with this key may have run and its outcome is "
          "lost",
          0);
      break;
    case CLM_VERDICT_FULL:
      ent_request_release_vm (r);
      ent_request_fail_not_run (r, "too many idempotency keys are remembered",
                                0);
      break;
    default:
      schedule_claim_retry (r);
    }
}

void
ent_request_on_revoked (ent_entry_t *entry, const msg_revoked_t *revoked)
{
  ent_request_t *r
      = kb_map_get (&entry->requests_by_attempt, revoked->attempt);
  if (r != NULL && r->stage == ENT_STAGE_SENT)
    {
      // Reply to ent_requests_on_vm_reconnected: an attempt of this request.
      if (revoked->state == MSG_REVOKED_VOIDED)
        ent_request_handle_not_run (r, "the connection to the target was lost",
                                    0);
      else if (revoked->state != MSG_REVOKED_RUNNING)
        ent_request_handle_unknown (r, "the answer was lost with a connection",
                                    revoked->state
                                        != MSG_REVOKED_OTHER_INCARNATION);
      return;
    }
  for (r = entry->requests; r != NULL; r = r->next)
    if (r->stage == ENT_STAGE_REVOKING && r->holder_attempt == revoked->attempt
        && r->claim_key == revoked->claim_key)
      break;
  if (r == NULL)
    return;
  switch (revoked->state)
    {
    case MSG_REVOKED_VOIDED:
      // The earlier attempt can no longer start, so the key is free.
      r->voided_attempt = revoked->attempt;
      r->holder_attempt = 0;
      ent_request_drop_attempt (r);
      ent_request_release_vm (r);
      ent_request_begin_attempt (r);
      break;
    case MSG_REVOKED_RUNNING:
      ent_request_fail (r, HTTP_CONFLICT, "running",
                        "a request with this key is running",
                        RUNNING_RETRY_AFTER_MS);
      break;
    case MSG_REVOKED_DONE:
      fetch_answer (r);
      break;
    case MSG_REVOKED_FAILED:
      ent_request_fail (r, HTTP_BAD_GATEWAY, "ran_failed",
                        "an earlier request with this key ran and failed", 0);
      break;
    default:
      ent_request_fail (
          r, HTTP_GATEWAY_TIMEOUT, "unknown",
          "the target of an earlier request with this key is lost", 0);
    }
}
