// Gateway and sidecars between test callers and simulated targets: what both
// sides see of one request, and the limits on callers.
#include <gtest/gtest.h>

#include <signal.h>

#include <fstream>

#include "site.h"

namespace relay
{
namespace
{

TEST (Relay, AnswersEveryKindOfRequest)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  Message m = send_call (site.gateways[0], plain_call ("p1"));
  EXPECT_EQ (m.status, 200);
  EXPECT_TRUE (m.is_complete);
  EXPECT_EQ (m.header ("x-knapweedbay-attempt-id"), "p1");
  EXPECT_NE (m.header ("x-knapweedbay-server-seal"), "");
  for (const char *adapter : { "a1", "a2", "a3", "a4", "a5", "a6" })
    {
      m = send_call (site.gateways[0],
                     stream_call (std::string ("s") + adapter, adapter));
      EXPECT_EQ (m.status, 200) << adapter;
      EXPECT_TRUE (m.is_complete);
      EXPECT_EQ (event_ids (m.body), ids_up_to (10));
    }
  for (auto &e : site.engines)
    EXPECT_LE (e.target->max_adapters_held (), 4u);
}

TEST (Relay, ChunkedBodiesAndPersistentConnections)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  auto connection = dial (site.gateways[0].address);
  Call call = plain_call ("c1", "/unsafe/x");
  call.method = "POST";
  call.headers = "Transfer-Encoding: chunked\r\n";
  connection->write (call.text () + chunk ("hello ") + chunk ("world")
                     + "0\r\n\r\n");
  EXPECT_EQ (connection->read_response ().status, 200);
  connection->write (plain_call ("c2").text ());
  EXPECT_EQ (connection->read_response ().status, 200);
  auto requests = site.plain[0]->requests ();
  ASSERT_EQ (requests.size (), 2u);
  EXPECT_EQ (requests[0].body, "hello world");
  EXPECT_EQ (requests[0].start, "POST /unsafe/x HTTP/1.1");
}

// Guards against truncated responses that look complete: a target crashes
// within a close-delimited response, and its reset, arriving together with the
// last bytes, is mistaken for an orderly close.
TEST (Relay, ResponseEndedByResetIsIncomplete)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (int i = 0; i < 10; i++)
    {
      site.plain[0]->fail_next ({ Fault::CUT_UNFRAMED });
      std::string id = "u" + std::to_string (i);
      Message m = send_call (site.gateways[0], plain_call (id, "/unsafe/x"));
      EXPECT_FALSE (m.status == 200 && m.is_complete) << m.body;
      EXPECT_EQ (site.runs_of (id), 1);
    }
  site.plain[0]->fail_next ({ Fault::END_UNFRAMED });
  Message m = send_call (site.gateways[0], plain_call ("ok", "/unsafe/x"));
  EXPECT_EQ (m.status, 200);
  EXPECT_TRUE (m.is_complete);
}

// Guards against double execution: the response is lost, and the request is
// sent to a second target although the first has run it.
TEST (Relay, UnsafeRequestNeverRunsTwice)
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
      // No status that implies that the request did not run.
      EXPECT_TRUE (m.status == 502 || m.status == 500) << m.status;
      for (auto &p : site.plain)
        p->fail_next ({});
    }
}

TEST (Relay, RequestNotRunIsSentToAnotherTarget)
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
      EXPECT_TRUE (m.is_complete);
      site.plain[0]->fail_next ({});
    }
}

// Guards against responses delivered to the wrong caller: a late response on a
// persistent connection is taken for the response to the next request.
TEST (Relay, StrayResponseIsNotForwarded)
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

// A stream breaks within an event. Another engine resumes after the last
// complete event, and the caller must receive every event exactly once.
TEST (Relay, BrokenStreamIsResumedOnAnotherEngine)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (8);
  int resumed = 0;
  for (int i = 0; i < 8; i++)
    {
      site.engines[0].target->fail_next ({ Fault::CUT_WITHIN_EVENT });
      std::string id = "r" + std::to_string (i);
      Message m = send_call (site.gateways[0],
                             stream_call (id, "a" + std::to_string (i)));
      EXPECT_EQ (m.status, 200);
      EXPECT_TRUE (m.is_complete);
      EXPECT_EQ (event_ids (m.body), ids_up_to (10));
      EXPECT_NE (m.body.find ("data: e10\n\n"), std::string::npos);
      resumed += site.runs_of (id) == 2;
    }
  EXPECT_GT (resumed, 0);
}

// Guards against aborting a stream too early: an engine breaks a stream while
// the sidecar of the only other engine restarts. No engine can resume the
// stream at that moment, but the sidecar is back within 1 s and the caller
// waits for several.
TEST (Relay, BrokenStreamWaitsForEngineToResumeOn)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  site.stop (&site.engines[1].sidecar, SIGKILL);
  // The gateway considers a silent sidecar lost after 1.3 s.
  std::this_thread::sleep_for (std::chrono::milliseconds (1600));
  site.engines[0].target->fail_next ({ Fault::CUT_WITHIN_EVENT });
  std::thread restarter ([&site] {
    std::this_thread::sleep_for (std::chrono::milliseconds (300));
    site.start (&site.engines[1].sidecar);
  });
  Message m = send_call (site.gateways[0], stream_call ("w1", "a1"));
  restarter.join ();
  EXPECT_EQ (m.status, 200);
  EXPECT_TRUE (m.is_complete);
  EXPECT_EQ (event_ids (m.body), ids_up_to (10));
  EXPECT_EQ (site.runs_of ("w1"), 2);
}

// Guards against aborting paused streams: an overloaded engine preempts a run
// for more urgent ones and sends no event for more than 1 s, while its sidecar
// reports it as healthy. Resuming the stream elsewhere needs a place on
// another overloaded engine, which may not be granted before the caller's
// deadline; the caller then loses a stream that its own engine would have
// finished.
TEST (Relay, PausedStreamOfHealthyEngineIsNotAborted)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  for (auto &engine : site.engines)
    {
      engine.target->event_ms = 1600;
      engine.target->events = 2;
    }
  Message m = send_call (site.gateways[0], stream_call ("p1", "a1"));
  EXPECT_EQ (m.status, 200);
  EXPECT_TRUE (m.is_complete);
  EXPECT_EQ (event_ids (m.body), ids_up_to (2));
  EXPECT_EQ (site.runs_of ("p1"), 1);
}

// Guards against forwarding avoidable errors: an engine answers some streams
// with 500 although its reports look healthy. A resumable stream may also be
// rerun from its beginning, so another engine must serve it.
TEST (Relay, FailedStreamRunsOnAnotherEngine)
{
  Site site (2, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (8);
  site.engines[0].target->fail_next (std::vector<Fault> (8, Fault::ERROR_500));
  int failed = 0;
  for (int i = 0; i < 8; i++)
    {
      std::string id = "g" + std::to_string (i);
      Message m = send_call (site.gateways[0],
                             stream_call (id, "a" + std::to_string (i)));
      EXPECT_EQ (m.status, 200) << id;
      EXPECT_EQ (event_ids (m.body), ids_up_to (10)) << id;
      failed += site.engines[0].target->runs_of (id);
    }
  EXPECT_GT (failed, 0);
}

TEST (Relay, NonIdempotentStreamForwardsEngineError)
{
  Site site (2, 0);
  ASSERT_TRUE (site.wait_ready ());
  for (auto &e : site.engines)
    e.target->fail_next ({ Fault::ERROR_500 });
  Message m = send_call (site.gateways[0], stream_call ("h1", "a1", false));
  EXPECT_EQ (m.status, 500);
  EXPECT_EQ (site.runs_of ("h1"), 1);
}

TEST (Relay, NonIdempotentBrokenStreamIsAbortedNotRetried)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  for (auto &e : site.engines)
    e.target->fail_next ({ Fault::CUT_WITHIN_EVENT });
  Message m = send_call (site.gateways[0], stream_call ("o1", "a1", false));
  EXPECT_FALSE (m.is_complete);
  EXPECT_EQ (site.runs_of ("o1"), 1);
}

// Guards against engines that keep working for disconnected callers while
// other requests wait.
TEST (Relay, CallerDisconnectStopsItsRun)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->events = 1000;
  auto connection = dial (site.gateways[0].address);
  connection->write (stream_call ("l1", "a1").text ());
  EXPECT_NE (connection->read_some (5000), "");
  connection->close ();
  EXPECT_TRUE (Site::wait_for (
      [&] { return site.engines[0].target->abandoned_streams == 1; }, 2000));
  // The same before the first event.
  site.engines[0].target->event_ms = 400;
  connection = dial (site.gateways[0].address);
  connection->write (stream_call ("l2", "a1").text ());
  EXPECT_TRUE (Site::wait_for ([&] { return site.runs_of ("l2") == 1; }));
  connection->close ();
  EXPECT_TRUE (Site::wait_for (
      [&] { return site.engines[0].target->abandoned_streams == 2; }, 2000));
}

/// Make the only engine refuse requests and wait until the gateway knows.
void
make_engine_leave (Site &site)
{
  site.engines[0].target->set_leaving (true);
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.engines[0].sidecar,
                             { "engine_condition", "\"to\":\"leaving\"" })
                .empty ();
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
}

// After a power loss, all engines load their model for about 1 s. Callers that
// are refused in that time retry once, all together, are refused again because
// of the load and give up. Requests must wait instead.
TEST (Relay, RequestsWaitWhileNoEngineIsUp)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  make_engine_leave (site);
  std::thread engine ([&] {
    std::this_thread::sleep_for (std::chrono::milliseconds (300));
    site.engines[0].target->set_leaving (false);
  });
  Message m = send_call (site.gateways[0], stream_call ("w1", "a1"));
  engine.join ();
  EXPECT_EQ (m.status, 200) << m.body;
  EXPECT_EQ (event_ids (m.body), ids_up_to (10));
  if (HasFailure ())
    site.print_logs (20);
}

// Guards against a request that is refused at once because the only engine
// closes while it waits there for an adapter, though others wait for it.
TEST (Relay, RequestsAtAnEngineThatClosesWaitForItsReturn)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.engines[0].target;
  target.load_ms = 700;
  std::thread engine ([&] {
    std::this_thread::sleep_for (std::chrono::milliseconds (100));
    target.set_leaving (true);
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    target.set_leaving (false);
  });
  Message m = send_call (site.gateways[0], stream_call ("w3", "a1"));
  engine.join ();
  EXPECT_EQ (m.status, 200) << m.body;
  EXPECT_EQ (event_ids (m.body), ids_up_to (10));
  if (HasFailure ())
    site.print_logs (20);
}

// The wait for an engine is bounded, so that callers can turn to something
// else when no engine returns.
TEST (Relay, RequestsAreRefusedWhenNoEngineReturns)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  make_engine_leave (site);
  Message m = send_call (site.gateways[0], stream_call ("w2", "a1"));
  EXPECT_EQ (m.status, 503);
  EXPECT_NE (m.body.find ("no_target"), std::string::npos) << m.body;
  EXPECT_NE (m.header ("retry-after"), "");
}

TEST (Relay, ShutdownCompletesOpenRequestsAndSendsConnectionClose)
{
  Site site (1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->events = 100;
  site.engines[0].target->event_ms = 10;
  auto persistent = dial (site.gateways[0].address);
  persistent->write (plain_call ("k1").text ());
  EXPECT_EQ (persistent->read_response ().status, 200);
  auto connection = dial (site.gateways[0].address);
  connection->write (stream_call ("z1", "a1").text ());
  EXPECT_NE (connection->read_some (5000).find ("200 OK"), std::string::npos);
  kill (site.gateways[0].daemon.pid, SIGTERM);
  EXPECT_TRUE (Site::wait_for ([&] { return site.ready_status () == 503; }));
  persistent->write (plain_call ("k2").text ());
  Message m = persistent->read_response ();
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

TEST (Relay, GatewayErrorResponses)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("x", "/none/x")).status,
             404);
  // No engine: refused immediately, with Retry-After.
  Message m = send_call (site.gateways[0], stream_call ("x1", "a1"));
  EXPECT_EQ (m.status, 503);
  EXPECT_GT (atof (m.header ("retry-after").c_str ()), 0.0);
  EXPECT_EQ (m.header ("x-knapweedbay-server-seal"), "");
}

/// Restart the gateway while the store is unavailable, so that it has no
/// configuration.
void
restart_without_store (Site &site)
{
  site.stop (&site.gateways[0].daemon, SIGKILL);
  site.store.set_mode (Store::BUSY);
  site.start (&site.gateways[0].daemon);
  ASSERT_TRUE (Site::wait_for (
      [&] { return dial (site.gateways[0].address) != nullptr; }));
}

TEST (Relay, MissingConfigurationGives503Not404)
{
  Site site (0, 1);
  restart_without_store (site);
  EXPECT_EQ (send_call (site.gateways[0], plain_call ("x")).status, 503);
  EXPECT_EQ (site.ready_status (), 503);
}

// After a power loss, all processes start while the store is unavailable.
// Callers that are refused immediately with a Retry-After of 0.5 s retry once,
// are refused again and give up. Requests must wait instead.
TEST (Relay, RequestsWaitForTheFirstConfiguration)
{
  Site site (0, 1);
  restart_without_store (site);
  std::thread store ([&] {
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    site.store.set_mode (Store::HEALTHY);
  });
  Message served = send_call (site.gateways[0], plain_call ("w3"));
  store.join ();
  EXPECT_EQ (served.status, 200) << served.body;
  Message denied = send_call (site.gateways[0], plain_call ("w4", "/other/x"));
  EXPECT_EQ (denied.status, 404);
  if (HasFailure ())
    site.print_logs (20);
}

// Guards against a use after free: requests without a route also wait for the
// first configuration. Their 404 response frees them, and the next request on
// the same connection reuses the memory. Remaining work on the first request
// was applied to the second, which was sent twice, or the process crashed with
// all its streams.
TEST (Relay, QueuedRequestsWithoutRouteAreDeniedOnce)
{
  constexpr int kConnections = 20;
  Site site (0, 1);
  restart_without_store (site);
  std::vector<std::unique_ptr<Connection>> connections;
  for (int i = 0; i < kConnections; i++)
    {
      std::string number = std::to_string (i);
      connections.push_back (dial (site.gateways[0].address));
      connections.back ()->write (
          plain_call ("n" + number, "/other/x").text ()
          + plain_call ("u" + number, "/unsafe/x").text ());
    }
  std::this_thread::sleep_for (std::chrono::milliseconds (150));
  site.store.set_mode (Store::HEALTHY);
  for (int i = 0; i < kConnections; i++)
    {
      EXPECT_EQ (connections[(size_t)i]->read_response ().status, 404) << i;
      EXPECT_EQ (connections[(size_t)i]->read_response ().status, 200) << i;
      EXPECT_EQ (site.runs_of ("u" + std::to_string (i)), 1) << i;
    }
  EXPECT_EQ (site.ready_status (), 200);
}

// Guards against a timeout that is set before the route is known: a request
// waits for the first configuration, and its target then hangs. The timeout
// must be the 2 s of the route, not the caller's deadline of 9 s.
TEST (Relay, QueuedRequestUsesItsRouteTimeout)
{
  Site site (0, 1);
  restart_without_store (site);
  std::thread store ([&] {
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    site.store.set_mode (Store::HEALTHY);
  });
  site.plain[0]->fail_next ({ Fault::HANG });
  Call call = plain_call ("w6", "/unsafe/x");
  call.deadline_ms = 9000;
  auto before = std::chrono::steady_clock::now ();
  Message m = send_call (site.gateways[0], call);
  auto elapsed = std::chrono::steady_clock::now () - before;
  store.join ();
  EXPECT_EQ (m.status, 504);
  EXPECT_LT (elapsed, std::chrono::seconds (5));
}

TEST (Relay, RetryAfterIsLongWhenOutageEndIsUnknown)
{
  Site site (0, 1);
  restart_without_store (site);
  Call call = plain_call ("w5");
  call.deadline_ms = 9000;
  Message m = send_call (site.gateways[0], call);
  EXPECT_EQ (m.status, 503);
  double retry_after_s = atof (m.header ("retry-after").c_str ());
  EXPECT_GE (retry_after_s, 1.0);
  EXPECT_LE (retry_after_s, 3.0);
}

// Guards against request smuggling: a request hidden in the body of another
// one would run with an attempt id that no caller sent.
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
      Message m = connection->read_response (2000);
      EXPECT_EQ (m.status, 400) << head;
    }
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
  EXPECT_TRUE (site.plain[0]->requests ().empty ());
}

TEST (Relay, LimitsOnCallerRequests)
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
  EXPECT_EQ (connection->read_response ().status, 413);
  connection = dial (site.gateways[0].address);
  connection->write ("POST /unsafe/x HTTP/1.1\r\nHost: a.ex");
  EXPECT_EQ (connection->read_response ().status, 408);
  connection = dial (site.gateways[0].address);
  EXPECT_TRUE (connection->peer_has_closed (6000));
  EXPECT_TRUE (site.plain[0]->requests ().empty ());
}

TEST (Relay, RouteTimeoutGetsFinalResponse)
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
  EXPECT_FALSE (m.is_complete);
  site.plain[0]->fail_next ({ Fault::HANG });
  EXPECT_EQ (
      send_call (site.gateways[0], plain_call ("t2", "/unsafe/x")).status,
      504);
}

} // namespace
} // namespace relay
