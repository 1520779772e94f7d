#include "protocol/json_members.h"

#include <ctype.h>

enum
{
  MAX_DEPTH = 32,
  UNICODE_DIGITS = 4,
  FIRST_PRINTABLE = 0x20,
};

typedef struct
{
  const char *source;
  kb_slice_t text;
  uint32_t at;
  kb_error_t *error;
  /// Whether each open bracket is one of an object, by depth.
  bool is_object[MAX_DEPTH + 1];
  uint32_t depth;
} walk_t;

/// @return  The byte at the cursor; zero at the end.
static char
walk_byte (const walk_t *walk)
{
  return walk->at < walk->text.len_bytes ? walk->text.ptr[walk->at] : '\0';
}

static kb_status_t
walk_fail (const walk_t *walk, const char *reason)
{
  uint32_t line = 1;
  for (uint32_t i = 0; i < walk->at; i++)
    line += walk->text.ptr[i] == '\n';
  bool is_at_end = walk->at >= walk->text.len_bytes;
  return kb_error_set (walk->error, KB_EINVAL, "%s:%u: %s", walk->source, line,
                       is_at_end ? "the text ends too early" : reason);
}

static void
skip_space (walk_t *walk)
{
  while (walk_byte (walk) == ' ' || walk_byte (walk) == '\t'
         || walk_byte (walk) == '\n' || walk_byte (walk) == '\r')
    walk->at++;
}

/// Skip the backslash at the cursor and what it escapes.
static bool
skip_escape (walk_t *walk)
{
  walk->at++;
  char escaped = walk_byte (walk);
  if (escaped == '\0' || strchr ("\"\\/bfnrtu", escaped) == NULL)
    return false;
  walk->at++;
  for (int i = 0; escaped == 'u' && i < UNICODE_DIGITS; i++, walk->at++)
    if (!isxdigit ((unsigned char)walk_byte (walk)))
      return false;
  return true;
}

/// @param content  Receives what stands between the quotes; may be NULL.
static kb_status_t
skip_string (walk_t *walk, kb_slice_t *content)
{
  if (walk_byte (walk) != '"')
    return walk_fail (walk, "a string is expected");
  uint32_t start = ++walk->at;
  while (walk_byte (walk) != '"')
    {
      if ((unsigned char)walk_byte (walk) < FIRST_PRINTABLE)
        return walk_fail (walk, "a control character stands in a string");
      if (walk_byte (walk) != '\\')
        walk->at++;
      else if (!skip_escape (walk))
        return walk_fail (walk, "an escape is wrong");
    }
  if (content != NULL)
    *content = (kb_slice_t){ walk->text.ptr + start, walk->at - start };
  walk->at++;
  return KB_OK;
}

/// @return  Number of digits that were skipped.
static uint32_t
skip_digits (walk_t *walk)
{
  uint32_t start = walk->at;
  while (isdigit ((unsigned char)walk_byte (walk)))
    walk->at++;
  return walk->at - start;
}

static kb_status_t
skip_number (walk_t *walk)
{
  walk->at += walk_byte (walk) == '-';
  bool is_zero = walk_byte (walk) == '0';
  uint32_t digits = skip_digits (walk);
  if (digits == 0 || (is_zero && digits > 1))
    return walk_fail (walk, "a value is wrong");
  if (walk_byte (walk) == '.')
    {
      walk->at++;
      if (skip_digits (walk) == 0)
        return walk_fail (walk, "a number is wrong");
    }
  if (walk_byte (walk) != 'e' && walk_byte (walk) != 'E')
    return KB_OK;
  walk->at++;
  walk->at += walk_byte (walk) == '+' || walk_byte (walk) == '-';
  return skip_digits (walk) > 0 ? KB_OK
                                : walk_fail (walk, "a number is wrong");
}

static kb_status_t
skip_scalar (walk_t *walk)
{
  static const char *const words[] = { "true", "false", "null" };
  if (walk_byte (walk) == '"')
    return skip_string (walk, NULL);
  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    {
      size_t len = strlen (words[i]);
      if (walk->text.len_bytes - walk->at >= len
          && memcmp (walk->text.ptr + walk->at, words[i], len) == 0)
        {
          walk->at += (uint32_t)len;
          return KB_OK;
        }
    }
  return skip_number (walk);
}

/// Skip a name and the colon behind it.
static kb_status_t
skip_name (walk_t *walk, kb_slice_t *name)
{
  skip_space (walk);
  if (skip_string (walk, name) != KB_OK)
    return KB_EINVAL;
  skip_space (walk);
  if (walk_byte (walk) != ':')
    return walk_fail (walk, "a colon is expected");
  walk->at++;
  skip_space (walk);
  return KB_OK;
}

static char
closing_of (const walk_t *walk)
{
  return walk->is_object[walk->depth] ? '}' : ']';
}

/// Skip an opening bracket and, in an object, the first name.
/// @param is_empty  Receives whether the closing bracket followed, and was
///                  skipped.
static kb_status_t
open_bracket (walk_t *walk, bool *is_empty)
{
  if (walk->depth == MAX_DEPTH)
    return walk_fail (walk, "nested too deep");
  walk->is_object[++walk->depth] = walk_byte (walk) == '{';
  walk->at++;
  skip_space (walk);
  *is_empty = walk_byte (walk) == closing_of (walk);
  if (*is_empty)
    {
      walk->at++;
      walk->depth--;
      return KB_OK;
    }
  return walk->is_object[walk->depth] ? skip_name (walk, NULL) : KB_OK;
}

/// Skip what follows a value: closing brackets, then a comma and, in an
/// object, the next name.
/// @param depth  Where to stop, without a comma.
static kb_status_t
skip_after_value (walk_t *walk, uint32_t depth)
{
  while (walk->depth > depth)
    {
      skip_space (walk);
      char byte = walk_byte (walk);
      if (byte != ',' && byte != closing_of (walk))
        return walk_fail (walk, "a comma or a closing bracket is expected");
      walk->at++;
      if (byte != ',')
        {
          walk->depth--;
          continue;
        }
      skip_space (walk);
      return walk->is_object[walk->depth] ? skip_name (walk, NULL) : KB_OK;
    }
  return KB_OK;
}

static kb_status_t
skip_value (walk_t *walk)
{
  uint32_t depth = walk->depth;
  kb_status_t status;
  do
    {
      bool is_whole = true;
      char byte = walk_byte (walk);
      status = byte == '{' || byte == '[' ? open_bracket (walk, &is_whole)
                                          : skip_scalar (walk);
      if (status == KB_OK && is_whole)
        status = skip_after_value (walk, depth);
    }
  while (status == KB_OK && walk->depth > depth);
  return status;
}

/// Pass on the members of the object whose opening bracket was skipped, and
/// skip its closing one.
static kb_status_t
walk_object (walk_t *walk, jsn_on_member_t on_member, void *arg)
{
  skip_space (walk);
  bool is_open = walk_byte (walk) != '}';
  while (is_open)
    {
      kb_slice_t name;
      kb_status_t status = skip_name (walk, &name);
      uint32_t start = walk->at;
      if (status == KB_OK)
        status = skip_value (walk);
      kb_slice_t value = { walk->text.ptr + start, walk->at - start };
      if (status == KB_OK)
        status = on_member (arg, name, value, walk->error);
      if (status != KB_OK)
        return status;
      skip_space (walk);
      is_open = walk_byte (walk) == ',';
      if (is_open)
        walk->at++;
      else if (walk_byte (walk) != '}')
        return walk_fail (walk, "a comma or a closing bracket is expected");
    }
  walk->at++;
  return KB_OK;
}

kb_status_t
jsn_walk_members (const char *source, kb_slice_t text,
                  jsn_on_member_t on_member, void *arg, kb_error_t *error)
{
  walk_t walk = { .source = source, .text = text, .error = error };
  skip_space (&walk);
  if (walk_byte (&walk) != '{')
    return walk_fail (&walk, "must be an object");
  walk.at++;
  walk.depth = 1;
  walk.is_object[1] = true;
  kb_status_t status = walk_object (&walk, on_member, arg);
  if (status != KB_OK)
    return status;
  skip_space (&walk);
  return walk.at == text.len_bytes
             ? KB_OK
             : walk_fail (&walk, "something stands after the document");
}
