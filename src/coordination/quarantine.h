/// @file quarantine.h
/// Quarantine of requests during which targets end. No I/O; time is an
/// argument.
///
/// A request that ends every target that starts to run it is sent again by its
/// caller, through any gateway, and each time the target's other requests fail
/// with it. A gateway sees only which requests were starting at a target when
/// it ended, and most of those merely shared it. Three steps distinguish
/// them:
///
/// - one end proves nothing and has no effect;
/// - after two ends, a request starts alone: while it starts, no other request
///   starts at that target. A request that merely shared targets is served
///   this way, and its record is cleared;
/// - after three ends, in enough of which it was alone, the request is held:
///   refused for a time that doubles with each further end.
///
/// Ends during requests of one caller hold the request for that caller only.
/// It is held for all callers when each of two callers was alone at an end, so
/// that no caller can block a request of another one.
///
/// Gateways and sidecars exchange records. A record is a set of ends and a
/// generation that grows when the record is cleared; merging is commutative
/// and idempotent. The number of records is bounded, in total and per caller,
/// and records expire.
///
/// The same records are kept of parts of prompts (coordination/parts.h), with
/// bounds of their own; qrt_part_subject tells them from requests.
#ifndef KB_COORDINATION_QUARANTINE_H
#define KB_COORDINATION_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"

enum
{
  /// Ends from which on a request starts alone, and from which on it is held.
  QRT_ENDS_ALONE = 2,
  QRT_ENDS_HELD = 3,
  /// Ends at which a request has to have been alone to be held. The process
  /// that starts requests at an engine knows all of them. A gateway knows only
  /// its own requests at a plain target, which another one's may have ended.
  QRT_MIN_ALONE_AT_ENGINE = 1,
  QRT_MIN_ALONE_AT_PLAIN = 2,
  /// Ends kept for one request. Those beyond QRT_ENDS_HELD prolong the hold.
  QRT_MAX_ENDS = 6,
  QRT_MAX_ENTRIES
  = 256, ///< Of each kind.
         /// Entries whose first end was during a request of the same caller.
  QRT_MAX_ENTRIES_PER_CALLER = 192,
  /// When the table is full, a caller with more than this many makes room.
  QRT_FAIR_ENTRIES_PER_CALLER = 32,
  /// Hold time after QRT_ENDS_HELD ends; doubles with each further end.
  /// Records of requests that are not held expire after this time without
  /// another end.
  QRT_HOLD_MS = 600000,
};

/// What qrt_end_t.is_alone says of an end.
enum
{
  QRT_AMONG_OTHERS,
  QRT_WAS_ALONE, ///< No other request was starting there.
  QRT_WAS_SOLE,  ///< The same, and no other part can be the cause.
};

/// A target ended while the request was starting there.
typedef struct
{
  uint64_t target;   ///< Hash of its incarnation; not zero.
  uint64_t caller;   ///< Hash of the sender.
  uint64_t is_alone; ///< QRT_AMONG_OTHERS to QRT_WAS_SOLE.
} qrt_end_t;

/// Record of one request, as kept and as sent in messages.
typedef struct
{
  uint64_t request;      ///< Its fingerprint, or a part; not zero.
  uint64_t first_caller; ///< Caller of the first end.
  uint64_t age_ms;       ///< Since the last end, or since it was cleared.
  uint32_t generation;
  uint32_t end_count;
  qrt_end_t ends[QRT_MAX_ENDS]; ///< By `is_alone`, falling, then by target.
} qrt_record_t;

typedef struct
{
  qrt_record_t record;
  uint64_t since_ms; ///< When `record.age_ms` was zero.
} qrt_entry_t;

typedef struct
{
  kb_map_t entries; ///< By request.
} qrt_table_t;

typedef enum
{
  QRT_FREE,
  QRT_ALONE, ///< It may run at a target where no other request starts.
  QRT_HELD,
} qrt_verdict_t;

/// @return  The subject of records of a part, by its hash. A fingerprint of a
///          request is odd.
uint64_t qrt_part_subject (uint64_t hash);
/// @return  Whether a subject is a part, and no fingerprint.
bool qrt_is_part (uint64_t subject);
void qrt_table_init (qrt_table_t *table);
void qrt_table_finish (qrt_table_t *table);
/// @param min_alone  Ends at which it has to have been alone to be held.
/// @param hold_ms    Set to the remaining hold time when held; may be NULL.
qrt_verdict_t qrt_judge (const qrt_table_t *table, uint64_t request,
                         uint64_t caller, uint32_t min_alone, uint64_t now_ms,
                         uint64_t *hold_ms);
/// @return  Number of recorded ends of a request.
uint32_t qrt_count_ends (const qrt_table_t *table, uint64_t request);
/// Reads the record of a subject, with its present age.
/// @return  False when there is none, or it has expired.
bool qrt_read (const qrt_table_t *table, uint64_t subject, uint64_t now_ms,
               qrt_record_t *out);
/// @return  Hold time after a number of ends.
uint64_t qrt_hold_ms (uint32_t end_count);
/// @return  Whether two callers' requests were alone at an end each, and there
///          are enough ends to hold the subject for all callers.
bool qrt_is_proven_for_all (const qrt_record_t *record);
/// @return  Number of ends beyond QRT_ENDS_ALONE: starts that were to be alone
///          and proved nothing.
uint32_t qrt_patience (const qrt_table_t *table, uint64_t request);
/// @return  Time in ms until the record of a request expires; zero: none.
uint64_t qrt_remaining_ms (const qrt_table_t *table, uint64_t request,
                           uint64_t now_ms);
/// Adds an end to the record of a request.
/// @return  Whether the record changed.
bool qrt_add_end (qrt_table_t *table, uint64_t request, const qrt_end_t *end,
                  uint64_t now_ms);
/// Clears the record of a request that was answered completely: it did not
/// cause the earlier ends, or no longer causes any. A request that is sent all
/// the time is starting at most targets that end, but is served in between.
/// @return  Whether other daemons need to learn of it.
bool qrt_mark_served (qrt_table_t *table, uint64_t request, uint64_t now_ms);
/// Merges records from another daemon.
/// @param changed  Records that changed and are shared with all daemons are
///                 appended; may be NULL.
/// @return         False when `records` is malformed; nothing is merged then.
bool qrt_merge (qrt_table_t *table, kb_slice_t records, uint64_t now_ms,
                kb_buf_t *changed);
/// Appends the records that are shared with all daemons: requests with two or
/// more ends, and cleared ones.
void qrt_pack (const qrt_table_t *table, uint64_t now_ms, kb_buf_t *out);
/// Appends all records, for a receiver that joins those of several daemons.
void qrt_pack_all (const qrt_table_t *table, uint64_t now_ms, kb_buf_t *out);
/// Appends the record of one request, if there is one.
void qrt_pack_one (const qrt_table_t *table, uint64_t request, uint64_t now_ms,
                   kb_buf_t *out);
/// @return  Digest of the records that are shared with all daemons, without
///          their ages; zero: there are none.
uint64_t qrt_digest (const qrt_table_t *table);
/// Removes expired records.
void qrt_expire (qrt_table_t *table, uint64_t now_ms);
/// @return  Number of requests that are held, for one caller or for all; at
///          plain targets, also those that were alone at one end only.
uint32_t qrt_count_held (const qrt_table_t *table, uint64_t now_ms);

#endif
