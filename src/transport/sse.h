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
/// What the id of an event is.
typedef enum
{
  SSE_ID_NONE,    ///< It has no id field.
  SSE_ID_INVALID, ///< Not a whole number of 64 bits.
  SSE_ID_NUMBER,
} sse_id_t;

/// Read the id of a complete event, from its last id field.
/// @param out  Receives a number.
sse_id_t sse_event_id (kb_slice_t event, uint64_t *out);

#endif
