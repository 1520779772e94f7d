// A randomized soak: the real programs as separate processes, faults from
// outside, and the promises checked from what callers and targets see.
//
// KB_SOAK_SEEDS ("7" or "1-50") and KB_SOAK_S (seconds of faults a seed)
// choose the runs, KB_SOAK_ENGINES the size; without them a short run with
// fixed seeds is played.
#include <gtest/gtest.h>

#include "soak.h"

namespace relay
{
namespace
{

std::vector<uint64_t>
seeds ()
{
  // Seeds that failed once are played always. 1: a sidecar that gave orders
  // before it knew its configuration held five adapters in four places.
  // 212: a request that others send all the time under many adapters, and that
  // is served between the ends of its engines, was held. 218: a store that was
  // away hid the ends of plain targets from the gateways. 231: what broke off
  // after the end of a plain target hid subject had been alone there.
  // 301: the first with workspaces. 402: a request that ends plain targets was
  // never alone at one, because others were always there.
  std::vector<uint64_t> list = { 1, 2, 212, 218, 231, 301, 402 };
  const char *text = getenv ("KB_SOAK_SEEDS");
  if (text == nullptr)
    return list;
  uint64_t first = strtoull (text, nullptr, 10);
  const char *dash = strchr (text, '-');
  uint64_t last = dash == nullptr ? first : strtoull (dash + 1, nullptr, 10);
  list.clear ();
  for (uint64_t seed = first; seed <= last; seed++)
    list.push_back (seed);
  return list;
}

int
number_from (const char *name, int fallback)
{
  const char *text = getenv (name);
  return text == nullptr ? fallback : atoi (text);
}

TEST (Soak, PromisesHoldUnderFaults)
{
  SoakSize size;
  size.engines = number_from ("KB_SOAK_ENGINES", size.engines);
  size.gateways = size.engines > 6 ? size.engines / 3 : size.gateways;
  size.callers = 4 * size.gateways;
  for (uint64_t seed : seeds ())
    {
      Soak soak (seed, 1000 * number_from ("KB_SOAK_S", 6), size);
      bool has_no_violations = soak.run ().empty ();
      printf ("seed %llu %s\n", (unsigned long long)seed,
              has_no_violations ? "clean" : "FAILED");
      EXPECT_TRUE (has_no_violations) << soak.report ();
    }
}

TEST (Soak, TheSameSeedGivesTheSamePlan)
{
  EXPECT_EQ (describe (draw_plan (7, 6000)), describe (draw_plan (7, 6000)));
  EXPECT_NE (describe (draw_plan (7, 6000)), describe (draw_plan (8, 6000)));
}

// A soak that finds nothing may be one that can find nothing. The daemon of
// this test takes every request for one that may be repeated; what a target
// ran and did not answer then runs again at another one.
TEST (Soak, APlantedFaultIsFound)
{
  setenv ("KB_BIN_DIR", KB_PLANTED_BIN_DIR, 1);
  bool is_found = false;
  for (uint64_t seed = 1; seed <= 5 && !is_found; seed++)
    {
      Soak soak (seed, 4000);
      for (const Violation &violation : soak.run ())
        is_found
            = is_found || violation.text.find (" times") != std::string::npos;
    }
  unsetenv ("KB_BIN_DIR");
  EXPECT_TRUE (is_found);
}

} // namespace
} // namespace relay
