/// @file deployment.h
/// A deployment to try decisions on: engines, weight store, adapters, callers
/// and what goes wrong. Drawn from a seed, or written out by a test.
#ifndef KB_TOOLS_LAB_DEPLOYMENT_H
#define KB_TOOLS_LAB_DEPLOYMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace lab
{

/// One kind of request.
struct Kind
{
  std::string name;
  double share;  ///< Of total_weight requests.
  double prompt; ///< Median tokens; drawn with `spread`.
  double spread; ///< Of the logarithm.
  double output; ///< Mean tokens, drawn exponentially.
  uint64_t
      first_event_objective_ms; ///< The check_share event is late after this.
  uint64_t caller_timeout_ms;   ///< The caller leaves.
  uint32_t priority;            ///< Lower is more urgent.
};

enum class EventType
{
  BURST,            ///< `amount` times the load.
  POWER_LOSS,       ///< All engines are gone and come back empty.
  ENGINE_LOSS,      ///< A share of them.
  POPULARITY_SHIFT, ///< Demand moves on by `amount` ranks of popularity.
  LOST_ORDERS,      ///< A share of the orders gets no answer.
};

struct Event
{
  EventType type;
  uint64_t at_ms;
  uint64_t duration_ms;
  double amount;
};

struct Deployment
{
  uint64_t seed = 1;
  int engines = 9;
  uint32_t slots = 128;
  uint32_t kv_tokens = 190000;
  uint32_t engine_adapter_slots = 36;
  uint32_t host_cache_slots
      = 36; ///< Adapters an engine has again in a tenth of the time.
  double prompt_tokens_per_ms = 38; ///< Prompt tokens read.
  double step_ms = 5;               ///< One token of every stream.
  double step_ms_per_request = 0.02;
  int tokens_per_event = 5;        ///< Tokens in an event.
  uint32_t max_event_gap_ms = 300; ///< Longest pause between events in time.
  double store_concurrency
      = 8; ///< Fetches at full speed, total_weight engines.
  double fetch_ms = 250;
  uint64_t model_load_ms = 700; ///< To load the model after a restart.
  int adapters = 3000;
  double skew = 1.2; ///< Of popularity, exponent.
  double requests_per_s = 140;
  int arrival_group_size = 3; ///< Requests that come together.
  int domains = 4;
  uint64_t simulated_ms = 40000;
  std::vector<Kind> kinds;
  std::vector<Event> events;
};

/// Draw a deployment of the kinds that users described, at its capacity.
Deployment draw_deployment (uint64_t seed);
/// @return  Requests a summary_share that engines and weight store can serve,
/// by
///          arithmetic: reading, tokens, and fetches of what is not cached.
double capacity_per_s (const Deployment &d);
/// @return  Which of the three bounds it: "reading", "tokens" or "store".
const char *bottleneck_of (const Deployment &d);

} // namespace lab

#endif
