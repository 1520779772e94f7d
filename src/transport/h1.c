#include "transport/h1.h"

#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

enum
{
  READ_BUFFER_BYTES = 65536,
  /// Answers that a peer has not taken, above which its next request waits.
  MAX_UNSENT_BYTES = 65536,
  /// A connection ends when sent data or probes stay unacknowledged for this
  /// long. Round trips take a few ms, and a few lost packets are retransmitted
  /// within 1 s.
  UNACKED_TIMEOUT_MS = 3000,
  KEEPALIVE_IDLE_S = 2,
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBES = 2,
  /// Receive buffers in the kernel, which otherwise grow to some MB for each
  /// connection that is not read. The kernel doubles these values.
  CALLER_RECEIVE_BYTES = 32768,
  TARGET_RECEIVE_BYTES = 32768,
};

/// Shared by all connections: there is one event loop on one thread, and each
/// read is consumed before the next.
static char read_buffer[READ_BUFFER_BYTES];

static const h1_field_t *
head_last_field (const h1_head_t *head)
{
  return &head->fields[head->field_count - 1];
}

static void
head_clear (h1_head_t *head)
{
  kb_buf_clear (&head->bytes);
  head->target_bytes = 0;
  head->field_count = 0;
  head->is_in_value = false;
  head->is_complete = false;
}

static void
conn_end (h1_conn_t *conn, h1_end_t end)
{
  if (conn->is_ended || conn->is_closing)
    return;
  conn->is_ended = true;
  h1_conn_pause (conn);
  conn->events->on_end (conn, end);
}

static int
parse_begin (http_parser *parser)
{
  h1_conn_t *conn = parser->data;
  head_clear (&conn->head);
  conn->is_in_message = true;
  conn->began_ms = uv_now (conn->tcp.loop);
  return 0;
}

static int
parse_target (http_parser *parser, const char *at, size_t len_bytes)
{
  h1_conn_t *conn = parser->data;
  kb_buf_append (&conn->head.bytes, at, len_bytes);
  conn->head.target_bytes += (uint32_t)len_bytes;
  return 0;
}

static int
parse_name (http_parser *parser, const char *at, size_t len_bytes)
{
  h1_head_t *head = &((h1_conn_t *)parser->data)->head;
  if (head->is_complete)
    return 0;
  if (head->is_in_value || head->field_count == 0)
    {
      if (head->field_count == H1_MAX_FIELDS)
        {
          ((h1_conn_t *)parser->data)->is_head_oversized = true;
          return -1;
        }
      head->fields[head->field_count++] = (h1_field_t){
        .name_offset = (uint32_t)head->bytes.len_bytes,
        .value_offset = (uint32_t)head->bytes.len_bytes,
      };
      head->is_in_value = false;
    }
  kb_buf_append (&head->bytes, at, len_bytes);
  h1_field_t *field = (h1_field_t *)head_last_field (head);
  field->name_bytes += (uint32_t)len_bytes;
  field->value_offset = (uint32_t)head->bytes.len_bytes;
  return 0;
}

static int
parse_value (http_parser *parser, const char *at, size_t len_bytes)
{
  h1_head_t *head = &((h1_conn_t *)parser->data)->head;
  if (head->is_complete)
    return 0;
  head->is_in_value = true;
  kb_buf_append (&head->bytes, at, len_bytes);
  ((h1_field_t *)head_last_field (head))->value_bytes += (uint32_t)len_bytes;
  return 0;
}

/// Compares the size of the head on the wire so far with the limit. Needed
/// because http_parser checks its own limit only at intervals.
static bool
head_is_too_long (const h1_conn_t *conn)
{
  enum
  {
    FIELD_OVERHEAD_BYTES = 4,       ///< ": " and CRLF.
    START_LINE_OVERHEAD_BYTES = 16, ///< Method, version, CRLF.
  };
  const h1_head_t *head = &conn->head;
  size_t wire_bytes = head->bytes.len_bytes
                      + FIELD_OVERHEAD_BYTES * (size_t)head->field_count
                      + START_LINE_OVERHEAD_BYTES;
  return conn->max_header_bytes > 0 && wire_bytes > conn->max_header_bytes;
}

/// @return  1 when the message has no body, as http_parser defines it.
static int
parse_head_end (http_parser *parser)
{
  h1_conn_t *conn = parser->data;
  // An interim response has no body, whatever its fields say.
  if (conn->is_client && parser->status_code >= 100
      && parser->status_code < 200)
    return 1;
  if (head_is_too_long (conn))
    {
      conn->is_head_oversized = true;
      return -1;
    }
  conn->head.is_complete = true;
  conn->events->on_head (conn);
  if (conn->is_closing || conn->is_ended)
    return -1;
  return conn->is_client && conn->is_head_method ? 1 : 0;
}

static int
parse_body (http_parser *parser, const char *at, size_t len_bytes)
{
  h1_conn_t *conn = parser->data;
  conn->events->on_body (conn, (kb_slice_t){ at, (uint32_t)len_bytes });
  return conn->is_closing || conn->is_ended ? -1 : 0;
}

static int
parse_message_end (http_parser *parser)
{
  h1_conn_t *conn = parser->data;
  if (conn->is_client && parser->status_code >= 100
      && parser->status_code < 200)
    return 0;
  conn->is_in_message = false;
  conn->is_message_complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parse_settings = {
  .on_message_begin = parse_begin,
  .on_url = parse_target,
  .on_header_field = parse_name,
  .on_header_value = parse_value,
  .on_headers_complete = parse_head_end,
  .on_body = parse_body,
  .on_message_complete = parse_message_end,
};

/// Check the head of a response as far as it has arrived.
/// @return  False when it is invalid; the connection has ended then.
static bool
conn_check_head (h1_conn_t *conn, const char *bytes, size_t len_bytes)
{
  if (!conn->is_client)
    return true;
  if (!conn->is_in_message)
    conn->check = (rsh_check_t){ 0 };
  if (rsh_check_feed (&conn->check,
                      (kb_slice_t){ bytes, (uint32_t)len_bytes }))
    return true;
  // A response has begun, though the parser has seen nothing of it.
  conn->is_in_message = true;
  conn_end (conn, H1_END_MALFORMED);
  return false;
}

/// Parse up to the end of a message.
/// @return  Number of bytes that were used.
static size_t
conn_parse (h1_conn_t *conn, const char *bytes, size_t len_bytes)
{
  if (!conn_check_head (conn, bytes, len_bytes))
    return len_bytes;
  size_t used
      = http_parser_execute (&conn->parser, &parse_settings, bytes, len_bytes);
  if (conn->is_closing || conn->is_ended)
    return used;
  if (conn->is_message_complete)
    {
      conn->surplus
          = (kb_slice_t){ bytes + used, (uint32_t)(len_bytes - used) };
      conn->events->on_message (conn);
      return used;
    }
  bool is_head_open = conn->is_in_message && !conn->head.is_complete;
  if (conn->is_head_oversized || (is_head_open && head_is_too_long (conn)))
    conn_end (conn, H1_END_HEADER_TOO_LARGE);
  else if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK
           || conn->parser.upgrade != 0)
    conn_end (conn, H1_END_MALFORMED);
  return used;
}

/// @return  Whether a peer takes too little of the answers to its earlier
///          requests for another one to be read.
static bool
conn_is_clogged (const h1_conn_t *conn)
{
  return !conn->is_client && !conn->is_message_complete
         && conn->unsent_bytes > MAX_UNSENT_BYTES;
}

static bool
conn_is_over (const h1_conn_t *conn)
{
  return conn->is_closing || conn->is_ended || conn->is_lingering;
}

/// Parse messages as long as the owner goes on with the next one at once. The
/// rest is buffered for h1_conn_next_message.
static void
conn_parse_all (h1_conn_t *conn, const char *bytes, size_t len_bytes)
{
  size_t at = 0;
  conn->is_parsing = true;
  while (at < len_bytes && !conn_is_over (conn) && !conn->is_message_complete
         && !conn_is_clogged (conn))
    at += conn_parse (conn, bytes + at, len_bytes - at);
  conn->is_parsing = false;
  if (conn_is_over (conn))
    return;
  if (at < len_bytes)
    kb_buf_append (&conn->pipelined, bytes + at, len_bytes - at);
  if (conn_is_clogged (conn))
    {
      conn->is_clogged = true;
      h1_conn_pause (conn);
    }
}

static void
conn_parse_pipelined (h1_conn_t *conn)
{
  kb_buf_t bytes;
  // The loop that called the owner parses the rest.
  if (conn->is_parsing)
    return;
  kb_buf_move (&conn->pipelined, &bytes);
  conn_parse_all (conn, bytes.ptr, bytes.len_bytes);
  kb_buf_finish (&bytes);
}

static void
conn_read_eof (h1_conn_t *conn)
{
  // A close-delimited response ends with the connection; executing the parser
  // with no bytes signals EOF, which completes the message.
  if (conn->is_in_message && !conn->is_message_complete)
    {
      http_parser_execute (&conn->parser, &parse_settings, NULL, 0);
      conn->surplus = (kb_slice_t){ 0 };
      if (conn->is_message_complete)
        conn->events->on_message (conn);
    }
  conn_end (conn, H1_END_EOF);
}

static void
conn_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  *buf = uv_buf_init (read_buffer, sizeof read_buffer);
}

/// @return  As recv of a byte that stays unread; -1 also without a socket.
static ssize_t
conn_peek (const h1_conn_t *conn)
{
  uv_os_fd_t fd;
  char byte;
  errno = 0;
  return uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
             ? recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT)
             : -1;
}

/// Distinguishes a reset from an orderly close. When a hang-up is polled
/// together with the last bytes, libuv reports EOF even if the hang-up was a
/// reset. A close-delimited response whose sender crashed would then look
/// complete. A read from the socket still returns the pending error instead of
/// zero bytes.
static bool
conn_has_pending_error (const h1_conn_t *conn)
{
  return conn_peek (conn) != 0;
}

/// Handle what a read returned.
static void
conn_handle_read (h1_conn_t *conn, ssize_t nread, const uv_buf_t *buf)
{
  bool is_reset
      = nread < 0 && (nread != UV_EOF || conn_has_pending_error (conn));
  if (is_reset)
    conn_end (conn, H1_END_RESET);
  else if (nread < 0)
    conn_read_eof (conn);
  else if (nread > 0 && conn->is_lingering)
    return;
  else if (nread > 0 && conn->is_message_complete)
    {
      kb_buf_append (&conn->pipelined, buf->base, (size_t)nread);
      if (conn->is_client
          || conn->pipelined.len_bytes > H1_MAX_PIPELINED_BYTES)
        conn_end (conn, H1_END_MALFORMED);
    }
  else if (nread > 0)
    conn_parse_all (conn, buf->base, (size_t)nread);
}

/// @return  Whether reading waits for its turn. A peer whose request is in
///          progress does not wait: it can bring H1_MAX_PIPELINED_BYTES at
///          most, and its close has to be seen at once.
static bool
conn_must_wait (const h1_conn_t *conn, uint64_t now_ms)
{
  bool is_request_open = !conn->is_client && conn->is_message_complete;
  return !is_request_open && blk_reader_must_wait (&conn->reader, now_ms);
}

static void
conn_read (uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
  h1_conn_t *conn = stream->data;
  uint64_t now_ms = uv_now (stream->loop);
  if (conn->bulk != NULL && nread > 0)
    blk_reader_record (&conn->reader, (size_t)nread, now_ms);
  conn_handle_read (conn, nread, buf);
  if (conn->account != NULL && conn->events->on_over_limit != NULL
      && conn->account->held_bytes > conn->account->limit_bytes)
    conn->events->on_over_limit (conn);
  // The callbacks may have paused or closed it, or let it wait already.
  if (!conn->is_reading || conn->reader.queue != NULL
      || !conn_must_wait (conn, now_ms))
    return;
  uv_read_stop (stream);
  blk_reader_wait (&conn->reader, conn->bulk);
}

static void
conn_start_reading (h1_conn_t *conn)
{
  uv_read_start ((uv_stream_t *)&conn->tcp, conn_alloc, conn_read);
}

static void
conn_on_turn (blk_reader_t *reader)
{
  conn_start_reading (
      (h1_conn_t *)((char *)reader - offsetof (h1_conn_t, reader)));
}

void
h1_conn_share_loop (h1_conn_t *conn, blk_queue_t *bulk)
{
  conn->bulk = bulk;
  conn->reader.on_turn = conn_on_turn;
}

void
h1_conn_set_account (h1_conn_t *conn, kb_account_t *account)
{
  conn->account = account;
  kb_buf_set_account (&conn->head.bytes, account);
  kb_buf_set_account (&conn->pipelined, account);
  kb_buf_set_account (&conn->queued, account);
}

size_t
h1_conn_held_bytes (const h1_conn_t *conn)
{
  // The queued bytes are a part of the unsent ones.
  size_t in_write_bytes = conn->unsent_bytes - conn->queued.len_bytes;
  return conn->head.bytes.cap_bytes + conn->pipelined.cap_bytes
         + conn->queued.cap_bytes + in_write_bytes;
}

prs_presence_t
h1_conn_query_peer (const h1_conn_t *conn)
{
  uv_os_fd_t fd;
  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    fd = -1;
  return prs_query (fd);
}

bool
h1_conn_has_unread (const h1_conn_t *conn)
{
  return conn_peek (conn) > 0;
}

bool
h1_conn_is_quiet (const h1_conn_t *conn)
{
  return conn_peek (conn) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
h1_conn_pause (h1_conn_t *conn)
{
  if (!conn->is_reading)
    return;
  conn->is_reading = false;
  if (conn->reader.queue != NULL)
    blk_reader_cancel (&conn->reader);
  else
    uv_read_stop ((uv_stream_t *)&conn->tcp);
}

void
h1_conn_resume (h1_conn_t *conn)
{
  if (conn->is_reading || conn->is_closing || conn->is_ended)
    return;
  conn->is_reading = true;
  if (conn_must_wait (conn, uv_now (conn->tcp.loop)))
    blk_reader_wait (&conn->reader, conn->bulk);
  else
    conn_start_reading (conn);
}

/// A network path can fail without any error on the socket. Keep-alive probes
/// and a limit on unacknowledged data end such a connection within about 4 s.
static void
conn_set_options (h1_conn_t *conn)
{
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_os_fd_t fd;
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0)
    return;
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  unsigned timeout_ms = UNACKED_TIMEOUT_MS;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

/// The window that a connection starts with depends on the buffer at that
/// time: a smaller buffer later does not take back what was offered.
static void
socket_set_receive_bytes (const uv_tcp_t *socket, int receive_bytes)
{
  uv_os_fd_t fd;
  if (uv_fileno ((const uv_handle_t *)socket, &fd) == 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
}

static void
conn_init (h1_conn_t *conn, uv_loop_t *loop, const h1_events_t *events,
           void *owner, bool is_client)
{
  *conn = (h1_conn_t){ .events = events,
                       .owner = owner,
                       .is_client = is_client };
  // A client has its socket before it connects, where one is to be had.
  if (!is_client || uv_tcp_init_ex (loop, &conn->tcp, AF_INET) != 0)
    uv_tcp_init (loop, &conn->tcp);
  conn->tcp.data = conn;
  http_parser_init (&conn->parser, is_client ? HTTP_RESPONSE : HTTP_REQUEST);
  conn->parser.data = conn;
}

int
h1_bind (uv_tcp_t *socket, const struct sockaddr_in *address)
{
  int code = uv_tcp_bind (socket, (const struct sockaddr *)address, 0);
  // Accepted connections have the buffer of their listener.
  if (code == 0)
    socket_set_receive_bytes (socket, CALLER_RECEIVE_BYTES);
  return code;
}

kb_status_t
h1_listen (uv_loop_t *loop, uv_tcp_t *listener,
           const struct sockaddr_in *address, int backlog,
           uv_connection_cb on_connection, void *data, kb_error_t *error)
{
  uv_tcp_init (loop, listener);
  listener->data = data;
  int code = h1_bind (listener, address);
  if (code == 0)
    code = uv_listen ((uv_stream_t *)listener, backlog, on_connection);
  if (code == 0)
    return KB_OK;
  char ip[INET_ADDRSTRLEN];
  uv_ip4_name (address, ip, sizeof ip);
  return kb_error_set (error, KB_ESYS, "cannot listen on %s:%d: %s", ip,
                       (int)ntohs (address->sin_port), uv_strerror (code));
}

kb_status_t
h1_conn_accept (h1_conn_t *conn, uv_loop_t *loop, uv_stream_t *listener,
                const h1_events_t *events, void *owner,
                uint32_t max_header_bytes)
{
  conn_init (conn, loop, events, owner, false);
  conn->max_header_bytes = max_header_bytes;
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0)
    return KB_ESYS;
  conn_set_options (conn);
  h1_conn_resume (conn);
  return KB_OK;
}

static void
conn_connected (uv_connect_t *connect, int status)
{
  h1_conn_t *conn = connect->data;
  if (conn->is_closing)
    return;
  if (status == 0)
    {
      conn_set_options (conn);
      h1_conn_resume (conn);
    }
  conn->events->on_connect (conn, status);
}

kb_status_t
h1_conn_connect (h1_conn_t *conn, uv_loop_t *loop,
                 const struct sockaddr_in *address, const h1_events_t *events,
                 void *owner)
{
  conn_init (conn, loop, events, owner, true);
  socket_set_receive_bytes (&conn->tcp, TARGET_RECEIVE_BYTES);
  conn->connect.data = conn;
  int code = uv_tcp_connect (&conn->connect, &conn->tcp,
                             (const struct sockaddr *)address, conn_connected);
  return code == 0 ? KB_OK : KB_EUNAVAIL;
}

typedef struct
{
  uv_write_t req;
  h1_conn_t *conn;
  kb_buf_t bytes;
  kb_shared_t *body; ///< After `bytes`; NULL: none.
  size_t unsent_bytes;
} h1_write_t;

static void conn_write_queued (h1_conn_t *conn);

static void
write_free (h1_write_t *write)
{
  kb_buf_finish (&write->bytes);
  kb_shared_unref (write->body);
  free (write);
}

/// All queued bytes were handed to the kernel.
static void
conn_drained (h1_conn_t *conn)
{
  if (conn->events->on_drained != NULL)
    conn->events->on_drained (conn);
  if (!conn->is_clogged || conn_is_over (conn))
    return;
  conn->is_clogged = false;
  h1_conn_resume (conn);
  conn_parse_pipelined (conn);
}

static void
conn_written (uv_write_t *req, int status)
{
  h1_write_t *write = (h1_write_t *)req;
  h1_conn_t *conn = write->conn;
  conn->unsent_bytes -= write->unsent_bytes;
  conn->is_writing = false;
  write_free (write);
  if (conn->is_closing)
    return;
  if (status != 0)
    conn_end (conn, H1_END_RESET);
  else if (conn->queued.len_bytes > 0)
    conn_write_queued (conn);
  else if (conn->unsent_bytes == 0)
    conn_drained (conn);
}

static void
conn_submit (h1_conn_t *conn, h1_write_t *write, const uv_buf_t *bufs,
             unsigned count)
{
  conn->is_writing = uv_write (&write->req, (uv_stream_t *)&conn->tcp, bufs,
                               count, conn_written)
                     == 0;
  if (conn->is_writing)
    return;
  conn->unsent_bytes -= write->unsent_bytes;
  write_free (write);
}

/// Hand all queued bytes to libuv as one write.
static void
conn_write_queued (h1_conn_t *conn)
{
  if (conn->queued.len_bytes == 0)
    return;
  h1_write_t *write = kb_alloc (sizeof *write);
  write->conn = conn;
  kb_buf_move (&conn->queued, &write->bytes);
  write->unsent_bytes = write->bytes.len_bytes;
  uv_buf_t buf
      = uv_buf_init (write->bytes.ptr, (unsigned)write->bytes.len_bytes);
  conn_submit (conn, write, &buf, 1);
}

bool
h1_conn_write (h1_conn_t *conn, const void *bytes, size_t len_bytes)
{
  if (conn->is_closing || len_bytes == 0)
    return !conn->is_closing;
  size_t done = 0;
  if (conn->unsent_bytes == 0)
    {
      uv_buf_t buf = uv_buf_init ((char *)bytes, (unsigned)len_bytes);
      int nwritten = uv_try_write ((uv_stream_t *)&conn->tcp, &buf, 1);
      if (nwritten > 0)
        done = (size_t)nwritten;
      else if (nwritten != UV_EAGAIN && nwritten < 0)
        return false;
    }
  if (done == len_bytes)
    return true;
  // Many small writes to a slow peer are queued as one.
  kb_buf_append (&conn->queued, (const char *)bytes + done, len_bytes - done);
  conn->unsent_bytes += len_bytes - done;
  if (!conn->is_writing)
    conn_write_queued (conn);
  return conn->unsent_bytes > 0;
}

bool
h1_conn_write_message (h1_conn_t *conn, kb_slice_t head, kb_shared_t *body)
{
  assert (conn->unsent_bytes == 0);
  if (conn->is_closing)
    return false;
  size_t body_bytes = body == NULL ? 0 : body->buf.len_bytes;
  unsigned count = body_bytes > 0 ? 2 : 1;
  uv_buf_t bufs[2] = { uv_buf_init ((char *)head.ptr, head.len_bytes) };
  if (count > 1)
    bufs[1] = uv_buf_init (body->buf.ptr, (unsigned)body_bytes);
  int nwritten = uv_try_write ((uv_stream_t *)&conn->tcp, bufs, count);
  if (nwritten < 0 && nwritten != UV_EAGAIN)
    return false;
  size_t done = nwritten < 0 ? 0 : (size_t)nwritten;
  if (done == head.len_bytes + body_bytes)
    return true;
  h1_write_t *write = kb_alloc (sizeof *write);
  write->conn = conn;
  write->unsent_bytes = head.len_bytes + body_bytes - done;
  conn->unsent_bytes = write->unsent_bytes;
  if (count > 1)
    write->body = kb_shared_ref (body);
  size_t head_done = done < head.len_bytes ? done : head.len_bytes;
  kb_buf_append (&write->bytes, head.ptr + head_done,
                 head.len_bytes - head_done);
  bufs[0] = uv_buf_init (write->bytes.ptr, (unsigned)write->bytes.len_bytes);
  if (count > 1)
    {
      bufs[1].base += done - head_done;
      bufs[1].len -= done - head_done;
    }
  conn_submit (conn, write, bufs, count);
  return conn->is_writing || done > 0;
}

bool
h1_conn_write_chunk (h1_conn_t *conn, kb_slice_t bytes)
{
  if (bytes.len_bytes == 0)
    return true;
  // Size line, data and CRLF go in one write: each write costs a system call
  // and a packet.
  static const char line_end[2] = { '\r', '\n' };
  char head[16];
  int head_bytes = snprintf (head, sizeof head, "%x\r\n", bytes.len_bytes);
  size_t total = (size_t)head_bytes + bytes.len_bytes + sizeof line_end;
  char small[4096];
  char *out = total <= sizeof small ? small : kb_alloc (total);
  memcpy (out, head, (size_t)head_bytes);
  memcpy (out + head_bytes, bytes.ptr, bytes.len_bytes);
  memcpy (out + total - sizeof line_end, line_end, sizeof line_end);
  bool is_queued = h1_conn_write (conn, out, total);
  if (out != small)
    free (out);
  return is_queued;
}

void
h1_conn_hold (h1_conn_t *conn)
{
  conn->is_message_complete = true;
}

void
h1_conn_next_message (h1_conn_t *conn)
{
  if (conn->is_closing || conn->is_ended || !conn->is_message_complete)
    return;
  conn->is_message_complete = false;
  http_parser_pause (&conn->parser, 0);
  conn_parse_pipelined (conn);
}

static void
linger_shutdown_done (uv_shutdown_t *req, int status)
{
  free (req);
}

void
h1_conn_linger (h1_conn_t *conn)
{
  if (conn->is_closing || conn->is_lingering)
    return;
  conn->is_lingering = true;
  conn->is_ended = false;
  kb_buf_finish (&conn->pipelined);
  conn_write_queued (conn);
  uv_shutdown_t *req = kb_alloc (sizeof *req);
  if (uv_shutdown (req, (uv_stream_t *)&conn->tcp, linger_shutdown_done) != 0)
    free (req);
  h1_conn_resume (conn);
}

static void
conn_closed (uv_handle_t *handle)
{
  h1_conn_t *conn = handle->data;
  kb_buf_finish (&conn->head.bytes);
  kb_buf_finish (&conn->pipelined);
  kb_buf_finish (&conn->queued);
  conn->events->on_closed (conn);
}

static void
close_shutdown_done (uv_shutdown_t *req, int status)
{
  uv_handle_t *handle = (uv_handle_t *)req->handle;
  free (req);
  if (!uv_is_closing (handle))
    uv_close (handle, conn_closed);
}

void
h1_conn_close (h1_conn_t *conn, bool is_abort)
{
  if (conn->is_closing)
    return;
  h1_conn_pause (conn);
  conn->is_closing = true;
  if (is_abort)
    {
      if (uv_tcp_close_reset (&conn->tcp, conn_closed) != 0)
        uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
      return;
    }
  conn_write_queued (conn);
  if (conn->unsent_bytes > 0)
    {
      uv_shutdown_t *req = kb_alloc (sizeof *req);
      if (uv_shutdown (req, (uv_stream_t *)&conn->tcp, close_shutdown_done)
          == 0)
        return;
      free (req);
    }
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
}
