#include "transport/engine.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/json.h"

enum
{
  ENG_MAX_RESPONSE_BYTES = 4 << 20,
  ENG_LIST_TIMEOUT_MS = 3000
};

/// A load, unload or list call.
typedef struct
{
  eng_engine_t *engine;
  eng_order_done_t done;
  eng_list_done_t list_done;
  void *arg;
  kb_buf_t response;
} engine_call_t;

struct eng_run
{
  eng_engine_t *engine;
  const eng_run_events_t *events;
  void *arg;
  htc_call_t *call;
};

static void
record_leaving (eng_engine_t *engine, const htc_call_t *http)
{
  kb_slice_t value = htc_call_header (http, "x-leaving");
  if (kb_slice_equal (value, kb_slice_str ("1")))
    engine->leaving_reported_ms = tmr_now_ms ();
}

static void
call_on_head (htc_call_t *http, int http_status, kb_slice_t content_type)
{
  engine_call_t *call = http->owner;
  record_leaving (call->engine, http);
}

static void
call_on_body (htc_call_t *http, kb_slice_t bytes)
{
  engine_call_t *call = http->owner;
  if (call->response.len_bytes + bytes.len_bytes < ENG_MAX_RESPONSE_BYTES)
    kb_buf_append (&call->response, bytes.ptr, bytes.len_bytes);
  else
    htc_call_abort (http);
}

static kb_status_t
order_status (htc_call_t *http, htc_end_t end)
{
  enum
  {
    HTTP_CONFLICT = 409,
    HTTP_PRECONDITION_FAILED = 412
  };
  if (end == HTC_END_NOT_SENT)
    return KB_EUNAVAIL;
  if (end != HTC_END_COMPLETE)
    return KB_EUNKNOWN;
  if (http->http_status == 200)
    return KB_OK;
  if (http->http_status == HTTP_CONFLICT
      || http->http_status == HTTP_PRECONDITION_FAILED)
    return KB_ECONFLICT;
  return KB_EINVAL;
}

static void
order_on_end (htc_call_t *http, htc_end_t end)
{
  engine_call_t *call = http->owner;
  call->done (call->arg, order_status (http, end));
  kb_buf_finish (&call->response);
  free (call);
}

static const htc_events_t order_events
    = { call_on_head, call_on_body, order_on_end };

static void
order_start (eng_engine_t *engine, const char *path, kb_buf_t *body,
             uint64_t fence, eng_order_done_t done, void *arg)
{
  engine_call_t *call = kb_alloc (sizeof *call);
  call->engine = engine;
  call->done = done;
  call->arg = arg;
  char headers[320];
  snprintf (headers, sizeof headers,
            "content-type: application/json\r\nx-fencing-number: %" PRIu64
            "\r\nauthorization: Bearer %s\r\n",
            fence, engine->order_token);
  htc_call_t *http = htc_call_start (
      engine->http, &order_events, call, engine->address, engine->port, "POST",
      path, headers, kb_buf_slice (body), engine->load_timeout_ms);
  htc_call_limit_time (http, engine->load_timeout_ms);
  kb_buf_finish (body);
}

static void
openai_load (eng_engine_t *engine, const char *model, const char *source,
             uint64_t fence, eng_order_done_t done, void *arg)
{
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{\"lora_name\":");
  jsn_append_quoted (&body, kb_slice_str (model));
  kb_buf_append_str (&body, ",\"lora_path\":");
  jsn_append_quoted (&body, kb_slice_str (source));
  kb_buf_append_str (&body, "}");
  order_start (engine, "/v1/load_lora_adapter", &body, fence, done, arg);
}

static void
openai_unload (eng_engine_t *engine, const char *model, uint64_t fence,
               eng_order_done_t done, void *arg)
{
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{\"lora_name\":");
  jsn_append_quoted (&body, kb_slice_str (model));
  kb_buf_append_str (&body, "}");
  order_start (engine, "/v1/unload_lora_adapter", &body, fence, done, arg);
}

static void
list_deliver (engine_call_t *call, struct json_object *doc)
{
  struct json_object *data = jsn_get (doc, "data");
  size_t count = json_object_is_type (data, json_type_array)
                     ? json_object_array_length (data)
                     : 0;
  const char **models = kb_alloc ((count + 1) * sizeof *models);
  uint32_t model_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      const char *id = jsn_str (json_object_array_get_idx (data, i), "id", "");
      if (strchr (id, '@') != NULL)
        models[model_count++] = id;
    }
  call->list_done (call->arg, KB_OK, models, model_count,
                   jsn_str (doc, "incarnation", ""));
  free (models);
}

static void
list_on_end (htc_call_t *http, htc_end_t end)
{
  engine_call_t *call = http->owner;
  struct json_object *doc = NULL;
  if (end == HTC_END_COMPLETE && http->http_status == 200)
    jsn_parse_text ("models", kb_buf_slice (&call->response), &doc, NULL);
  if (doc != NULL)
    list_deliver (call, doc);
  else
    call->list_done (call->arg, KB_EUNAVAIL, NULL, 0, "");
  json_object_put (doc);
  kb_buf_finish (&call->response);
  free (call);
}

static const htc_events_t list_events
    = { call_on_head, call_on_body, list_on_end };

static void
openai_list (eng_engine_t *engine, eng_list_done_t done, void *arg)
{
  engine_call_t *call = kb_alloc (sizeof *call);
  call->engine = engine;
  call->list_done = done;
  call->arg = arg;
  htc_call_t *http = htc_call_start (
      engine->http, &list_events, call, engine->address, engine->port, "GET",
      "/v1/models", "", (kb_slice_t){ "", 0 }, ENG_LIST_TIMEOUT_MS);
  htc_call_limit_time (http, ENG_LIST_TIMEOUT_MS);
}

static void
read_limit (const htc_call_t *http, eng_head_t *head)
{
  static const char name[] = "x-request-limit-per-s";
  kb_slice_t value = htc_call_header (http, name);
  if (value.len_bytes == 0
      || kb_slice_parse_decimal (value, &head->limit_per_s))
    return;
  head->is_limit_malformed = true;
  head->malformed_field = name;
}

static void
read_retry_after (const htc_call_t *http, eng_head_t *head)
{
  enum
  {
    MS_PER_S = 1000,
    MAX_RETRY_AFTER_S = 3600,
  };
  static const char name[] = "retry-after";
  kb_slice_t value = htc_call_header (http, name);
  double seconds = 0;
  if (value.len_bytes > 0 && !kb_slice_parse_decimal (value, &seconds))
    head->malformed_field = name;
  if (seconds > MAX_RETRY_AFTER_S)
    seconds = MAX_RETRY_AFTER_S;
  head->retry_after_ms = (uint64_t)(seconds * MS_PER_S);
}

static void
run_on_head (htc_call_t *http, int http_status, kb_slice_t content_type)
{
  eng_run_t *run = http->owner;
  eng_head_t head = { .http_status = http_status,
                      .content_type = content_type,
                      .is_close_delimited = http->is_close_delimited,
                      .limit_per_s = -1 };
  read_limit (http, &head);
  read_retry_after (http, &head);
  record_leaving (run->engine, http);
  run->events->on_head (run->arg, &head);
}

static void
run_on_body (htc_call_t *http, kb_slice_t bytes)
{
  eng_run_t *run = http->owner;
  run->events->on_body (run->arg, bytes);
}

static void
run_on_end (htc_call_t *http, htc_end_t end)
{
  eng_run_t *run = http->owner;
  run->events->on_end (run->arg, end);
  free (run);
}

static const htc_events_t run_events
    = { run_on_head, run_on_body, run_on_end };

static eng_run_t *
openai_run (eng_engine_t *engine, const eng_run_request_t *request,
            const eng_run_events_t *events, void *arg)
{
  eng_run_t *run = kb_alloc (sizeof *run);
  run->engine = engine;
  run->events = events;
  run->arg = arg;
  char headers[160];
  snprintf (headers, sizeof headers,
            "content-type: application/json\r\ntraceparent: %s\r\n",
            request->traceparent);
  run->call
      = htc_call_start (engine->http, &run_events, run, engine->address,
                        engine->port, request->method, request->path, headers,
                        request->body, request->idle_timeout_ms);
  htc_call_limit_time (run->call, request->total_timeout_ms);
  return run;
}

static void
openai_cancel (eng_engine_t *engine, eng_run_t *run)
{
  htc_call_cancel (run->call);
  free (run);
}

static const eng_vtable_t openai_vtable
    = { openai_load, openai_unload, openai_list, openai_run, openai_cancel };

void
eng_openai_init (eng_engine_t *engine, htc_client_t *http, const char *address,
                 uint16_t port, const char *order_token,
                 uint64_t load_timeout_ms)
{
  *engine = (eng_engine_t){ .vtable = &openai_vtable,
                            .http = http,
                            .port = port,
                            .load_timeout_ms = load_timeout_ms };
  snprintf (engine->address, sizeof engine->address, "%s", address);
  snprintf (engine->order_token, sizeof engine->order_token, "%s",
            order_token);
}
