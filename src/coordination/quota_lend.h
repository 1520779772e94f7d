/// @file quota_lend.h
/// The lender's side of a quota (quota.h): an account for each workspace, of
/// what was lent in the window.
#ifndef KB_COORDINATION_QUOTA_LEND_H
#define KB_COORDINATION_QUOTA_LEND_H

#include "coordination/quota_office.h"
#include "coordination/quota_ledger.h"
#include "coordination/quota_level.h"
#include "state/map.h"

enum
{
  QLN_ACCOUNTS_MOST = 1024,
};

/// What a gateway knows of what was lent before its lender came into office.
typedef enum
{
  QLN_PAST_INTRODUCED, ///< It told this lender what it knew.
  QLN_PAST_NONE,       ///< Nothing, but it has not just started.
  QLN_PAST_TOLD,       ///< The ledger that came with a grant.
  QLN_PAST_LOST,       ///< Nothing: it has just started.
} qln_past_t;

typedef struct
{
  uint64_t workspace;
  uint64_t revision; ///< Of the configuration that said the limit.
  quo_limit_t limit;
  qlg_ledger_t ledger;
  uint64_t told_ms; ///< What was lent before is known.
  uint64_t opened_ms;
  uint64_t asked_ms;
  uint64_t office_ms;  ///< Since then gateways use this lender for it.
  qof_set_t askers[2]; ///< In this span, and in the one before.
  uint64_t span_ms;    ///< When this span began.
  /// Lent beyond the rate, by all lenders if each lends as this one does.
  qlv_level_t level;
} qln_account_t;

typedef struct
{
  quo_tolerance_t tolerance;
  kb_map_t accounts; ///< By workspace.
  uint64_t life;     ///< Another one after a restart, and no other lender's.
  uint64_t born_ms;  ///< What was lent before is not known.
  /// Never lend more than the part of all lenders that the asker hears.
  /// Without it that holds for a window after all have started again, which
  /// must be longer than a cut that hides half of the lenders.
  bool keeps_to_reach;
} qln_lender_t;

typedef struct
{
  uint64_t workspace; ///< Hash of its name; not zero.
  uint64_t revision;
  quo_limit_t limit;
  double least;   ///< For the first request that waits; zero: none does.
  double want;    ///< For all that wait, and ahead; at least as much.
  double unspent; ///< Of what was lent here before, and has lapsed.
  uint64_t life;  ///< Of the lender, as the gateway knows it.
  /// For how long the gateway has taken this lender for the right one.
  uint64_t since_ms;
  qln_past_t past;
  kb_slice_t ledger;
  uint64_t ledger_age_ms;
  uint64_t uptime_ms; ///< Of the gateway.
  double reach;       ///< Part of all lenders that the gateway hears.
  uint32_t asker;     ///< Number of the gateway; filled in by the lender.
  qof_share_t share;  ///< Filled in by the lender.
} qln_ask_t;

typedef struct
{
  double granted;
  uint64_t lasts_ms; ///< From when it was asked for.
  /// Until `least` would be there, if it was not granted; else until there is
  /// anything again, if less than wanted was granted; else zero.
  uint64_t wait_ms;
  /// There will be more soon, and no request is beyond the quota before.
  bool is_pause;
  /// The lender was none for this ask, and knows nothing of it.
  bool is_refused;
} qln_grant_t;

void qln_init (qln_lender_t *lender, const quo_tolerance_t *tolerance,
               uint64_t life, uint64_t now_ms);
void qln_finish (qln_lender_t *lender);
/// @return  Whether an ask makes sense.
bool qln_ask_is_sound (const qln_ask_t *ask);
/// Nothing is granted to an ask that is not sound, nor to one that was meant
/// for the process before this one: it does not tell what was lent before.
/// @param ledger  What was lent up to now is appended.
qln_grant_t qln_lend (qln_lender_t *lender, const qln_ask_t *ask,
                      kb_buf_t *ledger, uint64_t now_ms);

#endif
