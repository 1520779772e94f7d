#include "state/status.h"

#include <stdio.h>

kb_status_t
kb_error_set (kb_error_t *error, kb_status_t status, const char *format, ...)
{
  if (error == NULL)
    return status;
  error->status = status;
  va_list args;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return status;
}

const char *
kb_status_name (kb_status_t status)
{
  static const char *const names[]
      = { "ok",    "invalid",     "not_found", "conflict",
          "limit", "unavailable", "unknown",   "system" };
  return status <= KB_ESYS ? names[status] : "?";
}
