/// @file gateway_stop.c
/// The planned stop: what is answered before the exit, and when the process
/// exits.
#include "gateway/gateway_defs.h"

enum
{
  /// The load balancer sends no new connections after two failed checks, one
  /// second apart.
  MIN_STOP_MS = 2600,
  STOP_CHECK_MS = 100,
  EXIT_CHECKS = 6, ///< Checks in the reserve, in place of the period.
  HTTP_GATEWAY_TIMEOUT = 504,
};

/// Refuse the requests that wait and can't be answered in time any more.
static void
refuse_waiting (gtw_gateway_t *gateway)
{
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      bool is_waiting = r->stage != GTW_STAGE_READING_BODY
                        && r->stage != GTW_STAGE_SENT
                        && r->stage != GTW_STAGE_RELAYING;
      if (is_waiting && !gtw_grace_leaves_time (r))
        gtw_request_refuse (r, "stopping", 0);
    }
}

/// End a request with an answer that is true, or cut the one that has begun.
static void
end_open (gtw_request_t *r)
{
  if (!r->client->conn.is_message_complete)
    gtw_client_refuse_unfinished (r->client, GTW_HTTP_UNAVAILABLE,
                                  "this process stops",
                                  GTW_STOP_RETRY_AFTER_MS);
  else if (r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING)
    gtw_request_fail (r, HTTP_GATEWAY_TIMEOUT, "stopping");
  else
    gtw_request_refuse (r, "stopping", 0);
}

static void check_stop (void *arg);

static void
arm_check (gtw_gateway_t *gateway)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  uint64_t wait_ms = STOP_CHECK_MS;
  uint64_t left_ms = gtw_remaining_ms (gtw_grace_end_ms (gateway), now_ms);
  if (left_ms > 0 && left_ms < wait_ms)
    wait_ms = left_ms;
  if (left_ms == 0)
    wait_ms = gtw_grace_reserve_ms (gateway) / EXIT_CHECKS;
  tmr_start_once (&gateway->host.timers, &gateway->exit_timer, wait_ms,
                  check_stop, gateway);
}

/// Exit once no client is connected, or shortly before the process is killed.
static void
check_stop (void *arg)
{
  gtw_gateway_t *gateway = arg;
  uint64_t now_ms = gtw_now_ms (gateway);
  uint64_t end_ms = gtw_grace_end_ms (gateway);
  bool is_ending = now_ms >= end_ms;
  if (is_ending)
    while (gateway->requests != NULL)
      end_open (gateway->requests);
  else
    refuse_waiting (gateway);
  bool may_exit = is_ending || gtw_stopped_ms (gateway) >= MIN_STOP_MS;
  if (may_exit)
    gtw_clients_close_idle (gateway);
  // A connection that waits would be reset with its request.
  bool is_idle = gateway->client_count == 0 && may_exit
                 && !lsn_listener_has_waiting (&gateway->listener);
  // The rest of the reserve lets callers receive the last answers.
  if (is_idle || now_ms >= end_ms + gtw_grace_reserve_ms (gateway) / 2)
    {
      hst_host_exit (&gateway->host, 0);
      return;
    }
  arm_check (gateway);
}

void
gtw_stop_begin (gtw_gateway_t *gateway)
{
  gateway->stop_began_ms = gtw_now_ms (gateway);
  arm_check (gateway);
}

void
gtw_stop_apply_settings (gtw_gateway_t *gateway)
{
  if (gateway->stop_began_ms > 0)
    arm_check (gateway);
}
