// The relay roles before stand-ins that fail: targets that leave or restart,
// the store, sidecars and links.
#include <gtest/gtest.h>

#include <signal.h>

#include <fstream>

#include "site.h"

namespace relay
{
namespace
{

const char kNewRoute[] = ",{\"Name\":\"new\",\"Host\":\"a.example\","
                         "\"Prefix\":\"/new/\",\"Kind\":\"safe\","
                         "\"TimeoutMs\":2000,\"Service\":\"maps\","
                         "\"MaxAttempts\":1}";

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

// After a loss of power the list drops a hundred targets of before at one
// moment. A gateway that forgot one of them at each of its ticks told its
// sidecars nothing meanwhile; after 5 s they took it for gone, and requests
// lost the places that they had been promised, for another 7 s.
TEST (Relay, RemovingManyTargetsDoesNotStopReportsToSidecars)
{
  Site site (1, 1);
  ASSERT_TRUE (site.wait_ready ());
  auto key_of = [] (int i) { return "servers/i-gone" + std::to_string (i); };
  for (int i = 0; i < 100; i++)
    site.put (key_of (i), "{\"Service\":\"maps\",\"Address\":\"127.0.0.1:9\","
                          "\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":1,"
                          "\"State\":\"draining\",\"ColdLeftMs\":0,\"Seq\":1,"
                          "\"born\":1700000000000}");
  auto count = [&] (const Daemon &daemon, const char *event) {
    return Site::log_lines (daemon, { event }).size ();
  };
  const Daemon &gateway = site.gateways[0].daemon;
  ASSERT_TRUE (Site::wait_for (
      [&] { return count (gateway, "target_listed") >= 100; }));
  for (int i = 0; i < 100; i++)
    site.remove (key_of (i));
  ASSERT_TRUE (
      Site::wait_for ([&] { return count (gateway, "target_gone") >= 100; }));
  std::this_thread::sleep_for (std::chrono::milliseconds (7000));
  EXPECT_EQ (count (site.engines[0].sidecar, "gateway_lost"), 0u);
  EXPECT_EQ (count (gateway, "sidecar_lost"), 0u);
}

// Several targets are taken away at one moment without a word before. They are
// kept for a while, because entries of live ones may have lapsed; together
// with the pause between two reads that must stay below 2 s.
TEST (Relay, SeveralTargetsRemovedAtOnceGetNothingNewAfterTwoSeconds)
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

// Guards against a store that is asked without a pause: it answers at once.
TEST (Relay, AStoreThatAnswersAtOnceIsPolledWithPauses)
{
  Site site (1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::NO_WAIT);
  // Reads that wait end with a change.
  site.list_plain (0);
  int before = site.store.calls;
  std::this_thread::sleep_for (std::chrono::milliseconds (2000));
  EXPECT_LE (site.store.calls - before, 60);
  site.store.set_mode (Store::HEALTHY);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], plain_call ("a")).status == 200;
  }));
}

// Guards against another service that is taken for a store without changes.
TEST (Relay, AStoreAnswerWithoutARevisionIsRejected)
{
  Site site (1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::FOREIGN_BODY);
  site.list_plain (0);
  int before = site.store.calls;
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon, { "store_lost" })
                .empty ();
  }));
  EXPECT_LE (site.store.calls - before, 60);
  site.store.set_mode (Store::HEALTHY);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], plain_call ("a")).status == 200;
  }));
}

// The store goes away, entries of live targets lapse meanwhile, and a reader
// that takes the short list for the truth sends everything to one target.
TEST (Relay, AStoreOutageRemovesNoTarget)
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
  site.store.set_mode (Store::HEALTHY);
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
TEST (Relay, AGatewayCutOffFromTheStoreIsUpdatedThroughSidecars)
{
  Site site (1, 1, 2);
  ASSERT_TRUE (site.wait_ready ());
  site.mirror_store.set_mode (Store::SILENT);
  site.write_config (5, kNewRoute);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[1], plain_call ("q", "/new/x")).status
           == 200;
  }));
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[1].daemon,
                             { "config_in_force", "\"revision\":5",
                               site.engines[0].ip + ":" })
                .empty ();
  }));
}

/// Write a route that is new, and see it served.
void
expect_new_route_soon (Site &site)
{
  site.write_config (5, kNewRoute);
  EXPECT_TRUE (Site::wait_for (
      [&] {
        return send_call (site.gateways[0], plain_call ("s", "/new/x")).status
               == 200;
      },
      4000));
}

/// The gateway follows the operator's keys: its next read of them waits.
void
wait_for_revision (Site &site, int revision)
{
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "config_in_force",
                               "\"revision\":" + std::to_string (revision) })
                .empty ();
  }));
}

// A route that was added is refused for seconds after the store came back from
// a silence. The gateway's read was sent, the store fell silent with it, came
// back, and the change was confirmed; the gateway went on waiting for that
// read, 6.5 s from its start. Evidence: store_read_failed with waited_ms of
// 6500, while other reads of the store were answered.
TEST (Relay, AChangeAfterAStoreStallAppliesSoon)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (4);
  wait_for_revision (site, 4);
  site.store.stall_reads ("");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  site.store.end_read_stall ();
  expect_new_route_soon (site);
}

// As before, but the store is well all the time: only the connection on which
// the gateway waits for changes has gone silent, and new ones work.
TEST (Relay, AChangeAppliesThoughTheWatchConnectionIsSilent)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (4);
  wait_for_revision (site, 4);
  site.store.stall_reads ("op/");
  site.store.end_read_stall ();
  expect_new_route_soon (site);
}

// Guards against a read that is given up while its answer comes.
TEST (Relay, ALargeConfigurationOnASlowLinkIsApplied)
{
  enum
  {
    ROUTES = 1000,
    DOCUMENT_MS = 2500,
  };
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  std::string routes;
  for (int i = 0; i < ROUTES; i++)
    routes += ",{\"Name\":\"r" + std::to_string (i)
              + "\",\"Host\":\"b.example\",\"Prefix\":\"/" + std::to_string (i)
              + "/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,"
                "\"Service\":\"maps\",\"MaxAttempts\":1}";
  site.store.bytes_per_s = (int)(routes.size () * 4 / 3) * 1000 / DOCUMENT_MS;
  site.write_config (5, kNewRoute + routes);
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (
                site.gateways[0].daemon,
                { "store_read\"", "\"prefix\":\"\"", "\"changes\":1," })
                .empty ();
  }));
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("l", "/new/x")).status,
             200);
  EXPECT_TRUE (
      Site::log_lines (site.gateways[0].daemon, { "store_lost" }).empty ());
}

// Guards against an answer that never ends, and keeps a reader for itself.
TEST (Relay, ATricklingStoreAnswerTimesOut)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.bytes_per_s = 1;
  site.list_plain (0);
  EXPECT_TRUE (Site::wait_for (
      [&] {
        return !Site::log_lines (site.gateways[0].daemon,
                                 { "store_read_failed", "\"first_byte_ms\":" })
                    .empty ();
      },
      12000));
  EXPECT_TRUE (Site::log_lines (site.gateways[0].daemon,
                                { "store_read_failed", "\"bytes\":0," })
                   .empty ());
  site.store.bytes_per_s = 0;
  site.write_config (5, kNewRoute);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], plain_call ("t", "/new/x")).status
           == 200;
  }));
}

// Guards against a gateway that hears nothing and seems not to read.
TEST (Relay, AReadThatBringsAConfigurationIsLogged)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (4);
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "\"store_read\"", "\"from\":\"store\"",
                               "\"bytes\":", "\"first_byte_ms\":" })
                .empty ();
  }));
}

// The store forgets its history while the configuration changes; a reader
// that only waits for changes never hears of it.
TEST (Relay, ACompactedHistoryIsReadAgain)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::SILENT);
  site.write_config (6, kNewRoute);
  site.store.compact ();
  site.store.set_mode (Store::HEALTHY);
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
                             { "entry_ignored", "\"key\":\"op/config\"",
                               "\"reason\":\"configuration:1: " })
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
  bool expects_new_version = false;
  for (auto &e : site.engines)
    for (const auto &r : e.target->requests ())
      if (r.header ("x-knapweedbay-attempt-id") == "v2")
        expects_new_version = r.header ("x-knapweedbay-expect-version") == "2";
  EXPECT_TRUE (expects_new_version);
}

// An engine crashes: it was ordered to hold more adapters than it can, by
// orders that got no answer and were carried out seconds later.
TEST (Relay, LateOrdersNeverOverfillAnEngine)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->order_delay_ms = 700;
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; i++)
    callers.emplace_back ([&site, i] {
      send_call (site.gateways[0], stream_call ("t" + std::to_string (i),
                                                "b" + std::to_string (i)));
    });
  for (auto &caller : callers)
    caller.join ();
  site.engines[0].target->order_delay_ms = 0;
  for (int i = 0; i < 8; i++)
    send_call (site.gateways[0], stream_call ("w" + std::to_string (i),
                                              "b" + std::to_string (i)));
  EXPECT_LE (site.engines[0].target->max_adapters_held (), 4u);
  EXPECT_GT (site.engines[0].target->loads (), 0);
}

// An order gets no answer, and its engine starts again under its id: the order
// is carried out later, at an engine that is full by then. It crashes with all
// its streams. The id does not tell the two lives apart, and the count of
// orders, which begins anew, is the same again at that moment.
TEST (Relay, AnOrderToAnEarlierIncarnationNeverOverfillsAnEngine)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  // As many orders as bring its model and fill its four places.
  engine.set_seq (5);
  std::this_thread::sleep_for (std::chrono::milliseconds (900));
  engine.order_delay_ms = 2500;
  Call first = stream_call ("s1", "a1");
  first.deadline_ms = 300;
  send_call (site.gateways[0], first);
  ASSERT_GT (engine.pending_orders, 0);
  engine.order_delay_ms = 0;
  engine.restart (engine.id ());
  site.list_engine (0);
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (Site::wait_for ([&] {
      return send_call (site.gateways[0],
                        stream_call ("s" + std::to_string (i + 2),
                                     "b" + std::to_string (i)))
                 .status
             == 200;
    }));
  EXPECT_TRUE (Site::wait_for ([&] { return engine.pending_orders == 0; }));
  EXPECT_LE (engine.max_adapters_held (), 4u);
}

// An engine ends behind a cut and starts again under the id that it had, so
// that nothing breaks the connection of a stream that ran there. Its caller
// waits for the end of its patience, though the stream can not go on: the
// engine knows nothing of it. The answer must not promise that it did not run.
TEST (Relay, AStreamAtARestartedEngineIsCut)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.fail_next ({ Fault::HANG });
  Message answer;
  std::thread caller ([&] {
    answer = send_call (site.gateways[0], stream_call ("s1", "a1", false));
  });
  EXPECT_TRUE (Site::wait_for ([&] { return engine.runs_of ("s1") == 1; }));
  std::this_thread::sleep_for (std::chrono::milliseconds (900));
  auto begin = std::chrono::steady_clock::now ();
  engine.restart (engine.id ());
  site.list_engine (0);
  caller.join ();
  auto took = std::chrono::steady_clock::now () - begin;
  EXPECT_EQ (answer.status, 502);
  EXPECT_LT (took, std::chrono::milliseconds (3500));
  EXPECT_EQ (engine.runs_of ("s1"), 1);
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("s2", "a1")).status
           == 200;
  }));
}

// An engine says that it leaves, crashes, and starts again under its id. Its
// agent knows of the new life before the list does; the leaving was the old
// one's, and callers need not wait for the next entry.
TEST (Relay, LeavingEndsWithTheIncarnationThatAnnouncedIt)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  site.list_engine (0, "draining");
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon, { "target_leaving" })
                .empty ();
  }));
  engine.restart (engine.id ());
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("s1", "a1")).status
           == 200;
  }));
}

// A target is taken off the list while a stream still runs there, and starts
// again under its id. Its agent tells of the new life, but only the list tells
// who may be used: until it does, callers are refused.
TEST (Relay, ARestartDoesNotRelistATarget)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.event_ms = 500;
  std::thread caller (
      [&] { send_call (site.gateways[0], stream_call ("s1", "a1")); });
  EXPECT_TRUE (Site::wait_for ([&] { return engine.runs_of ("s1") == 1; }));
  site.remove ("servers/" + engine.id ());
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon, { "target_gone" })
                .empty ();
  }));
  engine.restart (engine.id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (900));
  EXPECT_EQ (send_call (site.gateways[0], stream_call ("s2", "a1")).status,
             503);
  EXPECT_EQ (engine.runs_of ("s2"), 0);
  caller.join ();
}

// A target starts again under its id, and an entry that it wrote before comes
// late, once and again. It is served as it is now. When the older birth goes
// on being told, the clock of its VM was stepped back, and it is used too.
TEST (Relay, AnEntryOfAnEarlierIncarnationIsRejected)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.plain[0];
  target.step_clock (60000);
  target.restart (target.id ());
  site.list_plain (0);
  auto count = [&] (const char *event) {
    return Site::log_lines (site.gateways[0].daemon, { event }).size ();
  };
  EXPECT_TRUE (Site::wait_for ([&] { return count ("target_reborn") == 1; }));
  target.step_clock (-120000);
  target.restart (target.id ());
  for (int i = 0; i < 2; i++)
    {
      site.list_plain (0, i == 0 ? "draining" : "ready");
      EXPECT_TRUE (Site::wait_for (
          [&] { return count ("birth_stale") == (size_t)i + 1; }));
      EXPECT_EQ (
          send_call (site.gateways[0], plain_call ("b" + std::to_string (i)))
              .status,
          200);
    }
  site.list_plain (0);
  EXPECT_TRUE (Site::wait_for ([&] { return count ("target_reborn") == 2; }));
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("b9")).status, 200);
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
      proxies.agents[0]->silence_existing ();
      std::this_thread::sleep_for (std::chrono::milliseconds (1700));
    }
  is_done = true;
  for (auto &caller : callers)
    caller.join ();
  std::this_thread::sleep_for (std::chrono::milliseconds (1800));
  int served_count = 0;
  for (int i = 0; i < 10; i++)
    {
      Message m = send_call (site.gateways[0],
                             stream_call ("k" + std::to_string (i), "a1"));
      served_count += m.status == 200 && m.is_whole;
    }
  EXPECT_EQ (served_count, 10);
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
  EXPECT_LE (site.engines[0].target->max_adapters_held (), 4u);
}

// An engine crashes with one adapter too many: callers left, their places were
// given back, but the engine was still at work on them. The adapter that was
// to make room was dropped only later.
TEST (Relay, AnAdapterInUseFreesNoSlot)
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
  EXPECT_LE (engine.max_adapters_held (), 4u);
}

// All engines come back after a loss of power, and for a second or two the
// list names both their old and their new incarnations. Both are beside the
// same agent; when they take its link from each other, what was asked through
// one is not heard by the other, and requests are declined though engines are
// free.
TEST (Relay, AnOldEntryDoesNotReclaimTheLink)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->restart ("i-again");
  site.list_engine (0);
  ASSERT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("n", "a1")).status == 200;
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  int served_count = 0;
  for (int i = 0; i < 40; i++)
    served_count += send_call (site.gateways[0],
                               stream_call ("o" + std::to_string (i), "a1"))
                        .status
                    == 200;
  EXPECT_EQ (served_count, 40);
  EXPECT_TRUE (
      Site::log_lines (site.engines[0].sidecar, { "places_reconciled" })
          .empty ());
}

} // namespace
} // namespace relay
