/// @file service.h
/// Routes, services and limits of a configuration, independent of the document
/// format that it was decoded from.
#ifndef KB_STATE_SERVICE_H
#define KB_STATE_SERVICE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/workspace.h"

enum
{
  SVC_MAX_SPLIT = 8,
  SVC_MAX_MODELS = 8,
};

/// Whether a request may run more than once.
typedef enum
{
  SVC_KIND_SAFE,   ///< May run more than once.
  SVC_KIND_UNSAFE, ///< Runs at most once.
  SVC_KIND_STREAM, ///< A series of events; at most once unless resumable.
} svc_kind_t;

/// The share of a route's requests that goes to one service.
typedef struct
{
  char *service;
  uint32_t weight;
} svc_share_t;

typedef struct
{
  char *name;
  char *host;
  char *prefix; ///< Begins and ends with a slash.
  svc_kind_t kind;
  uint32_t timeout_ms;   ///< Maximum time that a caller waits.
  uint32_t objective_ms; ///< Latency of the answer or of the first event.
  uint32_t max_attempts; ///< Number of targets that a request may be sent to.
  uint32_t priority;     ///< Lower is more urgent.
  bool is_resumable;
  bool is_public;         ///< Needs no key.
  uint32_t gap_target_ms; ///< Maximum pause between events; zero: not set.
  svc_share_t shares[SVC_MAX_SPLIT];
  uint32_t share_count;
} svc_route_t;

/// A model that an engine service offers.
typedef struct
{
  char *name;
  double size_mb;
  double adapter_size_mb;
  uint32_t load_ms;
} svc_model_t;

typedef struct
{
  char *name;
  char *health_path;
  uint32_t max_connections; ///< Per target, over all callers.
  bool is_engine;           ///< The fields below apply to engines only.
  uint32_t slots;
  uint32_t kv_tokens; ///< Memory for running requests and cached prompts.
  double memory_mb;   ///< For models and adapters.
  uint32_t adapter_slots;
  double model_loads_per_s; ///< From the weight store, over all engines.
  svc_model_t models[SVC_MAX_MODELS];
  uint32_t model_count;
} svc_service_t;

/// Limits on the size and duration of a caller's request.
typedef struct
{
  uint32_t max_header_bytes;
  uint32_t max_body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
} svc_limits_t;

typedef struct
{
  uint64_t revision;
  svc_route_t *routes; ///< Sorted by host, then longest prefix first.
  uint32_t route_count;
  svc_service_t *services;
  uint32_t service_count;
  svc_limits_t limits;
  wsp_table_t workspaces;
} svc_config_t;

/// @return  Whether a received configuration may replace the current one.
///          Revisions only increase: a late or repeated document must not
///          restore an older configuration.
static inline bool
svc_revision_is_newer (uint64_t current, uint64_t received)
{
  return received > current;
}

/// Sort the routes and index the workspaces' keys; call once after decoding.
void svc_config_seal (svc_config_t *config);
void svc_config_free (svc_config_t *config);
/// Free what only a gateway needs: the routes, and the workspaces with their
/// keys.
void svc_config_drop_gateway_data (svc_config_t *config);
/// @param host  Compared without regard to case; a port is ignored.
/// @param path  With or without a query.
/// @return      The route with the longest prefix, or NULL.
const svc_route_t *svc_route_find (const svc_config_t *config, kb_slice_t host,
                                   kb_slice_t path);
/// Pick a service at random by the weights of the route's shares.
/// @param random_number  Uniformly distributed over requests.
/// @return               The service's name, or NULL when the route has none.
const char *svc_route_pick (const svc_route_t *route, uint64_t random_number);
const svc_service_t *svc_service_find (const svc_config_t *config,
                                       const char *name);
/// @return  Number of adapters that an engine of the service can hold beside
///          the service's first model, limited by its slots and its memory.
uint32_t svc_service_max_adapters (const svc_service_t *service);
/// @return  The shortest of the gap targets of all routes to a service; zero
///          when no route sets one.
uint32_t svc_service_gap_target_ms (const svc_config_t *config,
                                    const char *service);

/// @return  The longest timeout of a route of streams; zero: there is none.
uint32_t svc_config_longest_stream_ms (const svc_config_t *config);

#endif
