// Callers who leave before an entry that is late or frozen has read or
// answered their requests.
#include <gtest/gtest.h>

#include <sys/socket.h>

#include "leavers.h"
#include "overload.h"

namespace relay
{
namespace
{

constexpr int kCallers = 60;
/// Time before the callers leave, and from then until the entry goes on.
constexpr int kPatienceMs = 200;
constexpr int kFrozenMs = 650;
/// Time in which what was sent on reaches a target.
constexpr int kSettleMs = 1000;

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

std::string
plain_text (const std::string &id)
{
  return plain_call (id, "/plain/" + id).text ();
}

std::string
unsafe_text (const std::string &id)
{
  Call call = plain_call (id, "/unsafe/" + id);
  call.method = "POST";
  call.body = "a body";
  return call.text ();
}

std::string
stream_text (const std::string &id)
{
  Call call = stream_call (id, "");
  call.body += id;
  return call.text ();
}

enum class Callers
{
  KEPT, ///< On connections that have served a request.
  NEW,
};

/// Half of the callers leave while the entry is frozen.
void
expect_no_work_for_the_gone (Site &site, Callers callers, Departure departure,
                             std::string (*text_of) (const std::string &id))
{
  for (const auto &target : site.plain)
    target->answer_ms = 50;
  // Idle connections to the targets: a request is sent at once.
  Leavers warm (site.gateways[0].address, plain_text, kCallers);
  ASSERT_NO_FATAL_FAILURE (warm.connect_served (plain_text));
  Leavers leavers (site.gateways[0].address, text_of, kCallers);
  if (callers == Callers::KEPT)
    {
      ASSERT_NO_FATAL_FAILURE (leavers.connect_served (plain_text));
    }
  Frozen entry (site.gateways[0].daemon.pid);
  if (callers == Callers::NEW)
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
  EXPECT_EQ (leavers.count_late (arrivals_of (site)), 0);
}

void
expect_no_work_for_the_gone (Callers callers, Departure departure,
                             std::string (*text_of) (const std::string &id))
{
  Site site (4, 4, 1);
  ASSERT_TRUE (site.wait_ready ());
  expect_no_work_for_the_gone (site, callers, departure, text_of);
}

// Guards against a first send for callers whose close waits in the kernel.
TEST (Gone, FrozenEntrySendsNothingOfCallersOnKeptConnections)
{
  expect_no_work_for_the_gone (Callers::KEPT, Departure::CLOSE, plain_text);
}

// Guards against the same on connections that were not accepted yet.
TEST (Gone, FrozenEntrySendsNothingOfCallersOnNewConnections)
{
  expect_no_work_for_the_gone (Callers::NEW, Departure::CLOSE, plain_text);
}

// Guards against the same for requests that run once at most.
TEST (Gone, FrozenEntrySendsNoUnsafeRequestOfTheGone)
{
  expect_no_work_for_the_gone (Callers::KEPT, Departure::CLOSE, unsafe_text);
}

// Guards against the same for streams, which ask for a place first.
TEST (Gone, FrozenEntrySendsNoStreamOfTheGone)
{
  expect_no_work_for_the_gone (Callers::KEPT, Departure::CLOSE, stream_text);
}

// Guards against the same where the caller or its proxy resets.
TEST (Gone, FrozenEntrySendsNothingAfterAReset)
{
  expect_no_work_for_the_gone (Callers::KEPT, Departure::RESET, plain_text);
}

// Guards against a close that is hidden by another request before it.
TEST (Gone, FrozenEntrySendsNothingWhereANextRequestHidesTheClose)
{
  expect_no_work_for_the_gone (Callers::KEPT, Departure::CLOSE_AFTER_NEXT,
                               plain_text);
}

// Guards against the same while the store is away.
TEST (Gone, FrozenEntrySendsNothingWhileTheStoreIsAway)
{
  Site site (2, 4, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::RESET);
  expect_no_work_for_the_gone (site, Callers::KEPT, Departure::CLOSE,
                               plain_text);
}

// Guards against the same at an entry that was restarted.
TEST (Gone, FrozenEntrySendsNothingAfterItsRestart)
{
  Site site (2, 4, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.restart (&site.gateways[0].daemon, SIGKILL);
  ASSERT_TRUE (site.wait_ready ());
  expect_no_work_for_the_gone (site, Callers::KEPT, Departure::CLOSE,
                               plain_text);
}

// Guards against a retry for callers who left during the first attempt.
TEST (Gone, FrozenEntryRetriesNothingOfTheGone)
{
  Site site (2, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (10);
  for (const auto &target : site.plain)
    target->answer_ms = 50;
  Leavers warm (site.gateways[0].address, plain_text, kCallers);
  ASSERT_NO_FATAL_FAILURE (warm.connect_served (plain_text));
  for (const auto &target : site.plain)
    target->answer_ms = 4000;
  Leavers leavers (site.gateways[0].address, plain_text, 20);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  auto runs = [&] { return site.plain[0]->runs () + site.plain[1]->runs (); };
  int before = runs ();
  leavers.send ();
  ASSERT_TRUE (Site::wait_for ([&] { return runs () == before + 20; }));
  Frozen entry (site.gateways[0].daemon.pid);
  site.plain[0]->simulate_exit ();
  sleep_ms (50);
  leavers.leave (Departure::CLOSE, 20);
  sleep_ms (kFrozenMs);
  entry.go_on ();
  sleep_ms (kSettleMs);
  EXPECT_EQ (leavers.count_late (arrivals_of (site)), 0);
}

// Guards against a send after an adapter was fetched and a place granted.
TEST (Gone, FrozenEntryUsesNoPlaceGrantedToTheGone)
{
  Site site (2, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  Leavers warm (site.gateways[0].address, stream_text, 20);
  ASSERT_NO_FATAL_FAILURE (warm.connect_served (stream_text));
  for (const Engine &engine : site.engines)
    engine.target->load_ms = 150;
  auto adapter_text = [] (const std::string &id) {
    char last = id.back ();
    return stream_call (id, std::string ("a") + (char)('0' + last % 4))
        .text ();
  };
  Leavers leavers (site.gateways[0].address, adapter_text, 20);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  leavers.send ();
  sleep_ms (60);
  Frozen entry (site.gateways[0].daemon.pid);
  sleep_ms (200);
  leavers.leave (Departure::CLOSE, 20);
  sleep_ms (kFrozenMs);
  entry.go_on ();
  sleep_ms (kSettleMs);
  EXPECT_EQ (leavers.count_late (arrivals_of (site)), 0);
}

// Guards against a suspect that is sent for callers who left while its target
// was asked whether it is alive.
TEST (Gone, FrozenEntrySendsNoSuspectOfTheGone)
{
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.crash_on_path ("/fatal");
  send_call (site.gateways[0], plain_call ("f1", "/plain/fatal"));
  sleep_ms (300);
  site.restart_ended_targets ();
  ASSERT_TRUE (site.wait_ready ());
  site.crash_on_path ("");
  for (const auto &target : site.plain)
    target->health_delay_ms = 150;
  auto fatal_text = [] (const std::string &id) {
    return plain_call (id, "/plain/fatal").text ();
  };
  Leavers leavers (site.gateways[0].address, fatal_text, 2);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  leavers.send ();
  sleep_ms (60);
  Frozen entry (site.gateways[0].daemon.pid);
  sleep_ms (200);
  leavers.leave (Departure::CLOSE, 2);
  sleep_ms (kFrozenMs);
  entry.go_on ();
  sleep_ms (kSettleMs);
  EXPECT_EQ (leavers.count_late (arrivals_of (site)), 0);
}

// Guards against a stream that is resumed elsewhere for callers who left.
TEST (Gone, FrozenEntryResumesNoStreamOfTheGone)
{
  Site site (2, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  Leavers warm (site.gateways[0].address, stream_text, 20);
  ASSERT_NO_FATAL_FAILURE (warm.connect_served (stream_text));
  for (const Engine &engine : site.engines)
    {
      engine.target->event_ms = 100;
      engine.target->events = 60;
    }
  Leavers leavers (site.gateways[0].address, stream_text, 10);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  leavers.send ();
  sleep_ms (500);
  Frozen entry (site.gateways[0].daemon.pid);
  site.engines[0].target->simulate_exit ();
  sleep_ms (100);
  leavers.leave (Departure::CLOSE, 10);
  sleep_ms (kFrozenMs);
  entry.go_on ();
  sleep_ms (kSettleMs);
  EXPECT_EQ (leavers.count_late (arrivals_of (site)), 0);
}

/// Callers give up at an entry that runs for a part of the time.
void
expect_no_work_for_the_gone_while_slow (
    int run_ms, int patience_ms,
    std::string (*text_of) (const std::string &id))
{
  constexpr int kRounds = 20;
  Site site (2, 4, 1);
  ASSERT_TRUE (site.wait_ready ());
  Leavers warm (site.gateways[0].address, plain_text, kCallers);
  for (const auto &target : site.plain)
    target->answer_ms = 50;
  ASSERT_NO_FATAL_FAILURE (warm.connect_served (plain_text));
  std::vector<std::unique_ptr<Leavers>> series;
  for (int i = 0; i < kRounds; i++)
    {
      series.push_back (std::make_unique<Leavers> (site.gateways[0].address,
                                                   text_of, kCallers));
      ASSERT_NO_FATAL_FAILURE (series.back ()->connect ());
    }
  {
    Throttle throttle (site.gateways[0].daemon.pid, run_ms);
    std::vector<std::thread> leaving;
    for (auto &leavers : series)
      {
        leavers->send ();
        leaving.emplace_back ([&leavers, patience_ms] {
          sleep_ms (patience_ms);
          leavers->leave (Departure::CLOSE, kCallers);
        });
        sleep_ms (150);
      }
    for (std::thread &thread : leaving)
      thread.join ();
    sleep_ms (kSettleMs);
  }
  sleep_ms (kSettleMs);
  int late = 0;
  for (const auto &leavers : series)
    late += leavers->count_late (arrivals_of (site));
  EXPECT_EQ (late, 0);
}

// Guards against requests of the gone that an entry short of processor reads
// late.
TEST (Gone, EntryShortOfProcessorSendsNothingOfTheGone)
{
  expect_no_work_for_the_gone_while_slow (1, 250, plain_text);
}

// Guards against the same for streams.
TEST (Gone, EntryShortOfProcessorSendsNoStreamOfTheGone)
{
  expect_no_work_for_the_gone_while_slow (1, 250, stream_text);
}

/// Streams at engines whose work ends within the bound after all callers have
/// left.
void
expect_work_stops (int run_ms)
{
  Site site (2, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    {
      engine.target->event_ms = 20;
      engine.target->events = 300;
    }
  Leavers leavers (site.gateways[0].address, stream_text, 10);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  leavers.send ();
  auto runs = [&] {
    return site.engines[0].target->runs () + site.engines[1].target->runs ();
  };
  auto abandoned = [&] {
    return (int)site.engines[0].target->abandoned_streams
           + (int)site.engines[1].target->abandoned_streams;
  };
  ASSERT_TRUE (Site::wait_for ([&] { return runs () >= 6; }));
  int working = runs ();
  Throttle throttle (site.gateways[0].daemon.pid, run_ms);
  sleep_ms (200);
  leavers.leave (Departure::CLOSE, 10);
  sleep_ms (kGoneBoundMs);
  int stopped = abandoned ();
  printf ("%d of %d streams were stopped\n", stopped, working);
  EXPECT_GE (4 * stopped, 3 * working);
}

// Guards against work at targets that goes on after the callers have left.
TEST (Gone, EntryShortOfProcessorStopsWorkForTheGone)
{
  expect_work_stops (1);
}

/// A request whose body is as large as what a connection may bring without
/// waiting for its turn.
std::string
large_text (const std::string &id)
{
  Call call = plain_call (id, "/plain/" + id);
  call.method = "POST";
  call.body = std::string (65536, 'x');
  return call.text ();
}

// Guards against a close that is read late because the connection has brought
// much and waits for its turn to be read.
TEST (Gone, WorkStopsForCallersOfLargeRequestsBesideBusyTargets)
{
  constexpr int kFloods = 3;
  constexpr int kLargeCallers = 100;
  Site site (2, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    engine.target->endless_ms = 8000;
  for (const auto &target : site.plain)
    target->answer_ms = 3000;
  Leavers leavers (site.gateways[0].address, large_text, kLargeCallers);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  std::vector<std::thread> floods;
  for (int i = 0; i < kFloods; i++)
    floods.emplace_back ([&site, i] {
      Call call = stream_call ("flood" + std::to_string (i), "");
      call.path = "/resume/endless-" + std::to_string ((int)Endless::COMMENTS);
      auto connection = dial (site.gateways[0].address);
      if (connection == nullptr || !connection->write (call.text ()))
        return;
      auto end = std::chrono::steady_clock::now ()
                 + std::chrono::milliseconds (4000);
      while (std::chrono::steady_clock::now () < end)
        connection->read_some (10);
    });
  sleep_ms (500);
  leavers.send ();
  auto running = [&] {
    return leavers.count_if (
        [&] (const std::string &id) { return has_run (site, id); });
  };
  EXPECT_TRUE (
      Site::wait_for ([&] { return running () == kLargeCallers; }, 2000))
      << running ();
  {
    Throttle throttle (site.gateways[0].daemon.pid, 10);
    leavers.leave (Departure::CLOSE, kLargeCallers);
    sleep_ms (kSettleMs);
  }
  EXPECT_EQ (leavers.count_worked_for (ended_work_of (site)), 0);
  for (std::thread &flood : floods)
    flood.join ();
}

// Guards against work of many callers whose closes wait behind one another.
TEST (Gone, EntryShortOfProcessorStopsWorkForManyOfTheGone)
{
  constexpr int kMany = 100;
  Site site (1, 4, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const auto &target : site.plain)
    target->answer_ms = 3000;
  Leavers leavers (site.gateways[0].address, plain_text, kMany);
  ASSERT_NO_FATAL_FAILURE (leavers.connect ());
  leavers.send ();
  auto running = [&] {
    return leavers.count_if (
        [&] (const std::string &id) { return has_run (site, id); });
  };
  ASSERT_TRUE (Site::wait_for ([&] { return running () == kMany; }, 1500))
      << running ();
  {
    Throttle throttle (site.gateways[0].daemon.pid, 3);
    leavers.leave (Departure::CLOSE, kMany);
    sleep_ms (kSettleMs);
  }
  EXPECT_LE (4 * leavers.count_worked_for (ended_work_of (site)), kMany);
}

// Guards against a request that runs though nobody can be told of it.
TEST (Gone, RequestOfACallerThatClosesItsSendingSideDoesNotRun)
{
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  auto connection = dial (site.gateways[0].address);
  ASSERT_NE (connection, nullptr);
  {
    Frozen entry (site.gateways[0].daemon.pid);
    connection->write (plain_text ("half"));
    shutdown (connection->fd (), SHUT_WR);
    sleep_ms (50);
  }
  EXPECT_TRUE (connection->peer_has_closed (3000));
  EXPECT_EQ (arrivals_of (site).count ("half"), 0U);
}

// Guards against callers who are present and taken for gone.
TEST (Gone, CallersOfOldProtocolsAreServed)
{
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  std::string text = plain_text ("old-1");
  text.replace (text.find ("HTTP/1.1"), 8, "HTTP/1.0");
  auto connection = dial (site.gateways[0].address);
  ASSERT_NE (connection, nullptr);
  connection->write (text);
  EXPECT_EQ (connection->read_response ().status, 200);
  connection = dial (site.gateways[0].address);
  ASSERT_NE (connection, nullptr);
  connection->write (plain_text ("two-1") + plain_text ("two-2"));
  EXPECT_EQ (connection->read_response ().status, 200);
  EXPECT_EQ (connection->read_response ().status, 200);
}

} // namespace
} // namespace relay
