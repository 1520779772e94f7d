#include "transport/kv.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/json.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  KVC_RESPONSE_MAX_BYTES = 64 << 20,
  KVC_BURST_CALLS = 128,
  KVC_WATCH_IDLE_TIMEOUT_MS = 86400000
};

typedef enum
{
  CALL_READ,
  CALL_PUT,
  CALL_CAS,
} call_kind_t;

/// A call in progress.
typedef struct
{
  kvc_client_t *client;
  kvc_done_t done;
  void *arg;
  kb_buf_t response;
  call_kind_t kind;
  uint64_t sent_revision; ///< Highest known when the call was sent.
} kv_call_t;

struct kvc_watch
{
  kvc_client_t *client;
  const kvc_watch_events_t *events;
  void *arg;
  htc_call_t *call;
  kb_buf_t line;
};

void
kvc_client_init (kvc_client_t *client, htc_client_t *http, const char *address,
                 uint16_t port, uint64_t timeout_ms, double max_calls_per_s)
{
  *client
      = (kvc_client_t){ .http = http, .port = port, .timeout_ms = timeout_ms };
  snprintf (client->address, sizeof client->address, "%s", address);
  lim_bucket_init (&client->bucket, max_calls_per_s, KVC_BURST_CALLS,
                   tmr_now_ms ());
}

static void
append_base64 (kb_buf_t *out, kb_slice_t bytes)
{
  size_t size_bytes = 4 * (((size_t)bytes.len_bytes + 2) / 3) + 1;
  char *text = kb_alloc (size_bytes);
  int len = EVP_EncodeBlock ((unsigned char *)text,
                             (const unsigned char *)bytes.ptr,
                             (int)bytes.len_bytes);
  kb_buf_append (out, text, (size_t)len);
  free (text);
}

static void
append_base64_member (kb_buf_t *out, const char *name, kb_slice_t bytes)
{
  kb_buf_printf (out, "\"%s\":\"", name);
  append_base64 (out, bytes);
  kb_buf_append_str (out, "\"");
}

/// Appends the key range of a prefix. Its exclusive end is the prefix with the
/// last byte incremented.
static void
append_prefix_range (kb_buf_t *out, const char *prefix)
{
  char end[KVC_KEY_BYTES];
  snprintf (end, sizeof end, "%s", prefix);
  end[strlen (end) - 1]++;
  append_base64_member (out, "key", kb_slice_str (prefix));
  kb_buf_append_str (out, ",");
  append_base64_member (out, "range_end", kb_slice_str (end));
}

/// Record the header of a response: another cluster, or a revision below the
/// one known when the call was sent, is that of a restored service.
/// @param cluster_id  Zero: not stated.
static void
client_observe_header (kv_call_t *call, uint64_t revision, uint64_t cluster_id)
{
  kvc_client_t *client = call->client;
  if (revision == 0)
    return;
  bool is_other = client->cluster_id != 0 && cluster_id != 0
                  && cluster_id != client->cluster_id;
  if (is_other || revision < call->sent_revision)
    {
      log_write (LOG_WARN, "kv", "The service came back from an older copy.");
      MET_INC ("knapweedbay_store_restores_total", "");
      client->restore_count++;
      client->revision = revision;
    }
  if (cluster_id != 0)
    client->cluster_id = cluster_id;
  if (revision > client->revision)
    client->revision = revision;
}

static void
log_unread (kvc_client_t *client, const char *reason)
{
  uint64_t hash = kb_hash (reason, strlen (reason), 0) | 1;
  if (sen_is_new (&client->seen, hash, tmr_now_ms ()))
    log_write (LOG_WARN, "kv", "Answer or item not read: %s.", reason);
}

static void
call_report_range (kv_call_t *call)
{
  kb_error_t error = { 0 };
  kvd_range_t range;
  if (kvd_range_decode (kb_buf_slice (&call->response), &range, &error)
      != KB_OK)
    {
      MET_INC ("knapweedbay_kv_failures_total", "");
      log_unread (call->client, error.message);
      call->done (call->arg, KB_EUNAVAIL, NULL, 0);
      return;
    }
  if (range.ignored_count > 0)
    {
      MET_INC ("knapweedbay_entries_ignored_total", "reason=\"key\"");
      log_unread (call->client, "a key that is empty, too long or has a zero");
    }
  client_observe_header (call, range.revision, range.cluster_id);
  call->done (call->arg, KB_OK, range.items, range.count);
  kvd_range_finish (&range);
}

static void
call_report_write (kv_call_t *call)
{
  struct json_object *doc;
  if (jsn_parse_text ("kv", kb_buf_slice (&call->response), &doc, NULL)
      != KB_OK)
    {
      // A malformed response does not show whether the write was executed.
      call->done (call->arg,
                  call->kind == CALL_CAS ? KB_EUNKNOWN : KB_EUNAVAIL, NULL, 0);
      return;
    }
  struct json_object *header = jsn_get (doc, "header");
  client_observe_header (call, kvd_json_u64 (header, "revision"),
                         kvd_json_u64 (header, "cluster_id"));
  bool is_done = call->kind == CALL_PUT || jsn_bool (doc, "succeeded", false);
  json_object_put (doc);
  call->done (call->arg, is_done ? KB_OK : KB_ECONFLICT, NULL, 0);
}

static void
call_report (kv_call_t *call, int http_status)
{
  if (http_status != 200)
    call->done (call->arg, call->kind == CALL_CAS ? KB_EUNKNOWN : KB_EUNAVAIL,
                NULL, 0);
  else if (call->kind == CALL_READ)
    call_report_range (call);
  else
    call_report_write (call);
}

static void
call_on_head (htc_call_t *http, int http_status, kb_slice_t content_type)
{
}

static void
call_on_body (htc_call_t *http, kb_slice_t bytes)
{
  kv_call_t *call = http->owner;
  if (call->response.len_bytes + bytes.len_bytes < KVC_RESPONSE_MAX_BYTES)
    kb_buf_append (&call->response, bytes.ptr, bytes.len_bytes);
  else
    htc_call_abort (http);
}

static void
call_on_end (htc_call_t *http, htc_end_t end)
{
  kv_call_t *call = http->owner;
  if (end == HTC_END_COMPLETE)
    call_report (call, http->http_status);
  else
    {
      MET_INC ("knapweedbay_kv_failures_total", "");
      bool is_unknown = call->kind == CALL_CAS && end != HTC_END_NOT_SENT;
      call->done (call->arg, is_unknown ? KB_EUNKNOWN : KB_EUNAVAIL, NULL, 0);
    }
  kb_buf_finish (&call->response);
  free (call);
}

static const htc_events_t call_events
    = { call_on_head, call_on_body, call_on_end };

static void
call_start (kvc_client_t *client, const char *path, kb_buf_t *body,
            call_kind_t kind, kvc_done_t done, void *arg)
{
  uint64_t retry_after_ms;
  if (!lim_bucket_take (&client->bucket, tmr_now_ms (), &retry_after_ms))
    {
      // A thousand daemons that start, or lose their watch, at the same time
      // would exceed the rate limit of the service. Each daemon therefore
      // limits its own calls, and the caller retries after its backoff.
      MET_INC ("knapweedbay_kv_held_back_total", "");
      done (arg, KB_EUNAVAIL, NULL, 0);
      kb_buf_finish (body);
      return;
    }
  kv_call_t *call = kb_alloc (sizeof *call);
  call->client = client;
  call->done = done;
  call->arg = arg;
  call->kind = kind;
  call->sent_revision = client->revision;
  htc_call_t *http = htc_call_start (
      client->http, &call_events, call, client->address, client->port, "POST",
      path, "content-type: application/json\r\n", kb_buf_slice (body),
      client->timeout_ms);
  htc_call_limit_time (http, client->timeout_ms);
  kb_buf_finish (body);
}

void
kvc_get (kvc_client_t *client, const char *key, kvc_done_t done, void *arg)
{
  MET_INC ("knapweedbay_kv_calls_total", "kind=\"read\"");
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{");
  append_base64_member (&body, "key", kb_slice_str (key));
  kb_buf_append_str (&body, "}");
  call_start (client, "/v3/kv/range", &body, CALL_READ, done, arg);
}

void
kvc_range (kvc_client_t *client, const char *prefix, kvc_done_t done,
           void *arg)
{
  MET_INC ("knapweedbay_kv_calls_total", "kind=\"read\"");
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{");
  append_prefix_range (&body, prefix);
  kb_buf_append_str (&body, "}");
  call_start (client, "/v3/kv/range", &body, CALL_READ, done, arg);
}

void
kvc_put (kvc_client_t *client, const char *key, kb_slice_t value,
         kvc_done_t done, void *arg)
{
  MET_INC ("knapweedbay_kv_calls_total", "kind=\"write\"");
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{");
  append_base64_member (&body, "key", kb_slice_str (key));
  kb_buf_append_str (&body, ",");
  append_base64_member (&body, "value", value);
  kb_buf_append_str (&body, "}");
  call_start (client, "/v3/kv/put", &body, CALL_PUT, done, arg);
}

void
kvc_cas (kvc_client_t *client, const char *key, uint64_t expected_revision,
         kb_slice_t value, kvc_done_t done, void *arg)
{
  MET_INC ("knapweedbay_kv_calls_total", "kind=\"write\"");
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{\"compare\":[{");
  append_base64_member (&body, "key", kb_slice_str (key));
  kb_buf_printf (&body,
                 ",\"target\":\"MOD\",\"result\":\"EQUAL\","
                 "\"mod_revision\":\"%llu\"}],\"success\":[{\"request_put\":{",
                 (unsigned long long)expected_revision);
  append_base64_member (&body, "key", kb_slice_str (key));
  kb_buf_append_str (&body, ",");
  append_base64_member (&body, "value", value);
  kb_buf_append_str (&body, "}}],\"failure\":[]}");
  call_start (client, "/v3/kv/txn", &body, CALL_CAS, done, arg);
}

static void
watch_report_event (kvc_watch_t *watch, struct json_object *event)
{
  kvc_item_t item;
  kb_buf_t value;
  kb_buf_init (&value);
  if (kvd_item_decode (jsn_get (event, "kv"), &item, &value))
    {
      if (strcmp (jsn_str (event, "type", "PUT"), "DELETE") == 0)
        item.mod_revision = 0;
      watch->events->on_item (watch->arg, &item);
    }
  kb_buf_finish (&value);
}

static void
watch_report_line (kvc_watch_t *watch, kb_slice_t line)
{
  struct json_object *doc;
  if (jsn_parse_text ("watch", line, &doc, NULL) != KB_OK)
    return;
  struct json_object *events = jsn_get (jsn_get (doc, "result"), "events");
  size_t count = json_object_is_type (events, json_type_array)
                     ? json_object_array_length (events)
                     : 0;
  for (size_t i = 0; i < count; i++)
    watch_report_event (watch, json_object_array_get_idx (events, i));
  json_object_put (doc);
}

static void
watch_on_body (htc_call_t *call, kb_slice_t bytes)
{
  kvc_watch_t *watch = call->owner;
  kb_buf_append (&watch->line, bytes.ptr, bytes.len_bytes);
  char *eol;
  while (watch->line.len_bytes > 0
         && (eol = memchr (watch->line.ptr, '\n', watch->line.len_bytes))
                != NULL)
    {
      size_t len = (size_t)(eol - watch->line.ptr);
      watch_report_line (watch,
                         (kb_slice_t){ watch->line.ptr, (uint32_t)len });
      kb_buf_consume (&watch->line, len + 1);
    }
  if (watch->line.len_bytes > KVC_RESPONSE_MAX_BYTES)
    htc_call_abort (call);
}

static void
watch_free (kvc_watch_t *watch)
{
  kb_buf_finish (&watch->line);
  free (watch);
}

static void
watch_on_end (htc_call_t *call, htc_end_t end)
{
  kvc_watch_t *watch = call->owner;
  MET_INC ("knapweedbay_kv_watches_lost_total", "");
  met_add (met_counter ("knapweedbay_kv_watches_open", ""), -1);
  watch->events->on_lost (watch->arg);
  watch_free (watch);
}

static const htc_events_t watch_call_events
    = { call_on_head, watch_on_body, watch_on_end };

kvc_watch_t *
kvc_watch_start (kvc_client_t *client, const char *prefix,
                 const kvc_watch_events_t *events, void *arg)
{
  MET_INC ("knapweedbay_kv_calls_total", "kind=\"watch\"");
  met_add (met_counter ("knapweedbay_kv_watches_open", ""), 1);
  kvc_watch_t *watch = kb_alloc (sizeof *watch);
  watch->client = client;
  watch->events = events;
  watch->arg = arg;
  kb_buf_t body = { 0 };
  kb_buf_append_str (&body, "{\"create_request\":{");
  append_prefix_range (&body, prefix);
  kb_buf_append_str (&body, "}}");
  watch->call = htc_call_start (
      client->http, &watch_call_events, watch, client->address, client->port,
      "POST", "/v3/watch", "content-type: application/json\r\n",
      kb_buf_slice (&body), KVC_WATCH_IDLE_TIMEOUT_MS);
  kb_buf_finish (&body);
  return watch;
}

void
kvc_watch_stop (kvc_watch_t *watch)
{
  htc_call_cancel (watch->call);
  met_add (met_counter ("knapweedbay_kv_watches_open", ""), -1);
  watch_free (watch);
}
