/// @file log.h
/// Structured log: one JSON object per line on standard output. The leading
/// fields (ts, level, node, part, event) have a fixed order. Output is
/// rate-limited per event and per process; warnings and errors have a separate
/// process limit, so that a burst of informational lines cannot suppress them.
/// Writing never blocks: lines are held in a bounded buffer, and lines that do
/// not fit are dropped, counted and reported in the log. Secrets must not be
/// logged: callers pass the names of keys, never the keys.
#ifndef KB_TRANSPORT_LOG_H
#define KB_TRANSPORT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/status.h"

typedef enum
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR,
} log_level_t;

enum
{
  LOG_LINE_BYTES = 2048,
};

/// A log line under construction.
typedef struct
{
  char text[LOG_LINE_BYTES];
  uint32_t len_bytes;
  bool is_truncated; ///< At least one field did not fit.
} log_line_t;

/// Sets the lowest level that is written.
void log_level_set (log_level_t level);
/// Parses "debug", "info", "warn" or "error".
/// @return  KB_EINVAL for any other name.
kb_status_t log_level_parse (const char *name, log_level_t *out);
/// @param node         Name of this process, written in each line.
/// @param lines_per_s  Limit of debug and info lines per second; warnings and
///                     errors have a second limit of the same size.
void log_configure (const char *node, uint32_t lines_per_s);
/// Starts a line.
/// @param part   Component that logs, such as "gateway".
/// @param event  Name of the event; must be a string constant.
/// @return       False if the line is below the lowest level or over a rate
///               limit. The caller must then not add fields or call log_end.
bool log_begin (log_line_t *line, log_level_t level, const char *part,
                const char *event);
/// Adds a string field; `value` is truncated to 240 bytes.
void log_slice (log_line_t *line, const char *name, kb_slice_t value);
/// Adds a string field; as log_slice.
void log_text (log_line_t *line, const char *name, const char *value);
void log_int (log_line_t *line, const char *name, int64_t value);
/// Completes the line and queues it for output.
void log_end (log_line_t *line);
/// Logs a formatted message as the "text" field of a "message" event.
void log_write (log_level_t level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/// Writes buffered lines to standard output, as far as this does not block.
void log_flush (void);
/// @return  Number of lines dropped so far, because a rate limit was exceeded
///          or the buffer was full while standard output was not read.
uint64_t log_dropped_count (void);

#endif
