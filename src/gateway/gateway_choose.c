/// @file gateway_choose.c
/// Choice of a target for a request, from the failure rate of each target and
/// the last report of its sidecar.
#include <stdlib.h>

#include "gateway/gateway_origin.h"
#include "gateway/gateway_suspects.h"
#include "relay/turn.h"

enum
{
  MAX_CANDIDATES = 1024,
  MS_PER_S = 1000,
  /// Half-life of the failure rate: a target that recovered is fully used
  /// again after a few seconds, without a probing request.
  FAILURE_HALF_LIFE_MS = 2500,
};

/// Weight of the newest tick in the request rate: averages over about two
/// seconds.
static const double REQUEST_RATE_WEIGHT = 0.05;

/// Weight of the newest request in the failure rate.
static const double FAILURE_WEIGHT = 0.25;

static double
failure_rate_at (const gtw_target_t *target, uint64_t now_ms)
{
  double rate = target->failure_rate;
  uint64_t age_ms = now_ms - target->failure_rate_ms;
  while (age_ms >= FAILURE_HALF_LIFE_MS && rate > 0.001)
    {
      rate /= 2;
      age_ms -= FAILURE_HALF_LIFE_MS;
    }
  return rate;
}

void
gtw_target_record_result (gtw_gateway_t *gateway, gtw_target_t *target,
                          bool is_good)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  double current = failure_rate_at (target, now_ms);
  target->failure_rate
      = current * (1 - FAILURE_WEIGHT) + (is_good ? 0 : FAILURE_WEIGHT);
  target->failure_rate_ms = now_ms;
}

static bool
is_excluded (const gtw_request_t *r, const gtw_target_t *target)
{
  for (uint32_t i = 0; i < r->excluded_target_count; i++)
    if (r->excluded_targets[i] == target->key)
      return true;
  return false;
}

static bool
is_usable (const gtw_request_t *r, const gtw_target_t *target)
{
  if (!gtw_target_is_staying (target) || is_excluded (r, target)
      || gtw_target_pause_ms (target) > 0
      || (r->trial_target != 0 && r->trial_target != target->key)
      || !gtw_alone_can_use (r, target) || !gtw_origin_allows (r, target))
    return false;
  return !r->is_engine
         || (target->is_linked && target->condition == MSG_ENGINE_READY
             && !target->is_closed);
}

/// @return  Whether a request justifies the load of an adapter. One that was
///          declined after its objective is late in any case, and causes no
///          fetch from the weight store while engines are overloaded.
static bool
is_load_worthwhile (const gtw_request_t *r, plc_holding_t holding)
{
  return !r->is_declined_late || holding != PLC_ABSENT;
}

bool
gtw_target_can_become_ready (const gtw_gateway_t *gateway,
                             const gtw_request_t *r)
{
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (r->is_engine && gtw_target_is_staying (t)
        && strcmp (t->list_entry.service, r->service) == 0
        && !is_excluded (r, t) && !is_usable (r, t)
        && gtw_origin_can_become_allowed (r, t))
      return true;
  return false;
}

bool
gtw_target_has_other (const gtw_gateway_t *gateway, const gtw_request_t *r)
{
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t != r->target && strcmp (t->list_entry.service, r->service) == 0
        && is_usable (r, t))
      return true;
  return false;
}

bool
gtw_target_has_free_place (const gtw_gateway_t *gateway,
                           const gtw_request_t *r)
{
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t != r->target && strcmp (t->list_entry.service, r->service) == 0
        && is_usable (r, t) && t->waiting == 0
        && t->granted + t->requests_since_report < t->slots)
      return true;
  return false;
}

static plc_holding_t
adapter_holding (const gtw_request_t *r, const gtw_target_t *target,
                 uint32_t wanted)
{
  if (r->adapter_key == 0)
    return PLC_NOT_NEEDED;
  for (uint32_t i = 0; i < target->adapter_count; i++)
    {
      const msg_engine_adapter_t *a = &target->adapters[i];
      if (a->key != r->adapter_key)
        continue;
      if (a->state == MSG_ADAPTER_FETCHING)
        return PLC_LOADING;
      if (a->state == MSG_ADAPTER_PENDING)
        return PLC_PENDING;
      return a->version >= wanted ? PLC_HELD : PLC_ABSENT;
    }
  return rct_was_held (&target->recent_adapters, r->adapter_key, wanted)
             ? PLC_WARM
             : PLC_ABSENT;
}

/// @return  Prefill time, in milliseconds, of the prompts queued at an engine,
///          including this gateway's requests since its last report.
static double
backlog_at (const gtw_target_t *target)
{
  double rate = target->tokens_per_ms > 0 ? target->tokens_per_ms : 1;
  return target->backlog_ms + target->tokens_since_report / rate;
}

/// @return  Time, in milliseconds, until the rate limit of a target allows one
///          more request.
static double
start_wait_at (const gtw_gateway_t *gateway, const gtw_request_t *r,
               const gtw_target_t *target)
{
  if (!r->is_engine)
    return (double)gtw_backpressure_wait_ms (gateway, target);
  return target->start_wait_ms
         + target->requests_since_report * target->start_every_ms;
}

static void
describe_target (const gtw_gateway_t *gateway, const gtw_request_t *r,
                 const gtw_target_t *target, uint32_t wanted,
                 plc_candidate_t *out)
{
  plc_holding_t holding
      = r->is_engine ? adapter_holding (r, target, wanted) : PLC_NOT_NEEDED;
  *out = (plc_candidate_t){
    .key = target->address_hash,
    .is_usable = is_usable (r, target) && is_load_worthwhile (r, holding),
    .is_same_domain
    = strcmp (target->list_entry.domain, gateway->host.settings.failure_domain)
      == 0,
    .holding = holding,
    .slots = r->is_engine && target->slots > 0 ? target->slots
                                               : target->list_entry.slots,
    .busy_slots = r->is_engine
                      ? target->granted + target->requests_since_report
                      : target->active,
    .waiting = r->is_engine ? target->waiting : 0,
    .mean_hold_ms = r->is_engine ? target->mean_hold_ms : 0,
    .start_wait_ms = start_wait_at (gateway, r, target),
    .tokens_per_ms = r->is_engine ? target->tokens_per_ms : 0,
    .load_wait_ms = target->load_wait_ms,
    .backlog_ms = r->is_engine ? backlog_at (target) : 0,
    .failure_rate = failure_rate_at (target, gtw_now_ms (gateway)),
  };
}

gtw_target_t *
gtw_target_choose (gtw_gateway_t *gateway, const gtw_request_t *r)
{
  static plc_candidate_t views[MAX_CANDIDATES];
  static gtw_target_t *targets[MAX_CANDIDATES];
  uint32_t count = 0;
  gateway->engine_requests += r->is_engine;
  uint32_t wanted = gtw_resume_version (r);
  if (wanted == 0)
    wanted = ver_newest (&gateway->versions, r->adapter_key);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at);
       t != NULL && count < MAX_CANDIDATES;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (strcmp (t->list_entry.service, r->service) != 0 || !t->is_listed)
        continue;
      describe_target (gateway, r, t, wanted, &views[count]);
      targets[count++] = t;
    }
  gtw_resume_spare_one (r, targets, views, count);
  uint64_t key = r->adapter_key != 0 ? r->adapter_key : (uint64_t)rand ();
  plc_load_t load = { .own_requests_per_s = gateway->engine_requests_per_s,
                      .gateway_count = gateway->gateway_count,
                      .target_count = count,
                      .report_interval_ms
                      = trn_report_interval_ms (gateway->gateway_count) };
  plc_request_t request
      = { .adapter = key,
          .prompt_tokens = r->parsed_head.prompt_tokens,
          .random_draw = (uint64_t)rand (),
          .unreported_requests
          = r->is_engine ? plc_unreported_requests (&load) : 0 };
  int32_t best = plc_choose (&gateway->costs, views, count, &request);
  return best == PLC_NONE ? NULL : targets[best];
}

void
gtw_choose_update_rate (gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - gateway->rate_updated_ms;
  if (elapsed_ms < GTW_TICK_MS)
    return;
  double per_s
      = (double)gateway->engine_requests * MS_PER_S / (double)elapsed_ms;
  gateway->engine_requests_per_s
      += REQUEST_RATE_WEIGHT * (per_s - gateway->engine_requests_per_s);
  gateway->engine_requests = 0;
  gateway->rate_updated_ms = now_ms;
}
