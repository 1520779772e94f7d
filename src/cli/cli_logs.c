/// @file cli_logs.c
/// Subcommand logs: the log lines of one request, merged from the logs of
/// several processes.
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli/cli_defs.h"
#include "protocol/json.h"

enum
{
  MAX_LINE_BYTES = 65536,
  MS_PER_S = 1000,
};

/// A log line of the request.
typedef struct
{
  int64_t wall_ms;
  uint64_t sequence; ///< Order of reading; sorts lines of the same time.
  struct json_object *fields;
} request_line_t;

typedef struct
{
  request_line_t *lines;
  size_t len;
  uint64_t read_count;
} request_log_t;

static int
request_line_compare (const void *a, const void *b)
{
  const request_line_t *left = a;
  const request_line_t *right = b;
  if (left->wall_ms != right->wall_ms)
    return left->wall_ms < right->wall_ms ? -1 : 1;
  return left->sequence < right->sequence ? -1
                                          : left->sequence > right->sequence;
}

/// Add a line if it is about the request. Text before the first brace, such as
/// a log collector's timestamp, is ignored.
static void
request_log_add_line (request_log_t *request_log, const char *text,
                      const char *id)
{
  request_log->read_count++;
  const char *brace = strchr (text, '{');
  if (brace == NULL || strstr (brace, id) == NULL)
    return;
  struct json_object *fields = NULL;
  if (jsn_parse_text ("log", kb_slice_str (brace), &fields, NULL) != KB_OK)
    return;
  if (strcmp (jsn_str (fields, "id", ""), id) != 0)
    {
      json_object_put (fields);
      return;
    }
  request_log->lines = kb_realloc (
      request_log->lines, (request_log->len + 1) * sizeof *request_log->lines);
  request_log->lines[request_log->len++]
      = (request_line_t){ .wall_ms = jsn_int (fields, "ts", 0),
                          .sequence = request_log->read_count,
                          .fields = fields };
}

static void
request_log_read (request_log_t *request_log, FILE *in, const char *id)
{
  static char text[MAX_LINE_BYTES];
  while (fgets (text, sizeof text, in) != NULL)
    request_log_add_line (request_log, text, id);
}

static bool
is_leading_field (const char *name)
{
  static const char *const leading[]
      = { "ts", "level", "node", "part", "event", "id" };
  for (size_t i = 0; i < sizeof leading / sizeof leading[0]; i++)
    if (strcmp (name, leading[i]) == 0)
      return true;
  return false;
}

static void
request_line_print (const request_line_t *line, int64_t from_ms)
{
  printf ("%8.3f s  %-20s %-18s", (double)(line->wall_ms - from_ms) / MS_PER_S,
          jsn_str (line->fields, "node", "?"),
          jsn_str (line->fields, "event", "?"));
  json_object_object_foreach (line->fields, name, value)
  {
    if (!is_leading_field (name))
      printf (" %s=%s", name, json_object_get_string (value));
  }
  printf ("\n");
}

static void
request_log_print (const request_log_t *request_log, bool is_json)
{
  for (size_t i = 0; i < request_log->len; i++)
    if (is_json)
      puts (json_object_to_json_string (request_log->lines[i].fields));
    else
      request_line_print (&request_log->lines[i],
                          request_log->lines[0].wall_ms);
}

static int
request_log_read_files (request_log_t *request_log, const cli_t *cli)
{
  if (cli->file_count == 0)
    request_log_read (request_log, stdin, cli->request_id);
  for (uint32_t i = 0; i < cli->file_count; i++)
    {
      FILE *in = fopen (cli->files[i], "r");
      if (in == NULL)
        {
          fprintf (stderr, "knapweedbay: %s: %s\n", cli->files[i],
                   strerror (errno));
          return CLI_BAD_INPUT;
        }
      request_log_read (request_log, in, cli->request_id);
      fclose (in);
    }
  return CLI_OK;
}

int
cli_logs (cli_t *cli)
{
  request_log_t request_log = { 0 };
  int code = request_log_read_files (&request_log, cli);
  if (code == CLI_OK && request_log.len == 0)
    {
      fprintf (stderr,
               "knapweedbay: no line names request %s; %llu lines were read\n",
               cli->request_id, (unsigned long long)request_log.read_count);
      code = CLI_CONFLICT;
    }
  if (request_log.len > 0)
    qsort (request_log.lines, request_log.len, sizeof *request_log.lines,
           request_line_compare);
  request_log_print (&request_log, cli->is_json);
  for (size_t i = 0; i < request_log.len; i++)
    json_object_put (request_log.lines[i].fields);
  free (request_log.lines);
  return code;
}
