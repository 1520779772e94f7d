// Many requests wait for an answer of their only target when another one
// appears.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "site.h"

namespace relay
{
namespace
{

// Guards against requests that are given up all at once at a slow target, more
// of them than the other target may take.
TEST (SilenceHerd, AppearanceOfAnotherTargetFailsNoRequest)
{
  constexpr int kCallers = 60;
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (8);
  site.list_plain (1, "draining");
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  site.plain[0]->answer_ms = 1500;
  std::atomic<int> served{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; i++)
    callers.emplace_back ([&, i] {
      Message answer = send_call (site.gateways[0],
                                  plain_call ("q" + std::to_string (i)));
      served += answer.status == 200;
    });
  std::this_thread::sleep_for (std::chrono::milliseconds (700));
  site.plain[1]->restart ("i-back");
  site.list_plain (1);
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_EQ (served, kCallers);
}

} // namespace
} // namespace relay
