/// @file shardmap.h
/// The map of shard owners in the key-value service: one value under one key,
/// updated by compare-and-swap.
#ifndef KB_PROTOCOL_SHARDMAP_H
#define KB_PROTOCOL_SHARDMAP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  SHM_SHARDS = 64, ///< Must equal CLM_SHARDS of the claim protocol.
  SHM_NAME_BYTES = 48,
};

/// Key of the map in the key-value service.
#define SHM_KEY "kb/w/claims"

/// Largest number that each JSON parser reads exactly.
#define SHM_MAX_EPOCH ((int64_t)1 << 53)

/// Owner of one shard.
typedef struct
{
  char owner[SHM_NAME_BYTES]; ///< Name of an entry; empty: no owner yet.
  uint64_t incarnation;
  uint64_t epoch; ///< Increases with every takeover.
} shm_shard_t;

/// Merge what is known into a map that was read. Epochs only rise: a shard
/// whose known epoch is higher keeps its known owner, because the service lost
/// the takeover when it came back from an older copy.
/// @return  Whether the map lacked any, and is to be written again.
bool shm_merge (shm_shard_t read[SHM_SHARDS],
                const shm_shard_t known[SHM_SHARDS]);
/// Append the map as JSON.
void shm_write (const shm_shard_t shards[SHM_SHARDS], kb_buf_t *out);
/// @return  False if any part of the text is not that of a valid map; `out`
/// may
///          then be partly filled.
bool shm_parse (kb_slice_t text, shm_shard_t out[SHM_SHARDS]);

#endif
