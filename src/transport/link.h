/// @file link.h
/// The inner protocol's transport: one ZeroMQ ROUTER socket for all peers of
/// a process, driven by the libuv loop. A peer is addressed by its name,
/// which is its routing id.
#ifndef KB_TRANSPORT_LINK_H
#define KB_TRANSPORT_LINK_H

#include <uv.h>

#include "protocol/msg_defs.h"
#include "state/map.h"
#include "state/status.h"

typedef struct lnk_link lnk_link_t;

/// Callbacks of a link; the struct is the first member of its owner.
typedef struct
{
  /// A whole, well-formed message from `peer`.
  void (*on_message) (lnk_link_t *link, kb_slice_t peer, const msg_t *msg);
  /// The connection to an address that this process opened was lost or could
  /// not be made.
  void (*on_disconnect) (lnk_link_t *link, const char *address);
} lnk_events_t;

/// What a link needs from the settings.
typedef struct
{
  const char *name;       ///< Own routing id.
  const char *public_key; ///< Z85; empty for no CURVE.
  const char *secret_key;
  /// Public keys of peers that may connect; empty strings are ignored.
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
  bool is_draining; ///< Guards against a nested drain.
  lnk_options_t options;
  kb_buf_t scratch;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

kb_status_t lnk_link_init (lnk_link_t *link, uv_loop_t *loop,
                           const lnk_events_t *events, void *owner,
                           const lnk_options_t *options, kb_error_t *error);
void lnk_link_finish (lnk_link_t *link);
/// Listen; port 0 lets the kernel choose.
/// @param port  Receives the port in use.
kb_status_t lnk_link_bind (lnk_link_t *link, const char *address,
                           uint16_t *port, kb_error_t *error);
/// Connect to `address` ("tcp://ip:port"); reconnects until disconnected.
/// @param server_key  Public key of the peer, Z85, or empty.
kb_status_t lnk_link_connect (lnk_link_t *link, const char *address,
                              const char *server_key);
void lnk_link_disconnect (lnk_link_t *link, const char *address);
/// Queue a message.
/// @return  KB_EUNAVAIL: it was not queued, so it was certainly not sent.
///          KB_OK is no proof that it arrives.
kb_status_t lnk_link_send (lnk_link_t *link, kb_slice_t peer,
                           const msg_t *msg);

#endif
