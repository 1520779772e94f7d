// Quarantine of a request that ends each engine that starts to run it, and is
// sent repeatedly through any entry.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Time for quarantine records of one entry to reach the others.
constexpr int kPropagationMs = 1000;
/// Further ends allowed once the third end has reached all entries.
constexpr int kMaxEndsAfterThird = 3;

/// Make the engines end when they run a prompt that contains the text.
void
set_fatal_text (Cluster &c, const std::string &text)
{
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"end_on\":\"" + text + "\"}");
}

Answer
send_fatal (Cluster &c, int entry, const std::string &key = "kavango-key")
{
  return c.complete (entry, "a1@1", "fatal prompt", {}, 8, false, key);
}

/// @return  Whether the request was refused with a Retry-After of over 60 s.
bool
is_quarantined (const Answer &answer)
{
  auto it = answer.headers.find ("retry-after");
  return answer.status == 503 && it != answer.headers.end ()
         && atoi (it->second.c_str ()) > 60;
}

void
send_until_quarantined (Cluster &c)
{
  set_fatal_text (c, "fatal");
  for (int i = 0; i < 20 && !is_quarantined (send_fatal (c, 0)); i++)
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
}

// One request, sent repeatedly, ends engine after engine, together with all
// that runs there. Without quarantine a single send already ends six, as the
// request is idempotent and the entry retries it at the next engine.
TEST (RepeatedEnd, FatalRequestReachesFewEnginesAfterThirdEnd)
{
  ClusterOptions options;
  options.engines = 8;
  Cluster c (options);
  c.start ();
  set_fatal_text (c, "fatal");
  for (int i = 0; i < 10 && c.stat_sum ("ends") < 3; i++)
    send_fatal (c, i % 2);
  ASSERT_GE (c.stat_sum ("ends"), 3);
  std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
  int64_t before = c.stat_sum ("ends");
  for (int i = 0; i < 10; i++)
    {
      send_fatal (c, i % 2);
      std::this_thread::sleep_for (std::chrono::milliseconds (200));
    }
  EXPECT_LE (c.stat_sum ("ends") - before, kMaxEndsAfterThird);
}

// Only this request of this workspace is quarantined: other requests of the
// workspace, and the same request of another workspace, are served.
TEST (RepeatedEnd, OtherRequestsAreNotQuarantined)
{
  Cluster c (ClusterOptions{});
  c.start ();
  send_until_quarantined (c);
  set_fatal_text (c, "");
  EXPECT_TRUE (is_quarantined (send_fatal (c, 0)));
  EXPECT_TRUE (is_quarantined (send_fatal (c, 1)));
  Answer other = c.complete (0, "a1@1", "another prompt");
  EXPECT_EQ (other.status, 200) << other.body;
  other = send_fatal (c, 0, "skjamynd-key");
  EXPECT_EQ (other.status, 200) << other.body;
}

// Guards against a fake engine that dies for good when a stream ends it: its
// counters would be lost.
TEST (RepeatedEnd, StreamThatEndsItsEngineIsCounted)
{
  Cluster c (ClusterOptions{});
  c.start ();
  set_fatal_text (c, "fatal");
  c.complete (0, "a1@1", "fatal prompt", {}, 8, true);
  EXPECT_GE (c.stat_sum ("ends"), 1);
}

// Guards against a request that counts as the cause of an end because it
// started alone, although others were let in after it had blocked them for the
// longest time allowed.
TEST (RepeatedEnd, SlowStartIsNotAloneOnceOthersStart)
{
  ClusterOptions options;
  options.engines = 1;
  Cluster c (options);
  c.start ();
  c.complete (0, "a1@1", "warm");
  for (int end = 1; end <= 3; end++)
    {
      for (auto &t : c.targets)
        if (!t.is_plain)
          c.fault (t.fake, "{\"step_ms\":1500,\"end_on\":\"fatal\"}");
      std::thread innocent (
          [&] { c.complete (0, "a1@1", "innocent", {}, 2); });
      // The third one has to start alone and blocks others for 1 s.
      std::this_thread::sleep_for (
          std::chrono::milliseconds (end == 3 ? 1400 : 300));
      // Each is another request, which has ended nothing before.
      c.complete (0, "a1@1", "fatal " + std::to_string (end), {}, 2);
      innocent.join ();
      ASSERT_EQ (c.stat_sum ("ends"), end);
      std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
    }
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"step_ms\":1}");
  Answer answer;
  EXPECT_TRUE (Cluster::wait_until ([&] {
    answer = c.complete (0, "a1@1", "innocent", {}, 2);
    return answer.status == 200 || is_quarantined (answer);
  }));
  EXPECT_EQ (answer.status, 200) << answer.body;
}

// A restarted entry must receive the quarantine records from other processes
// and refuse the request without ending another engine.
TEST (RepeatedEnd, QuarantineSurvivesEntryRestart)
{
  Cluster c (ClusterOptions{});
  c.start ();
  send_until_quarantined (c);
  int64_t before = c.stat_sum ("ends");
  int http = c.entries[1].process.http_port;
  int inner = c.entries[1].process.inner_port;
  Cluster::kill_process (c.entries[1].process, SIGKILL);
  c.start_entry (c.entries[1], http, inner);
  EXPECT_TRUE (Cluster::wait_until (
      [&] { return is_quarantined (send_fatal (c, 1)); }, 5000));
  EXPECT_EQ (c.stat_sum ("ends"), before);
}

} // namespace
