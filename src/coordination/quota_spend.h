/// @file quota_spend.h
/// A gateway's side of a quota (quota.h): the credit that it holds for one
/// workspace, the requests that wait for some, when it sent_requests for more,
/// and what it may spend while it reaches no lender.
#ifndef KB_COORDINATION_QUOTA_SPEND_H
#define KB_COORDINATION_QUOTA_SPEND_H

#include "coordination/quota_lend.h"

enum
{
  QSP_MAX_CREDITS = 4,
  QSP_MAX_REQUESTS = 2,
};

typedef struct qsp_spender qsp_spender_t;
typedef struct qsp_waiter qsp_waiter_t;

typedef enum
{
  QSP_ADMITTED,
  QSP_WAITING,    ///< For credit.
  QSP_OVER_QUOTA, ///< Beyond the quota.
  QSP_NO_LENDER,  ///< No lender answers.
} qsp_verdict_t;

typedef struct
{
  /// Send an request to the lender; its part is the lender's to fill in.
  void (*send_request) (qsp_spender_t *spender, uint64_t id,
                        const qln_request_t *request);
  /// A waiter waits no longer. The spender may be used from within.
  void (*decided) (qsp_spender_t *spender, qsp_waiter_t *waiter,
                   qsp_verdict_t verdict);
} qsp_callbacks_t;

/// A request that waits for credit; part of the caller's memory.
struct qsp_waiter
{
  qsp_waiter_t *next;
  double amount;
  uint64_t since_ms;
  bool is_waiting;
};

/// Credit of one grant.
typedef struct
{
  double amount;
  uint64_t until_ms;
} qsp_credit_t;

/// An request that may still be granted.
typedef struct
{
  uint64_t id; ///< Zero: none.
  uint64_t sent_ms;
} qsp_request_t;

typedef struct
{
  uint64_t id;          ///< Zero: none.
  uint64_t incarnation; ///< Another one after a restart.
} qsp_lender_t;

/// The newest ledger that came with a grant.
typedef struct
{
  uint64_t received_ms;
  qln_prior_t prior;
  uint32_t len_bytes;
  char lines[QLG_MAX_BYTES];
} qsp_ledger_t;

struct qsp_spender
{
  const qsp_callbacks_t *callbacks; ///< First.
  void *owner;
  quo_tolerance_t tolerance;
  uint64_t workspace; ///< Hash of its name.
  uint64_t revision;
  quo_limit_t limit;
  qsp_credit_t credits[QSP_MAX_CREDITS]; ///< The oldest first.
  uint32_t credit_count;
  uint64_t credit_ms; ///< How long the last grant lasts.
  double unspent;     ///< Lapsed, or given back; not told yet.
  qsp_waiter_t *first;
  double waiting_amount; ///< What all that wait need.
  double demand_per_s;   ///< Of all requests, also of those refused.
  uint64_t demand_ms;
  double mean_request;
  uint64_t
      exhausted_until_ms;   ///< The lender had too little, and is not asked.
  uint64_t available_ms;    ///< When it would have enough.
  uint64_t next_request_ms; ///< It will have more by then.
  qsp_lender_t lender;      ///< That it sent_requests.
  uint64_t lender_since_ms;
  bool has_sent_ledger; ///< The lender knows the ledger.
  qsp_ledger_t ledger;
  uint64_t started_ms; ///< Of this gateway.
  uint64_t last_id;
  qsp_request_t sent_requests[QSP_MAX_REQUESTS]; ///< The newest first.
  uint32_t gateways;                             ///< That share the quota.
  double reach;   ///< Part of all lenders that is heard.
  double reserve; ///< Without a lender.
  uint64_t reserve_ms;
};

/// What a spender begins with.
typedef struct
{
  uint64_t workspace;
  quo_tolerance_t tolerance;
  uint64_t first_id; ///< Ids of sent_requests begin behind it; another after a
                     ///< restart.
  uint64_t started_ms; ///< Of this gateway.
  qln_prior_t prior;   ///< What it knows from before.
} qsp_options_t;

void qsp_init (qsp_spender_t *spender, const qsp_callbacks_t *callbacks,
               void *owner, const qsp_options_t *options, uint64_t now_ms);
/// Take over a limit, if its revision is newer.
void qsp_set_limit (qsp_spender_t *spender, const quo_limit_t *limit,
                    uint64_t revision);
/// Say which part of all lenders is heard here.
void qsp_set_reach (qsp_spender_t *spender, double reach);
/// Name the lender that all gateways try_spend, as far as is seen here.
/// @param lender    Id zero: none is heard.
/// @param since_ms  Since then the same would have been named.
/// @param gateways  How many share the quota.
void qsp_set_lender (qsp_spender_t *spender, const qsp_lender_t *lender,
                     uint64_t since_ms, uint32_t gateways, uint64_t now_ms);
/// A request comes.
/// @return  QSP_WAITING: the waiter is kept until `decided`.
qsp_verdict_t qsp_admit (qsp_spender_t *spender, qsp_waiter_t *waiter,
                         double amount, uint64_t now_ms);
/// A request that waits is withdrawn; harmless when it does not wait.
void qsp_cancel (qsp_spender_t *spender, qsp_waiter_t *waiter);
/// Give back what a request took that has not run.
/// @param admitted_ms  When it was taken.
void qsp_return_credit (qsp_spender_t *spender, double amount,
                        uint64_t admitted_ms);
/// Take a grant; one that was not asked for of late is ignored.
/// @param ledger  That came with it.
void qsp_apply_grant (qsp_spender_t *spender, uint64_t id,
                      const qln_grant_t *grant, kb_slice_t ledger,
                      uint64_t now_ms);
/// Ask again where no answer came, and give up requests that wait too long.
void qsp_tick (qsp_spender_t *spender, uint64_t now_ms);
/// @return  How long a request that is over has to wait.
uint64_t qsp_wait_ms (const qsp_spender_t *spender, uint64_t now_ms);
/// @return  Credit that can be spent now.
double qsp_credit_left (const qsp_spender_t *spender, uint64_t now_ms);
/// @return  Whether nothing is remembered that matters any more.
bool qsp_is_idle (const qsp_spender_t *spender, uint64_t now_ms);

#endif
