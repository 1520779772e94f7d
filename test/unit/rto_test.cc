// How long an answer may take before the call is made again.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/rto.h"
}

namespace
{

TEST (Rto, TheLongestBeforeAnyAnswer)
{
  rto_timeout_t t;
  rto_init (&t, 30, 400);
  EXPECT_EQ (rto_ms (&t), 400u);
}

// Callers wait for an adapter while a third of the orders to fetch one gets no
// answer. Each lost answer held all orders of its engine back for 400 ms,
// though an answer takes a millisecond.
TEST (Rto, ShortOnceAnswersAreKnownToBeFast)
{
  rto_timeout_t t;
  rto_init (&t, 30, 400);
  for (int i = 0; i < 10; i++)
    rto_answered (&t, 1);
  EXPECT_EQ (rto_ms (&t), 30u);
  rto_unanswered (&t);
  EXPECT_EQ (rto_ms (&t), 30u);
}

TEST (Rto, ASlowPeerIsGivenTime)
{
  rto_timeout_t t;
  rto_init (&t, 30, 400);
  for (int i = 0; i < 10; i++)
    rto_answered (&t, 1);
  for (int i = 0; i < 40; i++)
    rto_answered (&t, 80 + i % 2 * 20);
  EXPECT_GT (rto_ms (&t), 100u);
  EXPECT_LT (rto_ms (&t), 200u);
}

// A peer that became slower than the timeout at once would never be learned
// from its answers, for none comes in time.
TEST (Rto, SilenceMakesItLongerUpToTheMost)
{
  rto_timeout_t t;
  rto_init (&t, 30, 400);
  rto_answered (&t, 1);
  for (int i = 0; i < 20; i++)
    rto_unanswered (&t);
  EXPECT_EQ (rto_ms (&t), 400u);
  rto_answered (&t, 300);
  EXPECT_GE (rto_ms (&t), 300u);
}

} // namespace
