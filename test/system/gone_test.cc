// Callers who leave before an entry or an agent that is late or frozen has
// read or answered their requests.
#include <gtest/gtest.h>

#include <signal.h>
#include <sys/socket.h>

#include "cluster.h"
#include "leavers.h"
#include "overload.h"

using kb::Cluster;
using kb::ClusterOptions;
using relay::Departure;
using relay::Frozen;
using relay::Leavers;
using relay::Moment;

namespace
{

constexpr int kCallers = 40;
constexpr int kPlains = 4;
/// Time before the callers leave, and from then until a process goes on.
constexpr int kPatienceMs = 200;
constexpr int kFrozenMs = 650;
/// Time in which what was sent on reaches a target.
constexpr int kSettleMs = 1000;

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/// A plain target that records when requests reach it, by their bodies, and
/// when the connections of those at work are closed.
class Recorder : public relay::Server
{
public:
  Recorder () : Server ("127.0.0.1") { start (); }
  ~Recorder () override { stop (); }
  std::atomic<int> answer_ms{ 20 };
  std::multimap<std::string, Moment>
  arrivals ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return arrivals_;
  }
  std::multimap<std::string, Moment>
  ends ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return ends_;
  }

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    {
      std::lock_guard<std::mutex> lock (mutex_);
      arrivals_.emplace (request.body, request.received_at);
    }
    // A stop shuts the connection down, which ends the wait.
    if (connection.wait_for_close (std::chrono::milliseconds (answer_ms))
        && !is_stopping_)
      {
        std::lock_guard<std::mutex> lock (mutex_);
        ends_.emplace (request.body, std::chrono::steady_clock::now ());
        return false;
      }
    return connection.write (relay::make_response (200, "", "an answer"));
  }
  std::mutex mutex_;
  std::multimap<std::string, Moment> arrivals_;
  std::multimap<std::string, Moment> ends_;
};

std::string
call_text (const std::string &id, const std::string &more)
{
  return "POST /v1/services/map-query/look HTTP/1.1\r\nHost: x\r\n"
         "Authorization: Bearer kavango-key\r\n"
         + more + "Content-Length: " + std::to_string (id.size ()) + "\r\n\r\n"
         + id;
}

std::string
safe_text (const std::string &id)
{
  return call_text (id, "X-Knapweedbay-Idempotent: true\r\n");
}

std::string
unsafe_text (const std::string &id)
{
  return call_text (id, "");
}

std::string
keyed_text (const std::string &id)
{
  return call_text (id, "Idempotency-Key: " + id + "\r\n");
}

class GoneSite
{
public:
  GoneSite () : cluster (options ())
  {
    cluster.start ();
    int at = 0;
    for (kb::Target &target : cluster.targets)
      if (target.is_plain)
        cluster.use_stand_in (target, targets[at++].address ());
    cluster.publish ();
    cluster.wait_ready ();
    entry
        = "127.0.0.1:" + std::to_string (cluster.entries[0].process.http_port);
  }
  std::multimap<std::string, Moment>
  arrivals ()
  {
    std::multimap<std::string, Moment> all;
    for (Recorder &target : targets)
      all.merge (target.arrivals ());
    return all;
  }
  std::multimap<std::string, Moment>
  ends ()
  {
    std::multimap<std::string, Moment> all;
    for (Recorder &target : targets)
      all.merge (target.ends ());
    return all;
  }
  Recorder targets[kPlains];
  Cluster cluster;
  std::string entry; ///< Address of the first one.

private:
  static ClusterOptions
  options ()
  {
    ClusterOptions options;
    options.engines = 1;
    options.plains = kPlains;
    options.slots = 16;
    options.max_batch = 16;
    return options;
  }
};

/// Half of the callers leave while the entry is frozen.
void
expect_no_work_for_the_gone (GoneSite &site, bool are_kept,
                             Departure departure,
                             std::string (*text_of) (const std::string &id))
{
  Leavers leavers (site.entry, text_of, kCallers);
  if (are_kept)
    {
      ASSERT_NO_FATAL_FAILURE (leavers.connect_served (safe_text));
    }
  Frozen entry (site.cluster.entries[0].process.pid);
  if (!are_kept)
    {
      ASSERT_NO_FATAL_FAILURE (leavers.connect ());
    }
  leavers.send ();
  sleep_ms (kPatienceMs);
  leavers.leave (departure, kCallers / 2);
  sleep_ms (kFrozenMs);
  entry.go_on ();
  leavers.expect_the_rest_served ();
  sleep_ms (kSettleMs);
  EXPECT_EQ (leavers.count_late (site.arrivals ()), 0);
}

void
expect_no_work_for_the_gone (bool are_kept, Departure departure,
                             std::string (*text_of) (const std::string &id))
{
  GoneSite site;
  expect_no_work_for_the_gone (site, are_kept, departure, text_of);
}

// Guards against a dispatch for callers whose close waits in the kernel.
TEST (GoneOwn, FrozenEntrySendsNothingOfCallersOnKeptConnections)
{
  expect_no_work_for_the_gone (true, Departure::CLOSE, safe_text);
}

// Guards against the same on connections that were not accepted yet.
TEST (GoneOwn, FrozenEntrySendsNothingOfCallersOnNewConnections)
{
  expect_no_work_for_the_gone (false, Departure::CLOSE, safe_text);
}

// Guards against the same where the caller or its proxy resets.
TEST (GoneOwn, FrozenEntrySendsNothingAfterAReset)
{
  expect_no_work_for_the_gone (true, Departure::RESET, safe_text);
}

// Guards against a close that is hidden by another request before it.
TEST (GoneOwn, FrozenEntrySendsNothingWhereANextRequestHidesTheClose)
{
  expect_no_work_for_the_gone (true, Departure::CLOSE_AFTER_NEXT, safe_text);
}

// Guards against the same for requests that run once at most.
TEST (GoneOwn, FrozenEntrySendsNoUnsafeRequestOfTheGone)
{
  expect_no_work_for_the_gone (true, Departure::CLOSE, unsafe_text);
}

// Guards against the same for requests with a key, which is claimed first.
TEST (GoneOwn, FrozenEntrySendsNoKeyedRequestOfTheGone)
{
  expect_no_work_for_the_gone (true, Departure::CLOSE, keyed_text);
}

// Guards against the same while the key-value service does not answer.
TEST (GoneOwn, FrozenEntrySendsNothingWhileTheStoreIsAway)
{
  GoneSite site;
  Frozen store (site.cluster.kv.pid);
  expect_no_work_for_the_gone (site, true, Departure::CLOSE, safe_text);
}

// Guards against work that an agent starts though its cancel has arrived.
TEST (GoneOwn, FrozenAgentsStartNothingOfTheGone)
{
  GoneSite site;
  Leavers leavers (site.entry, safe_text, kCallers);
  ASSERT_NO_FATAL_FAILURE (leavers.connect_served (safe_text));
  std::vector<std::unique_ptr<Frozen>> agents;
  for (const kb::Target &target : site.cluster.targets)
    if (target.is_plain)
      agents.push_back (std::make_unique<Frozen> (target.agent.pid));
  leavers.send ();
  sleep_ms (kPatienceMs);
  leavers.leave (Departure::CLOSE, kCallers);
  sleep_ms (kFrozenMs + 200);
  agents.clear ();
  sleep_ms (kSettleMs);
  EXPECT_EQ (leavers.count_late (site.arrivals ()), 0);
}

/// Work for callers who leave ends within the bound.
void
expect_work_stops (Departure departure, int run_ms)
{
  GoneSite site;
  for (Recorder &target : site.targets)
    target.answer_ms = 3000;
  Leavers leavers (site.entry, safe_text, kCallers);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  leavers.send ();
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return site.arrivals ().size () == (size_t)kCallers; }, 2000));
  sleep_ms (520);
  {
    relay::Throttle throttle (site.cluster.entries[0].process.pid, run_ms);
    leavers.leave (departure, kCallers);
    sleep_ms (kSettleMs);
  }
  EXPECT_EQ (leavers.count_worked_for (site.ends ()), 0);
}

// Guards against work at targets that goes on after the callers have left.
TEST (GoneOwn, WorkStopsForTheGone)
{
  expect_work_stops (Departure::CLOSE, 100);
}

// Guards against the same where a next request hides the close.
TEST (GoneOwn, WorkStopsWhereANextRequestHidesTheClose)
{
  expect_work_stops (Departure::CLOSE_AFTER_NEXT, 100);
}

// Guards against the same at an entry that is short of processor.
TEST (GoneOwn, EntryShortOfProcessorStopsWorkForTheGone)
{
  expect_work_stops (Departure::CLOSE, 5);
}

// Guards against a caller who closes its sending side and is left without an
// answer that says whether its request ran.
TEST (GoneOwn, CallerThatClosesItsSendingSideIsToldThatNothingRan)
{
  GoneSite site;
  auto connection = relay::dial (site.entry);
  ASSERT_NE (connection, nullptr);
  {
    Frozen entry (site.cluster.entries[0].process.pid);
    connection->write (safe_text ("half"));
    shutdown (connection->fd (), SHUT_WR);
    sleep_ms (50);
  }
  relay::Message answer = connection->read_response ();
  EXPECT_EQ (answer.status, 503);
  EXPECT_EQ (answer.header ("x-knapweedbay-outcome"), "not_run");
  EXPECT_EQ (site.arrivals ().count ("half"), 0U);
}

// Guards against callers who are present and taken for gone.
TEST (GoneOwn, CallersOfOldProtocolsAreServed)
{
  GoneSite site;
  std::string text = safe_text ("old");
  text.replace (text.find ("HTTP/1.1"), 8, "HTTP/1.0");
  auto connection = relay::dial (site.entry);
  ASSERT_NE (connection, nullptr);
  connection->write (text);
  EXPECT_EQ (connection->read_response ().status, 200);
  connection = relay::dial (site.entry);
  ASSERT_NE (connection, nullptr);
  connection->write (safe_text ("two-1") + safe_text ("two-2"));
  EXPECT_EQ (connection->read_response ().status, 200);
  EXPECT_EQ (connection->read_response ().status, 200);
}

} // namespace
