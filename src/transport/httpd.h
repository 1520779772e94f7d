/// @file httpd.h
/// HTTP server over h2o: one handler for all requests, whole or streamed
/// answers, TLS, limits, and notice of a caller that hung up.
#ifndef KB_TRANSPORT_HTTPD_H
#define KB_TRANSPORT_HTTPD_H

#include <uv.h>

#include "state/buf.h"
#include "state/status.h"
#include "transport/timer.h"

typedef struct hts_server hts_server_t;
typedef struct hts_request hts_request_t;

/// Callbacks of a server.
typedef struct
{
  /// A whole request arrived. Answer now or later.
  void (*on_request) (hts_server_t *server, hts_request_t *request);
  /// The caller hung up before the answer was finished. The request is gone
  /// when this returns.
  void (*on_abort) (hts_request_t *request);
} hts_events_t;

typedef struct
{
  const char *address;
  uint16_t port;
  const char *certificate_file; ///< Empty: plain HTTP.
  const char *key_file;
  uint64_t max_body_bytes;
  uint64_t read_timeout_ms;
  uint64_t max_connections;
} hts_options_t;

struct hts_server
{
  const hts_events_t *events;
  void *owner;
  uv_loop_t *loop;
  tmr_service_t *timers;
  void *impl;
  uint16_t port; ///< The port in use.
};

struct hts_request
{
  hts_server_t *server;
  void *owner; ///< Set by the handler; NULL at first.
  void *impl;  ///< h2o request.
  kb_slice_t method;
  kb_slice_t path; ///< With the query.
  kb_slice_t body;
  kb_buf_t out;     ///< Waits to be sent.
  kb_buf_t sending; ///< Owned by h2o until it asks for more.
  tmr_timer_t hangup_timer;
  void *generator;
  bool is_streaming;
  bool is_busy;
  bool is_finishing;
  bool is_finished;
  bool is_cut;
};

kb_status_t hts_server_init (hts_server_t *server, uv_loop_t *loop,
                             tmr_service_t *timers, const hts_events_t *events,
                             void *owner, const hts_options_t *options,
                             kb_error_t *error);
/// Stop accepting connections; requests in progress go on.
void hts_server_stop (hts_server_t *server);
/// @return  The value of a request header, or an empty slice.
kb_slice_t hts_request_header (hts_request_t *request, const char *name);
/// @return  How often a header stands in the request.
uint32_t hts_request_header_count (hts_request_t *request, const char *name);
/// Add a header to the answer; before hts_reply or hts_stream_begin.
void hts_response_header (hts_request_t *request, const char *name,
                          kb_slice_t value);
/// Answer whole; the request is gone afterwards.
void hts_reply (hts_request_t *request, int http_status,
                const char *content_type, kb_slice_t body);
/// Begin a streamed answer.
void hts_stream_begin (hts_request_t *request, int http_status,
                       const char *content_type);
void hts_stream_write (hts_request_t *request, kb_slice_t bytes);
/// End a streamed answer; the request is gone afterwards. An answer that is
/// not whole is cut, so that the caller's library reports it.
void hts_stream_end (hts_request_t *request, bool is_whole);
/// Bytes of the stream that the caller has not taken yet.
size_t hts_stream_pending (const hts_request_t *request);

#endif
