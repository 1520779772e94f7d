#include "protocol/json_walk.h"

#include <stdio.h>

/// A place in a text that json-c may still refuse.
typedef struct
{
  kb_slice_t text;
  size_t at;
} jsw_cursor_t;

static bool
is_at_end (const jsw_cursor_t *c)
{
  return c->at >= c->text.len_bytes;
}

static char
char_at (const jsw_cursor_t *c)
{
  return is_at_end (c) ? '\0' : c->text.ptr[c->at];
}

static bool
is_comment (const jsw_cursor_t *c)
{
  if (char_at (c) != '/' || c->at + 1 >= c->text.len_bytes)
    return false;
  char next = c->text.ptr[c->at + 1];
  return next == '/' || next == '*';
}

static void
skip_comment (jsw_cursor_t *c)
{
  const char *p = c->text.ptr;
  size_t len = c->text.len_bytes;
  bool is_line = c->at + 1 < len && p[c->at + 1] == '/';
  c->at += 2;
  if (is_line)
    while (c->at < len && p[c->at] != '\n')
      c->at++;
  else
    {
      while (c->at + 1 < len && !(p[c->at] == '*' && p[c->at + 1] == '/'))
        c->at++;
      c->at += 2;
    }
}

static void
skip_space (jsw_cursor_t *c)
{
  while (!is_at_end (c))
    {
      char here = char_at (c);
      if (is_comment (c))
        skip_comment (c);
      else if (here == ' ' || here == '\t' || here == '\n' || here == '\r')
        c->at++;
      else
        return;
    }
}

/// @return  The content of the string literal that starts here.
static kb_slice_t
take_string (jsw_cursor_t *c)
{
  size_t start = ++c->at;
  while (!is_at_end (c) && char_at (c) != '"')
    c->at += char_at (c) == '\\' ? 2 : 1;
  size_t end = is_at_end (c) ? c->text.len_bytes : c->at;
  c->at++;
  return (kb_slice_t){ c->text.ptr + start, (uint32_t)(end - start) };
}

/// Move behind the value that starts here: to a comma or a closing bracket of
/// what it stands in, or to the end.
static void
skip_value (jsw_cursor_t *c)
{
  uint32_t depth = 0;
  while (!is_at_end (c))
    {
      char here = char_at (c);
      bool closes = here == '}' || here == ']';
      if (depth == 0 && (closes || here == ','))
        return;
      if (here == '"')
        take_string (c);
      else if (is_comment (c))
        skip_comment (c);
      else
        {
          depth += here == '{' || here == '[';
          depth -= closes;
          c->at++;
        }
    }
}

/// Find the list that is a member of the document.
/// @param open   Receives the place of its opening bracket.
/// @param close  Receives the place of its closing bracket.
static bool
find_list (kb_slice_t text, const char *key, size_t *open, size_t *close)
{
  jsw_cursor_t c = { .text = text };
  skip_space (&c);
  if (char_at (&c) != '{')
    return false;
  do
    {
      c.at++;
      skip_space (&c);
      if (char_at (&c) != '"')
        return false;
      kb_slice_t name = take_string (&c);
      skip_space (&c);
      if (char_at (&c) != ':')
        return false;
      c.at++;
      skip_space (&c);
      *open = c.at;
      bool is_list = char_at (&c) == '[';
      skip_value (&c);
      // Spaces and comments may stand between the value and here.
      *close = c.at;
      while (*close > *open && text.ptr[*close - 1] != ']')
        (*close)--;
      if (is_list && *close > *open
          && kb_slice_equal (name, kb_slice_str (key)))
        {
          (*close)--;
          return true;
        }
    }
  while (char_at (&c) == ',');
  return false;
}

static kb_status_t
walk_element (const char *name, const char *key, uint32_t number,
              kb_slice_t text, jsn_on_element_t on_element, void *arg,
              kb_error_t *error)
{
  char place[96];
  snprintf (place, sizeof place, "%s, %s %u", name, key, number);
  struct json_object *element = NULL;
  kb_status_t status = jsn_parse_text (place, text, &element, error);
  if (status != KB_OK)
    return status;
  if (!json_object_is_type (element, json_type_object))
    {
      json_object_put (element);
      return kb_error_set (error, KB_EINVAL, "%s: is no table", place);
    }
  status = on_element (arg, element, error);
  json_object_put (element);
  return status;
}

static kb_status_t
walk_elements (const char *name, const char *key, kb_slice_t list,
               jsn_on_element_t on_element, void *arg, kb_error_t *error)
{
  jsw_cursor_t c = { .text = list };
  skip_space (&c);
  if (is_at_end (&c))
    return KB_OK;
  for (uint32_t number = 1;; number++)
    {
      size_t start = c.at;
      skip_value (&c);
      size_t end = c.at < list.len_bytes ? c.at : list.len_bytes;
      kb_slice_t text = { list.ptr + start, (uint32_t)(end - start) };
      kb_status_t status
          = walk_element (name, key, number, text, on_element, arg, error);
      if (status != KB_OK || is_at_end (&c))
        return status;
      if (char_at (&c) != ',')
        return kb_error_set (error, KB_EINVAL,
                             "%s, %s %u: brackets do not match", name, key,
                             number);
      c.at++;
    }
}

kb_status_t
jsn_walk_list (const char *name, kb_slice_t text, const char *key,
               struct json_object **rest, jsn_on_element_t on_element,
               void *arg, kb_error_t *error)
{
  size_t open;
  size_t close;
  if (!find_list (text, key, &open, &close))
    return jsn_parse_text (name, text, rest, error);
  kb_buf_t without = { 0 };
  kb_buf_append (&without, text.ptr, open + 1);
  kb_buf_append (&without, text.ptr + close, text.len_bytes - close);
  kb_status_t status
      = jsn_parse_text (name, kb_buf_slice (&without), rest, error);
  kb_buf_finish (&without);
  if (status != KB_OK)
    return status;
  kb_slice_t list = { text.ptr + open + 1, (uint32_t)(close - open - 1) };
  status = walk_elements (name, key, list, on_element, arg, error);
  if (status == KB_OK)
    return KB_OK;
  json_object_put (*rest);
  *rest = NULL;
  return status;
}
