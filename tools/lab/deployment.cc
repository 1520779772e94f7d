#include "deployment.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lab
{
namespace
{

/// @return  A factor from 1 / max_factor to max_factor, log-uniform.
double
draw_factor (std::mt19937_64 &random, double max_factor)
{
  return std::pow (max_factor,
                   std::uniform_real_distribution<> (-1, 1) (random));
}

template <typename T>
T
pick (std::mt19937_64 &random, std::initializer_list<T> values)
{
  size_t at
      = std::uniform_int_distribution<size_t> (0, values.size () - 1) (random);
  return *(values.begin () + at);
}

double
mean_prompt (const Deployment &d)
{
  double mean = 0;
  for (const Kind &k : d.kinds)
    mean += k.share * k.prompt * std::exp (k.spread * k.spread / 2);
  return mean;
}

double
mean_output (const Deployment &d)
{
  double mean = 0;
  for (const Kind &k : d.kinds)
    mean += k.share * k.output;
  return mean;
}

double
prompt_capacity_per_s (const Deployment &d)
{
  return d.engines * d.prompt_tokens_per_ms * 1000 / mean_prompt (d);
}

double
decode_capacity_per_s (const Deployment &d)
{
  double step = d.step_ms + d.step_ms_per_request * d.slots;
  return d.engines * d.slots * 1000 / step / mean_output (d);
}

/// Assumes an ideal cache that holds the most popular adapters, each at one
/// engine.
double
fetch_capacity_per_s (const Deployment &d)
{
  int cached = std::min<int> (
      d.adapters,
      d.engines * (int)std::max (d.host_cache_slots, d.engine_adapter_slots));
  double total_weight = 0;
  double cached_weight = 0;
  for (int i = 0; i < d.adapters; i++)
    {
      double weight = std::pow (i + 1, -d.skew);
      total_weight += weight;
      cached_weight += i < cached ? weight : 0;
    }
  double miss_ratio = std::max (0.002, 1 - cached_weight / total_weight);
  return d.store_concurrency * 1000 / d.fetch_ms / miss_ratio;
}

std::vector<Kind>
draw_kinds (std::mt19937_64 &random)
{
  std::uniform_real_distribution<> unit (0, 1);
  double check_share = 0.4 + 0.4 * unit (random);
  double summary_share = (1 - check_share) * (0.3 + 0.5 * unit (random));
  uint64_t objective_ms = pick<uint64_t> (random, { 800, 1000 });
  return {
    { "check", check_share, 500 + 1800 * unit (random), 0.8,
      20 + 30 * unit (random), objective_ms, 5000, 1 },
    { "summary", summary_share, 300 + 900 * unit (random), 0.7,
      120 + 200 * unit (random), objective_ms, 12000, 0 },
    { "batch", 1 - check_share - summary_share, 500 + 1500 * unit (random),
      0.8, 20 + 200 * unit (random), 1000, 15000, 1 },
  };
}

std::vector<Event>
draw_events (std::mt19937_64 &random)
{
  std::uniform_real_distribution<> unit (0, 1);
  std::vector<Event> events
      = { { EventType::BURST, (uint64_t)(3000 + 4000 * unit (random)), 4000,
            1.3 + unit (random) },
          { EventType::POPULARITY_SHIFT, 10000, 0, 20 + 60 * unit (random) },
          { EventType::POPULARITY_SHIFT, 20000, 0, 20 + 60 * unit (random) } };
  if (unit (random) < 0.5)
    events.push_back ({ EventType::POWER_LOSS, 26000, 1500, 1 });
  if (unit (random) < 0.5)
    events.push_back ({ EventType::ENGINE_LOSS, 14000, 3000, 0.2 });
  if (unit (random) < 0.3)
    events.push_back ({ EventType::LOST_ORDERS, 5000, 10000, 0.35 });
  return events;
}

} // namespace

double
capacity_per_s (const Deployment &d)
{
  return std::min ({ prompt_capacity_per_s (d), decode_capacity_per_s (d),
                     fetch_capacity_per_s (d) });
}

const char *
bottleneck_of (const Deployment &d)
{
  double lowest_per_s = capacity_per_s (d);
  if (lowest_per_s == prompt_capacity_per_s (d))
    return "reading";
  return lowest_per_s == decode_capacity_per_s (d) ? "tokens" : "store";
}

Deployment
draw_deployment (uint64_t seed)
{
  std::mt19937_64 random (seed);
  Deployment d;
  d.seed = seed;
  d.engines = std::uniform_int_distribution<> (4, 20) (random);
  d.slots = pick<uint32_t> (random, { 32, 48, 64, 128 });
  d.kv_tokens = (uint32_t)(150000 * draw_factor (random, 1.4));
  d.engine_adapter_slots = pick<uint32_t> (random, { 4, 6, 12, 21, 36 });
  d.host_cache_slots
      = d.engine_adapter_slots * pick<uint32_t> (random, { 1, 3, 6 });
  d.prompt_tokens_per_ms = 30 * draw_factor (random, 1.7);
  d.step_ms = 6.5 * draw_factor (random, 1.5);
  d.tokens_per_event = std::uniform_int_distribution<> (2, 8) (random);
  d.max_event_gap_ms = pick<uint32_t> (random, { 300, 400 });
  d.store_concurrency = pick<double> (random, { 4, 8, 16 });
  d.fetch_ms = 270 * draw_factor (random, 1.5);
  d.adapters = (int)(3000 * draw_factor (random, 2));
  d.skew = 0.9 + 0.4 * std::uniform_real_distribution<> (0, 1) (random);
  d.kinds = draw_kinds (random);
  d.events = draw_events (random);
  d.requests_per_s = capacity_per_s (d);
  return d;
}

} // namespace lab
