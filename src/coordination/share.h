/// @file share.h
/// Reads of the store that several gateways share. A gateway that follows the
/// store by itself costs a call for each pause, so that calls grow with the
/// gateways; through a cache beside it one call serves all of a failure
/// domain.
///
/// The cache keeps the changes of a while and reads on only while somebody
/// requests. An request is kept until the cache knows something fresher than
/// the one who requests. Each answer says when the read behind it began, so
/// that the receiver judges its age; that an answer arrives proves nothing.
///
/// No I/O. Time is an argument, from a clock that also counts while the VM is
/// suspended: with one that stands still, a read from before would look fresh
/// after it.
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
  /// Read the store again for the rest: a cache is no second store.
  SHR_MAX_ITEMS = 4096,
};

/// One change as the store told it.
typedef struct
{
  kb_slice_t key;
  kb_slice_t value;
  uint64_t revision;
  uint64_t digest; ///< Of what it means: heartbeats leave it as it was.
  bool is_gone;
} shr_change_t;

/// The last change of one key.
typedef struct
{
  char *key;
  kb_buf_t value;
  uint64_t revision; ///< Of the last telling that was passed on.
  uint64_t digest;
  uint32_t repeat_count; ///< In a row with this digest.
  bool is_gone;
} shr_item_t;

/// A gateway that requests for changes.
typedef struct
{
  char gateway[SHR_NAME_BYTES];
  uint64_t id;
  uint64_t after;        ///< It knows everything up to this revision.
  uint64_t known_age_ms; ///< Age of what it knows, when it asked.
  uint64_t pause_ms;     ///< Between two reads, as it would make them itself.
  uint64_t arrived_ms;
  bool is_read_failed; ///< The read that it waited for failed.
} shr_request_t;

typedef enum
{
  SHR_CHANGES_KNOWN, ///< Tell it what is known.
  SHR_TOO_OLD,       ///< What it lacks is not kept here any more.
  SHR_READ_FAILED,   ///< The store gave none.
} shr_status_t;

typedef struct
{
  kb_map_t items;           ///< shr_item_t by the hash of their key.
  uint64_t floor_revision;  ///< Changes behind this revision are kept.
  uint64_t as_of;           ///< Up to this one; zero: nothing is known.
  uint64_t config_revision; ///< Of the newest configuration seen, or zero.
  uint64_t read_began_ms;   ///< Start of the newest read that was answered.
  bool is_reading;
  uint64_t reading_since_ms;
  shr_request_t requests[SHR_MAX_REQUESTS];
  uint32_t request_count;
} shr_cache_t;

void shr_cache_init (shr_cache_t *cache);
void shr_cache_finish (shr_cache_t *cache);
/// Keep an request; it takes the place of an earlier one of the same gateway.
/// @return  False: there is no room.
bool shr_request_add (shr_cache_t *cache, const shr_request_t *request);
/// Hand out one request that can be answered now, and forget it.
/// @return  False when there is none.
bool shr_request_pop (shr_cache_t *cache, uint64_t now_ms, shr_request_t *out,
                      shr_status_t *verdict);
/// @return  When the store is to be read next; UINT64_MAX: nobody requests.
uint64_t shr_due_ms (const shr_cache_t *cache);
/// @param after  Receives the revision to read behind.
/// @return       Whether a read is due; it then counts as sent.
bool shr_read_begin (shr_cache_t *cache, uint64_t now_ms, uint64_t *after);
/// @param config_revision  Of the newest configuration in it, or zero.
void shr_read_answered (shr_cache_t *cache, const shr_change_t *changes,
                        uint32_t count, uint64_t as_of,
                        uint64_t config_revision);
/// @param is_history_gone  The store has forgotten what is behind `as_of`.
void shr_read_failed (shr_cache_t *cache, bool is_history_gone);
/// Iterate over the changes behind a revision: start with `*at` = 0. Each key
/// comes once, as it is now, so that their order does not matter.
const shr_item_t *shr_next_change (const shr_cache_t *cache, uint64_t after,
                                   uint32_t *at);

#endif
