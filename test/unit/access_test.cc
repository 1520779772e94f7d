// Who is let in: keys, public routes, and knowledge that is too old.
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
  acc_verdict_t
  judge (const uint8_t *digest, uint64_t age_ms = 0, bool is_public = false,
         uint32_t fields = 1)
  {
    acc_request_t request = { fields, digest, is_public };
    acc_freshness_t freshness = { age_ms, bound_ms_ };
    return acc_judge (&table_, &request, &freshness);
  }
  wsp_table_t table_ = {};
  uint8_t red_[WSP_DIGEST_BYTES] = { 1 };
  uint8_t other_[WSP_DIGEST_BYTES] = { 2 };
  uint64_t bound_ms_ = 5000;
};

TEST_F (Access, AKnownKeyNamesItsWorkspace)
{
  acc_verdict_t verdict = judge (red_);
  EXPECT_EQ (verdict.outcome, ACC_ADMITTED);
  EXPECT_STREQ (verdict.workspace->name, "red");
}

TEST_F (Access, NoKeyAndSeveralAreNoKey)
{
  EXPECT_EQ (judge (nullptr, 0, false, 0).outcome, ACC_NO_KEY);
  EXPECT_EQ (judge (nullptr, 0, false, 1).outcome, ACC_NO_KEY);
  EXPECT_EQ (judge (red_, 0, false, 2).outcome, ACC_NO_KEY);
}

// A key that was taken away must not work at a gateway that hears nothing;
// one that it does not know may have been added meanwhile.
TEST_F (Access, KeysAreTrustedAsLongAsTheConfigurationIsFresh)
{
  EXPECT_EQ (judge (red_, acc_trust_ms (5000)).outcome, ACC_ADMITTED);
  EXPECT_EQ (judge (red_, acc_trust_ms (5000) + 1).outcome, ACC_STALE);
  EXPECT_EQ (judge (other_, acc_trust_ms (5000)).outcome, ACC_UNKNOWN_KEY);
  EXPECT_EQ (judge (other_, acc_trust_ms (5000) + 1).outcome, ACC_STALE);
  EXPECT_EQ (judge (nullptr, UINT64_MAX).outcome, ACC_NO_KEY);
  bound_ms_ = 0;
  EXPECT_EQ (judge (red_, UINT64_MAX).outcome, ACC_ADMITTED);
  EXPECT_EQ (judge (other_, UINT64_MAX).outcome, ACC_UNKNOWN_KEY);
}

// The bound is 5 s. A change of which a watch tells a second late, read just
// before, is known by then, and what follows has half a second to spare.
TEST_F (Access, TheTrustLeavesRoomForALateWatch)
{
  EXPECT_LE (acc_trust_ms (5000) + 1000 + 500, 5000u);
}

TEST_F (Access, APublicRouteIsOpenToAll)
{
  EXPECT_EQ (judge (nullptr, UINT64_MAX, true, 0).outcome, ACC_ADMITTED);
  EXPECT_EQ (judge (other_, 0, true).outcome, ACC_ADMITTED);
  EXPECT_EQ (judge (other_, 0, true).workspace, nullptr);
  EXPECT_STREQ (judge (red_, 0, true).workspace->name, "red");
  // It must not act for a workspace that may hold the key no longer.
  EXPECT_EQ (judge (red_, UINT64_MAX, true).workspace, nullptr);
}

TEST_F (Access, WithoutWorkspacesNobodyNeedsAKey)
{
  wsp_table_t none = {};
  acc_request_t request = { 1, other_, false };
  acc_freshness_t freshness = { UINT64_MAX, 5000 };
  acc_verdict_t verdict = acc_judge (&none, &request, &freshness);
  EXPECT_EQ (verdict.outcome, ACC_ADMITTED);
  EXPECT_EQ (verdict.workspace, nullptr);
}

} // namespace
