#include "fatal.h"

#include <gtest/gtest.h>

namespace relay
{

Call
fatal_stream (int attempt)
{
  Call call = stream_call ("fatal" + std::to_string (attempt), "a1");
  call.path = "/resume/fatal";
  return call;
}

Call
fatal_plain (int attempt)
{
  return plain_call ("fatal" + std::to_string (attempt), "/plain/fatal");
}

void
set_crash_answer (Site &site, CrashAnswer answer)
{
  for (const Engine &engine : site.engines)
    engine.target->crash_answer = answer;
  for (const auto &target : site.plain)
    target->crash_answer = answer;
}

int
send_until_ends (Site &site, Call (*call_of) (int), int ends)
{
  int attempt = 0;
  while (site.crash_count () < ends && attempt < 30)
    {
      send_call (site.gateways[attempt % site.gateways.size ()],
                 call_of (attempt));
      attempt++;
      site.restart_ended_targets ();
      std::this_thread::sleep_for (std::chrono::milliseconds (150));
    }
  return attempt;
}

int
send_more (Site &site, Call (*call_of) (int), int attempt, int count)
{
  int before = site.crash_count ();
  for (int i = 0; i < count; i++)
    {
      send_call (site.gateways[i % site.gateways.size ()],
                 call_of (attempt + i));
      site.restart_ended_targets ();
      std::this_thread::sleep_for (std::chrono::milliseconds (300));
    }
  return site.crash_count () - before;
}

void
expect_few_after_third (Site &site, Call (*call_of) (int), int sends)
{
  ASSERT_TRUE (site.wait_ready ());
  site.crash_on_path ("/fatal");
  int attempt = send_until_ends (site, call_of, 3);
  ASSERT_GE (site.crash_count (), 3);
  std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
  EXPECT_LE (send_more (site, call_of, attempt, sends), kMaxEndsAfterThird);
}

} // namespace relay
