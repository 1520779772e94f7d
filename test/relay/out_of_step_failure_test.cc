// Streams that callers continue at a gateway that stood still, or was cut off,
// while targets of a newer software version came and began them elsewhere.
#include <gtest/gtest.h>

#include <signal.h>

#include "release_site.h"

namespace relay
{
namespace
{

/// Engines of the older version, and their sidecars.
constexpr std::array<size_t, 2> kOlder = { 0, 1 };
constexpr std::array<size_t, 2> kNewer = { 2, 3 };

/// How a gateway is out of step.
struct Absence
{
  const char *name;
  bool is_store_silent;     ///< Also after it has stood still.
  bool are_sidecars_silent; ///< Those that it knows.
  int extra_ms;             ///< It stands still for longer.
};

constexpr Absence kAbsences[] = {
  { "stands still", false, false, 0 },
  { "and its store is silent", true, false, 0 },
  { "and its store and sidecars are silent", true, true, 3000 },
};

void
signal_older_sidecars (ReleaseSite &site, int signal)
{
  for (size_t i : kOlder)
    kill (site.engines[i].sidecar.pid, signal);
}

bool
wait_newer_identified (ReleaseSite &site)
{
  bool is_identified = true;
  for (size_t i : kNewer)
    is_identified &= Site::wait_identified (site.engines[i], "");
  pause_ms (100);
  return is_identified;
}

/// While one gateway stands still, a newer version comes and begins streams
/// elsewhere. Their callers turn to that gateway.
void
expect_joins_nothing (const Absence &absence, bool names_origin)
{
  SCOPED_TRACE (absence.name);
  ReleaseSite site;
  ASSERT_TRUE (site.wait_ready ());
  pause_ms (1500);
  // The older version has no place left, so the newer one begins the next.
  auto others = begin_streams (site, 0, 16, "other");
  if (absence.is_store_silent)
    site.mirror_store.set_mode (Store::SILENT);
  pid_t late = site.gateways[1].daemon.pid;
  kill (late, SIGSTOP);
  if (absence.are_sidecars_silent)
    signal_older_sidecars (site, SIGSTOP);
  site.list_newer ();
  bool is_identified = wait_newer_identified (site);
  auto streams = begin_streams (site, 0, 12, "a");
  site.stop (&site.gateways[0].daemon, SIGKILL);
  end_streams (streams);
  std::thread recovery ([&] {
    pause_ms (absence.extra_ms);
    kill (late, SIGCONT);
    pause_ms (400);
    signal_older_sidecars (site, SIGCONT);
    pause_ms (2000);
    site.mirror_store.set_mode (Store::HEALTHY);
  });
  Continuations result = continue_streams (site, 1, streams, names_origin);
  recovery.join ();
  EXPECT_TRUE (is_identified);
  EXPECT_GE (count_of_version (streams, "v2"), 8);
  EXPECT_EQ (result.mixed, 0);
}

// Guards against a gateway that takes the version that it knew before it stood
// still for the one that began a stream meanwhile.
TEST (OutOfStep, GatewayThatStoodStillJoinsNoStreams)
{
  for (const Absence &absence : kAbsences)
    expect_joins_nothing (absence, true);
}

// Guards against the same where callers do not name the attempt that began.
TEST (OutOfStep, GatewayThatStoodStillJoinsNoStreamsOfUnnamedOrigin)
{
  for (const Absence &absence : kAbsences)
    expect_joins_nothing (absence, false);
}

/// The store turns away one gateway, and the sidecars that it knows restart.
/// A newer version comes and begins streams elsewhere, which nobody remembers.
void
expect_joins_nothing_without_store (bool names_origin)
{
  ReleaseSite site;
  ASSERT_TRUE (site.wait_ready ());
  pause_ms (1500);
  // The older version has no place left, so the newer one begins the next.
  auto others = begin_streams (site, 0, 16, "other");
  site.mirror_store.set_mode (Store::BUSY);
  for (size_t i : kOlder)
    site.stop (&site.engines[i].sidecar, SIGKILL);
  site.list_newer ();
  EXPECT_TRUE (wait_newer_identified (site));
  auto streams = begin_streams (site, 0, 12, "a");
  EXPECT_GE (count_of_version (streams, "v2"), 8);
  site.stop (&site.gateways[0].daemon, SIGKILL);
  site.restart_sidecars (0, 3);
  end_streams (streams);
  Continuations result = continue_streams (site, 1, streams, names_origin);
  EXPECT_EQ (result.mixed, 0);
}

// Guards against a gateway that has just lost the store, and takes what it
// read last for what served when a stream began.
TEST (OutOfStep, GatewayThatHasJustLostTheStoreJoinsNoStreams)
{
  expect_joins_nothing_without_store (true);
}

// Guards against the same where callers do not name the attempt that began.
TEST (OutOfStep, GatewayThatHasJustLostTheStoreJoinsNoStreamsOfUnnamedOrigin)
{
  expect_joins_nothing_without_store (false);
}

// Guards against refusals once a gateway that stood still is in step again.
TEST (OutOfStep, StreamsOfTheOnlyVersionGoOnAtAGatewayThatStoodStill)
{
  for (bool names_origin : { true, false })
    {
      SCOPED_TRACE (names_origin);
      ReleaseSite site;
      ASSERT_TRUE (site.wait_ready ());
      pause_ms (1500);
      pid_t late = site.gateways[1].daemon.pid;
      kill (late, SIGSTOP);
      auto streams = begin_streams (site, 0, 12, "a");
      site.stop (&site.gateways[0].daemon, SIGKILL);
      end_streams (streams);
      pause_ms (1000);
      kill (late, SIGCONT);
      pause_ms (1500);
      Continuations result = continue_streams (site, 1, streams, names_origin);
      EXPECT_GE (result.begun, 10);
      EXPECT_GE (result.continued, result.begun * 3 / 4);
    }
}

/// One gateway is cut off from the store while a newer version comes, begins
/// streams elsewhere and leaves. The store comes back from an older copy.
/// @param is_frozen   The gateway stands still as well.
/// @param is_restart  Callers continue at a gateway that has just started and
///                    reads what the other one recorded.
void
expect_no_proof_after_restore (bool is_frozen, bool is_restart)
{
  SCOPED_TRACE (is_frozen);
  SCOPED_TRACE (is_restart);
  ReleaseSite site;
  ASSERT_TRUE (site.wait_ready ());
  pause_ms (1500);
  auto copies = site.copy_stores ();
  pid_t late = site.gateways[1].daemon.pid;
  site.mirror_store.set_mode (Store::SILENT);
  pause_ms (400);
  if (is_frozen)
    kill (late, SIGSTOP);
  site.list_newer ();
  pause_ms (1500);
  auto streams = begin_streams (site, 0, 24, "a");
  EXPECT_GE (count_of_version (streams, "v2"), 4);
  for (size_t i : kNewer)
    site.unlist (i);
  site.stop (&site.gateways[0].daemon, SIGKILL);
  for (size_t i : kNewer)
    site.stop (&site.engines[i].sidecar, SIGKILL);
  site.restart_sidecars (0, 1);
  site.restore_stores (copies);
  pause_ms (1000);
  end_streams (streams);
  site.mirror_store.set_mode (Store::HEALTHY);
  kill (late, SIGCONT);
  // What a restored store has lost is written again within 2 s.
  pause_ms (3000);
  if (is_restart)
    {
      site.start (&site.gateways[0].daemon);
      ASSERT_TRUE (site.wait_gateways_ready ());
    }
  Continuations result = continue_streams (site, is_restart ? 0 : 1, streams);
  EXPECT_EQ (result.mixed, 0);
}

// Guards against a gateway that was cut off from the store until this came
// back from a copy, and takes itself for one that knows all versions that
// served.
TEST (OutOfStep, RestoredStoreProvesNothingToAGatewayThatWasCutOff)
{
  expect_no_proof_after_restore (false, false);
  expect_no_proof_after_restore (true, false);
}

// Guards against a gateway that relies on records of one that was cut off.
TEST (OutOfStep, RecordsOfAGatewayThatWasCutOffProveNothing)
{
  expect_no_proof_after_restore (false, true);
  expect_no_proof_after_restore (true, true);
}

} // namespace
} // namespace relay
