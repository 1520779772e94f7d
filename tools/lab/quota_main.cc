// kbquota: simulates the policies for sharing a quota with the same callers,
// with and without faults, and prints what each admits and what it costs.
#include <cstdio>
#include <cstring>

extern "C"
{
#include <argtable2.h>
}

#include "quota_world.h"

namespace
{

struct Case
{
  const char *name;
  double load;
  double surge_factor;
  bool has_faults;
};

constexpr Case kCases[] = { { "half", 0.5, 1, false },
                            { "near", 0.95, 1, false },
                            { "hot", 0.55, 7.5, false },
                            { "faults", 0.55, 1, true },
                            { "hot+faults", 0.55, 7.5, true } };

struct Policy
{
  const char *name;
  lab::QuotaPolicy policy;
};

constexpr Policy kPolicies[]
    = { { "loans", lab::QuotaPolicy::LENDER },
        { "fixed", lab::QuotaPolicy::EQUAL_PARTS },
        { "counts", lab::QuotaPolicy::SHARED_COUNTS } };

void
print_row (const Policy &policy, const Case &c, uint32_t gateways, int seeds)
{
  lab::QuotaOutcome sum;
  double worst = 0;
  int violations = 0;
  double requested = 0;
  for (int seed = 1; seed <= seeds; seed++)
    {
      lab::QuotaOptions o;
      o.policy = policy.policy;
      o.seed = (uint64_t)seed;
      o.gateways = gateways;
      o.load = c.load;
      o.surge_factor = c.surge_factor;
      if (c.has_faults)
        o.events = lab::draw_quota_events ((uint64_t)seed, o);
      lab::QuotaOutcome one = lab::simulate_quota (o);
      sum.admitted += one.admitted;
      sum.ideal += one.ideal;
      sum.requests += one.requests;
      sum.refused += one.refused;
      sum.undecided += one.undecided;
      sum.messages += one.messages;
      sum.bytes += one.bytes;
      sum.pair_seconds += one.pair_seconds;
      sum.waited_ms += one.waited_ms;
      requested += one.requested;
      violations += !one.violation.empty ();
      worst = std::max (worst, one.max_window_ratio);
    }
  double requests = sum.requests > 0 ? (double)sum.requests : 1;
  printf ("%-7s %-10s %4u  %6.3f  %6.3f  %6.3f  %7.3f %7.4f  %5d  %6.1f  "
          "%8.0f\n",
          policy.name, c.name, gateways, sum.ideal / requested,
          sum.admitted / requested, sum.admitted / sum.ideal, worst,
          (double)sum.undecided / requests, violations,
          sum.waited_ms / requests,
          sum.pair_seconds > 0 ? sum.bytes / sum.pair_seconds : 0);
}

} // namespace

int
main (int argc, char **argv)
{
  struct arg_int *seeds
      = arg_int0 (nullptr, "seeds", "N", "number of seeds (default 8)");
  struct arg_int *gateways
      = arg_intn (nullptr, "gateways", "N", 0, 8,
                  "number of gateways, repeatable (default 20, 70, 400)");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_end *end = arg_end (4);
  void *table[] = { seeds, gateways, help, end };
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0 || errors > 0)
    {
      arg_print_errors (stderr, end, "kbquota");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      return errors > 0;
    }
  int count = seeds->count > 0 ? seeds->ival[0] : 8;
  std::vector<uint32_t> sizes = { 20, 70, 400 };
  if (gateways->count > 0)
    sizes.assign (gateways->ival, gateways->ival + gateways->count);
  printf ("way     case       gateways ideal  let in of ideal  window unknown "
          "broken  wait ms  bytes/s a pair\n");
  for (uint32_t size : sizes)
    for (const Case &c : kCases)
      for (const Policy &policy : kPolicies)
        print_row (policy, c, size, count);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
