/// @file peerlink.h
/// Typed messages between daemons of one deployment over plain TCP on the
/// libuv loop: for roles with hundreds of peers each. A peer is addressed by
/// its name.
///
/// The ZeroMQ link (link.h) keeps pipes and batch buffers for each peer: 31 KB
/// after three messages, 87 KB after six hundred (a ROUTER with 120 peers,
/// resident bytes over their number). With 68 entries before 120 agents that
/// was most of both processes. Here a silent peer costs its handle, some
/// 0.5 KB, and bytes are kept only while they wait.
///
/// A frame is the length of a message in four bytes, the lowest first, and the
/// message. The one that connects says its name in a first frame.
#ifndef KB_TRANSPORT_PEERLINK_H
#define KB_TRANSPORT_PEERLINK_H

#include <uv.h>

#include "protocol/msg_defs.h"
#include "state/map.h"
#include "state/status.h"
#include "transport/timer.h"

enum
{
  PLK_NAME_BYTES = 80,
};

typedef struct plk_link plk_link_t;
typedef struct plk_conn plk_conn_t;

typedef struct
{
  /// A whole, well-formed message from `peer`.
  void (*on_message) (plk_link_t *link, kb_slice_t peer, const msg_t *msg);
} plk_events_t;

struct plk_link
{
  const plk_events_t *events;
  void *owner;
  uv_loop_t *loop;
  tmr_service_t *timers;
  char name[PLK_NAME_BYTES];
  uv_tcp_t listener;
  bool is_listening;
  kb_map_t peers;    ///< plk_conn_t that carry messages, by their names.
  kb_map_t dialers;  ///< Addresses that are kept connected.
  plk_conn_t *conns; ///< All, with those that are being made or closed.
  char *read_buffer; ///< Shared: what is read is consumed at once.
  kb_buf_t scratch;
};

/// @param name  Of this process, as its peers address it.
void plk_link_init (plk_link_t *link, uv_loop_t *loop, tmr_service_t *timers,
                    const plk_events_t *events, void *owner, const char *name);
/// Close everything; the loop must turn once more before it is closed.
void plk_link_finish (plk_link_t *link);
/// Listen; port 0 lets the kernel choose.
/// @param port  Receives the port in use.
kb_status_t plk_link_bind (plk_link_t *link, const char *address,
                           uint16_t *port, kb_error_t *error);
/// Keep a connection to a peer whose name is its address, "ip:port".
kb_status_t plk_link_connect (plk_link_t *link, const char *address);
void plk_link_disconnect (plk_link_t *link, const char *address);
/// Queue a message.
/// @return  KB_EUNAVAIL: it was not queued, so it was certainly not sent.
///          KB_OK is no proof that it arrives.
kb_status_t plk_link_send (plk_link_t *link, kb_slice_t peer,
                           const msg_t *msg);

#endif
