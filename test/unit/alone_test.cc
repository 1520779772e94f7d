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

// Guards against a target that lets no suspect start for seconds after one
// that broke off at once.
TEST_F (AloneTest, CooldownAfterABrokenStartIsFourTimesTheBlock)
{
  aln_request_t request = suspect ();
  aln_started (&gate_, &request, 1000);
  aln_block_ended (&gate_, &request, 1050);
  aln_ended (&gate_, &request);
  aln_request_t next = suspect ();
  EXPECT_TRUE (aln_is_refused (&gate_, &next, 1050 + 4 * 50 - 1));
  EXPECT_FALSE (aln_is_refused (&gate_, &next, 1050 + 4 * 50));
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

// Guards against a request that is taken for the cause of an end, although
// others were let in before its first byte.
TEST_F (AloneTest, StartIsAloneUntilAnotherOneJoins)
{
  aln_request_t request = suspect ();
  EXPECT_EQ (aln_started (&gate_, &request, 1000), nullptr);
  EXPECT_TRUE (aln_is_still_alone (&request));
  ASSERT_TRUE (aln_may_start (&gate_, &other_, 2000));
  EXPECT_EQ (aln_started (&gate_, &other_, 2000), &request);
  EXPECT_FALSE (aln_is_still_alone (&request));
  aln_request_t third = {};
  EXPECT_EQ (aln_started (&gate_, &third, 2001), nullptr);
  // The next attempt is a new start.
  aln_ended (&gate_, &request);
  aln_first_byte (&gate_, &other_, 2100);
  aln_first_byte (&gate_, &third, 2100);
  aln_started (&gate_, &request, 3000);
  EXPECT_TRUE (aln_is_still_alone (&request));
}

// Guards against a start alone at a target that the request before has ended.
TEST_F (AloneTest, NothingStartsAloneAfterABrokenStartUntilTheTargetAnswers)
{
  aln_started (&gate_, &other_, 1000);
  uint32_t before = gate_.broken_starts;
  aln_ended (&gate_, &other_);
  aln_request_t request = suspect ();
  EXPECT_FALSE (aln_may_start (&gate_, &request, 1400));
  aln_request_t third = {};
  EXPECT_TRUE (aln_may_start (&gate_, &third, 1400));
  // An answer to an earlier question proves nothing.
  aln_confirm_alive (&gate_, before);
  EXPECT_FALSE (aln_may_start (&gate_, &request, 1400));
  aln_confirm_alive (&gate_, gate_.broken_starts);
  EXPECT_TRUE (aln_may_start (&gate_, &request, 1400));
}

TEST_F (AloneTest, EndsSoonAfterTheFirstByteAwaitTheTarget)
{
  aln_started (&gate_, &other_, 1000);
  aln_first_byte (&gate_, &other_, 1050);
  aln_broke_after_first_byte (&gate_);
  aln_ended (&gate_, &other_);
  aln_request_t request = suspect ();
  EXPECT_FALSE (aln_may_start (&gate_, &request, 1400));
  aln_confirm_alive (&gate_, gate_.broken_starts);
  EXPECT_TRUE (aln_may_start (&gate_, &request, 1400));
}

// Guards against a request that counts as alone at an end although another one
// started there after its answer.
TEST_F (AloneTest, NothingStartsAfterAClosedAnswerUntilTheTargetLivesOn)
{
  aln_request_t request = suspect ();
  aln_started (&gate_, &request, 1000);
  aln_first_byte (&gate_, &request, 1050);
  aln_broke_after_first_byte (&gate_);
  aln_closed_alone (&gate_, 1190);
  aln_ended (&gate_, &request);
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1339));
  aln_request_t next = suspect ();
  // Asked too early: it may end later.
  aln_confirm_alive (&gate_, gate_.broken_starts);
  EXPECT_FALSE (aln_settle (&gate_, 1339, 1342));
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1342));
  EXPECT_TRUE (aln_settle (&gate_, 1340, 1345));
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1345));
  EXPECT_TRUE (aln_may_start (&gate_, &next, 1345));
  EXPECT_FALSE (aln_settle (&gate_, 1400, 1402));
}

TEST_F (AloneTest, OnlyOrdinaryRequestsStartWhenNoAnswerComes)
{
  aln_request_t request = suspect ();
  aln_started (&gate_, &request, 1000);
  aln_first_byte (&gate_, &request, 1050);
  aln_broke_after_first_byte (&gate_);
  aln_closed_alone (&gate_, 1100);
  aln_ended (&gate_, &request);
  aln_confirm_alive (&gate_, gate_.broken_starts);
  aln_request_t next = suspect ();
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 1349));
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 1350));
  EXPECT_FALSE (aln_may_start (&gate_, &next, 1350));
}

TEST_F (AloneTest, AnsweredRequestsBreakNoStart)
{
  aln_started (&gate_, &other_, 1000);
  aln_answered (&gate_, &other_);
  aln_ended (&gate_, &other_);
  aln_request_t request = suspect ();
  EXPECT_EQ (gate_.starting, 0u);
  EXPECT_TRUE (aln_may_start (&gate_, &request, 1400));
}

// Guards against a start alone beside one that an earlier process admitted.
TEST_F (AloneTest, NothingStartsAloneJustAfterARestart)
{
  aln_gate_init_running (&gate_, 1000);
  aln_request_t request = suspect ();
  EXPECT_TRUE (aln_is_refused (&gate_, &request, 1999));
  EXPECT_FALSE (aln_is_refused (&gate_, &request, 2000));
  EXPECT_FALSE (aln_is_refused (&gate_, &other_, 1000));
}

// Guards against a request that ends targets so late that others always join
// it before.
TEST_F (AloneTest, PatienceProlongsTheBlock)
{
  aln_request_t request = suspect ();
  request.patience = 2;
  aln_started (&gate_, &request, 1000);
  EXPECT_FALSE (aln_may_start (&gate_, &other_, 4999));
  EXPECT_TRUE (aln_may_start (&gate_, &other_, 5000));
  aln_ended (&gate_, &request);
  request.patience = 100;
  aln_started (&gate_, &request, 10000);
  EXPECT_TRUE (
      aln_may_start (&gate_, &other_, 10000 + (1000 << ALN_MAX_PATIENCE)));
}

} // namespace
