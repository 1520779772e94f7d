// Answers that wait in the kernel of an entry or an agent that is frozen.
#include <gtest/gtest.h>

#include "cluster.h"
#include "leavers.h"

using kb::Cluster;
using kb::ClusterOptions;
using relay::Frozen;
using relay::Leavers;

namespace
{

constexpr int kCallers = 20;
constexpr int kAnswerMs = 900;
/// From the moment at which the requests are sent, past their time limit.
constexpr int kFrozenFromMs = 500;
constexpr int kFrozenForMs = 1700;

std::string
unsafe_text (const std::string &id)
{
  return "POST /v1/services/map-query/look HTTP/1.1\r\nHost: x\r\n"
         "Authorization: Bearer kavango-key\r\n"
         "X-Knapweedbay-Timeout-Ms: 2000\r\nContent-Length: "
         + std::to_string (id.size ()) + "\r\n\r\n" + id;
}

class LateEntryOwn : public ::testing::Test
{
protected:
  LateEntryOwn () : cluster (options ())
  {
    cluster.start ();
    for (const kb::Target &target : cluster.targets)
      if (target.is_plain)
        cluster.fault (target.fake,
                       "{\"latency_ms\":" + std::to_string (kAnswerMs) + "}");
  }
  /// All answers arrive while processes are frozen, and are delivered.
  void
  expect_answers_delivered (const std::vector<pid_t> &pids)
  {
    Leavers callers (
        "127.0.0.1:" + std::to_string (cluster.entries[0].process.http_port),
        unsafe_text, kCallers);
    ASSERT_NO_FATAL_FAILURE (callers.connect ());
    callers.send ();
    sleep_ms (kFrozenFromMs);
    {
      std::vector<std::unique_ptr<Frozen>> frozen;
      for (pid_t pid : pids)
        frozen.push_back (std::make_unique<Frozen> (pid));
      sleep_ms (kFrozenForMs);
    }
    callers.expect_the_rest_served ();
  }
  Cluster cluster;

private:
  static ClusterOptions
  options ()
  {
    ClusterOptions options;
    options.engines = 1;
    options.plains = 4;
    options.slots = 16;
    options.max_batch = 16;
    return options;
  }
  static void
  sleep_ms (int ms)
  {
    std::this_thread::sleep_for (std::chrono::milliseconds (ms));
  }
};

// Guards against a timeout for callers whose answers wait at their entry.
TEST_F (LateEntryOwn, FrozenEntryDeliversAnswersThatHaveArrived)
{
  expect_answers_delivered ({ cluster.entries[0].process.pid });
}

} // namespace
