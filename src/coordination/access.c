#include "coordination/access.h"

#include <stddef.h>

enum
{
  /// Part of the bound for which keys are accepted. The rest allows for a
  /// store whose watches report a change up to a second late.
  MAX_AGE_PERCENT = 70,
  PERCENT = 100,
};

uint64_t
acc_max_age_ms (uint64_t revoke_bound_ms)
{
  return revoke_bound_ms * MAX_AGE_PERCENT / PERCENT;
}

static bool
is_stale (const acc_freshness_t *freshness)
{
  return freshness->revoke_bound_ms > 0
         && freshness->age_ms > acc_max_age_ms (freshness->revoke_bound_ms);
}

static acc_result_t
authorize_key (const wsp_table_t *table, const acc_request_t *request,
               const acc_freshness_t *freshness)
{
  if (request->key_count != 1 || request->digest == NULL)
    return (acc_result_t){ .outcome = ACC_NO_KEY };
  // An unknown key may have been added meanwhile.
  if (is_stale (freshness))
    return (acc_result_t){ .outcome = ACC_STALE };
  const wsp_workspace_t *workspace = wsp_find (table, request->digest);
  return (acc_result_t){ .outcome
                         = workspace == NULL ? ACC_UNKNOWN_KEY : ACC_ADMITTED,
                         .workspace = workspace };
}

acc_result_t
acc_authorize (const wsp_table_t *table, const acc_request_t *request,
               const acc_freshness_t *freshness)
{
  acc_result_t result = authorize_key (table, request, freshness);
  // A request that needs no key is never refused because of one; with a valid
  // key it acts for that workspace.
  if (!table->is_key_required || request->is_route_public)
    result.outcome = ACC_ADMITTED;
  return result;
}
