/// @file trace.h
/// Trace spans, one for each hop of a request, written as OTLP JSON lines to
/// standard output. The context is propagated as a W3C traceparent.
#ifndef KB_TRANSPORT_TRACE_H
#define KB_TRANSPORT_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  TRC_TRACEPARENT_BYTES = 56, ///< "00-" + 32 + "-" + 16 + "-01" + NUL.
};

/// Trace context of one request.
typedef struct
{
  uint64_t trace_hi;
  uint64_t trace_lo;
  uint64_t span_id;        ///< Current span.
  uint64_t parent_span_id; ///< Parent span; 0 for a root span.
} trc_context_t;

/// Enables or disables the export of spans; disabled by default.
/// @param service_name  Written as the service.name attribute of each span.
void trc_configure (bool is_enabled, const char *service_name);
/// Continues the trace of the caller, or starts a new one if `traceparent` is
/// empty or malformed.
/// @param random  Two random numbers, from which new ids are derived.
trc_context_t trc_begin (kb_slice_t traceparent, const uint64_t random[2]);
/// Returns the context of a new child span of `parent`.
trc_context_t trc_make_child (const trc_context_t *parent, uint64_t random);
/// Formats the context as a traceparent header value.
void trc_format_traceparent (const trc_context_t *context,
                             char out[TRC_TRACEPARENT_BYTES]);
/// Exports a finished span.
/// @param start_wall_us  Wall-clock time in microseconds since the Unix epoch.
void trc_export (const trc_context_t *context, const char *name,
                 uint64_t start_wall_us, uint64_t duration_us,
                 const char *outcome);

#endif
