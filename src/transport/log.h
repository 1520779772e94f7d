/// @file log.h
/// Logger: one short sentence a line, with a fixed prefix for each part.
/// Secrets never reach it; callers pass names, not keys.
#ifndef KB_TRANSPORT_LOG_H
#define KB_TRANSPORT_LOG_H

#include "state/status.h"

typedef enum
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR,
} log_level_t;

/// Set the lowest level that is written.
void log_level_set (log_level_t level);
/// @return  KB_EINVAL when the name is not a level.
kb_status_t log_level_parse (const char *name, log_level_t *out);
/// Write one line to standard error.
/// @param part  The part's fixed prefix, such as "route".
void log_write (log_level_t level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
