#include "transport/respscan.h"

#include <ctype.h>

#include "transport/h1.h"

enum
{
  /// Longest line that is kept whole. No identifying field is longer.
  MAX_LINE_BYTES = 4096,
  /// What is kept of a longer line: more than a status line has.
  KEPT_LINE_BYTES = 256,
  /// A longer head is not searched to its end.
  MAX_HEAD_BYTES = 65536,
  /// Shortest beginning of a status line that is told from other text: up to
  /// the space before its code.
  MIN_STATUS_BYTES = 9,
};

/// A digit for each '#'.
static const char status_pattern[] = "HTTP/#.# ###";

static bool
is_reason_phrase (const char *at, const char *end)
{
  if (at < end && *at != ' ' && *at != '\r' && *at != '\n')
    return false;
  for (; at < end; at++)
    if (!isalnum ((unsigned char)*at) && strchr (" '()-./\r\n", *at) == NULL)
      return false;
  return true;
}

/// @return  Whether the rest of a line is a status line, or the beginning of
///          one.
static bool
is_status_line (const char *at, const char *end)
{
  size_t pattern_bytes = sizeof status_pattern - 1;
  size_t len_bytes = (size_t)(end - at);
  if (len_bytes < MIN_STATUS_BYTES)
    return false;
  for (size_t i = 0; i < pattern_bytes && i < len_bytes; i++)
    if (status_pattern[i] == '#' ? !isdigit ((unsigned char)at[i])
                                 : at[i] != status_pattern[i])
      return false;
  return len_bytes <= pattern_bytes
         || is_reason_phrase (at + pattern_bytes, end);
}

/// @param from_bytes  The status line begins in these first bytes.
/// @return  Whether a line ends with a status line.
static bool
ends_with_status_line (kb_slice_t line, size_t from_bytes)
{
  const char *end = line.ptr + line.len_bytes;
  const char *last = line.ptr + from_bytes;
  for (const char *at = line.ptr; at < last; at++)
    {
      at = memchr (at, status_pattern[0], (size_t)(last - at));
      if (at == NULL)
        return false;
      if (is_status_line (at, end))
        return true;
    }
  return false;
}

/// Split a header line.
/// @return  Whether it is one.
static bool
split_field (kb_slice_t line, kb_slice_t *name, kb_slice_t *value)
{
  const char *colon = memchr (line.ptr, ':', line.len_bytes);
  if (colon == NULL)
    return false;
  *name = (kb_slice_t){ line.ptr, (uint32_t)(colon - line.ptr) };
  *value = kb_slice_trim (
      (kb_slice_t){ colon + 1, line.len_bytes - name->len_bytes - 1 });
  return h1_name_is_token (*name);
}

/// Handle a line with its line end.
static void
scan_line (rsc_scan_t *scan, kb_slice_t line)
{
  kb_slice_t name;
  kb_slice_t value;
  bool is_field = !scan->is_line_cut && scan->head_bytes > 0
                  && split_field (line, &name, &value);
  if (ends_with_status_line (line, line.len_bytes))
    {
      scan->head_bytes = line.len_bytes;
      scan->field_count = 0;
    }
  else if (!is_field)
    scan->head_bytes = 0;
  else
    {
      scan->head_bytes += line.len_bytes;
      scan->is_found = scan->is_own (scan->owner, name, value);
      scan->field_count++;
      if (scan->head_bytes > MAX_HEAD_BYTES)
        scan->head_bytes = 0;
    }
  scan->is_line_cut = false;
}

/// Add bytes to the line that has not ended yet.
static void
scan_append (rsc_scan_t *scan, const char *bytes, size_t len_bytes)
{
  bool is_too_long = scan->line.len_bytes + len_bytes > MAX_LINE_BYTES;
  if (is_too_long && len_bytes > KEPT_LINE_BYTES)
    {
      kb_buf_clear (&scan->line);
      bytes += len_bytes - KEPT_LINE_BYTES;
      len_bytes = KEPT_LINE_BYTES;
    }
  kb_buf_append (&scan->line, bytes, len_bytes);
  if (!is_too_long)
    return;
  kb_buf_consume (&scan->line, scan->line.len_bytes - KEPT_LINE_BYTES);
  scan->head_bytes = 0;
  scan->is_line_cut = true;
}

void
rsc_scan_init (rsc_scan_t *scan, kb_account_t *account, rsc_is_own_t is_own,
               void *owner)
{
  *scan = (rsc_scan_t){ .is_own = is_own, .owner = owner };
  kb_buf_set_account (&scan->line, account);
}

void
rsc_scan_finish (rsc_scan_t *scan)
{
  kb_buf_finish (&scan->line);
}

bool
rsc_scan_feed (rsc_scan_t *scan, kb_slice_t bytes)
{
  const char *at = bytes.ptr;
  const char *end = bytes.ptr + bytes.len_bytes;
  while (at < end && !scan->is_found)
    {
      const char *line_end = memchr (at, '\n', (size_t)(end - at));
      const char *next = line_end == NULL ? end : line_end + 1;
      scan_append (scan, at, (size_t)(next - at));
      if (line_end != NULL)
        {
          scan_line (scan, kb_buf_slice (&scan->line));
          kb_buf_clear (&scan->line);
        }
      at = next;
    }
  return scan->is_found;
}

bool
rsc_scan_feed_surplus (rsc_scan_t *scan, kb_slice_t bytes)
{
  if (scan->head_bytes > 0)
    return rsc_scan_feed (scan, bytes);
  const char *line_end = memchr (bytes.ptr, '\n', bytes.len_bytes);
  size_t line_bytes = line_end == NULL ? bytes.len_bytes
                                       : (size_t)(line_end + 1 - bytes.ptr);
  if (scan->line.len_bytes == 0 || line_bytes > KEPT_LINE_BYTES)
    return false;
  kb_buf_t line = { 0 };
  kb_buf_append (&line, scan->line.ptr, scan->line.len_bytes);
  kb_buf_append (&line, bytes.ptr, line_bytes);
  bool begins_in_body
      = ends_with_status_line (kb_buf_slice (&line), scan->line.len_bytes);
  kb_buf_finish (&line);
  return begins_in_body && rsc_scan_feed (scan, bytes);
}

bool
rsc_scan_is_open (const rsc_scan_t *scan)
{
  return scan->head_bytes > 0
         || ends_with_status_line (kb_buf_slice (&scan->line),
                                   scan->line.len_bytes);
}
