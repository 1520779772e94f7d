/// @file route.h
/// Choice of a target for one request. Targets are ranked for each adapter by
/// rendezvous hashing, with ranks that alternate over failure domains. The
/// number of ranks in use, the width, follows the demand that agents report in
/// their replies. No I/O; time and randomness are arguments.
#ifndef KB_COORDINATION_ROUTE_H
#define KB_COORDINATION_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/map.h"

enum
{
  RT_MAX_TARGETS = 1024,
  RT_MAX_RANKS = 16,
  RT_NONE = 0xFFFF,
};

/// Whether a target can be used.
typedef enum
{
  RT_DOWN,    ///< Not connected, or known to be lost.
  RT_LEAVING, ///< Finishes its work and accepts none.
  RT_UP,
} rt_state_t;

/// State of a target as known to an entry. Load figures come from its last
/// report and count less with age.
typedef struct
{
  bool is_used;
  uint64_t id; ///< Hash of its name; the same for all its incarnations.
  uint64_t service;
  uint64_t domain;
  rt_state_t state;
  uint32_t max_batch;
  uint32_t queue_len;
  uint32_t running;
  uint32_t expected_wait_ms;
  uint32_t sent_since_report; ///< Own requests sent since the last report.
  uint64_t reported_ms;
} rt_target_t;

/// Ranked targets of an adapter, and the state of the adapter at each.
typedef struct
{
  uint64_t key;
  /// Value of rt_table_t.membership_version when the ranks were computed.
  uint32_t membership_version;
  uint16_t ranks[RT_MAX_RANKS];
  uint8_t rank_count;
  uint8_t width;     ///< Ranks in use.
  uint16_t resident; ///< Bit per rank.
  uint16_t loading;  ///< Bit per rank: a request that loads it was sent.
  uint32_t demand_permille; ///< Smoothed; of the capacity of one target.
  uint64_t width_changed_ms;
  uint64_t used_ms;
} rt_adapter_t;

/// Tunables.
typedef struct
{
  uint32_t load_ms;             ///< Expected duration of an adapter load.
  uint32_t report_half_life_ms; ///< Age at which a reported wait counts half.
  uint32_t grow_permille;       ///< Demand above which the width grows.
  uint32_t shrink_permille;     ///< Demand below which it shrinks.
  uint32_t width_hold_ms; ///< Shortest time between two changes of the width.
  uint32_t service_ms;    ///< Expected duration of a request.
  bool is_naive;          ///< Baseline for comparison: random usable target.
} rt_options_t;

typedef struct
{
  rt_options_t options;
  rt_target_t targets[RT_MAX_TARGETS];
  uint16_t target_count; ///< Entries of `targets` ever used.
  uint32_t
      membership_version; ///< Incremented when the set of targets changes.
  kb_map_t by_id;
  kb_map_t adapters;
} rt_table_t;

void rt_options_default (rt_options_t *options);
void rt_table_init (rt_table_t *table, const rt_options_t *options);
void rt_table_finish (rt_table_t *table);
/// Add a target, or update the one with this id.
/// @return  Its index, or RT_NONE when the table is full.
uint16_t rt_target_add (rt_table_t *table, uint64_t id, uint64_t service,
                        uint64_t domain, uint32_t max_batch);
void rt_target_remove (rt_table_t *table, uint16_t index);
void rt_target_set_state (rt_table_t *table, uint16_t index, rt_state_t state);

/// Choose a target.
/// @param service   Hash of the service's name.
/// @param adapter   Hash of adapter and version; zero for a plain service.
/// @param excluded  Indices that must not be chosen, such as those that
///                  refused this request.
/// @param random    A random number, for choices that no rank decides.
/// @return          An index, or RT_NONE.
uint16_t rt_choose (rt_table_t *table, uint64_t service, uint64_t adapter,
                    const uint16_t *excluded, uint32_t excluded_count,
                    uint64_t now_ms, uint64_t random);
/// Record that a request was sent to a target.
void rt_record_sent (rt_table_t *table, uint16_t index, uint64_t adapter);
/// Record the end of a request. `is_resident` and `demand_permille` come from
/// the agent's reply.
void rt_record_end (rt_table_t *table, uint16_t index, uint64_t adapter,
                    bool is_resident, uint32_t demand_permille,
                    uint64_t now_ms);
/// Record a target's load report.
void rt_record_load_report (rt_table_t *table, uint16_t index,
                            uint32_t queue_len, uint32_t running,
                            uint32_t expected_wait_ms, uint64_t now_ms);
/// Mark all adapters as not resident at a target whose engine restarted.
void rt_clear_residency (rt_table_t *table, uint16_t index);
/// Remove adapters unused since `before_ms`, up to 64 in one call.
void rt_remove_idle_adapters (rt_table_t *table, uint64_t before_ms);

#endif
