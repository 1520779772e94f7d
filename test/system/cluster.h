/// @file cluster.h
/// Starts the product's real processes and the stand-ins on loopback ports
/// that the kernel chooses, and ends only what it started.
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

/// A child process that printed its ready line.
struct Process
{
  pid_t pid = 0;
  int http_port = 0;
  int inner_port = 0;
  std::string name;
  std::string log_path;
};

/// Answer of one HTTP call.
struct Answer
{
  int status = 0; ///< 0: no whole answer.
  bool is_complete = false;
  std::string body;
  std::map<std::string, std::string> headers;
  double seconds = 0;
};

using Headers = std::vector<std::string>;

/// Blocking HTTP call.
Answer http_call (const std::string &method, int port, const std::string &path,
                  const std::string &body = "", const Headers &headers = {},
                  long timeout_ms = 20000, bool is_tls = false);

/// One target: stand-in, agent and their names.
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

struct EntryNode
{
  std::string name;
  std::string domain;
  Process process;
};

/// How a cluster is made.
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
  std::string extra_entry; ///< More settings, such as "\"max_inflight\":10,".
  std::string extra_agent;
  int slots = 4;
  int max_batch = 8;
};

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
  std::string dir;        ///< Scratch directory of this cluster.
  std::string config_dir; ///< Configuration folder.

  void start ();
  /// Another stand-in: "kv" or "list". The caller ends it.
  Process start_service (const std::string &role, const std::string &name);
  void start_entry (EntryNode &entry, int http_port = 0, int inner_port = 0);
  void start_agent (Target &target, int inner_port = 0);
  void start_fake (Target &target, int port = 0);
  /// Publish the platform list; names in `leaving` and `missing` are marked.
  void publish (const std::vector<std::string> &leaving = {},
                const std::vector<std::string> &missing = {});
  void write_config ();
  /// Run the operators' tool. @return its exit code.
  int cli (const std::vector<std::string> &args,
           std::string *output = nullptr);
  int apply (std::string *output = nullptr);
  /// Have the daemon check a settings file. @return its exit code.
  int check_settings (const std::string &path, std::string *output);
  void fault (const Process &process, const std::string &json);
  json_object *stats (const Process &process);
  /// Runs over all engines (or plain services) of a prompt or body.
  int runs_of (const std::string &prompt);
  /// All runs that one target counted.
  int runs_at (const Target &target);
  int64_t stat_at (const Target &target, const char *name);
  int64_t stat_sum (const char *name);
  /// Wait until the condition holds. @return false after the time.
  static bool wait_until (const std::function<bool ()> &condition,
                          int timeout_ms = 15000);
  bool wait_ready ();
  int64_t status_int (const Process &process, const char *name);
  int64_t metric (const Process &process, const std::string &name);

  static void kill_process (Process &process, int signal);
  /// Wait for the end. @return its exit code, or -1.
  static int wait_exit (Process &process, int timeout_ms = 20000);

  /// A completion. @param key workspace key.
  Answer complete (int entry, const std::string &model,
                   const std::string &prompt, const Headers &extra = {},
                   int tokens = 8, bool is_stream = false,
                   const std::string &key = "kavango-key");
  static std::string text_of (const Answer &answer);
  static std::string text_of_stream (const Answer &answer);
  /// The text a right answer has.
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
