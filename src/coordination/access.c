#include "coordination/access.h"

#include <stddef.h>

enum
{
  /// Part of the bound after which keys are trusted no longer. The rest is for
  /// a store whose watches tell a change up to a second late.
  TRUST_PERCENT = 70,
  PERCENT = 100,
};

uint64_t
acc_trust_ms (uint64_t revoke_bound_ms)
{
  return revoke_bound_ms * TRUST_PERCENT / PERCENT;
}

static bool
is_stale (const acc_freshness_t *freshness)
{
  return freshness->revoke_bound_ms > 0
         && freshness->age_ms > acc_trust_ms (freshness->revoke_bound_ms);
}

static acc_verdict_t
judge_key (const wsp_table_t *table, const acc_request_t *request,
           const acc_freshness_t *freshness)
{
  if (request->key_count != 1 || request->digest == NULL)
    return (acc_verdict_t){ .outcome = ACC_NO_KEY };
  // A key that is not known may have been added meanwhile.
  if (is_stale (freshness))
    return (acc_verdict_t){ .outcome = ACC_STALE };
  const wsp_workspace_t *workspace = wsp_find (table, request->digest);
  return (acc_verdict_t){ .outcome
                          = workspace == NULL ? ACC_UNKNOWN_KEY : ACC_ADMITTED,
                          .workspace = workspace };
}

acc_verdict_t
acc_judge (const wsp_table_t *table, const acc_request_t *request,
           const acc_freshness_t *freshness)
{
  acc_verdict_t verdict = judge_key (table, request, freshness);
  // A request that needs no key is never refused for one; with a good key it
  // acts for that workspace.
  if (!table->is_key_required || request->is_route_public)
    verdict.outcome = ACC_ADMITTED;
  return verdict;
}
