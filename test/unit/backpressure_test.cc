// What targets ask of their callers in the heads of their answers.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/backpressure.h"
}

namespace
{

constexpr double kNoLimit = -1;

TEST (Backpressure, ALimitHoldsUntilAnAnswerToALaterRequestStatesNone)
{
  bkp_limit_t limit = { 0 };
  EXPECT_FALSE (bkp_limit_heard (&limit, kNoLimit, 1000, 1010));
  EXPECT_TRUE (bkp_limit_heard (&limit, 4, 1020, 1100));
  EXPECT_TRUE (limit.is_limited);
  EXPECT_DOUBLE_EQ (limit.per_s, 4);
  EXPECT_FALSE (bkp_limit_heard (&limit, 4, 1030, 1110));
  EXPECT_TRUE (bkp_limit_heard (&limit, kNoLimit, 1111, 1200));
  EXPECT_FALSE (limit.is_limited);
}

// Guards against an answer given before the limit that lifts it.
TEST (Backpressure, AnOvertakenAnswerLiftsNoLimit)
{
  bkp_limit_t limit = { 0 };
  EXPECT_TRUE (bkp_limit_heard (&limit, 4, 1000, 1100));
  EXPECT_FALSE (bkp_limit_heard (&limit, kNoLimit, 1050, 1300));
  EXPECT_TRUE (limit.is_limited);
}

TEST (Backpressure, TheNewestStatementHoldsWhoeverHeardIt)
{
  bkp_limit_t limit = { 0 };
  bkp_limit_t told = { .is_limited = true, .per_s = 5, .at_ms = 2000 };
  EXPECT_TRUE (bkp_limit_told (&limit, &told));
  bkp_limit_t older = { .is_limited = true, .per_s = 9, .at_ms = 1900 };
  EXPECT_FALSE (bkp_limit_told (&limit, &older));
  EXPECT_DOUBLE_EQ (limit.per_s, 5);
  bkp_limit_t unlimited = { .at_ms = 2001 };
  EXPECT_TRUE (bkp_limit_told (&limit, &unlimited));
  EXPECT_FALSE (limit.is_limited);
  EXPECT_FALSE (bkp_limit_told (&limit, &told));
}

TEST (Backpressure, ALimitOfZeroIsOne)
{
  bkp_limit_t limit = { 0 };
  EXPECT_TRUE (bkp_limit_heard (&limit, 0, 1000, 1001));
  EXPECT_TRUE (limit.is_limited);
}

} // namespace
