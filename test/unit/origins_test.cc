// What began a stream, as daemons remember it.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/origins.h"
}

namespace
{

constexpr org_origin_t kFirst = { 1, 11, 111, 0 };
constexpr org_origin_t kSecond = { 1, 22, 222, 0 };
constexpr org_origin_t kUnlisted = { 1, 0, 111, 0 };
constexpr org_origin_t kOfAdapter = { 1, 11, 111, 5 };

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
  /// @return  The version of the adapter that began a stream; zero: not known.
  uint64_t
  adapter_version (uint64_t stream)
  {
    org_origin_t origin = {};
    return org_get (&table, stream, 0, &origin) > 0 ? origin.adapter_version
                                                    : 0;
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
  org_packed_t packed = {};
  org_pack (7, &kFirst, 1000, &packed);
  org_pack (8, &kSecond, 500, &packed);
  kb_slice_t versions = kb_buf_slice (&packed.adapter_versions);
  ASSERT_TRUE (
      org_unpack (&table, kb_buf_slice (&packed.records), versions, 100));
  EXPECT_EQ (software (7, 1000), 11u);
  EXPECT_EQ (software (8, 599), 22u);
  EXPECT_EQ (software (8, 600), 0u);
  kb_slice_t cut = kb_buf_slice (&packed.records);
  cut.len_bytes--;
  EXPECT_FALSE (org_unpack (&table, cut, versions, 100));
  kb_slice_t one_version = { versions.ptr, sizeof (uint64_t) };
  EXPECT_FALSE (
      org_unpack (&table, kb_buf_slice (&packed.records), one_version, 100));
  org_pack (0, &kFirst, 1000, &packed);
  EXPECT_FALSE (org_unpack (&table, kb_buf_slice (&packed.records),
                            kb_buf_slice (&packed.adapter_versions), 100));
  org_packed_finish (&packed);
}

// Guards against an adapter's version that is lost on its way, or is made up
// for a daemon that doesn't send any.
TEST_F (OriginsTest, PackedAdapterVersionsAreRememberedIfTheyAreSent)
{
  org_packed_t packed = {};
  org_pack (7, &kOfAdapter, 1000, &packed);
  org_pack (8, &kFirst, 1000, &packed);
  kb_slice_t records = kb_buf_slice (&packed.records);
  // The form that daemons without adapter versions read and write.
  EXPECT_EQ (records.len_bytes, 2 * 5 * sizeof (uint64_t));
  ASSERT_TRUE (org_unpack (&table, records, kb_slice_t{}, 0));
  EXPECT_EQ (software (7, 0), 11u);
  EXPECT_EQ (adapter_version (7), 0u);
  ASSERT_TRUE (org_unpack (&table, records,
                           kb_buf_slice (&packed.adapter_versions), 0));
  EXPECT_EQ (adapter_version (7), 5u);
  EXPECT_EQ (adapter_version (8), 0u);
  org_packed_finish (&packed);
}

// Guards against a known version that is replaced by an unknown one, or by
// that of a later answer.
TEST_F (OriginsTest, AKnownAdapterVersionStays)
{
  constexpr org_origin_t kUnlistedOfAdapter = { 1, 0, 111, 5 };
  constexpr org_origin_t kLater = { 1, 11, 111, 6 };
  org_put (&table, 7, &kUnlistedOfAdapter, 1000, 0);
  for (const org_origin_t &other : { kUnlisted, kFirst, kLater })
    {
      org_put (&table, 7, &other, 1000, 0);
      EXPECT_EQ (adapter_version (7), 5u);
    }
  EXPECT_EQ (software (7, 0), 11u);
}

} // namespace
