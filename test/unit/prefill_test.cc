// The pace of prompts, and the reading rate as it is learnt.
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
    pfl_prefill_init (&reading);
  }
  pfl_prefill_t reading;
};

TEST_F (ReadingTest, LongPromptsCostMoreThanTheirTokens)
{
  EXPECT_NEAR (pfl_cost_tokens (100), 100, 1);
  EXPECT_GT (pfl_cost_tokens (8000), 10000);
}

// However long a prompt is, it is read once the engine has read all others.
TEST_F (ReadingTest, AnyPromptFitsWhenNothingIsLeft)
{
  EXPECT_TRUE (pfl_can_dispatch (&reading, 50000, 0));
  pfl_dispatch (&reading, 50000, 0);
  EXPECT_FALSE (pfl_can_dispatch (&reading, 10, 100));
  EXPECT_TRUE (pfl_can_dispatch (&reading, 50000, 10000));
}

TEST_F (ReadingTest, WhatIsTakenBackMakesRoom)
{
  pfl_dispatch (&reading, 1500, 0);
  EXPECT_FALSE (pfl_can_dispatch (&reading, 1500, 0));
  pfl_cancel (&reading, 1500);
  EXPECT_TRUE (pfl_can_dispatch (&reading, 1500, 0));
}

// Engines of one site add 40 ms to every first event. Taken as a ratio of
// tokens and time, the rate was half too low there.
TEST_F (ReadingTest, AFixedPartOfFirstEventsIsNotTakenForReading)
{
  for (int i = 0; i < 400; i++)
    {
      double tokens = 200 + i % 10 * 300;
      pfl_record_first_event (&reading, tokens, 40 + tokens / 20);
    }
  EXPECT_NEAR (reading.tokens_per_ms, 20, 1);
}

} // namespace
