/// @file gateway_probe.c
/// Whether the process of a target has ended: its VM refuses connections. A
/// broken connection alone does not tell; links and targets reset some while
/// the target goes on.
#include <stdlib.h>

#include "gateway/gateway_defs.h"

enum
{
  /// A target that has all connections it takes may refuse one as well; that
  /// one which has ended refuses the next one, too.
  REFUSALS = 2,
  PAUSE_MS = 250,
  /// A VM that does not answer is cut off or gone; that says nothing about
  /// the request.
  TIMEOUT_MS = 400,
};

typedef struct
{
  uv_tcp_t tcp; ///< First.
  uv_connect_t connect;
  gtw_gateway_t *gateway;
  uint64_t target; ///< Key; the target may be gone meanwhile.
  uint32_t refusals;
  bool is_refused; ///< The present try.
  tmr_timer_t timer;
} probe_t;

static void probe_try (void *arg);

static void
probe_end (probe_t *probe)
{
  gtw_gateway_t *gateway = probe->gateway;
  gtw_target_t *target = kb_map_get (&gateway->targets, probe->target);
  if (target != NULL)
    target->is_probed = false;
  if (target != NULL && probe->refusals >= REFUSALS)
    gtw_quarantine_target_ended (gateway, target, "refused");
  free (probe);
}

static void
probe_on_closed (uv_handle_t *handle)
{
  probe_t *probe = (probe_t *)handle;
  probe->refusals += probe->is_refused;
  if (probe->is_refused && probe->refusals < REFUSALS)
    tmr_start_once (&probe->gateway->host.timers, &probe->timer, PAUSE_MS,
                    probe_try, probe);
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
  // The timeout closes the handle, which ends the try as well.
  if (status == UV_ECANCELED)
    return;
  tmr_cancel (&probe->gateway->host.timers, &probe->timer);
  probe->is_refused = status == UV_ECONNREFUSED;
  probe_close (probe);
}

static void
probe_try (void *arg)
{
  probe_t *probe = arg;
  gtw_gateway_t *gateway = probe->gateway;
  const gtw_target_t *target = kb_map_get (&gateway->targets, probe->target);
  probe->is_refused = false;
  if (target == NULL)
    {
      probe_end (probe);
      return;
    }
  tmr_start_once (&gateway->host.timers, &probe->timer, TIMEOUT_MS,
                  probe_close, probe);
  uv_tcp_init (&gateway->host.loop, &probe->tcp);
  int status = uv_tcp_connect (&probe->connect, &probe->tcp,
                               (const struct sockaddr *)&target->told.address,
                               probe_on_connect);
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
  *probe = (probe_t){ .gateway = gateway, .target = target->key };
  probe_try (probe);
}
