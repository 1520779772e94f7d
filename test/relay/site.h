/// @file site.h
/// A small deployment for tests of the relay roles: real daemons as separate
/// processes on loopback addresses, with stand-ins for the store and the
/// targets.
#ifndef KB_TEST_RELAY_SITE_H
#define KB_TEST_RELAY_SITE_H

#include <array>
#include <memory>

#include "proxy.h"
#include "store_standin.h"
#include "target_standin.h"

namespace relay
{

/// Revoke bound of all gateways: no request runs with a key later than this
/// after its removal was acknowledged.
constexpr int kRevokeBoundMs = 5000;

/// Quota settings of all daemons: how far use may exceed a quota.
constexpr int kQuotaWindowS = 8;
constexpr double kQuotaOvershoot = 0.1;
constexpr int kQuotaSlack = 600;

/// A daemon process that the site starts and stops.
struct Daemon
{
  std::string name;
  std::string settings_path;
  std::string log_path;
  pid_t pid = 0;
  int max_descriptors = 0; ///< Zero: as this process.
};

struct Engine
{
  std::string ip;
  std::unique_ptr<Target> target;
  std::string metrics; ///< Address of its sidecar's metrics page.
  Daemon sidecar;
};

struct Gateway
{
  std::string address; ///< Address at which callers connect.
  std::string ready;   ///< Address of its readiness page.
  Daemon daemon;
};

/// Proxies in front of the store, the targets and the sidecars.
class Proxies
{
public:
  /// Start the proxies of an engine and of its sidecar.
  /// @return  The proxy address under which the engine is listed.
  std::string engine (const std::string &ip, const std::string &address,
                      int inner_port);
  std::string plain (const std::string &address);
  std::string store (const std::string &address);
  /// @return  The proxy in front of a target.
  Proxy *in_front_of (const std::string &address);
  std::vector<std::unique_ptr<Proxy>> all;
  std::vector<Proxy *> agents; ///< Proxies of the inner links to the sidecars.

private:
  std::map<std::string, std::string> by_address_;
  std::map<std::string, Proxy *> proxies_by_address_;
};

class Site
{
public:
  static constexpr int kWaitMs = 8000;
  /// Whether the daemons of later sites write all log lines, without a limit
  /// on their rate.
  static inline bool logs_all_lines = false;
  /// With several gateways, the last one reads `mirror_store`, which has the
  /// same content as `store`.
  /// @param proxies  When given, all connections but those of callers go
  ///   through it.
  explicit Site (int engines = 2, int plain = 2, int gateways = 1,
                 Proxies *proxies = nullptr);
  /// Write a key to both stores.
  void put (const std::string &key, const std::string &value);
  void remove (const std::string &key);
  /// Write an item to both stores whose JSON in answers is this text.
  void put_raw (const std::string &key, const std::string &json);
  /// Copies of both stores, for restore_stores.
  std::array<Store::Copy, 2> copy_stores ();
  /// Both stores come back from copies.
  void restore_stores (const std::array<Store::Copy, 2> &copies);
  ~Site ();
  /// Poll until a condition holds.
  /// @return  False after the time-out.
  static bool wait_for (const std::function<bool ()> &condition,
                        int timeout_ms = kWaitMs);
  /// Wait until an engine's sidecar has identified an incarnation of it.
  /// @param id  Empty: any.
  /// @return    False after the time-out.
  static bool wait_identified (const Engine &engine, const std::string &id,
                               int timeout_ms = kWaitMs);
  /// Write the operator's configuration document.
  /// @param extra_route  More routes, each after a comma.
  void write_config (int version, const std::string &extra_route = "",
                     int stream_timeout_ms = 8000);
  /// Write the store entry of an engine.
  /// @param born_shift_ms  Added to the birth time that the entry states.
  void list_engine (size_t at, const std::string &state = "ready",
                    int64_t born_shift_ms = 0);
  /// The same for an incarnation of it that may be an earlier one.
  void list_incarnation (size_t at, const Incarnation &incarnation,
                         const std::string &state = "ready",
                         int64_t born_shift_ms = 0);
  void list_plain (size_t at, const std::string &state = "ready",
                   int64_t born_shift_ms = 0);
  /// Stop a daemon with a signal and start it again.
  void restart (Daemon *daemon, int signal);
  /// @param stdout_fd  Receives the log; negative: the log file does.
  void start (Daemon *daemon, int stdout_fd = -1);
  /// Restart the targets that crashed or hang as new incarnations and list
  /// them.
  void restart_ended_targets ();
  /// Restart one engine that crashed.
  void restart_engine (size_t at);
  /// Time between the removal of ended targets' entries and the entries of
  /// their next incarnations.
  int relist_delay_ms = 0;
  /// Crashes and hangs of all targets that requests caused.
  int crash_count ();
  /// Requests whose path contains this text crash the target that runs them;
  /// empty: none does.
  void crash_on_path (const std::string &text);
  void stop (Daemon *daemon, int signal);
  /// Restart all daemons as if their VMs had this much memory.
  void limit_memory (int memory_mb);
  /// @return  Whether no daemon ended by itself since it was started.
  bool are_daemons_running () const;
  /// Wait until all gateways serve; print why when they don't.
  bool wait_ready ();
  /// Print the last lines of each daemon's log.
  void print_logs (size_t max_lines);
  /// Wait until each gateway has saved up this many retries since its start.
  void wait_for_retries (int count);
  int ready_status (size_t gateway = 0);
  /// Lines of a daemon's log that contain all of the texts.
  static std::vector<std::string>
  log_lines (const Daemon &daemon, const std::vector<std::string> &texts);
  int runs_of (const std::string &attempt_id);
  int
  inner_port () const
  {
    return inner_port_;
  }

  int engine_slots = 8;       ///< In the documents and entries that follow.
  int max_body_bytes = 65536; ///< In the documents that follow.
  std::string dir;
  std::string config; ///< The document that was written last.
  /// Additional members of the configuration documents that follow, each after
  /// a comma.
  std::string config_members;
  Store store;
  Store mirror_store; ///< Read by the last of several gateways.
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<Target>> plain;
  std::vector<Gateway> gateways;

private:
  void write_settings (const Daemon &daemon, const std::string &members,
                       const Store &store);
  void restart_target (Target *target);
  std::chrono::steady_clock::time_point started_
      = std::chrono::steady_clock::now ();
  int inner_port_;
  Proxies *proxies_;
  int incarnations_ = 0;
};

/// A request of a caller.
struct Call
{
  std::string path = "/plain/x";
  std::string method = "GET";
  std::string id;
  std::string headers; ///< Header lines, each terminated by CRLF.
  std::string body;
  int deadline_ms = 6000;
  std::string from; ///< The caller's IP address; empty: any.
  std::string text () const;
};

Call stream_call (const std::string &id, const std::string &adapter,
                  bool is_resumable = true);
/// Send a request on a new connection and read the answer.
Message send_call (const Gateway &gateway, const Call &call);
Call plain_call (const std::string &id, const std::string &path = "/plain/x");
/// The metrics page of an engine's sidecar; empty when it does not answer.
std::string metrics_of (const Engine &engine);
/// Event ids from 1 to `last`, as a complete stream has them.
std::vector<int> ids_up_to (int last);
/// Ids of the events in a body, in order.
std::vector<int> event_ids (const std::string &body);
/// @return  A body without what follows its last complete event.
std::string complete_events (const std::string &body);
/// Software versions that the events in a body name.
std::set<std::string> event_versions (const std::string &body);
/// @return  Versions of the adapter that the events of a stream name.
std::set<std::string> event_adapter_versions (const std::string &body);
/// @return  Bodies of the requests that the events of a stream name.
std::set<std::string> event_requests (const std::string &body);
/// The request by which a caller continues a stream.
/// @param resumes  Attempt that brought its first event; empty: not named.
Call continued (Call call, const std::string &id, int last_event,
                const std::string &resumes);

} // namespace relay

#endif
