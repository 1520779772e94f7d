/// @file quarantine.h
/// Which requests are kept from targets because targets ended under them.
/// No I/O; time is an argument.
///
/// A request that ends each target that begins to run it is sent again by its
/// caller, through any gateway, and takes the requests of others with it each
/// time. What a gateway sees is only who was beginning at a target when it
/// ended; most of those merely shared it. Three steps tell them apart:
///
/// - one end proves nothing, and changes nothing for anyone;
/// - after two, a request begins alone: while it does, no other request begins
///   at that target. One that merely shared a target is served so, and what
///   was noted of it is cleared;
/// - after three, of which it was alone at one at least, it is held: refused
///   for a time that doubles with each further end.
///
/// Ends under one caller's sends hold that caller's request alone. A request
/// is held for all callers only when two of them were alone at an end, so that
/// no caller can shut out another one's.
///
/// Gateways and sidecars pass on what they know. An entry is a set of ends and
/// a generation that grows when it is cleared; merging two is the same in any
/// order and any number of times. What is remembered is bounded, in all and
/// for each caller, and lapses.
#ifndef KB_COORDINATION_QUARANTINE_H
#define KB_COORDINATION_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"

enum
{
  /// Ends after which a request begins alone, and after which it is held.
  QRT_ENDS_ALONE = 2,
  QRT_ENDS_HELD = 3,
  /// Ends kept for one request; more than are needed to hold it make the hold
  /// longer.
  QRT_MAX_ENDS = 6,
  QRT_MAX_ENTRIES = 256,
  /// Entries that begin with an end under one caller's send.
  QRT_MAX_ENTRIES_PER_CALLER = 32,
  /// Hold after QRT_ENDS_HELD ends, doubled with each further one. Requests
  /// that are not held are forgotten after as long without another end.
  QRT_HOLD_MS = 600000,
};

/// A target ended while the request was beginning there.
typedef struct
{
  uint64_t target; ///< Hash of its incarnation; not zero.
  uint64_t caller; ///< Hash of the sender.
  uint64_t is_alone;
} qrt_end_t;

/// What is known of one request; also the form in which it is passed on.
typedef struct
{
  uint64_t request;      ///< Its fingerprint; not zero.
  uint64_t first_caller; ///< Caller of the first end.
  uint64_t age_ms;       ///< Since the last end, or since it was cleared.
  uint32_t generation;
  uint32_t end_count;
  qrt_end_t ends[QRT_MAX_ENDS]; ///< Those alone first, then by target.
} qrt_record_t;

typedef struct
{
  qrt_record_t record;
  uint64_t since_ms; ///< Moment of record.age_ms zero.
} qrt_entry_t;

typedef struct
{
  kb_map_t entries; ///< By request.
} qrt_table_t;

typedef enum
{
  QRT_FREE,
  QRT_ALONE, ///< It may run where no other request begins meanwhile.
  QRT_HELD,
} qrt_verdict_t;

void qrt_table_init (qrt_table_t *table);
void qrt_table_finish (qrt_table_t *table);
/// @param hold_ms  How much longer it is held; may be NULL.
qrt_verdict_t qrt_judge (const qrt_table_t *table, uint64_t request,
                         uint64_t caller, uint64_t now_ms, uint64_t *hold_ms);
/// @return  Ends that are known of a request.
uint32_t qrt_count_ends (const qrt_table_t *table, uint64_t request);
/// @return  How much longer it is remembered.
uint64_t qrt_remaining_ms (const qrt_table_t *table, uint64_t request,
                           uint64_t now_ms);
/// @return  Whether anything was new.
bool qrt_add_end (qrt_table_t *table, uint64_t request, const qrt_end_t *end,
                  uint64_t now_ms);
/// It was answered whole: the ends before were not its doing, or are over. A
/// request that is sent all the time is beginning at most targets that end,
/// and is served between two ends.
/// @return  Whether others are to know of it.
bool qrt_mark_served (qrt_table_t *table, uint64_t request, uint64_t now_ms);
/// Take what another daemon knows.
/// @param changed  What was new and all daemons are to know is appended as
/// words;
///               NULL: not wanted.
/// @return       False: the bytes are no words, and nothing was taken.
bool qrt_merge (qrt_table_t *table, kb_slice_t words, uint64_t now_ms,
                kb_buf_t *changed);
/// Append as words what all daemons are to know: requests with two ends or
/// more, and what became of them.
void qrt_pack (const qrt_table_t *table, uint64_t now_ms, kb_buf_t *out);
/// Append everything as words, for those who join what several know.
void qrt_pack_all (const qrt_table_t *table, uint64_t now_ms, kb_buf_t *out);
/// Append the record of one request, if anything is known of it.
void qrt_pack_one (const qrt_table_t *table, uint64_t request, uint64_t now_ms,
                   kb_buf_t *out);
/// @return  A digest of what all daemons are to know, without ages; zero:
///          nothing.
uint64_t qrt_digest (const qrt_table_t *table);
/// Forget what has lapsed.
void qrt_expire (qrt_table_t *table, uint64_t now_ms);
/// @return  How many requests are held, for one caller or for all.
uint32_t qrt_count_held (const qrt_table_t *table, uint64_t now_ms);

#endif
