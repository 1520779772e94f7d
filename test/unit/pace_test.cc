// At which part of an engine's reading rate prompts are given out.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/pace.h"
}

namespace
{

/// Streams of 20 gaps end ten times a second on an engine that spends a part
/// of its time on reading: their gaps are that much longer.
uint64_t
play_streams (pce_pace_t *pace, double event_ms, double busy, uint64_t from_ms,
              uint64_t for_ms)
{
  for (uint64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms += 100)
    {
      pce_record_prefill (pace, busy * 100, now_ms);
      double gap_ms = event_ms / (1 - busy);
      pce_record_stream (pace, 20, (uint64_t)(20 * gap_ms), now_ms);
    }
  return from_ms + for_ms;
}

TEST (Pace, ADefaultBeforeAnythingWasObserved)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.65);
  pce_set_max_gap (&pace, 400);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.65);
}

// One site's callers accept pauses of 400 ms and its engines make an event
// every 28 ms; another's accept 300 ms of engines that need 40. With one pace
// for both, requests of the first waited for an engine that had time (8 %
// late), or streams of the second paused too long.
TEST (Pace, EnginesThatMakeEventsQuicklyReadMore)
{
  pce_pace_t quick;
  pce_pace_t slow;
  pce_pace_init (&quick);
  pce_pace_init (&slow);
  pce_set_max_gap (&quick, 400);
  pce_set_max_gap (&slow, 300);
  play_streams (&quick, 28, 0, 0, 20000);
  play_streams (&slow, 40, 0, 0, 20000);
  EXPECT_NEAR (pce_fraction (&quick), 0.81, 0.01);
  EXPECT_NEAR (pce_fraction (&slow), 0.64, 0.01);
}

// What the pace lets in makes gaps longer, and longer gaps must not by
// themselves lower the pace further: it would close for good under load.
TEST (Pace, ReadingDoesNotLowerThePaceByItself)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  pce_set_max_gap (&pace, 400);
  uint64_t now_ms = play_streams (&pace, 28, 0, 0, 20000);
  double idle = pce_fraction (&pace);
  play_streams (&pace, 28, 0.7, now_ms, 40000);
  EXPECT_NEAR (pce_fraction (&pace), idle, 0.04);
}

// A load that changes the engine's own speed: batches become full, each token
// takes longer. The pace follows within seconds and settles.
TEST (Pace, FollowsASlowerEngineAndSettles)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  pce_set_max_gap (&pace, 400);
  uint64_t now_ms = play_streams (&pace, 28, 0.5, 0, 20000);
  now_ms = play_streams (&pace, 56, 0.5, now_ms, 30000);
  double settled = pce_fraction (&pace);
  EXPECT_NEAR (settled, 0.63, 0.03);
  play_streams (&pace, 56, 0.5, now_ms, 10000);
  EXPECT_NEAR (pce_fraction (&pace), settled, 0.01);
}

TEST (Pace, StaysWithinItsBounds)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  pce_set_max_gap (&pace, 400);
  play_streams (&pace, 1000, 0, 0, 20000);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.6);
  play_streams (&pace, 0.5, 0, 20000, 400000);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.9);
}

} // namespace
