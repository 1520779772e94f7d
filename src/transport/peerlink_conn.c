#include "transport/peerlink_conn.h"

#include <netinet/tcp.h>
#include <stdlib.h>

#include "protocol/msg.h"
#include "transport/metrics.h"

enum
{
  FRAME_LENGTH_BYTES = 4,
  /// A value in the store has at most 1 MB, and a message holds a few values.
  MAX_FRAME_BYTES = 8 << 20,
  /// Limit of the send queue of a peer that does not read. Messages over the
  /// limit are rejected: heartbeats and load reports are sent again anyway,
  /// and are useless to a peer that is this far behind.
  MAX_QUEUED_BYTES = 4 << 20,
  /// Timeout of connecting and of the hello frame together. Connections open
  /// within a few ms; a VM that lost power never answers.
  OPEN_TIMEOUT_MS = 1500,
  /// TCP_USER_TIMEOUT: the connection is closed if sent data is not
  /// acknowledged for this long. Without it, data queued for a peer that lost
  /// power is kept for minutes.
  USER_TIMEOUT_MS = 5000,
};

/// Start of the hello frame; the name follows.
static const char hello_prefix[] = "knapweedbay-peer/1 ";

enum
{
  MAX_HELLO_BYTES = sizeof hello_prefix + PLK_NAME_BYTES,
};

/// Bytes that the kernel did not accept immediately.
typedef struct
{
  uv_write_t request;
  char bytes[];
} plk_write_t;

static void
conn_on_closed (uv_handle_t *handle)
{
  plk_conn_t *conn = handle->data;
  kb_buf_finish (&conn->partial_frame);
  free (conn);
}

void
plk_conn_close (plk_conn_t *conn)
{
  plk_link_t *link = conn->link;
  if (conn->is_closing)
    return;
  conn->is_closing = true;
  tmr_cancel (link->timers, &conn->open_timer);
  uint64_t key = plk_name_key (kb_slice_str (conn->name));
  if (conn->name[0] != '\0' && kb_map_get (&link->peers, key) == conn)
    kb_map_remove (&link->peers, key);
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    link->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  link->accepted_count -= conn->is_accepted;
  if (conn->on_close != NULL)
    conn->on_close (conn);
  uv_close ((uv_handle_t *)&conn->tcp, conn_on_closed);
}

static void
conn_on_open_timeout (void *arg)
{
  plk_conn_close (arg);
}

plk_conn_t *
plk_conn_create (plk_link_t *link)
{
  plk_conn_t *conn = kb_alloc (sizeof *conn);
  *conn = (plk_conn_t){ .link = link,
                        .next = link->conns,
                        .read_ms = uv_now (link->loop) };
  if (link->conns != NULL)
    link->conns->prev = conn;
  link->conns = conn;
  uv_tcp_init (link->loop, &conn->tcp);
  conn->tcp.data = conn;
  tmr_start_once (link->timers, &conn->open_timer, OPEN_TIMEOUT_MS,
                  conn_on_open_timeout, conn);
  return conn;
}

/// @return  Whether `a` is closed rather than `b`.
static bool
conn_is_less_useful (const plk_conn_t *a, const plk_conn_t *b)
{
  bool is_known = a->name[0] != '\0';
  if (is_known != (b->name[0] != '\0'))
    return !is_known;
  return a->read_ms < b->read_ms;
}

static plk_conn_t *
find_least_useful (const plk_link_t *link)
{
  plk_conn_t *found = NULL;
  for (plk_conn_t *conn = link->conns; conn != NULL; conn = conn->next)
    if (conn->is_accepted
        && (found == NULL || conn_is_less_useful (conn, found)))
      found = conn;
  return found;
}

static plk_conn_t *
find_largest_frame (const plk_link_t *link)
{
  plk_conn_t *found = NULL;
  for (plk_conn_t *conn = link->conns; conn != NULL; conn = conn->next)
    if (conn->is_accepted
        && (found == NULL
            || conn->partial_frame.cap_bytes > found->partial_frame.cap_bytes))
      found = conn;
  return found;
}

static void
conn_drop (plk_conn_t *conn)
{
  MET_INC ("knapweedbay_inner_peers_dropped_total", "");
  plk_conn_close (conn);
  // Not within plk_conn_close: a frame of the buffer may be in use there.
  kb_buf_finish (&conn->partial_frame);
}

void
plk_conns_limit (plk_link_t *link)
{
  while (link->accepted_count > link->max_accepted)
    conn_drop (find_least_useful (link));
  while (link->partial_frames.held_bytes > link->partial_frames.limit_bytes)
    {
      plk_conn_t *largest = find_largest_frame (link);
      // Frames of connections that are closing are freed with them.
      if (largest == NULL)
        return;
      conn_drop (largest);
    }
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

void
plk_conn_set_name (plk_conn_t *conn, kb_slice_t name)
{
  plk_link_t *link = conn->link;
  kb_slice_copy (name, conn->name, sizeof conn->name);
  uint64_t key = plk_name_key (kb_slice_str (conn->name));
  plk_conn_t *previous = kb_map_get (&link->peers, key);
  kb_map_put (&link->peers, key, conn);
  if (previous != NULL)
    plk_conn_close (previous);
  tmr_cancel (link->timers, &conn->open_timer);
}

static void
write_done (uv_write_t *request, int status)
{
  plk_write_t *write = request->data;
  plk_conn_t *conn = request->handle->data;
  free (write);
  if (status != 0 && status != UV_ECANCELED)
    plk_conn_close (conn);
}

/// Sends or queues the bytes of a whole frame, in order.
static kb_status_t
conn_write (plk_conn_t *conn, kb_slice_t bytes)
{
  uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
  size_t queued_bytes = uv_stream_get_write_queue_size (stream);
  if (queued_bytes + bytes.len_bytes > MAX_QUEUED_BYTES + MAX_FRAME_BYTES
      || queued_bytes > MAX_QUEUED_BYTES)
    return KB_EUNAVAIL;
  int sent = 0;
  if (queued_bytes == 0)
    {
      uv_buf_t chunk = uv_buf_init ((char *)bytes.ptr, bytes.len_bytes);
      sent = uv_try_write (stream, &chunk, 1);
      if (sent < 0 && sent != UV_EAGAIN)
        return KB_EUNAVAIL;
      if (sent < 0)
        sent = 0;
    }
  uint32_t unsent_bytes = bytes.len_bytes - (uint32_t)sent;
  if (unsent_bytes == 0)
    return KB_OK;
  plk_write_t *write = kb_alloc (sizeof *write + unsent_bytes);
  memcpy (write->bytes, bytes.ptr + sent, unsent_bytes);
  write->request.data = write;
  uv_buf_t unsent = uv_buf_init (write->bytes, unsent_bytes);
  if (uv_write (&write->request, stream, &unsent, 1, write_done) == 0)
    return KB_OK;
  free (write);
  // Part of the frame may have been sent, so the stream cannot be continued.
  plk_conn_close (conn);
  return KB_EUNAVAIL;
}

/// Writes the frame length into the placeholder that frame_begin reserved.
static void
frame_end (kb_buf_t *out)
{
  size_t len_bytes = out->len_bytes - FRAME_LENGTH_BYTES;
  for (int i = 0; i < FRAME_LENGTH_BYTES; i++)
    out->ptr[i] = (char)(len_bytes >> (8 * i) & 0xFF);
}

static uint32_t
frame_read_length (const char *bytes)
{
  uint32_t len_bytes = 0;
  for (int i = 0; i < FRAME_LENGTH_BYTES; i++)
    len_bytes |= (uint32_t)(uint8_t)bytes[i] << (8 * i);
  return len_bytes;
}

/// Frees a buffer that grew for a large message.
static void
scratch_trim (kb_buf_t *scratch)
{
  if (scratch->cap_bytes > PLK_READ_BYTES)
    kb_buf_finish (scratch);
}

static void
frame_begin (kb_buf_t *out)
{
  static const char placeholder[FRAME_LENGTH_BYTES] = { 0 };
  kb_buf_clear (out);
  kb_buf_append (out, placeholder, sizeof placeholder);
}

/// Handles the first frame of a peer that connected.
static void
conn_receive_hello (plk_conn_t *conn, kb_slice_t frame)
{
  uint32_t prefix_bytes = sizeof hello_prefix - 1;
  bool is_hello = frame.len_bytes > prefix_bytes
                  && frame.len_bytes - prefix_bytes < PLK_NAME_BYTES
                  && memcmp (frame.ptr, hello_prefix, prefix_bytes) == 0;
  if (!is_hello)
    {
      MET_INC ("knapweedbay_inner_handshake_failures_total", "");
      plk_conn_close (conn);
      return;
    }
  plk_conn_set_name (conn, (kb_slice_t){ frame.ptr + prefix_bytes,
                                         frame.len_bytes - prefix_bytes });
}

static void
conn_receive_frame (plk_conn_t *conn, kb_slice_t frame)
{
  if (conn->name[0] == '\0')
    {
      conn_receive_hello (conn, frame);
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

/// Handles all complete frames. A message handler may close the connection.
/// @return  Number of bytes consumed.
static size_t
conn_parse_frames (plk_conn_t *conn, const char *bytes, size_t len_bytes)
{
  size_t offset = 0;
  while (!conn->is_closing && len_bytes - offset >= FRAME_LENGTH_BYTES)
    {
      uint32_t frame_bytes = frame_read_length (bytes + offset);
      uint32_t max_bytes
          = conn->name[0] == '\0' ? MAX_HELLO_BYTES : MAX_FRAME_BYTES;
      if (frame_bytes > max_bytes)
        {
          MET_INC ("knapweedbay_inner_dropped_total", "reason=\"too_long\"");
          plk_conn_close (conn);
          break;
        }
      if (len_bytes - offset - FRAME_LENGTH_BYTES < frame_bytes)
        break;
      kb_slice_t frame = { bytes + offset + FRAME_LENGTH_BYTES, frame_bytes };
      offset += FRAME_LENGTH_BYTES + frame_bytes;
      conn_receive_frame (conn, frame);
    }
  return offset;
}

static void
conn_receive_bytes (plk_conn_t *conn, const char *bytes, size_t len_bytes)
{
  if (conn->partial_frame.len_bytes == 0)
    {
      size_t consumed = conn_parse_frames (conn, bytes, len_bytes);
      if (!conn->is_closing && consumed < len_bytes)
        kb_buf_append (&conn->partial_frame, bytes + consumed,
                       len_bytes - consumed);
      return;
    }
  kb_buf_append (&conn->partial_frame, bytes, len_bytes);
  size_t consumed = conn_parse_frames (conn, conn->partial_frame.ptr,
                                       conn->partial_frame.len_bytes);
  if (conn->is_closing)
    return;
  kb_buf_consume (&conn->partial_frame, consumed);
  if (conn->partial_frame.len_bytes == 0)
    kb_buf_finish (&conn->partial_frame);
}

static void
read_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
  const plk_conn_t *conn = handle->data;
  *out = uv_buf_init (conn->link->read_buffer, PLK_READ_BYTES);
}

static void
read_done (uv_stream_t *stream, ssize_t nread, const uv_buf_t *buffer)
{
  plk_conn_t *conn = stream->data;
  if (nread < 0)
    plk_conn_close (conn);
  else if (nread > 0)
    {
      conn->read_ms = uv_now (conn->link->loop);
      conn_receive_bytes (conn, buffer->base, (size_t)nread);
      plk_conns_limit (conn->link);
    }
}

void
plk_conn_start_read (plk_conn_t *conn)
{
  conn_set_options (conn);
  uv_read_start ((uv_stream_t *)&conn->tcp, read_alloc, read_done);
}

kb_status_t
plk_conn_send_hello (plk_conn_t *conn)
{
  kb_buf_t *scratch = &conn->link->scratch;
  frame_begin (scratch);
  kb_buf_append_str (scratch, hello_prefix);
  kb_buf_append_str (scratch, conn->link->name);
  frame_end (scratch);
  return conn_write (conn, kb_buf_slice (scratch));
}

kb_status_t
plk_conn_send (plk_conn_t *conn, const msg_t *msg)
{
  kb_buf_t *scratch = &conn->link->scratch;
  frame_begin (scratch);
  msg_encode (msg, scratch);
  frame_end (scratch);
  kb_status_t status = KB_EUNAVAIL;
  if (scratch->len_bytes <= MAX_FRAME_BYTES)
    status = conn_write (conn, kb_buf_slice (scratch));
  scratch_trim (scratch);
  return status;
}
