/// @file engine.h
/// A target as its agent sees it, behind one vtable. The engine form speaks
/// the OpenAI-style protocol with load and unload of LoRA adapters; the plain
/// form passes HTTP through. Another engine protocol is another vtable.
#ifndef KB_TRANSPORT_ENGINE_H
#define KB_TRANSPORT_ENGINE_H

#include "transport/httpc.h"

typedef struct eng_engine eng_engine_t;
typedef struct eng_run eng_run_t;

/// End of an order.
/// @param status  KB_OK; KB_EUNAVAIL: certainly not done; KB_EUNKNOWN;
///                KB_ECONFLICT: refused, as an old fencing number is.
typedef void (*eng_order_done_t) (void *arg, kb_status_t status);
/// @param models  Names the engine lists ("adapter@version"), or NULL.
typedef void (*eng_list_done_t) (void *arg, kb_status_t status,
                                 const char *const *models, uint32_t count,
                                 const char *incarnation);

/// Head of the response to a run.
typedef struct
{
  int http_status;
  kb_slice_t content_type;
  /// Requests a second that the target takes; negative: it states no limit.
  double limit_per_s;
  bool is_limit_malformed;
  uint64_t retry_after_ms;     ///< Zero: not said.
  const char *malformed_field; ///< A field whose value is none; NULL: none.
} eng_head_t;

/// Callbacks of a run.
typedef struct
{
  void (*on_head) (void *arg, const eng_head_t *head);
  void (*on_body) (void *arg, kb_slice_t bytes);
  /// The last callback.
  void (*on_end) (void *arg, htc_end_t end);
} eng_run_events_t;

/// One request to run.
typedef struct
{
  const char *method;
  const char *path;
  kb_slice_t body;
  const char *traceparent;
  uint64_t idle_timeout_ms;
} eng_run_request_t;

typedef struct
{
  void (*load) (eng_engine_t *engine, const char *model, const char *source,
                uint64_t fence, eng_order_done_t done, void *arg);
  void (*unload) (eng_engine_t *engine, const char *model, uint64_t fence,
                  eng_order_done_t done, void *arg);
  void (*list) (eng_engine_t *engine, eng_list_done_t done, void *arg);
  eng_run_t *(*run) (eng_engine_t *engine, const eng_run_request_t *request,
                     const eng_run_events_t *events, void *arg);
  /// Stop a run; no further callbacks.
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
  uint64_t leaving_reported_ms; ///< When an response last said that it leaves;
                                ///< zero: none.
};

/// An engine of the OpenAI-style protocol.
void eng_openai_init (eng_engine_t *engine, htc_client_t *http,
                      const char *address, uint16_t port,
                      const char *order_token, uint64_t load_timeout_ms);

#endif
