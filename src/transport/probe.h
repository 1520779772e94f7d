/// @file probe.h
/// Test connections that find out whether the process at an address has ended:
/// its VM then refuses connections.
#ifndef KB_TRANSPORT_PROBE_H
#define KB_TRANSPORT_PROBE_H

#include <netinet/in.h>

#include "transport/timer.h"

typedef struct prb_probe prb_probe_t;

typedef enum
{
  PRB_ACCEPTED, ///< A process accepted the connection.
  PRB_REFUSED,  ///< Refused several times in a row: no process listens.
  PRB_UNKNOWN,  ///< The VM did not answer.
} prb_result_t;

typedef struct
{
  /// Last callback; the memory may be freed, or used for another probe.
  void (*on_result) (prb_probe_t *probe, prb_result_t result);
} prb_events_t;

/// Allocated by the caller.
struct prb_probe
{
  const prb_events_t *events; ///< First.
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_loop_t *loop;
  tmr_service_t *timers;
  tmr_timer_t timer;
  struct sockaddr_in address;
  uint32_t refusals;
  prb_result_t last; ///< Result of the current connection.
};

/// Connect to an address until the result is known.
void prb_probe_start (prb_probe_t *probe, const prb_events_t *events,
                      uv_loop_t *loop, tmr_service_t *timers,
                      const struct sockaddr_in *address);

#endif
