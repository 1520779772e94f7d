#include "transport/linger.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "state/buf.h"
#include "transport/log.h"

enum
{
  /// A peer that has read the response stops sending within one or two round
  /// trips; after this time the connection is closed anyway.
  LINGER_MS = 2000,
  READ_BYTES = 65536,
  /// Beyond it, the connection that lingers for the longest is closed.
  MAX_LINGERING = 64,
};

/// A connection in lingering close.
typedef struct lng_conn linger_t;

struct lng_conn
{
  uv_poll_t poll; ///< Must be first: cast to linger_t.
  tmr_service_t *timers;
  tmr_timer_t timeout_timer;
  linger_t *next; ///< The one that has begun next.
  int fd;
};

/// The connections of this process, oldest first.
static linger_t *oldest;
static uint32_t lingering_count;

static void
linger_add (linger_t *linger)
{
  linger_t **at = &oldest;
  while (*at != NULL)
    at = &(*at)->next;
  *at = linger;
  lingering_count++;
}

static void
linger_remove (const linger_t *linger)
{
  linger_t **at = &oldest;
  while (*at != linger)
    at = &(*at)->next;
  *at = linger->next;
  lingering_count--;
}

static void
linger_on_closed (uv_handle_t *handle)
{
  linger_t *linger = (linger_t *)handle;
  close (linger->fd);
  free (linger);
}

static void
linger_close (void *arg)
{
  linger_t *linger = arg;
  linger_remove (linger);
  tmr_cancel (linger->timers, &linger->timeout_timer);
  uv_close ((uv_handle_t *)&linger->poll, linger_on_closed);
}

static void
linger_on_readable (uv_poll_t *poll, int status, int events)
{
  static char discarded[READ_BYTES];
  linger_t *linger = (linger_t *)poll;
  ssize_t nread = recv (linger->fd, discarded, sizeof discarded, MSG_DONTWAIT);
  bool is_open
      = nread > 0 || (nread < 0 && (errno == EAGAIN || errno == EINTR));
  if (status != 0 || !is_open)
    linger_close (linger);
}

void
lng_start (uv_loop_t *loop, tmr_service_t *timers, int fd)
{
  int own_fd = dup (fd);
  if (own_fd < 0)
    {
      log_write (LOG_WARN, "linger",
                 "Cannot duplicate a socket for a lingering close: %s.",
                 strerror (errno));
      return;
    }
  shutdown (own_fd, SHUT_WR);
  linger_t *linger = kb_alloc (sizeof *linger);
  *linger = (linger_t){ .timers = timers, .fd = own_fd };
  linger_add (linger);
  uv_poll_init (loop, &linger->poll, own_fd);
  uv_poll_start (&linger->poll, UV_READABLE, linger_on_readable);
  tmr_start_once (timers, &linger->timeout_timer, LINGER_MS, linger_close,
                  linger);
  if (lingering_count > MAX_LINGERING)
    linger_close (oldest);
}
