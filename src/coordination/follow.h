/// @file follow.h
/// Schedules the reads that keep a gateway up to date with the store, and
/// decides when a read is given up. No I/O; time and randomness are arguments.
///
/// A store that stops responding may accept a read and never answer it, even
/// after it has recovered; a dead connection behaves the same. Both look like
/// a store without changes. Two readers therefore share the work:
///
/// - The batch reader reads all changes in batches and never waits long. It
///   alone bounds how late a change is applied.
/// - The direct reader long-polls for changes of the configuration and returns
///   them at once. Nothing depends on it: whenever the batch reader is
///   answered after a failure, or sees a change of the configuration first,
///   the direct reader's read is cancelled and sent again.
///
/// Long polls may get no answer although the store is well. While those of the
/// batch reader time out, the direct reader reads the operator's keys with a
/// plain range read. Its answer contains the configuration; the batch reader's
/// earlier read is then cancelled and sent again.
///
/// While the store is well, the batch reader queries a peer that reads for
/// several gateways (share.h). A peer's answer is only as good as the start
/// time of the read behind it: a peer that is silent, late, or no fresher than
/// the local state costs a fraction of a pause, and the store is read next.
///
/// When the store comes back from an older copy (era.h), both readers start
/// over with a range read. Targets that the copy lacks are retained as after
/// an outage, and knowledge counts as confirmed again once the store's writers
/// have had time to write again what the copy lacks.
#ifndef KB_COORDINATION_FOLLOW_H
#define KB_COORDINATION_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/era.h"

typedef enum
{
  FLW_BATCH,
  FLW_DIRECT,
  FLW_READERS,
} flw_reader_id_t;

/// Why a read ended without changes.
typedef enum
{
  FLW_NO_ANSWER,    ///< Timed out, refused, reset, or unreadable.
  FLW_HISTORY_GONE, ///< The store has compacted the requested revisions.
} flw_failure_t;

/// A read to be sent.
typedef struct
{
  uint64_t after;        ///< Changes after this revision; zero: a full range.
  uint64_t wait_ms;      ///< How long the store may wait for a change.
  uint64_t timeout_ms;   ///< For the whole read; for a range, for each page.
  bool is_shared;        ///< To be sent to a peer.
  uint64_t known_age_ms; ///< Shared reads: age of the local state.
  uint64_t pause_ms;     ///< Shared reads: interval of the own reads.
} flw_read_t;

/// An answered read.
typedef struct
{
  uint64_t as_of; ///< All changes up to this revision are known.
  uint64_t era;   ///< As the answer states it; zero: not stated.
  /// Newest change of the configuration in the answer; zero: none.
  uint64_t config_revision;
} flw_answer_t;

/// What to do with the items of an answer.
typedef enum
{
  FLW_APPLY,
  FLW_DISCARD,
} flw_verdict_t;

typedef struct
{
  uint64_t as_of; ///< All changes up to this revision are known; zero: none.
  bool is_reading;
  bool is_cancel_due;       ///< The pending read must be cancelled.
  uint64_t began_ms;        ///< When the pending read was sent.
  uint64_t timeout_ms;      ///< Of the pending read.
  uint64_t due_ms;          ///< When the next read is to be sent.
  uint64_t sent_revision;   ///< Highest known when the pending read was sent.
  uint64_t answered_ms;     ///< Last answer; the start before the first one.
  uint64_t failed_since_ms; ///< Start of the first failed read, or zero.
  uint64_t retry_ms;        ///< Backoff after the next refusal.
  bool is_slow;             ///< The last answer was late.
  uint32_t consecutive_timeouts;
} flw_reader_t;

typedef struct
{
  uint64_t pause_ms;      ///< Regular interval of the batch reader.
  uint64_t next_pause_ms; ///< Current interval, shorter during recovery.
  uint64_t known_ms;      ///< Start of the newest answered batch read.
  era_tracker_t era;
  uint32_t restore_count; ///< Changes of the era so far.
  bool is_copy_due; ///< The store was restored and not read completely since.
  /// Items up to this revision may be of the copy that the store came back
  /// from: they undo nothing that was confirmed. Zero: none are.
  uint64_t copy_revision;
  /// Until then the store's writers may still lack time to write again what a
  /// restore has lost; zero: they don't.
  uint64_t rewritten_ms;
  bool is_store_read_due; ///< A peer failed; the next read goes to the store.
  flw_reader_t readers[FLW_READERS];
  bool is_reachable;
  uint64_t last_unanswered_ms; ///< Start of the newest unanswered read.
  uint64_t retain_until_ms;    ///< See flw_retain_until_ms.
  uint64_t recovery_until_ms;  ///< Expired entries may be listed again.
  uint32_t idle_batches;       ///< Batches since the last new target.
} flw_follower_t;

/// @param pause_ms  Interval between reads of the batch reader.
void flw_init (flw_follower_t *f, uint64_t pause_ms, uint64_t now_ms);
/// @param has_peer  Whether a peer is available.
/// @return          Whether a read is due; it then counts as sent.
bool flw_begin (flw_follower_t *f, flw_reader_id_t which, bool has_peer,
                uint64_t now_ms, flw_read_t *out);
/// @return  When to call flw_begin next; it also must be called after each
///          answer or failure of either reader. UINT64_MAX: not before that.
uint64_t flw_due_ms (const flw_follower_t *f, flw_reader_id_t which);
/// @return  Whether the pending read must be cancelled; clears the request.
///          The next read is due then.
bool flw_take_cancellation (flw_follower_t *f, flw_reader_id_t which);
/// A read was answered. Call before its changes are applied.
/// @param random  Any number, for jitter.
flw_verdict_t flw_answered (flw_follower_t *f, flw_reader_id_t which,
                            uint64_t now_ms, const flw_answer_t *answer,
                            uint32_t random);
void flw_failed (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
                 flw_failure_t failure, uint32_t random);
/// A peer answered. Call before its changes are applied.
/// @param began_ms  Latest time at which the peer's read began.
/// @param random    Any number, for jitter.
/// @return          Whether the changes are to be applied.
bool flw_shared_answered (flw_follower_t *f, uint64_t now_ms,
                          uint64_t began_ms, uint64_t as_of,
                          uint64_t config_revision, uint32_t random);
/// A peer gave no usable answer.
void flw_shared_failed (flw_follower_t *f, uint64_t now_ms);
/// An answer without changes, or a peer, stated an era. If it is later than
/// the known one, the batch reader reads the store at once.
void flw_hint_era (flw_follower_t *f, uint64_t era, uint64_t now_ms);
/// @return  Whether the newest answered batch read shows everything that was
///          confirmed by its start. For a while after a restore it may not.
bool flw_is_confirmed (const flw_follower_t *f);
/// A new target was listed: others may follow.
void flw_record_new_target (flw_follower_t *f);
/// @return  Time until which targets that are no longer listed are retained,
///          because their leases may have expired during an outage of the
///          store; zero: not at all. Live targets are listed again by then;
///          the others must not be used afterwards.
uint64_t flw_retain_until_ms (const flw_follower_t *f);

#endif
