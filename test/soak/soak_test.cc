// A randomized soak: the real programs as separate processes, faults from
// outside, and the promises checked from what callers and targets see.
//
// KB_SOAK_SEEDS ("7" or "1-50") and KB_SOAK_S (seconds of faults a seed)
// choose the runs; without them a short run with fixed seeds is played.
#include <gtest/gtest.h>

#include <signal.h>

#include <cstring>
#include <random>

#include "proxy.h"
#include "site.h"

namespace relay
{
namespace
{

constexpr int kEngines = 3;
constexpr int kPlain = 2;
constexpr int kGateways = 2;
constexpr int kCallers = 8;
constexpr int kAdapters = 12;

/// What a caller saw of one attempt.
struct Record
{
  std::string id;
  bool is_stream = false;
  bool may_repeat = false;
  Message answer;
};

class Soak
{
public:
  Soak (uint64_t seed, int seconds)
      : random_ (seed), seconds_ (seconds), seed_ (seed),
        site_ (kEngines, kPlain, kGateways, &proxies_)
  {
  }
  void
  play ()
  {
    ASSERT_TRUE (site_.wait_ready ()) << "seed " << seed_;
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; i++)
      callers.emplace_back ([this, i] { call_loop (i); });
    auto end
        = std::chrono::steady_clock::now () + std::chrono::seconds (seconds_);
    while (std::chrono::steady_clock::now () < end)
      {
        fault ();
        pause (20, 300);
      }
    heal ();
    is_done_ = true;
    for (auto &caller : callers)
      caller.join ();
    check_recovery ();
    check_promises ();
  }

private:
  int
  draw (int low, int high)
  {
    return std::uniform_int_distribution<> (low, high) (random_);
  }
  void
  pause (int low_ms, int high_ms)
  {
    std::this_thread::sleep_for (
        std::chrono::milliseconds (draw (low_ms, high_ms)));
  }
  Daemon &
  any_daemon ()
  {
    int at = draw (0, kEngines + kGateways - 1);
    return at < kEngines ? site_.engines[(size_t)at].sidecar
                         : site_.gateways[(size_t)(at - kEngines)].daemon;
  }
  Target &
  any_target ()
  {
    int at = draw (0, kEngines + kPlain - 1);
    return at < kEngines ? *site_.engines[(size_t)at].target
                         : *site_.plain[(size_t)(at - kEngines)];
  }
  Proxy &
  any_proxy ()
  {
    return *proxies_.all[(size_t)draw (0, (int)proxies_.all.size () - 1)];
  }
  /// One fault; series of them overlap.
  void
  fault ()
  {
    switch (draw (0, 13))
      {
      case 0:
        site_.restart (&any_daemon (), SIGKILL);
        break;
      case 1:
        site_.restart (&any_daemon (), SIGTERM);
        break;
      case 2:
        {
          Daemon &daemon = any_daemon ();
          kill (daemon.pid, SIGSTOP);
          pause (50, 1500);
          kill (daemon.pid, SIGCONT);
          break;
        }
      case 3:
        kill (any_daemon ().pid, SIGHUP);
        break;
      case 4:
        any_proxy ().reset_all ();
        break;
      case 5:
        any_proxy ().silence_present ();
        break;
      case 6:
        {
          Proxy &proxy = any_proxy ();
          proxy.set_path (draw (0, 1) == 0 ? Path::SILENT : Path::ONE_WAY);
          pause (100, 1500);
          proxy.set_path (Path::OPEN);
          break;
        }
      case 7:
        {
          Proxy &proxy = any_proxy ();
          proxy.set_delay_ms (draw (5, 60));
          pause (100, 800);
          proxy.set_delay_ms (0);
          break;
        }
      case 8:
        site_.store.set_mode ((Store::Mode)draw (1, 3));
        pause (100, 1500);
        site_.store.set_mode (Store::WELL);
        break;
      case 9:
        site_.store.compact ();
        break;
      case 10:
        site_.write_config (++config_version_, "",
                            draw (0, 1) == 0 ? 8000 : 4000);
        break;
      case 11:
        name_version ();
        break;
      case 12:
        fail_targets ();
        break;
      case 13:
        restart_engine ();
        break;
      }
  }
  void
  name_version ()
  {
    int version = ++adapter_version_;
    std::string name = "a" + std::to_string (draw (0, kAdapters - 1));
    for (auto &e : site_.engines)
      e.target->newest_version = version;
    site_.put ("op/version/m." + name,
               "{\"Model\":\"m\",\"Adapter\":\"" + name
                   + "\",\"Version\":" + std::to_string (version) + "}");
  }
  void
  fail_targets ()
  {
    std::vector<Fault> faults;
    for (int i = draw (1, 6); i > 0; i--)
      faults.push_back ((Fault)draw (0, (int)Fault::EXTRA_AFTER));
    any_target ().fail_next (faults);
  }
  void
  restart_engine ()
  {
    size_t at = (size_t)draw (0, kEngines - 1);
    site_.remove ("servers/" + site_.engines[at].target->id ());
    site_.engines[at].target->restart ("i-again"
                                       + std::to_string (++restarts_));
    site_.list_engine (at);
  }
  void
  heal ()
  {
    site_.store.set_mode (Store::WELL);
    for (auto &proxy : proxies_.all)
      {
        proxy->set_path (Path::OPEN);
        proxy->set_delay_ms (0);
      }
    for (auto &e : site_.engines)
      e.target->fail_next ({});
    for (auto &p : site_.plain)
      p->fail_next ({});
  }
  Call
  any_call (std::mt19937_64 &random, const std::string &id, Record *record)
  {
    int kind = (int)(random () % 4);
    record->id = id;
    record->is_stream = kind < 2;
    record->may_repeat = kind == 0 || kind == 2;
    std::string adapter = "a" + std::to_string (random () % kAdapters);
    if (kind < 2)
      return stream_call (id, adapter, kind == 0);
    Call call;
    call.id = id;
    call.path = kind == 2 ? "/plain/x" : "/unsafe/x";
    call.deadline_ms = 3000;
    return call;
  }
  /// One caller keeps its connection for as long as it is kept open for it.
  void
  call_loop (int caller)
  {
    std::mt19937_64 random (seed_ * 1000 + (uint64_t)caller);
    std::unique_ptr<Connection> connection;
    for (int n = 0; !is_done_; n++)
      {
        Record record;
        std::string id
            = "c" + std::to_string (caller) + "-" + std::to_string (n);
        Call call = any_call (random, id, &record);
        if (connection == nullptr)
          connection = dial (site_.gateways[random () % kGateways].address);
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
        std::lock_guard<std::mutex> lock (records_mutex_);
        records_.push_back (record);
      }
  }
  void
  check_recovery ()
  {
    std::this_thread::sleep_for (std::chrono::seconds (3));
    int good = 0;
    for (int i = 0; i < 20; i++)
      {
        Message m
            = send_call (site_.gateways[(size_t)i % kGateways],
                         stream_call ("after" + std::to_string (i),
                                      "a" + std::to_string (i % kAdapters)));
        good += m.status == 200 && m.is_whole;
      }
    EXPECT_GE (good, 15) << "seed " << seed_;
  }
  void
  check_promises ()
  {
    int served = 0;
    for (const auto &record : records_)
      {
        served += record.answer.status == 200 && record.answer.is_whole;
        check_record (record);
      }
    for (auto &e : site_.engines)
      EXPECT_LE (e.target->most_held (), 4u) << "seed " << seed_;
    printf ("seed %llu: %zu attempts, %d served whole\n",
            (unsigned long long)seed_, records_.size (), served);
    EXPECT_GT (served, 0);
  }
  void
  check_record (const Record &record)
  {
    const Message &m = record.answer;
    std::string what = "seed " + std::to_string (seed_) + " " + record.id
                       + " status " + std::to_string (m.status);
    int runs = site_.runs_of (record.id);
    if (!record.may_repeat)
      {
        EXPECT_LE (runs, 1) << what;
      }
    bool is_promise = m.status == 503 || m.status == 429 || m.status == 408
                      || m.status == 421;
    if (is_promise && !record.may_repeat)
      {
        EXPECT_EQ (runs, 0) << what;
      }
    if (m.status == 404 || m.status == 400 || m.status == 413)
      ADD_FAILURE () << what << ": a proper request was denied";
    if (m.status != 200)
      return;
    EXPECT_EQ (m.header ("x-knapweedbay-attempt-id"), record.id) << what;
    EXPECT_NE (m.header ("x-knapweedbay-server-seal"), "") << what;
    if (!record.is_stream)
      {
        EXPECT_TRUE (!m.is_whole
                     || m.body.find ("some length\"}") != std::string::npos)
            << what << " " << m.body;
        return;
      }
    std::vector<int> ids = event_ids (m.body);
    for (size_t i = 0; i < ids.size (); i++)
      EXPECT_EQ (ids[i], (int)i + 1) << what;
    EXPECT_TRUE (!m.is_whole || ids.size () == 10u) << what;
  }

  std::mt19937_64 random_;
  int seconds_;
  uint64_t seed_;
  Proxies proxies_;
  Site site_;
  std::atomic<bool> is_done_{ false };
  std::mutex records_mutex_;
  std::vector<Record> records_;
  int config_version_ = 10;
  int adapter_version_ = 1;
  int restarts_ = 0;
};

std::vector<uint64_t>
seeds ()
{
  // Seeds that failed once come first, with the cause.
  std::vector<uint64_t> list = { 1, 2 };
  const char *text = getenv ("KB_SOAK_SEEDS");
  if (text == nullptr)
    return list;
  uint64_t first = strtoull (text, nullptr, 10);
  const char *dash = strchr (text, '-');
  uint64_t last = dash == nullptr ? first : strtoull (dash + 1, nullptr, 10);
  list.clear ();
  for (uint64_t seed = first; seed <= last; seed++)
    list.push_back (seed);
  return list;
}

TEST (Soak, PromisesHoldUnderFaults)
{
  const char *seconds = getenv ("KB_SOAK_S");
  for (uint64_t seed : seeds ())
    Soak (seed, seconds == nullptr ? 6 : atoi (seconds)).play ();
}

} // namespace
} // namespace relay
