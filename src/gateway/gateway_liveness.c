/// @file gateway_liveness.c
/// Health requests that prove that a plain target is alive before a suspected
/// request is sent there. The target may have ended under a request of another
/// gateway while a proxy still accepts connections for it, or another
/// incarnation answers at its address; the suspected request would break off
/// there and be taken for the cause. At engines the sidecar's reports are this
/// proof.
#include <stdlib.h>

#include "gateway/gateway_suspects.h"
#include "transport/call.h"

enum
{
  /// Shortest interval of the health requests to a target.
  MIN_INTERVAL_MS = 50,
  /// The same after answers that ended with their connection.
  ASK_INTERVAL_MS = 1000,
  HEALTH_TIMEOUT_MS = 400,
  MAX_HEALTH_BYTES = 65536,
};

typedef struct
{
  cal_call_t call;
  gtw_gateway_t *gateway;
  uint64_t target_key; ///< The target may be freed meanwhile.
  uint64_t number;
  uint32_t broken_starts; ///< Of its gate when it was asked.
} health_request_t;

/// Apply the result of a health request to the target that it was sent to.
static void
apply_health (gtw_target_t *target, const health_request_t *health,
              const cal_result_t *result)
{
  gtw_gateway_t *gateway = health->gateway;
  kb_slice_t instance = result->header;
  bool is_named = instance.len_bytes > 0;
  bool is_same = kb_slice_equal (
      instance, kb_slice_str (target->list_entry.identity.id));
  target->is_health_requested = false;
  // Whatever its status, only a process that is alive answers.
  if (result->status == KB_OK && (is_same || !is_named))
    {
      target->alive_request = health->number;
      aln_confirm_alive (&target->alone, health->broken_starts);
      if (is_same)
        {
          target->ended_ms = 0;
          gtw_quarantine_confirm_listed (gateway, target,
                                         target->health_requested_ms);
        }
      return;
    }
  target->failed_request = health->number;
  target->is_replaced = result->status == KB_OK;
  if (gtw_quarantine_awaits_evidence (gateway, target))
    gtw_probe_start (gateway, target);
}

static void
health_on_done (void *arg, const cal_result_t *result)
{
  health_request_t *health = arg;
  gtw_gateway_t *gateway = health->gateway;
  gtw_target_t *target = kb_map_get (&gateway->targets, health->target_key);
  if (target != NULL)
    apply_health (target, health, result);
  free (health);
  if (target != NULL)
    gateway->on_retry (gateway);
}

static void
health_request (gtw_gateway_t *gateway, gtw_target_t *target, const char *path)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  if (target->is_health_requested
      || now_ms - target->health_requested_ms < MIN_INTERVAL_MS)
    return;
  health_request_t *health = kb_alloc (sizeof *health);
  *health = (health_request_t){ .gateway = gateway,
                                .target_key = target->key,
                                .number = ++target->health_requests,
                                .broken_starts = target->alone.broken_starts };
  cal_request_t request
      = { .method = "GET",
          .path = path,
          .timeout_ms = HEALTH_TIMEOUT_MS,
          .max_response_bytes = MAX_HEALTH_BYTES,
          .returned_header = gateway->dialect->instance_header };
  target->is_health_requested = true;
  target->health_requested_ms = now_ms;
  cal_call_start (&health->call, &target->health_peer, &request,
                  health_on_done, health);
}

/// Ask a target whether it is alive, unless it was asked recently.
static void
ask_target (gtw_gateway_t *gateway, gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  if (now_ms - target->health_requested_ms < ASK_INTERVAL_MS)
    return;
  const svc_service_t *service
      = svc_service_find (gateway->config, target->list_entry.service);
  if (service != NULL && service->health_path[0] == '/')
    {
      health_request (gateway, target, service->health_path);
      return;
    }
  target->health_requested_ms = now_ms;
  gtw_probe_start (gateway, target);
}

void
gtw_liveness_tick (gtw_gateway_t *gateway)
{
  uint32_t at = 0;
  for (gtw_target_t *t = gtw_quarantine_next_unconfirmed (gateway, &at);
       t != NULL; t = gtw_quarantine_next_unconfirmed (gateway, &at))
    ask_target (gateway, t);
}

gtw_liveness_t
gtw_liveness_check (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  gtw_target_t *target = r->target;
  const svc_service_t *service
      = svc_service_find (gateway->config, r->service);
  bool is_suspected = r->alone.is_alone || r->is_alone_attempt;
  if (!is_suspected)
    return GTW_LIVENESS_PROVED;
  if (service == NULL || service->health_path[0] != '/')
    {
      // It cannot be asked.
      aln_confirm_alive (&target->alone, target->alone.broken_starts);
      return GTW_LIVENESS_PROVED;
    }
  if (r->awaited_health_request == 0)
    r->awaited_health_request = target->health_requests + 1;
  if (target->failed_request >= r->awaited_health_request)
    return target->is_replaced ? GTW_LIVENESS_REPLACED : GTW_LIVENESS_FAILED;
  if (target->alive_request >= r->awaited_health_request)
    {
      if (!aln_awaits_answer (&target->alone))
        return GTW_LIVENESS_PROVED;
      // A start has broken off since.
      r->awaited_health_request = target->health_requests + 1;
    }
  health_request (gateway, target, service->health_path);
  return GTW_LIVENESS_REQUESTED;
}
