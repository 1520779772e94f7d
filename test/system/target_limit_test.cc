// Targets behind agents that state a request limit per second.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// After this time the limit must hold over any window, with the tolerance of
/// max_runs_in_window.
constexpr int kSettleMs = 3000;
constexpr int kMeasureWindowMs = 4000;
constexpr double kLimitPerS = 5;

int
max_runs_in_window ()
{
  return (int)(1.5 * kLimitPerS * kMeasureWindowMs / 1000) + 5;
}

void
sleep_for_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/// Put load on the services while one target states a limit, and check that it
/// holds.
void
expect_limit_holds (Cluster &c, const kb::Target &limited,
                    void (*send) (Cluster &c, int entry))
{
  c.fault (limited.fake,
           "{\"limit_per_s\":" + std::to_string (kLimitPerS) + "}");
  std::atomic<bool> is_ended{ false };
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; i++)
    callers.emplace_back ([&, i] {
      while (!is_ended)
        send (c, i % 2);
    });
  sleep_for_ms (kSettleMs);
  int max_runs = 0;
  for (int i = 0; i < 2; i++)
    {
      int before = c.runs_at (limited);
      sleep_for_ms (kMeasureWindowMs);
      max_runs = std::max (max_runs, c.runs_at (limited) - before);
    }
  is_ended = true;
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_LE (max_runs, max_runs_in_window ());
  EXPECT_GT (max_runs, 0);
}

void
complete (Cluster &c, int entry)
{
  c.complete (entry, "a1@1", "pressed");
  sleep_for_ms (5);
}

void
call_plain (Cluster &c, int entry)
{
  kb::http_call ("POST", c.entries[(size_t)entry].process.http_port,
                 "/v1/services/map-query/look", "pressed",
                 { "Authorization: Bearer kavango-key" });
  sleep_for_ms (5);
}

// Guards against an agent that exceeds its engine's limit.
TEST (TargetLimit, EngineLimitIsKept)
{
  ClusterOptions options;
  options.engines = 1;
  Cluster c (options);
  c.start ();
  expect_limit_holds (c, c.targets[0], complete);
}

// Guards against the same at a plain target.
TEST (TargetLimit, PlainTargetLimitIsKept)
{
  ClusterOptions options;
  options.engines = 1;
  Cluster c (options);
  c.start ();
  expect_limit_holds (c, c.targets[1], call_plain);
}

} // namespace
