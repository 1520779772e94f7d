/// @file gateway_choose.c
/// Which target a request goes to, from what is known of each: how requests
/// fared there, what its sidecar said, and how old that is.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/turn.h"

enum
{
  MAX_CANDIDATES = 1024,
  MS_PER_S = 1000,
  /// Half-life of the share of failures: a target that recovered is used
  /// fully again after a few seconds, without any request having to probe it.
  FAILURE_HALF_MS = 2500,
};

/// Weight of the newest tick in the rate of requests: about two seconds count.
static const double RATE_WEIGHT = 0.05;

/// Weight of the newest request in the share of failures.
static const double FAILURE_WEIGHT = 0.25;

static double
failures_at (const gtw_target_t *target, uint64_t now_ms)
{
  double failures = target->failures;
  uint64_t age_ms = now_ms - target->failed_ms;
  while (age_ms >= FAILURE_HALF_MS && failures > 0.001)
    {
      failures /= 2;
      age_ms -= FAILURE_HALF_MS;
    }
  return failures;
}

void
gtw_target_note (gtw_gateway_t *gateway, gtw_target_t *target, bool is_good)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  double present = failures_at (target, now_ms);
  target->failures
      = present * (1 - FAILURE_WEIGHT) + (is_good ? 0 : FAILURE_WEIGHT);
  target->failed_ms = now_ms;
}

static bool
was_tried (const gtw_request_t *r, const gtw_target_t *target)
{
  for (uint32_t i = 0; i < r->tried_count; i++)
    if (r->tried[i] == target->key)
      return true;
  return false;
}

static bool
is_usable (const gtw_request_t *r, const gtw_target_t *target)
{
  if (!target->is_listed || gtw_target_is_leaving (target)
      || was_tried (r, target) || gtw_target_pause_ms (target) > 0
      || !gtw_alone_may_use (r, target))
    return false;
  return !r->is_engine
         || (target->is_linked && target->condition == MSG_ENGINE_READY);
}

/// A request that is late in any case is worth no turn of the weight store
/// while engines are pressed.
static bool
is_worth_it (const gtw_request_t *r, plc_holding_t holding)
{
  return !r->is_late || holding != PLC_ABSENT;
}

bool
gtw_target_may_come (const gtw_gateway_t *gateway, const gtw_request_t *r)
{
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (r->is_engine && t->is_listed && !gtw_target_is_leaving (t)
        && strcmp (t->told.service, r->service) == 0 && !was_tried (r, t)
        && !is_usable (r, t))
      return true;
  return false;
}

static plc_holding_t
holding_of (const gtw_request_t *r, const gtw_target_t *target,
            uint32_t newest)
{
  if (r->adapter_key == 0)
    return PLC_NOT_NEEDED;
  for (uint32_t i = 0; i < target->adapter_count; i++)
    {
      const msg_engine_adapter_t *a = &target->adapters[i];
      if (a->key != r->adapter_key)
        continue;
      if (a->state == MSG_ADAPTER_FETCHING)
        return PLC_COMING;
      if (a->state == MSG_ADAPTER_PENDING)
        return PLC_AWAITED;
      return a->version >= newest ? PLC_HELD : PLC_ABSENT;
    }
  return rct_was_held (&target->recent, r->adapter_key, newest) ? PLC_WARM
                                                                : PLC_ABSENT;
}

/// Time to read the prompts at an engine, with own ones since its report.
static double
backlog_of (const gtw_target_t *target)
{
  double rate = target->tokens_per_ms > 0 ? target->tokens_per_ms : 1;
  return target->backlog_ms + target->asked_tokens / rate;
}

/// Time until a target takes one more request, by the limit that it stated.
static double
start_wait_of (const gtw_gateway_t *gateway, const gtw_request_t *r,
               const gtw_target_t *target)
{
  if (!r->is_engine)
    return (double)gtw_backpressure_wait_ms (gateway, target);
  return target->start_wait_ms + target->asked_since * target->start_every_ms;
}

static void
describe (const gtw_gateway_t *gateway, const gtw_request_t *r,
          const gtw_target_t *target, uint32_t newest, plc_view_t *out)
{
  plc_holding_t holding
      = r->is_engine ? holding_of (r, target, newest) : PLC_NOT_NEEDED;
  *out = (plc_view_t){
    .key = target->place_key,
    .is_usable = is_usable (r, target) && is_worth_it (r, holding),
    .is_near
    = strcmp (target->told.domain, gateway->host.settings.failure_domain) == 0,
    .holding = holding,
    .slots
    = r->is_engine && target->slots > 0 ? target->slots : target->told.slots,
    .busy
    = r->is_engine ? target->granted + target->asked_since : target->active,
    .waiting = r->is_engine ? target->waiting : 0,
    .held_for_ms = r->is_engine ? target->held_for_ms : 0,
    .start_wait_ms = start_wait_of (gateway, r, target),
    .tokens_per_ms = r->is_engine ? target->tokens_per_ms : 0,
    .load_wait_ms = target->load_wait_ms,
    .backlog_ms = r->is_engine ? backlog_of (target) : 0,
    .failures = failures_at (target, gtw_now_ms (gateway)),
  };
}

gtw_target_t *
gtw_target_choose (gtw_gateway_t *gateway, const gtw_request_t *r)
{
  static plc_view_t views[MAX_CANDIDATES];
  static gtw_target_t *targets[MAX_CANDIDATES];
  uint32_t count = 0;
  gateway->placed += r->is_engine;
  uint32_t newest = ver_newest (&gateway->versions, r->adapter_key);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at);
       t != NULL && count < MAX_CANDIDATES;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (strcmp (t->told.service, r->service) != 0 || !t->is_listed)
        continue;
      describe (gateway, r, t, newest, &views[count]);
      targets[count++] = t;
    }
  uint64_t key = r->adapter_key != 0 ? r->adapter_key : (uint64_t)rand ();
  plc_load_t load = { .own_per_s = gateway->placed_per_s,
                      .gateways = gateway->gateway_count,
                      .targets = count,
                      .word_ms = trn_tell_pause_ms (gateway->gateway_count) };
  plc_request_t request = { .adapter = key,
                            .prompt_tokens = r->said.prompt_tokens,
                            .draw = (uint64_t)rand (),
                            .unseen = r->is_engine ? plc_unseen (&load) : 0 };
  int32_t best = plc_choose (&gateway->costs, views, count, &request);
  return best == PLC_NONE ? NULL : targets[best];
}

void
gtw_choose_tick (gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - gateway->rated_ms;
  if (passed_ms < GTW_TICK_MS)
    return;
  double per_s = (double)gateway->placed * MS_PER_S / (double)passed_ms;
  gateway->placed_per_s += RATE_WEIGHT * (per_s - gateway->placed_per_s);
  gateway->placed = 0;
  gateway->rated_ms = now_ms;
}
