// The retry budget of a service.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C"
{
#include "coordination/budget.h"
}

namespace
{

constexpr uint32_t kWindowMs = 10000;

bud_budget_t
budget_of (double ratio, double slack, uint64_t now_ms = 0,
           uint32_t window_ms = kWindowMs)
{
  bud_options_t options = {};
  options.ratio = ratio;
  options.slack = slack;
  options.window_ms = window_ms;
  bud_budget_t budget;
  bud_budget_init (&budget, &options, now_ms);
  return budget;
}

// The loss of a target repeats every request sent to it. Unless repeats stay a
// small part, the remaining targets get twice the load and fail as well.
TEST (Budget, RepeatsStayBelowRatioAndSlack)
{
  bud_budget_t budget = budget_of (0.2, 20);
  uint32_t taken = 0;
  for (int i = 0; i < 1000; i++)
    {
      bud_record_request (&budget, (uint64_t)i);
      taken += bud_take_retry (&budget, 2, (uint64_t)i);
    }
  EXPECT_GT (taken, 50u);
  EXPECT_LE (taken, 210u);
}

TEST (Budget, OldRequestsNoLongerCount)
{
  bud_budget_t budget = budget_of (0.5, 0, 0, 1000);
  for (int i = 0; i < 10; i++)
    bud_record_request (&budget, 0);
  EXPECT_TRUE (bud_take_retry (&budget, 1, 100));
  EXPECT_FALSE (bud_take_retry (&budget, 1, 5000));
}

TEST (Budget, GatewaysShareTheSlack)
{
  bud_budget_t alone = budget_of (0, 20);
  bud_budget_t one_of_ten = alone;
  EXPECT_GT (bud_remaining (&alone, 1, kWindowMs),
             bud_remaining (&one_of_ten, 10, kWindowMs));
}

// Requests are rare: without the slack, none could be sent again.
TEST (Budget, ARareRequestMayBeRepeated)
{
  bud_budget_t budget = budget_of (0.2, 50);
  for (uint64_t at_ms = kWindowMs; at_ms < 10 * kWindowMs; at_ms += kWindowMs)
    {
      bud_record_request (&budget, at_ms);
      EXPECT_TRUE (bud_take_retry (&budget, 5, at_ms)) << at_ms;
    }
}

// Guards against slack that a gateway takes before it knows how many share it.
TEST (Budget, NoSlackWhileTheNumberOfGatewaysIsUnknown)
{
  bud_budget_t budget = budget_of (0, 50);
  EXPECT_EQ (bud_remaining (&budget, 0, 10 * kWindowMs), 0);
  EXPECT_FALSE (bud_take_retry (&budget, 0, 10 * kWindowMs));
  EXPECT_GT (bud_remaining (&budget, 5, 11 * kWindowMs), 1);
}

// Guards against settings that are read again and grant what was spent again,
// or take away what is left.
TEST (Budget, ChangedOptionsKeepWhatWasSpent)
{
  bud_budget_t budget = budget_of (0.2, 50);
  for (int i = 0; i < 100; i++)
    bud_record_request (&budget, kWindowMs);
  while (bud_take_retry (&budget, 1, kWindowMs))
    ;
  bud_options_t options = budget.options;
  bud_set_options (&budget, &options, kWindowMs);
  EXPECT_FALSE (bud_take_retry (&budget, 1, kWindowMs));
  options.ratio = 0.4;
  bud_set_options (&budget, &options, kWindowMs);
  EXPECT_TRUE (bud_take_retry (&budget, 1, kWindowMs));
  options.window_ms = kWindowMs / 2;
  bud_set_options (&budget, &options, kWindowMs);
  EXPECT_FALSE (bud_take_retry (&budget, 1, kWindowMs));
}

/// Gateways that repeat whatever their budget allows, and restart at random.
/// @return  The most repeats in any window, beyond the ratio of its requests.
double
max_slack_used (uint32_t gateways, int requests_per_s, int restarts_per_s,
                uint32_t seed)
{
  constexpr uint64_t step_ms = 10;
  constexpr uint64_t end_ms = 6 * kWindowMs;
  constexpr double ratio = 0.2;
  std::mt19937 random (seed);
  auto happens = [&random] (double per_s) {
    return (double)(random () % 100000) < per_s * step_ms * 100;
  };
  std::vector<bud_budget_t> budgets (gateways, budget_of (ratio, 50));
  std::vector<double> repeats (end_ms / step_ms);
  std::vector<double> requests (end_ms / step_ms);
  for (uint64_t at = 0; at < end_ms / step_ms; at++)
    for (bud_budget_t &budget : budgets)
      {
        uint64_t now_ms = at * step_ms;
        if (happens ((double)restarts_per_s / gateways))
          budget = budget_of (ratio, 50, now_ms);
        if (happens ((double)requests_per_s / gateways))
          {
            bud_record_request (&budget, now_ms);
            requests[at]++;
          }
        while (bud_take_retry (&budget, gateways, now_ms))
          repeats[at]++;
      }
  constexpr size_t steps = kWindowMs / step_ms;
  double most = 0;
  for (size_t from = steps; from + steps <= repeats.size (); from++)
    {
      double of_requests = 0;
      double used = 0;
      for (size_t i = from; i < from + steps; i++)
        {
          used += repeats[i];
          of_requests += ratio * requests[i];
        }
      most = std::max (most, used - of_requests);
    }
  return most;
}

// Guards against a restart that makes the slack of the window available again.
TEST (Budget, RestartsNeverExceedTheSlackOfAWindow)
{
  for (uint32_t gateways : { 1u, 5u, 200u })
    for (int requests_per_s : { 0, 40, 200 })
      for (int restarts_per_s : { 0, 2, 20 })
        for (uint32_t seed = 1; seed <= 4; seed++)
          EXPECT_LE (
              max_slack_used (gateways, requests_per_s, restarts_per_s, seed),
              50)
              << gateways << " gateways, " << requests_per_s << " requests/s, "
              << restarts_per_s << " restarts/s";
}

} // namespace
