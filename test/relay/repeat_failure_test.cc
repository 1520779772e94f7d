// A request that ends each target that begins to run it, and is sent again
// and again: by its caller, under new attempt ids, through any gateway.
#include <gtest/gtest.h>

#include <signal.h>

#include "site.h"

namespace relay
{
namespace
{

/// By then all gateways that reach the platform know what one of them does.
constexpr int kContactMs = 3000;
/// Sends that may still reach targets, that long after the third end.
constexpr int kSendsAfterThird = 3;

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

/// Send until a number of targets ended.
/// @param call_of  The call for an attempt.
/// @return         The next attempt's number.
int
send_until_ends (Site &site, Call (*call_of) (int), int ends)
{
  int attempt = 0;
  while (site.ends () < ends && attempt < 30)
    {
      send_call (site.gateways[attempt % site.gateways.size ()],
                 call_of (attempt));
      attempt++;
      site.begin_ended_again ();
      std::this_thread::sleep_for (std::chrono::milliseconds (150));
    }
  return attempt;
}

/// Send through all gateways in turn.
/// @return  How many targets ended.
int
send_more (Site &site, Call (*call_of) (int), int attempt, int count)
{
  int before = site.ends ();
  for (int i = 0; i < count; i++)
    {
      send_call (site.gateways[i % site.gateways.size ()],
                 call_of (attempt + i));
      site.begin_ended_again ();
      std::this_thread::sleep_for (std::chrono::milliseconds (300));
    }
  return site.ends () - before;
}

// A caller sends one request again and again, through any gateway. Each engine
// that begins to run it ends, and with it the streams of all others there;
// dozens of engines end within seconds.
TEST (Repeat, ARequestThatEndsEnginesReachesFewAfterTheThird)
{
  Site site (6, 0, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.end_on ("/fatal");
  int attempt = send_until_ends (site, fatal_stream, 3);
  ASSERT_GE (site.ends (), 3);
  std::this_thread::sleep_for (std::chrono::milliseconds (kContactMs));
  EXPECT_LE (send_more (site, fatal_stream, attempt, 12), kSendsAfterThird);
}

// The same with a plain service, beside whose targets no process of ours runs:
// gateways alone can see what ended them.
TEST (Repeat, ARequestThatEndsPlainTargetsReachesFewAfterTheThird)
{
  Site site (1, 6, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.end_on ("/fatal");
  int attempt = send_until_ends (site, fatal_plain, 3);
  ASSERT_GE (site.ends (), 3);
  std::this_thread::sleep_for (std::chrono::milliseconds (kContactMs));
  EXPECT_LE (send_more (site, fatal_plain, attempt, 12), kSendsAfterThird);
}

} // namespace
} // namespace relay
