// Fraction of an engine's prefill rate at which prompts are dispatched.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/pace.h"
}

namespace
{

/// Simulate streams of 20 gaps that end ten times a second on an engine that
/// spends a share of its time on prefill, which makes the gaps longer.
uint64_t
simulate_streams (pce_pace_t *pace, double step_ms, double prefill_share,
                  uint64_t from_ms, uint64_t for_ms)
{
  for (uint64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms += 100)
    {
      pce_record_prefill (pace, prefill_share * 100, now_ms);
      double gap_ms = step_ms / (1 - prefill_share);
      pce_record_stream (pace, 20, (uint64_t)(20 * gap_ms), now_ms);
    }
  return from_ms + for_ms;
}

TEST (Pace, DefaultBeforeEnoughGaps)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.65);
  pce_set_max_gap (&pace, 400);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.65);
}

// Callers of one site accept gaps of 400 ms from engines that emit an event
// every 28 ms, those of another 300 ms from engines that need 40 ms. With the
// same pace for both, either requests of the first waited for an idle engine
// (8 % late) or streams of the second had too long gaps.
TEST (Pace, FasterEnginesGetMorePrefill)
{
  pce_pace_t fast;
  pce_pace_t slow;
  pce_pace_init (&fast);
  pce_pace_init (&slow);
  pce_set_max_gap (&fast, 400);
  pce_set_max_gap (&slow, 300);
  simulate_streams (&fast, 28, 0, 0, 20000);
  simulate_streams (&slow, 40, 0, 0, 20000);
  EXPECT_NEAR (pce_fraction (&fast), 0.81, 0.01);
  EXPECT_NEAR (pce_fraction (&slow), 0.64, 0.01);
}

// Dispatched prompts make gaps longer. These gaps must not lower the pace
// further, or it would drop to its minimum under load and stay there.
TEST (Pace, PrefillDoesNotLowerThePace)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  pce_set_max_gap (&pace, 400);
  uint64_t now_ms = simulate_streams (&pace, 28, 0, 0, 20000);
  double idle = pce_fraction (&pace);
  simulate_streams (&pace, 28, 0.7, now_ms, 40000);
  EXPECT_NEAR (pce_fraction (&pace), idle, 0.04);
}

// Load changes the engine's own speed: with full batches each token takes
// longer. The pace adapts within seconds and becomes stable.
TEST (Pace, FollowsASlowerEngineAndSettles)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  pce_set_max_gap (&pace, 400);
  uint64_t now_ms = simulate_streams (&pace, 28, 0.5, 0, 20000);
  now_ms = simulate_streams (&pace, 56, 0.5, now_ms, 30000);
  double settled = pce_fraction (&pace);
  EXPECT_NEAR (settled, 0.63, 0.03);
  simulate_streams (&pace, 56, 0.5, now_ms, 10000);
  EXPECT_NEAR (pce_fraction (&pace), settled, 0.01);
}

TEST (Pace, StaysWithinItsBounds)
{
  pce_pace_t pace;
  pce_pace_init (&pace);
  pce_set_max_gap (&pace, 400);
  simulate_streams (&pace, 1000, 0, 0, 20000);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.6);
  simulate_streams (&pace, 0.5, 0, 20000, 400000);
  EXPECT_DOUBLE_EQ (pce_fraction (&pace), 0.9);
}

} // namespace
