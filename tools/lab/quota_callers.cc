#include "quota_simulation.h"

#include <algorithm>
#include <cmath>

namespace lab
{

/// SHARED_COUNTS: report the own usage to the first sidecar, which returns the
/// usage of the others.
void
World::exchange_counts (Gateway &g)
{
  uint32_t si = ranked_sidecar (g, 0);
  schedule_on (g.process, now_ms + COUNT_EXCHANGE_MS,
               [this, &g] { exchange_counts (g); });
  if (si == UINT32_MAX)
    return;
  Sidecar &s = *sidecars[si];
  double usage = qwn_sum (&g.usage, now_ms);
  count_message (COUNT_BYTES);
  pair_messages[{ g.number, si }]++;
  send (g, s, si, true, [this, &g, &s, si, usage] {
    s.usage[g.number] = usage;
    double others_usage = 0;
    for (uint32_t i = 0; i < o.gateways; i++)
      others_usage += i == g.number ? 0 : s.usage[i];
    count_message (COUNT_BYTES);
    send (g, s, si, false,
          [&g, others_usage] { g.others_usage = others_usage; });
  });
}

bool
World::admit_without_lender (Gateway &g, double amount)
{
  double max_units = quo_max_lent (&o.tolerance, &limit);
  double usage = qwn_sum (&g.usage, now_ms);
  if (o.policy == QuotaPolicy::EQUAL_PARTS)
    max_units /= o.gateways;
  else
    usage += g.others_usage;
  if (usage + amount > max_units)
    return false;
  qwn_add (&g.usage, amount, now_ms, now_ms);
  return true;
}

/// A single account that all gateways see without delay.
double
World::admit_ideal (double amount)
{
  double level = qlv_now (&ideal, limit.rate_per_s, now_ms);
  if (level + amount > limit.burst)
    return 0;
  qlv_add (&ideal, amount, limit.rate_per_s, now_ms);
  return amount;
}

void
World::record_admitted (Gateway &g, double amount, uint64_t since)
{
  out.admitted += amount;
  out.waited_ms += (double)(now_ms - since);
  admissions.emplace_back (now_ms, amount);
}

void
World::schedule_arrival (Gateway &g)
{
  double factor = 1;
  uint64_t elapsed_ms = now_ms - start_ms;
  if (elapsed_ms >= o.surge_from_ms
      && elapsed_ms < o.surge_from_ms + o.surge_duration_ms)
    factor = o.surge_factor;
  if (factor == 1)
    factor = (elapsed_ms / ROTATION_MS + g.number) % o.rotation_size == 0
                 ? o.rotation_size
                 : 0;
  double per_s
      = o.load * factor * o.limit.rate_per_s * g.weight / o.mean_request_cost;
  uint64_t next = now_ms + 1;
  double gap_ms = INFINITY;
  if (per_s > 0)
    gap_ms = std::exponential_distribution<> (per_s / 1000) (random);
  bool is_request = gap_ms < MAX_ARRIVAL_STEP_MS;
  next = now_ms
         + (uint64_t)std::max (0.0,
                               std::min (gap_ms, (double)MAX_ARRIVAL_STEP_MS));
  if (is_request)
    schedule_on (g.process, next, [this, &g] { issue_request (g); });
  schedule (next, [this, &g] { schedule_arrival (g); });
}

void
World::issue_request (Gateway &g)
{
  double spread = std::lognormal_distribution<> (-0.18, 0.6) (random);
  double amount = std::ceil (o.mean_request_cost * std::min (spread, 4.0));
  out.requested += amount;
  out.requests++;
  out.ideal += admit_ideal (amount);
  if (o.policy != QuotaPolicy::LENDER)
    {
      if (admit_without_lender (g, amount))
        record_admitted (g, amount, now_ms);
      else
        out.refused++;
      return;
    }
  if (o.injected_bug == QuotaInjectedBug::CREDIT_NEVER_EXPIRES)
    for (uint32_t i = 0; i < g.spender.credit_count; i++)
      g.spender.credits[i].until_ms = UINT64_MAX;
  Request *r = new Request;
  r->amount = amount;
  r->arrived_ms = now_ms;
  qsp_verdict_t verdict = qsp_admit (&g.spender, &r->waiter, amount, now_ms);
  if (verdict == QSP_WAITING)
    return;
  if (verdict == QSP_ADMITTED)
    record_admitted (g, amount, now_ms);
  else
    out.refused++;
  delete r;
}

/// Compare the use of each window that ends with an admission with what the
/// limit allows. A lowered limit applies after the time that all gateways need
/// to learn it and two windows.
void
World::check_windows (QuotaOutcome *result) const
{
  enum
  {
    LIMIT_PROPAGATION_MS = 3000,
  };
  uint64_t window_ms = (uint64_t)(o.tolerance.window_s * 1000);
  double sum = 0;
  size_t from = 0;
  std::vector<std::pair<uint64_t, double>> sorted = admissions;
  std::stable_sort (sorted.begin (), sorted.end ());
  for (const auto &[when, amount] : sorted)
    {
      sum += amount;
      while (sorted[from].first + window_ms <= when)
        sum -= sorted[from++].second;
      quo_limit_t bound = limits.front ().second;
      for (const auto &[since, lowered] : limits)
        if (since + LIMIT_PROPAGATION_MS + 2 * window_ms <= when)
          bound = lowered;
      double allowed = (bound.rate_per_s * o.tolerance.window_s + bound.burst)
                           * (1 + o.tolerance.overshoot)
                       + o.tolerance.slack;
      result->max_window_ratio
          = std::max (result->max_window_ratio, sum / allowed);
      if (sum > allowed && result->violation.empty ())
        result->violation = std::to_string (when - start_ms)
                            + " ms: more than the quota allows in a window: "
                            + std::to_string ((int64_t)sum) + " of "
                            + std::to_string ((int64_t)allowed);
    }
}

} // namespace lab
