// Odd values that another writer left under the keys of the daemons.
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <signal.h>

#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

constexpr int kGoneAfterMs = 1000;
/// Time in which shards of an ended entry are owned again.
constexpr int kTakeoverMs = 30000;

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
encode (const std::string &text)
{
  std::string out (4 * ((text.size () + 2) / 3) + 1, '\0');
  int len = EVP_EncodeBlock ((unsigned char *)&out[0],
                             (const unsigned char *)text.data (),
                             (int)text.size ());
  out.resize ((size_t)len);
  return out;
}

std::string
decode (const std::string &text)
{
  std::string out (text.size (), '\0');
  int len = EVP_DecodeBlock ((unsigned char *)&out[0],
                             (const unsigned char *)text.data (),
                             (int)text.size ());
  out.resize (len < 0 ? 0 : (size_t)len);
  return out.substr (0, out.find ('\0'));
}

void
put (Cluster &c, const std::string &key, const std::string &value)
{
  Answer answer
      = kb::http_call ("POST", c.kv.http_port, "/v3/kv/put",
                       "{\"key\":\"" + encode (key) + "\",\"value\":\""
                           + encode (value) + "\"}");
  ASSERT_EQ (answer.status, 200);
}

/// @return  The value under a key; empty if there is none.
std::string
get (Cluster &c, const std::string &key)
{
  Answer answer = kb::http_call ("POST", c.kv.http_port, "/v3/kv/range",
                                 "{\"key\":\"" + encode (key) + "\"}");
  const std::string member = "\"value\":\"";
  size_t at = answer.body.find (member);
  if (at == std::string::npos)
    return "";
  at += member.size ();
  return decode (answer.body.substr (at, answer.body.find ('"', at) - at));
}

/// @return  A number of a stored document; -1: it has none.
int64_t
number_of (const std::string &document, const std::string &name)
{
  json_object *doc = json_tokener_parse (document.c_str ());
  json_object *value = nullptr;
  int64_t number = -1;
  if (doc != nullptr && json_object_is_type (doc, json_type_object)
      && json_object_object_get_ex (doc, name.c_str (), &value))
    number = json_object_get_int64 (value);
  json_object_put (doc);
  return number;
}

std::string
roster_key (const kb::Target &target)
{
  return "kb/roster/" + target.name;
}

bool
is_registered (Cluster &c, const kb::Target &target)
{
  return Cluster::wait_until (
      [&] { return c.status_int (target.agent, "registered") == 1; });
}

Answer
complete_keyed (Cluster &c, int entry, const std::string &key)
{
  return c.complete (entry, "a1@1", "keyed " + key,
                     { "Idempotency-Key: " + key });
}

struct OddForm
{
  const char *name;
  std::string value;
};

void
PrintTo (const OddForm &form, std::ostream *out)
{
  *out << form.name;
}

std::string
nested (int depth)
{
  return std::string ((size_t)depth, '[') + std::string ((size_t)depth, ']');
}

std::string
record_with (const std::string &fence)
{
  return "{\"fence\":" + fence
         + ",\"incarnation\":\"0123456789abcdef\",\"state\":\"live\","
           "\"memory_since\":0}";
}

class OddFence : public testing::TestWithParam<OddForm>
{
};

class OddShardMap : public testing::TestWithParam<OddForm>
{
};

std::string
name_of (const testing::TestParamInfo<OddForm> &info)
{
  return info.param.name;
}

} // namespace

// Guards against a record that cannot be read and is taken for none.
TEST_P (OddFence, RestartedAgentKnowsThatOneRanBefore)
{
  Cluster c (two_engines ());
  c.start ();
  kb::Target &target = c.targets[0];
  int64_t first = c.status_int (target.agent, "fence");
  for (int i = 0; i < 2; i++)
    {
      Cluster::kill_process (target.agent, SIGKILL);
      put (c, roster_key (target), GetParam ().value);
      c.start_agent (target, target.agent.inner_port);
      ASSERT_TRUE (is_registered (c, target));
      std::string record = get (c, roster_key (target));
      int64_t fence = c.status_int (target.agent, "fence");
      EXPECT_GT (fence, first);
      EXPECT_LT (fence, (int64_t)1 << 53);
      EXPECT_EQ (number_of (record, "fence"), fence) << record;
      EXPECT_GT (number_of (record, "memory_since"), 0) << record;
      first = fence;
    }
}

// Guards against an agent that keeps a target because it cannot read who owns
// it.
TEST_P (OddFence, StalledAgentRegistersAgain)
{
  Cluster c (two_engines ());
  c.start ();
  kb::Target &target = c.targets[0];
  int64_t first = c.status_int (target.agent, "fence");
  Cluster::kill_process (target.agent, SIGSTOP);
  put (c, roster_key (target), GetParam ().value);
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  Cluster::kill_process (target.agent, SIGCONT);
  EXPECT_TRUE (Cluster::wait_until ([&] {
    int64_t fence = c.status_int (target.agent, "fence");
    return fence > first && fence < ((int64_t)1 << 53)
           && number_of (get (c, roster_key (target)), "fence") == fence
           && c.status_int (target.agent, "registered") == 1;
  }));
  EXPECT_EQ (Cluster::wait_exit (target.agent, 0), -1);
  EXPECT_EQ (c.stat_sum ("stale_orders"), 0);
  EXPECT_TRUE (Cluster::wait_until (
      [&] { return complete_keyed (c, 0, "after").status == 200; }));
}

INSTANTIATE_TEST_SUITE_P (
    Forms, OddFence,
    testing::Values (OddForm{ "NestedDeep", nested (40) },
                     OddForm{ "NestedVeryDeep", nested (100000) },
                     OddForm{ "NumberTooLarge",
                              record_with ("9223372036854775807") },
                     OddForm{ "NumberBelowZero", record_with ("-1") },
                     OddForm{ "KeyTwice", record_with ("7,\"fence\":8") }),
    name_of);

// Guards against shards of an ended entry that nobody owns any more.
TEST_P (OddShardMap, ShardsOfAnEndedEntryAreTakenOver)
{
  Cluster c (two_engines ());
  c.start ();
  ASSERT_EQ (complete_keyed (c, 0, "before").status, 200);
  put (c, "kb/w/claims", GetParam ().value);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  Cluster::kill_process (c.entries[0].process, SIGKILL);
  c.publish ({}, { c.entries[0].name });
  EXPECT_TRUE (Cluster::wait_until (
      [&] {
        return c.status_int (c.entries[1].process, "shards_owned") == 64;
      },
      kTakeoverMs));
  EXPECT_EQ (complete_keyed (c, 1, "before").status, 200);
  EXPECT_EQ (c.runs_of ("keyed before"), 1);
}

// Guards against a map that all entries refuse for ever, and epochs from zero.
TEST_P (OddShardMap, RestartedEntriesServeKeys)
{
  Cluster c (two_engines ());
  c.start ();
  ASSERT_EQ (complete_keyed (c, 0, "before").status, 200);
  for (kb::EntryNode &entry : c.entries)
    Cluster::kill_process (entry.process, SIGKILL);
  put (c, "kb/w/claims", GetParam ().value);
  for (kb::EntryNode &entry : c.entries)
    c.start_entry (entry);
  c.publish ();
  EXPECT_TRUE (Cluster::wait_until (
      [&] { return complete_keyed (c, 1, "before").status == 200; },
      kTakeoverMs));
  EXPECT_EQ (c.runs_of ("keyed before"), 1);
  EXPECT_EQ (complete_keyed (c, 0, "after").status, 200);
}

INSTANTIATE_TEST_SUITE_P (
    Forms, OddShardMap,
    testing::Values (OddForm{ "NestedDeep", nested (40) },
                     OddForm{ "NumberTooLarge", "{\"shards\":["
                                                    + std::string (400, '9')
                                                    + "]}" }),
    name_of);

// Guards against a key that is too long and is taken for the record of an
// agent.
TEST (OddRecords, KeyThatIsNoAgentsDelaysNoTakeover)
{
  Cluster c (two_engines ());
  c.start ();
  put (c, "kb/roster/" + std::string (200, 'n'), "{}");
  put (c, "kb/roster/", "7");
  put (c, "kb/roster/a b", nested (40));
  Cluster::kill_process (c.entries[0].process, SIGKILL);
  c.publish ({}, { c.entries[0].name });
  ASSERT_TRUE (Cluster::wait_until (
      [&] {
        return c.status_int (c.entries[1].process, "shards_owned") == 64;
      },
      kTakeoverMs));
  for (int i = 0; i < 16; i++)
    EXPECT_EQ (complete_keyed (c, 1, "new" + std::to_string (i)).status, 200);
}

// Guards against a configuration dropped for a head that cannot be read.
TEST (OddRecords, ConfigurationStaysInForceUnderAnOddHead)
{
  Cluster c (two_engines ());
  c.start ();
  for (const std::string &value :
       { nested (100000), std::string ("{\"revision\":1e400}"),
         std::string ("") })
    {
      put (c, "kb/w/head", value);
      std::this_thread::sleep_for (std::chrono::milliseconds (2500));
      Cluster::kill_process (c.entries[1].process, SIGKILL);
      c.start_entry (c.entries[1]);
      c.publish ();
      for (int entry : { 0, 1 })
        EXPECT_TRUE (Cluster::wait_until ([&] {
          return c.complete (entry, "a1@1", "head").status == 200;
        })) << entry;
    }
}
