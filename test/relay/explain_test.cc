// A failed request can be explained from its id alone, with the commands of
// docs/OPERATIONS.md, and writing logs never blocks requests.
#include <gtest/gtest.h>

#include <signal.h>
#include <unistd.h>

#include "site.h"

namespace relay
{
namespace
{

/// Output of `knapweedbay logs --id ID` over all logs of a site.
std::string
read_request_log (const Site &site, const std::string &id)
{
  const char *dir = getenv ("KB_BIN_DIR");
  std::string command = std::string (dir != nullptr ? dir : KB_DEFAULT_BIN_DIR)
                        + "/knapweedbay logs --id " + id + " " + site.dir
                        + "/*.log 2>&1";
  std::string out;
  FILE *pipe = popen (command.c_str (), "r");
  char bytes[4096];
  size_t n;
  while ((n = fread (bytes, 1, sizeof bytes, pipe)) > 0)
    out.append (bytes, n);
  pclose (pipe);
  return out;
}

/// Output of read_request_log () once it contains a text: logs are written
/// with a delay.
/// @return  The last output, also when the text has not appeared in time.
std::string
wait_for_request_log (const Site &site, const std::string &id,
                      const std::string &text)
{
  std::string out;
  Site::wait_for ([&] {
    out = read_request_log (site, id);
    return out.find (text) != std::string::npos;
  });
  return out;
}

// A caller is refused although engines are up: each of them has adapters to
// load for longer than the caller would wait.
TEST (Explain, RefusedUnderLoad)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->load_ms = 1200;
  std::vector<std::thread> callers;
  std::atomic<int> refused{ 0 };
  for (int i = 0; i < 6; i++)
    {
      callers.emplace_back ([&site, &refused, i] {
        Message m = send_call (
            site.gateways[0],
            stream_call ("q" + std::to_string (i), "a" + std::to_string (i)));
        refused += m.status == 503;
      });
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
    }
  for (auto &caller : callers)
    caller.join ();
  EXPECT_GT (refused, 0);
  std::string out = wait_for_request_log (site, "q5", "request_end");
  EXPECT_NE (out.find ("place_declined"), std::string::npos) << out;
  EXPECT_NE (out.find ("reason=load_queue"), std::string::npos) << out;
  EXPECT_NE (out.find ("status=503"), std::string::npos) << out;
  EXPECT_NE (out.find ("target=i-e0"), std::string::npos) << out;
}

// A stream breaks off because its target crashed within an event.
TEST (Explain, CutByADyingTarget)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  site.engines[0].target->fail_next ({ Fault::CUT_WITHIN_EVENT });
  EXPECT_FALSE (send_call (site.gateways[0], stream_call ("cut1", "a1", false))
                    .is_complete);
  std::string out = wait_for_request_log (site, "cut1", "request_end");
  EXPECT_NE (out.find ("attempt_broken"), std::string::npos) << out;
  EXPECT_NE (out.find ("reason=reset target=i-e0"), std::string::npos) << out;
  EXPECT_NE (out.find ("last_event=2"), std::string::npos) << out;
  EXPECT_NE (out.find ("outcome=failed"), std::string::npos) << out;
}

// A caller gets an answer by an older adapter version: the line that logs the
// end of the request names the version, and another line says when a newer one
// became known.
TEST (Explain, AnsweredByAnOlderVersion)
{
  Site site (1, 0);
  ASSERT_TRUE (site.wait_ready ());
  EXPECT_EQ (send_call (site.gateways[0], stream_call ("old1", "a1")).status,
             200);
  site.put ("op/version/m.a1", R"({"Model":"m","Adapter":"a1","Version":2})");
  site.engines[0].target->newest_version = 2;
  std::string out = wait_for_request_log (site, "old1", "request_end");
  EXPECT_NE (out.find ("version=1"), std::string::npos) << out;
  EXPECT_NE (out.find ("revision=1"), std::string::npos) << out;
  std::vector<std::string> lines;
  ASSERT_TRUE (Site::wait_for ([&] {
    lines = Site::log_lines (
        site.gateways[0].daemon,
        { "\"event\":\"adapter_version\"", "\"a1\"", "\"version\":2" });
    return !lines.empty ();
  }));
  EXPECT_EQ (send_call (site.gateways[0], stream_call ("new1", "a1")).status,
             200);
  out = wait_for_request_log (site, "new1", "request_end");
  EXPECT_NE (out.find ("version=2"), std::string::npos) << out;
}

// The load forecast decides which callers are refused. The sidecar's metrics
// page shows its error, so that operators can judge whether the refusals are
// right.
TEST (Explain, TheForecastErrorIsOnTheMetricsPage)
{
  Site site;
  ASSERT_TRUE (site.wait_ready ());
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (send_call (site.gateways[0],
                          stream_call ("f" + std::to_string (i), "a1"))
                   .status,
               200);
  std::string pages;
  for (auto &engine : site.engines)
    pages += metrics_of (engine);
  EXPECT_NE (pages.find ("knapweedbay_forecast_error_ms"), std::string::npos);
  EXPECT_NE (pages.find ("knapweedbay_pace_percent 65"), std::string::npos);
}

TEST (Explain, AnUnknownIdIsReported)
{
  Site site (0, 1);
  // Wait until a log file exists.
  ASSERT_TRUE (site.wait_ready ());
  std::string out = read_request_log (site, "nobody");
  EXPECT_NE (out.find ("no line names request nobody"), std::string::npos)
      << out;
}

// The log pipe is not read and fills up. A process that blocks on writing to
// it answers no caller any more.
TEST (Explain, AFullLogPipeDoesNotBlockRequests)
{
  Site site (0, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.stop (&site.gateways[0].daemon, SIGKILL);
  int unread[2];
  ASSERT_EQ (pipe (unread), 0);
  std::string filler (65536, '\n');
  ASSERT_GT (write (unread[1], filler.data (), filler.size ()), 0);
  site.start (&site.gateways[0].daemon, unread[1]);
  ASSERT_TRUE (site.wait_ready ());
  for (int i = 0; i < 400; i++)
    {
      Call call;
      call.id = "full" + std::to_string (i);
      EXPECT_EQ (send_call (site.gateways[0], call).status, 200);
    }
  site.stop (&site.gateways[0].daemon, SIGKILL);
  close (unread[0]);
  close (unread[1]);
}

} // namespace
} // namespace relay
