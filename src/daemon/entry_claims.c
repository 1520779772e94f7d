/// @file entry_claims.c
/// The claim messages of an entry, as the owner of some shards and as a
/// claimant of others.
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
  if (entry->owner.shards[s].state != CLM_SHARD_FOREIGN
      || ent_shard_is_own (entry, &entry->shards[s])
      || entry->shards[s].owner[0] == '\0')
    {
      clm_answer_t answer
          = clm_owner_claim (&entry->owner, &claim, tmr_now_ms ());
      const clm_record_t *record = answer.record;
      ent_request_claimed (
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
  // A lost claim or answer is asked again; the owner knows the attempt.
  (void)dmn_send (entry->daemon, entry->shards[s].owner, &msg);
  ent_request_claimed (r, CLM_VERDICT_NOT_OWNER, 0, 0, 0, CLM_GRANTED, 0);
}

static clm_state_t
state_of_outcome (uint64_t outcome)
{
  return outcome >= CLM_GRANTED && outcome <= CLM_RELEASED
             ? (clm_state_t)outcome
             : CLM_UNKNOWN;
}

void
ent_claim_note (ent_request_t *r, clm_state_t state)
{
  ent_entry_t *entry = r->entry;
  uint32_t s = clm_shard (r->claim_key);
  uint64_t attempt = r->attempt != 0 ? r->attempt : r->voided_attempt;
  if (entry->owner.shards[s].state != CLM_SHARD_FOREIGN)
    {
      clm_owner_note (&entry->owner, r->claim_key, attempt, state,
                      tmr_now_ms ());
      return;
    }
  // A lost note costs a question to the runner later, no promise.
  msg_t msg = { .type = MSG_CLAIM_OUTCOME };
  msg.claim_outcome = (msg_claim_outcome_t){ .claim_key = r->claim_key,
                                             .attempt = attempt,
                                             .outcome = state };
  dmn_send (entry->daemon, entry->shards[s].owner, &msg);
}

void
ent_claims_on_claim (ent_entry_t *entry, kb_slice_t from, const msg_claim_t *m)
{
  clm_claim_t claim = { .key = m->claim_key,
                        .digest = m->digest,
                        .attempt = m->attempt,
                        .voided_attempt = m->voided_attempt,
                        .incarnation = m->incarnation,
                        .runner = m->runner };
  if (claim.key == 0)
    return;
  clm_answer_t answer = clm_owner_claim (&entry->owner, &claim, tmr_now_ms ());
  const clm_record_t *record = answer.record;
  msg_t msg = { .type = MSG_CLAIM_REPLY };
  msg.claim_reply
      = (msg_claim_reply_t){ .id = m->id,
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
  ent_request_t *r = kb_map_get (&entry->by_attempt, reply->id);
  if (r == NULL || r->stage != ENT_CLAIMING)
    return;
  tmr_cancel (&entry->daemon->timers, &r->retry);
  ent_request_claimed (r, (clm_verdict_t)reply->verdict, reply->epoch,
                       reply->attempt, reply->incarnation,
                       state_of_outcome (reply->outcome), reply->runner);
}

void
ent_claims_on_note (ent_entry_t *entry, const msg_claim_outcome_t *note)
{
  clm_owner_note (&entry->owner, note->claim_key, note->attempt,
                  state_of_outcome (note->outcome), tmr_now_ms ());
}

void
ent_claims_on_recover (ent_entry_t *entry, kb_slice_t from,
                       const msg_recover_t *recover)
{
  kb_buf_t all = { 0 };
  for (uint32_t i = 0; i < entry->inherited_count; i++)
    kb_buf_append (&all, entry->inherited[i].bytes,
                   entry->inherited[i].len_bytes);
  msg_t msg = { .type = MSG_RECORDS };
  msg.records = (msg_records_t){ .id = recover->id,
                                 .is_last = 1,
                                 .purpose = MSG_RECORDS_REBUILD,
                                 .records = kb_buf_slice (&all) };
  lnk_link_send (&entry->daemon->link, from, &msg);
  kb_buf_finish (&all);
}
