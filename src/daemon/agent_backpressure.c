/// @file agent_backpressure.c
/// Applies the rate limits, pauses and leave notices that the target states in
/// the heads of its answers. All of its requests pass through this agent.
#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  US_PER_MS = 1000,
  /// A plain target that has restarted cannot be distinguished from one that
  /// is still leaving, so a request is sent after this time to find out.
  LEAVING_EXPIRY_MS = 60000,
};

static void
apply_limit (agt_request_t *r, const eng_head_t *head)
{
  agt_agent_t *agent = r->agent;
  bkp_limit_t new_limit = agent->meter.limit;
  bool has_changed = bkp_limit_apply_answer (
      &new_limit, head->limit_per_s, r->started_us / US_PER_MS, tmr_now_ms ());
  bkp_meter_merge (&agent->meter, &new_limit, tmr_now_ms ());
  if (!has_changed)
    return;
  log_write (LOG_INFO, "engine",
             new_limit.is_limited
                 ? "The target limits requests to %.3f/s."
                 : "The target's request limit ended (%.0f/s).",
             new_limit.per_s);
}

/// Apply a requested pause; one that ends before the current pause has no
/// effect.
static void
apply_pause (agt_agent_t *agent, uint64_t pause_ms)
{
  // The clock is rounded down to whole milliseconds.
  uint64_t until_ms = tmr_now_ms () + 1 + pause_ms;
  if (until_ms <= agent->paused_until_ms)
    return;
  agent->paused_until_ms = until_ms;
  MET_INC ("knapweedbay_target_pauses_total", "");
  log_write (LOG_INFO, "engine", "The target requested a pause of %llu ms.",
             (unsigned long long)pause_ms);
}

void
agt_backpressure_apply_head (agt_request_t *r, const eng_head_t *head)
{
  enum
  {
    HTTP_UNAVAILABLE = 503,
  };
  if (head->malformed_field != NULL)
    {
      MET_INC ("knapweedbay_answer_fields_ignored_total", "");
      log_write (LOG_WARN, "engine",
                 "Ignored the invalid field %s of an answer.",
                 head->malformed_field);
    }
  if (!head->is_limit_malformed)
    apply_limit (r, head);
  if (head->http_status == HTTP_UNAVAILABLE && head->retry_after_ms > 0)
    apply_pause (r->agent, head->retry_after_ms);
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
  uint32_t ahead_count = 0;
  for (int c = 0; c <= priority_class; c++)
    ahead_count += agent->queue.waiting_by_class[c];
  return bkp_meter_wait_ms (&agent->meter, ahead_count, tmr_now_ms ());
}

static bool
is_leaving (const agt_agent_t *agent)
{
  uint64_t reported_ms = agent->engine.leaving_reported_ms;
  return reported_ms > 0 && tmr_now_ms () - reported_ms < LEAVING_EXPIRY_MS;
}

bool
agt_backpressure_is_closed (const agt_agent_t *agent)
{
  return is_leaving (agent) || agt_backpressure_pause_ms (agent) > 0;
}

msg_state_t
agt_reported_state (const agt_agent_t *agent)
{
  return agt_backpressure_is_closed (agent) ? MSG_STATE_LEAVING : agent->state;
}

void
agt_backpressure_reset (agt_agent_t *agent)
{
  agent->engine.leaving_reported_ms = 0;
  agent->paused_until_ms = 0;
  bkp_limit_t none = { .at_ms = tmr_now_ms () };
  bkp_meter_merge (&agent->meter, &none, none.at_ms);
}
