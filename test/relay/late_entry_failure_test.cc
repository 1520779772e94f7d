// Answers that wait in the kernel of an entry which is late or frozen.
#include <gtest/gtest.h>

#include "leavers.h"
#include "overload.h"

namespace relay
{
namespace
{

constexpr int kCallers = 20;
constexpr int kPlains = 4;

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

std::string
safe_text (const std::string &id)
{
  return plain_call (id, "/plain/" + id).text ();
}

std::string
unsafe_text (const std::string &id)
{
  return plain_call (id, "/unsafe/" + id).text ();
}

std::string
stream_text (const std::string &id)
{
  Call call = stream_call (id, "");
  call.body += id;
  return call.text ();
}

/// Times of a freeze, from the moment at which the requests are sent.
struct Freeze
{
  int from_ms;
  int for_ms;
};

/// All answers arrive while the entry is frozen, and are delivered.
void
expect_answers_delivered (Site &site, const Freeze &freeze,
                          std::string (*text_of) (const std::string &id))
{
  Leavers callers (site.gateways[0].address, text_of, kCallers);
  ASSERT_NO_FATAL_FAILURE (callers.connect ());
  size_t others = arrivals_of (site).size ();
  callers.send ();
  sleep_ms (freeze.from_ms);
  size_t sent = arrivals_of (site).size () - others;
  {
    Frozen entry (site.gateways[0].daemon.pid);
    sleep_ms (freeze.for_ms);
  }
  callers.expect_the_rest_served ();
  EXPECT_EQ (sent, (size_t)kCallers);
  EXPECT_EQ (arrivals_of (site).size () - others, (size_t)kCallers)
      << "requests ran again though their answers had arrived";
}

void
expect_plain_answers_delivered (int answer_ms, const Freeze &freeze,
                                std::string (*text_of) (const std::string &id))
{
  Site site (1, kPlains, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const auto &target : site.plain)
    target->answer_ms = answer_ms;
  expect_answers_delivered (site, freeze, text_of);
}

// Guards against a repetition of requests whose answers wait unread.
TEST (LateEntry, RepeatsNoRequestWhoseAnswerHasArrived)
{
  expect_plain_answers_delivered (400, { 300, 600 }, safe_text);
}

// Guards against a timeout for callers whose answers wait unread.
TEST (LateEntry, DeliversAnswersThatArrivedBeforeTheTimeout)
{
  expect_plain_answers_delivered (900, { 700, 1500 }, unsafe_text);
}

// Guards against streams that are resumed elsewhere though their events wait
// unread.
TEST (LateEntry, ResumesNoStreamWhoseEventsHaveArrived)
{
  Site site (4, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    engine.target->event_ms = 600;
  expect_answers_delivered (site, { 400, 2200 }, stream_text);
}

// Guards against limits of a target that are counted from before its request
// was sent, where an entry takes long for what it has read.
TEST (LateEntry, GivesTargetsTheirTimeAfterALongTurn)
{
  constexpr int kMany = 200;
  Site site (1, kPlains, 1);
  ASSERT_TRUE (site.wait_ready ());
  Leavers callers (site.gateways[0].address, safe_text, kMany);
  ASSERT_NO_FATAL_FAILURE (callers.connect_served (safe_text));
  for (const auto &target : site.plain)
    target->answer_ms = 250;
  size_t others = arrivals_of (site).size ();
  {
    Frozen entry (site.gateways[0].daemon.pid);
    callers.send ();
  }
  {
    Throttle throttle (site.gateways[0].daemon.pid, 1);
    sleep_ms (2000);
  }
  callers.expect_the_rest_served ();
  EXPECT_EQ (arrivals_of (site).size () - others, (size_t)kMany);
}

} // namespace
} // namespace relay
