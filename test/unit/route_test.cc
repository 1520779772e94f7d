// Routing, the load gate, membership and limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

extern "C"
{
#include "coordination/gate.h"
#include "coordination/member.h"
#include "coordination/route.h"
#include "state/limit.h"
}

namespace
{

class RouteTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    rt_options_t options;
    rt_options_default (&options);
    table = new rt_table_t;
    rt_table_init (table, &options);
  }
  void
  TearDown () override
  {
    rt_table_finish (table);
    delete table;
  }
  void
  add_targets (int count, int domains)
  {
    for (int i = 0; i < count; i++)
      {
        uint16_t t = rt_target_add (table, (uint64_t)(i + 1) * 977, 1,
                                    (uint64_t)(i % domains), 16);
        rt_target_set_state (table, t, RT_UP);
      }
  }
  rt_table_t *table;
};

TEST_F (RouteTest, RareAdapterStaysAtOneTarget)
{
  add_targets (12, 4);
  std::set<uint16_t> used;
  for (uint64_t i = 0; i < 100; i++)
    used.insert (rt_choose (table, 1, 42, nullptr, 0, i, i));
  EXPECT_EQ (used.size (), 1u);
}

TEST_F (RouteTest, WidthFollowsDemandAndShrinks)
{
  add_targets (12, 4);
  uint64_t now = 1000;
  for (int i = 0; i < 10; i++)
    {
      uint16_t t = rt_choose (table, 1, 42, nullptr, 0, now, 1);
      rt_record_end (table, t, 42, true, 3000, now);
      now += 600;
    }
  auto *adapter
      = static_cast<rt_adapter_t *> (kb_map_get (&table->adapters, 42));
  EXPECT_GT (adapter->width, 4);
  for (int i = 0; i < 60; i++)
    {
      uint16_t t = rt_choose (table, 1, 42, nullptr, 0, now, 1);
      rt_record_end (table, t, 42, true, 10, now);
      now += 600;
    }
  EXPECT_EQ (adapter->width, 1);
}

// The ranks of an adapter alternate over failure domains, so that its second
// rank survives the loss of the first one's domain.
TEST_F (RouteTest, RanksAlternateOverDomains)
{
  add_targets (12, 4);
  for (uint64_t a = 1; a <= 200; a++)
    {
      rt_choose (table, 1, a, nullptr, 0, 1, 1);
      auto *adapter
          = static_cast<rt_adapter_t *> (kb_map_get (&table->adapters, a));
      std::set<uint64_t> domains;
      for (int i = 0; i < 4; i++)
        domains.insert (table->targets[adapter->ranks[i]].domain);
      EXPECT_EQ (domains.size (), 4u);
    }
}

TEST_F (RouteTest, LeavingDownAndExcludedGetNothing)
{
  add_targets (4, 2);
  uint16_t first = rt_choose (table, 1, 42, nullptr, 0, 1, 1);
  uint16_t second = rt_choose (table, 1, 42, &first, 1, 1, 1);
  EXPECT_NE (first, second);
  for (uint16_t i = 0; i < 4; i++)
    rt_target_set_state (table, i, i % 2 ? RT_LEAVING : RT_DOWN);
  EXPECT_EQ (rt_choose (table, 1, 42, nullptr, 0, 1, 1), RT_NONE);
  EXPECT_EQ (rt_choose (table, 2, 42, nullptr, 0, 1, 1), RT_NONE);
}

// The loss of one target must move only the adapters that had it as first
// rank.
TEST_F (RouteTest, MembershipChangeMovesLittle)
{
  add_targets (20, 4);
  std::map<uint64_t, uint16_t> before;
  for (uint64_t a = 1; a <= 2000; a++)
    before[a] = rt_choose (table, 1, a, nullptr, 0, 1, 1);
  rt_target_remove (table, 7);
  int moved = 0;
  for (uint64_t a = 1; a <= 2000; a++)
    {
      uint16_t now = rt_choose (table, 1, a, nullptr, 0, 1, 1);
      EXPECT_NE (now, 7);
      moved += now != before[a];
      if (before[a] != 7)
        {
          EXPECT_EQ (now, before[a]);
        }
    }
  EXPECT_NEAR (moved, 100, 40);
}

// Differential test: the choice is the highest of the ranks whose target is
// up.
TEST_F (RouteTest, ChoiceIsTheBestUsableRank)
{
  add_targets (15, 3);
  std::mt19937 rng (5);
  for (uint64_t a = 1; a <= 300; a++)
    {
      rt_choose (table, 1, a, nullptr, 0, 1, 1);
      auto *adapter
          = static_cast<rt_adapter_t *> (kb_map_get (&table->adapters, a));
      uint16_t down = (uint16_t)(rng () % 15);
      rt_target_set_state (table, down, RT_DOWN);
      uint16_t expected = RT_NONE;
      for (int i = 0; i < adapter->rank_count && expected == RT_NONE; i++)
        if (adapter->ranks[i] != down)
          expected = adapter->ranks[i];
      EXPECT_EQ (rt_choose (table, 1, a, nullptr, 0, 1, 1), expected);
      rt_target_set_state (table, down, RT_UP);
    }
}

TEST (Gate, RateConcurrencyClassAndDeadAgents)
{
  auto *gate = new gat_gate_t;
  gat_options_t options = { 2, 1, 5000000 };
  gat_gate_init (gate, &options, 0);
  gat_request_load (gate, 1, 1, 4, 50, 0);
  gat_request_load (gate, 2, 1, 0, 1, 0);
  const gat_request_t *request = gat_grant_next (gate, 1);
  ASSERT_NE (request, nullptr);
  EXPECT_EQ (request->agent, 2u); // Better class, though fewer requests wait.
  EXPECT_EQ (gat_grant_next (gate, 2), nullptr);
  gat_end_load (gate, 2, 1);
  EXPECT_EQ (gat_grant_next (gate, 3), nullptr); // Limited by the rate.
  EXPECT_GT (gat_wait_us (gate, 3), 400000u);
  request = gat_grant_next (gate, 600000);
  ASSERT_NE (request, nullptr);
  gat_request_load (gate, 3, 1, 4, 1, 600000);
  // Agent 1 dies with its grant: the maximum hold time frees the gate.
  EXPECT_EQ (gat_grant_next (gate, 2000000), nullptr);
  request = gat_grant_next (gate, 6000000);
  ASSERT_NE (request, nullptr);
  EXPECT_EQ (request->agent, 3u);
  gat_remove_agent (gate, 3);
  EXPECT_EQ (gate->granted, 0u);
  delete gate;
}

TEST (Member, ListedAndReportedState)
{
  mem_options_t options = { 1000, 5000 };
  mem_vm_t vm = {};
  mem_vm_set_listed (&vm, MEM_LISTED_LIVE, 1);
  EXPECT_EQ (mem_vm_state (&vm, &options, 1), MEM_DOWN);
  EXPECT_TRUE (mem_vm_record_hello (&vm, 9, MEM_REPORTED_LIVE, 10));
  EXPECT_FALSE (mem_vm_record_hello (&vm, 9, MEM_REPORTED_LIVE, 10));
  EXPECT_EQ (mem_vm_state (&vm, &options, 20), MEM_UP);
  mem_vm_set_listed (&vm, MEM_LISTED_LEAVING, 20);
  EXPECT_EQ (mem_vm_state (&vm, &options, 20), MEM_LEAVING);
  mem_vm_set_listed (&vm, MEM_LISTED_ABSENT, 30);
  EXPECT_EQ (mem_vm_state (&vm, &options, 9000), MEM_UP); // It still answers.
  vm.pinged_ms = 9000;
  EXPECT_EQ (mem_vm_state (&vm, &options, 10500), MEM_GONE);
  mem_vm_record_message (&vm, MEM_REPORTED_LEAVING, 10600);
  EXPECT_EQ (mem_vm_state (&vm, &options, 10600), MEM_LEAVING);
  mem_vm_record_disconnect (&vm);
  EXPECT_EQ (mem_vm_state (&vm, &options, 10700), MEM_DOWN);
}

TEST (Limit, BucketAndRetryBudget)
{
  lim_bucket_t bucket;
  lim_bucket_init (&bucket, 10, 2, 0);
  uint64_t retry;
  EXPECT_TRUE (lim_bucket_take (&bucket, 0, &retry));
  EXPECT_TRUE (lim_bucket_take (&bucket, 0, &retry));
  EXPECT_FALSE (lim_bucket_take (&bucket, 0, &retry));
  EXPECT_EQ (retry, 101u);
  EXPECT_TRUE (lim_bucket_take (&bucket, 101, &retry));
  lim_retry_budget_t budget;
  lim_retry_init (&budget, 0.1, 2);
  EXPECT_TRUE (lim_retry_take (&budget));
  EXPECT_TRUE (lim_retry_take (&budget));
  EXPECT_FALSE (lim_retry_take (&budget));
  for (int i = 0; i < 11; i++)
    lim_retry_record_first_attempt (&budget);
  EXPECT_TRUE (lim_retry_take (&budget));
}

} // namespace
