#include "model.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

extern "C"
{
#include "coordination/admit.h"
#include "coordination/place.h"
}

namespace lab
{
namespace
{

constexpr uint64_t kStepMs = 2;
constexpr uint64_t kPumpMs = 10; ///< Sidecars look again while requests wait.
constexpr uint64_t kReportMs = 25; ///< Between two reports of an engine.
constexpr uint64_t kTellMs = 100;  ///< Between two words to the gateways.
constexpr uint64_t kOrderMs = 2;   ///< An order and its answer.
constexpr uint64_t kLostOrderMs = 30;
constexpr int kMaxTries = 8;
constexpr double kChunkTokens = 4096; ///< Most of prompts in one step.
constexpr double kSquareTokens = 22000;
constexpr double kPatienceObjectives = 4;

struct Request
{
  uint64_t id = 0;
  int adapter = 0;
  int rank = 0;
  const Kind *kind = nullptr;
  int domain = 0;
  uint64_t asked_ms = 0;   ///< First attempt.
  uint64_t arrived_ms = 0; ///< This attempt.
  uint64_t due_ms = 0;
  bool is_second = false;
  double prompt = 0;
  double prompt_left = 0;
  int output = 0;
  int made = 0;
  uint64_t first_ms = 0;
  uint64_t event_ms = 0;
  uint64_t longest_gap_ms = 0;
  uint64_t load_from_ms = 0;
  std::set<int> tried;
  bool is_late = false;
  int engine = -1;
  bool runs = false;
  adm_request_t *ask = nullptr;
};

struct Fetch
{
  int adapter;
  bool is_cold;
  double left_ms;
};

struct Engine
{
  adm_table_t table = {};
  std::map<int, uint64_t> held; ///< Adapter and when it was last used.
  std::map<int, uint64_t> copies;
  std::vector<Fetch> fetches;
  std::vector<uint64_t> running;
  std::vector<uint64_t> queue; ///< Of the plain version.
  uint64_t step_end_ms = 0;
  std::vector<std::pair<uint64_t, double>> pieces; ///< Read in this step.
  uint64_t busy_until_ms = 0;                      ///< An order is under way.
  uint64_t up_ms = 0;                              ///< Down before that.
  uint64_t report_ms = 0;
  // As told to the gateways.
  plc_candidate_t told = {};
  std::map<int, plc_holding_t> told_adapters;
  uint32_t asked_since = 0;
  double asked_tokens = 0;
};

class Site
{
public:
  Site (const Deployment &d, Policy policy, double factor)
      : d_ (d), is_plain_ (policy == Policy::PLAIN), factor_ (factor),
        random_ (d.seed), engines_ ((size_t)d.engines)
  {
    double sum = 0;
    for (int i = 0; i < d.adapters; i++)
      cumulative_.push_back (sum += std::pow (i + 1, -d.skew));
    plc_costs_default (&costs_);
    adm_options_t options = {};
    options.slots = d.slots;
    options.kv_tokens = d.kv_tokens;
    options.adapter_slots = d.adapter_places;
    options.max_cold_loads = 3;
    options.max_loads_in_progress = 4;
    for (auto &e : engines_)
      {
        adm_table_init (&e.table, &options);
        pce_set_max_gap (&e.table.reading.pace, d.gap_ms);
        e.table.is_engine_ready = true;
      }
  }
  ~Site ()
  {
    for (auto &e : engines_)
      adm_table_finish (&e.table);
  }
  Site (const Site &) = delete;
  Site &operator= (const Site &) = delete;

  Outcome
  play ()
  {
    double due = 0;
    for (now_ = 1000; now_ < 1000 + d_.day_ms; now_ += kStepMs)
      {
        begin_events ();
        due += d_.requests_per_s * factor_ * burst () * kStepMs / 1000.0;
        for (; due >= d_.clump; due -= d_.clump)
          for (int i = 0; i < d_.clump; i++)
            arrive ();
        come_back ();
        bring ();
        for (size_t i = 0; i < engines_.size (); i++)
          turn (engines_[i], (int)i);
        if (now_ % 10 == 0)
          leave ();
      }
    // Whoever is still served at the end of the day counts as asked never.
    outcome_.asked -= (int)requests_.size () + (int)returning_.size ();
    std::sort (outcome_.first_ms.begin (), outcome_.first_ms.end ());
    int nothing = outcome_.refused + outcome_.left;
    outcome_.held_ms = nothing > 0 ? held_ms_ / nothing : 0;
    return std::move (outcome_);
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
  bool
  is_on (const Event &e) const
  {
    uint64_t at = now_ - 1000;
    return at >= e.at_ms && at < e.at_ms + e.for_ms;
  }
  double
  burst () const
  {
    double x = 1;
    for (const Event &e : d_.events)
      if (e.trouble == Trouble::BURST && is_on (e))
        x *= e.amount;
    return x;
  }
  double
  lost_orders () const
  {
    for (const Event &e : d_.events)
      if (e.trouble == Trouble::LOST_ORDERS && is_on (e))
        return e.amount;
    return 0;
  }
  void
  begin_events ()
  {
    for (const Event &e : d_.events)
      {
        if (now_ - 1000 != e.at_ms)
          continue;
        if (e.trouble == Trouble::SHIFT)
          moved_ += (int)e.amount;
        size_t gone = 0;
        if (e.trouble == Trouble::POWER_LOSS)
          gone = engines_.size ();
        if (e.trouble == Trouble::ENGINE_LOSS)
          gone = (size_t)std::ceil (e.amount * (double)engines_.size ());
        for (size_t i = 0; i < gone; i++)
          lose (engines_[i], e.for_ms + d_.model_ms);
      }
  }
  /// An engine is down and comes back with its model and nothing else.
  void
  lose (Engine &e, uint64_t for_ms)
  {
    std::vector<uint64_t> open;
    for (auto &[id, r] : requests_)
      if (r.engine >= 0 && &engines_[(size_t)r.engine] == &e)
        open.push_back (id);
    for (uint64_t id : open)
      {
        drop_ask (requests_[id]);
        outcome_.lost++;
        requests_.erase (id);
      }
    e.held.clear ();
    e.copies.clear ();
    e.fetches.clear ();
    e.running.clear ();
    e.queue.clear ();
    e.pieces.clear ();
    e.step_end_ms = 0;
    e.up_ms = now_ + for_ms;
    adm_handle_engine_restart (&e.table);
    e.table.is_engine_ready = false;
    e.told.is_usable = false;
  }
  int
  draw_rank ()
  {
    double at
        = std::uniform_real_distribution<> (0, cumulative_.back ()) (random_);
    auto it = std::lower_bound (cumulative_.begin (), cumulative_.end (), at);
    return (int)(it - cumulative_.begin ());
  }
  const Kind &
  draw_kind ()
  {
    double at = std::uniform_real_distribution<> (0, 1) (random_);
    for (const Kind &k : d_.kinds)
      if ((at -= k.share) <= 0)
        return k;
    return d_.kinds.back ();
  }
  void
  arrive ()
  {
    Request r;
    r.id = ++last_id_;
    r.rank = draw_rank ();
    r.adapter = (r.rank + moved_) % d_.adapters;
    r.kind = &draw_kind ();
    r.domain = std::uniform_int_distribution<> (0, d_.domains - 1) (random_);
    r.asked_ms = now_;
    std::lognormal_distribution<> prompt (std::log (r.kind->prompt),
                                          r.kind->spread);
    r.prompt = std::min (prompt (random_), 6000.0) + 50;
    std::exponential_distribution<> output (1 / r.kind->output);
    r.output = 1 + (int)std::min (output (random_), 600.0);
    outcome_.asked++;
    share_of (r, [] (Share &s) { s.asked++; });
    enter (r);
  }
  template <typename F>
  void
  share_of (const Request &r, F change)
  {
    change (outcome_.kinds[r.kind->name]);
    change (outcome_.domains[r.domain]);
    const char *name = r.rank < 10    ? "top 10"
                       : r.rank < 100 ? "to 100"
                                      : "rest";
    change (outcome_.popularity[name]);
  }
  /// An attempt of a caller, the first or the one after a refusal.
  void
  enter (Request r)
  {
    r.arrived_ms = now_;
    r.prompt_left = r.prompt;
    r.tried.clear ();
    double patience = kPatienceObjectives * (double)r.kind->aim_ms;
    r.due_ms
        = std::min (now_ + (uint64_t)patience, r.asked_ms + r.kind->end_ms);
    requests_[r.id] = r;
    Request &kept = requests_[r.id];
    if (is_plain_)
      enter_plain (kept);
    else
      ask (kept);
  }
  void
  enter_plain (Request &r)
  {
    std::vector<int> up;
    for (int i = 0; i < d_.engines; i++)
      if (engines_[(size_t)i].up_ms <= now_)
        up.push_back (i);
    if (up.empty ())
      {
        refuse (r, 300);
        return;
      }
    size_t at
        = std::uniform_int_distribution<size_t> (0, up.size () - 1) (random_);
    r.engine = up[at];
    engines_[(size_t)r.engine].queue.push_back (r.id);
  }
  plc_candidate_t
  view_of (const Request &r, int at)
  {
    Engine &e = engines_[(size_t)at];
    plc_candidate_t v = e.told;
    v.key = (uint64_t)at + 1;
    v.is_usable = e.told.is_usable && r.tried.count (at) == 0;
    v.is_same_domain = at % d_.domains == r.domain;
    v.busy_slots += e.asked_since;
    double rate = v.tokens_per_ms > 0 ? v.tokens_per_ms : 1;
    v.backlog_ms += e.asked_tokens / rate;
    auto it = e.told_adapters.find (r.adapter);
    v.holding = it != e.told_adapters.end ()     ? it->second
                : e.copies.count (r.adapter) > 0 ? PLC_WARM
                                                 : PLC_ABSENT;
    if (r.is_late && v.holding == PLC_ABSENT)
      v.is_usable = false;
    return v;
  }
  void
  ask (Request &r)
  {
    uint64_t retry_ms = 0;
    for (int tries = 0; tries < kMaxTries; tries++)
      {
        std::vector<plc_candidate_t> views;
        for (int i = 0; i < d_.engines; i++)
          views.push_back (view_of (r, i));
        plc_request_t request = {};
        request.adapter = key_of (r.adapter);
        request.prompt_tokens = (uint32_t)r.prompt;
        int32_t at = plc_choose (&costs_, views.data (),
                                 (uint32_t)views.size (), &request);
        if (at == PLC_NONE)
          break;
        if (ask_at (r, at, &retry_ms))
          return;
        r.tried.insert (at);
        r.is_late = r.is_late || now_ > r.arrived_ms + r.kind->aim_ms;
      }
    refuse (r, retry_ms);
  }
  /// As a sidecar takes a question.
  bool
  ask_at (Request &r, int at, uint64_t *retry_ms)
  {
    Engine &e = engines_[(size_t)at];
    e.asked_since++;
    e.asked_tokens += r.prompt;
    if (!e.table.is_engine_ready)
      return false;
    std::string name = name_of (r.adapter);
    adm_request_t given = {};
    given.id = r.id;
    given.owner = 1;
    given.adapter = adm_adapter_get_or_add (
        &e.table, key_of (r.adapter),
        kb_slice_t{ name.data (), (uint32_t)name.size () });
    given.priority = r.kind->priority;
    given.kv_tokens_needed = (uint32_t)(r.prompt + r.output);
    given.prompt_tokens = (uint32_t)r.prompt;
    given.arrived_ms = now_;
    given.deadline_ms = r.due_ms;
    given.objective_ms = r.arrived_ms + r.kind->aim_ms;
    adm_forecast_t forecast = adm_forecast (&e.table, &given, now_);
    adm_adapter_record_request (given.adapter, now_);
    if (adm_refusal_reason (&e.table, &given, &forecast, now_) != nullptr)
      {
        *retry_ms = std::max (*retry_ms, forecast.first_ms);
        return false;
      }
    r.engine = at;
    r.load_from_ms = adm_adapter_is_servable (given.adapter) ? 0 : now_;
    r.ask = adm_request_add (&e.table, &given);
    return true;
  }
  /// Callers come back once, as late as they accept.
  void
  refuse (Request &r, uint64_t retry_ms)
  {
    uint64_t end_ms = r.asked_ms + r.kind->end_ms;
    uint64_t most_ms = end_ms > now_ ? (end_ms - now_) / 3 : 0;
    if (!is_plain_)
      retry_ms = most_ms;
    held_ms_ += (double)(now_ - r.arrived_ms);
    if (r.is_second || most_ms == 0)
      outcome_.refused++;
    else
      {
        Request again = r;
        again.is_second = true;
        again.engine = -1;
        again.ask = nullptr;
        uint64_t wait_ms
            = std::min (std::max<uint64_t> (retry_ms, 300), most_ms);
        returning_.emplace (now_ + wait_ms, again);
      }
    requests_.erase (r.id);
  }
  void
  come_back ()
  {
    while (!returning_.empty () && returning_.begin ()->first <= now_)
      {
        Request r = returning_.begin ()->second;
        returning_.erase (returning_.begin ());
        enter (r);
      }
  }
  /// The weight store serves all fetches at once, slower beyond its lanes.
  void
  bring ()
  {
    double cold = 0;
    for (auto &e : engines_)
      for (auto &f : e.fetches)
        cold += f.is_cold;
    double pace = cold > d_.store_lanes ? d_.store_lanes / cold : 1;
    for (auto &e : engines_)
      {
        for (auto &f : e.fetches)
          f.left_ms -= (double)kStepMs * (f.is_cold ? pace : 1);
        for (auto &f : e.fetches)
          if (f.left_ms <= 0)
            {
              e.held[f.adapter] = now_;
              keep_copy (e, f.adapter);
            }
        e.fetches.erase (
            std::remove_if (e.fetches.begin (), e.fetches.end (),
                            [] (const Fetch &f) { return f.left_ms <= 0; }),
            e.fetches.end ());
      }
  }
  void
  keep_copy (Engine &e, int adapter)
  {
    e.copies[adapter] = now_;
    if (e.copies.size () <= d_.copies)
      return;
    auto oldest = e.copies.begin ();
    for (auto it = e.copies.begin (); it != e.copies.end (); ++it)
      if (it->second < oldest->second)
        oldest = it;
    e.copies.erase (oldest);
  }
  void
  turn (Engine &e, int at)
  {
    if (e.up_ms > now_)
      return;
    e.table.is_engine_ready = true;
    if (now_ >= e.report_ms + kReportMs)
      report (e);
    if (now_ % kPumpMs == 0)
      is_plain_ ? pump_plain (e) : pump (e, at);
    if (now_ % kTellMs == 2 * (uint64_t)at % kTellMs)
      tell (e);
    run (e);
  }
  void
  tell (Engine &e)
  {
    e.told.is_usable = e.table.is_engine_ready;
    e.told.slots = e.table.options.slots;
    e.told.busy_slots = e.table.granted;
    e.told.waiting = e.table.waiting;
    e.told.tokens_per_ms = e.table.reading.tokens_per_ms;
    e.told.backlog_ms = (double)adm_backlog_us (&e.table, now_) / 1000;
    e.told.load_wait_ms
        = (double)adm_new_adapter_load_wait_ms (&e.table, now_);
    e.told_adapters.clear ();
    uint32_t at = 0;
    for (auto *a = (adm_adapter_t *)kb_map_next (&e.table.adapters, &at);
         a != nullptr;
         a = (adm_adapter_t *)kb_map_next (&e.table.adapters, &at))
      if (a->state != ADM_ABSENT || a->waiting > 0)
        e.told_adapters[atoi (a->name + 3)] = a->state == ADM_HELD ? PLC_HELD
                                              : a->state == ADM_LOADING
                                                  ? PLC_LOADING
                                                  : PLC_PENDING;
    e.asked_since = 0;
    e.asked_tokens = 0;
  }
  void
  report_one (Engine &e, int adapter, bool is_coming)
  {
    std::string name = name_of (adapter);
    adm_report_adapter (&e.table, key_of (adapter),
                        kb_slice_t{ name.data (), (uint32_t)name.size () }, 1,
                        is_coming, now_);
  }
  void
  report (Engine &e)
  {
    e.report_ms = now_;
    adm_report_begin (&e.table);
    for (auto &[adapter, used] : e.held)
      report_one (e, adapter, false);
    for (auto &f : e.fetches)
      report_one (e, f.adapter, true);
    adm_report_end (&e.table);
  }
  void
  pump (Engine &e, int at)
  {
    if (e.table.waiting == 0)
      return;
    for (;;)
      {
        bool may_order = e.busy_until_ms <= now_;
        adm_action_t action = adm_next_action (&e.table, may_order, now_);
        if (action.kind == ADM_ACTION_NONE)
          return;
        if (action.kind == ADM_ACTION_GRANT)
          start (e, action.request->id);
        else if (action.kind == ADM_ACTION_DECLINE)
          decline (action.request->id, at);
        else
          order (e, action);
      }
  }
  void
  decline (uint64_t id, int at)
  {
    Request &r = requests_[id];
    drop_ask (r);
    r.engine = -1;
    r.tried.insert (at);
    r.is_late = r.is_late || now_ > r.arrived_ms + r.kind->aim_ms;
    ask (r);
  }
  void
  drop_ask (Request &r)
  {
    if (r.ask != nullptr)
      adm_request_remove (&engines_[(size_t)r.engine].table, r.ask);
    r.ask = nullptr;
  }
  void
  order (Engine &e, const adm_action_t &action)
  {
    e.busy_until_ms = now_ + kOrderMs;
    if (std::uniform_real_distribution<> (0, 1) (random_) < lost_orders ())
      {
        e.busy_until_ms = now_ + kLostOrderMs;
        return;
      }
    int adapter = atoi (action.adapter->name + 3);
    if (action.kind == ADM_ACTION_UNLOAD)
      {
        e.held.erase (adapter);
        adm_record_unloaded (&e.table, action.adapter);
        return;
      }
    fetch (e, adapter);
    adm_record_load_started (&e.table, action.adapter, now_);
  }
  void
  fetch (Engine &e, int adapter)
  {
    bool is_cold = e.copies.count (adapter) == 0;
    e.fetches.push_back (
        { adapter, is_cold, is_cold ? d_.fetch_ms : d_.fetch_ms / 10 });
    outcome_.fetches += is_cold;
  }
  void
  start (Engine &e, uint64_t id)
  {
    Request &r = requests_[id];
    if (r.load_from_ms > 0)
      outcome_.stall_s += (double)(now_ - r.load_from_ms) / 1000;
    r.runs = true;
    e.held[r.adapter] = now_;
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
        if (e.held.count (r.adapter) > 0 && e.running.size () < d_.slots)
          {
            start (e, id);
            continue;
          }
        left.push_back (id);
        if (e.held.count (r.adapter) > 0)
          continue;
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
    if (e.held.size () + e.fetches.size () >= d_.adapter_places)
      {
        auto oldest = e.held.end ();
        for (auto it = e.held.begin (); it != e.held.end (); ++it)
          if (!is_in_use (e, it->first)
              && (oldest == e.held.end () || it->second < oldest->second))
            oldest = it;
        if (oldest == e.held.end ())
          return;
        e.held.erase (oldest);
      }
    fetch (e, adapter);
  }
  bool
  is_in_use (const Engine &e, int adapter)
  {
    for (uint64_t id : e.running)
      if (requests_.at (id).adapter == adapter)
        return true;
    return false;
  }
  /// Steps of a batch: each reads pieces of prompts, oldest first, and makes
  /// one token of every stream whose prompt is read.
  void
  run (Engine &e)
  {
    if (e.step_end_ms > now_)
      return;
    if (e.step_end_ms > 0)
      end_step (e);
    begin_step (e);
  }
  void
  begin_step (Engine &e)
  {
    e.pieces.clear ();
    e.step_end_ms = 0;
    if (e.running.empty ())
      return;
    double left = kChunkTokens;
    double reading_ms = 0;
    for (uint64_t id : e.running)
      {
        Request &r = requests_[id];
        if (r.prompt_left <= 0 || left <= 0)
          continue;
        double take = std::min (r.prompt_left, left);
        left -= take;
        double slower = 1 + r.prompt / kSquareTokens;
        reading_ms += take * slower / d_.tokens_per_ms;
        e.pieces.emplace_back (id, take);
      }
    double step_ms = d_.step_ms
                     + d_.step_ms_per_run * (double)e.running.size ()
                     + reading_ms;
    e.step_end_ms = now_ + std::max<uint64_t> (1, (uint64_t)step_ms);
  }
  void
  end_step (Engine &e)
  {
    for (auto &[id, take] : e.pieces)
      if (requests_.count (id) > 0)
        requests_[id].prompt_left -= take;
    std::vector<uint64_t> still;
    for (uint64_t id : e.running)
      {
        auto it = requests_.find (id);
        if (it == requests_.end ())
          continue;
        Request &r = it->second;
        if (r.prompt_left > 0.5 || !make_token (e, r))
          still.push_back (id);
        else
          finish (e, r);
      }
    e.running = still;
  }
  /// @return  Whether it was the last.
  bool
  make_token (Engine &e, Request &r)
  {
    r.made++;
    bool is_last = r.made >= r.output;
    bool is_event = r.made % d_.stride == 0 || is_last;
    if (!is_event)
      return false;
    if (r.first_ms == 0)
      {
        r.first_ms = now_;
        if (r.ask != nullptr)
          adm_request_record_first_event (&e.table, r.ask, now_);
      }
    else
      r.longest_gap_ms = std::max (r.longest_gap_ms, now_ - r.event_ms);
    r.event_ms = now_;
    return is_last;
  }
  void
  finish (Engine &e, Request &r)
  {
    double first_ms = (double)(r.first_ms - r.asked_ms);
    bool is_prompt = first_ms <= (double)r.kind->aim_ms;
    bool is_smooth = r.longest_gap_ms <= d_.gap_ms;
    outcome_.first_ms.push_back (first_ms);
    share_of (r, [=] (Share &s) {
      s.served++;
      s.in_time += is_prompt && is_smooth;
    });
    (is_prompt && is_smooth ? outcome_.in_time : outcome_.late)++;
    outcome_.paused += is_prompt && !is_smooth;
    if (r.ask != nullptr)
      {
        uint32_t gaps = (uint32_t)((r.output - 1) / d_.stride);
        pce_record_stream (&e.table.reading.pace, gaps,
                           r.event_ms - r.first_ms, now_);
        adm_request_record_hold_time (&e.table, r.ask, now_);
      }
    drop_ask (r);
    requests_.erase (r.id);
  }
  /// Callers leave when nothing came for too long.
  void
  leave ()
  {
    std::vector<uint64_t> gone;
    for (auto &[id, r] : requests_)
      if (r.first_ms == 0 && now_ >= r.due_ms)
        gone.push_back (id);
    for (uint64_t id : gone)
      {
        Request &r = requests_[id];
        outcome_.left++;
        held_ms_ += (double)(now_ - r.arrived_ms);
        if (r.load_from_ms > 0 && !r.runs)
          outcome_.stall_s += (double)(now_ - r.load_from_ms) / 1000;
        drop_ask (r);
        if (r.engine >= 0)
          {
            auto &running = engines_[(size_t)r.engine].running;
            running.erase (std::remove (running.begin (), running.end (), id),
                           running.end ());
          }
        requests_.erase (id);
      }
  }

  Deployment d_;
  bool is_plain_;
  double factor_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;
  plc_costs_t costs_;
  std::vector<Engine> engines_;
  std::map<uint64_t, Request> requests_;
  std::multimap<uint64_t, Request> returning_;
  Outcome outcome_;
  double held_ms_ = 0;
  int moved_ = 0;
  uint64_t now_ = 0;
  uint64_t last_id_ = 0;
};

} // namespace

double
Outcome::first_ms_at (double part) const
{
  if (first_ms.empty ())
    return 0;
  size_t at = (size_t)(part * (double)(first_ms.size () - 1));
  return first_ms[at];
}

Outcome
play (const Deployment &deployment, Policy policy, double factor)
{
  return Site (deployment, policy, factor).play ();
}

} // namespace lab
