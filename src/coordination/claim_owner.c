#include "coordination/claim_owner.h"

#include <stdlib.h>

enum
{
  RECORD_WORDS = 5,
  RECORD_BYTES = RECORD_WORDS * 8 + 1
};

void
clm_record_pack (const clm_record_t *record, kb_buf_t *out)
{
  uint64_t words[RECORD_WORDS]
      = { record->key, record->digest, record->attempt, record->incarnation,
          record->runner };
  uint8_t state = (uint8_t)record->state;
  kb_buf_append (out, words, sizeof words);
  kb_buf_append (out, &state, sizeof state);
}

bool
clm_record_unpack (kb_slice_t *in, clm_record_t *out)
{
  *out = (clm_record_t){ 0 };
  if (in->len_bytes < RECORD_BYTES)
    return false;
  uint64_t words[RECORD_WORDS];
  memcpy (words, in->ptr, sizeof words);
  uint8_t state = (uint8_t)in->ptr[sizeof words];
  if (state < CLM_GRANTED || state > CLM_RELEASED || words[0] == 0)
    return false;
  *out = (clm_record_t){ .key = words[0],
                         .digest = words[1],
                         .attempt = words[2],
                         .incarnation = words[3],
                         .runner = words[4],
                         .state = (clm_state_t)state };
  in->ptr += RECORD_BYTES;
  in->len_bytes -= RECORD_BYTES;
  return true;
}

void
clm_owner_init (clm_owner_t *owner, uint32_t limit, uint64_t window_ms)
{
  *owner = (clm_owner_t){ .limit = limit, .window_ms = window_ms };
}

void
clm_owner_finish (clm_owner_t *owner)
{
  uint32_t at = 0;
  clm_record_t *record;
  while ((record = kb_map_next (&owner->records, &at)) != NULL)
    free (record);
  kb_map_finish (&owner->records);
}

static void
record_grant (clm_record_t *record, const clm_claim_t *claim, uint64_t now_ms)
{
  record->key = claim->key;
  record->digest = claim->digest;
  record->attempt = claim->attempt;
  record->incarnation = claim->incarnation;
  record->changed_ms = now_ms;
  record->state = CLM_GRANTED;
  record->runner = claim->runner;
}

static clm_verdict_t
verdict_for_held (const clm_record_t *record)
{
  switch (record->state)
    {
    case CLM_DONE:
    case CLM_FAILED:
      return CLM_VERDICT_FINISHED;
    case CLM_UNKNOWN:
      return CLM_VERDICT_UNKNOWN;
    default:
      return CLM_VERDICT_HELD;
    }
}

static clm_answer_t
claim_unrecorded (clm_owner_t *owner, const clm_shard_t *shard,
                  const clm_claim_t *claim, uint64_t now_ms)
{
  // The former owner and a runner were lost together. A key without a record
  // may have run, and could run twice if it were granted.
  if (now_ms < shard->uncertain_until_ms)
    return (clm_answer_t){ .verdict = CLM_VERDICT_UNKNOWN };
  if (owner->records.len >= owner->limit)
    return (clm_answer_t){ .verdict = CLM_VERDICT_FULL };
  clm_record_t *record = kb_alloc (sizeof *record);
  record_grant (record, claim, now_ms);
  kb_map_put (&owner->records, claim->key, record);
  return (clm_answer_t){ CLM_VERDICT_GRANTED, shard->epoch, record };
}

clm_answer_t
clm_owner_claim (clm_owner_t *owner, const clm_claim_t *claim, uint64_t now_ms)
{
  clm_shard_t *shard = &owner->shards[clm_shard (claim->key)];
  if (shard->state == CLM_SHARD_FOREIGN)
    return (clm_answer_t){ .verdict = CLM_VERDICT_NOT_OWNER };
  if (shard->state == CLM_SHARD_REBUILDING)
    return (clm_answer_t){ .verdict = CLM_VERDICT_REBUILDING };
  clm_record_t *record = kb_map_get (&owner->records, claim->key);
  if (record == NULL)
    return claim_unrecorded (owner, shard, claim, now_ms);
  if (record->digest != claim->digest)
    return (clm_answer_t){ CLM_VERDICT_MISMATCH, shard->epoch, record };
  // When the reply to a claim is lost, the same attempt claims again; it has
  // not been dispatched yet.
  bool is_repeat
      = record->state == CLM_GRANTED && record->attempt == claim->attempt;
  bool is_free = is_repeat || record->state == CLM_RELEASED
                 || (record->state == CLM_GRANTED && claim->voided_attempt != 0
                     && claim->voided_attempt == record->attempt);
  if (!is_free)
    return (clm_answer_t){ verdict_for_held (record), shard->epoch, record };
  record_grant (record, claim, now_ms);
  return (clm_answer_t){ CLM_VERDICT_GRANTED, shard->epoch, record };
}

void
clm_owner_record_outcome (clm_owner_t *owner, uint64_t key, uint64_t attempt,
                          clm_state_t state, uint64_t now_ms)
{
  clm_record_t *record = kb_map_get (&owner->records, key);
  // A late outcome of an attempt that was voided and replaced must not change
  // the claim of the attempt that replaced it.
  if (record == NULL || record->attempt != attempt)
    return;
  if (record->state != CLM_GRANTED && record->state != CLM_UNKNOWN)
    return;
  record->state = state;
  record->changed_ms = now_ms;
}

void
clm_owner_runner_lost (clm_owner_t *owner, uint64_t runner,
                       uint64_t incarnation, uint64_t now_ms)
{
  uint32_t at = 0;
  clm_record_t *record;
  while ((record = kb_map_next (&owner->records, &at)) != NULL)
    if (record->state == CLM_GRANTED && record->incarnation == incarnation
        && record->runner == runner)
      {
        record->state = CLM_UNKNOWN;
        record->changed_ms = now_ms;
      }
}

void
clm_owner_begin_rebuild (clm_owner_t *owner, uint32_t shard, uint64_t epoch)
{
  owner->shards[shard] = (clm_shard_t){ CLM_SHARD_REBUILDING, epoch, 0 };
}

/// @return  Rank of a state; a merge keeps the state with the highest one.
static int
state_certainty (clm_state_t state)
{
  switch (state)
    {
    case CLM_RELEASED:
      return 0;
    case CLM_UNKNOWN:
      return 1;
    case CLM_GRANTED:
      return 2;
    case CLM_FAILED:
      return 3;
    default:
      return 4;
    }
}

void
clm_owner_merge (clm_owner_t *owner, const clm_record_t *record,
                 uint64_t now_ms)
{
  clm_record_t *known = kb_map_get (&owner->records, record->key);
  if (known == NULL)
    {
      known = kb_alloc (sizeof *known);
      kb_map_put (&owner->records, record->key, known);
    }
  else if (state_certainty (known->state) >= state_certainty (record->state))
    return;
  *known = *record;
  known->changed_ms = now_ms;
}

void
clm_owner_end_rebuild (clm_owner_t *owner, uint32_t shard, bool is_complete,
                       uint64_t now_ms)
{
  clm_shard_t *s = &owner->shards[shard];
  s->state = CLM_SHARD_READY;
  s->uncertain_until_ms = is_complete ? 0 : now_ms + owner->window_ms;
}

static clm_record_t *
first_of_shard (const clm_owner_t *owner, uint32_t shard)
{
  uint32_t at = 0;
  clm_record_t *record;
  while ((record = kb_map_next (&owner->records, &at)) != NULL)
    if (clm_shard (record->key) == shard)
      return record;
  return NULL;
}

void
clm_owner_release_shard (clm_owner_t *owner, uint32_t shard, kb_buf_t *records)
{
  owner->shards[shard].state = CLM_SHARD_FOREIGN;
  clm_record_t *record;
  while ((record = first_of_shard (owner, shard)) != NULL)
    {
      clm_record_pack (record, records);
      kb_map_remove (&owner->records, record->key);
      free (record);
    }
}

/// A granted claim may run until its deadline, which is at most one window
/// away, and is then kept for one more window.
static uint64_t
record_ttl_ms (const clm_owner_t *owner, const clm_record_t *record)
{
  return record->state == CLM_GRANTED ? 2 * owner->window_ms
                                      : owner->window_ms;
}

void
clm_owner_expire (clm_owner_t *owner, uint64_t now_ms)
{
  uint64_t *old = NULL;
  uint32_t count = 0;
  uint32_t at = 0;
  clm_record_t *record;
  while ((record = kb_map_next (&owner->records, &at)) != NULL)
    if (now_ms - record->changed_ms > record_ttl_ms (owner, record))
      {
        if ((count & 255) == 0)
          old = kb_realloc (old, (count + 256) * sizeof *old);
        old[count++] = record->key;
      }
  for (uint32_t i = 0; i < count; i++)
    free (kb_map_remove (&owner->records, old[i]));
  free (old);
}
