// Dispatch of prompts, and the measured prefill rate.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/prefill.h"
}

namespace
{

class ReadingTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    pfl_prefill_init (&prefill);
  }
  pfl_prefill_t prefill;
};

TEST_F (ReadingTest, LongPromptsCostMoreThanTheirTokens)
{
  EXPECT_NEAR (pfl_cost_tokens (100), 100, 1);
  EXPECT_GT (pfl_cost_tokens (8000), 10000);
}

// A prompt of any length is dispatched once all others are processed.
TEST_F (ReadingTest, AnyPromptIsDispatchedToAnIdleEngine)
{
  EXPECT_TRUE (pfl_can_dispatch (&prefill, 50000, 0));
  pfl_dispatch (&prefill, 50000, 0);
  EXPECT_FALSE (pfl_can_dispatch (&prefill, 10, 100));
  EXPECT_TRUE (pfl_can_dispatch (&prefill, 50000, 10000));
}

TEST_F (ReadingTest, CancelledPromptMakesRoom)
{
  pfl_dispatch (&prefill, 1500, 0);
  EXPECT_FALSE (pfl_can_dispatch (&prefill, 1500, 0));
  pfl_cancel (&prefill, 1500);
  EXPECT_TRUE (pfl_can_dispatch (&prefill, 1500, 0));
}

// Some engines add 40 ms to every first event. A plain ratio of tokens and
// time then gives a rate that is too low by half.
TEST_F (ReadingTest, InterceptIsNotCountedAsPrefill)
{
  for (int i = 0; i < 400; i++)
    {
      double tokens = 200 + i % 10 * 300;
      pfl_record_first_event (&prefill, tokens, 40 + tokens / 20);
    }
  EXPECT_NEAR (prefill.tokens_per_ms, 20, 1);
}

} // namespace
