// Detection of a store that came back from an older copy.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/era.h"
}

namespace
{

class Era : public testing::Test
{
protected:
  era_verdict_t
  observe (uint64_t era, uint64_t as_of, uint64_t known_revision = 0)
  {
    era_answer_t answer = { era, as_of, known_revision };
    return era_observe (&tracker, &answer);
  }
  era_tracker_t tracker = {};
};

TEST_F (Era, FirstAnswerBeginsTheKnownEra)
{
  EXPECT_EQ (observe (7, 100), ERA_CURRENT);
  EXPECT_EQ (tracker.era, 7u);
  EXPECT_EQ (observe (7, 101, 100), ERA_CURRENT);
  EXPECT_EQ (tracker.revision, 101u);
}

// The revision has passed the old one: the era is the only sign.
TEST_F (Era, LaterEraIsARestoreAtAnyRevision)
{
  observe (7, 100);
  EXPECT_EQ (observe (8, 500, 100), ERA_RESTORED);
  EXPECT_EQ (observe (8, 501, 500), ERA_CURRENT);
}

// Several restores may pass between two answers.
TEST_F (Era, ErasMayBeSkipped)
{
  observe (7, 100);
  EXPECT_EQ (observe (11, 60, 100), ERA_RESTORED);
  EXPECT_EQ (tracker.revision, 60u);
}

// Guards against an answer of the earlier era that arrives late.
TEST_F (Era, AnswerOfAnEarlierEraIsStale)
{
  observe (7, 100);
  observe (8, 60, 100);
  EXPECT_EQ (observe (7, 101, 60), ERA_STALE);
  EXPECT_EQ (tracker.era, 8u);
  EXPECT_EQ (tracker.revision, 60u);
}

// Guards against a store that is never followed again, because it was replaced
// by one with a lower era.
TEST_F (Era, StoreThatStaysAtAnEarlierEraIsAccepted)
{
  observe (7, 100);
  EXPECT_EQ (observe (2, 10, 100), ERA_STALE);
  EXPECT_EQ (observe (7, 100, 100), ERA_CURRENT);
  EXPECT_EQ (observe (2, 10, 100), ERA_STALE);
  EXPECT_EQ (observe (2, 10, 100), ERA_STALE);
  EXPECT_EQ (observe (2, 10, 100), ERA_RESTORED);
  EXPECT_EQ (observe (2, 11, 10), ERA_CURRENT);
}

TEST_F (Era, WithoutAStatedEraALowerRevisionIsARestore)
{
  observe (0, 100);
  EXPECT_EQ (observe (0, 99, 98), ERA_CURRENT); // Sent before 100 was known.
  EXPECT_EQ (observe (0, 60, 100), ERA_RESTORED);
  EXPECT_EQ (observe (0, 61, 60), ERA_CURRENT);
}

// The header is lost once, or the store begins to send it.
TEST_F (Era, EraMayBeMissingFromAnAnswer)
{
  observe (7, 100);
  EXPECT_EQ (observe (0, 101, 100), ERA_CURRENT);
  EXPECT_EQ (observe (7, 102, 101), ERA_CURRENT);
  era_tracker_t unstated = { 0, 50, 0 };
  era_answer_t answer = { 3, 51, 50 };
  EXPECT_EQ (era_observe (&unstated, &answer), ERA_RESTORED);
}

} // namespace
