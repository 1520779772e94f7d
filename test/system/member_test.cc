// Membership: drains, stale lists, fencing, loss of entries and claim owners.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;
using kb::Headers;

namespace
{

ClusterOptions
short_timeout_options ()
{
  ClusterOptions o;
  o.extra_entry = "\"vm_gone_after_ms\":1000,\"silence_ms\":800,";
  return o;
}

int64_t
total_run_count (Cluster &c, const kb::Target &t)
{
  json_object *doc = c.stats (t.fake);
  json_object *map = nullptr;
  int64_t runs = 0;
  if (json_object_object_get_ex (doc, "runs", &map))
    {
      json_object_object_foreach (map, key, value)
      {
        (void)key;
        runs += json_object_get_int (value);
      }
    }
  json_object_put (doc);
  return runs;
}

int64_t
owned_shards (Cluster &c, int entry)
{
  return c.status_int (c.entries[(size_t)entry].process, "shards_owned");
}

} // namespace

// An agent gets SIGTERM while it streams, as when an operator replaces its VM.
// The streams must finish, new requests must go elsewhere, and the agent must
// exit with 0.
TEST (Membership, DrainingAgentFinishesStreams)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Answer answers[6];
  std::vector<std::thread> threads;
  for (int i = 0; i < 6; i++)
    threads.emplace_back ([&c, &answers, i] {
      answers[i] = c.complete (i % 2, "a" + std::to_string (i) + "@1", "s", {},
                               400, true);
    });
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  kb::Target &leaving = c.targets[0];
  Cluster::kill_process (leaving.agent, SIGTERM);
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  int64_t before = total_run_count (c, leaving);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (c.complete (i % 2, "a" + std::to_string (i) + "@1", "n").status,
               200);
  EXPECT_EQ (total_run_count (c, leaving), before);
  for (auto &t : threads)
    t.join ();
  for (int i = 0; i < 6; i++)
    EXPECT_EQ (
        Cluster::text_of_stream (answers[i]),
        Cluster::expected_text ("a" + std::to_string (i) + "@1", "s", 400));
  EXPECT_EQ (Cluster::wait_exit (leaving.agent), 0);
}

// An entry gets SIGTERM during requests: they finish, its claim shards go to
// the other entry, and it exits with 0.
TEST (Membership, DrainingEntryHandsOverShards)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Answer keyed
      = c.complete (0, "a1@1", "kept", { "Idempotency-Key: handover" });
  ASSERT_EQ (keyed.status, 200);
  Answer running;
  std::thread t ([&] { running = c.complete (0, "a2@1", "run", {}, 400); });
  EXPECT_TRUE (Cluster::wait_until ([&] { return c.runs_of ("run") == 1; }));
  Cluster::kill_process (c.entries[0].process, SIGTERM);
  t.join ();
  EXPECT_EQ (running.status, 200) << running.body;
  EXPECT_EQ (Cluster::wait_exit (c.entries[0].process), 0);
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return owned_shards (c, 1) == 64; }));
  Answer again
      = c.complete (1, "a1@1", "kept", { "Idempotency-Key: handover" });
  EXPECT_EQ (again.status, 200) << again.body;
  EXPECT_EQ (c.runs_of ("kept"), 1);
}

// The list marks a target as leaving; its agent doesn't know. Two seconds
// later the target must get no new requests.
TEST (Membership, ListedLeavingGetsNoNewWork)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.publish ({ c.targets[0].name });
  std::this_thread::sleep_for (std::chrono::milliseconds (2000));
  int64_t before = total_run_count (c, c.targets[0]);
  for (int i = 0; i < 24; i++)
    EXPECT_EQ (c.complete (i % 2, "a" + std::to_string (i) + "@1", "x").status,
               200);
  EXPECT_EQ (total_run_count (c, c.targets[0]), before);
}

// The list lacks targets that respond. Their own report is newer than the
// list, so they must still be used.
TEST (Membership, UnlistedButRespondingTargetIsUsed)
{
  Cluster c (short_timeout_options ());
  c.start ();
  std::vector<std::string> missing;
  for (auto &t : c.targets)
    missing.push_back (t.name);
  c.publish ({}, missing);
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  EXPECT_EQ (c.complete (0, "a1@1", "still").status, 200);
}

// The list still has a target that is dead. Requests must not wait for it.
TEST (Membership, ListedButDeadTargetIsAvoided)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Cluster::kill_process (c.targets[1].agent, SIGKILL);
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  for (int i = 0; i < 16; i++)
    {
      Answer answer = c.complete (i % 2, "a" + std::to_string (i) + "@1", "x");
      EXPECT_EQ (answer.status, 200) << answer.body;
      EXPECT_LT (answer.seconds, 5);
    }
}

// A whole failure domain fails at once, with its entry and targets. The other
// domain keeps serving; no repeatable request is lost.
TEST (Membership, FailureDomainLost)
{
  ClusterOptions o = short_timeout_options ();
  o.domains = { "hafnarhus", "grandi" };
  Cluster c (o);
  c.start ();
  std::vector<std::thread> threads;
  std::vector<Answer> answers (24);
  for (int i = 0; i < 24; i++)
    threads.emplace_back ([&, i] {
      answers[(size_t)i] = c.complete (1, "a" + std::to_string (i) + "@1",
                                       "d" + std::to_string (i), {}, 100);
    });
  std::this_thread::sleep_for (std::chrono::milliseconds (150));
  for (auto &t : c.targets)
    if (t.domain == "hafnarhus")
      {
        Cluster::kill_process (t.agent, SIGKILL);
        Cluster::kill_process (t.fake, SIGKILL);
      }
  Cluster::kill_process (c.entries[0].process, SIGKILL);
  for (auto &t : threads)
    t.join ();
  for (int i = 0; i < 24; i++)
    EXPECT_EQ (answers[(size_t)i].status, 200) << answers[(size_t)i].body;
}

/// Pause the agent of a target, start its successor, resume the old one and
/// wait for it to exit.
static void
replace_paused_agent (Cluster &c, kb::Target &t)
{
  Cluster::kill_process (t.agent, SIGSTOP);
  kb::Process old = t.agent;
  c.start_agent (t);
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.status_int (t.agent, "registered") == 1; }));
  c.publish ();
  // The old agent is paused for longer than its pause limit.
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  Cluster::kill_process (old, SIGCONT);
  EXPECT_EQ (Cluster::wait_exit (old), 0);
  EXPECT_EQ (c.stat_sum ("stale_orders"), 0);
}

// Another owner used a newer fencing number at the engine while the agent
// still considers itself the owner. The engine refuses the agent's next order;
// the agent must exit, and the request must be served elsewhere.
TEST (Membership, AgentLeavesAfterRefusedOrder)
{
  Cluster c (ClusterOptions{});
  c.start ();
  kb::Target &t = c.targets[0];
  Answer takeover
      = kb::http_call ("POST", t.fake.http_port, "/v1/load_lora_adapter",
                       "{\"lora_name\":\"other@1\",\"lora_path\":\"x\"}",
                       { "x-fencing-number: 9999999999999999" });
  ASSERT_EQ (takeover.status, 200);
  for (int i = 0; i < 16; i++)
    EXPECT_EQ (c.complete (i % 2, "a" + std::to_string (i) + "@1", "x").status,
               200);
  EXPECT_EQ (Cluster::wait_exit (t.agent), 0);
  EXPECT_GE (c.stat_sum ("stale_orders"), 1);
}

// A paused agent resumes after its successor took over the target. The engine
// checks fencing numbers; the old agent must not send an order.
TEST (Membership, PausedAgentIsFencedByTheEngine)
{
  Cluster c (ClusterOptions{});
  c.start ();
  replace_paused_agent (c, c.targets[0]);
  EXPECT_EQ (c.complete (0, "a1@1", "after").status, 200);
}

// The same with an engine that ignores fencing numbers: the old agent must
// detect by itself that it was replaced, before it sends an order.
TEST (Membership, PausedAgentLeavesBeforeOrders)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.fault (c.targets[0].fake, "{\"checks_fence\":false}");
  replace_paused_agent (c, c.targets[0]);
}

// The entry that owns a key's shard is killed while the key's request runs.
// The caller re-sends through the other entry, which takes over the shard and
// rebuilds it from the runners: the request must not run again, and its stored
// answer must be returned.
TEST (Membership, KeyIsNotRunAgainAfterOwnerIsKilled)
{
  Cluster c (short_timeout_options ());
  c.start ();
  std::vector<std::thread> threads;
  std::vector<Answer> first_answers (8);
  for (int i = 0; i < 8; i++)
    threads.emplace_back ([&, i] {
      std::string id = "own" + std::to_string (i);
      first_answers[(size_t)i]
          = c.complete (0, "a1@1", id, { "Idempotency-Key: " + id }, 250);
    });
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  Cluster::kill_process (c.entries[0].process, SIGKILL);
  c.publish ({}, { "entry0" });
  for (auto &t : threads)
    t.join ();
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return owned_shards (c, 1) == 64; }));
  for (int i = 0; i < 8; i++)
    {
      std::string id = "own" + std::to_string (i);
      Answer again;
      Cluster::wait_until ([&] {
        again = c.complete (1, "a1@1", id, { "Idempotency-Key: " + id }, 250);
        return again.status != 409;
      });
      EXPECT_EQ (again.status, 200) << id << again.body;
      EXPECT_EQ (c.runs_of (id), 1) << id;
    }
}

// A claim owner is paused, another entry takes over its shards, and the old
// owner resumes with its stale records. No request may run twice on its
// grants.
TEST (Membership, ResumedOwnerGrantsNothing)
{
  Cluster c (short_timeout_options ());
  c.start ();
  Cluster::kill_process (c.entries[0].process, SIGSTOP);
  c.publish ({}, { "entry0" });
  ASSERT_TRUE (
      Cluster::wait_until ([&] { return owned_shards (c, 1) == 64; }));
  std::vector<std::string> ids;
  for (int i = 0; i < 12; i++)
    ids.push_back ("woken" + std::to_string (i));
  for (auto &id : ids)
    EXPECT_EQ (c.complete (1, "a1@1", id, { "Idempotency-Key: " + id }).status,
               200);
  Cluster::kill_process (c.entries[0].process, SIGCONT);
  for (auto &id : ids)
    {
      Answer again = c.complete (0, "a1@1", id, { "Idempotency-Key: " + id });
      EXPECT_TRUE (again.status == 200 || again.status == 503)
          << again.status << again.body;
      EXPECT_EQ (c.runs_of (id), 1);
    }
}

// Requests with a key are served during an outage of the key-value store:
// ownership of shards doesn't depend on a lease that could expire.
TEST (Membership, KeyedWorkThroughOutage)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.fault (c.kv, "{\"down\":true}");
  for (int i = 0; i < 16; i++)
    {
      std::string id = "outage" + std::to_string (i);
      for (int entry = 0; entry < 2; entry++)
        {
          Answer answer
              = c.complete (entry, "a1@1", id, { "Idempotency-Key: " + id });
          EXPECT_EQ (answer.status, 200) << answer.body;
        }
      EXPECT_EQ (c.runs_of (id), 1);
    }
}

// An agent restarts during an outage of the key-value store and can't
// register. It must serve requests without a key and refuse those with one
// until the store is back.
TEST (Membership, AgentStartsInOutage)
{
  ClusterOptions o;
  o.engines = 1;
  o.plains = 0;
  Cluster c (o);
  c.start ();
  c.fault (c.kv, "{\"down\":true}");
  Cluster::kill_process (c.targets[0].agent, SIGKILL);
  c.start_agent (c.targets[0], c.targets[0].agent.inner_port);
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.complete (0, "a1@1", "plain").status == 200; }));
  Answer keyed = c.complete (0, "a1@1", "keyed", { "Idempotency-Key: k" });
  EXPECT_EQ (keyed.status, 503) << keyed.body;
  EXPECT_EQ (c.runs_of ("keyed"), 0);
  c.fault (c.kv, "{\"down\":false}");
  EXPECT_TRUE (Cluster::wait_until (
      [&] { return c.status_int (c.targets[0].agent, "registered") == 1; }));
}
