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

enum class Kind
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
  STORE_AWAY,     ///< For the gateways that read one of its two faces.
  FORGET_HISTORY, ///< Of the store.
  CONFIGURATION,
  ADAPTER_VERSION,
  FAILING_TARGET,
  RESTART_ENGINE,
  TARGET_BORN_AGAIN, ///< Under its id.
  LATE_ENTRY,        ///< Of a target's life before.
  STRANGE_ENTRY,     ///< Another writer's, also in the place of a target's.
  STORE_MUTE,        ///< Reads are taken and never answered, also later.
  STATED_LIMIT,      ///< By a target in its answers, until another life.
  STATED_LEAVING,    ///< The same.
  STATED_PAUSE,      ///< A target turns all requests away and asks for one.
};

struct Step
{
  int at_ms = 0;  ///< Since the first fault.
  int for_ms = 0; ///< Zero: it has no end.
  Kind kind = Kind::KILL;
  int who = 0; ///< Number of the process, link or target; taken modulo.
  int how = 0; ///< Variant; taken modulo.
};

/// Seeds that failed keep what they failed with: the plan from the kinds that
/// there were, and the callers.
constexpr uint64_t kLastSeedOfFirstKinds = 2;
constexpr uint64_t kLastSeedWithoutWorkspaces = 300;
constexpr uint64_t kLastSeedWithoutStatements = 400;

/// @param length_ms  All faults begin and end within this.
std::vector<Step> draw_plan (uint64_t seed, int length_ms);
std::string describe (const Step &step);
std::string describe (const std::vector<Step> &plan);

} // namespace relay

#endif
