// Odd entries among the true ones of the platform's list of VMs.
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <thread>

#include "cluster.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// What the list says is in force this much later.
constexpr int kListBoundMs = 2000;
constexpr int kGoneAfterMs = 1000;

ClusterOptions
two_engines ()
{
  ClusterOptions options;
  options.engines = 2;
  options.extra_entry = "\"vm_gone_after_ms\":" + std::to_string (kGoneAfterMs)
                        + ",\"silence_ms\":800,";
  return options;
}

std::string
repeat (const std::string &text, int count)
{
  std::string out;
  for (int i = 0; i < count; i++)
    out += text;
  return out;
}

std::string
nested (int depth)
{
  return "{\"name\":\"odd\",\"address\":\"127.0.0.1\",\"port\":9,\"x\":"
         + repeat ("[", depth) + repeat ("]", depth) + "}";
}

int
log_count (const kb::Process &process, const std::string &text)
{
  std::ifstream file (process.log_path);
  std::string line;
  int count = 0;
  while (std::getline (file, line))
    count += line.find (text) != std::string::npos;
  return count;
}

bool
log_has (const kb::Process &process, const std::string &text)
{
  return log_count (process, text) > 0;
}

void
sleep_for_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/// Send requests for several adapters to all entries.
/// @return  How many were not served.
int
send_requests (Cluster &c)
{
  int failed = 0;
  for (int i = 0; i < 24; i++)
    failed += c.complete (i % (int)c.entries.size (),
                          "a" + std::to_string (i) + "@1",
                          "odd" + std::to_string (i))
                  .status
              != 200;
  return failed;
}

/// Start one more target like the first one.
kb::Target
start_new_engine (Cluster &c)
{
  kb::Target added = c.targets[0];
  added.name = "new-engine";
  c.start_fake (added);
  c.start_agent (added);
  return added;
}

struct OddForm
{
  const char *name;
  std::string entry;
};

void
PrintTo (const OddForm &form, std::ostream *out)
{
  *out << form.name;
}

class OddEntry : public testing::TestWithParam<OddForm>
{
};

} // namespace

// Guards against a list that is no longer followed because one entry is odd.
TEST_P (OddEntry, ListIsFollowedOn)
{
  Cluster c (two_engines ());
  c.start ();
  std::string leaving = c.targets[0].name;
  std::string gone = c.targets[1].name;
  c.odd_entries = { GetParam ().entry };
  c.publish ({ leaving });
  sleep_for_ms (kListBoundMs);
  int before = c.runs_at (c.targets[0]);
  EXPECT_EQ (send_requests (c), 0);
  EXPECT_EQ (c.runs_at (c.targets[0]) - before, 0);

  c.targets.push_back (start_new_engine (c));
  c.publish ({ leaving });
  sleep_for_ms (kListBoundMs);
  Cluster::kill_process (c.targets[1].agent, SIGKILL);
  c.publish ({ leaving }, { gone });
  EXPECT_EQ (send_requests (c), 0);
  EXPECT_GT (c.runs_at (c.targets.back ()), 0);
  for (kb::EntryNode &entry : c.entries)
    {
      EXPECT_TRUE (Cluster::wait_until (
          [&] { return log_has (entry.process, gone + " is gone."); },
          kGoneAfterMs + kListBoundMs));
      EXPECT_EQ (Cluster::wait_exit (entry.process, 0), -1);
    }
}

// Guards against a VM taken for gone because its own entry cannot be read.
TEST (OddEntries, VmWhoseEntryCannotBeReadIsNotGone)
{
  Cluster c (two_engines ());
  c.start ();
  kb::Target &target = c.targets[1];
  c.odd_entries = { "{\"name\":\"" + target.name + "\",\"port\":70000}" };
  c.publish ({}, { target.name });
  sleep_for_ms (kListBoundMs);
  Cluster::kill_process (target.agent, SIGKILL);
  sleep_for_ms (kGoneAfterMs + kListBoundMs);
  for (kb::EntryNode &entry : c.entries)
    EXPECT_FALSE (log_has (entry.process, target.name + " is gone."));
  c.start_agent (target, target.agent.inner_port);
  int before = c.runs_at (target);
  EXPECT_TRUE (Cluster::wait_until (
      [&] {
        send_requests (c);
        return c.runs_at (target) > before;
      },
      kListBoundMs + 5000));
}

// Guards against VMs taken for gone because the document has no list.
TEST (OddEntries, DocumentWithoutAListMakesNoVmGone)
{
  Cluster c (two_engines ());
  c.start ();
  std::string name = c.targets[1].name;
  for (const char *document : { "{}", "{\"vms\":{}}", "{\"vms\":null}" })
    {
      kb::http_call ("POST", c.list.http_port, "/v1/vms", document);
      sleep_for_ms (kListBoundMs);
      if (c.targets[1].agent.pid != 0)
        Cluster::kill_process (c.targets[1].agent, SIGKILL);
      sleep_for_ms (kGoneAfterMs + kListBoundMs);
      for (kb::EntryNode &entry : c.entries)
        EXPECT_FALSE (log_has (entry.process, name + " is gone.")) << document;
    }
  c.publish ({}, { name });
  for (kb::EntryNode &entry : c.entries)
    EXPECT_TRUE (Cluster::wait_until (
        [&] { return log_has (entry.process, name + " is gone."); },
        kGoneAfterMs + kListBoundMs));
}

// Guards against a line in the log and an end of the process at each read.
TEST (OddEntries, EachIsLoggedOnceWithItsReason)
{
  Cluster c (two_engines ());
  c.start ();
  c.odd_entries = { nested (100000), "{\"name\":\"a\",\"port\":65536}",
                    "{\"name\":\"b\",\"port\":1,\"address\":\"host\"}", "7" };
  c.publish ();
  sleep_for_ms (kListBoundMs);
  EXPECT_EQ (send_requests (c), 0);
  for (kb::EntryNode &entry : c.entries)
    {
      EXPECT_EQ (log_count (entry.process, "entry_ignored"), 4);
      EXPECT_EQ (c.metric (entry.process, "knapweedbay_list_entries_ignored"),
                 4);
      EXPECT_EQ (Cluster::wait_exit (entry.process, 0), -1);
    }
  c.odd_entries.clear ();
  c.publish ();
  sleep_for_ms (kListBoundMs);
  EXPECT_EQ (
      c.metric (c.entries[0].process, "knapweedbay_list_entries_ignored"), 0);
}

INSTANTIATE_TEST_SUITE_P (
    Forms, OddEntry,
    testing::Values (OddForm{ "NoMembers", "{}" },
                     OddForm{ "NestedDeep", nested (40) },
                     OddForm{ "NestedVeryDeep", nested (100000) },
                     OddForm{ "KeyTwice", "{\"name\":\"odd\",\"port\":1,"
                                          "\"port\":2}" }),
    [] (const testing::TestParamInfo<OddForm> &info) {
      return std::string (info.param.name);
    });
