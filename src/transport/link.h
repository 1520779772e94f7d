/// @file link.h
/// Transport of the inner protocol: one ZeroMQ ROUTER socket for all peers of
/// a process, driven by the libuv loop. A peer is addressed by its name, which
/// is its ZeroMQ routing id.
#ifndef KB_TRANSPORT_LINK_H
#define KB_TRANSPORT_LINK_H

#include <uv.h>

#include "protocol/msg_defs.h"
#include "state/map.h"
#include "state/status.h"

typedef struct lnk_link lnk_link_t;

/// Callbacks of a link.
typedef struct
{
  /// A well-formed message was received from `peer`.
  void (*on_message) (lnk_link_t *link, kb_slice_t peer, const msg_t *msg);
  /// A connection was lost, or could not be established, or its handshake
  /// failed. `address` is the endpoint that ZeroMQ reports. May be NULL.
  void (*on_disconnect) (lnk_link_t *link, const char *address);
} lnk_events_t;

/// Settings of a link.
typedef struct
{
  const char *name;       ///< Routing id of this process.
  const char *public_key; ///< Z85; NULL or empty: no CURVE.
  const char *secret_key;
  /// Public keys of the peers that may connect, Z85; NULL and empty strings
  /// are ignored.
  const char *allowed_keys[2];
} lnk_options_t;

struct lnk_link
{
  const lnk_events_t *events;
  void *owner;
  uv_loop_t *loop;
  void *context;
  void *socket;
  void *monitor;
  void *zap;
  uv_poll_t poll;
  uv_poll_t monitor_poll;
  uv_poll_t zap_poll;
  uv_check_t check;
  uv_idle_t idle;
  bool is_draining; ///< Prevents recursion into the drain.
  lnk_options_t options;
  kb_buf_t scratch;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

kb_status_t lnk_link_init (lnk_link_t *link, uv_loop_t *loop,
                           const lnk_events_t *events, void *owner,
                           const lnk_options_t *options, kb_error_t *error);
void lnk_link_finish (lnk_link_t *link);
/// Listens on `address`.
/// @param port  Port to listen on, or 0 to let the kernel choose one; receives
///              the port in use.
kb_status_t lnk_link_bind (lnk_link_t *link, const char *address,
                           uint16_t *port, kb_error_t *error);
/// Connects to `address` ("tcp://ip:port") and reconnects after a failure
/// until lnk_link_disconnect.
/// @param server_key  Public key of the peer, Z85, or empty.
/// @return            KB_EINVAL: the address is not valid.
kb_status_t lnk_link_connect (lnk_link_t *link, const char *address,
                              const char *server_key);
void lnk_link_disconnect (lnk_link_t *link, const char *address);
/// Queues a message.
/// @return  KB_EUNAVAIL: the message was not queued and will not be sent.
///          KB_OK does not guarantee delivery.
kb_status_t lnk_link_send (lnk_link_t *link, kb_slice_t peer,
                           const msg_t *msg);

#endif
