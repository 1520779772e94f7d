// Targets behind agents that refuse requests and request a pause.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Time until an agent must have applied the pause.
constexpr int kReactionMs = 500;
/// Requests that may still arrive during the rest of the pause.
constexpr int kMaxSendsDuringPause = 2;
constexpr int kPauseMs = 3000;

void
sleep_for_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/// Put load on the services while one target refuses everything, and check
/// that it gets almost no requests during the pause.
void
expect_pause_holds (Cluster &c, const kb::Target &pausing,
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
  EXPECT_GT (c.runs_at (pausing), 0);
  c.fault (pausing.fake, "{\"pause_s\":3}");
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.stat_at (pausing, "turned_away") > 0; }));
  sleep_for_ms (kReactionMs);
  int64_t before = c.stat_at (pausing, "turned_away");
  sleep_for_ms (kPauseMs - 2 * kReactionMs);
  EXPECT_LE (c.stat_at (pausing, "turned_away") - before,
             kMaxSendsDuringPause);
  is_ended = true;
  for (std::thread &caller : callers)
    caller.join ();
  // Only refused requests may fail; whether they are retried at another target
  // depends on the service.
  EXPECT_LE (failed, c.stat_at (pausing, "turned_away"));
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

// Guards against an agent that keeps sending to an engine that has requested a
// pause.
TEST (TargetPause, EnginePauseIsKept)
{
  ClusterOptions options;
  options.engines = 2;
  Cluster c (options);
  c.start ();
  expect_pause_holds (c, c.targets[0], complete);
}

// Guards against the same at a plain target.
TEST (TargetPause, PlainTargetPauseIsKept)
{
  ClusterOptions options;
  options.engines = 1;
  options.plains = 2;
  Cluster c (options);
  c.start ();
  expect_pause_holds (c, c.targets[1], call_plain);
}

} // namespace
