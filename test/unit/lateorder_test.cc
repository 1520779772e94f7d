// Room for orders that may be carried out late, at another life of an engine.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/lateorder.h"
}

namespace
{

const uint64_t kEngine = 7;

TEST (LateOrder, NothingIsKeptWithinOneLife)
{
  lto_orders_t orders = {};
  lto_record (&orders, kEngine, 5, 1000);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 5, 1100), 0u);
}

TEST (LateOrder, APlaceIsKeptUntilTheCountHasPassed)
{
  lto_orders_t orders = {};
  lto_record (&orders, kEngine, 5, 1000);
  lto_record (&orders, kEngine, 5, 1400);
  lto_record (&orders, kEngine, 6, 1800);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 0, 2000), 2u);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 5, 2000), 2u);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 6, 2000), 1u);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 7, 2000), 0u);
}

TEST (LateOrder, APlaceIsKeptForALimitedTime)
{
  lto_orders_t orders = {};
  lto_record (&orders, kEngine, 5, 1000);
  lto_restarted (&orders);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 0, 1000 + LTO_MAX_DELAY_MS - 1),
             1u);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 0, 1000 + LTO_MAX_DELAY_MS), 0u);
}

// An engine of another id turns the order away; a place kept for it would be
// lost to callers for nothing.
TEST (LateOrder, NothingIsKeptAtAnEngineOfAnotherId)
{
  lto_orders_t orders = {};
  lto_record (&orders, kEngine, 5, 1000);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, 0, 0, 2000), 1u);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 0, 2000), 1u);
  EXPECT_EQ (lto_reserved (&orders, kEngine + 1, 0, 2000), 0u);
}

// An order that names no id is carried out at any engine.
TEST (LateOrder, APlaceIsKeptForAnOrderWithoutAnId)
{
  lto_orders_t orders = {};
  lto_record (&orders, 0, 5, 1000);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 0, 2000), 1u);
}

TEST (LateOrder, TheOldestMakeRoom)
{
  lto_orders_t orders = {};
  for (uint64_t i = 0; i < 3 * LTO_MAX_ORDERS; i++)
    lto_record (&orders, kEngine, i, 1000 + i);
  lto_restarted (&orders);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 0, 2000),
             (uint32_t)LTO_MAX_ORDERS);
  EXPECT_EQ (lto_reserved (&orders, kEngine, 2 * LTO_MAX_ORDERS, 2000),
             (uint32_t)LTO_MAX_ORDERS);
}

} // namespace
