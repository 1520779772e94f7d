/// @file quota_spend.h
/// The gateway's side of a quota (quota.h), for one workspace: the credit that
/// it holds, the requests that wait for credit, when it requests more, and
/// what it may spend while it reaches no lender.
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
  QSP_ADMITTED,   ///< Credit was spent; the request may run.
  QSP_WAITING,    ///< For credit.
  QSP_OVER_QUOTA, ///< Beyond the quota.
  QSP_NO_LENDER,  ///< No lender answered.
} qsp_verdict_t;

typedef struct
{
  /// Sends a request for credit to the lender, which fills in the fields of
  /// its side.
  void (*send_request) (qsp_spender_t *spender, uint64_t id,
                        const qln_request_t *request);
  /// A waiting request has been decided. The callback may use the spender.
  void (*decided) (qsp_spender_t *spender, qsp_waiter_t *waiter,
                   qsp_verdict_t verdict);
} qsp_callbacks_t;

/// A client's request that waits for credit; the caller owns the memory.
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

/// A request for credit that may still be granted.
typedef struct
{
  uint64_t id; ///< Zero: none.
  uint64_t sent_ms;
} qsp_request_t;

typedef struct
{
  uint64_t id;          ///< Zero: none.
  uint64_t incarnation; ///< Differs after a restart.
} qsp_lender_t;

/// The ledger of the last grant.
typedef struct
{
  uint64_t received_ms;
  qln_prior_t prior;
  uint32_t len_bytes;
  char lines[QLG_MAX_BYTES];
} qsp_ledger_t;

struct qsp_spender
{
  const qsp_callbacks_t *callbacks; ///< First field.
  void *owner;
  quo_tolerance_t tolerance;
  uint64_t workspace; ///< Hash of its name.
  uint64_t revision;
  quo_limit_t limit;
  qsp_credit_t credits[QSP_MAX_CREDITS]; ///< The oldest first.
  uint32_t credit_count;
  uint64_t credit_ms; ///< Validity of the last grant.
  double unspent;     ///< Expired or returned, and not reported yet.
  qsp_waiter_t *first;
  double waiting_amount; ///< Sum over all waiting requests.
  double demand_per_s;   ///< Of all requests, including refused ones.
  uint64_t demand_ms;
  double mean_request;
  /// The lender had too little credit; no request is sent until then.
  uint64_t exhausted_until_ms;
  uint64_t available_ms;    ///< When it will have enough.
  uint64_t next_request_ms; ///< When it will have more, after a pause.
  qsp_lender_t lender;      ///< The one in use.
  uint64_t lender_since_ms;
  bool is_ledger_delivered; ///< The lender has received `ledger`.
  qsp_ledger_t ledger;
  uint64_t started_ms; ///< Start of this gateway.
  uint64_t last_id;
  qsp_request_t sent_requests[QSP_MAX_REQUESTS]; ///< The newest first.
  uint32_t gateways;                             ///< That share the quota.
  double reach;   ///< Fraction of all lenders that are reachable.
  double reserve; ///< For use without a lender.
  uint64_t reserve_ms;
};

/// Initial values of a spender.
typedef struct
{
  uint64_t workspace;
  quo_tolerance_t tolerance;
  /// Ids of credit requests are greater; must differ after a restart.
  uint64_t first_id;
  uint64_t started_ms; ///< Start of this gateway.
  qln_prior_t prior;   ///< What it knows of earlier loans.
} qsp_options_t;

void qsp_init (qsp_spender_t *spender, const qsp_callbacks_t *callbacks,
               void *owner, const qsp_options_t *options, uint64_t now_ms);
/// Applies a limit if its revision is newer.
void qsp_set_limit (qsp_spender_t *spender, const quo_limit_t *limit,
                    uint64_t revision);
/// @param reach  Fraction of all lenders that are reachable from here.
void qsp_set_reach (qsp_spender_t *spender, double reach);
/// Sets the lender, the first sidecar in the order that all gateways share, as
/// far as it can be seen from here.
/// @param lender    Id zero: none is reachable.
/// @param since_ms  Since when it has been the first.
/// @param gateways  How many gateways share the quota.
void qsp_set_lender (qsp_spender_t *spender, const qsp_lender_t *lender,
                     uint64_t since_ms, uint32_t gateways, uint64_t now_ms);
/// Spends credit for a request.
/// @return  QSP_WAITING: the waiter is in use until `decided` is called.
qsp_verdict_t qsp_admit (qsp_spender_t *spender, qsp_waiter_t *waiter,
                         double amount, uint64_t now_ms);
/// Removes a waiting request; does nothing when it is not waiting.
void qsp_cancel (qsp_spender_t *spender, qsp_waiter_t *waiter);
/// Returns the credit of an admitted request that did not run.
/// @param admitted_ms  When it was admitted.
void qsp_return_credit (qsp_spender_t *spender, double amount,
                        uint64_t admitted_ms);
/// Applies a grant; one without a pending request is ignored.
/// @param ledger  The ledger that came with the grant.
void qsp_apply_grant (qsp_spender_t *spender, uint64_t id,
                      const qln_grant_t *grant, kb_slice_t ledger,
                      uint64_t now_ms);
/// Repeats requests that were not answered, and gives up client requests that
/// have waited too long.
void qsp_tick (qsp_spender_t *spender, uint64_t now_ms);
/// @return  Time in ms until a request that is over the quota may succeed.
uint64_t qsp_wait_ms (const qsp_spender_t *spender, uint64_t now_ms);
/// @return  Credit that can be spent now.
double qsp_credit_left (const qsp_spender_t *spender, uint64_t now_ms);
/// @return  Whether the spender can be freed: nothing waits, and there was no
///          demand for a minute.
bool qsp_is_idle (const qsp_spender_t *spender, uint64_t now_ms);

#endif
