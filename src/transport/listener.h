/// @file listener.h
/// A listening socket whose connections are accepted when its owner says so.
/// Those that are not accepted wait in the kernel, and can be turned away
/// unread all at once.
#ifndef KB_TRANSPORT_LISTENER_H
#define KB_TRANSPORT_LISTENER_H

#include <uv.h>

#include "state/status.h"
#include "transport/timer.h"

typedef struct lsn_listener lsn_listener_t;
typedef struct lsn_policy lsn_policy_t;

/// Decisions about connections that wait.
typedef struct
{
  /// The loop has handled all that was ready, except new connections.
  void (*on_idle) (lsn_policy_t *policy);
  /// @return  Whether a connection that waits is accepted now.
  bool (*may_accept) (lsn_policy_t *policy);
  /// One was not accepted.
  /// @param waiting  Connections that wait now, at least one.
  void (*on_deferred) (lsn_policy_t *policy, uint32_t waiting);
  /// No connection waits any more.
  void (*on_none_waits) (lsn_policy_t *policy);
  /// @return  Whether those that wait are to be turned away now.
  bool (*must_turn_away) (const lsn_policy_t *policy);
  /// They were.
  /// @return  Time in ms for which new ones are refused.
  uint64_t (*on_turned_away) (lsn_policy_t *policy);
} lsn_policy_vtable_t;

struct lsn_policy
{
  const lsn_policy_vtable_t *vtable;
};

/// Accept a connection from a stream with uv_accept.
typedef void (*lsn_accept_t) (void *owner, uv_stream_t *stream);

struct lsn_listener
{
  lsn_accept_t accept;
  void *owner;
  lsn_policy_t *policy; ///< NULL: all are accepted at once.
  uv_loop_t *loop;
  tmr_service_t *timers;
  struct sockaddr_in address;
  int backlog;
  uv_tcp_t *socket; ///< NULL while it is closed.
  uv_prepare_t prepare;
  uv_idle_t
      poll_again; ///< While it is active, the loop polls without waiting.
  tmr_timer_t reopen_timer;
  bool is_deferred;  ///< A connection waits that was not accepted.
  bool has_accepted; ///< Since the loop was last idle.
  bool has_unpolled; ///< Accepted since the last poll, so that it is not
                     ///< known whether it can be read.
  bool is_stopped;
};

/// Start listening. `accept`, `owner` and `policy` are set before.
/// @return  KB_OK; KB_ESYS: cannot listen.
kb_status_t lsn_listener_init (lsn_listener_t *listener, uv_loop_t *loop,
                               tmr_service_t *timers,
                               const struct sockaddr_in *address, int backlog,
                               kb_error_t *error);
/// Stop listening; connections that wait are turned away.
void lsn_listener_stop (lsn_listener_t *listener);
/// @return  Whether a connection waits to be accepted.
bool lsn_listener_has_waiting (const lsn_listener_t *listener);
/// @return  The port that it listens on, also when any was asked for.
uint16_t lsn_listener_port (const lsn_listener_t *listener);

#endif
