/// @file source.h
/// Where a gateway learns configuration, targets and adapter versions from:
/// a vtable, so that the deployment's store stays behind it.
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

/// One target as it is listed.
typedef struct
{
  inc_t who;
  char service[SRC_NAME_BYTES];
  char domain[SRC_NAME_BYTES];
  struct sockaddr_in address;
  uint32_t slots;
  bool is_leaving;
} src_target_t;

/// A change of the store as it stands there: bytes that mean something to the
/// source alone.
typedef struct
{
  uint64_t revision;
  kb_slice_t key;
  kb_slice_t value;
  bool is_gone;
} src_change_t;

/// A question for the changes that a gateway lacks.
typedef struct
{
  uint64_t after;        ///< Everything up to this revision is known.
  uint64_t known_age_ms; ///< How old that knowledge is.
  uint64_t pause_ms;     ///< Between two reads of the store.
  uint64_t timeout_ms;   ///< The answer is of no use later.
} src_ask_t;

/// What a peer read for several gateways.
typedef struct
{
  uint64_t as_of;           ///< All changes up to here.
  uint64_t began_ms;        ///< When the read began at the latest, loop time.
  uint64_t config_revision; ///< Of a configuration it saw; it passes none on.
  const src_change_t *changes;
  uint32_t change_count;
} src_changes_t;

typedef struct src_peers src_peers_t;

/// Peers that read the store for several gateways.
typedef struct
{
  /// @return  Whether one of them could be asked now.
  bool (*is_any) (src_peers_t *peers);
  /// Ask one of them. The source's on_changes is called once, never from
  /// within this call.
  void (*ask) (src_peers_t *peers, const src_ask_t *ask);
} src_peers_vtable_t;

struct src_peers
{
  const src_peers_vtable_t *vtable;
};

/// A version that an adapter must have from now on.
typedef struct
{
  kb_slice_t model;
  kb_slice_t adapter;
  uint32_t version;
} src_version_t;

/// Something of the system's own that is kept at the platform, where it
/// outlives all daemons.
typedef struct
{
  kb_slice_t key;
  kb_slice_t value;
} src_record_t;

/// @param is_kept  False: it was not written, or that is not known.
typedef void (*src_keep_done_t) (void *arg, bool is_kept);

typedef struct
{
  /// @param config    Owned by the receiver.
  /// @param document  The document it was decoded from, to be passed on.
  void (*on_config) (void *owner, svc_config_t *config, kb_slice_t document);
  void (*on_target) (void *owner, const src_target_t *target);
  void (*on_target_gone) (void *owner, kb_slice_t id);
  void (*on_version) (void *owner, const src_version_t *version);
  /// A record is there, of this gateway or of another.
  void (*on_record) (void *owner, const src_record_t *record);
  /// All targets that are listed now have been told.
  void (*on_targets_known) (void *owner);
  void (*on_reachable) (void *owner, bool is_reachable);
} src_events_t;

typedef struct src_source src_source_t;

typedef struct
{
  void (*start) (src_source_t *source, const src_events_t *events,
                 void *owner);
  void (*stop) (src_source_t *source);
  /// Peers that may be asked in place of the store; before the start.
  void (*set_peers) (src_source_t *source, src_peers_t *peers);
  /// The answer to a question to the peers; NULL: none came in its time.
  void (*on_changes) (src_source_t *source, const src_changes_t *changes);
  /// Keep a record for a while, in place of one with its key. One at a time;
  /// `done` is called once, never from within this call.
  void (*keep) (src_source_t *source, const src_record_t *record,
                uint64_t lasts_ms, src_keep_done_t done, void *arg);
  /// @return  When the newest read of the store that was answered began, as
  ///          tmr_boottime_ms tells it; zero: none was.
  uint64_t (*known_boot_ms) (const src_source_t *source);
  /// Set the gauges of the metrics page.
  void (*set_gauges) (src_source_t *source);
} src_vtable_t;

struct src_source
{
  const src_vtable_t *vtable;
};

/// Decode a configuration document.
/// @return  NULL with the place and reason in `error`.
typedef svc_config_t *(*src_decode_t) (kb_slice_t document, kb_error_t *error);

#endif
