/// @file gateway_quota.h
/// Quotas at a gateway (coordination/quota_spend.h), of workspaces and of
/// plain targets that state a limit: which sidecar it borrows from, and the
/// requests that wait for credit.
#ifndef KB_GATEWAY_GATEWAY_QUOTA_H
#define KB_GATEWAY_GATEWAY_QUOTA_H

#include "coordination/quota_spend.h"
#include "protocol/msg_defs.h"
#include "state/workspace.h"

enum
{
  GTW_QUOTA_NAME_BYTES = 64,
};

typedef struct gtw_gateway gtw_gateway_t;
typedef struct gtw_request gtw_request_t;

/// What a quota is of.
typedef struct
{
  uint64_t key; ///< The same at all gateways.
  const char *name;
  bool is_target; ///< Else a workspace.
  quo_limit_t limit;
  uint64_t revision; ///< Of the limit; of a target, when it was known to hold.
} gtw_quota_subject_t;

/// One quota. Sidecars are named by the keys of their links.
typedef struct
{
  qsp_purse_t spender; ///< First.
  gtw_gateway_t *gateway;
  char name[GTW_QUOTA_NAME_BYTES];
  bool is_target_limit;
  uint32_t charge_count;   ///< Requests that hold it.
  uint64_t standby_lender; ///< Would lend if the lender did not; zero: none.
} gtw_quota_t;

/// What a request takes of a quota.
typedef struct gtw_charge gtw_charge_t;
struct gtw_charge
{
  gtw_quota_t *quota; ///< NULL: it has none.
  gtw_request_t *request;
  double amount;
  qsp_waiter_t waiter;
  qsp_verdict_t verdict; ///< Once it was asked for; QSP_WAITS: not yet.
  bool is_requested;
  bool is_decided; ///< In the list of requests that wait no longer.
  uint64_t charged_ms;
  gtw_charge_t *next_decided;
};

/// Set what a request of a workspace is to take.
void gtw_quota_prepare_workspace_charge (gtw_request_t *r,
                                         const wsp_workspace_t *workspace);
/// Set what a request is to take of a quota.
/// @param charge  Of the request; without a quota.
void gtw_quota_prepare_charge (gtw_request_t *r, gtw_charge_t *charge,
                               const gtw_quota_subject_t *subject,
                               double amount);
/// Take it, or learn what became of it.
qsp_verdict_t gtw_quota_try_charge (gtw_charge_t *charge);
/// @return  Whether a charge that waits can be granted: a lender is
/// contact_count.
bool gtw_quota_has_lender (const gtw_charge_t *charge);
/// @return  How long a request that is over its quota has to wait.
uint64_t gtw_quota_wait_ms (const gtw_charge_t *charge);
/// @return  The same of a quota that no request may have used yet.
uint64_t gtw_quota_subject_wait_ms (const gtw_gateway_t *gateway,
                                    uint64_t subject);
/// The charge is over: what it took is grant_msg back if it was of no use.
void gtw_quota_release_charge (gtw_charge_t *charge, bool has_not_run);
/// @return  A request that waits for credit no longer, or NULL.
gtw_request_t *gtw_quota_pop_decided (gtw_gateway_t *gateway);
void gtw_quota_receive_grant (gtw_gateway_t *gateway,
                              const msg_quota_grant_t *grant);
/// Follow who lends, credit_request again, give up what waits too long.
void gtw_quotas_tick (gtw_gateway_t *gateway);
/// Append the subjects whose quotas another sidecar lends here, as far as one
/// is to know.
/// @param link  Key of the link to it.
void gtw_quotas_pack_lent_elsewhere (const gtw_gateway_t *gateway,
                                     uint64_t link, kb_buf_t *out);

#endif
