// Reads of the store that several gateways share: who is answered, when the
// store is read, and what an answer says of its age.
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
ask_of (const char *gateway, uint64_t after, uint64_t known_age_ms,
        uint64_t now_ms)
{
  shr_request_t ask = {};
  snprintf (ask.gateway, sizeof ask.gateway, "%s", gateway);
  ask.id = 7;
  ask.after = after;
  ask.known_age_ms = known_age_ms;
  ask.pause_ms = kPauseMs;
  ask.arrived_ms = now_ms;
  return ask;
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
  ask (const char *gateway, uint64_t after, uint64_t known_age_ms,
       uint64_t now_ms)
  {
    shr_request_t a = ask_of (gateway, after, known_age_ms, now_ms);
    return shr_request_add (&cache, &a);
  }

  void
  read (uint64_t now_ms, std::vector<shr_change_t> changes, uint64_t as_of)
  {
    uint64_t after;
    ASSERT_TRUE (shr_read_begin (&cache, now_ms, &after));
    shr_read_answered (&cache, changes.data (), (uint32_t)changes.size (),
                       as_of, 0);
  }

  /// Revisions of what a gateway that knows `after` is told.
  std::vector<uint64_t>
  told (uint64_t after)
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
  shr_status_t verdict;
};

TEST_F (Share, NobodyAsksNothingIsRead)
{
  EXPECT_EQ (shr_due_ms (&cache), UINT64_MAX);
  uint64_t after;
  EXPECT_FALSE (shr_read_begin (&cache, 100000, &after));
}

TEST_F (Share, OneReadServesAllWhoWait)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  ASSERT_TRUE (ask ("b", 12, 700, 1000));
  EXPECT_FALSE (shr_request_pop (&cache, 1000, &out, &verdict));
  read (1000,
        { change_of ("servers/i", 11, "x"), change_of ("servers/j", 13, "y") },
        14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  EXPECT_EQ (verdict, SHR_CHANGES_KNOWN);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  EXPECT_EQ (verdict, SHR_CHANGES_KNOWN);
  EXPECT_EQ (told (10).size (), 2u);
  EXPECT_EQ (told (12), std::vector<uint64_t> ({ 13 }));
  EXPECT_EQ (shr_due_ms (&cache), UINT64_MAX);
}

// Two daemons that answer each other at once with what both know would send
// words as fast as the link carries them.
TEST_F (Share, WhoKnowsAsMuchWaitsForTheNextRead)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  read (1000, {}, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  ASSERT_TRUE (ask ("a", 14, 5, 1005));
  EXPECT_FALSE (shr_request_pop (&cache, 1005, &out, &verdict));
  EXPECT_EQ (shr_due_ms (&cache), 1000 + kPauseMs);
  read (1000 + kPauseMs, {}, 20);
  EXPECT_TRUE (shr_request_pop (&cache, 1804, &out, &verdict));
}

TEST_F (Share, WhoKnowsLessIsToldAtOnce)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  read (1000, { change_of ("servers/i", 11, "x") }, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  ASSERT_TRUE (ask ("b", 10, 700, 1100));
  ASSERT_TRUE (shr_request_pop (&cache, 1100, &out, &verdict));
  EXPECT_EQ (verdict, SHR_CHANGES_KNOWN);
  EXPECT_EQ (out.arrived_ms - cache.read_began_ms, 100u);
}

// A gateway that lacks what was read before the first question would take
// silence about it for "nothing changed".
TEST_F (Share, WhoLacksMoreThanIsKeptHearsSo)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  read (1000, {}, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  ASSERT_TRUE (ask ("b", 9, 700, 1100));
  ASSERT_TRUE (shr_request_pop (&cache, 1100, &out, &verdict));
  EXPECT_EQ (verdict, SHR_TOO_OLD);
}

// The store forgets its history while the cache is behind it. What is read
// after that begins behind another revision; a gateway that lacks the changes
// between must not be told that it knows all.
TEST_F (Share, AForgottenHistoryLeavesNoHole)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  read (1000, {}, 14);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  ASSERT_TRUE (ask ("a", 14, 700, 1800));
  uint64_t after;
  ASSERT_TRUE (shr_read_begin (&cache, 1800, &after));
  shr_read_failed (&cache, true);
  ASSERT_TRUE (shr_request_pop (&cache, 1810, &out, &verdict));
  EXPECT_EQ (verdict, SHR_READ_FAILED);
  ASSERT_TRUE (ask ("a", 30, 5, 1900));
  ASSERT_TRUE (ask ("b", 14, 820, 1900));
  ASSERT_TRUE (shr_request_pop (&cache, 1900, &out, &verdict));
  EXPECT_STREQ (out.gateway, "b");
  EXPECT_EQ (verdict, SHR_TOO_OLD);
  EXPECT_FALSE (shr_request_pop (&cache, 1900, &out, &verdict));
}

TEST_F (Share, AReadWithoutAnswerIsSaidToAllWhoWait)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  ASSERT_TRUE (ask ("b", 10, 800, 1000));
  uint64_t after;
  ASSERT_TRUE (shr_read_begin (&cache, 1000, &after));
  shr_read_failed (&cache, false);
  for (int i = 0; i < 2; i++)
    {
      ASSERT_TRUE (shr_request_pop (&cache, 1600, &out, &verdict));
      EXPECT_EQ (verdict, SHR_READ_FAILED);
    }
}

// Heartbeats write every target each 1.2 s. Passed on to all gateways they are
// most of the bytes; left out from the first one on, an older birth that must
// be told three times would never be believed.
TEST_F (Share, HeartbeatsAreNoNewsAfterAWhile)
{
  uint64_t now_ms = 1000;
  uint64_t revision = 10;
  for (int i = 0; i < 20; i++, now_ms += kPauseMs)
    {
      uint64_t known = revision;
      ASSERT_TRUE (ask ("a", known, kPauseMs, now_ms));
      read (now_ms, { change_of ("servers/i", ++revision, "x") }, revision);
      ASSERT_TRUE (shr_request_pop (&cache, now_ms, &out, &verdict));
      EXPECT_EQ (told (known).size (), i < 8 ? 1u : 0u) << i;
    }
  ASSERT_TRUE (ask ("a", revision, kPauseMs, now_ms));
  read (now_ms, { change_of ("servers/i", ++revision, "", true) }, revision);
  EXPECT_EQ (told (revision - 1).size (), 1u) << "it is gone";
}

TEST_F (Share, TooManyChangesAreNotKept)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  std::vector<std::string> keys;
  std::vector<shr_change_t> changes;
  for (int i = 0; i <= SHR_MAX_ITEMS; i++)
    keys.push_back ("servers/" + std::to_string (i));
  for (const std::string &key : keys)
    changes.push_back (change_of (key.c_str (), 11, "x"));
  read (1000, changes, 11);
  ASSERT_TRUE (shr_request_pop (&cache, 1004, &out, &verdict));
  EXPECT_EQ (verdict, SHR_TOO_OLD);
  EXPECT_EQ (cache.items.len, 0u);
}

TEST_F (Share, ANewAskTakesThePlaceOfTheOldOne)
{
  ASSERT_TRUE (ask ("a", 10, 800, 1000));
  ASSERT_TRUE (ask ("a", 12, 800, 1001));
  EXPECT_EQ (cache.request_count, 1u);
  for (int i = 1; i < SHR_MAX_REQUESTS; i++)
    ASSERT_TRUE (ask (("g" + std::to_string (i)).c_str (), 12, 0, 1002));
  EXPECT_FALSE (ask ("one too many", 12, 0, 1002));
}

TEST (Changes, ComeBackAsTheyWerePacked)
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

// Bytes that are cut anywhere, or name lengths beyond their end, are refused
// and never read past.
TEST (Changes, CutBytesAreRefused)
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

} // namespace
