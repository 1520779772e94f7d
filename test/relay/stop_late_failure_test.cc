// Requests at a gateway that stops which take longer than is left of its
// grace.
#include <gtest/gtest.h>

#include <signal.h>

#include <fstream>
#include <sstream>

#include "site.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Routes whose timeout is longer than any grace here.
constexpr char kSlowRoutes[]
    = ",{\"Name\":\"late\",\"Host\":\"a.example\",\"Prefix\":\"/late/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"TargetLatencyMs\":150,"
      "\"Priority\":2,\"Service\":\"maps\",\"MaxAttempts\":1}"
      ",{\"Name\":\"lonce\",\"Host\":\"a.example\",\"Prefix\":\"/lonce/\","
      "\"Kind\":\"unsafe\",\"TimeoutMs\":20000,\"TargetLatencyMs\":150,"
      "\"Priority\":2,\"Service\":\"maps\",\"MaxAttempts\":1}";
constexpr int kDeadlineMs = 20000;
/// No request is sent in the last part of the grace, in which the process
/// exits.
constexpr int kExitMs = 600;
constexpr size_t kSendEveryMs = 100;
/// Idle connections stay open for longer than this.
constexpr size_t kKeptMs = 2000;

/// Requests on their way when a gateway exits, which reset them.
constexpr int kMaxCrossing = 1;

/// A request and its answer.
struct Sent
{
  std::string id;
  int status = -1; ///< Zero: none; negative: not sent.
};

struct Counts
{
  int served = 0;
  int refused = 0;
  int failed = 0;
  int cut = 0;     ///< Passed on, and no answer.
  int unheard = 0; ///< Not passed on, and no answer.
  int refused_and_run = 0;
};

void
set_grace (Site &site, size_t gateway, double grace_s)
{
  const std::string old = "\"grace_s\":";
  const std::string &path = site.gateways[gateway].daemon.settings_path;
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  std::string settings = text.str ();
  size_t from = settings.find (old) + old.size ();
  std::ostringstream value;
  value << grace_s;
  settings.replace (from, settings.find (',', from) - from, value.str ());
  std::ofstream (path) << settings;
}

/// Restart the gateways with these graces, and configure the slow routes.
bool
prepare (Site &site, const std::vector<double> &graces_s)
{
  site.write_config (2, kSlowRoutes);
  for (size_t i = 0; i < graces_s.size (); i++)
    {
      set_grace (site, i, graces_s[i]);
      site.restart (&site.gateways[i].daemon, SIGKILL);
    }
  if (!site.wait_ready ())
    return false;
  for (const Gateway &gateway : site.gateways)
    if (!Site::wait_for ([&] {
          return send_call (gateway, plain_call ("warm", "/late/warm")).status
                 == 200;
        }))
      return false;
  return true;
}

Call
slow_call (const std::string &id, bool is_safe)
{
  Call call = plain_call (id, (is_safe ? "/late/" : "/lonce/") + id);
  call.method = is_safe ? "GET" : "POST";
  call.deadline_ms = kDeadlineMs;
  return call;
}

/// Send on a connection and read the answer.
void
exchange (std::unique_ptr<Connection> connection, const Call &call, Sent *sent)
{
  sent->id = call.id;
  if (connection == nullptr || !connection->write (call.text ()))
    return;
  Message answer = connection->read_response (kDeadlineMs);
  sent->status = answer.is_complete ? answer.status : 0;
}

/// Open a connection that has carried a request.
std::unique_ptr<Connection>
keep (const Gateway &gateway, const std::string &id)
{
  auto connection = dial (gateway.address);
  if (connection != nullptr && connection->write (plain_call (id).text ()))
    connection->read_response ();
  return connection;
}

Counts
count (Site &site, const std::vector<Sent> &all)
{
  Counts c;
  for (const Sent &sent : all)
    {
      int runs = site.runs_of (sent.id);
      c.served += sent.status == 200;
      c.refused += sent.status == 503;
      c.failed += sent.status == 502 || sent.status == 504;
      c.cut += sent.status == 0 && runs > 0;
      c.unheard += sent.status == 0 && runs == 0;
      c.refused_and_run += sent.status == 503 && runs > 0;
    }
  return c;
}

/// A stop of one gateway, and the requests that are sent all through its
/// grace: alternately safe and unsafe, on new and, while idle connections stay
/// open, on kept connections.
struct Stop
{
  Site *site;
  size_t at;
  double grace_s;
  std::vector<Sent> sent;
  std::vector<std::unique_ptr<Connection>> kept;

  Stop (Site &its_site, size_t gateway, double its_grace_s)
      : site (&its_site), at (gateway), grace_s (its_grace_s),
        sent ((size_t)(its_grace_s * 1000 - kExitMs) / kSendEveryMs),
        kept (sent.size ())
  {
    for (size_t i = 0; i < sent.size () && i * kSendEveryMs < kKeptMs; i += 2)
      kept[i] = keep (site->gateways[at], id ("k", i));
  }
  std::string
  id (const std::string &prefix, size_t i) const
  {
    return prefix + std::to_string (at) + "-" + std::to_string (i);
  }
  void
  run ()
  {
    const Gateway &gateway = site->gateways[at];
    std::vector<std::thread> callers;
    auto start = steady_clock::now ();
    for (size_t i = 0; i < sent.size (); i++)
      {
        // The first two are there when the stop begins.
        if (i == 2)
          kill (gateway.daemon.pid, SIGTERM);
        std::this_thread::sleep_until (start
                                       + milliseconds (kSendEveryMs * i));
        auto connection = kept[i] != nullptr ? std::move (kept[i])
                                             : dial (gateway.address);
        callers.emplace_back (exchange, std::move (connection),
                              slow_call (id ("r", i), i / 2 % 2 == 0),
                              &sent[i]);
      }
    for (std::thread &caller : callers)
      caller.join ();
  }
};

/// @param answer_ms  What targets take.
Counts
stop_all_under_requests (Site &site, const std::vector<double> &graces_s,
                         int answer_ms)
{
  std::vector<Stop> stops;
  for (size_t i = 0; i < graces_s.size (); i++)
    stops.emplace_back (site, i, graces_s[i]);
  site.plain[0]->answer_ms = answer_ms;
  std::vector<std::thread> threads;
  for (Stop &stop : stops)
    threads.emplace_back ([&stop] { stop.run (); });
  for (std::thread &thread : threads)
    thread.join ();
  Counts all;
  for (const Stop &stop : stops)
    {
      Counts c = count (site, stop.sent);
      printf (
          "grace %g s: %zu sent, %d served, %d refused, %d failed, %d cut, "
          "%d unheard, %d refused and run\n",
          stop.grace_s, stop.sent.size (), c.served, c.refused, c.failed,
          c.cut, c.unheard, c.refused_and_run);
      all.served += c.served;
      all.refused += c.refused;
      all.failed += c.failed;
      all.cut += c.cut;
      all.unheard += c.unheard;
      all.refused_and_run += c.refused_and_run;
    }
  return all;
}

// Guards against a stop that cuts the connection of a request at a target
// which takes longer than the grace.
TEST (StopLate, RequestsThatOutlastTheGraceAreAnswered)
{
  const std::vector<double> graces_s = { 1, 2, 3, 4, 8 };
  Site site (0, 1, 5);
  ASSERT_TRUE (prepare (site, graces_s));
  Counts c = stop_all_under_requests (site, graces_s, 9000);
  EXPECT_EQ (c.cut, 0);
  EXPECT_LE (c.unheard, kMaxCrossing * (int)graces_s.size ());
  EXPECT_EQ (c.refused_and_run, 0);
  EXPECT_GT (c.failed, 0);
}

// Guards against a request that is passed on so late in the grace that its
// answer comes after the exit, by what its route has taken before.
TEST (StopLate, RequestsWithoutTimeForTheirAnswerAreRefused)
{
  constexpr int kAnswerMs = 700;
  const std::vector<double> graces_s = { 2, 3, 4, 8 };
  Site site (0, 1, 4);
  ASSERT_TRUE (prepare (site, graces_s));
  site.plain[0]->answer_ms = kAnswerMs;
  std::vector<std::thread> callers;
  for (size_t g = 0; g < site.gateways.size (); g++)
    for (int kind = 0; kind < 2; kind++)
      callers.emplace_back ([&site, g, kind] {
        for (int i = 0; i < 8; i++)
          {
            std::string id = "w" + std::to_string (g) + std::to_string (kind)
                             + std::to_string (i);
            send_call (site.gateways[g], slow_call (id, kind == 0));
          }
      });
  for (std::thread &caller : callers)
    caller.join ();
  site.plain[0]->answer_ms = 0;
  Counts c = stop_all_under_requests (site, graces_s, kAnswerMs);
  EXPECT_EQ (c.cut, 0);
  EXPECT_LE (c.unheard, kMaxCrossing * (int)graces_s.size ());
  EXPECT_EQ (c.failed, 0);
  EXPECT_EQ (c.refused_and_run, 0);
  // Requests are taken for the first three seconds of the longest grace.
  EXPECT_GE (c.served, 30);
}

/// Send the head before the stop, the body in pieces until `end_ms` of it.
/// @param is_complete  Whether the last piece is sent.
Sent
send_body_into_stop (Site &site, int end_ms, bool is_complete)
{
  constexpr int kPieceMs = 500;
  Call call = slow_call ("body" + std::to_string (end_ms), false);
  call.body = std::string ((size_t)(end_ms / kPieceMs), 'b');
  std::string text = call.text ();
  auto connection = dial (site.gateways[0].address);
  size_t from = text.size () - call.body.size ();
  if (connection == nullptr || !connection->write (text.substr (0, from)))
    return {};
  std::this_thread::sleep_for (milliseconds (100));
  kill (site.gateways[0].daemon.pid, SIGTERM);
  for (; from < text.size (); from++)
    {
      std::this_thread::sleep_for (milliseconds (kPieceMs));
      if (from + 1 < text.size () || is_complete)
        connection->write (text.substr (from, 1));
    }
  Message answer = connection->read_response ();
  return { call.id, answer.is_complete ? answer.status : 0 };
}

// Guards against a request that began before the stop and is passed on when
// its body ends late in the grace.
TEST (StopLate, BodyThatEndsLateIsRefused)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (prepare (site, { 6 }));
  site.plain[0]->answer_ms = 3000;
  Sent sent = send_body_into_stop (site, 5000, true);
  EXPECT_EQ (sent.status, 503);
  EXPECT_EQ (site.runs_of (sent.id), 0);
}

// Guards against a stop that cuts the connection of a caller whose body is
// still on its way.
TEST (StopLate, BodyThatDoesNotEndIsRefused)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (prepare (site, { 4 }));
  Sent sent = send_body_into_stop (site, 3500, false);
  EXPECT_EQ (sent.status, 503);
  EXPECT_EQ (site.runs_of (sent.id), 0);
}

// Guards against a request that waits for a place when the gateway exits, and
// is cut with no answer.
TEST (StopLate, RequestsThatWaitForAPlaceAreRefused)
{
  constexpr int kCallers = 6;
  constexpr int kEventMs = 1000;
  Site site (1, 0, 1);
  site.engine_slots = 1;
  site.write_config (2, "", 20000);
  site.list_engine (0);
  set_grace (site, 0, 4);
  site.restart (&site.gateways[0].daemon, SIGKILL);
  ASSERT_TRUE (site.wait_ready ());
  ASSERT_TRUE (Site::wait_for ([&] {
    return send_call (site.gateways[0], stream_call ("warm", "")).status
           == 200;
  }));
  site.engines[0].target->event_ms = kEventMs;
  std::vector<Sent> sent (kCallers);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; i++)
    {
      Call call = stream_call ("s" + std::to_string (i), "", i % 2 == 0);
      call.deadline_ms = kDeadlineMs;
      callers.emplace_back (exchange, dial (site.gateways[0].address), call,
                            &sent[(size_t)i]);
    }
  std::this_thread::sleep_for (milliseconds (500));
  kill (site.gateways[0].daemon.pid, SIGTERM);
  for (std::thread &caller : callers)
    caller.join ();
  Counts c = count (site, sent);
  printf ("%d served, %d refused, %d failed, %d begun and cut, %d unheard\n",
          c.served, c.refused, c.failed, c.cut, c.unheard);
  EXPECT_GT (c.refused, 0);
  EXPECT_EQ (c.unheard, 0);
  EXPECT_EQ (c.refused_and_run, 0);
}

// Guards against a pipelined request that is passed on behind the last answer
// of a connection.
TEST (StopLate, RequestBehindTheLastAnswerIsNotPassedOn)
{
  constexpr int kRounds = 10;
  Site site (0, 1, 1);
  ASSERT_TRUE (prepare (site, { 6 }));
  site.plain[0]->answer_ms = 100;
  std::vector<std::unique_ptr<Connection>> kept;
  for (int i = 0; i < kRounds; i++)
    kept.push_back (keep (site.gateways[0], "p" + std::to_string (i)));
  kill (site.gateways[0].daemon.pid, SIGTERM);
  int first_unanswered = 0;
  int second_runs = 0;
  for (int i = 0; i < kRounds; i++)
    {
      std::string id = std::to_string (i);
      std::string both = slow_call ("first" + id, false).text ()
                         + slow_call ("second" + id, false).text ();
      ASSERT_NE (kept[i], nullptr);
      ASSERT_TRUE (kept[i]->write (both));
      Message answer = kept[i]->read_response ();
      first_unanswered
          += answer.status != 200 || answer.header ("connection") != "close";
      std::this_thread::sleep_for (milliseconds (50));
      second_runs += site.runs_of ("second" + id) > 0;
    }
  EXPECT_EQ (first_unanswered, 0);
  EXPECT_EQ (second_runs, 0);
}

// Guards against a grace that is shortened during the stop, and a second
// SIGTERM, whose end cuts what is open.
TEST (StopLate, GraceThatIsShortenedDuringTheStopIsKept)
{
  constexpr int kNewGraceMs = 3000;
  Site site (0, 1, 1);
  ASSERT_TRUE (prepare (site, { 20 }));
  site.plain[0]->answer_ms = 5000;
  pid_t pid = site.gateways[0].daemon.pid;
  Sent sent;
  std::thread caller (exchange, dial (site.gateways[0].address),
                      slow_call ("open", false), &sent);
  ASSERT_TRUE (Site::wait_for ([&] { return site.runs_of ("open") == 1; }));
  auto stopped = steady_clock::now ();
  kill (pid, SIGTERM);
  std::this_thread::sleep_for (milliseconds (500));
  kill (pid, SIGTERM);
  set_grace (site, 0, kNewGraceMs / 1000.0);
  kill (pid, SIGHUP);
  caller.join ();
  auto took = steady_clock::now () - stopped;
  EXPECT_EQ (sent.status, 504);
  EXPECT_LE (took, milliseconds (kNewGraceMs));
}

} // namespace
} // namespace relay
