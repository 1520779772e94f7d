// Plays the heaviest load of a small site through the decisions of gateways
// and sidecars, and compares what callers get with a plain version: first
// come first served, a random engine, the least recently used adapter dropped,
// nothing declined early, prompts read as they come.
//
// Nine engines with 36 adapter places before 3,000 adapters of skewed
// popularity; a weight store that brings 8 adapters in 250 ms each and slows
// down in proportion beyond; 140 requests a second. Popularity moves on twice.
// Time is simulated in steps of 5 ms, and every run has the same seed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "coordination/admit.h"
#include "coordination/place.h"
}

namespace
{

constexpr uint64_t kStepMs = 5;
constexpr uint64_t kDayMs = 40000;
constexpr int kEngines = 9;
constexpr int kAdapters = 3000;
constexpr double kRequestsPerS = 140;
constexpr double kStoreLanes = 8;
constexpr double kLoadMs = 250;
constexpr double kTokensPerMs = 38;
constexpr double kStepCostMs = 5; // One token of all streams.
constexpr uint64_t kObjectiveMs = 800;
constexpr uint64_t kPatienceMs = 3200;
constexpr uint64_t kShiftMs = 13000;

struct Request
{
  uint64_t id = 0;
  int adapter = 0;
  uint64_t arrived_ms = 0;
  double prompt_left = 0;
  double tokens_left = 0;
  bool is_first_out = false;
  uint64_t first_ms = 0;
  uint64_t load_from_ms = 0;
  int engine = -1;
  adm_ask_t *ask = nullptr;
};

struct Fetch
{
  int adapter;
  double left_ms;
};

struct Engine
{
  adm_table_t table = {};
  std::map<int, uint64_t> held; // Adapter and when it was last used.
  std::vector<Fetch> fetches;
  std::vector<uint64_t> running;
  std::vector<uint64_t> queue; // Of the plain version.
};

struct Outcome
{
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int declined = 0;
  int left = 0; // The caller's patience ended.
  int fetches = 0;
  double stall_s = 0; // Waiting for an adapter, all requests.
};

class Site
{
public:
  explicit Site (bool is_plain) : is_plain_ (is_plain), random_ (20261)
  {
    double sum = 0;
    for (int i = 0; i < kAdapters; i++)
      cumulative_.push_back (sum += std::pow (i + 1, -1.2));
    plc_costs_default (&costs_);
    adm_options_t options = {};
    options.slots = 128;
    options.kv_tokens = 190000;
    options.adapter_slots = 36;
    options.max_cold = 3;
    options.max_coming = 4;
    for (auto &e : engines_)
      {
        adm_table_init (&e.table, &options);
        e.table.is_open = true;
      }
  }
  ~Site ()
  {
    for (auto &e : engines_)
      adm_table_finish (&e.table);
  }
  Outcome
  play ()
  {
    double due = 0;
    for (now_ = kStepMs; now_ < kDayMs; now_ += kStepMs)
      {
        due += kRequestsPerS * kStepMs / 1000.0;
        // Clumps of three: callers act together.
        while (due >= 3)
          {
            for (int i = 0; i < 3; i++)
              arrive ();
            due -= 3;
          }
        bring ();
        for (auto &e : engines_)
          {
            is_plain_ ? pump_plain (e) : pump (e);
            run (e);
          }
        leave ();
      }
    return outcome_;
  }

private:
  static std::string
  name_of (int adapter)
  {
    return "m/a" + std::to_string (adapter);
  }
  static uint64_t
  key_of (int adapter)
  {
    std::string name = name_of (adapter);
    return kb_hash (name.data (), name.size (), 0) | 1;
  }
  int
  draw_adapter ()
  {
    double at
        = std::uniform_real_distribution<> (0, cumulative_.back ()) (random_);
    auto it = std::lower_bound (cumulative_.begin (), cumulative_.end (), at);
    int rank = (int)(it - cumulative_.begin ());
    int moved = (int)(now_ / kShiftMs) * 40;
    return (rank + moved) % kAdapters;
  }
  void
  arrive ()
  {
    Request r;
    r.id = ++last_id_;
    r.adapter = draw_adapter ();
    r.arrived_ms = now_;
    std::lognormal_distribution<> prompt (6.3, 0.8);
    r.prompt_left = std::min (prompt (random_), 6000.0) + 100;
    r.tokens_left = std::uniform_int_distribution<> (20, 550) (random_);
    outcome_.asked++;
    requests_[r.id] = r;
    if (is_plain_)
      {
        int e = std::uniform_int_distribution<> (0, kEngines - 1) (random_);
        requests_[r.id].engine = e;
        engines_[e].queue.push_back (r.id);
        return;
      }
    ask (requests_[r.id]);
  }
  plc_view_t
  describe (int at, int adapter)
  {
    Engine &e = engines_[at];
    plc_view_t v = {};
    v.key = (uint64_t)at + 1;
    v.is_usable = true;
    v.is_near = true;
    v.slots = e.table.options.slots;
    v.busy = e.table.granted;
    v.waiting = e.table.waiting;
    v.tokens_per_ms = e.table.reading.tokens_per_ms;
    v.backlog_ms = (double)adm_backlog_us (&e.table, now_) / 1000;
    v.load_wait_ms = (double)adm_new_load_wait_ms (&e.table, now_);
    auto *a
        = (adm_adapter_t *)kb_map_get (&e.table.adapters, key_of (adapter));
    v.holding = a == nullptr || a->state == ADM_ABSENT ? PLC_ABSENT
                : a->state == ADM_COMING               ? PLC_COMING
                                                       : PLC_HELD;
    return v;
  }
  void
  ask (Request &r)
  {
    std::vector<plc_view_t> views;
    for (int i = 0; i < kEngines; i++)
      views.push_back (describe (i, r.adapter));
    for (int tries = 0; tries < 3; tries++)
      {
        plc_request_t request = {};
        request.adapter = key_of (r.adapter);
        request.prompt_tokens = (uint32_t)r.prompt_left;
        int32_t at = plc_choose (&costs_, views.data (), kEngines, &request);
        Engine &e = engines_[at];
        std::string name = name_of (r.adapter);
        adm_ask_t given = {};
        given.id = r.id;
        given.owner = 1;
        given.adapter = adm_adapter_need (
            &e.table, key_of (r.adapter),
            kb_slice_t{ name.data (), (uint32_t)name.size () });
        given.priority = 1;
        given.tokens = (uint32_t)(r.prompt_left + r.tokens_left);
        given.prompt_tokens = (uint32_t)r.prompt_left;
        given.arrived_ms = now_;
        given.due_ms = r.arrived_ms + kPatienceMs;
        given.objective_ms = r.arrived_ms + kObjectiveMs;
        uint64_t wait_ms = adm_load_wait_ms (&e.table, given.adapter, now_);
        adm_adapter_asked (given.adapter, now_);
        if (wait_ms > kObjectiveMs)
          {
            views[(size_t)at].is_usable = false;
            continue;
          }
        r.engine = at;
        r.load_from_ms = adm_adapter_is_fit (given.adapter) ? 0 : now_;
        r.ask = adm_ask_add (&e.table, &given);
        return;
      }
    outcome_.declined++;
    requests_.erase (r.id);
  }
  /// The weight store serves all fetches at once, slower beyond its lanes.
  void
  bring ()
  {
    double under_way = 0;
    for (auto &e : engines_)
      under_way += (double)e.fetches.size ();
    double pace = under_way > kStoreLanes ? kStoreLanes / under_way : 1;
    for (auto &e : engines_)
      {
        for (auto &f : e.fetches)
          f.left_ms -= (double)kStepMs * pace;
        for (auto &f : e.fetches)
          if (f.left_ms <= 0)
            e.held[f.adapter] = now_;
        e.fetches.erase (
            std::remove_if (e.fetches.begin (), e.fetches.end (),
                            [] (const Fetch &f) { return f.left_ms <= 0; }),
            e.fetches.end ());
      }
  }
  void
  report (Engine &e)
  {
    adm_report_begin (&e.table);
    for (auto &[adapter, used] : e.held)
      {
        std::string name = name_of (adapter);
        adm_report_adapter (&e.table, key_of (adapter),
                            kb_slice_t{ name.data (), (uint32_t)name.size () },
                            1, false, now_);
      }
    for (auto &f : e.fetches)
      {
        std::string name = name_of (f.adapter);
        adm_report_adapter (&e.table, key_of (f.adapter),
                            kb_slice_t{ name.data (), (uint32_t)name.size () },
                            1, true, now_);
      }
    adm_report_end (&e.table);
  }
  void
  pump (Engine &e)
  {
    report (e);
    for (;;)
      {
        adm_action_t action = adm_next (&e.table, true, now_);
        if (action.kind == ADM_DO_NOTHING)
          return;
        if (action.kind == ADM_DO_GRANT)
          start (e, action.ask->id);
        else if (action.kind == ADM_DO_DECLINE)
          {
            outcome_.left++;
            requests_.erase (action.ask->id);
            adm_ask_remove (&e.table, action.ask);
          }
        else
          order (e, action);
      }
  }
  void
  order (Engine &e, const adm_action_t &action)
  {
    int adapter = atoi (action.adapter->name + 3);
    if (action.kind == ADM_DO_UNLOAD)
      {
        e.held.erase (adapter);
        adm_unload_done (&e.table, action.adapter);
        return;
      }
    bool was_held = action.adapter->held_ms > 0;
    e.fetches.push_back ({ adapter, was_held ? kLoadMs / 10 : kLoadMs });
    outcome_.fetches += !was_held;
    adm_load_begun (&e.table, action.adapter, now_);
  }
  void
  start (Engine &e, uint64_t id)
  {
    Request &r = requests_[id];
    if (r.load_from_ms > 0)
      outcome_.stall_s += (double)(now_ - r.load_from_ms) / 1000;
    e.running.push_back (id);
  }
  /// First come first served; any adapter not in use makes room.
  void
  pump_plain (Engine &e)
  {
    std::vector<uint64_t> left;
    for (uint64_t id : e.queue)
      {
        auto it = requests_.find (id);
        if (it == requests_.end ())
          continue;
        Request &r = it->second;
        if (e.held.count (r.adapter) > 0)
          {
            e.held[r.adapter] = now_;
            start (e, id);
            continue;
          }
        left.push_back (id);
        if (r.load_from_ms == 0)
          r.load_from_ms = now_;
        fetch_plain (e, r.adapter);
      }
    e.queue = left;
  }
  void
  fetch_plain (Engine &e, int adapter)
  {
    for (auto &f : e.fetches)
      if (f.adapter == adapter)
        return;
    if (e.fetches.size () >= 4)
      return;
    if (e.held.size () + e.fetches.size () >= 36)
      {
        auto oldest = e.held.end ();
        for (auto it = e.held.begin (); it != e.held.end (); ++it)
          if (!is_in_use (e, it->first)
              && (oldest == e.held.end () || it->second < oldest->second))
            oldest = it;
        if (oldest == e.held.end ())
          return;
        seen_[{ &e, oldest->first }] = true;
        e.held.erase (oldest);
      }
    bool was_held = seen_.count ({ &e, adapter }) > 0;
    e.fetches.push_back ({ adapter, was_held ? kLoadMs / 10 : kLoadMs });
    outcome_.fetches += !was_held;
  }
  bool
  is_in_use (const Engine &e, int adapter)
  {
    for (uint64_t id : e.running)
      if (requests_.at (id).adapter == adapter)
        return true;
    return false;
  }
  /// Prompts are read first, in the order they came; streams then get the
  /// rest of the step.
  void
  run (Engine &e)
  {
    double budget_ms = (double)kStepMs;
    for (uint64_t id : e.running)
      {
        Request &r = requests_[id];
        if (r.prompt_left <= 0 || budget_ms <= 0)
          continue;
        double take = std::min (r.prompt_left, budget_ms * kTokensPerMs);
        r.prompt_left -= take;
        budget_ms -= take / kTokensPerMs;
      }
    std::vector<uint64_t> still;
    for (uint64_t id : e.running)
      {
        Request &r = requests_[id];
        if (r.prompt_left <= 0)
          r.tokens_left -= budget_ms / kStepCostMs;
        if (r.prompt_left <= 0 && !r.is_first_out)
          first_out (e, r);
        if (r.tokens_left > 0)
          still.push_back (id);
        else
          finish (e, r);
      }
    e.running = still;
  }
  void
  first_out (Engine &e, Request &r)
  {
    r.is_first_out = true;
    r.first_ms = now_;
    if (r.ask != nullptr)
      adm_ask_begun (&e.table, r.ask, now_);
  }
  void
  finish (Engine &e, Request &r)
  {
    bool is_in_time = r.first_ms - r.arrived_ms <= kObjectiveMs;
    (is_in_time ? outcome_.in_time : outcome_.late)++;
    if (r.ask != nullptr)
      adm_ask_remove (&e.table, r.ask);
    requests_.erase (r.id);
  }
  /// Callers of the plain version leave when nothing came for too long.
  void
  leave ()
  {
    if (!is_plain_)
      return;
    for (auto it = requests_.begin (); it != requests_.end ();)
      {
        const Request &r = it->second;
        Engine &e = engines_[r.engine];
        bool runs = std::find (e.running.begin (), e.running.end (), r.id)
                    != e.running.end ();
        if (!runs && now_ - r.arrived_ms > kPatienceMs)
          {
            outcome_.left++;
            outcome_.stall_s += (double)(now_ - r.arrived_ms) / 1000;
            it = requests_.erase (it);
          }
        else
          ++it;
      }
  }

  bool is_plain_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;
  plc_costs_t costs_;
  Engine engines_[kEngines];
  std::map<uint64_t, Request> requests_;
  std::map<std::pair<const Engine *, int>, bool> seen_;
  Outcome outcome_;
  uint64_t now_ = 0;
  uint64_t last_id_ = 0;
};

void
print (const char *name, const Outcome &o)
{
  printf ("%-6s asked %d, in time %.3f, late %.3f, declined %.3f, left %.3f, "
          "fetches %d, load stalls %.0f s\n",
          name, o.asked, (double)o.in_time / o.asked, (double)o.late / o.asked,
          (double)o.declined / o.asked, (double)o.left / o.asked, o.fetches,
          o.stall_s);
}

// Measured by this test: in time 0.402 plain and 0.920 ours, callers that left
// 0.432 and 0.000, fetches 1,292 and 1,020. The assertions leave some room.
TEST (Load, CallersGetMoreThanFromThePlainVersion)
{
  Outcome plain = Site (true).play ();
  Outcome ours = Site (false).play ();
  print ("plain", plain);
  print ("ours", ours);
  EXPECT_GT (ours.in_time, 2 * plain.in_time);
  EXPECT_GT ((double)ours.in_time / ours.asked, 0.8);
  EXPECT_LT (ours.stall_s * 5, plain.stall_s);
  EXPECT_LT (ours.fetches, plain.fetches);
  EXPECT_LT (ours.left * 20, ours.asked);
}

} // namespace
