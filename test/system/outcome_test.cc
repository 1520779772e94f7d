// Request outcomes when targets, engines or callers fail before, during or
// after an answer.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "cluster.h"
#include "http_peer.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;
using kb::Headers;

namespace
{

const Headers kNonIdempotent = { "X-Knapweedbay-Idempotent: false" };

/// Wait for a running request.
/// @return  The engine target that runs one, or NULL after 5 s.
kb::Target *
find_running_target (Cluster &c)
{
  kb::Target *found = nullptr;
  Cluster::wait_until (
      [&] {
        for (auto &t : c.targets)
          {
            if (t.is_plain)
              continue;
            json_object *doc = c.stats (t.fake);
            json_object *running = nullptr;
            json_object_object_get_ex (doc, "running", &running);
            if (json_object_get_int (running) > 0)
              found = &t;
            json_object_put (doc);
          }
        return found != nullptr;
      },
      5000);
  return found;
}

/// Send a completion to the first entry on a new thread.
std::thread
send_async (Cluster &c, Answer &out, const std::string &prompt,
            const Headers &headers, int tokens, bool is_stream = false)
{
  return std::thread ([&c, &out, prompt, headers, tokens, is_stream] {
    out = c.complete (0, "a1@1", prompt, headers, tokens, is_stream);
  });
}

} // namespace

// An agent is killed while its engine generates. An idempotent request must be
// answered completely by another target; the caller only sees the delay.
TEST (Outcome, AgentKilledIdempotentIsRetried)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Answer answer;
  std::thread t = send_async (c, answer, "retry-me", {}, 300);
  kb::Target *target = find_running_target (c);
  ASSERT_NE (target, nullptr);
  Cluster::kill_process (target->agent, SIGKILL);
  t.join ();
  EXPECT_EQ (answer.status, 200) << answer.body;
  EXPECT_EQ (Cluster::text_of (answer),
             Cluster::expected_text ("a1@1", "retry-me", 300));
}

// The same with a non-idempotent request: it may have run, so it is never sent
// again, and its outcome is reported to the caller as unknown.
TEST (Outcome, AgentKilledNonIdempotentIsUnknown)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Answer answer;
  std::thread t = send_async (c, answer, "only-once", kNonIdempotent, 300);
  kb::Target *target = find_running_target (c);
  ASSERT_NE (target, nullptr);
  Cluster::kill_process (target->agent, SIGKILL);
  t.join ();
  EXPECT_EQ (answer.status, 504) << answer.body;
  EXPECT_EQ (answer.headers["x-knapweedbay-outcome"], "unknown");
  EXPECT_EQ (c.runs_of ("only-once"), 1);
}

// A target dies in the middle of a stream. The caller has half of the text: it
// must not be continued by another attempt, nor look complete.
TEST (Outcome, PartialStreamIsNotContinued)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Answer answer;
  std::thread t = send_async (c, answer, "half", {}, 400, true);
  kb::Target *target = find_running_target (c);
  ASSERT_NE (target, nullptr);
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  Cluster::kill_process (target->agent, SIGKILL);
  t.join ();
  EXPECT_FALSE (answer.is_complete);
  EXPECT_EQ (answer.body.find ("[DONE]"), std::string::npos);
  EXPECT_EQ (c.runs_of ("half"), 1);
}

// An engine closes its stream cleanly, but without the end mark. The caller
// must see a truncated stream, not a short answer.
TEST (Outcome, TruncatedEngineStreamIsIncomplete)
{
  Cluster c (ClusterOptions{});
  c.start ();
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"cut_after\":3}");
  Answer answer = c.complete (0, "a1@1", "cut", {}, 10, true);
  EXPECT_FALSE (answer.is_complete);
  EXPECT_EQ (answer.body.find ("[DONE]"), std::string::npos);
}

// An engine answers for another adapter, as if it had confused its slots. No
// byte of the answer may reach the caller.
TEST (Outcome, WrongModelNeverReachesTheCaller)
{
  Cluster c (ClusterOptions{});
  c.start ();
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"wrong_model\":true}");
  Answer answer = c.complete (0, "a1@1", "wrong", {}, 4);
  EXPECT_EQ (answer.status, 502) << answer.body;
  EXPECT_EQ (answer.headers["x-knapweedbay-outcome"], "ran_failed");
  answer = c.complete (0, "a1@1", "wrong", {}, 4, true);
  EXPECT_EQ (answer.body.find ("other@1"), std::string::npos);
}

// An engine accepts a request and sends nothing. A non-idempotent request ends
// as unknown at the engine's idle timeout, long before its deadline, and runs
// once.
TEST (Outcome, HungEngineIsUnknown)
{
  ClusterOptions o;
  o.extra_agent = "\"engine_idle_timeout_ms\":600,";
  Cluster c (o);
  c.start ();
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"hung\":true}");
  Answer answer = c.complete (0, "a1@1", "hung", kNonIdempotent, 4);
  EXPECT_EQ (answer.status, 504) << answer.body;
  EXPECT_EQ (c.runs_of ("hung"), 1);
}

// Engines restart without their adapters, and running requests break. The slot
// tables are wrong until they are reconciled; requests must still be answered
// completely and by the requested adapter.
TEST (Outcome, ColdEnginesAreReconciled)
{
  Cluster c (ClusterOptions{});
  c.start ();
  for (int i = 0; i < 8; i++)
    ASSERT_EQ (
        c.complete (i % 2, "a" + std::to_string (i) + "@1", "warm").status,
        200);
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"restart\":true}");
  for (int i = 0; i < 8; i++)
    {
      std::string model = "a" + std::to_string (i) + "@1";
      Answer answer = c.complete (i % 2, model, "cold");
      EXPECT_EQ (answer.status, 200) << answer.body;
      EXPECT_EQ (Cluster::text_of (answer),
                 Cluster::expected_text (model, "cold", 8));
    }
  EXPECT_EQ (c.stat_sum ("evicted_in_use"), 0);
}

// Loads fail at two engines. Requests are retried at another target, answered
// completely and run only once.
TEST (Outcome, FailedLoadIsRetriedAtOtherTarget)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.fault (c.targets[0].fake, "{\"fail_loads\":1000}");
  c.fault (c.targets[1].fake, "{\"fail_loads\":1000}");
  for (int i = 0; i < 12; i++)
    {
      std::string model = "a" + std::to_string (i) + "@1";
      Answer answer = c.complete (i % 2, model, "load" + std::to_string (i));
      EXPECT_EQ (answer.status, 200) << answer.body;
      EXPECT_EQ (c.runs_of ("load" + std::to_string (i)), 1);
    }
}

// A load succeeds but its answer is lost. The engine holds an adapter that the
// slot table does not know; later loads must not exceed the engine's slots.
TEST (Outcome, LostLoadAnswerIsReconciled)
{
  ClusterOptions o;
  o.slots = 2;
  Cluster c (o);
  c.start ();
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"lose_loads\":2}");
  for (int i = 0; i < 12; i++)
    {
      std::string model = "a" + std::to_string (i) + "@1";
      Answer answer = c.complete (i % 2, model, "lost-load");
      EXPECT_EQ (answer.status, 200) << answer.body;
    }
  EXPECT_EQ (c.stat_sum ("over_slots"), 0);
}

// Forty adapters share eight slots under parallel load. No adapter may be
// unloaded while it serves, and no answer may come from another adapter.
TEST (Outcome, NeverEvictedInUse)
{
  ClusterOptions o;
  o.slots = 2;
  Cluster c (o);
  c.start ();
  std::atomic<int> wrong{ 0 };
  std::vector<std::thread> threads;
  for (int w = 0; w < 16; w++)
    threads.emplace_back ([&c, &wrong, w] {
      for (int i = 0; i < 12; i++)
        {
          std::string model
              = "a" + std::to_string ((w * 7 + i * 3) % 40) + "@1";
          Answer answer = c.complete (w % 2, model, "p", {}, 20);
          if (answer.status != 200
              || Cluster::text_of (answer)
                     != Cluster::expected_text (model, "p", 20))
            wrong++;
        }
    });
  for (auto &t : threads)
    t.join ();
  EXPECT_EQ (wrong, 0);
  EXPECT_EQ (c.stat_sum ("evicted_in_use"), 0);
  EXPECT_EQ (c.stat_sum ("over_slots"), 0);
}

// A plain service handles a booking, but its answer is lost. The booking must
// not be repeated, and its outcome is reported to the caller as unknown.
TEST (Outcome, PlainCallWithLostAnswerRunsOnce)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.fault (c.targets[4].fake, "{\"cut\":true}");
  Answer answer = kb::http_call ("POST", c.entries[0].process.http_port,
                                 "/v1/services/map-query/book", "booking-1",
                                 { "Authorization: Bearer kavango-key" });
  EXPECT_EQ (answer.status, 504) << answer.body;
  EXPECT_EQ (c.runs_of ("booking-1"), 1);
}

// No agent of an engine is left. The request must be refused at once, not at
// the deadline, as not run and with a Retry-After header.
TEST (Outcome, RefusalIsImmediateAndNotRun)
{
  Cluster c (ClusterOptions{});
  c.start ();
  for (auto &t : c.targets)
    if (!t.is_plain)
      Cluster::kill_process (t.agent, SIGKILL);
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  Answer answer = c.complete (0, "a1@1", "nobody");
  EXPECT_EQ (answer.status, 503) << answer.body;
  EXPECT_EQ (answer.headers["x-knapweedbay-outcome"], "not_run");
  EXPECT_NE (answer.headers["retry-after"], "");
  EXPECT_EQ (c.runs_of ("nobody"), 0);
}

// A caller disconnects. An idempotent request is cancelled at the engine, as
// nobody waits for it; a non-idempotent request finishes.
TEST (Outcome, DisconnectCancelsOnlyIdempotentRequests)
{
  Cluster c (ClusterOptions{});
  c.start ();
  std::string body = "{\"model\":\"a1@1\",\"prompt\":\"bye\","
                     "\"max_tokens\":1500}";
  // The caller leaves once its request is at work, which takes 3 s.
  auto leave_at_work = [&] (const std::string &headers) {
    auto caller = relay::dial (
        "127.0.0.1:" + std::to_string (c.entries[0].process.http_port));
    ASSERT_NE (caller, nullptr);
    caller->write ("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                   "Authorization: Bearer kavango-key\r\n"
                   + headers + "Content-Length: "
                   + std::to_string (body.size ()) + "\r\n\r\n" + body);
    ASSERT_TRUE (Cluster::wait_until (
        [&] { return c.stat_sum ("running") == 1; }, 8000));
  };
  ASSERT_NO_FATAL_FAILURE (leave_at_work (""));
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return c.stat_sum ("running") == 0; }, 2500));
  ASSERT_NO_FATAL_FAILURE (leave_at_work (kNonIdempotent[0] + "\r\n"));
  std::this_thread::sleep_for (std::chrono::milliseconds (1200));
  EXPECT_EQ (c.stat_sum ("running"), 1);
}

// Five thousand requests arrive in a burst. Each gets exactly one answer, no
// refused request has run, and the memory of the entries stays bounded.
TEST (Outcome, BurstOfFiveThousandRequests)
{
  ClusterOptions o;
  o.extra_agent = "\"queue_limit\":300,";
  Cluster c (o);
  c.start ();
  std::atomic<int> done{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> other{ 0 };
  std::vector<std::thread> threads;
  for (int w = 0; w < 250; w++)
    threads.emplace_back ([&, w] {
      for (int i = 0; i < 20; i++)
        {
          std::string prompt
              = "b" + std::to_string (w) + "-" + std::to_string (i);
          std::string model = "a" + std::to_string ((w + i) % 40) + "@1";
          Answer answer = c.complete (w % 2, model, prompt, {}, 4);
          if (answer.status == 200
              && Cluster::text_of (answer)
                     == Cluster::expected_text (model, prompt, 4))
            done++;
          else if (answer.headers["x-knapweedbay-outcome"] == "not_run")
            refused++;
          else
            other++;
        }
    });
  for (auto &t : threads)
    t.join ();
  EXPECT_EQ (done + refused, 5000);
  EXPECT_EQ (other, 0);
  int64_t runs = 0;
  for (auto &t : c.targets)
    {
      json_object *doc = c.stats (t.fake);
      json_object *map = nullptr;
      if (json_object_object_get_ex (doc, "runs", &map))
        {
          json_object_object_foreach (map, key, value)
          {
            (void)key;
            runs += json_object_get_int (value);
          }
        }
      json_object_put (doc);
    }
  EXPECT_EQ (runs, done);
  for (auto &e : c.entries)
    EXPECT_LT (c.metric (e.process, "knapweedbay_resident_bytes"), 128 << 20);
}
