/// @file sidecar_state.c
/// State sent to the gateways: condition, load and adapters of the engine.
#include "relay/turn.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MS_PER_S = 1000,
};

scr_gateway_t *
scr_gateway_find (scr_sidecar_t *s, uint64_t id)
{
  for (uint32_t i = 0; i < s->gateway_count; i++)
    if (s->gateways[i].id == id)
      return &s->gateways[i];
  return NULL;
}

void
scr_send (scr_sidecar_t *s, const scr_gateway_t *gateway, const msg_t *msg)
{
  if (hst_send (&s->host, gateway->name, msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
}

static msg_adapter_state_t
adapter_state (const adm_adapter_t *adapter)
{
  switch (adapter->state)
    {
    case ADM_HELD:
      return MSG_ADAPTER_HELD;
    case ADM_LOADING:
      return MSG_ADAPTER_FETCHING;
    case ADM_ABSENT:
      break;
    }
  return MSG_ADAPTER_PENDING;
}

static void
pack_adapters (const scr_sidecar_t *s, kb_buf_t *out)
{
  uint32_t at = 0;
  for (const adm_adapter_t *a = kb_map_next (&s->table.adapters, &at);
       a != NULL; a = kb_map_next (&s->table.adapters, &at))
    {
      if (a->state == ADM_ABSENT && a->waiting == 0)
        continue;
      msg_engine_adapter_t packed = { .key = a->key,
                                      .version = a->version,
                                      .state = adapter_state (a) };
      kb_buf_append (out, &packed, sizeof packed);
    }
}

static void
send_state_to (scr_sidecar_t *s, scr_gateway_t *gateway, msg_t *msg,
               kb_slice_t adapters)
{
  msg_engine_state_t *state = &msg->engine_state;
  bool is_list_known = gateway->list_stamp == state->list_stamp;
  state->adapters = is_list_known ? (kb_slice_t){ NULL, 0 } : adapters;
  gateway->list_stamp = state->list_stamp;
  scr_send (s, gateway, msg);
}

/// @return  Interval between starts by the engine's limit; zero: no limit.
static uint64_t
start_interval_ms (const scr_sidecar_t *s)
{
  const bkp_limit_t *limit = &s->table.meter.limit;
  return limit->is_limited
             ? (uint64_t)(MS_PER_S / bkp_limit_rate_per_s (limit))
             : 0;
}

/// Send the state to one gateway, or to all when `only` is NULL.
void
scr_send_state (scr_sidecar_t *s, scr_gateway_t *only)
{
  kb_buf_t adapters = { 0 };
  pack_adapters (s, &adapters);
  msg_t msg = {
    .type = MSG_ENGINE_STATE,
    .engine_state
    = { .incarnation = s->host.incarnation,
        .revision = s->config == NULL ? 0 : s->config->revision,
        .versions_known = s->versions.version_sum,
        .condition = s->host.is_stopping ? MSG_ENGINE_LEAVING : s->condition,
        .slots = s->table.options.slots,
        .granted = s->table.granted,
        .waiting = s->table.waiting,
        .gateway_count = s->gateway_count,
        .backlog_us = adm_backlog_us (&s->table, scr_now_ms (s)),
        .tokens_per_s = (uint64_t)(s->table.prefill.tokens_per_ms * MS_PER_S),
        .load_wait_ms
        = adm_new_adapter_load_wait_ms (&s->table, scr_now_ms (s)),
        .mean_hold_ms = (uint64_t)s->table.mean_hold_ms,
        .start_wait_ms = bkp_meter_wait_ms (&s->table.meter, s->table.waiting,
                                            scr_now_ms (s)),
        .start_every_ms = start_interval_ms (s),
        .instance = kb_slice_str (s->engine_incarnation.id),
        .born_ms = s->engine_incarnation.born_ms,
        .quarantine_stamp = qrt_digest (&s->quarantine),
        .gateway_peak = s->lender_role.peak.count,
        .gateway_peak_age_ms
        = tmr_boottime_ms () - s->lender_role.peak.seen_ms,
        .list_stamp = kb_hash (adapters.ptr, adapters.len_bytes, 1) | 1 }
  };
  if (only != NULL)
    send_state_to (s, only, &msg, kb_buf_slice (&adapters));
  for (uint32_t i = 0; only == NULL && i < s->gateway_count; i++)
    send_state_to (s, &s->gateways[i], &msg, kb_buf_slice (&adapters));
  kb_buf_finish (&adapters);
  if (only != NULL)
    return;
  s->state_sent_ms = scr_now_ms (s);
  s->is_state_pending = false;
}

static void
send_state_on_timer (void *arg)
{
  scr_send_state (arg, NULL);
}

/// Schedule a state message to all gateways; changes in quick succession are
/// sent as one.
void
scr_state_changed (scr_sidecar_t *s)
{
  if (s->is_state_pending)
    return;
  s->is_state_pending = true;
  uint64_t since_ms = scr_now_ms (s) - s->state_sent_ms;
  uint64_t pause_ms = trn_report_interval_ms (s->gateway_count);
  tmr_start_once (&s->host.timers, &s->state_timer,
                  since_ms >= pause_ms ? 0 : pause_ms - since_ms,
                  send_state_on_timer, s);
}

void
scr_set_condition (scr_sidecar_t *s, msg_engine_condition_t condition)
{
  static const char *const names[] = { "?", "down", "ready", "leaving" };
  if (s->condition == condition)
    return;
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "sidecar", "engine_condition"))
    {
      log_text (&line, "from", names[s->condition]);
      log_text (&line, "to", names[condition]);
      log_text (&line, "instance", s->engine_incarnation.id);
      log_int (&line, "granted", s->table.granted);
      log_end (&line);
    }
  s->condition = condition;
  s->table.is_engine_ready = condition == MSG_ENGINE_READY;
  scr_state_changed (s);
}
