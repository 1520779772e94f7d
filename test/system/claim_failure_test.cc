// Idempotency keys under combined failures of claim owners, runners and the
// key-value service, and with a partitioned entry that has stale data.
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
short_window_options (int window_ms)
{
  std::string window = "\"claim_window_ms\":" + std::to_string (window_ms)
                       + ",\"max_deadline_ms\":" + std::to_string (window_ms)
                       + ",";
  ClusterOptions o;
  o.extra_entry = "\"vm_gone_after_ms\":800,\"silence_ms\":800," + window;
  o.extra_agent = window;
  return o;
}

Answer
complete_keyed (Cluster &c, int entry, const std::string &id)
{
  return c.complete (entry, "a1@1", id, { "Idempotency-Key: " + id });
}

bool
wait_owns_all_shards (Cluster &c, int entry)
{
  return Cluster::wait_until ([&] {
    return c.status_int (c.entries[(size_t)entry].process, "shards_owned")
           == 64;
  });
}

void
kill_and_unlist_entry0 (Cluster &c)
{
  Cluster::kill_process (c.entries[0].process, SIGKILL);
  c.publish ({}, { "entry0" });
}

} // namespace

// Every agent is replaced gracefully after a key ran, then the entry that
// owned the key is killed. No process that handled the key is left, but the
// agents handed their claim records to the entries: the key must not run
// again, and new keys are served at once, as no records were lost.
TEST (ClaimFailure, MemoryOutlivesGracefulReplacement)
{
  Cluster c (short_window_options (60000));
  c.start ();
  std::vector<std::string> ids;
  for (int i = 0; i < 12; i++)
    ids.push_back ("memory" + std::to_string (i));
  for (auto &id : ids)
    ASSERT_EQ (complete_keyed (c, 0, id).status, 200);
  for (auto &t : c.targets)
    {
      Cluster::kill_process (t.agent, SIGTERM);
      ASSERT_EQ (Cluster::wait_exit (t.agent), 0);
      c.start_agent (t);
      c.publish ();
    }
  ASSERT_TRUE (c.wait_ready ());
  kill_and_unlist_entry0 (c);
  ASSERT_TRUE (wait_owns_all_shards (c, 1));
  for (auto &id : ids)
    {
      Answer again = complete_keyed (c, 1, id);
      EXPECT_NE (again.status, 200) << id;
      EXPECT_NE (again.headers["x-knapweedbay-outcome"], "not_run") << id;
      EXPECT_EQ (c.runs_of (id), 1) << id;
    }
  EXPECT_EQ (complete_keyed (c, 1, "fresh").status, 200);
}

// Owners and runners crash within one claim window. Nobody can tell whether an
// unseen key ran, so its outcome is "unknown" and it does not run; after the
// window, new keys are served again.
TEST (ClaimFailure, DoubleCrashMakesUnseenKeysUnknown)
{
  Cluster c (short_window_options (6000));
  c.start ();
  ASSERT_EQ (complete_keyed (c, 0, "before").status, 200);
  for (auto &t : c.targets)
    {
      Cluster::kill_process (t.agent, SIGKILL);
      c.start_agent (t);
    }
  kill_and_unlist_entry0 (c);
  ASSERT_TRUE (wait_owns_all_shards (c, 1));
  int unknown = 0;
  for (int i = 0; i < 24; i++)
    {
      std::string id = "unseen" + std::to_string (i);
      Answer answer = complete_keyed (c, 1, id);
      unknown += answer.headers["x-knapweedbay-outcome"] == "unknown";
      EXPECT_EQ (c.runs_of (id), answer.status == 200 ? 1 : 0);
    }
  EXPECT_GT (unknown, 0);
  complete_keyed (c, 1, "before");
  EXPECT_EQ (c.runs_of ("before"), 1);
  EXPECT_TRUE (Cluster::wait_until ([&] {
    static int n;
    return complete_keyed (c, 1, "later" + std::to_string (n++)).status == 200;
  }));
}

// The owner of some keys is killed while the key-value service is down, so
// nobody may take over its shards. Its keys are refused as not run and don't
// run; the others are served. All are served once the service is back.
TEST (ClaimFailure, OwnerDiesInOutage)
{
  Cluster c (short_window_options (60000));
  c.start ();
  c.fault (c.kv, "{\"down\":true}");
  kill_and_unlist_entry0 (c);
  std::this_thread::sleep_for (std::chrono::milliseconds (2000));
  int served = 0;
  int refused = 0;
  std::vector<std::thread> threads;
  std::vector<Answer> answers (24);
  for (int i = 0; i < 24; i++)
    threads.emplace_back ([&, i] {
      answers[(size_t)i]
          = complete_keyed (c, 1, "outage" + std::to_string (i));
    });
  for (auto &t : threads)
    t.join ();
  for (int i = 0; i < 24; i++)
    {
      Answer &a = answers[(size_t)i];
      served += a.status == 200;
      refused += a.headers["x-knapweedbay-outcome"] == "not_run";
      EXPECT_EQ (c.runs_of ("outage" + std::to_string (i)),
                 a.status == 200 ? 1 : 0);
    }
  EXPECT_EQ (served + refused, 24);
  EXPECT_GT (served, 0);
  EXPECT_GT (refused, 0);
  c.fault (c.kv, "{\"down\":false}");
  ASSERT_TRUE (wait_owns_all_shards (c, 1));
  for (int i = 0; i < 24; i++)
    {
      std::string id = "outage" + std::to_string (i);
      EXPECT_EQ (complete_keyed (c, 1, id).status, 200);
      EXPECT_EQ (c.runs_of (id), 1);
    }
}

// A partitioned entry has a platform list and a store of its own, with an old
// configuration. Agents that know a newer revision refuse its dispatches after
// the time that a change may take to reach all entries, without running them.
TEST (ClaimFailure, EntryWithStaleConfigurationIsRefused)
{
  Cluster c (ClusterOptions{});
  c.start ();
  kb::Process other_kv = c.start_service ("kv", "kv2");
  kb::Process other_list = c.start_service ("list", "list2");
  std::swap (c.kv, other_kv);
  std::swap (c.list, other_list);
  // A copy without .knapweedbay-base, as nothing was removed from the other
  // store, which is empty.
  std::string copy = c.dir + "/copy";
  std::string command = "mkdir '" + copy + "' && cp '" + c.config_dir
                        + "'/*.json '" + copy + "'";
  ASSERT_EQ (system (command.c_str ()), 0);
  std::string output;
  ASSERT_EQ (c.cli ({ "apply", "--kv",
                      "127.0.0.1:" + std::to_string (c.kv.http_port), copy },
                    &output),
             0)
      << output;
  ASSERT_NE (output.find ("revision 1"), std::string::npos) << output;
  c.publish ({}, { "entry0", "entry1" });
  kb::EntryNode cut;
  cut.name = "entry9";
  cut.domain = "rundu-a";
  c.start_entry (cut);
  std::swap (c.kv, other_kv);
  std::swap (c.list, other_list);
  c.entries.push_back (cut);
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.complete (2, "a1@1", "early").status == 200; }));
  std::string file = c.config_dir + "/30-x.json";
  FILE *out = fopen (file.c_str (), "w");
  fputs ("{\"rules\":{\"r\":{\"workspace\":\"officer\",\"class\":1}}}", out);
  fclose (out);
  ASSERT_EQ (c.apply (), 0);
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.status_int (c.targets[0].agent, "revision") == 2; }));
  std::this_thread::sleep_for (std::chrono::milliseconds (3300));
  Answer late = c.complete (2, "a1@1", "late");
  EXPECT_EQ (late.status, 503) << late.body;
  EXPECT_NE (late.body.find ("stale"), std::string::npos) << late.body;
  EXPECT_EQ (c.runs_of ("late"), 0);
  EXPECT_EQ (c.complete (0, "a1@1", "right").status, 200);
  Cluster::kill_process (other_kv, SIGKILL);
  Cluster::kill_process (other_list, SIGKILL);
}

// Guards against shards that nobody takes over after the key-value service
// came back from an older copy: the revisions of the shard map went back.
TEST (ClaimFailure, ShardsAreTakenOverAfterARestore)
{
  ClusterOptions o = short_window_options (60000);
  o.entries = 3;
  Cluster c (o);
  c.start ();
  ASSERT_TRUE (Cluster::wait_until ([&] {
    int owned = 0;
    for (auto &entry : c.entries)
      owned += c.status_int (entry.process, "shards_owned");
    return owned == 64;
  }));
  c.fault (c.kv, "{\"save_copy\":true}");
  kill_and_unlist_entry0 (c);
  auto owned_by_others = [&] {
    return c.status_int (c.entries[1].process, "shards_owned")
           + c.status_int (c.entries[2].process, "shards_owned");
  };
  ASSERT_TRUE (Cluster::wait_until ([&] { return owned_by_others () == 64; }));
  c.fault (c.kv, "{\"restore_copy\":true}");
  std::this_thread::sleep_for (std::chrono::seconds (3));
  EXPECT_EQ (owned_by_others (), 64);
  Cluster::kill_process (c.entries[1].process, SIGKILL);
  c.publish ({}, { "entry0", "entry1" });
  EXPECT_TRUE (wait_owns_all_shards (c, 2));
}
