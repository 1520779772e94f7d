// How many fetches from the weight store one engine has under way.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "coordination/lanes.h"
}

namespace
{

TEST (Lanes, OneAtFirst)
{
  lns_lanes_t lanes;
  lns_lanes_init (&lanes, 3);
  EXPECT_EQ (lns_count (&lanes), 1u);
  EXPECT_EQ (lns_wait_ms (&lanes, 0), 250u);
  EXPECT_EQ (lns_wait_ms (&lanes, 2), 750u);
}

// A large fleet leaves the weight store half idle, and yet requests wait for
// the one fetch that their engine has under way.
TEST (Lanes, MoreWhileFetchesAreAtFullSpeed)
{
  lns_lanes_t lanes;
  lns_lanes_init (&lanes, 3);
  for (int i = 0; i < 40; i++)
    lns_learn (&lanes, 288 + i % 3 * 12);
  EXPECT_EQ (lns_count (&lanes), 3u);
}

// All engines press on the store: three fetches each take three times as long
// and help nobody, and which of them is the most urgent no longer counts.
TEST (Lanes, FewerWhenTheStoreIsPressed)
{
  lns_lanes_t lanes;
  lns_lanes_init (&lanes, 3);
  for (int i = 0; i < 40; i++)
    lns_learn (&lanes, 250);
  for (int i = 0; i < 4; i++)
    lns_learn (&lanes, 600);
  EXPECT_EQ (lns_count (&lanes), 1u);
}

/// Mean time in milliseconds from asking to arrival at engines that share a
/// store; adapters are asked for at random engines.
double
mean_wait_ms (int engines, double per_s, double store_lanes, uint32_t most)
{
  struct Engine
  {
    lns_lanes_t lanes;
    std::vector<std::pair<double, double>> under_way; // Left, asked at.
    std::vector<double> queue;
  };
  std::vector<Engine> all ((size_t)engines);
  for (auto &e : all)
    lns_lanes_init (&e.lanes, most);
  std::srand (7);
  double due = 0;
  double sum_ms = 0;
  int count = 0;
  for (double now_ms = 0; now_ms < 60000; now_ms += 5)
    {
      for (due += per_s * 0.005; due >= 1; due -= 1)
        all[(size_t)(std::rand () % engines)].queue.push_back (now_ms);
      double under_way = 0;
      for (auto &e : all)
        under_way += (double)e.under_way.size ();
      double pace = under_way > store_lanes ? store_lanes / under_way : 1;
      for (auto &e : all)
        {
          std::vector<std::pair<double, double>> still;
          for (auto &[left_ms, asked_ms] : e.under_way)
            if (left_ms - 5 * pace > 0)
              still.emplace_back (left_ms - 5 * pace, asked_ms);
            else
              {
                sum_ms += now_ms - asked_ms;
                count++;
                lns_learn (&e.lanes, 250 / pace);
              }
          e.under_way = still;
          while (!e.queue.empty ()
                 && e.under_way.size () < lns_count (&e.lanes))
            {
              e.under_way.emplace_back (250, e.queue.front ());
              e.queue.erase (e.queue.begin ());
            }
        }
    }
  return sum_ms / count;
}

// Measured by this test: 46 engines that ask for half of what the store brings
// wait 357 ms with one lane each and 258 ms so; nine engines that ask for nine
// tenths of it 704 and 460 ms.
TEST (Lanes, HelpWhereTheStoreHasRoom)
{
  double one_ms = mean_wait_ms (46, 90, 48, 1);
  double some_ms = mean_wait_ms (46, 90, 48, 3);
  printf ("room: one lane %.0f ms, up to three %.0f ms\n", one_ms, some_ms);
  EXPECT_LT (some_ms, 0.85 * one_ms);
  double pressed_one_ms = mean_wait_ms (9, 29, 8, 1);
  double pressed_ms = mean_wait_ms (9, 29, 8, 3);
  printf ("pressed: one lane %.0f ms, up to three %.0f ms\n", pressed_one_ms,
          pressed_ms);
  EXPECT_LT (pressed_ms, 1.05 * pressed_one_ms);
}

} // namespace
