// Adapters that an engine held recently.
#include <gtest/gtest.h>

extern "C"
{
#include "gateway/recent.h"
}

namespace
{

class RecentTest : public ::testing::Test
{
protected:
  void
  TearDown () override
  {
    rct_adapters_finish (&recent);
  }
  rct_adapters_t recent = {};
};

TEST_F (RecentTest, RemembersHeldVersions)
{
  EXPECT_FALSE (rct_was_held (&recent, 7, 0));
  rct_add (&recent, 7, 3);
  EXPECT_TRUE (rct_was_held (&recent, 7, 0));
  EXPECT_TRUE (rct_was_held (&recent, 7, 3));
}

// Guards against treating the copy of an older version as the newer one, which
// has to be fetched from the weight store.
TEST_F (RecentTest, NewerVersionIsNotHeld)
{
  rct_add (&recent, 7, 3);
  EXPECT_FALSE (rct_was_held (&recent, 7, 4));
  rct_add (&recent, 7, 4);
  EXPECT_TRUE (rct_was_held (&recent, 7, 4));
}

TEST_F (RecentTest, ClearForgetsAll)
{
  rct_add (&recent, 7, 3);
  rct_adapters_clear (&recent);
  EXPECT_FALSE (rct_was_held (&recent, 7, 0));
}

// Guards against unbounded memory use with many adapters, and against counting
// on an adapter that was held long ago.
TEST_F (RecentTest, OldestIsEvicted)
{
  for (uint64_t key = 1; key <= 3 * RCT_MAX_ADAPTERS; key++)
    rct_add (&recent, key, 1);
  EXPECT_FALSE (rct_was_held (&recent, 2 * RCT_MAX_ADAPTERS, 0));
  EXPECT_TRUE (rct_was_held (&recent, 2 * RCT_MAX_ADAPTERS + 1, 0));
  EXPECT_EQ (recent.versions.len, (uint32_t)RCT_MAX_ADAPTERS);
}

} // namespace
