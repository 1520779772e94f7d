// The relay roles before stand-ins: what callers and targets see, with and
// without faults.
#include <gtest/gtest.h>

#include <signal.h>

#include <fstream>
#include <numeric>

#include "site.h"

namespace relay
{
namespace
{

std::vector<int>
up_to (int last)
{
  std::vector<int> ids ((size_t)last);
  std::iota (ids.begin (), ids.end (), 1);
  return ids;
}

Call
plain_call (const std::string &id, const std::string &path = "/plain/x")
{
  Call call;
  call.id = id;
  call.path = path;
  return call;
}

TEST (Relay, AnswersEveryKindOfRequest)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  Message m = send_call (site.gateways[0], plain_call ("p1"));
  EXPECT_EQ (m.status, 200);
  EXPECT_TRUE (m.is_whole);
  EXPECT_EQ (m.header ("x-knapweedbay-attempt-id"), "p1");
  EXPECT_NE (m.header ("x-knapweedbay-server-seal"), "");
  for (const char *adapter : { "a1", "a2", "a3", "a4", "a5", "a6" })
    {
      m = send_call (site.gateways[0],
                     stream_call (std::string ("s") + adapter, adapter));
      EXPECT_EQ (m.status, 200) << adapter;
      EXPECT_TRUE (m.is_whole);
      EXPECT_EQ (event_ids (m.body), up_to (10));
    }
  for (auto &e : site.engines)
    EXPECT_LE (e.target->most_held (), 4u);
}

TEST (Relay, ChunkedBodiesAndKeptConnections)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  auto connection = dial (site.gateways[0].address);
  Call call = plain_call ("c1", "/unsafe/x");
  call.method = "POST";
  call.headers = "Transfer-Encoding: chunked\r\n";
  connection->write (call.text () + chunk ("hello ") + chunk ("world")
                     + "0\r\n\r\n");
  EXPECT_EQ (connection->read_answer ().status, 200);
  connection->write (plain_call ("c2").text ());
  EXPECT_EQ (connection->read_answer ().status, 200);
  auto requests = site.plain[0]->requests ();
  ASSERT_EQ (requests.size (), 2u);
  EXPECT_EQ (requests[0].body, "hello world");
  EXPECT_EQ (requests[0].start, "POST /unsafe/x HTTP/1.1");
}

// A caller's map is cut in half and looks complete: the target crashed in the
// middle of an answer without a length, its reset came together with the last
// bytes, and was taken for the regular end of the connection.
TEST (Relay, AnAnswerThatEndsByResetIsNotComplete)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (int i = 0; i < 10; i++)
    {
      site.plain[0]->fail_next ({ Fault::CUT_UNFRAMED });
      std::string id = "u" + std::to_string (i);
      Message m = send_call (site.gateways[0], plain_call (id, "/unsafe/x"));
      EXPECT_FALSE (m.status == 200 && m.is_whole) << m.body;
      EXPECT_EQ (site.runs_of (id), 1);
    }
  site.plain[0]->fail_next ({ Fault::END_UNFRAMED });
  Message m = send_call (site.gateways[0], plain_call ("ok", "/unsafe/x"));
  EXPECT_EQ (m.status, 200);
  EXPECT_TRUE (m.is_whole);
}

// A drive-test reading is counted twice: its answer was lost, and the request
// was sent to a second target although the first had run it.
TEST (Relay, AnUnsafeRequestNeverRunsTwice)
{
  Site site (0, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (Fault fault : { Fault::RESET_BEFORE_ANSWER, Fault::BARE_503,
                       Fault::NO_SEAL, Fault::ERROR_500 })
    {
      for (auto &p : site.plain)
        p->fail_next ({ fault });
      std::string id = "x" + std::to_string ((int)fault);
      Message m = send_call (site.gateways[0], plain_call (id, "/unsafe/x"));
      EXPECT_EQ (site.runs_of (id), 1);
      // Nothing that promises "not run".
      EXPECT_TRUE (m.status == 502 || m.status == 500) << m.status;
      for (auto &p : site.plain)
        p->fail_next ({});
    }
}

TEST (Relay, WhatATargetDidNotRunGoesToAnother)
{
  Site site (0, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (int i = 0; i < 4; i++)
    {
      site.plain[0]->fail_next ({ Fault::NOT_RUN });
      std::string id = "n" + std::to_string (i);
      EXPECT_EQ (
          send_call (site.gateways[0], plain_call (id, "/unsafe/x")).status,
          200);
      EXPECT_EQ (site.runs_of (id), 1);
    }
}

TEST (Relay, SafeRequestsAreRepeatedAfterAFailure)
{
  Site site (0, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (Fault fault : { Fault::RESET_BEFORE_ANSWER, Fault::ERROR_500,
                       Fault::NO_SEAL, Fault::HANG, Fault::CUT_UNFRAMED })
    {
      site.plain[0]->fail_next ({ fault });
      Message m = send_call (site.gateways[0],
                             plain_call ("s" + std::to_string ((int)fault)));
      EXPECT_EQ (m.status, 200) << (int)fault;
      EXPECT_TRUE (m.is_whole);
      site.plain[0]->fail_next ({});
    }
}

// A caller gets another caller's answer: one that came late on a kept
// connection is taken for the answer of the next request there.
TEST (Relay, AStrayAnswerIsNotPassedOn)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->fail_next ({ Fault::NONE, Fault::STRAY_FIRST, Fault::NONE,
                              Fault::EXTRA_AFTER, Fault::NONE });
  for (int i = 0; i < 5; i++)
    {
      std::string id = "y" + std::to_string (i);
      Message m = send_call (site.gateways[0], plain_call (id, "/unsafe/x"));
      EXPECT_EQ (m.status, 200);
      EXPECT_EQ (m.header ("x-knapweedbay-attempt-id"), id);
      EXPECT_NE (m.body.find ("map"), std::string::npos);
    }
}

// A caption breaks off while it is written. Another engine goes on behind the
// last whole event, and the caller must see every event once.
TEST (Relay, ABrokenStreamIsResumedElsewhere)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  int resumed = 0;
  for (int i = 0; i < 8; i++)
    {
      site.engines[0].target->fail_next ({ Fault::CUT_WITHIN_EVENT });
      std::string id = "r" + std::to_string (i);
      Message m = send_call (site.gateways[0],
                             stream_call (id, "a" + std::to_string (i)));
      EXPECT_EQ (m.status, 200);
      EXPECT_TRUE (m.is_whole);
      EXPECT_EQ (event_ids (m.body), up_to (10));
      EXPECT_NE (m.body.find ("data: e10\n\n"), std::string::npos);
      resumed += site.runs_of (id) == 2;
    }
  EXPECT_GT (resumed, 0);
}

TEST (Relay, AStreamThatMayNotRunTwiceIsCutNotRepeated)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  for (auto &e : site.engines)
    e.target->fail_next ({ Fault::CUT_WITHIN_EVENT });
  Message m = send_call (site.gateways[0], stream_call ("o1", "a1", false));
  EXPECT_FALSE (m.is_whole);
  EXPECT_EQ (site.runs_of ("o1"), 1);
}

// Engines work on for callers that have left, and others wait behind them.
TEST (Relay, ACallerThatLeavesStopsItsRun)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->events = 1000;
  auto connection = dial (site.gateways[0].address);
  connection->write (stream_call ("l1", "a1").text ());
  EXPECT_NE (connection->read_some (5000), "");
  connection->close ();
  EXPECT_TRUE (Site::wait_for (
      [&] { return site.engines[0].target->abandoned == 1; }, 2000));
  // Also before the first event.
  site.engines[0].target->event_ms = 400;
  connection = dial (site.gateways[0].address);
  connection->write (stream_call ("l2", "a1").text ());
  EXPECT_TRUE (Site::wait_for ([&] { return site.runs_of ("l2") == 1; }));
  connection->close ();
  EXPECT_TRUE (Site::wait_for (
      [&] { return site.engines[0].target->abandoned == 2; }, 2000));
}

// A target that is leaving gets new requests until it is gone, and they are
// lost with it.
TEST (Relay, ALeavingTargetGetsNothingNew)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  site.list_plain (0, "draining");
  site.engines[0].target->set_leaving (true);
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  int before = site.plain[0]->runs () + site.engines[0].target->runs ();
  for (int i = 0; i < 10; i++)
    {
      std::string id = "d" + std::to_string (i);
      EXPECT_EQ (send_call (site.gateways[0], plain_call (id)).status, 200);
      EXPECT_EQ (
          send_call (site.gateways[0], stream_call ("s" + id, "a1")).status,
          200);
    }
  EXPECT_EQ (site.plain[0]->runs () + site.engines[0].target->runs (), before);
}

TEST (Relay, ARemovedTargetGetsNothingNew)
{
  Site site (0, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.remove ("servers/" + site.plain[1]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  int before = site.plain[1]->runs ();
  for (int i = 0; i < 10; i++)
    send_call (site.gateways[0], plain_call ("g" + std::to_string (i)));
  EXPECT_EQ (site.plain[1]->runs (), before);
}

// Several targets are taken away at one moment without a word before. They are
// kept for a while, because entries of live ones may have lapsed; together
// with the pause between two reads that must stay below 2 s.
TEST (Relay, SeveralTargetsRemovedAtOnceGetNothingNewInTime)
{
  Site site (0, 4);
  ASSERT_TRUE (site.wait_ready ());
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  // A change begins the pause; the removals fall into it.
  site.list_plain (3);
  std::this_thread::sleep_for (std::chrono::milliseconds (60));
  for (size_t i = 0; i < 3; i++)
    site.remove ("servers/" + site.plain[i]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (1800));
  int before = 0;
  for (size_t i = 0; i < 3; i++)
    before += site.plain[i]->runs ();
  for (int i = 0; i < 12; i++)
    send_call (site.gateways[0], plain_call ("v" + std::to_string (i)));
  int after = 0;
  for (size_t i = 0; i < 3; i++)
    after += site.plain[i]->runs ();
  EXPECT_EQ (after, before);
}

// A target comes and goes between two reads. Its removal is read before it is
// known, its entry after that, and it gets requests for ever.
TEST (Relay, ATargetThatCameAndWentBetweenTwoReadsIsNotUsed)
{
  Site site (0, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.remove ("servers/" + site.plain[1]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  site.list_plain (0);
  std::this_thread::sleep_for (std::chrono::milliseconds (60));
  site.plain[1]->restart ("i-brief");
  site.list_plain (1);
  site.remove ("servers/i-brief");
  std::this_thread::sleep_for (std::chrono::milliseconds (1800));
  int before = site.plain[1]->runs ();
  for (int i = 0; i < 12; i++)
    send_call (site.gateways[0], plain_call ("w" + std::to_string (i)));
  EXPECT_EQ (site.plain[1]->runs (), before);
}

// The store goes away, entries of live targets lapse meanwhile, and a reader
// that takes the short list for the truth sends everything to one target.
TEST (Relay, AnOutageOfTheStoreTakesNoTargetAway)
{
  Site site (1, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::RESET);
  for (int i = 0; i < 20; i++)
    {
      EXPECT_EQ (
          send_call (site.gateways[0], plain_call ("a" + std::to_string (i)))
              .status,
          200);
      std::this_thread::sleep_for (std::chrono::milliseconds (100));
    }
  for (auto &p : site.plain)
    site.remove ("servers/" + p->id ());
  site.store.set_mode (Store::WELL);
  std::this_thread::sleep_for (std::chrono::milliseconds (1200));
  for (size_t i = 0; i < 2; i++)
    site.list_plain (i);
  for (int i = 0; i < 20; i++)
    {
      EXPECT_EQ (
          send_call (site.gateways[0], plain_call ("b" + std::to_string (i)))
              .status,
          200);
      std::this_thread::sleep_for (std::chrono::milliseconds (100));
    }
}

// The store turns one gateway away and serves the other. The one that is
// turned away goes on with old routes for as long as that lasts.
TEST (Relay, AGatewayCutOffFromTheStoreLearnsThroughSidecars)
{
  Site site (1, 1, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.far_store.set_mode (Store::SILENT);
  site.write_config (5, ",{\"Name\":\"new\",\"Host\":\"a.example\","
                        "\"Prefix\":\"/new/\",\"Kind\":\"safe\","
                        "\"TimeoutMs\":2000,\"Service\":\"maps\","
                        "\"MaxAttempts\":1}");
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[1], plain_call ("q", "/new/x")).status
           == 200;
  }));
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (
                site.gateways[1].daemon,
                { "config_in_force", "\"revision\":5", "127.0.1.1:" })
                .empty ();
  }));
}

// The store forgets its history while the configuration changes; a reader
// that only waits for changes never hears of it.
TEST (Relay, AForgottenHistoryIsReadAnew)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::SILENT);
  site.write_config (6, ",{\"Name\":\"new\",\"Host\":\"a.example\","
                        "\"Prefix\":\"/new/\",\"Kind\":\"safe\","
                        "\"TimeoutMs\":2000,\"Service\":\"maps\","
                        "\"MaxAttempts\":1}");
  site.store.compact ();
  site.store.set_mode (Store::WELL);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], plain_call ("h", "/new/x")).status
           == 200;
  }));
}

TEST (Relay, ABadConfigurationLeavesTheLastGoodOneInForce)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.put ("op/config", "{\"Version\":9,\"Routes\":[");
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "op/config", "last good" })
                .empty ();
  }));
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("k")).status, 200);
  site.write_config (8);
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "config_in_force", "\"revision\":8" })
                .empty ();
  }));
  // An older version never comes back.
  site.write_config (7);
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  EXPECT_TRUE (Site::log_lines (site.gateways[0].daemon,
                                { "config_in_force", "\"revision\":7" })
                   .empty ());
}

// A new version of an adapter is named, and captions go on being written by
// the old one.
TEST (Relay, ANewerAdapterVersionServesFromThenOn)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  EXPECT_EQ (send_call (site.gateways[0], stream_call ("v1", "a1")).status,
             200);
  for (auto &e : site.engines)
    e.target->newest_version = 2;
  site.put ("op/version/m.a1", R"({"Model":"m","Adapter":"a1","Version":2})");
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "adapter_version", "\"version\":2" })
                .empty ();
  }));
  Message m = send_call (site.gateways[0], stream_call ("v2", "a1"));
  EXPECT_EQ (m.status, 200);
  bool was_asked_for = false;
  for (auto &e : site.engines)
    for (const auto &r : e.target->requests ())
      if (r.header ("x-knapweedbay-attempt-id") == "v2")
        was_asked_for = r.header ("x-knapweedbay-expect-version") == "2";
  EXPECT_TRUE (was_asked_for);
}

// An engine crashes: it was ordered to hold more adapters than it can, by
// orders that got no answer and were carried out seconds later.
TEST (Relay, LateOrdersNeverOverfillAnEngine)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->late_order_ms = 700;
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; i++)
    callers.emplace_back ([&site, i] {
      send_call (site.gateways[0], stream_call ("t" + std::to_string (i),
                                                "b" + std::to_string (i)));
    });
  for (auto &caller : callers)
    caller.join ();
  site.engines[0].target->late_order_ms = 0;
  for (int i = 0; i < 8; i++)
    send_call (site.gateways[0], stream_call ("w" + std::to_string (i),
                                              "b" + std::to_string (i)));
  EXPECT_LE (site.engines[0].target->most_held (), 4u);
  EXPECT_GT (site.engines[0].target->loads (), 0);
}

// An engine comes back empty under a new name; until the list says so, every
// request to it is refused by the incarnation it names.
TEST (Relay, ARestartedEngineGetsItsModelBackAndServes)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  EXPECT_EQ (send_call (site.gateways[0], stream_call ("e1", "a1")).status,
             200);
  site.engines[0].target->restart ("i-again");
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("e2", "a1")).status
           == 200;
  }));
}

/// No engine takes requests, and the gateway knows it.
void
close_engine (Site &site)
{
  site.engines[0].target->set_leaving (true);
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.engines[0].sidecar,
                             { "engine_condition", "\"to\":\"leaving\"" })
                .empty ();
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
}

// All engines come back from a loss of power and load their model, which takes
// them a second. Callers that were refused meanwhile came back once, were
// refused again by the crowd that came with them, and gave up.
TEST (Relay, RequestsWaitWhileNoEngineIsUp)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  close_engine (site);
  std::thread engine ([&] {
    std::this_thread::sleep_for (std::chrono::milliseconds (300));
    site.engines[0].target->set_leaving (false);
  });
  Message m = send_call (site.gateways[0], stream_call ("w1", "a1"));
  engine.join ();
  EXPECT_EQ (m.status, 200);
  EXPECT_EQ (event_ids (m.body), up_to (10));
}

// The wait has an end: engines that stay away are no reason to keep callers,
// who could do something else.
TEST (Relay, RequestsAreRefusedWhenNoEngineComes)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  close_engine (site);
  Message m = send_call (site.gateways[0], stream_call ("w2", "a1"));
  EXPECT_EQ (m.status, 503);
  EXPECT_NE (m.body.find ("no_target"), std::string::npos) << m.body;
  EXPECT_NE (m.header ("retry-after"), "");
}

TEST (Relay, AStopServesWhatIsOpenAndSaysClose)
{
  Site site (1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->events = 100;
  site.engines[0].target->event_ms = 10;
  auto kept = dial (site.gateways[0].address);
  kept->write (plain_call ("k1").text ());
  EXPECT_EQ (kept->read_answer ().status, 200);
  auto connection = dial (site.gateways[0].address);
  connection->write (stream_call ("z1", "a1").text ());
  EXPECT_NE (connection->read_some (5000).find ("200 OK"), std::string::npos);
  kill (site.gateways[0].daemon.pid, SIGTERM);
  EXPECT_TRUE (Site::wait_for ([&] { return site.ready_status () == 503; }));
  kept->write (plain_call ("k2").text ());
  Message m = kept->read_answer ();
  EXPECT_EQ (m.status, 200);
  EXPECT_EQ (m.header ("connection"), "close");
  std::string rest;
  while (rest.find ("0\r\n\r\n") == std::string::npos)
    {
      std::string more = connection->read_some (3000);
      if (more.empty ())
        break;
      rest += more;
    }
  EXPECT_NE (rest.find ("id: 100\n"), std::string::npos);
  site.stop (&site.gateways[0].daemon, SIGTERM);
}

TEST (Relay, AKilledSidecarIsReplacedWithoutLosingStreams)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->events = 100;
  site.engines[0].target->event_ms = 10;
  auto connection = dial (site.gateways[0].address);
  connection->write (stream_call ("m1", "a1").text ());
  EXPECT_NE (connection->read_some (5000), "");
  site.restart (&site.engines[0].sidecar, SIGKILL);
  std::string rest;
  while (rest.find ("0\r\n\r\n") == std::string::npos)
    {
      std::string more = connection->read_some (3000);
      if (more.empty ())
        break;
      rest += more;
    }
  EXPECT_NE (rest.find ("id: 100\n"), std::string::npos);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("m2", "a1")).status
           == 200;
  }));
}

// A sidecar is paused: its connections stay open and carry nothing. Requests
// that asked it for a place must go to another engine, not wait for it.
TEST (Relay, APausedSidecarIsNotWaitedFor)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  kill (site.engines[0].sidecar.pid, SIGSTOP);
  for (int i = 0; i < 6; i++)
    {
      Message m = send_call (
          site.gateways[0],
          stream_call ("f" + std::to_string (i), "c" + std::to_string (i)));
      EXPECT_EQ (m.status, 200);
    }
  kill (site.engines[0].sidecar.pid, SIGCONT);
}

// The links between entries and agents go silent while streams begin and end.
// Grants and releases are lost with them, places stay taken for ever, and
// after a few such moments an idle engine refuses everybody.
TEST (Relay, PlacesAreNotLostWithALink)
{
  Proxies proxies;
  Site site (1, 0, 1, &proxies);
  ASSERT_TRUE (site.wait_ready ());
  std::atomic<bool> is_done{ false };
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; i++)
    callers.emplace_back ([&site, &is_done, i] {
      for (int n = 0; !is_done; n++)
        send_call (site.gateways[0],
                   stream_call ("l" + std::to_string (i * 10000 + n), "a1"));
    });
  for (int i = 0; i < 4; i++)
    {
      std::this_thread::sleep_for (std::chrono::milliseconds (300));
      proxies.agents[0]->silence_present ();
      std::this_thread::sleep_for (std::chrono::milliseconds (1700));
    }
  is_done = true;
  for (auto &caller : callers)
    caller.join ();
  std::this_thread::sleep_for (std::chrono::milliseconds (1800));
  int good = 0;
  for (int i = 0; i < 10; i++)
    {
      Message m = send_call (site.gateways[0],
                             stream_call ("k" + std::to_string (i), "a1"));
      good += m.status == 200 && m.is_whole;
    }
  EXPECT_EQ (good, 10);
}

// An engine crashes after its agent was restarted: before the agent knew the
// configuration again, it ordered more adapters than the engine can hold.
TEST (Relay, ARestartedSidecarKeepsTheLimitsOfItsEngine)
{
  Site site (1, 0, 6);
  ASSERT_TRUE (site.wait_ready ());
  std::atomic<bool> is_done{ false };
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; i++)
    callers.emplace_back ([&site, &is_done, i] {
      for (int n = 0; !is_done; n++)
        send_call (site.gateways[(size_t)i % 6],
                   stream_call ("z" + std::to_string (i * 10000 + n),
                                "a" + std::to_string ((i + n) % 12)));
    });
  for (int i = 0; i < 8; i++)
    {
      std::this_thread::sleep_for (std::chrono::milliseconds (250));
      site.restart (&site.engines[0].sidecar, SIGKILL);
    }
  is_done = true;
  for (auto &caller : callers)
    caller.join ();
  EXPECT_LE (site.engines[0].target->most_held (), 4u);
}

// An engine crashes with one adapter too many: callers left, their places were
// given back, but the engine was still at work on them. The adapter that was
// to make room was dropped only later.
TEST (Relay, AnAdapterThatIsStillUsedMakesNoRoom)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.ignores_close = true;
  engine.events = 200;
  engine.event_ms = 5;
  for (int i = 0; i < 12; i++)
    {
      auto connection = dial (site.gateways[0].address);
      connection->write (
          stream_call ("u" + std::to_string (i), "a" + std::to_string (i))
              .text ());
      connection->read_some (1500);
      connection->close ();
      std::this_thread::sleep_for (std::chrono::milliseconds (60));
    }
  EXPECT_LE (engine.most_held (), 4u);
}

// All engines come back after a loss of power, and for a second or two the
// list names both their old and their new incarnations. Both are beside the
// same agent; when they take its link from each other, what was asked through
// one is not heard by the other, and requests are declined though engines are
// free.
TEST (Relay, AnOldEntryDoesNotTakeTheLinkBack)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->restart ("i-again");
  site.list_engine (0);
  ASSERT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("n", "a1")).status == 200;
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  int good = 0;
  for (int i = 0; i < 40; i++)
    good += send_call (site.gateways[0],
                       stream_call ("o" + std::to_string (i), "a1"))
                .status
            == 200;
  EXPECT_EQ (good, 40);
  EXPECT_TRUE (
      Site::log_lines (site.engines[0].sidecar, { "places_reconciled" })
          .empty ());
}

TEST (Relay, OwnAnswers)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("x", "/none/x")).status,
             404);
  // No engine: refused at once, with a time to come back.
  Message m = send_call (site.gateways[0], stream_call ("x1", "a1"));
  EXPECT_EQ (m.status, 503);
  EXPECT_GT (atof (m.header ("retry-after").c_str ()), 0.0);
  EXPECT_EQ (m.header ("x-knapweedbay-server-seal"), "");
}

TEST (Relay, NoConfigurationIsNoReasonForNotFound)
{
  Site site (0, 1);
  site.stop (&site.gateways[0].daemon, SIGKILL);
  site.store.set_mode (Store::BUSY);
  site.start (&site.gateways[0].daemon);
  ASSERT_TRUE (Site::wait_for (
      [&] { return dial (site.gateways[0].address) != nullptr; }));
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("x")).status, 503);
  EXPECT_EQ (site.ready_status (), 503);
}

// All processes come back from a loss of power while the store is away. The
// first callers were refused at once and told to come back after half a
// second; they came back once, all were refused again, and gave up.
TEST (Relay, RequestsWaitForTheFirstConfiguration)
{
  Site site (0, 1);
  site.stop (&site.gateways[0].daemon, SIGKILL);
  site.store.set_mode (Store::BUSY);
  site.start (&site.gateways[0].daemon);
  ASSERT_TRUE (Site::wait_for (
      [&] { return dial (site.gateways[0].address) != nullptr; }));
  std::thread store ([&] {
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    site.store.set_mode (Store::WELL);
  });
  Message served = send_call (site.gateways[0], plain_call ("w3"));
  store.join ();
  EXPECT_EQ (served.status, 200);
  Message denied = send_call (site.gateways[0], plain_call ("w4", "/other/x"));
  EXPECT_EQ (denied.status, 404);
}

TEST (Relay, CallersComeBackLateWhenTheEndOfAnOutageIsNotKnown)
{
  Site site (0, 1);
  site.stop (&site.gateways[0].daemon, SIGKILL);
  site.store.set_mode (Store::BUSY);
  site.start (&site.gateways[0].daemon);
  ASSERT_TRUE (Site::wait_for (
      [&] { return dial (site.gateways[0].address) != nullptr; }));
  Call call = plain_call ("w5");
  call.deadline_ms = 9000;
  Message m = send_call (site.gateways[0], call);
  EXPECT_EQ (m.status, 503);
  double retry_after_s = atof (m.header ("retry-after").c_str ());
  EXPECT_GE (retry_after_s, 1.0);
  EXPECT_LE (retry_after_s, 3.0);
}

// A request hidden in another one's body runs under a name nobody sent.
TEST (Relay, AmbiguousRequestsReachNoTarget)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  const std::string id = "X-Knapweedbay-Attempt-Id: ";
  const std::string hidden
      = "POST /unsafe/evil HTTP/1.1\r\nHost: a.example\r\n" + id
        + "evil\r\n\r\n";
  const std::vector<std::string> heads = {
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 4\r\nContent-Length: 0\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Content-Length: +4\r\n",
    "Content-Length: 4 4\r\n",
    "Host: b.example\r\n",
  };
  for (const auto &head : heads)
    {
      auto connection = dial (site.gateways[0].address);
      connection->write ("POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\n" + id
                         + "h\r\n" + head + "\r\n0\r\n\r\n" + hidden);
      Message m = connection->read_answer (2000);
      EXPECT_EQ (m.status, 400) << head;
    }
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
  EXPECT_TRUE (site.plain[0]->requests ().empty ());
}

TEST (Relay, LimitsOnWhatCallersSend)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  Call call = plain_call ("big", "/unsafe/x");
  call.method = "POST";
  call.headers = "X-Long: " + std::string (6000, 'x') + "\r\n";
  EXPECT_EQ (send_call (site.gateways[0], call).status, 431);
  call.headers = "";
  call.body = std::string (70000, 'x');
  EXPECT_EQ (send_call (site.gateways[0], call).status, 413);
  call.body = "";
  call.headers = "Transfer-Encoding: chunked\r\n";
  auto connection = dial (site.gateways[0].address);
  connection->write (call.text () + chunk (std::string (70000, 'x')));
  EXPECT_EQ (connection->read_answer ().status, 413);
  connection = dial (site.gateways[0].address);
  connection->write ("POST /unsafe/x HTTP/1.1\r\nHost: a.ex");
  EXPECT_EQ (connection->read_answer ().status, 408);
  connection = dial (site.gateways[0].address);
  EXPECT_TRUE (connection->peer_is_gone (6000));
  EXPECT_TRUE (site.plain[0]->requests ().empty ());
}

TEST (Relay, ARouteTimeoutGetsAFinalAnswer)
{
  Site site (1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (3, "", 700);
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "config_in_force", "\"revision\":3" })
                .empty ();
  }));
  site.engines[0].target->events = 1000;
  Message m = send_call (site.gateways[0], stream_call ("t1", "a1"));
  EXPECT_FALSE (m.is_whole);
  site.plain[0]->fail_next ({ Fault::HANG });
  EXPECT_EQ (
      send_call (site.gateways[0], plain_call ("t2", "/unsafe/x")).status,
      504);
}

} // namespace
} // namespace relay
