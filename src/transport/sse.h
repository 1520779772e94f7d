/// @file sse.h
/// Parsing of server-sent events in the body of a stream.
#ifndef KB_TRANSPORT_SSE_H
#define KB_TRANSPORT_SSE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

/// @return  Length in bytes of the first complete event, with the empty line
///          that ends it, or zero.
uint32_t sse_event_length (kb_slice_t bytes);
/// Read the "id:" line of a complete event.
/// @param out  Receives the id.
/// @return     Whether the event has such a line.
bool sse_event_id (kb_slice_t event, uint64_t *out);

#endif
