// Targets that state how many requests a second they take from all gateways.
#include <gtest/gtest.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// The limit binds from then on, over any window, with this tolerance.
constexpr int kBindsAfterMs = 3000;
constexpr int kWindowMs = 4000;

int
allowed (double per_s)
{
  return (int)(1.5 * per_s * kWindowMs / 1000) + 5;
}

Call
stream (const std::string &id)
{
  return stream_call (id, "");
}

Call
plain (const std::string &id)
{
  return plain_call (id);
}

/// Press a site, one of whose targets states a limit.
void
expect_limit_holds (Site &site, Target &limited,
                    Call (*call_of) (const std::string &), double per_s)
{
  ASSERT_TRUE (site.wait_ready ());
  Load load (&site, call_of, 4, 10);
  std::this_thread::sleep_for (milliseconds (1000));
  limited.limit_per_s = per_s;
  Moment binds
      = std::chrono::steady_clock::now () + milliseconds (kBindsAfterMs);
  std::this_thread::sleep_for (milliseconds (kBindsAfterMs + 2 * kWindowMs));
  load.stop ();
  EXPECT_LE (most_in (arrivals_at (limited), binds, kWindowMs),
             allowed (per_s));
}

// Guards against a limit of an engine that each gateway, or none, keeps.
TEST (Limit, AnEngineGetsWhatItTakesFromAllGateways)
{
  Site site (3, 0, 3);
  expect_limit_holds (site, *site.engines[0].target, stream, 5);
}

// Guards against the same at a plain target, which has no agent.
TEST (Limit, APlainTargetGetsWhatItTakesFromAllGateways)
{
  Site site (2, 3, 3);
  expect_limit_holds (site, *site.plain[0], plain, 5);
}

} // namespace
} // namespace relay
