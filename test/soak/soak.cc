#include "soak.h"

#include <signal.h>

#include <random>

namespace relay
{

namespace
{

constexpr int kAdapters = 12;
/// Pause of the caller whose requests end targets, and how many such pauses a
/// target stays down.
constexpr int kFatalPauseMs = 200;
constexpr int kDownPauses = 4;
constexpr int kFatalTimeoutMs = 1000;
/// A key is taken away after this part of the faults.
constexpr int kKeyLastsParts = 3;
constexpr int kWorkspaceCallers = 3;
/// Bound of the settings that the daemons run with.
constexpr int kLeaveBoundMs = 2000;
/// Of a pause a gateway may miss this much, and send so many in the rest.
constexpr int kPauseHeardMs = 500;
constexpr int kWithinPause = 2;

void
sleep_until_ms (std::chrono::steady_clock::time_point start, int at_ms)
{
  std::this_thread::sleep_until (start + std::chrono::milliseconds (at_ms));
}

std::string
probe_path (int version)
{
  return "/v" + std::to_string (version) + "/";
}

Call
any_call (std::mt19937_64 &random, const std::string &id, Record *record)
{
  int kind = (int)(random () % 4);
  record->id = id;
  record->is_stream = kind < 2;
  record->may_repeat = kind == 0 || kind == 2;
  if (record->is_stream)
    {
      record->adapter = "a" + std::to_string (random () % kAdapters);
      return stream_call (id, record->adapter, kind == 0);
    }
  Call call;
  call.id = id;
  call.path = kind == 2 ? "/plain/x" : "/unsafe/x";
  call.deadline_ms = 3000;
  return call;
}

std::string
free_workspace ()
{
  return workspace ("free", { "k-free" });
}

/// Two callers without a pause ask for more than that.
std::string
red_workspace ()
{
  return workspace ("red", { "k-red" },
                    ",\"RatePerS\":" + std::to_string (kSoakQuotaRate)
                        + ",\"Burst\":" + std::to_string (kSoakQuotaBurst));
}

} // namespace

Soak::Soak (uint64_t seed, int length_ms, const SoakSize &size)
    : seed_ (seed), length_ms_ (length_ms), size_ (size),
      plan_ (draw_plan (seed, length_ms)),
      site_ (size.engines, size.plain, size.gateways, &proxies_)
{
}

const std::vector<Violation> &
Soak::play ()
{
  if (!site_.wait_ready ())
    {
      violate ("", "the site does not start");
      return violations_;
    }
  bool has_workspaces = seed_ > kLastSeedWithoutWorkspaces;
  if (has_workspaces)
    begin_workspaces ();
  std::vector<std::thread> threads;
  if (has_workspaces)
    for (int caller = 0; caller < kWorkspaceCallers; caller++)
      threads.emplace_back ([this, caller] { workspace_loop (caller); });
  for (int i = 0; i < size_.callers; i++)
    threads.emplace_back ([this, i] { call_loop (i); });
  threads.emplace_back ([this] { probe_loop (); });
  bool has_fatal_caller = seed_ > kLastSeedOfFirstKinds;
  if (has_fatal_caller)
    threads.emplace_back ([this] { fatal_loop (); });
  inject ();
  heal ();
  std::this_thread::sleep_for (std::chrono::seconds (3));
  if (has_fatal_caller)
    check_fatal ();
  is_done_ = true;
  for (auto &thread : threads)
    thread.join ();
  check_served ();
  if (has_workspaces)
    {
      check_key_taken_away ();
      check_quota ();
    }
  check_limits ();
  check_told ("target_states_leaving", kLeaveBoundMs, 0);
  check_told ("target_paused", kPauseHeardMs, kWithinPause);
  for (const auto &record : records_)
    check_record (record);
  check_engines ();
  check_repeats ();
  check_recovery ();
  check_configuration ();
  check_version ();
  check_leaving ();
  check_graceful_stop ();
  return violations_;
}

/// Carry the plan out; faults that last overlap with those that come later.
void
Soak::inject ()
{
  auto start = std::chrono::steady_clock::now ();
  std::multimap<int, std::pair<const Step *, bool>> moments;
  for (const Step &step : plan_)
    {
      moments.insert ({ step.at_ms, { &step, true } });
      if (step.for_ms > 0)
        moments.insert ({ step.at_ms + step.for_ms, { &step, false } });
    }
  if (seed_ > kLastSeedWithoutWorkspaces)
    moments.insert ({ length_ms_ / kKeyLastsParts, { nullptr, true } });
  for (const auto &[at_ms, moment] : moments)
    {
      sleep_until_ms (start, at_ms);
      if (moment.first == nullptr)
        take_key_away ();
      else
        moment.second ? begin (*moment.first) : end (*moment.first);
    }
}

Daemon &
Soak::daemon_at (int who)
{
  size_t at = (size_t)(who % (size_.engines + size_.gateways));
  return at < site_.engines.size ()
             ? site_.engines[at].sidecar
             : site_.gateways[at - site_.engines.size ()].daemon;
}

Target &
Soak::target_at (int who)
{
  size_t at = (size_t)(who % (size_.engines + size_.plain));
  return at < site_.engines.size () ? *site_.engines[at].target
                                    : *site_.plain[at - site_.engines.size ()];
}

Proxy &
Soak::proxy_at (int who)
{
  return *proxies_.all[(size_t)who % proxies_.all.size ()];
}

void
Soak::begin (const Step &step)
{
  static const Store::Mode modes[]
      = { Store::BUSY, Store::RESET, Store::SILENT };
  switch (step.kind)
    {
    case Kind::KILL:
      restart (daemon_at (step.who), SIGKILL);
      break;
    case Kind::TERMINATE:
      restart (daemon_at (step.who), SIGTERM);
      break;
    case Kind::PAUSE:
      signal_to (daemon_at (step.who), SIGSTOP);
      break;
    case Kind::HANGUP:
      signal_to (daemon_at (step.who), SIGHUP);
      break;
    case Kind::RESET_LINKS:
      proxy_at (step.who).reset_all ();
      break;
    case Kind::SILENCE_LINKS:
      proxy_at (step.who).silence_existing ();
      break;
    case Kind::CUT:
      proxy_at (step.who).set_path (Path::SILENT);
      break;
    case Kind::CUT_ONE_WAY:
      proxy_at (step.who).set_path (Path::ONE_WAY);
      break;
    case Kind::DELAY:
      proxy_at (step.who).set_delay_ms (5 + step.how % 60);
      break;
    case Kind::STORE_AWAY:
      (step.who % 2 == 0 ? site_.store : site_.mirror_store)
          .set_mode (modes[step.how % 3]);
      break;
    case Kind::FORGET_HISTORY:
      (step.who % 2 == 0 ? site_.store : site_.mirror_store).compact ();
      break;
    case Kind::CONFIGURATION:
      write_config ();
      break;
    case Kind::ADAPTER_VERSION:
      name_version (step.who % kAdapters);
      break;
    case Kind::FAILING_TARGET:
      fail_target (step);
      break;
    case Kind::RESTART_ENGINE:
      restart_engine (step.who);
      break;
    case Kind::TARGET_BORN_AGAIN:
      target_at (step.who).restart (target_at (step.who).id ());
      list_target (step.who, 0);
      break;
    case Kind::LATE_ENTRY:
      list_target (step.who, -1000 - step.how % 5000);
      break;
    case Kind::STRANGE_ENTRY:
      write_strange_entry (step);
      break;
    case Kind::STORE_MUTE:
      (step.who % 2 == 0 ? site_.store : site_.mirror_store)
          .stall_reads (step.how % 3 == 0 ? "op/" : "");
      break;
    case Kind::STATED_LIMIT:
      target_at (step.who).announce_limit (1 + step.how % 10);
      break;
    case Kind::STATED_LEAVING:
      target_at (step.who).announces_leaving = true;
      break;
    case Kind::STATED_PAUSE:
      target_at (step.who).pause_s = 0.5 + 0.5 * (step.how % 6);
      break;
    }
}

void
Soak::end (const Step &step)
{
  switch (step.kind)
    {
    case Kind::PAUSE:
      signal_to (daemon_at (step.who), SIGCONT);
      break;
    case Kind::CUT:
    case Kind::CUT_ONE_WAY:
      proxy_at (step.who).set_path (Path::OPEN);
      break;
    case Kind::DELAY:
      proxy_at (step.who).set_delay_ms (0);
      break;
    case Kind::STORE_AWAY:
      (step.who % 2 == 0 ? site_.store : site_.mirror_store)
          .set_mode (Store::HEALTHY);
      break;
    case Kind::STORE_MUTE:
      (step.who % 2 == 0 ? site_.store : site_.mirror_store).end_read_stall ();
      break;
    case Kind::STRANGE_ENTRY:
      list_target (step.who, 0);
      break;
    case Kind::STATED_PAUSE:
      target_at (step.who).pause_s = -1;
      break;
    default:
      break;
    }
}

/// Stop and start beside everything else. A process that is being stopped
/// already gets the signal on top.
void
Soak::restart (Daemon &daemon, int signal)
{
  std::lock_guard<std::mutex> lock (mutex_);
  if (!restarting_.insert (&daemon).second)
    {
      if (daemon.pid > 0)
        kill (daemon.pid, signal);
      return;
    }
  restarts_.push_back (
      std::async (std::launch::async, [this, &daemon, signal] {
        site_.restart (&daemon, signal);
        std::lock_guard<std::mutex> inner (mutex_);
        restarting_.erase (&daemon);
      }));
}

void
Soak::signal_to (Daemon &daemon, int signal)
{
  std::lock_guard<std::mutex> lock (mutex_);
  if (daemon.pid > 0)
    kill (daemon.pid, signal);
}

/// Each configuration adds a route of its own and keeps all earlier ones.
void
Soak::write_config ()
{
  int version = ++config_version_;
  probe_routes_ += ",{\"Name\":\"v" + std::to_string (version)
                   + "\",\"Host\":\"a.example\",\"Prefix\":\""
                   + probe_path (version)
                   + "\",\"Kind\":\"safe\",\"TimeoutMs\":1000,"
                     "\"TargetLatencyMs\":150,\"Service\":\"maps\","
                     "\"MaxAttempts\":2}";
  site_.write_config (version, probe_routes_, version % 2 == 0 ? 8000 : 4000);
}

void
Soak::name_version (int adapter)
{
  int version = ++adapter_version_;
  std::string name = "a" + std::to_string (adapter);
  for (auto &e : site_.engines)
    e.target->newest_version = version;
  site_.put ("op/version/m." + name,
             "{\"Model\":\"m\",\"Adapter\":\"" + name
                 + "\",\"Version\":" + std::to_string (version) + "}");
}

void
Soak::fail_target (const Step &step)
{
  std::vector<Fault> faults;
  for (int i = 0; i <= step.how % 6; i++)
    faults.push_back (
        (Fault)((step.how / 7 + i) % ((int)Fault::EXTRA_AFTER + 1)));
  target_at (step.who).fail_next (faults);
}

void
Soak::restart_engine (int who)
{
  size_t at = (size_t)(who % size_.engines);
  site_.remove ("servers/" + site_.engines[at].target->id ());
  // No id that a target which ended comes back under.
  site_.engines[at].target->restart ("i-new"
                                     + std::to_string (++incarnation_));
  site_.list_engine (at);
}

void
Soak::list_target (int who, int64_t born_shift_ms)
{
  size_t at = (size_t)(who % (size_.engines + size_.plain));
  if (at < site_.engines.size ())
    site_.list_engine (at, "ready", born_shift_ms);
  else
    site_.list_plain (at - site_.engines.size (), "ready", born_shift_ms);
}

void
Soak::write_strange_entry (const Step &step)
{
  static const std::string texts[]
      = { "",
          "{",
          "7",
          "{\"Service\":\"maps\"}",
          std::string (100000, '['),
          std::string ("\xff\x00\xfe", 3),
          "{\"Service\":\"maps\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"d1\","
          "\"Version\":\"v1\",\"Slots\":6,\"State\":\"warm\",\"Seq\":1}" };
  bool is_in_place = step.how % 2 == 0;
  std::string id = is_in_place ? target_at (step.who).id () : "stranger";
  site_.put ("servers/" + id, texts[(size_t)step.how / 2 % std::size (texts)]);
}

void
Soak::end_statements ()
{
  for (int i = 0; i < size_.engines + size_.plain; i++)
    if (target_at (i).limit_per_s >= 0 || target_at (i).announces_leaving)
      {
        target_at (i).restart (target_at (i).id ());
        list_target (i, 0);
      }
}

void
Soak::heal ()
{
  end_statements ();
  site_.store.set_mode (Store::HEALTHY);
  site_.mirror_store.set_mode (Store::HEALTHY);
  site_.store.end_read_stall ();
  site_.mirror_store.end_read_stall ();
  for (auto &proxy : proxies_.all)
    {
      proxy->set_path (Path::OPEN);
      proxy->set_delay_ms (0);
    }
  for (int i = 0; i < size_.engines + size_.plain; i++)
    target_at (i).fail_next ({});
  for (int i = 0; i < size_.engines + size_.gateways; i++)
    signal_to (daemon_at (i), SIGCONT);
  for (auto &restart : restarts_)
    restart.wait ();
}

/// A caller uses its connection for as long as it is kept open for it.
void
Soak::call_loop (int caller)
{
  std::mt19937_64 random (seed_ * 1000 + (uint64_t)caller);
  std::unique_ptr<Connection> connection;
  const Gateway *gateway = nullptr;
  for (int n = 0; !is_done_; n++)
    {
      Record record;
      Call call = any_call (
          random, "c" + std::to_string (caller) + "-" + std::to_string (n),
          &record);
      call.headers += key_line_;
      if (connection == nullptr)
        {
          gateway = &site_.gateways[random () % site_.gateways.size ()];
          connection = dial (gateway->address);
        }
      record.gateway = gateway->daemon.name;
      if (connection == nullptr || !connection->write (call.text ()))
        {
          connection.reset ();
          std::this_thread::sleep_for (std::chrono::milliseconds (30));
          continue;
        }
      record.answer = connection->read_answer (4000);
      bool is_kept = record.answer.is_whole && record.answer.status != 0
                     && record.answer.header ("connection") != "close";
      if (!is_kept)
        connection.reset ();
      std::lock_guard<std::mutex> lock (mutex_);
      records_.push_back (record);
    }
}

/// Two requests that end each target that begins to run them are sent again
/// and again, through any gateway; the targets are back after a moment.
void
Soak::fatal_loop ()
{
  std::mt19937_64 random (seed_);
  site_.crash_on_path ("/fatal");
  for (int n = 0; !is_done_; n++)
    {
      std::string id = "fatal" + std::to_string (n);
      Call call = stream_call (id, "a1");
      call.path = "/resume/fatal";
      if (n % 2 == 1)
        call = plain_call (id, "/plain/fatal");
      call.headers += key_line_;
      auto connection
          = dial (site_.gateways[random () % site_.gateways.size ()].address);
      if (connection != nullptr && connection->write (call.text ()))
        connection->read_answer (kFatalTimeoutMs);
      if (n % kDownPauses == 0)
        site_.restart_ended_targets ();
      std::this_thread::sleep_for (std::chrono::milliseconds (kFatalPauseMs));
    }
  site_.crash_on_path ("");
  site_.restart_ended_targets ();
}

/// One workspace has no limit, one is pressed, and one loses its only key.
void
Soak::begin_workspaces ()
{
  set_workspaces (&site_, { free_workspace (), red_workspace (),
                            workspace ("gone", { "k-gone" }) });
  key_line_ = key_line ("k-free");
  write_config ();
  for (const Gateway &gateway : site_.gateways)
    Site::wait_for ([&] {
      Call call = plain_call ("warm");
      call.headers = key_line ("k-gone");
      return send_call (gateway, call).status == 200;
    });
}

void
Soak::take_key_away ()
{
  set_workspaces (&site_, { free_workspace (), red_workspace () });
  write_config ();
  taken_away_ = std::chrono::steady_clock::now ();
}

/// One caller whose key is taken away, the others press a quota.
void
Soak::workspace_loop (int caller)
{
  std::string key = caller == 0 ? "k-gone" : "k-red";
  std::mt19937_64 random (seed_ * 1000 + 500 + (uint64_t)caller);
  for (int n = 0; !is_done_; n++)
    {
      Record record;
      record.may_lack_key = caller == 0;
      std::string id
          = "w" + std::to_string (caller) + "-" + std::to_string (n);
      Call call = any_call (random, id, &record);
      call.headers += key_line (key);
      const Gateway &gateway
          = site_.gateways[random () % site_.gateways.size ()];
      record.gateway = gateway.daemon.name;
      record.answer = send_call (gateway, call);
      std::lock_guard<std::mutex> lock (mutex_);
      records_.push_back (record);
    }
}

/// A process that served a route of some configuration never forgets it.
void
Soak::probe_loop ()
{
  std::map<pid_t, int> seen;
  for (int n = 0; !is_done_; n++)
    {
      const Gateway &gateway
          = site_.gateways[(size_t)n % site_.gateways.size ()];
      pid_t pid;
      int newest;
      {
        std::lock_guard<std::mutex> lock (mutex_);
        pid = gateway.daemon.pid;
        newest = config_version_;
      }
      bool tries_newest = n / size_.gateways % 2 == 0 || seen.count (pid) == 0;
      int version = tries_newest ? newest : seen[pid];
      Call call;
      call.id = "v" + std::to_string (n);
      call.path = probe_path (version);
      call.deadline_ms = 1000;
      call.headers += key_line_;
      Message m = send_call (gateway, call);
      bool is_same = pid == gateway.daemon.pid;
      if (m.status == 200 && is_same)
        seen[pid] = std::max (seen[pid], version);
      if (m.status == 404 && is_same && !tries_newest)
        violate (call.id, gateway.daemon.name + " served configuration "
                              + std::to_string (version)
                              + " and then denied its route");
      std::this_thread::sleep_for (std::chrono::milliseconds (40));
    }
}

} // namespace relay
