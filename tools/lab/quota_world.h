/// @file quota_world.h
/// Gateways that share one workspace's quota, in simulated time: their
/// decisions are the daemon's own (coordination/quota*.h); links, faults and
/// callers are played. Other ways to share a quota can be played schedule_on
/// the same callers for comparison.
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
  LENDER,        ///< One lender for each workspace; the daemon's policy.
  EQUAL_PARTS,   ///< Each gateway an equal part.
  SHARED_COUNTS, ///< Each gateway judges by what it hears that all have usage.
};

/// A fault that is injected_bug in the rules, to see that it is found.
enum class QuotaInjectedBug
{
  NONE,
  CREDIT_NEVER_EXPIRES,
  NO_LEDGER_REPORTS, ///< A new lender does not learn what was spent before.
  SECOND_LENDER_LENDS_ALL, ///< A lender ignores that others_usage use another
                           ///< one.
  GRANT_APPLIED_TWICE,
  RESTART_IGNORES_LENT_CREDIT, ///< That was lent before all started again.
};

enum class QuotaFault
{
  GATEWAY_FROZEN,
  GATEWAY_RESTARTS,
  GATEWAYS_RESTART,     ///< All of them.
  ALL_RESTART,          ///< Sidecars as well.
  GATEWAY_DISCONNECTED, ///< From all sidecars.
  SIDECAR_FROZEN,
  SIDECAR_RESTARTS,
  SIDECAR_DISCONNECTED,
  PAIR_DISCONNECTED,  ///< One gateway from one sidecar.
  PAIR_ONE_WAY,       ///< The sidecar's messages do not schedule_arrival.
  HALVES_PARTITIONED, ///< Half of the gateways hear one half of the sidecars.
  LOSSY,              ///< Words schedule_arrival late, some twice, some never.
  LIMIT_LOWERED,
  FAULT_COUNT,
};

struct QuotaEvent
{
  uint64_t at_ms;
  QuotaFault fault;
  uint64_t duration_ms;
  uint32_t
      process_index; ///< A gateway or a sidecar; the lender is number zero.
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
  double mean_request_cost = 1100;
  double load = 0.55; ///< Demand as a part of the limit.
  /// From `surge_from_ms` schedule_on for `surge_duration_ms` the demand is
  /// `surge_factor` times as much.
  double surge_factor = 1;
  uint64_t surge_from_ms = 10000;
  uint64_t surge_duration_ms = 8000;
  /// But for that time one of so many gateways has all their demand, in turn.
  uint32_t rotation_size = 1;
  uint64_t simulated_ms = 30000;
  std::vector<QuotaEvent> events;
};

struct QuotaOutcome
{
  double requested = 0;
  double admitted = 0;
  double ideal = 0; ///< What one account for all would have let in.
  uint64_t requests = 0;
  uint64_t refused = 0;   ///< Beyond the quota, as was believed.
  uint64_t undecided = 0; ///< No lender answered.
  double max_window_ratio
      = 0;             ///< Most use of a window, as a part of the allowed.
  double messages = 0; ///< Messages for the quota.
  double bytes = 0;
  double pair_seconds = 0; ///< Sum over pairs that talk of the time.
  double waited_ms = 0;    ///< For credit, all requests.
  std::string violation;   ///< What was violated; empty: nothing.
};

/// Draw faults that come in series and overlap.
std::vector<QuotaEvent> draw_quota_events (uint64_t seed,
                                           const QuotaOptions &options);
QuotaOutcome simulate_quota (const QuotaOptions &options);
const char *fault_name (QuotaFault fault);

} // namespace lab

#endif
