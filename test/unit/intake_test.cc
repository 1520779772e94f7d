// Which new connections an entry accepts: decisions, and a model of an entry
// that is short of its processor.
#include <gtest/gtest.h>

#include <deque>
#include <random>

extern "C"
{
#include "coordination/intake.h"
}

namespace
{

class IntakeTest : public testing::Test
{
protected:
  IntakeTest () { itk_init (&intake_); }
  int
  accept_all ()
  {
    int count = 0;
    while (count < 1000 && itk_accept (&intake_, now_ms_))
      count++;
    return count;
  }
  /// A period in which connections to targets take this long.
  void
  pass_path (uint64_t took_ms, int periods)
  {
    for (int i = 0; i < periods * 10; i++)
      {
        now_ms_ += 25;
        itk_record_path (&intake_, took_ms * 1000, now_ms_);
      }
  }
  itk_intake_t intake_;
  uint64_t now_ms_ = 100000;
};

TEST_F (IntakeTest, AcceptsABatchAfterEachIdleMoment)
{
  EXPECT_EQ (accept_all (), ITK_BATCH);
  EXPECT_EQ (accept_all (), 0);
  itk_idle (&intake_);
  EXPECT_EQ (accept_all (), ITK_BATCH);
}

// Guards against an entry that is silent for as long as it is busy.
TEST_F (IntakeTest, ABusyEntryAcceptsOneNowAndThen)
{
  accept_all ();
  now_ms_ += ITK_TRICKLE_MS;
  EXPECT_EQ (accept_all (), 1);
}

TEST_F (IntakeTest, ConnectionsThatWaitedTooLongAreTurnedAway)
{
  accept_all ();
  now_ms_ += ITK_MAX_WAIT_MS - 1;
  EXPECT_FALSE (itk_must_turn_away (&intake_, now_ms_));
  now_ms_ += 1;
  EXPECT_TRUE (itk_must_turn_away (&intake_, now_ms_));
  EXPECT_EQ (itk_turned_away (&intake_, now_ms_), 0U);
  EXPECT_FALSE (itk_must_turn_away (&intake_, now_ms_));
}

// Guards against turning away connections that wait for a moment each, because
// there is always another one.
TEST_F (IntakeTest, ConnectionsThatFollowEachOtherAreNotTurnedAway)
{
  for (int i = 0; i < 20 * ITK_MAX_WAIT_MS; i++)
    {
      accept_all ();
      itk_count_waiting (&intake_, 2 * ITK_BATCH, now_ms_);
      ASSERT_FALSE (itk_must_turn_away (&intake_, now_ms_)) << i;
      now_ms_++;
      itk_idle (&intake_);
    }
}

// Guards against connections that wait for too long though others are accepted
// all the time.
TEST_F (IntakeTest, ALongQueueIsTurnedAwayWhileItIsAccepted)
{
  accept_all ();
  itk_count_waiting (&intake_, 2 * ITK_BATCH * ITK_MAX_WAIT_MS, now_ms_);
  for (int i = 0; i < ITK_MAX_WAIT_MS; i++)
    {
      ASSERT_FALSE (itk_must_turn_away (&intake_, now_ms_)) << i;
      now_ms_++;
      itk_idle (&intake_);
      accept_all ();
    }
  EXPECT_TRUE (itk_must_turn_away (&intake_, now_ms_));
}

// Guards against a count of earlier connections that is applied to those that
// came after all had been accepted.
TEST_F (IntakeTest, ACountEndsWhenNoneWaits)
{
  accept_all ();
  itk_count_waiting (&intake_, 1, now_ms_);
  itk_idle (&intake_);
  itk_none_waits (&intake_);
  now_ms_ += 10 * ITK_MAX_WAIT_MS;
  accept_all ();
  EXPECT_FALSE (itk_must_turn_away (&intake_, now_ms_));
  now_ms_ += ITK_MAX_WAIT_MS - 1;
  EXPECT_FALSE (itk_must_turn_away (&intake_, now_ms_));
  now_ms_ += 1;
  EXPECT_TRUE (itk_must_turn_away (&intake_, now_ms_));
}

// Guards against an entry that leaves its rotation for a moment of load.
TEST_F (IntakeTest, OneTimeOfTurningAwayLeavesItReady)
{
  itk_turned_away (&intake_, now_ms_);
  EXPECT_FALSE (itk_is_short (&intake_, now_ms_));
  now_ms_ += 5000;
  itk_turned_away (&intake_, now_ms_);
  EXPECT_FALSE (itk_is_short (&intake_, now_ms_));
}

TEST_F (IntakeTest, ASeriesMakesItShortUntilTwoSecondsAfterIt)
{
  for (int i = 0; i < 5; i++, now_ms_ += 300)
    itk_turned_away (&intake_, now_ms_);
  EXPECT_TRUE (itk_is_short (&intake_, now_ms_));
  now_ms_ += 1500;
  EXPECT_TRUE (itk_is_short (&intake_, now_ms_));
  now_ms_ += 500;
  EXPECT_FALSE (itk_is_short (&intake_, now_ms_));
}

TEST_F (IntakeTest, WithoutRoomOnlyTheTrickleIsAccepted)
{
  accept_all ();
  itk_set_room (&intake_, false);
  itk_idle (&intake_);
  EXPECT_EQ (accept_all (), 0);
  itk_set_room (&intake_, true);
  itk_idle (&intake_);
  EXPECT_EQ (accept_all (), ITK_BATCH);
}

// Guards against a far target, or a slow one among others, that is taken for
// a slow way.
TEST_F (IntakeTest, TheFastestOfAPeriodIsComparedWithTheUsual)
{
  pass_path (80, 8);
  EXPECT_FALSE (itk_is_path_slow (&intake_, now_ms_));
  for (int i = 0; i < 40; i++)
    {
      now_ms_ += 25;
      itk_record_path (&intake_, i % 4 == 0 ? 80000 : 400000, now_ms_);
    }
  EXPECT_FALSE (itk_is_path_slow (&intake_, now_ms_));
  pass_path (250, 2);
  EXPECT_TRUE (itk_is_path_slow (&intake_, now_ms_));
}

TEST_F (IntakeTest, ASlowWayLimitsTheRateAndNewConnectionsAreRefused)
{
  pass_path (2, 8);
  for (int i = 0; i < 100; i++, now_ms_ += 10)
    {
      itk_idle (&intake_);
      itk_accept (&intake_, now_ms_);
    }
  EXPECT_EQ (intake_.rate_per_s, 0);
  pass_path (300, 2);
  EXPECT_GT (intake_.rate_per_s, 0);
  EXPECT_LE (intake_.rate_per_s, 70);
  EXPECT_GT (itk_turned_away (&intake_, now_ms_), 0U);
}

// Guards against a limit that outlives its cause.
TEST_F (IntakeTest, TheLimitIsGoneSoonAfterTheWayIsFastAgain)
{
  pass_path (2, 8);
  for (int i = 0; i < 100; i++, now_ms_ += 10)
    {
      itk_idle (&intake_);
      itk_accept (&intake_, now_ms_);
    }
  pass_path (300, 12);
  EXPECT_LE (intake_.rate_per_s, 40);
  pass_path (2, 5);
  EXPECT_TRUE (intake_.rate_per_s == 0 || intake_.rate_per_s >= 60)
      << intake_.rate_per_s;
  pass_path (2, 45);
  EXPECT_EQ (intake_.rate_per_s, 0);
}

/// Entries with one queue of work each. A request is one connection and some
/// steps of work, one after the other; a caller gives up after its deadline.
class Model
{
public:
  struct Result
  {
    int offered = 0;
    int served = 0;
    int lost = 0;        ///< Read, and not served in time.
    int turned_away = 0; ///< Unread, by the last entry that they tried.
  };
  Model (int entries, double capacity_per_s, bool has_intake, uint32_t seed)
      : entries_ ((size_t)entries), capacity_per_s_ (capacity_per_s),
        has_intake_ (has_intake), random_ (seed)
  {
    for (Entry &entry : entries_)
      itk_init (&entry.intake);
  }
  /// @param skew  Share that goes to the first entry.
  Result
  run (double load_per_s, double skew, uint64_t duration_ms)
  {
    Result result;
    uint64_t end_ms = now_ms_ + duration_ms;
    for (; now_ms_ < end_ms; now_ms_++)
      {
        due_ += load_per_s / 1000;
        for (; due_ >= 1; due_--)
          {
            result.offered++;
            arrive (skew);
          }
        for (Entry &entry : entries_)
          work (entry, &result);
      }
    return result;
  }

private:
  static constexpr int kSteps = 4;
  static constexpr uint64_t kDeadlineMs = 1500;
  static constexpr int kMaxTries = 3;
  struct Request
  {
    uint64_t arrived_ms;
    int steps;
    int tries;
  };
  struct Entry
  {
    itk_intake_t intake;
    std::deque<Request> backlog; ///< Not accepted.
    std::deque<Request> ready;
    double work = 0; ///< Steps that the processor can still do.
  };

  void
  put (Request request, size_t at)
  {
    entries_[at].backlog.push_back (request);
  }
  void
  arrive (double skew)
  {
    bool is_first = std::uniform_real_distribution<> () (random_) < skew;
    put ({ now_ms_, kSteps, 1 }, is_first ? 0 : any ());
  }
  size_t
  any ()
  {
    return std::uniform_int_distribution<size_t> (0, entries_.size ()
                                                         - 1) (random_);
  }
  void
  accept (Entry &entry)
  {
    entry.ready.push_back (entry.backlog.front ());
    entry.backlog.pop_front ();
  }
  /// One round of the event loop: what is ready, then new connections.
  void
  work (Entry &entry, Result *result)
  {
    entry.work = std::min (entry.work + capacity_per_s_ * kSteps / 1000, 4.0);
    while (entry.work >= 1 && !entry.ready.empty ())
      {
        entry.work--;
        Request request = entry.ready.front ();
        entry.ready.pop_front ();
        if (--request.steps > 0)
          entry.ready.push_back (request);
        else if (now_ms_ - request.arrived_ms <= kDeadlineMs)
          result->served++;
        else
          result->lost++;
      }
    if (!has_intake_)
      {
        while (!entry.backlog.empty ())
          accept (entry);
        return;
      }
    if (entry.ready.empty ())
      itk_idle (&entry.intake);
    while (!entry.backlog.empty () && itk_accept (&entry.intake, now_ms_))
      accept (entry);
    if (entry.backlog.empty ())
      itk_none_waits (&entry.intake);
    else if (itk_must_turn_away (&entry.intake, now_ms_))
      turn_away (entry, result);
  }
  void
  turn_away (Entry &entry, Result *result)
  {
    itk_turned_away (&entry.intake, now_ms_);
    std::deque<Request> away;
    away.swap (entry.backlog);
    for (Request &request : away)
      if (request.tries++ >= kMaxTries)
        result->turned_away++;
      else
        put (request, any ());
  }
  std::vector<Entry> entries_;
  double capacity_per_s_;
  bool has_intake_;
  std::mt19937 random_;
  uint64_t now_ms_ = 1000;
  double due_ = 0;
};

// Guards against goodput that falls as the load rises beyond what an entry can
// carry, and against requests that are read and lost.
TEST (IntakeModel, GoodputHoldsAtTwiceAndTenTimesWhatAnEntryCanCarry)
{
  for (double capacity_per_s : { 20.0, 100.0, 400.0 })
    for (double times : { 2.0, 10.0 })
      {
        Model model (1, capacity_per_s, true, 58);
        model.run (capacity_per_s * 0.5, 1, 2000);
        Model::Result result = model.run (capacity_per_s * times, 1, 20000);
        EXPECT_GE (result.served, 0.9 * capacity_per_s * 20)
            << capacity_per_s << "/s, " << times << " times";
        EXPECT_EQ (result.lost, 0)
            << capacity_per_s << "/s, " << times << " times";
      }
}

// Guards against a model in which the decisions make no difference.
TEST (IntakeModel, WithoutTheDecisionsGoodputCollapses)
{
  Model model (1, 100, false, 58);
  Model::Result result = model.run (1000, 1, 20000);
  EXPECT_LT (result.served, 0.3 * 100 * 20);
}

// Guards against load that the other entries could carry and that is lost at
// the one to which it was sent.
TEST (IntakeModel, WhatOneEntryTurnsAwayIsServedByOthers)
{
  for (int entries : { 2, 4, 25 })
    {
      Model model (entries, 100, true, 58);
      double load_per_s = 0.6 * 100 * entries;
      Model::Result result = model.run (load_per_s, 0.9, 20000);
      EXPECT_GE (result.served, 0.95 * result.offered) << entries;
      EXPECT_LE (result.lost, 0.01 * result.offered) << entries;
    }
}

// Guards against an entry that turns callers away after its load has fallen.
TEST (IntakeModel, FullServiceWithinASecondAfterTheLoadFalls)
{
  for (double capacity_per_s : { 20.0, 100.0, 400.0 })
    {
      Model model (1, capacity_per_s, true, 58);
      model.run (capacity_per_s * 10, 1, 10000);
      model.run (capacity_per_s * 0.7, 1, 1000);
      Model::Result result = model.run (capacity_per_s * 0.7, 1, 5000);
      EXPECT_EQ (result.turned_away, 0) << capacity_per_s;
      EXPECT_GE (result.served, result.offered - 5) << capacity_per_s;
    }
}

} // namespace
