// Schedule of the reads of the store, run against a store in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

extern "C"
{
#include "coordination/follow.h"
}

namespace
{

/// An answer of a store that states no era.
flw_verdict_t
answer (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
        uint64_t as_of, uint64_t config_revision, uint32_t random)
{
  flw_answer_t answer = { as_of, 0, config_revision };
  return flw_answered (f, which, now_ms, &answer, random);
}

/// A store that answers in `delay_ms`. During an outage it accepts reads and
/// never answers them, nor those already pending. During a stall long polls
/// get no answer; at its end they are interrupted, and the history is
/// compacted.
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
    bool is_interrupted = r.was_stalled && !are_watches_stalled ();
    if (is_watch && are_watches_stalled ()
        && now_ms - r.sent_ms < r.read.timeout_ms)
      return;
    bool is_late = now_ms - r.sent_ms >= r.read.timeout_ms;
    bool is_due = !r.is_dropped && now_ms - r.sent_ms >= delay_ms;
    if (is_late || is_interrupted || (is_refusing && is_due))
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
    answer (&f, which, now_ms, revision, has_config ? config_revision : 0,
            random_ ());
    if (has_config && config_revision > known_config)
      {
        known_config = config_revision;
        known_since_ms = now_ms;
      }
  }

  std::mt19937 random_;
  uint64_t compacted_ = 0; ///< The history up to this revision is gone.
  Read open_[FLW_READERS];
};

// Guards against routes that are refused for seconds after they were
// confirmed: a read sent before an outage gets no answer, and the reader still
// waits for it after the store has recovered. In the log, store_read_failed
// then has a waited_ms that ends seconds after the recovery.
TEST (Follow, ChangesAreAppliedSoonAfterAnOutage)
{
  enum
  {
    BOUND_MS = 2300, ///< The platform allows 3 s after the recovery.
  };
  uint64_t max_delay_ms = 0;
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
      max_delay_ms = std::max (max_delay_ms, t.known_since_ms - return_ms);
    }
  EXPECT_LT (max_delay_ms, (uint64_t)BOUND_MS);
}

// Guards against a change that two reads in a row miss after an outage.
TEST (Follow, ChangesAreAppliedWhileLongPollsStallAfterAnOutage)
{
  enum
  {
    RECOVERY_BOUND_MS
    = 3000, ///< From the recovery until changes must be applied.
    STALL_MS = 1260,
  };
  uint64_t max_delay_ms = 0;
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
      max_delay_ms = std::max (max_delay_ms, t.known_since_ms - return_ms);
    }
  EXPECT_LT (max_delay_ms, (uint64_t)RECOVERY_BOUND_MS);
}

// As above, for a store without targets, where nothing ever changes.
TEST (Follow, OutageIsDetectedWithoutHeartbeats)
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

// Guards against both readers loading a store that does not respond.
TEST (Follow, OutageCostsFewCalls)
{
  Timeline t;
  t.outage_from_ms = 5000;
  t.outage_to_ms = 25000;
  t.run_until (6000);
  int before = t.reads;
  t.run_until (25000);
  EXPECT_LE (t.reads - before, 19 * 2);
}

// While the store is well the direct reader returns a change without the pause
// between batches.
TEST (Follow, DirectReaderReturnsChangesAtOnce)
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

// Calls cost money: a minute without failures takes about one call per pause
// of the batch reader, and a few of the direct reader.
TEST (Follow, ReachableStoreCostsFewCalls)
{
  Timeline t;
  t.run_until (10000);
  int before = t.reads;
  t.run_until (70000);
  EXPECT_LT (t.reads - before, 60000 / 700 + 6);
}

// The call rate must not grow while the store refuses.
TEST (Follow, RefusalsAreFollowedByBackoff)
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

// A store that needs more than a second for each answer is still followed.
TEST (Follow, SlowStoreIsFollowed)
{
  Timeline t;
  t.run_until (3000);
  t.delay_ms = 1300;
  t.run_until (20000);
  t.change_config ();
  t.run_until (30000);
  EXPECT_EQ (t.known_config, t.config_revision);
}

// Guards against removing live targets after an outage: their leases expire
// during it, and they are listed again two seconds later. If the outage ends
// just before the dropped read times out, the next read is answered at once;
// measured from the timeout there is no gap, measured from the start of the
// read there is.
TEST (Follow, GapIsMeasuredFromTheStartOfTheTimedOutRead)
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

// Guards against using a target that left during an outage beyond the bound.
TEST (Follow, RetentionEndsWithinTheRecoveryBound)
{
  enum
  {
    RECOVERY_BOUND_MS = 3000,
    REMOVAL_MARGIN_MS
    = 100, ///< For the removal, and a request sent just before.
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

// After the history was compacted everything is read again, and the direct
// reader continues from there.
TEST (Follow, CompactedHistoryIsReadAgain)
{
  flw_follower_t f;
  flw_read_t read;
  flw_init (&f, 700, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 0, &read));
  EXPECT_FALSE (flw_begin (&f, FLW_DIRECT, false, 0, &read));
  answer (&f, FLW_BATCH, 4, 10, 5, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 4, &read));
  EXPECT_EQ (read.after, 10u);
  flw_failed (&f, FLW_DIRECT, 20, FLW_HISTORY_GONE, 0);
  EXPECT_FALSE (flw_begin (&f, FLW_DIRECT, false, 100, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 704, &read));
  flw_failed (&f, FLW_BATCH, 710, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 710, &read));
  EXPECT_EQ (read.after, 0u);
  answer (&f, FLW_BATCH, 714, 30, 25, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 714, &read));
  EXPECT_EQ (read.after, 30u);
}

/// @return  A follower that knows all changes up to revision 10, read at
///          5,000 ms, after the recovery period of its start.
flw_follower_t
synced_follower (uint64_t *now_ms)
{
  flw_follower_t f;
  flw_read_t read;
  flw_init (&f, 700, 0);
  flw_begin (&f, FLW_BATCH, false, 0, &read);
  answer (&f, FLW_BATCH, 4, 5, 0, 0);
  *now_ms = 5000;
  EXPECT_TRUE (flw_begin (&f, FLW_BATCH, false, *now_ms, &read));
  answer (&f, FLW_BATCH, *now_ms + 4, 10, 0, 0);
  *now_ms += 4;
  return f;
}

TEST (Follow, PeerIsQueriedWhileTheStoreIsReachable)
{
  uint64_t now_ms;
  flw_follower_t f = synced_follower (&now_ms);
  flw_read_t read;
  EXPECT_FALSE (flw_begin (&f, FLW_BATCH, false, now_ms, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
  EXPECT_TRUE (read.is_shared);
  EXPECT_EQ (read.after, 10u);
  EXPECT_EQ (read.known_age_ms, 4u);
  // The answer may arrive a quarter of a pause after the next read was due.
  EXPECT_EQ (now_ms + read.timeout_ms, 5000u + 700 + 175);
  ASSERT_TRUE (flw_shared_answered (&f, 5706, 5700, 14, 0, 0));
  EXPECT_EQ (f.readers[FLW_BATCH].as_of, 14u);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5706, &read));
  EXPECT_EQ (read.after, 14u);
}

// A sidecar hangs, or its link is dead. The gateway reads the store a quarter
// of a pause later than it would have without a peer, and queries peers again
// only after the store has answered.
TEST (Follow, SilentPeerDelaysTheReadByAFractionOfAPause)
{
  uint64_t now_ms;
  flw_follower_t f = synced_follower (&now_ms);
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
  flw_shared_failed (&f, 5875);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5875, &read));
  EXPECT_FALSE (read.is_shared);
  flw_failed (&f, FLW_BATCH, 6775, FLW_NO_ANSWER, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 7000, &read));
  EXPECT_FALSE (read.is_shared);
  answer (&f, FLW_BATCH, 7004, 20, 0, 0);
  // After a gap targets are listed again one by one: peers also use short
  // pauses.
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 7010, &read));
  EXPECT_TRUE (read.is_shared);
  EXPECT_EQ (read.pause_ms, 150u);
}

// A sidecar was suspended and sends an answer seconds late, or an answer is no
// fresher than the local state. The state must not change.
TEST (Follow, StaleAnswerOfAPeerIsIgnored)
{
  for (uint64_t began_ms : { 4000u, 5000u, 9000u })
    {
      uint64_t now_ms;
      flw_follower_t f = synced_follower (&now_ms);
      flw_read_t read;
      ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
      EXPECT_FALSE (flw_shared_answered (&f, 5700, began_ms, 14, 0, 0));
      EXPECT_EQ (f.readers[FLW_BATCH].as_of, 10u);
      EXPECT_EQ (f.known_ms, 5000u);
      ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5700, &read));
      EXPECT_FALSE (read.is_shared);
    }
}

// When a peer reports a change of the configuration that the direct reader's
// long poll has not returned, that read is cancelled.
TEST (Follow, ConfigChangeFromAPeerRestartsTheDirectReader)
{
  uint64_t now_ms;
  flw_follower_t f = synced_follower (&now_ms);
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, now_ms, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms, &read));
  ASSERT_TRUE (flw_shared_answered (&f, 5706, 5700, 14, 12, 0));
  EXPECT_TRUE (flw_take_cancellation (&f, FLW_DIRECT));
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5706, &read));
  EXPECT_EQ (read.after, 14u);
}

// Guards against a direct reader that stays stopped while peers answer.
TEST (Follow, PeerAnswerRestartsADirectReaderAfterCompaction)
{
  uint64_t now_ms;
  flw_follower_t f = synced_follower (&now_ms);
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, now_ms, &read));
  flw_failed (&f, FLW_DIRECT, now_ms + 10, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, now_ms + 10, &read));
  ASSERT_TRUE (flw_shared_answered (&f, 5706, 5700, 14, 0, 0));
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5706, &read));
  EXPECT_EQ (read.after, 14u);
}

/// An answer of a store that states its era.
flw_verdict_t
answer_of_era (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
               uint64_t era, uint64_t as_of)
{
  flw_answer_t answer = { as_of, era, 0 };
  return flw_answered (f, which, now_ms, &answer, 0);
}

/// @return  A follower that has read revision 100 of era 3 at 5,000 ms, and
///          whose direct reader is waiting.
flw_follower_t
follower_of_era_3 ()
{
  flw_follower_t f;
  flw_read_t read;
  flw_init (&f, 700, 0);
  EXPECT_TRUE (flw_begin (&f, FLW_BATCH, false, 5000, &read));
  EXPECT_EQ (answer_of_era (&f, FLW_BATCH, 5004, 3, 100), FLW_APPLY);
  EXPECT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5004, &read));
  return f;
}

// Guards against a change that lies behind both readers' revisions, because
// the store was restored and has passed them.
TEST (Follow, RestoredStoreIsReadCompletely)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  EXPECT_EQ (read.after, 100u);
  EXPECT_EQ (answer_of_era (&f, FLW_BATCH, 5708, 4, 130), FLW_DISCARD);
  EXPECT_TRUE (flw_take_cancellation (&f, FLW_DIRECT));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5708, &read));
  EXPECT_EQ (read.after, 0u);
  EXPECT_EQ (answer_of_era (&f, FLW_BATCH, 5712, 4, 131), FLW_APPLY);
  EXPECT_EQ (f.copy_revision, 131u);
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5712, &read));
  EXPECT_EQ (read.after, 131u);
}

// The store is away, and its range read after that is the first answer of the
// new era.
TEST (Follow, RangeAfterAnOutageIsAppliedAsACopy)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  flw_failed (&f, FLW_BATCH, 5710, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5710, &read));
  EXPECT_EQ (answer_of_era (&f, FLW_BATCH, 5714, 4, 61), FLW_APPLY);
  EXPECT_EQ (f.copy_revision, 61u);
  EXPECT_TRUE (flw_take_cancellation (&f, FLW_DIRECT));
  ASSERT_TRUE (flw_begin (&f, FLW_DIRECT, false, 5714, &read));
  EXPECT_EQ (read.after, 61u);
}

// A range read that is not the first of its era is no copy.
TEST (Follow, RangeOfTheKnownEraIsNoCopy)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  flw_failed (&f, FLW_BATCH, 5710, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5710, &read));
  EXPECT_EQ (answer_of_era (&f, FLW_BATCH, 5714, 3, 110), FLW_APPLY);
  EXPECT_EQ (f.copy_revision, 0u);
  EXPECT_TRUE (flw_is_confirmed (&f));
}

// Guards against a copy that counts as current because it is read again, after
// the history was compacted.
TEST (Follow, CopyIsReadAgainAsACopy)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  flw_failed (&f, FLW_BATCH, 5710, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5710, &read));
  answer_of_era (&f, FLW_BATCH, 5714, 4, 61);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 9000, &read));
  flw_failed (&f, FLW_BATCH, 9004, FLW_HISTORY_GONE, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 9004, &read));
  answer_of_era (&f, FLW_BATCH, 9008, 4, 90);
  EXPECT_EQ (f.copy_revision, 61u);
}

// The direct reader sees the new era first, and the batch reader's read of the
// earlier era is given up.
TEST (Follow, DirectReaderDetectsARestore)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5010, &read));
  EXPECT_EQ (answer_of_era (&f, FLW_DIRECT, 5100, 4, 130), FLW_DISCARD);
  EXPECT_TRUE (flw_take_cancellation (&f, FLW_BATCH));
  EXPECT_FALSE (flw_begin (&f, FLW_DIRECT, false, 5100, &read));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5100, &read));
  EXPECT_EQ (read.after, 0u);
  EXPECT_FALSE (read.is_shared);
}

TEST (Follow, HintOfALaterEraIsFollowedByAReadOfTheStore)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5010, &read));
  flw_hint_era (&f, 3, 5020);
  EXPECT_FALSE (flw_take_cancellation (&f, FLW_BATCH));
  flw_hint_era (&f, 4, 5020);
  EXPECT_TRUE (flw_take_cancellation (&f, FLW_BATCH));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 5020, &read));
  EXPECT_FALSE (read.is_shared);
}

// Guards against live targets that are dropped because the copy lacks them:
// they are listed again within 2 s of the store's return.
TEST (Follow, TargetsAreRetainedAfterARestore)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  answer_of_era (&f, FLW_BATCH, 5708, 4, 130);
  // The return was after 5,000 ms, the start of the last read of era 3.
  EXPECT_EQ (flw_retain_until_ms (&f), 5000u + 3000 - 100);
}

// Guards against knowledge that looks fresh although the copy lacks what was
// confirmed before the restore, such as the removal of a key.
TEST (Follow, RestoredStateIsUnconfirmedUntilItsWritersHadTime)
{
  flw_follower_t f = follower_of_era_3 ();
  EXPECT_TRUE (flw_is_confirmed (&f));
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  answer_of_era (&f, FLW_BATCH, 5708, 4, 130);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5708, &read));
  answer_of_era (&f, FLW_BATCH, 5712, 4, 131);
  EXPECT_FALSE (flw_is_confirmed (&f));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 7000, &read));
  answer_of_era (&f, FLW_BATCH, 7004, 4, 140);
  EXPECT_FALSE (flw_is_confirmed (&f));
  // 2 s after the copy was read, without a pause before.
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 7500, &read));
  EXPECT_FALSE (read.is_shared);
  answer_of_era (&f, FLW_BATCH, 7504, 4, 145);
  EXPECT_FALSE (flw_is_confirmed (&f));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, true, 7712, &read));
  answer_of_era (&f, FLW_BATCH, 7716, 4, 150);
  EXPECT_TRUE (flw_is_confirmed (&f));
}

// The store is away again before its writers had time.
TEST (Follow, OutageAfterARestoreDelaysConfirmation)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  answer_of_era (&f, FLW_BATCH, 5708, 4, 130);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5708, &read));
  answer_of_era (&f, FLW_BATCH, 5712, 4, 131);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 6500, &read));
  flw_failed (&f, FLW_BATCH, 6504, FLW_NO_ANSWER, 0);
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 9000, &read));
  answer_of_era (&f, FLW_BATCH, 9004, 4, 131);
  EXPECT_FALSE (flw_is_confirmed (&f));
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 11004, &read));
  answer_of_era (&f, FLW_BATCH, 11008, 4, 140);
  EXPECT_TRUE (flw_is_confirmed (&f));
}

// A late answer of the earlier era counts as no answer.
TEST (Follow, StaleEraIsRetried)
{
  flw_follower_t f = follower_of_era_3 ();
  flw_read_t read;
  ASSERT_TRUE (flw_begin (&f, FLW_BATCH, false, 5704, &read));
  EXPECT_EQ (answer_of_era (&f, FLW_BATCH, 5708, 2, 130), FLW_DISCARD);
  EXPECT_EQ (f.readers[FLW_BATCH].as_of, 100u);
  EXPECT_EQ (f.known_ms, 5000u);
  EXPECT_FALSE (flw_begin (&f, FLW_BATCH, false, 5708, &read));
  EXPECT_TRUE (flw_begin (&f, FLW_BATCH, false, 6000, &read));
}

} // namespace
