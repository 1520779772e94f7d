#include "transport/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  BUFFER_BYTES = 65536,
  /// Written at once when this much waits; otherwise by log_flush.
  FLUSH_BYTES = 4096,
  /// A pipe that can be written at all takes this much without blocking.
  PIECE_BYTES = 4096,
  MAX_EVENTS = 64,
  /// One event may use up to this part of the lines of a second.
  EVENT_SHARE = 2,
  DEFAULT_LINES_PER_S = 1000,
  NODE_BYTES = 64,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
};

/// Lines of one event in the present second.
typedef struct
{
  const char *event;
  uint32_t count;
} log_rate_t;

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static log_level_t log_lowest = LOG_INFO;
static char log_node[NODE_BYTES];
static uint32_t log_limit = DEFAULT_LINES_PER_S;
static char waiting[BUFFER_BYTES];
static size_t waiting_bytes;
static log_rate_t rates[MAX_EVENTS];
static uint32_t rate_count;
static uint32_t lines_now;
static uint32_t warnings_now;
static time_t rate_second;
static uint64_t dropped;
static uint64_t dropped_told;

void
log_level_set (log_level_t level)
{
  log_lowest = level;
}

kb_status_t
log_level_parse (const char *name, log_level_t *out)
{
  for (int i = LOG_DEBUG; i <= LOG_ERROR; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *out = (log_level_t)i;
        return KB_OK;
      }
  return KB_EINVAL;
}

void
log_configure (const char *node, uint32_t lines_per_s)
{
  snprintf (log_node, sizeof log_node, "%s", node);
  log_limit = lines_per_s;
}

uint64_t
log_dropped (void)
{
  return dropped;
}

void
log_flush (void)
{
  size_t done = 0;
  while (done < waiting_bytes)
    {
      // A reader that stands still must not stop the loop.
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      if (poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
        break;
      size_t piece = waiting_bytes - done;
      if (piece > PIECE_BYTES)
        piece = PIECE_BYTES;
      ssize_t wrote = write (STDOUT_FILENO, waiting + done, piece);
      if (wrote <= 0)
        break;
      done += (size_t)wrote;
    }
  memmove (waiting, waiting + done, waiting_bytes - done);
  waiting_bytes -= done;
}

static void
buffer_add (const char *text, size_t len_bytes)
{
  if (waiting_bytes + len_bytes > BUFFER_BYTES)
    log_flush ();
  if (waiting_bytes + len_bytes > BUFFER_BYTES)
    {
      dropped++;
      return;
    }
  memcpy (waiting + waiting_bytes, text, len_bytes);
  waiting_bytes += len_bytes;
  if (waiting_bytes >= FLUSH_BYTES)
    log_flush ();
}

static log_rate_t *
rate_of (const char *event)
{
  for (uint32_t i = 0; i < rate_count; i++)
    if (rates[i].event == event || strcmp (rates[i].event, event) == 0)
      return &rates[i];
  if (rate_count == MAX_EVENTS)
    return &rates[MAX_EVENTS - 1];
  rates[rate_count] = (log_rate_t){ .event = event };
  return &rates[rate_count++];
}

/// Begin a new second: reset the counts and tell what was left out.
static void
rates_turn (time_t second)
{
  rate_second = second;
  lines_now = 0;
  warnings_now = 0;
  for (uint32_t i = 0; i < rate_count; i++)
    rates[i].count = 0;
  if (dropped == dropped_told)
    return;
  uint64_t lines = dropped - dropped_told;
  dropped_told = dropped;
  log_event_t line;
  if (log_begin (&line, LOG_WARN, "log", "lines_left_out"))
    {
      log_int (&line, "lines", (int64_t)lines);
      log_end (&line);
    }
}

/// Whether the rates allow one more line.
static bool
rate_take (log_level_t level, const char *event)
{
  log_rate_t *rate = rate_of (event);
  uint32_t *total = level >= LOG_WARN ? &warnings_now : &lines_now;
  if (*total >= log_limit || rate->count >= log_limit / EVENT_SHARE + 1)
    {
      dropped++;
      return false;
    }
  rate->count++;
  (*total)++;
  return true;
}

/// Append as far as it fits; a piece that does not fit leaves the line as it
/// was, so that it stays proper JSON.
static bool
line_append (log_event_t *line, const char *text, size_t len_bytes)
{
  enum
  {
    END_BYTES = 32, ///< For the closing fields.
  };
  if (line->len_bytes + len_bytes + END_BYTES > LOG_LINE_BYTES)
    {
      line->is_cut = true;
      return false;
    }
  memcpy (line->text + line->len_bytes, text, len_bytes);
  line->len_bytes += (uint32_t)len_bytes;
  return true;
}

static size_t
escape (char *out, char c)
{
  if (c == '"' || c == '\\')
    {
      out[0] = '\\';
      out[1] = c;
      return 2;
    }
  if ((unsigned char)c < ' ')
    return (size_t)sprintf (out, "\\u%04x", (unsigned char)c);
  out[0] = c;
  return 1;
}

void
log_str (log_event_t *line, const char *name, kb_slice_t value)
{
  char piece[LOG_LINE_BYTES];
  enum
  {
    MAX_VALUE_BYTES = 240,
    WIDEST_ESCAPE = 8,
  };
  size_t len = (size_t)snprintf (piece, sizeof piece / 4, ",\"%s\":\"", name);
  uint32_t count = value.len_bytes;
  if (count > MAX_VALUE_BYTES)
    count = MAX_VALUE_BYTES;
  for (uint32_t i = 0; i < count && len + WIDEST_ESCAPE < sizeof piece; i++)
    len += escape (piece + len, value.ptr[i]);
  piece[len++] = '"';
  line_append (line, piece, len);
}

void
log_text (log_event_t *line, const char *name, const char *value)
{
  log_str (line, name, kb_slice_str (value));
}

void
log_int (log_event_t *line, const char *name, int64_t value)
{
  char piece[96];
  int len
      = snprintf (piece, sizeof piece, ",\"%s\":%lld", name, (long long)value);
  line_append (line, piece, (size_t)len);
}

bool
log_begin (log_event_t *line, log_level_t level, const char *part,
           const char *event)
{
  if (level < log_lowest)
    return false;
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  if (now.tv_sec != rate_second)
    rates_turn (now.tv_sec);
  if (!rate_take (level, event))
    return false;
  int64_t wall_ms = (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
  line->is_cut = false;
  line->len_bytes = (uint32_t)snprintf (
      line->text, sizeof line->text,
      "{\"ts\":%lld,\"level\":\"%s\",\"node\":\"%s\",\"part\":\"%s\","
      "\"event\":\"%s\"",
      (long long)wall_ms, level_names[level], log_node, part, event);
  return true;
}

void
log_end (log_event_t *line)
{
  if (line->is_cut)
    line->len_bytes
        += (uint32_t)sprintf (line->text + line->len_bytes, ",\"cut\":true");
  line->text[line->len_bytes++] = '}';
  line->text[line->len_bytes++] = '\n';
  buffer_add (line->text, line->len_bytes);
}

void
log_write (log_level_t level, const char *part, const char *format, ...)
{
  log_event_t line;
  if (!log_begin (&line, level, part, "message"))
    return;
  char text[1024];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  log_text (&line, "text", text);
  log_end (&line);
  // Sentences are rare and often the last thing a process says.
  log_flush ();
}
