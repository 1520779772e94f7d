// Targets that turn requests away and ask a gateway for a pause.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// Of the pause a gateway may miss this much.
constexpr int kHeardMs = 500;
/// Requests of one gateway that may come within the rest of it.
constexpr int kWithinPause = 2;
constexpr double kPauseS = 3;
constexpr int kPauseMs = (int)(kPauseS * 1000);

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

/// When requests came that were turned away, by the gateway that sent them.
std::map<std::string, std::vector<Moment>>
arrivals_by_gateway (Target &target)
{
  std::map<std::string, std::vector<Moment>> arrivals;
  for (const Message &request : target.requests ())
    {
      // Callers name their gateway in their ids.
      std::string id = request.header ("x-knapweedbay-attempt-id");
      arrivals[id.substr (0, id.find ('-'))].push_back (request.came);
    }
  for (auto &[gateway, moments] : arrivals)
    std::sort (moments.begin (), moments.end ());
  return arrivals;
}

/// The most requests of a gateway within any pause that it was asked for.
int
most_within_pause (Target &target)
{
  size_t most = 0;
  for (const auto &[gateway, moments] : arrivals_by_gateway (target))
    for (Moment asked : moments)
      {
        auto from = std::upper_bound (moments.begin (), moments.end (),
                                      asked + milliseconds (kHeardMs));
        auto to = std::lower_bound (from, moments.end (),
                                    asked + milliseconds (kPauseMs));
        most = std::max (most, (size_t)(to - from));
      }
  return (int)most;
}

/// Press a service, one of whose targets turns everything away.
void
expect_pauses_hold (Site &site, Target &pausing,
                    Call (*call_of) (const std::string &))
{
  ASSERT_TRUE (site.wait_ready ());
  int before = (int)pausing.requests ().size ();
  pausing.pause_s = kPauseS;
  Load load (&site, call_of, 4, 10);
  std::this_thread::sleep_for (milliseconds (2 * kPauseMs + 1000));
  Load::Counts counts = load.stop ();
  EXPECT_LE (most_within_pause (pausing), kWithinPause);
  // It is asked again after each pause.
  EXPECT_GE ((int)pausing.requests ().size () - before, 2);
  EXPECT_EQ (counts.refused + counts.other, 0);
}

// Guards against a pause that ends with the request that was turned away.
TEST (Pause, AnEngineThatAsksForOneIsLeftAlone)
{
  Site site (3, 0, 2);
  expect_pauses_hold (site, *site.engines[0].target, stream);
}

// Guards against the same at a plain target, which has no agent.
TEST (Pause, APlainTargetThatAsksForOneIsLeftAlone)
{
  Site site (1, 3, 2);
  expect_pauses_hold (site, *site.plain[0], plain);
}

} // namespace
} // namespace relay
