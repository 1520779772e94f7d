// Timeout after which a call is repeated.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/rto.h"
}

namespace
{

TEST (Rto, MaximumBeforeTheFirstAnswer)
{
  rto_timeout_t t;
  rto_init (&t, 30, 400);
  EXPECT_EQ (rto_ms (&t), 400u);
}

// Guards against requests that wait for an adapter because a third of the load
// orders gets no answer: each lost answer blocked all orders of its engine for
// 400 ms, although an answer takes a millisecond.
TEST (Rto, ShortAfterFastAnswers)
{
  rto_timeout_t t;
  rto_init (&t, 30, 400);
  for (int i = 0; i < 10; i++)
    rto_answered (&t, 1);
  EXPECT_EQ (rto_ms (&t), 30u);
  rto_unanswered (&t);
  EXPECT_EQ (rto_ms (&t), 30u);
}

TEST (Rto, AdaptsToASlowPeer)
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

// A peer that suddenly becomes slower than the timeout never answers in time,
// so its answers cannot raise the timeout.
TEST (Rto, BacksOffUpToTheMaximum)
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
