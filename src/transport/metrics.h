/// @file metrics.h
/// Counters and gauges of the process, written as Prometheus text.
#ifndef KB_TRANSPORT_METRICS_H
#define KB_TRANSPORT_METRICS_H

#include <stdint.h>

#include "state/buf.h"

enum
{
  MET_MAX = 192
};

typedef struct
{
  const char *name;   ///< Constant metric name.
  const char *labels; ///< Constant label text without braces, or "".
  int64_t value;
} met_counter_t;

/// Find or create a counter. The pointer stays valid for the process's life.
/// @param name    Constant string.
/// @param labels  Constant string such as `kind="watch"`, or "".
met_counter_t *met_counter (const char *name, const char *labels);
static inline void
met_add (met_counter_t *counter, int64_t delta)
{
  counter->value += delta;
}
static inline void
met_set (met_counter_t *counter, int64_t value)
{
  counter->value = value;
}
/// Append every counter as Prometheus text.
void met_write (kb_buf_t *out);
/// Increase a counter looked up once at this place.
#define MET_INC(name, labels)                                                 \
  do                                                                          \
    {                                                                         \
      static met_counter_t *met_here;                                         \
      if (met_here == NULL)                                                   \
        met_here = met_counter (name, labels);                                \
      met_here->value++;                                                      \
    }                                                                         \
  while (0)

#endif
