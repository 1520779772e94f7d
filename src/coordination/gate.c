#include "coordination/gate.h"

#include <stddef.h>

void
gat_gate_init (gat_gate_t *gate, const gat_options_t *options, uint64_t now_us)
{
  gate->options = *options;
  gate->len = 0;
  gate->granted = 0;
  gate->tokens = 1;
  gate->filled_us = now_us;
}

static gat_wish_t *
wish_find (gat_gate_t *gate, uint64_t agent, uint64_t id)
{
  for (uint32_t i = 0; i < gate->len; i++)
    if (gate->wishes[i].agent == agent && gate->wishes[i].id == id)
      return &gate->wishes[i];
  return NULL;
}

static void
wish_remove (gat_gate_t *gate, gat_wish_t *wish)
{
  if (wish->is_granted)
    gate->granted--;
  *wish = gate->wishes[--gate->len];
}

bool
gat_ask (gat_gate_t *gate, uint64_t agent, uint64_t id, uint8_t priority_class,
         uint32_t waiting, uint64_t now_us)
{
  gat_wish_t *wish = wish_find (gate, agent, id);
  if (wish == NULL)
    {
      if (gate->len == GAT_MAX_WAITERS)
        return false;
      wish = &gate->wishes[gate->len++];
      *wish = (gat_wish_t){ .agent = agent, .id = id, .asked_us = now_us };
    }
  wish->priority_class = priority_class;
  wish->waiting = waiting;
  return true;
}

void
gat_done (gat_gate_t *gate, uint64_t agent, uint64_t id)
{
  gat_wish_t *wish = wish_find (gate, agent, id);
  if (wish != NULL)
    wish_remove (gate, wish);
}

void
gat_drop_agent (gat_gate_t *gate, uint64_t agent)
{
  for (uint32_t i = gate->len; i > 0; i--)
    if (gate->wishes[i - 1].agent == agent)
      wish_remove (gate, &gate->wishes[i - 1]);
}

/// An agent that died with a grant would block the store for ever.
static void
gate_expire (gat_gate_t *gate, uint64_t now_us)
{
  for (uint32_t i = gate->len; i > 0; i--)
    {
      gat_wish_t *wish = &gate->wishes[i - 1];
      if (wish->is_granted
          && now_us - wish->granted_us > gate->options.hold_limit_us)
        wish_remove (gate, wish);
    }
}

static void
gate_fill (gat_gate_t *gate, uint64_t now_us)
{
  double add
      = (double)(now_us - gate->filled_us) / 1e6 * gate->options.rate_per_s;
  double most = gate->options.concurrency;
  gate->tokens = gate->tokens + add < most ? gate->tokens + add : most;
  gate->filled_us = now_us;
}

static double
wish_score (const gat_wish_t *wish, uint64_t now_us)
{
  return wish->waiting + (double)(now_us - wish->asked_us) / 1e6;
}

const gat_wish_t *
gat_next (gat_gate_t *gate, uint64_t now_us)
{
  gate_expire (gate, now_us);
  gate_fill (gate, now_us);
  if (gate->granted >= gate->options.concurrency || gate->tokens < 1)
    return NULL;
  gat_wish_t *best = NULL;
  for (uint32_t i = 0; i < gate->len; i++)
    {
      gat_wish_t *wish = &gate->wishes[i];
      if (wish->is_granted)
        continue;
      if (best == NULL || wish->priority_class < best->priority_class
          || (wish->priority_class == best->priority_class
              && wish_score (wish, now_us) > wish_score (best, now_us)))
        best = wish;
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
