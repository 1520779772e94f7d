/// @file json_walk.h
/// Reads a document with one large list element by element, so that it takes
/// the memory of its text and one element. A configuration with 2,000 routes
/// takes 4 MB as one tree of json-c, which every daemon held at the moment of
/// each change.
#ifndef KB_PROTOCOL_JSON_WALK_H
#define KB_PROTOCOL_JSON_WALK_H

#include "protocol/json.h"

/// @return  Anything but KB_OK ends the walk.
typedef kb_status_t (*jsn_on_element_t) (void *arg,
                                         struct json_object *element,
                                         kb_error_t *error);

/// Parse a document whose member `key` is a list of objects; other elements
/// are refused, as are commas without an element behind them, which json-c
/// lets pass.
/// @param rest        Receives the document with that list empty; a reference
///                    the caller puts back. As it is when the member is no
///                    list.
/// @param on_element  Called for each element, in order, after the rest was
///                    found to be proper.
kb_status_t jsn_walk_list (const char *name, kb_slice_t text, const char *key,
                           struct json_object **rest,
                           jsn_on_element_t on_element, void *arg,
                           kb_error_t *error);

#endif
