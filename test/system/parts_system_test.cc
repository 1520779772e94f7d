// Requests through the entries with one part of a prompt that ends each engine
// which begins to run it. No two are alike, and sound requests share their
// workspace and their other parts.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

constexpr int kPropagationMs = 3000;
constexpr int kMaxEndsAfterFifth = 3;

Answer
send_poisoned (Cluster &c, int number)
{
  return c.complete (number % 2, "a1@1", "fatal " + std::to_string (number),
                     { "X-Prompt-Parts: shared, bad" });
}

Answer
send_sound (Cluster &c, int number)
{
  return c.complete (number % 2, "a1@1", "sound " + std::to_string (number),
                     { "X-Prompt-Parts: shared, other" });
}

// Guards against requests that each end an engine because no two of them are
// the same, while the part that they share is known to nobody.
TEST (PromptParts, BadPartReachesFewEnginesAfterTheFifthEnd)
{
  ClusterOptions options;
  options.engines = 6;
  Cluster c (options);
  c.start ();
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"end_on\":\"fatal\"}");
  std::atomic<bool> is_stopped{ false };
  std::atomic<int> served{ 0 };
  std::atomic<int> sent{ 0 };
  std::thread sound ([&] {
    for (int i = 0; !is_stopped; i++)
      {
        served += send_sound (c, i).status == 200;
        sent++;
        std::this_thread::sleep_for (std::chrono::milliseconds (50));
      }
  });
  int number = 0;
  auto begin = std::chrono::steady_clock::now ();
  while (c.stat_sum ("ends") < 5
         && std::chrono::steady_clock::now () - begin
                < std::chrono::seconds (8))
    {
      send_poisoned (c, number++);
      std::this_thread::sleep_for (std::chrono::milliseconds (100));
    }
  std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
  int64_t ends = c.stat_sum ("ends");
  int served_before = served;
  int sent_before = sent;
  for (int i = 0; i < 20; i++)
    {
      send_poisoned (c, number++);
      std::this_thread::sleep_for (std::chrono::milliseconds (150));
    }
  EXPECT_LE (c.stat_sum ("ends") - ends, kMaxEndsAfterFifth);
  EXPECT_GE (2 * (served - served_before), sent - sent_before);
  is_stopped = true;
  sound.join ();
  EXPECT_EQ (send_sound (c, 1).status, 200);
}

} // namespace
