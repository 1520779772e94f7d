// Targets that refuse requests and ask a gateway for a pause.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// Start of a pause, in which a gateway may still send.
constexpr int kReactionMs = 500;
/// Requests of one gateway that may arrive within the rest of a pause.
constexpr int kMaxWithinPause = 2;
constexpr double kPauseS = 3;
constexpr int kPauseMs = (int)(kPauseS * 1000);

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

/// Arrival times of requests, by the gateway that sent them.
std::map<std::string, std::vector<Moment>>
arrivals_by_gateway (const std::vector<Message> &requests)
{
  std::map<std::string, std::vector<Moment>> moments;
  for (const Message &request : requests)
    {
      // Callers put the name of their gateway into their ids.
      std::string id = request.header ("x-knapweedbay-attempt-id");
      moments[id.substr (0, id.find ('-'))].push_back (request.received_at);
    }
  for (auto &[gateway, of_gateway] : moments)
    std::sort (of_gateway.begin (), of_gateway.end ());
  return moments;
}

/// The most requests of a gateway within any pause that it was asked for.
int
max_within_pause (Target &target, int pause_ms = kPauseMs)
{
  auto arrivals = arrivals_by_gateway (target.requests ());
  size_t most = 0;
  for (const auto &[gateway, pause_times] :
       arrivals_by_gateway (target.refused_with_pause ()))
    for (Moment paused_from : pause_times)
      {
        const auto &moments = arrivals[gateway];
        auto from
            = std::upper_bound (moments.begin (), moments.end (),
                                paused_from + milliseconds (kReactionMs));
        auto to = std::lower_bound (from, moments.end (),
                                    paused_from + milliseconds (pause_ms));
        most = std::max (most, (size_t)(to - from));
      }
  return (int)most;
}

/// What a pausing target received, in ms since its first refusal, and what the
/// gateways logged about its pauses.
std::string
describe_pauses (Site &site, Target &target)
{
  std::ostringstream out;
  std::vector<Message> refused = target.refused_with_pause ();
  if (refused.empty ())
    return "no pause was requested";
  auto add_times
      = [&] (const std::string &title, const std::vector<Message> &requests) {
          for (const auto &[gateway, moments] : arrivals_by_gateway (requests))
            {
              out << title << " of " << gateway << " at ms:";
              for (Moment at : moments)
                out << ' '
                    << std::chrono::duration<double, std::milli> (
                           at - refused[0].received_at)
                           .count ();
              out << '\n';
            }
        };
  add_times ("refused", refused);
  std::vector<Message> arrived;
  for (const Message &request : target.requests ())
    if (request.received_at >= refused[0].received_at)
      arrived.push_back (request);
  add_times ("arrived", arrived);
  for (const Gateway &gateway : site.gateways)
    for (const char *event :
         { "target_paused", "sidecar_lost", "target_listed", "target_gone" })
      for (const std::string &line :
           site.log_lines (gateway.daemon, { event }))
        out << line << '\n';
  return out.str ();
}

/// Load a service in which one target refuses all requests.
void
expect_pauses_kept (Site &site, Target &pausing,
                    Call (*call_of) (const std::string &))
{
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (8);
  int before = (int)pausing.requests ().size ();
  pausing.pause_s = kPauseS;
  Load load (&site, call_of, 4, 10);
  std::this_thread::sleep_for (milliseconds (2 * kPauseMs + 1000));
  Load::Counts counts = load.stop ();
  EXPECT_LE (max_within_pause (pausing), kMaxWithinPause)
      << describe_pauses (site, pausing);
  // It is tried again after each pause.
  EXPECT_GE ((int)pausing.requests ().size () - before, 2);
  EXPECT_EQ (counts.refused + counts.other, 0);
}

// Guards against a pause that ends with the request that was refused.
TEST (Pause, EngineGetsNoRequestsDuringItsPause)
{
  Site site (3, 0, 2);
  expect_pauses_kept (site, *site.engines[0].target, stream);
}

// Guards against the same at a plain target, which has no sidecar.
TEST (Pause, PlainTargetGetsNoRequestsDuringItsPause)
{
  Site site (1, 3, 2);
  expect_pauses_kept (site, *site.plain[0], plain);
}

// Guards against a pause that ends a fraction of a millisecond early.
TEST (Pause, IsNotShorterThanRequested)
{
  constexpr int short_pause_ms = 100;
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.plain[0];
  target.pause_s = short_pause_ms / 1000.0;
  Load load (&site, plain, 1, 0);
  std::this_thread::sleep_for (milliseconds (5000));
  load.stop ();
  std::vector<Moment> arrivals = arrivals_at (target);
  ASSERT_GE (arrivals.size (), 10);
  for (size_t i = 1; i < arrivals.size (); i++)
    {
      auto gap = std::chrono::duration_cast<std::chrono::microseconds> (
          arrivals[i] - arrivals[i - 1]);
      EXPECT_GE (gap.count (), short_pause_ms * 1000);
    }
}

// Guards against callers that wait, or get no retry-after time, while all
// targets pause.
TEST (Pause, RefusedAtOnceWithRetryAfterWhenAllTargetsPause)
{
  Site site (2, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    engine.target->pause_s = 5;
  for (const auto &target : site.plain)
    target->pause_s = 5;
  for (auto call_of : { stream, plain })
    {
      send_call (site.gateways[0], call_of ("first"));
      for (int i = 0; i < 10; i++)
        {
          Moment began = std::chrono::steady_clock::now ();
          Message answer
              = send_call (site.gateways[0], call_of (std::to_string (i)));
          EXPECT_EQ (answer.status, 503);
          EXPECT_LE (std::chrono::steady_clock::now () - began,
                     milliseconds (300));
          // The rest of the pause, and up to as much again as jitter.
          double after_s = atof (answer.header ("retry-after").c_str ());
          EXPECT_GT (after_s, 2);
          EXPECT_LE (after_s, 10);
          EXPECT_EQ (site.runs_of (std::to_string (i)), 0);
        }
    }
}

// Guards against sending requests that asked for a place before the pause.
TEST (Pause, RequestsWaitingForAPlaceAreNotSent)
{
  Site site (1, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.events = 100;
  engine.event_ms = 10;
  Load load (&site, stream, 16, 10);
  // Eight run, as many wait.
  std::this_thread::sleep_for (milliseconds (500));
  engine.pause_s = kPauseS;
  std::this_thread::sleep_for (milliseconds (kPauseMs + 2000));
  load.stop ();
  EXPECT_LE (max_within_pause (engine), kMaxWithinPause)
      << describe_pauses (site, engine);
  EXPECT_FALSE (
      Site::log_lines (site.gateways[0].daemon, { "target_paused" }).empty ());
}

// Guards against a pause that outlives the incarnation that asked for it.
TEST (Pause, EndsWithTheIncarnationThatRequestedIt)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->pause_s = 60;
  EXPECT_EQ (send_call (site.gateways[0], plain ("a")).status, 503);
  site.plain[0]->pause_s = -1;
  EXPECT_EQ (send_call (site.gateways[0], plain ("b")).status, 503);
  site.plain[0]->restart (site.plain[0]->id ());
  site.list_plain (0);
  EXPECT_TRUE (Site::wait_for (
      [&] { return send_call (site.gateways[0], plain ("c")).status == 200; },
      3000));
}

// Guards against a pause that is kept with an incarnation which is listed
// late.
TEST (Pause, HoldsThoughTheListNamesItsLifeLater)
{
  constexpr int long_pause_ms = 10000;
  Site site (2, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.restart ("i-new");
  ASSERT_TRUE (Site::wait_identified (site.engines[0], "i-new"));
  engine.pause_s = long_pause_ms / 1000.0;
  Load load (&site, stream, 16, 5);
  ASSERT_TRUE (
      Site::wait_for ([&] { return !engine.refused_with_pause ().empty (); }));
  std::this_thread::sleep_for (milliseconds (1000));
  Moment listed = std::chrono::steady_clock::now ();
  site.remove ("servers/i-e0");
  site.list_engine (0);
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "target_listed", "i-new" })
                .empty ();
  }));
  std::this_thread::sleep_for (milliseconds (2000));
  load.stop ();
  EXPECT_LE (max_within_pause (engine, long_pause_ms), kMaxWithinPause);
  EXPECT_EQ (max_arrivals_in_window (arrivals_at (engine), listed, 4000), 0);
}

/// Remove the entry of a target and wait until the gateway has read the list
/// without it.
void
unlist (Site &site, const std::string &id)
{
  site.remove ("servers/" + id);
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon, { "target_gone", id })
                .empty ();
  }));
  std::this_thread::sleep_for (milliseconds (400));
}

// Guards against a pause that is forgotten while the list names neither the
// earlier incarnation of an engine nor the one that asked for it.
TEST (Pause, HoldsThoughTheListNamesNoIncarnationForAWhile)
{
  constexpr int long_pause_ms = 10000;
  Site site (2, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &engine = *site.engines[0].target;
  engine.restart ("i-new");
  ASSERT_TRUE (Site::wait_identified (site.engines[0], "i-new"));
  engine.pause_s = long_pause_ms / 1000.0;
  Load load (&site, stream, 16, 5);
  ASSERT_TRUE (
      Site::wait_for ([&] { return !engine.refused_with_pause ().empty (); }));
  std::this_thread::sleep_for (milliseconds (1000));
  Moment unlisted = std::chrono::steady_clock::now ();
  unlist (site, "i-e0");
  site.list_engine (0);
  std::this_thread::sleep_for (milliseconds (3000));
  load.stop ();
  EXPECT_LE (max_within_pause (engine, long_pause_ms), kMaxWithinPause);
  EXPECT_EQ (max_arrivals_in_window (arrivals_at (engine), unlisted, 4000), 0);
}

// Guards against a pause that is forgotten when the entry of a plain target
// disappears and returns.
TEST (Pause, HoldsThoughAPlainTargetIsUnlistedForAWhile)
{
  constexpr int long_pause_ms = 10000;
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.plain[0];
  target.pause_s = long_pause_ms / 1000.0;
  Load load (&site, plain, 16, 5);
  ASSERT_TRUE (
      Site::wait_for ([&] { return !target.refused_with_pause ().empty (); }));
  std::this_thread::sleep_for (milliseconds (1000));
  Moment unlisted = std::chrono::steady_clock::now ();
  unlist (site, target.id ());
  site.list_plain (0);
  std::this_thread::sleep_for (milliseconds (3000));
  load.stop ();
  EXPECT_LE (max_within_pause (target, long_pause_ms), kMaxWithinPause);
  EXPECT_EQ (max_arrivals_in_window (arrivals_at (target), unlisted, 4000), 0);
}

// Guards against one request that makes all targets unavailable to others:
// each target refuses it and asks for a pause.
TEST (Pause, OneRequestPausesFewTargets)
{
  Site site (1, 8, 1);
  ASSERT_TRUE (site.wait_ready ());
  // Leave room in the retry budget.
  for (int i = 0; i < 20; i++)
    send_call (site.gateways[0], plain ("w" + std::to_string (i)));
  for (const auto &target : site.plain)
    target->pause_on_path ("/plain/huge", 60);
  EXPECT_EQ (
      send_call (site.gateways[0], plain_call ("huge", "/plain/huge")).status,
      503);
  int paused = 0;
  for (const auto &target : site.plain)
    for (const Message &request : target->requests ())
      paused += request.header ("x-knapweedbay-attempt-id") == "huge";
  EXPECT_LE (paused, 3);
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (
        send_call (site.gateways[0], plain ("o" + std::to_string (i))).status,
        200);
}

} // namespace
} // namespace relay
