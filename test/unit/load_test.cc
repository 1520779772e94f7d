// Runs heavy loads through the decisions of gateways and sidecars, in the
// simulation of tools/lab: engines, adapter slots and a weight store in
// simulated time. The seeds are fixed, so each run has the same outcome.
#include <gtest/gtest.h>

#include <algorithm>

#include "model.h"

namespace
{

using lab::Deployment;
using lab::Outcome;
using lab::Policy;

void
print (const char *name, const Outcome &o)
{
  double n = o.requests;
  printf ("%-12s asked %d, in time %.3f, late %.3f, refused %.3f, left %.3f, "
          "held %.0f ms, fetches %d, load stalls %.0f s, p50 %.0f ms\n",
          name, o.requests, o.goodput (), o.late / n, o.refused / n,
          o.timed_out / n, o.unserved_wait_ms, o.fetches, o.stall_s,
          o.first_ms_quantile (0.5));
}

/// Nine engines with 36 adapter slots and 3,000 adapters of skewed popularity,
/// which shifts twice; 140 requests a second in groups of three.
Deployment
small_site ()
{
  Deployment d;
  d.seed = 20261;
  d.kinds = { { "any", 1, 550, 0.8, 280, 800, 3200, 1 } };
  d.events = { { lab::EventType::POPULARITY_SHIFT, 13000, 0, 40 },
               { lab::EventType::POPULARITY_SHIFT, 26000, 0, 40 } };
  return d;
}

// Results of this test, baseline and policy under test: share in time 0.398
// and 0.966, callers that left 0.481 and 0.000, fetches 1,296 and 1,035.
TEST (Load, GoodputExceedsTheBaseline)
{
  Outcome baseline = lab::simulate (small_site (), Policy::BASELINE);
  Outcome ours = lab::simulate (small_site (), Policy::COORDINATED);
  print ("plain", baseline);
  print ("ours", ours);
  EXPECT_GT (ours.in_time, 2 * baseline.in_time);
  EXPECT_GT (ours.goodput (), 0.8);
  EXPECT_LT (ours.stall_s * 5, baseline.stall_s);
  EXPECT_LT (ours.fetches, baseline.fetches);
  EXPECT_LT (ours.timed_out * 20, ours.requests);
}

/// Six engines that hold all adapters: prompt reading is the bottleneck.
Deployment
engine_bound ()
{
  Deployment d;
  d.seed = 7;
  d.engines = 6;
  d.slots = 64;
  d.engine_adapter_slots = 12;
  d.host_cache_slots = 36;
  d.prompt_tokens_per_ms = 26;
  d.step_ms = 8.2;
  d.tokens_per_event = 3;
  d.max_event_gap_ms = 400;
  d.adapters = 24;
  d.skew = 0.3;
  d.simulated_ms = 16000;
  d.kinds = { { "check", 0.8, 1500, 0.7, 25, 1000, 5000, 1 },
              { "summary", 0.2, 1000, 0.6, 170, 1000, 15000, 0 } };
  return d;
}

/// Eight engines with six adapter slots each and 3,000 adapters: the weight
/// store is the bottleneck, and engine time is plentiful.
Deployment
store_bound ()
{
  Deployment d = engine_bound ();
  d.engines = 8;
  d.engine_adapter_slots = 6;
  d.host_cache_slots = 12;
  d.prompt_tokens_per_ms = 60;
  d.step_ms = 5;
  d.store_concurrency = 4;
  d.adapters = 3000;
  d.skew = 1.1;
  return d;
}

/// Requests answered in time per second, at multiples of a load.
std::vector<double>
goodput_curve (const Deployment &d, double load_per_s)
{
  std::vector<double> curve;
  for (double factor : { 0.8, 1.0, 1.5, 3.0 })
    {
      Deployment at = d;
      at.requests_per_s = load_per_s;
      Outcome o = lab::simulate (at, Policy::COORDINATED, factor);
      char name[32];
      snprintf (name, sizeof name, "x %.1f", factor);
      print (name, o);
      double abandoned = o.timed_out / (double)o.requests;
      EXPECT_LT (abandoned, 0.01) << "callers gave up before any answer";
      curve.push_back (o.in_time / (d.simulated_ms / 1000.0));
    }
  return curve;
}

void
expect_no_collapse (const std::vector<double> &curve)
{
  double peak = *std::max_element (curve.begin (), curve.end ());
  EXPECT_GE (curve.back (), 0.9 * peak);
}

// Three times as many requests arrive as the engines can read prompts for. A
// late request that is admitted makes the next one late, so that goodput falls
// as the load rises.
TEST (Load, GoodputHoldsAboveTheReadingCapacity)
{
  Deployment d = engine_bound ();
  EXPECT_STREQ (lab::bottleneck_of (d), "reading");
  expect_no_collapse (goodput_curve (d, lab::capacity_per_s (d)));
}

// As above, where each request needs an adapter that no engine holds, and the
// weight store can deliver one of three.
TEST (Load, GoodputHoldsAboveTheWeightStoreCapacity)
{
  Deployment d = store_bound ();
  EXPECT_STREQ (lab::bottleneck_of (d), "store");
  expect_no_collapse (goodput_curve (d, lab::capacity_per_s (d)));
}

// After a power loss all engines come back empty at the same time, and all
// callers return. Five seconds later they must be served as before.
TEST (Load, RecoversSoonAfterAPowerLoss)
{
  Deployment d = engine_bound ();
  d.simulated_ms = 30000;
  d.requests_per_s = 0.7 * lab::capacity_per_s (d);
  Outcome before = lab::simulate (d, Policy::COORDINATED);
  d.events = { { lab::EventType::POWER_LOSS, 5000, 1500, 1 } };
  Outcome after = lab::simulate (d, Policy::COORDINATED);
  print ("calm", before);
  print ("power lost", after);
  // Seven seconds of thirty: those without engines, and five more.
  EXPECT_GT (after.in_time, before.in_time * (30 - 7.2) / 30);
}

// As above, on random deployments.
TEST (Load, RandomDeploymentsDoNotCollapse)
{
  for (uint64_t seed : { 3, 11 })
    {
      Deployment d = lab::draw_deployment (seed);
      d.simulated_ms = 12000;
      Outcome one = lab::simulate (d, Policy::COORDINATED, 1);
      Outcome three = lab::simulate (d, Policy::COORDINATED, 3);
      print ("x 1", one);
      print ("x 3", three);
      EXPECT_GE (three.in_time, 0.9 * one.in_time);
    }
}

} // namespace
