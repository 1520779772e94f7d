/// @file json_scan.h
/// Lexical scanning of JSON text without parsing it: white space, comments and
/// string literals. Errors in the text are left to the parser to report.
#ifndef KB_PROTOCOL_JSON_SCAN_H
#define KB_PROTOCOL_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#include "state/buf.h"

/// A position in a text.
typedef struct
{
  kb_slice_t text;
  size_t at; ///< Byte offset, at most the length of the text.
} jsc_cursor_t;

static inline bool
jsc_is_at_end (const jsc_cursor_t *c)
{
  return c->at >= c->text.len_bytes;
}

/// @return  The byte at the cursor, or zero at the end.
static inline char
jsc_byte (const jsc_cursor_t *c)
{
  return jsc_is_at_end (c) ? '\0' : c->text.ptr[c->at];
}

/// @return  Whether a comment starts at the cursor.
bool jsc_is_comment (const jsc_cursor_t *c);
/// Skip the comment that starts at the cursor.
void jsc_skip_comment (jsc_cursor_t *c);
/// Skip white space and comments.
void jsc_skip_space (jsc_cursor_t *c);
/// Skip the string literal that starts at the cursor.
/// @return  Its content, with escapes not decoded.
kb_slice_t jsc_read_string (jsc_cursor_t *c);
/// Skip the value at the cursor, up to the comma or closing bracket that
/// follows it, or to the end.
/// @return  False if the text ends within the value's brackets or a string.
bool jsc_skip_value (jsc_cursor_t *c);

#endif
