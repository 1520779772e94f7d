// Scheduler and slots: order, pins, drains, backoff, and a comparison with a
// plain scan on random inputs.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

extern "C"
{
#include "coordination/sched.h"
}

namespace
{

class SchedTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    sch_options_default (&options);
    options.max_batch = 4;
    slt_table_init (&slots, 2);
    sch_queue_init (&queue, &slots, &options);
  }
  void
  TearDown () override
  {
    sch_queue_finish (&queue);
    slt_table_finish (&slots);
  }
  sch_item_t *
  add (uint64_t adapter, uint8_t priority_class, uint64_t at_us = 0,
       uint64_t workspace = 1, uint32_t weight = 1)
  {
    auto item = std::make_unique<sch_item_t> ();
    *item = sch_item_t{};
    item->adapter = adapter;
    item->workspace = workspace;
    item->priority_class = priority_class;
    item->weight = weight;
    item->cost = 100;
    item->enqueued_us = at_us;
    item->deadline_us = UINT64_MAX;
    sch_add (&queue, item.get ());
    items.push_back (std::move (item));
    return items.back ().get ();
  }
  void
  load (uint64_t adapter, uint64_t now_us = 0)
  {
    sch_begin_load (&queue, adapter, now_us);
    sch_end_load (&queue, adapter, true, now_us);
  }
  sch_options_t options;
  slt_table_t slots;
  sch_queue_t queue;
  std::vector<std::unique_ptr<sch_item_t>> items;
};

TEST_F (SchedTest, BetterClassRunsFirst)
{
  load (1);
  load (2);
  add (1, 5);
  sch_item_t *urgent = add (2, 0, 10);
  EXPECT_EQ (sch_next_action (&queue, 20, true).item, urgent);
}

// An urgent request waits for a load while less urgent ones could run. These
// run, as the batch would be idle otherwise; but the load is for the urgent
// request, although more of the others wait.
TEST_F (SchedTest, LoadsFollowTheClass)
{
  for (int i = 0; i < 5; i++)
    add (7, 5);
  add (8, 0, 10);
  sch_action_t action = sch_next_action (&queue, 20, true);
  EXPECT_EQ (action.kind, SCH_LOAD);
  EXPECT_EQ (action.adapter, 8u);
}

TEST_F (SchedTest, PinnedAdapterIsNeverAVictim)
{
  load (1);
  load (2);
  sch_begin_run (&queue, add (1, 1), 1);
  sch_begin_run (&queue, add (2, 1), 1);
  add (3, 1, 2);
  EXPECT_EQ (sch_next_action (&queue, 3, true).kind, SCH_IDLE);
  EXPECT_EQ (slt_choose_victim (&slots, nullptr, nullptr), nullptr);
}

// Two popular adapters hold both slots and always have work. A request for a
// rare adapter must get a slot within a bounded time.
TEST_F (SchedTest, RareAdapterGetsASlotInBoundedTime)
{
  load (1, 0);
  load (2, 0);
  sch_item_t *one = add (1, 1);
  sch_item_t *two = add (2, 1);
  sch_begin_run (&queue, one, 1);
  sch_begin_run (&queue, two, 1);
  add (1, 1, 2);
  add (2, 1, 2);
  add (3, 1, 2);
  queue.options.max_batch = 2;
  EXPECT_EQ (sch_next_action (&queue, 3, true).kind, SCH_IDLE);
  EXPECT_EQ (sch_next_action (&queue, 3000000, true).kind, SCH_IDLE);
  EXPECT_TRUE (slt_find (&slots, 1)->is_draining
               || slt_find (&slots, 2)->is_draining);
  sch_item_t *ended = slt_find (&slots, 1)->is_draining ? one : two;
  uint64_t drained = ended->adapter;
  sch_end_run (&queue, ended, 3000001);
  queue.options.max_batch = 1;
  sch_action_t action = sch_next_action (&queue, 3000002, true);
  EXPECT_EQ (action.kind, SCH_EVICT);
  EXPECT_EQ (action.adapter, drained);
}

// An adapter is drained for a request that is then cancelled. Its own waiting
// requests could neither run nor be loaded again, and would wait forever.
TEST_F (SchedTest, DrainEndsWhenNoLoadIsWanted)
{
  load (1);
  load (2);
  sch_begin_run (&queue, add (1, 1), 1);
  sch_begin_run (&queue, add (2, 1), 1);
  sch_item_t *waiter_1 = add (1, 1, 2);
  add (2, 1, 2);
  sch_item_t *load_waiter = add (3, 0, 2);
  queue.options.max_batch = 2;
  sch_next_action (&queue, 3, true);
  ASSERT_TRUE (queue.has_draining);
  sch_remove (&queue, load_waiter);
  queue.options.max_batch = 4;
  sch_action_t action = sch_next_action (&queue, 4, true);
  EXPECT_EQ (action.kind, SCH_RUN);
  EXPECT_EQ (action.item, waiter_1);
}

TEST_F (SchedTest, FailedLoadBacksOff)
{
  add (1, 1);
  EXPECT_EQ (sch_next_action (&queue, 1, true).kind, SCH_LOAD);
  sch_begin_load (&queue, 1, 1);
  sch_end_load (&queue, 1, false, 2);
  EXPECT_EQ (sch_failed_loads (&queue, 1), 1u);
  EXPECT_EQ (sch_next_action (&queue, 3, true).kind, SCH_IDLE);
  EXPECT_EQ (sch_next_action (&queue, 300000, true).kind, SCH_LOAD);
}

TEST_F (SchedTest, WeightsShareAClass)
{
  load (1);
  for (int i = 0; i < 60; i++)
    add (1, 2, 0, 1, 3);
  for (int i = 0; i < 60; i++)
    add (1, 2, 0, 2, 1);
  int heavy = 0;
  for (int i = 0; i < 40; i++)
    {
      sch_action_t action = sch_next_action (&queue, 1, true);
      ASSERT_EQ (action.kind, SCH_RUN);
      heavy += action.item->workspace == 1;
      sch_begin_run (&queue, action.item, 1);
      sch_end_run (&queue, action.item, 1);
    }
  EXPECT_NEAR (heavy, 30, 2);
}

// Guards against refusals of urgent requests in a burst of less urgent ones:
// the whole queue was compared with the deadline of a request that overtakes
// all of it.
TEST_F (SchedTest, ExpectedWaitCountsOnlyWhatComesFirst)
{
  load (1);
  for (int i = 0; i < 100; i++)
    add (1, 4);
  EXPECT_EQ (sch_expected_wait_ms (&queue, 0, 1000), 0u);
  EXPECT_GT (sch_expected_wait_ms (&queue, 4, 1000), 20000u);
}

// Differential test: the item chosen must be the one that a plain scan over
// all waiting items finds by the same rules.
TEST_F (SchedTest, SameChoiceAsPlainScan)
{
  std::mt19937 rng (3);
  queue.options.max_batch = 1000000;
  load (1);
  load (2);
  std::vector<sch_item_t *> waiting;
  for (int i = 0; i < 3000; i++)
    {
      if (rng () % 5 < 3 || waiting.empty ())
        waiting.push_back (add (1 + rng () % 4, (uint8_t)(rng () % 4),
                                (uint64_t)i, rng () % 3, 1 + rng () % 4));
      else if (rng () % 4 == 0)
        {
          size_t at = rng () % waiting.size ();
          sch_remove (&queue, waiting[at]);
          waiting.erase (waiting.begin () + (long)at);
        }
      sch_item_t *best = nullptr;
      for (sch_item_t *item : waiting)
        {
          if (item->adapter > 2)
            continue;
          if (best == nullptr || item->priority_class < best->priority_class
              || (item->priority_class == best->priority_class
                  && (item->start_tag < best->start_tag
                      || (item->start_tag == best->start_tag
                          && item->enqueued_us < best->enqueued_us))))
            best = item;
        }
      sch_action_t action = sch_next_action (&queue, (uint64_t)i, false);
      ASSERT_EQ (action.kind, best == nullptr ? SCH_IDLE : SCH_RUN);
      if (best == nullptr)
        continue;
      ASSERT_EQ (action.item->priority_class, best->priority_class);
      ASSERT_EQ (action.item->start_tag, best->start_tag);
      ASSERT_EQ (action.item->enqueued_us, best->enqueued_us);
      if (rng () % 2 == 0)
        {
          sch_begin_run (&queue, action.item, (uint64_t)i);
          sch_end_run (&queue, action.item, (uint64_t)i);
          waiting.erase (
              std::find (waiting.begin (), waiting.end (), action.item));
        }
    }
}

TEST (Slots, VictimIsTheLeastVisited)
{
  slt_table_t slots;
  slt_table_init (&slots, 2);
  uint64_t now = 0;
  for (uint64_t key = 1; key <= 2; key++)
    {
      slt_begin_load (&slots, key, now);
      slt_end_load (&slots, key, true, now);
    }
  // Adapter 1: one batch of forty. Adapter 2: three visits, a minute apart.
  for (int i = 0; i < 40; i++)
    slt_pin (&slots, slt_find (&slots, 1), now);
  for (int i = 0; i < 40; i++)
    slt_unpin (&slots, slt_find (&slots, 1), now);
  for (int i = 0; i < 3; i++)
    {
      now += 60000000;
      slt_pin (&slots, slt_find (&slots, 2), now);
      slt_unpin (&slots, slt_find (&slots, 2), now);
    }
  EXPECT_EQ (slt_choose_victim (&slots, nullptr, nullptr)->key, 1u);
  slt_table_finish (&slots);
}

} // namespace
