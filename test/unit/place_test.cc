// Choice of a target, and the retry budget.
#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "coordination/budget.h"
#include "coordination/place.h"
}

namespace
{

plc_view_t
view (uint64_t key, plc_holding_t holding = PLC_ABSENT)
{
  plc_view_t v = {};
  v.key = key;
  v.is_usable = true;
  v.is_near = true;
  v.holding = holding;
  v.slots = 32;
  v.load_wait_ms = 250;
  return v;
}

class PlaceTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    plc_costs_default (&costs);
  }
  int32_t
  choose (const std::vector<plc_view_t> &views, uint64_t adapter = 99,
          uint32_t prompt_tokens = 800)
  {
    plc_request_t request = {};
    request.adapter = adapter;
    request.prompt_tokens = prompt_tokens;
    return plc_choose (&costs, views.data (), (uint32_t)views.size (),
                       &request);
  }
  plc_costs_t costs;
};

TEST_F (PlaceTest, NothingUsable)
{
  plc_view_t v = view (1);
  v.is_usable = false;
  EXPECT_EQ (choose ({ v }), PLC_NONE);
  EXPECT_EQ (choose ({}), PLC_NONE);
}

TEST_F (PlaceTest, PrefersTheHolder)
{
  EXPECT_EQ (choose ({ view (1), view (2, PLC_HELD), view (3) }), 1);
}

TEST_F (PlaceTest, AColdAdapterAlwaysGoesToItsHome)
{
  std::vector<plc_view_t> views;
  for (uint64_t key = 1; key <= 9; key++)
    views.push_back (view (key));
  int32_t home = choose (views);
  views[(size_t)home].busy = 3;
  EXPECT_EQ (choose (views), home);
}

TEST_F (PlaceTest, AnOverloadedHolderIsRelieved)
{
  plc_view_t holder = view (1, PLC_HELD);
  holder.backlog_ms = 2000;
  EXPECT_EQ (choose ({ holder, view (2) }), 1);
}

TEST_F (PlaceTest, AFailingTargetIsAvoidedWhileOthersAreFree)
{
  plc_view_t grey = view (1, PLC_NOT_NEEDED);
  grey.failures = 0.4;
  plc_view_t busy = view (2, PLC_NOT_NEEDED);
  busy.busy = 8;
  EXPECT_EQ (choose ({ grey, busy }), 1);
}

// Two callers ask for the same rare adapter through different gateways. It is
// asked for at an engine that is busy with other fetches; the second gateway
// saw it nowhere, had it fetched at an idle engine as well, and the fetches of
// both took turns at the weight store.
TEST_F (PlaceTest, AnAwaitedAdapterIsNotFetchedTwice)
{
  plc_view_t awaited = view (1, PLC_AWAITED);
  awaited.load_wait_ms = 500;
  EXPECT_EQ (choose ({ awaited, view (2), view (3) }), 0);
  awaited.load_wait_ms = 2000;
  EXPECT_NE (choose ({ awaited, view (2), view (3) }), 0);
}

// A rare adapter was dropped at its engine, which can load it again from its
// own memory in 25 ms. Its home by weight is another engine, as the engines
// were others when it came first, and would fetch it from the weight store.
TEST_F (PlaceTest, AnAdapterGoesBackToTheEngineThatHeldIt)
{
  std::vector<plc_view_t> views;
  for (uint64_t key = 1; key <= 9; key++)
    views.push_back (view (key));
  size_t home = (size_t)choose (views);
  size_t other = home == 0 ? 1 : 0;
  views[other].holding = PLC_WARM;
  views[other].load_wait_ms = 1000;
  EXPECT_EQ (choose (views), (int32_t)other);
}

// One caller sends a very long prompt, and a dozen streams of the same engine
// stand still while it is read.
TEST_F (PlaceTest, ALongPromptGoesWhereFewStreamsRun)
{
  plc_view_t holder = view (1, PLC_HELD);
  holder.busy = 12;
  holder.tokens_per_ms = 38;
  plc_view_t quiet = view (2);
  quiet.tokens_per_ms = 38;
  EXPECT_EQ (choose ({ holder, quiet }, 99, 800), 0);
  EXPECT_EQ (choose ({ holder, quiet }, 99, 7000), 1);
}

TEST_F (PlaceTest, NearTargetsWinWhenEqual)
{
  plc_view_t far = view (1, PLC_NOT_NEEDED);
  far.is_near = false;
  EXPECT_EQ (choose ({ far, view (2, PLC_NOT_NEEDED) }), 1);
}

// A target that is lost makes every request go twice, the targets that are
// left get twice the work, and fail as well: repeats must stay a small part.
TEST (Budget, RepeatsStayBelowRatioAndSlack)
{
  bud_options_t options = {};
  options.ratio = 0.2;
  options.slack = 20;
  options.window_ms = 10000;
  bud_budget_t budget;
  bud_budget_init (&budget, &options);
  uint32_t taken = 0;
  for (int i = 0; i < 1000; i++)
    {
      bud_note_first (&budget, (uint64_t)i);
      taken += bud_take_repeat (&budget, 2, (uint64_t)i);
    }
  EXPECT_GT (taken, 50u);
  EXPECT_LE (taken, 210u);
}

TEST (Budget, OldRequestsNoLongerCount)
{
  bud_options_t options = {};
  options.ratio = 0.5;
  options.window_ms = 1000;
  bud_budget_t budget;
  bud_budget_init (&budget, &options);
  for (int i = 0; i < 10; i++)
    bud_note_first (&budget, 0);
  EXPECT_TRUE (bud_take_repeat (&budget, 1, 100));
  EXPECT_FALSE (bud_take_repeat (&budget, 1, 5000));
}

TEST (Budget, GatewaysShareTheSlack)
{
  bud_options_t options = {};
  options.slack = 20;
  options.window_ms = 1000;
  bud_budget_t budget;
  bud_budget_init (&budget, &options);
  EXPECT_GT (bud_left (&budget, 1, 0), bud_left (&budget, 10, 0));
}

} // namespace
