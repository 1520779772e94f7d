// Reads of the store that several gateways share: which requests are answered,
// when the store is read, and the age of an answer.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "coordination/share.h"
#include "relay/changes.h"
}

namespace
{

constexpr uint64_t kPauseMs = 800;

shr_request_t
request_of (const char *gateway, uint64_t after, uint64_t known_age_ms,
            uint64_t now_ms)
{
  shr_request_t request = {};
  snprintf (request.gateway, sizeof request.gateway, "%s", gateway);
  request.id = 7;
  request.after = after;
  request.known_age_ms = known_age_ms;
  request.pause_ms = kPauseMs;
  request.arrived_ms = now_ms;
  return request;
}

shr_change_t
change_of (const char *key, uint64_t revision, const char *value,
           bool is_gone = false)
{
  shr_change_t change = {};
  change.key = kb_slice_str (key);
  change.value = kb_slice_str (value);
  change.revision = revision;
  change.digest = kb_hash (value, strlen (value), 0);
  change.is_gone = is_gone;
  return change;
}

class Share : public testing::Test
{
protected:
  Share () { shr_cache_init (&cache); }
  ~Share () override { shr_cache_finish (&cache); }

  bool
  request (const char *gateway, uint64_t after, uint64_t known_age_ms,
           uint64_t now_ms, uint64_t era = 0)
  {
    shr_request_t a = request_of (gateway, after, known_age_ms, now_ms);
    a.era = era;
    return shr_request_add (&cache, &a);
  }

  void
  read (uint64_t now_ms, std::vector<shr_change_t> changes, uint64_t as_of,
        uint64_t era = 0)
  {
    uint64_t after;
    ASSERT_TRUE (shr_read_begin (&cache, now_ms, &after));
    shr_answer_t answer = {};
    answer.changes = changes.data ();
    answer.change_count = (uint32_t)changes.size ();
    answer.era = era;
    answer.as_of = as_of;
    shr_read_answered (&cache, &answer);
  }

  /// Revisions of the changes sent to a gateway that knows `after`.
  std::vector<uint64_t>
  changes_after (uint64_t after)
  {
    std::vector<uint64_t> revisions;
    uint32_t at = 0;
    for (const shr_item_t *i = shr_next_change (&cache, after, &at);
         i != nullptr; i = shr_next_change (&cache, after, &at))
      revisions.push_back (i->revision);
    return revisions;
  }

  shr_cache_t cache;
  shr_request_t out;
  shr_status_t status;
};

TEST_F (Share, NothingIsReadWithoutRequests)
{
  EXPECT_EQ (shr_due_ms (&cache), UINT64_MAX);
  uint64_t after;
  EXPECT_FALSE (shr_read_begin (&cache, 100000, &after));
}

TEST_F (Share, OneReadServesAllPendingRequests)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  ASSERT_TRUE (request ("b", 12, 700, 1000));
  EXPECT_FALSE (shr_request_pop (&cache, 1000, &out, &status));
  read (1000,
        { change_of ("servers/i", 11, "x"), change_of ("servers/j", 13, "y") },
        14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  EXPECT_EQ (status, SHR_CHANGES_KNOWN);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  EXPECT_EQ (status, SHR_CHANGES_KNOWN);
  EXPECT_EQ (changes_after (10).size (), 2u);
  EXPECT_EQ (changes_after (12), std::vector<uint64_t> ({ 13 }));
  EXPECT_EQ (shr_due_ms (&cache), UINT64_MAX);
}

// Guards against a busy loop of requests and answers between a gateway and a
// sidecar that know the same changes.
TEST_F (Share, UpToDateGatewayWaitsForTheNextRead)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  read (1000, {}, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  ASSERT_TRUE (request ("a", 14, 5, 1005));
  EXPECT_FALSE (shr_request_pop (&cache, 1005, &out, &status));
  EXPECT_EQ (shr_due_ms (&cache), 1000 + kPauseMs);
  read (1000 + kPauseMs, {}, 20);
  EXPECT_TRUE (shr_request_pop (&cache, 1804, &out, &status));
}

TEST_F (Share, OutdatedGatewayIsAnsweredAtOnce)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  read (1000, { change_of ("servers/i", 11, "x") }, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  ASSERT_TRUE (request ("b", 10, 700, 1100));
  ASSERT_TRUE (shr_request_pop (&cache, 1100, &out, &status));
  EXPECT_EQ (status, SHR_CHANGES_KNOWN);
  EXPECT_EQ (out.arrived_ms - cache.read_began_ms, 100u);
}

// Guards against a gateway that misses changes from before the cache was
// filled and is answered as if nothing had changed.
TEST_F (Share, RequestBeforeTheCacheIsTooOld)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  read (1000, {}, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  ASSERT_TRUE (request ("b", 9, 700, 1100));
  ASSERT_TRUE (shr_request_pop (&cache, 1100, &out, &status));
  EXPECT_EQ (status, SHR_TOO_OLD);
}

// The store compacts its history beyond the cache's revision. The cache
// restarts at a later revision; a gateway that lacks the changes in between
// must not be answered as if it knew all.
TEST_F (Share, CompactionLeavesNoGapInTheChanges)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  read (1000, {}, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  ASSERT_TRUE (request ("a", 14, 700, 1800));
  uint64_t after;
  ASSERT_TRUE (shr_read_begin (&cache, 1800, &after));
  shr_read_failed (&cache, true);
  ASSERT_TRUE (shr_request_pop (&cache, 1810, &out, &status));
  EXPECT_EQ (status, SHR_READ_FAILED);
  ASSERT_TRUE (request ("a", 30, 5, 1900));
  ASSERT_TRUE (request ("b", 14, 820, 1900));
  ASSERT_TRUE (shr_request_pop (&cache, 1900, &out, &status));
  EXPECT_STREQ (out.gateway, "b");
  EXPECT_EQ (status, SHR_TOO_OLD);
  EXPECT_FALSE (shr_request_pop (&cache, 1900, &out, &status));
}

TEST_F (Share, FailedReadIsReportedToAllPendingRequests)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  ASSERT_TRUE (request ("b", 10, 800, 1000));
  uint64_t after;
  ASSERT_TRUE (shr_read_begin (&cache, 1000, &after));
  shr_read_failed (&cache, false);
  for (int i = 0; i < 2; i++)
    {
      ASSERT_TRUE (shr_request_pop (&cache, 1600, &out, &status));
      EXPECT_EQ (status, SHR_READ_FAILED);
    }
}

// Heartbeats rewrite every target's entry each 1.2 s; forwarded to all
// gateways they would be most of the traffic. Some must be forwarded, since an
// older birth time is accepted only after three equal reports.
TEST_F (Share, RepeatedHeartbeatsAreNotForwarded)
{
  uint64_t now_ms = 1000;
  uint64_t revision = 10;
  for (int i = 0; i < 20; i++, now_ms += kPauseMs)
    {
      uint64_t known = revision;
      ASSERT_TRUE (request ("a", known, kPauseMs, now_ms));
      read (now_ms, { change_of ("servers/i", ++revision, "x") }, revision);
      ASSERT_TRUE (shr_request_pop (&cache, now_ms, &out, &status));
      EXPECT_EQ (changes_after (known).size (), i < 8 ? 1u : 0u) << i;
    }
  ASSERT_TRUE (request ("a", revision, kPauseMs, now_ms));
  read (now_ms, { change_of ("servers/i", ++revision, "", true) }, revision);
  EXPECT_EQ (changes_after (revision - 1).size (), 1u) << "it is gone";
}

TEST_F (Share, TooManyChangesClearTheCache)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  std::vector<std::string> keys;
  std::vector<shr_change_t> changes;
  for (int i = 0; i <= SHR_MAX_ITEMS; i++)
    keys.push_back ("servers/" + std::to_string (i));
  for (const std::string &key : keys)
    changes.push_back (change_of (key.c_str (), 11, "x"));
  read (1000, changes, 11);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  EXPECT_EQ (status, SHR_TOO_OLD);
  EXPECT_EQ (cache.items.len, 0u);
}

TEST_F (Share, NewRequestReplacesTheOldOne)
{
  ASSERT_TRUE (request ("a", 10, 800, 1000));
  ASSERT_TRUE (request ("a", 12, 800, 1001));
  EXPECT_EQ (cache.request_count, 1u);
  for (int i = 1; i < SHR_MAX_REQUESTS; i++)
    ASSERT_TRUE (request (("g" + std::to_string (i)).c_str (), 12, 0, 1002));
  EXPECT_FALSE (request ("one too many", 12, 0, 1002));
}

TEST (Changes, UnpackAsTheyWerePacked)
{
  kb_buf_t packed = {};
  src_change_t first
      = { 5, kb_slice_str ("k"), kb_slice_str ("value"), false };
  src_change_t second = { 6, kb_slice_str ("key"), { "", 0 }, true };
  chg_pack (&packed, &first);
  chg_pack (&packed, &second);
  uint32_t at = 0;
  src_change_t got;
  ASSERT_EQ (chg_unpack (kb_buf_slice (&packed), &at, &got), KB_OK);
  EXPECT_EQ (got.revision, 5u);
  EXPECT_TRUE (kb_slice_equal (got.value, first.value));
  ASSERT_EQ (chg_unpack (kb_buf_slice (&packed), &at, &got), KB_OK);
  EXPECT_TRUE (kb_slice_equal (got.key, second.key));
  EXPECT_TRUE (got.is_gone);
  EXPECT_EQ (chg_unpack (kb_buf_slice (&packed), &at, &got), KB_ENOTFOUND);
  kb_buf_finish (&packed);
}

// Bytes truncated anywhere, or lengths of names beyond the end, are rejected,
// and nothing beyond the end is read.
TEST (Changes, TruncatedBytesAreRejected)
{
  kb_buf_t packed = {};
  src_change_t change
      = { 5, kb_slice_str ("key"), kb_slice_str ("value"), false };
  chg_pack (&packed, &change);
  for (uint32_t len = 1; len < packed.len_bytes; len++)
    {
      std::vector<char> exact (packed.ptr, packed.ptr + len);
      uint32_t at = 0;
      src_change_t got;
      EXPECT_EQ (chg_unpack ({ exact.data (), len }, &at, &got), KB_EINVAL)
          << len;
    }
  kb_buf_finish (&packed);
}

// Guards against changes of two eras in one cache: a gateway would miss those
// at revisions that were given out again.
TEST_F (Share, RestoreClearsTheCache)
{
  request ("a", 10, 700, 1000, 3);
  read (1000, { change_of ("k", 11, "1") }, 12, 3);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  EXPECT_EQ (status, SHR_CHANGES_KNOWN);
  request ("a", 12, 0, 1010, 3);
  read (1800, { change_of ("k", 15, "2") }, 20, 4);
  ASSERT_TRUE (shr_request_pop (&cache, 1804, &out, &status));
  EXPECT_EQ (status, SHR_TOO_OLD);
  EXPECT_TRUE (changes_after (0).empty ());
  EXPECT_EQ (shr_due_ms (&cache), UINT64_MAX);
  // A gateway that has read the restored store is served from there.
  request ("a", 8, 700, 1900, 4);
  read (1900, { change_of ("k", 9, "3") }, 9, 4);
  ASSERT_TRUE (shr_request_pop (&cache, 1904, &out, &status));
  EXPECT_EQ (status, SHR_CHANGES_KNOWN);
  EXPECT_EQ (changes_after (8), (std::vector<uint64_t>{ 9 }));
}

// Some gateways know of the restore, others don't yet, and those of the
// earlier release state no era.
TEST_F (Share, RequestsOfOtherErasAreNotServed)
{
  request ("a", 8, 700, 1000, 4);
  read (1000, { change_of ("k", 9, "1") }, 9, 4);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  for (uint64_t era : { 0, 3 })
    {
      request ("b", 100, 700, 1010, era);
      ASSERT_TRUE (shr_request_pop (&cache, 1010, &out, &status));
      EXPECT_EQ (status, SHR_TOO_OLD);
    }
  EXPECT_EQ (changes_after (0), (std::vector<uint64_t>{ 9 }));
  EXPECT_EQ (shr_due_ms (&cache), UINT64_MAX);
  request ("c", 4, 700, 1020, 5);
  EXPECT_TRUE (changes_after (0).empty ());
}

// The store states no era, but its revision went back.
TEST_F (Share, LowerRevisionClearsTheCache)
{
  request ("a", 10, 700, 1000);
  read (1000, { change_of ("k", 11, "1") }, 12);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &status));
  request ("a", 12, 0, 1010);
  read (1800, {}, 6);
  ASSERT_TRUE (shr_request_pop (&cache, 1804, &out, &status));
  EXPECT_EQ (status, SHR_READ_FAILED);
  EXPECT_TRUE (changes_after (0).empty ());
}

} // namespace
