// Requests that begin at a target while no other one does.
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

TEST_F (AloneTest, OthersNeverWaitForEachOther)
{
  aln_request_t second = {};
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1000));
  aln_started (&gate_, &other_, 1000);
  EXPECT_TRUE (aln_may_start (&gate_, &second, 1000));
}

TEST_F (AloneTest, NobodyStartsWhileOneBeginsAlone)
{
  aln_request_t request = suspect ();
  ASSERT_TRUE (aln_may_start (&gate_, &request, 1000));
  aln_started (&gate_, &request, 1000);
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1100));
  aln_first_byte (&gate_, &request, 1100);
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1100 + ALN_STARTUP_MS - 1));
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1100 + ALN_STARTUP_MS));
}

// A stream goes on for seconds after its first event. What happens to it then
// is nothing of the others'.
TEST_F (AloneTest, TheRestOfARunKeepsNobodyBack)
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

TEST_F (AloneTest, TheTargetRestsForFourTimesAsLong)
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

// One that hangs before its first byte keeps a suspect waiting; each new
// suspect would keep the others back for half a second more.
TEST_F (AloneTest, WaitingInVainIsFollowedByRest)
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
