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

static void
note_limit (agt_request_t *r, const eng_head_t *head)
{
  agt_agent_t *agent = r->agent;
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

/// A shorter pause does not end a longer one.
static void
note_pause (agt_agent_t *agent, uint64_t pause_ms)
{
  uint64_t until_ms = tmr_now_ms () + pause_ms;
  if (until_ms <= agent->paused_until_ms)
    return;
  agent->paused_until_ms = until_ms;
  MET_INC ("knapweedbay_target_pauses_total", "");
  log_write (LOG_INFO, "engine", "The target asks for a pause of %llu ms.",
             (unsigned long long)pause_ms);
}

void
agt_backpressure_note (agt_request_t *r, const eng_head_t *head)
{
  enum
  {
    HTTP_UNAVAILABLE = 503,
  };
  if (head->malformed_field != NULL)
    {
      MET_INC ("knapweedbay_answer_fields_ignored_total", "");
      log_write (LOG_WARN, "engine", "%s of an answer has no meaning.",
                 head->malformed_field);
    }
  if (!head->is_limit_malformed)
    note_limit (r, head);
  if (head->http_status == HTTP_UNAVAILABLE && head->retry_after_ms > 0)
    note_pause (r->agent, head->retry_after_ms);
}

uint64_t
agt_backpressure_pause_ms (const agt_agent_t *agent)
{
  uint64_t now_ms = tmr_now_ms ();
  return agent->paused_until_ms > now_ms ? agent->paused_until_ms - now_ms : 0;
}

uint64_t
agt_backpressure_wait_ms (const agt_agent_t *agent, uint8_t priority_class)
{
  uint32_t ahead = 0;
  for (int c = 0; c <= priority_class; c++)
    ahead += agent->queue.waiting_by_class[c];
  return bkp_meter_wait_ms (&agent->meter, ahead, tmr_now_ms ());
}

static bool
is_leaving (const agt_agent_t *agent)
{
  uint64_t said_ms = agent->engine.leaving_reported_ms;
  return said_ms > 0 && tmr_now_ms () - said_ms < LEAVING_LASTS_MS;
}

bool
agt_backpressure_is_closed (const agt_agent_t *agent)
{
  return is_leaving (agent) || agt_backpressure_pause_ms (agent) > 0;
}

msg_state_t
agt_state (const agt_agent_t *agent)
{
  return agt_backpressure_is_closed (agent) ? MSG_STATE_LEAVING : agent->state;
}

void
agt_backpressure_forget (agt_agent_t *agent)
{
  agent->engine.leaving_reported_ms = 0;
  agent->paused_until_ms = 0;
  bkp_limit_t none = { .at_ms = tmr_now_ms () };
  bkp_meter_told (&agent->meter, &none, none.at_ms);
}
