// Requests in progress at an entry whose drain limit is reached.
#include <gtest/gtest.h>

#include <signal.h>

#include "cluster.h"
#include "http_peer.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

constexpr int kDrainLimitMs = 1500;
/// What the target takes: longer than the limit.
constexpr int kAnswerMs = 4000;

std::string
call_text (const std::string &id, const std::string &more)
{
  return "POST /v1/services/map-query/look HTTP/1.1\r\nHost: x\r\n"
         "Authorization: Bearer kavango-key\r\n"
         + more + "Content-Length: " + std::to_string (id.size ()) + "\r\n\r\n"
         + id;
}

// Guards against an entry that cuts the connections of what is in progress at
// its drain limit.
TEST (DrainLimit, RequestsInProgressAreAnswered)
{
  ClusterOptions o;
  o.extra_entry = "\"drain_limit_ms\":" + std::to_string (kDrainLimitMs) + ",";
  Cluster c (o);
  c.start ();
  kb::Target *plain = c.find_target (true);
  ASSERT_NE (plain, nullptr);
  c.fault (plain->fake, "{\"latency_ms\":" + std::to_string (kAnswerMs) + "}");
  kb::Process &entry = c.entries[0].process;
  const std::vector<std::string> kinds
      = { "X-Knapweedbay-Idempotent: true\r\n", "",
          "Idempotency-Key: drain-limit\r\n" };
  std::vector<std::unique_ptr<relay::Connection>> callers;
  for (size_t i = 0; i < kinds.size (); i++)
    {
      callers.push_back (
          relay::dial ("127.0.0.1:" + std::to_string (entry.http_port)));
      ASSERT_NE (callers[i], nullptr);
      callers[i]->write (call_text ("open-" + std::to_string (i), kinds[i]));
    }
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.runs_at (*plain) == (int)kinds.size (); }));
  Cluster::kill_process (entry, SIGTERM);
  for (size_t i = 0; i < kinds.size (); i++)
    {
      relay::Message answer = callers[i]->read_response ();
      EXPECT_EQ (answer.status, 504) << kinds[i];
      EXPECT_EQ (answer.header ("x-knapweedbay-outcome"), "unknown");
    }
  EXPECT_EQ (Cluster::wait_exit (entry), 4);
  // The keyed run goes on; sent again, the request gets that run's answer.
  std::string other
      = "127.0.0.1:" + std::to_string (c.entries[1].process.http_port);
  EXPECT_TRUE (Cluster::wait_until ([&] {
    auto again = relay::dial (other);
    return again != nullptr && again->write (call_text ("open-2", kinds[2]))
           && again->read_response ().status == 200;
  }));
  EXPECT_EQ (c.runs_at (*plain), (int)kinds.size ());
}

// Guards against a request that is taken while an entry drains.
TEST (DrainLimit, NewRequestsAreRefusedUnrun)
{
  ClusterOptions o;
  o.extra_entry = "\"drain_limit_ms\":" + std::to_string (kDrainLimitMs) + ",";
  Cluster c (o);
  c.start ();
  kb::Target *plain = c.find_target (true);
  ASSERT_NE (plain, nullptr);
  kb::Process &entry = c.entries[0].process;
  std::string address = "127.0.0.1:" + std::to_string (entry.http_port);
  auto kept = relay::dial (address);
  ASSERT_NE (kept, nullptr);
  kept->write (call_text ("before", ""));
  ASSERT_EQ (kept->read_response ().status, 200);
  c.fault (plain->fake, "{\"latency_ms\":" + std::to_string (kAnswerMs) + "}");
  auto open = relay::dial (address);
  open->write (call_text ("open", ""));
  ASSERT_TRUE (Cluster::wait_until ([&] { return c.runs_at (*plain) == 2; }));
  Cluster::kill_process (entry, SIGTERM);
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  kept->write (call_text ("kept", ""));
  EXPECT_EQ (kept->read_response ().status, 503);
  auto fresh = relay::dial (address);
  ASSERT_NE (fresh, nullptr);
  fresh->write (call_text ("new", ""));
  EXPECT_EQ (fresh->read_response ().status, 503);
  EXPECT_EQ (c.runs_at (*plain), 2);
}

} // namespace
