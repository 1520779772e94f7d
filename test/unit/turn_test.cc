// Choice of the daemons that send data to peers which lack it.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "relay/turn.h"
}

namespace
{

constexpr uint32_t kGateways = 100;
constexpr uint32_t kSidecars = 200;

// An operator writes a configuration, and all gateways of a large fleet have
// it at the same moment. Each sends it to two sidecars; if these were the same
// for all gateways, their links would carry nothing else for a second.
TEST (Turn, FirstReceiversDifferBetweenGateways)
{
  std::vector<int> copies (kSidecars, 0);
  int sum = 0;
  for (uint64_t gateway = 1; gateway <= kGateways; gateway++)
    for (uint64_t sidecar = 1; sidecar <= kSidecars; sidecar++)
      if (trn_is_first_receiver (gateway, sidecar, kSidecars))
        {
          copies[sidecar - 1]++;
          sum++;
        }
  EXPECT_NEAR (sum, 2 * (int)kGateways, 50);
  EXPECT_LE (*std::max_element (copies.begin (), copies.end ()), 8);
}

TEST (Turn, FewReceiversAreAllFirstReceivers)
{
  EXPECT_TRUE (trn_is_first_receiver (1, 1, 1));
  EXPECT_TRUE (trn_is_first_receiver (1, 2, 2));
}

// A peer that lacks data gets it from some gateway within a few turns.
TEST (Turn, EveryPeerHasASenderWithinAFewTurns)
{
  for (uint64_t sidecar = 1; sidecar <= kSidecars; sidecar++)
    {
      int turns = 0;
      for (uint64_t turn = 0; turn < 5; turn++)
        for (uint64_t gateway = 1; gateway <= kGateways; gateway++)
          turns += trn_has_turn (gateway, sidecar, kGateways,
                                 turn * TRN_PERIOD_MS);
      EXPECT_GT (turns, 0) << sidecar;
    }
}

} // namespace
