// Streams that break off while a new version of their adapter is declared: one
// goes on only at the version that began it.
#include <gtest/gtest.h>

#include <signal.h>

#include "release_site.h"

namespace relay
{
namespace
{

constexpr int kStreams = 16;

/// A refusal of what can't be served comes at once, not at the deadline.
constexpr int kMaxRefusalMs = 700;

/// No request begins at an older version later than this after a newer one was
/// acknowledged.
constexpr int kVersionBoundMs = 5000;

/// When the new version is declared.
enum class Declared
{
  NEVER,
  BEFORE, ///< While the streams run, well before they break off.
  JUST_BEFORE,
  AFTER, ///< After they broke off, before they are continued.
};

constexpr Declared kMoments[] = { Declared::NEVER, Declared::BEFORE,
                                  Declared::JUST_BEFORE, Declared::AFTER };

const char *
name_of (Declared moment)
{
  static const char *const names[]
      = { "never", "before", "just before", "after" };
  return names[(int)moment];
}

/// A site where all engines hold version 1 of an adapter.
struct AdapterSite : Site
{
  explicit AdapterSite (int gateway_count = 2) : Site (4, 1, gateway_count) {}
  bool
  wait_held ()
  {
    if (!wait_ready ())
      return false;
    set_pace (40, 10);
    // More at once than one engine has slots.
    return wait_for ([this] {
      auto streams = begin_streams (*this, 0, 24, "w", "a1");
      for (Stream &stream : streams)
        if (stream.connection != nullptr)
          while (!stream.connection->read_some (100).empty ())
            ;
      int holding = 0;
      for (const Engine &engine : engines)
        holding += engine.target->max_adapters_held () > 0;
      return holding >= 2;
    });
  }
  void
  set_pace (int event_count, int event_pause_ms)
  {
    for (const Engine &engine : engines)
      {
        engine.target->events = event_count;
        engine.target->event_ms = event_pause_ms;
      }
  }
  /// Declare version 2.
  void
  declare ()
  {
    for (const Engine &engine : engines)
      engine.target->newest_version = 2;
    put ("op/version/m.a1", R"({"Model":"m","Adapter":"a1","Version":2})");
  }
  void
  declare_if (Declared moment, Declared now)
  {
    if (moment != now)
      return;
    declare ();
    pause_ms (moment == Declared::BEFORE ? 1200 : 50);
  }
  /// Wait until all gateways know version 2.
  bool
  wait_declared ()
  {
    return wait_for ([this] {
      for (const Gateway &gateway : gateways)
        if (log_lines (gateway.daemon, { "adapter_version", "\"version\":2" })
                .empty ())
          return false;
      return true;
    });
  }
  /// Requests for the older version that an engine got.
  int
  requests_for_older ()
  {
    int count = 0;
    for (const Engine &engine : engines)
      for (const Message &request : engine.target->requests ())
        count += request.header ("x-knapweedbay-expect-version") == "1";
    return count;
  }
};

void
expect_not_joined (const Continuations &result)
{
  EXPECT_GE (result.begun, kStreams * 3 / 4);
  EXPECT_EQ (result.mixed, 0);
  EXPECT_LE (result.max_refusal_ms, kMaxRefusalMs);
}

/// Of streams of the newest version almost all go on; of an older one those
/// that come back within the bound.
void
expect_continued (const Continuations &result, int of_hundred)
{
  EXPECT_GE (result.continued * 100, result.begun * of_hundred);
}

// Guards against a stream that its caller continues at another gateway, which
// asks for the newest version.
TEST (AdapterVersion, CallerContinuesAtItsVersionThroughAnotherGateway)
{
  for (Declared moment : kMoments)
    for (bool is_killed : { false, true })
      {
        SCOPED_TRACE (name_of (moment));
        SCOPED_TRACE (is_killed);
        AdapterSite site;
        ASSERT_TRUE (site.wait_held ());
        site.set_pace (100, 20);
        auto streams = begin_streams (site, 0, kStreams, "a", "a1");
        site.declare_if (moment, Declared::BEFORE);
        site.declare_if (moment, Declared::JUST_BEFORE);
        if (is_killed)
          site.stop (&site.gateways[0].daemon, SIGKILL);
        end_streams (streams);
        site.declare_if (moment, Declared::AFTER);
        printf ("%s, %s: ", name_of (moment), is_killed ? "killed" : "left");
        Continuations result
            = continue_streams (site, 1, streams, true, "again-", "a1");
        expect_not_joined (result);
        expect_continued (result, moment == Declared::NEVER ? 75 : 50);
      }
}

// Guards against the same after a chain of two continuations.
TEST (AdapterVersion, CallerContinuesAtItsVersionTwice)
{
  for (bool names_first : { true, false })
    {
      SCOPED_TRACE (names_first);
      AdapterSite site;
      ASSERT_TRUE (site.wait_held ());
      site.set_pace (100, 20);
      auto streams = begin_streams (site, 0, kStreams, "a", "a1");
      site.declare ();
      end_streams (streams);
      std::vector<Stream> next;
      for (const Stream &stream : streams)
        {
          Stream again;
          again.id = "b" + stream.id;
          again.connection = dial (site.gateways[1].address);
          again.connection->write (continued (stream_call ("", "a1"), again.id,
                                              stream.last_event (), stream.id)
                                       .text ());
          again.events = stream.events;
          next.push_back (std::move (again));
        }
      for (Stream &again : next)
        for (int read = 0; read < 3; read++)
          again.events += again.connection->read_some (2000);
      end_streams (next);
      for (size_t i = 0; i < next.size () && names_first; i++)
        next[i].id = streams[i].id;
      printf ("chain: ");
      Continuations result
          = continue_streams (site, 0, next, true, "again-", "a1");
      expect_not_joined (result);
      expect_continued (result, 50);
    }
}

// Guards against gateways that have lost their memory.
TEST (AdapterVersion, StreamsAreNotJoinedAfterTheLossOfAllGateways)
{
  for (Declared moment : kMoments)
    {
      SCOPED_TRACE (name_of (moment));
      AdapterSite site;
      ASSERT_TRUE (site.wait_held ());
      site.set_pace (150, 20);
      auto streams = begin_streams (site, 0, kStreams, "a", "a1");
      site.declare_if (moment, Declared::BEFORE);
      site.declare_if (moment, Declared::JUST_BEFORE);
      for (size_t i : { 0, 1 })
        site.stop (&site.gateways[i].daemon, SIGKILL);
      site.declare_if (moment, Declared::AFTER);
      for (size_t i : { 0, 1 })
        site.start (&site.gateways[i].daemon);
      end_streams (streams);
      ASSERT_TRUE (Site::wait_for ([&] {
        return site.ready_status (0) == 200 && site.ready_status (1) == 200;
      }));
      printf ("%s, all gateways lost: ", name_of (moment));
      Continuations result
          = continue_streams (site, 1, streams, true, "again-", "a1");
      expect_not_joined (result);
      if (moment == Declared::NEVER)
        expect_continued (result, 75);
    }
}

// Guards against refusals after each start of the gateways, for callers who
// name no attempt, while one version of the adapter was ever declared.
TEST (AdapterVersion, CallersWhoNameNoAttemptGoOnAfterAStart)
{
  AdapterSite site;
  ASSERT_TRUE (site.wait_held ());
  site.declare ();
  ASSERT_TRUE (site.wait_declared ());
  site.set_pace (150, 20);
  auto streams = begin_streams (site, 0, kStreams, "a", "a1");
  for (size_t i : { 0, 1 })
    site.stop (&site.gateways[i].daemon, SIGKILL);
  for (size_t i : { 0, 1 })
    site.start (&site.gateways[i].daemon);
  end_streams (streams);
  ASSERT_TRUE (Site::wait_for ([&] {
    return site.ready_status (0) == 200 && site.ready_status (1) == 200;
  }));
  Continuations result
      = continue_streams (site, 1, streams, false, "again-", "a1");
  expect_not_joined (result);
  expect_continued (result, 75);
}

// Guards against a stream that its gateway resumes, in one answer, at a newer
// version.
TEST (AdapterVersion, BrokenStreamIsResumedAtItsVersion)
{
  for (Declared moment : { Declared::NEVER, Declared::BEFORE })
    {
      SCOPED_TRACE (name_of (moment));
      AdapterSite site (1);
      ASSERT_TRUE (site.wait_held ());
      site.wait_for_retries (8);
      site.set_pace (10, 150);
      int complete = 0;
      int joined = 0;
      std::vector<std::thread> threads;
      std::mutex mutex;
      for (const Engine &engine : site.engines)
        engine.target->fail_next (
            { Fault::CUT_WITHIN_EVENT, Fault::CUT_WITHIN_EVENT });
      for (int i = 0; i < 8; i++)
        threads.emplace_back ([&, i] {
          Message answer = send_call (
              site.gateways[0], stream_call ("s" + std::to_string (i), "a1"));
          std::lock_guard<std::mutex> lock (mutex);
          complete += answer.is_complete;
          joined += event_adapter_versions (answer.body).size () > 1;
        });
      pause_ms (200);
      if (moment != Declared::NEVER)
        site.declare ();
      for (std::thread &thread : threads)
        thread.join ();
      printf ("%s, in one answer: %d complete, %d of two versions\n",
              name_of (moment), complete, joined);
      EXPECT_EQ (joined, 0);
    }
}

// Guards against a stream that goes on at an older version after the time
// within which a newer one has to serve.
TEST (AdapterVersion, OlderVersionIsNotResumedLate)
{
  AdapterSite site;
  ASSERT_TRUE (site.wait_held ());
  site.set_pace (200, 30);
  auto streams = begin_streams (site, 0, kStreams, "a", "a1");
  site.declare ();
  pause_ms (kVersionBoundMs - 500);
  end_streams (streams);
  int begun_older = site.requests_for_older ();
  pause_ms (500);
  printf ("late: ");
  Continuations result
      = continue_streams (site, 1, streams, true, "again-", "a1");
  EXPECT_GE (result.begun, kStreams * 3 / 4);
  EXPECT_EQ (result.mixed, 0);
  EXPECT_EQ (result.refused, result.begun);
  EXPECT_LE (result.max_refusal_ms, kMaxRefusalMs);
  EXPECT_EQ (site.requests_for_older (), begun_older);
  for (const Stream &stream : streams)
    EXPECT_EQ (site.runs_of ("again-" + stream.id), 0);
}

// Guards against new streams that get an older version, or none, because
// streams of the older one were taken up again.
TEST (AdapterVersion, NewStreamsGetTheNewestVersion)
{
  AdapterSite site;
  ASSERT_TRUE (site.wait_held ());
  site.set_pace (60, 20);
  auto streams = begin_streams (site, 0, kStreams, "a", "a1");
  site.declare ();
  ASSERT_TRUE (site.wait_declared ());
  end_streams (streams);
  std::thread continuing (
      [&] { continue_streams (site, 1, streams, true, "again-", "a1"); });
  pause_ms (300);
  int served = 0;
  for (int i = 0; i < 8; i++)
    {
      Message answer
          = send_call (site.gateways[(size_t)i % 2],
                       stream_call ("n" + std::to_string (i), "a1"));
      served += answer.status == 200 && answer.is_complete;
      if (answer.status == 200)
        {
          EXPECT_EQ (event_adapter_versions (answer.body),
                     std::set<std::string>{ "2" });
        }
    }
  continuing.join ();
  EXPECT_GE (served, 7);
}

} // namespace
} // namespace relay
