/// @file quota_world.h
/// Gateways that share one workspace's quota, in simulated time: their
/// decisions are the daemon's own (coordination/quota*.h); links, faults and
/// callers are played. Other ways to share a quota can be played on the same
/// callers for comparison.
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

enum class QuotaWay
{
  LOANS,  ///< One lender for each workspace; the daemon's way.
  FIXED,  ///< Each gateway an equal part.
  COUNTS, ///< Each gateway judges by what it hears that all have used.
};

/// A fault that is planted in the rules, to see that it is found.
enum class QuotaPlanted
{
  NONE,
  CREDIT_NEVER_LAPSES,
  NOTHING_IS_TOLD,  ///< A new lender does not learn what was spent before.
  SECOND_LENDS_ALL, ///< A lender ignores that others use another one.
  GRANT_COUNTS_TWICE,
  START_ASSUMES_NOTHING, ///< That was lent before all started again.
};

enum class QuotaFault
{
  GATEWAY_FROZEN,
  GATEWAY_RESTARTS,
  GATEWAYS_RESTART, ///< All of them.
  ALL_RESTART,      ///< Sidecars as well.
  GATEWAY_CUT,      ///< From all sidecars.
  SIDECAR_FROZEN,
  SIDECAR_RESTARTS,
  SIDECAR_CUT,
  PAIR_CUT,     ///< One gateway from one sidecar.
  PAIR_ONE_WAY, ///< The sidecar's words do not arrive.
  HALVES_CUT,   ///< Half of the gateways hear one half of the sidecars.
  LOSSY,        ///< Words arrive late, some twice, some never.
  LIMIT_FALLS,
  FAULTS,
};

struct QuotaEvent
{
  uint64_t at_ms;
  QuotaFault fault;
  uint64_t for_ms;
  uint32_t which; ///< A gateway or a sidecar; the lender is number zero.
};

struct QuotaOptions
{
  QuotaWay way = QuotaWay::LOANS;
  QuotaPlanted planted = QuotaPlanted::NONE;
  uint64_t seed = 1;
  uint32_t gateways = 22;
  uint32_t sidecars = 41;
  quo_limit_t limit = { 208590, 208590 };
  quo_tolerance_t tolerance = { 8, 0.1, 17000 };
  bool is_capped_by_reach = false; ///< See qln_lender_t.
  double mean_request = 1100;
  double load = 0.55; ///< Demand as a part of the limit.
  /// From `hot_from_ms` on for `hot_for_ms` the demand is `hot` times as much.
  double hot = 1;
  uint64_t hot_from_ms = 10000;
  uint64_t hot_for_ms = 8000;
  /// But for that time one of so many gateways has all their demand, in turn.
  uint32_t turns = 1;
  uint64_t end_ms = 30000;
  std::vector<QuotaEvent> events;
};

struct QuotaOutcome
{
  double asked = 0;
  double admitted = 0;
  double ideal = 0; ///< What one account for all would have let in.
  uint64_t requests = 0;
  uint64_t refused = 0;    ///< Beyond the quota, as was believed.
  uint64_t unknown = 0;    ///< No lender answered.
  double worst_window = 0; ///< Most use of a window, as a part of the allowed.
  double words = 0;        ///< Messages for the quota.
  double bytes = 0;
  double pair_seconds = 0; ///< Sum over pairs that talk of the time.
  double waited_ms = 0;    ///< For credit, all requests.
  std::string broken;      ///< What was violated; empty: nothing.
};

/// Draw faults that come in series and overlap.
std::vector<QuotaEvent> draw_quota_events (uint64_t seed,
                                           const QuotaOptions &options);
QuotaOutcome play_quota (const QuotaOptions &options);
const char *name_of (QuotaFault fault);

} // namespace lab

#endif
