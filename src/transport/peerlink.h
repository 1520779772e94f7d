/// @file peerlink.h
/// Transport of the inner protocol over plain TCP on the libuv loop, for roles
/// that have hundreds of peers each. A peer is addressed by its name.
///
/// The ZeroMQ link (link.h) keeps pipes and batch buffers for each peer: 31 KB
/// of resident memory per peer after 3 messages and 87 KB after 600, for a
/// ROUTER socket with 120 peers. With 68 entries and 120 agents that was most
/// of the memory of both processes. Here an idle peer costs about 0.5 KB for
/// its handle, and message buffers exist only while data is pending.
///
/// A frame is the length of a message, as a 32-bit little-endian integer,
/// followed by the message. The first frame of the connecting side is a hello
/// that contains its name.
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
  /// A well-formed message was received from `peer`. The callback may close
  /// the connection.
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
  kb_map_t peers;          ///< Established plk_conn_t, by peer name.
  kb_map_t dialers;        ///< plk_dialer_t, by address.
  plk_conn_t *conns;       ///< All connections that are not closing,
                           ///< including those that are still opening.
  uint32_t accepted_count; ///< Of those, connections that peers opened.
  uint32_t max_accepted;
  kb_account_t partial_frames; ///< Of peers that opened their connections.
  char *read_buffer;           ///< Shared by all connections: reads are
                               ///< processed immediately.
  kb_buf_t scratch;
};

/// @param name  Name by which the peers address this process.
void plk_link_init (plk_link_t *link, uv_loop_t *loop, tmr_service_t *timers,
                    const plk_events_t *events, void *owner, const char *name);
/// Closes all connections. The loop must run once more before it is closed.
void plk_link_finish (plk_link_t *link);
/// Listens on `address`.
/// @param port  Port to listen on, or 0 to let the kernel choose one; receives
///              the port in use.
kb_status_t plk_link_bind (plk_link_t *link, const char *address,
                           uint16_t *port, kb_error_t *error);
/// Connects to `address` ("ip:port") and reconnects after a failure until
/// plk_link_disconnect. The name of the peer is its address.
/// @return  KB_EINVAL: the address is not valid.
kb_status_t plk_link_connect (plk_link_t *link, const char *address);
void plk_link_disconnect (plk_link_t *link, const char *address);
/// @return  Whether there is an established connection to a peer.
bool plk_link_is_connected (const plk_link_t *link, kb_slice_t peer);
/// Queues a message.
/// @return  KB_EUNAVAIL: the message was not queued and will not be sent.
///          KB_OK does not guarantee delivery.
kb_status_t plk_link_send (plk_link_t *link, kb_slice_t peer,
                           const msg_t *msg);

#endif
