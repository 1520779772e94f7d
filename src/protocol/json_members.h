/// @file json_members.h
/// Checks a JSON object and passes on its members as text. No tree is built,
/// so the memory needed does not depend on the text: as json-c objects, a text
/// of short values takes some hundred times its size.
#ifndef KB_PROTOCOL_JSON_MEMBERS_H
#define KB_PROTOCOL_JSON_MEMBERS_H

#include "state/buf.h"
#include "state/status.h"

/// @param name   Between its quotes, with escapes not decoded.
/// @param value  Its text, without white space around it.
/// @return       A status other than KB_OK ends the walk.
typedef kb_status_t (*jsn_on_member_t) (void *arg, kb_slice_t name,
                                        kb_slice_t value, kb_error_t *error);

/// Check a text by RFC 8259, with at most 32 levels, whose value is an object.
/// Names that stand twice are left to the receiver.
/// @param source     Name of the source, used in messages.
/// @param on_member  Called for each member in order; the rest of the text is
///                   not checked yet.
/// @return  KB_EINVAL with place and reason if the text is invalid, or the
///          status of `on_member`.
kb_status_t jsn_walk_members (const char *source, kb_slice_t text,
                              jsn_on_member_t on_member, void *arg,
                              kb_error_t *error);

#endif
