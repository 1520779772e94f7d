// Answers of a plain target that do not show whether it lived on: they have
// neither a length nor chunks, or are an error, through the entries and
// agents.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "cluster.h"
#include "http_peer.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Time for quarantine records of one entry to reach the others.
constexpr int kPropagationMs = 1000;
/// Further ends allowed once the third end has reached all entries.
constexpr int kMaxEndsAfterThird = 3;

/// A plain target whose answers have no length, or are errors. A request with
/// the body "fatal" crashes it after its answer.
class ClosingTarget : public relay::Server
{
public:
  ClosingTarget () : Server ("127.0.0.1") { start (); }
  ~ClosingTarget () override { stop (); }
  std::atomic<bool> crashes{ true };
  std::atomic<bool> answers_error{ false };

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    if (answers_error)
      connection.write (relay::make_response (500, "", "failed"));
    else
      connection.write ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
                        "an answer");
    if (request.body != "fatal" || !crashes)
      return false;
    connection.close ();
    std::this_thread::sleep_for (std::chrono::milliseconds (20));
    simulate_exit ();
    return false;
  }
};

/// A cluster whose plain targets are of this kind.
class Site
{
public:
  Site () : cluster (options ())
  {
    cluster.start ();
    int at = 0;
    for (kb::Target &t : cluster.targets)
      if (t.is_plain)
        cluster.use_stand_in (t, targets[at++].address ());
    cluster.publish ();
    cluster.wait_ready ();
  }
  Answer
  send (int entry, const std::string &body)
  {
    return kb::http_call ("POST", cluster.entries[entry].process.http_port,
                          "/v1/services/map-query/look", body,
                          { "Authorization: Bearer kavango-key" });
  }
  int
  ends ()
  {
    int sum = 0;
    for (ClosingTarget &t : targets)
      sum += t.exit_count ();
    return sum;
  }
  /// Send and let the targets that ended come back after a while.
  Answer
  send_and_restart (int entry, const std::string &body)
  {
    Answer answer = send (entry, body);
    std::this_thread::sleep_for (std::chrono::milliseconds (800));
    for (ClosingTarget &t : targets)
      t.listen_again ();
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    return answer;
  }
  ClosingTarget targets[4];
  Cluster cluster;

private:
  static ClusterOptions
  options ()
  {
    ClusterOptions options;
    options.engines = 1;
    options.plains = 4;
    return options;
  }
};

void
expect_few_after_third (Site &site)
{
  for (int i = 0; i < 12 && site.ends () < 3; i++)
    site.send_and_restart (i % 2, "fatal");
  ASSERT_GE (site.ends (), 3);
  std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
  int before = site.ends ();
  for (int i = 0; i < 8; i++)
    site.send_and_restart (i % 2, "fatal");
  EXPECT_LE (site.ends () - before, kMaxEndsAfterThird);
}

// Guards against a request that ends target after target, because the end of
// its connection counts as the end of its answer.
TEST (Unframed, FatalRequestReachesFewPlainTargetsAfterTheThirdEnd)
{
  Site site;
  expect_few_after_third (site);
}

// Guards against the same of a request that is answered with an error before
// its target ends.
TEST (Unframed, FatalRequestThatGetsAnErrorReachesFewPlainTargets)
{
  Site site;
  for (ClosingTarget &t : site.targets)
    t.answers_error = true;
  expect_few_after_third (site);
}

// Guards against a record that no answer of this kind clears.
TEST (Unframed, AnswersOfTargetsThatLiveOnClearARequest)
{
  Site site;
  for (int i = 0; i < 12 && site.ends () < 2; i++)
    site.send_and_restart (0, "fatal");
  ASSERT_EQ (site.ends (), 2);
  for (ClosingTarget &t : site.targets)
    t.crashes = false;
  EXPECT_EQ (site.send_and_restart (0, "fatal").status, 200);
  for (ClosingTarget &t : site.targets)
    t.crashes = true;
  int before = site.ends ();
  site.send_and_restart (0, "fatal");
  EXPECT_EQ (site.ends (), before + 1);
  for (ClosingTarget &t : site.targets)
    t.crashes = false;
  EXPECT_EQ (site.send (0, "fatal").status, 200);
}

} // namespace
