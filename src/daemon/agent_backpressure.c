/// @file agent_backpressure.c
/// What the target asks of its callers in the heads of its answers. All of its
/// requests pass through this agent.
#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  US_PER_MS = 1000,
  /// A plain target that has left and come back is not told apart from one
  /// that leaves: one request finds out.
  LEAVING_LASTS_MS = 60000,
};

void
agt_backpressure_note (agt_request_t *r, const eng_head_t *head)
{
  agt_agent_t *agent = r->agent;
  if (head->malformed != NULL)
    {
      MET_INC ("knapweedbay_answer_fields_ignored_total", "");
      log_write (LOG_WARN, "engine", "%s of an answer has no meaning.",
                 head->malformed);
      return;
    }
  bkp_limit_t heard = agent->meter.limit;
  bool is_change = bkp_limit_heard (&heard, head->limit_per_s,
                                    r->started_us / US_PER_MS, tmr_now_ms ());
  bkp_meter_told (&agent->meter, &heard, tmr_now_ms ());
  if (!is_change)
    return;
  log_write (LOG_INFO, "engine",
             heard.is_limited ? "The target takes %.3f requests a second."
                              : "The target takes all requests again (%.0f).",
             heard.per_s);
}

uint64_t
agt_backpressure_wait_ms (const agt_agent_t *agent, uint8_t priority_class)
{
  uint32_t ahead = 0;
  for (int c = 0; c <= priority_class; c++)
    ahead += agent->queue.waiting_by_class[c];
  return bkp_meter_wait_ms (&agent->meter, ahead, tmr_now_ms ());
}

bool
agt_backpressure_is_leaving (const agt_agent_t *agent)
{
  uint64_t said_ms = agent->engine.leaving_ms;
  return said_ms > 0 && tmr_now_ms () - said_ms < LEAVING_LASTS_MS;
}

msg_state_t
agt_state (const agt_agent_t *agent)
{
  return agt_backpressure_is_leaving (agent) ? MSG_STATE_LEAVING
                                             : agent->state;
}

void
agt_backpressure_forget (agt_agent_t *agent)
{
  agent->engine.leaving_ms = 0;
  bkp_limit_t none = { .at_ms = tmr_now_ms () };
  bkp_meter_told (&agent->meter, &none, none.at_ms);
}
