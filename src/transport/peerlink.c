#include "transport/peerlink.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/msg.h"
#include "transport/h1.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  READ_BYTES = 65536,
  LENGTH_BYTES = 4,
  /// Values of the store have 1 MB at most; a message holds a few of them.
  FRAME_MOST_BYTES = 8 << 20,
  /// What may wait for a peer that does not read. Heartbeats and loads are
  /// said again; a peer that is this far behind is better off without.
  QUEUE_MOST_BYTES = 4 << 20,
  BACKLOG = 512,
  RETRY_FIRST_MS = 50,
  RETRY_MOST_MS = 1000,
  /// Connecting, and the first frame: links take a few ms, and a VM without
  /// power never answers.
  OPEN_TIMEOUT_MS = 1500,
  /// Sent bytes that are not acknowledged for this long end the connection.
  /// Without it what waits for a peer that lost power is kept for minutes.
  USER_TIMEOUT_MS = 5000,
};

/// Begins the first frame; the name follows.
static const char hello_mark[] = "knapweedbay-peer/1 ";

/// An address that is kept connected.
typedef struct
{
  plk_link_t *link;
  char address[PLK_NAME_BYTES];
  struct sockaddr_in to;
  plk_conn_t *conn; ///< NULL: waits for its next try.
  uint64_t retry_ms;
  tmr_sub_t timer;
} plk_dial_t;

struct plk_conn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  plk_link_t *link;
  plk_conn_t *next;
  plk_conn_t *prev;
  plk_dial_t *dial; ///< NULL: the peer made it.
  char name[PLK_NAME_BYTES];
  kb_buf_t ahead; ///< A part of a frame.
  tmr_sub_t open_timer;
  bool is_ended;
};

/// Bytes that the system did not take at once.
typedef struct
{
  uv_write_t request;
  char bytes[];
} plk_write_t;

static void dial_try (void *arg);

static uint64_t
name_key (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

static void
conn_on_closed (uv_handle_t *handle)
{
  plk_conn_t *conn = handle->data;
  kb_buf_finish (&conn->ahead);
  free (conn);
}

/// Close a connection; its address is tried again.
static void
conn_end (plk_conn_t *conn)
{
  plk_link_t *link = conn->link;
  if (conn->is_ended)
    return;
  conn->is_ended = true;
  tmr_cancel (link->timers, &conn->open_timer);
  uint64_t key = name_key (kb_slice_str (conn->name));
  if (conn->name[0] != '\0' && kb_map_get (&link->peers, key) == conn)
    kb_map_remove (&link->peers, key);
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    link->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  plk_dial_t *dial = conn->dial;
  if (dial != NULL)
    {
      dial->conn = NULL;
      tmr_after (link->timers, &dial->timer, dial->retry_ms, dial_try, dial);
      dial->retry_ms *= 2;
      if (dial->retry_ms > RETRY_MOST_MS)
        dial->retry_ms = RETRY_MOST_MS;
    }
  uv_close ((uv_handle_t *)&conn->tcp, conn_on_closed);
}

static void
conn_open_late (void *arg)
{
  conn_end (arg);
}

static plk_conn_t *
conn_add (plk_link_t *link, plk_dial_t *dial)
{
  plk_conn_t *conn = kb_alloc (sizeof *conn);
  *conn = (plk_conn_t){ .link = link, .dial = dial, .next = link->conns };
  if (link->conns != NULL)
    link->conns->prev = conn;
  link->conns = conn;
  uv_tcp_init (link->loop, &conn->tcp);
  conn->tcp.data = conn;
  tmr_after (link->timers, &conn->open_timer, OPEN_TIMEOUT_MS, conn_open_late,
             conn);
  return conn;
}

static void
conn_set_options (plk_conn_t *conn)
{
  uv_os_fd_t fd;
  unsigned timeout_ms = USER_TIMEOUT_MS;
  uv_tcp_nodelay (&conn->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                sizeof timeout_ms);
}

/// From now on messages to this name take this connection. A peer that was
/// restarted comes back under its name before the old connection is known to
/// be dead.
static void
conn_set_name (plk_conn_t *conn, kb_slice_t name)
{
  plk_link_t *link = conn->link;
  kb_slice_copy (name, conn->name, sizeof conn->name);
  uint64_t key = name_key (kb_slice_str (conn->name));
  plk_conn_t *older = kb_map_get (&link->peers, key);
  kb_map_put (&link->peers, key, conn);
  if (older != NULL)
    conn_end (older);
  tmr_cancel (link->timers, &conn->open_timer);
}

static void
write_done (uv_write_t *request, int status)
{
  plk_write_t *write = request->data;
  plk_conn_t *conn = request->handle->data;
  free (write);
  if (status != 0 && status != UV_ECANCELED)
    conn_end (conn);
}

/// Send bytes that must stay in one piece and in order.
static kb_status_t
conn_write (plk_conn_t *conn, kb_slice_t bytes)
{
  uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
  size_t queued_bytes = uv_stream_get_write_queue_size (stream);
  if (queued_bytes + bytes.len_bytes > QUEUE_MOST_BYTES + FRAME_MOST_BYTES
      || queued_bytes > QUEUE_MOST_BYTES)
    return KB_EUNAVAIL;
  int sent = 0;
  if (queued_bytes == 0)
    {
      uv_buf_t now = uv_buf_init ((char *)bytes.ptr, bytes.len_bytes);
      sent = uv_try_write (stream, &now, 1);
      if (sent < 0 && sent != UV_EAGAIN)
        return KB_EUNAVAIL;
      if (sent < 0)
        sent = 0;
    }
  uint32_t left_bytes = bytes.len_bytes - (uint32_t)sent;
  if (left_bytes == 0)
    return KB_OK;
  plk_write_t *write = kb_alloc (sizeof *write + left_bytes);
  memcpy (write->bytes, bytes.ptr + sent, left_bytes);
  write->request.data = write;
  uv_buf_t rest = uv_buf_init (write->bytes, left_bytes);
  if (uv_write (&write->request, stream, &rest, 1, write_done) == 0)
    return KB_OK;
  free (write);
  // A part of the frame may be out: nothing good can follow it.
  conn_end (conn);
  return KB_EUNAVAIL;
}

static void
put_length (kb_buf_t *out, size_t len_bytes)
{
  for (int i = 0; i < LENGTH_BYTES; i++)
    out->ptr[i] = (char)(len_bytes >> (8 * i) & 0xFF);
}

static uint32_t
get_length (const char *bytes)
{
  uint32_t len_bytes = 0;
  for (int i = 0; i < LENGTH_BYTES; i++)
    len_bytes |= (uint32_t)(uint8_t)bytes[i] << (8 * i);
  return len_bytes;
}

/// A buffer that grew for a large message is given back.
static void
scratch_trim (kb_buf_t *scratch)
{
  if (scratch->cap_bytes > READ_BYTES)
    kb_buf_finish (scratch);
}

static void
frame_begin (kb_buf_t *out)
{
  static const char room[LENGTH_BYTES] = { 0 };
  kb_buf_clear (out);
  kb_buf_append (out, room, sizeof room);
}

/// The first frame of a peer that connected.
static void
take_hello (plk_conn_t *conn, kb_slice_t frame)
{
  uint32_t mark_bytes = sizeof hello_mark - 1;
  bool is_hello = frame.len_bytes > mark_bytes
                  && frame.len_bytes - mark_bytes < PLK_NAME_BYTES
                  && memcmp (frame.ptr, hello_mark, mark_bytes) == 0;
  if (!is_hello)
    {
      MET_INC ("knapweedbay_inner_handshake_failures_total", "");
      conn_end (conn);
      return;
    }
  conn_set_name (conn, (kb_slice_t){ frame.ptr + mark_bytes,
                                     frame.len_bytes - mark_bytes });
}

static void
take_frame (plk_conn_t *conn, kb_slice_t frame)
{
  if (conn->name[0] == '\0')
    {
      take_hello (conn, frame);
      return;
    }
  msg_t msg;
  switch (msg_decode (frame, &msg))
    {
    case KB_OK:
      MET_INC ("knapweedbay_inner_received_total", "");
      conn->link->events->on_message (conn->link, kb_slice_str (conn->name),
                                      &msg);
      break;
    case KB_ELIMIT:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"newer_version\"");
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
      break;
    }
}

/// Take all whole frames.
/// @return  How many bytes were taken. A message may end the connection.
static size_t
take_frames (plk_conn_t *conn, const char *bytes, size_t len_bytes)
{
  size_t at = 0;
  while (!conn->is_ended && len_bytes - at >= LENGTH_BYTES)
    {
      uint32_t frame_bytes = get_length (bytes + at);
      if (frame_bytes > FRAME_MOST_BYTES)
        {
          MET_INC ("knapweedbay_inner_dropped_total", "reason=\"too_long\"");
          conn_end (conn);
          break;
        }
      if (len_bytes - at - LENGTH_BYTES < frame_bytes)
        break;
      kb_slice_t frame = { bytes + at + LENGTH_BYTES, frame_bytes };
      at += LENGTH_BYTES + frame_bytes;
      take_frame (conn, frame);
    }
  return at;
}

static void
conn_take (plk_conn_t *conn, const char *bytes, size_t len_bytes)
{
  if (conn->ahead.len_bytes == 0)
    {
      size_t taken = take_frames (conn, bytes, len_bytes);
      if (!conn->is_ended && taken < len_bytes)
        kb_buf_append (&conn->ahead, bytes + taken, len_bytes - taken);
      return;
    }
  kb_buf_append (&conn->ahead, bytes, len_bytes);
  size_t taken = take_frames (conn, conn->ahead.ptr, conn->ahead.len_bytes);
  if (conn->is_ended)
    return;
  kb_buf_consume (&conn->ahead, taken);
  if (conn->ahead.len_bytes == 0)
    kb_buf_finish (&conn->ahead);
}

static void
read_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
  const plk_conn_t *conn = handle->data;
  *out = uv_buf_init (conn->link->read_buffer, READ_BYTES);
}

static void
read_done (uv_stream_t *stream, ssize_t got, const uv_buf_t *buffer)
{
  plk_conn_t *conn = stream->data;
  if (got < 0)
    conn_end (conn);
  else if (got > 0)
    conn_take (conn, buffer->base, (size_t)got);
}

static void
conn_begin (plk_conn_t *conn)
{
  conn_set_options (conn);
  uv_read_start ((uv_stream_t *)&conn->tcp, read_alloc, read_done);
}

static void
listener_on_connection (uv_stream_t *listener, int status)
{
  plk_link_t *link = listener->data;
  if (status != 0)
    return;
  plk_conn_t *conn = conn_add (link, NULL);
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) == 0)
    conn_begin (conn);
  else
    conn_end (conn);
}

static void
dial_on_connect (uv_connect_t *request, int status)
{
  plk_conn_t *conn = request->data;
  plk_link_t *link = conn->link;
  if (conn->is_ended)
    return;
  if (status != 0)
    {
      conn_end (conn);
      return;
    }
  conn->dial->retry_ms = RETRY_FIRST_MS;
  conn_begin (conn);
  frame_begin (&link->scratch);
  kb_buf_append_str (&link->scratch, hello_mark);
  kb_buf_append_str (&link->scratch, link->name);
  put_length (&link->scratch, link->scratch.len_bytes - LENGTH_BYTES);
  if (conn_write (conn, kb_buf_slice (&link->scratch)) == KB_OK)
    conn_set_name (conn, kb_slice_str (conn->dial->address));
  else
    conn_end (conn);
}

static void
dial_try (void *arg)
{
  plk_dial_t *dial = arg;
  plk_conn_t *conn = conn_add (dial->link, dial);
  dial->conn = conn;
  conn->connect.data = conn;
  if (uv_tcp_connect (&conn->connect, &conn->tcp,
                      (const struct sockaddr *)&dial->to, dial_on_connect)
      != 0)
    conn_end (conn);
}

void
plk_link_init (plk_link_t *link, uv_loop_t *loop, tmr_service_t *timers,
               const plk_events_t *events, void *owner, const char *name)
{
  *link = (plk_link_t){ .events = events,
                        .owner = owner,
                        .loop = loop,
                        .timers = timers,
                        .read_buffer = kb_alloc (READ_BYTES) };
  snprintf (link->name, sizeof link->name, "%s", name);
}

static void
dial_free (plk_dial_t *dial)
{
  plk_conn_t *conn = dial->conn;
  if (conn != NULL)
    {
      conn->dial = NULL;
      conn_end (conn);
    }
  tmr_cancel (dial->link->timers, &dial->timer);
  free (dial);
}

void
plk_link_finish (plk_link_t *link)
{
  uint32_t at = 0;
  for (plk_dial_t *dial = kb_map_next (&link->dials, &at); dial != NULL;
       dial = kb_map_next (&link->dials, &at))
    dial_free (dial);
  kb_map_finish (&link->dials);
  while (link->conns != NULL)
    conn_end (link->conns);
  kb_map_finish (&link->peers);
  if (link->is_listening)
    uv_close ((uv_handle_t *)&link->listener, NULL);
  free (link->read_buffer);
  kb_buf_finish (&link->scratch);
}

kb_status_t
plk_link_bind (plk_link_t *link, const char *address, uint16_t *port,
               kb_error_t *error)
{
  struct sockaddr_in at;
  if (uv_ip4_addr (address, *port, &at) != 0)
    return kb_error_set (error, KB_EINVAL, "\"%s\" is no IP number", address);
  uv_tcp_init (link->loop, &link->listener);
  link->listener.data = link;
  link->is_listening = true;
  int failed = uv_tcp_bind (&link->listener, (const struct sockaddr *)&at, 0);
  if (failed == 0)
    failed = uv_listen ((uv_stream_t *)&link->listener, BACKLOG,
                        listener_on_connection);
  int size = sizeof at;
  if (failed == 0)
    failed
        = uv_tcp_getsockname (&link->listener, (struct sockaddr *)&at, &size);
  if (failed != 0)
    return kb_error_set (error, KB_ESYS, "cannot listen on %s:%u: %s", address,
                         *port, uv_strerror (failed));
  *port = ntohs (at.sin_port);
  return KB_OK;
}

kb_status_t
plk_link_connect (plk_link_t *link, const char *address)
{
  uint64_t key = name_key (kb_slice_str (address));
  struct sockaddr_in to;
  if (strlen (address) >= PLK_NAME_BYTES
      || h1_parse_address (kb_slice_str (address), &to) != KB_OK)
    return KB_EINVAL;
  if (kb_map_get (&link->dials, key) != NULL)
    return KB_OK;
  plk_dial_t *dial = kb_alloc (sizeof *dial);
  *dial = (plk_dial_t){ .link = link, .to = to, .retry_ms = RETRY_FIRST_MS };
  snprintf (dial->address, sizeof dial->address, "%s", address);
  kb_map_put (&link->dials, key, dial);
  dial_try (dial);
  return KB_OK;
}

void
plk_link_disconnect (plk_link_t *link, const char *address)
{
  plk_dial_t *dial
      = kb_map_remove (&link->dials, name_key (kb_slice_str (address)));
  if (dial != NULL)
    dial_free (dial);
}

kb_status_t
plk_link_send (plk_link_t *link, kb_slice_t peer, const msg_t *msg)
{
  plk_conn_t *conn = kb_map_get (&link->peers, name_key (peer));
  kb_status_t status = KB_EUNAVAIL;
  if (conn != NULL)
    {
      frame_begin (&link->scratch);
      msg_encode (msg, &link->scratch);
      size_t len_bytes = link->scratch.len_bytes - LENGTH_BYTES;
      put_length (&link->scratch, len_bytes);
      if (len_bytes <= FRAME_MOST_BYTES)
        status = conn_write (conn, kb_buf_slice (&link->scratch));
      scratch_trim (&link->scratch);
    }
  if (status != KB_OK)
    MET_INC ("knapweedbay_inner_unsent_total", "");
  return status;
}
