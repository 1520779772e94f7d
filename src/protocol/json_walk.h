/// @file json_walk.h
/// Parses a document with one large list element by element, so that only the
/// text and one element are in memory. As a single json-c tree, a
/// configuration with 2,000 routes takes 4 MB in every daemon at each change.
#ifndef KB_PROTOCOL_JSON_WALK_H
#define KB_PROTOCOL_JSON_WALK_H

#include "protocol/json.h"

/// @return  A status other than KB_OK ends the walk.
typedef kb_status_t (*jsn_on_element_t) (void *arg,
                                         struct json_object *element,
                                         kb_error_t *error);

/// Parse a document whose member `key` is a list of objects. Other elements
/// are rejected, and so are trailing commas, which json-c accepts.
/// @param name        Name of the source, used in messages.
/// @param rest        Receives the document with that list emptied, or
///                    unchanged if the member is not a list. The caller
///                    releases it with json_object_put; NULL on error.
/// @param on_element  Called for each element in order, once the rest of the
///                    document has been found valid.
/// @return  KB_EINVAL if the text is invalid, or the status of `on_element`.
kb_status_t jsn_walk_list (const char *name, kb_slice_t text, const char *key,
                           struct json_object **rest,
                           jsn_on_element_t on_element, void *arg,
                           kb_error_t *error);
/// @param position  One-based index of the element.
/// @param element   Its text; not checked.
/// @return          A status other than KB_OK ends the walk.
typedef kb_status_t (*jsn_on_text_t) (void *arg, uint32_t position,
                                      kb_slice_t element, kb_error_t *error);

/// As jsn_walk_list, but elements are passed on as text: what is invalid
/// within one is left to the receiver.
kb_status_t jsn_walk_texts (const char *name, kb_slice_t text, const char *key,
                            struct json_object **rest, jsn_on_text_t on_text,
                            void *arg, kb_error_t *error);
/// Find a member of an object without parsing the object.
/// @param value  Receives the text of the member's value.
/// @return       False unless the object has the member exactly once.
bool jsn_find_member (kb_slice_t text, const char *key, kb_slice_t *value);

#endif
