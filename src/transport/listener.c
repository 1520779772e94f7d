#include "transport/listener.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>

#include "state/buf.h"
#include "transport/bulk.h"
#include "transport/h1.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  REOPEN_INTERVAL_MS = 20,
};

static void
socket_closed (uv_handle_t *handle)
{
  free (handle);
}

/// Close the socket; the kernel resets the connections that wait there.
static void
listener_close (lsn_listener_t *listener)
{
  if (listener->socket != NULL)
    uv_close ((uv_handle_t *)listener->socket, socket_closed);
  listener->socket = NULL;
  listener->is_deferred = false;
}

static void
accept_one (lsn_listener_t *listener)
{
  listener->has_accepted = true;
  listener->has_unpolled = true;
  listener->accept (listener->owner, (uv_stream_t *)listener->socket);
}

/// @return  Connections that wait while libuv holds one; no fewer.
static uint32_t
count_waiting (const lsn_listener_t *listener)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  uv_os_fd_t fd;
  bool is_known = uv_fileno ((const uv_handle_t *)listener->socket, &fd) == 0
                  && getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  // Of a listening socket, it is the length of the queue.
  uint32_t queued
      = is_known ? info.tcpi_unacked : (uint32_t)listener->backlog + 1;
  return queued + 1;
}

static void
listener_on_connection (uv_stream_t *stream, int status)
{
  lsn_listener_t *listener = stream->data;
  if (status != 0)
    {
      MET_INC ("knapweedbay_accept_failures_total", "");
      log_write (LOG_WARN, "listener", "Failed to accept a connection: %s.",
                 uv_strerror (status));
      return;
    }
  // Without uv_accept, libuv leaves further connections to the kernel.
  lsn_policy_t *policy = listener->policy;
  if (policy == NULL || policy->vtable->may_accept (policy))
    {
      accept_one (listener);
      return;
    }
  listener->is_deferred = true;
  policy->vtable->on_deferred (policy, count_waiting (listener));
}

static int
listener_open (lsn_listener_t *listener)
{
  uv_tcp_t *socket = kb_alloc (sizeof *socket);
  uv_tcp_init (listener->loop, socket);
  socket->data = listener;
  int code = h1_bind (socket, &listener->address);
  if (code == 0)
    code = uv_listen ((uv_stream_t *)socket, listener->backlog,
                      listener_on_connection);
  if (code != 0)
    {
      uv_close ((uv_handle_t *)socket, socket_closed);
      return code;
    }
  listener->socket = socket;
  return 0;
}

static void
listener_reopen (void *arg)
{
  lsn_listener_t *listener = arg;
  if (listener->is_stopped || listener_open (listener) == 0)
    return;
  MET_INC ("knapweedbay_listen_failures_total", "");
  tmr_start_once (listener->timers, &listener->reopen_timer,
                  REOPEN_INTERVAL_MS, listener_reopen, listener);
}

static void
turn_away (lsn_listener_t *listener)
{
  MET_INC ("knapweedbay_connections_turned_away_total", "");
  listener_close (listener);
  uint64_t refuse_ms
      = listener->policy->vtable->on_turned_away (listener->policy);
  if (refuse_ms == 0)
    listener_reopen (listener);
  else
    tmr_start_once (listener->timers, &listener->reopen_timer, refuse_ms,
                    listener_reopen, listener);
}

static void
poll_again (uv_idle_t *handle)
{
}

/// Connections were accepted since the last poll: only the next one shows
/// whether they have something to read.
static void
listener_poll_accepted (lsn_listener_t *listener)
{
  listener->has_unpolled = false;
  if (listener->is_deferred)
    uv_idle_start (&listener->poll_again, poll_again);
}

static void
listener_before_poll (uv_prepare_t *handle)
{
  lsn_listener_t *listener = handle->data;
  lsn_policy_t *policy = listener->policy;
  uv_idle_stop (&listener->poll_again);
  if (!listener->is_deferred && !listener->has_accepted)
    return;
  if (listener->has_unpolled)
    {
      listener_poll_accepted (listener);
      return;
    }
  bool is_idle = !blk_loop_has_events (listener->loop);
  if (is_idle)
    {
      listener->has_accepted = false;
      policy->vtable->on_idle (policy);
      if (!listener->is_deferred)
        policy->vtable->on_none_waits (policy);
    }
  if (!listener->is_deferred)
    return;
  // Events of handles that were stopped do not end a poll that waits.
  if (!is_idle)
    uv_idle_start (&listener->poll_again, poll_again);
  if (policy->vtable->may_accept (policy))
    {
      listener->is_deferred = false;
      accept_one (listener);
    }
  else if (policy->vtable->must_turn_away (policy))
    turn_away (listener);
}

kb_status_t
lsn_listener_init (lsn_listener_t *listener, uv_loop_t *loop,
                   tmr_service_t *timers, const struct sockaddr_in *address,
                   int backlog, kb_error_t *error)
{
  listener->loop = loop;
  listener->timers = timers;
  listener->address = *address;
  listener->backlog = backlog;
  int code = listener_open (listener);
  if (code != 0)
    {
      char ip[INET_ADDRSTRLEN];
      uv_ip4_name (address, ip, sizeof ip);
      return kb_error_set (error, KB_ESYS, "cannot listen on %s:%d: %s", ip,
                           (int)ntohs (address->sin_port), uv_strerror (code));
    }
  // Keep the port when any was asked for.
  int size = sizeof listener->address;
  uv_tcp_getsockname (listener->socket, (struct sockaddr *)&listener->address,
                      &size);
  uv_prepare_init (loop, &listener->prepare);
  listener->prepare.data = listener;
  if (listener->policy != NULL)
    uv_prepare_start (&listener->prepare, listener_before_poll);
  uv_unref ((uv_handle_t *)&listener->prepare);
  uv_idle_init (loop, &listener->poll_again);
  uv_unref ((uv_handle_t *)&listener->poll_again);
  return KB_OK;
}

void
lsn_listener_stop (lsn_listener_t *listener)
{
  if (listener->is_stopped)
    return;
  listener->is_stopped = true;
  tmr_cancel (listener->timers, &listener->reopen_timer);
  uv_prepare_stop (&listener->prepare);
  uv_idle_stop (&listener->poll_again);
  listener_close (listener);
}

bool
lsn_listener_has_waiting (const lsn_listener_t *listener)
{
  uv_os_fd_t fd;
  // libuv holds a connection that was deferred; the kernel has the others.
  if (listener->is_deferred)
    return true;
  if (listener->socket == NULL
      || uv_fileno ((const uv_handle_t *)listener->socket, &fd) != 0)
    return false;
  struct pollfd poller = { .fd = fd, .events = POLLIN };
  return poll (&poller, 1, 0) > 0;
}

uint16_t
lsn_listener_port (const lsn_listener_t *listener)
{
  return ntohs (listener->address.sin_port);
}
