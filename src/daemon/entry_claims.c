/// @file entry_claims.c
/// Claim messages of an entry, as the owner of some shards and as a claimant
/// to the owners of others.
#include "daemon/entry_defs.h"

void
ent_claim_send (ent_request_t *r)
{
  ent_entry_t *entry = r->entry;
  uint32_t s = clm_shard (r->claim_key);
  clm_claim_t claim = { .key = r->claim_key,
                        .digest = r->claim_digest,
                        .attempt = r->attempt,
                        .voided_attempt = r->voided_attempt,
                        .incarnation = r->vm_incarnation,
                        .runner = r->vm->id };
  if (entry->claim_owner.shards[s].state != CLM_SHARD_FOREIGN
      || ent_shard_is_own (entry, &entry->shard_map[s])
      || entry->shard_map[s].owner[0] == '\0')
    {
      clm_answer_t answer
          = clm_owner_claim (&entry->claim_owner, &claim, tmr_now_ms ());
      const clm_record_t *record = answer.record;
      ent_request_handle_claim_verdict (
          r, answer.verdict, answer.epoch, record ? record->attempt : 0,
          record ? record->incarnation : 0,
          record ? record->state : CLM_GRANTED, record ? record->runner : 0);
      return;
    }
  msg_t msg = { .type = MSG_CLAIM };
  msg.claim = (msg_claim_t){ .id = r->attempt,
                             .claim_key = claim.key,
                             .digest = claim.digest,
                             .attempt = claim.attempt,
                             .voided_attempt = claim.voided_attempt,
                             .incarnation = claim.incarnation,
                             .runner = claim.runner };
  // A lost claim or reply is covered by the retry; the owner recognizes the
  // attempt.
  (void)dmn_send (entry->daemon, entry->shard_map[s].owner, &msg);
  ent_request_handle_claim_verdict (r, CLM_VERDICT_NOT_OWNER, 0, 0, 0,
                                    CLM_GRANTED, 0);
}

static clm_state_t
claim_state_from_outcome (uint64_t outcome)
{
  return outcome >= CLM_GRANTED && outcome <= CLM_RELEASED
             ? (clm_state_t)outcome
             : CLM_UNKNOWN;
}

void
ent_claim_report_outcome (ent_request_t *r, clm_state_t state)
{
  ent_entry_t *entry = r->entry;
  uint32_t s = clm_shard (r->claim_key);
  uint64_t attempt = r->attempt != 0 ? r->attempt : r->voided_attempt;
  if (entry->claim_owner.shards[s].state != CLM_SHARD_FOREIGN)
    {
      clm_owner_record_outcome (&entry->claim_owner, r->claim_key, attempt,
                                state, tmr_now_ms ());
      return;
    }
  // If the message is lost, the owner has to query the runner later; no
  // guarantee depends on it.
  msg_t msg = { .type = MSG_CLAIM_OUTCOME };
  msg.claim_outcome = (msg_claim_outcome_t){ .claim_key = r->claim_key,
                                             .attempt = attempt,
                                             .outcome = state };
  dmn_send (entry->daemon, entry->shard_map[s].owner, &msg);
}

void
ent_claims_on_claim (ent_entry_t *entry, kb_slice_t from,
                     const msg_claim_t *claim_msg)
{
  clm_claim_t claim = { .key = claim_msg->claim_key,
                        .digest = claim_msg->digest,
                        .attempt = claim_msg->attempt,
                        .voided_attempt = claim_msg->voided_attempt,
                        .incarnation = claim_msg->incarnation,
                        .runner = claim_msg->runner };
  if (claim.key == 0)
    return;
  clm_answer_t answer
      = clm_owner_claim (&entry->claim_owner, &claim, tmr_now_ms ());
  const clm_record_t *record = answer.record;
  msg_t msg = { .type = MSG_CLAIM_REPLY };
  msg.claim_reply
      = (msg_claim_reply_t){ .id = claim_msg->id,
                             .verdict = answer.verdict,
                             .epoch = answer.epoch,
                             .attempt = record ? record->attempt : 0,
                             .incarnation = record ? record->incarnation : 0,
                             .outcome = record ? record->state : 0,
                             .runner = record ? record->runner : 0 };
  lnk_link_send (&entry->daemon->link, from, &msg);
}

void
ent_claims_on_reply (ent_entry_t *entry, const msg_claim_reply_t *reply)
{
  ent_request_t *r = kb_map_get (&entry->requests_by_attempt, reply->id);
  if (r == NULL || r->stage != ENT_STAGE_CLAIMING)
    return;
  tmr_cancel (&entry->daemon->timers, &r->claim_retry_timer);
  ent_request_handle_claim_verdict (
      r, (clm_verdict_t)reply->verdict, reply->epoch, reply->attempt,
      reply->incarnation, claim_state_from_outcome (reply->outcome),
      reply->runner);
}

void
ent_claims_on_outcome (ent_entry_t *entry,
                       const msg_claim_outcome_t *outcome_msg)
{
  clm_owner_record_outcome (
      &entry->claim_owner, outcome_msg->claim_key, outcome_msg->attempt,
      claim_state_from_outcome (outcome_msg->outcome), tmr_now_ms ());
}

void
ent_claims_on_recover (ent_entry_t *entry, kb_slice_t from,
                       const msg_recover_t *recover)
{
  kb_buf_t all_records = { 0 };
  for (uint32_t i = 0; i < entry->inherited_count; i++)
    kb_buf_append (&all_records, entry->inherited[i].bytes,
                   entry->inherited[i].len_bytes);
  msg_t msg = { .type = MSG_RECORDS };
  msg.records = (msg_records_t){ .id = recover->id,
                                 .is_last = 1,
                                 .purpose = MSG_RECORDS_REBUILD,
                                 .records = kb_buf_slice (&all_records) };
  lnk_link_send (&entry->daemon->link, from, &msg);
  kb_buf_finish (&all_records);
}
