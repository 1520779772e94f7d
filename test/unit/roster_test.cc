// What an older copy of the target list may change.
#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "coordination/roster.h"
}

namespace
{

inc_t
incarnation_of (const char *id, uint64_t born_ms)
{
  inc_t incarnation = {};
  snprintf (incarnation.id, sizeof incarnation.id, "%s", id);
  incarnation.born_ms = born_ms;
  return incarnation;
}

class Roster : public testing::Test
{
protected:
  Roster () : roster (new ros_roster_t ()) { ros_init (roster.get (), 2000); }
  ~Roster () override { ros_finish (roster.get ()); }

  void
  list (const char *id, uint64_t born_ms, bool is_leaving = false)
  {
    inc_t incarnation = incarnation_of (id, born_ms);
    ros_list (roster.get (), &incarnation, is_leaving);
  }

  void
  remove (const char *id, uint64_t now_ms)
  {
    char removed[INC_ID_BYTES];
    ros_unlist (roster.get (), id, now_ms);
    ASSERT_TRUE (ros_pop_expired (roster.get (), now_ms, removed));
  }

  /// @param is_leaving  What the copy says.
  bool
  accept_copy (const char *id, uint64_t born_ms, uint64_t now_ms = 1000,
               bool *is_leaving = nullptr)
  {
    bool ignored = false;
    inc_t incarnation = incarnation_of (id, born_ms);
    return ros_accept_copy (roster.get (), &incarnation, now_ms,
                            is_leaving == nullptr ? &ignored : is_leaving);
  }

  std::unique_ptr<ros_roster_t> roster;
};

TEST_F (Roster, CopyMayListUnknownAndKnownTargets)
{
  list ("a", 100);
  EXPECT_TRUE (accept_copy ("a", 100));
  EXPECT_TRUE (accept_copy ("b", 100));
}

TEST_F (Roster, CopyDoesNotBringBackAGoneTarget)
{
  list ("a", 100);
  remove ("a", 900);
  EXPECT_FALSE (accept_copy ("a", 100));
  EXPECT_FALSE (accept_copy ("a", 50));
  EXPECT_TRUE (accept_copy ("a", 101)); // Restarted since.
  list ("a", 100);                      // Its entry was written again.
  EXPECT_TRUE (accept_copy ("a", 100));
}

// Its removal was seen and is due later, because several disappeared at once.
TEST_F (Roster, CopyDoesNotBringBackATargetThatIsBeingRemoved)
{
  list ("a", 100);
  ros_unlist (roster.get (), "a", 1500);
  EXPECT_FALSE (accept_copy ("a", 100));
}

TEST_F (Roster, CopyDoesNotBringBackAnEarlierIncarnation)
{
  list ("a", 100);
  list ("a", 200);
  EXPECT_FALSE (accept_copy ("a", 100));
  EXPECT_TRUE (accept_copy ("a", 200));
}

// The target restarted after its clock had been stepped back: its earlier
// incarnation, which the copy lists, has a later birth.
TEST_F (Roster, CopyDoesNotBringBackAnIncarnationFromBeforeAClockStep)
{
  list ("a", 600);
  list ("a", 200);
  EXPECT_FALSE (accept_copy ("a", 600));
  EXPECT_TRUE (accept_copy ("a", 200));
  remove ("a", 900);
  EXPECT_FALSE (accept_copy ("a", 600));
  list ("a", 250);
  EXPECT_FALSE (accept_copy ("a", 600));
  EXPECT_TRUE (accept_copy ("a", 601));
}

TEST_F (Roster, CopyDoesNotBringBackALeavingTarget)
{
  list ("a", 100, true);
  bool is_leaving = false;
  EXPECT_TRUE (accept_copy ("a", 100, 1000, &is_leaving));
  EXPECT_TRUE (is_leaving);
  is_leaving = false;
  EXPECT_TRUE (accept_copy ("a", 200, 1000, &is_leaving));
  EXPECT_FALSE (is_leaving); // The next incarnation has not said so.
}

// Memory of gone targets is bounded and lapses.
TEST_F (Roster, GoneTargetsAreForgotten)
{
  list ("a", 100);
  remove ("a", 1000);
  EXPECT_FALSE (accept_copy ("a", 100, 60000));
  EXPECT_TRUE (accept_copy ("a", 100, 61000));
  for (int i = 0; i < ROS_MAX_GONE; i++)
    {
      std::string id = "x" + std::to_string (i);
      list (id.c_str (), 100);
      remove (id.c_str (), 1000);
    }
  EXPECT_TRUE (accept_copy ("a", 100, 1001));
  EXPECT_FALSE (accept_copy ("x0", 100, 1001));
}

// Guards against a held target that stays for ever, or is removed at once.
TEST_F (Roster, UnreadableEntryHoldsATargetForALimitedTime)
{
  char id[INC_ID_BYTES];
  list ("a", 100);
  ros_hold (roster.get (), "a", false, 1000);
  ros_hold (roster.get (), "a", false, 6000);
  ros_hold (roster.get (), "unknown", false, 1000);
  EXPECT_EQ (ros_held_count (roster.get ()), 1u);
  EXPECT_FALSE (ros_pop_held (roster.get (), 10999, id));
  ASSERT_TRUE (ros_pop_held (roster.get (), 11000, id));
  EXPECT_STREQ (id, "a");
  EXPECT_FALSE (ros_pop_held (roster.get (), 11000, id));
}

// Guards against a hold that outlives a valid entry or a deletion, and against
// one that brings a removed target back.
TEST_F (Roster, HoldEndsWithAnEntryOrItsDeletion)
{
  char id[INC_ID_BYTES];
  list ("a", 100);
  ros_hold (roster.get (), "a", false, 1000);
  list ("a", 100);
  EXPECT_EQ (ros_held_count (roster.get ()), 0u);
  ros_hold (roster.get (), "a", false, 1000);
  ros_unlist (roster.get (), "a", 2000);
  EXPECT_EQ (ros_held_count (roster.get ()), 0u);
  ros_hold (roster.get (), "a", false, 1500);
  EXPECT_EQ (ros_held_count (roster.get ()), 0u);
  EXPECT_TRUE (ros_pop_expired (roster.get (), 2000, id));
}

// Guards against a live target that vanishes because its item in a range has
// no key that can be read, and against removals that such items hide.
TEST_F (Roster, NoMoreMissingTargetsAreHeldThanUnnamedItems)
{
  char id[INC_ID_BYTES];
  list ("a", 100);
  list ("b", 100);
  ros_range_begin (roster.get ());
  list ("a", 100);
  ros_range_end (roster.get (), 1, 0, 1000);
  EXPECT_EQ (ros_held_count (roster.get ()), 1u);
  EXPECT_FALSE (ros_pop_expired (roster.get (), 1000, id));
  ros_range_begin (roster.get ());
  ros_range_end (roster.get (), 1, 0, 1000);
  EXPECT_TRUE (ros_pop_expired (roster.get (), 1000, id));
  EXPECT_TRUE (ros_pop_expired (roster.get (), 1000, id));
}

} // namespace
