// Which sidecar lends, and since when it would have been named.
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

qrk_place_t
place (uint64_t rank, uint64_t heard_since_ms, uint64_t silent_ms = 0)
{
  return qrk_place_t{ rank, rank, 1, heard_since_ms, silent_ms };
}

/// Ranks 20, 30 and 10 are heard.
qrk_rank_t
three_heard (uint64_t left_ms = 0)
{
  qrk_rank_t rank;
  qrk_init (&rank, left_ms);
  for (auto [number, since_ms] : { std::pair<uint64_t, uint64_t>{ 20, 500 },
                                   { 30, 1000 },
                                   { 10, 8000 } })
    {
      qrk_place_t heard = place (number, since_ms);
      qrk_add (&rank, &heard, NOW_MS);
    }
  return rank;
}

TEST (QuotaRank, TheBestOfThoseHeardLendsAndTheNextFollows)
{
  qrk_rank_t rank = three_heard ();
  EXPECT_EQ (rank.first.link, 30u);
  EXPECT_EQ (rank.second.link, 20u);
  EXPECT_EQ (qrk_first_since_ms (&rank), 1000u);
}

// Guards against a lender that seems new whenever another comes or goes.
TEST (QuotaRank, OthersThatComeAndGoDoNotMakeTheFirstNew)
{
  qrk_rank_t rank = three_heard ();
  qrk_place_t worse = place (25, 0, 8500);
  qrk_note_silent (&rank, &worse);
  EXPECT_EQ (qrk_first_since_ms (&rank), 1000u);
}

// Guards against two lenders that both lend all.
TEST (QuotaRank, TheFirstIsNewSinceABetterOneWasThere)
{
  qrk_rank_t rank = three_heard ();
  qrk_place_t better = place (40, 0, 7000);
  qrk_note_silent (&rank, &better);
  EXPECT_EQ (qrk_first_since_ms (&rank), 7000u);
  qrk_rank_t left = three_heard (6000);
  EXPECT_EQ (qrk_first_since_ms (&left), 6000u);
  qrk_rank_t back = three_heard ();
  qrk_place_t just_heard = place (50, 0);
  qrk_add (&back, &just_heard, NOW_MS);
  EXPECT_EQ (back.first.link, 50u);
  EXPECT_EQ (qrk_first_since_ms (&back), (uint64_t)NOW_MS);
}

} // namespace
