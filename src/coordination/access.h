/// @file access.h
/// Who is asking: whether a request may be let in by the key that it shows,
/// and for which workspace. No I/O.
///
/// A key that the configuration takes away must stop working within a bound,
/// also at a gateway that hears of no configuration any more. So a key is
/// worth as much as what is known of the configuration is fresh: beyond a
/// part of the bound, requests that need a key are refused as not run until
/// the store was read again.
#ifndef KB_COORDINATION_ACCESS_H
#define KB_COORDINATION_ACCESS_H

#include "state/workspace.h"

typedef enum
{
  ACC_ADMITTED,
  ACC_NO_KEY,      ///< None, an empty one, or several.
  ACC_UNKNOWN_KEY, ///< No workspace holds it.
  ACC_STALE,       ///< What is known of keys is too old to tell.
} acc_outcome_t;

/// A request as far as it matters here.
typedef struct
{
  uint32_t key_count;    ///< Fields that hold a key.
  const uint8_t *digest; ///< Of the key when there is one, not empty.
  bool is_route_public;
} acc_request_t;

/// How fresh the configuration is.
typedef struct
{
  /// Since the start of the last read of the store that was answered, by a
  /// clock that also counts while the VM is suspended.
  uint64_t age_ms;
  uint64_t revoke_bound_ms; ///< Zero: keys may be of any age.
} acc_freshness_t;

typedef struct
{
  acc_outcome_t outcome;
  /// Of the key; NULL: the request belongs to none.
  const wsp_workspace_t *workspace;
} acc_result_t;

/// @return  The greatest age at which keys are still trusted.
uint64_t acc_max_age_ms (uint64_t revoke_bound_ms);
acc_result_t acc_authorize (const wsp_table_t *table,
                            const acc_request_t *request,
                            const acc_freshness_t *freshness);

#endif
