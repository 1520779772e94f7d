#include "quota_play.h"

#include <algorithm>
#include <cmath>

namespace lab
{

/// Counts: tell the first sidecar what was used, and hear the sum.
void
World::beat (Gateway &g)
{
  uint32_t si = ranked (g, 0);
  on (g.process, now + BEAT_MS, [this, &g] { beat (g); });
  if (si == UINT32_MAX)
    return;
  Sidecar &s = *sidecars[si];
  double used = qwn_sum (&g.used, now);
  count_word (COUNT_BYTES);
  talked[{ g.number, si }]++;
  send (g, s, si, true, [this, &g, &s, si, used] {
    s.used[g.number] = used;
    double others = 0;
    for (uint32_t i = 0; i < o.gateways; i++)
      others += i == g.number ? 0 : s.used[i];
    count_word (COUNT_BYTES);
    send (g, s, si, false, [&g, others] { g.others = others; });
  });
}

bool
World::take_other_way (Gateway &g, double amount)
{
  double most = quo_max_lent (&o.tolerance, &limit);
  double used = qwn_sum (&g.used, now);
  if (o.way == QuotaWay::FIXED)
    most /= o.gateways;
  else
    used += g.others;
  if (used + amount > most)
    return false;
  qwn_add (&g.used, amount, now, now);
  return true;
}

/// One account for all, told at once.
double
World::ideal_take (double amount)
{
  double level = qlv_now (&ideal, limit.rate_per_s, now);
  if (level + amount > limit.burst)
    return 0;
  qlv_add (&ideal, amount, limit.rate_per_s, now);
  return amount;
}

void
World::admit (Gateway &g, double amount, uint64_t since)
{
  out.admitted += amount;
  out.waited_ms += (double)(now - since);
  runs.emplace_back (now, amount);
}

void
World::arrive (Gateway &g)
{
  double factor = 1;
  uint64_t day = now - start;
  if (day >= o.hot_from_ms && day < o.hot_from_ms + o.hot_for_ms)
    factor = o.hot;
  if (factor == 1)
    factor = (day / TURN_MS + g.number) % o.turns == 0 ? o.turns : 0;
  double per_s
      = o.load * factor * o.limit.rate_per_s * g.weight / o.mean_request;
  uint64_t next = now + 1;
  double gap_ms = INFINITY;
  if (per_s > 0)
    gap_ms = std::exponential_distribution<> (per_s / 1000) (random);
  bool is_request = gap_ms < LOOK_MS;
  next = now + (uint64_t)std::max (0.0, std::min (gap_ms, (double)LOOK_MS));
  if (is_request)
    on (g.process, next, [this, &g] { request (g); });
  at (next, [this, &g] { arrive (g); });
}

void
World::request (Gateway &g)
{
  double spread = std::lognormal_distribution<> (-0.18, 0.6) (random);
  double amount = std::ceil (o.mean_request * std::min (spread, 4.0));
  out.asked += amount;
  out.requests++;
  out.ideal += ideal_take (amount);
  if (o.way != QuotaWay::LOANS)
    {
      if (take_other_way (g, amount))
        admit (g, amount, now);
      else
        out.refused++;
      return;
    }
  if (o.planted == QuotaPlanted::CREDIT_NEVER_LAPSES)
    for (uint32_t i = 0; i < g.purse.credit_count; i++)
      g.purse.credits[i].until_ms = UINT64_MAX;
  Request *r = new Request;
  r->amount = amount;
  r->at = now;
  qsp_verdict_t verdict = qsp_admit (&g.purse, &r->waiter, amount, now);
  if (verdict == QSP_WAITING)
    return;
  if (verdict == QSP_ADMITTED)
    admit (g, amount, now);
  else
    out.refused++;
  delete r;
}

/// Use of each window that begins with a run, against what the limit of the
/// time allows. A lower limit holds a window after all have had time to learn
/// it.
void
World::check (QuotaOutcome *result) const
{
  enum
  {
    LEARN_MS = 3000,
  };
  uint64_t window_ms = (uint64_t)(o.tolerance.window_s * 1000);
  double sum = 0;
  size_t from = 0;
  std::vector<std::pair<uint64_t, double>> sorted = runs;
  std::stable_sort (sorted.begin (), sorted.end ());
  for (const auto &[when, amount] : sorted)
    {
      sum += amount;
      while (sorted[from].first + window_ms <= when)
        sum -= sorted[from++].second;
      quo_limit_t bound = limits.front ().second;
      for (const auto &[since, fallen] : limits)
        if (since + LEARN_MS + 2 * window_ms <= when)
          bound = fallen;
      double allowed = (bound.rate_per_s * o.tolerance.window_s + bound.burst)
                           * (1 + o.tolerance.overshoot)
                       + o.tolerance.slack;
      result->worst_window = std::max (result->worst_window, sum / allowed);
      if (sum > allowed && result->broken.empty ())
        result->broken = std::to_string (when - start)
                         + " ms: more than the quota allows in a window: "
                         + std::to_string ((int64_t)sum) + " of "
                         + std::to_string ((int64_t)allowed);
    }
}

} // namespace lab
