/// @file cli_status.c
/// Subcommands for running daemons and for keys.
#include <inttypes.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <unistd.h>
#include <zmq.h>

#include "cli/cli_defs.h"

enum
{
  WATCH_INTERVAL_MS = 1000
};

static const char *
state_colour (const char *state)
{
  if (!isatty (STDOUT_FILENO))
    return "";
  return strcmp (state, "up") == 0 ? "\033[32m" : "\033[31m";
}

static const char *
state_colour_end (void)
{
  return isatty (STDOUT_FILENO) ? "\033[0m" : "";
}

static void
print_vm (struct json_object *vm)
{
  const char *state = jsn_str (vm, "state", "?");
  printf ("  %-20s %-6s %-12s %-14s %s%-8s%s %6lld %6lld %6lld %10lld %5.2f\n",
          jsn_str (vm, "name", "?"), jsn_str (vm, "role", "?"),
          jsn_str (vm, "failure_domain", "?"), jsn_str (vm, "service", ""),
          state_colour (state), state, state_colour_end (),
          (long long)jsn_int (vm, "revision", 0),
          (long long)jsn_int (vm, "queue", 0),
          (long long)jsn_int (vm, "running", 0),
          (long long)jsn_int (vm, "stall_ms_total", 0),
          jsn_num (vm, "step_fill", 0));
}

static void
print_daemon (struct json_object *doc, int64_t newest_revision)
{
  int64_t revision = jsn_int (doc, "revision", 0);
  printf ("%s %s in %s: revision %lld%s%s, %lld requests, %lld claims\n",
          jsn_str (doc, "role", "?"), jsn_str (doc, "name", "?"),
          jsn_str (doc, "failure_domain", "?"), (long long)revision,
          revision < newest_revision ? " (behind)" : "",
          jsn_bool (doc, "draining", false) ? ", draining" : "",
          (long long)jsn_int (doc, "requests", jsn_int (doc, "running", 0)),
          (long long)jsn_int (doc, "claims", 0));
  struct json_object *vms = jsn_get (doc, "vms");
  if (vms == NULL)
    return;
  printf ("  %-20s %-6s %-12s %-14s %-8s %6s %6s %6s %10s %5s\n", "name",
          "role", "domain", "service", "state", "rev", "queue", "run",
          "stall ms", "fill");
  for (size_t i = 0; i < json_object_array_length (vms); i++)
    print_vm (json_object_array_get_idx (vms, i));
}

static int
status_once (cli_t *cli)
{
  struct json_object *docs[CLI_MAX_DAEMONS] = { NULL };
  int64_t newest_revision = 0;
  int code = CLI_OK;
  for (uint32_t i = 0; i < cli->daemon_count; i++)
    {
      kb_buf_t body = { 0 };
      int http_status
          = cli_http (cli, cli->daemons[i], "GET", "/v1/status", &body);
      if (http_status == 200)
        jsn_parse_text ("status", kb_buf_slice (&body), &docs[i], NULL);
      if (docs[i] == NULL)
        {
          fprintf (stderr, "knapweedbay: %s: %s\n", cli->daemons[i],
                   http_status == 0     ? "did not answer"
                   : http_status == 401 ? "rejected the operator key"
                                        : "answered with an error");
          code = CLI_UNAVAILABLE;
        }
      int64_t revision = jsn_int (docs[i], "revision", 0);
      newest_revision
          = revision > newest_revision ? revision : newest_revision;
      kb_buf_finish (&body);
    }
  for (uint32_t i = 0; i < cli->daemon_count; i++)
    {
      if (docs[i] != NULL && cli->is_json)
        puts (
            json_object_to_json_string_ext (docs[i], JSON_C_TO_STRING_PLAIN));
      else if (docs[i] != NULL)
        print_daemon (docs[i], newest_revision);
      json_object_put (docs[i]);
    }
  return code;
}

int
cli_status (cli_t *cli)
{
  int code = status_once (cli);
  while (cli->is_watch)
    {
      cli_sleep_ms (WATCH_INTERVAL_MS);
      printf ("\033[H\033[2J");
      code = status_once (cli);
    }
  return code;
}

int
cli_drain (cli_t *cli)
{
  int code = CLI_OK;
  for (uint32_t i = 0; i < cli->daemon_count; i++)
    {
      kb_buf_t body = { 0 };
      int http_status
          = cli_http (cli, cli->daemons[i], "POST", "/v1/drain", &body);
      if (http_status == 200)
        printf ("%s: draining\n", cli->daemons[i]);
      else
        {
          fprintf (stderr, "knapweedbay: %s: %s\n", cli->daemons[i],
                   http_status == 0
                       ? "did not answer"
                       : "rejected the request; check the operator key");
          code = CLI_UNAVAILABLE;
        }
      kb_buf_finish (&body);
    }
  return code;
}

int
cli_keygen (cli_t *cli)
{
  char public_key[41];
  char secret_key[41];
  if (zmq_curve_keypair (public_key, secret_key) != 0)
    {
      fprintf (stderr,
               "knapweedbay: libzmq was built without CURVE support\n");
      return CLI_UNAVAILABLE;
    }
  printf ("\"curve_public_key\": \"%s\",\n\"curve_secret_key\": \"%s\"\n",
          public_key, secret_key);
  return CLI_OK;
}

int
cli_hash_key (cli_t *cli)
{
  uint8_t digest[SHA256_DIGEST_LENGTH];
  SHA256 ((const unsigned char *)cli->key, strlen (cli->key), digest);
  for (int i = 0; i < SHA256_DIGEST_LENGTH; i++)
    printf ("%02x", digest[i]);
  printf ("\n");
  return CLI_OK;
}
