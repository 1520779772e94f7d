// Items of the store that cannot be read, among those of the targets.
#include <gtest/gtest.h>

#include <signal.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// No request reaches a target later than this after its removal was
/// acknowledged.
constexpr int kDrainMs = 2000;
/// Targets that are missing after an outage are kept for this long.
constexpr int kRetainMs = 3000;

std::string
nested (int depth)
{
  return std::string ((size_t)depth, '[') + std::string ((size_t)depth, ']');
}

/// An item as the store holds it.
struct OddItem
{
  std::string key; ///< At which the store holds it.
  std::string json;
};

/// Items of which the JSON itself is odd, before those of the targets.
std::vector<OddItem>
odd_items ()
{
  const std::string members[] = {
    "\"Revision\":5,\"Value\":" + nested (40),
    "\"Revision\":5,\"Value\":" + nested (300000),
    "\"Revision\":5,\"Value\":\"\",\"Value\":\"e30=\"",
    "\"Revision\":5,\"Value\":\"\",\"Lease\":" + std::string (100000, '9'),
    "\"Revision\":5,\"Value\":\"\",\"Lease\":1e400",
    "\"Revision\":5,\"Value\":7",
    "\"Revision\":-1,\"Value\":\"e30=\"",
    "\"Revision\":" + std::string (400, '9') + ",\"Value\":\"e30=\"",
    "\"Key\":\"servers/twice\",\"Revision\":5,\"Value\":\"e30=\"",
  };
  std::vector<OddItem> items;
  for (const std::string &text : members)
    {
      std::string key = "servers/a" + std::to_string (items.size ());
      items.push_back ({ key, "{\"Key\":\"" + key + "\"," + text + "}" });
    }
  for (const std::string &key :
       { std::string ("servers/a") + std::string (400, 'k'),
         std::string ("servers/a\xff\xfe") })
    items.push_back (
        { key, "{\"Key\":\"" + key + "\",\"Revision\":5,\"Value\":\"\"}" });
  for (const char *json : { "{\"Revision\":5,\"Value\":\"e30=\"}",
                            "{\"Key\":7,\"Revision\":5,\"Value\":\"e30=\"}",
                            "{\"Key\":\"\",\"Revision\":5,\"Value\":\"e30=\"}",
                            "null", "\"text\"", "[]" })
    items.push_back ({ "servers/b" + std::to_string (items.size ()), json });
  return items;
}

/// Send twelve requests, which must be answered.
/// @return  How many reached a plain target.
std::vector<int>
runs_of_twelve (Site &site, const std::string &name)
{
  std::vector<int> runs;
  for (const auto &target : site.plain)
    runs.push_back (-target->runs ());
  for (size_t i = 0; i < 12; i++)
    EXPECT_EQ (send_call (site.gateways[i % site.gateways.size ()],
                          plain_call (name + "-" + std::to_string (i)))
                   .status,
               200);
  for (size_t i = 0; i < runs.size (); i++)
    runs[i] += site.plain[i]->runs ();
  return runs;
}

/// The plain target that idle gateways choose is removed: it gets no requests
/// once that must have taken effect.
void
expect_removal_in_time (Site &site, const std::string &name)
{
  std::vector<int> before = runs_of_twelve (site, name + "-before");
  size_t target = before[0] >= before[1] ? 0 : 1;
  ASSERT_GT (before[target], 0);
  site.remove ("servers/" + site.plain[target]->id ());
  std::this_thread::sleep_for (milliseconds (kDrainMs));
  EXPECT_EQ (runs_of_twelve (site, name)[target], 0);
  site.list_plain (target);
  std::this_thread::sleep_for (milliseconds (kDrainMs));
}

/// Kill all daemons and start them again.
void
restart_all (Site &site)
{
  for (Engine &engine : site.engines)
    site.stop (&engine.sidecar, SIGKILL);
  for (Gateway &gateway : site.gateways)
    site.restart (&gateway.daemon, SIGKILL);
  for (Engine &engine : site.engines)
    site.start (&engine.sidecar);
}

// Guards against one item that cannot be read in a watch's answer and hides
// the removals that follow it.
TEST (OddItems, RemovalsAreSeenAfterAnOddItemInAWatch)
{
  Site site (1, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (const OddItem &item : odd_items ())
    {
      SCOPED_TRACE (item.json.substr (0, 60));
      site.put_raw (item.key, item.json);
      expect_removal_in_time (site, item.key.substr (8, 4));
      site.remove (item.key);
    }
  EXPECT_TRUE (site.are_daemons_running ());
}

// Guards against one item that cannot be read in a page and keeps daemons that
// start from reading the list.
TEST (OddItems, DaemonsStartWithOddItemsInThePages)
{
  Site site (1, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (const OddItem &item : odd_items ())
    site.put_raw (item.key, item.json);
  // A page of which no key can be read has none after which to go on.
  site.store.page_items = site.mirror_store.page_items = 8;
  restart_all (site);
  ASSERT_TRUE (site.wait_ready ());
  expect_removal_in_time (site, "s");
  EXPECT_TRUE (site.are_daemons_running ());
}

/// @return  How many of this many requests are answered with success.
int
served (Site &site, const std::string &name, int count)
{
  int sum = 0;
  for (int i = 0; i < count; i++)
    sum += send_call (site.gateways[0],
                      plain_call (name + "-" + std::to_string (i)))
               .status
           == 200;
  return sum;
}

// Guards against a list that is read for ever because each page is the same.
TEST (OddItems, PagesThatRepeatAreNotReadForEver)
{
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::REPEATED_PAGES);
  site.store.compact ();
  std::this_thread::sleep_for (milliseconds (500));
  int before = site.store.calls;
  std::this_thread::sleep_for (milliseconds (2000));
  EXPECT_LE (site.store.calls - before, 100);
  EXPECT_EQ (served (site, "w", 4), 4);
  site.store.set_mode (Store::HEALTHY);
  std::this_thread::sleep_for (milliseconds (kRetainMs + 1000));
  site.remove ("servers/" + site.plain[0]->id ());
  site.remove ("servers/" + site.plain[1]->id ());
  std::this_thread::sleep_for (milliseconds (kDrainMs));
  EXPECT_EQ (served (site, "n", 2), 0);
}

// Guards against targets that vanish because an answer has no list.
TEST (OddItems, AnAnswerWithoutAListRemovesNoTarget)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::NO_LIST);
  site.store.compact ();
  std::this_thread::sleep_for (milliseconds (kRetainMs + kDrainMs));
  EXPECT_EQ (served (site, "e", 6), 6);
  site.store.set_mode (Store::HEALTHY);
}

// Guards against configurations that are ignored for good after an item whose
// revision is out of range.
TEST (OddItems, AConfigurationAfterAnOddRevisionIsApplied)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  int version = 2;
  for (const std::string &revision :
       { std::string ("-1"), std::string (400, '9'), std::string ("1e400"),
         std::string ("\"7\""), std::string ("9223372036854775806") })
    {
      SCOPED_TRACE (revision.substr (0, 30));
      site.put_raw ("op/config", "{\"Key\":\"op/config\",\"Revision\":"
                                     + revision + ",\"Value\":\"\"}");
      std::this_thread::sleep_for (milliseconds (1200));
      std::string name = "new" + std::to_string (version);
      site.write_config (
          version++, ",{\"Name\":\"" + name
                         + "\",\"Host\":\"a.example\",\"Prefix\":\"/" + name
                         + "/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,"
                           "\"Service\":\"maps\"}");
      EXPECT_TRUE (Site::wait_for (
          [&] {
            return send_call (site.gateways[0],
                              plain_call (name, "/" + name + "/x"))
                       .status
                   == 200;
          },
          3000));
    }
}

/// Values that no target writes.
std::vector<std::string>
odd_values ()
{
  const std::string entry
      = "{\"Service\":\"maps\",\"Zone\":\"d1\",\"Version\":"
        "\"v1\",\"State\":\"ready\",\"Seq\":1,";
  return {
    "",
    "null",
    nested (40),
    nested (300000),
    entry + "\"Address\":\"127.0.0.1:65536\",\"Slots\":6}",
    entry + "\"Address\":\"127.0.0.1:4294967305\",\"Slots\":6}",
    entry + "\"Address\":\"127.0.0.1:80\",\"Slots\":" + std::string (400, '9')
        + "}",
    entry + "\"Address\":\"127.0.0.1:80\",\"Slots\":1e400}",
    std::string ("\xff\xfe\0", 3),
  };
}

// Guards against a live target that vanishes because another writer's value
// stands in place of its entry.
TEST (OddItems, ALiveTargetStaysInUseWhileItsEntryCannotBeRead)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  const std::string key = "servers/" + site.plain[0]->id ();
  int number = 0;
  for (const std::string &value : odd_values ())
    {
      SCOPED_TRACE (value.substr (0, 120));
      site.put (key, value);
      std::this_thread::sleep_for (milliseconds (1200));
      EXPECT_EQ (served (site, "v" + std::to_string (number++), 6), 6);
      site.list_plain (0);
      ASSERT_TRUE (
          Site::wait_for ([&] { return served (site, "t", 1) == 1; }));
    }
}

// Guards against the removal of a target that is missed because the entry
// before it could not be read.
TEST (OddItems, ATargetWhoseUnreadableEntryIsRemovedGetsNothing)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  const std::string key = "servers/" + site.plain[0]->id ();
  site.put (key, nested (40));
  std::this_thread::sleep_for (milliseconds (1200));
  site.remove (key);
  std::this_thread::sleep_for (milliseconds (kDrainMs));
  EXPECT_EQ (served (site, "r", 4), 0);
}

// Guards against requests to a target whose entry says that it leaves, in a
// document that is odd elsewhere.
TEST (OddItems, ATargetWhoseUnreadableEntrySaysThatItLeavesGetsNothing)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.put ("servers/" + site.plain[0]->id (),
            "{\"State\":\"draining\",\"Slots\":" + nested (40) + "}");
  std::this_thread::sleep_for (milliseconds (kDrainMs));
  EXPECT_EQ (served (site, "l", 4), 0);
}

// Guards against an engine that vanishes, or a target that stays for ever,
// because the entry cannot be read for long.
TEST (OddItems, AnUnreadableEntryHoldsForLongOnlyWhereASidecarReports)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.put ("servers/" + site.engines[0].target->id (), "null");
  site.put ("servers/" + site.plain[0]->id (), "null");
  std::this_thread::sleep_for (milliseconds (13000));
  EXPECT_EQ (served (site, "p", 4), 0);
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (send_call (site.gateways[0],
                          stream_call ("e" + std::to_string (i), ""))
                   .status,
               200);
  site.list_plain (0);
  EXPECT_TRUE (Site::wait_for ([&] { return served (site, "t", 1) == 1; }));
}

// Guards against daemons that end, or serve nothing, because of odd values in
// the records that they keep in the store.
TEST (OddItems, OddRecordsOfOursDoNoHarm)
{
  Site site (1, 1, 2);
  ASSERT_TRUE (site.wait_ready ());
  int number = 0;
  std::vector<std::string> values = odd_values ();
  for (size_t bytes : { 47, 48, 72, 100, 5000 })
    for (char byte : { '\0', '\1', '\xff' })
      values.push_back (std::string (bytes, byte));
  for (const std::string &value : values)
    for (const char *prefix :
         { "knapweedbay/ends/", "knapweedbay/software/", "knapweedbay/",
           "knapweedbay/software/0000000000000001-000000000000000" })
      site.put (prefix + std::to_string (number++ % 10), value);
  std::this_thread::sleep_for (milliseconds (1500));
  EXPECT_EQ (served (site, "b", 6), 6);
  EXPECT_TRUE (site.are_daemons_running ());
  restart_all (site);
  ASSERT_TRUE (site.wait_ready ());
  EXPECT_EQ (served (site, "a", 6), 6);
  EXPECT_TRUE (site.are_daemons_running ());
}

} // namespace
} // namespace relay
