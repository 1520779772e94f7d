/// @file route.h
/// Choice of a target for one request. Candidates are ranked by rendezvous
/// hashing with ranks alternating over failure domains; the number of ranks
/// in use (the width) follows the demand that agents report on their replies.
/// No I/O; time and randomness are arguments.
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

/// How a target is reached at present.
typedef enum
{
  RT_DOWN,    ///< Not connected, or evidence that it is lost.
  RT_LEAVING, ///< Finishes its work and takes nothing new.
  RT_UP,
} rt_state_t;

/// What an entry knows of one target. Load figures are hints that age.
typedef struct
{
  bool is_used;
  uint64_t id; ///< Hash of its name, of its incarnation independent.
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

/// Per adapter: the ranked targets and what is existing of each.
typedef struct
{
  uint64_t key;
  uint32_t membership_version; ///< Value of rt_table_t.membership_version of
                               ///< the ranking.
  uint16_t ranks[RT_MAX_RANKS];
  uint8_t rank_count;
  uint8_t width;
  uint16_t resident; ///< Bit per rank.
  uint16_t loading;  ///< Bit per rank: a request was sent to load it there.
  uint32_t demand_permille;
  uint64_t width_changed_ms; ///< When the width last changed.
  uint64_t used_ms;
} rt_adapter_t;

/// Tunables; all times in milliseconds.
typedef struct
{
  uint32_t load_ms;             ///< Expected time of one adapter load.
  uint32_t report_half_life_ms; ///< Age at which a hint counts half.
  uint32_t grow_permille;       ///< Demand above which the width grows.
  uint32_t shrink_permille;     ///< Demand below which it shrinks.
  uint32_t width_hold_ms;       ///< Shortest time between two changes.
  uint32_t service_ms;          ///< Expected time of one request.
  bool is_naive;                ///< Baseline: a random live target.
} rt_options_t;

typedef struct
{
  rt_options_t options;
  rt_target_t targets[RT_MAX_TARGETS];
  uint16_t target_count;       ///< Places ever used.
  uint32_t membership_version; ///< Grows when the set of targets changes.
  kb_map_t by_id;
  kb_map_t adapters;
} rt_table_t;

void rt_options_default (rt_options_t *options);
void rt_table_init (rt_table_t *table, const rt_options_t *options);
void rt_table_finish (rt_table_t *table);
/// Add a target or return its present place.
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
/// @param random    A random number, for choices without knowledge.
/// @return          An index, or RT_NONE.
uint16_t rt_choose (rt_table_t *table, uint64_t service, uint64_t adapter,
                    const uint16_t *excluded, uint32_t excluded_count,
                    uint64_t now_ms, uint64_t random);
/// A request was sent.
void rt_record_sent (rt_table_t *table, uint16_t index, uint64_t adapter);
/// A request ended; `is_resident` and the loads come from the agent's reply.
void rt_record_end (rt_table_t *table, uint16_t index, uint64_t adapter,
                    bool is_resident, uint32_t demand_permille,
                    uint64_t now_ms);
/// A load report.
void rt_record_load_report (rt_table_t *table, uint16_t index,
                            uint32_t queue_len, uint32_t running,
                            uint32_t expected_wait_ms, uint64_t now_ms);
/// The engine behind a target restarted cold: forget residency there.
void rt_clear_residency (rt_table_t *table, uint16_t index);
/// Forget adapters unused since `before_ms`.
void rt_remove_idle_adapters (rt_table_t *table, uint64_t before_ms);

#endif
