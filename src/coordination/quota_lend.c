#include "coordination/quota_lend.h"

#include <math.h>
#include <stdlib.h>

#include "state/buf.h"

enum
{
  /// After a gap this long between requests for an account, gateways may have
  /// used another lender in between; gateways that use this one request more
  /// often.
  ROLE_GAP_MS = 250,
  /// A lender that has just taken the role may still share it with its
  /// predecessor; after this time all gateways use the new one.
  SETTLING_MS = 1300,
  REQUESTER_SPAN_MS = 1250,
  /// Wait for a request that can never be granted.
  MAX_WAIT_MS = 60000,
  /// By then a gateway has learned of a restart.
  REFUSED_WAIT_MS = 400,
  /// Meanwhile other gateways may return credit, or the rate brings some.
  RETRY_PAUSE_MS = 50,
};

void
qln_init (qln_lender_t *lender, const quo_tolerance_t *tolerance,
          uint64_t incarnation, uint64_t now_ms)
{
  *lender = (qln_lender_t){ .tolerance = *tolerance,
                            .incarnation = incarnation,
                            .started_ms = now_ms };
}

void
qln_finish (qln_lender_t *lender)
{
  uint32_t at = 0;
  for (qln_account_t *a = kb_map_next (&lender->accounts, &at); a != NULL;
       a = kb_map_next (&lender->accounts, &at))
    free (a);
  kb_map_finish (&lender->accounts);
}

static bool
is_amount (double amount)
{
  return isfinite (amount) && amount >= 0;
}

bool
qln_request_is_valid (const qln_request_t *request)
{
  return request->workspace != 0 && is_amount (request->limit.rate_per_s)
         && request->limit.rate_per_s > 0 && is_amount (request->limit.burst)
         && is_amount (request->reach) && request->reach <= 1
         && is_amount (request->min_amount)
         && is_amount (request->wanted_amount)
         && request->wanted_amount >= request->min_amount
         && is_amount (request->unspent)
         && request->gateway_number < QGW_MAX_GATEWAYS
         && request->prior <= QLN_PRIOR_LOST && qlg_is_valid (request->ledger);
}

/// Makes room for another account.
/// @return  False when all accounts may hold loans that still count.
static bool
evict_oldest (qln_lender_t *lender, uint64_t now_ms)
{
  qln_account_t *oldest = NULL;
  uint32_t at = 0;
  for (qln_account_t *a = kb_map_next (&lender->accounts, &at); a != NULL;
       a = kb_map_next (&lender->accounts, &at))
    if (oldest == NULL || a->last_request_ms < oldest->last_request_ms)
      oldest = a;
  uint64_t retention_ms
      = quo_window_ms (&lender->tolerance) + QUO_LOW_USE_CREDIT_TTL_MS;
  if (oldest == NULL || now_ms - oldest->last_request_ms < retention_ms)
    return false;
  kb_map_remove (&lender->accounts, oldest->workspace);
  free (oldest);
  return true;
}

/// @return  Since when this process has been the gateway's lender.
static uint64_t
lender_role_since (const qln_lender_t *lender, const qln_request_t *request,
                   uint64_t now_ms)
{
  uint64_t since_ms
      = now_ms > request->lender_age_ms ? now_ms - request->lender_age_ms : 0;
  return since_ms > lender->started_ms ? since_ms : lender->started_ms;
}

static qln_account_t *
account_open (qln_lender_t *lender, const qln_request_t *request,
              uint64_t now_ms)
{
  if (lender->accounts.len >= QLN_MAX_ACCOUNTS
      && !evict_oldest (lender, now_ms))
    return NULL;
  qln_account_t *account = kb_alloc (sizeof *account);
  *account = (qln_account_t){ .workspace = request->workspace,
                              .revision = request->revision,
                              .limit = request->limit,
                              .opened_ms = now_ms,
                              .last_request_ms = now_ms,
                              .lender_role_since_ms
                              = lender_role_since (lender, request, now_ms),
                              .span_start_ms = now_ms };
  qlg_init (&account->ledger, lender->incarnation,
            quo_window_ms (&lender->tolerance), now_ms);
  kb_map_put (&lender->accounts, request->workspace, account);
  return account;
}

static void
record_requester (qln_account_t *account, uint32_t gateway_number,
                  uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - account->span_start_ms;
  if (passed_ms >= REQUESTER_SPAN_MS)
    {
      account->requesters[1] = passed_ms < 2 * REQUESTER_SPAN_MS
                                   ? account->requesters[0]
                                   : (qgw_set_t){ 0 };
      account->requesters[0] = (qgw_set_t){ 0 };
      account->span_start_ms = now_ms;
    }
  qgw_set_add (&account->requesters[0], gateway_number);
}

/// @return  How many gateways request credit here and from no other lender.
static uint32_t
count_requesters (const qln_account_t *account,
                  const qgw_set_t *served_elsewhere)
{
  uint32_t count = 0;
  for (int i = 0; i < QGW_SET_WORDS; i++)
    count += (uint32_t)__builtin_popcountll (
        (account->requesters[0].words[i] | account->requesters[1].words[i])
        & ~served_elsewhere->words[i]);
  return count;
}

static bool
is_settled (const qln_account_t *account, uint64_t now_ms)
{
  return now_ms - account->lender_role_since_ms >= SETTLING_MS;
}

/// @return  Fraction of the quota that this lender may lend. While another one
///          may be in use, these are the shares of the gateways that request
///          credit here.
static double
settled_fraction (const qln_account_t *account, const qln_request_t *request,
                  uint64_t now_ms)
{
  const qgw_share_t *share = &request->share;
  double requesters = count_requesters (account, &share->served_elsewhere)
                      * share->gateway_fraction;
  if (is_settled (account, now_ms) && !share->is_contested)
    return share->total_fraction;
  return fmin (requesters, share->total_fraction);
}

/// After a restart of all daemons the number of gateways is unknown as well,
/// and gateways that are cut off may use lenders that the requesting one does
/// not reach: caps the fraction by its reach while assumed loans count.
static double
lendable_fraction (const qln_lender_t *lender, qln_account_t *account,
                   const qln_request_t *request, uint64_t now_ms)
{
  double fraction = settled_fraction (account, request, now_ms);
  bool has_unknown_loans = qlg_unknown_sum (&account->ledger, now_ms) > 0;
  return has_unknown_loans || lender->is_capped_by_reach
             ? fmin (fraction, request->reach)
             : fraction;
}

/// A lower limit applies at once. Loans under the higher limit count in
/// proportion, so that they do not use up the lower one; their use may exceed
/// it for one more window.
static void
apply_limit (const qln_lender_t *lender, qln_account_t *account,
             const qln_request_t *request, uint64_t now_ms)
{
  if (request->revision <= account->revision)
    return;
  const quo_tolerance_t *tolerance = &lender->tolerance;
  double level = qlv_now (&account->level, account->limit.rate_per_s, now_ms);
  double fraction = quo_max_lent (tolerance, &request->limit)
                    / quo_max_lent (tolerance, &account->limit);
  account->revision = request->revision;
  account->limit = request->limit;
  account->level = (qlv_level_t){
    fmin (level, quo_bucket_capacity (tolerance, &account->limit)), now_ms
  };
  if (fraction < 1)
    qlg_scale (&account->ledger, fraction);
}

static void
update_role (const qln_lender_t *lender, qln_account_t *account,
             const qln_request_t *request, uint64_t now_ms)
{
  uint64_t since_ms = lender_role_since (lender, request, now_ms);
  bool was_idle = now_ms - account->last_request_ms > ROLE_GAP_MS;
  bool may_have_changed = was_idle && since_ms > account->last_request_ms;
  if (may_have_changed || since_ms < account->lender_role_since_ms)
    account->lender_role_since_ms = since_ms;
  account->last_request_ms = now_ms;
}

/// @return  Whether all loans that count were made here.
static bool
is_sole_lender (const qln_lender_t *lender, const qln_account_t *account,
                const qln_request_t *request, uint64_t now_ms)
{
  uint64_t window_ms = quo_window_ms (&lender->tolerance);
  return now_ms - account->opened_ms >= window_ms
         && now_ms - lender->started_ms >= window_ms
         && request->share.sole_lender_ms >= window_ms;
}

/// A gateway that has just started may have been the last one to know of
/// earlier loans; assumes the most that was allowed before its start.
static void
assume_lost_loans (const qln_lender_t *lender, qln_account_t *account,
                   const qln_request_t *request, uint64_t now_ms)
{
  if (account->known_until_ms + request->uptime_ms >= now_ms)
    return;
  qlg_assume_unknown (
      &account->ledger, account->limit.rate_per_s,
      quo_bucket_capacity (&lender->tolerance, &account->limit),
      request->uptime_ms, now_ms);
}

/// @return  The time up to which all loans that count are known, from a
///          gateway's ledger or because they were made here; zero: not known.
static uint64_t
known_until (const qln_lender_t *lender, const qln_account_t *account,
             const qln_request_t *request, uint64_t now_ms)
{
  if (is_sole_lender (lender, account, request, now_ms))
    return now_ms;
  bool is_complete = request->prior == QLN_PRIOR_LEDGER
                     && request->ledger_age_ms <= now_ms
                     && !qlg_has_unknown (request->ledger);
  return is_complete ? now_ms - request->ledger_age_ms : 0;
}

/// Applies what the gateway reports: unspent credit and earlier loans.
static void
apply_prior (const qln_lender_t *lender, qln_account_t *account,
             const qln_request_t *request, uint64_t now_ms)
{
  qlg_subtract (&account->ledger, request->unspent, now_ms);
  qlv_add (&account->level, -request->unspent, account->limit.rate_per_s,
           now_ms);
  uint64_t known_until_ms = known_until (lender, account, request, now_ms);
  if (known_until_ms > account->known_until_ms)
    account->known_until_ms = known_until_ms;
  qlg_merge (&account->ledger, request->ledger, request->ledger_age_ms,
             account->known_until_ms, now_ms);
  qlg_forget_unknown (&account->ledger, known_until_ms);
  bool has_just_started
      = request->uptime_ms < quo_window_ms (&lender->tolerance);
  if (request->prior == QLN_PRIOR_DELIVERED && !has_just_started)
    account->known_until_ms = now_ms;
  if (request->prior == QLN_PRIOR_LOST && has_just_started)
    assume_lost_loans (lender, account, request, now_ms);
}

static bool
is_low_use (double used, double max)
{
  return used < max * QUO_LOW_USE_PERCENT / QUO_PERCENT;
}

/// @return  What may be lent beyond the rate now. A request larger than the
///          lendable part of the bucket runs once the bucket is empty.
static double
bucket_left (const qln_lender_t *lender, const qln_account_t *account,
             double fraction, double min_amount, uint64_t now_ms)
{
  const quo_limit_t *limit = &account->limit;
  double max = quo_bucket_capacity (&lender->tolerance, limit);
  double level = qlv_now (&account->level, limit->rate_per_s, now_ms);
  if (level <= 0 && fraction > 0 && min_amount > fraction * max)
    return min_amount;
  return max > level ? fraction * (max - level) : 0;
}

/// @return  Time in ms until the bucket has room for a request.
static uint64_t
bucket_wait_ms (const qln_lender_t *lender, const qln_account_t *account,
                double fraction, double min_amount, uint64_t now_ms)
{
  const quo_limit_t *limit = &account->limit;
  double max = quo_bucket_capacity (&lender->tolerance, limit);
  double needed = min_amount / fraction;
  return qlv_time_to_ms (&account->level, max > needed ? max - needed : 0,
                         limit->rate_per_s, now_ms);
}

/// @return  Time in ms until a request fits into the window.
static uint64_t
window_wait_ms (qln_account_t *account, double max, double min_amount,
                uint64_t now_ms)
{
  if (min_amount > max)
    return MAX_WAIT_MS;
  uint64_t wait_ms
      = qlg_time_to_ms (&account->ledger, max - min_amount, now_ms);
  return wait_ms > 0 ? wait_ms : 1;
}

static qln_account_t *
account_for (qln_lender_t *lender, const qln_request_t *request,
             uint64_t now_ms)
{
  if (!qln_request_is_valid (request)
      || request->lender_incarnation != lender->incarnation)
    return NULL;
  qln_account_t *account = kb_map_get (&lender->accounts, request->workspace);
  return account != NULL ? account : account_open (lender, request, now_ms);
}

/// What an account may lend at a given time.
typedef struct
{
  double max; ///< In a window.
  double used;
  double left;
  uint64_t wait_ms; ///< Until `min_amount` of the request is left.
} lendable_t;

/// Of assumed loans each lender counts only its fraction.
static lendable_t
compute_lendable (const qln_lender_t *lender, qln_account_t *account,
                  double fraction, double min_amount, uint64_t now_ms)
{
  lendable_t lendable
      = { .max = fraction * quo_max_lent (&lender->tolerance, &account->limit),
          .used
          = qlg_sum (&account->ledger, now_ms)
            - (1 - fraction) * qlg_unknown_sum (&account->ledger, now_ms) };
  lendable.left
      = fmin (fmax (lendable.max - lendable.used, 0),
              bucket_left (lender, account, fraction, min_amount, now_ms));
  uint64_t window_ms
      = window_wait_ms (account, lendable.max, min_amount, now_ms);
  uint64_t bucket_ms
      = bucket_wait_ms (lender, account, fraction, min_amount, now_ms);
  lendable.wait_ms = window_ms > bucket_ms ? window_ms : bucket_ms;
  return lendable;
}

/// Sets when to request again, if less than wanted was granted. The quota
/// counts as used up only when a waiting request got nothing and the lender's
/// role is settled.
static void
set_wait (const qln_account_t *account, const lendable_t *lendable,
          const qln_request_t *request, uint64_t now_ms, qln_grant_t *grant)
{
  if (grant->granted >= request->wanted_amount)
    return;
  grant->is_pause
      = grant->granted >= request->min_amount || !is_settled (account, now_ms);
  grant->wait_ms = grant->is_pause ? RETRY_PAUSE_MS : lendable->wait_ms;
}

/// Estimates what was lent beyond the rate before the account was opened.
static void
init_level (const qln_lender_t *lender, qln_account_t *account,
            uint64_t now_ms)
{
  double max = quo_bucket_capacity (&lender->tolerance, &account->limit);
  double sum = qlg_sum (&account->ledger, now_ms);
  account->level = (qlv_level_t){ .level = sum < max ? sum : max,
                                  .at_ms = qlg_unknown_until_ms (
                                      &account->ledger, now_ms) };
}

qln_grant_t
qln_lend (qln_lender_t *lender, const qln_request_t *request, kb_buf_t *ledger,
          uint64_t now_ms)
{
  qln_account_t *account = account_for (lender, request, now_ms);
  if (account == NULL)
    return (qln_grant_t){ .wait_ms = REFUSED_WAIT_MS,
                          .is_pause = true,
                          .is_refused = true };
  bool is_new = account->level.at_ms == 0;
  apply_limit (lender, account, request, now_ms);
  record_requester (account, request->gateway_number, now_ms);
  update_role (lender, account, request, now_ms);
  apply_prior (lender, account, request, now_ms);
  if (is_new)
    init_level (lender, account, now_ms);
  double fraction = lendable_fraction (lender, account, request, now_ms);
  lendable_t lendable = compute_lendable (lender, account, fraction,
                                          request->min_amount, now_ms);
  double left = lendable.left;
  qln_grant_t grant = {
    .granted
    = request->min_amount <= left
          ? (request->wanted_amount < left ? request->wanted_amount : left)
          : 0,
    .lasts_ms = is_low_use (lendable.used, lendable.max)
                    ? QUO_LOW_USE_CREDIT_TTL_MS
                    : QUO_CREDIT_TTL_MS,
  };
  set_wait (account, &lendable, request, now_ms, &grant);
  qlg_add_loan (&account->ledger, grant.granted, now_ms + grant.lasts_ms,
                now_ms);
  if (fraction > 0)
    qlv_add (&account->level, grant.granted / fraction,
             account->limit.rate_per_s, now_ms);
  qlg_pack (&account->ledger, now_ms, ledger);
  return grant;
}
