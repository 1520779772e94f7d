/// @file case_overfill.cc
/// A load order gets no answer and is carried out seconds later. Meanwhile the
/// machine of the replica loses power, and the replica starts again under the
/// same id.
#include <signal.h>

#include <cstdio>
#include <thread>

#include "deployment.h"

using namespace review;

namespace
{

constexpr int kAdapterSlots = 36;
constexpr int kLateMs = 11000;

/// One streaming request for an adapter.
int
stream (const Front &front, const std::string &id, const std::string &adapter)
{
  Call call = { "POST",
                "/stream/x",
                id,
                "X-Knapweedbay-Model: m/" + adapter
                    + "\r\nX-Knapweedbay-Token-Counts: 600,20\r\n"
                      "X-Knapweedbay-Prompt-Prefix: 5c1e07a2:300,"
                    + id.substr (id.size () - 4) + ":300\r\n",
                "prompt",
                12000 };
  return send (front, call, 8000).status;
}

std::string
number (int n)
{
  char text[8];
  snprintf (text, sizeof text, "%04d", n);
  return text;
}

} // namespace

int
main (int argc, char **argv)
{
  Record record (argc > 1 ? argv[1] : "record.txt");
  Deployment site (1, 1);
  site.adapter_slots = kAdapterSlots;
  site.write_config (2);
  if (!site.wait_ready ())
    return 2;
  const Front &front = site.fronts[0];
  relay::Target &engine = *site.sides[0].engine;
  engine.load_ms = 100;
  int sent = 0;
  auto request = [&] (const std::string &adapter) {
    std::string id = "req-" + number (++sent);
    int status = stream (front, id, adapter);
    record.line (id + " for adapter " + adapter + " is answered "
                 + std::to_string (status) + "; the replica holds at most "
                 + std::to_string (engine.max_adapters_held ()) + " of "
                 + std::to_string (kAdapterSlots));
    return status == 200;
  };
  auto served = [&] (const std::string &adapter) {
    return wait_for ([&] { return request (adapter); }, 12000);
  };
  // All places but one, and new versions of two adapters: one order more than
  // there are places.
  for (int i = 1; i < kAdapterSlots; i++)
    if (!served ("b" + std::to_string (i)))
      return 2;
  engine.newest_version = 2;
  for (const char *adapter : { "b1", "b2" })
    {
      site.store.put ("op/version/m." + std::string (adapter),
                      "{\"Model\":\"m\",\"Adapter\":\"" + std::string (adapter)
                          + "\",\"Version\":2}");
      sleep_ms (1500);
      if (!served (adapter))
        return 2;
    }
  record.line ("new versions of b1 and b2 are in use");
  if (has_trouble ())
    {
      engine.order_delay_ms = kLateMs;
      std::thread caller ([&] { request ("a1"); });
      bool is_pending
          = wait_for ([&] { return engine.pending_orders > 0; }, 4000);
      engine.order_delay_ms = 0;
      record.line ("an order gets no answer, and will be carried out in "
                   + std::to_string (kLateMs) + " ms");
      caller.join ();
      if (!is_pending)
        return 2;
      record.line ("the machine of the replica loses power");
      site.stop (&site.sides[0].process, SIGKILL);
      engine.simulate_exit ();
      sleep_ms (700);
      engine.restart (engine.id ());
      engine.listen_again ();
      site.list_engine (0);
      site.start (&site.sides[0].process);
      record.line ("it is back: the replica is empty and has the same id, and "
                   "the agent beside it has started");
    }
  else
    served ("a1");
  auto end = Clock::now () + std::chrono::milliseconds (kLateMs + 2000);
  while (Clock::now () < end)
    for (int i = 1; i <= kAdapterSlots; i++)
      request ("c" + std::to_string (i));
  size_t held = engine.max_adapters_held ();
  std::string summary = "the replica was made to hold " + std::to_string (held)
                        + " adapters; it has " + std::to_string (kAdapterSlots)
                        + " places";
  record.line (summary);
  printf ("%s\n", summary.c_str ());
  return held > kAdapterSlots ? 1 : 0;
}
