/// @file entry_http.c
/// Validation of callers' HTTP requests and their conversion to ent_request_t.
#include <inttypes.h>
#include <openssl/sha.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  HTTP_BAD_REQUEST = 400,
  HTTP_UNAUTHORIZED = 401,
  HTTP_NOT_FOUND = 404,
  HTTP_METHOD_NOT_ALLOWED = 405,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_UNAVAILABLE = 503,
  DEFAULT_RETRY_AFTER_MS = 1000,
  MAX_KEY_BYTES = 255,
};

/// Error reply to a refused request.
typedef struct
{
  int http_status;
  uint64_t retry_after_ms;
  char message[256];
} refusal_t;

static bool
refuse (refusal_t *refusal, int http_status, const char *format, ...)
{
  refusal->http_status = http_status;
  va_list args;
  va_start (args, format);
  vsnprintf (refusal->message, sizeof refusal->message, format, args);
  va_end (args);
  return false;
}

static bool
has_prefix (kb_slice_t text, const char *prefix)
{
  size_t len = strlen (prefix);
  return text.len_bytes >= len && memcmp (text.ptr, prefix, len) == 0;
}

static bool
parse_bool (kb_slice_t text, bool fallback)
{
  if (kb_slice_equal (text, kb_slice_str ("true")))
    return true;
  if (kb_slice_equal (text, kb_slice_str ("false")))
    return false;
  return fallback;
}

/// Refuse repeated headers: the entry and the target might use different
/// values.
static bool
check_single_headers (hts_request_t *http, refusal_t *refusal)
{
  static const char *const single_value_headers[]
      = { "authorization",
          "idempotency-key",
          "x-knapweedbay-idempotent",
          "x-knapweedbay-timeout-ms",
          "content-length",
          "traceparent" };
  for (size_t i = 0;
       i < sizeof single_value_headers / sizeof single_value_headers[0]; i++)
    if (hts_request_header_count (http, single_value_headers[i]) > 1)
      return refuse (refusal, HTTP_BAD_REQUEST,
                     "header \"%s\" stands more than once",
                     single_value_headers[i]);
  return true;
}

static const cfg_workspace_t *
authenticate (ent_entry_t *entry, hts_request_t *http)
{
  kb_slice_t header = hts_request_header (http, "authorization");
  const char bearer[] = "Bearer ";
  if (!has_prefix (header, bearer))
    return NULL;
  size_t skip = sizeof bearer - 1;
  uint8_t digest[SHA256_DIGEST_LENGTH];
  SHA256 ((const unsigned char *)header.ptr + skip, header.len_bytes - skip,
          digest);
  return cfg_workspace_find (entry->config.current, digest);
}

static ent_workspace_t *
workspace_limits (ent_entry_t *entry, const cfg_workspace_t *workspace)
{
  uint64_t id = kb_hash (workspace->name, strlen (workspace->name), 0) | 1;
  ent_workspace_t *limits = kb_map_get (&entry->workspaces, id);
  if (limits == NULL)
    {
      limits = kb_alloc (sizeof *limits);
      limits->id = id;
      lim_bucket_init (&limits->bucket, workspace->rate_per_s,
                       workspace->rate_per_s < 1 ? 1 : workspace->rate_per_s,
                       tmr_now_ms ());
      kb_map_put (&entry->workspaces, id, limits);
    }
  // The configuration may have changed since the last request.
  limits->bucket.rate_per_s = workspace->rate_per_s;
  limits->bucket.burst = workspace->rate_per_s < 1 ? 1 : workspace->rate_per_s;
  return limits;
}

static bool
check_limits (ent_entry_t *entry, const cfg_workspace_t *workspace,
              ent_workspace_t *limits, uint32_t body_bytes, refusal_t *refusal)
{
  if (entry->request_count >= (uint32_t)entry->daemon->settings.max_inflight)
    {
      refusal->retry_after_ms = DEFAULT_RETRY_AFTER_MS;
      return refuse (refusal, HTTP_UNAVAILABLE, "the entry is full");
    }
  // A copy is rewritten, and another one waits to be sent.
  if (!dmn_has_memory (entry->daemon, 2 * (size_t)body_bytes))
    {
      MET_INC ("knapweedbay_callers_shed_total", "");
      refusal->retry_after_ms = DEFAULT_RETRY_AFTER_MS;
      return refuse (refusal, HTTP_UNAVAILABLE,
                     "the entry is short of memory");
    }
  if (workspace->max_inflight > 0
      && limits->inflight >= workspace->max_inflight)
    {
      refusal->retry_after_ms = DEFAULT_RETRY_AFTER_MS;
      return refuse (refusal, HTTP_TOO_MANY_REQUESTS,
                     "workspace \"%s\" has %u requests in progress",
                     workspace->name, limits->inflight);
    }
  if (!lim_bucket_take (&limits->bucket, tmr_now_ms (),
                        &refusal->retry_after_ms))
    return refuse (refusal, HTTP_TOO_MANY_REQUESTS,
                   "workspace \"%s\" exceeds its rate", workspace->name);
  return true;
}

static bool
read_deadline (ent_entry_t *entry, hts_request_t *http, ent_request_t *r,
               refusal_t *refusal)
{
  const set_settings_t *s = &entry->daemon->settings;
  uint64_t deadline_ms = (uint64_t)s->default_deadline_ms;
  kb_slice_t header = hts_request_header (http, "x-knapweedbay-timeout-ms");
  if (header.len_bytes > 0)
    {
      char text[24];
      char *end;
      kb_slice_copy (header, text, sizeof text);
      deadline_ms = strtoull (text, &end, 10);
      if (*end != '\0' || deadline_ms == 0)
        return refuse (refusal, HTTP_BAD_REQUEST,
                       "\"x-knapweedbay-timeout-ms\" must be a number");
    }
  if (deadline_ms > (uint64_t)s->max_deadline_ms)
    deadline_ms = (uint64_t)s->max_deadline_ms;
  r->deadline_at_ms = tmr_now_ms () + deadline_ms;
  return true;
}

/// Read whether the request is idempotent, and its idempotency key.
static bool
read_idempotency (hts_request_t *http, bool service_default, ent_request_t *r,
                  refusal_t *refusal)
{
  bool is_idempotent = parse_bool (
      hts_request_header (http, "x-knapweedbay-idempotent"), service_default);
  if (is_idempotent)
    r->flags |= MSG_FLAG_IDEMPOTENT;
  kb_slice_t key = hts_request_header (http, "idempotency-key");
  if (key.len_bytes == 0)
    return true;
  if (key.len_bytes > MAX_KEY_BYTES)
    return refuse (refusal, HTTP_BAD_REQUEST,
                   "\"idempotency-key\" is longer than %d bytes",
                   MAX_KEY_BYTES);
  uint64_t workspace = kb_hash (r->workspace, strlen (r->workspace), 0);
  r->claim_key = kb_hash (key.ptr, key.len_bytes, workspace) | 1;
  uint64_t seed = kb_hash (r->path, strlen (r->path), workspace);
  r->claim_digest = kb_hash (http->body.ptr, http->body.len_bytes, seed);
  return true;
}

static bool
read_completion_request (ent_entry_t *entry, const cfg_workspace_t *workspace,
                         hts_request_t *http, ent_request_t *r,
                         refusal_t *refusal)
{
  kb_error_t error = { 0 };
  oai_request_t parsed;
  if (oai_request_parse (http->body, &parsed, &error) != KB_OK)
    return refuse (refusal, HTTP_BAD_REQUEST, "%s", error.message);
  const cfg_config_t *config = entry->config.current;
  const cfg_adapter_t *adapter
      = cfg_adapter_find (config, kb_slice_str (parsed.adapter));
  if (adapter == NULL)
    return refuse (refusal, HTTP_NOT_FOUND, "unknown adapter \"%s\"",
                   parsed.adapter);
  r->version = parsed.version != 0 ? parsed.version : adapter->current;
  const cfg_version_t *version = cfg_version_find (adapter, r->version);
  if (version == NULL)
    return refuse (refusal, HTTP_NOT_FOUND,
                   "adapter \"%s\" has no version %" PRIu32, parsed.adapter,
                   r->version);
  const cfg_service_t *service = &config->services[adapter->service];
  snprintf (r->service, sizeof r->service, "%s", service->name);
  snprintf (r->adapter, sizeof r->adapter, "%s", adapter->name);
  snprintf (r->model, sizeof r->model, "%s@%" PRIu32, adapter->name,
            r->version);
  r->adapter_id = kb_hash (r->model, strlen (r->model), 0) | 1;
  r->source = kb_strdup (version->source);
  r->max_tokens = parsed.max_tokens;
  r->priority_class
      = cfg_priority_class (config, workspace, kb_slice_str (service->name),
                            kb_slice_str (adapter->name));
  r->flags |= parsed.is_stream ? MSG_FLAG_STREAM : 0;
  oai_request_rewrite (http->body, &parsed, r->model, r->priority_class,
                       &r->body);
  return read_idempotency (http, service->is_idempotent, r, refusal);
}

/// Read a request for "/v1/services/NAME/rest"; "/rest" is the path at the
/// target.
static bool
read_plain_request (ent_entry_t *entry, const cfg_workspace_t *workspace,
                    hts_request_t *http, ent_request_t *r, refusal_t *refusal)
{
  const uint32_t skip = sizeof "/v1/services/" - 1;
  kb_slice_t rest = { http->path.ptr + skip, http->path.len_bytes - skip };
  const char *slash = memchr (rest.ptr, '/', rest.len_bytes);
  kb_slice_t name = rest;
  if (slash != NULL)
    name.len_bytes = (uint32_t)(slash - rest.ptr);
  const cfg_config_t *config = entry->config.current;
  const cfg_service_t *service = cfg_service_find (config, name);
  if (service == NULL || !service->is_plain)
    return refuse (refusal, HTTP_NOT_FOUND, "unknown plain service \"%.*s\"",
                   (int)name.len_bytes, name.ptr);
  snprintf (r->service, sizeof r->service, "%s", service->name);
  r->flags |= MSG_FLAG_PLAIN;
  free (r->path);
  r->path = slash == NULL ? kb_strdup ("/")
                          : kb_slice_dup ((kb_slice_t){
                              slash, rest.len_bytes - name.len_bytes });
  kb_buf_append (&r->body, http->body.ptr, http->body.len_bytes);
  r->priority_class
      = cfg_priority_class (config, workspace, name, (kb_slice_t){ "", 0 });
  // GET and HEAD are idempotent; for other methods the service's setting
  // counts.
  bool is_read_only = kb_slice_equal (http->method, kb_slice_str ("GET"))
                      || kb_slice_equal (http->method, kb_slice_str ("HEAD"));
  return read_idempotency (http, is_read_only || service->is_idempotent, r,
                           refusal);
}

static bool
read_request (ent_entry_t *entry, const cfg_workspace_t *workspace,
              hts_request_t *http, ent_request_t *r, refusal_t *refusal)
{
  snprintf (r->workspace, sizeof r->workspace, "%s", workspace->name);
  r->weight = workspace->weight;
  r->method = kb_slice_dup (http->method);
  r->path = kb_slice_dup (http->path);
  if (!read_deadline (entry, http, r, refusal))
    return false;
  bool is_valid
      = has_prefix (http->path, "/v1/services/")
            ? read_plain_request (entry, workspace, http, r, refusal)
            : read_completion_request (entry, workspace, http, r, refusal);
  r->service_id = kb_hash (r->service, strlen (r->service), 0) | 1;
  return is_valid;
}

static void
request_discard (ent_request_t *r)
{
  free (r->source);
  free (r->method);
  free (r->path);
  kb_buf_finish (&r->body);
  free (r);
}

static void
reply_refusal (hts_request_t *http, const refusal_t *refusal)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"refused\"");
  dmn_reply_error (http, refusal->http_status, "not_run", refusal->message,
                   refusal->retry_after_ms);
}

static void
handle_service_request (ent_entry_t *entry, hts_request_t *http)
{
  refusal_t refusal = { 0 };
  if (entry->daemon->is_draining)
    {
      refuse (&refusal, HTTP_UNAVAILABLE, "this entry is shutting down");
      refusal.retry_after_ms = 1;
      reply_refusal (http, &refusal);
      return;
    }
  if (entry->config.current == NULL)
    {
      refuse (&refusal, HTTP_UNAVAILABLE, "no configuration is in force yet");
      refusal.retry_after_ms = DEFAULT_RETRY_AFTER_MS;
      reply_refusal (http, &refusal);
      return;
    }
  const cfg_workspace_t *workspace = NULL;
  if (check_single_headers (http, &refusal))
    {
      workspace = authenticate (entry, http);
      if (workspace == NULL)
        refuse (&refusal, HTTP_UNAUTHORIZED,
                "the workspace key is missing or unknown");
    }
  ent_workspace_t *limits
      = workspace == NULL ? NULL : workspace_limits (entry, workspace);
  if (limits == NULL
      || !check_limits (entry, workspace, limits, http->body.len_bytes,
                        &refusal))
    {
      reply_refusal (http, &refusal);
      return;
    }
  ent_request_t *r = kb_alloc (sizeof *r);
  r->entry = entry;
  kb_buf_set_account (&r->body, &entry->daemon->memory);
  kb_buf_set_account (&r->answer, &entry->daemon->memory);
  if (!read_request (entry, workspace, http, r, &refusal))
    {
      request_discard (r);
      reply_refusal (http, &refusal);
      return;
    }
  r->http = http;
  http->owner = r;
  r->limits = limits;
  limits->inflight++;
  r->arrived_us = tmr_now_us ();
  r->arrived_wall_us = tmr_wall_ms () * 1000;
  uint64_t random[2] = { dmn_random (), dmn_random () };
  r->trace = trc_begin (hts_request_header (http, "traceparent"), random);
  ent_request_start (r);
}

static void
reply_models (ent_entry_t *entry, hts_request_t *http)
{
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{\"object\":\"list\",\"data\":[");
  const cfg_config_t *config = entry->config.current;
  bool is_first = true;
  for (uint32_t i = 0; config != NULL && i < config->adapter_count; i++)
    {
      const cfg_adapter_t *a = &config->adapters[i];
      for (uint32_t v = 0; v < a->version_count; v++)
        {
          kb_buf_printf (&body,
                         "%s{\"id\":\"%s@%" PRIu32
                         "\",\"object\":\"model\",\"current\":%s}",
                         is_first ? "" : ",", a->name, a->versions[v].number,
                         a->versions[v].number == a->current ? "true"
                                                             : "false");
          is_first = false;
        }
    }
  kb_buf_append_str (&body, "]}\n");
  hts_reply (http, 200, "application/json", kb_buf_slice (&body));
  kb_buf_finish (&body);
}

static bool
path_equals (const hts_request_t *http, const char *path)
{
  return kb_slice_equal (http->path, kb_slice_str (path));
}

void
ent_http_handle_request (ent_entry_t *entry, hts_request_t *http)
{
  if (path_equals (http, "/v1/models"))
    {
      reply_models (entry, http);
      return;
    }
  bool is_completion = path_equals (http, "/v1/completions")
                       || path_equals (http, "/v1/chat/completions");
  if (!is_completion && !has_prefix (http->path, "/v1/services/"))
    {
      dmn_reply_error (http, HTTP_NOT_FOUND, "not_run", "no such page", 0);
      return;
    }
  if (is_completion && !kb_slice_equal (http->method, kb_slice_str ("POST")))
    {
      dmn_reply_error (http, HTTP_METHOD_NOT_ALLOWED, "not_run", "use POST",
                       0);
      return;
    }
  handle_service_request (entry, http);
}
