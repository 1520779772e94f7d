/// @file site.h
/// A small site for tests of the relay roles: the real daemon as separate
/// processes on loopback addresses, before stand-ins of store and targets.
#ifndef KB_TEST_RELAY_SITE_H
#define KB_TEST_RELAY_SITE_H

#include <memory>

#include "proxy.h"
#include "store_standin.h"
#include "target_standin.h"

namespace relay
{

/// Of all gateways: nothing runs with a key this long after it was taken away.
constexpr int kRevokeBoundMs = 5000;

/// How far use may exceed a quota, as all daemons are told.
constexpr int kQuotaWindowS = 8;
constexpr double kQuotaOvershoot = 0.1;
constexpr int kQuotaSlack = 600;

/// A daemon that this test started and ends.
struct Daemon
{
  std::string name;
  std::string settings_path;
  std::string log_path;
  pid_t pid = 0;
};

struct Engine
{
  std::string ip;
  std::unique_ptr<Target> target;
  std::string metrics; ///< Address of its agent's metrics page.
  Daemon sidecar;
};

struct Gateway
{
  std::string address; ///< For callers.
  std::string ready;
  Daemon daemon;
};

/// Puts a proxy on each way: to the store, to targets, to agents.
class Proxies
{
public:
  /// Address at which an engine and its agent are listed.
  std::string engine (const std::string &ip, const std::string &address,
                      int inner_port);
  std::string plain (const std::string &address);
  std::string store (const std::string &address);
  std::vector<std::unique_ptr<Proxy>> all;
  std::vector<Proxy *> agents; ///< Those of the inner links.

private:
  std::map<std::string, std::string> by_address_;
};

class Site
{
public:
  /// The last of several gateways reads `mirror_store`, which shows the same.
  explicit Site (int engines = 2, int plain = 2, int gateways = 1,
                 Proxies *proxies = nullptr);
  /// Write to both stores.
  void put (const std::string &key, const std::string &value);
  void remove (const std::string &key);
  ~Site ();
  /// Wait until a condition holds.
  static bool wait_for (const std::function<bool ()> &condition,
                        int timeout_ms = 8000);
  /// The configuration as the operator writes it; `extra` adds members.
  void write_config (int version, const std::string &extra_route = "",
                     int stream_timeout_ms = 8000);
  /// @param born_shift_ms  Added to the birth.
  void list_engine (size_t at, const std::string &state = "ready",
                    int64_t born_shift_ms = 0);
  void list_plain (size_t at, const std::string &state = "ready",
                   int64_t born_shift_ms = 0);
  /// Kill and start again.
  void restart (Daemon *daemon, int signal);
  /// @param stdout_fd  Where its log goes; its log file when negative.
  void start (Daemon *daemon, int stdout_fd = -1);
  /// Targets that a request ended are back as other incarnations.
  void restart_ended_targets ();
  /// How often requests ended targets.
  int crash_count ();
  /// Requests whose path holds this text end the target that runs them.
  void crash_on_path (const std::string &text);
  void stop (Daemon *daemon, int signal);
  bool wait_ready ();
  int ready_status (size_t gateway = 0);
  /// Lines of a daemon's log that hold all these texts.
  static std::vector<std::string>
  log_lines (const Daemon &daemon, const std::vector<std::string> &texts);
  int runs_of (const std::string &attempt_id);
  int
  inner_port () const
  {
    return inner_port_;
  }

  std::string dir;
  std::string config; ///< As it was written last.
  /// More members of the next configuration, each after a comma.
  std::string config_members;
  Store store;
  Store mirror_store; ///< The store as the last of several gateways sees it.
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<Target>> plain;
  std::vector<Gateway> gateways;

private:
  void write_settings (const Daemon &daemon, const std::string &members,
                       const Store &store);
  void restart_target (Target *target);
  int inner_port_;
  Proxies *proxies_;
  int incarnations_ = 0;
};

/// A request as a caller writes it.
struct Call
{
  std::string path = "/plain/x";
  std::string method = "GET";
  std::string id;
  std::string headers; ///< Lines each ended by CRLF.
  std::string body;
  int deadline_ms = 6000;
  std::string from; ///< The caller's IP number; empty: any.
  std::string text () const;
};

Call stream_call (const std::string &id, const std::string &adapter,
                  bool is_resumable = true);
/// Send on a new connection and read the answer.
Message send_call (const Gateway &gateway, const Call &call);
Call plain_call (const std::string &id, const std::string &path = "/plain/x");
/// The metrics page of an engine's agent.
std::string metrics_of (const Engine &engine);
/// The numbers from 1 to `last`: ids of a whole stream.
std::vector<int> ids_up_to (int last);
/// Ids of the events in a body, in order.
std::vector<int> event_ids (const std::string &body);

} // namespace relay

#endif
