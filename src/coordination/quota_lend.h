/// @file quota_lend.h
/// The lender's side of a quota (quota.h): for each workspace an account of
/// what was lent in the window.
#ifndef KB_COORDINATION_QUOTA_LEND_H
#define KB_COORDINATION_QUOTA_LEND_H

#include "coordination/quota_gateways.h"
#include "coordination/quota_ledger.h"
#include "coordination/quota_level.h"
#include "state/map.h"

enum
{
  QLN_MAX_ACCOUNTS = 1024,
};

/// What a gateway knows of loans made before its lender took the role. The
/// values are sent in messages.
typedef enum
{
  QLN_PRIOR_DELIVERED, ///< The lender has already received it.
  QLN_PRIOR_NONE,      ///< Nothing, though the gateway has run for a while.
  QLN_PRIOR_LEDGER,    ///< The ledger that came with an earlier grant.
  QLN_PRIOR_LOST,      ///< Nothing, since the gateway has just started.
} qln_prior_t;

typedef struct
{
  uint64_t workspace;
  uint64_t revision; ///< Of the configuration that set the limit.
  quo_limit_t limit;
  qlg_ledger_t ledger;
  uint64_t known_until_ms; ///< All loans up to this time are known.
  uint64_t opened_ms;
  uint64_t last_request_ms;
  /// Since when gateways use this lender for the workspace.
  uint64_t lender_role_since_ms;
  qgw_set_t requesters[2]; ///< In this span, and in the previous one.
  uint64_t span_start_ms;
  /// Lent beyond the rate by all lenders, assuming that the others lend in the
  /// same proportion as this one.
  qlv_level_t level;
} qln_account_t;

typedef struct
{
  quo_tolerance_t tolerance;
  kb_map_t accounts;    ///< By workspace.
  uint64_t incarnation; ///< Unique among lenders and their restarts.
  uint64_t started_ms;  ///< Loans from before this time are unknown.
  /// Never lend more than the fraction of all lenders that the requesting
  /// gateway reaches. When this is not set, the cap applies only while assumed
  /// loans count: for one window after a restart of all daemons. The window
  /// must then be longer than any partition that hides half of the lenders.
  bool is_capped_by_reach;
} qln_lender_t;

/// A gateway's request for credit.
typedef struct
{
  uint64_t workspace; ///< Hash of its name; not zero.
  uint64_t revision;
  quo_limit_t limit;
  double min_amount; ///< For the first waiting request; zero: none waits.
  /// For all waiting requests and some expected ones; at least `min_amount`.
  double wanted_amount;
  double unspent; ///< Credit of this lender that expired or was returned.
  uint64_t lender_incarnation; ///< As known to the gateway.
  /// Time for which the gateway has considered this lender the first one.
  uint64_t lender_age_ms;
  qln_prior_t prior;
  kb_slice_t ledger;
  uint64_t ledger_age_ms;
  uint64_t uptime_ms;      ///< Of the gateway.
  double reach;            ///< Fraction of all lenders that it can reach.
  uint32_t gateway_number; ///< Filled in by the lender.
  qgw_share_t share;       ///< Filled in by the lender.
} qln_request_t;

typedef struct
{
  double granted;
  uint64_t lasts_ms; ///< Validity of the credit, from when it was requested.
  /// Time until `min_amount` is available, if it was not granted; otherwise
  /// until any credit is, if less than wanted was granted; otherwise zero.
  uint64_t wait_ms;
  /// More credit will be available soon; until then no request counts as
  /// beyond the quota.
  bool is_pause;
  /// The request was invalid or for another incarnation, and was ignored.
  bool is_refused;
} qln_grant_t;

void qln_init (qln_lender_t *lender, const quo_tolerance_t *tolerance,
               uint64_t incarnation, uint64_t now_ms);
void qln_finish (qln_lender_t *lender);
/// @return  Whether all fields are in range and the ledger is well formed.
bool qln_request_is_valid (const qln_request_t *request);
/// Grants credit. An invalid request is refused, and so is one for an earlier
/// incarnation of the lender, since it does not carry the earlier loans.
/// @param ledger  The present ledger is appended.
qln_grant_t qln_lend (qln_lender_t *lender, const qln_request_t *request,
                      kb_buf_t *ledger, uint64_t now_ms);

#endif
