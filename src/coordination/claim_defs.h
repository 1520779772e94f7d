/// @file claim_defs.h
/// Shared types of the claim protocol, by which a request with an idempotency
/// key runs at most once. See docs/design/at-most-once.md.
///
/// Each shard of keys is owned by one entry, which grants an attempt the right
/// to run a key. The agent that runs it (the runner) records the key and
/// refuses a grant whose epoch is older than the newest epoch that it has
/// received for the shard. A new owner rebuilds its table from all runners and
/// raises the epoch there, which invalidates grants of the former owner.
#ifndef KB_COORDINATION_CLAIM_DEFS_H
#define KB_COORDINATION_CLAIM_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  CLM_SHARDS = 64,
};

/// State of a claimed key.
typedef enum
{
  CLM_GRANTED = 1, ///< An attempt may run; the runner knows whether it did.
  CLM_DONE,
  CLM_FAILED,
  CLM_UNKNOWN,  ///< The runner was lost before it reported an outcome.
  CLM_RELEASED, ///< The attempt is proved not to have run; the key is free.
} clm_state_t;

/// One claim, as kept by owners and exchanged between daemons.
typedef struct
{
  uint64_t key;
  uint64_t digest; ///< Of workspace and body; detects a different body.
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
  CLM_VERDICT_HELD,       ///< Another attempt holds it; query its runner.
  CLM_VERDICT_FINISHED,   ///< It ran; the record's state is the outcome.
  CLM_VERDICT_MISMATCH,   ///< Same key, different body.
  CLM_VERDICT_UNKNOWN,    ///< It may have run; the outcome is unknown.
  CLM_VERDICT_NOT_OWNER,  ///< Claim at the present owner instead.
  CLM_VERDICT_REBUILDING, ///< Not decided; claim again shortly.
  CLM_VERDICT_FULL,       ///< The table is full; certainly not run.
} clm_verdict_t;

/// @return  The shard of a key.
static inline uint32_t
clm_shard (uint64_t key)
{
  return (uint32_t)(key >> 32) % CLM_SHARDS;
}

/// Appends one record in wire form.
void clm_record_pack (const clm_record_t *record, kb_buf_t *out);
/// Reads one record from the front of a slice and advances the slice.
/// @return  False at the end or when the rest is malformed.
bool clm_record_unpack (kb_slice_t *in, clm_record_t *out);

#endif
