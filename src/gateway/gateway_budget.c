/// @file gateway_budget.c
/// Retry budgets, one per service.
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

static bud_options_t
budget_options (const gtw_gateway_t *gateway)
{
  enum
  {
    MS_PER_S = 1000,
  };
  const set_settings_t *s = &gateway->host.settings;
  return (bud_options_t){ .ratio = s->retry_ratio,
                          .slack = s->retry_slack,
                          .window_ms
                          = (uint32_t)(s->retry_window_s * MS_PER_S) };
}

static bud_budget_t *
budget_of (gtw_gateway_t *gateway, const char *service)
{
  for (uint32_t i = 0; i < gateway->budget_count; i++)
    if (strcmp (gateway->budgets[i].service, service) == 0)
      return &gateway->budgets[i].budget;
  gateway->budgets
      = kb_realloc (gateway->budgets,
                    (gateway->budget_count + 1) * sizeof *gateway->budgets);
  gtw_budget_t *item = &gateway->budgets[gateway->budget_count++];
  bud_options_t options = budget_options (gateway);
  kb_slice_copy (kb_slice_str (service), item->service, sizeof item->service);
  bud_budget_init (&item->budget, &options, gateway->budgets_since_ms);
  return &item->budget;
}

void
gtw_budgets_apply_settings (gtw_gateway_t *gateway)
{
  bud_options_t options = budget_options (gateway);
  for (uint32_t i = 0; i < gateway->budget_count; i++)
    bud_set_options (&gateway->budgets[i].budget, &options,
                     gtw_now_ms (gateway));
}

void
gtw_budgets_apply_config (gtw_gateway_t *gateway)
{
  for (uint32_t i = 0; i < gateway->budget_count;)
    if (svc_service_find (gateway->config, gateway->budgets[i].service)
        == NULL)
      {
        gateway->budgets[i] = gateway->budgets[--gateway->budget_count];
        gateway->budgets_since_ms = gtw_now_ms (gateway);
      }
    else
      i++;
}

void
gtw_budget_record_first (gtw_gateway_t *gateway, const char *service)
{
  bud_record_request (budget_of (gateway, service), gtw_now_ms (gateway));
}

/// @return  Number of gateways that share the budgets; zero while this one has
///          heard of none, itself included. The peak counts, since a sidecar
///          that has just started knows only some of them.
static uint32_t
sharing_gateways (const gtw_gateway_t *gateway)
{
  return gateway->gateway_peak.count;
}

/// Log a retry, or its refusal, with the values behind the decision.
static void
log_retry (const gtw_request_t *r, bool is_allowed, double remaining)
{
  enum
  {
    MILLI = 1000,
  };
  const gtw_gateway_t *gateway = r->gateway;
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "retry"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "service", r->service);
  log_int (&line, "is_allowed", is_allowed);
  log_int (&line, "budget_milli", (int64_t)(remaining * MILLI));
  log_int (&line, "gateways", sharing_gateways (gateway));
  log_int (&line, "sends", r->send_count);
  log_int (&line, "uptime_ms",
           (int64_t)(tmr_boottime_ms () - gateway->started_boot_ms));
  log_end (&line);
}

bool
gtw_budget_has_retry (const gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  return bud_remaining (budget_of (gateway, r->service),
                        sharing_gateways (gateway), gtw_now_ms (gateway))
         >= 1;
}

bool
gtw_budget_take_retry (const gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  bud_budget_t *budget = budget_of (gateway, r->service);
  uint64_t now_ms = gtw_now_ms (gateway);
  uint32_t gateway_count = sharing_gateways (gateway);
  double remaining = bud_remaining (budget, gateway_count, now_ms);
  bool is_allowed = bud_take_retry (budget, gateway_count, now_ms);
  log_retry (r, is_allowed, remaining);
  if (is_allowed)
    MET_INC ("knapweedbay_retries_total", "");
  else
    MET_INC ("knapweedbay_retries_out_of_budget_total", "");
  return is_allowed;
}
