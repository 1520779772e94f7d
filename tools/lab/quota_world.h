/// @file quota_world.h
/// Simulation of gateways that share one workspace's quota. The decisions are
/// those of the daemon (coordination/quota*.h); links, faults and callers are
/// simulated. Other policies can be run with the same callers for comparison.
#ifndef KB_TOOLS_LAB_QUOTA_WORLD_H
#define KB_TOOLS_LAB_QUOTA_WORLD_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "coordination/quota_gateways.h"
#include "coordination/quota_spend.h"
}

namespace lab
{

enum class QuotaPolicy
{
  LENDER,        ///< One lender for each workspace, as in the daemon.
  EQUAL_PARTS,   ///< Each gateway has an equal part of the quota.
  SHARED_COUNTS, ///< Each gateway decides by the reported usage of all.
};

/// A bug injected into the protocol, to verify that the checks find it.
enum class QuotaInjectedBug
{
  NONE,
  CREDIT_NEVER_EXPIRES, ///< Gateways spend expired credit.
  NO_LEDGER_REPORTS,    ///< A new lender does not learn of earlier spending.
  SECOND_LENDER_LENDS_ALL, ///< A lender ignores gateways that use another one.
  GRANT_APPLIED_TWICE,     ///< A duplicated grant counts again.
  RESTART_IGNORES_LENT_CREDIT, ///< After a restart of all processes.
};

enum class QuotaFault
{
  GATEWAY_FROZEN,
  GATEWAY_RESTARTS,
  GATEWAYS_RESTART,     ///< All gateways.
  ALL_RESTART,          ///< All gateways and sidecars.
  GATEWAY_DISCONNECTED, ///< From all sidecars.
  SIDECAR_FROZEN,
  SIDECAR_RESTARTS,
  SIDECAR_DISCONNECTED,
  PAIR_DISCONNECTED,  ///< One gateway from one sidecar.
  PAIR_ONE_WAY,       ///< Messages from the sidecar are lost, not those to it.
  HALVES_PARTITIONED, ///< Each half of the gateways reaches one half of the
                      ///< sidecars.
  LOSSY,              ///< Messages are delayed, duplicated or lost.
  LIMIT_LOWERED,
  FAULT_COUNT,
};

struct QuotaEvent
{
  uint64_t at_ms;
  QuotaFault fault;
  uint64_t duration_ms;
  /// Of the gateway or sidecar, taken modulo their number. Sidecar faults hit
  /// the first three in rank; index zero is the lender.
  uint32_t process_index;
};

struct QuotaOptions
{
  QuotaPolicy policy = QuotaPolicy::LENDER;
  QuotaInjectedBug injected_bug = QuotaInjectedBug::NONE;
  uint64_t seed = 1;
  uint32_t gateways = 22;
  uint32_t sidecars = 41;
  quo_limit_t limit = { 208590, 208590 };
  quo_tolerance_t tolerance = { 8, 0.1, 17000 };
  bool is_capped_by_reach = false; ///< See qln_lender_t.
  double mean_request_cost = 1100; ///< In units of the quota.
  double load = 0.55;              ///< Demand as a fraction of the limit.
  /// Multiplies the demand from `surge_from_ms` for `surge_duration_ms`.
  double surge_factor = 1;
  uint64_t surge_from_ms = 10000;
  uint64_t surge_duration_ms = 8000;
  /// Outside the surge, one of every `rotation_size` gateways in turn has the
  /// demand of all of them.
  uint32_t rotation_size = 1;
  uint64_t simulated_ms = 30000;
  std::vector<QuotaEvent> events;
};

struct QuotaOutcome
{
  // In units of the quota.
  double requested = 0;
  double admitted = 0;
  double ideal = 0; ///< What a single shared account would have admitted.
  uint64_t requests = 0;
  uint64_t refused = 0;   ///< Requests refused as over quota.
  uint64_t undecided = 0; ///< Requests without an answer of a lender.
  /// Highest use in any window, relative to the allowed use.
  double max_window_ratio = 0;
  double messages = 0; ///< Quota messages sent.
  double bytes = 0;    ///< Quota bytes sent.
  /// Simulated time, summed over the gateway-sidecar pairs that exchange quota
  /// messages.
  double pair_seconds = 0;
  double waited_ms = 0;  ///< Wait for credit, summed over requests.
  std::string violation; ///< First violation found; empty when there is none.
};

/// Draw a schedule of faults, some of them in series that overlap.
std::vector<QuotaEvent> draw_quota_events (uint64_t seed,
                                           const QuotaOptions &options);
/// Run a simulation. The same options give the same outcome.
QuotaOutcome simulate_quota (const QuotaOptions &options);
const char *fault_name (QuotaFault fault);

} // namespace lab

#endif
