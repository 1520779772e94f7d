// A request that ends each target that begins to run it, and that its caller
// sends repeatedly, under new attempt ids and through any gateway.
#include <gtest/gtest.h>

#include <signal.h>

#include "fatal.h"
#include "load.h"

namespace relay
{
namespace
{

Call
fatal_unsafe (int attempt)
{
  return plain_call ("fatal" + std::to_string (attempt), "/unsafe/fatal");
}

// A caller sends one request repeatedly through any gateway. Each engine that
// begins to run it ends, with the streams of all other callers there; dozens
// of engines ended within seconds: 24 ends by 12 sends, two each. Each send
// has an attempt id of its own, what an attempt did was forgotten with it, and
// each attempt went on to the next engine as well. The ends have caller, path
// and body in common, and stop when the request is not sent.
TEST (Repeat, FatalRequestReachesFewEnginesAfterTheThirdEnd)
{
  Site site (6, 0, 2);
  expect_few_after_third (site, fatal_stream, 12);
}

// The engine hangs instead of ending: connections stay open without an answer
// until it is restarted.
TEST (Repeat, HangingRequestReachesFewEnginesAfterTheThirdEnd)
{
  Site site (6, 0, 2);
  for (const Engine &engine : site.engines)
    engine.target->hangs_on_crash = true;
  expect_few_after_third (site, fatal_stream, 6);
}

Call
unique_stream (const std::string &id)
{
  Call call = stream_call (id, "");
  call.path = "/resume/" + id;
  return call;
}

// Guards against a request that is never alone at the engines that it ends,
// because it takes longer than others are kept waiting for it.
TEST (Repeat, SlowFatalRequestReachesFewBusyEnginesAfterTheThirdEnd)
{
  Site site (6, 0, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    engine.target->crash_delay_ms = 1500;
  Load load (&site, unique_stream, 6, 10);
  expect_few_after_third (site, fatal_stream, 8);
}

// The same with a plain service, whose targets have no sidecar: only gateways
// can detect what ended them.
TEST (Repeat, FatalRequestReachesFewPlainTargetsAfterTheThirdEnd)
{
  Site site (1, 6, 2);
  expect_few_after_third (site, fatal_plain, 12);
}

// Guards against an end that no gateway records, because a read of the list
// falls between the entries of two incarnations.
TEST (Repeat, FatalRequestReachesFewPlainTargetsThatAreListedLate)
{
  Site site (1, 6, 2);
  site.relist_delay_ms = 400;
  expect_few_after_third (site, fatal_plain, 12);
}

Call
unique_plain (const std::string &id)
{
  // Each id makes a different request.
  return plain_call (id, "/plain/" + id);
}

Call
unique_plain_m (const std::string &id)
{
  return plain_call ("m" + id, "/plain/m" + id);
}

Call
unique_plain_n (const std::string &id)
{
  return plain_call ("n" + id, "/plain/n" + id);
}

// Guards against a request that is never alone at the plain targets that it
// ends, because other requests are always there.
TEST (Repeat, FatalRequestReachesFewLoadedPlainTargetsAfterTheThirdEnd)
{
  Site site (1, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (const auto &target : site.plain)
    target->answer_ms = 120;
  // Different periods, so that there are other requests at each moment.
  Load load (&site, unique_plain, 12, 1);
  Load more (&site, unique_plain_m, 12, 13);
  Load yet_more (&site, unique_plain_n, 12, 31);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  expect_few_after_third (site, fatal_unsafe, 12);
  // Other requests are not affected once it is held.
  int refused = load.counts ().refused;
  int answered = load.counts ().answered;
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  EXPECT_EQ (load.counts ().refused, refused);
  EXPECT_GT (load.counts ().answered, answered);
}

/// Send a request through the first gateway until it is held.
/// @return  Whether it is held.
bool
send_until_held (Site &site, Call (*call_of) (int))
{
  site.crash_on_path ("/fatal");
  for (int attempt = 1000; attempt < 1020; attempt++)
    {
      Message answer = send_call (site.gateways[0], call_of (attempt));
      site.restart_ended_targets ();
      if (answer.status == 503 && answer.body == "quarantined")
        return true;
      std::this_thread::sleep_for (std::chrono::milliseconds (300));
    }
  return false;
}

/// @return  Whether a gateway holds a request within a time; sends it
///          repeatedly.
bool
is_held (const Gateway &gateway, Call (*call_of) (int), int timeout_ms)
{
  static int attempt = 2000;
  return Site::wait_for (
      [&] {
        return send_call (gateway, call_of (attempt++)).body == "quarantined";
      },
      timeout_ms);
}

// A held request is refused at once, as not run and with a retry-after time.
// Nothing else is refused: other requests of its caller, and the same request
// of another caller once it ends no targets any more.
TEST (Repeat, OnlyTheHeldRequestIsRefused)
{
  Site site (5, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  ASSERT_TRUE (send_until_held (site, fatal_stream));
  site.crash_on_path ("");
  Message refused = send_call (site.gateways[0], fatal_stream (1));
  EXPECT_EQ (refused.status, 503);
  EXPECT_GT (atof (refused.header ("retry-after").c_str ()), 60);
  EXPECT_EQ (site.runs_of ("fatal1"), 0);
  ASSERT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("else", "a1")).status
           == 200;
  }));
  Call same = fatal_stream (2);
  same.from = "127.0.0.77";
  EXPECT_EQ (send_call (site.gateways[0], same).status, 200);
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("p")).status, 200);
}

// An innocent request is sent at the same moments as one that ends engines, to
// the only two engines, and is at each engine that ends. It must be served as
// soon as the other one is held, and never be refused because of it.
TEST (Repeat, InnocentRequestOnEndedEnginesIsServed)
{
  Site site (2, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.crash_on_path ("/fatal");
  for (const Engine &engine : site.engines)
    engine.target->event_ms = 30;
  int held = 0;
  for (int round = 0; round < 14 && held < 2; round++)
    {
      Message fatal;
      std::thread other (
          [&] { fatal = send_call (site.gateways[0], fatal_stream (round)); });
      Message innocent = send_call (
          site.gateways[0],
          stream_call ("innocent" + std::to_string (round), "a1"));
      other.join ();
      EXPECT_NE (innocent.body, "quarantined");
      held += fatal.body == "quarantined";
      site.restart_ended_targets ();
      std::this_thread::sleep_for (std::chrono::milliseconds (700));
    }
  ASSERT_EQ (held, 2) << "the request that ends engines is not held";
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("innocent", "a1")).status
           == 200;
  }));
}

// Gateways restart while the store is unavailable. They have no records of
// their own, and the request would end three more targets through each.
TEST (Repeat, HoldSurvivesRestartsWhileTheStoreIsUnavailable)
{
  Site site (5, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  ASSERT_TRUE (send_until_held (site, fatal_stream));
  EXPECT_TRUE (is_held (site.gateways[1], fatal_stream, kPropagationMs))
      << "the other gateway does not know it";
  int before = site.crash_count ();
  for (Gateway &gateway : site.gateways)
    {
      site.restart (&gateway.daemon, SIGKILL);
      ASSERT_TRUE (
          Site::wait_for ([&] { return dial (gateway.ready) != nullptr; }));
      // Until it has a configuration, the gateway gives other answers.
      EXPECT_TRUE (is_held (gateway, fatal_stream, 4000));
    }
  // Restarted sidecars get the records from gateways and send them on.
  for (Engine &engine : site.engines)
    {
      site.restart (&engine.sidecar, SIGKILL);
      std::this_thread::sleep_for (std::chrono::milliseconds (600));
    }
  site.store.set_mode (Store::RESET);
  site.mirror_store.set_mode (Store::RESET);
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  site.restart (&site.gateways[1].daemon, SIGKILL);
  EXPECT_TRUE (is_held (site.gateways[0], fatal_stream, 1000));
  site.store.set_mode (Store::HEALTHY);
  site.mirror_store.set_mode (Store::HEALTHY);
  EXPECT_TRUE (is_held (site.gateways[1], fatal_stream, 6000));
  EXPECT_EQ (site.crash_count (), before);
}

// All daemons lose power at the same moment, and with it their records. The
// request is sent again as soon as they are back.
TEST (Repeat, HoldSurvivesPowerLossOfAllDaemons)
{
  Site site (5, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  ASSERT_TRUE (send_until_held (site, fatal_stream));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int before = site.crash_count ();
  site.stop (&site.gateways[0].daemon, SIGKILL);
  for (Engine &engine : site.engines)
    site.stop (&engine.sidecar, SIGKILL);
  for (Engine &engine : site.engines)
    site.start (&engine.sidecar);
  site.start (&site.gateways[0].daemon);
  EXPECT_TRUE (is_held (site.gateways[0], fatal_stream, 6000));
  EXPECT_EQ (site.crash_count (), before);
}

// Without engines there is no sidecar through which gateways could share
// records; each gateway would let the request end three targets.
TEST (Repeat, GatewaysWithoutSidecarsShareRecords)
{
  Site site (0, 6, 3);
  expect_few_after_third (site, fatal_plain, 12);
}

} // namespace
} // namespace relay
