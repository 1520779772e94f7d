#include "transport/metrics.h"

#include <assert.h>
#include <string.h>

static met_counter_t counters[MET_MAX_COUNTERS];
static uint32_t counter_count;

met_counter_t *
met_counter (const char *name, const char *labels)
{
  for (uint32_t i = 0; i < counter_count; i++)
    if (strcmp (counters[i].name, name) == 0
        && strcmp (counters[i].labels, labels) == 0)
      return &counters[i];
  assert (counter_count < MET_MAX_COUNTERS);
  met_counter_t *counter = &counters[counter_count++];
  counter->name = name;
  counter->labels = labels;
  return counter;
}

static met_histogram_t histograms[MET_MAX_HISTOGRAMS];
static uint32_t histogram_count;

met_histogram_t *
met_histogram (const char *name, const char *labels)
{
  for (uint32_t i = 0; i < histogram_count; i++)
    if (strcmp (histograms[i].name, name) == 0
        && strcmp (histograms[i].labels, labels) == 0)
      return &histograms[i];
  assert (histogram_count < MET_MAX_HISTOGRAMS);
  met_histogram_t *histogram = &histograms[histogram_count++];
  histogram->name = name;
  histogram->labels = labels;
  return histogram;
}

uint64_t
met_bucket_bound_ms (uint32_t bucket)
{
  uint64_t power = (uint64_t)1 << (bucket / 2);
  return bucket % 2 == 0 ? power : power + power / 2;
}

void
met_observe (met_histogram_t *histogram, uint64_t value_ms)
{
  uint32_t bucket = 0;
  while (bucket + 1 < MET_BUCKETS && value_ms > met_bucket_bound_ms (bucket))
    bucket++;
  histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_ms += value_ms;
}

static void
histogram_write (const met_histogram_t *h, kb_buf_t *out)
{
  const char *comma = h->labels[0] == '\0' ? "" : ",";
  uint64_t cumulative_count = 0;
  for (uint32_t i = 0; i + 1 < MET_BUCKETS; i++)
    {
      cumulative_count += h->buckets[i];
      if (h->buckets[i] > 0)
        kb_buf_printf (out, "%s_bucket{%s%sle=\"%llu\"} %llu\n", h->name,
                       h->labels, comma,
                       (unsigned long long)met_bucket_bound_ms (i),
                       (unsigned long long)cumulative_count);
    }
  kb_buf_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", h->name, h->labels,
                 comma, (unsigned long long)h->count);
  kb_buf_printf (out, "%s_sum{%s} %llu\n%s_count{%s} %llu\n", h->name,
                 h->labels, (unsigned long long)h->sum_ms, h->name, h->labels,
                 (unsigned long long)h->count);
}

void
met_write (kb_buf_t *out)
{
  for (uint32_t i = 0; i < histogram_count; i++)
    histogram_write (&histograms[i], out);
  for (uint32_t i = 0; i < counter_count; i++)
    {
      const met_counter_t *c = &counters[i];
      if (c->labels[0] == '\0')
        kb_buf_printf (out, "%s %lld\n", c->name, (long long)c->value);
      else
        kb_buf_printf (out, "%s{%s} %lld\n", c->name, c->labels,
                       (long long)c->value);
    }
}
