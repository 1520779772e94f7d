#include "transport/exchange.h"

#include <stdlib.h>

enum
{
  /// Lifetime of an idle connection whose peer sends no Keep-Alive timeout.
  /// Targets send one in whole seconds, or close after a few seconds.
  IDLE_DEFAULT_MS = 4000,
  /// A connection is not reused this shortly before its Keep-Alive timeout:
  /// the peer's close may already be in flight.
  IDLE_MARGIN_MS = 600,
  IDLE_SWEEP_INTERVAL_MS = 500,
  MAX_RESPONSE_HEAD_BYTES = 32768,
};

/// One connection to a peer, in use or idle.
struct xch_pooled
{
  h1_conn_t conn; ///< Must be first: callbacks cast it to this type.
  xch_peer_t *peer;
  xch_t *x;                 ///< The exchange in progress; NULL when idle.
  xch_pooled_t *next;       ///< Next in the idle list.
  kb_buf_t queued_head;     ///< Held until connected.
  kb_shared_t *queued_body; ///< The same; NULL: none.
  tmr_timer_t timer; ///< Connect timeout, deferred failure report, or watch.
  uint64_t opened_us;
  uint64_t idle_since_ms;
  uint64_t lifetime_ms;
  uint64_t tags[XCH_KEPT_TAGS]; ///< Of the latest requests, in a ring.
  uint32_t request_count;
  bool is_sent;
  bool is_head_method;
  bool is_for_later; ///< No request is sent once it is connected.
  bool is_watched;   ///< See watch_ms.
};

static void
pooled_close (xch_pooled_t *pooled, bool is_abort)
{
  pooled->x = NULL;
  h1_conn_close (&pooled->conn, is_abort);
}

static void
pooled_fail (xch_pooled_t *pooled, xch_failure_t fail)
{
  xch_t *x = pooled->x;
  if (x != NULL)
    x->is_begun = pooled->conn.is_in_message && !x->is_discarding;
  tmr_cancel (pooled->peer->pool->timers, &pooled->timer);
  pooled_close (pooled, false);
  if (x == NULL)
    return;
  x->pooled = NULL;
  x->events->on_fail (x, pooled->is_sent ? fail : XCH_NOT_SENT);
}

static void
idle_remove (xch_pooled_t *pooled)
{
  xch_peer_t *peer = pooled->peer;
  for (xch_pooled_t **at = &peer->idle; *at != NULL; at = &(*at)->next)
    if (*at == pooled)
      {
        *at = pooled->next;
        peer->idle_count--;
        return;
      }
}

static void
pooled_drop_queued (xch_pooled_t *pooled)
{
  kb_buf_finish (&pooled->queued_head);
  kb_shared_unref (pooled->queued_body);
  pooled->queued_body = NULL;
}

static void
pooled_on_closed (h1_conn_t *conn)
{
  xch_pooled_t *pooled = (xch_pooled_t *)conn;
  tmr_cancel (pooled->peer->pool->timers, &pooled->timer);
  pooled_drop_queued (pooled);
  pooled->peer->open_count--;
  pooled->peer->pool->open_count--;
  free (pooled);
}

static uint64_t
keep_alive_lifetime_ms (const h1_conn_t *conn)
{
  static const char key[] = "timeout=";
  kb_slice_t value = h1_head_get (&conn->head, "keep-alive");
  char text[64];
  kb_slice_copy (value, text, sizeof text);
  const char *at = value.ptr == NULL ? NULL : strstr (text, key);
  if (at == NULL)
    return IDLE_DEFAULT_MS;
  uint64_t advertised_ms = strtoull (at + sizeof key - 1, NULL, 10) * 1000;
  return advertised_ms > IDLE_MARGIN_MS ? advertised_ms - IDLE_MARGIN_MS : 0;
}

/// @return  Whether the response has a body that ends with the connection.
static bool
pooled_is_close_delimited (const xch_pooled_t *pooled)
{
  const h1_conn_t *conn = &pooled->conn;
  return !pooled->is_head_method && h1_body_is_close_delimited (conn)
         && conn->parser.status_code != 204 && conn->parser.status_code != 304;
}

static bool
pooled_is_reusable (const xch_pooled_t *pooled, const xch_t *x)
{
  const h1_conn_t *conn = &pooled->conn;
  // A late answer is parsed by the method of the request that it meets; the
  // one to HEAD has a length without a body.
  return !conn->is_ended && !x->is_last && !pooled->is_head_method
         && !pooled_is_close_delimited (pooled) && conn->unsent_bytes == 0
         && conn->surplus.len_bytes == 0 && conn->parser.http_minor >= 1
         && !h1_value_has_token (h1_head_get (&conn->head, "connection"),
                                 "close")
         && pooled->peer->idle_count < pooled->peer->max_idle;
}

static void
pooled_return_to_idle (xch_pooled_t *pooled)
{
  xch_peer_t *peer = pooled->peer;
  pooled->x = NULL;
  pooled->idle_since_ms = uv_now (peer->pool->loop);
  pooled->lifetime_ms = keep_alive_lifetime_ms (&pooled->conn);
  pooled->next = peer->idle;
  peer->idle = pooled;
  peer->idle_count++;
  h1_conn_resume (&pooled->conn);
}

static void
pooled_on_head (h1_conn_t *conn)
{
  xch_pooled_t *pooled = (xch_pooled_t *)conn;
  if (pooled->x == NULL)
    return;
  pooled->x->events->on_head (pooled->x);
}

static void
pooled_on_body (h1_conn_t *conn, kb_slice_t bytes)
{
  xch_pooled_t *pooled = (xch_pooled_t *)conn;
  if (pooled->x != NULL && !pooled->x->is_discarding)
    pooled->x->events->on_body (pooled->x, bytes);
}

/// Release the connection of a complete response, and report it.
/// @param surplus  Bytes that were read behind it.
static void
pooled_report_done (xch_pooled_t *pooled, kb_slice_t surplus)
{
  xch_t *x = pooled->x;
  tmr_cancel (pooled->peer->pool->timers, &pooled->timer);
  pooled->is_watched = false;
  x->pooled = NULL;
  x->surplus = surplus;
  if (pooled_is_reusable (pooled, x))
    pooled_return_to_idle (pooled);
  else
    pooled_close (pooled, false);
  x->events->on_done (x);
}

static void
pooled_on_watched (void *arg)
{
  enum
  {
    READ_MS = 1,
  };
  xch_pooled_t *pooled = arg;
  // Bytes that came in time may wait to be read.
  if (h1_conn_has_unread (&pooled->conn))
    tmr_start_once (pooled->peer->pool->timers, &pooled->timer, READ_MS,
                    pooled_on_watched, pooled);
  else
    pooled_report_done (pooled, (kb_slice_t){ 0 });
}

/// Wait for bytes behind a complete response, if its owner wants that.
/// @return  Whether on_done waits.
static bool
pooled_watch (xch_pooled_t *pooled)
{
  xch_t *x = pooled->x;
  h1_conn_t *conn = &pooled->conn;
  if (x->events->watch_ms == NULL || conn->surplus.len_bytes > 0)
    return false;
  uint64_t watch_ms = x->events->watch_ms (x);
  if (watch_ms == 0)
    return false;
  pooled->is_watched = true;
  h1_conn_resume (conn);
  tmr_start_once (pooled->peer->pool->timers, &pooled->timer, watch_ms,
                  pooled_on_watched, pooled);
  return true;
}

static void
pooled_on_end (h1_conn_t *conn, h1_end_t end)
{
  xch_pooled_t *pooled = (xch_pooled_t *)conn;
  if (pooled->x == NULL)
    {
      idle_remove (pooled);
      pooled_close (pooled, false);
      return;
    }
  if (pooled->is_watched)
    {
      pooled_report_done (pooled, kb_buf_slice (&conn->pipelined));
      return;
    }
  pooled_fail (pooled, end == H1_END_EOF || end == H1_END_RESET
                           ? XCH_RESET
                           : XCH_MALFORMED);
}

static void
pooled_on_message (h1_conn_t *conn)
{
  xch_pooled_t *pooled = (xch_pooled_t *)conn;
  xch_t *x = pooled->x;
  if (x == NULL)
    {
      pooled_close (pooled, false);
      return;
    }
  if (x->is_discarding)
    {
      x->is_discarding = false;
      h1_conn_next_message (conn);
      return;
    }
  if (!pooled_watch (pooled))
    pooled_report_done (pooled, conn->surplus);
}

static void
pooled_on_unwritten (void *arg)
{
  pooled_fail (arg, XCH_NOT_SENT);
}

static void
pooled_send_queued (xch_pooled_t *pooled)
{
  pooled->is_sent = h1_conn_write_message (
      &pooled->conn, kb_buf_slice (&pooled->queued_head), pooled->queued_body);
  if (pooled->is_sent)
    return;
  // The failed write has taken the error of the socket: a read would find an
  // orderly close.
  h1_conn_pause (&pooled->conn);
  tmr_start_once (pooled->peer->pool->timers, &pooled->timer, 0,
                  pooled_on_unwritten, pooled);
}

static void
pool_report_path (const xch_pooled_t *pooled)
{
  const xch_pool_t *pool = pooled->peer->pool;
  if (pool->on_path != NULL)
    pool->on_path (pool->owner, tmr_now_us () - pooled->opened_us);
}

/// Keep a connection without a request, and report that it was made.
static void
pooled_keep_unused (xch_pooled_t *pooled)
{
  xch_t *x = pooled->x;
  x->pooled = NULL;
  h1_conn_hold (&pooled->conn);
  if (pooled->peer->idle_count < pooled->peer->max_idle)
    pooled_return_to_idle (pooled);
  else
    pooled_close (pooled, false);
  x->events->on_connect (x);
}

static void
pooled_on_connect (h1_conn_t *conn, int status)
{
  xch_pooled_t *pooled = (xch_pooled_t *)conn;
  xch_t *x = pooled->x;
  if (status == 0)
    pool_report_path (pooled);
  tmr_cancel (pooled->peer->pool->timers, &pooled->timer);
  if (status != 0)
    {
      if (x != NULL)
        x->is_refused = status == UV_ECONNREFUSED;
      pooled_fail (pooled, XCH_NOT_SENT);
      return;
    }
  if (pooled->is_for_later && x != NULL)
    {
      pooled_keep_unused (pooled);
      return;
    }
  if (x != NULL && x->events->on_connect != NULL)
    x->events->on_connect (x);
  if (conn->is_closing)
    return;
  pooled_send_queued (pooled);
  pooled_drop_queued (pooled);
}

static void
pooled_on_over_limit (h1_conn_t *conn)
{
  const xch_pool_t *pool = ((xch_pooled_t *)conn)->peer->pool;
  if (pool->on_over_limit != NULL)
    pool->on_over_limit (pool->owner);
}

static const h1_events_t pooled_events = {
  .on_head = pooled_on_head,
  .on_body = pooled_on_body,
  .on_message = pooled_on_message,
  .on_end = pooled_on_end,
  .on_connect = pooled_on_connect,
  .on_closed = pooled_on_closed,
  .on_over_limit = pooled_on_over_limit,
};

static void
pooled_on_connect_timeout (void *arg)
{
  pool_report_path (arg);
  pooled_fail (arg, XCH_NOT_SENT);
}

static xch_pooled_t *
peer_pop_idle (xch_peer_t *peer)
{
  xch_pooled_t *pooled = peer->idle;
  peer->idle = pooled->next;
  peer->idle_count--;
  return pooled;
}

/// Close idle connections whose lifetime has expired.
static void
peer_sweep (void *arg)
{
  xch_peer_t *peer = arg;
  uint64_t now_ms = uv_now (peer->pool->loop);
  xch_pooled_t **at = &peer->idle;
  while (*at != NULL)
    {
      xch_pooled_t *pooled = *at;
      if (now_ms - pooled->idle_since_ms < pooled->lifetime_ms)
        {
          at = &pooled->next;
          continue;
        }
      *at = pooled->next;
      peer->idle_count--;
      pooled_close (pooled, false);
    }
  if (peer->idle != NULL)
    tmr_start_once (peer->pool->timers, &peer->sweep, IDLE_SWEEP_INTERVAL_MS,
                    peer_sweep, peer);
}

void
xch_peer_init (xch_peer_t *peer, xch_pool_t *pool,
               const struct sockaddr_in *address, uint32_t max_idle)
{
  *peer = (xch_peer_t){ .pool = pool,
                        .address = *address,
                        .max_idle = max_idle };
}

void
xch_peer_finish (xch_peer_t *peer)
{
  tmr_cancel (peer->pool->timers, &peer->sweep);
  while (peer->idle != NULL)
    pooled_close (peer_pop_idle (peer), false);
}

/// @return  The newest idle connection if its idle time allows reuse, or NULL.
static xch_pooled_t *
peer_take_idle (xch_peer_t *peer, uint64_t max_idle_ms)
{
  uint64_t now_ms = uv_now (peer->pool->loop);
  while (peer->idle != NULL)
    {
      uint64_t age_ms = now_ms - peer->idle->idle_since_ms;
      if (age_ms >= max_idle_ms || age_ms >= peer->idle->lifetime_ms)
        return NULL;
      xch_pooled_t *pooled = peer_pop_idle (peer);
      if (h1_conn_is_quiet (&pooled->conn))
        return pooled;
      // Its close, or an answer to no request, has arrived unread.
      pooled_close (pooled, false);
    }
  return NULL;
}

/// Record which request a connection carries next.
static void
pooled_begin (xch_pooled_t *pooled, xch_t *x, const xch_request_t *request)
{
  pooled->x = x;
  x->pooled = pooled;
  pooled->is_head_method = request->is_head_method;
  pooled->conn.is_head_method = request->is_head_method;
  x->is_reused = pooled->request_count > 0;
  pooled->tags[pooled->request_count++ % XCH_KEPT_TAGS] = request->tag;
  memcpy (x->tags, pooled->tags, sizeof x->tags);
}

static void
pooled_open (xch_peer_t *peer, xch_t *x, const xch_request_t *request)
{
  xch_pooled_t *pooled = kb_alloc (sizeof *pooled);
  *pooled = (xch_pooled_t){ .peer = peer, .opened_us = tmr_now_us () };
  peer->open_count++;
  peer->pool->opened_total++;
  peer->pool->open_count++;
  kb_buf_set_account (&pooled->queued_head, peer->pool->account);
  kb_buf_append (&pooled->queued_head, request->head.ptr,
                 request->head.len_bytes);
  pooled->queued_body = kb_shared_ref (request->body);
  kb_status_t status = h1_conn_connect (&pooled->conn, peer->pool->loop,
                                        &peer->address, &pooled_events, NULL);
  pooled->conn.max_header_bytes = MAX_RESPONSE_HEAD_BYTES;
  pooled_begin (pooled, x, request);
  h1_conn_share_loop (&pooled->conn, peer->pool->bulk);
  h1_conn_set_account (&pooled->conn, peer->pool->account);
  tmr_service_t *timers = peer->pool->timers;
  // A connection attempt that fails at once is reported from the event loop,
  // as all failures are.
  uint64_t timeout_ms
      = status == KB_OK ? request->connect_timeout_ms + tmr_turn_ms (timers)
                        : 0;
  tmr_start_once (timers, &pooled->timer, timeout_ms,
                  pooled_on_connect_timeout, pooled);
}

static void
xch_begin (xch_t *x, xch_peer_t *peer, const xch_events_t *events, void *owner)
{
  *x = (xch_t){ .events = events, .owner = owner };
  if (peer->sweep.heap_position == 0)
    tmr_start_once (peer->pool->timers, &peer->sweep, IDLE_SWEEP_INTERVAL_MS,
                    peer_sweep, peer);
}

void
xch_start (xch_t *x, xch_peer_t *peer, const xch_events_t *events, void *owner,
           const xch_request_t *request)
{
  xch_begin (x, peer, events, owner);
  xch_pooled_t *pooled;
  uint64_t max_idle_ms = request->is_head_method ? 0 : request->max_idle_ms;
  while ((pooled = peer_take_idle (peer, max_idle_ms)) != NULL)
    {
      pooled_begin (pooled, x, request);
      h1_conn_next_message (&pooled->conn);
      pooled->is_sent = h1_conn_write_message (&pooled->conn, request->head,
                                               request->body);
      if (pooled->is_sent)
        return;
      // The peer has reset it, and not a byte of the request has left.
      pooled_close (pooled, true);
    }
  pooled_open (peer, x, request);
}

void
xch_open_idle (xch_t *x, xch_peer_t *peer, const xch_events_t *events,
               void *owner, uint64_t connect_timeout_ms)
{
  xch_request_t none = { .connect_timeout_ms = connect_timeout_ms };
  xch_begin (x, peer, events, owner);
  pooled_open (peer, x, &none);
  x->pooled->is_for_later = true;
  x->pooled->request_count = 0;
}

void
xch_cancel (xch_t *x)
{
  xch_pooled_t *pooled = x->pooled;
  if (pooled == NULL)
    return;
  x->pooled = NULL;
  tmr_cancel (pooled->peer->pool->timers, &pooled->timer);
  pooled_close (pooled, true);
}

void
xch_discard_response (xch_t *x)
{
  x->is_discarding = true;
}

void
xch_close_after (xch_t *x)
{
  x->is_last = true;
}

void
xch_pause (xch_t *x)
{
  if (x->pooled != NULL)
    h1_conn_pause (&x->pooled->conn);
}

void
xch_resume (xch_t *x)
{
  if (x->pooled != NULL)
    h1_conn_resume (&x->pooled->conn);
}

bool
xch_has_carried (const xch_t *x, uint64_t tag)
{
  for (uint32_t i = 0; i < XCH_KEPT_TAGS; i++)
    if (x->tags[i] == tag)
      return true;
  return false;
}

bool
xch_is_receiving (const xch_t *x)
{
  const xch_pooled_t *pooled = x->pooled;
  if (pooled == NULL || x->is_discarding)
    return false;
  return pooled->conn.is_in_message || h1_conn_has_unread (&pooled->conn);
}

bool
xch_is_sent (const xch_t *x)
{
  return x->pooled != NULL && x->pooled->is_sent;
}

const h1_conn_t *
xch_conn (const xch_t *x)
{
  return &x->pooled->conn;
}

bool
xch_is_close_delimited (const xch_t *x)
{
  return pooled_is_close_delimited (x->pooled);
}
