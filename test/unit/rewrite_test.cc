// Which records are written again after the store came back from a copy.
#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "coordination/rewrite.h"
}

namespace
{

class Rewrite : public testing::Test
{
protected:
  Rewrite () : table (new rwr_table_t ()) {}

  /// Take the records that are due.
  /// @return  Their keys, each with the revision that is expected.
  std::vector<std::pair<uint64_t, uint64_t>>
  pop_due (uint64_t now_ms)
  {
    std::vector<std::pair<uint64_t, uint64_t>> due;
    uint64_t key, revision;
    while (rwr_pop_due (table.get (), now_ms, &key, &revision))
      due.emplace_back (key, revision);
    return due;
  }

  std::unique_ptr<rwr_table_t> table;
};

using Due = std::vector<std::pair<uint64_t, uint64_t>>;

TEST_F (Rewrite, NothingIsDueWithoutARestore)
{
  rwr_listed (table.get (), 5, 10, 1);
  rwr_written (table.get (), 6, 1);
  EXPECT_EQ (rwr_due_ms (table.get ()), UINT64_MAX);
  EXPECT_EQ (pop_due (100000), Due ());
}

TEST_F (Rewrite, OnlyWhatTheCopyLacksIsDue)
{
  rwr_written (table.get (), 5, 1);
  rwr_written (table.get (), 6, 1);
  rwr_restored (table.get (), 1000, 1, 0);
  rwr_listed (table.get (), 5, 3, 1);
  EXPECT_EQ (pop_due (2000), (Due{ { 6, 0 } }));
  EXPECT_EQ (pop_due (90000), Due ());
}

// The copy holds the record as it was before it grew.
TEST_F (Rewrite, OutdatedRecordIsWrittenAtItsRevision)
{
  rwr_written (table.get (), 5, 2);
  rwr_restored (table.get (), 1000, 1, 0);
  rwr_listed (table.get (), 5, 3, 1);
  EXPECT_EQ (pop_due (2000), (Due{ { 5, 3 } }));
}

// Guards against two gateways that write the same record at once.
TEST_F (Rewrite, RecordsOfOthersAreDueLater)
{
  rwr_listed (table.get (), 5, 10, 1);
  rwr_restored (table.get (), 1000, 400, 12345);
  EXPECT_GE (rwr_due_ms (table.get ()), 3000u);
  EXPECT_LT (rwr_due_ms (table.get ()), 12000u);
  rwr_listed (table.get (), 5, 4, 1); // Its writer has written it again.
  EXPECT_EQ (rwr_due_ms (table.get ()), UINT64_MAX);
}

TEST_F (Rewrite, FailedWriteIsRepeatedUntilTheStoreHasTheRecord)
{
  rwr_written (table.get (), 5, 1);
  rwr_restored (table.get (), 1000, 1, 0);
  ASSERT_EQ (pop_due (2000).size (), 1u);
  rwr_retry (table.get (), 5, 2000);
  EXPECT_EQ (pop_due (2000), Due ());
  ASSERT_EQ (pop_due (4000).size (), 1u);
  rwr_listed (table.get (), 5, 9, 1); // Another process was first.
  rwr_retry (table.get (), 5, 4000);
  EXPECT_EQ (rwr_due_ms (table.get ()), UINT64_MAX);
}

// A second restore before the first one's records are written again.
TEST_F (Rewrite, RestoresInARowLoseNothing)
{
  rwr_written (table.get (), 5, 2);
  rwr_restored (table.get (), 1000, 1, 0);
  rwr_listed (table.get (), 5, 3, 1);
  rwr_restored (table.get (), 1100, 1, 0);
  EXPECT_EQ (pop_due (2000), (Due{ { 5, 0 } }));
}

TEST_F (Rewrite, MemoryIsBounded)
{
  for (uint64_t key = 1; key <= 2 * RWR_MAX_ITEMS; key++)
    rwr_listed (table.get (), key, key, 1);
  rwr_restored (table.get (), 1000, 1, 0);
  EXPECT_EQ (pop_due (90000).size (), (size_t)RWR_MAX_ITEMS);
}

} // namespace
