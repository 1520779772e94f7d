/// @file metrics.h
/// Counters and gauges of the process, written as Prometheus text.
#ifndef KB_TRANSPORT_METRICS_H
#define KB_TRANSPORT_METRICS_H

#include <stdint.h>

#include "state/buf.h"

enum
{
  MET_MAX_COUNTERS = 192
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
enum
{
  /// Two buckets for each doubling of milliseconds, up to about 65 s.
  MET_BUCKETS = 34,
  MET_MAX_HISTOGRAMS = 32,
};

/// Latencies in log-linear buckets.
typedef struct
{
  const char *name;   ///< Constant metric name.
  const char *labels; ///< Constant label text without braces, or "".
  uint64_t buckets[MET_BUCKETS];
  uint64_t count;
  uint64_t sum_ms;
} met_histogram_t;

/// Find or create a histogram; as met_counter.
met_histogram_t *met_histogram (const char *name, const char *labels);
void met_observe (met_histogram_t *histogram, uint64_t value_ms);
/// @return  Upper bound of a bucket in milliseconds.
uint64_t met_bucket_bound_ms (uint32_t bucket);
/// Append every counter and histogram as Prometheus text.
void met_write (kb_buf_t *out);
/// Increase a counter looked up once at this place.
#define MET_INC(name, labels)                                                 \
  do                                                                          \
    {                                                                         \
      static met_counter_t *met_cached;                                       \
      if (met_cached == NULL)                                                 \
        met_cached = met_counter (name, labels);                              \
      met_cached->value++;                                                    \
    }                                                                         \
  while (0)

#endif
