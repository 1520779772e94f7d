/// @file gateway_liveness.c
/// Health requests that prove that a plain target is alive before a suspected
/// request is sent there. The target may have ended under a request of another
/// gateway while a proxy still accepts connections for it; the suspected
/// request would break off there and be taken for the cause. At engines the
/// sidecar's reports are this proof.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "transport/call.h"

enum
{
  /// How long an answer counts as proof.
  MAX_PROOF_AGE_MS = 50,
  HEALTH_TIMEOUT_MS = 400,
};

typedef struct
{
  cal_call_t call;
  gtw_gateway_t *gateway;
  uint64_t target_key;    ///< The target may be freed meanwhile.
  uint32_t broken_starts; ///< Of its gate when it was asked.
} health_request_t;

static void
health_on_done (void *arg, const cal_result_t *result)
{
  health_request_t *health = arg;
  gtw_gateway_t *gateway = health->gateway;
  gtw_target_t *target = kb_map_get (&gateway->targets, health->target_key);
  uint32_t broken_starts = health->broken_starts;
  // Whatever its status, only a process that is alive answers.
  bool is_alive = result->status == KB_OK;
  free (health);
  if (target == NULL)
    return;
  target->is_health_requested = false;
  if (is_alive)
    {
      target->alive_ms = gtw_now_ms (gateway);
      aln_confirm_alive (&target->alone, broken_starts);
    }
  else
    target->unhealthy_ms = gtw_now_ms (gateway);
  gateway->on_liveness (gateway);
}

static void
health_request (gtw_gateway_t *gateway, gtw_target_t *target, const char *path)
{
  health_request_t *health = kb_alloc (sizeof *health);
  *health = (health_request_t){ .gateway = gateway,
                                .target_key = target->key,
                                .broken_starts = target->alone.broken_starts };
  cal_request_t request
      = { .method = "GET", .path = path, .timeout_ms = HEALTH_TIMEOUT_MS };
  target->is_health_requested = true;
  cal_call_start (&health->call, &target->peer, &request, health_on_done,
                  health);
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
  uint64_t now_ms = gtw_now_ms (gateway);
  if (target->alive_ms > 0 && now_ms - target->alive_ms <= MAX_PROOF_AGE_MS)
    return GTW_LIVENESS_PROVED;
  if (r->liveness_since_ms > 0 && target->unhealthy_ms >= r->liveness_since_ms)
    return GTW_LIVENESS_FAILED;
  if (r->liveness_since_ms == 0)
    r->liveness_since_ms = now_ms;
  if (!target->is_health_requested)
    health_request (gateway, target, service->health_path);
  return GTW_LIVENESS_REQUESTED;
}
