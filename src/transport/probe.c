#include "transport/probe.h"

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

static void probe_connect (void *arg);

static void
probe_on_closed (uv_handle_t *handle)
{
  prb_probe_t *probe = handle->data;
  probe->refusals += probe->last == PRB_REFUSED;
  if (probe->last == PRB_REFUSED && probe->refusals < MIN_REFUSALS)
    tmr_start_once (probe->timers, &probe->timer, RETRY_PAUSE_MS,
                    probe_connect, probe);
  else
    probe->events->on_result (probe, probe->last);
}

static void
probe_close (void *arg)
{
  prb_probe_t *probe = arg;
  if (!uv_is_closing ((uv_handle_t *)&probe->tcp))
    uv_close ((uv_handle_t *)&probe->tcp, probe_on_closed);
}

static void
probe_on_connect (uv_connect_t *connect, int status)
{
  prb_probe_t *probe = connect->handle->data;
  // The timeout has closed the handle, which ends this try.
  if (status == UV_ECANCELED)
    return;
  tmr_cancel (probe->timers, &probe->timer);
  if (status == 0)
    probe->last = PRB_ACCEPTED;
  else if (status == UV_ECONNREFUSED)
    probe->last = PRB_REFUSED;
  probe_close (probe);
}

static void
probe_connect (void *arg)
{
  prb_probe_t *probe = arg;
  probe->last = PRB_UNKNOWN;
  tmr_start_once (probe->timers, &probe->timer, CONNECT_TIMEOUT_MS,
                  probe_close, probe);
  uv_tcp_init (probe->loop, &probe->tcp);
  probe->tcp.data = probe;
  int status = uv_tcp_connect (&probe->connect, &probe->tcp,
                               (const struct sockaddr *)&probe->address,
                               probe_on_connect);
  if (status != 0)
    probe_close (probe);
}

void
prb_probe_start (prb_probe_t *probe, const prb_events_t *events,
                 uv_loop_t *loop, tmr_service_t *timers,
                 const struct sockaddr_in *address)
{
  *probe = (prb_probe_t){
    .events = events, .loop = loop, .timers = timers, .address = *address
  };
  probe_connect (probe);
}
