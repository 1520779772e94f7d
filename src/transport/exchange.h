/// @file exchange.h
/// One HTTP request and its answer on a pooled connection, and the pool: a
/// peer keeps idle connections and hands out the freshest. An exchange tells
/// whether any byte of its request left this process, which decides whether a
/// request may be called "not run".
#ifndef KB_TRANSPORT_EXCHANGE_H
#define KB_TRANSPORT_EXCHANGE_H

#include "transport/h1.h"
#include "transport/timer.h"

typedef struct xch xch_t;
typedef struct xch_peer xch_peer_t;
typedef struct xch_line xch_line_t;

typedef struct
{
  uv_loop_t *loop;
  tmr_service_t *timers;
  uint64_t opened_total; ///< Connections made, for the metrics.
} xch_pool_t;

/// The far end of a set of connections.
struct xch_peer
{
  xch_pool_t *pool;
  struct sockaddr_in address;
  xch_line_t *idle; ///< Newest first.
  uint32_t idle_count;
  uint32_t open_count;
  uint32_t max_idle;
  tmr_timer_t sweep;
};

typedef enum
{
  XCH_NOT_SENT, ///< No connection; the request did not leave.
  XCH_RESET,    ///< Sent; the connection broke before the answer was whole.
  XCH_MALFORMED,
} xch_fail_t;

typedef struct
{
  /// The head of an answer; may call xch_skip, xch_pause or xch_cancel.
  void (*on_head) (xch_t *x);
  void (*on_body) (xch_t *x, kb_slice_t bytes);
  /// The answer is whole. Last callback.
  void (*on_done) (xch_t *x);
  /// No whole answer. Last callback.
  void (*on_fail) (xch_t *x, xch_fail_t fail);
} xch_events_t;

/// An exchange; memory of the caller.
struct xch
{
  const xch_events_t *events;
  void *owner;
  xch_line_t *line; ///< NULL when not under way.
  bool is_skipping;
};

/// What to send and how.
typedef struct
{
  kb_slice_t head; ///< Start line and fields with the blank line.
  kb_slice_t body;
  /// An idle connection older than this is not used, because the peer may
  /// have dropped it and a request lost on it may have run; zero: always a
  /// new connection.
  uint64_t max_idle_ms;
  uint64_t connect_timeout_ms;
  bool expects_no_body;
} xch_request_t;

enum
{
  XCH_ANY_IDLE = 3600000, ///< Any idle connection will do.
};

void xch_peer_init (xch_peer_t *peer, xch_pool_t *pool,
                    const struct sockaddr_in *address, uint32_t max_idle);
/// Close all idle connections; those in use end with their exchange.
void xch_peer_finish (xch_peer_t *peer);
/// Start. Failures are reported by on_fail, never from within this call.
void xch_start (xch_t *x, xch_peer_t *peer, const xch_events_t *events,
                void *owner, const xch_request_t *request);
/// Give up: the connection is closed, which tells the peer to stop. No
/// callback follows; harmless when not under way.
void xch_cancel (xch_t *x);
/// This answer belongs to another request: drop it and wait for the next.
void xch_skip (xch_t *x);
void xch_pause (xch_t *x);
void xch_resume (xch_t *x);
static inline bool
xch_is_active (const xch_t *x)
{
  return x->line != NULL;
}
/// Valid within on_head and on_body.
const h1_conn_t *xch_conn (const xch_t *x);

#endif
