// A request that ends each target that begins to run it, and that gets some
// bytes before its target ends. Whatever they are, the end counts.
#include <gtest/gtest.h>

#include "fatal.h"

extern "C"
{
#include "coordination/ending.h"
}

namespace relay
{
namespace
{

struct Case
{
  const char *name;
  CrashAnswer answer;
};

std::ostream &
operator<< (std::ostream &out, const Case &c)
{
  return out << c.name;
}

class Endings : public testing::TestWithParam<Case>
{
};

// Guards against the end of an engine that is put down to no request, because
// the request got bytes that are no answer or an error.
TEST_P (Endings, FatalRequestReachesFewEngines)
{
  Site site (6, 0, 2);
  set_crash_answer (site, GetParam ().answer);
  expect_few_after_third (site, fatal_stream, 12);
}

// Guards against the same at plain targets, whose ends only gateways see.
TEST_P (Endings, FatalRequestReachesFewPlainTargets)
{
  Site site (1, 6, 2);
  set_crash_answer (site, GetParam ().answer);
  expect_few_after_third (site, fatal_plain, 12);
}

INSTANTIATE_TEST_SUITE_P (
    Forms, Endings,
    testing::Values (Case{ "NotHttp", CrashAnswer::NOT_HTTP },
                     Case{ "BadChunk", CrashAnswer::BAD_CHUNK },
                     Case{ "EndlessBytes", CrashAnswer::ENDLESS_BYTES },
                     Case{ "EndlessHead", CrashAnswer::ENDLESS_HEAD },
                     Case{ "EndlessBody", CrashAnswer::ENDLESS_BODY },
                     Case{ "Error500", CrashAnswer::ERROR_500 },
                     Case{ "Bare503", CrashAnswer::BARE_503 },
                     Case{ "NoSeal", CrashAnswer::NO_SEAL }),
    [] (const testing::TestParamInfo<Case> &info) {
      return std::string (info.param.name);
    });

// Guards against trials of a suspected request that follow each other before
// it is known whether the last one ended its target.
TEST (Endings, TrialsWaitForTheOutcomeOfTheLastOne)
{
  Site site (0, 6, 1);
  set_crash_answer (site, CrashAnswer::NOT_HTTP);
  ASSERT_TRUE (site.wait_ready ());
  site.crash_on_path ("/fatal");
  int attempt = send_until_ends (site, fatal_plain, 3);
  ASSERT_GE (site.crash_count (), 3);
  std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
  int before = site.crash_count ();
  std::vector<std::thread> callers;
  for (int i = 0; i < 10; i++)
    {
      callers.emplace_back (
          [&, i] { send_call (site.gateways[0], fatal_plain (attempt + i)); });
      std::this_thread::sleep_for (std::chrono::milliseconds (60));
      site.restart_ended_targets ();
    }
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_LE (site.crash_count () - before, kMaxEndsAfterThird);
}

/// Callers whose requests all end with errors.
class FailingCallers
{
public:
  explicit FailingCallers (const Site &site)
  {
    for (int i = 0; i < 8; i++)
      threads_.emplace_back ([this, &site, i] {
        for (int k = 0; !is_done_; k++)
          {
            std::string name = std::to_string (i) + "-" + std::to_string (k);
            send_call (site.gateways[(size_t)k % site.gateways.size ()],
                       plain_call ("f" + name, "/unsafe/error-" + name));
          }
      });
  }
  ~FailingCallers ()
  {
    is_done_ = true;
    for (std::thread &thread : threads_)
      thread.join ();
  }

private:
  std::atomic<bool> is_done_{ false };
  std::vector<std::thread> threads_;
};

// Guards against a fatal request that is forgotten, because many others fail
// before its target is known to have ended.
TEST (Endings, ErrorsOfOthersHideNoFatalRequest)
{
  Site site (6, 2, 2);
  ASSERT_TRUE (site.wait_ready ());
  set_crash_answer (site, CrashAnswer::ERROR_500);
  FailingCallers others (site);
  expect_few_after_third (site, fatal_stream, 12);
}

/// A way in which an attempt of one of the site's requests ends.
struct Row
{
  end_kind_t kind;
  void (*provoke) (Site &site, const std::string &id);
};

Call
unsafe_call (const std::string &id, int deadline_ms = 6000)
{
  Call call = plain_call (id, "/unsafe/" + id);
  call.deadline_ms = deadline_ms;
  return call;
}

Call
unresumable_stream (const std::string &id)
{
  Call call = stream_call (id, "", false);
  call.path = "/once/" + id;
  return call;
}

void
fail_plain (Site &site, const std::string &id, Fault fault)
{
  site.plain[0]->fail_next ({ fault });
  send_call (site.gateways[0], unsafe_call (id));
}

/// Each stream runs at either engine.
void
fail_stream (Site &site, const Call &call, const std::vector<Fault> &faults)
{
  for (const Engine &engine : site.engines)
    engine.target->fail_next (faults);
  send_call (site.gateways[0], call);
  for (const Engine &engine : site.engines)
    engine.target->fail_next ({});
}

void
restart_plain (Site &site, bool is_listed)
{
  site.plain[0]->restart (site.plain[0]->id () + "x");
  if (is_listed)
    site.list_plain (0);
}

/// Let the list catch up with a target that has ended.
void
replace_plain (Site &site)
{
  site.restart_ended_targets ();
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
}

const Row rows[] = {
  { END_ANSWERED,
    [] (Site &site, const std::string &id) {
      send_call (site.gateways[0], unsafe_call (id));
    } },
  { END_CLOSED,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::END_UNFRAMED);
    } },
  { END_FAILED,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::ERROR_500);
    } },
  { END_UNSOUND,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::NO_SEAL);
    } },
  { END_MALFORMED,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::NOT_HTTP);
    } },
  { END_SECOND,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::ANSWER_TWICE_UNFRAMED);
    } },
  { END_REFUSED,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::NOT_RUN);
    } },
  { END_RESET,
    [] (Site &site, const std::string &id) {
      fail_plain (site, id, Fault::RESET_BEFORE_ANSWER);
    } },
  // Only where another target can be chosen.
  { END_SILENT,
    [] (Site &site, const std::string &id) {
      fail_stream (site, stream_call (id, ""), { Fault::HANG });
    } },
  { END_EXPIRED,
    [] (Site &site, const std::string &id) {
      site.plain[0]->fail_next ({ Fault::HANG });
      send_call (site.gateways[0], unsafe_call (id, 400));
    } },
  { END_CALLER_LEFT,
    [] (Site &site, const std::string &id) {
      site.plain[0]->fail_next ({ Fault::HANG });
      auto connection = dial (site.gateways[0].address);
      connection->write (unsafe_call (id).text ());
      Site::wait_for ([&] { return site.runs_of (id) > 0; });
    } },
  { END_OVERSIZED,
    [] (Site &site, const std::string &id) {
      fail_stream (site, unresumable_stream (id), { Fault::ENDLESS_EVENT });
    } },
  { END_CUT,
    [] (Site &site, const std::string &id) {
      fail_stream (site, unresumable_stream (id), { Fault::END_WITHIN_EVENT });
    } },
  { END_DISORDERED,
    [] (Site &site, const std::string &id) {
      StreamScript script;
      script.pieces = numbered_events (1, 3);
      script.pieces.push_back (numbered_event ("2", "e2"));
      for (Engine &engine : site.engines)
        engine.target->plan_streams ([&] (const Message &) {
          return std::optional<StreamScript> (script);
        });
      send_call (site.gateways[0], unresumable_stream (id));
      for (Engine &engine : site.engines)
        engine.target->plan_streams (nullptr);
    } },
  { END_WRONG_ANSWER,
    [] (Site &site, const std::string &id) {
      site.engines[0].target->events = 4000;
      site.engines[1].target->events = 4000;
      Call call = stream_call (id, "");
      auto connection = dial (site.gateways[0].address);
      connection->write (call.text ());
      Site::wait_for ([&] { return site.runs_of (id) > 0; });
      std::this_thread::sleep_for (std::chrono::milliseconds (300));
      bool is_first = site.engines[0].target->runs_of (id) > 0;
      site.engines[is_first].target->fail_next ({ Fault::ERROR_500 });
      site.engines[!is_first].target->simulate_exit ();
      connection->read_response (2000);
      site.restart_ended_targets ();
    } },
  { END_REPLACED,
    [] (Site &site, const std::string &id) {
      site.plain[0]->fail_next ({ Fault::HANG });
      std::thread caller (
          [&] { send_call (site.gateways[0], unsafe_call (id)); });
      Site::wait_for ([&] { return site.runs_of (id) > 0; });
      std::this_thread::sleep_for (std::chrono::milliseconds (1200));
      site.plain[0]->restart (site.plain[0]->id ());
      site.list_plain (0);
      caller.join ();
    } },
  { END_MISDIRECTED,
    [] (Site &site, const std::string &id) {
      restart_plain (site, false);
      send_call (site.gateways[0], unsafe_call (id));
      restart_plain (site, true);
      std::this_thread::sleep_for (std::chrono::milliseconds (500));
    } },
  { END_NOT_SENT,
    [] (Site &site, const std::string &id) {
      site.plain[0]->simulate_exit ();
      send_call (site.gateways[0], unsafe_call (id));
      replace_plain (site);
    } },
};

// Guards against an end of an attempt that counts as something else than its
// row of the table says.
TEST (EndingRows, EachEndCountsAsItsRowSays)
{
  Site site (2, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (4);
  std::set<end_kind_t> seen;
  for (const Row &row : rows)
    {
      const end_row_t *expected = end_row (row.kind);
      std::string id = std::string ("row-") + expected->name;
      row.provoke (site, id);
      std::string evidence = std::string ("\"evidence\":\"")
                             + end_proof_name (expected->proof) + "\"";
      EXPECT_TRUE (Site::wait_for (
          [&] {
            return !Site::log_lines (
                        site.gateways[0].daemon,
                        { "\"id\":\"" + id + "\"", evidence,
                          "\"end\":\"" + std::string (expected->name) + "\"" })
                        .empty ();
          },
          3000))
          << id << " counted as something else than " << evidence;
      seen.insert (row.kind);
    }
  EXPECT_EQ (seen.size (), (size_t)END_COUNT) << "an end is not provoked";
}

// Guards against a request that is taken for the cause of an end, because its
// target had sent it bytes that are no answer long before.
TEST (Endings, RequestOfATargetThatLivedOnIsNotHeld)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  Call plain = plain_call ("", "/unsafe/innocent");
  Call stream = stream_call ("", "", false);
  stream.path = "/once/innocent";
  for (int round = 0; round < 4; round++)
    {
      for (const auto &fault : { Fault::NOT_HTTP, Fault::ERROR_500 })
        {
          std::string name
              = std::to_string (round) + "-" + std::to_string ((int)fault);
          plain.id = "p" + name;
          stream.id = "s" + name;
          site.plain[0]->fail_next ({ fault });
          site.engines[0].target->fail_next ({ fault });
          send_call (site.gateways[0], plain);
          send_call (site.gateways[0], stream);
        }
      std::this_thread::sleep_for (std::chrono::milliseconds (2500));
      site.plain[0]->simulate_exit ();
      site.engines[0].target->simulate_exit ();
      std::this_thread::sleep_for (std::chrono::milliseconds (700));
      site.restart_ended_targets ();
      std::this_thread::sleep_for (std::chrono::milliseconds (700));
    }
  EXPECT_TRUE (
      Site::log_lines (site.gateways[0].daemon, { "request_suspected" })
          .empty ());
  EXPECT_GE (
      Site::log_lines (site.gateways[0].daemon, { "target_ended" }).size (),
      4U);
  // A hold lasts for minutes; the list may be read a moment later.
  EXPECT_TRUE (Site::wait_for ([&] {
    plain.id += "+";
    return send_call (site.gateways[0], plain).status == 200;
  }));
  EXPECT_TRUE (Site::wait_for ([&] {
    stream.id += "+";
    return send_call (site.gateways[0], stream).status == 200;
  }));
}

} // namespace
} // namespace relay
