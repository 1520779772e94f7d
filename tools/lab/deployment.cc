#include "deployment.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lab
{
namespace
{

double
spread_factor (std::mt19937_64 &random, double most)
{
  return std::pow (most, std::uniform_real_distribution<> (-1, 1) (random));
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
reading_per_s (const Deployment &d)
{
  return d.engines * d.tokens_per_ms * 1000 / mean_prompt (d);
}

double
tokens_per_s (const Deployment &d)
{
  double step = d.step_ms + d.step_ms_per_run * d.slots;
  return d.engines * d.slots * 1000 / step / mean_output (d);
}

/// An ideal cache keeps the most popular adapters, each at one engine.
double
store_per_s (const Deployment &d)
{
  int kept = std::min<int> (
      d.adapters, d.engines * (int)std::max (d.copies, d.adapter_places));
  double all = 0;
  double held = 0;
  for (int i = 0; i < d.adapters; i++)
    {
      double weight = std::pow (i + 1, -d.skew);
      all += weight;
      held += i < kept ? weight : 0;
    }
  double missed = std::max (0.002, 1 - held / all);
  return d.store_lanes * 1000 / d.fetch_ms / missed;
}

std::vector<Kind>
draw_kinds (std::mt19937_64 &random)
{
  std::uniform_real_distribution<> unit (0, 1);
  double first = 0.4 + 0.4 * unit (random);
  double second = (1 - first) * (0.3 + 0.5 * unit (random));
  uint64_t aim = pick<uint64_t> (random, { 800, 1000 });
  return {
    { "check", first, 500 + 1800 * unit (random), 0.8, 20 + 30 * unit (random),
      aim, 5000, 1 },
    { "summary", second, 300 + 900 * unit (random), 0.7,
      120 + 200 * unit (random), aim, 12000, 0 },
    { "batch", 1 - first - second, 500 + 1500 * unit (random), 0.8,
      20 + 200 * unit (random), 1000, 15000, 1 },
  };
}

std::vector<Event>
draw_events (std::mt19937_64 &random)
{
  std::uniform_real_distribution<> unit (0, 1);
  std::vector<Event> events
      = { { Trouble::BURST, (uint64_t)(3000 + 4000 * unit (random)), 4000,
            1.3 + unit (random) },
          { Trouble::SHIFT, 10000, 0, 20 + 60 * unit (random) },
          { Trouble::SHIFT, 20000, 0, 20 + 60 * unit (random) } };
  if (unit (random) < 0.5)
    events.push_back ({ Trouble::POWER_LOSS, 26000, 1500, 1 });
  if (unit (random) < 0.5)
    events.push_back ({ Trouble::ENGINE_LOSS, 14000, 3000, 0.2 });
  if (unit (random) < 0.3)
    events.push_back ({ Trouble::LOST_ORDERS, 5000, 10000, 0.35 });
  return events;
}

} // namespace

double
capacity_per_s (const Deployment &d)
{
  return std::min ({ reading_per_s (d), tokens_per_s (d), store_per_s (d) });
}

const char *
bound_of (const Deployment &d)
{
  double least = capacity_per_s (d);
  if (least == reading_per_s (d))
    return "reading";
  return least == tokens_per_s (d) ? "tokens" : "store";
}

Deployment
draw (uint64_t seed)
{
  std::mt19937_64 random (seed);
  Deployment d;
  d.seed = seed;
  d.engines = std::uniform_int_distribution<> (4, 20) (random);
  d.slots = pick<uint32_t> (random, { 32, 48, 64, 128 });
  d.kv_tokens = (uint32_t)(150000 * spread_factor (random, 1.4));
  d.adapter_places = pick<uint32_t> (random, { 4, 6, 12, 21, 36 });
  d.copies = d.adapter_places * pick<uint32_t> (random, { 1, 3, 6 });
  d.tokens_per_ms = 30 * spread_factor (random, 1.7);
  d.step_ms = 6.5 * spread_factor (random, 1.5);
  d.stride = std::uniform_int_distribution<> (2, 8) (random);
  d.gap_ms = pick<uint32_t> (random, { 300, 400 });
  d.store_lanes = pick<double> (random, { 4, 8, 16 });
  d.fetch_ms = 270 * spread_factor (random, 1.5);
  d.adapters = (int)(3000 * spread_factor (random, 2));
  d.skew = 0.9 + 0.4 * std::uniform_real_distribution<> (0, 1) (random);
  d.kinds = draw_kinds (random);
  d.events = draw_events (random);
  d.requests_per_s = capacity_per_s (d);
  return d;
}

} // namespace lab
