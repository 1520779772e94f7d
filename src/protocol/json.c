#include "protocol/json.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/json_scan.h"
#include "state/map.h"

enum
{
  JSON_MAX_DEPTH = 32,
  JSON_FILE_MAX_BYTES = 16 << 20
};

static uint32_t
line_number_at (kb_slice_t text, size_t offset)
{
  uint32_t line = 1;
  for (size_t i = 0; i < offset && i < text.len_bytes; i++)
    if (text.ptr[i] == '\n')
      line++;
  return line;
}

/// State of the scan for duplicate keys.
typedef struct
{
  jsc_cursor_t cursor;
  kb_map_t keys;        ///< Set of hashes of object serial and key.
  uint64_t last_serial; ///< Number of objects and arrays seen.
  /// Serial and kind of each open object or array, by depth.
  uint64_t object_serial[JSON_MAX_DEPTH + 1];
  bool is_object[JSON_MAX_DEPTH + 1];
  uint32_t depth;
} key_scan_t;

/// @return  Whether the string before the cursor is a key.
static bool
scan_is_key (const key_scan_t *s)
{
  jsc_cursor_t ahead = s->cursor;
  jsc_skip_space (&ahead);
  return jsc_byte (&ahead) == ':';
}

/// @return  False if the object already has this key.
static bool
scan_add_key (key_scan_t *s, kb_slice_t key)
{
  uint64_t hash
      = kb_hash (key.ptr, key.len_bytes, s->object_serial[s->depth]) | 1;
  if (kb_map_get (&s->keys, hash) != NULL)
    return false;
  kb_map_put (&s->keys, hash, s);
  return true;
}

static bool
scan_open (key_scan_t *s, bool is_object)
{
  if (s->depth == JSON_MAX_DEPTH)
    return false;
  s->depth++;
  s->object_serial[s->depth] = ++s->last_serial;
  s->is_object[s->depth] = is_object;
  return true;
}

/// Check a text that json-c has accepted for duplicate keys.
static kb_status_t
check_unique_keys (const char *name, kb_slice_t text, kb_error_t *error)
{
  key_scan_t s = { .cursor = { .text = text } };
  jsc_cursor_t *c = &s.cursor;
  kb_status_t status = KB_OK;
  while (!jsc_is_at_end (c) && status == KB_OK)
    {
      char byte = jsc_byte (c);
      if (jsc_is_comment (c))
        jsc_skip_comment (c);
      else if (byte == '"')
        {
          size_t start = c->at;
          kb_slice_t key = jsc_read_string (c);
          if (s.depth > 0 && s.is_object[s.depth] && scan_is_key (&s)
              && !scan_add_key (&s, key))
            status = kb_error_set (
                error, KB_EINVAL, "%s:%u: key \"%.*s\" stands twice", name,
                line_number_at (text, start), (int)key.len_bytes, key.ptr);
        }
      else
        {
          bool is_opening = byte == '{' || byte == '[';
          if (is_opening && !scan_open (&s, byte == '{'))
            status = kb_error_set (error, KB_EINVAL, "%s:%u: nested too deep",
                                   name, line_number_at (text, c->at));
          if ((byte == '}' || byte == ']') && s.depth > 0)
            s.depth--;
          c->at++;
        }
    }
  kb_map_finish (&s.keys);
  return status;
}

kb_status_t
jsn_parse_text (const char *name, kb_slice_t text, struct json_object **out,
                kb_error_t *error)
{
  *out = NULL;
  struct json_tokener *tok = json_tokener_new_ex (JSON_MAX_DEPTH);
  struct json_object *obj
      = json_tokener_parse_ex (tok, text.ptr, (int)text.len_bytes);
  enum json_tokener_error parse_error = json_tokener_get_error (tok);
  size_t end = json_tokener_get_parse_end (tok);
  json_tokener_free (tok);
  if (parse_error != json_tokener_success)
    {
      const char *reason = parse_error == json_tokener_continue
                               ? "the text ends too early"
                               : json_tokener_error_desc (parse_error);
      json_object_put (obj);
      return kb_error_set (error, KB_EINVAL, "%s:%u: %s", name,
                           line_number_at (text, end), reason);
    }
  jsc_cursor_t rest = { .text = text, .at = end };
  jsc_skip_space (&rest);
  if (!jsc_is_at_end (&rest))
    {
      json_object_put (obj);
      return kb_error_set (error, KB_EINVAL,
                           "%s:%u: something stands after the document", name,
                           line_number_at (text, rest.at));
    }
  kb_status_t status = check_unique_keys (name, text, error);
  if (status != KB_OK)
    {
      json_object_put (obj);
      return status;
    }
  *out = obj;
  return KB_OK;
}

kb_status_t
jsn_read_file (const char *path, size_t max_bytes, kb_buf_t *out,
               kb_error_t *error)
{
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    return kb_error_set (error, KB_ENOTFOUND, "%s: %s", path,
                         strerror (errno));
  char chunk[4096];
  size_t read_bytes;
  while ((read_bytes = fread (chunk, 1, sizeof chunk, file)) > 0
         && out->len_bytes <= max_bytes)
    kb_buf_append (out, chunk, read_bytes);
  fclose (file);
  if (out->len_bytes > max_bytes)
    return kb_error_set (error, KB_ELIMIT, "%s: larger than %zu bytes", path,
                         max_bytes);
  return KB_OK;
}

kb_status_t
jsn_parse_file (const char *path, struct json_object **out, kb_error_t *error)
{
  kb_buf_t text;
  kb_buf_init (&text);
  *out = NULL;
  kb_status_t status = jsn_read_file (path, JSON_FILE_MAX_BYTES, &text, error);
  if (status == KB_OK)
    status = jsn_parse_text (path, kb_buf_slice (&text), out, error);
  kb_buf_finish (&text);
  return status;
}

struct json_object *
jsn_get (struct json_object *obj, const char *key)
{
  struct json_object *value = NULL;
  if (obj == NULL || !json_object_is_type (obj, json_type_object))
    return NULL;
  json_object_object_get_ex (obj, key, &value);
  return value;
}

bool
jsn_has (struct json_object *obj, const char *key)
{
  return obj != NULL && json_object_is_type (obj, json_type_object)
         && json_object_object_get_ex (obj, key, NULL);
}

const char *
jsn_str (struct json_object *obj, const char *key, const char *fallback)
{
  struct json_object *value = jsn_get (obj, key);
  if (value == NULL || !json_object_is_type (value, json_type_string))
    return fallback;
  return json_object_get_string (value);
}

int64_t
jsn_int (struct json_object *obj, const char *key, int64_t fallback)
{
  struct json_object *value = jsn_get (obj, key);
  if (value == NULL || !json_object_is_type (value, json_type_int))
    return fallback;
  return json_object_get_int64 (value);
}

double
jsn_num (struct json_object *obj, const char *key, double fallback)
{
  struct json_object *value = jsn_get (obj, key);
  if (value == NULL
      || !(json_object_is_type (value, json_type_int)
           || json_object_is_type (value, json_type_double)))
    return fallback;
  return json_object_get_double (value);
}

bool
jsn_bool (struct json_object *obj, const char *key, bool fallback)
{
  struct json_object *value = jsn_get (obj, key);
  if (value == NULL || !json_object_is_type (value, json_type_boolean))
    return fallback;
  return json_object_get_boolean (value);
}

void
jsn_append_quoted (kb_buf_t *out, kb_slice_t text)
{
  kb_buf_append (out, "\"", 1);
  for (uint32_t i = 0; i < text.len_bytes; i++)
    {
      unsigned char c = (unsigned char)text.ptr[i];
      if (c == '"' || c == '\\')
        kb_buf_printf (out, "\\%c", c);
      else if (c < 0x20)
        kb_buf_printf (out, "\\u%04x", c);
      else
        kb_buf_append (out, &c, 1);
    }
  kb_buf_append (out, "\"", 1);
}

struct json_object *
jsn_list (struct json_object *obj, const char *key)
{
  struct json_object *member = jsn_get (obj, key);
  return json_object_is_type (member, json_type_array) ? member : NULL;
}

size_t
jsn_list_len (struct json_object *list)
{
  return list == NULL ? 0 : json_object_array_length (list);
}

const char *
jsn_list_str (struct json_object *list, size_t at)
{
  struct json_object *item = json_object_array_get_idx (list, at);
  return json_object_is_type (item, json_type_string)
             ? json_object_get_string (item)
             : "";
}
