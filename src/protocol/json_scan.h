/// @file json_scan.h
/// Moving over the text of a document without parsing it: space, comments and
/// string literals. What is wrong with a text is said by the parser.
#ifndef KB_PROTOCOL_JSON_SCAN_H
#define KB_PROTOCOL_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#include "state/buf.h"

/// A place in a text.
typedef struct
{
  kb_slice_t text;
  size_t at;
} jsc_cursor_t;

static inline bool
jsc_is_at_end (const jsc_cursor_t *c)
{
  return c->at >= c->text.len_bytes;
}

/// @return  The byte here, or zero at the end.
static inline char
jsc_byte (const jsc_cursor_t *c)
{
  return jsc_is_at_end (c) ? '\0' : c->text.ptr[c->at];
}

/// @return  Whether a comment starts here.
bool jsc_is_comment (const jsc_cursor_t *c);
void jsc_skip_comment (jsc_cursor_t *c);
/// Move over white space and comments.
void jsc_skip_space (jsc_cursor_t *c);
/// @return  The content of the string literal that starts here.
kb_slice_t jsc_read_string (jsc_cursor_t *c);

#endif
