/// @file case_silence.cc
/// A front gets SIGTERM while it relays a stream whose replica pauses for less
/// time than its client waits.
#include <signal.h>
#include <sys/wait.h>

#include <cstdio>
#include <thread>

#include "deployment.h"

using namespace review;

namespace
{

constexpr int kSlots = 4;
constexpr int kPauseMs = 3000;
/// A client abandons a stream after a gap of two seconds, four times the
/// objective (800 ms) or eight times the pause of the sheet (300 ms),
/// whichever is longest.
constexpr int kPatienceMs = 3200;

Call
stream (const std::string &route, const std::string &id)
{
  return {
    "POST",
    "/" + route + "/x",
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
  Front &front = site.fronts[0];
  for (auto &side : site.sides)
    side.engine->events = 2;
  for (int i = 0; i < 12; i++)
    {
      std::vector<std::thread> callers;
      for (int j = 0; j < 2 * kSlots; j++)
        callers.emplace_back ([&, i, j] {
          send (front,
                stream ("stream-once",
                        "warm-" + std::to_string (1000 + 10 * i + j)),
                9000);
        });
      for (auto &caller : callers)
        caller.join ();
    }
  for (auto &side : site.sides)
    {
      side.engine->events = 80;
      side.engine->event_ms = 100;
    }
  std::vector<std::thread> callers;
  // Fill all slots but one, so that the other replica has none free later.
  int tries = 0;
  auto running = [&] {
    int count = 0;
    for (auto &side : site.sides)
      for (int i = 0; i < tries; i++)
        count += side.engine->runs_of ("fill-" + std::to_string (1000 + i));
    return count;
  };
  while (running () < 2 * kSlots - 1 && tries < 20)
    {
      std::string id = "fill-" + std::to_string (1000 + tries++);
      int before = running ();
      callers.emplace_back (
          [&, id] { send (front, stream ("stream-once", id), 12000); });
      wait_for ([&] { return running () > before; }, 400);
      sleep_ms (100);
    }
  const std::string id = "wait-1000";
  record.line ("client sends " + id + ", a stream that may be resumed");
  auto connection = relay::dial (front.address);
  if (connection == nullptr)
    return 2;
  connection->write (text_of (stream ("stream", id)));
  relay::Target *replica = nullptr;
  wait_for (
      [&] {
        for (auto &side : site.sides)
          if (side.engine->runs_of (id) > 0)
            replica = side.engine.get ();
        return replica != nullptr;
      },
      3000);
  if (replica == nullptr)
    return 2;
  record.line (replica->id () + " runs " + id);
  // Read what arrives, and note when.
  std::string bytes;
  int64_t last_ms = now_ms ();
  std::atomic<bool> is_over{ false };
  bool is_closed = false;
  std::thread reader ([&] {
    for (;;)
      {
        std::string more = connection->read_some (20);
        if (!more.empty ())
          {
            bytes += more;
            last_ms = now_ms ();
          }
        else if (connection->peer_has_closed (0))
          {
            is_closed = true;
            break;
          }
        if (bytes.find ("\r\n0\r\n\r\n") != std::string::npos
            || now_ms () - last_ms > kPatienceMs)
          break;
      }
    is_over = true;
  });
  sleep_ms (500);
  int64_t stopped_ms = now_ms ();
  if (has_trouble ())
    {
      kill (front.process.pid, SIGTERM);
      record.line ("the front gets SIGTERM");
    }
  replica->event_ms = kPauseMs;
  sleep_ms (150);
  replica->event_ms = 100;
  record.line (replica->id () + " pauses the stream for "
               + std::to_string (kPauseMs) + " ms");
  // It has about 20 events.
  sleep_ms (kPauseMs - 100);
  replica->events = 20;
  reader.join ();
  int64_t silent_ms = now_ms () - last_ms;
  bool is_whole = bytes.find ("\r\n0\r\n\r\n") != std::string::npos;
  record.line (is_whole ? "the client has the whole answer"
                        : "the connection ended without a complete answer, "
                              + std::to_string (silent_ms)
                              + " ms after the last event");
  // Until 1 s after GraceS (8 s); the replica was not at work in its last
  // sixth.
  bool is_planned = has_trouble () && now_ms () - stopped_ms < 6600;
  bool is_lost = !is_whole && is_closed && is_planned;
  std::string summary
      = is_lost     ? "LOST: the front ended a stream because its replica was "
                      "silent, though the client would have waited"
        : is_whole  ? "held: the answer was complete"
        : is_closed ? "the answer was cut, but not around planned work"
                    : "the client gave up";
  record.line (summary);
  printf ("%s (%d ms)\n", summary.c_str (), (int)silent_ms);
  for (auto &caller : callers)
    caller.join ();
  return is_lost ? 1 : 0;
}
