/// @file h1.h
/// HTTP/1.1 messages on one libuv TCP connection, for both sides. The parser
/// is http_parser; this module adds the strictness that a relay needs, owns
/// the socket, and passes bodies on as they arrive. h2o hands request bodies
/// over whole and hides a caller that hung up; a relay needs both.
#ifndef KB_TRANSPORT_H1_H
#define KB_TRANSPORT_H1_H

#include <http_parser.h>
#include <uv.h>

#include "state/buf.h"
#include "state/status.h"

enum
{
  H1_MAX_FIELDS = 96,
  /// Bytes accepted pipelined of their turn while a request is in progress.
  H1_MAX_PIPELINED_BYTES = 65536,
};

typedef struct h1_conn h1_conn_t;

/// One header field; offsets into h1_head_t.bytes.
typedef struct
{
  uint32_t name_offset;
  uint32_t name_bytes;
  uint32_t value_offset;
  uint32_t value_bytes;
} h1_field_t;

/// Start line and fields of a message.
typedef struct
{
  kb_buf_t bytes;
  uint32_t target_bytes; ///< The request target stands first in `bytes`.
  h1_field_t fields[H1_MAX_FIELDS];
  uint32_t field_count;
  bool is_in_value; ///< The last piece read belonged to a value.
  bool is_complete; ///< Complete; fields behind a chunked body are ignored.
} h1_head_t;

/// Why a connection ended.
typedef enum
{
  H1_END_EOF,       ///< The peer closed in order.
  H1_END_RESET,     ///< Reset, or no longer reachable.
  H1_END_MALFORMED, ///< The peer sent what is no proper message.
  H1_END_HEADER_TOO_LARGE,
} h1_end_t;

typedef struct
{
  /// The head of a message is complete.
  void (*on_head) (h1_conn_t *conn);
  void (*on_body) (h1_conn_t *conn, kb_slice_t bytes);
  /// The message is complete. The connection reads no further message before
  /// h1_conn_next_message.
  void (*on_message) (h1_conn_t *conn);
  /// The connection is of no more use; the owner calls h1_conn_close.
  void (*on_end) (h1_conn_t *conn, h1_end_t end);
  /// A connection was made (or not). Client side only.
  void (*on_connect) (h1_conn_t *conn, bool is_connected);
  /// The memory may be freed. Last callback.
  void (*on_closed) (h1_conn_t *conn);
  /// Everything queued was taken by the system; may be NULL.
  void (*on_drained) (h1_conn_t *conn);
} h1_events_t;

struct h1_conn
{
  const h1_events_t *events;
  void *owner;
  uv_tcp_t tcp;
  uv_connect_t connect;
  http_parser parser;
  h1_head_t head;
  kb_buf_t pipelined; ///< Received, not parsed yet.
  uint32_t max_header_bytes;
  size_t unsent_bytes;
  uint64_t began_ms; ///< Loop time at which the present message began.
  bool is_client;
  bool is_reading;
  bool is_message_complete; ///< A complete message waits for
                            ///< h1_conn_next_message.
  bool is_in_message; ///< Between the first byte of a message and its end.
  bool is_parsing;
  bool is_closing;
  bool is_ended;       ///< on_end was called.
  bool is_head_method; ///< Client side: answer to HEAD.
  bool is_head_oversized;
  bool is_lingering; ///< Discards what still comes in.
};

/// Open a listening socket; `on_connection` gets `data` as its handle's data.
kb_status_t h1_listen (uv_loop_t *loop, uv_tcp_t *listener,
                       const struct sockaddr_in *address, int backlog,
                       uv_connection_cb on_connection, void *data,
                       kb_error_t *error);
/// Begin on an accepted connection.
/// @return  KB_ESYS when the connection could not be accepted.
kb_status_t h1_conn_accept (h1_conn_t *conn, uv_loop_t *loop,
                            uv_stream_t *listener, const h1_events_t *events,
                            void *owner, uint32_t max_header_bytes);
/// Connect to a peer; on_connect follows.
/// @return  KB_EUNAVAIL when no attempt could be made.
kb_status_t h1_conn_connect (h1_conn_t *conn, uv_loop_t *loop,
                             const struct sockaddr_in *address,
                             const h1_events_t *events, void *owner);
/// Queue bytes.
/// @return  False when the connection can take no more.
bool h1_conn_write (h1_conn_t *conn, const void *bytes, size_t len_bytes);
/// Write one chunk of a chunked body.
bool h1_conn_write_chunk (h1_conn_t *conn, kb_slice_t bytes);
/// Read the next message, which may have arrived already.
void h1_conn_next_message (h1_conn_t *conn);
/// Stop and resume reading from the socket.
void h1_conn_pause (h1_conn_t *conn);
void h1_conn_resume (h1_conn_t *conn);
/// Close; on_closed follows. Queued bytes are given to the system first
/// unless is_abort, which resets the connection so that an answer that is
/// not whole cannot look whole.
void h1_conn_close (h1_conn_t *conn, bool is_abort);
/// Say that nothing more will be written, and discard what still comes in
/// until the peer closes (on_end). Closing a connection with bytes unread
/// resets it, and the peer may lose the answer that is on its way.
void h1_conn_linger (h1_conn_t *conn);
/// @return  Value of the first field with that name, or an empty slice with
///          a NULL pointer.
kb_slice_t h1_head_get (const h1_head_t *head, const char *name);
/// @return  How many fields have that name.
uint32_t h1_head_count (const h1_head_t *head, const char *name);
kb_slice_t h1_field_name (const h1_head_t *head, uint32_t at);
kb_slice_t h1_field_value (const h1_head_t *head, uint32_t at);
/// The request target as received.
kb_slice_t h1_head_target (const h1_head_t *head);
/// @return  Whether a comma-separated value holds a token, ignoring case.
bool h1_value_has_token (kb_slice_t value, const char *token);
bool h1_name_is (kb_slice_t name, const char *text);
/// @return  Whether a request head is safe to relay: proper field names, one
///          host, one unambiguous body length.
bool h1_request_is_well_formed (const h1_conn_t *conn);
/// Parse "a.b.c.d:port".
kb_status_t h1_parse_address (kb_slice_t text, struct sockaddr_in *out);
/// Whether the answer ended with the connection instead of a length.
bool h1_body_is_close_delimited (const h1_conn_t *conn);

#endif
