#include "transport/exchange.h"

#include <stdlib.h>

enum
{
  /// Idle connections without a stated lifetime are dropped after this;
  /// targets state theirs in whole seconds or close after a few.
  IDLE_DEFAULT_MS = 4000,
  /// Not used in the last part of its stated lifetime: the peer's close may
  /// be under way.
  IDLE_MARGIN_MS = 600,
  SWEEP_MS = 500,
};

/// One connection of a peer.
struct xch_line
{
  h1_conn_t conn; ///< First, so that a connection is its line.
  xch_peer_t *peer;
  xch_t *x;          ///< The exchange under way; NULL when idle.
  xch_line_t *next;  ///< In the idle list.
  kb_buf_t to_send;  ///< Until the connection is made.
  tmr_timer_t timer; ///< Connect timeout, or a failure to be reported.
  uint64_t idle_since_ms;
  uint64_t lifetime_ms;
  bool is_sent;
  bool expects_no_body;
};

static void
line_close (xch_line_t *line, bool is_abort)
{
  line->x = NULL;
  h1_conn_close (&line->conn, is_abort);
}

static void
line_fail (xch_line_t *line, xch_fail_t fail)
{
  xch_t *x = line->x;
  tmr_cancel (line->peer->pool->timers, &line->timer);
  line_close (line, false);
  if (x == NULL)
    return;
  x->line = NULL;
  x->events->on_fail (x, line->is_sent ? fail : XCH_NOT_SENT);
}

static void
idle_remove (xch_line_t *line)
{
  xch_peer_t *peer = line->peer;
  for (xch_line_t **at = &peer->idle; *at != NULL; at = &(*at)->next)
    if (*at == line)
      {
        *at = line->next;
        peer->idle_count--;
        return;
      }
}

static void
line_on_closed (h1_conn_t *conn)
{
  xch_line_t *line = (xch_line_t *)conn;
  tmr_cancel (line->peer->pool->timers, &line->timer);
  kb_buf_finish (&line->to_send);
  line->peer->open_count--;
  free (line);
}

static void
line_on_end (h1_conn_t *conn, h1_end_t end)
{
  xch_line_t *line = (xch_line_t *)conn;
  if (line->x == NULL)
    {
      idle_remove (line);
      line_close (line, false);
      return;
    }
  line_fail (line, end == H1_END_EOF || end == H1_END_RESET ? XCH_RESET
                                                            : XCH_MALFORMED);
}

static uint64_t
stated_lifetime_ms (const h1_conn_t *conn)
{
  static const char key[] = "timeout=";
  kb_slice_t value = h1_head_get (&conn->head, "keep-alive");
  char text[64];
  kb_slice_copy (value, text, sizeof text);
  const char *at = value.ptr == NULL ? NULL : strstr (text, key);
  if (at == NULL)
    return IDLE_DEFAULT_MS;
  uint64_t stated_ms = strtoull (at + sizeof key - 1, NULL, 10) * 1000;
  return stated_ms > IDLE_MARGIN_MS ? stated_ms - IDLE_MARGIN_MS : 0;
}

static bool
line_can_be_kept (const xch_line_t *line)
{
  const h1_conn_t *conn = &line->conn;
  bool is_framed = line->expects_no_body || !h1_body_is_unframed (conn)
                   || conn->parser.status_code == 204
                   || conn->parser.status_code == 304;
  return !conn->is_ended && is_framed && conn->unsent_bytes == 0
         && conn->ahead.len_bytes == 0 && conn->parser.http_minor >= 1
         && !h1_has_token (h1_head_get (&conn->head, "connection"), "close")
         && line->peer->idle_count < line->peer->max_idle;
}

static void
line_keep (xch_line_t *line)
{
  xch_peer_t *peer = line->peer;
  line->x = NULL;
  line->idle_since_ms = uv_now (peer->pool->loop);
  line->lifetime_ms = stated_lifetime_ms (&line->conn);
  line->next = peer->idle;
  peer->idle = line;
  peer->idle_count++;
  h1_conn_resume (&line->conn);
}

static void
line_on_head (h1_conn_t *conn)
{
  xch_line_t *line = (xch_line_t *)conn;
  if (line->x == NULL)
    return;
  line->x->events->on_head (line->x);
}

static void
line_on_body (h1_conn_t *conn, kb_slice_t bytes)
{
  xch_line_t *line = (xch_line_t *)conn;
  if (line->x != NULL && !line->x->is_skipping)
    line->x->events->on_body (line->x, bytes);
}

static void
line_on_message (h1_conn_t *conn)
{
  xch_line_t *line = (xch_line_t *)conn;
  xch_t *x = line->x;
  if (x == NULL)
    {
      line_close (line, false);
      return;
    }
  if (x->is_skipping)
    {
      x->is_skipping = false;
      h1_conn_next (conn);
      return;
    }
  x->line = NULL;
  if (line_can_be_kept (line))
    line_keep (line);
  else
    line_close (line, false);
  x->events->on_done (x);
}

static void
line_send (xch_line_t *line, kb_slice_t bytes)
{
  line->is_sent = true;
  if (!h1_conn_write (&line->conn, bytes.ptr, bytes.len_bytes))
    h1_conn_pause (&line->conn);
}

static void
line_on_connect (h1_conn_t *conn, bool is_connected)
{
  xch_line_t *line = (xch_line_t *)conn;
  tmr_cancel (line->peer->pool->timers, &line->timer);
  if (!is_connected)
    {
      line_fail (line, XCH_NOT_SENT);
      return;
    }
  line_send (line, kb_buf_slice (&line->to_send));
  kb_buf_finish (&line->to_send);
  kb_buf_init (&line->to_send);
}

static const h1_events_t line_events = {
  .on_head = line_on_head,
  .on_body = line_on_body,
  .on_message = line_on_message,
  .on_end = line_on_end,
  .on_connect = line_on_connect,
  .on_closed = line_on_closed,
};

static void
line_connect_late (void *arg)
{
  line_fail (arg, XCH_NOT_SENT);
}

/// Drop idle connections at the end of their lifetime.
static void
peer_sweep (void *arg)
{
  xch_peer_t *peer = arg;
  uint64_t now_ms = uv_now (peer->pool->loop);
  xch_line_t **at = &peer->idle;
  while (*at != NULL)
    {
      xch_line_t *line = *at;
      if (now_ms - line->idle_since_ms < line->lifetime_ms)
        {
          at = &line->next;
          continue;
        }
      *at = line->next;
      peer->idle_count--;
      line_close (line, false);
    }
  if (peer->idle != NULL)
    tmr_start_once (peer->pool->timers, &peer->sweep, SWEEP_MS, peer_sweep,
                    peer);
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
    {
      xch_line_t *line = peer->idle;
      peer->idle = line->next;
      peer->idle_count--;
      line_close (line, false);
    }
}

/// @return  The newest idle connection that is young enough, or NULL.
static xch_line_t *
peer_take_idle (xch_peer_t *peer, uint64_t max_idle_ms)
{
  uint64_t now_ms = uv_now (peer->pool->loop);
  xch_line_t *line = peer->idle;
  if (line == NULL)
    return NULL;
  uint64_t age_ms = now_ms - line->idle_since_ms;
  if (age_ms >= max_idle_ms || age_ms >= line->lifetime_ms)
    return NULL;
  peer->idle = line->next;
  peer->idle_count--;
  return line;
}

static void
line_open (xch_peer_t *peer, xch_t *x, const xch_request_t *request)
{
  xch_line_t *line = kb_alloc (sizeof *line);
  *line = (xch_line_t){ .peer = peer,
                        .x = x,
                        .expects_no_body = request->expects_no_body };
  x->line = line;
  peer->open_count++;
  peer->pool->opened_total++;
  kb_buf_append (&line->to_send, request->head.ptr, request->head.len_bytes);
  kb_buf_append (&line->to_send, request->body.ptr, request->body.len_bytes);
  kb_status_t status = h1_conn_connect (&line->conn, peer->pool->loop,
                                        &peer->address, &line_events, NULL);
  line->conn.expects_no_body = request->expects_no_body;
  // A refusal is reported from the loop, as every other failure.
  uint64_t timeout_ms = status == KB_OK ? request->connect_timeout_ms : 0;
  tmr_start_once (peer->pool->timers, &line->timer, timeout_ms,
                  line_connect_late, line);
}

void
xch_start (xch_t *x, xch_peer_t *peer, const xch_events_t *events, void *owner,
           const xch_request_t *request)
{
  *x = (xch_t){ .events = events, .owner = owner };
  if (peer->sweep.heap_position == 0)
    tmr_start_once (peer->pool->timers, &peer->sweep, SWEEP_MS, peer_sweep,
                    peer);
  xch_line_t *line = peer_take_idle (peer, request->max_idle_ms);
  if (line == NULL)
    {
      line_open (peer, x, request);
      return;
    }
  line->x = x;
  x->line = line;
  line->expects_no_body = request->expects_no_body;
  line->conn.expects_no_body = request->expects_no_body;
  h1_conn_next (&line->conn);
  kb_buf_t bytes = { 0 };
  kb_buf_append (&bytes, request->head.ptr, request->head.len_bytes);
  kb_buf_append (&bytes, request->body.ptr, request->body.len_bytes);
  line_send (line, kb_buf_slice (&bytes));
  kb_buf_finish (&bytes);
}

void
xch_cancel (xch_t *x)
{
  xch_line_t *line = x->line;
  if (line == NULL)
    return;
  x->line = NULL;
  tmr_cancel (line->peer->pool->timers, &line->timer);
  line_close (line, true);
}

void
xch_skip (xch_t *x)
{
  x->is_skipping = true;
}

void
xch_pause (xch_t *x)
{
  if (x->line != NULL)
    h1_conn_pause (&x->line->conn);
}

void
xch_resume (xch_t *x)
{
  if (x->line != NULL)
    h1_conn_resume (&x->line->conn);
}

const h1_conn_t *
xch_conn (const xch_t *x)
{
  return &x->line->conn;
}
