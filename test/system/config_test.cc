// Configuration: apply, concurrent operators, lost replies, outages and
// propagation to all daemons.
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <fstream>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

void
write_file (const std::string &path, const std::string &text)
{
  std::ofstream (path) << text;
}

std::string
kv_address (Cluster &c)
{
  return "127.0.0.1:" + std::to_string (c.kv.http_port);
}

std::string
copy_config (Cluster &c, const std::string &name)
{
  std::string dir = c.dir + "/" + name;
  std::string command = "cp -r '" + c.config_dir + "' '" + dir + "'";
  EXPECT_EQ (system (command.c_str ()), 0);
  return dir;
}

int
apply_dir (Cluster &c, const std::string &dir, std::string *output = nullptr)
{
  return c.cli ({ "apply", "--kv", kv_address (c), dir }, output);
}

int64_t
revision (Cluster &c, int entry)
{
  return c.status_int (c.entries[(size_t)entry].process, "revision");
}

std::string
adapter_json (const std::string &name)
{
  return "{\"adapters\":{\"" + name
         + "\":{\"service\":\"report\",\"versions\":{\"1\":\"ws://x\"}}}}";
}

} // namespace

// A change must be in force on every daemon within three seconds, and a
// request for the new adapter must then be served through any entry.
TEST (Config, ChangeIsInForceEverywhere)
{
  ClusterOptions o;
  o.entries = 4;
  Cluster c (o);
  c.start ();
  write_file (c.config_dir + "/30-new.json", adapter_json ("fresh"));
  ASSERT_EQ (c.apply (), 0);
  auto begin = std::chrono::steady_clock::now ();
  ASSERT_TRUE (Cluster::wait_until (
      [&] {
        for (int i = 0; i < 4; i++)
          if (revision (c, i) != 2)
            return false;
        return true;
      },
      3000));
  auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds> (
      std::chrono::steady_clock::now () - begin);
  printf ("in force on 4 entries after %lld ms\n",
          (long long)elapsed.count ());
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (c.complete (i, "fresh@1", "x").status, 200);
  for (auto &t : c.targets)
    EXPECT_TRUE (Cluster::wait_until (
        [&] { return c.status_int (t.agent, "revision") == 2; }, 3000));
}

// The connections of the entries' watches go silent without a close; new
// connections work. A change in the store must still come into force: an open
// watch doesn't prove that nothing changed.
TEST (Config, ChangeIsInForceWhenWatchesAreSilent)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.fault (c.kv, "{\"mute_watches\":true}");
  write_file (c.config_dir + "/30-new.json", adapter_json ("fresh"));
  ASSERT_EQ (c.apply (), 0);
  for (int i = 0; i < 2; i++)
    EXPECT_TRUE (
        Cluster::wait_until ([&] { return revision (c, i) == 2; }, 4000));
  EXPECT_EQ (c.complete (0, "fresh@1", "x").status, 200);
}

// Two operators change the same file from the same base. The second apply must
// be refused and name the file; the first change stays.
TEST (Config, SecondOfTwoRacingOperatorsIsRefused)
{
  Cluster c (ClusterOptions{});
  c.start ();
  std::string a = copy_config (c, "op-a");
  std::string b = copy_config (c, "op-b");
  write_file (a + "/30-x.json", adapter_json ("from-a"));
  write_file (b + "/30-x.json", adapter_json ("from-b"));
  EXPECT_EQ (apply_dir (c, a), 0);
  std::string output;
  EXPECT_EQ (apply_dir (c, b, &output), 1);
  EXPECT_NE (output.find ("30-x.json"), std::string::npos) << output;
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 0) == 2; }, 3000));
  EXPECT_EQ (c.complete (0, "from-a@1", "x").status, 200);
  EXPECT_EQ (c.complete (0, "from-b@1", "x").status, 404);
}

// Two operators change different files. Both changes must be in force, in
// either order, although neither folder has the other's change.
TEST (Config, ChangesOfDifferentFilesBothHold)
{
  Cluster c (ClusterOptions{});
  c.start ();
  std::string a = copy_config (c, "op-a");
  std::string b = copy_config (c, "op-b");
  write_file (a + "/30-a.json", adapter_json ("from-a"));
  write_file (b + "/31-b.json", adapter_json ("from-b"));
  EXPECT_EQ (apply_dir (c, b), 0);
  EXPECT_EQ (apply_dir (c, a), 0);
  // Applying the old folder again must not undo the other change.
  EXPECT_EQ (apply_dir (c, b), 0);
  ASSERT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 0) >= 3; }, 3000));
  EXPECT_EQ (c.complete (0, "from-a@1", "x").status, 200);
  EXPECT_EQ (c.complete (0, "from-b@1", "x").status, 200);
  std::string output;
  EXPECT_EQ (c.cli ({ "pull", "--kv", kv_address (c), b }, &output), 0);
  EXPECT_NE (output.find ("30-a.json: updated"), std::string::npos) << output;
}

// The store executes the compare-and-swap and its reply is lost. The tool must
// detect that its change is stored and not apply it twice.
TEST (Config, LostCompareAndSwapReplyIsDetected)
{
  Cluster c (ClusterOptions{});
  c.start ();
  // The write of the chunk and the compare-and-swap of the head.
  c.fault (c.kv, "{\"lose_cas\":2}");
  write_file (c.config_dir + "/30-x.json", adapter_json ("lost"));
  std::string output;
  EXPECT_EQ (c.apply (&output), 0) << output;
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 0) == 2; }, 3000));
  EXPECT_EQ (revision (c, 0), 2);
  EXPECT_EQ (c.apply (&output), 0);
  EXPECT_NE (output.find ("nothing to apply"), std::string::npos) << output;
}

// The store is down: requests are still served, and an entry that restarts
// without state gets the configuration from its peer.
TEST (Config, OutageAndColdEntry)
{
  Cluster c (ClusterOptions{});
  c.start ();
  c.fault (c.kv, "{\"down\":true}");
  EXPECT_EQ (c.complete (0, "a1@1", "x").status, 200);
  int http = c.entries[1].process.http_port;
  int inner = c.entries[1].process.inner_port;
  Cluster::kill_process (c.entries[1].process, SIGKILL);
  c.start_entry (c.entries[1], http, inner);
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 1) == 1; }, 10000));
  EXPECT_TRUE (Cluster::wait_until (
      [&] { return c.complete (1, "a2@1", "cold").status == 200; }, 10000));
}

// An entry is paused during a change. When it resumes it must apply the change
// and never return to the older revision.
TEST (Config, PausedEntryCatchesUp)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Cluster::kill_process (c.entries[1].process, SIGSTOP);
  write_file (c.config_dir + "/30-x.json", adapter_json ("while-paused"));
  ASSERT_EQ (c.apply (), 0);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  Cluster::kill_process (c.entries[1].process, SIGCONT);
  EXPECT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 1) == 2; }, 3000));
  EXPECT_EQ (c.complete (1, "while-paused@1", "x").status, 200);
}

// A version is deleted while a request uses it: the request must finish.
TEST (Config, DeletedVersionFinishesItsRequests)
{
  Cluster c (ClusterOptions{});
  c.start ();
  Answer answer;
  std::thread t (
      [&] { answer = c.complete (0, "a1@2", "old", {}, 500, true); });
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
  write_file (c.config_dir + "/30-x.json",
              "{\"adapters\":{\"a1\":{\"service\":\"report\",\"versions\":"
              "{\"1\":\"ws://a1/1\"}}}}");
  ASSERT_EQ (c.apply (), 0);
  ASSERT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 0) == 2; }, 3000));
  EXPECT_EQ (c.complete (0, "a1@2", "new").status, 404);
  t.join ();
  EXPECT_EQ (Cluster::text_of_stream (answer),
             Cluster::expected_text ("a1@2", "old", 500));
}

// 13,000 adapters don't fit into one value of the store. When one adapter is
// then changed, only a small part may be transferred.
TEST (Config, ThirteenThousandAdapters)
{
  ClusterOptions o;
  o.adapters = 13000;
  Cluster c (o);
  c.start ();
  EXPECT_EQ (c.complete (0, "a12999@2", "x").status, 200);
  std::string name = "knapweedbay_config_bytes_total";
  int64_t before = c.metric (c.entries[0].process, name);
  write_file (c.config_dir + "/30-x.json", adapter_json ("one-more"));
  ASSERT_EQ (c.apply (), 0);
  ASSERT_TRUE (
      Cluster::wait_until ([&] { return revision (c, 0) == 2; }, 3000));
  int64_t changed_bytes = c.metric (c.entries[0].process, name) - before;
  printf ("full copy %lld bytes, one change %lld bytes, resident %lld\n",
          (long long)before, (long long)changed_bytes,
          (long long)c.metric (c.entries[0].process,
                               "knapweedbay_resident_bytes"));
  EXPECT_LT (changed_bytes, before / 20);
  json_object *stats = c.stats (c.kv);
  json_object *too_large = nullptr;
  json_object_object_get_ex (stats, "too_large", &too_large);
  EXPECT_EQ (json_object_get_int (too_large), 0);
  json_object_put (stats);
}

// The store lost its content. Compared to the folder's base, this looks as if
// another operator had removed every file; apply must not treat it so.
TEST (Config, EmptyStoreIsNotTreatedAsRemovals)
{
  Cluster c (ClusterOptions{});
  c.start ();
  kb::Process empty = c.start_service ("kv", "kv2");
  std::string output;
  EXPECT_EQ (
      c.cli ({ "apply", "--kv",
               "127.0.0.1:" + std::to_string (empty.http_port), c.config_dir },
             &output),
      1);
  EXPECT_NE (output.find ("older than this folder's base"), std::string::npos)
      << output;
  json_object *stats = c.stats (empty);
  json_object *writes = nullptr;
  json_object_object_get_ex (stats, "writes", &writes);
  EXPECT_EQ (json_object_get_int (writes), 0);
  json_object_put (stats);
  Cluster::kill_process (empty, SIGKILL);
}

TEST (Config, SamplesOfBothSitesAreValid)
{
  Cluster c (ClusterOptions{});
  for (const char *site : { "kavango", "skjamynd" })
    {
      std::string dir = std::string (KB_SOURCE_DIR) + "/etc/" + site;
      std::string output;
      EXPECT_EQ (c.cli ({ "check", dir + "/config" }, &output), 0) << output;
      for (const char *role : { "entry", "agent" })
        EXPECT_EQ (c.check_settings (dir + "/" + role + ".json", &output), 0)
            << output;
    }
}

TEST (Config, ToolReportsBadInput)
{
  Cluster c (ClusterOptions{});
  c.write_config ();
  std::string output;
  EXPECT_EQ (c.cli ({ "check", c.config_dir }, &output), 0) << output;
  write_file (c.config_dir + "/40-over.json",
              "{\"adapters\":{\"a1\":{\"service\":\"report\","
              "\"versions\":{\"3\":\"ws://y\"}}}}");
  EXPECT_EQ (c.cli ({ "check", c.config_dir }, &output), 0);
  EXPECT_NE (
      output.find ("adapters.a1: 40-over.json overrides 20-adapters.json"),
      std::string::npos)
      << output;
  write_file (c.config_dir + "/50-bad.json",
              "{\"rules\":{\"r\":{\"workspace\":\"nobody\",\"class\":1}}}");
  EXPECT_EQ (c.cli ({ "check", c.config_dir }, &output), 2);
  EXPECT_NE (
      output.find ("50-bad.json: rules.r: unknown workspace \"nobody\""),
      std::string::npos)
      << output;
  write_file (c.config_dir + "/50-bad.json", "{\n\"rules\": {,}\n}");
  EXPECT_EQ (c.cli ({ "check", c.config_dir }, &output), 2);
  EXPECT_NE (output.find ("50-bad.json:2"), std::string::npos) << output;
  EXPECT_EQ (c.cli ({ "apply", "--kv", "127.0.0.1:1", c.config_dir }), 2);
  EXPECT_EQ (c.cli ({ "frobnicate" }, &output), 2);
}
