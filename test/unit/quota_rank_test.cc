// Which sidecar lends, and since when it has been the first.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/quota_rank.h"
}

namespace
{

enum
{
  NOW_MS = 9000,
};

qrk_candidate_t
candidate (uint64_t rank, uint64_t contact_since_ms,
           uint64_t contact_lost_ms = 0)
{
  return qrk_candidate_t{ rank, rank, 1, contact_since_ms, contact_lost_ms };
}

/// @return  A ranking in which 20, 30 and 10 are reachable.
qrk_ranking_t
three_reachable (uint64_t removed_ms = 0)
{
  qrk_ranking_t rank;
  qrk_init (&rank, removed_ms);
  for (auto [number, since_ms] : { std::pair<uint64_t, uint64_t>{ 20, 500 },
                                   { 30, 1000 },
                                   { 10, 8000 } })
    {
      qrk_candidate_t reachable = candidate (number, since_ms);
      qrk_add (&rank, &reachable, NOW_MS);
    }
  return rank;
}

TEST (QuotaRank, TheHighestReachableLendsAndTheNextFollows)
{
  qrk_ranking_t rank = three_reachable ();
  EXPECT_EQ (rank.first.link, 30u);
  EXPECT_EQ (rank.second.link, 20u);
  EXPECT_EQ (qrk_first_since_ms (&rank), 1000u);
}

// Guards against a lender that counts as new whenever a lower one changes.
TEST (QuotaRank, LowerRankedChangesDoNotMakeTheFirstNew)
{
  qrk_ranking_t rank = three_reachable ();
  qrk_candidate_t worse = candidate (25, 0, 8500);
  qrk_add_unreachable (&rank, &worse);
  EXPECT_EQ (qrk_first_since_ms (&rank), 1000u);
}

// Guards against two lenders that each lend the whole quota.
TEST (QuotaRank, TheFirstIsNewSinceAHigherOneWasReachable)
{
  qrk_ranking_t rank = three_reachable ();
  qrk_candidate_t better = candidate (40, 0, 7000);
  qrk_add_unreachable (&rank, &better);
  EXPECT_EQ (qrk_first_since_ms (&rank), 7000u);
  qrk_ranking_t removed = three_reachable (6000);
  EXPECT_EQ (qrk_first_since_ms (&removed), 6000u);
  qrk_ranking_t back = three_reachable ();
  qrk_candidate_t just_reached = candidate (50, 0);
  qrk_add (&back, &just_reached, NOW_MS);
  EXPECT_EQ (back.first.link, 50u);
  EXPECT_EQ (qrk_first_since_ms (&back), (uint64_t)NOW_MS);
}

} // namespace
