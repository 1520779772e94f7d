/// @file cli_logs.c
/// The story of one request, put together from the logs of several processes.
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

/// One line that names the request.
typedef struct
{
  int64_t wall_ms;
  uint64_t order; ///< Of reading, for lines of the same moment.
  struct json_object *fields;
} line_t;

typedef struct
{
  line_t *lines;
  size_t len;
  uint64_t read_count;
} story_t;

static int
line_compare (const void *a, const void *b)
{
  const line_t *left = a;
  const line_t *right = b;
  if (left->wall_ms != right->wall_ms)
    return left->wall_ms < right->wall_ms ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

/// Take a line if it is about the request. Anything before the first brace,
/// such as a time set by a collector, is passed over.
static void
story_take (story_t *story, const char *text, const char *id)
{
  story->read_count++;
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
  story->lines
      = kb_realloc (story->lines, (story->len + 1) * sizeof *story->lines);
  story->lines[story->len++] = (line_t){ .wall_ms = jsn_int (fields, "ts", 0),
                                         .order = story->read_count,
                                         .fields = fields };
}

static void
story_read (story_t *story, FILE *in, const char *id)
{
  static char text[MAX_LINE_BYTES];
  while (fgets (text, sizeof text, in) != NULL)
    story_take (story, text, id);
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
line_print (const line_t *line, int64_t from_ms)
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
story_print (const story_t *story, bool is_json)
{
  for (size_t i = 0; i < story->len; i++)
    if (is_json)
      puts (json_object_to_json_string (story->lines[i].fields));
    else
      line_print (&story->lines[i], story->lines[0].wall_ms);
}

static int
story_read_files (story_t *story, const cli_t *cli)
{
  if (cli->file_count == 0)
    story_read (story, stdin, cli->request_id);
  for (uint32_t i = 0; i < cli->file_count; i++)
    {
      FILE *in = fopen (cli->files[i], "r");
      if (in == NULL)
        {
          fprintf (stderr, "knapweedbay: %s: %s\n", cli->files[i],
                   strerror (errno));
          return CLI_BAD_INPUT;
        }
      story_read (story, in, cli->request_id);
      fclose (in);
    }
  return CLI_OK;
}

int
cli_logs (cli_t *cli)
{
  story_t story = { 0 };
  int code = story_read_files (&story, cli);
  if (code == CLI_OK && story.len == 0)
    {
      fprintf (stderr,
               "knapweedbay: no line names request %s; %llu lines were read\n",
               cli->request_id, (unsigned long long)story.read_count);
      code = CLI_CONFLICT;
    }
  if (story.len > 0)
    qsort (story.lines, story.len, sizeof *story.lines, line_compare);
  story_print (&story, cli->is_json);
  for (size_t i = 0; i < story.len; i++)
    json_object_put (story.lines[i].fields);
  free (story.lines);
  return code;
}
