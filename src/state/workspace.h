/// @file workspace.h
/// The workspaces of a configuration: their keys, their priority and their
/// limits. Keys are held as digests only, so that none can be read back out
/// of a dump of the process's tables.
#ifndef KB_STATE_WORKSPACE_H
#define KB_STATE_WORKSPACE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WSP_DIGEST_BYTES = 32, ///< SHA-256 of a key.
  WSP_NONE = UINT32_MAX,
};

/// What a workspace may use, over all gateways together.
typedef struct
{
  double rate_per_s;  ///< Zero: no limit.
  double burst;       ///< Beyond the rate.
  bool counts_tokens; ///< Else requests.
  uint32_t
      default_request_tokens; ///< Of a request that does not state its tokens.
} wsp_limit_t;

typedef struct
{
  char *name;
  bool has_priority;
  uint32_t priority; ///< Goes before that of a route.
  wsp_limit_t limit;
} wsp_workspace_t;

typedef struct
{
  uint8_t digest[WSP_DIGEST_BYTES];
  uint32_t workspace; ///< Index.
} wsp_key_t;

/// Built by wsp_add and wsp_add_key, then sealed; immutable afterwards.
typedef struct
{
  bool is_key_required; ///< By routes that are not public.
  wsp_workspace_t *items;
  uint32_t count;
  uint32_t cap;
  wsp_key_t *keys;
  uint32_t key_count;
  uint32_t key_cap;
  uint32_t
      *index_slots; ///< Index of a key plus one, by its digest; zero: free.
  uint32_t index_slot_count; ///< A power of two.
} wsp_table_t;

void wsp_finish (wsp_table_t *table);
/// @param name  Copied.
/// @return      The new workspace, to be filled in.
wsp_workspace_t *wsp_add (wsp_table_t *table, const char *name);
/// Add a key of the workspace that was added last.
void wsp_add_key (wsp_table_t *table, const uint8_t digest[WSP_DIGEST_BYTES]);
/// Index the keys. Of several workspaces that name the same key, the initial
/// holds it.
void wsp_seal (wsp_table_t *table);
/// Takes the same time for each key that is known.
/// @return  The workspace that holds a key, or NULL.
const wsp_workspace_t *wsp_find (const wsp_table_t *table,
                                 const uint8_t digest[WSP_DIGEST_BYTES]);

#endif
