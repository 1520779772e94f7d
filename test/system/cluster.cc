#include "cluster.h"

#include "launcher.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <openssl/sha.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace kb
{

namespace
{

const char *const kOperatorKey = "operator-key";

size_t
collect_body (char *data, size_t size, size_t count, void *arg)
{
  static_cast<std::string *> (arg)->append (data, size * count);
  return size * count;
}

size_t
collect_header (char *data, size_t size, size_t count, void *arg)
{
  auto &headers = *static_cast<std::map<std::string, std::string> *> (arg);
  std::string line (data, size * count);
  size_t colon = line.find (':');
  if (colon != std::string::npos)
    {
      std::string name = line.substr (0, colon);
      std::transform (name.begin (), name.end (), name.begin (), ::tolower);
      size_t from = line.find_first_not_of (" ", colon + 1);
      size_t to = line.find_last_not_of ("\r\n");
      headers[name] = from == std::string::npos || to < from
                          ? ""
                          : line.substr (from, to - from + 1);
    }
  return size * count;
}

void
write_text (const std::string &path, const std::string &text)
{
  std::ofstream (path) << text;
}

std::string
bin_dir ()
{
  const char *dir = getenv ("KB_BIN_DIR");
  return dir != nullptr ? dir : KB_DEFAULT_BIN_DIR;
}

} // namespace

std::string
sha256_hex (const std::string &text)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256 (reinterpret_cast<const unsigned char *> (text.data ()), text.size (),
          digest);
  std::string out;
  char hex[3];
  for (unsigned char byte : digest)
    {
      snprintf (hex, sizeof hex, "%02x", byte);
      out += hex;
    }
  return out;
}

Answer
http_call (const std::string &method, int port, const std::string &path,
           const std::string &body, const Headers &headers, long timeout_ms,
           bool is_tls)
{
  Answer answer;
  CURL *curl = curl_easy_init ();
  std::string url = std::string (is_tls ? "https" : "http")
                    + "://127.0.0.1:" + std::to_string (port) + path;
  curl_slist *list = nullptr;
  for (const auto &header : headers)
    list = curl_slist_append (list, header.c_str ());
  list = curl_slist_append (list, "Expect:");
  curl_easy_setopt (curl, CURLOPT_URL, url.c_str ());
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  // The test certificate is self-signed.
  curl_easy_setopt (curl, CURLOPT_SSL_VERIFYPEER, 0L);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method.c_str ());
  if (method != "GET")
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body.c_str ());
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)body.size ());
    }
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, collect_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &answer.headers);
  answer.is_complete = curl_easy_perform (curl) == CURLE_OK;
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (curl, CURLINFO_TOTAL_TIME, &answer.seconds);
  answer.status = (int)status;
  curl_slist_free_all (list);
  curl_easy_cleanup (curl);
  return answer;
}

Cluster::Cluster (const ClusterOptions &o) : options (o)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  char path[] = "kb-cluster-XXXXXX";
  const char *base = getenv ("TMPDIR");
  std::string full
      = std::string (base != nullptr ? base : "/tmp") + "/" + path;
  std::vector<char> name (full.begin (), full.end ());
  name.push_back ('\0');
  if (mkdtemp (name.data ()) == nullptr)
    throw std::runtime_error ("cannot create a temporary directory");
  dir = name.data ();
  config_dir = dir + "/config";
  mkdir (config_dir.c_str (), 0700);
  char keys[4][41];
  zmq_curve_keypair (keys[0], keys[1]);
  zmq_curve_keypair (keys[2], keys[3]);
  for (int i = 0; i < 4; i++)
    curve_keys_[i] = keys[i];
}

Cluster::~Cluster ()
{
  std::vector<Process *> all = { &kv, &list };
  for (auto &t : targets)
    {
      all.push_back (&t.agent);
      all.push_back (&t.fake);
    }
  for (auto &e : entries)
    all.push_back (&e.process);
  for (Process *p : all)
    if (p->pid != 0)
      {
        kill (p->pid, SIGKILL);
        waitpid (p->pid, nullptr, 0);
      }
  if (getenv ("KB_KEEP_LOGS") == nullptr)
    {
      std::string remove = "rm -rf '" + dir + "'";
      if (system (remove.c_str ()) != 0)
        fprintf (stderr, "cannot remove %s\n", dir.c_str ());
    }
}

Process
Cluster::spawn (const std::string &name, const std::vector<std::string> &args)
{
  Process process;
  process.name = name;
  process.log_path = dir + "/" + name + ".log";
  int out[2];
  if (pipe (out) != 0)
    throw std::runtime_error ("pipe");
  pid_t pid = launch_process ([&] {
    dup2 (out[1], STDOUT_FILENO);
    int log = open ((dir + "/" + name + ".err").c_str (),
                    O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2 (log, STDERR_FILENO);
    for (int fd = 3; fd < 256; fd++)
      close (fd);
    std::vector<char *> argv;
    for (const auto &arg : args)
      argv.push_back (const_cast<char *> (arg.c_str ()));
    argv.push_back (nullptr);
    execv (argv[0], argv.data ());
  });
  close (out[1]);
  process.pid = pid;
  // Log lines may precede the line with the ports.
  std::string line;
  char c;
  size_t http = std::string::npos;
  while (http == std::string::npos && read (out[0], &c, 1) == 1)
    {
      if (c != '\n')
        {
          line += c;
          continue;
        }
      http = line.find ("http=");
      if (http == std::string::npos)
        line.clear ();
    }
  size_t inner = line.find ("inner=");
  if (http == std::string::npos)
    throw std::runtime_error (name + " did not start: " + line);
  process.http_port = atoi (line.c_str () + http + 5);
  process.inner_port = atoi (line.c_str () + inner + 6);
  // Logs and spans follow on standard output; keep the pipe drained.
  int fd = out[0];
  std::string span_path = process.log_path;
  std::thread ([fd, span_path] {
    std::ofstream sink (span_path, std::ios::app);
    char buffer[4096];
    ssize_t got;
    while ((got = read (fd, buffer, sizeof buffer)) > 0)
      {
        sink.write (buffer, got);
        sink.flush ();
      }
    close (fd);
  }).detach ();
  return process;
}

void
Cluster::start_fake (Target &t, int port)
{
  std::vector<std::string> args
      = { bin_dir () + "/kbfake", t.is_plain ? "plain" : "engine" };
  if (port != 0)
    args.push_back (std::to_string (port));
  t.fake = spawn ("fake-" + t.name, args);
  fault (t.fake, "{\"slots\":" + std::to_string (t.slots) + "}");
}

void
Cluster::start_agent (Target &t, int inner_port)
{
  std::ostringstream s;
  s << "{ // settings of an agent\n \"role\":\"agent\",\"name\":\"" << t.name
    << "\",\"failure_domain\":\"" << t.domain << "\",\"service\":\""
    << t.service << "\",\"target_kind\":\""
    << (t.is_plain ? "plain" : "engine")
    << "\",\"target_port\":" << t.fake.http_port << ",\"slots\":" << t.slots
    << ",\"max_batch\":" << t.max_batch << ",\"kv_port\":" << kv.http_port
    << ",\"list_port\":" << list.http_port
    << ",\"load_rate_per_s\":" << options.load_rate_per_s
    << ",\"load_concurrency\":" << options.load_concurrency
    << ",\"inner_port\":" << inner_port << ",\"operator_key\":\""
    << kOperatorKey << "\"," << options.extra_agent;
  if (options.has_curve)
    s << "\"curve_public_key\":\"" << curve_keys_[0]
      << "\",\"curve_secret_key\":\"" << curve_keys_[1]
      << "\",\"curve_agent_key\":\"" << curve_keys_[0]
      << "\",\"curve_entry_key\":\"" << curve_keys_[2] << "\",";
  s << "\"log_level\":\"info\"}\n";
  std::string path = dir + "/" + t.name + ".json";
  write_text (path, s.str ());
  t.agent = spawn (t.name, { bin_dir () + "/knapweedbayd", path });
}

void
Cluster::start_entry (EntryNode &e, int http_port, int inner_port)
{
  std::ostringstream s;
  s << "{\"role\":\"entry\",\"name\":\"" << e.name
    << "\",\"failure_domain\":\"" << e.domain
    << "\",\"kv_port\":" << kv.http_port << ",\"list_port\":" << list.http_port
    << ",\"http_port\":" << http_port << ",\"inner_port\":" << inner_port
    << ",\"load_rate_per_s\":" << options.load_rate_per_s
    << ",\"load_concurrency\":" << options.load_concurrency
    << ",\"list_poll_ms\":200,\"operator_key\":\"" << kOperatorKey << "\","
    << options.extra_entry;
  if (options.has_curve)
    s << "\"curve_public_key\":\"" << curve_keys_[2]
      << "\",\"curve_secret_key\":\"" << curve_keys_[3]
      << "\",\"curve_agent_key\":\"" << curve_keys_[0]
      << "\",\"curve_entry_key\":\"" << curve_keys_[2] << "\",";
  s << "\"log_level\":\"info\"}\n";
  std::string path = dir + "/" + e.name + ".json";
  write_text (path, s.str ());
  e.process = spawn (e.name, { bin_dir () + "/knapweedbayd", path });
}

void
Cluster::use_stand_in (Target &target, const std::string &address)
{
  kill_process (target.agent, SIGKILL);
  target.fake.http_port
      = atoi (address.substr (address.find (':') + 1).c_str ());
  start_agent (target);
}

Target *
Cluster::find_target (bool is_plain)
{
  for (Target &target : targets)
    if (target.is_plain == is_plain)
      return &target;
  return nullptr;
}

void
Cluster::publish (const std::vector<std::string> &leaving,
                  const std::vector<std::string> &missing)
{
  auto has = [] (const std::vector<std::string> &names, const std::string &n) {
    return std::find (names.begin (), names.end (), n) != names.end ();
  };
  std::ostringstream s;
  s << "{\"vms\":[";
  bool first = true;
  for (const std::string &entry : odd_entries)
    {
      s << (first ? "" : ",") << entry;
      first = false;
    }
  auto add = [&] (const std::string &name, const char *role,
                  const std::string &domain, int port) {
    if (has (missing, name) || port == 0)
      return;
    s << (first ? "" : ",") << "{\"name\":\"" << name
      << "\",\"address\":\"127.0.0.1\",\"port\":" << port << ",\"role\":\""
      << role << "\",\"failure_domain\":\"" << domain << "\",\"state\":\""
      << (has (leaving, name) ? "leaving" : "live") << "\"}";
    first = false;
  };
  for (auto &t : targets)
    add (t.name, "agent", t.domain, t.agent.inner_port);
  for (auto &e : entries)
    add (e.name, "entry", e.domain, e.process.inner_port);
  s << "]}";
  http_call ("POST", list.http_port, "/v1/vms", s.str ());
}

void
Cluster::write_config ()
{
  std::ostringstream s;
  s << "{\n // services of both kinds\n \"services\": {\n"
       "  \"report\": {\"kind\": \"engine\", \"base_model\": \"base\"},\n"
       "  \"map-query\": {\"kind\": \"plain\", \"idempotent\": false}\n },\n"
       " \"workspaces\": {\n"
       "  \"kavango\": {\"key_sha256\": \""
    << sha256_hex ("kavango-key")
    << "\", \"class\": 2, \"weight\": 2},\n  \"skjamynd\": {\"key_sha256\": \""
    << sha256_hex ("skjamynd-key")
    << "\", \"class\": 2, \"weight\": 1},\n  \"reseller\": {\"key_sha256\": \""
    << sha256_hex ("reseller-key")
    << "\", \"class\": 5, \"weight\": 1},\n  \"officer\": {\"key_sha256\": \""
    << sha256_hex ("officer-key")
    << "\", \"class\": 0, \"weight\": 4}\n }\n}\n";
  write_text (config_dir + "/10-base.json", s.str ());
  std::ostringstream a;
  a << "{ \"adapters\": {\n";
  for (int i = 0; i < options.adapters; i++)
    a << "  \"a" << i
      << "\": {\"service\": \"report\", \"current\": 1, \"versions\": {\"1\": "
         "\"ws://a"
      << i << "/1\", \"2\": \"ws://a" << i << "/2\"}}"
      << (i + 1 < options.adapters ? "," : "") << "\n";
  a << "} }\n";
  write_text (config_dir + "/20-adapters.json", a.str ());
}

/// Run one of the programs.
/// @return  Its exit code.
static int
run_program (const char *name, const std::vector<std::string> &args,
             std::string *output)
{
  std::string command = bin_dir () + "/" + name;
  for (const auto &arg : args)
    command += " '" + arg + "'";
  command += " 2>&1";
  FILE *pipe = popen (command.c_str (), "r");
  char buffer[4096];
  size_t got;
  std::string text;
  while ((got = fread (buffer, 1, sizeof buffer, pipe)) > 0)
    text.append (buffer, got);
  int code = pclose (pipe);
  if (output != nullptr)
    *output = text;
  return WEXITSTATUS (code);
}

int
Cluster::cli (const std::vector<std::string> &args, std::string *output)
{
  return run_program ("knapweedbay", args, output);
}

int
Cluster::check_settings (const std::string &path, std::string *output)
{
  return run_program ("knapweedbayd", { "--check", path }, output);
}

int
Cluster::apply (std::string *output)
{
  return cli ({ "apply", "--kv", "127.0.0.1:" + std::to_string (kv.http_port),
                config_dir },
              output);
}

void
Cluster::start ()
{
  kv = spawn ("kv", { bin_dir () + "/kbfake", "kv" });
  list = spawn ("list", { bin_dir () + "/kbfake", "list" });
  for (int i = 0; i < options.engines + options.plains; i++)
    {
      Target t;
      t.is_plain = i >= options.engines;
      t.name = (t.is_plain ? "plain" : "engine") + std::to_string (i);
      t.domain = options.domains[(size_t)i % options.domains.size ()];
      t.service = t.is_plain ? "map-query" : "report";
      t.slots = options.slots;
      t.max_batch = options.max_batch;
      targets.push_back (t);
    }
  for (auto &t : targets)
    {
      start_fake (t);
      start_agent (t);
    }
  for (int i = 0; i < options.entries; i++)
    {
      EntryNode e;
      e.name = "entry" + std::to_string (i);
      e.domain = options.domains[(size_t)i % options.domains.size ()];
      entries.push_back (e);
    }
  for (auto &e : entries)
    start_entry (e);
  publish ();
  write_config ();
  std::string output;
  if (apply (&output) != 0)
    throw std::runtime_error ("apply: " + output);
  if (!wait_ready ())
    throw std::runtime_error ("the cluster did not become ready; logs in "
                              + dir);
}

Process
Cluster::start_service (const std::string &role, const std::string &name)
{
  return spawn (name, { bin_dir () + "/kbfake", role });
}

void
Cluster::fault (const Process &process, const std::string &json)
{
  http_call ("POST", process.http_port, "/fault", json);
}

json_object *
Cluster::stats (const Process &process)
{
  Answer answer = http_call ("GET", process.http_port, "/stats");
  return json_tokener_parse (answer.body.c_str ());
}

int
Cluster::runs_of (const std::string &prompt)
{
  int total = 0;
  for (auto &t : targets)
    {
      json_object *doc = stats (t.fake);
      json_object *runs = nullptr;
      json_object *count = nullptr;
      if (json_object_object_get_ex (doc, "runs", &runs)
          && json_object_object_get_ex (runs, prompt.c_str (), &count))
        total += json_object_get_int (count);
      json_object_put (doc);
    }
  return total;
}

int
Cluster::runs_at (const Target &target)
{
  json_object *doc = stats (target.fake);
  json_object *runs = nullptr;
  int sum = 0;
  if (json_object_object_get_ex (doc, "runs", &runs))
    {
      json_object_object_foreach (runs, prompt, count)
      {
        (void)prompt;
        sum += json_object_get_int (count);
      }
    }
  json_object_put (doc);
  return sum;
}

int64_t
Cluster::stat_at (const Target &target, const char *name)
{
  json_object *doc = stats (target.fake);
  json_object *value = nullptr;
  int64_t out = 0;
  if (json_object_object_get_ex (doc, name, &value))
    out = json_object_get_int64 (value);
  json_object_put (doc);
  return out;
}

int64_t
Cluster::stat_sum (const char *name)
{
  int64_t total = 0;
  for (auto &t : targets)
    total += stat_at (t, name);
  return total;
}

bool
Cluster::wait_until (const std::function<bool ()> &condition, int timeout_ms)
{
  auto end = std::chrono::steady_clock::now ()
             + std::chrono::milliseconds (timeout_ms);
  while (std::chrono::steady_clock::now () < end)
    {
      if (condition ())
        return true;
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
    }
  return condition ();
}

int64_t
Cluster::status_int (const Process &process, const char *name)
{
  Answer answer
      = http_call ("GET", process.http_port, "/v1/status", "",
                   { std::string ("Authorization: Bearer ") + kOperatorKey });
  json_object *doc = json_tokener_parse (answer.body.c_str ());
  json_object *value = nullptr;
  int64_t number = -1;
  if (json_object_object_get_ex (doc, name, &value))
    number = json_object_get_int64 (value);
  json_object_put (doc);
  return number;
}

int64_t
Cluster::metric (const Process &process, const std::string &name)
{
  Answer answer = http_call ("GET", process.http_port, "/metrics");
  std::istringstream lines (answer.body);
  std::string line;
  while (std::getline (lines, line))
    if (line.compare (0, name.size () + 1, name + " ") == 0)
      return atoll (line.c_str () + name.size () + 1);
  return 0;
}

bool
Cluster::wait_ready ()
{
  return wait_until (
      [&] {
        int64_t shards = 0;
        for (auto &e : entries)
          {
            if (http_call ("GET", e.process.http_port, "/readyz").status
                != 200)
              return false;
            Answer answer = http_call (
                "GET", e.process.http_port, "/v1/status", "",
                { std::string ("Authorization: Bearer ") + kOperatorKey });
            size_t up = 0;
            size_t at = 0;
            while ((at = answer.body.find ("\"state\":\"up\"", at))
                   != std::string::npos)
              {
                up++;
                at++;
              }
            if (up < targets.size () + entries.size () - 1)
              return false;
            shards += status_int (e.process, "shards_owned");
          }
        for (auto &t : targets)
          if (status_int (t.agent, "registered") != 1
              || http_call ("GET", t.agent.http_port, "/readyz").status != 200)
            return false;
        return shards == 64;
      },
      30000);
}

void
Cluster::kill_process (Process &process, int signal)
{
  kill (process.pid, signal);
  if (signal == SIGKILL)
    {
      waitpid (process.pid, nullptr, 0);
      process.pid = 0;
    }
}

int
Cluster::wait_exit (Process &process, int timeout_ms)
{
  int code = -1;
  wait_until (
      [&] {
        int status;
        if (waitpid (process.pid, &status, WNOHANG) != process.pid)
          return false;
        code = WIFEXITED (status) ? WEXITSTATUS (status) : -2;
        process.pid = 0;
        return true;
      },
      timeout_ms);
  return code;
}

Answer
Cluster::complete (int entry, const std::string &model,
                   const std::string &prompt, const Headers &extra, int tokens,
                   bool is_stream, const std::string &key)
{
  Headers headers = extra;
  headers.push_back ("Authorization: Bearer " + key);
  headers.push_back ("Content-Type: application/json");
  std::string body = "{\"model\":\"" + model + "\",\"prompt\":\"" + prompt
                     + "\",\"max_tokens\":" + std::to_string (tokens)
                     + (is_stream ? ",\"stream\":true}" : "}");
  return http_call ("POST", entries[(size_t)entry].process.http_port,
                    "/v1/completions", body, headers, 60000);
}

static std::string
choice_text (json_object *doc)
{
  json_object *choices = nullptr;
  json_object *text = nullptr;
  if (!json_object_object_get_ex (doc, "choices", &choices))
    return "";
  json_object_object_get_ex (json_object_array_get_idx (choices, 0), "text",
                             &text);
  const char *value = json_object_get_string (text);
  return value == nullptr ? "" : value;
}

std::string
Cluster::text_of (const Answer &answer)
{
  json_object *doc = json_tokener_parse (answer.body.c_str ());
  std::string text = choice_text (doc);
  json_object_put (doc);
  return text;
}

std::string
Cluster::text_of_stream (const Answer &answer)
{
  std::istringstream lines (answer.body);
  std::string line;
  std::string text;
  bool done = false;
  while (std::getline (lines, line))
    {
      if (line.compare (0, 6, "data: ") != 0)
        continue;
      std::string data = line.substr (6);
      if (data == "[DONE]")
        {
          done = true;
          continue;
        }
      json_object *doc = json_tokener_parse (data.c_str ());
      text += choice_text (doc);
      json_object_put (doc);
    }
  return done ? text : text + " <cut>";
}

std::string
Cluster::expected_text (const std::string &model, const std::string &prompt,
                        int tokens)
{
  std::string text = model + "|" + prompt;
  for (int i = 1; i < tokens; i++)
    text += " t" + std::to_string (i);
  return text;
}

} // namespace kb
