/// @file httpc.h
/// HTTP/1.1 client calls. Each call opens its own connection, so that a failed
/// connect proves that the request was not sent. The failure of a pooled
/// connection would not prove it.
#ifndef KB_TRANSPORT_HTTPC_H
#define KB_TRANSPORT_HTTPC_H

#include "transport/h1.h"
#include "transport/respown.h"
#include "transport/timer.h"

typedef struct htc_client htc_client_t;
typedef struct htc_call htc_call_t;

/// How a call ended.
typedef enum
{
  HTC_END_COMPLETE,   ///< The complete response arrived.
  HTC_END_NOT_SENT,   ///< No connection was made.
  HTC_END_INCOMPLETE, ///< Sent, but the response is missing or truncated,
                      ///< violates HTTP, or its head is too long.
  HTC_END_SECOND,     ///< Another response of the server begins in the body.
  HTC_END_TIMEOUT,    ///< Sent; nothing was received for idle_timeout_ms, or
                      ///< the total time is up.
} htc_end_t;

/// Callbacks of one call.
typedef struct
{
  void (*on_head) (htc_call_t *call, int http_status, kb_slice_t content_type);
  void (*on_body) (htc_call_t *call, kb_slice_t bytes);
  /// Last callback; the call is freed when it returns.
  void (*on_end) (htc_call_t *call, htc_end_t end);
} htc_events_t;

struct htc_call
{
  h1_conn_t conn; ///< Must be first: callbacks cast it to this type.
  const htc_events_t *events;
  void *owner;
  htc_client_t *client;
  kb_buf_t head;       ///< Of the request; held until it is sent.
  kb_shared_t *body;   ///< The same; NULL: none.
  rso_search_t search; ///< Of the response's body.
  kb_slice_t last;     ///< Last bytes of a body with a length; they are
                       ///< delivered once those behind it are searched.
  tmr_timer_t timer;
  uint64_t idle_timeout_ms;
  uint64_t ends_at_ms; ///< Loop time at which it ends; zero: never.
  int http_status;
  bool is_chunked;         ///< The body ends with its last chunk.
  bool is_close_delimited; ///< The body ends with the connection.
  bool is_sent;
  bool is_failed;  ///< No connection was attempted.
  bool is_ended;   ///< on_end was called, or never is.
  bool is_aborted; ///< See htc_call_abort.
};

struct htc_client
{
  uv_loop_t *loop;
  tmr_service_t *timers;
};

void htc_client_init (htc_client_t *client, uv_loop_t *loop,
                      tmr_service_t *timers);
/// Start a call. Its end is never reported from within this function.
/// @param address          IPv4 number.
/// @param extra_headers    Header lines, each ended by CRLF, or "".
/// @param idle_timeout_ms  Longest time without received data. On expiry the
///                         call ends with HTC_END_TIMEOUT, or HTC_END_NOT_SENT
///                         when not yet connected.
/// @return  The call, owned by the client until on_end.
htc_call_t *htc_call_start (htc_client_t *client, const htc_events_t *events,
                            void *owner, const char *address, uint16_t port,
                            const char *method, const char *path,
                            const char *extra_headers, kb_slice_t body,
                            uint64_t idle_timeout_ms);
/// Limit the duration of a call, however often a part of its response arrives.
void htc_call_limit_time (htc_call_t *call, uint64_t total_timeout_ms);
/// End a call from within on_body: its response is longer than its owner can
/// use. on_end reports HTC_END_INCOMPLETE.
void htc_call_abort (htc_call_t *call);
/// @return  Value of a response header, or an empty slice. Valid only within
///          on_head.
kb_slice_t htc_call_header (const htc_call_t *call, const char *name);
/// Cancel a call by resetting its connection; on_end is not called.
void htc_call_cancel (htc_call_t *call);

#endif
