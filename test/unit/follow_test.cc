// When the store is read, played against a store in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

extern "C"
{
#include "coordination/follow.h"
}

namespace
{

/// A store that answers in `delay_ms`, but for a time in which it takes reads
/// and never answers them, nor those that waited then. For another time
/// reads that wait hear nothing; after it they are cut, and the history up to
/// then is gone.
class Timeline
{
public:
  explicit Timeline (uint32_t seed = 1) : random_ (seed)
  {
    flw_init (&f, 700, 0);
  }

  void
  run_until (uint64_t end_ms)
  {
    for (; now_ms < end_ms; now_ms++)
      step ();
  }

  void
  change_config ()
  {
    config_revision = ++revision;
  }

  flw_follower_t f;
  uint64_t now_ms = 0;
  uint64_t delay_ms = 4;
  uint64_t outage_from_ms = 0;
  uint64_t outage_to_ms = 0;
  uint64_t stalled_from_ms = 0;
  uint64_t stalled_to_ms = 0;
  bool is_refusing = false;
  uint64_t heartbeat_ms = 60;
  uint64_t revision = 1;
  uint64_t config_revision = 1;
  uint64_t known_config = 0;
  uint64_t known_since_ms = 0;
  int reads = 0;

private:
  struct Read
  {
    bool is_open = false;
    bool is_dropped = false;
    bool was_stalled = false;
    flw_read_t read;
    uint64_t sent_ms = 0;
  };

  bool
  is_store_silent () const
  {
    return now_ms >= outage_from_ms && now_ms < outage_to_ms;
  }

  bool
  are_watches_stalled () const
  {
    return now_ms >= stalled_from_ms && now_ms < stalled_to_ms;
  }

  void
  step ()
  {
    if (now_ms + 1 == stalled_to_ms)
      compacted_ = revision;
    if (heartbeat_ms > 0 && now_ms % heartbeat_ms == 0)
      revision++;
    for (int i = 0; i < FLW_READERS; i++)
      {
        step_read ((flw_reader_id_t)i);
        for (int k = 0; k < FLW_READERS; k++)
          if (flw_take_cancellation (&f, (flw_reader_id_t)k))
            open_[k].is_open = false;
      }
    for (int i = 0; i < FLW_READERS; i++)
      send_due ((flw_reader_id_t)i);
  }

  void
  send_due (flw_reader_id_t which)
  {
    Read &r = open_[which];
    if (!flw_begin (&f, which, false, now_ms, &r.read))
      return;
    ASSERT_FALSE (r.is_open);
    r.is_open = true;
    r.is_dropped = is_store_silent ();
    r.was_stalled = false;
    r.sent_ms = now_ms;
    reads++;
  }

  bool
  is_answer_due (flw_reader_id_t which, const Read &r) const
  {
    uint64_t newest = which == FLW_BATCH ? revision : config_revision;
    return r.read.after == 0 || newest > r.read.after
           || now_ms - r.sent_ms >= r.read.wait_ms + delay_ms;
  }

  void
  step_read (flw_reader_id_t which)
  {
    Read &r = open_[which];
    if (!r.is_open)
      return;
    r.is_dropped |= is_store_silent ();
    bool is_watch = r.read.after > 0;
    r.was_stalled |= is_watch && are_watches_stalled ();
    bool is_cut = r.was_stalled && !are_watches_stalled ();
    if (is_watch && are_watches_stalled ()
        && now_ms - r.sent_ms < r.read.timeout_ms)
      return;
    bool is_late = now_ms - r.sent_ms >= r.read.timeout_ms;
    bool is_due = !r.is_dropped && now_ms - r.sent_ms >= delay_ms;
    if (is_late || is_cut || (is_refusing && is_due))
      {
        r.is_open = false;
        flw_failed (&f, which, now_ms, FLW_NO_ANSWER, random_ ());
        return;
      }
    if (!is_due || !is_answer_due (which, r))
      return;
    r.is_open = false;
    if (is_watch && r.read.after < compacted_)
      {
        flw_failed (&f, which, now_ms, FLW_HISTORY_GONE, random_ ());
        return;
      }
    bool has_config = config_revision > r.read.after;
    flw_answered (&f, which, now_ms, revision,
                  has_config ? config_revision : 0, random_ ());
    if (has_config && config_revision > known_config)
      {
        known_config = config_revision;
        known_since_ms = now_ms;
      }
  }

  std::mt19937 random_;
  uint64_t compacted_ = 0; ///< The history up to here is gone.
  Read open_[FLW_READERS];
};

// Callers of a route that was just confirmed are refused for seconds. The
// store takes a read and falls silent with it; after its return the reader
// still waits for that read, as if nothing had changed. Evidence: lines
// store_read_failed whose waited_ms ends seconds after the store's return.
TEST (Follow, AChangeIsKnownSoonAfterASilence)
{
  enum
  {
    BOUND_MS = 2300, ///< The platform allows 3 s after the store's return.
  };
  uint64_t worst_ms = 0;
  for (uint32_t seed = 1; seed <= 400; seed++)
    {
      Timeline t (seed);
      t.outage_from_ms = 1000 + seed * 13 % 2000;
      t.outage_to_ms = t.outage_from_ms + 50 + seed * 97 % 15000;
      t.run_until (t.outage_to_ms);
      t.change_config ();
      uint64_t return_ms = t.now_ms;
      t.run_until (return_ms + 10000);
      ASSERT_EQ (t.known_config, t.config_revision) << "seed " << seed;
      worst_ms = std::max (worst_ms, t.known_since_ms - return_ms);
    }
  EXPECT_LT (worst_ms, (uint64_t)BOUND_MS);
}

// Guards against a change that two reads in a row miss after a silence.
TEST (Follow, AChangeIsKnownThoughWatchesHearNothingAfterASilence)
{
  enum
  {
    RECOVERY_BOUND_MS = 3000, ///< From the store's return until changes bind.
    STALL_MS = 1260,
  };
  uint64_t worst_ms = 0;
  for (uint32_t seed = 1; seed <= 400; seed++)
    {
      Timeline t (seed);
      t.outage_from_ms = 1000 + seed * 13 % 2000;
      t.outage_to_ms = t.outage_from_ms + 50 + seed * 97 % 15000;
      t.run_until (t.outage_to_ms);
      t.change_config ();
      uint64_t return_ms = t.now_ms;
      t.stalled_from_ms = return_ms + 300 + seed * 7 % 1700;
      t.stalled_to_ms = t.stalled_from_ms + STALL_MS;
      t.run_until (return_ms + 10000);
      ASSERT_EQ (t.known_config, t.config_revision) << "seed " << seed;
      worst_ms = std::max (worst_ms, t.known_since_ms - return_ms);
    }
  EXPECT_LT (worst_ms, (uint64_t)RECOVERY_BOUND_MS);
}

// As above on a store without a single target, where nothing ever changes.
TEST (Follow, ASilenceShowsAlsoWithoutHeartbeats)
{
  Timeline t;
  t.heartbeat_ms = 0;
  t.outage_from_ms = 5000;
  t.outage_to_ms = 5400;
  t.run_until (5400);
  t.change_config ();
  t.run_until (5400 + 2300);
  EXPECT_EQ (t.known_config, t.config_revision);
}

// Guards against a silent store that is pressed by both readers.
TEST (Follow, ASilenceCostsFewCalls)
{
  Timeline t;
  t.outage_from_ms = 5000;
  t.outage_to_ms = 25000;
  t.run_until (6000);
  int before = t.reads;
  t.run_until (25000);
  EXPECT_LE (t.reads - before, 19 * 2);
}

// In calm times a change arrives with the direct reader, without the pause of
// the batches.
TEST (Follow, ACalmStoreBringsChangesAtOnce)
{
  Timeline t;
  t.run_until (8000);
  for (int i = 0; i < 40; i++)
    {
      t.change_config ();
      uint64_t changed_ms = t.now_ms;
      t.run_until (changed_ms + 437);
      ASSERT_EQ (t.known_config, t.config_revision);
      EXPECT_LE (t.known_since_ms - changed_ms, 10u);
    }
}

// Calls are priced: a calm minute costs about one call for each pause of the
// batches, and a few of the direct reader.
TEST (Follow, ACalmMinuteCostsFewCalls)
{
  Timeline t;
  t.run_until (10000);
  int before = t.reads;
  t.run_until (70000);
  EXPECT_LT (t.reads - before, 60000 / 700 + 6);
}

// A store that refuses is not pressed harder the longer it does.
TEST (Follow, RefusalsAreAnsweredByABackoff)
{
  Timeline t;
  t.run_until (5000);
  t.is_refusing = true;
  t.run_until (10000);
  int before = t.reads;
  t.run_until (20000);
  EXPECT_LT (t.reads - before, 30);
  EXPECT_FALSE (t.f.is_reachable);
  t.is_refusing = false;
  t.run_until (22000);
  EXPECT_TRUE (t.f.is_reachable);
}

// A store that needs more than a second for each answer is followed all the
// same.
TEST (Follow, ASlowStoreIsFollowed)
{
  Timeline t;
  t.run_until (3000);
  t.delay_ms = 1300;
  t.run_until (20000);
  t.change_config ();
  t.run_until (30000);
  EXPECT_EQ (t.known_config, t.config_revision);
}

// Live targets vanish from the list during a silence, because their leases
// could not be renewed, and are back two seconds after it. The silence ends
// just before the read that it swallowed reaches its timeout, so the next one
// is answered at once: measured from that failure there was no gap, and the
// targets were taken as gone. Measured from the start of the read there was.
TEST (Follow, AGapIsMeasuredFromTheStartOfTheLostRead)
{
  Timeline t;
  t.run_until (4000);
  while (t.f.readers[FLW_BATCH].is_reading)
    t.run_until (t.now_ms + 1);
  while (!t.f.readers[FLW_BATCH].is_reading)
    t.run_until (t.now_ms + 1);
  uint64_t began_ms = t.f.readers[FLW_BATCH].began_ms;
  t.outage_from_ms = t.now_ms;
  t.outage_to_ms = began_ms + t.f.readers[FLW_BATCH].timeout_ms;
  t.run_until (t.outage_to_ms + 300);
  ASSERT_FALSE (t.f.readers[FLW_BATCH].failed_since_ms);
  EXPECT_GE (flw_retain_until_ms (&t.f), t.outage_to_ms + 2000);
}

// Guards against a target that left in an outage and is used past its bound.
TEST (Follow, WhatLapsedInASilenceIsGivenUpBeforeTheContactIsOver)
{
  enum
  {
    RECOVERY_BOUND_MS = 3000,
    REMOVAL_MARGIN_MS
    = 100, ///< Of the removal, and of a request sent before it.
  };
  uint64_t latest_ms = 0;
  for (uint32_t seed = 1; seed <= 400; seed++)
    {
      Timeline t (seed);
      t.outage_from_ms = 4000 + seed * 13 % 2000;
      t.outage_to_ms = t.outage_from_ms + 1500 + seed * 97 % 6000;
      t.run_until (t.outage_to_ms + 2500);
      ASSERT_GT (flw_retain_until_ms (&t.f), t.outage_to_ms);
      latest_ms
          = std::max (latest_ms, flw_retain_until_ms (&t.f) - t.outage_to_ms);
    }
  EXPECT_LE (latest_ms, (uint64_t)(RECOVERY_BOUND_MS - REMOVAL_MARGIN_MS));
}

// The history is forgotten: everything is read again, and the direct reader
// goes on from there.
TEST (Follow, AForgottenHistoryIsReadAgain)
{
  flw_follower_t f;
  flw_read_t read;
  flw_init (&f, 700, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 0, &read));
  EXPECT_FALSE (flw_begin (&f, FLW_DIRECT, false, 0, &read));
  flw_answered (&f, FLW_BATCH, 4, 10, 5, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 4, &read));
  EXPECT_EQ (read.after, 10u);
  flw_failed (&f, FLW_DIRECT, 20, FLW_HISTORY_GONE, 0);
  EXPECT_FALSE (flw_begin (&f, FLW_DIRECT, false, 100, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 704, &read));
  flw_failed (&f, FLW_BATCH, 710, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 710, &read));
  EXPECT_EQ (read.after, 0u);
  flw_answered (&f, FLW_BATCH, 714, 30, 25, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 714, &read));
  EXPECT_EQ (read.after, 30u);
}

/// A follower that knows everything up to 10, read at 1,000 ms, and is past
/// the time in which targets come back.
flw_follower_t
calm_follower (uint64_t *now_ms)
{
  flw_follower_t f;
  flw_read_t read;
  flw_init (&f, 700, 0);
  flw_begin (&f, FLW_BATCH, false, 0, &read);
  flw_answered (&f, FLW_BATCH, 4, 5, 0, 0);
  *now_ms = 5000;
  EXPECT_TRUE (flw_begin (&f, FLW_BATCH, false, *now_ms, &read));
  flw_answered (&f, FLW_BATCH, *now_ms + 4, 10, 0, 0);
  *now_ms += 4;
  return f;
}

TEST (Follow, APeerIsAskedWhileTheStoreIsWell)
{
  uint64_t now_ms;
  flw_follower_t f = calm_follower (&now_ms);
  flw_read_t read;
  EXPECT_FALSE (flw_begin (&f, FLW_BATCH, false, now_ms, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
  EXPECT_TRUE (read.is_shared);
  EXPECT_EQ (read.after, 10u);
  EXPECT_EQ (read.known_age_ms, 4u);
  // The answer may come a quarter of a pause after the next read was due.
  EXPECT_EQ (now_ms + read.timeout_ms, 5000u + 700 + 175);
  ASSERT_TRUE (flw_shared_answered (&f, 5706, 5700, 14, 0, 0));
  EXPECT_EQ (f.readers[FLW_BATCH].as_of, 14u);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5706, &read));
  EXPECT_EQ (read.after, 14u);
}

// A sidecar freezes, or its link goes silent. The gateway goes to the store a
// quarter of a pause after it would have read there anyway, and returns to
// peers only after the store has answered.
TEST (Follow, ASilentPeerCostsAPartOfAPause)
{
  uint64_t now_ms;
  flw_follower_t f = calm_follower (&now_ms);
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
  flw_shared_failed (&f, 5875);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5875, &read));
  EXPECT_FALSE (read.is_shared);
  flw_failed (&f, FLW_BATCH, 6775, FLW_NO_ANSWER, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 7000, &read));
  EXPECT_FALSE (read.is_shared);
  flw_answered (&f, FLW_BATCH, 7004, 20, 0, 0);
  // After a gap targets come back one by one: peers read in short pauses too.
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 7010, &read));
  EXPECT_TRUE (read.is_shared);
  EXPECT_EQ (read.pause_ms, 150u);
}

// A sidecar was frozen in front of an answer and tells it seconds later, or a
// word is not fresher than what is known. Belief stays as it was.
TEST (Follow, AStaleWordOfAPeerIsNotTaken)
{
  for (uint64_t began_ms : { 4000u, 5000u, 9000u })
    {
      uint64_t now_ms;
      flw_follower_t f = calm_follower (&now_ms);
      flw_read_t read;
      ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
      EXPECT_FALSE (flw_shared_answered (&f, 5700, began_ms, 14, 0, 0));
      EXPECT_EQ (f.readers[FLW_BATCH].as_of, 10u);
      EXPECT_EQ (f.known_ms, 5000u);
      ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5700, &read));
      EXPECT_FALSE (read.is_shared);
    }
}

// The direct reader waits at the store for changes of the configuration. When
// a peer knows of one that it has not brought, its read is taken for lost.
TEST (Follow, APeersNewsRenewsTheDirectReader)
{
  uint64_t now_ms;
  flw_follower_t f = calm_follower (&now_ms);
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, now_ms, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
  ASSERT_TRUE (flw_shared_answered (&f, 5706, 5700, 14, 12, 0));
  EXPECT_TRUE (flw_take_cancellation (&f, FLW_DIRECT));
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5706, &read));
  EXPECT_EQ (read.after, 14u);
}

// Guards against a direct reader that stands still while peers answer.
TEST (Follow, APeersAnswerRenewsADirectReaderWhoseHistoryIsGone)
{
  uint64_t now_ms;
  flw_follower_t f = calm_follower (&now_ms);
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, now_ms, &read));
  flw_failed (&f, FLW_DIRECT, now_ms + 10, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms + 10, &read));
  ASSERT_TRUE (flw_shared_answered (&f, 5706, 5700, 14, 0, 0));
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5706, &read));
  EXPECT_EQ (read.after, 14u);
}

} // namespace
