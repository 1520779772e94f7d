#include "fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

uv_loop_t fk_loop;
tmr_service_t fk_timers;
static const fk_role_t *fk_role;
/// Announced to callers in response headers.
static double limit_per_s = -1; ///< Negative: none.
static bool is_leaving;
static double retry_after_s = -1; ///< Negative: requests are not refused.
uint64_t fk_rejected_count;

void
fk_reply (hts_request_t *request, int http_status, const kb_buf_t *body)
{
  hts_reply (request, http_status, "application/json", kb_buf_slice (body));
}

void
fk_reply_text (hts_request_t *request, int http_status, const char *text)
{
  hts_reply (request, http_status, "application/json", kb_slice_str (text));
}

void
fk_reply_truncated (hts_request_t *request)
{
  hts_stream_begin (request, 200, "application/json");
  hts_stream_end (request, false);
}

bool
fk_path_is (const hts_request_t *request, const char *path)
{
  return kb_slice_equal (request->path, kb_slice_str (path));
}

struct json_object *
fk_body (const hts_request_t *request)
{
  struct json_object *doc = NULL;
  jsn_parse_text ("request", request->body, &doc, NULL);
  return doc;
}

static void
add_target_headers (hts_request_t *request)
{
  char text[32];
  snprintf (text, sizeof text, "%.3f", limit_per_s);
  if (limit_per_s >= 0)
    hts_response_header (request, "x-request-limit-per-s",
                         kb_slice_str (text));
  if (is_leaving)
    hts_response_header (request, "x-leaving", kb_slice_str ("1"));
}

bool
fk_reject_if_paused (hts_request_t *request)
{
  if (retry_after_s < 0)
    return false;
  fk_rejected_count++;
  char seconds[32];
  snprintf (seconds, sizeof seconds, "%.3f", retry_after_s);
  hts_response_header (request, "retry-after", kb_slice_str (seconds));
  fk_reply_text (request, 503, "{\"error\":{\"message\":\"later\"}}");
  return true;
}

static void
on_request (hts_server_t *server, hts_request_t *request)
{
  if (!fk_path_is (request, "/fault"))
    {
      add_target_headers (request);
      fk_role->on_request (request);
      return;
    }
  struct json_object *faults = fk_body (request);
  limit_per_s = jsn_num (faults, "limit_per_s", limit_per_s);
  retry_after_s = jsn_num (faults, "pause_s", retry_after_s);
  is_leaving = jsn_bool (faults, "says_leaving", is_leaving);
  fk_role->on_fault (faults);
  json_object_put (faults);
  fk_reply_text (request, 200, "{}");
}

static void
on_abort (hts_request_t *request)
{
  fk_role->on_abort (request);
}

static const hts_events_t events = { on_request, on_abort };

static const fk_role_t *
find_role (const char *name)
{
  if (strcmp (name, "engine") == 0)
    return &fk_engine;
  if (strcmp (name, "kv") == 0)
    return &fk_kv;
  if (strcmp (name, "list") == 0)
    return &fk_list;
  return strcmp (name, "plain") == 0 ? &fk_plain : NULL;
}

int
main (int argc, char **argv)
{
  fk_role = argc > 1 ? find_role (argv[1]) : NULL;
  if (fk_role == NULL)
    {
      fprintf (stderr, "Usage: kbfake engine|kv|list|plain [PORT]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&fk_loop);
  tmr_service_init (&fk_timers, &fk_loop);
  static hts_server_t server;
  hts_options_t options = { .address = "127.0.0.1",
                            .port = (uint16_t)(argc > 2 ? atoi (argv[2]) : 0),
                            .max_body_bytes = 64 << 20,
                            .read_timeout_ms = 60000,
                            .max_connections = 100000 };
  kb_error_t error = { 0 };
  if (hts_server_init (&server, &fk_loop, &fk_timers, &events, NULL, &options,
                       &error)
      != KB_OK)
    {
      fprintf (stderr, "kbfake: %s\n", error.message);
      return 1;
    }
  printf ("ready name=%s role=fake http=%u inner=0\n", argv[1], server.port);
  fflush (stdout);
  return uv_run (&fk_loop, UV_RUN_DEFAULT);
}
