/// @file scripted_target.h
/// A target whose answers to runs a test writes out, heads included. Header
/// only, for programs that link the stand-ins of the relay tests.
#ifndef KB_TEST_SYSTEM_SCRIPTED_TARGET_H
#define KB_TEST_SYSTEM_SCRIPTED_TARGET_H

#include "adapter_pages.h"
#include "answer_script.h"
#include "http_peer.h"

namespace kb
{

/// A plain target, or an engine that holds each adapter that it was asked to
/// load.
class ScriptedTarget : public relay::Server
{
public:
  /// @param model  That the run names; empty for plain targets.
  using Plan
      = std::function<relay::AnswerScript (const std::string &model, int run)>;
  explicit ScriptedTarget (bool is_plain)
      : Server ("127.0.0.1"), is_plain_ (is_plain)
  {
    start ();
  }
  ~ScriptedTarget () override { stop (); }
  void
  answer (Plan plan)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    plan_ = std::move (plan);
  }
  std::atomic<int> runs{ 0 };

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    if (!is_plain_ && request.target () != "/v1/completions")
      return pages_.serve (connection, request);
    relay::AnswerScript script;
    {
      std::lock_guard<std::mutex> lock (mutex_);
      script = plan_ (text_member (request.body, "model"), runs++);
    }
    for (const relay::AnswerWrite &w : script.writes)
      {
        if (!connection.write (w.bytes))
          return false;
        std::this_thread::sleep_for (std::chrono::milliseconds (w.pause_ms));
      }
    if (script.end == relay::AnswerEnd::RESET)
      connection.reset ();
    return script.end == relay::AnswerEnd::KEEP;
  }
  bool is_plain_;
  std::mutex mutex_;
  Plan plan_;
  AdapterPages pages_;
};

} // namespace kb

#endif
