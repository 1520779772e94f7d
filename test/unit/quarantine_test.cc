// Quarantine of requests under which targets end: the effect of one, two and
// three ends, isolation of callers, exchange between daemons, and expiry.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/quarantine.h"
}

namespace
{

constexpr uint64_t kRequest = 71;
constexpr uint64_t kCaller = 5;
constexpr uint64_t kOther = 6;

class QuarantineTest : public ::testing::Test
{
protected:
  QuarantineTest ()
  {
    qrt_table_init (&table_);
    qrt_table_init (&peer_);
  }
  ~QuarantineTest () override
  {
    qrt_table_finish (&table_);
    qrt_table_finish (&peer_);
  }
  bool
  end (uint64_t target, bool is_alone = false, uint64_t caller = kCaller,
       uint64_t request = kRequest)
  {
    qrt_end_t end = { target, caller, is_alone };
    return qrt_add_end (&table_, request, &end, now_ms_);
  }
  qrt_verdict_t
  judge (uint64_t caller = kCaller, uint64_t request = kRequest)
  {
    return qrt_judge (&table_, request, caller, min_alone_, now_ms_,
                      &hold_ms_);
  }
  /// Merges all shared records of one table into the other.
  bool
  exchange (const qrt_table_t *from, qrt_table_t *to)
  {
    kb_buf_t records = {};
    qrt_pack (from, now_ms_, &records);
    bool is_merged = qrt_merge (to, kb_buf_slice (&records), now_ms_, nullptr);
    kb_buf_finish (&records);
    return is_merged;
  }
  qrt_table_t table_;
  qrt_table_t peer_;
  uint64_t now_ms_ = 1000000;
  uint64_t hold_ms_ = 0;
  uint32_t min_alone_ = QRT_MIN_ALONE_AT_ENGINE;
};

TEST_F (QuarantineTest, OneEndChangesNothing)
{
  end (1);
  EXPECT_EQ (judge (), QRT_FREE);
}

TEST_F (QuarantineTest, AfterTwoEndsItBeginsAloneAfterAThirdAloneItIsHeld)
{
  end (1);
  end (2);
  EXPECT_EQ (judge (), QRT_ALONE);
  end (3, true);
  EXPECT_EQ (judge (), QRT_HELD);
  EXPECT_EQ (hold_ms_, (uint64_t)QRT_HOLD_MS);
}

// Guards against a hold for one end at a plain target, which the request of
// another gateway may have caused.
TEST_F (QuarantineTest, AtPlainTargetsItIsHeldAfterTwoEndsAlone)
{
  min_alone_ = QRT_MIN_ALONE_AT_PLAIN;
  end (1);
  end (2);
  end (3, true);
  EXPECT_EQ (judge (), QRT_ALONE);
  end (4, true);
  EXPECT_EQ (judge (), QRT_HELD);
}

// A request repeatedly shares targets with the one that ends them. It must not
// be refused for that.
TEST_F (QuarantineTest, SharingTargetsThatEndHoldsNothing)
{
  for (uint64_t target = 1; target <= 9; target++)
    end (target);
  EXPECT_EQ (judge (), QRT_ALONE);
  EXPECT_TRUE (qrt_mark_served (&table_, kRequest, now_ms_));
  EXPECT_EQ (judge (), QRT_FREE);
}

// A caller polls with one request, which is beginning at some target whenever
// one ends, even alone, but is served between the ends.
TEST_F (QuarantineTest, ARequestServedBetweenEndsIsNeverHeld)
{
  for (uint64_t target = 1; target <= 20; target += 2)
    {
      end (target, true);
      end (target + 1, true);
      EXPECT_NE (judge (), QRT_HELD);
      qrt_mark_served (&table_, kRequest, now_ms_);
      EXPECT_EQ (judge (), QRT_FREE);
    }
}

// Two gateways report the same end; one of them knows that it was alone.
TEST_F (QuarantineTest, AnEndCountsOnce)
{
  EXPECT_TRUE (end (1));
  EXPECT_FALSE (end (1));
  EXPECT_TRUE (end (1, true));
  EXPECT_FALSE (end (1));
  EXPECT_EQ (judge (), QRT_FREE);
}

// Targets end under a request of one caller. The same request of another
// caller must not be refused.
TEST_F (QuarantineTest, OneCallerHoldsNothingOfAnother)
{
  for (uint64_t target = 1; target <= 6; target++)
    end (target, true);
  EXPECT_EQ (judge (), QRT_HELD);
  EXPECT_EQ (judge (kOther), QRT_ALONE);
  EXPECT_EQ (judge (kCaller, kRequest + 1), QRT_FREE);
}

// A workspace has many VMs as callers, each of which sends the request once.
TEST_F (QuarantineTest, TwoCallersAloneHoldItForAll)
{
  end (1, false, 11);
  end (2, false, 12);
  end (3, true, 13);
  EXPECT_EQ (judge (14), QRT_ALONE);
  end (4, true, 14);
  EXPECT_EQ (judge (15), QRT_HELD);
}

TEST_F (QuarantineTest, AHoldExpiresAndGrowsWithFurtherEnds)
{
  end (1);
  end (2);
  end (3, true);
  now_ms_ += QRT_HOLD_MS;
  EXPECT_EQ (judge (), QRT_ALONE);
  end (4, true);
  EXPECT_EQ (judge (), QRT_HELD);
  EXPECT_EQ (hold_ms_, 2ULL * QRT_HOLD_MS);
  now_ms_ += 4ULL * QRT_HOLD_MS;
  EXPECT_EQ (judge (), QRT_FREE);
  qrt_expire (&table_, now_ms_);
  EXPECT_EQ (table_.entries.len, 0u);
  EXPECT_EQ (qrt_digest (&table_), 0u);
}

TEST_F (QuarantineTest, SuspicionExpires)
{
  end (1);
  end (2);
  now_ms_ += QRT_HOLD_MS;
  EXPECT_EQ (judge (), QRT_FREE);
  qrt_expire (&table_, now_ms_);
  EXPECT_EQ (table_.entries.len, 0u);
}

// A caller sends thousands of different requests that end targets. Records of
// other callers' requests must not be evicted for them.
TEST_F (QuarantineTest, EntriesPerCallerAreBounded)
{
  end (1, true, kOther, kRequest);
  end (2, true, kOther, kRequest);
  end (3, true, kOther, kRequest);
  for (uint64_t request = 1000; request < 4000; request++)
    end (request, true, kCaller, request);
  EXPECT_EQ (table_.entries.len, 1u + QRT_MAX_ENTRIES_PER_CALLER);
  EXPECT_EQ (judge (kOther), QRT_HELD);
}

// Guards against a request that ends targets at which its caller always has
// many others: its first end must be remembered until the next one.
TEST_F (QuarantineTest, RepeatedEndIsFoundAmongManySuspectsOfItsCaller)
{
  constexpr uint64_t kOthers = 150;
  end (1);
  for (uint64_t request = 1000; request < 1000 + kOthers; request++)
    {
      now_ms_++;
      end (1, false, kCaller, request);
    }
  end (2);
  EXPECT_EQ (judge (), QRT_ALONE);
}

// Guards against two callers with very many suspects that evict the entries of
// a third one.
TEST_F (QuarantineTest, InAFullTableTheCallerWithMostEntriesMakesRoom)
{
  constexpr uint64_t kThird = 7;
  for (uint64_t request = 1; request <= QRT_FAIR_ENTRIES_PER_CALLER; request++)
    end (request, false, kThird, request);
  for (uint64_t request = 1000; request < 2000; request++)
    {
      now_ms_++;
      for (uint64_t target : { 1, 2, 3 })
        {
          end (target, true, kCaller, request);
          end (target, true, kOther, 10000 + request);
        }
    }
  EXPECT_EQ (table_.entries.len, (uint32_t)QRT_MAX_ENTRIES);
  for (uint64_t request = 1; request <= QRT_FAIR_ENTRIES_PER_CALLER; request++)
    EXPECT_EQ (qrt_count_ends (&table_, request), 1u);
}

TEST_F (QuarantineTest, EntriesAreBoundedAndHeldRequestsAreEvictedLast)
{
  end (1, true);
  end (2, true);
  end (3, true);
  for (uint64_t request = 1000; request < 4000; request++)
    {
      now_ms_++;
      end (request, true, request, request);
    }
  EXPECT_EQ (table_.entries.len, (uint32_t)QRT_MAX_ENTRIES);
  EXPECT_EQ (judge (), QRT_HELD);
}

TEST_F (QuarantineTest, RecordsMergeInAnyOrder)
{
  end (1);
  end (2);
  ASSERT_TRUE (exchange (&table_, &peer_));
  qrt_end_t third = { 3, kCaller, 1 };
  qrt_add_end (&peer_, kRequest, &third, now_ms_);
  end (4);
  EXPECT_NE (qrt_digest (&table_), qrt_digest (&peer_));
  ASSERT_TRUE (exchange (&table_, &peer_));
  ASSERT_TRUE (exchange (&peer_, &table_));
  EXPECT_EQ (qrt_digest (&table_), qrt_digest (&peer_));
  EXPECT_EQ (judge (), QRT_HELD);
}

// There are more ends than are kept. If two daemons that receive them in
// different orders kept different ones, they would exchange records for ever.
TEST_F (QuarantineTest, DaemonsKeepTheSameOfManyEnds)
{
  for (uint64_t target = 1; target <= 20; target++)
    end (target, target % 3 == 0);
  for (uint64_t target = 20; target >= 1; target--)
    {
      qrt_end_t end = { target, kCaller, target % 3 == 0 };
      qrt_add_end (&peer_, kRequest, &end, now_ms_);
    }
  EXPECT_EQ (qrt_digest (&table_), qrt_digest (&peer_));
}

// A daemon that did not learn of the clearing sends the earlier ends again.
TEST_F (QuarantineTest, ClearedRequestsStayCleared)
{
  end (1);
  end (2);
  ASSERT_TRUE (exchange (&table_, &peer_));
  qrt_mark_served (&table_, kRequest, now_ms_);
  ASSERT_TRUE (exchange (&peer_, &table_));
  EXPECT_EQ (judge (), QRT_FREE);
  ASSERT_TRUE (exchange (&table_, &peer_));
  EXPECT_EQ (qrt_digest (&table_), qrt_digest (&peer_));
}

// A record that has expired at one daemon must not return from another one
// that received it later.
TEST_F (QuarantineTest, ARecordKeepsItsAge)
{
  end (1);
  end (2);
  now_ms_ += QRT_HOLD_MS - 10;
  ASSERT_TRUE (exchange (&table_, &peer_));
  now_ms_ += 10;
  qrt_expire (&peer_, now_ms_);
  EXPECT_EQ (peer_.entries.len, 0u);
  // An expired record is not merged at all.
  ASSERT_TRUE (exchange (&table_, &peer_));
  EXPECT_EQ (peer_.entries.len, 0u);
}

TEST_F (QuarantineTest, InvalidRecordsAreIgnored)
{
  qrt_record_t good = {};
  good.request = kRequest;
  good.first_caller = kCaller;
  good.end_count = 2;
  good.ends[0] = { 1, kCaller, 1 };
  good.ends[1] = { 2, kCaller, 0 };
  auto merge = [&] (const qrt_record_t &record, uint32_t len_bytes) {
    return qrt_merge (&table_, { (const char *)&record, len_bytes }, now_ms_,
                      nullptr);
  };
  std::vector<qrt_record_t> bad (6, good);
  bad[0].request = 0;
  bad[1].end_count = QRT_MAX_ENDS + 1;
  bad[2].end_count = 0;
  bad[3].ends[0].target = 0;
  bad[4].ends[0].is_alone = 2;
  std::swap (bad[5].ends[0], bad[5].ends[1]);
  for (const qrt_record_t &record : bad)
    EXPECT_FALSE (merge (record, sizeof record));
  EXPECT_FALSE (merge (good, sizeof good - 1));
  EXPECT_EQ (table_.entries.len, 0u);
  EXPECT_TRUE (merge (good, sizeof good));
  EXPECT_EQ (judge (), QRT_ALONE);
}

// Hundreds of requests are beginning when targets of a large fleet end
// together. If each were reported to all daemons, and again wherever a table
// is full, the records would fill their links for ten minutes.
TEST_F (QuarantineTest, ASingleEndIsNotShared)
{
  end (1);
  EXPECT_EQ (qrt_digest (&table_), 0u);
  kb_buf_t records = {};
  qrt_pack (&table_, now_ms_, &records);
  EXPECT_EQ (records.len_bytes, 0u);
  EXPECT_FALSE (qrt_mark_served (&table_, kRequest, now_ms_));
  EXPECT_EQ (table_.entries.len, 0u);
}

// Two gateways report one end each. Joined they are shared with all, once.
TEST_F (QuarantineTest, JoinedEndsAreSharedOnce)
{
  end (1);
  kb_buf_t records = {};
  qrt_pack_one (&table_, kRequest, now_ms_, &records);
  kb_buf_t fresh = {};
  qrt_merge (&peer_, kb_buf_slice (&records), now_ms_, &fresh);
  EXPECT_EQ (fresh.len_bytes, 0u);
  qrt_end_t second = { 2, kOther, 0 };
  qrt_add_end (&peer_, kRequest, &second, now_ms_);
  kb_buf_clear (&records);
  qrt_pack (&peer_, now_ms_, &records);
  qrt_merge (&table_, kb_buf_slice (&records), now_ms_, &fresh);
  EXPECT_EQ (fresh.len_bytes, sizeof (qrt_record_t));
  kb_buf_clear (&fresh);
  qrt_merge (&table_, kb_buf_slice (&records), now_ms_, &fresh);
  EXPECT_EQ (fresh.len_bytes, 0u);
  kb_buf_finish (&fresh);
  kb_buf_finish (&records);
}

} // namespace
