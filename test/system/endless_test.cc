// An engine whose list of models has no end.
#include <gtest/gtest.h>

#include <signal.h>

#include <thread>

#include "cluster.h"
#include "http_peer.h"
#include "launcher.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Lists that an agent may have asked for and not given up: each takes at most
/// 3 s, and one is asked for each second.
constexpr int kMaxOpenLists = 5;
/// Memory that an agent may take for them.
constexpr long kMaxListKb = 12 << 10;

/// An engine that sends its list until the agent closes, at full speed or a
/// byte at a time.
class EndlessEngine : public relay::Server
{
public:
  EndlessEngine () : Server ("127.0.0.1") { start (); }
  ~EndlessEngine () override { stop (); }
  std::atomic<bool> drips{ false };
  std::atomic<int> lists{ 0 };
  std::atomic<int> open{ 0 }; ///< Lists that are being sent.

private:
  bool
  serve (relay::Connection &connection, const relay::Message &) override
  {
    lists++;
    open++;
    connection.write ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "\r\n{\"data\":[");
    std::string block (drips ? 1 : 65536, ' ');
    auto end = std::chrono::steady_clock::now () + std::chrono::seconds (30);
    while (std::chrono::steady_clock::now () < end && !is_stopping_
           && connection.write (block))
      std::this_thread::sleep_for (std::chrono::milliseconds (drips ? 50 : 1));
    open--;
    return false;
  }
};

void
expect_asked_again (bool drips)
{
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster (options);
  cluster.start ();
  EndlessEngine engine;
  engine.drips = drips;
  kb::Target *target = cluster.find_target (false);
  cluster.use_stand_in (*target, engine.address ());
  ASSERT_TRUE (Cluster::wait_until ([&] { return engine.lists > 0; }));
  long before_kb = resident_kb (target->agent.pid);
  long peak_kb = before_kb;
  auto end = std::chrono::steady_clock::now () + std::chrono::seconds (9);
  int most_open = 0;
  while (std::chrono::steady_clock::now () < end)
    {
      peak_kb = std::max (peak_kb, resident_kb (target->agent.pid));
      most_open = std::max (most_open, (int)engine.open);
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
    }
  EXPECT_GT (engine.lists, 2);
  EXPECT_LE (most_open, kMaxOpenLists);
  EXPECT_LE (peak_kb - before_kb, kMaxListKb);
}

// Guards against a list without end that an agent reads for ever.
TEST (Endless, ListIsGivenUpAndAskedForAgain) { expect_asked_again (false); }

// Guards against the same of a list that comes a byte at a time.
TEST (Endless, DrippingListIsGivenUpAndAskedForAgain)
{
  expect_asked_again (true);
}

} // namespace
