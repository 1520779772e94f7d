/// @file main.c
/// kbreplay: replays traces under the coordinated policy, the naive policy and
/// the bound, prints the figures side by side and checks the expected outcomes
/// of the coordinated policy.
#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "replay.h"

static uint64_t seed = 20261202;

static const char *const policy_names[] = { "ours", "naive", "bound" };

static void
write_json (FILE *out, const char *trace, const char *policy,
            const rpl_result_t *r, bool is_first)
{
  fprintf (out,
           "%s\n {\"trace\":\"%s\",\"policy\":\"%s\",\"stall_ms_total\":%.0f,"
           "\"stall_ms_p95\":%.1f,\"step_fill\":%.4f,\"late\":%u,"
           "\"refused\":%u,\"wrong\":%u,\"doubled\":%u,\"lost\":%u,"
           "\"loads\":%u,\"evicted_in_use\":%u,\"class_inversions\":%u,"
           "\"wait_ms_p95\":%.1f,\"last_end_s\":%.1f}",
           is_first ? "" : ",", trace, policy, r->stall_ms_total,
           r->stall_ms_p95, r->step_fill, r->late, r->refused, r->wrong,
           r->doubled, r->lost, r->loads, r->evicted_in_use,
           r->class_inversions, r->wait_ms_p95, r->last_end_s);
}

static void
print_row (const char *trace, const char *policy, const rpl_result_t *r)
{
  printf ("%-19s %-6s %12.1f %10.0f %10.0f %6.3f %6u %7u %6u %8.1f |", trace,
          policy, r->stall_ms_total / 1000, r->stall_ms_p95, r->wait_ms_p95,
          r->step_fill, r->late, r->refused, r->loads, r->last_end_s);
  for (int c = 0; c < RPL_CLASSES; c++)
    if (r->count_class[c] > 0)
      printf (" c%d %u/%u", c, r->late_class[c], r->count_class[c]);
  printf ("\n");
}

/// @return  The number of expected outcomes that do not hold.
static int
check_outcomes (const rpl_trace_t *trace, const rpl_result_t *r)
{
  int failures = 0;
  const struct
  {
    const char *name;
    uint32_t value;
  } expected_zero[] = { { "wrong", r->wrong },
                        { "doubled", r->doubled },
                        { "lost", r->lost },
                        { "evicted_in_use", r->evicted_in_use },
                        { "class_inversions", r->class_inversions } };
  for (size_t i = 0; i < sizeof expected_zero / sizeof expected_zero[0]; i++)
    if (expected_zero[i].value != 0)
      {
        printf ("FAILED: %s: %s is %u\n", trace->site.name,
                expected_zero[i].name, expected_zero[i].value);
        failures++;
      }
  for (int c = 0; c < RPL_CLASSES; c++)
    {
      if (!trace->site.has_late_share[c] || r->count_class[c] == 0)
        continue;
      double share = (double)r->late_class[c] / r->count_class[c];
      if (share <= trace->site.late_share[c])
        continue;
      printf ("FAILED: %s: class %d: %.4f late, allowed %.4f\n",
              trace->site.name, c, share, trace->site.late_share[c]);
      failures++;
    }
  return failures;
}

static int
run_trace (const rpl_trace_t *trace, const rpl_overrides_t *overrides,
           bool with_bound, FILE *json, bool *is_first)
{
  int failures = 0;
  for (int p = RPL_COORDINATED; p <= (with_bound ? RPL_BOUND : RPL_NAIVE); p++)
    {
      rpl_result_t result;
      rpl_run (trace, (rpl_policy_t)p, overrides, &result);
      print_row (trace->site.name, policy_names[p], &result);
      if (json != NULL)
        write_json (json, trace->site.name, policy_names[p], &result,
                    *is_first);
      *is_first = false;
      if (p == RPL_COORDINATED)
        failures += check_outcomes (trace, &result);
    }
  return failures;
}

/// Print the trade-off of stall weight and efficiency weight, for tools/plots.
static void
print_curve (const char *name)
{
  static const double shares[] = { 0, 0.1, 0.25, 0.5, 0.75, 0.9, 1 };
  kb_error_t error;
  rpl_trace_t trace;
  rpl_trace_generate (name, seed, &trace, &error);
  for (size_t i = 0; i < sizeof shares / sizeof shares[0]; i++)
    {
      rpl_overrides_t overrides;
      rpl_overrides_default (&overrides);
      overrides.stall_weight = 2 * shares[i];
      overrides.efficiency_weight = 2 * (1 - shares[i]);
      rpl_result_t r;
      rpl_run (&trace, RPL_COORDINATED, &overrides, &r);
      printf ("%s %.2f %.1f %.4f %u\n", name, shares[i],
              r.stall_ms_total / 1000, r.step_fill, r.late);
    }
  rpl_trace_finish (&trace);
}

static int
run_named (const char *name, const rpl_overrides_t *overrides, FILE *json,
           bool *is_first)
{
  kb_error_t error = { 0 };
  rpl_trace_t trace;
  bool is_file = strchr (name, '.') != NULL;
  kb_status_t status = is_file
                           ? rpl_trace_read (name, &trace, &error)
                           : rpl_trace_generate (name, seed, &trace, &error);
  if (status != KB_OK)
    {
      fprintf (stderr, "kbreplay: %s\n", error.message);
      return 1;
    }
  bool with_bound = strchr (name, '-') == NULL || is_file;
  int failures = run_trace (&trace, overrides, with_bound, json, is_first);
  rpl_trace_finish (&trace);
  return failures;
}

static int
run_all (const rpl_overrides_t *overrides, FILE *json)
{
  static const char *const names[]
      = { "kavango",        "skjamynd",          "kavango-burst",
          "skjamynd-burst", "kavango-flip",      "skjamynd-flip",
          "kavango-domain", "skjamynd-domain",   "kavango-cold",
          "skjamynd-cold",  "kavango-halfstore", "skjamynd-halfstore" };
  int failures = 0;
  bool is_first = true;
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    failures += run_named (names[i], overrides, json, &is_first);
  return failures;
}

int
main (int argc, char **argv)
{
  struct arg_str *generate = arg_str0 (
      NULL, "generate", "NAME", "write a generated trace to standard output");
  struct arg_str *curve = arg_str0 (NULL, "curve", "NAME",
                                    "print the trade-off of the two weights");
  struct arg_file *json
      = arg_file0 (NULL, "json", "FILE", "write the figures to a JSON file");
  struct arg_lit *no_gate = arg_lit0 (NULL, "no-gate", "experiment");
  struct arg_lit *fixed = arg_lit0 (NULL, "fixed-width", "experiment");
  struct arg_lit *lru = arg_lit0 (NULL, "lru", "experiment");
  struct arg_lit *spread = arg_lit0 (NULL, "spread", "experiment");
  struct arg_dbl *margin = arg_dbl0 (NULL, "load-margin", "X", "experiment");
  struct arg_int *grow = arg_int0 (NULL, "grow", "PERMILLE", "experiment");
  struct arg_int *seeded
      = arg_int0 (NULL, "seed", "N", "seed of generated traces");
  struct arg_dbl *stall = arg_dbl0 (NULL, "stall-weight", "X", "experiment");
  struct arg_dbl *efficiency
      = arg_dbl0 (NULL, "efficiency-weight", "X", "experiment");
  struct arg_str *traces = arg_strn (NULL, NULL, "TRACE", 0, 16,
                                     "name of a generated trace, or file");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { generate, curve, json,       no_gate, fixed,  lru,    spread,
          margin,   stall, efficiency, grow,    seeded, traces, end };
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "kbreplay");
      return 2;
    }
  rpl_overrides_t overrides;
  rpl_overrides_default (&overrides);
  overrides.is_gate_disabled = no_gate->count > 0;
  overrides.is_width_fixed = fixed->count > 0;
  overrides.is_lru_eviction = lru->count > 0;
  overrides.is_rank_ignored = spread->count > 0;
  if (seeded->count > 0)
    seed = (uint64_t)seeded->ival[0];
  if (grow->count > 0)
    overrides.grow_permille = (uint32_t)grow->ival[0];
  if (margin->count > 0)
    overrides.load_margin = margin->dval[0];
  if (stall->count > 0)
    overrides.stall_weight = stall->dval[0];
  if (efficiency->count > 0)
    overrides.efficiency_weight = efficiency->dval[0];
  if (generate->count > 0)
    {
      kb_error_t error;
      rpl_trace_t trace;
      if (rpl_trace_generate (generate->sval[0], seed, &trace, &error)
          != KB_OK)
        return 2;
      rpl_trace_write (&trace, stdout);
      rpl_trace_finish (&trace);
      return 0;
    }
  if (curve->count > 0)
    {
      print_curve (curve->sval[0]);
      return 0;
    }
  FILE *out = json->count > 0 ? fopen (json->filename[0], "w") : NULL;
  if (out != NULL)
    fprintf (out, "[");
  printf ("%-19s %-6s %12s %10s %10s %6s %6s %7s %6s %8s | late by class\n",
          "trace", "policy", "stall s", "p95 ms", "wait p95", "fill", "late",
          "refused", "loads", "end s");
  int failures = 0;
  bool is_first = true;
  if (traces->count == 0)
    failures = run_all (&overrides, out);
  for (int i = 0; i < traces->count; i++)
    failures += run_named (traces->sval[i], &overrides, out, &is_first);
  if (out != NULL)
    {
      fprintf (out, "\n]\n");
      fclose (out);
    }
  printf ("%d expected outcomes failed\n", failures);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return failures == 0 ? 0 : 1;
}
