#include "protocol/json_scan.h"

/// Advance, but not past the end: callers read the byte before the cursor.
static void
advance (jsc_cursor_t *c, size_t bytes)
{
  size_t left = c->text.len_bytes - c->at;
  c->at += bytes < left ? bytes : left;
}

bool
jsc_is_comment (const jsc_cursor_t *c)
{
  if (jsc_byte (c) != '/' || c->at + 1 >= c->text.len_bytes)
    return false;
  char next = c->text.ptr[c->at + 1];
  return next == '/' || next == '*';
}

void
jsc_skip_comment (jsc_cursor_t *c)
{
  const char *p = c->text.ptr;
  size_t len = c->text.len_bytes;
  bool is_line = p[c->at + 1] == '/';
  advance (c, 2);
  if (is_line)
    {
      while (c->at < len && p[c->at] != '\n')
        c->at++;
      return;
    }
  while (c->at + 1 < len && !(p[c->at] == '*' && p[c->at + 1] == '/'))
    c->at++;
  advance (c, 2);
}

void
jsc_skip_space (jsc_cursor_t *c)
{
  while (!jsc_is_at_end (c))
    {
      char byte = jsc_byte (c);
      if (jsc_is_comment (c))
        jsc_skip_comment (c);
      else if (byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r')
        c->at++;
      else
        return;
    }
}

kb_slice_t
jsc_read_string (jsc_cursor_t *c)
{
  advance (c, 1);
  size_t start = c->at;
  while (!jsc_is_at_end (c) && jsc_byte (c) != '"')
    advance (c, jsc_byte (c) == '\\' ? 2 : 1);
  size_t end = c->at;
  advance (c, 1);
  return (kb_slice_t){ c->text.ptr + start, (uint32_t)(end - start) };
}

bool
jsc_skip_value (jsc_cursor_t *c)
{
  uint32_t depth = 0;
  while (!jsc_is_at_end (c))
    {
      char byte = jsc_byte (c);
      bool is_closing = byte == '}' || byte == ']';
      if (depth == 0 && (is_closing || byte == ','))
        return true;
      if (byte == '"')
        {
          kb_slice_t string = jsc_read_string (c);
          if (string.ptr + string.len_bytes == c->text.ptr + c->at)
            return false;
        }
      else if (jsc_is_comment (c))
        jsc_skip_comment (c);
      else
        {
          depth += byte == '{' || byte == '[';
          depth -= is_closing;
          c->at++;
        }
    }
  return depth == 0;
}
