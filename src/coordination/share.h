/// @file share.h
/// Cache of recent changes of the store, shared by several gateways. A gateway
/// that reads the store itself costs a call per pause, so calls grow with the
/// number of gateways; with the cache, one call serves all gateways of a
/// failure domain.
///
/// The cache reads the store only while requests are pending. A request stays
/// pending until the cache is fresher than the requester. Each answer includes
/// the start time of the read behind it, from which the receiver computes its
/// age; the time at which an answer arrives is no evidence of freshness.
///
/// The cache holds changes of one era of the store (era.h), and answers
/// requests of that era only.
///
/// No I/O. Time is an argument, from a clock that also counts while the VM is
/// suspended; otherwise a read from before a suspension would look fresh.
#ifndef KB_COORDINATION_SHARE_H
#define KB_COORDINATION_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"

enum
{
  SHR_NAME_BYTES = 48,
  SHR_MAX_REQUESTS = 128,
  /// Keys kept. When there are more, the cache is cleared and the gateways
  /// read the store themselves: the cache does not have to hold all of it.
  SHR_MAX_ITEMS = 4096,
};

/// A change as reported by the store.
typedef struct
{
  kb_slice_t key;
  kb_slice_t value;
  uint64_t revision;
  uint64_t digest; ///< Of the meaning; a heartbeat does not change it.
  bool is_gone;    ///< The key was deleted.
} shr_change_t;

/// The last change of a key.
typedef struct
{
  char *key;
  kb_buf_t value;
  uint64_t revision; ///< Of the last change that is forwarded.
  uint64_t digest;
  uint32_t repeat_count; ///< In a row with this digest.
  bool is_gone;          ///< The key was deleted.
} shr_item_t;

/// A request of a gateway for changes.
typedef struct
{
  char gateway[SHR_NAME_BYTES];
  uint64_t id;
  uint64_t era;   ///< Era of the store that it follows; zero: not stated.
  uint64_t after; ///< The gateway knows all changes up to this revision.
  uint64_t known_age_ms; ///< Age of its state when the request arrived.
  uint64_t pause_ms;     ///< Interval at which it would read the store itself.
  uint64_t arrived_ms;
  bool is_read_failed; ///< The read it was waiting for failed.
} shr_request_t;

typedef enum
{
  SHR_CHANGES_KNOWN, ///< Answer with the changes known here.
  SHR_TOO_OLD,       ///< The requested revision precedes the cache, or is of
                     ///< another era.
  SHR_READ_FAILED,   ///< The read of the store failed.
} shr_status_t;

typedef struct
{
  kb_map_t items;           ///< shr_item_t by the hash of their key.
  uint64_t era;             ///< Era of the store; zero: not stated.
  uint64_t floor_revision;  ///< Changes after this revision are cached.
  uint64_t as_of;           ///< Up to this revision; zero: the cache is empty.
  uint64_t config_revision; ///< Newest change of the configuration, or zero.
  uint64_t read_began_ms;   ///< Start of the newest answered read; zero: none.
  bool is_reading;
  uint64_t reading_since_ms;
  shr_request_t requests[SHR_MAX_REQUESTS];
  uint32_t request_count;
} shr_cache_t;

void shr_cache_init (shr_cache_t *cache);
void shr_cache_finish (shr_cache_t *cache);
/// Add a request; it replaces an earlier one of the same gateway.
/// @return  False if there is no room.
bool shr_request_add (shr_cache_t *cache, const shr_request_t *request);
/// Remove one request that can be answered now.
/// @return  False if there is none.
bool shr_request_pop (shr_cache_t *cache, uint64_t now_ms, shr_request_t *out,
                      shr_status_t *status);
/// @return  When the store is to be read next; UINT64_MAX: no request pending,
///          or a read is under way.
uint64_t shr_due_ms (const shr_cache_t *cache);
/// @param after  Set to the revision after which to read.
/// @return       Whether a read is due; it then counts as sent.
bool shr_read_begin (shr_cache_t *cache, uint64_t now_ms, uint64_t *after);
/// An answered read of the store.
typedef struct
{
  const shr_change_t *changes;
  uint32_t change_count;
  uint64_t era;             ///< Zero: not stated.
  uint64_t as_of;           ///< Includes all changes up to this revision.
  uint64_t config_revision; ///< Newest change of the configuration, or zero.
} shr_answer_t;

/// An answer of another era, or with a lower revision than before, clears the
/// cache: the store was restored from an older copy.
void shr_read_answered (shr_cache_t *cache, const shr_answer_t *answer);
/// @param is_history_gone  The store has compacted the changes after `as_of`.
void shr_read_failed (shr_cache_t *cache, bool is_history_gone);
/// Iterate over the changes after a revision, starting with `*at` = 0. Each
/// key is returned once with its newest change, so the order does not matter.
const shr_item_t *shr_next_change (const shr_cache_t *cache, uint64_t after,
                                   uint32_t *at);

#endif
