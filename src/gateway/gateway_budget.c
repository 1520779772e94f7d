/// @file gateway_budget.c
/// Retry budgets, one per service.
#include "gateway/gateway_defs.h"

static bud_budget_t *
budget_of (gtw_gateway_t *gateway, const char *service)
{
  for (uint32_t i = 0; i < gateway->budget_count; i++)
    if (strcmp (gateway->budgets[i].service, service) == 0)
      return &gateway->budgets[i].budget;
  if (gateway->budget_count == GTW_MAX_BUDGETS)
    return &gateway->budgets[GTW_MAX_BUDGETS - 1].budget;
  enum
  {
    MS_PER_S = 1000,
  };
  const set_settings_t *s = &gateway->host.settings;
  gtw_budget_t *item = &gateway->budgets[gateway->budget_count++];
  bud_options_t options
      = { .ratio = s->retry_ratio,
          .slack = s->retry_slack,
          .window_ms = (uint32_t)(s->retry_window_s * MS_PER_S) };
  kb_slice_copy (kb_slice_str (service), item->service, sizeof item->service);
  bud_budget_init (&item->budget, &options);
  return &item->budget;
}

void
gtw_budget_record_first (gtw_gateway_t *gateway, const char *service)
{
  bud_record_request (budget_of (gateway, service), gtw_now_ms (gateway));
}

bool
gtw_budget_take_retry (gtw_gateway_t *gateway, const char *service)
{
  return bud_take_retry (budget_of (gateway, service), gateway->gateway_count,
                         gtw_now_ms (gateway));
}
