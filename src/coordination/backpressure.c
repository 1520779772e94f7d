#include "coordination/backpressure.h"

const quo_tolerance_t bkp_limit_tolerance
    = { .window_s = 4, .overshoot = 0.5, .slack = 5 };

/// Minimum rate at which a target is used.
static const double MIN_PER_S = 0.1;
/// Higher limits are ignored.
static const double MAX_PER_S = 1e6;
/// Size of a burst: this many requests plus those of BURST_S.
static const double BURST = 1;
static const double BURST_S = 0.25;

static bool
is_same (const bkp_limit_t *a, const bkp_limit_t *b)
{
  return a->is_limited == b->is_limited && a->per_s == b->per_s;
}

bool
bkp_limit_merge (bkp_limit_t *limit, const bkp_limit_t *other)
{
  if (other->at_ms <= limit->at_ms)
    return false;
  bool is_change = !is_same (limit, other);
  *limit = *other;
  return is_change;
}

bool
bkp_limit_apply_answer (bkp_limit_t *limit, double per_s, uint64_t sent_ms,
                        uint64_t now_ms)
{
  bool is_limited = per_s >= 0 && per_s <= MAX_PER_S;
  bkp_limit_t stated = { .is_limited = is_limited,
                         .per_s = is_limited ? per_s : 0,
                         // An answer without a limit may be older than one
                         // that states a limit and overtook it, but it is not
                         // older than its request.
                         .at_ms = is_limited ? now_ms : sent_ms };
  return bkp_limit_merge (limit, &stated);
}

double
bkp_limit_rate_per_s (const bkp_limit_t *limit)
{
  return limit->per_s > MIN_PER_S ? limit->per_s : MIN_PER_S;
}

bool
bkp_meter_merge (bkp_meter_t *meter, const bkp_limit_t *other, uint64_t now_ms)
{
  if (!bkp_limit_merge (&meter->limit, other))
    return false;
  double per_s = other->is_limited ? bkp_limit_rate_per_s (&meter->limit) : 0;
  if (meter->starts.rate_per_s <= 0)
    lim_bucket_init (&meter->starts, per_s, BURST, now_ms);
  lim_bucket_set_rate (&meter->starts, per_s, BURST + BURST_S * per_s, now_ms);
  return true;
}

uint64_t
bkp_meter_wait_ms (const bkp_meter_t *meter, uint32_t ahead, uint64_t now_ms)
{
  return lim_bucket_wait_ms (&meter->starts, ahead + 1.0, now_ms);
}

void
bkp_meter_start (bkp_meter_t *meter, uint64_t now_ms)
{
  uint64_t wait_ms;
  lim_bucket_take (&meter->starts, now_ms, &wait_ms);
}
