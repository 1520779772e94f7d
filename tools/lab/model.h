/// @file model.h
/// Plays a deployment's load through the decisions of gateways and sidecars
/// (src/coordination) before a small model of engines, memory places and the
/// weight store. Time is simulated; the same deployment gives the same
/// outcome.
#ifndef KB_TOOLS_LAB_MODEL_H
#define KB_TOOLS_LAB_MODEL_H

#include <map>
#include <string>
#include <vector>

#include "deployment.h"

namespace lab
{

enum class Policy
{
  COORDINATED,
  /// First come first served at a random engine, the least recently used
  /// adapter dropped, nothing declined early, prompts read as they come.
  BASELINE,
};

/// What some of the callers got.
struct GroupOutcome
{
  int requests = 0;
  int in_time = 0; ///< Whole, with its first event and all pauses in time.
  int served = 0;
};

struct Outcome
{
  int requests = 0;
  int in_time = 0;
  int late = 0; ///< Served, not in time.
  int late_by_gap
      = 0;           ///< Of these, only because a stream late_by_gap too long.
  int refused = 0;   ///< For good, after one return.
  int timed_out = 0; ///< The caller's patience ended while it waited.
  int lost = 0;      ///< Broken off with an engine.
  int fetches = 0;   ///< From the weight store.
  double stall_s = 0;           ///< Waiting for an adapter, all requests.
  double unserved_wait_ms = 0;  ///< Mean wait of those that got nothing.
  std::vector<double> first_ms; ///< Of all served, sorted.
  std::map<std::string, GroupOutcome> kinds;
  std::map<std::string, GroupOutcome>
      popularity; ///< "top 10", "to 100", "rest".
  std::map<int, GroupOutcome> domains;
  double
  goodput () const
  {
    return requests > 0 ? (double)in_time / requests : 0;
  }
  /// @return  Time to a first event that a part of the served stays below.
  double first_ms_quantile (double quantile) const;
};

/// @param factor  Times the deployment's load.
Outcome simulate (const Deployment &deployment, Policy policy,
                  double factor = 1);

} // namespace lab

#endif
