/// @file claim_runner.h
/// The runner's side of the claim protocol, held by an agent: which attempts
/// and keys ran here, which attempts are voided, and the newest epoch of each
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
  CLM_RUN_WAITING = 1, ///< Admitted, but not sent to the engine yet.
  CLM_RUN_STARTED,
  CLM_RUN_DONE,
  CLM_RUN_FAILED,
  CLM_RUN_VOIDED,
} clm_run_state_t;

/// One attempt; kept for the window after its end.
typedef struct
{
  uint64_t attempt;
  uint64_t key; ///< Zero without an idempotency key.
  uint64_t digest;
  uint64_t changed_ms;
  clm_run_state_t state;
  char *answer; ///< Cached answer of a finished keyed request, or NULL.
  uint32_t answer_bytes;
  char content_type[64];
  uint64_t answer_order; ///< Increasing; the lowest is dropped first.
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
/// Admits or refuses an attempt that has arrived.
/// @param key  Zero without an idempotency key; digest and epoch are then
///             unused.
clm_admit_t clm_runner_admit (clm_runner_t *runner, uint64_t attempt,
                              uint64_t key, uint64_t digest, uint64_t epoch,
                              uint64_t now_ms);
/// Sets the state of an admitted attempt. Every attempt, keyed or not, is kept
/// for the window after its end: otherwise a later revocation would report a
/// finished one as voided, and it would run again elsewhere.
void clm_runner_set_state (clm_runner_t *runner, uint64_t attempt,
                           clm_run_state_t state, uint64_t now_ms);
/// Revokes an attempt. An unknown attempt is voided: it cannot start, even
/// when its message arrives later. A waiting one keeps waiting; otherwise two
/// senders of one key could void each other's attempts in turn.
/// @return  The state after the revocation.
clm_run_state_t clm_runner_revoke (clm_runner_t *runner, uint64_t attempt,
                                   uint64_t now_ms);
clm_run_t *clm_runner_find_key (clm_runner_t *runner, uint64_t key);
clm_run_t *clm_runner_find (clm_runner_t *runner, uint64_t attempt);
/// Caches the answer of a keyed attempt; the oldest answers make room. An
/// answer of more than a quarter of the limit is not cached.
void clm_runner_cache_answer (clm_runner_t *runner, uint64_t attempt,
                              const char *content_type, kb_slice_t answer);
/// Raises the epochs of the given shards and appends their records.
/// @param epochs  CLM_SHARDS values; zero: skip the shard.
/// @param name    Hash of the own name, for the records.
void clm_runner_recover (clm_runner_t *runner, const uint64_t *epochs,
                         uint64_t name, uint64_t incarnation,
                         kb_buf_t *records);
/// Refuses grants below this epoch from now on. An epoch below the present one
/// changes nothing.
void clm_runner_raise_epoch (clm_runner_t *runner, uint32_t shard,
                             uint64_t epoch);
void clm_runner_expire (clm_runner_t *runner, uint64_t now_ms);

#endif
