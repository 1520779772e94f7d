/// @file plan.h
/// The faults of one soak run, drawn from its seed before it begins: the same
/// seed gives the same plan, whatever the run does with it.
#ifndef KB_TEST_SOAK_PLAN_H
#define KB_TEST_SOAK_PLAN_H

#include <cstdint>
#include <string>
#include <vector>

namespace relay
{

enum class FaultKind
{
  KILL,
  TERMINATE,
  PAUSE, ///< SIGSTOP, and SIGCONT after a while.
  HANGUP,
  RESET_LINKS,
  SILENCE_LINKS, ///< Present connections carry nothing any more.
  CUT,           ///< Nothing passes either way for a while.
  CUT_ONE_WAY,
  DELAY,
  STORE_UNAVAILABLE, ///< For the gateways that read one of its two faces.
  COMPACT_HISTORY,   ///< Of the store.
  CONFIGURATION,
  ADAPTER_VERSION,
  FAILING_TARGET,
  RESTART_ENGINE,
  TARGET_NEW_INCARNATION, ///< Under its id.
  LATE_ENTRY,             ///< Of a target's life before.
  INVALID_ENTRY,     ///< Another writer's, also in the place of a target's.
  STALL_STORE_READS, ///< Reads are taken and never answered, also later.
  ANNOUNCED_LIMIT,   ///< By a target in its answers, until another life.
  ANNOUNCED_LEAVING, ///< The same.
  REQUESTED_PAUSE,   ///< A target turns all requests away and asks for one.
};

struct FaultStep
{
  int at_ms = 0;       ///< Since the first fault.
  int duration_ms = 0; ///< Zero: it has no end.
  FaultKind kind = FaultKind::KILL;
  int subject = 0; ///< Number of the process, link or target; taken modulo.
  int variant = 0; ///< Variant; taken modulo.
};

/// Seeds that failed keep what they failed with: the plan from the kinds that
/// there were, and the callers.
constexpr uint64_t kLastSeedWithInitialKinds = 2;
constexpr uint64_t kLastSeedWithoutWorkspaces = 300;
constexpr uint64_t kLastSeedWithoutAnnouncements = 400;

/// @param length_ms  All faults begin and end within this.
std::vector<FaultStep> draw_plan (uint64_t seed, int length_ms);
std::string describe (const FaultStep &fault_step);
std::string describe (const std::vector<FaultStep> &plan);

} // namespace relay

#endif
