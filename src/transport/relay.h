/// @file relay.h
/// How callers and targets of one deployment speak about a relayed request:
/// a vtable over message heads. A dialect decodes a head once, into types
/// whose fields say what they hold, and writes the heads that are sent on.
#ifndef KB_TRANSPORT_RELAY_H
#define KB_TRANSPORT_RELAY_H

#include "transport/h1.h"

/// What a caller said in the head of its request. Slices point into the head.
typedef struct
{
  kb_slice_t attempt_id; ///< The caller's id of this attempt; never repeated.
  uint64_t deadline_ms;  ///< How long the caller will wait; zero: not said.
  kb_slice_t key;        ///< Of a workspace; empty: none.
  uint32_t key_count;    ///< Fields that hold one.
  kb_slice_t model;
  kb_slice_t adapter;    ///< Empty: the model itself.
  bool has_token_counts; ///< Else the two are zero.
  uint32_t prompt_tokens;
  uint32_t output_tokens; ///< At most.
  uint32_t
      output_tokens_hint; ///< The caller's guess of the output; zero: none.
  bool is_resume;         ///< Goes on behind an event it already has.
  uint64_t resume_after_event_id;
} rly_request_t;

/// What the system adds to a request for one target.
typedef struct
{
  uint64_t deadline_ms;
  kb_slice_t instance;      ///< Only this incarnation may run it.
  kb_slice_t workspace;     ///< For which it runs; empty: for none.
  uint32_t adapter_version; ///< Zero: any.
  int32_t priority;         ///< Negative: not said.
  bool is_resume;
  uint64_t resume_after_event_id;
  uint64_t body_bytes;
} rly_forward_t;

/// What a target said in the head of its answer.
typedef struct
{
  kb_slice_t attempt_id; ///< Empty: not echoed.
  bool has_seal;
  bool is_not_run; ///< The target declares that the request did not run.
  bool is_encoded; ///< The body was altered on the way.
  uint64_t retry_after_ms;
  bool has_limit;
  double limit_per_s; ///< Requests that it takes from all callers together.
  bool is_limit_malformed;
  bool is_leaving;
  const char *malformed_field; ///< A field whose value is none; NULL: none.
} rly_response_t;

/// An answer of this system's own.
typedef struct
{
  int http_status;
  kb_slice_t attempt_id;
  uint64_t retry_after_ms; ///< Zero: not said.
  bool is_last;            ///< The connection closes after it.
  const char *reason;
} rly_refusal_t;

/// How the body of a relayed answer is framed for the caller.
typedef struct
{
  bool is_chunked;
  bool is_last; ///< The connection closes after it.
} rly_framing_t;

typedef struct
{
  /// @return  KB_EINVAL when a field that must be there is not or is wrong.
  kb_status_t (*read_request) (const h1_head_t *head, rly_request_t *out,
                               kb_error_t *error);
  /// Append the head of the request as it goes to a target.
  void (*write_request) (const h1_conn_t *conn, const rly_forward_t *forward,
                         kb_buf_t *out);
  void (*read_response) (const h1_conn_t *conn, rly_response_t *out);
  /// Append the head of a target's answer as it goes to the caller.
  void (*write_response) (const h1_conn_t *conn, const rly_framing_t *framing,
                          kb_buf_t *out);
  /// Append a whole answer of the system's own.
  void (*write_refusal) (const rly_refusal_t *refusal, kb_buf_t *out);
} rly_dialect_t;

#endif
