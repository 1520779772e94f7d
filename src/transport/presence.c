#include "transport/presence.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

enum
{
  /// Peers that are reported in one turn of the event loop.
  MAX_REPORTED = 256,
};

prs_presence_t
prs_query (int fd)
{
  prs_presence_t presence = { .has_left = fd < 0, .closed_ms = -1 };
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };
  // A negative descriptor is ignored by poll.
  if (poll (&poll_fd, 1, 0) <= 0)
    return presence;
  presence.has_left = true;
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
    presence.closed_ms = info.tcpi_last_ack_recv;
  return presence;
}

bool
prs_is_closed_in_order (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && info.tcpi_state == TCP_CLOSE_WAIT;
}

static void
watch_on_event (uv_poll_t *poll, int status, int events)
{
  prs_watch_t *watch = poll->data;
  // One at a time: a callback may end the watch of another peer.
  struct epoll_event event;
  for (int i = 0;
       i < MAX_REPORTED && epoll_wait (watch->epoll_fd, &event, 1, 0) == 1;
       i++)
    {
      prs_peer_t *peer = event.data.ptr;
      prs_peer_unwatch (peer);
      peer->on_left (peer);
    }
}

kb_status_t
prs_watch_init (prs_watch_t *watch, uv_loop_t *loop, kb_error_t *error)
{
  watch->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (watch->epoll_fd < 0)
    return kb_error_set (error, KB_ESYS, "cannot watch connections: %s",
                         strerror (errno));
  uv_poll_init (loop, &watch->poll, watch->epoll_fd);
  watch->poll.data = watch;
  uv_poll_start (&watch->poll, UV_READABLE, watch_on_event);
  uv_unref ((uv_handle_t *)&watch->poll);
  return KB_OK;
}

void
prs_peer_watch (prs_watch_t *watch, prs_peer_t *peer, int fd)
{
  // Hang-ups and errors are always reported.
  struct epoll_event event = { .events = EPOLLRDHUP, .data.ptr = peer };
  if (epoll_ctl (watch->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    return;
  peer->watch = watch;
  peer->fd = fd;
}

void
prs_peer_unwatch (prs_peer_t *peer)
{
  if (peer->watch == NULL)
    return;
  epoll_ctl (peer->watch->epoll_fd, EPOLL_CTL_DEL, peer->fd, NULL);
  peer->watch = NULL;
}
