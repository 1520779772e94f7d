/// @file json.h
/// Parser for JSON with comments that reports the line of an error, and short
/// accessors for json-c objects. A duplicate key is an error: json-c alone
/// would silently keep only the last one.
#ifndef KB_PROTOCOL_JSON_H
#define KB_PROTOCOL_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/status.h"

/// Parse one document.
/// @param name  Name of the source, used in messages as "name:line: reason".
/// @param out   Receives the document, which the caller releases with
///              json_object_put; NULL on error.
/// @return  KB_EINVAL if the text is not a valid document.
kb_status_t jsn_parse_text (const char *name, kb_slice_t text,
                            struct json_object **out, kb_error_t *error);
/// Read and parse a file of at most 16 MiB.
/// @return  KB_ENOTFOUND, KB_ELIMIT or the errors of jsn_parse_text.
kb_status_t jsn_parse_file (const char *path, struct json_object **out,
                            kb_error_t *error);
/// Append the content of a file to `out`.
/// @return  KB_ENOTFOUND if it cannot be opened, KB_ELIMIT if it has more than
///          `max_bytes`.
kb_status_t jsn_read_file (const char *path, size_t max_bytes, kb_buf_t *out,
                           kb_error_t *error);

/// Accessors. They return the fallback if the member is absent or has another
/// type.
const char *jsn_str (struct json_object *obj, const char *key,
                     const char *fallback);
int64_t jsn_int (struct json_object *obj, const char *key, int64_t fallback);
bool jsn_bool (struct json_object *obj, const char *key, bool fallback);
double jsn_num (struct json_object *obj, const char *key, double fallback);
/// @return  Whether the member exists; its value may be null.
bool jsn_has (struct json_object *obj, const char *key);
/// @return  The member, or NULL if it is absent or null.
struct json_object *jsn_get (struct json_object *obj, const char *key);
/// @return  The member if it is an array, else NULL.
struct json_object *jsn_list (struct json_object *obj, const char *key);
/// @return  Number of elements; zero for NULL.
size_t jsn_list_len (struct json_object *list);
/// @return  The element if it is a string, else "".
const char *jsn_list_str (struct json_object *list, size_t at);

/// Append a JSON string literal with its quotes.
void jsn_append_quoted (kb_buf_t *out, kb_slice_t text);

#endif
