/// @file peerlink_conn.h
/// A connection of a peer link: framing, send queue and name of the peer.
#ifndef KB_TRANSPORT_PEERLINK_CONN_H
#define KB_TRANSPORT_PEERLINK_CONN_H

#include "transport/peerlink.h"

enum
{
  /// Size of the read buffer of a link.
  PLK_READ_BYTES = 65536,
};

struct plk_conn
{
  uv_tcp_t tcp;
  plk_link_t *link;
  plk_conn_t *next;
  plk_conn_t *prev;
  char name[PLK_NAME_BYTES]; ///< Name of the peer; empty until it is known.
  kb_buf_t partial_frame;    ///< Received part of an incomplete frame.
  tmr_timer_t open_timer;
  uint64_t read_ms; ///< When something was received last, or it was opened.
  bool is_accepted; ///< The peer has opened it.
  bool is_closing;
  void (*on_close) (plk_conn_t *conn); ///< May be NULL.
  void *owner;                         ///< Context for on_close.
};

/// Key of a name in the maps of a link; never 0.
static inline uint64_t
plk_name_key (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

/// Creates a connection that is not open yet. It is closed if
/// plk_conn_set_name is not called within a timeout.
plk_conn_t *plk_conn_create (plk_link_t *link);
/// Closes connections that peers have opened, while there are too many or
/// their incomplete frames take too much memory. Peers that have not said who
/// they are go first, then the most silent, or the largest frames.
void plk_conns_limit (plk_link_t *link);
/// Starts reading; the socket must be open.
void plk_conn_start_read (plk_conn_t *conn);
/// Closes the connection. It is freed once the loop has closed its handle.
/// Does nothing if it is closing already.
void plk_conn_close (plk_conn_t *conn);
/// Routes messages for `name` to this connection and closes the previous
/// connection of that name: a restarted peer may reconnect before its old
/// connection is detected as dead.
void plk_conn_set_name (plk_conn_t *conn, kb_slice_t name);
/// Sends the hello frame with the name of this process.
kb_status_t plk_conn_send_hello (plk_conn_t *conn);
/// Queues a message.
/// @return  KB_EUNAVAIL: the message was not queued.
kb_status_t plk_conn_send (plk_conn_t *conn, const msg_t *msg);

#endif
