// Streams of engines that pause, while no other engine has a place.
#include <gtest/gtest.h>

#include <signal.h>

#include "site.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// Callers abandon a stream after 3.2 s without an event.
constexpr int kPauseMs = 2950;
constexpr int kEventMs = 50;
constexpr int kEvents = 40;
constexpr int kSlots = 8;

/// Over three objectives of a safe request, and within its timeout.
constexpr int kSlowAnswerMs = 1200;
/// Over the limit for the first event of a stream.
constexpr int kSlowFirstEventMs = 2600;
/// Over three objectives of a safe request, and shorter than its timeout by
/// more than an answer takes.
constexpr double kPauseS = 1;
/// Until another target has answered what was silent for three objectives.
constexpr int kMaxMoveMs = 1500;

/// The engine of a stream that may be resumed pauses, and the other one is
/// full.
/// @param stops  Whether the gateway gets SIGTERM meanwhile.
void
expect_whole_stream (bool stops)
{
  SCOPED_TRACE (stops);
  Site site (2, 1, 1);
  for (const Engine &engine : site.engines)
    {
      engine.target->events = kEvents;
      engine.target->event_ms = kEventMs;
    }
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (4);
  Message answer;
  std::thread caller ([&] {
    Call call = stream_call ("paused", "");
    call.deadline_ms = 8000;
    answer = send_call (site.gateways[0], call);
  });
  ASSERT_TRUE (
      Site::wait_for ([&] { return site.runs_of ("paused") > 0; }, 2000));
  size_t own = site.engines[0].target->runs_of ("paused") > 0 ? 0 : 1;
  Target &other = *site.engines[1 - own].target;
  other.events = 10 * kEvents;
  std::vector<std::thread> others;
  for (int i = 0; i < 2 * kSlots - 1; i++)
    others.emplace_back ([&site, i] {
      send_call (site.gateways[0],
                 stream_call ("other" + std::to_string (i), "", false));
    });
  ASSERT_TRUE (Site::wait_for ([&] { return other.runs () >= kSlots; }, 2000));
  std::this_thread::sleep_for (milliseconds (500));
  Target &engine = *site.engines[own].target;
  engine.event_ms = kPauseMs;
  std::this_thread::sleep_for (milliseconds (2 * kEventMs));
  engine.event_ms = kEventMs;
  if (stops)
    kill (site.gateways[0].daemon.pid, SIGTERM);
  caller.join ();
  EXPECT_EQ (answer.status, 200);
  EXPECT_TRUE (answer.is_complete);
  EXPECT_EQ (event_ids (answer.body), ids_up_to (kEvents));
  EXPECT_EQ (site.runs_of ("paused"), 1);
  site.stop (&site.gateways[0].daemon, SIGKILL);
  for (std::thread &thread : others)
    thread.join ();
}

// Guards against a gateway that stops and cuts a stream, whose engine is
// alive, before its caller would have left.
TEST (Silence, StoppingGatewayCutsNoStreamOfALiveEngine)
{
  expect_whole_stream (true);
}

// Guards against the same of a gateway that doesn't stop.
TEST (Silence, StreamThatNoOtherEngineCanTakeIsNotCut)
{
  expect_whole_stream (false);
}

void
expect_slow_answer (Site &site)
{
  site.plain[0]->answer_ms = kSlowAnswerMs;
  Message answer = send_call (site.gateways[0], plain_call ("slow"));
  EXPECT_EQ (answer.status, 200) << answer.body;
  EXPECT_EQ (site.runs_of ("slow"), 1);
}

// Guards against a request that fails because its target, the only one, is
// slower than three objectives.
TEST (Silence, SafeRequestWaitsForTheOnlyTarget)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (4);
  expect_slow_answer (site);
}

// Guards against the same when the other target is leaving.
TEST (Silence, SafeRequestWaitsWhileTheOtherTargetLeaves)
{
  Site site (0, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (4);
  site.list_plain (1, "draining");
  std::this_thread::sleep_for (milliseconds (1500));
  expect_slow_answer (site);
}

// Guards against a stream that fails because the only engine needs longer than
// 2 s for its first event.
TEST (Silence, StreamWaitsForTheFirstEventOfTheOnlyEngine)
{
  Site site (1, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (4);
  site.engines[0].target->events = 1;
  site.engines[0].target->event_ms = kSlowFirstEventMs;
  Message answer = send_call (site.gateways[0], stream_call ("slow", ""));
  EXPECT_EQ (answer.status, 200) << answer.body;
  EXPECT_EQ (event_ids (answer.body), ids_up_to (1));
  EXPECT_EQ (site.runs_of ("slow"), 1);
}

// Guards against a request that waits for a hung target after the pause of
// another one has ended.
TEST (Silence, SafeRequestLeavesAHungTargetOnceThereIsAnother)
{
  // Without a sidecar there are hardly any retries.
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (8);
  send_call (site.gateways[0], plain_call ("first"));
  size_t used = site.plain[0]->runs_of ("first") > 0 ? 0 : 1;
  Target &other = *site.plain[used];
  other.pause_s = kPauseS;
  for (int i = 0; other.refused_with_pause ().empty () && i < 100; i++)
    send_call (site.gateways[0], plain_call ("warm" + std::to_string (i)));
  other.pause_s = -1;
  ASSERT_FALSE (other.refused_with_pause ().empty ());
  site.plain[1 - used]->is_hung = true;
  Message answer = send_call (site.gateways[0], plain_call ("hung"));
  EXPECT_EQ (answer.status, 200) << answer.body;
  EXPECT_EQ (other.runs_of ("hung"), 1);
}

// Guards against a request that waits for a hung target though there is
// another one.
TEST (Silence, SafeRequestLeavesAHungTargetForAnother)
{
  // Without a sidecar there are hardly any retries.
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (8);
  site.plain[0]->is_hung = true;
  for (int i = 0; i < 6; i++)
    {
      auto began = std::chrono::steady_clock::now ();
      Message answer = send_call (site.gateways[0],
                                  plain_call ("h" + std::to_string (i)));
      EXPECT_EQ (answer.status, 200) << answer.body;
      EXPECT_LT (std::chrono::steady_clock::now () - began,
                 milliseconds (kMaxMoveMs));
    }
}

} // namespace
} // namespace relay
