#include "protocol/json_walk.h"

#include <stdio.h>

#include "protocol/json_scan.h"

/// Read the member that follows the opening brace or comma at the cursor.
/// @return  False if there is none.
static bool
read_member (jsc_cursor_t *c, kb_slice_t *name, kb_slice_t *value)
{
  c->at++;
  jsc_skip_space (c);
  if (jsc_byte (c) != '"')
    return false;
  *name = jsc_read_string (c);
  jsc_skip_space (c);
  if (jsc_byte (c) != ':')
    return false;
  c->at++;
  jsc_skip_space (c);
  size_t start = c->at;
  if (!jsc_skip_value (c))
    return false;
  *value = (kb_slice_t){ c->text.ptr + start, (uint32_t)(c->at - start) };
  return true;
}

bool
jsn_find_member (kb_slice_t text, const char *key, kb_slice_t *value)
{
  jsc_cursor_t c = { .text = text };
  jsc_skip_space (&c);
  if (jsc_byte (&c) != '{')
    return false;
  uint32_t count = 0;
  kb_slice_t name;
  kb_slice_t other;
  do
    {
      if (!read_member (&c, &name, &other))
        break;
      if (!kb_slice_equal (name, kb_slice_str (key)))
        continue;
      *value = other;
      count++;
    }
  while (jsc_byte (&c) == ',');
  return count == 1;
}

/// Find the list that is the member `key` of the document.
/// @param open   Receives the offset of its opening bracket.
/// @param close  Receives the offset of its closing bracket.
/// @return  False if there is no such list.
static bool
find_list (kb_slice_t text, const char *key, size_t *open, size_t *close)
{
  jsc_cursor_t c = { .text = text };
  jsc_skip_space (&c);
  if (jsc_byte (&c) != '{')
    return false;
  do
    {
      kb_slice_t name;
      kb_slice_t value;
      if (!read_member (&c, &name, &value))
        return false;
      // White space and comments may follow the value.
      while (value.len_bytes > 0 && value.ptr[value.len_bytes - 1] != ']')
        value.len_bytes--;
      if (value.len_bytes > 1 && value.ptr[0] == '['
          && kb_slice_equal (name, kb_slice_str (key)))
        {
          *open = (size_t)(value.ptr - text.ptr);
          *close = *open + value.len_bytes - 1;
          return true;
        }
    }
  while (jsc_byte (&c) == ',');
  return false;
}

/// Parses each element and passes it on.
typedef struct
{
  const char *name;
  const char *key;
  jsn_on_element_t on_element;
  void *arg;
} element_parser_t;

static kb_status_t
parse_element (void *arg, uint32_t position, kb_slice_t text,
               kb_error_t *error)
{
  const element_parser_t *parser = arg;
  char location[96];
  snprintf (location, sizeof location, "%s, %s %u", parser->name, parser->key,
            position);
  struct json_object *element = NULL;
  kb_status_t status = jsn_parse_text (location, text, &element, error);
  if (status != KB_OK)
    return status;
  if (!json_object_is_type (element, json_type_object))
    {
      json_object_put (element);
      return kb_error_set (error, KB_EINVAL, "%s: must be an object",
                           location);
    }
  status = parser->on_element (parser->arg, element, error);
  json_object_put (element);
  return status;
}

static kb_status_t
walk_elements (const char *name, const char *key, kb_slice_t list,
               jsn_on_text_t on_text, void *arg, kb_error_t *error)
{
  jsc_cursor_t c = { .text = list };
  jsc_skip_space (&c);
  if (jsc_is_at_end (&c))
    return KB_OK;
  for (uint32_t position = 1;; position++)
    {
      size_t start = c.at;
      bool is_whole = jsc_skip_value (&c);
      size_t end = c.at < list.len_bytes ? c.at : list.len_bytes;
      kb_slice_t text = { list.ptr + start, (uint32_t)(end - start) };
      kb_status_t status = on_text (arg, position, text, error);
      bool is_last = jsc_is_at_end (&c);
      if (status != KB_OK || (is_last && is_whole))
        return status;
      if (is_last || jsc_byte (&c) != ',')
        return kb_error_set (error, KB_EINVAL,
                             "%s, %s %u: brackets do not match", name, key,
                             position);
      c.at++;
    }
}

kb_status_t
jsn_walk_texts (const char *name, kb_slice_t text, const char *key,
                struct json_object **rest, jsn_on_text_t on_text, void *arg,
                kb_error_t *error)
{
  size_t open;
  size_t close;
  if (!find_list (text, key, &open, &close))
    return jsn_parse_text (name, text, rest, error);
  kb_buf_t emptied = { 0 };
  kb_buf_append (&emptied, text.ptr, open + 1);
  kb_buf_append (&emptied, text.ptr + close, text.len_bytes - close);
  kb_status_t status
      = jsn_parse_text (name, kb_buf_slice (&emptied), rest, error);
  kb_buf_finish (&emptied);
  if (status != KB_OK)
    return status;
  kb_slice_t list = { text.ptr + open + 1, (uint32_t)(close - open - 1) };
  status = walk_elements (name, key, list, on_text, arg, error);
  if (status == KB_OK)
    return KB_OK;
  json_object_put (*rest);
  *rest = NULL;
  return status;
}

kb_status_t
jsn_walk_list (const char *name, kb_slice_t text, const char *key,
               struct json_object **rest, jsn_on_element_t on_element,
               void *arg, kb_error_t *error)
{
  element_parser_t parser = { name, key, on_element, arg };
  return jsn_walk_texts (name, text, key, rest, parse_element, &parser, error);
}
