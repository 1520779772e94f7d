/// @file deployment.h
/// Description of a simulated deployment: engines, weight store, adapters,
/// request mix and scheduled events. Drawn from a seed or written by a test.
#ifndef KB_TOOLS_LAB_DEPLOYMENT_H
#define KB_TOOLS_LAB_DEPLOYMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace lab
{

/// Distribution and objectives of one kind of request.
struct Kind
{
  std::string name;
  double share;  ///< Fraction of all requests.
  double prompt; ///< Median prompt tokens (log-normal).
  double spread; ///< Standard deviation of the logarithm of the
                 ///< prompt tokens.
  double output; ///< Mean output tokens (exponential).
  uint64_t first_event_objective_ms; ///< From the request to the first event.
  uint64_t caller_timeout_ms;        ///< The caller gives up after this time.
  uint32_t priority;                 ///< A lower value is more urgent.
};

enum class EventType
{
  BURST,            ///< Multiplies the load by `amount`.
  POWER_LOSS,       ///< All engines restart without adapters.
  ENGINE_LOSS,      ///< The fraction `amount` of the engines restarts.
  POPULARITY_SHIFT, ///< Shifts adapter popularity by `amount` ranks.
  LOST_ORDERS,      ///< The fraction `amount` of engine orders is lost.
};

/// A scheduled change of the load or a fault.
struct Event
{
  EventType type;
  uint64_t at_ms; ///< Since the start of the simulation.
  uint64_t duration_ms;
  double amount; ///< See EventType.
};

struct Deployment
{
  uint64_t seed = 1;
  int engines = 9;
  uint32_t slots = 128;               ///< Concurrent requests of an engine.
  uint32_t kv_tokens = 190000;        ///< Capacity of an engine's KV cache.
  uint32_t engine_adapter_slots = 36; ///< Adapters resident in an engine.
  /// Adapters in the host cache of an engine, which loads them in a tenth of
  /// the fetch time.
  uint32_t host_cache_slots = 36;
  double prompt_tokens_per_ms = 38; ///< Prefill rate of an engine.
  double step_ms = 5; ///< Batch step that decodes one token of each request.
  double step_ms_per_request = 0.02; ///< Added for each request of the batch.
  int tokens_per_event = 5;          ///< Output tokens in a stream event.
  uint32_t max_event_gap_ms = 300;   ///< A longer gap makes a stream late.
  /// Concurrent fetches that the weight store serves at full speed.
  double store_concurrency = 8;
  double fetch_ms = 250;        ///< One fetch at full speed.
  uint64_t model_load_ms = 700; ///< Base model load after a restart.
  int adapters = 3000;
  double skew = 1.2; ///< Exponent of the Zipf distribution of popularity.
  double requests_per_s = 140;
  int arrival_group_size = 3; ///< Requests that arrive at the same time.
  int domains = 4;            ///< Failure domains.
  uint64_t simulated_ms = 40000;
  std::vector<Kind> kinds;
  std::vector<Event> events;
};

/// Draw a deployment within the ranges that users run, loaded at its capacity.
/// @param seed The same seed gives the same deployment.
Deployment draw_deployment (uint64_t seed);
/// Compute the capacity as the lowest of the prefill, decode and fetch rates.
/// @return  Requests per second.
double capacity_per_s (const Deployment &d);
/// @return  What limits the capacity: "reading" (prefill), "tokens" (decode)
///          or "store" (fetches).
const char *bottleneck_of (const Deployment &d);

} // namespace lab

#endif
