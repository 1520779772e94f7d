/// @file versions.h
/// The newest known version of each adapter. Versions only rise, so that a
/// late or repeated message cannot bring an older one back.
#ifndef KB_RELAY_VERSIONS_H
#define KB_RELAY_VERSIONS_H

#include "state/map.h"
#include "sidecar/engine.h"

/// One adapter's version.
typedef struct
{
  uint64_t key; ///< egn_adapter_key
  uint32_t version;
  uint32_t previous_version; ///< The newest one before; zero: none was known.
  uint64_t unconfirmed_ms;   ///< See rsm_versions_t.
  uint64_t learned_ms;
  char model[EGN_NAME_BYTES];
  char adapter[EGN_NAME_BYTES];
} ver_item_t;

typedef struct
{
  kb_map_t items;
  uint64_t version_sum; ///< Of all versions; equal sums mean equal tables.
} ver_table_t;

void ver_table_finish (ver_table_t *table);
/// Record a version.
/// @return  The item if the version is newer than the known one, or NULL.
ver_item_t *ver_table_update (ver_table_t *table, kb_slice_t model,
                              kb_slice_t adapter, uint32_t version);
/// @return  NULL when no version is known.
const ver_item_t *ver_find (const ver_table_t *table, uint64_t key);
/// @return  Zero when no version is known.
uint32_t ver_newest (const ver_table_t *table, uint64_t key);
/// @param name  Receives the full name, "model/adapter".
/// @return      The key of that name.
uint64_t ver_key (kb_slice_t model, kb_slice_t adapter, char *name,
                  size_t name_bytes);

#endif
