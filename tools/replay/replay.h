/// @file replay.h
/// Replay of traces through the decision modules of the daemon, with a small
/// engine model.
#ifndef KB_TOOLS_REPLAY_H
#define KB_TOOLS_REPLAY_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "state/status.h"

enum
{
  RPL_CLASSES = 8,
  RPL_NAME_BYTES = 32,
};

/// The deployment of a trace, and its expected outcomes.
typedef struct
{
  char name[RPL_NAME_BYTES];
  uint32_t engines;
  uint32_t domains; ///< Failure domains.
  uint32_t entries;
  uint32_t slots; ///< Adapters resident in an engine.

  uint32_t batch;            ///< Concurrent requests of an engine.
  uint32_t adapters;         ///< Number of distinct adapters.
  double step_ms;            ///< Batch step with one sequence.
  double step_seq_ms;        ///< Added for each further sequence.
  double load_ms;            ///< One adapter load at full speed.
  double loads_per_s;        ///< Load rate of the weight store.
  uint32_t load_concurrency; ///< Concurrent loads at full speed.
  double stall_weight;
  double efficiency_weight;
  double late_share[RPL_CLASSES];   ///< Highest share that may be late.
  bool has_late_share[RPL_CLASSES]; ///< Whether `late_share` is checked.
} rpl_site_t;

/// One request of a trace.
typedef struct
{
  uint32_t id;
  uint32_t adapter; ///< Starts at 1.
  uint32_t version;
  uint32_t workspace;
  uint32_t weight;
  uint8_t priority_class;
  uint32_t tokens;
  uint64_t at_us;
  uint64_t deadline_us; ///< Relative to `at_us`.
} rpl_request_t;

/// A fault or a change of the weight store in a trace.
typedef struct
{
  uint64_t at_us;
  char kind[16];  ///< "domain_lost", "domain_back", "cold", "store_rate"
  uint32_t which; ///< Engine ("cold") or failure domain.
  double value;   ///< Factor on the load rate ("store_rate").
} rpl_fault_t;

typedef struct
{
  rpl_site_t site;
  rpl_request_t *requests;
  uint32_t request_count;
  rpl_fault_t *faults;
  uint32_t fault_count;
} rpl_trace_t;

typedef enum
{
  RPL_COORDINATED, ///< The decisions of the daemon.
  RPL_NAIVE,       ///< Random target, LRU eviction, first come, first served.
  RPL_BOUND,       ///< One pooled engine that knows the future requests.
} rpl_policy_t;

typedef struct
{
  double stall_ms_total;
  double stall_ms_p95;
  double stall_ms_class[RPL_CLASSES]; ///< 95th percentile.
  double step_fill; ///< Used share of the batch slots of all steps.
  double wait_ms_p95;
  uint32_t late; ///< Includes the refused ones.
  uint32_t late_class[RPL_CLASSES];
  uint32_t count_class[RPL_CLASSES];
  uint32_t refused;
  uint32_t refused_class[RPL_CLASSES];
  uint32_t wrong;   ///< Ran with another adapter.
  uint32_t doubled; ///< Had more than one outcome.
  uint32_t lost;    ///< Had no outcome.
  uint32_t evicted_in_use;
  uint32_t class_inversions; ///< Started before a better class.
  uint32_t loads;
  uint32_t done;
  double last_end_s;
} rpl_result_t;

/// Overrides for experiments; the defaults are those of the daemon.
typedef struct
{
  double stall_weight;      ///< Negative: use that of the site.
  double efficiency_weight; ///< Negative: use that of the site.
  bool is_gate_disabled;
  bool is_width_fixed;
  bool is_lru_eviction;
  bool is_rank_ignored;   ///< Choose from two random targets instead of the
                          ///< rendezvous ranks.
  double load_margin;     ///< Factor on the load time in routing.
  uint32_t grow_permille; ///< Zero: use the default.
} rpl_overrides_t;

void rpl_overrides_default (rpl_overrides_t *overrides);
/// Read a trace in the JSON Lines format of docs/design/replay.md.
/// @return  KB_ENOTFOUND if the file cannot be read, KB_EINVAL if it is not a
///          trace.
kb_status_t rpl_trace_read (const char *path, rpl_trace_t *out,
                            kb_error_t *error);
/// Write a trace in the format that rpl_trace_read() reads.
void rpl_trace_write (const rpl_trace_t *trace, FILE *out);
/// Generate a trace from a seed.
/// @param name  "kavango" or "skjamynd", optionally followed by a fault:
///              "-burst", "-flip", "-domain", "-cold" or "-halfstore".
/// @return  KB_EINVAL if the name is unknown.
kb_status_t rpl_trace_generate (const char *name, uint64_t seed,
                                rpl_trace_t *out, kb_error_t *error);
void rpl_trace_finish (rpl_trace_t *trace);
/// Run a trace under a policy.
void rpl_run (const rpl_trace_t *trace, rpl_policy_t policy,
              const rpl_overrides_t *overrides, rpl_result_t *out);

#endif
