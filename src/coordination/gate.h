/// @file gate.h
/// Shares the weight store's rate and its full-speed concurrency over the
/// agents of a region. Soft state: a wrong gate costs speed, no promise.
#ifndef KB_COORDINATION_GATE_H
#define KB_COORDINATION_GATE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  GAT_MAX_WAITERS = 2048,
};

/// One agent's wish to load.
typedef struct
{
  uint64_t agent; ///< Hash of its name.
  uint64_t id;    ///< The agent's number for this load.
  uint8_t priority_class;
  uint32_t waiting; ///< Requests that wait for it.
  uint64_t asked_us;
  bool is_granted;
  uint64_t granted_us;
} gat_wish_t;

typedef struct
{
  double rate_per_s;
  uint32_t concurrency;
  uint64_t hold_limit_us; ///< A grant not given back after this is void.
} gat_options_t;

typedef struct
{
  gat_options_t options;
  gat_wish_t wishes[GAT_MAX_WAITERS];
  uint32_t len;
  uint32_t granted;
  double tokens;
  uint64_t filled_us;
} gat_gate_t;

void gat_gate_init (gat_gate_t *gate, const gat_options_t *options,
                    uint64_t now_us);
/// Ask, or renew a wish with newer figures.
/// @return  False when the gate is full.
bool gat_ask (gat_gate_t *gate, uint64_t agent, uint64_t id,
              uint8_t priority_class, uint32_t waiting, uint64_t now_us);
/// A load ended or is no longer wanted.
void gat_done (gat_gate_t *gate, uint64_t agent, uint64_t id);
/// An agent is gone; its wishes and grants end.
void gat_drop_agent (gat_gate_t *gate, uint64_t agent);
/// Grant the most wanted load if the rate and the concurrency allow it.
/// @return  The granted wish, or NULL.
const gat_wish_t *gat_next (gat_gate_t *gate, uint64_t now_us);
/// @return  Microseconds until gat_next may grant again; zero: on the next
///          ask or done.
uint64_t gat_wait_us (gat_gate_t *gate, uint64_t now_us);

#endif
