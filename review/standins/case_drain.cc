/// @file case_drain.cc
/// A replica leaves while a request waits for a place there: its entry is
/// removed from the store, and it serves on for DrainMs and a little longer.
#include <cstdio>
#include <thread>

#include "deployment.h"

using namespace review;

namespace
{

constexpr int kDrainMs = 2000;
constexpr int kSlots = 4;
constexpr int kWaiting = 4;

Call
stream (const std::string &id)
{
  return {
    "POST",
    "/stream-once/x",
    id,
    "X-Knapweedbay-Model: m/a1\r\nX-Knapweedbay-Token-Counts: 600,60\r\n"
    "X-Knapweedbay-Prompt-Prefix: 5c1e07a2:300,"
        + id.substr (id.size () - 4) + ":300\r\n",
    "prompt",
    15000
  };
}

} // namespace

int
main (int argc, char **argv)
{
  Record record (argc > 1 ? argv[1] : "record.txt");
  Deployment site (1, 2);
  site.engine_slots = kSlots;
  site.write_config (2);
  if (!site.wait_ready ())
    return 2;
  const Front &front = site.fronts[0];
  // Both replicas hold the adapter, and their agents know the configuration.
  for (auto &side : site.sides)
    side.engine->events = 2;
  for (int i = 0; i < 12; i++)
    {
      std::vector<std::thread> callers;
      for (int j = 0; j < 2 * kSlots; j++)
        callers.emplace_back ([&, i, j] {
          send (front, stream ("warm-" + std::to_string (1000 + 10 * i + j)),
                9000);
        });
      for (auto &caller : callers)
        caller.join ();
    }
  for (auto &side : site.sides)
    {
      if (side.engine->loads () == 0)
        return 2;
      side.engine->events = 35;
      side.engine->event_ms = 100;
    }
  std::vector<std::thread> callers;
  auto call = [&] (const std::string &id) {
    record.line ("client sends " + id);
    callers.emplace_back ([&, id] {
      relay::Message got = send (front, stream (id), 9000);
      record.line (id + " is answered " + std::to_string (got.status)
                   + (got.is_complete ? ", complete" : ", not complete"));
    });
  };
  for (int i = 0; i < 2 * kSlots; i++)
    {
      call ("long-" + std::to_string (1000 + i));
      sleep_ms (150);
    }
  for (int i = 0; i < kWaiting; i++)
    call ("next-" + std::to_string (1000 + i));
  sleep_ms (150);
  relay::Target &leaving = *site.sides[0].engine;
  if (has_trouble ())
    site.store.remove ("servers/" + leaving.id ());
  auto removed = Clock::now ();
  record.line (has_trouble () ? "the store acknowledges that " + leaving.id ()
                                    + " is gone"
                              : "nothing happens to " + leaving.id ());
  sleep_ms (kDrainMs + 1000);
  if (has_trouble ())
    {
      leaving.simulate_exit ();
      record.line (leaving.id () + " exits");
    }
  for (auto &caller : callers)
    caller.join ();
  int late = 0;
  for (const auto &request : leaving.requests ())
    {
      auto after = std::chrono::duration_cast<std::chrono::milliseconds> (
                       request.received_at - removed)
                       .count ();
      std::string id = request.header ("x-knapweedbay-attempt-id");
      if (id.compare (0, 4, "warm") == 0)
        continue;
      bool is_late = has_trouble () && after > kDrainMs;
      record.line (id + " reached " + leaving.id () + " "
                   + std::to_string (after) + " ms after that moment"
                   + (is_late ? ": DRAIN" : ""));
      late += is_late && leaving.runs_of (id) > 0;
    }
  std::string summary
      = std::to_string (late) + " of " + std::to_string (kWaiting)
        + " requests reached the replica later than "
        + std::to_string (kDrainMs) + " ms after its leaving was acknowledged";
  record.line (summary);
  printf ("%s\n", summary.c_str ());
  return late > 0 ? 1 : 0;
}
