/// @file linger.h
/// Lingering close of a connection whose peer may still be sending. Closing a
/// socket with unread bytes resets the connection, and the reset discards a
/// response that the peer has not read yet: the peer sees a connection error
/// instead of the response. A lingering close shuts down the sending side
/// first, then reads and discards incoming bytes for a bounded time.
#ifndef KB_TRANSPORT_LINGER_H
#define KB_TRANSPORT_LINGER_H

#include <uv.h>

#include "transport/timer.h"

/// Starts a lingering close. The caller may close the connection right after.
/// @param fd  Socket of the connection. It is duplicated; the caller keeps
///            ownership and closes its own descriptor.
void lng_start (uv_loop_t *loop, tmr_service_t *timers, int fd);

#endif
