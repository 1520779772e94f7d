// Authentication by API keys and assignment to workspaces, with the relay
// roles in front of stand-ins.
#include <gtest/gtest.h>

#include <signal.h>

#include "workspaces.h"

namespace relay
{
namespace
{

const char kPublicRoute[]
    = ",{\"Name\":\"open\",\"Host\":\"a.example\",\"Prefix\":\"/open/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":150,"
      "\"Priority\":2,\"Service\":\"maps\",\"MaxAttempts\":2,"
      "\"Public\":true}";

/// A site with workspaces in its configuration and one plain target.
class Workspaces : public ::testing::Test
{
protected:
  void
  start_with_workspaces (const std::vector<std::string> &workspaces)
  {
    put (workspaces);
    ASSERT_TRUE (site_.wait_ready ());
  }
  /// Write a configuration and wait until it is in force.
  void
  put (const std::vector<std::string> &workspaces)
  {
    set_workspaces (&site_, workspaces);
    int version = ++version_;
    site_.write_config (version, kPublicRoute);
    ASSERT_TRUE (Site::wait_for ([&] {
      return !Site::log_lines (site_.gateways[0].daemon,
                               { "config_in_force",
                                 "\"revision\":" + std::to_string (version) })
                  .empty ();
    }));
  }
  Message
  send (const std::string &id, const std::string &headers,
        const std::string &path = "/plain/x")
  {
    Call call = plain_call (id, path);
    call.headers = headers;
    return send_call (site_.gateways[0], call);
  }
  int
  status_of (const std::string &headers, const std::string &path = "/plain/x")
  {
    std::string id = "w" + std::to_string (++sent_);
    int status = send (id, headers, path).status;
    // A refused request must not have run.
    EXPECT_EQ (site_.runs_of (id), status == 200 ? 1 : 0) << headers;
    return status;
  }
  /// A header of the request that the target received last.
  std::string
  last_target_header (const std::string &name)
  {
    return site_.plain[0]->requests ().back ().header (name);
  }
  Site site_{ 0, 1 };
  int version_ = 1;
  int sent_ = 0;
};

const char kTenant[] = "x-knapweedbay-tenant";
const char kKey[] = "x-knapweedbay-key";

// A request without a valid key must not run.
TEST_F (Workspaces, OnlyAKnownKeyIsAccepted)
{
  start_with_workspaces (
      { workspace ("red", { "k-red" }), workspace ("none", {}) });
  EXPECT_EQ (status_of (""), 401);
  EXPECT_EQ (status_of (key_line ("k-blue")), 401);
  EXPECT_EQ (status_of (key_line ("K-RED")), 401);
  EXPECT_EQ (status_of (key_line ("k-re")), 401);
  EXPECT_EQ (status_of (key_line ("k-redd")), 401);
  EXPECT_EQ (status_of (key_line ("")), 401);
  EXPECT_EQ (status_of (key_line ("k-red") + key_line ("k-red")), 401);
  EXPECT_EQ (status_of (key_line ("k-red,k-red")), 401);
  EXPECT_EQ (status_of (key_line (std::string (2000, 'x'))), 401);
  EXPECT_EQ (status_of (key_line ("k-red\x01")), 400);
  EXPECT_EQ (status_of (key_line ("k-red")), 200);
}

// The target gets the workspace name from the gateway only, whatever the
// caller sends, and never gets the key.
TEST_F (Workspaces, ATargetGetsTheWorkspaceAndNotTheKey)
{
  start_with_workspaces ({ workspace ("red", { "k-red" }) });
  for (const std::string &headers : std::vector<std::string>{
           key_line ("k-red"), "x-knapweedbay-KEY:k-red\r\n",
           "X-Knapweedbay-Key:  \t k-red \t \r\n",
           "X-Knapweedbay-Tenant: blue\r\n" + key_line ("k-red"),
           "Connection: x-knapweedbay-tenant, x-knapweedbay-key\r\n"
               + key_line ("k-red") })
    {
      EXPECT_EQ (status_of (headers), 200) << headers;
      EXPECT_EQ (last_target_header (kTenant), "red") << headers;
      EXPECT_EQ (last_target_header (kKey), "") << headers;
    }
}

// A public route requires no key; a valid one still assigns a workspace.
TEST_F (Workspaces, APublicRouteNeedsNoKey)
{
  start_with_workspaces ({ workspace ("red", { "k-red" }) });
  EXPECT_EQ (status_of ("X-Knapweedbay-Tenant: red\r\n", "/open/x"), 200);
  EXPECT_EQ (last_target_header (kTenant), "");
  EXPECT_EQ (status_of (key_line ("k-blue"), "/open/x"), 200);
  EXPECT_EQ (last_target_header (kTenant), "");
  EXPECT_EQ (last_target_header (kKey), "");
  EXPECT_EQ (status_of (key_line ("k-red"), "/open/x"), 200);
  EXPECT_EQ (last_target_header (kTenant), "red");
  EXPECT_EQ (last_target_header (kKey), "");
}

// Without workspaces no key is required, and no caller can assign a workspace.
TEST_F (Workspaces, AConfigurationWithoutWorkspacesRequiresNoKey)
{
  ASSERT_TRUE (site_.wait_ready ());
  EXPECT_EQ (status_of ("X-Knapweedbay-Tenant: red\r\n" + key_line ("k")),
             200);
  EXPECT_EQ (last_target_header (kTenant), "");
  EXPECT_EQ (last_target_header (kKey), "");
}

// A new configuration adds keys, moves them to another workspace and removes
// them.
TEST_F (Workspaces, KeyChangesTakeEffect)
{
  start_with_workspaces (
      { workspace ("red", { "k1", "k2" }), workspace ("blue", { "k3" }) });
  EXPECT_EQ (status_of (key_line ("k4")), 401);
  put ({ workspace ("red", {}), workspace ("blue", { "k2", "k4" }) });
  EXPECT_EQ (status_of (key_line ("k1")), 401);
  EXPECT_EQ (status_of (key_line ("k3")), 401);
  for (const char *text : { "k2", "k4" })
    {
      EXPECT_EQ (status_of (key_line (text)), 200);
      EXPECT_EQ (last_target_header (kTenant), "blue");
    }
  put ({});
  EXPECT_EQ (status_of (key_line ("k2")), 401);
}

// A key that is listed in two workspaces belongs to the first of them.
TEST_F (Workspaces, AKeyListedTwiceBelongsToTheFirstWorkspace)
{
  start_with_workspaces (
      { workspace ("red", { "k1" }), workspace ("blue", { "k1", "k2" }) });
  EXPECT_EQ (status_of (key_line ("k1")), 200);
  EXPECT_EQ (last_target_header (kTenant), "red");
  put ({ workspace ("blue", { "k1" }), workspace ("red", { "k1" }) });
  EXPECT_EQ (status_of (key_line ("k1")), 200);
  EXPECT_EQ (last_target_header (kTenant), "blue");
}

// Keys appear in no log line, whatever the outcome of the request.
TEST_F (Workspaces, KeysAreNotLogged)
{
  start_with_workspaces ({ workspace ("red", { "k-secret-1" }) });
  EXPECT_EQ (status_of (key_line ("k-secret-1")), 200);
  EXPECT_EQ (status_of (key_line ("k-secret-2")), 401);
  EXPECT_EQ (status_of (key_line ("k-secret-1") + key_line ("k-secret-1")),
             401);
  const Daemon &daemon = site_.gateways[0].daemon;
  set_workspaces (&site_, { workspace ("red", { "k-secret-3", "\",1,\"" }) });
  site_.write_config (++version_);
  EXPECT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (
                daemon, { "entry_ignored", "workspace red", "ApiKeys[1]" })
                .empty ();
  }));
  EXPECT_FALSE (Site::log_lines (daemon, { "request_unauthorized" }).empty ());
  EXPECT_TRUE (Site::log_lines (daemon, { "k-secret" }).empty ());
}

// A request that arrives before the first configuration is held and then
// authenticated with it.
TEST (WorkspacesAtStart, ARequestHeldForTheConfigurationIsAuthenticated)
{
  Site site (0, 1);
  set_workspaces (&site, { workspace ("red", { "k-red" }) });
  site.write_config (2);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::SILENT);
  site.restart (&site.gateways[0].daemon, SIGKILL);
  for (const char *text : { "k-red", "k-blue" })
    {
      std::unique_ptr<Connection> connection;
      ASSERT_TRUE (Site::wait_for ([&] {
        connection = dial (site.gateways[0].address);
        return connection != nullptr;
      }));
      Call call = plain_call (std::string ("early-") + text);
      call.headers = key_line (text);
      ASSERT_TRUE (connection->write (call.text ()));
      site.store.set_mode (Store::HEALTHY);
      EXPECT_EQ (connection->read_response ().status,
                 std::string (text) == "k-red" ? 200 : 401);
    }
}

/// Two gateways, each reading a store of its own; the stores have the same
/// content.
class TakenAway : public ::testing::Test
{
protected:
  TakenAway ()
  {
    set_workspaces (&site_, { workspace ("red", { "k1", "k2" }) });
    site_.write_config (2, kPublicRoute);
  }
  int
  status_of (size_t gateway, const std::string &text,
             const std::string &path = "/plain/x")
  {
    Call call = plain_call ("t" + std::to_string (++sent_), path);
    call.headers = key_line (text);
    return send_call (site_.gateways[gateway], call).status;
  }
  /// Remove the key k1 from its workspace.
  /// @return  When the stores acknowledged the removal.
  std::chrono::steady_clock::time_point
  revoke_k1 ()
  {
    set_workspaces (&site_, { workspace ("red", { "k2" }) });
    site_.write_config (3, kPublicRoute);
    return std::chrono::steady_clock::now ();
  }
  Site site_{ 0, 1, 2 };
  int sent_ = 0;
};

// A gateway that gets no answer from the store must not go on accepting a key
// that may have been removed.
TEST_F (TakenAway, AGatewayWithoutTheStoreRefusesInTime)
{
  ASSERT_TRUE (site_.wait_ready ());
  ASSERT_EQ (status_of (1, "k1"), 200);
  for (Store::Mode mode : { Store::SILENT, Store::BUSY, Store::RESET })
    {
      site_.mirror_store.set_mode (mode);
      auto acknowledged = revoke_k1 ();
      std::this_thread::sleep_until (
          acknowledged + std::chrono::milliseconds (kRevokeBoundMs + 20));
      EXPECT_EQ (status_of (1, "k1"), 503) << mode;
      // It cannot know whether the other key is still valid either.
      EXPECT_EQ (status_of (1, "k2"), 503) << mode;
      EXPECT_EQ (status_of (1, "k1", "/open/x"), 200) << mode;
      EXPECT_EQ (status_of (0, "k1"), 401) << mode;
      EXPECT_EQ (status_of (0, "k2"), 200) << mode;
      site_.mirror_store.set_mode (Store::HEALTHY);
      EXPECT_TRUE (Site::wait_for ([&] { return status_of (1, "k2") == 200; }))
          << mode;
      EXPECT_EQ (status_of (1, "k1"), 401) << mode;
    }
}

// A gateway is suspended while a key is removed. When it resumes, it still has
// the old key and finds requests waiting that use it.
TEST_F (TakenAway, AResumedGatewayDoesNotTrustOldKeys)
{
  ASSERT_TRUE (site_.wait_ready ());
  ASSERT_EQ (status_of (0, "k1"), 200);
  kill (site_.gateways[0].daemon.pid, SIGSTOP);
  auto acknowledged = revoke_k1 ();
  std::this_thread::sleep_until (
      acknowledged + std::chrono::milliseconds (kRevokeBoundMs + 20));
  std::vector<std::unique_ptr<Connection>> connections;
  for (int i = 0; i < 5; i++)
    {
      connections.push_back (dial (site_.gateways[0].address));
      Call call = plain_call ("z" + std::to_string (i));
      call.headers = key_line ("k1");
      ASSERT_TRUE (connections.back ()->write (call.text ()));
    }
  kill (site_.gateways[0].daemon.pid, SIGCONT);
  for (auto &connection : connections)
    {
      int status = connection->read_response ().status;
      EXPECT_TRUE (status == 503 || status == 401) << status;
    }
  EXPECT_TRUE (Site::wait_for ([&] { return status_of (0, "k2") == 200; }));
}

// The store acknowledges that a key is removed while a gateway can't reach it,
// and comes back from a copy that has the key. The gateway must not take the
// copy for fresh; the operator writes the removal again 1.5 s later.
TEST_F (TakenAway, AKeyThatARestoreBringsBackIsRefused)
{
  ASSERT_TRUE (site_.wait_ready ());
  ASSERT_EQ (status_of (1, "k1"), 200);
  auto copies = site_.copy_stores ();
  site_.mirror_store.set_mode (Store::RESET);
  auto acknowledged = revoke_k1 ();
  std::this_thread::sleep_until (
      acknowledged + std::chrono::milliseconds (kRevokeBoundMs + 20));
  ASSERT_EQ (status_of (1, "k1"), 503);
  site_.mirror_store.restore (copies[1]);
  site_.mirror_store.set_mode (Store::HEALTHY);
  auto end
      = std::chrono::steady_clock::now () + std::chrono::milliseconds (1500);
  while (std::chrono::steady_clock::now () < end)
    ASSERT_NE (status_of (1, "k1"), 200);
  site_.mirror_store.put ("op/config", site_.config);
  EXPECT_TRUE (Site::wait_for ([&] { return status_of (1, "k2") == 200; }));
  EXPECT_EQ (status_of (1, "k1"), 401);
}

// A valid key must not be refused because the store did not answer its gateway
// for a short time.
TEST_F (TakenAway, AValidKeyIsAcceptedDuringAShortStoreStall)
{
  ASSERT_TRUE (site_.wait_ready ());
  site_.mirror_store.set_mode (Store::SILENT);
  auto end = std::chrono::steady_clock::now () + std::chrono::seconds (2);
  while (std::chrono::steady_clock::now () < end)
    ASSERT_EQ (status_of (1, "k2"), 200);
}

// The engine gets the workspace's priority in place of the route's.
TEST (WorkspacePriority, OverridesTheRoutes)
{
  Site site (1, 0);
  set_workspaces (&site, { workspace ("red", { "k1" }, ",\"Priority\":7"),
                           workspace ("blue", { "k2" }) });
  site.write_config (2);
  ASSERT_TRUE (Site::wait_for ([&] {
    Call call = stream_call ("warm", "");
    call.headers += key_line ("k1");
    return send_call (site.gateways[0], call).status == 200;
  }));
  auto priority_of = [&] (const char *text) {
    Call call = stream_call (std::string ("p-") + text, "");
    call.headers += key_line (text);
    EXPECT_EQ (send_call (site.gateways[0], call).status, 200);
    return site.engines[0].target->requests ().back ().header (
        "x-knapweedbay-request-priority");
  };
  EXPECT_EQ (priority_of ("k1"), "7");
  EXPECT_EQ (priority_of ("k2"), "1");
}

} // namespace
} // namespace relay
