// A request that ends each engine that begins to run it, and is sent again and
// again, through any entry.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Time for what one entry learns to reach the others.
constexpr int kPropagationMs = 1000;
/// Sends that may still end an engine after the third end has spread.
constexpr int kMaxEndsAfterThird = 3;

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

/// @return  Whether it is refused without having run, for a long time.
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

// One request, sent again, ends engine after engine, and with each all that
// runs there. A single send already ends six: it may be repeated, and the
// entry tries the next engine each time.
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

// What is held is this request of this workspace: its other requests and the
// same one of another workspace are served.
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

// An entry that starts again has learnt nothing by itself.
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
