/// @file cli_net.c
/// Blocking wrappers of the asynchronous clients, for the command line.
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "cli/cli_defs.h"

enum
{
  CLI_TIMEOUT_MS = 3000
};

void
cli_net_init (cli_t *cli)
{
  uv_loop_init (&cli->loop);
  tmr_service_init (&cli->timers, &cli->loop);
  htc_client_init (&cli->http, &cli->loop, &cli->timers);
  kvc_client_init (&cli->kv, &cli->http, cli->kv_address, cli->kv_port,
                   CLI_TIMEOUT_MS, 0);
}

void
cli_sleep_ms (uint64_t delay_ms)
{
  usleep ((useconds_t)(delay_ms * 1000));
}

bool
cli_parse_address (const char *text, char *address, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL || colon == text
      || (size_t)(colon - text) >= CLI_ADDRESS_BYTES)
    return false;
  char *end;
  unsigned long number = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || number == 0 || number > UINT16_MAX)
    return false;
  memcpy (address, text, (size_t)(colon - text));
  address[colon - text] = '\0';
  *port = (uint16_t)number;
  return true;
}

/// A pending call of the key-value service, and its result.
typedef struct
{
  bool is_done;
  cli_value_t value;
} kv_wait_t;

static void
kv_on_done (void *arg, kb_status_t status, const kvc_item_t *items,
            uint32_t count)
{
  kv_wait_t *wait = arg;
  wait->is_done = true;
  wait->value.status = status;
  if (count == 0)
    return;
  wait->value.exists = true;
  wait->value.mod_revision = items[0].mod_revision;
  kb_buf_append (&wait->value.value, items[0].value.ptr,
                 items[0].value.len_bytes);
}

static void
run_until_done (cli_t *cli, const bool *is_done)
{
  while (!*is_done)
    uv_run (&cli->loop, UV_RUN_ONCE);
}

cli_value_t
cli_kv_get (cli_t *cli, const char *key)
{
  kv_wait_t wait = { 0 };
  uv_update_time (&cli->loop);
  kvc_get (&cli->kv, key, kv_on_done, &wait);
  run_until_done (cli, &wait.is_done);
  return wait.value;
}

kb_status_t
cli_kv_put (cli_t *cli, const char *key, kb_slice_t value)
{
  kv_wait_t wait = { 0 };
  uv_update_time (&cli->loop);
  kvc_put (&cli->kv, key, value, kv_on_done, &wait);
  run_until_done (cli, &wait.is_done);
  kb_buf_finish (&wait.value.value);
  return wait.value.status;
}

kb_status_t
cli_kv_cas (cli_t *cli, const char *key, uint64_t expected, kb_slice_t value)
{
  kv_wait_t wait = { 0 };
  uv_update_time (&cli->loop);
  kvc_cas (&cli->kv, key, expected, value, kv_on_done, &wait);
  run_until_done (cli, &wait.is_done);
  return wait.value.status;
}

typedef struct
{
  bool is_done;
  int http_status;
  kb_buf_t *body;
} http_wait_t;

static void
http_on_head (htc_call_t *call, int http_status, kb_slice_t content_type)
{
  ((http_wait_t *)call->owner)->http_status = http_status;
}

static void
http_on_body (htc_call_t *call, kb_slice_t bytes)
{
  kb_buf_append (((http_wait_t *)call->owner)->body, bytes.ptr,
                 bytes.len_bytes);
}

static void
http_on_end (htc_call_t *call, htc_end_t end)
{
  http_wait_t *wait = call->owner;
  wait->is_done = true;
  if (end != HTC_END_COMPLETE)
    wait->http_status = 0;
}

static const htc_events_t http_events
    = { http_on_head, http_on_body, http_on_end };

int
cli_http (cli_t *cli, const char *daemon, const char *method, const char *path,
          kb_buf_t *body)
{
  char address[CLI_ADDRESS_BYTES];
  uint16_t port;
  if (!cli_parse_address (daemon, address, &port))
    return 0;
  char headers[256];
  snprintf (headers, sizeof headers, "authorization: Bearer %s\r\n", cli->key);
  http_wait_t wait = { .body = body };
  uv_update_time (&cli->loop);
  htc_call_start (&cli->http, &http_events, &wait, address, port, method, path,
                  headers, (kb_slice_t){ "", 0 }, CLI_TIMEOUT_MS);
  run_until_done (cli, &wait.is_done);
  return wait.http_status;
}
