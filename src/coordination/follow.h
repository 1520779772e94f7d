/// @file follow.h
/// When to read a store that is followed by reads that wait for changes, and
/// when to take a read for lost. No I/O; time and randomness are arguments.
///
/// A store that falls silent takes a read and never answers it, also after it
/// is well again; so does a connection that carries nothing any more. Seen
/// from here both look like a store without changes. Two readers share the
/// work:
///
/// - the batch reader reads every change, in batches, and never waits long:
///   how late a change is taken at most is settled by it alone;
/// - the direct reader waits long for changes of the configuration and brings
///   them at once. What it knows of is never relied on: whenever the batch
///   reader answers after a failure, or brings a change of the configuration
///   first, the direct reader's read is taken for lost and sent again.
///
/// Reads that wait may hear nothing although the store is well. While the
/// batch reader's get no answer, the direct reader reads the operator's keys
/// as they are, without waiting; its answer brings the configuration, and the
/// batch reader's read from before is taken for lost and sent again.
///
/// While the store is well, the batch reader asks a peer that reads for
/// several gateways (share.h). What the peer says is worth as much as the read
/// behind it is fresh: a peer that is silent, late, or not fresher than what
/// is known costs a part of a pause, and the store is read next.
#ifndef KB_COORDINATION_FOLLOW_H
#define KB_COORDINATION_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  FLW_BATCH,
  FLW_DIRECT,
  FLW_READERS,
} flw_reader_id_t;

/// How a read ended without changes.
typedef enum
{
  FLW_NO_ANSWER,    ///< None in its time, refused, reset, or unreadable.
  FLW_HISTORY_GONE, ///< The changes behind the revision are forgotten.
} flw_failure_t;

/// One read to be sent.
typedef struct
{
  uint64_t after;        ///< Zero: read everything that is there.
  uint64_t wait_ms;      ///< How long the store may wait for a change.
  uint64_t timeout_ms;   ///< Lost when not answered by then; a range by page.
  bool is_shared;        ///< To be asked of a peer.
  uint64_t known_age_ms; ///< Of what is known, when it is asked of a peer.
  uint64_t pause_ms;     ///< Between two reads, when it is asked of a peer.
} flw_read_t;

typedef struct
{
  uint64_t as_of; ///< Everything up to here is known; zero: nothing.
  bool is_reading;
  bool is_cancel_due;       ///< The read under way is to be given up.
  uint64_t began_ms;        ///< When the read under way was sent.
  uint64_t timeout_ms;      ///< Its timeout.
  uint64_t due_ms;          ///< When the next one is to be sent.
  uint64_t answered_ms;     ///< The last answer; the start before the first.
  uint64_t failed_since_ms; ///< Start of the first read that failed, or zero.
  uint64_t retry_ms;        ///< Backoff after the next refusal.
  bool is_slow;             ///< The store answers, but takes its time.
  uint32_t consecutive_timeouts; ///< In a row without an answer.
} flw_reader_t;

typedef struct
{
  uint64_t pause_ms;      ///< Between two reads of the batch reader.
  uint64_t next_pause_ms; ///< The present one: shorter while targets return.
  uint64_t known_ms; ///< Start of the newest batch read that was answered.
  bool is_store_read_due; ///< A peer failed: the store is read next.
  flw_reader_t readers[FLW_READERS];
  bool is_reachable;
  uint64_t last_unanswered_ms; ///< Start of the newest read without an answer.
  uint64_t retain_until_ms;    ///< See flw_retain_until_ms.
  uint64_t recovery_until_ms;  ///< Entries that lapsed come back until then.
  uint32_t idle_batches;       ///< Since one held a new target.
} flw_follower_t;

/// @param pause_ms  Between two reads of the batch reader.
void flw_init (flw_follower_t *f, uint64_t pause_ms, uint64_t now_ms);
/// @param has_peer  Whether a peer could be asked.
/// @return          Whether a read is due; it then counts as sent.
bool flw_begin (flw_follower_t *f, flw_reader_id_t which, bool has_peer,
                uint64_t now_ms, flw_read_t *out);
/// @return  When flw_begin may have one: call it then, and after each answer
///          or failure of either reader. UINT64_MAX: not before an answer.
uint64_t flw_due_ms (const flw_follower_t *f, flw_reader_id_t which);
/// Whether the read under way is to be cancelled; the next one is due.
bool flw_take_cancellation (flw_follower_t *f, flw_reader_id_t which);
/// A read was answered. Call before its changes are taken.
/// @param as_of            Everything up to this revision is known.
/// @param config_revision  Of the newest change of the configuration in it;
///                         zero: it holds none.
/// @param random           Any number.
void flw_answered (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
                   uint64_t as_of, uint64_t config_revision, uint32_t random);
void flw_failed (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
                 flw_failure_t failure, uint32_t random);
/// A peer answered. Call before its changes are taken.
/// @param began_ms  When its read began at the latest.
/// @param random    Any number.
/// @return          Whether they are to be taken.
bool flw_shared_answered (flw_follower_t *f, uint64_t now_ms,
                          uint64_t began_ms, uint64_t as_of,
                          uint64_t config_revision, uint32_t random);
/// A peer gave no answer that is of use.
void flw_shared_failed (flw_follower_t *f, uint64_t now_ms);
/// A target came that was not known: others may return beside it.
void flw_record_new_target (flw_follower_t *f);
/// @return  The moment until which targets that are listed no more are kept,
///          because their entries may have lapsed while the store was away;
///          zero: not at all. Until then those that live are back, and after
///          it those that are gone must not be used any more.
uint64_t flw_retain_until_ms (const flw_follower_t *f);

#endif
