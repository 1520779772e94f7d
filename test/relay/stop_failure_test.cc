// Requests that arrive at a gateway that stops.
#include <gtest/gtest.h>

#include <signal.h>

#include "site.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// A gateway without callers exits this long after SIGTERM.
constexpr int kMinStopMs = 2600;

// Guards against an exit that resets a connection which waits to be accepted,
// with its request.
TEST (Stop, RequestThatWaitsUnreadIsAnswered)
{
  int unanswered = 0;
  for (int i = 0; i < 3; i++)
    {
      Site site (0, 1, 1);
      ASSERT_TRUE (site.wait_ready ());
      pid_t pid = site.gateways[0].daemon.pid;
      kill (pid, SIGTERM);
      std::this_thread::sleep_for (milliseconds (kMinStopMs - 200));
      // It exits at the next look at its callers, once it runs again.
      kill (pid, SIGSTOP);
      Message answer;
      std::thread caller (
          [&] { answer = send_call (site.gateways[0], plain_call ("last")); });
      std::this_thread::sleep_for (milliseconds (600));
      kill (pid, SIGCONT);
      caller.join ();
      unanswered += answer.status == 0;
    }
  EXPECT_EQ (unanswered, 0);
}

// Guards against a stop that closes a kept connection as idle though a request
// has arrived on it.
TEST (Stop, RequestOnAKeptConnectionIsAnswered)
{
  int unanswered = 0;
  for (int i = 0; i < 3; i++)
    {
      Site site (0, 1, 1);
      ASSERT_TRUE (site.wait_ready ());
      auto connection = dial (site.gateways[0].address);
      ASSERT_NE (connection, nullptr);
      ASSERT_TRUE (connection->write (plain_call ("first").text ()));
      ASSERT_EQ (connection->read_response ().status, 200);
      pid_t pid = site.gateways[0].daemon.pid;
      kill (pid, SIGTERM);
      std::this_thread::sleep_for (milliseconds (kMinStopMs - 400));
      // It looks for idle callers before it reads, once it runs again.
      kill (pid, SIGSTOP);
      ASSERT_TRUE (connection->write (plain_call ("last").text ()));
      std::this_thread::sleep_for (milliseconds (800));
      kill (pid, SIGCONT);
      unanswered += connection->read_response ().status == 0;
    }
  EXPECT_EQ (unanswered, 0);
}

} // namespace
} // namespace relay
