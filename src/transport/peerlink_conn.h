/// @file peerlink_conn.h
/// One connection of a peer link: frames, what waits to be sent, and the name
/// of its peer.
#ifndef KB_TRANSPORT_PEERLINK_CONN_H
#define KB_TRANSPORT_PEERLINK_CONN_H

#include "transport/peerlink.h"

enum
{
  /// Of the buffer that a link reads into.
  PLK_READ_BYTES = 65536,
};

struct plk_conn
{
  uv_tcp_t tcp;
  plk_link_t *link;
  plk_conn_t *next;
  plk_conn_t *prev;
  char name[PLK_NAME_BYTES]; ///< Of the peer; empty until it said it.
  kb_buf_t partial_frame;    ///< A part of a frame.
  tmr_timer_t open_timer;
  bool is_closing;
  void (*on_close) (plk_conn_t *conn); ///< NULL: nobody cares.
  void *owner;                         ///< Of on_close.
};

/// Key of a name in the maps of a link.
static inline uint64_t
plk_name_key (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

/// A connection that is not open yet; it ends when it gets no name in time.
plk_conn_t *plk_conn_create (plk_link_t *link);
/// Its socket is open: read from it.
void plk_conn_start_read (plk_conn_t *conn);
/// Close it. Its memory goes when the loop has closed it.
void plk_conn_close (plk_conn_t *conn);
/// From chunk on messages to this name take this connection. A peer that was
/// restarted comes back under its name before the old connection is known to
/// be dead.
void plk_conn_set_name (plk_conn_t *conn, kb_slice_t name);
/// Say the name of this process, as the first frame.
kb_status_t plk_conn_send_hello (plk_conn_t *conn);
/// @return  KB_EUNAVAIL: not queued.
kb_status_t plk_conn_send (plk_conn_t *conn, const msg_t *msg);

#endif
