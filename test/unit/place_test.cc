// Choice of a target.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C"
{
#include "coordination/place.h"
}

namespace
{

plc_candidate_t
candidate (uint64_t key, plc_holding_t holding = PLC_ABSENT)
{
  plc_candidate_t v = {};
  v.key = key;
  v.is_usable = true;
  v.is_same_domain = true;
  v.holding = holding;
  v.slots = 32;
  v.load_wait_ms = 250;
  return v;
}

class PlaceTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    plc_costs_default (&costs);
  }
  int32_t
  choose (const std::vector<plc_candidate_t> &candidates,
          uint64_t adapter = 99, uint32_t prompt_tokens = 800)
  {
    plc_request_t request = {};
    request.adapter = adapter;
    request.prompt_tokens = prompt_tokens;
    return plc_choose (&costs, candidates.data (),
                       (uint32_t)candidates.size (), &request);
  }
  plc_costs_t costs;
};

TEST_F (PlaceTest, NothingUsable)
{
  plc_candidate_t v = candidate (1);
  v.is_usable = false;
  EXPECT_EQ (choose ({ v }), PLC_NONE);
  EXPECT_EQ (choose ({}), PLC_NONE);
}

TEST_F (PlaceTest, ARateLimitedTargetIsChosenLast)
{
  plc_candidate_t limited = candidate (1, PLC_HELD);
  limited.start_wait_ms = 400;
  EXPECT_EQ (choose ({ limited, candidate (2, PLC_HELD) }), 1);
  EXPECT_EQ (choose ({ limited }), 0);
}

TEST_F (PlaceTest, PrefersATargetThatHoldsTheAdapter)
{
  EXPECT_EQ (
      choose ({ candidate (1), candidate (2, PLC_HELD), candidate (3) }), 1);
}

TEST_F (PlaceTest, AnAbsentAdapterAlwaysGoesToItsHome)
{
  std::vector<plc_candidate_t> candidates;
  for (uint64_t key = 1; key <= 9; key++)
    candidates.push_back (candidate (key));
  int32_t home = choose (candidates);
  candidates[(size_t)home].busy_slots = 3;
  EXPECT_EQ (choose (candidates), home);
}

TEST_F (PlaceTest, AnOverloadedHolderIsAvoided)
{
  plc_candidate_t holder = candidate (1, PLC_HELD);
  holder.backlog_ms = 2000;
  EXPECT_EQ (choose ({ holder, candidate (2) }), 1);
}

TEST_F (PlaceTest, AFailingTargetIsAvoidedWhileOthersAreFree)
{
  plc_candidate_t failing = candidate (1, PLC_NOT_NEEDED);
  failing.failure_rate = 0.4;
  plc_candidate_t busy = candidate (2, PLC_NOT_NEEDED);
  busy.busy_slots = 8;
  EXPECT_EQ (choose ({ failing, busy }), 1);
}

// Two gateways request the same rare adapter. It is pending at an engine that
// is busy with other loads. If the second gateway has it loaded at an idle
// engine as well, both fetches use the weight store.
TEST_F (PlaceTest, APendingAdapterIsNotFetchedTwice)
{
  plc_candidate_t pending = candidate (1, PLC_PENDING);
  pending.load_wait_ms = 500;
  EXPECT_EQ (choose ({ pending, candidate (2), candidate (3) }), 0);
  pending.load_wait_ms = 2000;
  EXPECT_NE (choose ({ pending, candidate (2), candidate (3) }), 0);
}

// An engine that unloaded a rare adapter reloads it from host memory in 25 ms.
// The adapter's home by rendezvous weight is another engine, because the set
// of engines was different then, and would have to fetch it from the weight
// store.
TEST_F (PlaceTest, PrefersTheEngineThatHeldTheAdapterBefore)
{
  std::vector<plc_candidate_t> candidates;
  for (uint64_t key = 1; key <= 9; key++)
    candidates.push_back (candidate (key));
  size_t home = (size_t)choose (candidates);
  size_t other = home == 0 ? 1 : 0;
  candidates[other].holding = PLC_WARM;
  candidates[other].load_wait_ms = 1000;
  EXPECT_EQ (choose (candidates), (int32_t)other);
}

// A very long prompt pauses all streams of its engine while it is read; here a
// dozen.
TEST_F (PlaceTest, ALongPromptGoesWhereFewStreamsRun)
{
  plc_candidate_t holder = candidate (1, PLC_HELD);
  holder.busy_slots = 12;
  holder.tokens_per_ms = 38;
  plc_candidate_t idle = candidate (2);
  idle.tokens_per_ms = 38;
  EXPECT_EQ (choose ({ holder, idle }, 99, 800), 0);
  EXPECT_EQ (choose ({ holder, idle }, 99, 7000), 1);
}

TEST_F (PlaceTest, NearTargetsWinWhenEqual)
{
  plc_candidate_t far = candidate (1, PLC_NOT_NEEDED);
  far.is_same_domain = false;
  EXPECT_EQ (choose ({ far, candidate (2, PLC_NOT_NEEDED) }), 1);
}

// Sixty-eight gateways act on the same reports of eight equal holders. Without
// a random spread, all choose the same one until the next report.
TEST_F (PlaceTest, EqualHoldersShareTheRequests)
{
  std::vector<plc_candidate_t> candidates;
  for (uint64_t key = 1; key <= 8; key++)
    candidates.push_back (candidate (key, PLC_HELD));
  for (double unreported_requests : { 0.0, 10.0 })
    {
      std::vector<int> chosen (candidates.size ());
      for (uint64_t random_draw = 1; random_draw <= 68; random_draw++)
        {
          plc_request_t request
              = { 99, 800, random_draw, unreported_requests };
          chosen[(size_t)plc_choose (&costs, candidates.data (), 8,
                                     &request)]++;
        }
      int most = *std::max_element (chosen.begin (), chosen.end ());
      if (unreported_requests > 0)
        EXPECT_LE (most, 3 * 68 / 8);
      else
        EXPECT_EQ (most, 68);
    }
}

TEST (Unseen, GrowsWithLoadAndAge)
{
  plc_load_t load = { 8, 68, 120, 400 };
  double unreported_requests = plc_unreported_requests (&load);
  EXPECT_NEAR (unreported_requests, 4 * 8 * 67 * 0.4 / 120, 1e-9);
  load.report_interval_ms = 100;
  EXPECT_NEAR (plc_unreported_requests (&load), unreported_requests / 4, 1e-9);
  load.gateway_count = 1;
  EXPECT_EQ (plc_unreported_requests (&load), 0)
      << "its own requests are seen";
}

// An adapter that no engine holds must be fetched once, also when many
// gateways need it at the same time.
TEST_F (PlaceTest, GatewaysAgreeWhereAnAdapterIsFetched)
{
  std::vector<plc_candidate_t> candidates;
  for (uint64_t key = 1; key <= 40; key++)
    candidates.push_back (candidate (key));
  plc_request_t request = { 99, 800, 1, 10 };
  int32_t first = plc_choose (&costs, candidates.data (), 40, &request);
  for (request.random_draw = 2; request.random_draw <= 68;
       request.random_draw++)
    EXPECT_EQ (plc_choose (&costs, candidates.data (), 40, &request), first);
}

// A few engines with twelve slots hold an adapter in demand. They report their
// load every 400 ms, and between two reports all gateways know the same.
// Without a spread, requests queue at one engine until they are late, though
// half of the places of the others are free.
class StaleLoad : public PlaceTest
{
protected:
  enum
  {
    GATEWAYS = 68,
    ENGINES = 16,
    SLOTS = 12,
    RUN_MS = 1300,
    REPORT_INTERVAL_MS = 400,
    OBJECTIVE_MS = 800,
    /// Three quarters of the engines' capacity.
    REQUESTS_PER_S = ENGINES * SLOTS * 1000 / RUN_MS * 3 / 4,
    SECONDS = 60,
  };

  /// @return  Share of the requests that get a place too late.
  double
  late_share (bool is_spread)
  {
    plc_load_t load = { (double)REQUESTS_PER_S / GATEWAYS, GATEWAYS, ENGINES,
                        REPORT_INTERVAL_MS };
    double unreported_requests
        = is_spread ? plc_unreported_requests (&load) : 0;
    std::vector<plc_candidate_t> candidates;
    for (uint64_t key = 1; key <= ENGINES; key++)
      {
        plc_candidate_t v = candidate (key, PLC_HELD);
        v.slots = SLOTS;
        v.mean_hold_ms = RUN_MS;
        candidates.push_back (v);
      }
    // Time at which each place of each engine is free.
    std::vector<std::vector<double>> free_ms (ENGINES,
                                              std::vector<double> (SLOTS, 0));
    std::vector<std::vector<double>> starts (ENGINES);
    std::mt19937 random (1);
    std::exponential_distribution<double> gap (REQUESTS_PER_S / 1000.0);
    std::uniform_real_distribution<double> run (0.4, 1.6);
    double now_ms = 0;
    double next_report_ms = 0;
    int late = 0;
    int count = 0;
    while (now_ms < SECONDS * 1000)
      {
        now_ms += gap (random);
        if (now_ms >= next_report_ms)
          {
            next_report_ms = now_ms + REPORT_INTERVAL_MS;
            update_candidates (&candidates, free_ms, starts, now_ms);
          }
        plc_request_t request = { 99, 200, random (), unreported_requests };
        auto at = (size_t)plc_choose (&costs, candidates.data (), ENGINES,
                                      &request);
        auto place
            = std::min_element (free_ms[at].begin (), free_ms[at].end ());
        double start_ms = std::max (now_ms, *place);
        *place = start_ms + RUN_MS * run (random);
        starts[at].push_back (start_ms);
        count++;
        late += start_ms - now_ms > OBJECTIVE_MS;
      }
    return (double)late / count;
  }

private:
  static void
  update_candidates (std::vector<plc_candidate_t> *candidates,
                     const std::vector<std::vector<double>> &free_ms,
                     const std::vector<std::vector<double>> &starts,
                     double now_ms)
  {
    for (size_t i = 0; i < candidates->size (); i++)
      {
        plc_candidate_t &v = (*candidates)[i];
        v.busy_slots = 0;
        v.waiting = 0;
        for (double ms : free_ms[i])
          v.busy_slots += ms > now_ms;
        for (double ms : starts[i])
          v.waiting += ms > now_ms;
      }
  }
};

TEST_F (StaleLoad, FewAreLateWithStaleLoadReports)
{
  double without = late_share (false);
  double with = late_share (true);
  printf ("late without a spread %.3f, with it %.3f\n", without, with);
  EXPECT_GT (without, 0.05) << "the load shows nothing";
  EXPECT_LT (with, without / 10);
}

} // namespace
