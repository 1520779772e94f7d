// Parts of prompts with which engines end.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "coordination/parts.h"
}

namespace
{

constexpr uint64_t kCaller = 11;
constexpr uint64_t kOther = 13;

class PartsTest : public ::testing::Test
{
protected:
  PartsTest () { qrt_table_init (&table_); }
  ~PartsTest () override { qrt_table_finish (&table_); }
  static prt_list_t
  list (const std::string &text)
  {
    prt_list_t out;
    prt_list_parse ({ text.data (), (uint32_t)text.size () }, &out);
    return out;
  }
  /// A target ends while only these parts are to blame.
  void
  blame (const std::string &parts, bool is_alone = false,
         uint64_t caller = kCaller)
  {
    prt_list_t blamed = list (parts);
    prt_list_remove_served (&blamed, &served_, now_ms_);
    qrt_end_t end = { ++target_, caller, prt_proof_of (&blamed, is_alone) };
    for (uint32_t i = 0; i < blamed.count; i++)
      qrt_add_end (&table_, blamed.keys[i], &end, now_ms_);
  }
  void
  serve (const std::string &parts)
  {
    prt_list_t all = list (parts);
    for (uint32_t i = 0; i < all.count; i++)
      {
        prt_served_add (&served_, all.keys[i], now_ms_);
        qrt_mark_served (&table_, all.keys[i], now_ms_);
      }
  }
  prt_judgement_t
  judge (const std::string &parts, uint64_t caller = kCaller)
  {
    prt_list_t all = list (parts);
    return prt_judge (&table_, &all, caller, now_ms_);
  }
  prt_verdict_t
  verdict (const std::string &parts, uint64_t caller = kCaller)
  {
    return judge (parts, caller).verdict;
  }
  qrt_table_t table_;
  prt_served_t served_ = {};
  uint64_t now_ms_ = 100000;
  uint64_t target_ = 0;
};

TEST_F (PartsTest, IdsAreParsedWithoutLengths)
{
  prt_list_t parts = list ("5c:800,91:410");
  ASSERT_EQ (parts.count, 2u);
  EXPECT_EQ (parts.keys[0], list ("5c:1").keys[0]);
  EXPECT_NE (parts.keys[0], parts.keys[1]);
  EXPECT_EQ (list ("").count, 0u);
  EXPECT_EQ (list (",:4,,7").count, 1u);
  std::string many;
  for (int i = 0; i < 40; i++)
    many += std::to_string (i) + ":1,";
  EXPECT_EQ (list (many).count, (uint32_t)PRT_MAX_PARTS);
}

TEST_F (PartsTest, APartIsTriedAfterTwoEndsAndHeldWithProof)
{
  blame ("b:1");
  EXPECT_EQ (verdict ("b:1"), PRT_FREE);
  blame ("b:1");
  EXPECT_EQ (verdict ("a:1,b:1"), PRT_TRIAL);
  blame ("b:1", true);
  prt_judgement_t held = judge ("a:1,b:1");
  EXPECT_EQ (held.verdict, PRT_HELD);
  EXPECT_EQ (held.hold_ms, (uint64_t)QRT_HOLD_MS);
  EXPECT_EQ (verdict ("a:1"), PRT_FREE);
}

// Guards against a shared part that is held for the ends of a bad one.
TEST_F (PartsTest, APartThatIsServedIsNeverBlamed)
{
  serve ("shared:1");
  for (int i = 0; i < 4; i++)
    blame ("shared:1,b:1", true);
  EXPECT_EQ (verdict ("shared:1"), PRT_FREE);
  EXPECT_EQ (verdict ("shared:1,b:1"), PRT_HELD);
  now_ms_ += PRT_SERVED_MS;
  blame ("shared:1");
  blame ("shared:1");
  EXPECT_EQ (verdict ("shared:1"), PRT_TRIAL);
  serve ("shared:1");
  EXPECT_EQ (verdict ("shared:1"), PRT_FREE);
}

// Guards against a shared part that is convicted by an end alone of a request
// that holds a bad one as well.
TEST_F (PartsTest, OneEndAloneWithSeveralToBlameProvesNothing)
{
  blame ("shared:1,b:1");
  blame ("shared:1,b:1");
  blame ("shared:1,b:1", true);
  EXPECT_EQ (verdict ("shared:1"), PRT_TRIAL);
  EXPECT_EQ (verdict ("shared:1,b:1"), PRT_WAIT);
  serve ("shared:1");
  EXPECT_EQ (verdict ("shared:1,b:1"), PRT_TRIAL);
  blame ("shared:1,b:1", true);
  EXPECT_EQ (verdict ("shared:1,b:1"), PRT_HELD);
  EXPECT_EQ (verdict ("shared:1"), PRT_FREE);
}

// Guards against a sound part that is held because it was tried together with
// parts that are bad.
TEST_F (PartsTest, APartIsNotHeldForEndsThatOthersExplain)
{
  serve ("first");
  for (const char *bad : { "bad0", "bad1" })
    {
      for (int i = 0; i < 3; i++)
        blame (bad);
      blame (std::string (bad) + ",shared", true);
    }
  blame ("shared,rare");
  EXPECT_EQ (verdict ("shared"), PRT_TRIAL);
  EXPECT_NE (verdict ("bad0"), PRT_FREE);
  blame ("shared", true);
  EXPECT_EQ (verdict ("shared"), PRT_HELD);
}

// Guards against parts that hide behind each other: what always comes together
// is held together.
TEST_F (PartsTest, PartsWithTheSameEndsAreAllHeld)
{
  blame ("one,two");
  blame ("one,two", true);
  blame ("one,two", true);
  EXPECT_EQ (verdict ("one"), PRT_HELD);
  EXPECT_EQ (verdict ("two"), PRT_HELD);
}

// Guards against requests that wait for ever because their suspects always
// come together.
TEST_F (PartsTest, SuspectsThatComeTogetherAreTriedTogetherOnceItIsQuiet)
{
  blame ("x:1,y:1");
  blame ("x:1,y:1");
  EXPECT_EQ (verdict ("x:1,y:1"), PRT_WAIT);
  now_ms_ += PRT_QUIET_MS;
  EXPECT_EQ (verdict ("x:1,y:1"), PRT_TRIAL);
  blame ("x:1,y:1", true);
  now_ms_ += PRT_QUIET_MS;
  EXPECT_EQ (verdict ("x:1,y:1"), PRT_TRIAL);
  blame ("x:1,y:1", true);
  EXPECT_EQ (verdict ("x:1,y:1"), PRT_HELD);
}

TEST_F (PartsTest, ManyEndsWithoutProofHoldForAShortTime)
{
  for (int i = 0; i < PRT_ENDS_HELD_UNPROVEN; i++)
    blame ("x:1,y:1");
  EXPECT_EQ (judge ("x:1").hold_ms, (uint64_t)PRT_UNPROVEN_HOLD_MS);
  now_ms_ += PRT_UNPROVEN_HOLD_MS;
  EXPECT_EQ (verdict ("x:1"), PRT_TRIAL);
  blame ("x:1");
  EXPECT_EQ (judge ("x:1").hold_ms, 2 * (uint64_t)PRT_UNPROVEN_HOLD_MS);
}

// Guards against a workspace that shuts out a part of another one.
TEST_F (PartsTest, EndsUnderOneWorkspaceHoldThePartForItOnly)
{
  for (int i = 0; i < 6; i++)
    blame ("p:1", true);
  EXPECT_EQ (verdict ("p:1"), PRT_HELD);
  EXPECT_EQ (verdict ("p:1", kOther), PRT_TRIAL);
  qrt_mark_served (&table_, list ("p:1").keys[0], now_ms_);
  EXPECT_EQ (verdict ("p:1", kOther), PRT_FREE);
  EXPECT_EQ (verdict ("p:1"), PRT_FREE);
}

TEST_F (PartsTest, EndsUnderTwoWorkspacesHoldThePartForAll)
{
  for (int i = 0; i < 3; i++)
    blame ("p:1", true);
  blame ("p:1", true, kOther);
  EXPECT_EQ (verdict ("p:1", 17), PRT_HELD);
}

TEST_F (PartsTest, AHoldLapses)
{
  for (int i = 0; i < 3; i++)
    blame ("p:1", true);
  now_ms_ += QRT_HOLD_MS;
  EXPECT_EQ (verdict ("p:1"), PRT_TRIAL);
  now_ms_ += QRT_HOLD_MS;
  EXPECT_EQ (verdict ("p:1"), PRT_FREE);
}

// Guards against records of parts that displace those of requests, and against
// a bad part that is displaced by many that were served.
TEST_F (PartsTest, RecordsOfEachKindAreBoundedByThemselves)
{
  constexpr uint64_t kRequest = 71;
  qrt_end_t end = { 1, kOther, QRT_WAS_ALONE };
  qrt_add_end (&table_, kRequest, &end, now_ms_);
  for (int i = 0; i < 3; i++)
    blame ("bad:1", true, kOther);
  for (int i = 0; i < 600; i++)
    {
      now_ms_++;
      std::string part = std::to_string (i) + ":1";
      blame (part);
      blame (part);
      if (i % 2 == 0)
        qrt_mark_served (&table_, list (part).keys[0], now_ms_);
    }
  EXPECT_EQ (qrt_count_ends (&table_, kRequest), 1u);
  EXPECT_EQ (verdict ("bad:1", kOther), PRT_HELD);
  EXPECT_LE (table_.entries.len, (uint32_t)QRT_MAX_ENTRIES + 1);
}

} // namespace
