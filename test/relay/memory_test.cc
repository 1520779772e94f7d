// Peak memory of gateways and sidecars when the configuration grows by many
// routes, and when all of them start with such a configuration.
#include <gtest/gtest.h>

#include <signal.h>

#include <fstream>

#include "site.h"

namespace relay
{
namespace
{

constexpr int kRoutes = 2000;
/// Documented peak for a configuration with 2,000 more routes.
constexpr long kMaxPeakKb = 8 << 10;

std::string
many_routes ()
{
  std::string routes;
  for (int i = 0; i < kRoutes; i++)
    routes += ",{\"Name\":\"route-" + std::to_string (i)
              + "\",\"Host\":\"many.example\",\"Prefix\":\"/some/path/"
              + std::to_string (i)
              + "/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,"
                "\"TargetLatencyMs\":150,\"Priority\":2,\"Resumable\":false,"
                "\"Service\":\"maps\",\"MaxAttempts\":2}";
  return routes;
}

long
status_kb (pid_t pid, const std::string &name)
{
  std::ifstream status ("/proc/" + std::to_string (pid) + "/status");
  std::string word;
  long kb = 0;
  while (status >> word)
    if (word == name + ":")
      status >> kb;
  return kb;
}

/// Peak of a process's own memory, without file-backed pages of programs and
/// libraries.
long
peak_kb (pid_t pid)
{
  return status_kb (pid, "VmHWM") - status_kb (pid, "RssFile");
}

class Memory : public testing::Test
{
protected:
  bool
  has_config (int version)
  {
    return Site::wait_for ([&] {
      std::string line = "\"revision\":" + std::to_string (version);
      for (const Gateway &g : site.gateways)
        if (Site::log_lines (g.daemon, { "config_in_force", line }).empty ())
          return false;
      for (const Engine &e : site.engines)
        if (Site::log_lines (e.sidecar, { "config_in_force", line }).empty ())
          return false;
      return true;
    });
  }

  void
  expect_peaks ()
  {
    for (const Gateway &g : site.gateways)
      {
        printf ("%s %ld kB\n", g.daemon.name.c_str (), peak_kb (g.daemon.pid));
        EXPECT_LE (peak_kb (g.daemon.pid), kMaxPeakKb);
      }
    for (const Engine &e : site.engines)
      {
        printf ("%s %ld kB\n", e.sidecar.name.c_str (),
                peak_kb (e.sidecar.pid));
        EXPECT_LE (peak_kb (e.sidecar.pid), kMaxPeakKb);
      }
  }

  Site site{ 2, 1, 2 };
};

// An operator adds 2,000 routes. A daemon that holds the whole document as one
// json-c tree beside its text uses 15 MB with 1,400 routes, as seen on a
// gateway in a fleet of 188 VMs; VMs with small memory limits were killed for
// it.
TEST_F (Memory, AGrownConfigurationFits)
{
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (2, many_routes ());
  ASSERT_TRUE (has_config (2));
  site.write_config (3, many_routes ());
  ASSERT_TRUE (has_config (3));
  expect_peaks ();
  Call call = plain_call ("m");
  EXPECT_EQ (send_call (site.gateways[0], call).status, 200);
}

// After a power loss all daemons start with the large configuration at the
// same time.
TEST_F (Memory, AStartWithAGrownConfigurationFits)
{
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (2, many_routes ());
  ASSERT_TRUE (has_config (2));
  for (Gateway &g : site.gateways)
    site.stop (&g.daemon, SIGKILL);
  for (Engine &e : site.engines)
    site.stop (&e.sidecar, SIGKILL);
  for (Engine &e : site.engines)
    site.start (&e.sidecar);
  for (Gateway &g : site.gateways)
    site.start (&g.daemon);
  ASSERT_TRUE (site.wait_ready ());
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  expect_peaks ();
}

// Memory that a large configuration needed is returned to the system after it
// is replaced.
TEST_F (Memory, ConfigurationMemoryIsReleased)
{
  ASSERT_TRUE (site.wait_ready ());
  site.write_config (2, many_routes ());
  ASSERT_TRUE (has_config (2));
  site.write_config (3);
  ASSERT_TRUE (has_config (3));
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  for (const Gateway &g : site.gateways)
    EXPECT_LE (status_kb (g.daemon.pid, "RssAnon"), 5 << 10);
  for (const Engine &e : site.engines)
    EXPECT_LE (status_kb (e.sidecar.pid, "RssAnon"), 3 << 10);
}

} // namespace
} // namespace relay
