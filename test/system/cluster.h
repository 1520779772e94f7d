/// @file cluster.h
/// Test harness: starts the product's daemons and fake dependencies (kbfake)
/// on loopback ports that the kernel chooses, and stops only what it started.
#ifndef KB_TEST_SYSTEM_CLUSTER_H
#define KB_TEST_SYSTEM_CLUSTER_H

#include <json-c/json.h>
#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kb
{

/// A child process that has printed the line with its ports.
struct Process
{
  pid_t pid = 0;
  int http_port = 0;
  int inner_port = 0;
  std::string name;
  std::string log_path;
};

/// Response of one HTTP call.
struct Answer
{
  int status = 0; ///< HTTP status; 0: no response head.
  bool is_complete = false;
  std::string body;
  std::map<std::string, std::string> headers;
  double seconds = 0;
};

using Headers = std::vector<std::string>;

/// Make a blocking HTTP call to the loopback address.
/// @param headers  Header lines, such as "Name: value".
Answer http_call (const std::string &method, int port, const std::string &path,
                  const std::string &body = "", const Headers &headers = {},
                  long timeout_ms = 20000, bool is_tls = false);

/// One target: a fake engine or plain service, and its agent.
struct Target
{
  std::string name;
  std::string domain;
  std::string service;
  bool is_plain = false;
  int slots = 4;
  int max_batch = 8;
  Process fake;
  Process agent;
};

/// One entry daemon.
struct EntryNode
{
  std::string name;
  std::string domain;
  Process process;
};

/// Size and settings of a cluster.
struct ClusterOptions
{
  int entries = 2;
  int engines = 4;
  int plains = 1;
  std::vector<std::string> domains
      = { "rundu-a", "rundu-b", "oshakati-a", "oshakati-b" };
  int adapters = 40;
  double load_rate_per_s = 200;
  int load_concurrency = 4;
  bool has_curve = true;
  /// Settings to add for each role, such as "\"max_inflight\":10,".
  std::string extra_entry;
  std::string extra_agent;
  int slots = 4;
  int max_batch = 8;
};

/// A cluster of entries, agents and fake targets, with a fake key-value
/// service and platform list.
class Cluster
{
public:
  explicit Cluster (const ClusterOptions &options);
  ~Cluster ();
  Cluster (const Cluster &) = delete;
  Cluster &operator= (const Cluster &) = delete;

  ClusterOptions options;
  Process kv;
  Process list;
  std::vector<Target> targets;
  std::vector<EntryNode> entries;
  std::string dir;        ///< Temporary directory of this cluster.
  std::string config_dir; ///< Configuration directory for `knapweedbay apply`.
  /// Raw entries that stand in front of the true ones in the list of VMs.
  std::vector<std::string> odd_entries;

  /// Start all processes and wait until the cluster is ready.
  void start ();
  /// Start another fake dependency. The caller stops it.
  /// @param role  "kv" or "list".
  Process start_service (const std::string &role, const std::string &name);
  void start_entry (EntryNode &entry, int http_port = 0, int inner_port = 0);
  void start_agent (Target &target, int inner_port = 0);
  void start_fake (Target &target, int port = 0);
  /// Let the agent of a target serve a stand-in in place of the fake target.
  /// @param address  Of the stand-in, as "ip:port".
  void use_stand_in (Target &target, const std::string &address);
  /// @return  The first target of a kind; NULL: there is none.
  Target *find_target (bool is_plain);
  /// Publish the platform list of VMs.
  /// @param leaving  Names to list in the state "leaving".
  /// @param missing  Names to omit.
  void publish (const std::vector<std::string> &leaving = {},
                const std::vector<std::string> &missing = {});
  /// Write the configuration files of the test services and workspaces.
  void write_config ();
  /// Run the operator CLI.
  /// @return  Its exit code.
  int cli (const std::vector<std::string> &args,
           std::string *output = nullptr);
  /// Run `apply` on the configuration directory.
  /// @return  The exit code.
  int apply (std::string *output = nullptr);
  /// Run the daemon with --check on a settings file.
  /// @return  Its exit code.
  int check_settings (const std::string &path, std::string *output);
  /// Inject faults into a fake process.
  void fault (const Process &process, const std::string &json);
  /// @return  The counters of a fake process; the caller frees them.
  json_object *stats (const Process &process);
  /// @return  Runs of a prompt or body, summed over all targets.
  int runs_of (const std::string &prompt);
  /// @return  All runs that one fake target counted.
  int runs_at (const Target &target);
  /// @return  One counter of a fake target; 0: it has none.
  int64_t stat_at (const Target &target, const char *name);
  /// @return  One counter, summed over all fake targets.
  int64_t stat_sum (const char *name);
  /// Wait until the condition holds.
  /// @return  False when it doesn't hold within the timeout.
  static bool wait_until (const std::function<bool ()> &condition,
                          int timeout_ms = 15000);
  /// Wait until all daemons are ready and connected, and all shards are owned.
  bool wait_ready ();
  /// @return  A number of the daemon's status page; -1: it has none.
  int64_t status_int (const Process &process, const char *name);
  /// @return  A metric of the daemon; 0: it has none.
  int64_t metric (const Process &process, const std::string &name);

  /// Send a signal; after SIGKILL also wait for the process to end.
  static void kill_process (Process &process, int signal);
  /// Wait for the process to end.
  /// @return  Its exit code; -1: still running; -2: ended by a signal.
  static int wait_exit (Process &process, int timeout_ms = 20000);

  /// Request a completion from an entry.
  /// @param key  Key of the workspace.
  Answer complete (int entry, const std::string &model,
                   const std::string &prompt, const Headers &extra = {},
                   int tokens = 8, bool is_stream = false,
                   const std::string &key = "kavango-key");
  static std::string text_of (const Answer &answer);
  /// @return  The joined text; " <cut>" is appended if [DONE] is missing.
  static std::string text_of_stream (const Answer &answer);
  /// @return  The text of a correct answer.
  static std::string expected_text (const std::string &model,
                                    const std::string &prompt, int tokens);

private:
  Process spawn (const std::string &name,
                 const std::vector<std::string> &args);
  std::string curve_keys_[4]; ///< Agent public, secret, entry public, secret.
};

std::string sha256_hex (const std::string &text);

} // namespace kb

#endif
