/// @file httpd.h
/// HTTP server over h2o: one handler for all requests, complete or streamed
/// responses, TLS, limits, and detection of clients that disconnect.
#ifndef KB_TRANSPORT_HTTPD_H
#define KB_TRANSPORT_HTTPD_H

#include <uv.h>

#include "state/buf.h"
#include "state/status.h"
#include "transport/listener.h"
#include "transport/presence.h"
#include "transport/timer.h"

typedef struct hts_server hts_server_t;
typedef struct hts_request hts_request_t;

/// Callbacks of a server.
typedef struct
{
  /// A complete request arrived. The response may be sent now or later.
  void (*on_request) (hts_server_t *server, hts_request_t *request);
  /// The client disconnected before the response was complete. The request
  /// must not be used after this callback.
  void (*on_abort) (hts_request_t *request);
} hts_events_t;

/// Configuration of a server.
typedef struct
{
  const char *address;
  uint16_t port;
  const char *certificate_file; ///< Empty: plain HTTP.
  const char *key_file;
  uint64_t max_body_bytes;
  uint64_t read_timeout_ms;
  uint64_t max_connections;
  kb_account_t *memory; ///< Charged with what connections hold; while it is
                        ///< over its limit, some are closed. NULL: no limit.
  lsn_policy_t
      *policy; ///< Of new connections; NULL: all are accepted at once.
} hts_options_t;

struct hts_server
{
  const hts_events_t *events;
  void *owner;
  uv_loop_t *loop;
  tmr_service_t *timers;
  void *impl;
  prs_watch_t watch; ///< Of clients whose requests are open.
  uint16_t port; ///< The port bound, also when the configured port is zero.
};

struct hts_request
{
  hts_server_t *server;
  void *owner; ///< For the handler; initially NULL.
  void *impl;  ///< h2o request.
  kb_slice_t method;
  kb_slice_t path; ///< Includes the query string.
  kb_slice_t body;
  kb_buf_t out;       ///< Response data not yet passed to h2o.
  kb_buf_t sending;   ///< In use by h2o until it requests more data.
  size_t reply_bytes; ///< Of a complete response, until h2o releases it.
  prs_peer_t client;
  void *connection;
  void *generator;
  bool is_streaming;
  bool is_sending;
  bool is_end_queued;
  bool is_finished;
  bool is_aborted;
};

/// Start listening.
/// @return  KB_OK; KB_EINVAL: unusable address, certificate or key; KB_ESYS:
///          cannot listen.
kb_status_t hts_server_init (hts_server_t *server, uv_loop_t *loop,
                             tmr_service_t *timers, const hts_events_t *events,
                             void *owner, const hts_options_t *options,
                             kb_error_t *error);
/// Stop accepting connections; requests in progress continue.
void hts_server_stop (hts_server_t *server);
/// @return  Value of the first request header with that name, or an empty
/// slice.
kb_slice_t hts_request_header (hts_request_t *request, const char *name);
/// @return  Number of request headers with that name.
uint32_t hts_request_header_count (hts_request_t *request, const char *name);
/// @return  Whether the client is still there now.
prs_presence_t hts_request_query_client (const hts_request_t *request);
/// Add a response header. Call before hts_reply or hts_stream_begin.
void hts_response_header (hts_request_t *request, const char *name,
                          kb_slice_t value);
/// Send a complete response. The request must not be used afterwards.
void hts_reply (hts_request_t *request, int http_status,
                const char *content_type, kb_slice_t body);
/// Start a streamed response.
void hts_stream_begin (hts_request_t *request, int http_status,
                       const char *content_type);
void hts_stream_write (hts_request_t *request, kb_slice_t bytes);
/// End a streamed response. The request must not be used afterwards.
/// @param is_complete  False aborts the response, so that the client's HTTP
///                     library reports it as truncated.
void hts_stream_end (hts_request_t *request, bool is_complete);
/// @return  Bytes of the streamed response that are not sent yet.
size_t hts_stream_unsent_bytes (const hts_request_t *request);

#endif
