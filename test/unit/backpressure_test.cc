// Rate limits that targets state in the headers of their answers.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/backpressure.h"
}

namespace
{

constexpr double kNoLimit = -1;

TEST (Backpressure, LimitAppliesUntilALaterRequestIsAnsweredWithoutOne)
{
  bkp_limit_t limit = { 0 };
  EXPECT_FALSE (bkp_limit_apply_answer (&limit, kNoLimit, 1000, 1010));
  EXPECT_TRUE (bkp_limit_apply_answer (&limit, 4, 1020, 1100));
  EXPECT_TRUE (limit.is_limited);
  EXPECT_DOUBLE_EQ (limit.per_s, 4);
  EXPECT_FALSE (bkp_limit_apply_answer (&limit, 4, 1030, 1110));
  EXPECT_TRUE (bkp_limit_apply_answer (&limit, kNoLimit, 1111, 1200));
  EXPECT_FALSE (limit.is_limited);
}

// Guards against lifting a limit by an answer that was sent before it.
TEST (Backpressure, OvertakenAnswerDoesNotLiftTheLimit)
{
  bkp_limit_t limit = { 0 };
  EXPECT_TRUE (bkp_limit_apply_answer (&limit, 4, 1000, 1100));
  EXPECT_FALSE (bkp_limit_apply_answer (&limit, kNoLimit, 1050, 1300));
  EXPECT_TRUE (limit.is_limited);
}

TEST (Backpressure, NewestLimitAppliesFromAnyCaller)
{
  bkp_limit_t limit = { 0 };
  bkp_limit_t update = { .is_limited = true, .per_s = 5, .at_ms = 2000 };
  EXPECT_TRUE (bkp_limit_merge (&limit, &update));
  bkp_limit_t older = { .is_limited = true, .per_s = 9, .at_ms = 1900 };
  EXPECT_FALSE (bkp_limit_merge (&limit, &older));
  EXPECT_DOUBLE_EQ (limit.per_s, 5);
  bkp_limit_t unlimited = { .at_ms = 2001 };
  EXPECT_TRUE (bkp_limit_merge (&limit, &unlimited));
  EXPECT_FALSE (limit.is_limited);
  EXPECT_FALSE (bkp_limit_merge (&limit, &update));
}

TEST (Backpressure, ZeroIsALimit)
{
  bkp_limit_t limit = { 0 };
  EXPECT_TRUE (bkp_limit_apply_answer (&limit, 0, 1000, 1001));
  EXPECT_TRUE (limit.is_limited);
}

TEST (Backpressure, ExcessiveLimitIsIgnored)
{
  bkp_limit_t limit = { 0 };
  EXPECT_FALSE (bkp_limit_apply_answer (&limit, 1e30, 1000, 1001));
  EXPECT_FALSE (limit.is_limited);
}

class Meter : public ::testing::Test
{
protected:
  void
  set_limit (double per_s, uint64_t at_ms)
  {
    bkp_limit_t update
        = { .is_limited = per_s >= 0, .per_s = per_s, .at_ms = at_ms };
    bkp_meter_merge (&meter_, &update, at_ms);
  }
  /// Start requests as soon as the meter permits.
  /// @return  Number of starts in the given period.
  int
  start_all (uint64_t from_ms, uint64_t for_ms)
  {
    int starts = 0;
    for (uint64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms++)
      if (bkp_meter_wait_ms (&meter_, 0, now_ms) == 0)
        {
          bkp_meter_start (&meter_, now_ms);
          starts++;
        }
    return starts;
  }
  bkp_meter_t meter_ = {};
};

TEST_F (Meter, WithoutALimitNothingWaits)
{
  EXPECT_EQ (start_all (1000, 100), 100);
  EXPECT_EQ (bkp_meter_wait_ms (&meter_, 50, 2000), 0u);
}

TEST_F (Meter, StartsPerWindowAreBounded)
{
  for (double per_s : { 0.5, 4.0, 40.0, 200.0 })
    {
      set_limit (per_s, 1000);
      EXPECT_LE (start_all (1000, 4000), 4.25 * per_s + 1);
      // The burst saved during a pause is bounded.
      EXPECT_LE (start_all (60000, 4000), 4.25 * per_s + 1);
      EXPECT_GE (start_all (70000, 4000), (int)(4 * per_s) - 1);
      meter_ = {};
    }
}

TEST_F (Meter, ReportsWhenTheNextRequestMayStart)
{
  set_limit (4, 1000);
  start_all (1000, 1000);
  uint64_t first_ms = bkp_meter_wait_ms (&meter_, 0, 2000);
  EXPECT_LE (first_ms, 251u);
  EXPECT_NEAR ((double)bkp_meter_wait_ms (&meter_, 4, 2000),
               (double)first_ms + 1000, 2);
}

TEST_F (Meter, TargetWithZeroLimitIsProbed)
{
  set_limit (0, 1000);
  start_all (1000, 10);
  int starts = start_all (2000, 60000);
  EXPECT_GE (starts, 5);
  EXPECT_LE (starts, 7);
}

TEST_F (Meter, LiftedLimitBlocksNothing)
{
  set_limit (0.1, 1000);
  start_all (1000, 100);
  set_limit (-1, 2000);
  EXPECT_EQ (start_all (2000, 100), 100);
}

} // namespace
