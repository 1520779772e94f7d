/// @file sse.h
/// Parsing of server-sent events in the body of a stream.
#ifndef KB_TRANSPORT_SSE_H
#define KB_TRANSPORT_SSE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

/// @param scanned_bytes  How many of the bytes were already found to hold no
///                       complete event; zero: unknown.
/// @return  Length in bytes of the first complete event, with the empty line
///          that ends it, or zero.
uint32_t sse_event_length (kb_slice_t bytes, uint32_t scanned_bytes);
/// @return  Whether a complete event holds nothing but comments.
bool sse_event_is_comment (kb_slice_t event);
/// Read the "id:" line of a complete event.
/// @param out  Receives the id.
/// @return     Whether the event has such a line.
bool sse_event_id (kb_slice_t event, uint64_t *out);

#endif
