/// @file gate.h
/// Load gate: shares the request rate of the weight store, and the concurrency
/// at which it runs at full speed, among the agents of a region. The state is
/// soft: when it is wrong, loads are slower, but nothing fails.
#ifndef KB_COORDINATION_GATE_H
#define KB_COORDINATION_GATE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  GAT_MAX_REQUESTS = 2048,
};

/// An agent's request to load an adapter.
typedef struct
{
  uint64_t agent; ///< Hash of the agent's name.
  uint64_t id;    ///< Assigned by the agent.
  uint8_t priority_class;
  uint32_t waiting; ///< Requests that wait for the adapter.
  uint64_t requested_us;
  bool is_granted;
  uint64_t granted_us;
} gat_request_t;

typedef struct
{
  double rate_per_s;
  uint32_t concurrency;
  uint64_t max_hold_us; ///< Grants expire after this.
} gat_options_t;

typedef struct
{
  gat_options_t options;
  gat_request_t requests[GAT_MAX_REQUESTS];
  uint32_t len;
  uint32_t granted;
  double tokens; ///< Of the token bucket that limits the rate.
  uint64_t refilled_us;
} gat_gate_t;

void gat_gate_init (gat_gate_t *gate, const gat_options_t *options,
                    uint64_t now_us);
/// Add a request, or update the class and waiting count of an existing one.
/// @return  False when the gate is full.
bool gat_request_load (gat_gate_t *gate, uint64_t agent, uint64_t id,
                       uint8_t priority_class, uint32_t waiting,
                       uint64_t now_us);
/// Remove a request or grant, after a load has ended or is no longer needed.
void gat_end_load (gat_gate_t *gate, uint64_t agent, uint64_t id);
/// Remove all requests and grants of an agent that is gone.
void gat_remove_agent (gat_gate_t *gate, uint64_t agent);
/// Grant the first request by class, then by waiting count and age, if the
/// rate and the concurrency allow it.
/// @return  The granted request, or NULL.
const gat_request_t *gat_grant_next (gat_gate_t *gate, uint64_t now_us);
/// @return  Microseconds until gat_grant_next may grant again; zero: at once,
///          or not before the next gat_request_load or gat_end_load.
uint64_t gat_wait_us (gat_gate_t *gate, uint64_t now_us);

#endif
