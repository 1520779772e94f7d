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

std::string
nested (int depth)
{
  return std::string ((size_t)depth, '[') + std::string ((size_t)depth, ']');
}

/// Forms of an item of which the JSON itself is odd.
std::vector<std::string>
odd_items ()
{
  const std::string head = "{\"Key\":\"servers/odd\",\"Revision\":5,";
  return {
    head + "\"Value\":" + nested (40) + "}",
    head + "\"Value\":" + nested (300000) + "}",
    head + "\"Value\":\"\",\"Value\":\"e30=\"}",
    head + "\"Value\":\"\",\"Lease\":" + std::string (100000, '9') + "}",
    head + "\"Value\":\"\",\"Lease\":1e400}",
    head + "\"Value\":7}",
    "{\"Revision\":5,\"Value\":\"e30=\"}",
    "{\"Key\":7,\"Revision\":5,\"Value\":\"e30=\"}",
    "{\"Key\":\"\",\"Revision\":5,\"Value\":\"e30=\"}",
    "{\"Key\":\"servers/" + std::string (400, 'k')
        + "\",\"Revision\":5,\"Value\":\"e30=\"}",
    "{\"Key\":\"servers/\xff\xfe\",\"Revision\":5,\"Value\":\"e30=\"}",
    "{\"Key\":\"servers/odd\",\"Revision\":-1,\"Value\":\"e30=\"}",
    "{\"Key\":\"servers/odd\",\"Revision\":" + std::string (400, '9')
        + ",\"Value\":\"e30=\"}",
    "null",
    "\"text\"",
    "[]",
  };
}

/// Requests that reach a plain target of twelve that are answered.
int
runs_of_twelve (Site &site, size_t target, const std::string &name)
{
  int before = site.plain[target]->runs ();
  for (size_t i = 0; i < 12; i++)
    EXPECT_EQ (send_call (site.gateways[i % site.gateways.size ()],
                          plain_call (name + "-" + std::to_string (i)))
                   .status,
               200);
  return site.plain[target]->runs () - before;
}

/// The plain target that idle gateways choose is removed: it gets no requests
/// once that must have taken effect.
void
expect_removal_in_time (Site &site, const std::string &name)
{
  ASSERT_TRUE (Site::wait_for (
      [&] { return runs_of_twelve (site, 0, name + "-before") > 0; }));
  site.remove ("servers/" + site.plain[0]->id ());
  std::this_thread::sleep_for (milliseconds (kDrainMs));
  EXPECT_EQ (runs_of_twelve (site, 0, name), 0);
  site.list_plain (0);
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
  int number = 0;
  for (const std::string &item : odd_items ())
    {
      SCOPED_TRACE (item.substr (0, 60));
      std::string name = "w" + std::to_string (number++);
      site.put_raw ("servers/odd", item);
      expect_removal_in_time (site, name);
      site.remove ("servers/odd");
    }
  EXPECT_TRUE (site.are_daemons_running ());
}

// Guards against one item that cannot be read in a page and keeps daemons that
// start from reading the list.
TEST (OddItems, DaemonsStartWithOddItemsInThePages)
{
  Site site (1, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  int number = 0;
  for (const std::string &item : odd_items ())
    site.put_raw ("servers/h" + std::to_string (number++), item);
  restart_all (site);
  ASSERT_TRUE (site.wait_ready ());
  expect_removal_in_time (site, "s");
  EXPECT_TRUE (site.are_daemons_running ());
}

} // namespace
} // namespace relay
