// Requests with one part in their prompts that crashes each engine which
// begins to answer them. No two are alike, and sound requests share their
// caller and their other parts.
#include <gtest/gtest.h>

#include <signal.h>

#include <algorithm>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// By then the records of a gateway are known to all that reach the platform.
constexpr int kContactMs = 3000;
/// Requests that may still reach engines after the fifth end and kContactMs.
constexpr int kMaxArrivals = 3;
/// Share of their former rate at which sound requests begin at the first
/// attempt, from twice kContactMs after the fifth end on.
constexpr double kMinSoundShare = 0.5;
/// Time until a crashed engine runs again.
constexpr int kRestartMs = 600;

const std::string kShared = "5c1e";
const std::string kBad = "bad0";
const std::string kOtherBad = "bad1";

/// A request whose prompt has these parts, and one of its own.
Call
prompt_call (const std::string &id, const std::vector<std::string> &parts)
{
  Call call = stream_call (id, "");
  call.path = "/resume/" + id;
  call.body = "prompt " + id;
  call.headers = "X-Knapweedbay-Model: m\r\nX-Knapweedbay-Token-Counts: "
                 "100,50\r\nX-Knapweedbay-Prompt-Prefix: ";
  for (const std::string &part : parts)
    call.headers += part + ":40,";
  call.headers += id + ":20\r\n";
  return call;
}

std::string
middle_part (int number)
{
  return "91b" + std::to_string (number % 4);
}

Call
sound_call (const std::string &id)
{
  static std::atomic<int> number{ 0 };
  return prompt_call (id, { kShared, middle_part (number++) });
}

/// Restarts engines a while after they crashed.
class Restarts
{
public:
  explicit Restarts (Site *site) : thread_ ([this, site] { run (site); }) {}
  ~Restarts ()
  {
    is_stopped_ = true;
    thread_.join ();
  }
  /// Moments of the crashes, in order.
  std::vector<steady_clock::time_point>
  crashes ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return crashes_;
  }
  bool
  wait_for_crashes (size_t count, int timeout_ms)
  {
    return Site::wait_for ([&] { return crashes ().size () >= count; },
                           timeout_ms);
  }

private:
  void
  run (Site *site)
  {
    int seen = site->crash_count ();
    while (!is_stopped_)
      {
        auto now = steady_clock::now ();
        {
          std::lock_guard<std::mutex> lock (mutex_);
          for (int count = site->crash_count (); seen < count; seen++)
            crashes_.push_back (now);
        }
        for (size_t i = 0; i < site->engines.size (); i++)
          restart_if_due (site, i, now);
        std::this_thread::sleep_for (milliseconds (10));
      }
  }
  void
  restart_if_due (Site *site, size_t at, steady_clock::time_point now)
  {
    Target &target = *site->engines[at].target;
    if (!target.has_exited ())
      ended_.erase (at);
    else if (ended_.emplace (at, now).first->second + milliseconds (kRestartMs)
             < now)
      site->restart_engine (at);
  }
  std::atomic<bool> is_stopped_{ false };
  std::mutex mutex_;
  std::vector<steady_clock::time_point> crashes_;
  std::map<size_t, steady_clock::time_point> ended_;
  std::thread thread_;
};

/// Sends requests with the bad part, no two alike, through all gateways.
class Poison
{
public:
  Poison (Site *site, Call (*call_of) (int), int interval_ms)
      : site_ (site), call_of_ (call_of),
        thread_ ([this, interval_ms] { run (interval_ms); })
  {
  }
  ~Poison ()
  {
    is_stopped_ = true;
    thread_.join ();
    for (std::thread &caller : callers_)
      caller.join ();
  }

private:
  void
  run (int interval_ms)
  {
    for (int i = 0; !is_stopped_; i++)
      {
        callers_.emplace_back ([this, i] {
          try
            {
              send_call (site_->gateways[i % site_->gateways.size ()],
                         call_of_ (i));
            }
          catch (const std::exception &)
            {
              // The gateway is being restarted.
            }
        });
        std::this_thread::sleep_for (milliseconds (interval_ms));
      }
  }
  Site *site_;
  Call (*call_of_) (int);
  std::atomic<bool> is_stopped_{ false };
  std::vector<std::thread> callers_;
  std::thread thread_;
};

Call
poisoned_call (int number)
{
  return prompt_call ("f" + std::to_string (number),
                      { kShared, kBad, middle_part (number) });
}

/// The same with one of two bad parts.
Call
either_poisoned_call (int number)
{
  return prompt_call (
      "f" + std::to_string (number),
      { kShared, number % 2 == 0 ? kBad : kOtherBad, middle_part (number) });
}

/// The same with a part that no other request has, before its last one.
Call
poisoned_session_call (int number)
{
  return prompt_call ("f" + std::to_string (number),
                      { kShared, kBad, "5e55" + std::to_string (number) });
}

/// The same with the bad part first, so that nobody shares it.
Call
poisoned_first_call (int number)
{
  return prompt_call ("f" + std::to_string (number),
                      { kBad, middle_part (number) });
}

/// @return  Requests with a part that reached engines after a moment.
int
arrivals_after (Site &site, const std::string &part,
                steady_clock::time_point moment)
{
  int count = 0;
  for (const Engine &engine : site.engines)
    for (const Message &request : engine.target->requests_with_part (part))
      count += request.received_at > moment;
  return count;
}

/// What may happen during a series of such requests.
struct Options
{
  int gateways = 4;
  CrashAnswer crash_answer = CrashAnswer::NONE;
  Call (*call_of) (int) = poisoned_call;
  int interval_ms = 250;
  int relist_delay_ms = 0;
  bool has_sound = true;
  std::function<void (Site &)> disturb;
};

/// Send sound requests, then poisoned ones as well, and check both bounds.
void
expect_bounds (const Options &options)
{
  Site site (8, 0, options.gateways);
  ASSERT_TRUE (site.wait_ready ());
  for (const Engine &engine : site.engines)
    engine.target->crash_answer = options.crash_answer;
  std::unique_ptr<Load> sound;
  if (options.has_sound)
    sound = std::make_unique<Load> (&site, sound_call, 16 / options.gateways,
                                    60);
  std::this_thread::sleep_for (milliseconds (500));
  constexpr int calm_ms = 2500;
  int answered = options.has_sound ? sound->counts ().answered : 0;
  std::this_thread::sleep_for (milliseconds (calm_ms));
  double calm_rate = options.has_sound ? (sound->counts ().answered - answered)
                                             * 1000.0 / calm_ms
                                       : 0;
  for (const Engine &engine : site.engines)
    engine.target->crash_on_part (kBad);
  site.relist_delay_ms = options.relist_delay_ms;
  Restarts restarts (&site);
  Poison poison (&site, options.call_of, options.interval_ms);
  ASSERT_TRUE (restarts.wait_for_crashes (3, 8000));
  if (options.disturb)
    options.disturb (site);
  // The bounds count from the fifth, or from the last if there are fewer.
  restarts.wait_for_crashes (5, kContactMs);
  auto crashes = restarts.crashes ();
  auto fifth = crashes[std::min<size_t> (crashes.size (), 5) - 1];
  std::this_thread::sleep_until (fifth + milliseconds (2 * kContactMs));
  answered = options.has_sound ? sound->counts ().answered : 0;
  constexpr int pressed_ms = 6000;
  std::this_thread::sleep_for (milliseconds (pressed_ms));
  EXPECT_LE (arrivals_after (site, kBad, fifth + milliseconds (kContactMs)),
             kMaxArrivals)
      << restarts.crashes ().size () << " crashes in all";
  if (!options.has_sound)
    return;
  double rate = (sound->counts ().answered - answered) * 1000.0 / pressed_ms;
  EXPECT_GE (rate, kMinSoundShare * calm_rate)
      << restarts.crashes ().size () << " crashes in all";
}

// Guards against requests that each crash an engine because no two of them are
// the same, while the part that they share is known to nobody.
TEST (Parts, BadPartReachesFewEnginesThroughOneGateway)
{
  Options options;
  options.gateways = 1;
  expect_bounds (options);
}

// Guards against the same where each gateway sees a few of the crashes.
TEST (Parts, BadPartReachesFewEnginesThroughAnyGateway) { expect_bounds ({}); }

// Guards against the same where the crash follows an event of an answer that
// ends with its connection.
TEST (Parts, BadPartThatGetsAnEventReachesFewEngines)
{
  Options options;
  options.crash_answer = CrashAnswer::WHOLE;
  expect_bounds (options);
}

// Guards against the same where the first part is the bad one.
TEST (Parts, BadFirstPartReachesFewEngines)
{
  Options options;
  options.call_of = poisoned_first_call;
  expect_bounds (options);
}

// Guards against a sound part that is held in place of the bad one because
// no sound request comes.
TEST (Parts, BadPartReachesFewEnginesWithoutSoundRequests)
{
  Options options;
  options.has_sound = false;
  expect_bounds (options);
}

// Guards against gateways that learn of a bad part through the store only.
TEST (Parts, BadPartReachesFewEnginesWhileTheStoreIsAway)
{
  Options options;
  options.disturb = [] (Site &site) {
    site.store.set_mode (Store::RESET);
    site.mirror_store.set_mode (Store::RESET);
  };
  expect_bounds (options);
}

// Guards against a gateway that knows no bad part after its restart.
TEST (Parts, BadPartReachesFewEnginesThroughRestartedGateways)
{
  Options options;
  options.disturb = [] (Site &site) {
    for (Gateway &gateway : site.gateways)
      site.restart (&gateway.daemon, SIGKILL);
  };
  expect_bounds (options);
}

// Guards against a bad part that is never the only one to blame.
TEST (Parts, BadPartBesideUniquePartsReachesFewEngines)
{
  Options options;
  options.call_of = poisoned_session_call;
  expect_bounds (options);
}

// Guards against requests that end all engines before one of them is known.
TEST (Parts, FrequentRequestsWithABadPartReachFewEngines)
{
  Options options;
  options.interval_ms = 60;
  expect_bounds (options);
}

// Guards against proofs that are lost with the sidecars that made them.
TEST (Parts, BadPartReachesFewEnginesWithRestartedSidecars)
{
  Options options;
  options.disturb = [] (Site &site) {
    for (Engine &engine : site.engines)
      site.restart (&engine.sidecar, SIGKILL);
  };
  expect_bounds (options);
}

// Guards against ends that are put down to nobody while the entries of the
// next incarnations are late.
TEST (Parts, BadPartReachesFewEnginesThatAreListedLate)
{
  Options options;
  options.relist_delay_ms = 400;
  expect_bounds (options);
}

// Guards against a sound part that is held for the ends of one request that is
// sent repeatedly, while nothing else with that part is served.
TEST (Parts, RequestThatEndsEnginesHoldsNoPartThatItShares)
{
  Site site (5, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  // By then no part counts as served recently.
  std::this_thread::sleep_for (std::chrono::seconds (11));
  site.crash_on_path ("/fatal");
  Message answer;
  for (int i = 0; i < 20 && answer.body != "quarantined"; i++)
    {
      Call call = prompt_call ("own", { kShared });
      call.id = "fatal" + std::to_string (i);
      call.path = "/resume/fatal";
      answer = send_call (site.gateways[0], call);
      site.restart_ended_targets ();
      std::this_thread::sleep_for (milliseconds (500));
    }
  EXPECT_EQ (answer.body, "quarantined");
  site.crash_on_path ("");
  EXPECT_TRUE (Site::wait_for ([&] {
    answer = send_call (site.gateways[0], sound_call ("sound"));
    return answer.status == 200 || answer.body == "quarantined";
  }));
  EXPECT_EQ (answer.status, 200) << answer.body;
}

// Guards against a bad part that is hidden by another one.
TEST (Parts, TwoBadPartsReachFewEngines)
{
  Site site (8, 0, 4);
  ASSERT_TRUE (site.wait_ready ());
  Load sound (&site, sound_call, 4, 60);
  std::this_thread::sleep_for (milliseconds (500));
  for (const Engine &engine : site.engines)
    engine.target->crash_on_part (kBad.substr (0, 3));
  Restarts restarts (&site);
  Poison poison (&site, either_poisoned_call, 125);
  ASSERT_TRUE (restarts.wait_for_crashes (5, 8000));
  std::this_thread::sleep_for (milliseconds (2 * kContactMs));
  auto from = steady_clock::now ();
  int answered = sound.counts ().answered;
  std::this_thread::sleep_for (milliseconds (6000));
  EXPECT_LE (arrivals_after (site, kBad, from), kMaxArrivals);
  EXPECT_LE (arrivals_after (site, kOtherBad, from), kMaxArrivals);
  EXPECT_GT (sound.counts ().answered, answered);
}

} // namespace
} // namespace relay
