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
/// Interval at which a sidecar schedules waiting requests.
constexpr uint64_t kSchedulingMs = 10;
/// Interval between the reports of an engine to its sidecar.
constexpr uint64_t kEngineReportMs = 25;
/// Interval between the reports of a sidecar to the gateways.
constexpr uint64_t kGatewayReportMs = 100;
constexpr uint64_t kOrderMs = 2; ///< Round trip of an order to the engine.
constexpr uint64_t kLostOrderMs = 30; ///< Until a lost order times out.
constexpr int kMaxTries = 8;
constexpr double kMaxPromptTokensPerStep = 4096;
/// A prompt of this length takes twice the prefill time per token, since the
/// cost of attention grows with the length.
constexpr double kQuadraticTokens = 22000;
/// Time-out of an attempt, in multiples of the first-event objective.
constexpr double kTimeoutObjectives = 4;

struct Request
{
  uint64_t id = 0;
  int adapter = 0;
  int rank = 0;
  const Kind *kind = nullptr;
  int domain = 0;
  uint64_t first_attempt_ms = 0;
  uint64_t arrived_ms = 0; ///< Arrival of this attempt.
  uint64_t timeout_at_ms = 0;
  bool is_retry = false;
  double prompt = 0;
  double prompt_tokens_left = 0;
  int output = 0;
  int generated = 0;
  uint64_t first_ms = 0;
  uint64_t event_ms = 0;
  uint64_t longest_gap_ms = 0;
  uint64_t load_from_ms = 0; ///< When it began to wait for an adapter load.
  std::set<int> tried;       ///< Engines that refused this attempt.
  bool is_late = false;
  int engine = -1;
  bool is_running = false;
  adm_request_t *admission = nullptr;
};

struct Fetch
{
  int adapter;
  bool is_cold;
  double left_ms; ///< At full speed.
};

struct Engine
{
  adm_table_t table = {};
  std::map<int, uint64_t> resident;   ///< Last use in ms, by adapter.
  std::map<int, uint64_t> host_cache; ///< Time of insertion, by adapter.
  std::vector<Fetch> fetches;
  std::vector<uint64_t> running;
  std::vector<uint64_t> queue; ///< Used by the baseline policy.
  uint64_t step_end_ms = 0;
  /// Request and prompt tokens that the current step reads.
  std::vector<std::pair<uint64_t, double>> prompt_chunks;
  uint64_t order_until_ms = 0; ///< End of the order in progress.
  uint64_t up_from_ms = 0;     ///< The engine is down before this time.
  uint64_t last_report_ms = 0;
  // The last report to the gateways, and what was sent since.
  plc_candidate_t reported = {};
  std::map<int, plc_holding_t> reported_adapters;
  uint32_t sent_since_report = 0;
  double tokens_since_report = 0;
};

/// State of one simulation run.
class Simulation
{
public:
  Simulation (const Deployment &d, Policy policy, double factor)
      : d_ (d), is_baseline_ (policy == Policy::BASELINE), factor_ (factor),
        random_ (d.seed), engines_ ((size_t)d.engines)
  {
    double sum = 0;
    for (int i = 0; i < d.adapters; i++)
      cumulative_.push_back (sum += std::pow (i + 1, -d.skew));
    plc_costs_default (&costs_);
    adm_options_t options = {};
    options.slots = d.slots;
    options.kv_tokens = d.kv_tokens;
    options.adapter_slots = d.engine_adapter_slots;
    options.max_cold_loads = 3;
    options.max_loads_in_progress = 4;
    for (auto &e : engines_)
      {
        adm_table_init (&e.table, &options);
        pce_set_max_gap (&e.table.prefill.pace, d.max_event_gap_ms);
        e.table.is_engine_ready = true;
      }
  }
  ~Simulation ()
  {
    for (auto &e : engines_)
      adm_table_finish (&e.table);
  }
  Simulation (const Simulation &) = delete;
  Simulation &operator= (const Simulation &) = delete;

  Outcome
  simulate ()
  {
    double due_arrivals = 0;
    for (now_ = 1000; now_ < 1000 + d_.simulated_ms; now_ += kStepMs)
      {
        begin_events ();
        due_arrivals += d_.requests_per_s * factor_ * burst_factor () * kStepMs
                        / 1000.0;
        for (; due_arrivals >= d_.arrival_group_size;
             due_arrivals -= d_.arrival_group_size)
          for (int i = 0; i < d_.arrival_group_size; i++)
            arrive ();
        start_retries ();
        advance_fetches ();
        for (size_t i = 0; i < engines_.size (); i++)
          advance_engine (engines_[i], (int)i);
        if (now_ % 10 == 0)
          remove_timed_out ();
      }
    // Requests still in progress at the end are not counted.
    outcome_.requests -= (int)requests_.size () + (int)retries_.size ();
    std::sort (outcome_.first_ms.begin (), outcome_.first_ms.end ());
    int unserved = outcome_.refused + outcome_.timed_out;
    outcome_.unserved_wait_ms
        = unserved > 0 ? unserved_wait_ms_ / unserved : 0;
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
  is_active (const Event &e) const
  {
    uint64_t at = now_ - 1000;
    return at >= e.at_ms && at < e.at_ms + e.duration_ms;
  }
  double
  burst_factor () const
  {
    double x = 1;
    for (const Event &e : d_.events)
      if (e.type == EventType::BURST && is_active (e))
        x *= e.amount;
    return x;
  }
  double
  order_loss_probability () const
  {
    for (const Event &e : d_.events)
      if (e.type == EventType::LOST_ORDERS && is_active (e))
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
        if (e.type == EventType::POPULARITY_SHIFT)
          popularity_offset_ += (int)e.amount;
        size_t stopped = 0;
        if (e.type == EventType::POWER_LOSS)
          stopped = engines_.size ();
        if (e.type == EventType::ENGINE_LOSS)
          stopped = (size_t)std::ceil (e.amount * (double)engines_.size ());
        for (size_t i = 0; i < stopped; i++)
          stop_engine (engines_[i], e.duration_ms + d_.model_load_ms);
      }
  }
  /// Stop an engine, which restarts without adapters or requests.
  void
  stop_engine (Engine &e, uint64_t duration_ms)
  {
    std::vector<uint64_t> open;
    for (auto &[id, r] : requests_)
      if (r.engine >= 0 && &engines_[(size_t)r.engine] == &e)
        open.push_back (id);
    for (uint64_t id : open)
      {
        remove_admission (requests_[id]);
        outcome_.lost++;
        requests_.erase (id);
      }
    e.resident.clear ();
    e.host_cache.clear ();
    e.fetches.clear ();
    e.running.clear ();
    e.queue.clear ();
    e.prompt_chunks.clear ();
    e.step_end_ms = 0;
    e.up_from_ms = now_ + duration_ms;
    adm_handle_engine_restart (&e.table);
    e.table.is_engine_ready = false;
    e.reported.is_usable = false;
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
    r.adapter = (r.rank + popularity_offset_) % d_.adapters;
    r.kind = &draw_kind ();
    r.domain = std::uniform_int_distribution<> (0, d_.domains - 1) (random_);
    r.first_attempt_ms = now_;
    std::lognormal_distribution<> prompt (std::log (r.kind->prompt),
                                          r.kind->spread);
    r.prompt = std::min (prompt (random_), 6000.0) + 50;
    std::exponential_distribution<> output (1 / r.kind->output);
    r.output = 1 + (int)std::min (output (random_), 600.0);
    outcome_.requests++;
    update_groups (r, [] (GroupOutcome &group) { group.requests++; });
    start_attempt (r);
  }
  /// Apply `change` to each group that the request belongs to.
  template <typename F>
  void
  update_groups (const Request &r, F change)
  {
    change (outcome_.kinds[r.kind->name]);
    change (outcome_.domains[r.domain]);
    const char *name = r.rank < 10    ? "top 10"
                       : r.rank < 100 ? "to 100"
                                      : "rest";
    change (outcome_.popularity[name]);
  }
  /// Start the first attempt of a request, or its retry after a refusal.
  void
  start_attempt (Request r)
  {
    r.arrived_ms = now_;
    r.prompt_tokens_left = r.prompt;
    r.tried.clear ();
    double timeout_ms
        = kTimeoutObjectives * (double)r.kind->first_event_objective_ms;
    r.timeout_at_ms
        = std::min (now_ + (uint64_t)timeout_ms,
                    r.first_attempt_ms + r.kind->caller_timeout_ms);
    requests_[r.id] = r;
    Request &attempt = requests_[r.id];
    if (is_baseline_)
      start_baseline_attempt (attempt);
    else
      place_request (attempt);
  }
  /// Queue a request at a random engine that is up.
  void
  start_baseline_attempt (Request &r)
  {
    std::vector<int> up;
    for (int i = 0; i < d_.engines; i++)
      if (engines_[(size_t)i].up_from_ms <= now_)
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
  /// @return  The last reported state of an engine, plus what was sent since.
  plc_candidate_t
  candidate_for (const Request &r, int at)
  {
    Engine &e = engines_[(size_t)at];
    plc_candidate_t v = e.reported;
    v.key = (uint64_t)at + 1;
    v.is_usable = e.reported.is_usable && r.tried.count (at) == 0;
    v.is_same_domain = at % d_.domains == r.domain;
    v.busy_slots += e.sent_since_report;
    double rate = v.tokens_per_ms > 0 ? v.tokens_per_ms : 1;
    v.backlog_ms += e.tokens_since_report / rate;
    auto it = e.reported_adapters.find (r.adapter);
    v.holding = it != e.reported_adapters.end ()     ? it->second
                : e.host_cache.count (r.adapter) > 0 ? PLC_WARM
                                                     : PLC_ABSENT;
    if (r.is_late && v.holding == PLC_ABSENT)
      v.is_usable = false;
    return v;
  }
  /// Request a place at the best engines in turn, as a gateway does.
  void
  place_request (Request &r)
  {
    uint64_t retry_ms = 0;
    for (int tries = 0; tries < kMaxTries; tries++)
      {
        std::vector<plc_candidate_t> candidates;
        for (int i = 0; i < d_.engines; i++)
          candidates.push_back (candidate_for (r, i));
        plc_request_t request = {};
        request.adapter = key_of (r.adapter);
        request.prompt_tokens = (uint32_t)r.prompt;
        int32_t at = plc_choose (&costs_, candidates.data (),
                                 (uint32_t)candidates.size (), &request);
        if (at == PLC_NONE)
          break;
        if (request_place (r, at, &retry_ms))
          return;
        r.tried.insert (at);
        r.is_late = r.is_late
                    || now_ > r.arrived_ms + r.kind->first_event_objective_ms;
      }
    refuse (r, retry_ms);
  }
  /// Queue a request at an engine or refuse it, as a sidecar does.
  /// @param retry_ms  Raised to the forecast when refused.
  /// @return  Whether it was queued.
  bool
  request_place (Request &r, int at, uint64_t *retry_ms)
  {
    Engine &e = engines_[(size_t)at];
    e.sent_since_report++;
    e.tokens_since_report += r.prompt;
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
    given.deadline_ms = r.timeout_at_ms;
    given.objective_ms = r.arrived_ms + r.kind->first_event_objective_ms;
    adm_forecast_t forecast = adm_forecast (&e.table, &given, now_);
    adm_adapter_record_request (given.adapter, now_);
    if (adm_refusal_reason (&e.table, &given, &forecast, now_) != nullptr)
      {
        *retry_ms = std::max (*retry_ms, forecast.first_ms);
        return false;
      }
    r.engine = at;
    r.load_from_ms = adm_adapter_is_servable (given.adapter) ? 0 : now_;
    r.admission = adm_request_add (&e.table, &given);
    return true;
  }
  /// Refuse a request. Callers retry once: with the coordinated policy after a
  /// third of the time that is left to them, with the baseline after
  /// `retry_ms`, at least 300 ms but no more than that third.
  void
  refuse (Request &r, uint64_t retry_ms)
  {
    uint64_t timeout_at = r.first_attempt_ms + r.kind->caller_timeout_ms;
    uint64_t max_wait_ms = timeout_at > now_ ? (timeout_at - now_) / 3 : 0;
    if (!is_baseline_)
      retry_ms = max_wait_ms;
    unserved_wait_ms_ += (double)(now_ - r.arrived_ms);
    if (r.is_retry || max_wait_ms == 0)
      outcome_.refused++;
    else
      {
        Request again = r;
        again.is_retry = true;
        again.engine = -1;
        again.admission = nullptr;
        uint64_t wait_ms
            = std::min (std::max<uint64_t> (retry_ms, 300), max_wait_ms);
        retries_.emplace (now_ + wait_ms, again);
      }
    requests_.erase (r.id);
  }
  void
  start_retries ()
  {
    while (!retries_.empty () && retries_.begin ()->first <= now_)
      {
        Request r = retries_.begin ()->second;
        retries_.erase (retries_.begin ());
        start_attempt (r);
      }
  }
  /// Advance the fetches by one time step. The weight store serves all of them
  /// concurrently, at reduced speed above its full-speed concurrency.
  void
  advance_fetches ()
  {
    double cold = 0;
    for (auto &e : engines_)
      for (auto &f : e.fetches)
        cold += f.is_cold;
    double pace
        = cold > d_.store_concurrency ? d_.store_concurrency / cold : 1;
    for (auto &e : engines_)
      {
        for (auto &f : e.fetches)
          f.left_ms -= (double)kStepMs * (f.is_cold ? pace : 1);
        for (auto &f : e.fetches)
          if (f.left_ms <= 0)
            {
              e.resident[f.adapter] = now_;
              cache_adapter (e, f.adapter);
            }
        e.fetches.erase (
            std::remove_if (e.fetches.begin (), e.fetches.end (),
                            [] (const Fetch &f) { return f.left_ms <= 0; }),
            e.fetches.end ());
      }
  }
  /// Add an adapter to the host cache, evicting the oldest when it is full.
  void
  cache_adapter (Engine &e, int adapter)
  {
    e.host_cache[adapter] = now_;
    if (e.host_cache.size () <= d_.host_cache_slots)
      return;
    auto oldest = e.host_cache.begin ();
    for (auto it = e.host_cache.begin (); it != e.host_cache.end (); ++it)
      if (it->second < oldest->second)
        oldest = it;
    e.host_cache.erase (oldest);
  }
  void
  advance_engine (Engine &e, int at)
  {
    if (e.up_from_ms > now_)
      return;
    e.table.is_engine_ready = true;
    if (now_ >= e.last_report_ms + kEngineReportMs)
      report_to_sidecar (e);
    if (now_ % kSchedulingMs == 0)
      is_baseline_ ? start_baseline_requests (e) : apply_actions (e, at);
    if (now_ % kGatewayReportMs == 2 * (uint64_t)at % kGatewayReportMs)
      report_to_gateways (e);
    advance_batch (e);
  }
  void
  report_to_gateways (Engine &e)
  {
    e.reported.is_usable = e.table.is_engine_ready;
    e.reported.slots = e.table.options.slots;
    e.reported.busy_slots = e.table.granted;
    e.reported.waiting = e.table.waiting;
    e.reported.tokens_per_ms = e.table.prefill.tokens_per_ms;
    e.reported.backlog_ms = (double)adm_backlog_us (&e.table, now_) / 1000;
    e.reported.load_wait_ms
        = (double)adm_new_adapter_load_wait_ms (&e.table, now_);
    e.reported_adapters.clear ();
    uint32_t at = 0;
    for (auto *a = (adm_adapter_t *)kb_map_next (&e.table.adapters, &at);
         a != nullptr;
         a = (adm_adapter_t *)kb_map_next (&e.table.adapters, &at))
      if (a->state != ADM_ABSENT || a->waiting > 0)
        e.reported_adapters[atoi (a->name + 3)]
            = a->state == ADM_HELD      ? PLC_HELD
              : a->state == ADM_LOADING ? PLC_LOADING
                                        : PLC_PENDING;
    e.sent_since_report = 0;
    e.tokens_since_report = 0;
  }
  void
  report_adapter (Engine &e, int adapter, bool is_coming)
  {
    std::string name = name_of (adapter);
    adm_report_adapter (&e.table, key_of (adapter),
                        kb_slice_t{ name.data (), (uint32_t)name.size () }, 1,
                        is_coming, now_);
  }
  void
  report_to_sidecar (Engine &e)
  {
    e.last_report_ms = now_;
    adm_report_begin (&e.table);
    for (auto &[adapter, used] : e.resident)
      report_adapter (e, adapter, false);
    for (auto &f : e.fetches)
      report_adapter (e, f.adapter, true);
    adm_report_end (&e.table);
  }
  /// Carry out the decisions of the sidecar until none is left.
  void
  apply_actions (Engine &e, int at)
  {
    if (e.table.waiting == 0)
      return;
    for (;;)
      {
        bool may_order = e.order_until_ms <= now_;
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
    remove_admission (r);
    r.engine = -1;
    r.tried.insert (at);
    r.is_late
        = r.is_late || now_ > r.arrived_ms + r.kind->first_event_objective_ms;
    place_request (r);
  }
  void
  remove_admission (Request &r)
  {
    if (r.admission != nullptr)
      adm_request_remove (&engines_[(size_t)r.engine].table, r.admission);
    r.admission = nullptr;
  }
  void
  order (Engine &e, const adm_action_t &action)
  {
    e.order_until_ms = now_ + kOrderMs;
    if (std::uniform_real_distribution<> (0, 1) (random_)
        < order_loss_probability ())
      {
        e.order_until_ms = now_ + kLostOrderMs;
        return;
      }
    int adapter = atoi (action.adapter->name + 3);
    if (action.kind == ADM_ACTION_UNLOAD)
      {
        e.resident.erase (adapter);
        adm_record_unloaded (&e.table, action.adapter);
        return;
      }
    fetch (e, adapter);
    adm_record_load_started (&e.table, action.adapter, now_);
  }
  void
  fetch (Engine &e, int adapter)
  {
    bool is_cold = e.host_cache.count (adapter) == 0;
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
    r.is_running = true;
    e.resident[r.adapter] = now_;
    e.running.push_back (id);
  }
  /// Start requests in order of arrival, fetching the adapters they need.
  void
  start_baseline_requests (Engine &e)
  {
    std::vector<uint64_t> waiting;
    for (uint64_t id : e.queue)
      {
        auto it = requests_.find (id);
        if (it == requests_.end ())
          continue;
        Request &r = it->second;
        if (e.resident.count (r.adapter) > 0 && e.running.size () < d_.slots)
          {
            start (e, id);
            continue;
          }
        waiting.push_back (id);
        if (e.resident.count (r.adapter) > 0)
          continue;
        if (r.load_from_ms == 0)
          r.load_from_ms = now_;
        fetch_for_baseline (e, r.adapter);
      }
    e.queue = waiting;
  }
  /// Fetch an adapter, evicting the least recently used one not in use.
  /// At most four fetches run at a time.
  void
  fetch_for_baseline (Engine &e, int adapter)
  {
    for (auto &f : e.fetches)
      if (f.adapter == adapter)
        return;
    if (e.fetches.size () >= 4)
      return;
    if (e.resident.size () + e.fetches.size () >= d_.engine_adapter_slots)
      {
        auto oldest = e.resident.end ();
        for (auto it = e.resident.begin (); it != e.resident.end (); ++it)
          if (!is_in_use (e, it->first)
              && (oldest == e.resident.end () || it->second < oldest->second))
            oldest = it;
        if (oldest == e.resident.end ())
          return;
        e.resident.erase (oldest);
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
  /// Run batch steps. Each step reads chunks of prompts, oldest request first,
  /// and decodes one token of each request whose prompt is complete.
  void
  advance_batch (Engine &e)
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
    e.prompt_chunks.clear ();
    e.step_end_ms = 0;
    if (e.running.empty ())
      return;
    double tokens_left = kMaxPromptTokensPerStep;
    double reading_ms = 0;
    for (uint64_t id : e.running)
      {
        Request &r = requests_[id];
        if (r.prompt_tokens_left <= 0 || tokens_left <= 0)
          continue;
        double chunk_tokens = std::min (r.prompt_tokens_left, tokens_left);
        tokens_left -= chunk_tokens;
        double slowdown = 1 + r.prompt / kQuadraticTokens;
        reading_ms += chunk_tokens * slowdown / d_.prompt_tokens_per_ms;
        e.prompt_chunks.emplace_back (id, chunk_tokens);
      }
    double step_ms = d_.step_ms
                     + d_.step_ms_per_request * (double)e.running.size ()
                     + reading_ms;
    e.step_end_ms = now_ + std::max<uint64_t> (1, (uint64_t)step_ms);
  }
  void
  end_step (Engine &e)
  {
    for (auto &[id, chunk_tokens] : e.prompt_chunks)
      if (requests_.count (id) > 0)
        requests_[id].prompt_tokens_left -= chunk_tokens;
    std::vector<uint64_t> unfinished;
    for (uint64_t id : e.running)
      {
        auto it = requests_.find (id);
        if (it == requests_.end ())
          continue;
        Request &r = it->second;
        if (r.prompt_tokens_left > 0.5 || !make_token (e, r))
          unfinished.push_back (id);
        else
          finish (e, r);
      }
    e.running = unfinished;
  }
  /// Decode one token, which may complete a stream event.
  /// @return  Whether it was the last token.
  bool
  make_token (Engine &e, Request &r)
  {
    r.generated++;
    bool is_last = r.generated >= r.output;
    bool is_event = r.generated % d_.tokens_per_event == 0 || is_last;
    if (!is_event)
      return false;
    if (r.first_ms == 0)
      {
        r.first_ms = now_;
        if (r.admission != nullptr)
          adm_request_record_first_event (&e.table, r.admission, now_);
      }
    else
      r.longest_gap_ms = std::max (r.longest_gap_ms, now_ - r.event_ms);
    r.event_ms = now_;
    return is_last;
  }
  void
  finish (Engine &e, Request &r)
  {
    double first_ms = (double)(r.first_ms - r.first_attempt_ms);
    bool is_prompt = first_ms <= (double)r.kind->first_event_objective_ms;
    bool is_smooth = r.longest_gap_ms <= d_.max_event_gap_ms;
    outcome_.first_ms.push_back (first_ms);
    update_groups (r, [=] (GroupOutcome &group) {
      group.served++;
      group.in_time += is_prompt && is_smooth;
    });
    (is_prompt && is_smooth ? outcome_.in_time : outcome_.late)++;
    outcome_.late_by_gap += is_prompt && !is_smooth;
    if (r.admission != nullptr)
      {
        uint32_t gaps = (uint32_t)((r.output - 1) / d_.tokens_per_event);
        pce_record_stream (&e.table.prefill.pace, gaps,
                           r.event_ms - r.first_ms, now_);
        adm_request_record_hold_time (&e.table, r.admission, now_);
      }
    remove_admission (r);
    requests_.erase (r.id);
  }
  /// Remove requests whose callers gave up before the first event.
  void
  remove_timed_out ()
  {
    std::vector<uint64_t> expired;
    for (auto &[id, r] : requests_)
      if (r.first_ms == 0 && now_ >= r.timeout_at_ms)
        expired.push_back (id);
    for (uint64_t id : expired)
      {
        Request &r = requests_[id];
        outcome_.timed_out++;
        unserved_wait_ms_ += (double)(now_ - r.arrived_ms);
        if (r.load_from_ms > 0 && !r.is_running)
          outcome_.stall_s += (double)(now_ - r.load_from_ms) / 1000;
        remove_admission (r);
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
  bool is_baseline_;
  double factor_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;
  plc_costs_t costs_;
  std::vector<Engine> engines_;
  std::map<uint64_t, Request> requests_;
  std::multimap<uint64_t, Request> retries_;
  Outcome outcome_;
  double unserved_wait_ms_ = 0;
  int popularity_offset_ = 0;
  uint64_t now_ = 0;
  uint64_t last_id_ = 0;
};

} // namespace

double
Outcome::first_ms_quantile (double quantile) const
{
  if (first_ms.empty ())
    return 0;
  size_t at = (size_t)(quantile * (double)(first_ms.size () - 1));
  return first_ms[at];
}

Outcome
simulate (const Deployment &deployment, Policy policy, double factor)
{
  return Simulation (deployment, policy, factor).simulate ();
}

} // namespace lab
