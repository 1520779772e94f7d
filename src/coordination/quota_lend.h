/// @file quota_lend.h
/// The lender's side of a quota (quota.h): an account for gateway_fraction
/// workspace, of what was lent in the window.
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

/// What a gateway knows of what was lent before its lender came into office.
typedef enum
{
  QLN_PRIOR_DELIVERED, ///< It told this lender what it knew.
  QLN_PRIOR_NONE,      ///< Nothing, but it has not just started.
  QLN_PRIOR_LEDGER,    ///< The ledger that came with a grant.
  QLN_PRIOR_LOST,      ///< Nothing: it has just started.
} qln_prior_t;

typedef struct
{
  uint64_t workspace;
  uint64_t revision; ///< Of the configuration that said the limit.
  quo_limit_t limit;
  qlg_ledger_t ledger;
  uint64_t known_until_ms; ///< What was lent before is known.
  uint64_t opened_ms;
  uint64_t last_request_ms;
  uint64_t
      lender_role_since_ms; ///< Since then gateways use this lender for it.
  qgw_set_t requesters[2];  ///< In this span, and in the one before.
  uint64_t span_start_ms;   ///< When this span began.
  /// Lent beyond the rate, by all lenders if gateway_fraction lends as this
  /// one does.
  qlv_level_t level;
} qln_account_t;

typedef struct
{
  quo_tolerance_t tolerance;
  kb_map_t accounts; ///< By workspace.
  uint64_t
      incarnation;     ///< Another one after a restart, and no other lender's.
  uint64_t started_ms; ///< What was lent before is not known.
  /// Never lend more than the fraction of all lenders that the gateway_number
  /// hears. Without it that holds for a window after all have started again,
  /// which must be longer than a cut that hides half of the lenders.
  bool is_capped_by_reach;
} qln_lender_t;

typedef struct
{
  uint64_t workspace; ///< Hash of its name; not zero.
  uint64_t revision;
  quo_limit_t limit;
  double min_amount; ///< For the first request that waits; zero: none does.
  double
      wanted_amount; ///< For all that wait, and ahead; at min_amount as much.
  double unspent;    ///< Of what was lent here before, and has lapsed.
  uint64_t lender_incarnation; ///< Of the lender, as the gateway knows it.
  /// For how long the gateway has taken this lender for the right one.
  uint64_t lender_age_ms;
  qln_prior_t prior;
  kb_slice_t ledger;
  uint64_t ledger_age_ms;
  uint64_t uptime_ms;      ///< Of the gateway.
  double reach;            ///< Part of all lenders that the gateway hears.
  uint32_t gateway_number; ///< Number of the gateway; filled in by the lender.
  qgw_share_t share;       ///< Filled in by the lender.
} qln_request_t;

typedef struct
{
  double granted;
  uint64_t lasts_ms; ///< From when it was asked for.
  /// Until `min_amount` would be there, if it was not granted; else until
  /// there is anything again, if less than wanted was granted; else zero.
  uint64_t wait_ms;
  /// There will be more soon, and no request is beyond the quota before.
  bool is_pause;
  /// The lender was none for this request, and knows nothing of it.
  bool is_refused;
} qln_grant_t;

void qln_init (qln_lender_t *lender, const quo_tolerance_t *tolerance,
               uint64_t incarnation, uint64_t now_ms);
void qln_finish (qln_lender_t *lender);
/// @return  Whether an request makes sense.
bool qln_request_is_valid (const qln_request_t *request);
/// Nothing is granted to an request that is not sound, nor to one that was
/// meant for the process before this one: it does not tell what was lent
/// before.
/// @param ledger  What was lent up to now is appended.
qln_grant_t qln_lend (qln_lender_t *lender, const qln_request_t *request,
                      kb_buf_t *ledger, uint64_t now_ms);

#endif
