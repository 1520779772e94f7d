/// @file case_extra.cc
/// A faulty replica answers a rejected health check twice; the second answer
/// comes where the response to the next request on that connection is
/// expected.
#include <condition_variable>
#include <cstdio>
#include <thread>

#include "deployment.h"

using namespace review;

namespace
{

constexpr int kRounds = 12;
constexpr int kFlood = 28;
constexpr int kUnsafe = 6;

std::atomic<bool> is_flooding{ false };
std::atomic<bool> is_over{ false };
std::atomic<int> next_id{ 0 };

std::string
new_id (const std::string &prefix)
{
  char text[40];
  snprintf (text, sizeof text, "%s%06d", prefix.c_str (), ++next_id);
  return text;
}

/// A client of the second front, which keeps the replicas full on request.
void
flood (const Front &front)
{
  while (!is_over)
    {
      if (!is_flooding)
        {
          sleep_ms (5);
          continue;
        }
      Call call = { "GET", "/lookup/x", new_id ("look-"), "", "" };
      if (send (front, call).status != 200)
        sleep_ms (60);
    }
}

} // namespace

int
main (int argc, char **argv)
{
  Record record (argc > 1 ? argv[1] : "record.txt");
  Deployment site (2, 1);
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  for (int i = 0; i < 2; i++)
    {
      replicas.push_back (std::make_unique<PlainReplica> (
          site.ip (200 + i), "i-p" + std::to_string (i), 6, 4, &record));
      site.list_plain (*replicas.back ());
    }
  if (!site.wait_ready ())
    return 2;
  replicas[0]->sends_extra_answers = has_trouble ();
  std::vector<std::thread> clients;
  for (int i = 0; i < kFlood; i++)
    clients.emplace_back (flood, std::cref (site.fronts[1]));
  // The budget of retries is empty at a start.
  sleep_ms (4000);
  std::vector<std::string> unsafe_ids;
  std::map<std::string, int> statuses;
  for (int round = 0; round < kRounds; round++)
    {
      // A replica's own 500 makes the front check its health a little later.
      Call lookup = { "GET", "/lookup/fails", new_id ("fail-"), "", "" };
      relay::Message failed = send (site.fronts[0], lookup);
      record.line ("client of front 1: " + lookup.id + " gets "
                   + std::to_string (failed.status));
      is_flooding = true;
      sleep_ms (450);
      is_flooding = false;
      sleep_ms (150);
      std::vector<std::thread> callers;
      std::vector<std::pair<std::string, int>> got (kUnsafe);
      for (int i = 0; i < kUnsafe; i++)
        {
          got[(size_t)i].first = new_id ("once-");
          record.line ("client of front 1 sends " + got[(size_t)i].first);
          callers.emplace_back ([&, i] {
            got[(size_t)i].second
                = send (site.fronts[0], { "POST", "/once/x",
                                          got[(size_t)i].first, "", "tile" })
                      .status;
          });
        }
      for (auto &caller : callers)
        caller.join ();
      for (const auto &[id, status] : got)
        {
          record.line (id + " is answered " + std::to_string (status));
          unsafe_ids.push_back (id);
          statuses[id] = status;
        }
      sleep_ms (1200);
    }
  is_over = true;
  for (auto &client : clients)
    client.join ();
  int twice = 0;
  int falsely_refused = 0;
  for (const auto &id : unsafe_ids)
    {
      int runs = replicas[0]->runs_of (id) + replicas[1]->runs_of (id);
      int status = statuses[id];
      if (runs > 1)
        {
          twice++;
          record.line ("TWICE: " + id + " ran " + std::to_string (runs)
                       + " times");
        }
      if (runs > 0 && (status == 429 || status == 503))
        {
          falsely_refused++;
          record.line ("REFUSED: " + id + " ran, and its client got "
                       + std::to_string (status));
        }
    }
  std::string summary
      = std::to_string (unsafe_ids.size ()) + " unsafe requests, "
        + std::to_string (twice) + " ran twice, "
        + std::to_string (falsely_refused) + " refused though they ran; "
        + std::to_string (replicas[0]->rejected_checks) + " health checks of "
        + "the faulty replica rejected, "
        + std::to_string (replicas[0]->extra_answers) + " of its "
        + std::to_string (replicas[0]->answers) + " answers came twice";
  record.line (summary);
  printf ("%s\n", summary.c_str ());
  if (replicas[0]->rejected_checks == 0
      || (has_trouble () && replicas[0]->extra_answers == 0))
    return 2;
  return twice + falsely_refused > 0 ? 1 : 0;
}
