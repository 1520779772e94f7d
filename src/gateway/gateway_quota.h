/// @file gateway_quota.h
/// Quotas at a gateway (coordination/quota_spend.h), of workspaces and of
/// plain targets that state a limit: the sidecar that lends the credit, and
/// the requests that wait for credit.
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

/// What a quota limits: a workspace or a plain target.
typedef struct
{
  uint64_t key; ///< Equal at all gateways.
  const char *name;
  bool is_target; ///< Otherwise a workspace.
  quo_limit_t limit;
  /// Of the limit; for a target, the time at which it was known to hold.
  uint64_t revision;
} gtw_quota_subject_t;

/// One quota. Sidecars are identified by the keys of their links.
typedef struct
{
  qsp_spender_t spender; ///< First member.
  gtw_gateway_t *gateway;
  char name[GTW_QUOTA_NAME_BYTES];
  bool is_target_limit;
  uint32_t charge_count;   ///< Charges that refer to it.
  uint64_t standby_lender; ///< Lends if the lender fails; zero: none.
} gtw_quota_t;

/// What a request charges to a quota.
typedef struct gtw_charge gtw_charge_t;
struct gtw_charge
{
  gtw_quota_t *quota; ///< NULL: no quota applies.
  gtw_request_t *request;
  double amount;
  qsp_waiter_t waiter;
  qsp_verdict_t verdict; ///< QSP_WAITING: not requested, or pending.
  bool is_requested;
  bool is_decided; ///< Queued in gtw_gateway_t.decided.
  uint64_t charged_ms;
  gtw_charge_t *next_decided;
};

/// Prepare the charge of a request to the quota of its workspace, if limited.
void gtw_quota_prepare_workspace_charge (gtw_request_t *r,
                                         const wsp_workspace_t *workspace);
/// Prepare a charge of a request to a quota, which is created if needed.
/// @param charge  One of the request's; refers to no quota yet.
/// @param amount  In the unit of the limit: requests or tokens.
void gtw_quota_prepare_charge (gtw_request_t *r, gtw_charge_t *charge,
                               const gtw_quota_subject_t *subject,
                               double amount);
/// Request the credit of a charge; later calls return the outcome so far.
/// @return  QSP_ADMITTED also if no quota applies.
qsp_verdict_t gtw_quota_try_charge (gtw_charge_t *charge);
/// @return  Whether a pending charge can be granted: a lender is in contact.
bool gtw_quota_has_lender (const gtw_charge_t *charge);
/// @return  Time in ms until a request over its quota may come back.
uint64_t gtw_quota_wait_ms (const gtw_charge_t *charge);
/// @return  The same by the key of a quota; zero if no request has used it.
uint64_t gtw_quota_subject_wait_ms (const gtw_gateway_t *gateway,
                                    uint64_t subject);
/// End a charge. Its credit is returned if the request has not run.
void gtw_quota_release_charge (gtw_charge_t *charge, bool has_not_run);
/// @return  The next request whose charge was decided, or NULL.
gtw_request_t *gtw_quota_pop_decided (gtw_gateway_t *gateway);
void gtw_quota_receive_grant (gtw_gateway_t *gateway,
                              const msg_quota_grant_t *grant_msg);
/// Update the lenders, repeat credit requests, end those that wait too long.
void gtw_quotas_tick (gtw_gateway_t *gateway);
/// Append the keys of the quotas in use that another sidecar lends here, as
/// far as a sidecar needs them: those for which it is the standby, and all if
/// it is not in contact with this gateway.
/// @param link  Key of the link to that sidecar.
void gtw_quotas_pack_served_elsewhere (const gtw_gateway_t *gateway,
                                       uint64_t link, kb_buf_t *out);

#endif
