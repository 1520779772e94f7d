/// @file source.h
/// Source of a gateway's configuration, targets and adapter versions: a vtable
/// that hides the deployment's store.
#ifndef KB_GATEWAY_SOURCE_H
#define KB_GATEWAY_SOURCE_H

#include <netinet/in.h>

#include "state/incarnation.h"
#include "state/service.h"
#include "state/status.h"

enum
{
  SRC_NAME_BYTES = 64,
};

/// Entry of the target list.
typedef struct
{
  inc_t identity;
  char service[SRC_NAME_BYTES];
  char domain[SRC_NAME_BYTES];
  char software[SRC_NAME_BYTES]; ///< Version of the target's software.
  struct sockaddr_in address;
  uint32_t slots;
  bool is_leaving;
} src_target_t;

/// A change of the store in raw form; only the source interprets the bytes.
typedef struct
{
  uint64_t revision;
  kb_slice_t key;
  kb_slice_t value;
  bool is_gone;
} src_change_t;

/// Request for the changes that a gateway lacks.
typedef struct
{
  uint64_t era;          ///< Era of the store; zero: not stated.
  uint64_t after;        ///< Last revision that is known.
  uint64_t known_age_ms; ///< Age of that knowledge.
  uint64_t pause_ms;     ///< Interval between two reads of the store.
  uint64_t timeout_ms;   ///< A later answer is ignored.
} src_changes_request_t;

/// Changes that a peer read for several gateways.
typedef struct
{
  uint64_t era;             ///< Era of the store that they are of.
  uint64_t as_of;           ///< Revision up to which they are complete.
  uint64_t began_ms;        ///< Latest possible start of the read, loop time.
  uint64_t config_revision; ///< Of the newest configuration that the peer saw;
                            ///< configurations are not among the changes.
  const src_change_t *changes;
  uint32_t change_count;
} src_changes_t;

typedef struct src_peers src_peers_t;

/// Interface to the peers that read the store for several gateways.
typedef struct
{
  /// @return  Whether a peer can be queried now.
  bool (*has_available) (src_peers_t *peers);
  /// Query a peer. The source's on_changes is called exactly once, never from
  /// within this call.
  void (*request_changes) (src_peers_t *peers,
                           const src_changes_request_t *request);
  /// Abandon the pending query; on_changes is not called for it.
  void (*cancel_request) (src_peers_t *peers);
} src_peers_vtable_t;

struct src_peers
{
  const src_peers_vtable_t *vtable;
};

/// Minimum version that an adapter must have from now on.
typedef struct
{
  kb_slice_t model;
  kb_slice_t adapter;
  uint32_t version;
} src_version_t;

/// Internal record that is kept in the platform's store, where it survives the
/// loss of all daemons.
typedef struct
{
  kb_slice_t key;
  kb_slice_t value;
  /// Of the store, which a conditional write expects; zero: it has no such
  /// record.
  uint64_t revision;
  bool is_conditional; ///< To be written only at that revision.
} src_record_t;

typedef enum
{
  SRC_RECORD_STORED,
  SRC_RECORD_CONFLICT, ///< The store has another revision; not written.
  SRC_RECORD_FAILED,   ///< Not written, or the result is unknown.
} src_record_result_t;

typedef void (*src_record_done_t) (void *arg, src_record_result_t result);

typedef struct
{
  /// @param config    Owned by the receiver.
  /// @param document  The document that it was decoded from, for forwarding.
  void (*on_config) (void *owner, svc_config_t *config, kb_slice_t document);
  void (*on_target) (void *owner, const src_target_t *target);
  void (*on_target_removed) (void *owner, kb_slice_t id);
  /// The entry of a target says that it is leaving, and no more can be read.
  void (*on_target_leaving) (void *owner, kb_slice_t id);
  /// @return  Whether the target is heard from, apart from its entry.
  bool (*is_target_alive) (void *owner, kb_slice_t id);
  void (*on_version) (void *owner, const src_version_t *version);
  /// A record was read, of this gateway or another one.
  void (*on_record) (void *owner, const src_record_t *record);
  /// A record that was there is gone, or its lifetime is over.
  void (*on_record_removed) (void *owner, kb_slice_t key);
  /// The store came back from an older copy, whose content is reported next.
  void (*on_restored) (void *owner);
  /// All currently listed targets have been reported.
  void (*on_target_list_complete) (void *owner);
  void (*on_reachable) (void *owner, bool is_reachable);
} src_events_t;

typedef struct src_source src_source_t;

typedef struct
{
  void (*start) (src_source_t *source, const src_events_t *events,
                 void *owner);
  void (*stop) (src_source_t *source);
  /// Set the peers that can be queried instead of the store. Call it before
  /// start.
  void (*set_peers) (src_source_t *source, src_peers_t *peers);
  /// Answer to a query of the peers; NULL: none came in time.
  void (*on_changes) (src_source_t *source, const src_changes_t *changes);
  /// Store a record for `ttl_ms`, replacing one with the same key. One at a
  /// time; `done` is called exactly once, never from within this call.
  void (*store_record) (src_source_t *source, const src_record_t *record,
                        uint64_t ttl_ms, src_record_done_t done, void *arg);
  /// @return  Start of the newest answered read of the store that shows all
  ///          that was confirmed before it, by the clock of tmr_boottime_ms;
  ///          zero: none was answered.
  uint64_t (*last_read_boot_ms) (const src_source_t *source);
  /// @return  Era of the store; zero: not stated, or not known yet.
  uint64_t (*era) (const src_source_t *source);
  /// Update the gauges of the metrics page.
  void (*set_gauges) (src_source_t *source);
} src_vtable_t;

struct src_source
{
  const src_vtable_t *vtable;
};

/// Decode a configuration document.
/// @return  NULL with the position and reason in `error`.
typedef svc_config_t *(*src_decode_t) (kb_slice_t document, kb_error_t *error);

#endif
