/// @file h1.h
/// HTTP/1.1 messages on one libuv TCP connection, for clients and servers.
/// http_parser does the parsing; this module adds the strict checks that a
/// proxy needs, owns the socket and delivers bodies as they arrive. h2o is not
/// used here because it buffers request bodies completely and does not report
/// a client that disconnects.
#ifndef KB_TRANSPORT_H1_H
#define KB_TRANSPORT_H1_H

#include <http_parser.h>
#include <uv.h>

#include "state/buf.h"
#include "state/status.h"
#include "transport/bulk.h"
#include "transport/presence.h"
#include "transport/resphead.h"

enum
{
  H1_MAX_FIELDS = 96,
  /// Bytes of pipelined requests that are buffered while a request is in
  /// progress.
  H1_MAX_PIPELINED_BYTES = 65536,
};

typedef struct h1_conn h1_conn_t;

/// One header field, as offsets into h1_head_t.bytes.
typedef struct
{
  uint32_t name_offset;
  uint32_t name_bytes;
  uint32_t value_offset;
  uint32_t value_bytes;
} h1_field_t;

/// Start line and header fields of a message.
typedef struct
{
  kb_buf_t bytes;
  uint32_t target_bytes; ///< Length of the request target, first in `bytes`.
  h1_field_t fields[H1_MAX_FIELDS];
  uint32_t field_count;
  bool is_in_value; ///< The last fragment parsed belonged to a value.
  bool is_complete; ///< The head has ended; trailer fields are ignored.
} h1_head_t;

/// Why a connection ended.
typedef enum
{
  H1_END_EOF,       ///< Orderly close by the peer.
  H1_END_RESET,     ///< Reset by the peer, or the peer is unreachable.
  H1_END_MALFORMED, ///< The peer violated HTTP.
  H1_END_HEADER_TOO_LARGE,
} h1_end_t;

/// Callbacks of a connection.
typedef struct
{
  /// The head of a message is complete.
  void (*on_head) (h1_conn_t *conn);
  void (*on_body) (h1_conn_t *conn, kb_slice_t bytes);
  /// The message is complete. No further message is parsed before
  /// h1_conn_next_message.
  void (*on_message) (h1_conn_t *conn);
  /// The connection is unusable; the owner calls h1_conn_close.
  void (*on_end) (h1_conn_t *conn, h1_end_t end);
  /// Result of h1_conn_connect: zero, or an error code of libuv. Client side
  /// only.
  void (*on_connect) (h1_conn_t *conn, int status);
  /// Last callback; the memory may be freed.
  void (*on_closed) (h1_conn_t *conn);
  /// All queued bytes were handed to the kernel; may be NULL.
  void (*on_drained) (h1_conn_t *conn);
  /// The account of the connection is over its limit after a read. The
  /// callback may close any connection; may be NULL.
  void (*on_over_limit) (h1_conn_t *conn);
} h1_events_t;

struct h1_conn
{
  const h1_events_t *events;
  void *owner;
  uv_tcp_t tcp;
  uv_connect_t connect;
  blk_reader_t reader;
  blk_queue_t *bulk; ///< Where it waits when it brings much; NULL: nowhere.
  http_parser parser;
  h1_head_t head;
  rsh_check_t check;         ///< Client side: of the response.
  kb_account_t *account;     ///< Of its buffers; NULL: none is charged.
  kb_buf_t pipelined;        ///< Received after the current message, unparsed.
  uint32_t max_header_bytes; ///< Zero: unlimited.
  kb_buf_t queued;           ///< To be written after the write in progress.
  size_t unsent_bytes;       ///< Queued, not yet handed to the kernel.
  uint64_t began_ms;         ///< Loop time of the first byte of the message.
  bool is_client;
  bool is_reading;
  bool is_message_complete; ///< Parsing stops until h1_conn_next_message.
  bool is_in_message; ///< Between the first byte of a message and its end.
  bool is_parsing;    ///< Messages are being parsed.
  kb_slice_t surplus; ///< Within on_message: bytes read behind the message.
  bool is_clogged;    ///< Reading waits until queued answers are sent.
  bool is_writing;    ///< A write is in progress.
  bool is_closing;
  bool is_ended;          ///< on_end was called.
  bool is_head_method;    ///< Client side: the request is a HEAD.
  bool is_head_oversized; ///< The head exceeds max_header_bytes or
                          ///< H1_MAX_FIELDS.
  bool is_lingering;      ///< Received bytes are discarded.
};

/// Bind a socket that will listen for callers, and limit the receive buffers
/// of its connections.
/// @return  Zero, or an error code of libuv.
int h1_bind (uv_tcp_t *socket, const struct sockaddr_in *address);
/// Open a listening socket.
/// @param data   Stored as the `data` of the handle that `on_connection` gets.
/// @param error  Describes a failure.
/// @return       KB_OK or KB_ESYS.
kb_status_t h1_listen (uv_loop_t *loop, uv_tcp_t *listener,
                       const struct sockaddr_in *address, int backlog,
                       uv_connection_cb on_connection, void *data,
                       kb_error_t *error);
/// Accept a connection from a listener and start reading.
/// @return  KB_OK, or KB_ESYS when the connection could not be accepted.
kb_status_t h1_conn_accept (h1_conn_t *conn, uv_loop_t *loop,
                            uv_stream_t *listener, const h1_events_t *events,
                            void *owner, uint32_t max_header_bytes);
/// Share the event loop with the other connections of a queue. Without a call,
/// a connection is read as long as there is something to read.
void h1_conn_share_loop (h1_conn_t *conn, blk_queue_t *bulk);
/// Charge the buffers of a connection to an account.
void h1_conn_set_account (h1_conn_t *conn, kb_account_t *account);
/// @return  Bytes of the buffers of a connection.
size_t h1_conn_held_bytes (const h1_conn_t *conn);
/// Connect to a peer; on_connect reports the result.
/// @return  KB_OK, or KB_EUNAVAIL when the attempt could not be started.
kb_status_t h1_conn_connect (h1_conn_t *conn, uv_loop_t *loop,
                             const struct sockaddr_in *address,
                             const h1_events_t *events, void *owner);
/// Write bytes, or queue a copy of those that the kernel does not take now.
/// @return  False when the connection no longer accepts data.
bool h1_conn_write (h1_conn_t *conn, const void *bytes, size_t len_bytes);
/// Write a message, or queue what the kernel does not take now: a copy of the
/// head, and the body itself. Nothing may be queued yet.
/// @param body  NULL: none. It is not changed any more.
/// @return      False when not a byte of it was written or queued: the
///              connection no longer accepts data.
bool h1_conn_write_message (h1_conn_t *conn, kb_slice_t head,
                            kb_shared_t *body);
/// Write one chunk of a chunked body.
/// @return  As h1_conn_write.
bool h1_conn_write_chunk (h1_conn_t *conn, kb_slice_t bytes);
/// Expect no message before h1_conn_next_message.
void h1_conn_hold (h1_conn_t *conn);
/// Continue with the next message, parsing what is already buffered.
void h1_conn_next_message (h1_conn_t *conn);
/// @return  Whether the peer is still there now, also when its close has not
///          been read.
prs_presence_t h1_conn_query_peer (const h1_conn_t *conn);
/// @return  Whether bytes have arrived that were not read yet.
bool h1_conn_has_unread (const h1_conn_t *conn);
/// @return  Whether the connection is open and nothing has arrived that was
///          not read yet, not even its close.
bool h1_conn_is_quiet (const h1_conn_t *conn);
/// Stop reading from the socket.
void h1_conn_pause (h1_conn_t *conn);
/// Resume reading from the socket.
void h1_conn_resume (h1_conn_t *conn);
/// Close; on_closed follows.
/// @param is_abort  Reset the connection, so that the peer detects a truncated
///                  message. Otherwise, queued bytes are sent first.
void h1_conn_close (h1_conn_t *conn, bool is_abort);
/// Start a lingering close: shut down the sending side and discard input until
/// the peer closes (on_end). Closing a socket with unread input resets the
/// connection, and the peer may lose a response that is still in flight.
void h1_conn_linger (h1_conn_t *conn);
/// @return  Value of the first field with that name, or an empty slice with
///          a NULL pointer.
kb_slice_t h1_head_get (const h1_head_t *head, const char *name);
/// @return  Number of fields with that name.
uint32_t h1_head_count (const h1_head_t *head, const char *name);
kb_slice_t h1_field_name (const h1_head_t *head, uint32_t index);
kb_slice_t h1_field_value (const h1_head_t *head, uint32_t index);
/// @return  The request target as received.
kb_slice_t h1_head_target (const h1_head_t *head);
/// @return  Whether a comma-separated value contains a token, ignoring case.
bool h1_value_has_token (kb_slice_t value, const char *token);
/// @return  Whether a field name may have this character.
bool h1_is_token_char (char c);
/// @return  Whether a field name has the characters of one.
bool h1_name_is_token (kb_slice_t name);
/// @return  Whether a field name equals `text`, ignoring case.
bool h1_name_is (kb_slice_t name, const char *text);
/// @return  Whether a request head is safe to forward: valid field names, one
///          Host field, one unambiguous body length.
bool h1_request_is_well_formed (const h1_conn_t *conn);
/// Parse "a.b.c.d:port".
/// @return  KB_OK, or KB_EINVAL.
kb_status_t h1_parse_address (kb_slice_t text, struct sockaddr_in *out);
/// @return  Whether the body of a response ends with the connection: it has
///          neither Content-Length nor chunks.
bool h1_body_is_close_delimited (const h1_conn_t *conn);

#endif
