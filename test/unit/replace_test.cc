// Which entry of a full table makes place for a new one.
#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C"
{
#include "coordination/replace.h"
}

namespace
{

constexpr uint64_t kMaxAgeMs = 5000;
constexpr uint32_t kEntries = 64;

class Replace : public testing::Test
{
protected:
  void
  add (uint64_t group, uint64_t caller, uint64_t at_ms)
  {
    rpl_entry_t added = { group, caller, at_ms };
    table_[rpl_choose (table_.data (), kEntries, &added, kMaxAgeMs)] = added;
  }
  int
  count (uint64_t group, uint64_t caller) const
  {
    int sum = 0;
    for (const rpl_entry_t &entry : table_)
      sum += entry.at_ms > 0 && entry.group == group && entry.caller == caller;
    return sum;
  }
  std::vector<rpl_entry_t> table_ = std::vector<rpl_entry_t> (kEntries);
};

TEST_F (Replace, UnusedAndOldEntriesGoFirst)
{
  for (uint32_t i = 0; i < kEntries; i++)
    add (1, 1, 1000 + i);
  EXPECT_EQ (count (1, 1), (int)kEntries);
  table_[7].at_ms = 0;
  add (2, 2, 2000);
  EXPECT_EQ (table_[7].group, 2u);
  add (3, 3, 1000 + kMaxAgeMs + 1);
  EXPECT_EQ (table_[0].group, 3u);
}

// Guards against entries that many others push out.
TEST_F (Replace, NeitherAnotherGroupNorAnotherCallerPushesAnEntryOut)
{
  add (1, 1, 1000);
  add (2, 1, 1000);
  for (int i = 0; i < 10000; i++)
    add (2, 2, 1000 + (uint64_t)i % 1000);
  EXPECT_EQ (count (1, 1), 1);
  EXPECT_EQ (count (2, 1), 1);
  EXPECT_EQ (count (2, 2), (int)kEntries - 2);
}

TEST_F (Replace, OldestOfTheCallerIsReplaced)
{
  for (uint32_t i = 0; i < kEntries; i++)
    add (1, 1, 1000 + (i + 5) % kEntries);
  add (1, 1, 1100);
  EXPECT_EQ (table_[kEntries - 5].at_ms, 1100u);
}

// A target that has ended gets no new entries; those of the others do not
// replace its own.
TEST_F (Replace, GroupWithoutNewEntriesKeepsItsShare)
{
  for (uint64_t i = 0; i < 1000; i++)
    add (1 + i % 4, 1, 1000 + i);
  int before = count (1, 1);
  EXPECT_EQ (before, (int)kEntries / 4);
  for (uint64_t i = 0; i < 1000; i++)
    add (2 + i % 3, 1, 2000 + i);
  EXPECT_EQ (count (1, 1), before);
}

// Any schedule: a caller who has at most its share of the table never loses
// an entry that is of use.
TEST_F (Replace, EntriesWithinAShareStay)
{
  for (uint32_t seed = 1; seed <= 50; seed++)
    {
      std::mt19937 random (seed);
      table_.assign (kEntries, rpl_entry_t ());
      uint64_t callers = 2 + seed % 7;
      uint64_t now_ms = 1000;
      add (99, 99, now_ms);
      for (int i = 0; i < 2000; i++)
        {
          now_ms += random () % 2;
          add (1 + random () % 3, 1 + random () % callers, now_ms);
          EXPECT_EQ (count (99, 99), 1) << "seed " << seed;
        }
    }
}

} // namespace
