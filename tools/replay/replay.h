/// @file replay.h
/// Replay of recorded traces through the decision modules, with a one-page
/// engine model. The daemon and the replay run the same decisions.
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

/// The site a trace was recorded at, and its stated outcomes.
typedef struct
{
  char name[RPL_NAME_BYTES];
  uint32_t engines;
  uint32_t domains;
  uint32_t entries;
  uint32_t slots;
  uint32_t batch;
  uint32_t adapters;
  double step_ms;            ///< Engine step with one sequence.
  double step_seq_ms;        ///< More for each further sequence.
  double load_ms;            ///< One load at full speed.
  double loads_per_s;        ///< Rate of the weight store.
  uint32_t load_concurrency; ///< Loads at one time at full speed.
  double stall_weight;
  double efficiency_weight;
  double late_share[RPL_CLASSES]; ///< Stated: at most this share is late.
  bool has_late_share[RPL_CLASSES];
} rpl_site_t;

/// One request of a trace.
typedef struct
{
  uint32_t id;
  uint32_t adapter; ///< From 1.
  uint32_t version;
  uint32_t workspace;
  uint32_t weight;
  uint8_t priority_class;
  uint32_t tokens;
  uint64_t at_us;
  uint64_t deadline_us; ///< After `at_us`.
} rpl_request_t;

/// An event of the trace that is not a request.
typedef struct
{
  uint64_t at_us;
  char kind[16]; ///< "domain_lost", "domain_back", "cold", "store_rate"
  uint32_t which;
  double value;
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
  RPL_COORDINATED,
  RPL_NAIVE, ///< Random target, LRU, first come.
  RPL_BOUND, ///< One pooled engine that knows the future.
} rpl_policy_t;

typedef struct
{
  double stall_ms_total;
  double stall_ms_p95;
  double stall_ms_class[RPL_CLASSES]; ///< 95th percentile.
  double step_fill;
  double wait_ms_p95;
  uint32_t late;
  uint32_t late_class[RPL_CLASSES];
  uint32_t count_class[RPL_CLASSES];
  uint32_t refused;
  uint32_t refused_class[RPL_CLASSES];
  uint32_t wrong;
  uint32_t doubled;
  uint32_t lost;
  uint32_t evicted_in_use;
  uint32_t class_inversions;
  uint32_t loads;
  uint32_t done;
  double last_end_s;
} rpl_result_t;

/// Knobs for experiments; the defaults are those of the daemon.
typedef struct
{
  double stall_weight;      ///< Negative: the site's.
  double efficiency_weight; ///< Negative: the site's.
  bool is_gate_disabled;
  bool is_width_fixed;
  bool is_lru_eviction;
  bool is_rank_ignored; ///< Ignore rendezvous ranks: two random choices.
  double load_margin;
  uint32_t grow_permille; ///< Zero: the default.
} rpl_overrides_t;

void rpl_overrides_default (rpl_overrides_t *overrides);
/// Read a trace in the JSON-lines form of docs/design/replay.md.
kb_status_t rpl_trace_read (const char *path, rpl_trace_t *out,
                            kb_error_t *error);
void rpl_trace_write (const rpl_trace_t *trace, FILE *out);
/// Make a trace from a seed: "kavango", "skjamynd", or either with a fault:
/// "-burst", "-flip", "-domain", "-cold", "-halfstore".
kb_status_t rpl_trace_generate (const char *name, uint64_t seed,
                                rpl_trace_t *out, kb_error_t *error);
void rpl_trace_finish (rpl_trace_t *trace);
void rpl_run (const rpl_trace_t *trace, rpl_policy_t policy,
              const rpl_overrides_t *overrides, rpl_result_t *out);

#endif
