#include "transport/metrics.h"

#include <assert.h>
#include <string.h>

static met_counter_t counters[MET_MAX];
static uint32_t counter_count;

met_counter_t *
met_counter (const char *name, const char *labels)
{
  for (uint32_t i = 0; i < counter_count; i++)
    if (strcmp (counters[i].name, name) == 0
        && strcmp (counters[i].labels, labels) == 0)
      return &counters[i];
  assert (counter_count < MET_MAX);
  met_counter_t *counter = &counters[counter_count++];
  counter->name = name;
  counter->labels = labels;
  return counter;
}

void
met_write (kb_buf_t *out)
{
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
