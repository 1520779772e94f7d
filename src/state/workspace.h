/// @file workspace.h
/// The workspaces of a configuration: their keys, priorities and limits. Keys
/// are stored as digests only, so that a dump of the process's tables does not
/// reveal them.
#ifndef KB_STATE_WORKSPACE_H
#define KB_STATE_WORKSPACE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WSP_DIGEST_BYTES = 32, ///< SHA-256 of a key.
  WSP_NONE = UINT32_MAX,
};

/// The usage limit of a workspace, over all gateways.
typedef struct
{
  double rate_per_s;  ///< Zero: no limit.
  double burst;       ///< Amount allowed in excess of the rate.
  bool counts_tokens; ///< Whether the unit is tokens; else requests.
  uint32_t default_request_tokens; ///< For requests that state none.
} wsp_limit_t;

typedef struct
{
  char *name;
  bool has_priority;
  uint32_t priority; ///< Takes precedence over that of a route.
  wsp_limit_t limit;
} wsp_workspace_t;

typedef struct
{
  uint8_t digest[WSP_DIGEST_BYTES];
  uint32_t workspace; ///< Index into items.
} wsp_key_t;

/// Built with wsp_add and wsp_add_key, then sealed; immutable afterwards.
typedef struct
{
  bool is_key_required; ///< On routes that are not public.
  wsp_workspace_t *items;
  uint32_t count;
  uint32_t cap;
  wsp_key_t *keys;
  uint32_t key_count;
  uint32_t key_cap;
  uint32_t *index_slots;     ///< Keys by digest: index plus one; zero: empty.
  uint32_t index_slot_count; ///< A power of two.
} wsp_table_t;

void wsp_finish (wsp_table_t *table);
/// @param name  Copied.
/// @return      The new workspace, for the caller to fill in; valid until the
///              next call.
wsp_workspace_t *wsp_add (wsp_table_t *table, const char *name);
/// Add a key of the workspace that was added last.
void wsp_add_key (wsp_table_t *table, const uint8_t digest[WSP_DIGEST_BYTES]);
/// Index the keys. A key listed by several workspaces belongs to the first.
void wsp_seal (wsp_table_t *table);
/// Find the workspace of a key. Digests are compared in constant time.
/// @return  The workspace, or NULL when the key is unknown.
const wsp_workspace_t *wsp_find (const wsp_table_t *table,
                                 const uint8_t digest[WSP_DIGEST_BYTES]);

#endif
