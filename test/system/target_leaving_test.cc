// Targets behind agents that announce in their answers that they leave.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// No new request may reach the target later than this after the notice.
constexpr int kLeaveBoundMs = 2000;

void
sleep_for_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/// Put load on the services while one target announces that it leaves, and
/// check that it gets no more requests and that no request fails.
void
expect_no_runs_after_bound (Cluster &c, const kb::Target &leaving,
                            Answer (*send) (Cluster &c, int entry))
{
  std::atomic<bool> is_ended{ false };
  std::atomic<int> failed{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; i++)
    callers.emplace_back ([&, i] {
      while (!is_ended)
        {
          failed += send (c, i % 2).status != 200;
          sleep_for_ms (5);
        }
    });
  sleep_for_ms (1500);
  EXPECT_GT (c.runs_at (leaving), 0);
  c.fault (leaving.fake, "{\"says_leaving\":true}");
  sleep_for_ms (kLeaveBoundMs);
  int before = c.runs_at (leaving);
  sleep_for_ms (1500);
  EXPECT_EQ (c.runs_at (leaving) - before, 0);
  is_ended = true;
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_EQ (failed, 0);
}

Answer
complete (Cluster &c, int entry)
{
  // Several adapters, so that both engines are used.
  static std::atomic<int> n{ 0 };
  return c.complete (entry, "a" + std::to_string (n++ % 8) + "@1", "pressed");
}

Answer
call_plain (Cluster &c, int entry)
{
  return kb::http_call ("POST", c.entries[(size_t)entry].process.http_port,
                        "/v1/services/map-query/look", "pressed",
                        { "Authorization: Bearer kavango-key" });
}

// Guards against an agent that ignores its engine's leave notice.
TEST (TargetLeaving, LeavingEngineGetsNoNewRequests)
{
  ClusterOptions options;
  options.engines = 2;
  Cluster c (options);
  c.start ();
  expect_no_runs_after_bound (c, c.targets[0], complete);
}

// Guards against the same at a plain target.
TEST (TargetLeaving, LeavingPlainTargetGetsNoNewRequests)
{
  ClusterOptions options;
  options.engines = 1;
  options.plains = 2;
  Cluster c (options);
  c.start ();
  expect_no_runs_after_bound (c, c.targets[1], call_plain);
}

} // namespace
