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
  /// Shortest beginning of a status line that other text rarely has: up to
  /// the first digit of its code.
  MIN_STATUS_BYTES = 10,
  /// Shortest beginning of a status line behind which its rest is awaited.
  MIN_AWAITED_BYTES = 2,
};

/// A digit for each '#'.
static const char status_pattern[] = "HTTP/#.# ###";
static const char version_pattern[] = "HTTP/#.# ";

/// How the text from a status line on is judged.
typedef enum
{
  STATUS_NONE,
  STATUS_ODD,    ///< One whose code has not three digits.
  STATUS_QUOTED, ///< One that a text is likely to name.
  STATUS_BEGINS, ///< One with which a response is likely to begin.
} rsc_status_t;

/// @param at  Behind the first digit of a status code.
/// @return    Whether the rest of a status line is as targets write it.
static bool
is_plain_reason (const char *at, const char *end)
{
  enum
  {
    CODE_REST_BYTES = 2,
  };
  at += (end - at) < CODE_REST_BYTES ? end - at : CODE_REST_BYTES;
  for (; at < end; at++)
    if (!isalpha ((unsigned char)*at) && strchr (" '-\r\n", *at) == NULL)
      return false;
  return true;
}

/// @return  Whether text begins with a pattern, or is its beginning.
static bool
matches_pattern (const char *at, const char *end, const char *pattern)
{
  for (; *pattern != '\0' && at < end; at++, pattern++)
    if (*pattern == '#' ? !isdigit ((unsigned char)*at) : *at != *pattern)
      return false;
  return true;
}

/// @param min_bytes  Shortest beginning that counts.
/// @return           Whether the rest of a line is a status line, or the
///                   beginning of one.
static bool
is_status_line (const char *at, const char *end, size_t min_bytes)
{
  size_t pattern_bytes = sizeof status_pattern - 1;
  size_t len_bytes = (size_t)(end - at);
  if (len_bytes < min_bytes || !matches_pattern (at, end, status_pattern))
    return false;
  return len_bytes <= pattern_bytes
         || strchr (" \r\n", at[pattern_bytes]) != NULL;
}

/// @return  Whether the rest of a line is a status line, whose code may have
///          any number of digits.
static bool
is_odd_status_line (const char *at, const char *end)
{
  size_t version_bytes = sizeof version_pattern - 1;
  if ((size_t)(end - at) <= version_bytes
      || !matches_pattern (at, end, version_pattern))
    return false;
  at += version_bytes;
  const char *code = at;
  while (at < end && isdigit ((unsigned char)*at))
    at++;
  return at > code && at < end && strchr (" \r\n", *at) != NULL;
}

/// @param from_bytes  The status line begins in these first bytes.
/// @param min_bytes   Shortest beginning of a status line that counts.
/// @return            How a line ends.
static rsc_status_t
judge_beginning (kb_slice_t line, size_t from_bytes, size_t min_bytes)
{
  const char *end = line.ptr + line.len_bytes;
  const char *last = line.ptr + from_bytes;
  for (const char *at = line.ptr; at < last; at++)
    {
      at = memchr (at, status_pattern[0], (size_t)(last - at));
      if (at == NULL)
        return STATUS_NONE;
      if (!is_status_line (at, end, min_bytes))
        {
          if (is_odd_status_line (at, end))
            return STATUS_ODD;
          continue;
        }
      bool is_plain = end - at < MIN_STATUS_BYTES
                      || is_plain_reason (at + MIN_STATUS_BYTES, end);
      return is_plain ? STATUS_BEGINS : STATUS_QUOTED;
    }
  return STATUS_NONE;
}

static rsc_status_t
judge_status (kb_slice_t line, size_t from_bytes)
{
  return judge_beginning (line, from_bytes, MIN_STATUS_BYTES);
}

/// Split a header line, whose name may be invalid, or have blanks around it.
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
  return true;
}

/// Handle a header line, or the rest of one.
static void
scan_field (rsc_scan_t *scan, kb_slice_t line)
{
  kb_slice_t name;
  kb_slice_t value;
  bool is_folded
      = scan->field_count > 0 && (*line.ptr == ' ' || *line.ptr == '\t');
  bool is_rest = scan->is_line_cut || is_folded;
  scan->head_bytes += line.len_bytes;
  if (!is_rest && !split_field (line, &name, &value))
    scan->head_bytes = 0;
  else if (!is_rest)
    {
      scan->is_odd = scan->is_odd || !h1_name_is_token (name);
      scan->is_found = scan->is_own (scan->owner, kb_slice_trim (name), value);
    }
  scan->field_count++;
  if (scan->head_bytes > MAX_HEAD_BYTES)
    scan->head_bytes = 0;
}

/// Handle a line with its line end.
static void
scan_line (rsc_scan_t *scan, kb_slice_t line)
{
  rsc_status_t status = judge_status (line, line.len_bytes);
  if (status != STATUS_NONE)
    {
      scan->head_bytes = line.len_bytes;
      scan->is_likely = status == STATUS_BEGINS;
      scan->is_odd = status == STATUS_ODD;
      scan->field_count = 0;
    }
  else if (scan->head_bytes > 0)
    scan_field (scan, line);
  scan->is_line_cut = false;
}

/// Add bytes to the line that has not ended yet.
static void
scan_append (rsc_scan_t *scan, const char *bytes, size_t len_bytes)
{
  kb_slice_t name;
  kb_slice_t value;
  bool is_too_long = scan->line.len_bytes + len_bytes > MAX_LINE_BYTES;
  if (is_too_long && !scan->is_line_cut && scan->head_bytes > 0)
    {
      kb_slice_t begin = scan->line.len_bytes > 0
                             ? kb_buf_slice (&scan->line)
                             : (kb_slice_t){ bytes, (uint32_t)len_bytes };
      if (!split_field (begin, &name, &value))
        scan->head_bytes = 0;
    }
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

/// @return  Whether the bytes so far end within a head.
static bool
scan_is_in_head (const rsc_scan_t *scan)
{
  return scan->head_bytes > 0 && !scan->is_odd;
}

bool
rsc_scan_feed_surplus (rsc_scan_t *scan, kb_slice_t bytes)
{
  if (bytes.len_bytes == 0)
    return false;
  // The rest of a head that is still open comes in a later read.
  if (scan_is_in_head (scan))
    return rsc_scan_feed (scan, bytes) || rsc_scan_is_open (scan);
  const char *line_end = memchr (bytes.ptr, '\n', bytes.len_bytes);
  size_t line_bytes = line_end == NULL ? bytes.len_bytes
                                       : (size_t)(line_end + 1 - bytes.ptr);
  if (scan->line.len_bytes == 0 || line_bytes > KEPT_LINE_BYTES)
    return false;
  kb_buf_t line = { 0 };
  kb_buf_append (&line, scan->line.ptr, scan->line.len_bytes);
  kb_buf_append (&line, bytes.ptr, line_bytes);
  bool begins_in_body
      = judge_beginning (kb_buf_slice (&line), scan->line.len_bytes,
                         MIN_AWAITED_BYTES)
        == STATUS_BEGINS;
  kb_buf_finish (&line);
  if (!begins_in_body)
    return false;
  return line_end == NULL || rsc_scan_feed (scan, bytes)
         || rsc_scan_is_open (scan);
}

bool
rsc_scan_is_open (const rsc_scan_t *scan)
{
  return (scan_is_in_head (scan) && scan->is_likely)
         || judge_status (kb_buf_slice (&scan->line), scan->line.len_bytes)
                == STATUS_BEGINS;
}

bool
rsc_scan_may_continue (const rsc_scan_t *scan)
{
  return scan_is_in_head (scan)
         || judge_beginning (kb_buf_slice (&scan->line), scan->line.len_bytes,
                             MIN_AWAITED_BYTES)
                == STATUS_BEGINS;
}
