#include "transport/sse.h"

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

/// @return  The value of a line with an id field, without the spaces around
///          it; a NULL pointer for another line.
static kb_slice_t
line_id (kb_slice_t line)
{
  static const char field[] = "id";
  const uint32_t field_bytes = sizeof field - 1;
  kb_slice_t none = { NULL, 0 };
  if (line.len_bytes < field_bytes
      || memcmp (line.ptr, field, field_bytes) != 0)
    return none;
  // A field without a colon has an empty value.
  if (line.len_bytes > field_bytes && line.ptr[field_bytes] != ':')
    return none;
  uint32_t from = field_bytes + (line.len_bytes > field_bytes);
  uint32_t to = line.len_bytes;
  while (from < to && (line.ptr[from] == ' ' || line.ptr[from] == '\t'))
    from++;
  while (to > from && (line.ptr[to - 1] == ' ' || line.ptr[to - 1] == '\t'))
    to--;
  return (kb_slice_t){ line.ptr + from, to - from };
}

static bool
parse_id (kb_slice_t text, uint64_t *out)
{
  uint64_t number = 0;
  for (uint32_t i = 0; i < text.len_bytes; i++)
    {
      uint64_t digit = (uint64_t)(text.ptr[i] - '0');
      if (text.ptr[i] < '0' || digit > 9 || number > (UINT64_MAX - digit) / 10)
        return false;
      number = number * 10 + digit;
    }
  *out = number;
  return text.len_bytes > 0;
}

sse_id_t
sse_event_id (kb_slice_t event, uint64_t *out)
{
  sse_id_t kind = SSE_ID_NONE;
  const char *at = event.ptr;
  const char *end = event.ptr + event.len_bytes;
  while (at < end)
    {
      const char *line_end = memchr (at, '\n', (size_t)(end - at));
      if (line_end == NULL)
        break;
      uint32_t len_bytes = (uint32_t)(line_end - at);
      len_bytes -= len_bytes > 0 && line_end[-1] == '\r';
      kb_slice_t id = line_id ((kb_slice_t){ at, len_bytes });
      if (id.ptr != NULL)
        kind = parse_id (id, out) ? SSE_ID_NUMBER : SSE_ID_INVALID;
      at = line_end + 1;
    }
  return kind;
}
