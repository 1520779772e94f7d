/// @file claim_defs.h
/// Shared types of the claim protocol, by which a request with an idempotency
/// key runs at most once. See docs/design/at-most-once.md.
///
/// An entry owns each shard of keys. It grants an attempt the right to run a
/// key; the agent that runs it (the runner) remembers the key and refuses a
/// grant whose epoch is older than the newest epoch it has heard of for the
/// shard. A new owner rebuilds its table from all runners and raises the
/// epoch there, so that grants of the former owner die.
#ifndef KB_COORDINATION_CLAIM_DEFS_H
#define KB_COORDINATION_CLAIM_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  CLM_SHARDS = 64,
};

/// What is known of a claimed key.
typedef enum
{
  CLM_GRANTED = 1, ///< An attempt may run; whether it did is at the runner.
  CLM_DONE,
  CLM_FAILED,
  CLM_UNKNOWN,  ///< The runner was lost with it.
  CLM_RELEASED, ///< Its attempt was proved not run; the key is free.
} clm_state_t;

/// One claim, as owners keep it and daemons exchange it.
typedef struct
{
  uint64_t key;
  uint64_t digest; ///< Of workspace and body; tells another body apart.
  uint64_t attempt;
  uint64_t incarnation; ///< Of the runner.
  uint64_t changed_ms;  ///< Local time of the last change.
  clm_state_t state;
  uint64_t runner; ///< Hash of the runner's name.
} clm_record_t;

/// Answer of an owner to a claim.
typedef enum
{
  CLM_VERDICT_GRANTED = 1,
  CLM_VERDICT_HELD,       ///< Another attempt holds it; ask its runner.
  CLM_VERDICT_FINISHED,   ///< It ran; the outcome says how it ended.
  CLM_VERDICT_MISMATCH,   ///< Same key, another body.
  CLM_VERDICT_UNKNOWN,    ///< It may have run and nobody can tell.
  CLM_VERDICT_NOT_OWNER,  ///< Ask the present owner.
  CLM_VERDICT_REBUILDING, ///< Not answered yet; come back shortly.
  CLM_VERDICT_FULL,       ///< The table is full; certainly not run.
} clm_verdict_t;

/// @return  The shard of a key.
static inline uint32_t
clm_shard (uint64_t key)
{
  return (uint32_t)(key >> 32) % CLM_SHARDS;
}

/// Append one record in wire form.
void clm_record_pack (const clm_record_t *record, kb_buf_t *out);
/// Take one record from the front of a slice.
/// @return  False at the end or when the rest is malformed.
bool clm_record_unpack (kb_slice_t *in, clm_record_t *out);

#endif
