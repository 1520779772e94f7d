#include "transport/trace.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

static bool trace_is_enabled;
static char trace_service_name[64];

void
trc_configure (bool is_enabled, const char *service_name)
{
  trace_is_enabled = is_enabled;
  snprintf (trace_service_name, sizeof trace_service_name, "%s", service_name);
}

trc_context_t
trc_begin (kb_slice_t traceparent, const uint64_t random[2])
{
  trc_context_t context = { .span_id = random[0] | 1 };
  char text[TRC_TRACEPARENT_BYTES];
  kb_slice_copy (traceparent, text, sizeof text);
  uint64_t hi;
  uint64_t lo;
  uint64_t parent;
  unsigned version;
  unsigned flags;
  if (traceparent.len_bytes == TRC_TRACEPARENT_BYTES - 1
      && sscanf (text, "%2x-%16" SCNx64 "%16" SCNx64 "-%16" SCNx64 "-%2x",
                 &version, &hi, &lo, &parent, &flags)
             == 5
      && (hi != 0 || lo != 0) && parent != 0)
    {
      context.trace_hi = hi;
      context.trace_lo = lo;
      context.parent_span_id = parent;
      return context;
    }
  context.trace_hi = random[1] | 1;
  context.trace_lo = random[0] ^ (random[1] << 1);
  return context;
}

trc_context_t
trc_make_child (const trc_context_t *parent, uint64_t random)
{
  trc_context_t child = *parent;
  child.parent_span_id = parent->span_id;
  child.span_id = random | 1;
  return child;
}

void
trc_format_traceparent (const trc_context_t *context,
                        char out[TRC_TRACEPARENT_BYTES])
{
  snprintf (out, TRC_TRACEPARENT_BYTES,
            "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-01",
            context->trace_hi, context->trace_lo, context->span_id);
}

void
trc_export (const trc_context_t *context, const char *name,
            uint64_t start_wall_us, uint64_t duration_us, const char *outcome)
{
  if (!trace_is_enabled)
    return;
  char parent[64] = "";
  if (context->parent_span_id != 0)
    snprintf (parent, sizeof parent, "\"parentSpanId\":\"%016" PRIx64 "\",",
              context->parent_span_id);
  printf ("{\"resourceSpans\":[{\"resource\":{\"attributes\":[{\"key\":"
          "\"service.name\",\"value\":{\"stringValue\":\"%s\"}}]},"
          "\"scopeSpans\":[{\"spans\":[{\"traceId\":\"%016" PRIx64
          "%016" PRIx64 "\",\"spanId\":\"%016" PRIx64 "\",%s\"name\":\"%s\","
          "\"startTimeUnixNano\":\"%" PRIu64
          "000\",\"endTimeUnixNano\":\"%" PRIu64
          "000\",\"attributes\":[{\"key\":\"outcome\",\"value\":{"
          "\"stringValue\":\"%s\"}}]}]}]}]}\n",
          trace_service_name, context->trace_hi, context->trace_lo,
          context->span_id, parent, name, start_wall_us,
          start_wall_us + duration_us, outcome);
  fflush (stdout);
}
