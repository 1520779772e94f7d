/// @file presence.h
/// Whether the peer of a TCP connection is still there, by what the kernel has
/// received so far. Unlike the end of a read, the answer needs no turn of the
/// event loop and is not hidden by bytes that are not read yet. A watch
/// reports peers that leave, for connections that are not read meanwhile.
#ifndef KB_TRANSPORT_PRESENCE_H
#define KB_TRANSPORT_PRESENCE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "state/status.h"

typedef struct
{
  /// It has closed the connection or its sending side, or has reset it. A
  /// close of one side and of both look the same.
  bool has_left;
  /// Time since its last packet, which was the close unless it answered
  /// keep-alive probes after that; -1: not known.
  int64_t closed_ms;
} prs_presence_t;

/// @param fd  Descriptor of the connection; negative: it is closed here.
prs_presence_t prs_query (int fd);
/// @param fd  Descriptor of a connection that is open on this side.
/// @return    Whether the peer has ended it with an orderly close, not with a
///            reset.
bool prs_is_closed_in_order (int fd);

typedef struct prs_watch prs_watch_t;
typedef struct prs_peer prs_peer_t;

/// The peer of a connection that is watched.
struct prs_peer
{
  /// It has left, and is no longer watched.
  void (*on_left) (prs_peer_t *peer);
  prs_watch_t *watch; ///< NULL: not watched.
  int fd;
};

/// Peers of an event loop.
struct prs_watch
{
  int epoll_fd;
  uv_poll_t poll;
};

/// @return  KB_OK; KB_ESYS: out of descriptors.
kb_status_t prs_watch_init (prs_watch_t *watch, uv_loop_t *loop,
                            kb_error_t *error);
/// Watch the peer of a connection, whose descriptor stays open until
/// prs_peer_unwatch. A connection has one watched peer at most: further calls
/// for it have no effect.
void prs_peer_watch (prs_watch_t *watch, prs_peer_t *peer, int fd);
/// Does nothing if the peer is not watched.
void prs_peer_unwatch (prs_peer_t *peer);

#endif
