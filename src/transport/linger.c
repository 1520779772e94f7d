#include "transport/linger.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "state/buf.h"
#include "transport/log.h"

enum
{
  /// A peer that has read the answer stops sending within a round trip or
  /// two; one that goes on for longer is cut.
  LINGER_MS = 2000,
  READ_BYTES = 65536,
};

/// A connection that is being ended.
typedef struct
{
  uv_poll_t poll; ///< First.
  tmr_service_t *timers;
  tmr_sub_t limit;
  int fd;
} linger_t;

static void
linger_on_closed (uv_handle_t *handle)
{
  linger_t *linger = (linger_t *)handle;
  close (linger->fd);
  free (linger);
}

static void
linger_end (void *arg)
{
  linger_t *linger = arg;
  tmr_cancel (linger->timers, &linger->limit);
  uv_close ((uv_handle_t *)&linger->poll, linger_on_closed);
}

static void
linger_on_readable (uv_poll_t *poll, int status, int events)
{
  static char dropped[READ_BYTES];
  linger_t *linger = (linger_t *)poll;
  ssize_t got = recv (linger->fd, dropped, sizeof dropped, MSG_DONTWAIT);
  bool is_open = got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
  if (status != 0 || !is_open)
    linger_end (linger);
}

void
lng_take (uv_loop_t *loop, tmr_service_t *timers, int fd)
{
  int own_fd = dup (fd);
  if (own_fd < 0)
    {
      log_write (LOG_WARN, "linger", "A connection is cut: %s.",
                 strerror (errno));
      return;
    }
  shutdown (own_fd, SHUT_WR);
  linger_t *linger = kb_alloc (sizeof *linger);
  *linger = (linger_t){ .timers = timers, .fd = own_fd };
  uv_poll_init (loop, &linger->poll, own_fd);
  uv_poll_start (&linger->poll, UV_READABLE, linger_on_readable);
  tmr_after (timers, &linger->limit, LINGER_MS, linger_end, linger);
}
