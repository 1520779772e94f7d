// Targets that state how many requests a second they take from all gateways.
#include <gtest/gtest.h>

#include <signal.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// From then on the limit holds over any window, with this tolerance.
constexpr int kEnforcedAfterMs = 3000;
constexpr int kWindowMs = 4000;

int
max_allowed (double per_s)
{
  return (int)(1.5 * per_s * kWindowMs / 1000) + 5;
}

Call
stream (const std::string &id)
{
  return stream_call (id, "");
}

Call
plain (const std::string &id)
{
  return plain_call (id);
}

/// Load a site in which one target states a limit.
void
expect_limit_holds (Site &site, Target &limited,
                    Call (*call_of) (const std::string &), double per_s)
{
  ASSERT_TRUE (site.wait_ready ());
  Load load (&site, call_of, 4, 10);
  std::this_thread::sleep_for (milliseconds (1000));
  limited.limit_per_s = per_s;
  Moment enforced_from
      = std::chrono::steady_clock::now () + milliseconds (kEnforcedAfterMs);
  std::this_thread::sleep_for (
      milliseconds (kEnforcedAfterMs + 2 * kWindowMs));
  Load::Counts counts = load.stop ();
  int most = max_arrivals_in_window (arrivals_at (limited), enforced_from,
                                     kWindowMs);
  printf ("%d of %d in %d ms\n", most, max_allowed (per_s), kWindowMs);
  EXPECT_LE (most, max_allowed (per_s));
  // At least half of the limit is used, and other targets serve the rest.
  EXPECT_GE (most, (int)(per_s * kWindowMs / 1000 / 2));
  EXPECT_EQ (counts.refused + counts.other, 0);
}

// Guards against an engine's limit that is enforced by each gateway on its
// own, or by none.
TEST (Limit, EngineLimitHoldsOverAllGateways)
{
  Site site (3, 0, 3);
  expect_limit_holds (site, *site.engines[0].target, stream, 5);
}

// Guards against the same at a plain target, which has no sidecar.
TEST (Limit, PlainTargetLimitHoldsOverAllGateways)
{
  Site site (2, 3, 3);
  expect_limit_holds (site, *site.plain[0], plain, 5);
}

/// Fail daemons one after the other: the sidecars, among them the one beside
/// the limited engine and those that lend permits, the gateways, the store.
void
fail_daemons (Site &site)
{
  for (Engine &engine : site.engines)
    {
      site.restart (&engine.sidecar, SIGKILL);
      std::this_thread::sleep_for (milliseconds (800));
      kill (engine.sidecar.pid, SIGSTOP);
      std::this_thread::sleep_for (milliseconds (1500));
      kill (engine.sidecar.pid, SIGCONT);
    }
  for (Gateway &gateway : site.gateways)
    {
      site.restart (&gateway.daemon, SIGKILL);
      std::this_thread::sleep_for (milliseconds (800));
    }
  site.store.set_mode (Store::SILENT);
  std::this_thread::sleep_for (milliseconds (2500));
  site.store.set_mode (Store::HEALTHY);
}

// Guards against a limit that is lost with the daemons that know it.
TEST (Limit, HoldsWhileDaemonsFail)
{
  constexpr double per_s = 5;
  Site site (3, 3, 3);
  ASSERT_TRUE (site.wait_ready ());
  Load streams (&site, stream, 4, 10);
  Load calls (&site, plain, 4, 10);
  site.engines[0].target->limit_per_s = per_s;
  site.plain[0]->limit_per_s = per_s;
  Moment enforced_from
      = std::chrono::steady_clock::now () + milliseconds (kEnforcedAfterMs);
  std::this_thread::sleep_for (milliseconds (kEnforcedAfterMs));
  fail_daemons (site);
  streams.stop ();
  calls.stop ();
  EXPECT_LE (max_arrivals_in_window (arrivals_at (*site.engines[0].target),
                                     enforced_from, kWindowMs),
             max_allowed (per_s));
  EXPECT_LE (max_arrivals_in_window (arrivals_at (*site.plain[0]),
                                     enforced_from, kWindowMs),
             max_allowed (per_s));
}

// Guards against a limit that stays after the target has withdrawn it.
TEST (Limit, EndsWhenTheTargetStatesNone)
{
  Site site (2, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  Load streams (&site, stream, 4, 10);
  Load calls (&site, plain, 4, 10);
  site.engines[0].target->limit_per_s = 2;
  site.plain[0]->limit_per_s = 2;
  std::this_thread::sleep_for (milliseconds (3000));
  site.engines[0].target->limit_per_s = -1;
  site.plain[0]->limit_per_s = -1;
  std::this_thread::sleep_for (milliseconds (2000));
  Moment lifted = std::chrono::steady_clock::now ();
  std::this_thread::sleep_for (milliseconds (1500));
  EXPECT_GT (max_arrivals_in_window (arrivals_at (*site.engines[0].target),
                                     lifted, 1000),
             20);
  EXPECT_GT (
      max_arrivals_in_window (arrivals_at (*site.plain[0]), lifted, 1000), 20);
}

// Guards against callers that wait, or get no retry-after time, when all
// targets are at their limits.
TEST (Limit, ExcessIsRefusedAtOnceWithRetryAfter)
{
  Site site (2, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    engine.target->limit_per_s = 2;
  for (const auto &target : site.plain)
    target->limit_per_s = 2;
  for (auto call_of : { stream, plain })
    {
      Load load (&site, call_of, 4, 20);
      std::this_thread::sleep_for (milliseconds (4000));
      Load::Counts counts = load.stop ();
      EXPECT_GT (counts.answered, 5);
      EXPECT_GT (counts.refused, counts.answered);
      EXPECT_EQ (counts.refused_without_retry_after, 0);
      EXPECT_EQ (counts.other, 0);
      // The objective is 800 ms at engines, 150 ms at plain targets.
      EXPECT_LE (counts.max_refusal_ms, call_of == stream ? 1000 : 400);
    }
}

// Guards against a malformed field that changes the known limit.
TEST (Limit, MalformedFieldIsLoggedAndIgnored)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->limit_per_s = 2;
  send_call (site.gateways[0], plain ("a"));
  site.plain[0]->limit_text = "plenty";
  for (int i = 0; i < 40; i++)
    {
      send_call (site.gateways[0], plain ("b" + std::to_string (i)));
      std::this_thread::sleep_for (milliseconds (50));
    }
  EXPECT_LE (arrivals_at (*site.plain[0]).size (), 12u);
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (
                site.gateways[0].daemon,
                { "answer_field_ignored", "Server-Limit", "i-p0" })
                .empty ();
  }));
}

} // namespace
} // namespace relay
