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

/// A version that an adapter must have from now on.
typedef struct
{
  kb_slice_t model;
  kb_slice_t adapter;
  uint32_t version;
} src_version_t;

typedef struct
{
  /// @param config    Owned by the receiver.
  /// @param document  The document it was decoded from, to be passed on.
  void (*on_config) (void *owner, svc_config_t *config, kb_slice_t document);
  void (*on_target) (void *owner, const src_target_t *target);
  void (*on_target_gone) (void *owner, kb_slice_t id);
  void (*on_version) (void *owner, const src_version_t *version);
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
