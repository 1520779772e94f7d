// Targets that say in their answers that they leave, while the list does not.
#include <gtest/gtest.h>

#include <signal.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// What callers send that much later than a gateway passed on such an answer
/// reaches the target from that gateway no more.
constexpr int kBoundMs = 2000;
/// By then each gateway under load has passed one on.
constexpr int kHeardMs = 500;

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

/// The store is silent, and a target says that it leaves.
void
expect_nothing_after_bound (Site &site, Target &leaving,
                            Call (*call_of) (const std::string &))
{
  ASSERT_TRUE (site.wait_ready ());
  Load load (&site, call_of, 4, 10);
  std::this_thread::sleep_for (milliseconds (500));
  site.store.set_mode (Store::SILENT);
  site.far_store.set_mode (Store::SILENT);
  leaving.says_leaving = true;
  Moment bound
      = std::chrono::steady_clock::now () + milliseconds (kHeardMs + kBoundMs);
  std::this_thread::sleep_for (milliseconds (kHeardMs + kBoundMs + 1500));
  Load::Counts counts = load.stop ();
  EXPECT_EQ (most_in (arrivals_at (leaving), bound, 1500), 0);
  EXPECT_EQ (counts.refused + counts.other, 0);
}

// Guards against leaving that only the list tells.
TEST (Leaving, AnEngineThatSaysSoGetsNothingNew)
{
  Site site (2, 0, 2);
  expect_nothing_after_bound (site, *site.engines[0].target, stream);
}

// Guards against the same at a plain target, which has no agent.
TEST (Leaving, APlainTargetThatSaysSoGetsNothingNew)
{
  Site site (1, 2, 2);
  expect_nothing_after_bound (site, *site.plain[0], plain);
}

} // namespace
} // namespace relay
