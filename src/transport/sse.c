#include "transport/sse.h"

#include <stdlib.h>
#include <string.h>

uint32_t
sse_event_length (kb_slice_t bytes, uint32_t scanned_bytes)
{
  for (uint32_t i = scanned_bytes > 1 ? scanned_bytes : 1; i < bytes.len_bytes;
       i++)
    {
      if (bytes.ptr[i] != '\n')
        continue;
      if (bytes.ptr[i - 1] == '\n')
        return i + 1;
      if (i >= 3 && bytes.ptr[i - 1] == '\r' && bytes.ptr[i - 2] == '\n')
        return i + 1;
    }
  return 0;
}

bool
sse_event_is_comment (kb_slice_t event)
{
  bool is_line_start = true;
  for (uint32_t i = 0; i < event.len_bytes; i++)
    {
      char c = event.ptr[i];
      if (is_line_start && c != ':' && c != '\r' && c != '\n')
        return false;
      is_line_start = c == '\n';
    }
  return true;
}

bool
sse_event_id (kb_slice_t event, uint64_t *out)
{
  static const char field[] = "id:";
  const size_t len_bytes = sizeof field - 1;
  const char *at = event.ptr;
  const char *end = event.ptr + event.len_bytes;
  while (at < end)
    {
      const char *line_end = memchr (at, '\n', (size_t)(end - at));
      if (line_end == NULL)
        return false;
      if ((size_t)(line_end - at) > len_bytes
          && memcmp (at, field, len_bytes) == 0)
        {
          *out = strtoull (at + len_bytes, NULL, 10);
          return true;
        }
      at = line_end + 1;
    }
  return false;
}
