// kblab: simulates random deployments and reports the outcome for callers as a
// table, as JSON, and as a comparison with the JSON of another build.
#include <cmath>
#include <cstdio>
#include <cstring>
#include <string>

#include <json.h>

extern "C"
{
#include <argtable2.h>
}

#include "model.h"

namespace
{

constexpr double kLoadFactors[] = { 0.5, 0.8, 1.0, 1.5, 3.0 };

/// Sums over the deployments; print_row divides them by `count`.
struct Means
{
  double goodput = 0;
  double late = 0;
  double refused = 0;
  double timed_out = 0;
  double unserved_wait_ms = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double min_kind_share = 0;
  double min_domain_share = 0;
  double rare_in_time = 0; ///< In-time share for requests of rare adapters.
  double fetches = 0;
  int count = 0;
};

/// @return  The smallest in-time share of any group of requests.
template <typename Key>
double
worst_share_in_time (const std::map<Key, lab::GroupOutcome> &shares)
{
  double worst = 1;
  for (auto &[name, s] : shares)
    if (s.requests > 0)
      worst = std::min (worst, (double)s.in_time / s.requests);
  return worst;
}

void
add (Means *m, const lab::Outcome &o)
{
  double n = o.requests > 0 ? o.requests : 1;
  m->goodput += o.goodput ();
  m->late += o.late / n;
  m->refused += o.refused / n;
  m->timed_out += o.timed_out / n;
  m->unserved_wait_ms += o.unserved_wait_ms;
  m->p50_ms += o.first_ms_quantile (0.5);
  m->p99_ms += o.first_ms_quantile (0.99);
  m->min_kind_share += worst_share_in_time (o.kinds);
  m->min_domain_share += worst_share_in_time (o.domains);
  auto rare = o.popularity.find ("rest");
  if (rare != o.popularity.end () && rare->second.requests > 0)
    m->rare_in_time += (double)rare->second.in_time / rare->second.requests;
  m->fetches += o.fetches;
  m->count++;
}

void
print_row (const char *policy, double factor, const Means &m)
{
  double n = m.count;
  printf ("%-6s %4.1f  %7.3f %6.3f %8.3f %6.3f %8.0f %7.0f %7.0f %6.3f %7.3f "
          "%6.3f %8.0f\n",
          policy, factor, m.goodput / n, m.late / n, m.refused / n,
          m.timed_out / n, m.unserved_wait_ms / n, m.p50_ms / n, m.p99_ms / n,
          m.min_kind_share / n, m.min_domain_share / n, m.rare_in_time / n,
          m.fetches / n);
}

json_object *
outcome_json (uint64_t seed, double factor, const char *bottleneck,
              const lab::Outcome &o)
{
  json_object *row = json_object_new_object ();
  auto put = [row] (const char *name, double value) {
    json_object_object_add (row, name, json_object_new_double (value));
  };
  put ("seed", (double)seed);
  put ("factor", factor);
  json_object_object_add (row, "bound", json_object_new_string (bottleneck));
  put ("asked", o.requests);
  put ("in_time", o.in_time);
  put ("late", o.late);
  put ("paused", o.late_by_gap);
  put ("refused", o.refused);
  put ("left", o.timed_out);
  put ("lost", o.lost);
  put ("fetches", o.fetches);
  put ("stall_s", o.stall_s);
  put ("held_ms", o.unserved_wait_ms);
  put ("p50_ms", o.first_ms_quantile (0.5));
  put ("p99_ms", o.first_ms_quantile (0.99));
  put ("goodput", o.goodput ());
  return row;
}

/// Print the difference in goodput from the rows of another build, by
/// bottleneck and load factor.
/// @return  0, or 1 when the file cannot be read.
int
compare (const char *path, json_object *rows)
{
  json_object *old = json_object_from_file (path);
  if (old == nullptr)
    {
      fprintf (stderr, "kblab: cannot read %s: %s\n", path,
               json_util_get_last_err ());
      return 1;
    }
  struct Sum
  {
    double diff = 0;
    double square = 0;
    int count = 0;
  };
  std::map<std::string, Sum> sums;
  size_t count = std::min (json_object_array_length (old),
                           json_object_array_length (rows));
  auto number = [] (json_object *row, const char *name) {
    return json_object_get_double (json_object_object_get (row, name));
  };
  for (size_t i = 0; i < count; i++)
    {
      json_object *a = json_object_array_get_idx (old, i);
      json_object *b = json_object_array_get_idx (rows, i);
      double diff = number (b, "goodput") - number (a, "goodput");
      char factor[32];
      snprintf (factor, sizeof factor, " x %.1f", number (b, "factor"));
      std::string bottleneck
          = json_object_get_string (json_object_object_get (b, "bound"));
      for (const std::string &name :
           { bottleneck + factor, "all" + std::string (factor),
             std::string ("all") })
        {
          sums[name].diff += diff;
          sums[name].square += diff * diff;
          sums[name].count++;
        }
    }
  for (auto &[name, s] : sums)
    {
      double mean = s.diff / s.count;
      double variance = s.square / s.count - mean * mean;
      printf ("%-16s goodput %+.4f +- %.4f (%d)\n", name.c_str (), mean,
              std::sqrt (std::max (0.0, variance) / s.count), s.count);
    }
  json_object_put (old);
  return 0;
}

} // namespace

int
main (int argc, char **argv)
{
  struct arg_int *first
      = arg_int0 (nullptr, "first", "N", "first seed (default 1)");
  struct arg_int *seeds
      = arg_int0 (nullptr, "seeds", "N", "number of deployments (default 8)");
  struct arg_lit *plain
      = arg_lit0 (nullptr, "plain", "also simulate the baseline policy");
  struct arg_str *json = arg_str0 (nullptr, "json", "FILE",
                                   "write the outcomes to a JSON file");
  struct arg_str *against = arg_str0 (
      nullptr, "against", "FILE", "compare with the JSON of another build");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_end *end = arg_end (8);
  void *table[] = { first, seeds, plain, json, against, help, end };
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0 || errors > 0)
    {
      arg_print_errors (stderr, end, "kblab");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      return errors > 0;
    }
  int from = first->count > 0 ? first->ival[0] : 1;
  int count = seeds->count > 0 ? seeds->ival[0] : 8;
  json_object *rows = json_object_new_array ();
  printf ("policy load  goodput   late  refused   left  held ms  p50 ms  "
          "p99 ms  kind   domain   rare  fetches\n");
  for (lab::Policy policy :
       { lab::Policy::COORDINATED, lab::Policy::BASELINE })
    for (double factor : kLoadFactors)
      {
        if (policy == lab::Policy::BASELINE && plain->count == 0)
          continue;
        Means means;
        for (int seed = from; seed < from + count; seed++)
          {
            lab::Deployment d = lab::draw_deployment ((uint64_t)seed);
            lab::Outcome o = lab::simulate (d, policy, factor);
            add (&means, o);
            if (policy == lab::Policy::COORDINATED)
              json_object_array_add (rows,
                                     outcome_json ((uint64_t)seed, factor,
                                                   lab::bottleneck_of (d), o));
          }
        print_row (policy == lab::Policy::COORDINATED ? "ours" : "plain",
                   factor, means);
      }
  int code = 0;
  if (json->count > 0
      && json_object_to_file_ext (json->sval[0], rows, JSON_C_TO_STRING_PRETTY)
             != 0)
    {
      fprintf (stderr, "kblab: cannot write %s\n", json->sval[0]);
      code = 1;
    }
  if (against->count > 0)
    code |= compare (against->sval[0], rows);
  json_object_put (rows);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
