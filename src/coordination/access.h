/// @file access.h
/// Authorizes a request by its API key, and finds the workspace of the key. No
/// I/O.
///
/// A key that is removed from the configuration must stop working within a
/// bound, even at a gateway that no longer receives the configuration. So keys
/// are only accepted while the local configuration is fresh: when it is older
/// than a fraction of the bound, requests that need a key are refused as not
/// run until the store has been read again.
#ifndef KB_COORDINATION_ACCESS_H
#define KB_COORDINATION_ACCESS_H

#include "state/workspace.h"

typedef enum
{
  ACC_ADMITTED,
  ACC_NO_KEY,      ///< No key, an empty one, or several.
  ACC_UNKNOWN_KEY, ///< The key belongs to no workspace.
  ACC_STALE,       ///< The local configuration is too old.
} acc_outcome_t;

/// Properties of a request that decide its authorization.
typedef struct
{
  uint32_t key_count;    ///< Header fields that contain a key.
  const uint8_t *digest; ///< Of the key; NULL: no key, or an empty one.
  bool is_route_public;
} acc_request_t;

/// Age of the local configuration.
typedef struct
{
  /// Time since the start of the last answered read of the store, by a clock
  /// that also counts while the VM is suspended.
  uint64_t age_ms;
  uint64_t revoke_bound_ms; ///< Zero: no limit on the age.
} acc_freshness_t;

typedef struct
{
  acc_outcome_t outcome;
  /// Workspace of the key; NULL: none.
  const wsp_workspace_t *workspace;
} acc_result_t;

/// @return  Maximum age of the configuration at which keys are accepted.
uint64_t acc_max_age_ms (uint64_t revoke_bound_ms);
acc_result_t acc_authorize (const wsp_table_t *table,
                            const acc_request_t *request,
                            const acc_freshness_t *freshness);

#endif
