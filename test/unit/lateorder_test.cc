// Room for orders that may be carried out late, at another life of an engine.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/lateorder.h"
}

namespace
{

TEST (LateOrder, NothingIsKeptWithinOneLife)
{
  lto_orders_t orders = {};
  lto_note (&orders, 5, 1000);
  EXPECT_EQ (lto_reserved (&orders, 5, 1100), 0u);
}

TEST (LateOrder, APlaceIsKeptUntilTheCountHasPassed)
{
  lto_orders_t orders = {};
  lto_note (&orders, 5, 1000);
  lto_note (&orders, 5, 1400);
  lto_note (&orders, 6, 1800);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, 0, 2000), 2u);
  EXPECT_EQ (lto_reserved (&orders, 5, 2000), 2u);
  EXPECT_EQ (lto_reserved (&orders, 6, 2000), 1u);
  EXPECT_EQ (lto_reserved (&orders, 7, 2000), 0u);
}

TEST (LateOrder, APlaceIsKeptForALimitedTime)
{
  lto_orders_t orders = {};
  lto_note (&orders, 5, 1000);
  lto_restarted (&orders);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, 0, 1000 + LTO_LATE_MS - 1), 1u);
  EXPECT_EQ (lto_reserved (&orders, 0, 1000 + LTO_LATE_MS), 0u);
}

TEST (LateOrder, TheOldestMakeRoom)
{
  lto_orders_t orders = {};
  for (uint64_t i = 0; i < 3 * LTO_MAX; i++)
    lto_note (&orders, i, 1000 + i);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, 0, 2000), (uint32_t)LTO_MAX);
  EXPECT_EQ (lto_reserved (&orders, 2 * LTO_MAX, 2000), (uint32_t)LTO_MAX);
}

} // namespace
