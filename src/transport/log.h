/// @file log.h
/// Structured log: one JSON object a line on standard output, with a fixed
/// order of the leading fields (ts, level, node, part, event). Volume is
/// bounded by a rate for each event and for the process; warnings and errors
/// have a rate of their own, so that a flood of successes can not crowd them
/// out. Writing never blocks: lines wait in a bounded buffer, and what does
/// not fit is counted and reported. Secrets never reach the log; callers pass
/// names, not keys.
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

/// A line being composed.
typedef struct
{
  char text[LOG_LINE_BYTES];
  uint32_t len_bytes;
  bool is_truncated; ///< A field did not fit.
} log_line_t;

/// Set the lowest level that is written.
void log_level_set (log_level_t level);
/// @return  KB_EINVAL when the name is not a level.
kb_status_t log_level_parse (const char *name, log_level_t *out);
/// @param node         Name of this process on each line.
/// @param lines_per_s  Most lines a second; as many again for warnings.
void log_configure (const char *node, uint32_t lines_per_s);
/// Begin a line.
/// @param part   The part that speaks, such as "gateway".
/// @param event  Constant name of what happened.
/// @return       False when it is not to be written; compose nothing then.
bool log_begin (log_line_t *line, log_level_t level, const char *part,
                const char *event);
void log_slice (log_line_t *line, const char *name, kb_slice_t value);
void log_text (log_line_t *line, const char *name, const char *value);
void log_int (log_line_t *line, const char *name, int64_t value);
void log_end (log_line_t *line);
/// A line whose only field is a sentence.
void log_write (log_level_t level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/// Give what waits to the system, as far as it takes it without blocking.
void log_flush (void);
/// Lines left out so far: over a rate, or nobody read them.
uint64_t log_dropped_count (void);

#endif
