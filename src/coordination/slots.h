/// @file slots.h
/// Adapter slots of one engine: which adapters are resident, loading or
/// unloading, and which are pinned by running requests. The agent is the only
/// writer. No I/O.
#ifndef KB_COORDINATION_SLOTS_H
#define KB_COORDINATION_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/map.h"

typedef enum
{
  SLT_LOADING,
  SLT_RESIDENT,
  SLT_UNLOADING,
} slt_state_t;

/// One adapter at one version on the engine.
typedef struct
{
  uint64_t key;
  slt_state_t state;
  uint32_t pins;     ///< Running requests; a pinned slot is not evicted.
  bool is_draining;  ///< Accepts no new work, so that the slot becomes free.
  double keep_score; ///< The lowest is evicted first.
  uint64_t used_us;
  uint64_t state_us; ///< Last change of `state`.
} slt_slot_t;

typedef struct
{
  slt_slot_t *slots;
  uint32_t cap;
  uint32_t len;
  kb_map_t by_key;
  kb_map_t visits; ///< Decayed visit counts of adapters, resident or not.
  uint32_t visit_total;
  /// Highest score evicted so far; new scores add to it, which ages the
  /// others.
  double score_floor;
  bool is_lru; ///< Baseline for comparison: least recently used.
} slt_table_t;

void slt_table_init (slt_table_t *table, uint32_t cap);
void slt_table_finish (slt_table_t *table);
slt_slot_t *slt_find (slt_table_t *table, uint64_t key);
/// @return  Whether a load can start without an eviction.
bool slt_has_free (const slt_table_t *table);
/// Start a load in a free slot.
/// @return  NULL when no slot is free.
slt_slot_t *slt_begin_load (slt_table_t *table, uint64_t key, uint64_t now_us);
/// End a load; a failed one frees the slot.
void slt_end_load (slt_table_t *table, uint64_t key, bool is_loaded,
                   uint64_t now_us);
/// End an unload; a failed one leaves the adapter resident.
void slt_end_unload (slt_table_t *table, uint64_t key, bool is_unloaded,
                     uint64_t now_us);
/// Choose the slot to evict: resident, unpinned, and draining or not wanted.
/// @param is_wanted  Whether requests wait for a key; may be NULL.
/// @return           NULL when no slot can be evicted.
slt_slot_t *slt_choose_victim (slt_table_t *table,
                               bool (*is_wanted) (void *arg, uint64_t key),
                               void *arg);
/// Start to unload a slot returned by slt_choose_victim.
void slt_begin_unload (slt_table_t *table, slt_slot_t *slot, uint64_t now_us);
void slt_pin (slt_table_t *table, slt_slot_t *slot, uint64_t now_us);
void slt_unpin (slt_table_t *table, slt_slot_t *slot, uint64_t now_us);
/// Free an unpinned slot that the engine no longer holds, after a restart or a
/// report that differs.
void slt_forget (slt_table_t *table, uint64_t key);

#endif
