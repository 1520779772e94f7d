/// @file gateway_probe.c
/// Test connections that find out whether the process of a target has ended:
/// its VM then refuses connections. A broken connection alone is no proof,
/// since links and targets that go on also reset connections.
#include <stdlib.h>

#include "gateway/gateway_suspects.h"

enum
{
  /// A target at its connection limit may refuse one connection; only one that
  /// has ended also refuses the next.
  MIN_REFUSALS = 2,
  RETRY_PAUSE_MS = 250,
  /// A VM that does not answer is unreachable, which does not show whether the
  /// process has ended.
  CONNECT_TIMEOUT_MS = 400,
};

typedef struct
{
  uv_tcp_t tcp; ///< First.
  uv_connect_t connect;
  gtw_gateway_t *gateway;
  uint64_t target_key; ///< The target may be freed meanwhile.
  uint32_t refusals;
  bool is_refused; ///< The current try.
  tmr_timer_t timer;
} probe_t;

static void probe_connect (void *arg);

static void
probe_end (probe_t *probe)
{
  gtw_gateway_t *gateway = probe->gateway;
  gtw_target_t *target = kb_map_get (&gateway->targets, probe->target_key);
  if (target != NULL)
    target->is_probed = false;
  if (target != NULL && probe->refusals >= MIN_REFUSALS)
    gtw_quarantine_record_target_end (gateway, target, "refused");
  free (probe);
}

static void
probe_on_closed (uv_handle_t *handle)
{
  probe_t *probe = (probe_t *)handle;
  probe->refusals += probe->is_refused;
  if (probe->is_refused && probe->refusals < MIN_REFUSALS)
    tmr_start_once (&probe->gateway->host.timers, &probe->timer,
                    RETRY_PAUSE_MS, probe_connect, probe);
  else
    probe_end (probe);
}

static void
probe_close (void *arg)
{
  probe_t *probe = arg;
  if (!uv_is_closing ((uv_handle_t *)&probe->tcp))
    uv_close ((uv_handle_t *)&probe->tcp, probe_on_closed);
}

static void
probe_on_connect (uv_connect_t *connect, int status)
{
  probe_t *probe = (probe_t *)connect->handle;
  // The timeout has closed the handle, which ends this try.
  if (status == UV_ECANCELED)
    return;
  tmr_cancel (&probe->gateway->host.timers, &probe->timer);
  probe->is_refused = status == UV_ECONNREFUSED;
  probe_close (probe);
}

static void
probe_connect (void *arg)
{
  probe_t *probe = arg;
  gtw_gateway_t *gateway = probe->gateway;
  const gtw_target_t *target
      = kb_map_get (&gateway->targets, probe->target_key);
  probe->is_refused = false;
  if (target == NULL)
    {
      probe_end (probe);
      return;
    }
  tmr_start_once (&gateway->host.timers, &probe->timer, CONNECT_TIMEOUT_MS,
                  probe_close, probe);
  uv_tcp_init (&gateway->host.loop, &probe->tcp);
  int status = uv_tcp_connect (
      &probe->connect, &probe->tcp,
      (const struct sockaddr *)&target->list_entry.address, probe_on_connect);
  if (status != 0)
    probe_close (probe);
}

void
gtw_probe_start (gtw_gateway_t *gateway, gtw_target_t *target)
{
  if (target->is_probed)
    return;
  target->is_probed = true;
  probe_t *probe = kb_alloc (sizeof *probe);
  *probe = (probe_t){ .gateway = gateway, .target_key = target->key };
  probe_connect (probe);
}
