// Requests that start at a target while no other one starts there.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/alone.h"
}

namespace
{

class AloneTest : public ::testing::Test
{
protected:
  static aln_request_t
  suspect ()
  {
    aln_request_t request = {};
    request.is_alone = true;
    return request;
  }
  aln_gate_t gate_ = {};
  aln_request_t other_ = {};
};

TEST_F (AloneTest, OrdinaryRequestsStartTogether)
{
  aln_request_t second = {};
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1000));
  aln_started (&gate_, &other_, 1000);
  EXPECT_TRUE (aln_may_start (&gate_, &second, 1000));
}

TEST_F (AloneTest, NothingStartsWhileARequestStartsAlone)
{
  aln_request_t request = suspect ();
  ASSERT_TRUE (aln_may_start (&gate_, &request, 1000));
  aln_started (&gate_, &request, 1000);
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1100));
  aln_first_byte (&gate_, &request, 1100);
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1100 + ALN_STARTUP_MS - 1));
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1100 + ALN_STARTUP_MS));
}

// A stream runs for seconds after its first event; that part must not block
// other requests.
TEST_F (AloneTest, RunBlocksNothingAfterItsStart)
{
  aln_request_t request = suspect ();
  aln_started (&gate_, &request, 1000);
  aln_first_byte (&gate_, &request, 1050);
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1300));
  aln_started (&gate_, &other_, 1300);
  aln_ended (&gate_, &request);
  EXPECT_EQ (gate_.starting, 1u);
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1301));
}

TEST_F (AloneTest, CooldownIsFourTimesTheBlock)
{
  aln_request_t request = suspect ();
  aln_started (&gate_, &request, 1000);
  aln_first_byte (&gate_, &request, 1100);
  aln_request_t next = suspect ();
  uint64_t over_ms = 1100 + ALN_STARTUP_MS;
  uint64_t rested_ms = over_ms + 4 * (over_ms - 1000);
  EXPECT_TRUE (aln_is_refused (&gate_, &next, rested_ms - 1));
  EXPECT_FALSE (aln_is_refused (&gate_, &next, rested_ms));
  EXPECT_FALSE (aln_is_refused (&gate_, &other_, over_ms));
}

// A request that hangs before its first byte keeps a suspect waiting. Without
// a cooldown each new suspect would block the others for another 500 ms.
TEST_F (AloneTest, UnsuccessfulWaitIsFollowedByCooldown)
{
  aln_started (&gate_, &other_, 1000);
  aln_request_t request = suspect ();
  EXPECT_FALSE (aln_may_start (&gate_, &request, 1000));
  EXPECT_FALSE (aln_is_refused (&gate_, &request, 1500));
  EXPECT_TRUE (aln_is_refused (&gate_, &request, 1501));
  aln_ended (&gate_, &request);
  aln_request_t next = suspect ();
  EXPECT_TRUE (aln_is_refused (&gate_, &next, 3499));
  EXPECT_FALSE (aln_is_refused (&gate_, &next, 3500));
}

} // namespace
