/// @file metrics.h
/// Counters, gauges and histograms of the process, in the Prometheus text
/// exposition format.
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
  const char *name;   ///< Metric name; string constant.
  const char *labels; ///< Labels without braces, or ""; string constant.
  int64_t value;
} met_counter_t;

/// Finds or creates a counter or gauge. The pointer remains valid for the
/// lifetime of the process.
/// @param name    String constant.
/// @param labels  String constant such as `kind="watch"`, or "".
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
  /// Two buckets per power of two in milliseconds; the largest finite bound
  /// is about 65 s.
  MET_BUCKETS = 34,
  MET_MAX_HISTOGRAMS = 32,
};

/// Latency histogram with log-linear buckets.
typedef struct
{
  const char *name;   ///< Metric name; string constant.
  const char *labels; ///< Labels without braces, or ""; string constant.
  uint64_t buckets[MET_BUCKETS];
  uint64_t count;
  uint64_t sum_ms;
} met_histogram_t;

/// Finds or creates a histogram; as met_counter.
met_histogram_t *met_histogram (const char *name, const char *labels);
void met_observe (met_histogram_t *histogram, uint64_t value_ms);
/// @return  Upper bound of a bucket in milliseconds.
uint64_t met_bucket_bound_ms (uint32_t bucket);
/// Appends all counters and histograms in the Prometheus text format.
void met_write (kb_buf_t *out);
/// Increments a counter; each expansion looks the counter up only once.
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
