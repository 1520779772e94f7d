// The retry budget of a service, over all gateways, while gateways restart.
#include <gtest/gtest.h>

#include <signal.h>

#include "load.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

/// Defaults of the settings: retries in a window of 10 s.
constexpr double kRatio = 0.2;
constexpr int kSlack = 50;
constexpr int kWindowMs = 10000;

Call
stream (const std::string &id)
{
  return stream_call (id, "");
}

Call
plain (const std::string &id)
{
  return plain_call (id);
}

/// Arrivals beyond the first of each request, over all targets.
int
count_repeats (Site &site)
{
  std::map<std::string, int> arrivals;
  for (const Engine &engine : site.engines)
    for (const Message &request : engine.target->requests ())
      arrivals[request.header ("x-knapweedbay-attempt-id")]++;
  for (const auto &target : site.plain)
    for (const Message &request : target->requests ())
      arrivals[request.header ("x-knapweedbay-attempt-id")]++;
  int repeats = 0;
  for (const auto &[id, count] : arrivals)
    repeats += count - 1;
  return repeats;
}

/// Let all targets refuse all requests.
void
refuse_all (Site &site)
{
  std::vector<Fault> faults (20000, Fault::NOT_RUN);
  for (const Engine &engine : site.engines)
    engine.target->fail_next (faults);
  for (const auto &target : site.plain)
    target->fail_next (faults);
}

/// Load a site in which all requests are refused, and disturb all gateways
/// several times within one window of the budget.
void
expect_budget_holds (Site &site, Call (*call_of) (const std::string &),
                     const std::function<void (Daemon *)> &disturb)
{
  constexpr int rounds = 7;
  Moment began = std::chrono::steady_clock::now ();
  Load load (&site, call_of, 2, 60);
  for (int i = 0; i < rounds; i++)
    {
      std::this_thread::sleep_for (milliseconds (1100));
      for (Gateway &gateway : site.gateways)
        disturb (&gateway.daemon);
    }
  std::this_thread::sleep_for (milliseconds (900));
  Load::Counts counts = load.stop ();
  ASSERT_LT (std::chrono::steady_clock::now () - began,
             milliseconds (kWindowMs));
  int requests = counts.answered + counts.refused + counts.other;
  int allowed = (int)(kRatio * requests) + kSlack;
  int repeats = count_repeats (site);
  printf ("%d repeats for %d requests, %d allowed\n", repeats, requests,
          allowed);
  EXPECT_LE (repeats, allowed);
}

// Guards against a restart that grants the retries of the window again.
TEST (Budget, HoldsThoughGatewaysRestart)
{
  for (auto call_of : { stream, plain })
    {
      Site site (3, 3, 2);
      ASSERT_TRUE (site.wait_ready ());
      refuse_all (site);
      expect_budget_holds (site, call_of, [&] (Daemon *gateway) {
        site.restart (gateway, SIGKILL);
      });
    }
}

// Guards against settings that are read again and grant the retries of the
// window again.
TEST (Budget, HoldsThoughSettingsAreReadAgain)
{
  Site site (1, 3, 2);
  ASSERT_TRUE (site.wait_ready ());
  refuse_all (site);
  expect_budget_holds (site, plain,
                       [] (Daemon *gateway) { kill (gateway->pid, SIGHUP); });
}

// Guards against gateways that take the whole budget each because they have
// heard of no other one since their start.
TEST (Budget, HoldsThoughGatewaysKnowOfNoOther)
{
  Site site (1, 3, 5);
  ASSERT_TRUE (site.wait_ready ());
  refuse_all (site);
  site.stop (&site.engines[0].sidecar, SIGKILL);
  for (Gateway &gateway : site.gateways)
    site.restart (&gateway.daemon, SIGKILL);
  // What a gateway saves while it has no requests is available at once.
  std::this_thread::sleep_for (milliseconds (kWindowMs));
  expect_budget_holds (site, plain, [] (Daemon *) {});
}

// Guards against settings that are read again and take away what a gateway has
// saved for a request that fails.
TEST (Budget, IsKeptWhenSettingsAreReadAgain)
{
  Site site (1, 3, 1);
  ASSERT_TRUE (site.wait_ready ());
  std::this_thread::sleep_for (milliseconds (kWindowMs / 2));
  ASSERT_EQ (send_call (site.gateways[0], plain ("before")).status, 200);
  kill (site.gateways[0].daemon.pid, SIGHUP);
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon, { "\"reload\"" })
                .empty ();
  }));
  for (const auto &target : site.plain)
    target->fail_next ({ Fault::NOT_RUN });
  EXPECT_EQ (send_call (site.gateways[0], plain ("after")).status, 503);
  EXPECT_EQ (count_repeats (site), 2);
}

/// A plain target that is listed for a service of its own.
struct OwnService
{
  OwnService (Site &site, const std::string &name, const std::string &id)
      : name (name), target (site.gateways[0].address.substr (
                                 0, site.gateways[0].address.find (':')),
                             "i-" + id, false)
  {
    site.put ("servers/" + target.id (),
              "{\"Service\":\"" + name + "\",\"Address\":\""
                  + target.address ()
                  + "\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":6,"
                    "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":"
                  + std::to_string (target.born_ms ()) + "}");
  }
  std::string name;
  Target target;
};

/// Configure services beside those of the site, each with a route.
void
configure_services (Site &site, const std::vector<std::string> &names)
{
  std::string routes;
  std::string services;
  for (const std::string &name : names)
    {
      routes += ",{\"Name\":\"" + name
                + "\",\"Host\":\"a.example\",\"Prefix\":\"/" + name
                + "/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,"
                  "\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\""
                + name + "\",\"MaxAttempts\":2}";
      services += "{\"Name\":\"" + name
                  + "\",\"HealthPath\":\"/health\",\"MaxConns\":100},";
    }
  site.write_config (2, routes);
  const std::string mark = "\"Services\":[";
  site.config.insert (site.config.find (mark) + mark.size (), services);
  site.put ("op/config", site.config);
}

// Guards against a service that is sent what the requests of another allow,
// where a deployment has many.
TEST (Budget, IsOfEachServiceHoweverMany)
{
  Site site (1, 0, 1);
  ASSERT_TRUE (site.wait_ready ());
  std::vector<std::string> names;
  for (int i = 0; i < 22; i++)
    names.push_back ("s" + std::to_string (i));
  configure_services (site, names);
  std::vector<std::unique_ptr<OwnService>> services;
  for (const std::string &name : names)
    services.push_back (std::make_unique<OwnService> (site, name, name));
  OwnService second (site, "s21", "other");
  second.target.fail_next (std::vector<Fault> (2000, Fault::NOT_RUN));
  services.back ()->target.fail_next (
      std::vector<Fault> (2000, Fault::NOT_RUN));
  auto send = [&] (const std::string &name, int i) {
    return send_call (
               site.gateways[0],
               plain_call (name + "-" + std::to_string (i), "/" + name + "/x"))
        .status;
  };
  names.pop_back ();
  for (const std::string &name : names)
    {
      ASSERT_TRUE (Site::wait_for ([&] { return send (name, 0) == 200; }))
          << name;
    }
  for (int i = 1; i < 1500; i++)
    send ("s20", i);
  constexpr int requests = 120;
  for (int i = 0; i < requests; i++)
    send ("s21", i);
  int repeats = (int)(second.target.requests ().size ()
                      + services.back ()->target.requests ().size ())
                - requests;
  printf ("%d repeats for %d requests\n", repeats, requests);
  EXPECT_LE (repeats, (int)(kRatio * requests) + kSlack);
}

} // namespace
} // namespace relay
