/// @file claim_runner.h
/// The runner's side of the claim protocol, held by an agent: which attempts
/// and keys ran here, which attempts are void, and the newest epoch of each
/// shard. No I/O.
#ifndef KB_COORDINATION_CLAIM_RUNNER_H
#define KB_COORDINATION_CLAIM_RUNNER_H

#include "coordination/claim_defs.h"
#include "state/map.h"

typedef enum
{
  CLM_ADMIT_OK = 1,
  CLM_ADMIT_VOIDED,      ///< The attempt was revoked before it arrived.
  CLM_ADMIT_STALE_EPOCH, ///< Granted by a former owner.
  CLM_ADMIT_ALREADY,     ///< The key was admitted here under another attempt.
  CLM_ADMIT_FULL,
} clm_admit_t;

typedef enum
{
  CLM_RUN_WAITING = 1, ///< Admitted; the engine was not asked yet.
  CLM_RUN_STARTED,
  CLM_RUN_DONE,
  CLM_RUN_FAILED,
  CLM_RUN_VOIDED,
} clm_run_state_t;

/// One attempt; keyed ones are remembered for the window.
typedef struct
{
  uint64_t attempt;
  uint64_t key; ///< Zero without an idempotency key.
  uint64_t digest;
  uint64_t changed_ms;
  clm_run_state_t state;
  char *answer; ///< Kept answer of a finished keyed request, or NULL.
  uint32_t answer_bytes;
  char content_type[64];
  uint64_t answer_order; ///< Grows; the lowest is dropped first.
} clm_run_t;

typedef struct
{
  kb_map_t by_attempt;
  kb_map_t by_key;
  uint64_t epochs[CLM_SHARDS];
  uint32_t limit;
  uint64_t window_ms;
  uint64_t answer_limit_bytes;
  uint64_t answer_bytes;
  uint64_t answer_order;
} clm_runner_t;

void clm_runner_init (clm_runner_t *runner, uint32_t limit, uint64_t window_ms,
                      uint64_t answer_limit_bytes);
void clm_runner_finish (clm_runner_t *runner);
/// An attempt arrives.
/// @param key  Zero without an idempotency key; digest and epoch are unused
///             then.
clm_admit_t clm_runner_admit (clm_runner_t *runner, uint64_t attempt,
                              uint64_t key, uint64_t digest, uint64_t epoch,
                              uint64_t now_ms);
/// An admitted attempt changes its state. Every attempt is remembered for the
/// window after its end, keyed or not: forgetting a finished one would let a
/// later revocation call it void, and it would run again elsewhere.
void clm_runner_set_state (clm_runner_t *runner, uint64_t attempt,
                           clm_run_state_t state, uint64_t now_ms);
/// Revoke an attempt. One that is unknown becomes void: it can not start any
/// more, even when its message arrives later. One that waits here is left to
/// wait: two senders of one key would otherwise void each other in turn.
/// @return  The state after the revocation.
clm_run_state_t clm_runner_revoke (clm_runner_t *runner, uint64_t attempt,
                                   uint64_t now_ms);
clm_run_t *clm_runner_find_key (clm_runner_t *runner, uint64_t key);
clm_run_t *clm_runner_find (clm_runner_t *runner, uint64_t attempt);
/// Keep the answer of a finished keyed attempt, dropping the oldest ones.
void clm_runner_keep_answer (clm_runner_t *runner, uint64_t attempt,
                             const char *content_type, kb_slice_t answer);
/// Raise the epochs of the shards named and append their records.
/// @param epochs  CLM_SHARDS values; zero leaves a shard alone.
/// @param name    Hash of the own name, for the records.
void clm_runner_recover (clm_runner_t *runner, const uint64_t *epochs,
                         uint64_t name, uint64_t incarnation,
                         kb_buf_t *records);
/// Refuse grants below this epoch from now on; a lower one changes nothing.
void clm_runner_raise_epoch (clm_runner_t *runner, uint32_t shard,
                             uint64_t epoch);
void clm_runner_expire (clm_runner_t *runner, uint64_t now_ms);

#endif
