// A model of gateways, engines and delayed messages, played with drawn
// schedules: whatever the order of ends, answers, merges and restarts, a bad
// part reaches few engines and no sound part is held.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "coordination/parts.h"
}

namespace
{

constexpr uint64_t kStepMs = 50;
constexpr uint64_t kCrashAfterMs = 100;
constexpr uint64_t kContactMs = 3000;
constexpr uint64_t kSettleMs = 1000;
constexpr uint64_t kEndMs = 30000;
constexpr uint64_t kPoisonFromMs = 4000;
constexpr int kMaxArrivals = 3;
constexpr uint64_t kCaller = 11;
constexpr uint64_t kSeeds = 300;

struct Request
{
  size_t gateway;
  prt_list_t parts;
  bool is_poisoned;
  bool is_alone;
  uint64_t began_ms;
  bool is_served = false;
};

struct Engine
{
  uint64_t incarnation = 0;
  uint64_t up_from_ms = 0;
  uint64_t ended_ms = 0; ///< Last end; zero: none yet.
  std::vector<Request> running;
};

struct Gateway
{
  Gateway () { qrt_table_init (&table); }
  ~Gateway () { qrt_table_finish (&table); }
  Gateway (const Gateway &) = delete;
  Gateway &operator= (const Gateway &) = delete;
  void
  restart ()
  {
    qrt_table_finish (&table);
    qrt_table_init (&table);
    served = {};
  }
  qrt_table_t table;
  prt_served_t served = {};
};

class Model
{
public:
  Model (uint64_t seed, size_t gateways, size_t bad_parts)
      : random_ (seed), gateways_ (gateways), engines_ (draw (4, 10)),
        bad_parts_ (bad_parts)
  {
    for (Engine &engine : engines_)
      engine.incarnation = ++incarnations_;
  }

  void
  run ()
  {
    uint64_t restart_ms = (uint64_t)draw (6000, 12000);
    while (now_ms_ < kEndMs)
      {
        now_ms_ += kStepMs;
        deliver_messages ();
        for (Engine &engine : engines_)
          advance_engine (engine);
        if (now_ms_ % 200 == 0)
          send (true);
        if (now_ms_ >= kPoisonFromMs && now_ms_ % 250 == 0)
          send (false);
        if (now_ms_ == restart_ms / kStepMs * kStepMs)
          restart_gateways ();
      }
  }

  int
  late_arrivals () const
  {
    if (crashes_.empty ())
      return 0;
    uint64_t from_ms
        = crashes_[std::min<size_t> (crashes_.size (), 5) - 1] + kContactMs;
    return (int)std::count_if (
        arrivals_.begin (), arrivals_.end (),
        [from_ms] (uint64_t at_ms) { return at_ms > from_ms; });
  }
  size_t
  crashes () const
  {
    return crashes_.size ();
  }
  /// Share of sound requests that begin later than twice the contact time
  /// after the fifth crash.
  double
  sound_share () const
  {
    return late_sound_ == 0 ? 1 : (double)late_begun_ / late_sound_;
  }
  bool
  holds (const std::string &part)
  {
    prt_list_t list = parse (part + ":1");
    for (Gateway &gateway : gateways_)
      if (prt_judge (&gateway.table, &list, kCaller, now_ms_).verdict
          == PRT_HELD)
        return true;
    return false;
  }

private:
  struct Message
  {
    uint64_t due_ms;
    std::function<void ()> apply;
  };

  int
  draw (int low, int high)
  {
    return std::uniform_int_distribution<> (low, high) (random_);
  }

  static prt_list_t
  parse (const std::string &text)
  {
    prt_list_t out;
    prt_list_parse ({ text.data (), (uint32_t)text.size () }, &out);
    return out;
  }

  void
  post (int min_ms, int max_ms, std::function<void ()> apply)
  {
    messages_.push_back (
        { now_ms_ + (uint64_t)draw (min_ms, max_ms), std::move (apply) });
  }

  void
  deliver_messages ()
  {
    std::vector<Message> due;
    auto is_due = [this] (const Message &m) { return m.due_ms <= now_ms_; };
    std::copy_if (messages_.begin (), messages_.end (),
                  std::back_inserter (due), is_due);
    messages_.erase (
        std::remove_if (messages_.begin (), messages_.end (), is_due),
        messages_.end ());
    std::shuffle (due.begin (), due.end (), random_);
    for (const Message &message : due)
      message.apply ();
  }

  void
  merge (Gateway &gateway, const std::string &records)
  {
    qrt_merge (&gateway.table, { records.data (), (uint32_t)records.size () },
               now_ms_, nullptr);
    std::vector<uint64_t> served;
    uint32_t at = 0;
    while (auto *e
           = (const qrt_entry_t *)kb_map_next (&gateway.table.entries, &at))
      if (e->record.end_count > 0
          && prt_served_contains (&gateway.served, e->record.request, now_ms_))
        served.push_back (e->record.request);
    for (uint64_t part : served)
      clear (gateway, part);
  }

  /// Send a record through the sidecars, which merge those of all gateways.
  void
  publish (Gateway &gateway, uint64_t part)
  {
    kb_buf_t packed = {};
    qrt_pack_one (&gateway.table, part, now_ms_, &packed);
    std::string record (packed.ptr == nullptr ? "" : packed.ptr,
                        packed.len_bytes);
    kb_buf_finish (&packed);
    post (5, 100, [this, record] {
      kb_buf_t changed = {};
      qrt_merge (&sidecars_.table,
                 { record.data (), (uint32_t)record.size () }, now_ms_,
                 &changed);
      std::string joined (changed.ptr == nullptr ? "" : changed.ptr,
                          changed.len_bytes);
      kb_buf_finish (&changed);
      if (!joined.empty ())
        broadcast (joined);
    });
  }

  void
  broadcast (const std::string &records)
  {
    for (Gateway &gateway : gateways_)
      post (5, 200, [this, &gateway, records] { merge (gateway, records); });
  }

  void
  clear (Gateway &gateway, uint64_t part)
  {
    if (qrt_mark_served (&gateway.table, part, now_ms_))
      publish (gateway, part);
  }

  /// All gateways restart at one moment, and are told what sidecars know.
  void
  restart_gateways ()
  {
    kb_buf_t packed = {};
    qrt_pack (&sidecars_.table, now_ms_, &packed);
    std::string records (packed.ptr == nullptr ? "" : packed.ptr,
                         packed.len_bytes);
    kb_buf_finish (&packed);
    for (Gateway &gateway : gateways_)
      {
        gateway.restart ();
        merge (gateway, records);
      }
    for (Engine &engine : engines_)
      engine.running.clear ();
  }

  void
  blame (const Request &request, uint64_t incarnation, bool is_alone,
         uint64_t at_ms)
  {
    Gateway &gateway = gateways_[request.gateway];
    prt_list_t blamed = request.parts;
    prt_list_remove_served (&blamed, &gateway.served, at_ms);
    qrt_end_t end = { incarnation, kCaller, prt_proof_of (&blamed, is_alone) };
    for (uint32_t i = 0; i < blamed.count; i++)
      if (qrt_add_end (&gateway.table, blamed.keys[i], &end, now_ms_))
        publish (gateway, blamed.keys[i]);
  }

  void
  crash (Engine &engine)
  {
    crashes_.push_back (now_ms_);
    uint64_t at_ms = now_ms_;
    uint64_t incarnation = engine.incarnation;
    for (const Request &request : engine.running)
      if (now_ms_ - request.began_ms <= PRT_STARTUP_MS)
        {
          bool is_alone = request.is_alone;
          for (const Request &other : engine.running)
            is_alone
                = is_alone
                  && (&other == &request || other.began_ms < request.began_ms);
          post (200, 500, [this, request, incarnation, is_alone, at_ms] {
            blame (request, incarnation, is_alone, at_ms);
          });
        }
    engine.running.clear ();
    engine.ended_ms = now_ms_;
    engine.incarnation = ++incarnations_;
    engine.up_from_ms = now_ms_ + (uint64_t)draw (2000, 4000);
  }

  void
  advance_engine (Engine &engine)
  {
    for (Request &request : engine.running)
      {
        uint64_t age_ms = now_ms_ - request.began_ms;
        if (request.is_poisoned && age_ms >= kCrashAfterMs)
          {
            crash (engine);
            return;
          }
        if (request.is_served || age_ms <= PRT_STARTUP_MS)
          continue;
        request.is_served = true;
        Gateway &gateway = gateways_[request.gateway];
        for (uint32_t i = 0; i < request.parts.count; i++)
          {
            prt_served_add (&gateway.served, request.parts.keys[i], now_ms_);
            clear (gateway, request.parts.keys[i]);
          }
      }
    engine.running.erase (
        std::remove_if (engine.running.begin (), engine.running.end (),
                        [this] (const Request &r) {
                          return now_ms_ - r.began_ms > 3 * PRT_STARTUP_MS;
                        }),
        engine.running.end ());
  }

  bool
  is_up (const Engine &engine) const
  {
    return now_ms_ >= engine.up_from_ms;
  }
  bool
  has_trial (const Engine &engine) const
  {
    return std::any_of (engine.running.begin (), engine.running.end (),
                        [this] (const Request &r) {
                          return r.is_alone
                                 && now_ms_ - r.began_ms <= 2 * kCrashAfterMs;
                        });
  }
  bool
  has_start (const Engine &engine) const
  {
    return std::any_of (engine.running.begin (), engine.running.end (),
                        [this] (const Request &r) {
                          return now_ms_ - r.began_ms <= 2 * kCrashAfterMs;
                        });
  }

  /// The engine that ranks first for a part, unless it was up until just now.
  Engine *
  trial_engine (uint64_t part)
  {
    Engine *best = nullptr;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < engines_.size (); i++)
      {
        Engine &engine = engines_[i];
        bool was_up
            = engine.ended_ms > 0 && now_ms_ - engine.ended_ms < kSettleMs;
        uint64_t pair[2] = { part, i };
        uint64_t weight = kb_hash (pair, sizeof pair, 0);
        if ((!is_up (engine) && !was_up)
            || (best != nullptr && weight <= best_weight))
          continue;
        best = &engine;
        best_weight = weight;
      }
    return best != nullptr && is_up (*best) && !has_start (*best) ? best
                                                                  : nullptr;
  }

  Engine *
  free_engine ()
  {
    std::vector<Engine *> usable;
    for (Engine &engine : engines_)
      if (is_up (engine) && !has_trial (engine))
        usable.push_back (&engine);
    return usable.empty () ? nullptr
                           : usable[(size_t)draw (0, (int)usable.size () - 1)];
  }

  void
  send (bool is_sound)
  {
    static int number = 0;
    number++;
    // Drawn one by one: the same worlds whatever the order of arguments.
    std::string shared = "m" + std::to_string (draw (0, 3)) + ":1";
    std::string own
        = is_sound ? "rare" + std::to_string (draw (0, 30))
                   : "bad" + std::to_string (draw (0, (int)bad_parts_ - 1));
    std::string parts = is_sound ? "first:1," + shared + "," + own + ":1"
                                 : "first:1," + own + ":1," + shared;
    Request request = { (size_t)draw (0, (int)gateways_.size () - 1),
                        parse (parts), !is_sound, false, now_ms_ };
    prt_judgement_t judgement = prt_judge (&gateways_[request.gateway].table,
                                           &request.parts, kCaller, now_ms_);
    Engine *engine = nullptr;
    request.is_alone = judgement.verdict == PRT_TRIAL;
    if (judgement.verdict == PRT_FREE)
      engine = free_engine ();
    else if (judgement.verdict == PRT_TRIAL)
      engine = trial_engine (judgement.suspect);
    bool is_late
        = crashes_.size () > 0
          && now_ms_ > crashes_[std::min<size_t> (crashes_.size (), 5) - 1]
                           + 2 * kContactMs;
    late_sound_ += is_sound && is_late;
    late_begun_ += is_sound && is_late && engine != nullptr;
    if (engine == nullptr)
      return;
    if (!is_sound)
      arrivals_.push_back (now_ms_);
    engine->running.push_back (request);
  }

  std::mt19937_64 random_;
  std::deque<Gateway> gateways_;
  std::vector<Engine> engines_;
  size_t bad_parts_;
  Gateway sidecars_;
  std::vector<Message> messages_;
  std::vector<uint64_t> crashes_;
  std::vector<uint64_t> arrivals_;
  uint64_t now_ms_ = 0;
  uint64_t incarnations_ = 0;
  int late_sound_ = 0;
  int late_begun_ = 0;
};

void
expect_bounds (uint64_t seed, size_t gateways, size_t bad_parts)
{
  SCOPED_TRACE ("seed " + std::to_string (seed) + ", gateways "
                + std::to_string (gateways) + ", bad parts "
                + std::to_string (bad_parts));
  Model model (seed, gateways, bad_parts);
  model.run ();
  ASSERT_GE (model.crashes (), 3u);
  EXPECT_LE (model.late_arrivals (), kMaxArrivals * (int)bad_parts)
      << model.crashes () << " crashes";
  EXPECT_GE (model.sound_share (), 0.5);
  EXPECT_FALSE (model.holds ("first"));
  for (int i = 0; i < 4; i++)
    EXPECT_FALSE (model.holds ("m" + std::to_string (i)));
}

TEST (PartsModel, OneBadPartIsHeldAndNoSharedOne)
{
  for (uint64_t seed = 1; seed <= kSeeds; seed++)
    for (size_t gateways : { 1, 2, 5, 20 })
      expect_bounds (seed, gateways, 1);
}

TEST (PartsModel, TwoBadPartsAreHeldAndNoSharedOne)
{
  for (uint64_t seed = 1; seed <= kSeeds; seed++)
    for (size_t gateways : { 1, 5, 20 })
      expect_bounds (seed, gateways, 2);
}

} // namespace
