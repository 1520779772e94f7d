// What began a stream, as daemons remember it.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/origins.h"
}

namespace
{

constexpr org_origin_t kFirst = { 1, 11, 111 };
constexpr org_origin_t kSecond = { 1, 22, 222 };
constexpr org_origin_t kUnlisted = { 1, 0, 111 };

class OriginsTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    org_table_init (&table);
  }
  void
  TearDown () override
  {
    org_table_finish (&table);
  }
  /// @return  The software that began a stream; zero: not remembered.
  uint64_t
  software (uint64_t stream, uint64_t now_ms)
  {
    org_origin_t origin = {};
    return org_get (&table, stream, now_ms, &origin) > 0 ? origin.software : 0;
  }
  org_table_t table;
};

TEST_F (OriginsTest, LapsesAfterItsTime)
{
  org_put (&table, 7, &kFirst, 1000, 5000);
  EXPECT_EQ (software (7, 5999), 11u);
  EXPECT_EQ (software (7, 6000), 0u);
  org_expire (&table, 6000);
  EXPECT_EQ (table.entries.len, 0u);
}

// Guards against an attempt that is named again and changes what began it.
TEST_F (OriginsTest, TheFirstVersionStays)
{
  org_put (&table, 7, &kFirst, 1000, 0);
  org_put (&table, 7, &kSecond, 1000, 500);
  EXPECT_EQ (software (7, 1400), 11u);
}

TEST_F (OriginsTest, AnUnknownVersionIsReplaced)
{
  org_put (&table, 7, &kUnlisted, 1000, 0);
  org_put (&table, 7, &kFirst, 1000, 0);
  EXPECT_EQ (software (7, 0), 11u);
}

// Guards against callers that make a daemon remember without bound.
TEST_F (OriginsTest, IsBoundedInNumberAndTime)
{
  org_put (&table, 1, &kFirst, 1ULL << 60, 0);
  EXPECT_EQ (software (1, ORG_MAX_TTL_MS), 0u);
  for (uint64_t i = 1; i <= 2 * ORG_MAX_ENTRIES; i++)
    org_put (&table, i, &kFirst, 1000, 0);
  EXPECT_EQ (table.entries.len, (uint32_t)ORG_MAX_ENTRIES);
  EXPECT_EQ (software (1, 0), 0u);
  EXPECT_EQ (software (2 * ORG_MAX_ENTRIES, 0), 11u);
}

TEST_F (OriginsTest, PackedEntriesAreRemembered)
{
  kb_buf_t packed = {};
  org_pack (7, &kFirst, 1000, &packed);
  org_pack (8, &kSecond, 500, &packed);
  ASSERT_TRUE (org_unpack (&table, kb_buf_slice (&packed), 100));
  EXPECT_EQ (software (7, 1000), 11u);
  EXPECT_EQ (software (8, 599), 22u);
  EXPECT_EQ (software (8, 600), 0u);
  kb_slice_t cut = kb_buf_slice (&packed);
  cut.len_bytes--;
  EXPECT_FALSE (org_unpack (&table, cut, 100));
  org_pack (0, &kFirst, 1000, &packed);
  EXPECT_FALSE (org_unpack (&table, kb_buf_slice (&packed), 100));
  kb_buf_finish (&packed);
}

} // namespace
