/// @file soak.h
/// One soak run: the real daemons as separate processes on loopback, a plan of
/// faults from outside them, callers that never stop, and checks of what
/// callers and targets saw.
#ifndef KB_TEST_SOAK_SOAK_H
#define KB_TEST_SOAK_SOAK_H

#include <future>

#include "plan.h"
#include "workspaces.h"

namespace relay
{

/// Quota of the workspace that is pressed.
constexpr int kSoakQuotaRate = 150;
constexpr int kSoakQuotaBurst = 150;

/// What a caller saw of one request.
struct Record
{
  std::string id;
  std::string gateway; ///< Its name.
  std::string adapter; ///< Empty: none.
  bool is_stream = false;
  bool may_repeat = false;
  Message answer;
  bool may_lack_key = false; ///< Its key is taken away.
};

struct Violation
{
  std::string attempt_id; ///< Empty: of no single request.
  std::string text;
};

struct SoakSize
{
  int engines = 3;
  int plain = 2;
  int gateways = 2;
  int callers = 8;
};

class Soak
{
public:
  Soak (uint64_t seed, int length_ms, const SoakSize &size = {});
  /// @return  What was violated, in the order in which it was found.
  const std::vector<Violation> &play ();
  /// Seed, plan, first violation, and the log lines of its request.
  std::string report () const;

private:
  // soak.cc
  void inject ();
  void begin (const Step &step);
  void end (const Step &step);
  void restart (Daemon &daemon, int signal);
  void signal_to (Daemon &daemon, int signal);
  void write_config ();
  void name_version (int adapter);
  void fail_target (const Step &step);
  void restart_engine (int who);
  /// List a target as it is, or as it was before.
  void list_target (int who, int64_t born_shift_ms);
  void write_strange_entry (const Step &step);
  /// What targets stated ends with their lives.
  void end_statements ();
  void heal ();
  void call_loop (int caller);
  void probe_loop ();
  void fatal_loop ();
  void begin_workspaces ();
  void take_key_away ();
  void workspace_loop (int caller);
  Daemon &daemon_at (int who);
  Target &target_at (int who);
  Proxy &proxy_at (int who);

  // checks.cc
  void violate (const std::string &attempt_id, const std::string &text);
  Message ask (int gateway, Call call);
  void check_fatal ();
  void check_key_taken_away ();
  void check_limits ();
  void check_told (const std::string &event, int from_ms, int most);
  void check_quota ();
  void check_served ();
  void check_record (const Record &record);
  void check_stream (const Record &record);
  void check_engines ();
  void check_repeats ();
  void check_recovery ();
  void check_configuration ();
  void check_version ();
  void check_leaving ();
  void check_graceful_stop ();

  uint64_t seed_;
  int length_ms_;
  SoakSize size_;
  std::vector<Step> plan_;
  Proxies proxies_;
  Site site_;
  std::atomic<bool> is_done_{ false };
  std::mutex mutex_; ///< Of all below.
  std::vector<Record> records_;
  std::vector<Violation> violations_;
  std::set<Daemon *> restarting_;
  std::vector<std::future<void>> restarts_;
  std::string probe_routes_;
  std::string key_line_; ///< Of callers that keep their key; may be empty.
  std::chrono::steady_clock::time_point taken_away_;
  int config_version_ = 10;
  int adapter_version_ = 1;
  int incarnation_ = 0;
};

} // namespace relay

#endif
