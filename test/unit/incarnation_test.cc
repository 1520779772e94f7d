// Which incarnation of a target a report is about.
#include <gtest/gtest.h>

extern "C"
{
#include "state/incarnation.h"
}

namespace
{

TEST (Incarnation, LaterBirthReplacesTheKnownOne)
{
  inc_tracker_t tracker = {};
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_SAME);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_SAME);
  EXPECT_EQ (inc_observe_birth (&tracker, 2000), INC_NEW);
  EXPECT_EQ (tracker.born_ms, 2000u);
}

// A report without a birth is about the known incarnation.
TEST (Incarnation, ReportWithoutBirthChangesNothing)
{
  inc_tracker_t tracker = { .born_ms = 2000 };
  EXPECT_EQ (inc_observe_birth (&tracker, 0), INC_SAME);
  EXPECT_EQ (tracker.born_ms, 2000u);
}

// A target crashed and restarted. An entry that it wrote before the crash
// arrives late or by a stale read, and must be rejected.
TEST (Incarnation, OlderBirthIsRejected)
{
  inc_tracker_t tracker = { .born_ms = 2000 };
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_STALE);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_STALE);
  EXPECT_EQ (inc_observe_birth (&tracker, 2000), INC_SAME);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_STALE);
  EXPECT_EQ (inc_observe_birth (&tracker, 1500), INC_STALE);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_STALE);
  EXPECT_EQ (tracker.born_ms, 2000u);
}

// The clock of the target's VM was stepped back before the target restarted,
// so the running incarnation has an earlier birth than the previous one.
// Rejected for good, the target would never be used again.
TEST (Incarnation, RepeatedOlderBirthIsAccepted)
{
  inc_tracker_t tracker = { .born_ms = 2000 };
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_STALE);
  EXPECT_EQ (inc_observe_birth (&tracker, 0), INC_SAME);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_STALE);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_NEW);
  EXPECT_EQ (tracker.born_ms, 1000u);
  EXPECT_EQ (inc_observe_birth (&tracker, 1000), INC_SAME);
}

TEST (Incarnation, ValidRangeOfBirths)
{
  EXPECT_FALSE (inc_is_valid_birth (0));
  EXPECT_FALSE (inc_is_valid_birth (-1));
  EXPECT_FALSE (inc_is_valid_birth (INT64_MAX));
  EXPECT_TRUE (inc_is_valid_birth (1785123800000));
}

} // namespace
