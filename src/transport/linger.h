/// @file linger.h
/// Ends a connection whose peer is still sending. A socket that is closed
/// with unread bytes resets the connection, and the reset discards an answer
/// that the peer has not read yet: it sees a broken connection instead of the
/// reason for it. Here the sending side is closed first and what still comes
/// in is read and dropped, for a bounded time.
#ifndef KB_TRANSPORT_LINGER_H
#define KB_TRANSPORT_LINGER_H

#include <uv.h>

#include "transport/timer.h"

/// Take over the end of a connection that its owner is about to close.
/// @param fd  Socket of the connection; stays its owner's to close.
void lng_start (uv_loop_t *loop, tmr_service_t *timers, int fd);

#endif
