/// @file json.h
/// Reading JSON with comments, with the place of an error, and short
/// accessors over json-c. A doubled key is an error: json-c alone would keep
/// the last one and lose the other without a word.
#ifndef KB_PROTOCOL_JSON_H
#define KB_PROTOCOL_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/status.h"

/// Parse one document.
/// @param name  Name of the source, used in messages as "name:line: reason".
/// @param out   Receives a reference the caller puts back.
kb_status_t jsn_parse_text (const char *name, kb_slice_t text,
                            struct json_object **out, kb_error_t *error);
/// Read and parse a file.
kb_status_t jsn_parse_file (const char *path, struct json_object **out,
                            kb_error_t *error);
/// Read a whole file, at most `max_bytes`.
kb_status_t jsn_read_file (const char *path, size_t max_bytes, kb_buf_t *out,
                           kb_error_t *error);

/// Accessors: the fallback when the member is absent or of another type.
const char *jsn_str (struct json_object *obj, const char *key,
                     const char *fallback);
int64_t jsn_int (struct json_object *obj, const char *key, int64_t fallback);
bool jsn_bool (struct json_object *obj, const char *key, bool fallback);
double jsn_num (struct json_object *obj, const char *key, double fallback);
/// @return  Whether the member is there, also when it is null.
bool jsn_has (struct json_object *obj, const char *key);
struct json_object *jsn_get (struct json_object *obj, const char *key);
/// @return  The member when it is a list, or NULL.
struct json_object *jsn_list (struct json_object *obj, const char *key);
/// @return  Elements of a list; zero for NULL.
size_t jsn_list_len (struct json_object *list);
/// @return  An element when it is a string, or "".
const char *jsn_list_str (struct json_object *list, size_t at);

/// Append a JSON string literal with its quotes.
void jsn_append_quoted (kb_buf_t *out, kb_slice_t text);

#endif
