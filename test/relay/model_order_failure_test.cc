// Orders to load a model that get lost. An engine restarts without its model,
// and serves no stream until it holds it again.
#include <gtest/gtest.h>

#include "site.h"

namespace relay
{
namespace
{

/// Time for a model that one more order brings: the order's timeout, which
/// doubles with each lost answer, and the pause before the next order.
constexpr int kModelHeldMs = 4000;

std::string
restart_losing_orders (Site &site, int count, OrderLoss loss)
{
  Target &engine = *site.engines[0].target;
  std::string id = engine.id () + "-new";
  engine.lose_orders (count, loss);
  engine.restart (id);
  return id;
}

bool
wait_identified (Site &site, const std::string &id,
                 int timeout_ms = kModelHeldMs)
{
  return Site::wait_identified (site.engines[0], id, timeout_ms);
}

void
expect_sent_again (int count, OrderLoss loss, int timeout_ms)
{
  Site site (1, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  std::string id = restart_losing_orders (site, count, loss);
  EXPECT_TRUE (wait_identified (site, id, timeout_ms));
  EXPECT_EQ (site.engines[0].target->lost_order_count, count);
  if (testing::Test::HasFailure ())
    site.print_logs (20);
}

// Guards against an engine without a model for 5 s after the connection of the
// order to load it was reset.
TEST (ModelOrder, LostWithItsConnectionIsSentAgain)
{
  expect_sent_again (1, OrderLoss::RESET, kModelHeldMs);
}

// Guards against the same after an order without an answer.
TEST (ModelOrder, LostWithoutAnAnswerIsSentAgain)
{
  expect_sent_again (1, OrderLoss::SILENCE, kModelHeldMs);
}

// Guards against an engine without a model for 10 s after two lost orders.
TEST (ModelOrder, LostTwiceIsSentAgain)
{
  expect_sent_again (2, OrderLoss::RESET, 2 * kModelHeldMs);
}

// Guards against a second fetch of a model whose order was accepted, though
// its answer was lost.
TEST (ModelOrder, AcceptedWithoutAnAnswerIsNotSentAgain)
{
  Site site (1, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  std::string id = restart_losing_orders (site, 1, OrderLoss::ANSWER);
  EXPECT_FALSE (wait_identified (site, id));
  EXPECT_EQ (site.engines[0].target->lost_order_count, 1);
  EXPECT_EQ (site.engines[0].target->order_count, 1);
  if (HasFailure ())
    site.print_logs (20);
}

} // namespace
} // namespace relay
