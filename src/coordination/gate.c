#include "coordination/gate.h"

#include <stddef.h>

void
gat_gate_init (gat_gate_t *gate, const gat_options_t *options, uint64_t now_us)
{
  gate->options = *options;
  gate->len = 0;
  gate->granted = 0;
  gate->tokens = 1;
  gate->refilled_us = now_us;
}

static gat_request_t *
load_request_find (gat_gate_t *gate, uint64_t agent, uint64_t id)
{
  for (uint32_t i = 0; i < gate->len; i++)
    if (gate->requests[i].agent == agent && gate->requests[i].id == id)
      return &gate->requests[i];
  return NULL;
}

static void
load_request_remove (gat_gate_t *gate, gat_request_t *request)
{
  if (request->is_granted)
    gate->granted--;
  *request = gate->requests[--gate->len];
}

bool
gat_request_load (gat_gate_t *gate, uint64_t agent, uint64_t id,
                  uint8_t priority_class, uint32_t waiting, uint64_t now_us)
{
  gat_request_t *request = load_request_find (gate, agent, id);
  if (request == NULL)
    {
      if (gate->len == GAT_MAX_REQUESTS)
        return false;
      request = &gate->requests[gate->len++];
      *request = (gat_request_t){ .agent = agent,
                                  .id = id,
                                  .requested_us = now_us };
    }
  request->priority_class = priority_class;
  request->waiting = waiting;
  return true;
}

void
gat_end_load (gat_gate_t *gate, uint64_t agent, uint64_t id)
{
  gat_request_t *request = load_request_find (gate, agent, id);
  if (request != NULL)
    load_request_remove (gate, request);
}

void
gat_remove_agent (gat_gate_t *gate, uint64_t agent)
{
  for (uint32_t i = gate->len; i > 0; i--)
    if (gate->requests[i - 1].agent == agent)
      load_request_remove (gate, &gate->requests[i - 1]);
}

/// Expire grants that were held for too long. Otherwise an agent that dies
/// with a grant would block the store forever.
static void
gate_expire (gat_gate_t *gate, uint64_t now_us)
{
  for (uint32_t i = gate->len; i > 0; i--)
    {
      gat_request_t *request = &gate->requests[i - 1];
      if (request->is_granted
          && now_us - request->granted_us > gate->options.max_hold_us)
        load_request_remove (gate, request);
    }
}

static void
gate_fill (gat_gate_t *gate, uint64_t now_us)
{
  double add
      = (double)(now_us - gate->refilled_us) / 1e6 * gate->options.rate_per_s;
  double max_tokens = gate->options.concurrency;
  gate->tokens
      = gate->tokens + add < max_tokens ? gate->tokens + add : max_tokens;
  gate->refilled_us = now_us;
}

static double
load_request_score (const gat_request_t *request, uint64_t now_us)
{
  return request->waiting + (double)(now_us - request->requested_us) / 1e6;
}

const gat_request_t *
gat_grant_next (gat_gate_t *gate, uint64_t now_us)
{
  gate_expire (gate, now_us);
  gate_fill (gate, now_us);
  if (gate->granted >= gate->options.concurrency || gate->tokens < 1)
    return NULL;
  gat_request_t *best = NULL;
  for (uint32_t i = 0; i < gate->len; i++)
    {
      gat_request_t *request = &gate->requests[i];
      if (request->is_granted)
        continue;
      if (best == NULL || request->priority_class < best->priority_class
          || (request->priority_class == best->priority_class
              && load_request_score (request, now_us)
                     > load_request_score (best, now_us)))
        best = request;
    }
  if (best == NULL)
    return NULL;
  best->is_granted = true;
  best->granted_us = now_us;
  gate->granted++;
  gate->tokens -= 1;
  return best;
}

uint64_t
gat_wait_us (gat_gate_t *gate, uint64_t now_us)
{
  gate_fill (gate, now_us);
  if (gate->granted >= gate->options.concurrency || gate->len == gate->granted
      || gate->tokens >= 1)
    return 0;
  return (uint64_t)((1 - gate->tokens) / gate->options.rate_per_s * 1e6) + 1;
}
