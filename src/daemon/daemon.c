#include "daemon/daemon.h"

#include <openssl/crypto.h>
#include <signal.h>
#include <stdio.h>

#include "protocol/openai.h"
#include "transport/log.h"
#include "transport/memlimit.h"
#include "transport/metrics.h"
#include "transport/trace.h"

uint64_t
dmn_random (void)
{
  uint64_t number = 0;
  uv_random (NULL, NULL, &number, sizeof number, 0, NULL);
  return number;
}

uint64_t
dmn_new_attempt_id (dmn_daemon_t *daemon)
{
  return daemon->attempt_base | ++daemon->attempt_count;
}

uint64_t
dmn_name_id (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

uint64_t
dmn_own_id (const dmn_daemon_t *daemon)
{
  return dmn_name_id (kb_slice_str (daemon->settings.name));
}

bool
dmn_has_memory (const dmn_daemon_t *daemon, size_t bytes)
{
  const kb_account_t *memory = &daemon->memory;
  uint64_t limit_bytes = bytes > MLM_SMALL_BYTES
                             ? mlm_large_limit_bytes (memory)
                             : memory->limit_bytes;
  return memory->held_bytes + bytes <= limit_bytes;
}

kb_status_t
dmn_send (dmn_daemon_t *daemon, const char *peer, const msg_t *msg)
{
  return lnk_link_send (&daemon->link, kb_slice_str (peer), msg);
}

void
dmn_reply_error (hts_request_t *request, int http_status, const char *outcome,
                 const char *message, uint64_t retry_after_ms)
{
  kb_buf_t body = { 0 };
  oai_error_write (&body, outcome, message);
  hts_response_header (request, "x-knapweedbay-outcome",
                       kb_slice_str (outcome));
  if (retry_after_ms > 0)
    {
      char seconds[24];
      snprintf (seconds, sizeof seconds, "%llu",
                (unsigned long long)((retry_after_ms + 999) / 1000));
      hts_response_header (request, "retry-after", kb_slice_str (seconds));
      snprintf (seconds, sizeof seconds, "%llu",
                (unsigned long long)retry_after_ms);
      hts_response_header (request, "x-knapweedbay-retry-after-ms",
                           kb_slice_str (seconds));
    }
  hts_reply (request, http_status, "application/json", kb_buf_slice (&body));
  kb_buf_finish (&body);
}

static bool
path_equals (const hts_request_t *request, const char *path)
{
  return kb_slice_equal (request->path, kb_slice_str (path));
}

/// Whether the request carries the operator key. The comparison takes constant
/// time, so that the key cannot be guessed byte by byte.
static bool
has_operator_key (dmn_daemon_t *daemon, hts_request_t *request)
{
  const char *key = daemon->settings.operator_key;
  kb_slice_t header = hts_request_header (request, "authorization");
  const char bearer[] = "Bearer ";
  size_t prefix_len = sizeof bearer - 1;
  size_t len = strlen (key);
  return len > 0 && header.len_bytes == prefix_len + len
         && memcmp (header.ptr, bearer, prefix_len) == 0
         && CRYPTO_memcmp (header.ptr + prefix_len, key, len) == 0;
}

static void
reply_status (dmn_daemon_t *daemon, hts_request_t *request)
{
  const set_settings_t *s = &daemon->settings;
  kb_buf_t body = { 0 };
  kb_buf_printf (&body,
                 "{\"name\":\"%s\",\"role\":\"%s\",\"failure_domain\":\"%s\","
                 "\"draining\":%s",
                 s->name, s->role_name, s->failure_domain,
                 daemon->is_draining ? "true" : "false");
  daemon->role->write_status (daemon, &body);
  kb_buf_append_str (&body, "}\n");
  hts_reply (request, 200, "application/json", kb_buf_slice (&body));
  kb_buf_finish (&body);
}

static void
reply_metrics (dmn_daemon_t *daemon, hts_request_t *request)
{
  met_set (met_counter ("knapweedbay_inner_bytes_total", "way=\"in\""),
           (int64_t)daemon->link.bytes_in);
  met_set (met_counter ("knapweedbay_inner_bytes_total", "way=\"out\""),
           (int64_t)daemon->link.bytes_out);
  size_t rss_bytes = 0;
  uv_resident_set_memory (&rss_bytes);
  met_set (met_counter ("knapweedbay_resident_bytes", ""), (int64_t)rss_bytes);
  kb_buf_t body = { 0 };
  met_write (&body);
  hts_reply (request, 200, "text/plain; version=0.0.4", kb_buf_slice (&body));
  kb_buf_finish (&body);
}

static void
reply_text (hts_request_t *request, int http_status, const char *text)
{
  hts_reply (request, http_status, "text/plain", kb_slice_str (text));
}

static void
server_on_request (hts_server_t *server, hts_request_t *request)
{
  dmn_daemon_t *daemon = server->owner;
  if (path_equals (request, "/healthz"))
    reply_text (request, 200, "ok\n");
  else if (path_equals (request, "/readyz"))
    {
      bool is_ready = !daemon->is_draining && daemon->role->is_ready (daemon)
                      && !itk_is_short (&daemon->accept.intake, tmr_now_ms ());
      reply_text (request, is_ready ? 200 : 503,
                  is_ready ? "ready\n" : "not ready\n");
    }
  else if (path_equals (request, "/metrics"))
    reply_metrics (daemon, request);
  else if (path_equals (request, "/v1/status")
           || path_equals (request, "/v1/drain"))
    {
      if (!has_operator_key (daemon, request))
        {
          dmn_reply_error (request, 401, "not_run",
                           "the operator key is missing or wrong", 0);
          return;
        }
      if (path_equals (request, "/v1/drain"))
        {
          if (!kb_slice_equal (request->method, kb_slice_str ("POST")))
            {
              dmn_reply_error (request, 405, "not_run", "use POST", 0);
              return;
            }
          dmn_drain (daemon);
        }
      reply_status (daemon, request);
    }
  else
    daemon->role->on_request (daemon, request);
}

static void
server_on_abort (hts_request_t *request)
{
  dmn_daemon_t *daemon = request->server->owner;
  daemon->role->on_abort (daemon, request);
}

static const hts_events_t server_events
    = { server_on_request, server_on_abort };

void
dmn_drain (dmn_daemon_t *daemon)
{
  if (daemon->is_draining)
    return;
  daemon->is_draining = true;
  log_write (LOG_INFO, "daemon", "Drain started.");
  daemon->role->on_drain (daemon);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  dmn_drain (signal->data);
}

static void
signal_register (dmn_daemon_t *daemon, uv_signal_t *handle, int number)
{
  uv_signal_init (&daemon->loop, handle);
  handle->data = daemon;
  uv_signal_start (handle, on_signal, number);
}

kb_status_t
dmn_init (dmn_daemon_t *daemon, const dmn_role_t *role,
          const lnk_events_t *link_events, void *role_state, kb_error_t *error)
{
  const set_settings_t *s = &daemon->settings;
  daemon->role = role;
  daemon->role_state = role_state;
  log_level_t level;
  if (log_level_parse (s->log_level, &level) != KB_OK)
    return kb_error_set (error, KB_EINVAL,
                         "\"log_level\": unknown level \"%s\"", s->log_level);
  log_level_set (level);
  trc_configure (s->trace_stdout, s->name);
  signal (SIGPIPE, SIG_IGN);
  daemon->memory.limit_bytes = mlm_peer_limit_bytes ((uint64_t)s->memory_mb);
  uv_loop_init (&daemon->loop);
  daemon->incarnation = dmn_random () | 1;
  daemon->attempt_base = dmn_random () << 32;
  if (daemon->attempt_base == 0)
    daemon->attempt_base = (uint64_t)1 << 32;
  tmr_service_init (&daemon->timers, &daemon->loop);
  htc_client_init (&daemon->http, &daemon->loop, &daemon->timers);
  kvc_client_init (&daemon->kv, &daemon->http, s->kv_address,
                   (uint16_t)s->kv_port, (uint64_t)s->kv_timeout_ms,
                   s->kv_calls_per_s);
  lnk_options_t link_options
      = { .name = s->name,
          .public_key = s->curve_public_key,
          .secret_key = s->curve_secret_key,
          .allowed_keys = { s->curve_agent_key, s->curve_entry_key } };
  kb_status_t status = lnk_link_init (
      &daemon->link, &daemon->loop, link_events, daemon, &link_options, error);
  if (status != KB_OK)
    return status;
  daemon->inner_port = (uint16_t)s->inner_port;
  status = lnk_link_bind (&daemon->link, s->listen_address,
                          &daemon->inner_port, error);
  if (status != KB_OK)
    return status;
  hts_options_t http_options
      = { .address = s->listen_address,
          .port = (uint16_t)s->http_port,
          .certificate_file = s->tls_certificate_file,
          .key_file = s->tls_key_file,
          .max_body_bytes = (uint64_t)s->max_body_bytes,
          .read_timeout_ms = (uint64_t)s->request_read_timeout_ms,
          .max_connections = (uint64_t)s->max_connections,
          .memory = &daemon->memory,
          .policy = &daemon->accept.policy };
  acc_init (&daemon->accept);
  status = hts_server_init (&daemon->server, &daemon->loop, &daemon->timers,
                            &server_events, daemon, &http_options, error);
  if (status != KB_OK)
    return status;
  signal_register (daemon, &daemon->sigterm, SIGTERM);
  signal_register (daemon, &daemon->sigint, SIGINT);
  printf ("ready name=%s role=%s http=%u inner=%u\n", s->name, s->role_name,
          daemon->server.port, daemon->inner_port);
  fflush (stdout);
  return KB_OK;
}

int
dmn_run (dmn_daemon_t *daemon)
{
  uv_run (&daemon->loop, UV_RUN_DEFAULT);
  return daemon->exit_code;
}

void
dmn_exit (dmn_daemon_t *daemon, int exit_code)
{
  daemon->exit_code = exit_code;
  log_write (LOG_INFO, "daemon", "Exiting with code %d.", exit_code);
  uv_stop (&daemon->loop);
}
