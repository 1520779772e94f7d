#include "leavers.h"

#include <gtest/gtest.h>

#include <signal.h>

namespace relay
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

/// Time for which callers who are refused come back.
constexpr milliseconds kComeBack{ 5000 };
constexpr milliseconds kComeBackPause{ 100 };

} // namespace

Leavers::Leavers (const std::string &address,
                  std::function<std::string (const std::string &id)> text_of,
                  int count)
    : address_ (address), text_of_ (std::move (text_of)),
      callers_ ((size_t)count)
{
  static int series = 0;
  series++;
  for (int i = 0; i < count; i++)
    callers_[(size_t)i].id
        = "l" + std::to_string (series) + "-" + std::to_string (i);
}

void
Leavers::connect ()
{
  for (Caller &caller : callers_)
    {
      caller.connection = dial (address_);
      ASSERT_NE (caller.connection, nullptr);
    }
}

void
Leavers::connect_served (
    const std::function<std::string (const std::string &id)> &text_of)
{
  connect ();
  for (Caller &caller : callers_)
    ASSERT_TRUE (caller.connection->write (text_of (caller.id + "-first")));
  for (Caller &caller : callers_)
    {
      Message answer = caller.connection->read_response ();
      auto end = std::chrono::steady_clock::now () + kComeBack;
      while (answer.status == 503 && std::chrono::steady_clock::now () < end)
        {
          std::this_thread::sleep_for (kComeBackPause);
          if (answer.header ("connection") == "close")
            caller.connection = dial (address_);
          ASSERT_NE (caller.connection, nullptr);
          caller.connection->write (text_of (caller.id + "-first"));
          answer = caller.connection->read_response ();
        }
      ASSERT_EQ (answer.status, 200) << answer.start << answer.body;
    }
}

void
Leavers::send ()
{
  for (Caller &caller : callers_)
    caller.connection->write (text_of_ (caller.id));
}

void
Leavers::leave (Departure departure, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      Caller &caller = callers_[i];
      if (departure == Departure::CLOSE_AFTER_NEXT)
        caller.connection->write (text_of_ (caller.id + "-next"));
      caller.has_left = true;
      caller.left_at = std::chrono::steady_clock::now ();
      if (departure == Departure::RESET)
        caller.connection->reset ();
      else
        caller.connection->close ();
    }
}

void
Leavers::expect_the_rest_served ()
{
  int stayed = 0;
  int served = 0;
  for (Caller &caller : callers_)
    if (!caller.has_left)
      {
        Message answer = caller.connection->read_response ();
        stayed++;
        served += answer.status == 200;
        if (answer.status != 200)
          printf ("%s: %s %s\n", caller.id.c_str (), answer.start.c_str (),
                  answer.body.c_str ());
      }
  EXPECT_EQ (served, stayed) << "callers who stayed were taken for gone";
}

int
Leavers::count_late (const std::multimap<std::string, Moment> &arrivals) const
{
  int after = 0;
  int late = 0;
  int64_t latest_ms = 0;
  for (const Caller &caller : callers_)
    for (const std::string &id : { caller.id, caller.id + "-next" })
      {
        auto [at, end] = arrivals.equal_range (id);
        for (; caller.has_left && at != end; ++at)
          {
            int64_t late_ms
                = duration_cast<milliseconds> (at->second - caller.left_at)
                      .count ();
            after += late_ms > 0;
            late += late_ms > kGoneBoundMs;
            latest_ms = std::max (latest_ms, late_ms);
          }
      }
  printf ("%zu callers, %d requests reached a target after their callers had "
          "left, %d of them over %d ms after, the latest %d ms\n",
          callers_.size (), after, late, kGoneBoundMs, (int)latest_ms);
  return late;
}

int
Leavers::count_if (
    const std::function<bool (const std::string &id)> &has_property) const
{
  int count = 0;
  for (const Caller &caller : callers_)
    count += has_property (caller.id);
  return count;
}

int
Leavers::count_worked_for (
    const std::multimap<std::string, Moment> &ends) const
{
  int late = 0;
  int64_t latest_ms = 0;
  for (const Caller &caller : callers_)
    {
      auto [at, end] = ends.equal_range (caller.id);
      if (!caller.has_left)
        continue;
      if (at == end)
        {
          late++;
          printf ("%s: work for it isn't known to have ended\n",
                  caller.id.c_str ());
          continue;
        }
      Moment last = at->second;
      for (; at != end; ++at)
        last = std::max (last, at->second);
      int64_t late_ms
          = duration_cast<milliseconds> (last - caller.left_at).count ();
      if (late_ms > kGoneBoundMs)
        printf ("%s: work for it ended after %d ms\n", caller.id.c_str (),
                (int)late_ms);
      late += late_ms > kGoneBoundMs;
      latest_ms = std::max (latest_ms, late_ms);
    }
  printf ("%zu callers, work for %d of them over %d ms after they left, the "
          "latest known end after %d ms\n",
          callers_.size (), late, kGoneBoundMs, (int)latest_ms);
  return late;
}

std::multimap<std::string, Moment>
arrivals_of (const Site &site)
{
  std::multimap<std::string, Moment> arrivals;
  auto add = [&] (Target &target) {
    for (const Message &request : target.requests ())
      arrivals.emplace (request.header ("x-knapweedbay-attempt-id"),
                        request.received_at);
  };
  for (const Engine &engine : site.engines)
    add (*engine.target);
  for (const auto &target : site.plain)
    add (*target);
  return arrivals;
}

std::multimap<std::string, Moment>
ended_work_of (const Site &site)
{
  std::multimap<std::string, Moment> ends;
  for (const auto &target : site.plain)
    ends.merge (target->closed_runs ());
  return ends;
}

bool
has_run (const Site &site, const std::string &attempt_id)
{
  for (const auto &target : site.plain)
    if (target->runs_of (attempt_id) > 0)
      return true;
  return false;
}

Frozen::Frozen (pid_t pid) : pid_ (pid) { kill (pid_, SIGSTOP); }

void
Frozen::go_on ()
{
  kill (pid_, SIGCONT);
}

} // namespace relay
