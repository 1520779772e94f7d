/// @file httpc.h
/// HTTP/1.1 client calls over h2o. Each call opens its own connection, so a
/// refused connection proves that the request was not sent; a pooled one that
/// dies cannot prove it.
#ifndef KB_TRANSPORT_HTTPC_H
#define KB_TRANSPORT_HTTPC_H

#include <uv.h>

#include "state/buf.h"
#include "state/status.h"
#include "transport/timer.h"

typedef struct htc_client htc_client_t;
typedef struct htc_call htc_call_t;

/// How far a call came before it ended.
typedef enum
{
  HTC_END_WHOLE,    ///< The whole response arrived.
  HTC_END_NOT_SENT, ///< No connection was made.
  HTC_END_BROKEN,   ///< Sent, but the response is missing or cut.
  HTC_END_TIMEOUT,  ///< Sent; nothing came within the time.
} htc_end_t;

/// Callbacks of one call.
typedef struct
{
  void (*on_head) (htc_call_t *call, int http_status, kb_slice_t content_type);
  void (*on_body) (htc_call_t *call, kb_slice_t bytes);
  /// The last callback; the call is gone when it returns.
  void (*on_end) (htc_call_t *call, htc_end_t end);
} htc_events_t;

struct htc_call
{
  const htc_events_t *events;
  void *owner;
  htc_client_t *client;
  void *h2o_client;
  const void *headers; ///< Of the answer, in h2o's form, during on_head.
  size_t header_count;
  kb_buf_t request;
  void *iovec; ///< The request in h2o's form.
  tmr_timer_t timer;
  uint64_t idle_timeout_ms;
  int http_status;
  bool is_sent;
  bool is_ended;
  bool is_starting;
  bool is_in_callback;
  bool is_cancelled;
};

struct htc_client
{
  uv_loop_t *loop;
  tmr_service_t *timers;
  void *impl; ///< h2o client context.
};

void htc_client_init (htc_client_t *client, uv_loop_t *loop,
                      tmr_service_t *timers);
void htc_client_finish (htc_client_t *client);
/// Start a call.
/// @param extra_headers    Header lines, each ended by CRLF, or "".
/// @param idle_timeout_ms  Longest silence before HTC_END_TIMEOUT.
/// @return  The call, owned by the client until on_end.
htc_call_t *htc_call_start (htc_client_t *client, const htc_events_t *events,
                            void *owner, const char *address, uint16_t port,
                            const char *method, const char *path,
                            const char *extra_headers, kb_slice_t body,
                            uint64_t idle_timeout_ms);
/// @return  The value of a field of the answer's head, or an empty slice; only
///          within on_head.
kb_slice_t htc_call_header (const htc_call_t *call, const char *name);
/// Close the connection; on_end is not called.
void htc_call_cancel (htc_call_t *call);

#endif
