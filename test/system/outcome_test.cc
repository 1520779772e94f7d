// Outcomes under failure: targets, engines, entries and callers that are lost
// before, during and after an answer.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;
using kb::Headers;

namespace
{

const Headers kNonIdempotent = { "X-Knapweedbay-Idempotent: false" };

/// The target whose stand-in counts a running request.
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

std::thread
send_async (Cluster &c, Answer &out, const std::string &prompt,
            const Headers &headers, int tokens, bool is_stream = false)
{
  return std::thread ([&c, &out, prompt, headers, tokens, is_stream] {
    out = c.complete (0, "a1@1", prompt, headers, tokens, is_stream);
  });
}

} // namespace

// An agent's VM dies while its engine generates. A repeatable request must
// come back whole from another target; the caller sees nothing but delay.
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

// The same with a request that may not be repeated: it may have run, so it is
// never sent again, and the caller is told that its outcome is unknown.
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

// A target dies in the middle of a stream. The caller has half of the text;
// it must not be continued with another attempt's text, and must not look
// whole.
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

// An engine cuts its stream without the end mark and closes cleanly. The
// caller must see a cut stream, not a short answer.
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

// An engine answers under another adapter's name, as one does that confused
// its slots. No byte of it may reach the caller as an answer.
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

// An engine accepts a request and falls silent. A request that may not be
// repeated ends as unknown when the engine's idle time is over, long before
// its deadline; it ran at most once.
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

// Engines restart cold: every adapter is gone and running work is cut. The
// slot tables are wrong until they notice; requests must still end whole and
// by the adapter they named.
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

// Loads fail at one engine. The request goes to another target and ends
// whole; it is not run twice.
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

// A load takes effect but its answer is lost. The engine holds an adapter
// the table does not know; a later load must not overfill the engine.
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

// A plain service takes a booking and loses its answer. The booking may not
// be repeated: the caller is told that the outcome is unknown.
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

// Nothing can take the work: no engine is left. The refusal must be true
// (not run) and come at once, with a time to come back, not at the deadline.
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

// A caller hangs up. Repeatable work is stopped at the engine, since nobody
// waits for it; work that may not be repeated is left to finish.
TEST (Outcome, DisconnectCancelsOnlyIdempotentRequests)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Headers auth = { "Authorization: Bearer kavango-key" };
  std::string body = "{\"model\":\"a1@1\",\"prompt\":\"bye\","
                     "\"max_tokens\":1500}";
  kb::http_call ("POST", c.entries[0].process.http_port, "/v1/completions",
                 body, auth, 400);
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return c.stat_sum ("running") == 0; }, 2500));
  Headers once = auth;
  once.push_back (kNonIdempotent[0]);
  kb::http_call ("POST", c.entries[0].process.http_port, "/v1/completions",
                 body, once, 400);
  std::this_thread::sleep_for (std::chrono::milliseconds (1200));
  EXPECT_EQ (c.stat_sum ("running"), 1);
}

// Five thousand requests arrive at once. Each gets exactly one answer; every
// refusal is true, and the daemons' memory stays bounded.
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
