// How often a fault that is found again and again is reported.
#include <gtest/gtest.h>

extern "C"
{
#include "state/seen.h"
}

namespace
{

// Guards against a line in the log at each read of the same odd entry.
TEST (Seen, FaultIsNewOnceWhileItLasts)
{
  sen_table_t table = {};
  EXPECT_TRUE (sen_is_new (&table, 7, 1000));
  for (uint64_t now = 2000; now < 10 * SEN_FORGET_MS; now += 1000)
    EXPECT_FALSE (sen_is_new (&table, 7, now));
  EXPECT_TRUE (sen_is_new (&table, 8, 3000));
}

// Guards against silence when a fault comes back after it was repaired.
TEST (Seen, FaultThatWasAwayIsNewAgain)
{
  sen_table_t table = {};
  EXPECT_TRUE (sen_is_new (&table, 7, 1000));
  EXPECT_TRUE (sen_is_new (&table, 7, 1000 + SEN_FORGET_MS));
}

// Guards against memory that grows with the number of faults.
TEST (Seen, ManyFaultsReplaceTheOldest)
{
  sen_table_t table = {};
  for (uint64_t i = 1; i <= SEN_SLOTS + 1; i++)
    EXPECT_TRUE (sen_is_new (&table, i, i));
  EXPECT_FALSE (sen_is_new (&table, 2, SEN_SLOTS + 2));
  EXPECT_TRUE (sen_is_new (&table, 1, SEN_SLOTS + 3));
}

} // namespace
