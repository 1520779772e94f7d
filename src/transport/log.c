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
  /// Pending bytes at which the buffer is written without waiting for
  /// log_flush.
  FLUSH_BYTES = 4096,
  /// A pipe that polls as writable accepts this much without blocking.
  MAX_WRITE_BYTES = 4096,
  MAX_EVENTS = 64,
  /// One event may use 1/EVENT_RATE_DIVISOR of the lines of a second.
  EVENT_RATE_DIVISOR = 2,
  DEFAULT_LINES_PER_S = 1000,
  NODE_BYTES = 64,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
};

/// Lines of one event in the current second.
typedef struct
{
  const char *event;
  uint32_t count;
} log_event_rate_t;

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static log_level_t log_min_level = LOG_INFO;
static char log_node[NODE_BYTES];
static uint32_t log_max_lines_per_s = DEFAULT_LINES_PER_S;
static char pending_text[BUFFER_BYTES];
static size_t pending_bytes;
static log_event_rate_t event_rates[MAX_EVENTS];
static uint32_t event_rate_count;
static uint32_t lines_this_second;
static uint32_t warnings_this_second;
static time_t current_second;
static uint64_t dropped_lines;
static uint64_t dropped_lines_reported;

void
log_level_set (log_level_t level)
{
  log_min_level = level;
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
  log_max_lines_per_s = lines_per_s;
}

uint64_t
log_dropped_count (void)
{
  return dropped_lines;
}

void
log_flush (void)
{
  size_t written_bytes = 0;
  while (written_bytes < pending_bytes)
    {
      // A reader that does not drain the pipe must not block the event loop.
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      if (poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
        break;
      size_t chunk_bytes = pending_bytes - written_bytes;
      if (chunk_bytes > MAX_WRITE_BYTES)
        chunk_bytes = MAX_WRITE_BYTES;
      ssize_t nwritten
          = write (STDOUT_FILENO, pending_text + written_bytes, chunk_bytes);
      if (nwritten <= 0)
        break;
      written_bytes += (size_t)nwritten;
    }
  memmove (pending_text, pending_text + written_bytes,
           pending_bytes - written_bytes);
  pending_bytes -= written_bytes;
}

static void
buffer_append (const char *text, size_t len_bytes)
{
  if (pending_bytes + len_bytes > BUFFER_BYTES)
    log_flush ();
  if (pending_bytes + len_bytes > BUFFER_BYTES)
    {
      dropped_lines++;
      return;
    }
  memcpy (pending_text + pending_bytes, text, len_bytes);
  pending_bytes += len_bytes;
  if (pending_bytes >= FLUSH_BYTES)
    log_flush ();
}

static log_event_rate_t *
event_rate_find (const char *event)
{
  for (uint32_t i = 0; i < event_rate_count; i++)
    if (event_rates[i].event == event
        || strcmp (event_rates[i].event, event) == 0)
      return &event_rates[i];
  if (event_rate_count == MAX_EVENTS)
    return &event_rates[MAX_EVENTS - 1];
  event_rates[event_rate_count] = (log_event_rate_t){ .event = event };
  return &event_rates[event_rate_count++];
}

/// Starts a new second: resets the counts and logs how many lines were
/// dropped.
static void
rates_reset (time_t second)
{
  current_second = second;
  lines_this_second = 0;
  warnings_this_second = 0;
  for (uint32_t i = 0; i < event_rate_count; i++)
    event_rates[i].count = 0;
  if (dropped_lines == dropped_lines_reported)
    return;
  uint64_t lines = dropped_lines - dropped_lines_reported;
  dropped_lines_reported = dropped_lines;
  log_line_t line;
  if (log_begin (&line, LOG_WARN, "log", "lines_left_out"))
    {
      log_int (&line, "lines", (int64_t)lines);
      log_end (&line);
    }
}

/// Counts the line, or drops it if a rate limit is exceeded.
static bool
rates_admit_line (log_level_t level, const char *event)
{
  log_event_rate_t *rate = event_rate_find (event);
  uint32_t *total
      = level >= LOG_WARN ? &warnings_this_second : &lines_this_second;
  if (*total >= log_max_lines_per_s
      || rate->count >= log_max_lines_per_s / EVENT_RATE_DIVISOR + 1)
    {
      dropped_lines++;
      return false;
    }
  rate->count++;
  (*total)++;
  return true;
}

/// Appends the text of a field. A field that does not fit is omitted as a
/// whole, so that the line remains valid JSON.
static bool
line_append (log_line_t *line, const char *text, size_t len_bytes)
{
  enum
  {
    CLOSING_BYTES = 32, ///< Reserved for log_end.
  };
  if (line->len_bytes + len_bytes + CLOSING_BYTES > LOG_LINE_BYTES)
    {
      line->is_truncated = true;
      return false;
    }
  memcpy (line->text + line->len_bytes, text, len_bytes);
  line->len_bytes += (uint32_t)len_bytes;
  return true;
}

static size_t
json_escape_char (char *out, char c)
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
log_slice (log_line_t *line, const char *name, kb_slice_t value)
{
  char field[LOG_LINE_BYTES];
  enum
  {
    MAX_VALUE_BYTES = 240,
    MAX_ESCAPE_BYTES = 8,
  };
  size_t len = (size_t)snprintf (field, sizeof field / 4, ",\"%s\":\"", name);
  uint32_t count = value.len_bytes;
  if (count > MAX_VALUE_BYTES)
    count = MAX_VALUE_BYTES;
  for (uint32_t i = 0; i < count && len + MAX_ESCAPE_BYTES < sizeof field; i++)
    len += json_escape_char (field + len, value.ptr[i]);
  field[len++] = '"';
  line_append (line, field, len);
}

void
log_text (log_line_t *line, const char *name, const char *value)
{
  log_slice (line, name, kb_slice_str (value));
}

void
log_int (log_line_t *line, const char *name, int64_t value)
{
  char field[96];
  int len
      = snprintf (field, sizeof field, ",\"%s\":%lld", name, (long long)value);
  line_append (line, field, (size_t)len);
}

bool
log_begin (log_line_t *line, log_level_t level, const char *part,
           const char *event)
{
  if (level < log_min_level)
    return false;
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  if (now.tv_sec != current_second)
    rates_reset (now.tv_sec);
  if (!rates_admit_line (level, event))
    return false;
  int64_t wall_ms = (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
  line->is_truncated = false;
  line->len_bytes = (uint32_t)snprintf (
      line->text, sizeof line->text,
      "{\"ts\":%lld,\"level\":\"%s\",\"node\":\"%s\",\"part\":\"%s\","
      "\"event\":\"%s\"",
      (long long)wall_ms, level_names[level], log_node, part, event);
  return true;
}

void
log_end (log_line_t *line)
{
  if (line->is_truncated)
    line->len_bytes
        += (uint32_t)sprintf (line->text + line->len_bytes, ",\"cut\":true");
  line->text[line->len_bytes++] = '}';
  line->text[line->len_bytes++] = '\n';
  buffer_append (line->text, line->len_bytes);
}

void
log_write (log_level_t level, const char *part, const char *format, ...)
{
  log_line_t line;
  if (!log_begin (&line, level, part, "message"))
    return;
  char text[1024];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  log_text (&line, "text", text);
  log_end (&line);
  // Messages are rare, and often the last output before the process exits.
  log_flush ();
}
