/// @file model.h
/// Discrete-time simulation of a deployment: the decision code of gateways and
/// sidecars (src/coordination) runs against a small model of engines, adapter
/// slots and the weight store. The same deployment gives the same outcome.
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
  COORDINATED, ///< The decisions of the daemon.

  /// First come, first served at a random engine, with LRU eviction
  /// of adapters and no early refusal.
  BASELINE,
};

/// Outcome of a group of requests.
struct GroupOutcome
{
  int requests = 0;
  int in_time = 0; ///< Complete, with the first event and all gaps in time.
  int served = 0;
};

/// Outcome of a simulation.
struct Outcome
{
  int requests = 0;
  int in_time = 0;
  int late = 0;        ///< Complete, but not in time.
  int late_by_gap = 0; ///< Of the late ones, late only by a gap in the stream.
  int refused = 0;     ///< Refused again after one retry.
  int timed_out = 0;   ///< The caller gave up before the first event.
  int lost = 0;        ///< Failed when their engine stopped.
  int fetches = 0;     ///< Adapter fetches from the weight store.
  double stall_s = 0;  ///< Waiting for adapters, summed over requests.
  double unserved_wait_ms
      = 0; ///< Mean wait of refused and timed-out requests.
  std::vector<double> first_ms; ///< Time to the first event of each served
                                ///< request, ascending.
  std::map<std::string, GroupOutcome> kinds;
  /// By popularity rank of the adapter: "top 10", "to 100", "rest".
  std::map<std::string, GroupOutcome> popularity;
  std::map<int, GroupOutcome> domains;
  double
  goodput () const
  {
    return requests > 0 ? (double)in_time / requests : 0;
  }
  /// @param quantile  From 0 to 1.
  /// @return  Quantile of the time to the first event, in ms; 0 if none was
  /// served.
  double first_ms_quantile (double quantile) const;
};

/// Run a simulation.
/// @param factor  Multiplies the load of the deployment.
Outcome simulate (const Deployment &deployment, Policy policy,
                  double factor = 1);

} // namespace lab

#endif
