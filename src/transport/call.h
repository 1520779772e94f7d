/// @file call.h
/// HTTP calls whose response is buffered completely: control calls to a store
/// or an engine, over the pooled connections of exchange.h.
#ifndef KB_TRANSPORT_CALL_H
#define KB_TRANSPORT_CALL_H

#include "transport/exchange.h"

typedef struct cal_call cal_call_t;

/// Result of a call.
typedef struct
{
  /// KB_OK: a complete response arrived, with any HTTP status. KB_EUNAVAIL: no
  /// byte of the request was sent. KB_EUNKNOWN: sent, but no complete response
  /// arrived in time. KB_ELIMIT: the response exceeds the size limit.
  kb_status_t status;
  int http_status;
  kb_slice_t body; ///< Valid during the callback; partial unless KB_OK.
  /// Time from the start of the call to the head of the response; negative
  /// when there was none.
  int64_t first_byte_ms;
  /// Value of the first cal_request_t.returned_header, or empty; set when the
  /// head of the response arrived, whatever `status` is.
  kb_slice_t header;
  uint32_t header_count; ///< How often the response has that header.
} cal_result_t;

typedef void (*cal_done_t) (void *arg, const cal_result_t *result);

/// A call, allocated by the caller. Runs one request at a time.
struct cal_call
{
  xch_t exchange;
  tmr_timer_t timer;
  tmr_service_t *timers;
  kb_buf_t body;
  char header[64];
  uint32_t header_count;
  const char *returned_header;
  int http_status;
  uint64_t began_ms;
  uint64_t stall_timeout_ms; ///< See cal_request_t.
  uint64_t total_timeout_ms; ///< See cal_request_t.
  uint32_t max_response_bytes;
  int64_t first_byte_ms; ///< See cal_result_t.
  cal_done_t done;
  void *arg;
  bool is_active;
};

/// Parameters of a call.
typedef struct
{
  const char *method;
  const char *path;
  const char *extra_headers; ///< Header lines, each ended by CRLF, or NULL.
  kb_slice_t json_body;      ///< Empty: none.
  uint64_t timeout_ms;
  /// Longest gap between parts of the response. Once its head has arrived,
  /// this and `total_timeout_ms` replace `timeout_ms`. Zero: `timeout_ms`
  /// applies to the whole call.
  uint64_t stall_timeout_ms;
  /// Longest duration of the whole call if `stall_timeout_ms` is set.
  uint64_t total_timeout_ms;
  const char *returned_header; ///< Response header to return, or NULL.
  /// Longest body of the response; a longer one fails the call with KB_ELIMIT.
  /// Zero: that of a page of the store.
  uint32_t max_response_bytes;
} cal_request_t;

/// Start a call. `done` is called once, never from within this function.
void cal_call_start (cal_call_t *call, xch_peer_t *peer,
                     const cal_request_t *request, cal_done_t done, void *arg);
/// Cancel a call; `done` is not called.
void cal_call_cancel (cal_call_t *call);

#endif
