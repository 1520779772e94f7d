/// @file quota.h
/// Shared definitions of a quota that several gateways use together.
/// quota_lend.h is the lender's side, quota_spend.h the gateway's side. No
/// I/O; time is an argument, from a clock that also counts while the VM is
/// suspended.
///
/// In any window of time a quota allows what its rate brings in the window,
/// plus a burst. For each workspace one sidecar, the lender, lends the quota
/// as credit. A gateway requests credit for the requests that wait and for
/// some expected ones, and spends it on them. There is no election: all
/// gateways rank the sidecars that they can reach in the same order and use
/// the first one. Each grant carries a ledger of what has been lent, which the
/// gateway passes on to the next lender. When gateways reach different
/// sidecars, the second lender learns from the other gateways that the first
/// is still in use, and then lends only the shares of the gateways that
/// request credit from it.
///
/// What is lent beyond the rate is bounded at any time. After a restart of all
/// daemons, when nobody knows what was lent, the quota thus continues at its
/// rate.
#ifndef KB_COORDINATION_QUOTA_H
#define KB_COORDINATION_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  QUO_QUARTERS = 4, ///< Resolution of a window in ledgers.
  /// Validity of credit.
  QUO_CREDIT_TTL_MS = 150,
  /// Validity of credit while use of the quota is low.
  QUO_LOW_USE_CREDIT_TTL_MS = 1500,
  /// Use in a window below this part of the quota is low.
  QUO_LOW_USE_PERCENT = 50,
  QUO_PERCENT = 100,
};

/// A quota, in tokens or in requests.
typedef struct
{
  double rate_per_s;
  double burst;
} quo_limit_t;

/// How far use may exceed a quota in any window.
typedef struct
{
  double window_s;
  double overshoot; ///< As a fraction of what the quota allows in a window.
  double slack;     ///< In addition, in the unit of the quota.
} quo_tolerance_t;

/// Use in a window, the newest quarter first.
typedef struct
{
  double quarters[QUO_QUARTERS];
} quo_history_t;

/// @return  What the quota allows in a window, without the tolerance.
double quo_window_allowance (const quo_tolerance_t *tolerance,
                             const quo_limit_t *limit);
/// @return  The most that is lent in a window. It includes a part of the
///          tolerance, since some credit expires unspent.
double quo_max_lent (const quo_tolerance_t *tolerance,
                     const quo_limit_t *limit);
/// @return  The most that is lent beyond the rate at any time: the capacity of
///          the leaky bucket of quota_level.h.
double quo_bucket_capacity (const quo_tolerance_t *tolerance,
                            const quo_limit_t *limit);
uint64_t quo_window_ms (const quo_tolerance_t *tolerance);
uint64_t quo_quarter_ms (const quo_tolerance_t *tolerance);
double quo_history_sum (const quo_history_t *history);

#endif
