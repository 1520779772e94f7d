/// @file gate.h
/// Shares the weight store's rate and its full-speed concurrency over the
/// agents of a region. Soft state: a wrong gate costs speed, no promise.
#ifndef KB_COORDINATION_GATE_H
#define KB_COORDINATION_GATE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  GAT_MAX_REQUESTS = 2048,
};

/// One agent's request to load.
typedef struct
{
  uint64_t agent; ///< Hash of its name.
  uint64_t id;    ///< The agent's number for this load.
  uint8_t priority_class;
  uint32_t waiting; ///< Requests that wait for it.
  uint64_t requested_us;
  bool is_granted;
  uint64_t granted_us;
} gat_request_t;

typedef struct
{
  double rate_per_s;
  uint32_t concurrency;
  uint64_t max_hold_us; ///< A grant not given back after this is void.
} gat_options_t;

typedef struct
{
  gat_options_t options;
  gat_request_t requests[GAT_MAX_REQUESTS];
  uint32_t len;
  uint32_t granted;
  double tokens;
  uint64_t refilled_us;
} gat_gate_t;

void gat_gate_init (gat_gate_t *gate, const gat_options_t *options,
                    uint64_t now_us);
/// Ask, or renew a request with newer figures.
/// @return  False when the gate is full.
bool gat_request_load (gat_gate_t *gate, uint64_t agent, uint64_t id,
                       uint8_t priority_class, uint32_t waiting,
                       uint64_t now_us);
/// A load ended or is no longer wanted.
void gat_end_load (gat_gate_t *gate, uint64_t agent, uint64_t id);
/// An agent is gone; its requests and grants end.
void gat_remove_agent (gat_gate_t *gate, uint64_t agent);
/// Grant the max_tokens wanted load if the rate and the concurrency allow it.
/// @return  The granted request, or NULL.
const gat_request_t *gat_grant_next (gat_gate_t *gate, uint64_t now_us);
/// @return  Microseconds until gat_grant_next may grant again; zero: on the
/// next
///          ask or done.
uint64_t gat_wait_us (gat_gate_t *gate, uint64_t now_us);

#endif
