/// @file quota.h
/// The quota of a workspace over all gateways together: what one of them lends
/// (quota_lend.h), what the others spend (quota_spend.h), and what they share.
/// No I/O; time is an argument, from a clock that also counts while the VM is
/// suspended.
///
/// A quota holds over a window: in none may more run than its rate brings in
/// one, and a burst. For each workspace one sidecar lends that. A gateway asks
/// it for credit, for the requests that wait and a little ahead, and spends
/// that. Nobody is elected: all gateways rank the sidecars they hear alike,
/// and take the first. With each grant comes the ledger of what was lent, and
/// a gateway tells it to the next lender. When gateways do not hear the same
/// sidecars, the second lender learns from the others that the first is in
/// use, and then lends no more than the parts of those who ask it.
///
/// What is lent beyond the rate is bounded at any time. So when all start
/// again and nobody can tell what was lent, the quota goes on at its rate.
#ifndef KB_COORDINATION_QUOTA_H
#define KB_COORDINATION_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  QUO_QUARTERS = 4, ///< Of a window, in which ledgers tell what was lent.
  /// Credit lasts this long at most; longer while a quota is little used.
  QUO_CREDIT_TTL_MS = 150,
  QUO_LOW_USE_CREDIT_TTL_MS = 1500,
  /// Below this part of a quota it is little used, and credit lasts long.
  QUO_LOW_USE_PERCENT = 50,
  QUO_PERCENT = 100,
};

/// A quota, in its unit: tokens or requests.
typedef struct
{
  double rate_per_s;
  double burst;
} quo_limit_t;

/// How far use may exceed a quota in any window.
typedef struct
{
  double window_s;
  double overshoot; ///< Part of what the quota allows in a window.
  double slack;     ///< Beyond that, in the unit of the quota.
} quo_tolerance_t;

/// What was used in a window, the newest quarter first.
typedef struct
{
  double quarters[QUO_QUARTERS];
} quo_history_t;

/// @return  What a quota allows in a window.
double quo_window_allowance (const quo_tolerance_t *tolerance,
                             const quo_limit_t *limit);
/// @return  What is lent in a window: a part of the tolerance makes good that
///          some credit lapses unspent.
double quo_max_lent (const quo_tolerance_t *tolerance,
                     const quo_limit_t *limit);
/// @return  What of that may be lent beyond the rate at one time.
double quo_bucket_capacity (const quo_tolerance_t *tolerance,
                            const quo_limit_t *limit);
uint64_t quo_window_ms (const quo_tolerance_t *tolerance);
uint64_t quo_quarter_ms (const quo_tolerance_t *tolerance);
double quo_history_sum (const quo_history_t *history);

#endif
