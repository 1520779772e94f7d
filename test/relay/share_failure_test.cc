// Gateways that read the store through a sidecar, while the sidecar works, is
// frozen, is killed or can not be reached.
#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <thread>

#include "site.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// Rewrites the store entries of targets all the time, as heartbeats do.
class Heartbeats
{
public:
  explicit Heartbeats (Site *site)
      : site_ (site), thread_ ([this] { write_entries (); })
  {
  }
  ~Heartbeats ()
  {
    is_ended_ = true;
    thread_.join ();
  }

private:
  void
  write_entries ()
  {
    while (!is_ended_)
      {
        site_->list_plain (0);
        for (size_t i = 0; i < site_->engines.size (); i++)
          site_->list_engine (i);
        std::this_thread::sleep_for (milliseconds (100));
      }
  }
  Site *site_;
  std::atomic<bool> is_ended_{ false };
  std::thread thread_;
};

/// Sum of a counter over the sidecars.
int
sum_of (Site &site, const std::string &name)
{
  int sum = 0;
  for (Engine &engine : site.engines)
    {
      std::string page = metrics_of (engine);
      size_t at = page.find (name);
      if (at != std::string::npos)
        sum += atoi (page.c_str () + at + name.size ());
    }
  return sum;
}

const char kSharedReads[] = "knapweedbay_shared_reads_total{result=\"ok\"} ";

/// Wait until the start-up of the gateways is over and they query a sidecar.
bool
wait_until_shared (Site &site)
{
  if (!site.wait_ready ())
    return false;
  std::this_thread::sleep_for (milliseconds (3000));
  int before = sum_of (site, kSharedReads);
  return Site::wait_for ([&] { return sum_of (site, kSharedReads) > before; });
}

/// Calls to the first store in 7 s, which is ten read intervals.
int
store_calls_in_ten_intervals (Site &site)
{
  int before = site.store.calls;
  std::this_thread::sleep_for (milliseconds (7000));
  int calls = site.store.calls - before;
  printf ("%d calls in 7 s\n", calls);
  return calls;
}

/// A plain target that is removed now gets no new requests 2 s later, through
/// any gateway.
void
expect_removal_in_time (Site &site)
{
  site.remove ("servers/" + site.plain[1]->id ());
  std::this_thread::sleep_for (milliseconds (2000));
  int before = site.plain[1]->runs ();
  for (size_t g = 0; g < site.gateways.size (); g++)
    for (int i = 0; i < 4; i++)
      EXPECT_EQ (send_call (site.gateways[g],
                            plain_call ("r" + std::to_string (g * 4 + i)))
                     .status,
                 200);
  EXPECT_EQ (site.plain[1]->runs (), before);
}

// Five gateways that read the store directly make a call each in every read
// interval of 0.7 s, fifty in 7 s. Through a sidecar all of them need one call
// per interval; half of fifty is allowed.
TEST (SharedReads, OneReadServesAllGateways)
{
  Site site (2, 2, 6);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  EXPECT_LE (store_calls_in_ten_intervals (site), 25);
}

// Nothing changes in the store. A sidecar that waited there for a change would
// answer too late, and each gateway would read the store directly after all:
// 35 calls in 7 s, of which half is allowed.
TEST (SharedReads, UnchangedStoreIsReadOnceForAll)
{
  Site site (2, 2, 6);
  ASSERT_TRUE (wait_until_shared (site));
  EXPECT_LE (store_calls_in_ten_intervals (site), 17);
}

// A gateway whose settings name another store must not receive changes of this
// one, since revisions of the two stores are unrelated.
TEST (SharedReads, GatewayOfAnotherStoreReadsItself)
{
  Site site (2, 2, 6);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  int before = site.mirror_store.calls;
  std::this_thread::sleep_for (milliseconds (3000));
  EXPECT_GE (site.mirror_store.calls - before, 3);
}

// The sidecar that reads is frozen, and its gateways receive nothing. A target
// that is removed at that moment must not be used 2 s later.
TEST (SharedReads, FrozenReaderDelaysNoRemoval)
{
  Site site (2, 2, 4);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  for (Engine &engine : site.engines)
    kill (engine.sidecar.pid, SIGSTOP);
  expect_removal_in_time (site);
  for (Engine &engine : site.engines)
    kill (engine.sidecar.pid, SIGCONT);
}

// The sidecar that reads and all others of its failure domain are killed.
TEST (SharedReads, DeadReadersDelayNoRemoval)
{
  Site site (2, 2, 4);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  for (Engine &engine : site.engines)
    site.stop (&engine.sidecar, SIGKILL);
  expect_removal_in_time (site);
}

// Answers of the sidecar are lost while queries still reach it.
TEST (SharedReads, ReaderCutOneWayDelaysNoRemoval)
{
  Proxies proxies;
  Site site (2, 2, 4, &proxies);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  for (Proxy *agent : proxies.agents)
    agent->set_path (Path::ONE_WAY);
  expect_removal_in_time (site);
}

// The reader is thawed after seconds. What it read before it froze must not
// restore a target that was removed meanwhile.
TEST (SharedReads, ThawedReaderRestoresNoRemovedTarget)
{
  Site site (2, 2, 4);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  for (Engine &engine : site.engines)
    kill (engine.sidecar.pid, SIGSTOP);
  expect_removal_in_time (site);
  for (Engine &engine : site.engines)
    kill (engine.sidecar.pid, SIGCONT);
  int before = site.plain[1]->runs ();
  for (int i = 0; i < 20; i++)
    {
      send_call (site.gateways[(size_t)i % 4],
                 plain_call ("t" + std::to_string (i)));
      std::this_thread::sleep_for (milliseconds (50));
    }
  EXPECT_EQ (site.plain[1]->runs (), before);
}

// A configuration is acknowledged while gateways read the store through a
// sidecar, which does not send configurations. It applies everywhere in 2 s.
TEST (SharedReads, ConfigurationAppliesInTime)
{
  Site site (2, 2, 4);
  Heartbeats heartbeats (&site);
  ASSERT_TRUE (wait_until_shared (site));
  site.store.stall_reads ("op/");
  site.write_config (2, ",{\"Name\":\"new\",\"Host\":\"a.example\","
                        "\"Prefix\":\"/new/\",\"Kind\":\"safe\","
                        "\"TimeoutMs\":2000,\"Service\":\"maps\","
                        "\"MaxAttempts\":1}");
  std::this_thread::sleep_for (milliseconds (2000));
  for (const Gateway &gateway : site.gateways)
    EXPECT_EQ (send_call (gateway, plain_call ("n", "/new/x")).status, 200);
}

} // namespace
} // namespace relay
