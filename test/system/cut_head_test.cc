// Answers of targets that end within their heads, in the own interface.
#include <gtest/gtest.h>

#include <mutex>

#include "adapter_pages.h"
#include "cluster.h"
#include "cut_answer.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// A target that cuts its answers: a plain one, or an engine that holds each
/// adapter that it was asked to load.
class CuttingTarget : public relay::Server
{
public:
  CuttingTarget () : Server ("127.0.0.1") { start (); }
  ~CuttingTarget () override { stop (); }
  void
  cut_answers (const relay::Cut &cut)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    cut_ = cut;
  }
  std::atomic<int> cut_count{ 0 };
  std::atomic<bool> is_plain{ false };

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    bool is_run = is_plain || request.target () == "/v1/completions";
    if (!is_run)
      return pages_.serve (connection, request);
    relay::Cut cut;
    {
      std::lock_guard<std::mutex> lock (mutex_);
      cut = cut_;
    }
    std::string type = "Content-Type: application/json\r\n";
    std::string body
        = is_plain
              ? "{\"map\":1}"
              : "{\"id\":\"c\",\"object\":\"text_completion\",\"model\":\""
                    + kb::text_member (request.body, "model")
                    + "\",\"choices\":[{\"index\":0,\"text\":\"x\","
                      "\"finish_reason\":\"length\"}]}";
    if (cut.after_bytes < 0)
      return connection.write (relay::make_response (200, type, body));
    cut_count++;
    relay::send_cut (connection, cut, type, body);
    return false;
  }
  std::mutex mutex_;
  relay::Cut cut_;
  kb::AdapterPages pages_;
};

/// Beyond the end of all answers here.
constexpr size_t kWhole = 1200;

relay::Cut
cut_at (relay::Framing framing, size_t after_bytes)
{
  relay::Cut cut;
  cut.after_bytes = (int)after_bytes;
  cut.framing = framing;
  cut.resets = after_bytes % 5 == 1;
  cut.pause_ms = after_bytes % 3 == 0 ? 5 : 0;
  return cut;
}

/// Cut at each place, in each framing.
/// @param call  Sends a request; its argument is unique.
void
sweep (CuttingTarget &target,
       const std::function<kb::Answer (const std::string &)> &call)
{
  int calls = 0;
  int served = 0;
  for (relay::Framing framing : relay::kFramings)
    {
      std::string whole = relay::answer_of (
          framing, "Content-Type: application/json\r\n", "{\"map\":1}");
      for (size_t point : relay::cut_points (framing, whole))
        {
          target.cut_answers (cut_at (framing, point));
          kb::Answer answer = call ("r" + std::to_string (calls++));
          EXPECT_NE (answer.status, 0);
          if (answer.status == 200)
            printf (
                "served: framing %d cut after %zu of %zu, %s, body \"%s\"\n",
                (int)framing, point, whole.size (),
                answer.is_complete ? "whole" : "cut", answer.body.c_str ());
          served += answer.status == 200;
        }
    }
  for (relay::Framing framing :
       { relay::Framing::LENGTH, relay::Framing::CHUNKS })
    {
      target.cut_answers (cut_at (framing, kWhole));
      EXPECT_EQ (call ("whole" + std::to_string ((int)framing)).status, 200);
    }
  printf ("%d calls, %d cut answers, %d served\n", calls,
          (int)target.cut_count, served);
  EXPECT_EQ (served, 0);
  EXPECT_GE (target.cut_count, calls / 4);
  target.cut_answers ({});
}

} // namespace

// Guards against an answer of a plain target that ends within its head, and is
// passed on as a whole one with an empty body.
TEST (CutHead, PlainAnswersAreNotServed)
{
  ClusterOptions options;
  options.engines = 1;
  options.plains = 1;
  Cluster cluster (options);
  cluster.start ();
  CuttingTarget target;
  target.is_plain = true;
  cluster.use_stand_in (*cluster.find_target (true), target.address ());
  cluster.publish ();
  ASSERT_TRUE (cluster.wait_ready ());
  sweep (target, [&] (const std::string &id) {
    return kb::http_call ("POST", cluster.entries[0].process.http_port,
                          "/v1/services/map-query/look", id,
                          { "Authorization: Bearer kavango-key",
                            "X-Knapweedbay-Timeout-Ms: 400" },
                          3000);
  });
}

// Guards against the same of an engine's answer.
TEST (CutHead, EngineAnswersAreNotServed)
{
  ClusterOptions options;
  options.engines = 1;
  Cluster cluster (options);
  cluster.start ();
  CuttingTarget target;
  cluster.use_stand_in (*cluster.find_target (false), target.address ());
  cluster.publish ();
  ASSERT_TRUE (cluster.wait_ready ());
  ASSERT_EQ (cluster.complete (0, "a1@1", "whole").status, 200);
  sweep (target, [&] (const std::string &id) {
    return cluster.complete (0, "a1@1", id,
                             { "X-Knapweedbay-Timeout-Ms: 400" });
  });
}
