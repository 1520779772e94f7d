// Limit of the concurrent fetches of one engine from the weight store.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "coordination/fetch_limit.h"
}

namespace
{

TEST (Lanes, StartsAtOne)
{
  ftl_limit_t limit;
  ftl_limit_init (&limit, 3);
  EXPECT_EQ (ftl_limit_count (&limit), 1u);
  EXPECT_EQ (ftl_limit_wait_ms (&limit, 0), 250u);
  EXPECT_EQ (ftl_limit_wait_ms (&limit, 2), 750u);
}

// With a fixed limit of one, requests wait for the single fetch of their
// engine while a large fleet leaves the weight store half idle.
TEST (Lanes, IncreasesWhileFetchesAreAtFullSpeed)
{
  ftl_limit_t limit;
  ftl_limit_init (&limit, 3);
  for (int i = 0; i < 40; i++)
    ftl_limit_record_fetch (&limit, 288 + i % 3 * 12);
  EXPECT_EQ (ftl_limit_count (&limit), 3u);
}

// When all engines saturate the store, three concurrent fetches each take
// three times as long: nothing is gained, and the most urgent one no longer
// comes first.
TEST (Lanes, DecreasesWhenTheStoreIsSaturated)
{
  ftl_limit_t limit;
  ftl_limit_init (&limit, 3);
  for (int i = 0; i < 40; i++)
    ftl_limit_record_fetch (&limit, 250);
  for (int i = 0; i < 4; i++)
    ftl_limit_record_fetch (&limit, 600);
  EXPECT_EQ (ftl_limit_count (&limit), 1u);
}

/// Mean time in milliseconds from a request to the end of its fetch, at
/// engines that share a store; the engine of each request is random.
double
mean_wait_ms (int engines, double per_s, double store_concurrency,
              uint32_t max_fetches)
{
  struct Engine
  {
    ftl_limit_t limit;
    std::vector<std::pair<double, double>>
        in_progress; // Time left, requested at.
    std::vector<double> queue;
  };
  std::vector<Engine> all ((size_t)engines);
  for (auto &e : all)
    ftl_limit_init (&e.limit, max_fetches);
  std::srand (7);
  double due = 0;
  double sum_ms = 0;
  int count = 0;
  for (double now_ms = 0; now_ms < 60000; now_ms += 5)
    {
      for (due += per_s * 0.005; due >= 1; due -= 1)
        all[(size_t)(std::rand () % engines)].queue.push_back (now_ms);
      double fetch_count = 0;
      for (auto &e : all)
        fetch_count += (double)e.in_progress.size ();
      double pace = fetch_count > store_concurrency
                        ? store_concurrency / fetch_count
                        : 1;
      for (auto &e : all)
        {
          std::vector<std::pair<double, double>> remaining;
          for (auto &[left_ms, requested_ms] : e.in_progress)
            if (left_ms - 5 * pace > 0)
              remaining.emplace_back (left_ms - 5 * pace, requested_ms);
            else
              {
                sum_ms += now_ms - requested_ms;
                count++;
                ftl_limit_record_fetch (&e.limit, 250 / pace);
              }
          e.in_progress = remaining;
          while (!e.queue.empty ()
                 && e.in_progress.size () < ftl_limit_count (&e.limit))
            {
              e.in_progress.emplace_back (250, e.queue.front ());
              e.queue.erase (e.queue.begin ());
            }
        }
    }
  return sum_ms / count;
}

// Results of this test: at half of the store's capacity, 46 engines wait 357
// ms with one fetch each and 258 ms with a limit of three; at nine tenths of
// it, nine engines wait 704 and 460 ms.
TEST (Lanes, ShortensWaitsWhenTheStoreHasCapacity)
{
  double one_ms = mean_wait_ms (46, 90, 48, 1);
  double some_ms = mean_wait_ms (46, 90, 48, 3);
  printf ("spare capacity: one fetch %.0f ms, up to three %.0f ms\n", one_ms,
          some_ms);
  EXPECT_LT (some_ms, 0.85 * one_ms);
  double saturated_one_ms = mean_wait_ms (9, 29, 8, 1);
  double saturated_ms = mean_wait_ms (9, 29, 8, 3);
  printf ("saturated: one fetch %.0f ms, up to three %.0f ms\n",
          saturated_one_ms, saturated_ms);
  EXPECT_LT (saturated_ms, 1.05 * saturated_one_ms);
}

} // namespace
