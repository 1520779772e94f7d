#include "site.h"

#include "launcher.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>

namespace relay
{

/// Last octet of the first gateway's address; engines use the lower ones.
static constexpr int kGatewayHost = 200;
static constexpr int kStoreHost = 240;
static constexpr int kMirrorStoreHost = 241;
static constexpr int kPlainHost
    = 242; ///< All plain targets; their ports differ.

static std::string
binary ()
{
  const char *dir = getenv ("KB_BIN_DIR");
  return std::string (dir != nullptr ? dir : KB_DEFAULT_BIN_DIR)
         + "/knapweedbayd";
}

/// A loopback address that belongs to this process. A port that is chosen for
/// a daemon is free until another process binds it, and several test programs
/// run sites at the same time; with addresses of its own, no other process can
/// bind the ports.
/// @param net  0 for daemons and targets, 1 for the proxies in front of them.
static std::string
process_ip (int net, int host)
{
  constexpr int kNets = 100;
  int pid = getpid ();
  return "127." + std::to_string (10 + net * kNets + pid / 256 % kNets) + "."
         + std::to_string (pid % 256) + "." + std::to_string (host);
}

/// Address of the proxy in front of an address of a target or store.
static std::string
proxy_ip (const std::string &ip)
{
  return process_ip (1, atoi (ip.c_str () + ip.rfind ('.') + 1));
}

bool
Site::wait_for (const std::function<bool ()> &condition, int timeout_ms)
{
  auto end = std::chrono::steady_clock::now ()
             + std::chrono::milliseconds (timeout_ms);
  while (!condition ())
    {
      if (std::chrono::steady_clock::now () > end)
        return false;
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
    }
  return true;
}

void
Site::write_settings (const Daemon &daemon, const std::string &members,
                      const Store &its_store)
{
  std::ofstream (daemon.settings_path)
      << "// for a test\n{\"interface\":\"relay\",\"name\":\"" << daemon.name
      << "\",\"failure_domain\":\"d1\",\"inner_port\":"
      << inner_port_
      // A kept log must be complete: raise the rate limit of the log.
      << (logs_all_lines || getenv ("KB_KEEP_LOGS") != nullptr
              ? ",\"log_lines_per_s\":100000"
              : "")
      << ",\"grace_s\":6,\"quota_window_s\":" << kQuotaWindowS
      << ",\"quota_overshoot\":" << kQuotaOvershoot
      << ",\"quota_slack\":" << kQuotaSlack << ",\"store_address\":\""
      << (proxies_ != nullptr ? proxies_->store (its_store.address ())
                              : its_store.address ())
      << "\"," << members << "}\n";
}

void
Site::put (const std::string &key, const std::string &value)
{
  store.put (key, value);
  mirror_store.put (key, value);
}

void
Site::remove (const std::string &key)
{
  store.remove (key);
  mirror_store.remove (key);
}

void
Site::put_raw (const std::string &key, const std::string &json)
{
  store.put_raw (key, json);
  mirror_store.put_raw (key, json);
}

std::array<Store::Copy, 2>
Site::copy_stores ()
{
  return { store.copy (), mirror_store.copy () };
}

void
Site::restore_stores (const std::array<Store::Copy, 2> &copies)
{
  store.restore (copies[0]);
  mirror_store.restore (copies[1]);
}

static Daemon
make_daemon (const std::string &dir, const std::string &name)
{
  Daemon daemon;
  daemon.name = name;
  daemon.settings_path = dir + "/" + name + ".json";
  daemon.log_path = dir + "/" + name + ".log";
  return daemon;
}

static std::string
port_of (const std::string &address)
{
  return address.substr (address.find (':') + 1);
}

std::string
Proxies::engine (const std::string &ip, const std::string &address,
                 int inner_port)
{
  std::string &listed = by_address_[address];
  if (!listed.empty ())
    return listed;
  // Gateways reach the sidecar at the listed IP address and the inner port.
  std::string outer = proxy_ip (ip);
  // First, since the other proxy gets any port that is free there.
  auto inner = std::make_unique<Proxy> (outer, inner_port, ip, inner_port);
  all.push_back (std::make_unique<Proxy> (outer, 0, ip,
                                          atoi (port_of (address).c_str ())));
  listed = outer + ":" + std::to_string (all.back ()->port ());
  proxies_by_address_[address] = all.back ().get ();
  agents.push_back (inner.get ());
  all.push_back (std::move (inner));
  return listed;
}

std::string
Proxies::plain (const std::string &address)
{
  std::string &listed = by_address_[address];
  if (listed.empty ())
    {
      std::string ip = address.substr (0, address.find (':'));
      std::string outer = proxy_ip (ip);
      all.push_back (std::make_unique<Proxy> (
          outer, 0, ip, atoi (port_of (address).c_str ())));
      listed = outer + ":" + std::to_string (all.back ()->port ());
      proxies_by_address_[address] = all.back ().get ();
    }
  return listed;
}

Proxy *
Proxies::in_front_of (const std::string &address)
{
  return proxies_by_address_.at (address);
}

std::string
Proxies::store (const std::string &address)
{
  return plain (address);
}

Site::Site (int engine_count, int plain_count, int gateway_count,
            Proxies *proxies)
    : store (process_ip (0, kStoreHost)),
      mirror_store (process_ip (0, kMirrorStoreHost)), proxies_ (proxies)
{
  char pattern[] = "/tmp/kb-relay-XXXXXX";
  dir = mkdtemp (pattern);
  inner_port_ = free_port (process_ip (0, 1));
  store.mirror_to (&mirror_store);
  mirror_store.mirror_to (&store);
  write_config (1);
  for (int i = 0; i < engine_count; i++)
    {
      Engine e;
      e.ip = process_ip (0, i + 1);
      e.target
          = std::make_unique<Target> (e.ip, "i-e" + std::to_string (i), true);
      e.sidecar = make_daemon (dir, "sidecar" + std::to_string (i));
      int metrics_port = free_port (e.ip);
      e.metrics = e.ip + ":" + std::to_string (metrics_port);
      std::string advertised = proxies_ == nullptr ? e.ip : proxy_ip (e.ip);
      write_settings (e.sidecar,
                      "\"role\":\"agent\",\"service\":\"models\","
                      "\"advertised_address\":\""
                          + advertised + "\",\"listen_address\":\"" + e.ip
                          + "\",\"engine_address\":\"" + e.target->address ()
                          + "\",\"metrics_port\":"
                          + std::to_string (metrics_port),
                      store);
      engines.push_back (std::move (e));
      list_engine (engines.size () - 1);
      start (&engines.back ().sidecar);
    }
  for (int i = 0; i < plain_count; i++)
    {
      plain.push_back (std::make_unique<Target> (
          process_ip (0, kPlainHost), "i-p" + std::to_string (i), false));
      list_plain (plain.size () - 1);
    }
  for (int i = 0; i < gateway_count; i++)
    {
      Gateway g;
      std::string ip = process_ip (0, kGatewayHost + i);
      g.address = ip + ":" + std::to_string (free_port (ip));
      g.ready = ip + ":" + std::to_string (free_port (ip));
      g.daemon = make_daemon (dir, "gateway" + std::to_string (i));
      write_settings (g.daemon,
                      "\"role\":\"entry\",\"public_address\":\"" + g.address
                          + "\",\"ready_address\":\"" + g.ready
                          + "\",\"revoke_bound_ms\":"
                          + std::to_string (kRevokeBoundMs),
                      i > 0 && i == gateway_count - 1 ? mirror_store : store);
      gateways.push_back (g);
      start (&gateways.back ().daemon);
    }
}

Site::~Site ()
{
  for (auto &g : gateways)
    stop (&g.daemon, SIGKILL);
  for (auto &e : engines)
    stop (&e.sidecar, SIGKILL);
  if (getenv ("KB_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all (dir);
}

void
Site::start (Daemon *daemon, int stdout_fd)
{
  daemon->pid = launch_process ([daemon, stdout_fd] {
    int log = open (daemon->log_path.c_str (), O_CREAT | O_WRONLY | O_APPEND,
                    0600);
    dup2 (stdout_fd >= 0 ? stdout_fd : log, STDOUT_FILENO);
    dup2 (log, STDERR_FILENO);
    close_range (3, UINT_MAX, 0);
    if (daemon->max_descriptors > 0)
      {
        rlimit limit{ (rlim_t)daemon->max_descriptors,
                      (rlim_t)daemon->max_descriptors };
        setrlimit (RLIMIT_NOFILE, &limit);
      }
    execl (binary ().c_str (), "knapweedbayd", daemon->settings_path.c_str (),
           nullptr);
  });
}

void
Site::stop (Daemon *daemon, int signal)
{
  if (daemon->pid == 0)
    return;
  kill (daemon->pid, signal);
  kill (daemon->pid, SIGCONT);
  waitpid (daemon->pid, nullptr, 0);
  daemon->pid = 0;
}

void
Site::limit_memory (int memory_mb)
{
  std::vector<Daemon *> daemons;
  for (Gateway &gateway : gateways)
    daemons.push_back (&gateway.daemon);
  for (Engine &engine : engines)
    daemons.push_back (&engine.sidecar);
  for (Daemon *daemon : daemons)
    {
      std::ifstream in (daemon->settings_path);
      std::string text ((std::istreambuf_iterator<char> (in)),
                        std::istreambuf_iterator<char> ());
      text.insert (text.find ('{') + 1,
                   "\"memory_mb\":" + std::to_string (memory_mb) + ",");
      std::ofstream (daemon->settings_path) << text;
      restart (daemon, SIGKILL);
    }
}

bool
Site::are_daemons_running () const
{
  auto has_ended = [] (const Daemon &daemon) {
    siginfo_t info = {};
    return daemon.pid == 0
           || waitid (P_PID, (id_t)daemon.pid, &info,
                      WEXITED | WNOHANG | WNOWAIT)
                  != 0
           || info.si_pid != 0;
  };
  bool is_any_ended = false;
  for (const Gateway &gateway : gateways)
    is_any_ended = is_any_ended || has_ended (gateway.daemon);
  for (const Engine &engine : engines)
    is_any_ended = is_any_ended || has_ended (engine.sidecar);
  return !is_any_ended;
}

void
Site::restart (Daemon *daemon, int signal)
{
  stop (daemon, signal);
  start (daemon);
}

void
Site::write_config (int version, const std::string &extra_route,
                    int stream_timeout_ms)
{
  std::string timeout = std::to_string (stream_timeout_ms);
  auto stream_route = [&] (const char *name, const char *resumable,
                           int attempts, int priority) {
    return std::string ("{\"Name\":\"") + name
           + "\",\"Host\":\"a.example\",\"Prefix\":\"/" + name
           + "/\",\"Kind\":\"streaming\",\"TimeoutMs\":" + timeout
           + ",\"TargetLatencyMs\":800,\"Priority\":"
           + std::to_string (priority)
           + ",\"Service\":\"models\",\"MaxAttempts\":"
           + std::to_string (attempts) + ",\"Resumable\":" + resumable
           + ",\"GapTargetMs\":300}";
  };
  auto plain_route = [] (const char *name, const char *kind, int attempts) {
    return std::string ("{\"Name\":\"") + name
           + "\",\"Host\":\"a.example\",\"Prefix\":\"/" + name
           + "/\",\"Kind\":\"" + kind
           + "\",\"TimeoutMs\":2000,\"TargetLatencyMs\":150,\"Priority\":2,"
             "\"Service\":\"maps\",\"MaxAttempts\":"
           + std::to_string (attempts) + "}";
  };
  config = "{\"Version\":" + std::to_string (version) + ",\"Routes\":["
           + stream_route ("resume", "true", 2, 1) + ","
           + stream_route ("once", "false", 1, 0) + ","
           + plain_route ("plain", "safe", 2) + ","
           + plain_route ("unsafe", "unsafe", 1) + extra_route
           + "],\"Services\":[{\"Name\":\"models\",\"HealthPath\":\"/health\","
             "\"MaxConns\":100,\"Engine\":{\"Slots\":"
           + std::to_string (engine_slots)
           + ",\"KvCapacity\":100000,"
             "\"Models\":[{\"Name\":\"m\",\"WeightsMb\":100,\"LoadTimeS\":0.1,"
             "\"AdapterSizeMb\":1}],\"WeightsMb\":200,\"AdapterSlots\":4,"
             "\"LoadsPerS\":4}},{\"Name\":\"maps\",\"HealthPath\":\"/health\","
             "\"MaxConns\":100}],\"Limits\":{\"MaxHeaderBytes\":4096,"
             "\"MaxBodyBytes\":"
           + std::to_string (max_body_bytes)
           + ",\"HeaderTimeoutMs\":600,"
             "\"IdleTimeoutMs\":3000}"
           + config_members + "}";
  put ("op/config", config);
}

/// Store entry of a target, in the format that targets write.
static std::string
entry_of (const Incarnation &target, const std::string &service,
          const std::string &address, int slots, const std::string &state,
          int64_t born_shift_ms)
{
  return "{\"Service\":\"" + service + "\",\"Address\":\"" + address
         + "\",\"Zone\":\"d1\",\"Version\":\"" + target.software
         + "\",\"Slots\":" + std::to_string (slots) + ",\"State\":\"" + state
         + "\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":"
         + std::to_string (target.born_ms + born_shift_ms) + "}";
}

void
Site::list_engine (size_t at, const std::string &state, int64_t born_shift_ms)
{
  list_incarnation (at, engines[at].target->incarnation (), state,
                    born_shift_ms);
}

void
Site::list_incarnation (size_t at, const Incarnation &incarnation,
                        const std::string &state, int64_t born_shift_ms)
{
  Target &target = *engines[at].target;
  std::string address
      = proxies_ == nullptr
            ? target.address ()
            : proxies_->engine (engines[at].ip, target.address (),
                                inner_port_);
  put ("servers/" + incarnation.id,
       entry_of (incarnation, "models", address, engine_slots, state,
                 born_shift_ms));
}

void
Site::list_plain (size_t at, const std::string &state, int64_t born_shift_ms)
{
  Target &target = *plain[at];
  std::string address = proxies_ == nullptr
                            ? target.address ()
                            : proxies_->plain (target.address ());
  Incarnation incarnation = target.incarnation ();
  put ("servers/" + incarnation.id,
       entry_of (incarnation, "maps", address, 6, state, born_shift_ms));
}

void
Site::restart_target (Target *target)
{
  remove ("servers/" + target->id ());
  target->restart ("i-again" + std::to_string (incarnations_++));
  target->listen_again ();
  target->is_hung = false;
}

void
Site::restart_engine (size_t at)
{
  restart_target (engines[at].target.get ());
  std::this_thread::sleep_for (std::chrono::milliseconds (relist_delay_ms));
  list_engine (at);
}

void
Site::restart_ended_targets ()
{
  std::vector<std::function<void ()>> late_entries;
  auto list = [&] (std::function<void ()> write_entry) {
    if (relist_delay_ms == 0)
      write_entry ();
    else
      late_entries.push_back (std::move (write_entry));
  };
  for (size_t i = 0; i < engines.size (); i++)
    if (engines[i].target->has_exited () || engines[i].target->is_hung)
      {
        restart_target (engines[i].target.get ());
        list ([this, i] { list_engine (i); });
      }
  for (size_t i = 0; i < plain.size (); i++)
    if (plain[i]->has_exited ())
      {
        restart_target (plain[i].get ());
        list ([this, i] { list_plain (i); });
      }
  if (late_entries.empty ())
    return;
  std::this_thread::sleep_for (std::chrono::milliseconds (relist_delay_ms));
  for (const auto &write_entry : late_entries)
    write_entry ();
}

int
Site::crash_count ()
{
  int sum = 0;
  for (const Engine &engine : engines)
    sum += engine.target->crash_count;
  for (const auto &target : plain)
    sum += target->crash_count;
  return sum;
}

void
Site::crash_on_path (const std::string &text)
{
  for (const Engine &engine : engines)
    engine.target->crash_on_path (text);
  for (const auto &target : plain)
    target->crash_on_path (text);
}

int
Site::ready_status (size_t gateway)
{
  auto connection = dial (gateways[gateway].ready);
  if (connection == nullptr)
    return 0;
  connection->write ("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  return connection->read_response (1000).status;
}

void
Site::print_logs (size_t max_lines)
{
  std::vector<const Daemon *> daemons;
  for (const Gateway &gateway : gateways)
    daemons.push_back (&gateway.daemon);
  for (const Engine &engine : engines)
    daemons.push_back (&engine.sidecar);
  for (const Daemon *daemon : daemons)
    {
      auto lines = log_lines (*daemon, {});
      size_t from = lines.size () > max_lines ? lines.size () - max_lines : 0;
      fprintf (stderr, "%s: process %d, %zu lines\n", daemon->name.c_str (),
               (int)daemon->pid, lines.size ());
      for (size_t i = from; i < lines.size (); i++)
        fprintf (stderr, "  %s\n", lines[i].c_str ());
    }
}

bool
Site::wait_ready ()
{
  int status = 0;
  auto fail = [&] (const char *what, size_t gateway) {
    fprintf (stderr, "gateway %zu %s: status %d\n", gateway, what, status);
    print_logs (20);
    return false;
  };
  for (size_t i = 0; i < gateways.size (); i++)
    if (!wait_for ([&] { return (status = ready_status (i)) == 200; }))
      return fail ("is not ready", i);
  // Each gateway must have served a stream, so that its links to the sidecars
  // are up.
  for (size_t i = 0; !engines.empty () && i < gateways.size (); i++)
    if (!wait_for ([&] {
          status = send_call (gateways[i], stream_call ("warm", "")).status;
          return status == 200;
        }))
      return fail ("serves no stream", i);
  return true;
}

void
Site::wait_for_retries (int count)
{
  // Half of the default slack of 50 in a window of 10 s, over all gateways.
  constexpr int per_retry_ms = 10000 / 25;
  std::this_thread::sleep_until (
      started_
      + std::chrono::milliseconds ((count + 1) * (int)gateways.size ()
                                   * per_retry_ms));
}

bool
Site::wait_identified (const Engine &engine, const std::string &id,
                       int timeout_ms)
{
  return wait_for (
      [&] {
        return !log_lines (engine.sidecar, { "engine_identified", id })
                    .empty ();
      },
      timeout_ms);
}

std::vector<std::string>
Site::log_lines (const Daemon &daemon, const std::vector<std::string> &texts)
{
  std::vector<std::string> found;
  std::ifstream log (daemon.log_path);
  std::string line;
  while (std::getline (log, line))
    {
      bool has_all = true;
      for (const auto &text : texts)
        has_all = has_all && line.find (text) != std::string::npos;
      if (has_all)
        found.push_back (line);
    }
  return found;
}

int
Site::runs_of (const std::string &attempt_id)
{
  int sum = 0;
  for (auto &e : engines)
    sum += e.target->runs_of (attempt_id);
  for (auto &p : plain)
    sum += p->runs_of (attempt_id);
  return sum;
}

std::string
Call::text () const
{
  std::string out = method + " " + path
                    + " HTTP/1.1\r\nHost: a.example\r\n"
                      "X-Knapweedbay-Attempt-Id: "
                    + id + "\r\nX-Knapweedbay-Deadline-Ms: "
                    + std::to_string (deadline_ms) + "\r\n" + headers;
  if (!body.empty ())
    out += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  return out + "\r\n" + body;
}

Call
stream_call (const std::string &id, const std::string &adapter,
             bool is_resumable)
{
  Call call;
  call.path = is_resumable ? "/resume/x" : "/once/x";
  call.method = "POST";
  call.id = id;
  call.headers = "X-Knapweedbay-Model: m"
                 + (adapter.empty () ? "" : "/" + adapter)
                 + "\r\nX-Knapweedbay-Token-Counts: 100,50\r\n"
                   "X-Knapweedbay-Prompt-Prefix: aa:50,bb:50\r\n";
  call.body = "a prompt";
  return call;
}

Message
send_call (const Gateway &gateway, const Call &call)
{
  auto connection = dial (gateway.address, call.from);
  if (connection == nullptr || !connection->write (call.text ()))
    return Message ();
  return connection->read_response ();
}

std::string
metrics_of (const Engine &engine)
{
  auto connection = dial (engine.metrics);
  if (connection == nullptr
      || !connection->write ("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"))
    return "";
  return connection->read_response ().body;
}

std::vector<int>
ids_up_to (int last)
{
  std::vector<int> ids ((size_t)last);
  std::iota (ids.begin (), ids.end (), 1);
  return ids;
}

Call
plain_call (const std::string &id, const std::string &path)
{
  Call call;
  call.id = id;
  call.path = path;
  return call;
}

std::vector<int>
event_ids (const std::string &body)
{
  std::vector<int> ids;
  size_t at = 0;
  while ((at = body.find ("id: ", at)) != std::string::npos)
    {
      ids.push_back (atoi (body.c_str () + at + 4));
      at += 4;
    }
  return ids;
}

std::string
complete_events (const std::string &body)
{
  size_t end = body.rfind ("\n\n");
  return end == std::string::npos ? "" : body.substr (0, end + 2);
}

/// @return  What follows a mark in the events of a stream, to the line's end.
static std::set<std::string>
values_after (const std::string &body, const std::string &mark)
{
  std::set<std::string> values;
  for (size_t at = body.find (mark); at != std::string::npos;
       at = body.find (mark, at + 1))
    {
      size_t from = at + mark.size ();
      values.insert (body.substr (from, body.find ('\n', from) - from));
    }
  return values;
}

std::set<std::string>
event_versions (const std::string &body)
{
  return values_after (body, "\n: ");
}

std::set<std::string>
event_adapter_versions (const std::string &body)
{
  return values_after (body, "\nadapter: ");
}

std::set<std::string>
event_requests (const std::string &body)
{
  return values_after (body, "\nrequest: ");
}

Call
continued (Call call, const std::string &id, int last_event,
           const std::string &resumes)
{
  call.id = id;
  call.headers += "Last-Event-Id: " + std::to_string (last_event) + "\r\n";
  if (!resumes.empty ())
    call.headers += "Resumes: " + resumes + "\r\n";
  return call;
}

} // namespace relay
