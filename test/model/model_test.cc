// Checks what gateways know over thousands of seeded schedules of store,
// gateways, sidecar, targets and operator.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>

#include "world.h"

namespace model
{
namespace
{

enum
{
  SCHEDULES = 3000,
  /// Planted faults must be found within this many.
  PLANTED_SCHEDULES = 1500,
};

/// @return  The first seed that violates a promise, or zero.
uint32_t
first_failing_seed (PlantedFault planted_fault, uint32_t schedules,
                    bool has_restores, std::string *what,
                    std::set<uint64_t> *state_hashes)
{
  for (uint32_t seed = 1; seed <= schedules; seed++)
    {
      World world (seed, planted_fault, has_restores);
      *what = world.run ();
      if (state_hashes != nullptr)
        state_hashes->insert (world.state_hashes.begin (),
                              world.state_hashes.end ());
      if (!what->empty ())
        {
          *what += "\n" + world.schedule_text ();
          return seed;
        }
    }
  return 0;
}

void
expect_promises_hold (bool has_restores)
{
  std::string what;
  std::set<uint64_t> state_hashes;
  const char *range = getenv ("KB_MODEL_SCHEDULES");
  uint32_t schedules = SCHEDULES;
  if (range != nullptr)
    schedules = (uint32_t)atoi (range);
  auto begin = std::chrono::steady_clock::now ();
  uint32_t seed = first_failing_seed (PlantedFault::NONE, schedules,
                                      has_restores, &what, &state_hashes);
  std::chrono::duration<double> took
      = std::chrono::steady_clock::now () - begin;
  EXPECT_EQ (seed, 0u) << "seed " << seed << ": " << what;
  printf ("%u schedules, %zu states seen, %.0f schedules a minute\n",
          schedules, state_hashes.size (), schedules / took.count () * 60);
}

TEST (Model, PromisesHoldOverAllSchedules) { expect_promises_hold (false); }

// The same, with a store that comes back from older copies.
TEST (Model, PromisesHoldOverAllSchedulesWithRestores)
{
  expect_promises_hold (true);
}

/// A planted fault must be found by the promise it breaks; other promises that
/// it breaks as well do not count.
void
expect_fault_found (PlantedFault planted_fault, const std::string &promise,
                    bool has_restores = false)
{
  for (uint32_t seed = 1; seed <= PLANTED_SCHEDULES; seed++)
    {
      World world (seed, planted_fault, has_restores);
      std::string what = world.run (promise);
      if (what.empty ())
        continue;
      printf ("found by seed %u: %s\n", seed, what.c_str ());
      return;
    }
  ADD_FAILURE () << "no schedule shows: " << promise;
}

// A read that a silent store never answers is awaited until its long time-out:
// routes that were already confirmed are refused for seconds.
TEST (Model, FindsALongWaitForASilentStore)
{
  expect_fault_found (PlantedFault::LONG_WAIT_FOR_SILENT_STORE,
                      "a confirmed configuration is not in force");
}

TEST (Model, FindsAnOlderConfigurationApplied)
{
  expect_fault_found (PlantedFault::OLDER_CONFIG_IS_APPLIED,
                      "an older configuration is in force again");
}

TEST (Model, FindsANewIncarnationIgnored)
{
  expect_fault_found (PlantedFault::NEW_INCARNATION_IS_IGNORED,
                      "an earlier incarnation");
}

TEST (Model, FindsABatchDroppedByOneMalformedEntry)
{
  expect_fault_found (PlantedFault::MALFORMED_ENTRY_DROPS_BATCH,
                      "is not used");
}

// A gateway counts the data of a sidecar reply as fresh because the reply has
// just arrived, and does not state how old its own knowledge is. The sidecar
// returns what it read seconds ago, and a removed target stays in use.
TEST (Model, FindsASidecarReplyCountedAsFresh)
{
  expect_fault_found (PlantedFault::SIDECAR_REPLY_IS_FRESH,
                      "is gone and still used");
}

// The schedules above cover sidecar replies as much as reads of the store:
// gateways learn most changes through the sidecar.
TEST (Model, GatewaysLearnFromTheSidecar)
{
  uint64_t shared_reads = 0;
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      World world (seed, PlantedFault::NONE);
      EXPECT_EQ (world.run (), "");
      shared_reads += world.shared_reads ();
    }
  EXPECT_GT (shared_reads, 20u * 10);
}

// A gateway that gets no answer from the store receives the current
// configuration from a sidecar, counts it as a read of the store, and
// continues to admit keys that a later configuration has revoked.
TEST (Model, FindsAForwardedConfigurationCountedAsFresh)
{
  expect_fault_found (PlantedFault::FORWARDED_CONFIG_IS_FRESH,
                      "a key that was taken away is let in");
}

TEST (Model, FindsExpiredEntriesRemovedEarly)
{
  expect_fault_found (PlantedFault::EXPIRED_ENTRY_IS_REMOVED,
                      "lapsed with the store");
}

// Gateways watch from revisions of the store before it was restored.
TEST (Model, FindsAnIgnoredRestore)
{
  expect_fault_found (PlantedFault::RESTORE_IS_IGNORED,
                      "a confirmed configuration is not in force", true);
}

TEST (Model, FindsACopyThatBringsTargetsBack)
{
  expect_fault_found (PlantedFault::COPY_IS_APPLIED,
                      "is gone and brought back", true);
}

TEST (Model, FindsACopyThatCountsAsFresh)
{
  expect_fault_found (PlantedFault::COPY_IS_FRESH,
                      "a key that was taken away is let in", true);
}

} // namespace
} // namespace model
