/// @file sched.h
/// Order of work at one engine: which waiting request runs next, which
/// adapter is loaded next and what makes room for it. Priority class first,
/// then weighted fairness between workspaces, then age. No I/O; the agent and
/// the replay drive it with their own clocks.
#ifndef KB_COORDINATION_SCHED_H
#define KB_COORDINATION_SCHED_H

#include "coordination/slots.h"

enum
{
  SCH_CLASSES = 8,
  SCH_WORKSPACES = 256,
};

/// A request that waits or runs. The caller owns the memory and embeds it.
typedef struct sch_item
{
  uint64_t adapter;   ///< Hash of adapter and version; zero needs no slot.
  uint64_t workspace; ///< Hash of the workspace's name.
  uint8_t priority_class;
  uint32_t weight;
  uint32_t cost; ///< Expected work, such as tokens.
  uint64_t enqueued_us;
  uint64_t deadline_us;
  double start_tag; ///< Virtual start time within its class.
  struct sch_item *next;
  struct sch_item *prev;
  struct sch_group *group;
  bool is_running;
} sch_item_t;

/// All requests of one adapter that wait.
typedef struct sch_group
{
  uint64_t adapter;
  sch_item_t *heads[SCH_CLASSES]; ///< Ordered by start_tag.
  sch_item_t *tails[SCH_CLASSES];
  uint32_t waiting;
  uint32_t running;
  uint32_t failed_loads;  ///< In a row.
  uint64_t retry_load_us; ///< No load before this.
  struct sch_group *next;
  struct sch_group *prev;
  bool is_active;
} sch_group_t;

typedef enum
{
  SCH_IDLE,  ///< Nothing can start now.
  SCH_RUN,   ///< Start `item`.
  SCH_LOAD,  ///< Load `adapter` into a free slot.
  SCH_EVICT, ///< Unload `adapter` to make room.
} sch_kind_t;

typedef struct
{
  sch_kind_t kind;
  sch_item_t *item;
  uint64_t adapter;
  uint8_t priority_class; ///< Of the work that wants it.
  uint32_t waiting;       ///< Requests that want it.
} sch_action_t;

typedef struct
{
  uint32_t max_batch;
  uint32_t max_loads;       ///< Loads of this engine at one time.
  double stall_weight;      ///< Prefers adapters that wait long.
  double efficiency_weight; ///< Prefers adapters with much waiting work.
  uint64_t drain_after_us;  ///< Waiting time that drains a popular adapter.
  bool is_naive; ///< Baseline: strictly first come, head of line blocks.
} sch_options_t;

/// Per workspace and class: the virtual time up to which it was served.
typedef struct
{
  uint64_t workspace;
  double finish_tags[SCH_CLASSES];
} sch_workspace_t;

typedef struct
{
  sch_options_t options;
  slt_table_t *slots;
  kb_map_t groups;
  sch_group_t *active; ///< Groups with waiting work.
  sch_workspace_t workspaces[SCH_WORKSPACES];
  uint32_t workspace_count;
  double virtual_time[SCH_CLASSES];
  uint32_t waiting;
  uint32_t running;
  uint32_t loading;
  bool has_draining; ///< Some adapter was told to take no new work.
  uint32_t waiting_by_class[SCH_CLASSES];
} sch_queue_t;

void sch_options_default (sch_options_t *options);
void sch_queue_init (sch_queue_t *queue, slt_table_t *slots,
                     const sch_options_t *options);
void sch_queue_finish (sch_queue_t *queue);
/// Add a waiting item; its adapter, workspace, class, weight, cost and times
/// are set by the caller.
void sch_add (sch_queue_t *queue, sch_item_t *item);
/// Remove an item that still waits.
void sch_remove (sch_queue_t *queue, sch_item_t *item);
/// Decide the next step. The caller carries it out and calls the matching
/// sch_note function before it asks again.
/// @param may_load  Whether a load may start now.
sch_action_t sch_next_action (sch_queue_t *queue, uint64_t now_us,
                              bool may_load);
/// The item of an SCH_RUN action starts; its adapter is pinned.
void sch_begin_run (sch_queue_t *queue, sch_item_t *item, uint64_t now_us);
/// A running item ended; its adapter is unpinned.
void sch_end_run (sch_queue_t *queue, sch_item_t *item, uint64_t now_us);
void sch_begin_load (sch_queue_t *queue, uint64_t adapter, uint64_t now_us);
void sch_end_load (sch_queue_t *queue, uint64_t adapter, bool is_loaded,
                   uint64_t now_us);
/// @param service_ms  Expected time of one run.
/// @return  Expected wait of new work of a class, milliseconds: only what is
///          served before it counts.
uint64_t sch_expected_wait_ms (const sch_queue_t *queue,
                               uint8_t priority_class, double service_ms);
/// @return  Requests of this adapter that wait or run.
uint32_t sch_demand (const sch_queue_t *queue, uint64_t adapter);
/// @return  How often in a row the load of this adapter failed.
uint32_t sch_failed_loads (const sch_queue_t *queue, uint64_t adapter);
/// First waiting item of an adapter, for ending a group whose load failed.
sch_item_t *sch_first_waiting (const sch_queue_t *queue, uint64_t adapter);
/// First waiting item whose deadline has passed, or NULL.
sch_item_t *sch_first_expired (const sch_queue_t *queue, uint64_t now_us);
/// @return  The adapter whose load is most wanted, with its class and waiting
///          count; kind SCH_IDLE when no load is wanted.
sch_action_t sch_wanted_load (const sch_queue_t *queue, uint64_t now_us);

#endif
