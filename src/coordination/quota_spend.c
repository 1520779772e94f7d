#include "coordination/quota_spend.h"

#include <stddef.h>
#include <string.h>

enum
{
  MS_PER_S = 1000,
  /// A grant takes a few milliseconds, and 200 ms more when a packet is lost.
  /// After that another request is sent; the first may still be granted.
  RESEND_MS = 200,
  /// Client requests wait this long for an answer of a lender.
  MAX_WAIT_MS = 600,
  /// Shortest time before the next request to a lender without enough credit,
  /// however little is missing: other gateways send requests as well.
  MIN_EXHAUSTED_MS = 60,
  /// Longest such time: however much is missing, others may return credit.
  MAX_EXHAUSTED_MS = 400,
  DEMAND_DECAY_MS = 1000, ///< Time constant of the demand.
  /// Credit is prefetched for at least this many client requests. With less
  /// demand it is requested as they arrive, so that little expires unspent.
  MIN_PREFETCH_REQUESTS = 3,
  IDLE_MS = 60000,
};

/// Fraction of its validity for which credit is prefetched. Credit that
/// callers do not use expires and is lost to the other gateways.
static const double PREFETCH_FRACTION = 0.7;
/// More is requested when less than this fraction of the wanted credit is
/// left.
static const double LOW_CREDIT_FRACTION = 0.35;
/// Fractions of the overshoot and the slack that all gateways together may use
/// while none has a lender.
static const double RESERVE_OVERSHOOT_FRACTION = 0.25;
static const double RESERVE_SLACK_FRACTION = 0.5;
/// Weight of the newest request in `mean_request`.
static const double MEAN_WEIGHT = 0.1;

void
qsp_init (qsp_spender_t *spender, const qsp_callbacks_t *callbacks,
          void *owner, const qsp_options_t *options, uint64_t now_ms)
{
  *spender = (qsp_spender_t){ .callbacks = callbacks,
                              .owner = owner,
                              .workspace = options->workspace,
                              .tolerance = options->tolerance,
                              .last_id = options->first_id,
                              .ledger = { .prior = options->prior },
                              .started_ms = options->started_ms,
                              .credit_ms = QUO_CREDIT_TTL_MS,
                              .demand_ms = now_ms,
                              .reserve_ms = now_ms };
}

void
qsp_set_limit (qsp_spender_t *spender, const quo_limit_t *limit,
               uint64_t revision)
{
  if (revision <= spender->revision)
    return;
  spender->revision = revision;
  spender->limit = *limit;
}

void
qsp_set_reach (qsp_spender_t *spender, double reach)
{
  spender->reach = reach;
}

/// @return  The recorded demand, decayed up to now.
static double
current_demand (const qsp_spender_t *spender, uint64_t now_ms)
{
  double passed_ms = (double)(now_ms - spender->demand_ms);
  double kept
      = passed_ms < DEMAND_DECAY_MS ? 1 - passed_ms / DEMAND_DECAY_MS : 0;
  return spender->demand_per_s * kept;
}

static void
record_demand (qsp_spender_t *spender, double amount, uint64_t now_ms)
{
  spender->demand_per_s
      = current_demand (spender, now_ms) + amount * MS_PER_S / DEMAND_DECAY_MS;
  spender->demand_ms = now_ms;
  if (spender->mean_request == 0)
    spender->mean_request = amount;
  spender->mean_request += MEAN_WEIGHT * (amount - spender->mean_request);
}

static void
drop_expired (qsp_spender_t *spender, uint64_t now_ms)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < spender->credit_count; i++)
    {
      const qsp_credit_t *credit = &spender->credits[i];
      if (credit->until_ms > now_ms)
        spender->credits[kept++] = *credit;
      else
        spender->unspent += credit->amount;
    }
  spender->credit_count = kept;
}

double
qsp_credit_left (const qsp_spender_t *spender, uint64_t now_ms)
{
  double sum = 0;
  for (uint32_t i = 0; i < spender->credit_count; i++)
    if (spender->credits[i].until_ms > now_ms)
      sum += spender->credits[i].amount;
  return sum;
}

static void
spend (qsp_spender_t *spender, double amount)
{
  for (uint32_t i = 0; i < spender->credit_count && amount > 0; i++)
    {
      qsp_credit_t *credit = &spender->credits[i];
      double part = credit->amount < amount ? credit->amount : amount;
      credit->amount -= part;
      amount -= part;
    }
}

/// Adds credit. When all entries are in use it joins the newest one, and both
/// expire at the earlier time.
static void
add_credit (qsp_spender_t *spender, double amount, uint64_t until_ms)
{
  if (spender->credit_count == QSP_MAX_CREDITS)
    {
      qsp_credit_t *last = &spender->credits[QSP_MAX_CREDITS - 1];
      last->amount += amount;
      if (until_ms < last->until_ms)
        last->until_ms = until_ms;
      return;
    }
  spender->credits[spender->credit_count++]
      = (qsp_credit_t){ amount, until_ms };
}

static bool
spend_reserve (qsp_spender_t *spender, double amount, uint64_t now_ms)
{
  double share = spender->gateways > 0 ? spender->gateways : 1;
  double rate_per_s = spender->limit.rate_per_s * spender->tolerance.overshoot
                      * RESERVE_OVERSHOOT_FRACTION / share;
  double max_reserve
      = spender->tolerance.slack * RESERVE_SLACK_FRACTION / share;
  if (max_reserve < rate_per_s)
    max_reserve = rate_per_s;
  spender->reserve
      += rate_per_s * (double)(now_ms - spender->reserve_ms) / MS_PER_S;
  if (spender->reserve > max_reserve)
    spender->reserve = max_reserve;
  spender->reserve_ms = now_ms;
  if (spender->reserve < amount)
    return false;
  spender->reserve -= amount;
  return true;
}

static qsp_verdict_t
try_spend (qsp_spender_t *spender, double amount, uint64_t now_ms)
{
  drop_expired (spender, now_ms);
  if (qsp_credit_left (spender, now_ms) >= amount)
    {
      spend (spender, amount);
      return QSP_ADMITTED;
    }
  if (spender->lender.id == 0)
    return spend_reserve (spender, amount, now_ms) ? QSP_ADMITTED
                                                   : QSP_WAITING;
  return now_ms < spender->exhausted_until_ms ? QSP_OVER_QUOTA : QSP_WAITING;
}

/// @return  Credit needed by the requests expected while credit is valid.
static double
prefetch_amount (const qsp_spender_t *spender, uint64_t now_ms)
{
  double amount = current_demand (spender, now_ms) * (double)spender->credit_ms
                  * PREFETCH_FRACTION / MS_PER_S;
  return amount < MIN_PREFETCH_REQUESTS * spender->mean_request ? 0 : amount;
}

/// Reports the loans of earlier lenders to a new one.
static void
attach_ledger (const qsp_spender_t *spender, uint64_t now_ms,
               qln_request_t *request)
{
  const qsp_ledger_t *ledger = &spender->ledger;
  request->prior = ledger->prior;
  request->ledger = (kb_slice_t){ ledger->lines, ledger->len_bytes };
  request->ledger_age_ms = now_ms - ledger->received_ms;
}

/// Requests credit: as a minimum what the first waiter lacks, and beyond that
/// the need of the other waiters and the amount to prefetch.
static void
send_request (qsp_spender_t *spender, uint64_t now_ms)
{
  double credit = qsp_credit_left (spender, now_ms);
  double min_amount
      = spender->first == NULL ? 0 : spender->first->amount - credit;
  double wanted_amount
      = spender->waiting_amount + prefetch_amount (spender, now_ms) - credit;
  if (min_amount < 0)
    min_amount = 0;
  if (wanted_amount < min_amount)
    wanted_amount = min_amount;
  for (int i = QSP_MAX_REQUESTS - 1; i > 0; i--)
    spender->sent_requests[i] = spender->sent_requests[i - 1];
  spender->sent_requests[0] = (qsp_request_t){ ++spender->last_id, now_ms };
  qln_request_t request
      = { .workspace = spender->workspace,
          .revision = spender->revision,
          .limit = spender->limit,
          .min_amount = min_amount,
          .wanted_amount = wanted_amount,
          .unspent = spender->unspent,
          .lender_incarnation = spender->lender.incarnation,
          .uptime_ms = now_ms - spender->started_ms,
          .reach = spender->reach,
          .lender_age_ms = now_ms - spender->lender_since_ms };
  spender->unspent = 0;
  if (!spender->is_ledger_delivered)
    attach_ledger (spender, now_ms, &request);
  spender->callbacks->send_request (spender, spender->sent_requests[0].id,
                                    &request);
}

static bool
is_low (const qsp_spender_t *spender, uint64_t now_ms)
{
  double wanted = prefetch_amount (spender, now_ms);
  return wanted > 0
         && qsp_credit_left (spender, now_ms) < LOW_CREDIT_FRACTION * wanted;
}

/// @return  Whether a grant for the newest request may still be on its way.
static bool
is_grant_pending (const qsp_spender_t *spender, uint64_t now_ms)
{
  return spender->sent_requests[0].id != 0
         && now_ms - spender->sent_requests[0].sent_ms < RESEND_MS;
}

static void
request_if_due (qsp_spender_t *spender, uint64_t now_ms)
{
  if (spender->lender.id == 0 || now_ms < spender->exhausted_until_ms
      || now_ms < spender->next_request_ms
      || is_grant_pending (spender, now_ms))
    return;
  if (spender->first != NULL || is_low (spender, now_ms))
    send_request (spender, now_ms);
}

static void
waiter_add (qsp_spender_t *spender, qsp_waiter_t *waiter)
{
  qsp_waiter_t **at = &spender->first;
  while (*at != NULL)
    at = &(*at)->next;
  waiter->next = NULL;
  waiter->is_waiting = true;
  spender->waiting_amount += waiter->amount;
  *at = waiter;
}

void
qsp_cancel (qsp_spender_t *spender, qsp_waiter_t *waiter)
{
  if (!waiter->is_waiting)
    return;
  qsp_waiter_t **at = &spender->first;
  while (*at != waiter)
    at = &(*at)->next;
  *at = waiter->next;
  waiter->is_waiting = false;
  spender->waiting_amount
      = spender->first == NULL ? 0 : spender->waiting_amount - waiter->amount;
}

static void
decide (qsp_spender_t *spender, qsp_verdict_t verdict)
{
  qsp_waiter_t *waiter = spender->first;
  qsp_cancel (spender, waiter);
  spender->callbacks->decided (spender, waiter, verdict);
}

static void
serve_waiters (qsp_spender_t *spender, uint64_t now_ms)
{
  while (spender->first != NULL)
    {
      qsp_verdict_t verdict
          = try_spend (spender, spender->first->amount, now_ms);
      if (verdict == QSP_WAITING)
        break;
      decide (spender, verdict);
    }
  request_if_due (spender, now_ms);
}

static bool
is_same_lender (const qsp_lender_t *a, const qsp_lender_t *b)
{
  return a->id == b->id && a->incarnation == b->incarnation;
}

/// Drops the credit of the previous lender, which counts as spent.
static void
drop_lender_credit (qsp_spender_t *spender)
{
  spender->credit_count = 0;
  spender->unspent = 0;
  for (int i = 0; i < QSP_MAX_REQUESTS; i++)
    spender->sent_requests[i].id = 0;
}

static bool
has_current_ledger (const qsp_spender_t *spender, uint64_t now_ms)
{
  return spender->ledger.prior == QLN_PRIOR_LEDGER
         && now_ms - spender->ledger.received_ms
                < quo_window_ms (&spender->tolerance);
}

void
qsp_set_lender (qsp_spender_t *spender, const qsp_lender_t *lender,
                uint64_t since_ms, uint32_t gateways, uint64_t now_ms)
{
  spender->gateways = gateways;
  if (is_same_lender (lender, &spender->lender))
    return;
  drop_lender_credit (spender);
  spender->lender = *lender;
  spender->lender_since_ms = since_ms;
  spender->exhausted_until_ms = 0;
  spender->next_request_ms = 0;
  spender->is_ledger_delivered = false;
  // A new lender needs the ledger at once, even when no credit is needed.
  if (lender->id != 0 && has_current_ledger (spender, now_ms))
    send_request (spender, now_ms);
}

qsp_verdict_t
qsp_admit (qsp_spender_t *spender, qsp_waiter_t *waiter, double amount,
           uint64_t now_ms)
{
  if (amount > quo_max_lent (&spender->tolerance, &spender->limit))
    return QSP_OVER_QUOTA; // Never lent; it would block those that follow.
  record_demand (spender, amount, now_ms);
  // In order of arrival: waiting requests come first.
  qsp_verdict_t verdict = spender->first == NULL
                              ? try_spend (spender, amount, now_ms)
                              : QSP_WAITING;
  if (verdict == QSP_WAITING)
    {
      waiter->amount = amount;
      waiter->since_ms = now_ms;
      waiter_add (spender, waiter);
    }
  request_if_due (spender, now_ms);
  return verdict;
}

void
qsp_return_credit (qsp_spender_t *spender, double amount, uint64_t admitted_ms)
{
  // The present lender knows nothing of credit from an earlier one.
  if (admitted_ms >= spender->lender_since_ms)
    spender->unspent += amount;
}

static void
set_exhausted (qsp_spender_t *spender, uint64_t wait_ms, uint64_t now_ms)
{
  spender->available_ms = now_ms + wait_ms;
  if (wait_ms < MIN_EXHAUSTED_MS)
    wait_ms = MIN_EXHAUSTED_MS;
  if (wait_ms > MAX_EXHAUSTED_MS)
    wait_ms = MAX_EXHAUSTED_MS;
  spender->exhausted_until_ms = now_ms + wait_ms;
}

static void
store_ledger (qsp_spender_t *spender, kb_slice_t lines, uint64_t now_ms)
{
  if (!qlg_is_valid (lines))
    return;
  qsp_ledger_t *ledger = &spender->ledger;
  ledger->prior = QLN_PRIOR_LEDGER;
  ledger->received_ms = now_ms;
  ledger->len_bytes = lines.len_bytes;
  memcpy (ledger->lines, lines.ptr, lines.len_bytes);
}

void
qsp_apply_grant (qsp_spender_t *spender, uint64_t id, const qln_grant_t *grant,
                 kb_slice_t ledger, uint64_t now_ms)
{
  int at = 0;
  while (at < QSP_MAX_REQUESTS && spender->sent_requests[at].id != id)
    at++;
  if (id == 0 || at == QSP_MAX_REQUESTS)
    return;
  spender->sent_requests[at].id = 0;
  if (!grant->is_refused)
    {
      spender->is_ledger_delivered = true;
      store_ledger (spender, ledger, now_ms);
    }
  spender->credit_ms = grant->lasts_ms;
  drop_expired (spender, now_ms);
  uint64_t until_ms = spender->sent_requests[at].sent_ms + grant->lasts_ms;
  if (until_ms <= now_ms)
    spender->unspent += grant->granted;
  else if (grant->granted > 0)
    add_credit (spender, grant->granted, until_ms);
  if (grant->is_pause)
    spender->next_request_ms = now_ms + grant->wait_ms;
  else if (grant->wait_ms > 0)
    set_exhausted (spender, grant->wait_ms, now_ms);
  serve_waiters (spender, now_ms);
}

void
qsp_tick (qsp_spender_t *spender, uint64_t now_ms)
{
  while (spender->first != NULL
         && now_ms - spender->first->since_ms >= MAX_WAIT_MS)
    decide (spender, QSP_NO_LENDER);
  serve_waiters (spender, now_ms);
}

uint64_t
qsp_wait_ms (const qsp_spender_t *spender, uint64_t now_ms)
{
  return spender->available_ms > now_ms ? spender->available_ms - now_ms : 0;
}

bool
qsp_is_idle (const qsp_spender_t *spender, uint64_t now_ms)
{
  return spender->first == NULL && now_ms - spender->demand_ms > IDLE_MS;
}
