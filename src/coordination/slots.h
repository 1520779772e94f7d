/// @file slots.h
/// Slot table of one engine: which adapters are resident, loading or going,
/// and which are pinned by a request that runs. The agent is its only writer.
/// No I/O.
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
  uint32_t pins;     ///< Requests running with it; never evicted above zero.
  bool is_draining;  ///< Gets no new work, so that its slot comes free.
  double keep_score; ///< Eviction order: the lowest goes first.
  uint64_t used_us;
  uint64_t state_us; ///< When the state last changed.
} slt_slot_t;

typedef struct
{
  slt_slot_t *slots;
  uint32_t cap;
  uint32_t len;
  kb_map_t by_key;
  kb_map_t visits; ///< Decayed visit counts of adapters seen, resident or not.
  uint32_t visit_total;
  double score_floor; ///< Credit of the last eviction; ageing of the others.
  bool is_lru;        ///< Baseline: plain least recently used.
} slt_table_t;

void slt_table_init (slt_table_t *table, uint32_t cap);
void slt_table_finish (slt_table_t *table);
slt_slot_t *slt_find (slt_table_t *table, uint64_t key);
/// @return  True when a load can start without an eviction.
bool slt_has_free (const slt_table_t *table);
/// Start a load in a free slot.
/// @return  NULL when no slot is free.
slt_slot_t *slt_begin_load (slt_table_t *table, uint64_t key, uint64_t now_us);
/// A load ended; a failed one gives the slot back.
void slt_end_load (slt_table_t *table, uint64_t key, bool is_loaded,
                   uint64_t now_us);
/// The unload order ended; a failed one leaves the adapter resident.
void slt_end_unload (slt_table_t *table, uint64_t key, bool is_unloaded,
                     uint64_t now_us);
/// Choose what to evict: resident, unpinned, not wanted.
/// @param is_wanted  Whether requests wait for a key; may be NULL.
/// @return           NULL when nothing may go.
slt_slot_t *slt_choose_victim (slt_table_t *table,
                               bool (*is_wanted) (void *arg, uint64_t key),
                               void *arg);
/// Begin to evict a slot returned by slt_choose_victim.
void slt_begin_unload (slt_table_t *table, slt_slot_t *slot, uint64_t now_us);
void slt_pin (slt_table_t *table, slt_slot_t *slot, uint64_t now_us);
void slt_unpin (slt_table_t *table, slt_slot_t *slot, uint64_t now_us);
/// The engine restarted cold or its list disagrees: forget an unpinned slot.
void slt_forget (slt_table_t *table, uint64_t key);

#endif
