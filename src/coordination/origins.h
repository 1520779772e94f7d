/// @file origins.h
/// What began a stream: the software version of a target, and the version of
/// the adapter that it held. Targets of several versions may serve one
/// service, and what two of them write doesn't fit together, so a stream may
/// go on only at the versions that began it. The table remembers origins for a
/// limited time. No I/O.
#ifndef KB_COORDINATION_ORIGINS_H
#define KB_COORDINATION_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"

enum
{
  /// Of one daemon; the oldest one makes room.
  ORG_MAX_ENTRIES = 16384,
  ORG_MAX_TTL_MS = 600000,
};

typedef struct
{
  uint64_t service;  ///< Hash of the service's name; zero: no origin.
  uint64_t software; ///< Hash of the software version; zero: not known yet.
  uint64_t instance; ///< Hash of the target's incarnation.
  /// Zero: no adapter, or its version is not known.
  uint64_t adapter_version;
} org_origin_t;

typedef struct org_entry org_entry_t;

typedef struct
{
  kb_map_t entries;    ///< org_entry_t by stream.
  org_entry_t *oldest; ///< By the time of the last change.
  org_entry_t *newest;
} org_table_t;

void org_table_init (org_table_t *table);
void org_table_finish (org_table_t *table);
/// Remember what began a stream. Versions that are known already stay.
/// @param stream  Hash that identifies the stream; not zero.
/// @param ttl_ms  How long it may be continued, ORG_MAX_TTL_MS at most.
void org_put (org_table_t *table, uint64_t stream, const org_origin_t *origin,
              uint64_t ttl_ms, uint64_t now_ms);
/// @return  How long the origin of a stream is remembered, in milliseconds;
///          zero: it is not.
uint64_t org_get (const org_table_t *table, uint64_t stream, uint64_t now_ms,
                  org_origin_t *out);
/// Remove entries whose time is over.
void org_expire (org_table_t *table, uint64_t now_ms);
/// Call a function with each entry, oldest first.
void org_each (const org_table_t *table, uint64_t now_ms,
               void (*visit) (void *arg, uint64_t stream,
                              const org_origin_t *origin, uint64_t ttl_ms),
               void *arg);
/// Entries in packed form. Adapter versions are kept apart, so that daemons
/// that know none of them can read the rest.
typedef struct
{
  kb_buf_t records;
  kb_buf_t adapter_versions; ///< One for each record, in the same order.
} org_packed_t;

void org_packed_clear (org_packed_t *packed);
void org_packed_finish (org_packed_t *packed);
/// Append one entry in packed form.
void org_pack (uint64_t stream, const org_origin_t *origin, uint64_t ttl_ms,
               org_packed_t *out);
/// Remember packed entries.
/// @param adapter_versions  Empty: none is known.
/// @return  False when they are malformed; nothing is remembered then.
bool org_unpack (org_table_t *table, kb_slice_t records,
                 kb_slice_t adapter_versions, uint64_t now_ms);

#endif
