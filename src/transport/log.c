#include "transport/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static log_level_t log_lowest = LOG_INFO;

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
log_write (log_level_t level, const char *part, const char *format, ...)
{
  if (level < log_lowest)
    return;
  char text[1024];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  struct tm utc;
  gmtime_r (&now.tv_sec, &utc);
  char stamp[32];
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  fprintf (stderr, "%s.%03ldZ %-5s %s: %s\n", stamp, now.tv_nsec / 1000000,
           level_names[level], part, text);
}
