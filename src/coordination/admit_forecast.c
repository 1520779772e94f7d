/// @file admit_forecast.c
/// Forecasts of a sidecar: when the first event of a request is due, whether
/// it meets its objective, and whether the engine is saturated.
#include <math.h>

#include "coordination/admit_defs.h"

enum
{
  /// From the end of the prefill to the first event at the caller.
  FIRST_EVENT_DELAY_MS = 60,
  /// Saturation for longer than this leaves no capacity for late requests.
  /// Half of the shortest objective in use.
  MIN_SATURATION_MS = 400,
  /// Engines that may decline a request because their slots are busy for too
  /// long. Each extra hop takes about 4 ms.
  MAX_REDIRECTS = 3,
};

void
adm_saturation_update (adm_saturation_t *saturation, bool is_timely, bool fits,
                       uint64_t now_ms)
{
  if (!is_timely)
    saturation->since_ms = 0;
  else if (!fits && saturation->since_ms == 0)
    saturation->since_ms = now_ms > 0 ? now_ms : 1;
}

bool
adm_saturation_is_sustained (const adm_saturation_t *saturation,
                             uint64_t now_ms)
{
  return saturation->since_ms > 0
         && now_ms - saturation->since_ms > MIN_SATURATION_MS;
}

bool
adm_is_saturated (const adm_table_t *table, uint64_t now_ms)
{
  return adm_saturation_is_sustained (&table->grant_saturation, now_ms);
}

bool
adm_load_is_timely (const adm_table_t *table, const adm_adapter_t *adapter,
                    uint64_t now_ms)
{
  return now_ms + (uint64_t)table->fetch_limit.mean_fetch_ms
             + FIRST_EVENT_DELAY_MS
         <= adapter->objective_ms;
}

bool
adm_is_timely (const adm_table_t *table, const adm_request_t *request,
               uint64_t now_ms)
{
  double prefill_ms = pfl_cost_tokens (request->prompt_tokens)
                      / table->prefill.tokens_per_ms;
  return now_ms + (uint64_t)prefill_ms + FIRST_EVENT_DELAY_MS
         <= request->objective_ms;
}

// Late requests get only the capacity that timely ones leave. Served oldest
// first, a backlog above capacity makes all later requests late as well.
bool
adm_is_before (const adm_table_t *table, const adm_request_t *a,
               const adm_request_t *b, uint64_t now_ms)
{
  bool is_a_timely = adm_is_timely (table, a, now_ms);
  bool is_b_timely = adm_is_timely (table, b, now_ms);
  if (is_a_timely != is_b_timely)
    return is_a_timely;
  return a->priority <= b->priority;
}

/// Prompt cost that is processed before that of a request: requests of its own
/// class, and more urgent ones up to their share.
static double
cost_ahead (const adm_table_t *table, const adm_request_t *request,
            uint64_t now_ms)
{
  double own = pfl_outstanding_tokens (&table->prefill, now_ms);
  double urgent = 0;
  for (const adm_request_t *other = table->first; other != NULL;
       other = other->next)
    {
      if (other == request || !adm_is_before (table, other, request, now_ms))
        continue;
      double cost = pfl_cost_tokens (other->prompt_tokens);
      if (other->priority < request->priority)
        urgent += cost;
      else
        own += cost;
    }
  double max_urgent = ADM_URGENT_SHARE_RATIO
                      * (own + pfl_cost_tokens (request->prompt_tokens));
  return own + fmin (urgent, max_urgent);
}

/// Waiting requests that are granted a place before this one.
static uint32_t
count_ahead (const adm_table_t *table, const adm_request_t *request,
             uint64_t now_ms)
{
  uint32_t count = 0;
  for (const adm_request_t *other = table->first; other != NULL;
       other = other->next)
    count += other != request && adm_request_is_servable (other)
             && adm_is_before (table, other, request, now_ms);
  return count;
}

/// Milliseconds until a slot and memory are free, if places are released at
/// the present rate.
static double
capacity_wait_ms (const adm_table_t *table, const adm_request_t *request,
                  uint32_t ahead)
{
  if (table->granted == 0)
    return 0;
  double wait_ms = 0;
  if (table->granted + ahead >= table->options.slots)
    wait_ms = table->mean_hold_ms / table->granted
              * (table->granted + ahead + 1 - table->options.slots);
  double limit = ADM_MAX_KV_FRACTION * table->options.kv_tokens;
  double over
      = (double)(table->granted_kv_tokens + request->kv_tokens_needed) - limit;
  if (limit > 0 && over > 0)
    {
      double freed_per_ms
          = (double)table->granted_kv_tokens / table->mean_hold_ms;
      double memory_ms = over / freed_per_ms;
      wait_ms = fmax (wait_ms, memory_ms);
    }
  return wait_ms;
}

/// Milliseconds until there is capacity and the engine's rate limit allows one
/// more request.
static double
place_wait_ms (const adm_table_t *table, const adm_request_t *request,
               uint64_t now_ms)
{
  uint32_t ahead = count_ahead (table, request, now_ms);
  double limit_ms = (double)bkp_meter_wait_ms (&table->meter, ahead, now_ms);
  return fmax (capacity_wait_ms (table, request, ahead), limit_ms);
}

adm_forecast_t
adm_forecast (const adm_table_t *table, const adm_request_t *request,
              uint64_t now_ms)
{
  adm_forecast_t forecast = { 0 };
  if (request->adapter != NULL && !adm_request_is_servable (request))
    forecast.load_ms = adm_load_wait_ms (table, request->adapter, now_ms);
  double rate = table->prefill.tokens_per_ms;
  double pace = rate * pce_fraction (&table->prefill.pace);
  double wait_ms = cost_ahead (table, request, now_ms) / pace;
  double place_ms = place_wait_ms (table, request, now_ms);
  forecast.place_ms = (uint64_t)place_ms;
  wait_ms = fmax (wait_ms, place_ms);
  wait_ms = fmax (wait_ms, (double)forecast.load_ms);
  wait_ms += pfl_cost_tokens (request->prompt_tokens) / rate;
  forecast.first_ms = (uint64_t)wait_ms + FIRST_EVENT_DELAY_MS;
  return forecast;
}

const char *
adm_refusal_reason (const adm_table_t *table, const adm_request_t *request,
                    const adm_forecast_t *forecast, uint64_t now_ms)
{
  if (adm_request_is_outdated (request))
    return "version_replaced";
  bool can_be_timely = request->objective_ms > now_ms;
  uint64_t limit_ms
      = (can_be_timely ? request->objective_ms : request->deadline_ms);
  limit_ms = limit_ms > now_ms ? limit_ms - now_ms : 0;
  if (forecast->load_ms > limit_ms
      && forecast->load_ms > (uint64_t)table->fetch_limit.mean_fetch_ms)
    return "load_queue";
  bool is_late = can_be_timely && forecast->first_ms > limit_ms;
  if (is_late && adm_is_saturated (table, now_ms))
    return "late_under_load";
  // Its slots are busy until after the objective, but another engine may have
  // free ones. After MAX_REDIRECTS declines the request waits here.
  if (is_late && forecast->place_ms > limit_ms
      && request->decline_count < MAX_REDIRECTS)
    return "no_place_in_time";
  return NULL;
}
