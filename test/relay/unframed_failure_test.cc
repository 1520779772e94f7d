// Answers that have neither a length nor chunks and end with their connection:
// their last byte does not show that they are whole.
#include <gtest/gtest.h>

#include "fatal.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

void
expect_few_engines (CrashAnswer answer)
{
  Site site (6, 0, 2);
  set_crash_answer (site, answer);
  expect_few_after_third (site, fatal_stream, 12);
}

void
expect_few_plain_targets (CrashAnswer answer)
{
  Site site (1, 6, 2);
  set_crash_answer (site, answer);
  expect_few_after_third (site, fatal_plain, 12);
}

// Guards against an end that is recorded for no request, because the end of
// its connection counts as the end of its answer.
TEST (Unframed, FatalRequestThatGetsAHeadReachesFewEngines)
{
  expect_few_engines (CrashAnswer::HEAD);
}

// Guards against the same within an event.
TEST (Unframed, FatalRequestThatGetsHalfAnEventReachesFewEngines)
{
  expect_few_engines (CrashAnswer::HALF);
}

// Guards against the same after an event.
TEST (Unframed, FatalRequestThatGetsAnEventReachesFewEngines)
{
  expect_few_engines (CrashAnswer::WHOLE);
}

// Guards against the same at a plain target.
TEST (Unframed, FatalRequestThatGetsAHeadReachesFewPlainTargets)
{
  expect_few_plain_targets (CrashAnswer::HEAD);
}

// Guards against the same within a body.
TEST (Unframed, FatalRequestThatGetsHalfABodyReachesFewPlainTargets)
{
  expect_few_plain_targets (CrashAnswer::HALF);
}

// Guards against the same after a body.
TEST (Unframed, FatalRequestThatGetsABodyReachesFewPlainTargets)
{
  expect_few_plain_targets (CrashAnswer::WHOLE);
}

Call
innocent_stream (int attempt)
{
  Call call = stream_call ("innocent" + std::to_string (attempt), "", false);
  call.path = "/once/innocent";
  return call;
}

Call
innocent_plain (int attempt)
{
  return plain_call ("innocent" + std::to_string (attempt),
                     "/unsafe/innocent");
}

/// Let the process of a target end while a request is starting there.
void
end_during (Site &site, Target &target, const Call &call)
{
  int runs = target.runs ();
  auto began = std::chrono::steady_clock::now ();
  std::thread caller ([&] {
    // It is refused until the gateway lists the target.
    while (target.runs () == runs
           && std::chrono::steady_clock::now () - began
                  < std::chrono::seconds (8))
      send_call (site.gateways[0], call);
  });
  EXPECT_TRUE (Site::wait_for ([&] { return target.runs () > runs; }));
  std::this_thread::sleep_for (milliseconds (50));
  target.simulate_exit ();
  caller.join ();
  // The end is known before the next incarnation starts.
  std::this_thread::sleep_for (milliseconds (1500));
  site.restart_ended_targets ();
}

/// A request that shared two targets that ended is answered without a length
/// by one that lives on. The third end it shares must not hold it.
void
expect_cleared (Site &site, Target &target, Call (*call_of) (int),
                const std::function<void (bool)> &set_slow)
{
  ASSERT_TRUE (site.wait_ready ());
  int attempt = 0;
  auto serve = [&] {
    return Site::wait_for ([&] {
      return send_call (site.gateways[0], call_of (attempt++)).status == 200;
    });
  };
  ASSERT_TRUE (serve ());
  set_slow (true);
  for (int i = 0; i < 2; i++)
    end_during (site, target, call_of (attempt++));
  set_slow (false);
  target.is_unframed = true;
  ASSERT_TRUE (serve ());
  std::this_thread::sleep_for (milliseconds (kPropagationMs));
  set_slow (true);
  end_during (site, target, call_of (attempt++));
  set_slow (false);
  Message answer;
  EXPECT_TRUE (Site::wait_for ([&] {
    answer = send_call (site.gateways[0], call_of (attempt++));
    return answer.status == 200 || answer.body == "quarantined";
  }));
  EXPECT_EQ (answer.status, 200) << answer.body;
}

// Guards against a request that no answer without a length ever clears.
TEST (Unframed, AnswerOfAnEngineThatLivesOnClearsARequest)
{
  Site site (1, 0, 1);
  Target &engine = *site.engines[0].target;
  expect_cleared (site, engine, innocent_stream, [&] (bool is_slow) {
    engine.event_ms = is_slow ? 1000 : 2;
  });
}

// Guards against the same at a plain target, which has no sidecar.
TEST (Unframed, AnswerOfAPlainTargetThatLivesOnClearsARequest)
{
  Site site (0, 1, 1);
  Target &target = *site.plain[0];
  expect_cleared (site, target, innocent_plain, [&] (bool is_slow) {
    target.answer_ms = is_slow ? 1000 : 0;
  });
}

// Guards against a stream without any event that its caller takes for whole.
TEST (Unframed, StreamWithoutAnEventIsNoAnswer)
{
  Site site (2, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  set_crash_answer (site, CrashAnswer::HEAD);
  site.crash_on_path ("/once/fatal");
  Call call = stream_call ("f", "", false);
  call.path = "/once/fatal";
  Message answer = send_call (site.gateways[0], call);
  EXPECT_EQ (answer.status, 502) << answer.body;
}

// Guards against an answer that is lost, or that grows, because its framing is
// another one towards the caller.
TEST (Unframed, WholeAnswersArePassedOn)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->is_unframed = true;
  site.plain[0]->is_unframed = true;
  Message stream = send_call (site.gateways[0], stream_call ("s", "a1"));
  EXPECT_TRUE (stream.is_complete);
  EXPECT_EQ (event_ids (stream.body), ids_up_to (10));
  Message body = send_call (site.gateways[0], plain_call ("p"));
  EXPECT_TRUE (body.is_complete);
  EXPECT_EQ (body.status, 200);
  Call head = plain_call ("h");
  head.method = "HEAD";
  auto connection = dial (site.gateways[0].address);
  connection->write (head.text ());
  EXPECT_NE (connection->read_some (3000).find ("200"), std::string::npos);
}

} // namespace
} // namespace relay
