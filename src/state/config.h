/// @file config.h
/// The operators' configuration in force: services, adapters, workspaces and
/// priority rules. Immutable once built.
#ifndef KB_STATE_CONFIG_H
#define KB_STATE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"
#include "state/status.h"

enum
{
  CFG_KEY_DIGEST_BYTES = 32, ///< SHA-256 of a workspace's bearer key.
  CFG_PRIORITY_CLASS_COUNT = 8,
};

/// Memory of a configuration's strings and small arrays. It is allocated in
/// large blocks, apart from the short-lived objects of the parser, so that the
/// parser's memory can be returned to the system.
typedef struct cfg_block cfg_block_t;

typedef struct
{
  cfg_block_t *blocks;
} cfg_arena_t;

typedef struct
{
  char *name;
  bool is_plain;
  char *base_model; ///< Engines only.
  /// Whether a request that does not state it may be repeated.
  bool is_idempotent;
} cfg_service_t;

typedef struct
{
  uint32_t number;
  char *source; ///< Location in the weight store.
} cfg_version_t;

typedef struct
{
  char *name;
  uint32_t service; ///< Index into services.
  uint32_t current; ///< Version used when a request gives none.
  uint32_t version_count;
  cfg_version_t *versions; ///< Ordered by number.
} cfg_adapter_t;

typedef struct
{
  char *name;
  uint8_t key_digest[CFG_KEY_DIGEST_BYTES];
  uint8_t priority_class; ///< 0 is served first.
  uint32_t weight;
  uint32_t max_inflight; ///< Zero: no limit.
  double rate_per_s;     ///< Zero: no limit.
} cfg_workspace_t;

/// Overrides a workspace's priority class for the requests that match.
typedef struct
{
  char *name;
  char *workspace;      ///< Empty: any.
  char *service;        ///< Empty: any.
  char *adapter_prefix; ///< Empty: any.
  uint8_t priority_class;
} cfg_rule_t;

typedef struct
{
  uint64_t revision;
  cfg_service_t *services;
  uint32_t service_count;
  cfg_adapter_t *adapters;
  uint32_t adapter_count;
  cfg_workspace_t *workspaces;
  uint32_t workspace_count;
  cfg_rule_t *rules; ///< Sorted by name; the first match wins.
  uint32_t rule_count;
  kb_map_t adapter_by_name;
  cfg_arena_t arena;
} cfg_config_t;

/// @return  Zeroed memory that is freed with the configuration.
void *cfg_alloc (cfg_config_t *config, size_t bytes);
char *cfg_strdup (cfg_config_t *config, const char *text);
/// Free everything but the struct itself, which the caller owns.
void cfg_config_finish (cfg_config_t *config);
const cfg_service_t *cfg_service_find (const cfg_config_t *config,
                                       kb_slice_t name);
const cfg_adapter_t *cfg_adapter_find (const cfg_config_t *config,
                                       kb_slice_t name);
const cfg_version_t *cfg_version_find (const cfg_adapter_t *adapter,
                                       uint32_t number);
const cfg_workspace_t *cfg_workspace_find (const cfg_config_t *config,
                                           const uint8_t *key_digest);
/// @return  The priority class of a request: of the first rule that matches,
///          else of its workspace.
uint8_t cfg_priority_class (const cfg_config_t *config,
                            const cfg_workspace_t *workspace,
                            kb_slice_t service, kb_slice_t adapter);

#endif
