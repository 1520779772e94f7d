// How often an agent asks its engine for the list of its models.
#include <gtest/gtest.h>

#include <signal.h>

#include <thread>

#include "cluster.h"
#include "http_peer.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// An engine that takes a while for its list and answers each run with an
/// error.
class FailingEngine : public relay::Server
{
public:
  FailingEngine () : Server ("127.0.0.1") { start (); }
  ~FailingEngine () override { stop (); }
  std::atomic<int> runs{ 0 };
  std::atomic<int> lists{ 0 };
  std::atomic<int> open{ 0 }; ///< Lists that were asked for and not sent yet.
  std::atomic<int> most_open{ 0 };

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    std::string type = "Content-Type: application/json\r\n";
    if (request.method () == "GET")
      {
        lists++;
        most_open = std::max ((int)most_open, ++open);
        std::this_thread::sleep_for (std::chrono::milliseconds (300));
        open--;
        return connection.write (relay::make_response (
            200, type, "{\"incarnation\":\"i1\",\"data\":[]}"));
      }
    bool is_run = request.target ().find ("lora") == std::string::npos;
    runs += is_run;
    return connection.write (
        relay::make_response (is_run ? 500 : 200, type, "{}"));
  }
};

} // namespace

// Guards against a list for each run that ends with an error.
TEST (EngineList, RunsThatFailDoNotEachAskForAList)
{
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster (options);
  cluster.start ();
  FailingEngine engine;
  kb::Target *target = cluster.find_target (false);
  cluster.use_stand_in (*target, engine.address ());
  cluster.publish ();
  ASSERT_TRUE (cluster.wait_ready ());
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; i++)
    callers.emplace_back ([&, i] {
      for (int k = 0; k < 20; k++)
        cluster.complete (k % 2, "a" + std::to_string (i + 1) + "@1",
                          "p" + std::to_string (i * 100 + k));
    });
  for (std::thread &thread : callers)
    thread.join ();
  EXPECT_GT (engine.runs, 10);
  EXPECT_LE (engine.most_open, 1);
}
