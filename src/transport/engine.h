/// @file engine.h
/// The agent's interface to its target, as a vtable. The implementation here
/// speaks the OpenAI-style protocol, with loading and unloading of LoRA
/// adapters, and forwards runs as plain HTTP. Another engine protocol is
/// another vtable.
#ifndef KB_TRANSPORT_ENGINE_H
#define KB_TRANSPORT_ENGINE_H

#include "transport/httpc.h"

typedef struct eng_engine eng_engine_t;
typedef struct eng_run eng_run_t;

/// End of a load or unload order.
/// @param status  KB_OK: done; KB_EUNAVAIL: not sent, so not done;
/// KB_EUNKNOWN:
///                sent, but no complete response; KB_ECONFLICT: refused, for
///                example because of an old fencing number; KB_EINVAL: any
///                other HTTP status.
typedef void (*eng_order_done_t) (void *arg, kb_status_t status);
/// @param models       Adapters that the engine lists ("adapter@version"), or
///                     NULL.
/// @param incarnation  Of the engine process; empty when not given.
typedef void (*eng_list_done_t) (void *arg, kb_status_t status,
                                 const char *const *models, uint32_t count,
                                 const char *incarnation);

/// Head of the response to a run, as reported to the agent.
typedef struct
{
  int http_status;
  kb_slice_t content_type;
  /// The answer has neither a length nor chunks and ends with its connection.
  bool is_close_delimited;
  /// Requests per second that the target accepts; negative: no limit given.
  double limit_per_s;
  bool is_limit_malformed;
  uint64_t retry_after_ms; ///< Zero: not given.
  /// Name of a field with an invalid value, or NULL.
  const char *malformed_field;
} eng_head_t;

/// Callbacks of a run.
typedef struct
{
  void (*on_head) (void *arg, const eng_head_t *head);
  void (*on_body) (void *arg, kb_slice_t bytes);
  /// Last callback.
  void (*on_end) (void *arg, htc_end_t end);
} eng_run_events_t;

/// A request to forward to the target.
typedef struct
{
  const char *method;
  const char *path;
  kb_slice_t body;
  const char *traceparent;
  uint64_t idle_timeout_ms;
  uint64_t total_timeout_ms; ///< Longest duration of the run.
} eng_run_request_t;

/// Operations of an engine protocol.
typedef struct
{
  void (*load) (eng_engine_t *engine, const char *model, const char *source,
                uint64_t fence, eng_order_done_t done, void *arg);
  void (*unload) (eng_engine_t *engine, const char *model, uint64_t fence,
                  eng_order_done_t done, void *arg);
  void (*list) (eng_engine_t *engine, eng_list_done_t done, void *arg);
  eng_run_t *(*run) (eng_engine_t *engine, const eng_run_request_t *request,
                     const eng_run_events_t *events, void *arg);
  /// Cancel a run; no further callbacks.
  void (*cancel) (eng_engine_t *engine, eng_run_t *run);
} eng_vtable_t;

struct eng_engine
{
  const eng_vtable_t *vtable;
  htc_client_t *http;
  char address[64];
  uint16_t port;
  char order_token[160];
  uint64_t load_timeout_ms;
  /// When a response last announced that the target is leaving; zero: never.
  uint64_t leaving_reported_ms;
};

/// Initialize an engine that speaks the OpenAI-style protocol.
void eng_openai_init (eng_engine_t *engine, htc_client_t *http,
                      const char *address, uint16_t port,
                      const char *order_token, uint64_t load_timeout_ms);

#endif
