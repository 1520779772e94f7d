/// @file deployment.h
/// A small deployment for the review's cases: the project's daemon as separate
/// processes, run as the deploy file runs it, with settings as
/// deploy/settings.template renders them, before stand-ins for the platform's
/// store and the replicas. All addresses are loopback addresses.
#ifndef KB_REVIEW_DEPLOYMENT_H
#define KB_REVIEW_DEPLOYMENT_H

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_peer.h"
#include "store_standin.h"
#include "target_standin.h"

namespace review
{

using Clock = std::chrono::steady_clock;

void sleep_ms (int ms);
int64_t now_ms ();   ///< Since the start of the program.
bool has_trouble (); ///< False with TROUBLE=0.
/// Poll until a condition holds.
bool wait_for (const std::function<bool ()> &condition, int timeout_ms);

/// record.txt: what was sent, answered and run.
class Record
{
public:
  explicit Record (const std::string &path) : out_ (path) {}
  void line (const std::string &text);

private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// A replica of a plain service, that serves `slots` requests at a time,
/// queues `queue` more and rejects the rest, health checks included.
class PlainReplica : public relay::Server
{
public:
  PlainReplica (const std::string &ip, const std::string &id, int slots,
                int queue, Record *record);
  ~PlainReplica () override { stop (); }
  std::string
  id () const
  {
    return id_;
  }
  int64_t
  born_ms () const
  {
    return born_ms_;
  }
  int runs_of (const std::string &attempt);
  std::map<std::string, int> runs ();
  /// Health checks that were rejected are answered twice; the second answer
  /// comes where the next response on that connection is expected.
  std::atomic<bool> sends_extra_answers{ false };
  std::atomic<int> answers{ 0 };
  std::atomic<int> extra_answers{ 0 };
  std::atomic<int> rejected_checks{ 0 };
  std::atomic<int> work_ms{ 60 };

private:
  bool serve (relay::Connection &connection,
              const relay::Message &request) override;
  bool enter (); ///< Wait for a slot; false: full.
  void leave ();
  std::string id_;
  int64_t born_ms_;
  int slots_;
  int queue_;
  Record *record_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::map<std::string, int> runs_;
  std::map<const relay::Connection *, std::string> held_answers_;
};

struct Process
{
  std::string name;
  std::string settings_path;
  std::string log_path;
  pid_t pid = 0;
};

struct Front
{
  std::string address;
  std::string ready;
  Process process;
};

struct Side
{
  std::unique_ptr<relay::Target> engine;
  Process process;
};

class Deployment
{
public:
  /// @param has_own_view  The last front reaches the store at an address of
  /// its
  ///   own, so that the store can turn it away and serve the other machines.
  /// @param unlisted_sides  The last replicas of so many are not in the store.
  Deployment (int fronts, int sides, bool has_own_view = false,
              int unlisted_sides = 0);
  ~Deployment ();
  /// Write a key as the operator or a replica does.
  void put (const std::string &key, const std::string &value);
  /// Address for a stand-in of this deployment.
  std::string ip (int host) const;
  void write_config (int version, const std::string &members = "");
  void list_plain (const PlainReplica &replica,
                   const std::string &state = "ready");
  void list_engine (size_t at, const std::string &state = "ready");
  void start (Process *process);
  void stop (Process *process, int signal);
  bool wait_ready (int timeout_ms = 12000);
  bool is_ready (const Front &front);

  std::string dir;
  int adapter_slots = 36; ///< In the configurations that follow.
  int engine_slots = 128;
  relay::Store store;
  relay::Store own_view; ///< The store as the last front sees it.
  std::vector<Front> fronts;
  std::vector<Side> sides;

private:
  std::string settings_of (const Process &process, const std::string &zone,
                           const std::string &ip,
                           const relay::Store &its_store,
                           const std::string &members) const;
  int inner_port_;
};

/// A client's request.
struct Call
{
  std::string method = "GET";
  std::string path;
  std::string id;
  std::string headers; ///< Each line with CRLF.
  std::string body;
  int deadline_ms = 1500;
};

std::string text_of (const Call &call);
/// Send on a new connection; status 0: no answer.
relay::Message send (const Front &front, const Call &call,
                     int timeout_ms = 3000);

} // namespace review

#endif
