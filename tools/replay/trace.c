/// @file trace.c
/// Traces: the JSON Lines format and the seeded generator.
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "replay.h"

enum
{
  WORKSPACE_UPLOADS = 1,
  WORKSPACE_PLANNER,
  WORKSPACE_OFFICER,
  WORKSPACE_RESELLER,
  WORKSPACE_STUDIO,
  WORKSPACE_SCHOOLS,
};

static void
trace_add (rpl_trace_t *trace, const rpl_request_t *request)
{
  if ((trace->request_count & 1023) == 0)
    trace->requests
        = kb_realloc (trace->requests,
                      (trace->request_count + 1024) * sizeof *trace->requests);
  trace->requests[trace->request_count++] = *request;
}

static void
trace_add_fault (rpl_trace_t *trace, double at_s, const char *kind,
                 uint32_t which, double value)
{
  trace->faults = kb_realloc (trace->faults, (trace->fault_count + 1)
                                                 * sizeof *trace->faults);
  rpl_fault_t *fault = &trace->faults[trace->fault_count++];
  *fault = (rpl_fault_t){ .at_us = (uint64_t)(at_s * 1e6),
                          .which = which,
                          .value = value };
  snprintf (fault->kind, sizeof fault->kind, "%s", kind);
}

static int
request_compare (const void *a, const void *b)
{
  const rpl_request_t *ra = a;
  const rpl_request_t *rb = b;
  if (ra->at_us != rb->at_us)
    return ra->at_us < rb->at_us ? -1 : 1;
  return ra->id < rb->id ? -1 : ra->id > rb->id;
}

static void
trace_sort (rpl_trace_t *trace)
{
  for (uint32_t i = 0; i < trace->request_count; i++)
    trace->requests[i].id = i;
  qsort (trace->requests, trace->request_count, sizeof *trace->requests,
         request_compare);
  for (uint32_t i = 0; i < trace->request_count; i++)
    trace->requests[i].id = i + 1;
}

/// Popularity of adapters: a Zipf distribution over a shuffled order.
/// Shuffling again shifts the popularity.
typedef struct
{
  gsl_rng *rng;
  gsl_ran_discrete_t *distribution;
  uint32_t *order;
  uint32_t count;
} popularity_t;

static void
popularity_shuffle (popularity_t *p)
{
  gsl_ran_shuffle (p->rng, p->order, p->count, sizeof *p->order);
}

static void
popularity_init (popularity_t *p, gsl_rng *rng, uint32_t count, double skew)
{
  p->rng = rng;
  p->count = count;
  double *weights = kb_alloc (count * sizeof *weights);
  p->order = kb_alloc (count * sizeof *p->order);
  for (uint32_t i = 0; i < count; i++)
    {
      weights[i] = 1 / pow (i + 1, skew);
      p->order[i] = i + 1;
    }
  p->distribution = gsl_ran_discrete_preproc (count, weights);
  free (weights);
  popularity_shuffle (p);
}

static void
popularity_finish (popularity_t *p)
{
  gsl_ran_discrete_free (p->distribution);
  free (p->order);
}

static uint32_t
popularity_pick (popularity_t *p)
{
  return p->order[gsl_ran_discrete (p->rng, p->distribution)];
}

static uint32_t
token_count (gsl_rng *rng, double mean)
{
  double drawn = gsl_ran_lognormal (rng, log (mean) - 0.18, 0.6);
  return drawn < 4 ? 4 : drawn > 2000 ? 2000 : (uint32_t)drawn;
}

/// A Poisson stream of single requests.
typedef struct
{
  double from_s;
  double to_s;
  double rate_per_s;
  uint32_t workspace;
  uint32_t weight;
  uint8_t priority_class;
  double tokens;
  double deadline_s;
} stream_t;

static void
add_stream (rpl_trace_t *trace, gsl_rng *rng, popularity_t *popularity,
            const stream_t *s, double shuffle_at_s)
{
  bool is_shuffled = false;
  for (double t = s->from_s; t < s->to_s;
       t += gsl_ran_exponential (rng, 1 / s->rate_per_s))
    {
      if (!is_shuffled && t >= shuffle_at_s)
        {
          popularity_shuffle (popularity);
          is_shuffled = true;
        }
      rpl_request_t r = { .adapter = popularity_pick (popularity),
                          .version = 1,
                          .workspace = s->workspace,
                          .weight = s->weight,
                          .priority_class = s->priority_class,
                          .tokens = token_count (rng, s->tokens),
                          .at_us = (uint64_t)(t * 1e6),
                          .deadline_us = (uint64_t)(s->deadline_s * 1e6) };
      trace_add (trace, &r);
    }
}

/// A batch: many requests for one adapter within a short time.
static void
add_batch (rpl_trace_t *trace, gsl_rng *rng, uint32_t adapter,
           const stream_t *s, double at_s, uint32_t size, double within_s)
{
  for (uint32_t i = 0; i < size; i++)
    {
      rpl_request_t r
          = { .adapter = adapter,
              .version = 1 + (adapter % 3 == 0),
              .workspace = s->workspace,
              .weight = s->weight,
              .priority_class = s->priority_class,
              .tokens = token_count (rng, s->tokens),
              .at_us
              = (uint64_t)((at_s + gsl_ran_flat (rng, 0, within_s)) * 1e6),
              .deadline_us = (uint64_t)(s->deadline_s * 1e6) };
      trace_add (trace, &r);
    }
}

/// Overnight uploads of crews in batches, planners in the morning, officers
/// and a reseller's lookups throughout.
static void
generate_kavango (rpl_trace_t *trace, gsl_rng *rng, double shuffle_at_s,
                  double burst)
{
  trace->site = (rpl_site_t){ .name = "kavango",
                              .engines = 9,
                              .domains = 4,
                              .entries = 3,
                              .slots = 8,
                              .batch = 16,
                              .adapters = 3000,
                              .step_ms = 18,
                              .step_seq_ms = 0.4,
                              .load_ms = 240,
                              .loads_per_s = 4,
                              .load_concurrency = 1,
                              .stall_weight = 0.5,
                              .efficiency_weight = 1 };
  trace->site.has_late_share[0] = true;
  trace->site.late_share[0] = 0.01;
  trace->site.has_late_share[2] = true;
  trace->site.late_share[2] = 0.02;
  popularity_t popular;
  popularity_init (&popular, rng, trace->site.adapters, 1.3);
  stream_t uploads = { 0, 600, 0.55, WORKSPACE_UPLOADS, 2, 4, 120, 240 };
  for (double t = 0; t < uploads.to_s;
       t += gsl_ran_exponential (rng, 1 / uploads.rate_per_s))
    add_batch (trace, rng, 1 + (uint32_t)gsl_rng_uniform_int (rng, 3000),
               &uploads, t, 20 + (uint32_t)gsl_rng_uniform_int (rng, 40), 4);
  if (burst > 1)
    for (int i = 0; i < (int)(10 * burst); i++)
      add_batch (trace, rng, 1 + (uint32_t)gsl_rng_uniform_int (rng, 3000),
                 &uploads, 300 + i * 0.05, 40, 2);
  stream_t planners = { 200, 600, 4, WORKSPACE_PLANNER, 4, 2, 90, 30 };
  add_stream (trace, rng, &popular, &planners, shuffle_at_s);
  stream_t officers = { 0, 600, 0.8, WORKSPACE_OFFICER, 8, 0, 80, 15 };
  add_stream (trace, rng, &popular, &officers, 1e9);
  stream_t reseller = { 0, 600, 3, WORKSPACE_RESELLER, 1, 5, 40, 60 };
  add_stream (trace, rng, &popular, &reseller, 1e9);
  popularity_finish (&popular);
}

/// The evening before a release: developers call in short bursts that use many
/// rare adapters, schools at a steady rate. A few adapters are very popular.
static void
generate_skjamynd (rpl_trace_t *trace, gsl_rng *rng, double shuffle_at_s,
                   double burst)
{
  trace->site = (rpl_site_t){ .name = "skjamynd",
                              .engines = 18,
                              .domains = 3,
                              .entries = 3,
                              .slots = 8,
                              .batch = 16,
                              .adapters = 3000,
                              .step_ms = 16,
                              .step_seq_ms = 0.4,
                              .load_ms = 320,
                              .loads_per_s = 6,
                              .load_concurrency = 2,
                              .stall_weight = 2,
                              .efficiency_weight = 0.5 };
  trace->site.has_late_share[1] = true;
  trace->site.late_share[1] = 0.02;
  popularity_t popular;
  popularity_init (&popular, rng, trace->site.adapters, 1.4);
  stream_t schools = { 0, 600, 18, WORKSPACE_SCHOOLS, 2, 3, 60, 60 };
  add_stream (trace, rng, &popular, &schools, shuffle_at_s);
  stream_t studio = { 0, 600, 5, WORKSPACE_STUDIO, 4, 1, 50, 30 };
  add_stream (trace, rng, &popular, &studio, 1e9);
  stream_t captions = { 0, 600, 0, WORKSPACE_STUDIO, 4, 2, 50, 60 };
  for (double t = 60; t < 600; t += 90)
    {
      // A burst of about 60 developers within 15 s, each with a few calls of
      // one rare adapter.
      uint32_t developers = (uint32_t)(60 * (t > 290 && t < 340 ? burst : 1));
      for (uint32_t i = 0; i < developers; i++)
        add_batch (trace, rng, 1 + (uint32_t)gsl_rng_uniform_int (rng, 3000),
                   &captions, t + gsl_ran_flat (rng, 0, 15),
                   2 + (uint32_t)gsl_rng_uniform_int (rng, 6), 6);
    }
  popularity_finish (&popular);
}

kb_status_t
rpl_trace_generate (const char *name, uint64_t seed, rpl_trace_t *out,
                    kb_error_t *error)
{
  *out = (rpl_trace_t){ 0 };
  const char *dash = strchr (name, '-');
  const char *fault = dash == NULL ? "" : dash + 1;
  size_t base_len = dash == NULL ? strlen (name) : (size_t)(dash - name);
  bool is_kavango = strncmp (name, "kavango", base_len) == 0 && base_len == 7;
  bool is_skjamynd
      = strncmp (name, "skjamynd", base_len) == 0 && base_len == 8;
  if (!is_kavango && !is_skjamynd)
    return kb_error_set (error, KB_EINVAL, "unknown trace \"%s\"", name);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, seed);
  double shuffle_s = strcmp (fault, "flip") == 0 ? 330 : 1e9;
  double burst = strcmp (fault, "burst") == 0 ? 10 : 1;
  if (is_kavango)
    generate_kavango (out, rng, shuffle_s, burst);
  else
    generate_skjamynd (out, rng, shuffle_s, burst);
  if (strcmp (fault, "domain") == 0)
    {
      trace_add_fault (out, 300, "domain_lost", 0, 0);
      trace_add_fault (out, 420, "domain_back", 0, 0);
    }
  if (strcmp (fault, "cold") == 0)
    for (uint32_t i = 0; i < out->site.engines; i += 2)
      trace_add_fault (out, 300, "cold", i, 0);
  if (strcmp (fault, "halfstore") == 0)
    trace_add_fault (out, 200, "store_rate", 0, 0.5);
  if (fault[0] != '\0')
    {
      snprintf (out->site.name, sizeof out->site.name, "%s", name);
      memset (out->site.has_late_share, 0, sizeof out->site.has_late_share);
    }
  gsl_rng_free (rng);
  trace_sort (out);
  return KB_OK;
}

void
rpl_trace_finish (rpl_trace_t *trace)
{
  free (trace->requests);
  free (trace->faults);
  *trace = (rpl_trace_t){ 0 };
}

void
rpl_trace_write (const rpl_trace_t *trace, FILE *out)
{
  const rpl_site_t *s = &trace->site;
  fprintf (out,
           "{\"trace\":\"%s\",\"engines\":%u,\"domains\":%u,\"entries\":%u,"
           "\"slots\":%u,\"batch\":%u,\"adapters\":%u,\"step_ms\":%g,"
           "\"step_seq_ms\":%g,\"load_ms\":%g,\"loads_per_s\":%g,"
           "\"load_concurrency\":%u,\"stall_weight\":%g,"
           "\"efficiency_weight\":%g,\"late_share\":{",
           s->name, s->engines, s->domains, s->entries, s->slots, s->batch,
           s->adapters, s->step_ms, s->step_seq_ms, s->load_ms, s->loads_per_s,
           s->load_concurrency, s->stall_weight, s->efficiency_weight);
  bool is_first = true;
  for (int c = 0; c < RPL_CLASSES; c++)
    if (s->has_late_share[c])
      {
        fprintf (out, "%s\"%d\":%g", is_first ? "" : ",", c, s->late_share[c]);
        is_first = false;
      }
  fprintf (out, "}}\n");
  for (uint32_t i = 0; i < trace->fault_count; i++)
    fprintf (out,
             "{\"fault\":\"%s\",\"t_ms\":%.3f,\"which\":%u,"
             "\"value\":%g}\n",
             trace->faults[i].kind, (double)trace->faults[i].at_us / 1000,
             trace->faults[i].which, trace->faults[i].value);
  for (uint32_t i = 0; i < trace->request_count; i++)
    {
      const rpl_request_t *r = &trace->requests[i];
      fprintf (out,
               "{\"t_ms\":%.3f,\"adapter\":%u,\"version\":%u,\"workspace\":%u,"
               "\"weight\":%u,\"class\":%u,\"tokens\":%u,"
               "\"deadline_ms\":%.3f}\n",
               (double)r->at_us / 1000, r->adapter, r->version, r->workspace,
               r->weight, r->priority_class, r->tokens,
               (double)r->deadline_us / 1000);
    }
}

static void
read_site (struct json_object *doc, rpl_site_t *s)
{
  snprintf (s->name, sizeof s->name, "%s", jsn_str (doc, "trace", "?"));
  s->engines = (uint32_t)jsn_int (doc, "engines", 1);
  s->domains = (uint32_t)jsn_int (doc, "domains", 1);
  s->entries = (uint32_t)jsn_int (doc, "entries", 1);
  s->slots = (uint32_t)jsn_int (doc, "slots", 8);
  s->batch = (uint32_t)jsn_int (doc, "batch", 16);
  s->adapters = (uint32_t)jsn_int (doc, "adapters", 0);
  s->step_ms = jsn_num (doc, "step_ms", 20);
  s->step_seq_ms = jsn_num (doc, "step_seq_ms", 0);
  s->load_ms = jsn_num (doc, "load_ms", 250);
  s->loads_per_s = jsn_num (doc, "loads_per_s", 4);
  s->load_concurrency = (uint32_t)jsn_int (doc, "load_concurrency", 1);
  s->stall_weight = jsn_num (doc, "stall_weight", 1);
  s->efficiency_weight = jsn_num (doc, "efficiency_weight", 1);
  struct json_object *late = jsn_get (doc, "late_share");
  for (int c = 0; c < RPL_CLASSES; c++)
    {
      char key[4];
      snprintf (key, sizeof key, "%d", c);
      s->has_late_share[c] = jsn_get (late, key) != NULL;
      s->late_share[c] = jsn_num (late, key, 1);
    }
}

static kb_status_t
read_line (struct json_object *doc, rpl_trace_t *out)
{
  if (jsn_get (doc, "trace") != NULL)
    {
      read_site (doc, &out->site);
      return KB_OK;
    }
  double t_ms = jsn_num (doc, "t_ms", -1);
  if (t_ms < 0)
    return KB_EINVAL;
  if (jsn_get (doc, "fault") != NULL)
    {
      trace_add_fault (out, t_ms / 1000, jsn_str (doc, "fault", ""),
                       (uint32_t)jsn_int (doc, "which", 0),
                       jsn_num (doc, "value", 0));
      return KB_OK;
    }
  rpl_request_t r
      = { .adapter = (uint32_t)jsn_int (doc, "adapter", 0),
          .version = (uint32_t)jsn_int (doc, "version", 1),
          .workspace = (uint32_t)jsn_int (doc, "workspace", 1),
          .weight = (uint32_t)jsn_int (doc, "weight", 1),
          .priority_class = (uint8_t)jsn_int (doc, "class", 4),
          .tokens = (uint32_t)jsn_int (doc, "tokens", 1),
          .at_us = (uint64_t)(t_ms * 1000),
          .deadline_us
          = (uint64_t)(jsn_num (doc, "deadline_ms", 60000) * 1000) };
  if (r.adapter == 0 || r.tokens == 0 || r.priority_class >= RPL_CLASSES)
    return KB_EINVAL;
  trace_add (out, &r);
  return KB_OK;
}

kb_status_t
rpl_trace_read (const char *path, rpl_trace_t *out, kb_error_t *error)
{
  *out = (rpl_trace_t){ 0 };
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return kb_error_set (error, KB_ENOTFOUND, "%s: cannot read trace", path);
  char *line = NULL;
  size_t cap = 0;
  uint32_t line_number = 0;
  kb_status_t status = KB_OK;
  while (status == KB_OK && getline (&line, &cap, file) > 0)
    {
      line_number++;
      struct json_object *doc;
      status = jsn_parse_text (path, kb_slice_str (line), &doc, error);
      if (status == KB_OK && read_line (doc, out) != KB_OK)
        status = kb_error_set (error, KB_EINVAL,
                               "%s:%u: expected a site, a request or a fault",
                               path, line_number);
      json_object_put (doc);
    }
  free (line);
  fclose (file);
  if (status == KB_OK && out->site.engines == 0)
    status = kb_error_set (error, KB_EINVAL, "%s: missing site line", path);
  trace_sort (out);
  return status;
}
