#include "coordination/quota_lend.h"

#include <math.h>
#include <stdlib.h>

#include "state/buf.h"

enum
{
  /// An account that nobody asked for in this time may have been out of
  /// office: gateways that use it ask more often.
  OFFICE_MS = 250,
  /// A lender that has just come into office may share it with the one before:
  /// by then all have learnt who it is.
  SETTLED_MS = 1300,
  ASKERS_SPAN_MS = 1250,
  WAIT_MOST_MS = 60000,
  /// By then a gateway has heard of a restart.
  REFUSED_WAIT_MS = 400,
  /// Others may give credit back, or the rate brings some.
  PAUSE_MS = 50,
};

void
qln_init (qln_lender_t *lender, const quo_tolerance_t *tolerance,
          uint64_t life, uint64_t now_ms)
{
  *lender = (qln_lender_t){ .tolerance = *tolerance,
                            .life = life,
                            .born_ms = now_ms };
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
qln_ask_is_sound (const qln_ask_t *ask)
{
  return ask->workspace != 0 && is_amount (ask->limit.rate_per_s)
         && ask->limit.rate_per_s > 0 && is_amount (ask->limit.burst)
         && is_amount (ask->reach) && ask->reach <= 1 && is_amount (ask->least)
         && is_amount (ask->want) && ask->want >= ask->least
         && is_amount (ask->unspent) && ask->asker < QOF_GATEWAYS_MOST
         && ask->past <= QLN_PAST_LOST && qlg_is_sound (ask->ledger);
}

/// Make room for another account.
/// @return  False: all may hold what counts.
static bool
forget_oldest (qln_lender_t *lender, uint64_t now_ms)
{
  qln_account_t *oldest = NULL;
  uint32_t at = 0;
  for (qln_account_t *a = kb_map_next (&lender->accounts, &at); a != NULL;
       a = kb_map_next (&lender->accounts, &at))
    if (oldest == NULL || a->asked_ms < oldest->asked_ms)
      oldest = a;
  uint64_t counts_ms = quo_window_ms (&lender->tolerance) + QUO_CREDIT_LONG_MS;
  if (oldest == NULL || now_ms - oldest->asked_ms < counts_ms)
    return false;
  kb_map_remove (&lender->accounts, oldest->workspace);
  free (oldest);
  return true;
}

/// Since when the asker and this process make it the lender.
static uint64_t
in_office_since (const qln_lender_t *lender, const qln_ask_t *ask,
                 uint64_t now_ms)
{
  uint64_t since_ms = now_ms > ask->since_ms ? now_ms - ask->since_ms : 0;
  return since_ms > lender->born_ms ? since_ms : lender->born_ms;
}

static qln_account_t *
account_open (qln_lender_t *lender, const qln_ask_t *ask, uint64_t now_ms)
{
  if (lender->accounts.len >= QLN_ACCOUNTS_MOST
      && !forget_oldest (lender, now_ms))
    return NULL;
  qln_account_t *account = kb_alloc (sizeof *account);
  *account
      = (qln_account_t){ .workspace = ask->workspace,
                         .revision = ask->revision,
                         .limit = ask->limit,
                         .opened_ms = now_ms,
                         .asked_ms = now_ms,
                         .office_ms = in_office_since (lender, ask, now_ms),
                         .span_ms = now_ms };
  qlg_init (&account->ledger, lender->life, quo_window_ms (&lender->tolerance),
            now_ms);
  kb_map_put (&lender->accounts, ask->workspace, account);
  return account;
}

static void
note_asker (qln_account_t *account, uint32_t asker, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - account->span_ms;
  if (passed_ms >= ASKERS_SPAN_MS)
    {
      account->askers[1] = passed_ms < 2 * ASKERS_SPAN_MS ? account->askers[0]
                                                          : (qof_set_t){ 0 };
      account->askers[0] = (qof_set_t){ 0 };
      account->span_ms = now_ms;
    }
  qof_set_add (&account->askers[0], asker);
}

/// Those that ask here and are served by no other lender.
static uint32_t
count_askers (const qln_account_t *account, const qof_set_t *elsewhere)
{
  uint32_t count = 0;
  for (int i = 0; i < QOF_SET_WORDS; i++)
    count += (uint32_t)__builtin_popcountll (
        (account->askers[0].words[i] | account->askers[1].words[i])
        & ~elsewhere->words[i]);
  return count;
}

static bool
is_settled (const qln_account_t *account, uint64_t now_ms)
{
  return now_ms - account->office_ms >= SETTLED_MS;
}

/// Part of the quota that this lender may lend: while another one may be in
/// use, that of those who ask here.
static double
settled_part_of (const qln_account_t *account, const qln_ask_t *ask,
                 uint64_t now_ms)
{
  const qof_share_t *share = &ask->share;
  double askers = count_askers (account, &share->elsewhere) * share->each;
  if (is_settled (account, now_ms) && !share->is_contested)
    return share->whole;
  return fmin (askers, share->whole);
}

/// When all have started again, how many they are is not known either: those
/// behind a cut may use the lenders that the asker does not hear.
static double
part_of (const qln_lender_t *lender, qln_account_t *account,
         const qln_ask_t *ask, uint64_t now_ms)
{
  double part = settled_part_of (account, ask, now_ms);
  bool is_lost = qlg_unknown_sum (&account->ledger, now_ms) > 0;
  return is_lost || lender->keeps_to_reach ? fmin (part, ask->reach) : part;
}

/// A lower limit holds from now on. What was lent under the higher one counts
/// in proportion: it may run for another window.
static void
take_limit (const qln_lender_t *lender, qln_account_t *account,
            const qln_ask_t *ask, uint64_t now_ms)
{
  if (ask->revision <= account->revision)
    return;
  const quo_tolerance_t *tolerance = &lender->tolerance;
  double level = qlv_now (&account->level, account->limit.rate_per_s, now_ms);
  double part = quo_lent_most (tolerance, &ask->limit)
                / quo_lent_most (tolerance, &account->limit);
  account->revision = ask->revision;
  account->limit = ask->limit;
  account->level = (qlv_level_t){
    fmin (level, quo_beyond_rate (tolerance, &account->limit)), now_ms
  };
  if (part < 1)
    qlg_scale (&account->ledger, part);
}

static void
follow_office (const qln_lender_t *lender, qln_account_t *account,
               const qln_ask_t *ask, uint64_t now_ms)
{
  uint64_t since_ms = in_office_since (lender, ask, now_ms);
  bool was_idle = now_ms - account->asked_ms > OFFICE_MS;
  bool may_have_changed = was_idle && since_ms > account->asked_ms;
  if (may_have_changed || since_ms < account->office_ms)
    account->office_ms = since_ms;
  account->asked_ms = now_ms;
}

/// Whether all that counts was lent here.
static bool
is_sole_lender (const qln_lender_t *lender, const qln_account_t *account,
                const qln_ask_t *ask, uint64_t now_ms)
{
  uint64_t window_ms = quo_window_ms (&lender->tolerance);
  return now_ms - account->opened_ms >= window_ms
         && now_ms - lender->born_ms >= window_ms
         && ask->share.sole_ms >= window_ms;
}

/// A gateway that has just started may be the last that knew.
static void
note_lost_past (const qln_lender_t *lender, qln_account_t *account,
                const qln_ask_t *ask, uint64_t now_ms)
{
  if (account->told_ms + ask->uptime_ms >= now_ms)
    return;
  qlg_assume (&account->ledger, account->limit.rate_per_s,
              quo_beyond_rate (&lender->tolerance, &account->limit),
              ask->uptime_ms, now_ms);
}

/// @return  Up to when all that counts is known: by the ledger of a gateway,
///          or because it was lent here.
static uint64_t
told_by (const qln_lender_t *lender, const qln_account_t *account,
         const qln_ask_t *ask, uint64_t now_ms)
{
  if (is_sole_lender (lender, account, ask, now_ms))
    return now_ms;
  bool is_told = ask->past == QLN_PAST_TOLD && ask->ledger_age_ms <= now_ms
                 && !qlg_has_unknown (ask->ledger);
  return is_told ? now_ms - ask->ledger_age_ms : 0;
}

/// Take what the gateway knows of what was lent before.
static void
take_past (const qln_lender_t *lender, qln_account_t *account,
           const qln_ask_t *ask, uint64_t now_ms)
{
  qlg_take_back (&account->ledger, ask->unspent, now_ms);
  qlv_add (&account->level, -ask->unspent, account->limit.rate_per_s, now_ms);
  uint64_t told_ms = told_by (lender, account, ask, now_ms);
  if (told_ms > account->told_ms)
    account->told_ms = told_ms;
  qlg_merge (&account->ledger, ask->ledger, ask->ledger_age_ms,
             account->told_ms, now_ms);
  qlg_forget_unknown (&account->ledger, told_ms);
  bool is_young = ask->uptime_ms < quo_window_ms (&lender->tolerance);
  if (ask->past == QLN_PAST_INTRODUCED && !is_young)
    account->told_ms = now_ms;
  if (ask->past == QLN_PAST_LOST && is_young)
    note_lost_past (lender, account, ask, now_ms);
}

static bool
is_little (double used, double most)
{
  return used < most * QUO_LITTLE_PERCENT / QUO_PERCENT;
}

/// What may be lent beyond the rate now. A request larger than all of that
/// runs once nothing else is lent beyond the rate.
static double
level_left (const qln_lender_t *lender, const qln_account_t *account,
            double part, double least, uint64_t now_ms)
{
  const quo_limit_t *limit = &account->limit;
  double most = quo_beyond_rate (&lender->tolerance, limit);
  double level = qlv_now (&account->level, limit->rate_per_s, now_ms);
  if (level <= 0 && part > 0 && least > part * most)
    return least;
  return most > level ? part * (most - level) : 0;
}

/// @return  How long until the level leaves room for a request.
static uint64_t
level_wait_ms (const qln_lender_t *lender, const qln_account_t *account,
               double part, double least, uint64_t now_ms)
{
  const quo_limit_t *limit = &account->limit;
  double most = quo_beyond_rate (&lender->tolerance, limit);
  double whole = least / part;
  return qlv_time_to (&account->level, most > whole ? most - whole : 0,
                      limit->rate_per_s, now_ms);
}

/// @return  How long until a request fits.
static uint64_t
wait_for (qln_account_t *account, double most, double least, uint64_t now_ms)
{
  if (least > most)
    return WAIT_MOST_MS;
  uint64_t wait_ms = qlg_time_to (&account->ledger, most - least, now_ms);
  return wait_ms > 0 ? wait_ms : 1;
}

static qln_account_t *
account_for (qln_lender_t *lender, const qln_ask_t *ask, uint64_t now_ms)
{
  if (!qln_ask_is_sound (ask) || ask->life != lender->life)
    return NULL;
  qln_account_t *account = kb_map_get (&lender->accounts, ask->workspace);
  return account != NULL ? account : account_open (lender, ask, now_ms);
}

/// What an account may lend at a moment.
typedef struct
{
  double most; ///< In a window.
  double used;
  double left;
  uint64_t wait_ms; ///< Until the least that is asked for is left.
} funds_t;

/// Of what nobody can tell of, each lender counts its part.
static funds_t
count_funds (const qln_lender_t *lender, qln_account_t *account, double part,
             double least, uint64_t now_ms)
{
  funds_t funds
      = { .most = part * quo_lent_most (&lender->tolerance, &account->limit),
          .used = qlg_sum (&account->ledger, now_ms)
                  - (1 - part) * qlg_unknown_sum (&account->ledger, now_ms) };
  funds.left = fmin (fmax (funds.most - funds.used, 0),
                     level_left (lender, account, part, least, now_ms));
  uint64_t window_ms = wait_for (account, funds.most, least, now_ms);
  uint64_t level_ms = level_wait_ms (lender, account, part, least, now_ms);
  funds.wait_ms = window_ms > level_ms ? window_ms : level_ms;
  return funds;
}

/// When to ask again, if less than wanted was granted. Only when a request was
/// left without, and all is known, the quota is used up.
static void
tell_wait (const qln_account_t *account, const funds_t *funds,
           const qln_ask_t *ask, uint64_t now_ms, qln_grant_t *grant)
{
  if (grant->granted >= ask->want)
    return;
  grant->is_pause
      = grant->granted >= ask->least || !is_settled (account, now_ms);
  grant->wait_ms = grant->is_pause ? PAUSE_MS : funds->wait_ms;
}

/// What was lent beyond the rate before this account was opened.
static void
begin_level (const qln_lender_t *lender, qln_account_t *account,
             uint64_t now_ms)
{
  double most = quo_beyond_rate (&lender->tolerance, &account->limit);
  double sum = qlg_sum (&account->ledger, now_ms);
  account->level
      = (qlv_level_t){ .level = sum < most ? sum : most,
                       .at_ms = qlg_unknown_until (&account->ledger, now_ms) };
}

qln_grant_t
qln_lend (qln_lender_t *lender, const qln_ask_t *ask, kb_buf_t *ledger,
          uint64_t now_ms)
{
  qln_account_t *account = account_for (lender, ask, now_ms);
  if (account == NULL)
    return (qln_grant_t){ .wait_ms = REFUSED_WAIT_MS,
                          .is_pause = true,
                          .is_refused = true };
  bool is_new = account->level.at_ms == 0;
  take_limit (lender, account, ask, now_ms);
  note_asker (account, ask->asker, now_ms);
  follow_office (lender, account, ask, now_ms);
  take_past (lender, account, ask, now_ms);
  if (is_new)
    begin_level (lender, account, now_ms);
  double part = part_of (lender, account, ask, now_ms);
  funds_t funds = count_funds (lender, account, part, ask->least, now_ms);
  double left = funds.left;
  qln_grant_t grant = {
    .granted = ask->least <= left ? (ask->want < left ? ask->want : left) : 0,
    .lasts_ms = is_little (funds.used, funds.most) ? QUO_CREDIT_LONG_MS
                                                   : QUO_CREDIT_SHORT_MS,
  };
  tell_wait (account, &funds, ask, now_ms, &grant);
  qlg_lend (&account->ledger, grant.granted, now_ms + grant.lasts_ms, now_ms);
  if (part > 0)
    qlv_add (&account->level, grant.granted / part, account->limit.rate_per_s,
             now_ms);
  qlg_pack (&account->ledger, now_ms, ledger);
  return grant;
}
