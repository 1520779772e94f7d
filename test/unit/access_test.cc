// Authorization: keys, public routes, and an outdated configuration.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/access.h"
}

namespace
{

class Access : public ::testing::Test
{
protected:
  Access ()
  {
    table_.is_key_required = true;
    wsp_add (&table_, "red");
    wsp_add_key (&table_, red_);
    wsp_seal (&table_);
  }
  ~Access () override { wsp_finish (&table_); }
  acc_result_t
  authorize (const uint8_t *digest, uint64_t age_ms = 0,
             bool is_public = false, uint32_t fields = 1)
  {
    acc_request_t request = { fields, digest, is_public };
    acc_freshness_t freshness = { age_ms, bound_ms_ };
    return acc_authorize (&table_, &request, &freshness);
  }
  wsp_table_t table_ = {};
  uint8_t red_[WSP_DIGEST_BYTES] = { 1 };
  uint8_t other_[WSP_DIGEST_BYTES] = { 2 };
  uint64_t bound_ms_ = 5000;
};

TEST_F (Access, KnownKeyYieldsItsWorkspace)
{
  acc_result_t result = authorize (red_);
  EXPECT_EQ (result.outcome, ACC_ADMITTED);
  EXPECT_STREQ (result.workspace->name, "red");
}

TEST_F (Access, MissingAndMultipleKeysAreNoKey)
{
  EXPECT_EQ (authorize (nullptr, 0, false, 0).outcome, ACC_NO_KEY);
  EXPECT_EQ (authorize (nullptr, 0, false, 1).outcome, ACC_NO_KEY);
  EXPECT_EQ (authorize (red_, 0, false, 2).outcome, ACC_NO_KEY);
}

// A removed key must not work at a gateway that receives no configuration; an
// unknown key may have been added meanwhile.
TEST_F (Access, KeysAreAcceptedWhileTheConfigurationIsFresh)
{
  EXPECT_EQ (authorize (red_, acc_max_age_ms (5000)).outcome, ACC_ADMITTED);
  EXPECT_EQ (authorize (red_, acc_max_age_ms (5000) + 1).outcome, ACC_STALE);
  EXPECT_EQ (authorize (other_, acc_max_age_ms (5000)).outcome,
             ACC_UNKNOWN_KEY);
  EXPECT_EQ (authorize (other_, acc_max_age_ms (5000) + 1).outcome, ACC_STALE);
  EXPECT_EQ (authorize (nullptr, UINT64_MAX).outcome, ACC_NO_KEY);
  bound_ms_ = 0;
  EXPECT_EQ (authorize (red_, UINT64_MAX).outcome, ACC_ADMITTED);
  EXPECT_EQ (authorize (other_, UINT64_MAX).outcome, ACC_UNKNOWN_KEY);
}

// The bound is 5 s. It must cover the maximum age, a change that a watch
// reports a second late, and half a second for what follows.
TEST_F (Access, MaxAgeLeavesRoomForALateWatch)
{
  EXPECT_LE (acc_max_age_ms (5000) + 1000 + 500, 5000u);
}

TEST_F (Access, PublicRouteNeedsNoKey)
{
  EXPECT_EQ (authorize (nullptr, UINT64_MAX, true, 0).outcome, ACC_ADMITTED);
  EXPECT_EQ (authorize (other_, 0, true).outcome, ACC_ADMITTED);
  EXPECT_EQ (authorize (other_, 0, true).workspace, nullptr);
  EXPECT_STREQ (authorize (red_, 0, true).workspace->name, "red");
  // It must not act for a workspace that may no longer have the key.
  EXPECT_EQ (authorize (red_, UINT64_MAX, true).workspace, nullptr);
}

TEST_F (Access, NoKeyIsNeededWithoutWorkspaces)
{
  wsp_table_t none = {};
  acc_request_t request = { 1, other_, false };
  acc_freshness_t freshness = { UINT64_MAX, 5000 };
  acc_result_t result = acc_authorize (&none, &request, &freshness);
  EXPECT_EQ (result.outcome, ACC_ADMITTED);
  EXPECT_EQ (result.workspace, nullptr);
}

} // namespace
