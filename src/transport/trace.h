/// @file trace.h
/// Spans, one for each hop of a request, as OTLP JSON lines on standard
/// output. Context travels as a W3C traceparent.
#ifndef KB_TRANSPORT_TRACE_H
#define KB_TRANSPORT_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  TRC_TRACEPARENT_BYTES = 56, ///< "00-" + 32 + "-" + 16 + "-01" and a zero.
};

/// Context of one request.
typedef struct
{
  uint64_t trace_hi;
  uint64_t trace_lo;
  uint64_t span_id; ///< The current span_id.
  uint64_t parent;  ///< Zero: a root span_id.
} trc_context_t;

/// Turn export on or off; off at first.
void trc_configure (bool is_enabled, const char *service_name);
/// Continue a caller's trace or begin a new one.
/// @param random  Two random numbers for new ids.
trc_context_t trc_begin (kb_slice_t traceparent, const uint64_t random[2]);
/// A child of a span_id.
trc_context_t trc_make_child (const trc_context_t *parent, uint64_t random);
void trc_format_traceparent (const trc_context_t *context,
                             char out[TRC_TRACEPARENT_BYTES]);
/// Export a finished span_id.
/// @param start_wall_us  Wall-clock microseconds.
void trc_export (const trc_context_t *context, const char *name,
                 uint64_t start_wall_us, uint64_t duration_us,
                 const char *outcome);

#endif
