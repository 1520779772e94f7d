// The store is away for a moment and comes back from an older copy.
#include <gtest/gtest.h>

#include <thread>

#include "site.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

const char kNewRoute[] = ",{\"Name\":\"new\",\"Host\":\"a.example\","
                         "\"Prefix\":\"/new/\",\"Kind\":\"safe\","
                         "\"TimeoutMs\":2000,\"Service\":\"maps\","
                         "\"MaxAttempts\":1}";

/// Bound on how late a confirmed configuration applies.
constexpr int kConfigApplyMs = 2000;

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (milliseconds (ms));
}

/// Write items that no daemon uses, to advance the stores' revision.
void
write_unused (Site &site, int count)
{
  for (int i = 0; i < count; i++)
    site.put ("other/item", std::to_string (i));
}

void
set_stores (Site &site, Store::Mode mode)
{
  site.store.set_mode (mode);
  site.mirror_store.set_mode (mode);
}

/// The stores go away, come back from copies and are written to before any
/// daemon reads them.
/// @param write_again  Writes what is written before the first read.
void
restore (Site &site, const std::array<Store::Copy, 2> &copies, int away_ms,
         const std::function<void ()> &write_again)
{
  set_stores (site, Store::RESET);
  sleep_ms (away_ms);
  site.restore_stores (copies);
  write_again ();
  set_stores (site, Store::HEALTHY);
}

/// Expect that the route of a new configuration is served by all gateways.
void
expect_new_route (Site &site, const std::string &id)
{
  for (size_t g = 0; g < site.gateways.size (); g++)
    EXPECT_EQ (send_call (site.gateways[g],
                          plain_call (id + std::to_string (g), "/new/x"))
                   .status,
               200)
        << "gateway " << g;
}

// A configuration whose revision had been given out before the restore, to an
// older one, is taken for known.
TEST (Restore, ConfigurationAtAReusedRevisionApplies)
{
  Site site (1, 1, 3);
  ASSERT_TRUE (site.wait_ready ());
  auto copies = site.copy_stores ();
  write_unused (site, 40);
  site.write_config (3);
  sleep_ms (1500);
  restore (site, copies, 1000, [] {});
  sleep_ms (1500);
  site.write_config (4, kNewRoute);
  sleep_ms (kConfigApplyMs);
  expect_new_route (site, "n");
}

// The store has passed the old revision before it is read again: only its era
// shows that it was restored, and the change lies behind the watches.
TEST (Restore, ConfigurationBehindTheWatchesApplies)
{
  Site site (1, 1, 3);
  ASSERT_TRUE (site.wait_ready ());
  auto copies = site.copy_stores ();
  write_unused (site, 5);
  site.write_config (3);
  sleep_ms (1500);
  restore (site, copies, 1000, [&] {
    site.write_config (4, kNewRoute);
    write_unused (site, 100);
  });
  sleep_ms (kConfigApplyMs);
  expect_new_route (site, "n");
}

} // namespace
} // namespace relay
