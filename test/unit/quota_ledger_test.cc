// Sliding window of use, and ledgers by which lenders learn of earlier loans.
#include <gtest/gtest.h>

#include <cmath>
#include <string>

extern "C"
{
#include "coordination/quota_ledger.h"
}

namespace
{

constexpr uint64_t kWindowMs = 8000;
constexpr uint64_t kSlotMs = kWindowMs / QWN_WINDOW_SLOTS;
constexpr uint64_t kNow = 1000000;

class Window : public ::testing::Test
{
protected:
  Window () { qwn_init (&window_, kWindowMs, kNow); }
  double
  sum (uint64_t at_ms)
  {
    return qwn_sum (&window_, at_ms);
  }
  qwn_window_t window_;
};

TEST_F (Window, UseCountsForAWindowAndAtMostOneSlotMore)
{
  qwn_add (&window_, 5, kNow, kNow);
  EXPECT_DOUBLE_EQ (sum (kNow + kWindowMs - 1), 5);
  EXPECT_DOUBLE_EQ (sum (kNow + kWindowMs + kSlotMs), 0);
}

TEST_F (Window, FutureUseCountsFromNowOn)
{
  qwn_add (&window_, 5, kNow + 1500, kNow);
  EXPECT_DOUBLE_EQ (sum (kNow), 5);
  EXPECT_DOUBLE_EQ (sum (kNow + 1500 + kWindowMs - 1), 5);
  EXPECT_DOUBLE_EQ (sum (kNow + 1500 + kWindowMs + kSlotMs), 0);
}

// Use beyond the last slot must not be lost.
TEST_F (Window, UseTooFarAheadStillCounts)
{
  qwn_add (&window_, 5, kNow + 60000, kNow);
  EXPECT_DOUBLE_EQ (sum (kNow + kWindowMs), 5);
}

TEST_F (Window, ALongPauseEmptiesIt)
{
  qwn_add (&window_, 5, kNow, kNow);
  EXPECT_DOUBLE_EQ (sum (kNow + 100 * kWindowMs), 0);
  qwn_add (&window_, 3, kNow + 100 * kWindowMs, kNow + 100 * kWindowMs);
  EXPECT_DOUBLE_EQ (sum (kNow + 100 * kWindowMs), 3);
}

TEST_F (Window, SubtractsTheNewestFirstAndNoMoreThanThereIs)
{
  qwn_add (&window_, 5, kNow, kNow);
  qwn_add (&window_, 5, kNow + 4000, kNow + 4000);
  qwn_subtract (&window_, 7, kNow + 4000);
  EXPECT_DOUBLE_EQ (sum (kNow + 4000), 3);
  EXPECT_DOUBLE_EQ (sum (kNow + kWindowMs + kSlotMs), 0);
  qwn_subtract (&window_, 7, kNow + kWindowMs + kSlotMs);
  EXPECT_DOUBLE_EQ (sum (kNow + kWindowMs + kSlotMs), 0);
}

TEST_F (Window, AHistoryHoldsAllUse)
{
  qwn_add (&window_, 1, kNow, kNow);
  qwn_add (&window_, 2, kNow + 3000, kNow + 3000);
  qwn_add (&window_, 4, kNow + 7900, kNow + 7900);
  quo_history_t history;
  qwn_history_at (&window_, kNow + 7900, &history);
  EXPECT_DOUBLE_EQ (quo_history_sum (&history), 7);
  EXPECT_DOUBLE_EQ (history.quarters[0], 4);
  EXPECT_DOUBLE_EQ (history.quarters[3], 1);
  qwn_window_t other;
  qwn_init (&other, kWindowMs, kNow + 7900);
  qwn_add_history (&other, &history, kNow + 7900);
  // Quarters are coarser than slots; use must not expire earlier for that.
  for (uint64_t at_ms = kNow + 7900; at_ms < kNow + 16000; at_ms += 100)
    EXPECT_GE (qwn_sum_at (&other, at_ms), qwn_sum_at (&window_, at_ms));
}

class Ledger : public ::testing::Test
{
protected:
  Ledger ()
  {
    qlg_init (&first_, 100, kWindowMs, kNow);
    qlg_init (&second_, 200, kWindowMs, kNow);
  }
  static std::string
  pack (qlg_ledger_t *ledger, uint64_t now_ms)
  {
    kb_buf_t out = {};
    qlg_pack (ledger, now_ms, &out);
    std::string lines (out.ptr == nullptr ? "" : out.ptr, out.len_bytes);
    kb_buf_finish (&out);
    return lines;
  }
  static void
  merge (qlg_ledger_t *ledger, const std::string &lines, uint64_t age_ms,
         uint64_t now_ms, uint64_t known_until_ms = 0)
  {
    qlg_merge (ledger, { lines.data (), (uint32_t)lines.size () }, age_ms,
               known_until_ms, now_ms);
  }
  qlg_ledger_t first_;
  qlg_ledger_t second_;
};

TEST_F (Ledger, ReportsLoansToTheNextLender)
{
  qlg_add_loan (&first_, 70, kNow + 150, kNow);
  merge (&second_, pack (&first_, kNow), 20, kNow + 20);
  qlg_add_loan (&second_, 5, kNow + 150, kNow + 20);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 20), 75);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 2 * kWindowMs), 0);
}

// Ledgers arrive from gateways in any order, repeatedly and out of date.
TEST_F (Ledger, TheNewestLineOfALenderWins)
{
  qlg_add_loan (&first_, 70, kNow, kNow);
  std::string old = pack (&first_, kNow);
  qlg_add_loan (&first_, 7, kNow + 100, kNow + 100);
  std::string newest = pack (&first_, kNow + 100);
  for (const std::string &lines : { old, newest, old, newest })
    merge (&second_, lines, lines == old ? 200 : 100, kNow + 200);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 200), 77);
}

TEST_F (Ledger, LinesAboutTheOwnLoansAreIgnored)
{
  qlg_add_loan (&first_, 70, kNow, kNow);
  merge (&first_, pack (&first_, kNow), 10, kNow + 10);
  EXPECT_DOUBLE_EQ (qlg_sum (&first_, kNow + 10), 70);
}

// Loans of lenders before the predecessor are passed on as well.
TEST_F (Ledger, IsPassedOnFromLenderToLender)
{
  qlg_add_loan (&first_, 70, kNow, kNow);
  merge (&second_, pack (&first_, kNow), 1000, kNow + 1000);
  qlg_add_loan (&second_, 5, kNow + 1000, kNow + 1000);
  qlg_ledger_t third;
  qlg_init (&third, 300, kWindowMs, kNow + 2000);
  merge (&third, pack (&second_, kNow + 1000), 1000, kNow + 2000);
  EXPECT_DOUBLE_EQ (qlg_sum (&third, kNow + 2000), 75);
  EXPECT_LE (qlg_sum (&third, kNow + 10500), 5);
}

TEST_F (Ledger, LinesAreBounded)
{
  for (uint64_t i = 0; i < 20; i++)
    {
      qlg_ledger_t other;
      qlg_init (&other, 1000 + i, kWindowMs, kNow + i);
      qlg_add_loan (&other, 1, kNow + i, kNow + i);
      merge (&first_, pack (&other, kNow + i), 0, kNow + i);
    }
  qlg_add_loan (&first_, 1, kNow + 30, kNow + 30);
  std::string lines = pack (&first_, kNow + 30);
  EXPECT_EQ (lines.size (), QLG_MAX_LENDERS * sizeof (qlg_line_t));
  EXPECT_LE (lines.size (), (size_t)QLG_MAX_BYTES);
  EXPECT_TRUE (qlg_is_valid ({ lines.data (), (uint32_t)lines.size () }));
}

TEST_F (Ledger, InvalidLinesAreDetected)
{
  qlg_line_t line = { 7, 1, 0, { 1, 1, 1, 1 } };
  auto is_valid = [&line] (uint32_t len_bytes = sizeof line) {
    return qlg_is_valid ({ (const char *)&line, len_bytes });
  };
  EXPECT_TRUE (is_valid ());
  EXPECT_FALSE (is_valid (sizeof line - 1));
  line.quarters[2] = -1;
  EXPECT_FALSE (is_valid ());
  line.quarters[2] = NAN;
  EXPECT_FALSE (is_valid ());
  line.quarters[2] = 1;
  line.lender = 0;
  EXPECT_FALSE (is_valid ());
  std::string many (QLG_MAX_BYTES + sizeof line, 'x');
  EXPECT_FALSE (qlg_is_valid ({ many.data (), (uint32_t)many.size () }));
}

// An age from before the clock's start, which overflows when it is summed.
TEST_F (Ledger, AnImpossibleAgeIsIgnored)
{
  qlg_line_t line = { 7, 1, UINT64_MAX, { 1, 1, 1, 1 } };
  std::string lines ((const char *)&line, sizeof line);
  merge (&first_, lines, 10, kNow);
  EXPECT_DOUBLE_EQ (qlg_sum (&first_, kNow), 0);
}

TEST_F (Ledger, LearnedLoansReplaceAssumedOnes)
{
  qlg_add_loan (&first_, 30, kNow, kNow);
  std::string first_ledger = pack (&first_, kNow);
  qlg_assume_unknown (&second_, 0, 100, 500, kNow + 1000);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 1000), 100);
  merge (&second_, first_ledger, 1000, kNow + 1000);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 1000), 100);
  qlg_forget_unknown (&second_, kNow + 1000);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 1000), 30);
}

// After a restart of all daemons the quota continues at its rate.
TEST_F (Ledger, AssumedLoansExpireAtTheRate)
{
  qlg_assume_unknown (&first_, 10, 30, 500, kNow);
  EXPECT_NEAR (qlg_sum (&first_, kNow), 10 * 7.5 + 30, 2);
  EXPECT_NEAR (qlg_sum (&first_, kNow + 4000), 10 * 3.5 + 30, 2);
  EXPECT_DOUBLE_EQ (qlg_sum (&first_, kNow + 7800), 0);
  EXPECT_EQ (qlg_unknown_until_ms (&first_, kNow), kNow - 500);
  // An assumption for an earlier time changes nothing.
  qlg_assume_unknown (&first_, 10, 30, 600, kNow);
  EXPECT_EQ (qlg_unknown_until_ms (&first_, kNow), kNow - 500);
}

TEST_F (Ledger, UnknownLoansThatAreKnownHereAreNotMerged)
{
  qlg_assume_unknown (&first_, 0, 100, 500, kNow + 1000);
  std::string lines = pack (&first_, kNow + 1000);
  EXPECT_TRUE (qlg_has_unknown ({ lines.data (), (uint32_t)lines.size () }));
  merge (&second_, lines, 0, kNow + 1000, kNow + 900);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 1000), 0);
  merge (&second_, lines, 0, kNow + 1000);
  EXPECT_DOUBLE_EQ (qlg_sum (&second_, kNow + 1000), 100);
}

TEST_F (Ledger, ALowerLimitScalesEarlierLoans)
{
  qlg_add_loan (&second_, 30, kNow, kNow);
  merge (&first_, pack (&second_, kNow), 0, kNow);
  qlg_add_loan (&first_, 70, kNow, kNow);
  qlg_scale (&first_, 0.5);
  EXPECT_DOUBLE_EQ (qlg_sum (&first_, kNow), 50);
}

TEST_F (Ledger, ReportsWhenTheSumHasFallen)
{
  qlg_add_loan (&first_, 70, kNow, kNow);
  qlg_add_loan (&first_, 30, kNow + 4000, kNow + 4000);
  EXPECT_EQ (qlg_time_to_ms (&first_, 100, kNow + 4000), 0u);
  uint64_t wait_ms = qlg_time_to_ms (&first_, 30, kNow + 4000);
  EXPECT_LE (qlg_sum (&first_, kNow + 4000 + wait_ms), 30);
  EXPECT_LE (wait_ms, 4000 + 2 * kSlotMs);
  EXPECT_GT (wait_ms, 3000u);
}

} // namespace
