// Requests that merely share targets with whatever ends them. None of them may
// be held in quarantine, however its target ended.
#include <gtest/gtest.h>

#include <signal.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// Time between a target's end and the next attempt: the end is then known.
constexpr int kEndKnownMs = 700;

/// Time for which no request starts alone after the first event of another.
constexpr int kStartMs = 160;

/// Time to the first event of a slow start.
constexpr int kFirstEventMs = 4000;

/// Lines of each daemon's log that a failure prints.
constexpr size_t kLogLines = 100;

/// Time that a plain target works on a request that its end breaks off.
constexpr int kAnswerMs = 1500;

Call
innocent_stream (int attempt)
{
  // It runs once, at one engine.
  Call call = stream_call ("innocent" + std::to_string (attempt), "", false);
  call.path = "/once/innocent";
  return call;
}

Call
innocent_plain (int attempt)
{
  return plain_call ("innocent" + std::to_string (attempt), "/plain/innocent");
}

Call
innocent_unsafe (int attempt)
{
  return plain_call ("innocent" + std::to_string (attempt),
                     "/unsafe/innocent");
}

Call
other_unsafe (const std::string &id)
{
  return plain_call (id, "/unsafe/" + id);
}

Call
other_stream (const std::string &id)
{
  Call call = stream_call (id, "", false);
  call.path = "/once/" + id;
  return call;
}

/// A request that is being sent.
class Sending
{
public:
  Sending (const Gateway &gateway, const Call &call)
      : thread_ (
          [this, &gateway, call] { answer = send_call (gateway, call); })
  {
  }
  ~Sending () { join (); }
  void
  join ()
  {
    if (thread_.joinable ())
      thread_.join ();
  }
  Message answer;

private:
  std::thread thread_;
};

bool
wait_until_run (Site &site, const std::string &id)
{
  return Site::wait_for ([&] { return site.runs_of (id) > 0; });
}

void
exit_and_restart (Site &site, Target &target)
{
  target.simulate_exit ();
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  site.restart_ended_targets ();
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
}

/// End the only engine twice while the innocent request starts there, so that
/// it has to start alone from now on.
void
make_suspect (Site &site)
{
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.event_ms = kFirstEventMs;
  for (int attempt = 0; attempt < 2; attempt++)
    {
      Sending innocent (site.gateways[0], innocent_stream (attempt));
      ASSERT_TRUE (
          wait_until_run (site, "innocent" + std::to_string (attempt)));
      exit_and_restart (site, engine);
    }
}

/// The same, with an engine whose answers begin at once and end with their
/// connections.
/// @return  The engine.
Target &
make_suspect_of_closing_engine (Site &site)
{
  make_suspect (site);
  Target &engine = *site.engines[0].target;
  engine.event_ms = 2;
  engine.is_unframed = true;
  return engine;
}

/// Restart an engine as an incarnation that the list does not name.
void
restart_unlisted (Site &site, const std::string &id)
{
  site.engines[0].target->restart (id);
  ASSERT_TRUE (Site::wait_identified (site.engines[0], id));
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
}

/// End the only plain target while the innocent request and another one run
/// there.
void
make_plain_suspect (Site &site, int ends)
{
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.plain[0];
  for (int attempt = 0; attempt < ends; attempt++)
    {
      target.answer_ms = kAnswerMs;
      int runs = target.runs ();
      Sending innocent (site.gateways[0], innocent_unsafe (attempt));
      Sending other (site.gateways[0], other_unsafe ("other"));
      ASSERT_TRUE (
          Site::wait_for ([&] { return target.runs () == runs + 2; }));
      exit_and_restart (site, target);
    }
  target.answer_ms = 0;
}

/// The innocent request is served once nothing else ends its engine.
void
expect_served (Site &site, Call (*call_of) (int))
{
  for (const Engine &engine : site.engines)
    engine.target->event_ms = 2;
  Message answer;
  int attempt = 1000;
  EXPECT_TRUE (Site::wait_for ([&] {
    answer = send_call (site.gateways.back (), call_of (attempt++));
    return answer.status == 200 || answer.body == "quarantined";
  }));
  EXPECT_EQ (answer.status, 200) << answer.body;
}

// Guards against a request that counts as the cause of an end because it
// started alone, although others were let in after it had blocked them for the
// longest time allowed.
TEST (Innocent, SlowStartIsNotAloneOnceOthersStart)
{
  Site site (1, 0, 1);
  make_suspect (site);
  Sending innocent (site.gateways[0], innocent_stream (2));
  ASSERT_TRUE (wait_until_run (site, "innocent2"));
  Sending other (site.gateways[0], other_stream ("other"));
  ASSERT_TRUE (wait_until_run (site, "other"));
  exit_and_restart (site, *site.engines[0].target);
  expect_served (site, innocent_stream);
}

// Guards against the same when a sidecar has restarted since, which does not
// know what its predecessor let start.
TEST (Innocent, StartBeforeARestartOfTheSidecarIsNotAlone)
{
  Site site (1, 0, 1);
  make_suspect (site);
  Sending innocent (site.gateways[0], innocent_stream (2));
  ASSERT_TRUE (wait_until_run (site, "innocent2"));
  site.restart (&site.engines[0].sidecar, SIGKILL);
  std::vector<std::unique_ptr<Sending>> others;
  // Those that wait for the sidecar may take all places, so any of them
  // counts.
  bool has_other_started = Site::wait_for ([&] {
    others.push_back (std::make_unique<Sending> (
        site.gateways[0],
        other_stream ("other" + std::to_string (others.size ()))));
    std::this_thread::sleep_for (milliseconds (100));
    bool has_any = false;
    for (size_t i = 0; i < others.size (); i++)
      has_any = has_any || site.runs_of ("other" + std::to_string (i)) > 0;
    return has_any;
  });
  if (!has_other_started)
    site.print_logs (kLogLines);
  ASSERT_TRUE (has_other_started);
  exit_and_restart (site, *site.engines[0].target);
  expect_served (site, innocent_stream);
}

// Guards against a request that counts as the cause of an end because it
// started alone at an engine that another one had just hung.
TEST (Innocent, StartAtAnEngineThatHangsIsNotAlone)
{
  Site site (1, 0, 1);
  make_suspect (site);
  Target &engine = *site.engines[0].target;
  engine.fail_next ({ Fault::RESET_BEFORE_ANSWER });
  {
    Sending fatal (site.gateways[0], other_stream ("fatal"));
    fatal.join ();
    engine.is_hung = true;
    Sending innocent (site.gateways[0], innocent_stream (2));
    std::this_thread::sleep_for (milliseconds (400));
    engine.simulate_exit ();
    engine.is_hung = false;
  }
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  site.restart_ended_targets ();
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  expect_served (site, innocent_stream);
}

// Guards against the same at an engine that another one has just ended, where
// its answer ended with its connection, behind a proxy.
TEST (Innocent, StartAtAnEngineThatHasEndedIsNotAlone)
{
  Proxies proxies;
  Site site (1, 0, 1, &proxies);
  make_suspect (site);
  Target &engine = *site.engines[0].target;
  engine.event_ms = 2;
  engine.crash_on_path ("/once/fatal");
  for (int attempt = 2; attempt < 6; attempt++)
    {
      // No start is in doubt, and the engine has been asked for its state.
      std::this_thread::sleep_for (milliseconds (kEndKnownMs));
      engine.crash_answer = CrashAnswer::WHOLE;
      send_call (site.gateways[0], other_stream ("fatal"));
      std::this_thread::sleep_for (milliseconds (kStartMs));
      Message answer = send_call (site.gateways[0], innocent_stream (attempt));
      EXPECT_NE (answer.body, "quarantined");
      std::this_thread::sleep_for (milliseconds (kEndKnownMs));
      site.restart_ended_targets ();
      std::this_thread::sleep_for (milliseconds (kEndKnownMs));
    }
  expect_served (site, innocent_stream);
}

// Guards against an answer without a length that is never confirmed because
// the list doesn't name the incarnation that gave it, and counts as broken off
// when that one ends later.
TEST (Innocent, ClosedAnswerOfAnUnlistedIncarnationIsConfirmed)
{
  Site site (1, 0, 1);
  Target &engine = make_suspect_of_closing_engine (site);
  ASSERT_NO_FATAL_FAILURE (restart_unlisted (site, "i-unlisted"));
  EXPECT_EQ (send_call (site.gateways[0], innocent_stream (2)).status, 200);
  // Reports may be late, and show only then that the engine lives on.
  std::this_thread::sleep_for (milliseconds (4 * kEndKnownMs));
  exit_and_restart (site, engine);
  expect_served (site, innocent_stream);
}

// Guards against a request that counts as the cause of an end because reports
// that show that its engine had lived on after its answer may be late.
TEST (Innocent, EndOfAnEngineThatLivedOnIsNotOfAnEarlierAnswer)
{
  Site site (1, 0, 1);
  Target &engine = make_suspect_of_closing_engine (site);
  EXPECT_EQ (send_call (site.gateways[0], innocent_stream (2)).status, 200);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  exit_and_restart (site, engine);
  expect_served (site, innocent_stream);
}

// Guards against the same when another request ends the engine just after the
// answer.
TEST (Innocent, EndByTheNextRequestIsNotOfAnEarlierAnswer)
{
  Site site (1, 0, 1);
  Target &engine = make_suspect_of_closing_engine (site);
  engine.crash_on_path ("/once/fatal");
  EXPECT_EQ (send_call (site.gateways[0], innocent_stream (2)).status, 200);
  send_call (site.gateways[0], other_stream ("fatal"));
  EXPECT_EQ (engine.crash_count, 1);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  site.restart_ended_targets ();
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  expect_served (site, innocent_stream);
}

// Guards against a request that stays suspected after its answer, and is
// refused because engines rest after its start alone.
TEST (Innocent, AnswerClearsOnceItsEngineHasLivedOn)
{
  Site site (1, 0, 1);
  make_suspect_of_closing_engine (site);
  EXPECT_EQ (send_call (site.gateways[0], innocent_stream (2)).status, 200);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  Message answer = send_call (site.gateways[0], innocent_stream (3));
  EXPECT_EQ (answer.status, 200) << answer.body;
}

// Guards against a whole answer of an incarnation that counts as broken off
// because the list names an earlier one then.
TEST (Innocent, AnswerOfALaterIncarnationThanTheListedOneIsNoEnd)
{
  Site site (1, 0, 1);
  Target &engine = make_suspect_of_closing_engine (site);
  restart_unlisted (site, "i-first");
  Incarnation first = engine.incarnation ();
  restart_unlisted (site, "i-second");
  EXPECT_EQ (send_call (site.gateways[0], innocent_stream (2)).status, 200);
  site.list_incarnation (0, first);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  expect_served (site, innocent_stream);
}

// Guards against the same when the list names the earlier incarnation after
// the one that gave the answer.
TEST (Innocent, AnswerOfAnIncarnationIsNoEndWhenAnEarlierOneIsListed)
{
  Site site (1, 0, 1);
  Target &engine = make_suspect_of_closing_engine (site);
  restart_unlisted (site, "i-first");
  Incarnation first = engine.incarnation ();
  restart_unlisted (site, "i-second");
  site.list_engine (0);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  EXPECT_EQ (send_call (site.gateways[0], innocent_stream (2)).status, 200);
  site.list_incarnation (0, first);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  expect_served (site, innocent_stream);
}

// Guards against the same when the list names it while the answer is under
// way.
TEST (Innocent, AnswerIsNoEndWhenAnEarlierIncarnationIsListedMeanwhile)
{
  Site site (1, 0, 1);
  make_suspect (site);
  Target &engine = *site.engines[0].target;
  engine.is_unframed = true;
  restart_unlisted (site, "i-first");
  Incarnation first = engine.incarnation ();
  restart_unlisted (site, "i-second");
  site.list_engine (0);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  engine.event_ms = 2 * kEndKnownMs;
  engine.events = 1;
  Sending innocent (site.gateways[0], innocent_stream (2));
  ASSERT_TRUE (wait_until_run (site, "innocent2"));
  site.list_incarnation (0, first);
  innocent.join ();
  EXPECT_EQ (innocent.answer.status, 200);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  expect_served (site, innocent_stream);
}

// Guards against a request that counts as the cause of an end because the
// incarnation that it was sent to was listed while it ran there.
TEST (Innocent, BreakAtAnIncarnationThatIsListedMeanwhileIsNoEnd)
{
  Site site (1, 0, 1);
  make_suspect (site);
  Target &engine = *site.engines[0].target;
  engine.event_ms = 2;
  restart_unlisted (site, "i-next");
  // This gateway has heard of the listed incarnation from the list alone.
  site.restart (&site.gateways[0].daemon, SIGKILL);
  ASSERT_TRUE (site.wait_ready ());
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  engine.event_ms = 2 * kEndKnownMs;
  Sending innocent (site.gateways[0], innocent_stream (2));
  ASSERT_TRUE (wait_until_run (site, "innocent2"));
  site.list_engine (0);
  engine.break_streams (StreamBreak::UNREAD);
  innocent.join ();
  expect_served (site, innocent_stream);
}

// Guards against resets that count as ends of engines because an earlier
// incarnation at the same address had ended, which the list still names.
TEST (Innocent, ResetsAtIncarnationsListedLateAreNoEnds)
{
  Site site (3, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (Engine &engine : site.engines)
    {
      engine.target->restart (engine.target->id () + "-new");
      ASSERT_TRUE (Site::wait_identified (engine, engine.target->id ()));
    }
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  for (int attempt = 0; attempt < 3; attempt++)
    {
      // The attempt is reset by whichever engine gets it, and by no other.
      size_t reset = (size_t)attempt;
      for (size_t i = 0; i < site.engines.size (); i++)
        site.engines[i].target->set_leaving (i != reset);
      std::this_thread::sleep_for (milliseconds (kEndKnownMs));
      site.engines[reset].target->fail_next ({ Fault::RESET_BEFORE_ANSWER });
      send_call (site.gateways[0], innocent_stream (attempt));
    }
  for (Engine &engine : site.engines)
    engine.target->set_leaving (false);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  expect_served (site, innocent_stream);
}

// Guards against a request that counts as the cause of an end because it was
// sent to a plain target that had already ended, behind a proxy that accepts
// connections for it.
TEST (Innocent, RequestsToAnEndedPlainTargetAreNotAlone)
{
  Proxies proxies;
  Site site (1, 1, 2, &proxies);
  ASSERT_TRUE (site.wait_ready ());
  for (int life = 0; life < 3; life++)
    {
      site.plain[0]->simulate_exit ();
      for (int i = 0; i < 4; i++)
        {
          send_call (site.gateways.back (), innocent_plain (10 * life + i));
          std::this_thread::sleep_for (milliseconds (120));
        }
      site.restart_ended_targets ();
      std::this_thread::sleep_for (milliseconds (kEndKnownMs));
    }
  expect_served (site, innocent_plain);
}

// Guards against a request that counts as the cause of the end of a plain
// target that had ended before, because another incarnation, which the list
// does not name yet, answered the health request at its address.
TEST (Innocent, RequestsToAnEndedIncarnationThatIsStillListedAreNotAlone)
{
  Proxies proxies;
  Site site (1, 1, 1, &proxies);
  make_plain_suspect (site, 2);
  Target &target = *site.plain[0];
  std::string listed_id = target.id ();
  target.restart ("i-unlisted");
  // The gateway learns that the listed incarnation has ended.
  EXPECT_EQ (send_call (site.gateways[0], other_unsafe ("third")).status, 503);
  std::this_thread::sleep_for (milliseconds (kEndKnownMs));
  target.ends_after_health = true;
  send_call (site.gateways[0], innocent_unsafe (2));
  site.remove ("servers/" + listed_id);
  exit_and_restart (site, target);
  expect_served (site, innocent_unsafe);
}

// Guards against a target that counts as listed and alive after another
// incarnation has answered a health request at its address.
TEST (Innocent, HealthResponseOfAnotherIncarnationProvesAnEnd)
{
  Proxies proxies;
  Site site (1, 1, 1, &proxies);
  make_plain_suspect (site, 1);
  std::string listed_id = site.plain[0]->id ();
  site.plain[0]->restart ("i-unlisted");
  EXPECT_EQ (send_call (site.gateways[0], innocent_unsafe (1)).body,
             "target_silent");
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "target_ended", listed_id, "misdirected" })
                .empty ();
  }));
}

// Guards against a health response that still counts as a proof after a
// request has broken off at the plain target.
TEST (Innocent, HealthResponseBeforeABreakProvesNothing)
{
  Proxies proxies;
  Site site (1, 1, 1, &proxies);
  make_plain_suspect (site, 1);
  site.plain[0]->ends_after_health = true;
  EXPECT_EQ (send_call (site.gateways[0], innocent_unsafe (2)).body, "reset");
  EXPECT_EQ (send_call (site.gateways[0], innocent_unsafe (3)).body,
             "target_silent");
}

// Guards against a request that counts as the cause of the end of a plain
// target because it was alone there among the requests of its gateway.
TEST (Innocent, OneEndOfAPlainTargetAloneAtOneGatewayProvesNothing)
{
  Proxies proxies;
  Site site (1, 1, 2, &proxies);
  make_plain_suspect (site, 2);
  Target &target = *site.plain[0];
  target.answer_ms = kAnswerMs;
  target.crash_on_path ("/fatal");
  {
    Sending innocent (site.gateways[0], innocent_unsafe (2));
    ASSERT_TRUE (wait_until_run (site, "innocent2"));
    send_call (site.gateways[1], plain_call ("fatal", "/unsafe/fatal"));
    exit_and_restart (site, target);
  }
  target.answer_ms = 0;
  expect_served (site, innocent_unsafe);
}

} // namespace
} // namespace relay
