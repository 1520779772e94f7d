/// @file call.h
/// A small HTTP call with a whole answer: control calls to a store or an
/// engine, over the pooled connections of exchange.h.
#ifndef KB_TRANSPORT_CALL_H
#define KB_TRANSPORT_CALL_H

#include "transport/exchange.h"

typedef struct cal_call cal_call_t;

/// Result of a call.
typedef struct
{
  /// KB_OK: an answer came, whatever its status. KB_EUNAVAIL: certainly not
  /// sent. KB_EUNKNOWN: sent, no whole answer in time.
  /// KB_ELIMIT: the answer is larger than a call takes.
  kb_status_t status;
  int http_status;
  kb_slice_t body; ///< Gone after the callback; a part, if not KB_OK.
  /// From the start to the first byte of the answer; negative: none came.
  int64_t first_byte_ms;
  kb_slice_t instance; ///< Value of the header asked for, or empty.
} cal_result_t;

typedef void (*cal_done_t) (void *arg, const cal_result_t *result);

/// One call; memory of the caller, one at a time.
struct cal_call
{
  xch_t exchange;
  tmr_timer_t timer;
  tmr_service_t *timers;
  kb_buf_t body;
  char instance[64];
  const char *instance_header;
  int http_status;
  uint64_t began_ms;
  uint64_t stall_ms;     ///< See cal_request_t.
  uint64_t most_ms;      ///< As above.
  int64_t first_byte_ms; ///< See cal_result_t.
  cal_done_t done;
  void *arg;
  bool is_active;
};

typedef struct
{
  const char *method;
  const char *path;
  const char *extra_headers; ///< Lines each ended by CRLF, or NULL.
  kb_slice_t json_body;      ///< Empty: none.
  uint64_t timeout_ms;
  /// Once bytes of the answer come, they may pause for this long and the whole
  /// may take `most_ms`, whatever the timeout; zero: the timeout is for all.
  uint64_t stall_ms;
  uint64_t most_ms;
  const char *instance_header; ///< Header to hand out, or NULL.
} cal_request_t;

/// Start; `done` is called once, never from within this call.
void cal_call_start (cal_call_t *call, xch_peer_t *peer,
                     const cal_request_t *request, cal_done_t done, void *arg);
/// Give up without a callback.
void cal_call_cancel (cal_call_t *call);

#endif
