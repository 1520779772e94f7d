#include "transport/httpc.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "transport/metrics.h"

enum
{
  /// Of the bytes behind a body, more than a status line has.
  MAX_PEEKED_BYTES = 4096,
  MAX_RESPONSE_HEAD_BYTES = 32768,
  HTTP_NO_CONTENT = 204,
  HTTP_NOT_MODIFIED = 304,
};

void
htc_client_init (htc_client_t *client, uv_loop_t *loop, tmr_service_t *timers)
{
  *client = (htc_client_t){ .loop = loop, .timers = timers };
}

static void
call_drop_request (htc_call_t *call)
{
  kb_buf_finish (&call->head);
  kb_shared_unref (call->body);
  call->body = NULL;
}

static void
call_on_closed (h1_conn_t *conn)
{
  htc_call_t *call = (htc_call_t *)conn;
  call_drop_request (call);
  rso_search_finish (&call->search);
  free (call);
}

/// No callback follows; the call is freed once its connection is closed.
static void
call_close (htc_call_t *call, bool is_abort)
{
  call->is_ended = true;
  tmr_cancel (call->client->timers, &call->timer);
  h1_conn_close (&call->conn, is_abort);
}

/// Close the connection, and report the end of the call.
static void
call_end (htc_call_t *call, htc_end_t end)
{
  if (call->is_ended)
    return;
  bool is_whole = end == HTC_END_COMPLETE && call->conn.unsent_bytes == 0;
  call_close (call, !is_whole);
  call->events->on_end (call, end);
}

static void
call_on_timeout (void *arg)
{
  htc_call_t *call = arg;
  call_end (call, call->is_sent ? HTC_END_TIMEOUT : HTC_END_NOT_SENT);
}

static void
call_restart_idle_timer (htc_call_t *call)
{
  uint64_t timeout_ms = call->idle_timeout_ms;
  if (call->ends_at_ms > 0)
    {
      uint64_t now_ms = uv_now (call->client->loop);
      uint64_t left_ms
          = call->ends_at_ms > now_ms ? call->ends_at_ms - now_ms : 0;
      if (left_ms < timeout_ms)
        timeout_ms = left_ms;
    }
  tmr_start_once (call->client->timers, &call->timer, timeout_ms,
                  call_on_timeout, call);
}

static int
call_fd (const htc_call_t *call)
{
  uv_os_fd_t fd;
  return uv_fileno ((const uv_handle_t *)&call->conn.tcp, &fd) == 0 ? fd : -1;
}

/// Search the bytes behind a body with a length: those that were read, and
/// those that wait in the socket.
static bool
is_second_in_surplus (htc_call_t *call)
{
  kb_buf_t surplus = { 0 };
  kb_buf_append (&surplus, call->conn.surplus.ptr,
                 call->conn.surplus.len_bytes);
  char waiting[MAX_PEEKED_BYTES];
  ssize_t waiting_bytes = recv (call_fd (call), waiting, sizeof waiting,
                                MSG_PEEK | MSG_DONTWAIT);
  if (waiting_bytes > 0)
    kb_buf_append (&surplus, waiting, (size_t)waiting_bytes);
  bool is_found
      = surplus.len_bytes > 0
        && rsc_scan_feed_surplus (&call->search.scan, kb_buf_slice (&surplus));
  kb_buf_finish (&surplus);
  return is_found;
}

/// @return  Whether another response begins in a body that has ended.
static bool
is_second_at_end (htc_call_t *call)
{
  if (call->is_close_delimited)
    return rsc_scan_is_open (&call->search.scan);
  return !call->is_chunked && is_second_in_surplus (call);
}

static void
call_end_second (htc_call_t *call)
{
  MET_INC ("knapweedbay_second_answers_total", "");
  call_end (call, HTC_END_SECOND);
}

static void
call_deliver (htc_call_t *call, kb_slice_t bytes)
{
  call_restart_idle_timer (call);
  if (bytes.len_bytes == 0)
    return;
  call->events->on_body (call, bytes);
  if (call->is_aborted)
    call_end (call, HTC_END_INCOMPLETE);
}

static void
call_on_body (h1_conn_t *conn, kb_slice_t bytes)
{
  htc_call_t *call = (htc_call_t *)conn;
  bool is_last = !call->is_chunked && !call->is_close_delimited
                 && conn->parser.content_length == 0;
  // The parser reads a body where an interim response has a length.
  if (!conn->head.is_complete)
    call_end (call, HTC_END_INCOMPLETE);
  else if (rso_search_feed (&call->search, bytes))
    call_end_second (call);
  else if (is_last)
    call->last = bytes;
  else
    call_deliver (call, bytes);
}

static void
call_on_message (h1_conn_t *conn)
{
  htc_call_t *call = (htc_call_t *)conn;
  if (call->is_close_delimited && !prs_is_closed_in_order (call_fd (call)))
    {
      call_end (call, HTC_END_INCOMPLETE);
      return;
    }
  if (is_second_at_end (call))
    {
      call_end_second (call);
      return;
    }
  call_deliver (call, call->last);
  call_end (call, HTC_END_COMPLETE);
}

kb_slice_t
htc_call_header (const htc_call_t *call, const char *name)
{
  kb_slice_t value = h1_head_get (&call->conn.head, name);
  return value.ptr == NULL ? kb_slice_str ("") : kb_slice_trim (value);
}

/// The parser takes a body with a transfer coding that it doesn't know, or
/// with an empty length, for one that ends with its connection.
/// @return  Whether the head of a response says where its body ends.
static bool
is_head_valid (const htc_call_t *call)
{
  const h1_conn_t *conn = &call->conn;
  const h1_head_t *head = &conn->head;
  uint32_t codings = h1_head_count (head, "transfer-encoding");
  bool has_length = h1_head_count (head, "content-length") > 0;
  if (codings > 1)
    return false;
  if (codings == 1)
    return !has_length
           && h1_name_is (htc_call_header (call, "transfer-encoding"),
                          "chunked");
  return !has_length || (conn->parser.flags & F_CONTENTLENGTH) != 0;
}

static void
call_on_head (h1_conn_t *conn)
{
  htc_call_t *call = (htc_call_t *)conn;
  int http_status = conn->parser.status_code;
  if (!is_head_valid (call))
    {
      call_end (call, HTC_END_INCOMPLETE);
      return;
    }
  call_restart_idle_timer (call);
  call->http_status = http_status;
  call->is_chunked = (conn->parser.flags & F_CHUNKED) != 0;
  call->is_close_delimited = h1_body_is_close_delimited (conn)
                             && http_status != HTTP_NO_CONTENT
                             && http_status != HTTP_NOT_MODIFIED;
  for (uint32_t i = 0; i < conn->head.field_count; i++)
    rso_search_add_field (&call->search, h1_field_name (&conn->head, i),
                          h1_field_value (&conn->head, i));
  call->events->on_head (call, http_status,
                         htc_call_header (call, "content-type"));
}

static void
call_on_conn_end (h1_conn_t *conn, h1_end_t end)
{
  call_end ((htc_call_t *)conn, HTC_END_INCOMPLETE);
}

/// The time limits of the call decide when it is given up, also while its peer
/// takes nothing of the request.
static void
call_drop_path_limits (const htc_call_t *call)
{
  int fd = call_fd (call);
  int off = 0;
  unsigned none_ms = 0;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &off, sizeof off);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &none_ms, sizeof none_ms);
}

static void
call_on_connect (h1_conn_t *conn, int status)
{
  htc_call_t *call = (htc_call_t *)conn;
  if (status == 0)
    {
      call_drop_path_limits (call);
      call->is_sent = h1_conn_write_message (conn, kb_buf_slice (&call->head),
                                             call->body);
    }
  call_drop_request (call);
  if (!call->is_sent)
    call_end (call, HTC_END_NOT_SENT);
}

static const h1_events_t conn_events = {
  .on_head = call_on_head,
  .on_body = call_on_body,
  .on_message = call_on_message,
  .on_end = call_on_conn_end,
  .on_connect = call_on_connect,
  .on_closed = call_on_closed,
};

/// @return  KB_OK, or KB_EUNAVAIL when no connection was attempted.
static kb_status_t
call_connect (htc_call_t *call, const char *address, uint16_t port)
{
  struct sockaddr_in peer;
  // No peer listens on port 0.
  if (uv_ip4_addr (address, port, &peer) != 0)
    peer = (struct sockaddr_in){ .sin_family = AF_INET };
  kb_status_t status = h1_conn_connect (&call->conn, call->client->loop, &peer,
                                        &conn_events, NULL);
  call->conn.max_header_bytes = MAX_RESPONSE_HEAD_BYTES;
  return status;
}

htc_call_t *
htc_call_start (htc_client_t *client, const htc_events_t *events, void *owner,
                const char *address, uint16_t port, const char *method,
                const char *path, const char *extra_headers, kb_slice_t body,
                uint64_t idle_timeout_ms)
{
  htc_call_t *call = kb_alloc (sizeof *call);
  call->events = events;
  call->owner = owner;
  call->client = client;
  call->idle_timeout_ms = idle_timeout_ms;
  rso_search_init (&call->search);
  kb_buf_printf (&call->head,
                 "%s %s HTTP/1.1\r\nhost: %s:%u\r\nconnection: close\r\n"
                 "content-length: %u\r\n%s\r\n",
                 method, path, address, port, body.len_bytes, extra_headers);
  if (body.len_bytes > 0)
    {
      call->body = kb_shared_create (NULL);
      kb_buf_append (&call->body->buf, body.ptr, body.len_bytes);
    }
  // The owner has not stored the call yet. The end is therefore reported from
  // the event loop.
  call->is_failed = call_connect (call, address, port) != KB_OK;
  if (call->is_failed)
    tmr_start_once (client->timers, &call->timer, 0, call_on_timeout, call);
  else
    call_restart_idle_timer (call);
  return call;
}

void
htc_call_limit_time (htc_call_t *call, uint64_t total_timeout_ms)
{
  call->ends_at_ms = uv_now (call->client->loop) + total_timeout_ms;
  if (!call->is_ended && !call->is_failed)
    call_restart_idle_timer (call);
}

void
htc_call_abort (htc_call_t *call)
{
  call->is_aborted = true;
}

void
htc_call_cancel (htc_call_t *call)
{
  if (!call->is_ended)
    call_close (call, true);
}
