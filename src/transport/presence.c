#include "transport/presence.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

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
