/// @file claim_owner.h
/// The owner's side of the claim protocol, held by an entry. No I/O.
#ifndef KB_COORDINATION_CLAIM_OWNER_H
#define KB_COORDINATION_CLAIM_OWNER_H

#include "coordination/claim_defs.h"
#include "state/map.h"

typedef enum
{
  CLM_SHARD_FOREIGN, ///< Owned by another entry or by none.
  CLM_SHARD_REBUILDING,
  CLM_SHARD_READY,
} clm_shard_state_t;

typedef struct
{
  clm_shard_state_t state;
  uint64_t epoch;
  /// Until then a key without a record may have run at a runner whose records
  /// were lost together with the former owner's.
  uint64_t uncertain_until_ms;
} clm_shard_t;

typedef struct
{
  clm_shard_t shards[CLM_SHARDS];
  kb_map_t records;
  uint32_t limit;
  uint64_t window_ms;
} clm_owner_t;

/// Claim of an entry for one attempt.
typedef struct
{
  uint64_t key;
  uint64_t digest;
  uint64_t attempt;
  uint64_t voided_attempt; ///< Proved not to have run; zero: none.
  uint64_t incarnation;
  uint64_t runner;
} clm_claim_t;

typedef struct
{
  clm_verdict_t verdict;
  uint64_t epoch;
  const clm_record_t *record; ///< Of the holder, or NULL.
} clm_answer_t;

void clm_owner_init (clm_owner_t *owner, uint32_t limit, uint64_t window_ms);
void clm_owner_finish (clm_owner_t *owner);
/// Decides on a claim, and records it when granted.
clm_answer_t clm_owner_claim (clm_owner_t *owner, const clm_claim_t *claim,
                              uint64_t now_ms);
/// Records the outcome of an attempt; CLM_UNKNOWN when its runner was lost.
void clm_owner_record_outcome (clm_owner_t *owner, uint64_t key,
                               uint64_t attempt, clm_state_t state,
                               uint64_t now_ms);
/// Sets every granted claim at a lost runner to CLM_UNKNOWN.
void clm_owner_runner_lost (clm_owner_t *owner, uint64_t runner,
                            uint64_t incarnation, uint64_t now_ms);
/// Takes over a shard. Claims get CLM_VERDICT_REBUILDING until the rebuild has
/// ended.
void clm_owner_begin_rebuild (clm_owner_t *owner, uint32_t shard,
                              uint64_t epoch);
/// Merges one record from a runner or a former owner.
void clm_owner_merge (clm_owner_t *owner, const clm_record_t *record,
                      uint64_t now_ms);
/// Ends a rebuild after all records have been merged.
/// @param is_complete  Whether all records of the window were available.
void clm_owner_end_rebuild (clm_owner_t *owner, uint32_t shard,
                            bool is_complete, uint64_t now_ms);
/// Gives up a shard: claims are no longer granted, and its records are removed
/// and appended to `records`.
void clm_owner_release_shard (clm_owner_t *owner, uint32_t shard,
                              kb_buf_t *records);
/// Removes records older than the window.
void clm_owner_expire (clm_owner_t *owner, uint64_t now_ms);

#endif
