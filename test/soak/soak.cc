#include "soak.h"

#include <random>

namespace relay
{

namespace
{

/// Checks read the logs of the daemons.
[[maybe_unused]] const bool kLogsAllLines = Site::logs_all_lines = true;

constexpr int kAdapters = 12;
/// Interval between the requests that crash targets, and the number of
/// intervals that a target stays down.
constexpr int kFatalIntervalMs = 200;
constexpr int kDownIntervals = 4;
constexpr int kFatalTimeoutMs = 1000;
/// Part of prompts that crashes engines, and the interval of such requests.
const char kBadPart[] = "bad0";
constexpr int kBadPartIntervalMs = 250;
/// The key is revoked after 1/n of the time of the faults.
constexpr int kKeyRevokedAfterDivisor = 3;
constexpr int kWorkspaceCallers = 3;
constexpr int kImpatientCallers = 24;
/// Bound in the settings of the daemons.
constexpr int kLeaveBoundMs = 2000;
/// A gateway may miss this much of a pause, and send this many requests in the
/// rest.
constexpr int kPauseEffectiveAfterMs = 500;
constexpr int kMaxDuringPause = 2;
/// Time between events of streams that are to be continued.
constexpr int kContinuedEventMs = 12;
constexpr int kMaxContinuations = 2;
/// Streams whose order is checked run for longer, and many at once.
constexpr int kOrderedEventMs = 50;
constexpr int kOrderedSlots = 32;

void
sleep_until_offset (std::chrono::steady_clock::time_point start, int at_ms)
{
  std::this_thread::sleep_until (start + std::chrono::milliseconds (at_ms));
}

Call
random_call (std::mt19937_64 &random, const std::string &id, Record *record)
{
  int kind = (int)(random () % 4);
  record->id = id;
  record->is_stream = kind < 2;
  record->is_repeatable = kind == 0 || kind == 2;
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
unlimited_workspace ()
{
  return workspace ("free", { "k-free" });
}

/// Two callers that send without delay exceed this quota.
std::string
limited_workspace ()
{
  return workspace ("red", { "k-red" },
                    ",\"RatePerS\":" + std::to_string (kSoakQuotaRate)
                        + ",\"Burst\":" + std::to_string (kSoakQuotaBurst));
}

} // namespace

Soak::Soak (uint64_t seed, int length_ms, const SoakSize &size)
    : seed_ (seed), length_ms_ (length_ms), size_ (size),
      plan_ (draw_plan (seed, length_ms, size.engines)),
      site_ (size.engines, size.plain, size.gateways, &proxies_)
{
}

const std::vector<Violation> &
Soak::run ()
{
  if (!site_.wait_ready ())
    {
      add_violation ("", "the site did not start");
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
  if (seed_ > kLastSeedWithPatientCallers)
    {
      threads.emplace_back ([this] { freeze_gateways (); });
      for (int i = 0; i < kImpatientCallers; i++)
        threads.emplace_back ([this, i] { impatient_loop (i); });
    }
  bool has_order = seed_ > kLastSeedWithoutOrder;
  if (has_order)
    {
      begin_order ();
      for (int i = 0; i < size_.streams; i++)
        threads.emplace_back ([this, i] { ordered_loop (i); });
    }
  threads.emplace_back ([this] { config_probe_loop (); });
  bool has_fatal_caller = seed_ > kLastSeedWithInitialKinds;
  if (has_fatal_caller)
    threads.emplace_back ([this] { fatal_request_loop (); });
  bool has_bad_part = seed_ > kLastSeedWithFramedAnswers;
  if (has_bad_part)
    {
      vary_framing ();
      threads.emplace_back ([this] { bad_part_loop (); });
    }
  if (seed_ > kLastSeedWithOneVersion)
    for (const Engine &engine : site_.engines)
      engine.target->event_ms
          = has_order ? kOrderedEventMs : kContinuedEventMs;
  inject ();
  heal ();
  std::this_thread::sleep_for (std::chrono::seconds (3));
  if (has_fatal_caller)
    check_fatal_requests ();
  if (has_bad_part)
    check_bad_part (kBadPart);
  is_done_ = true;
  for (auto &thread : threads)
    thread.join ();
  check_served ();
  if (has_workspaces)
    {
      check_revoked_key ();
      check_quota ();
    }
  check_limits ();
  check_announcement ("target_states_leaving", kLeaveBoundMs, 0);
  check_announcement ("target_paused", kPauseEffectiveAfterMs,
                      kMaxDuringPause);
  for (const auto &record : records_)
    check_record (record);
  check_abandoned ();
  check_engines ();
  check_repeats ();
  check_versions ();
  if (has_order)
    check_order ();
  check_recovery ();
  check_innocent_requests ();
  check_configuration ();
  check_version ();
  check_leaving ();
  check_graceful_stop ();
  if (seed_ > kLastSeedWithOneVersion)
    check_continuation ();
  if (has_order)
    check_processes ();
  return violations_;
}

/// Let engines run many streams at once, whose events name their requests.
void
Soak::begin_order ()
{
  site_.engine_slots = kOrderedSlots;
  write_config ();
  for (size_t i = 0; i < site_.engines.size (); i++)
    {
      site_.engines[i].target->names_requests = true;
      site_.engines[i].target->newest_version = 1;
      site_.list_engine (i);
    }
}

/// Apply the plan; lasting faults overlap with later ones.
void
Soak::inject ()
{
  auto start = std::chrono::steady_clock::now ();
  std::multimap<int, std::pair<const FaultStep *, bool>> timeline;
  for (const FaultStep &fault_step : plan_)
    {
      timeline.insert ({ fault_step.at_ms, { &fault_step, true } });
      if (fault_step.duration_ms > 0)
        timeline.insert ({ fault_step.at_ms + fault_step.duration_ms,
                           { &fault_step, false } });
    }
  if (seed_ > kLastSeedWithoutWorkspaces)
    timeline.insert (
        { length_ms_ / kKeyRevokedAfterDivisor, { nullptr, true } });
  for (const auto &[at_ms, timeline_entry] : timeline)
    {
      sleep_until_offset (start, at_ms);
      if (seed_ > kLastSeedWithoutOrder)
        check_processes ();
      if (timeline_entry.first == nullptr)
        revoke_key ();
      else
        timeline_entry.second ? begin_fault (*timeline_entry.first)
                              : end_fault (*timeline_entry.first);
    }
}

/// A caller reuses its connection as long as the gateway keeps it open.
void
Soak::call_loop (int caller)
{
  std::mt19937_64 random (seed_ * 1000 + (uint64_t)caller);
  std::unique_ptr<Connection> connection;
  const Gateway *gateway = nullptr;
  for (int n = 0; !is_done_; n++)
    {
      Record record;
      Call call = random_call (
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
      record.answer = connection->read_response (4000);
      bool is_kept_alive = record.answer.is_complete
                           && record.answer.status != 0
                           && record.answer.header ("connection") != "close";
      if (!is_kept_alive)
        connection.reset ();
      if (seed_ > kLastSeedWithOneVersion && record.is_stream
          && record.is_repeatable && record.answer.status == 200
          && !record.answer.is_complete)
        continue_stream (record, random ());
      std::lock_guard<std::mutex> lock (mutex_);
      records_.push_back (record);
    }
}

void
Soak::continue_stream (const Record &record, uint64_t random)
{
  Continuation result;
  result.first_id = record.id;
  result.events = complete_events (record.answer.body);
  for (int i = 0; i < kMaxContinuations && !result.is_complete; i++)
    {
      std::vector<int> ids = event_ids (result.events);
      if (ids.empty ())
        return;
      const Gateway &gateway
          = site_.gateways[(random + (uint64_t)i) % site_.gateways.size ()];
      Call call = continued (stream_call ("", record.adapter),
                             record.id + "." + std::to_string (i), ids.back (),
                             record.id);
      call.headers += key_line_;
      Message answer = send_call (gateway, call);
      if (answer.status == 200)
        result.events += complete_events (answer.body);
      result.is_complete = answer.status == 200 && answer.is_complete;
      std::this_thread::sleep_for (std::chrono::milliseconds (30));
    }
  std::lock_guard<std::mutex> lock (mutex_);
  continuations_.push_back (result);
}

/// Two requests that crash each target that begins to run them are sent
/// repeatedly through any gateway; crashed targets restart after a short time.
void
Soak::fatal_request_loop ()
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
        connection->read_response (kFatalTimeoutMs);
      if (n % kDownIntervals == 0)
        site_.restart_ended_targets ();
      std::this_thread::sleep_for (
          std::chrono::milliseconds (kFatalIntervalMs));
    }
  site_.crash_on_path ("");
  site_.restart_ended_targets ();
}

/// Some targets answer without a length, and all end such an answer when a
/// request crashes them.
void
Soak::vary_framing ()
{
  static const CrashAnswer answers[]
      = { CrashAnswer::NONE, CrashAnswer::HEAD, CrashAnswer::HALF,
          CrashAnswer::WHOLE };
  static const CrashAnswer spoiled[]
      = { CrashAnswer::NOT_HTTP, CrashAnswer::BAD_CHUNK,
          CrashAnswer::ERROR_500, CrashAnswer::NO_SEAL };
  for (int i = 0; i < size_.engines + size_.plain; i++)
    {
      target_at (i).is_unframed = (seed_ + (uint64_t)i) % 2 == 0;
      target_at (i).crash_answer = answers[seed_ % std::size (answers)];
      if (seed_ > kLastSeedWithoutOverload)
        target_at (i).crash_answer
            = spoiled[(seed_ + (uint64_t)i) % std::size (spoiled)];
    }
}

/// No two of these requests are alike; sound ones share their first part.
void
Soak::bad_part_loop ()
{
  std::mt19937_64 random (seed_ + 1);
  for (const Engine &engine : site_.engines)
    engine.target->crash_on_part (kBadPart);
  for (int n = 0; !is_done_; n++)
    {
      std::string id = "part" + std::to_string (n);
      Call call = stream_call (id, "a" + std::to_string (n % kAdapters));
      call.path = "/resume/" + id;
      call.headers = "X-Knapweedbay-Model: m\r\nX-Knapweedbay-Prompt-Prefix: "
                     "aa:50,"
                     + std::string (kBadPart) + ":40," + id + ":20\r\n"
                     + key_line_;
      auto connection
          = dial (site_.gateways[random () % site_.gateways.size ()].address);
      if (connection != nullptr && connection->write (call.text ()))
        connection->read_response (kFatalTimeoutMs);
      std::this_thread::sleep_for (
          std::chrono::milliseconds (kBadPartIntervalMs));
    }
  for (const Engine &engine : site_.engines)
    engine.target->crash_on_part ("");
}

/// One workspace is unlimited, one reaches its quota, one loses its only key.
void
Soak::begin_workspaces ()
{
  set_workspaces (&site_, { unlimited_workspace (), limited_workspace (),
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
Soak::revoke_key ()
{
  set_workspaces (&site_, { unlimited_workspace (), limited_workspace () });
  write_config ();
  key_revoked_at_ = std::chrono::steady_clock::now ();
}

/// One caller's key is revoked; the others exceed a quota.
void
Soak::workspace_loop (int caller)
{
  std::string key = caller == 0 ? "k-gone" : "k-red";
  std::mt19937_64 random (seed_ * 1000 + 500 + (uint64_t)caller);
  for (int n = 0; !is_done_; n++)
    {
      Record record;
      record.can_lose_key = caller == 0;
      std::string id
          = "w" + std::to_string (caller) + "-" + std::to_string (n);
      Call call = random_call (random, id, &record);
      call.headers += key_line (key);
      const Gateway &gateway
          = site_.gateways[random () % site_.gateways.size ()];
      record.gateway = gateway.daemon.name;
      record.answer = send_call (gateway, call);
      std::lock_guard<std::mutex> lock (mutex_);
      records_.push_back (record);
    }
}

/// A process that served a route of a configuration keeps serving it.
void
Soak::config_probe_loop ()
{
  std::map<pid_t, int> served_versions;
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
      bool is_newest_tried
          = n / size_.gateways % 2 == 0 || served_versions.count (pid) == 0;
      int version = is_newest_tried ? newest : served_versions[pid];
      Call call;
      call.id = "v" + std::to_string (n);
      call.path = probe_path (version);
      call.deadline_ms = 1000;
      call.headers += key_line_;
      Message m = send_call (gateway, call);
      bool is_same = pid == gateway.daemon.pid;
      if (m.status == 200 && is_same)
        served_versions[pid] = std::max (served_versions[pid], version);
      if (m.status == 404 && is_same && !is_newest_tried)
        add_violation (call.id, gateway.daemon.name + " served configuration "
                                    + std::to_string (version)
                                    + " and then denied its route");
      std::this_thread::sleep_for (std::chrono::milliseconds (40));
    }
}

} // namespace relay
