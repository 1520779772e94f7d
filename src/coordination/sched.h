/// @file sched.h
/// Scheduler of one engine: which waiting request runs next, which adapter is
/// loaded next and which one is evicted for it. Order is by priority class,
/// then by weighted fair queueing between workspaces, then by age. No I/O; the
/// caller (the agent, or the replay tool) supplies the clock.
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
  double start_tag; ///< Virtual start time, comparable within its class.
  struct sch_item *next;
  struct sch_item *prev;
  struct sch_group *group;
  bool is_running;
} sch_item_t;

/// Requests of one adapter: the waiting ones by class, and the number of
/// running ones.
typedef struct sch_group
{
  uint64_t adapter;
  sch_item_t *heads[SCH_CLASSES]; ///< Ordered by start_tag.
  sch_item_t *tails[SCH_CLASSES];
  uint32_t waiting;
  uint32_t running;
  uint32_t failed_loads;  ///< Consecutive failures.
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
  uint8_t priority_class; ///< Class of the work that needs it.
  uint32_t waiting;       ///< Requests that wait for the adapter.
} sch_action_t;

typedef struct
{
  uint32_t max_batch;
  uint32_t max_loads; ///< Concurrent loads of this engine.
  /// Load score per second of the longest wait.
  double stall_weight;
  /// Load score per waiting request.
  double efficiency_weight;
  /// Minimum wait of a request, and minimum residency of an adapter, before
  /// the adapter is drained for a load of the same class.
  uint64_t drain_after_us;
  /// Baseline for comparison: first come, first served, with head-of-line
  /// blocking.
  bool is_naive;
} sch_options_t;

/// Fair-queueing state of a workspace.
typedef struct
{
  uint64_t workspace;
  double finish_tags[SCH_CLASSES]; ///< Virtual finish time of the last item.
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
  bool has_draining; ///< A slot is draining.
  uint32_t waiting_by_class[SCH_CLASSES];
} sch_queue_t;

void sch_options_default (sch_options_t *options);
void sch_queue_init (sch_queue_t *queue, slt_table_t *slots,
                     const sch_options_t *options);
void sch_queue_finish (sch_queue_t *queue);
/// Add a waiting item. The caller has set its adapter, workspace, class,
/// weight, cost and times.
void sch_add (sch_queue_t *queue, sch_item_t *item);
/// Remove a waiting item.
void sch_remove (sch_queue_t *queue, sch_item_t *item);
/// Choose the next action. Before the next call, the caller carries it out and
/// records it with sch_begin_run, sch_begin_load or slt_begin_unload.
/// @param may_load  Whether a load may start now.
sch_action_t sch_next_action (sch_queue_t *queue, uint64_t now_us,
                              bool may_load);
/// Start the item of an SCH_RUN action, and pin its adapter.
void sch_begin_run (sch_queue_t *queue, sch_item_t *item, uint64_t now_us);
/// End a running item, and unpin its adapter.
void sch_end_run (sch_queue_t *queue, sch_item_t *item, uint64_t now_us);
/// Take a free slot for the adapter of an SCH_LOAD action.
void sch_begin_load (sch_queue_t *queue, uint64_t adapter, uint64_t now_us);
/// End a load. A failed one frees the slot and delays the next try,
/// exponentially with the number of consecutive failures.
void sch_end_load (sch_queue_t *queue, uint64_t adapter, bool is_loaded,
                   uint64_t now_us);
/// @param service_ms  Expected time of one run.
/// @return            Expected wait of new work of a class in milliseconds;
///                    only work of the same or a better class counts.
uint64_t sch_expected_wait_ms (const sch_queue_t *queue,
                               uint8_t priority_class, double service_ms);
/// @return  Waiting and running requests of an adapter.
uint32_t sch_demand (const sch_queue_t *queue, uint64_t adapter);
/// @return  Consecutive failed loads of an adapter.
uint32_t sch_failed_loads (const sch_queue_t *queue, uint64_t adapter);
/// @return  First waiting item of an adapter, or NULL; used to end the group
///          after a failed load.
sch_item_t *sch_first_waiting (const sch_queue_t *queue, uint64_t adapter);
/// @return  A waiting item whose deadline has passed, or NULL.
sch_item_t *sch_first_expired (const sch_queue_t *queue, uint64_t now_us);
/// @return  The adapter to load next, with its class and waiting count; kind
///          SCH_IDLE when no load is needed.
sch_action_t sch_wanted_load (const sch_queue_t *queue, uint64_t now_us);

#endif
