// Targets that state in their answers that they leave, while the list does
// not.
#include <gtest/gtest.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// This long after a gateway has passed on such an answer, requests that
/// callers send no longer reach the target through that gateway.
constexpr int kDrainBoundMs = 2000;
/// By then each gateway under load has passed on such an answer.
constexpr int kReactionMs = 500;

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

/// The store is silent, and a target states that it leaves.
void
expect_nothing_after_bound (Site &site, Target &leaving,
                            Call (*call_of) (const std::string &))
{
  ASSERT_TRUE (site.wait_ready ());
  Load load (&site, call_of, 4, 10);
  std::this_thread::sleep_for (milliseconds (500));
  site.store.set_mode (Store::SILENT);
  site.mirror_store.set_mode (Store::SILENT);
  leaving.announces_leaving = true;
  Moment bound = std::chrono::steady_clock::now ()
                 + milliseconds (kReactionMs + kDrainBoundMs);
  std::this_thread::sleep_for (
      milliseconds (kReactionMs + kDrainBoundMs + 1500));
  Load::Counts counts = load.stop ();
  EXPECT_EQ (max_arrivals_in_window (arrivals_at (leaving), bound, 1500), 0);
  EXPECT_EQ (counts.refused + counts.other, 0);
}

// Guards against leaving that takes effect only through the list.
TEST (Leaving, EngineThatStatesItGetsNoNewRequests)
{
  Site site (2, 0, 2);
  expect_nothing_after_bound (site, *site.engines[0].target, stream);
}

// Guards against the same at a plain target, which has no sidecar.
TEST (Leaving, PlainTargetThatStatesItGetsNoNewRequests)
{
  Site site (1, 2, 2);
  expect_nothing_after_bound (site, *site.plain[0], plain);
}

// Guards against leaving that outlives the incarnation that stated it.
TEST (Leaving, EndsWithTheIncarnationThatStatedIt)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->announces_leaving = true;
  send_call (site.gateways[0], plain ("heard"));
  EXPECT_EQ (send_call (site.gateways[0], plain ("a")).status, 503);
  site.plain[0]->announces_leaving = false;
  site.plain[0]->restart (site.plain[0]->id ());
  site.list_plain (0);
  EXPECT_TRUE (Site::wait_for (
      [&] { return send_call (site.gateways[0], plain ("b")).status == 200; },
      3000));
}

// Guards against an entry of the list that reverts leaving.
TEST (Leaving, IsNotRevertedByTheList)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->announces_leaving = true;
  send_call (site.gateways[0], plain ("heard"));
  for (int i = 0; i < 5; i++)
    {
      site.list_plain (0);
      std::this_thread::sleep_for (milliseconds (300));
      Message answer
          = send_call (site.gateways[0], plain ("n" + std::to_string (i)));
      EXPECT_EQ (answer.status, 503);
      EXPECT_GT (atof (answer.header ("retry-after").c_str ()), 0);
    }
  EXPECT_EQ (site.plain[0]->runs (), 1);
}

// Guards against retries and resumed streams that go to a leaving target.
TEST (Leaving, RetriesAndResumedStreamsAvoidTheTarget)
{
  Site site (3, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &leaving = *site.engines[0].target;
  leaving.announces_leaving = true;
  ASSERT_TRUE (Site::wait_for ([&] {
    send_call (site.gateways[0], stream ("heard"));
    return !Site::log_lines (site.gateways[0].daemon,
                             { "target_states_leaving" })
                .empty ();
  }));
  int before = (int)leaving.requests ().size ();
  for (int i = 0; i < 30; i++)
    {
      for (size_t e : { 1, 2 })
        site.engines[e].target->fail_next (
            { i % 2 == 0 ? Fault::CUT_WITHIN_EVENT : Fault::NOT_RUN });
      send_call (site.gateways[0], stream ("s" + std::to_string (i)));
    }
  EXPECT_EQ ((int)leaving.requests ().size (), before);
}

} // namespace
} // namespace relay
