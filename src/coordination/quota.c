#include "coordination/quota.h"

enum
{
  MS_PER_S = 1000,
};

/// Fraction of the tolerance that is lent. The rest covers the moments in
/// which gateways change from one lender to another, and gateways without a
/// lender.
static const double LENDABLE_FRACTION = 0.6;

double
quo_window_allowance (const quo_tolerance_t *tolerance,
                      const quo_limit_t *limit)
{
  return limit->rate_per_s * tolerance->window_s + limit->burst;
}

double
quo_max_lent (const quo_tolerance_t *tolerance, const quo_limit_t *limit)
{
  double allowed = quo_window_allowance (tolerance, limit);
  return allowed * (1 + LENDABLE_FRACTION * tolerance->overshoot)
         + LENDABLE_FRACTION * tolerance->slack;
}

uint64_t
quo_window_ms (const quo_tolerance_t *tolerance)
{
  return (uint64_t)(tolerance->window_s * MS_PER_S);
}

uint64_t
quo_quarter_ms (const quo_tolerance_t *tolerance)
{
  return quo_window_ms (tolerance) / QUO_QUARTERS;
}

double
quo_bucket_capacity (const quo_tolerance_t *tolerance,
                     const quo_limit_t *limit)
{
  return quo_max_lent (tolerance, limit)
         - limit->rate_per_s * tolerance->window_s;
}

double
quo_history_sum (const quo_history_t *history)
{
  double sum = 0;
  for (int i = 0; i < QUO_QUARTERS; i++)
    sum += history->quarters[i];
  return sum;
}
