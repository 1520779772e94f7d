// Quotas of workspaces over all gateways, without faults and while daemons
// fail.
#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <thread>

#include "workspaces.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Limit of workspace red: ten streams of 150 tokens in a window, and a burst.
constexpr int kRate = 300;
constexpr int kBurst = 300;

std::string
limit (int rate, int burst)
{
  return ",\"RatePerS\":" + std::to_string (rate)
         + ",\"Burst\":" + std::to_string (burst);
}

int
max_allowed_tokens (int rate = kRate, int burst = kBurst)
{
  return (int)((rate * kQuotaWindowS + burst) * (1 + kQuotaOvershoot))
         + kQuotaSlack;
}

/// Callers of one workspace, each of which sends its next request when the
/// last one is answered.
class Callers
{
public:
  struct Counts
  {
    int answered = 0;
    int over_quota = 0;
    int other = 0;
    int without_retry_after = 0; ///< Refused without a retry-after time.
    int max_latency_ms = 0;      ///< Of answered requests.
    std::string others;          ///< Status, time and reason of each other.
  };
  Callers (Site *site, const std::string &key, int per_gateway,
           int pause_ms = 2)
      : site_ (site), key_ (key), pause_ms_ (pause_ms)
  {
    for (size_t g = 0; g < site->gateways.size (); g++)
      for (int i = 0; i < per_gateway; i++)
        threads_.emplace_back ([this, g, i] { call (g, i); });
  }
  ~Callers () { stop (); }
  Counts
  stop ()
  {
    is_ended_ = true;
    for (std::thread &thread : threads_)
      thread.join ();
    threads_.clear ();
    return counts_;
  }

private:
  Call
  make_call (size_t gateway, int caller, int n)
  {
    std::string id = key_ + "-" + std::to_string (gateway) + "-"
                     + std::to_string (caller) + "-" + std::to_string (n);
    Call call = n % 3 == 0 && !site_->plain.empty () ? plain_call (id)
                                                     : stream_call (id, "");
    call.headers += key_line (key_);
    return call;
  }
  void
  call (size_t gateway, int caller)
  {
    for (int n = 0; !is_ended_; n++)
      {
        auto began = steady_clock::now ();
        Message m = send_call (site_->gateways[gateway],
                               make_call (gateway, caller, n));
        auto latency = steady_clock::now () - began;
        record (
            m,
            (int)std::chrono::duration_cast<milliseconds> (latency).count ());
        std::this_thread::sleep_for (milliseconds (pause_ms_));
      }
  }
  void
  record (const Message &m, int latency_ms)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (m.status == 200)
      {
        counts_.answered++;
        counts_.max_latency_ms = std::max (counts_.max_latency_ms, latency_ms);
      }
    else if (m.status == 429)
      counts_.over_quota++;
    else
      {
        counts_.other++;
        counts_.others += std::to_string (m.status) + " after "
                          + std::to_string (latency_ms) + " ms: " + m.body
                          + "\n";
      }
    if (m.status == 429 && atof (m.header ("retry-after").c_str ()) <= 0)
      counts_.without_retry_after++;
  }
  Site *site_;
  std::string key_;
  int pause_ms_;
  std::atomic<bool> is_ended_{ false };
  std::mutex mutex_;
  Counts counts_;
  std::vector<std::thread> threads_;
};

class Quota : public ::testing::Test
{
protected:
  void
  begin (Site *site, int version = 2)
  {
    set_workspaces (site,
                    { workspace ("red", { "k-red" }, limit (kRate, kBurst)),
                      workspace ("blue", { "k-blue" }, limit (100000, 100000)),
                      workspace ("free", { "k-free" }) });
    site->write_config (version);
    for (const Gateway &gateway : site->gateways)
      ASSERT_TRUE (Site::wait_for ([&] {
        Call call = stream_call ("warm", "");
        call.headers += key_line ("k-free");
        return send_call (gateway, call).status == 200;
      }));
    // By then all daemons are in contact, and a lender lends a whole quota.
    std::this_thread::sleep_for (milliseconds (2500));
  }
  static void
  restart_all (Site *site)
  {
    for (Engine &engine : site->engines)
      site->stop (&engine.sidecar, SIGKILL);
    for (Gateway &gateway : site->gateways)
      site->stop (&gateway.daemon, SIGKILL);
    for (Engine &engine : site->engines)
      site->start (&engine.sidecar);
    for (Gateway &gateway : site->gateways)
      site->start (&gateway.daemon);
  }
  void
  expect_limit_holds (Site &site)
  {
    auto tokens = tokens_of (site, "red");
    int most = max_tokens_in_window (tokens, kQuotaWindowS);
    EXPECT_LE (most, max_allowed_tokens ());
    printf ("%d of %d tokens in %d s\n", most, max_allowed_tokens (),
            kQuotaWindowS);
  }
};

// One workspace sends far beyond its quota through all gateways, each of which
// would admit the whole quota by itself.
TEST_F (Quota, LimitHoldsOverAllGateways)
{
  Site site (3, 1, 3);
  begin (&site);
  Callers callers (&site, "k-red", 3);
  std::this_thread::sleep_for (seconds (10));
  Callers::Counts counts = callers.stop ();
  expect_limit_holds (site);
  EXPECT_GT (counts.answered, 0);
  EXPECT_GT (counts.over_quota, 0);
  EXPECT_EQ (counts.other, 0);
  EXPECT_EQ (counts.without_retry_after, 0);
  // At least 70 % of the quota is used.
  int sum = 0;
  for (const auto &[arrival, count] : tokens_of (site, "red"))
    sum += count;
  EXPECT_GE (sum, 10 * kRate * 7 / 10);
}

// Requests within the quota are not refused, even if all of them come through
// one gateway of three.
TEST_F (Quota, RequestsWithinTheQuotaAreServed)
{
  Site site (3, 1, 3);
  begin (&site);
  for (int n = 0; n < 20; n++)
    {
      Call call = stream_call ("w" + std::to_string (n), "");
      call.headers += key_line ("k-red");
      EXPECT_EQ (send_call (site.gateways[0], call).status, 200) << n;
      std::this_thread::sleep_for (milliseconds (700));
    }
}

// A workspace far beyond its quota does not affect other workspaces: refused
// requests use no place, no fetch and no target.
TEST_F (Quota, OtherWorkspacesAreServed)
{
  Site site (2, 1, 2);
  begin (&site);
  Callers red (&site, "k-red", 8, 0);
  Callers blue (&site, "k-blue", 2, 5);
  std::this_thread::sleep_for (seconds (5));
  Callers::Counts of_blue = blue.stop ();
  Callers::Counts of_red = red.stop ();
  EXPECT_GT (of_red.over_quota, 10 * of_red.answered);
  EXPECT_GT (of_blue.answered, 0);
  EXPECT_EQ (of_blue.over_quota + of_blue.other, 0) << of_blue.others;
  for (const Gateway &gateway : site.gateways)
    {
      auto refused
          = Site::log_lines (gateway.daemon, { "request_end", "over_quota" });
      EXPECT_FALSE (refused.empty ());
      for (const std::string &line : refused)
        EXPECT_NE (line.find ("\"target\":\"\""), std::string::npos) << line;
    }
}

// The lending sidecar is killed, stopped and restarted; gateways restart
// without any record of what was lent.
TEST_F (Quota, LimitHoldsWhileDaemonsFail)
{
  Site site (3, 1, 3);
  begin (&site);
  Callers callers (&site, "k-red", 3);
  for (int round = 0; round < 2; round++)
    for (Engine &engine : site.engines)
      {
        kill (engine.sidecar.pid, SIGSTOP);
        std::this_thread::sleep_for (milliseconds (1500));
        kill (engine.sidecar.pid, SIGCONT);
        site.restart (&site.gateways[(size_t)round].daemon, SIGKILL);
        std::this_thread::sleep_for (milliseconds (700));
        site.restart (&engine.sidecar, SIGKILL);
        std::this_thread::sleep_for (milliseconds (700));
      }
  Callers::Counts counts = callers.stop ();
  expect_limit_holds (site);
  EXPECT_GT (counts.answered, 0);
}

// All daemons lose power at the same moment, more than once in a window, and
// lose the record of what was lent.
TEST_F (Quota, LimitHoldsWhenAllDaemonsRestart)
{
  Site site (3, 1, 3);
  begin (&site);
  Callers callers (&site, "k-red", 3);
  std::this_thread::sleep_for (seconds (4));
  auto stopped = steady_clock::now ();
  for (int times = 0; times < 3; times++)
    {
      stopped = steady_clock::now ();
      restart_all (&site);
      std::this_thread::sleep_for (milliseconds (2500));
    }
  std::this_thread::sleep_for (seconds (kQuotaWindowS));
  callers.stop ();
  expect_limit_holds (site);
  auto tokens = tokens_of (site, "red");
  EXPECT_GT (tokens.back ().first, stopped + seconds (2));
}

// A gateway without contact to any sidecar has no lender.
TEST_F (Quota, WithoutALenderSomeAreServedAndTheRestRefused)
{
  Site site (1, 1, 1);
  begin (&site);
  kill (site.engines[0].sidecar.pid, SIGSTOP);
  std::this_thread::sleep_for (milliseconds (2500));
  int served = 0;
  int unknown = 0;
  for (int n = 0; n < 40; n++)
    {
      Call call = plain_call ("n" + std::to_string (n));
      call.headers = key_line ("k-red");
      int status = send_call (site.gateways[0], call).status;
      served += status == 200;
      unknown += status == 503;
    }
  EXPECT_GT (served, 0);
  EXPECT_GT (unknown, 0);
  EXPECT_EQ (served + unknown, 40);
  EXPECT_FALSE (
      Site::log_lines (site.gateways[0].daemon, { "quota_unknown" }).empty ());
  kill (site.engines[0].sidecar.pid, SIGCONT);
}

// The operator lowers a limit under load.
TEST_F (Quota, LoweredLimitIsEnforced)
{
  Site site (2, 1, 2);
  begin (&site);
  Callers callers (&site, "k-red", 3);
  std::this_thread::sleep_for (seconds (3));
  set_workspaces (&site, { workspace ("red", { "k-red" }, limit (60, 60)) });
  site.write_config (3);
  std::this_thread::sleep_for (seconds (3 + kQuotaWindowS + 2));
  callers.stop ();
  auto tokens = tokens_of (site, "red");
  auto bound = tokens.back ().first - seconds (kQuotaWindowS);
  int sum = 0;
  for (const auto &[arrival, count] : tokens)
    sum += arrival >= bound ? count : 0;
  EXPECT_LE (sum, max_allowed_tokens (60, 60));
}

// A limit of zero means no limit.
TEST_F (Quota, ZeroIsNoLimit)
{
  Site site (1, 1, 1);
  set_workspaces (&site, { workspace ("red", { "k-red" }, limit (0, 0)) });
  site.write_config (2);
  ASSERT_TRUE (Site::wait_for ([&] {
    Call call = plain_call ("z");
    call.headers = key_line ("k-red");
    return send_call (site.gateways[0], call).status == 200;
  }));
  for (int n = 0; n < 100; n++)
    {
      Call call = plain_call ("z" + std::to_string (n));
      call.headers = key_line ("k-red");
      EXPECT_EQ (send_call (site.gateways[0], call).status, 200);
    }
}

} // namespace
} // namespace relay
