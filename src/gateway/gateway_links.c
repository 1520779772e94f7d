/// @file gateway_links.c
/// What gateways and sidecars tell each other, and the configuration and
/// versions that are passed on through sidecars to gateways which the store
/// does not serve.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/passing.h"
#include "relay/turn.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// By then a gateway of a sidecar's own failure domain has had two turns to
  /// give it a configuration.
  FAR_AFTER_MS = 1000,
};

static uint64_t
revision_of (const gtw_gateway_t *gateway)
{
  return gateway->config == NULL ? 0 : gateway->config->revision;
}

static void
pack_places (const gtw_gateway_t *gateway, const gtw_target_t *target,
             kb_buf_t *out)
{
  for (const gtw_request_t *r = gateway->requests; r != NULL; r = r->next)
    {
      if (r->place_id == 0 || strcmp (r->target->link, target->link) != 0)
        continue;
      msg_place_ref_t ref = { .id = r->place_id, .is_granted = r->has_place };
      kb_buf_append (out, &ref, sizeof ref);
    }
}

/// A limit of zero is told as the smallest one.
static uint64_t
limit_milli (const bkp_limit_t *limit)
{
  enum
  {
    MILLI = 1000,
  };
  uint64_t milli = (uint64_t)(limit->per_s * MILLI);
  return limit->is_limited && milli == 0 ? 1 : milli;
}

void
gtw_tell_sidecar (gtw_gateway_t *gateway, gtw_target_t *target)
{
  kb_buf_t places = { 0 };
  kb_buf_t elsewhere = { 0 };
  pack_places (gateway, target, &places);
  gtw_quotas_pack_elsewhere (
      gateway, gtw_link_key (kb_slice_str (target->link)), &elsewhere);
  target->told_ms = gtw_now_ms (gateway);
  const bkp_limit_t *limit = &target->stated.limit;
  msg_t msg
      = { .type = MSG_GATEWAY_STATE,
          .gateway_state
          = { .incarnation = gateway->host.incarnation,
              .revision = revision_of (gateway),
              .versions_known = gateway->versions.changes,
              .engine_count
              = gtw_targets_count (gateway, target->told.service),
              .list_stamp = target->list_stamp,
              .quarantine_stamp = qrt_stamp (&gateway->quarantine),
              .gateway_peak = gateway->peak.count,
              .gateway_peak_age_ms = tmr_boot_ms () - gateway->peak.seen_ms,
              .limit_milli = limit_milli (limit),
              .limit_age_ms = tmr_boot_ms () - limit->at_ms,
              .lent_elsewhere = kb_buf_slice (&elsewhere),
              .places = kb_buf_slice (&places) } };
  if (hst_send (&gateway->host, target->link, &msg) != KB_OK)
    MET_INC ("knapweedbay_sidecar_unreached_total", "");
  kb_buf_finish (&places);
  kb_buf_finish (&elsewhere);
}

static void
give_document (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  psn_give_document (&gateway->host, target->link, revision_of (gateway),
                     &gateway->document);
}

static bool
lacks_config (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return target->sidecar_revision < revision_of (gateway);
}

static bool
is_near (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return strcmp (target->told.domain, gateway->host.settings.failure_domain)
         == 0;
}

/// A sidecar gets a configuration from its own failure domain; one whose
/// domain has no gateway that could give it gets it from others a little
/// later. A document of 0.3 MB for each of 120 sidecars, five of six from
/// other domains, was most of what crossed them on a day with many changes.
static bool
may_give_config (gtw_gateway_t *gateway, gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  if (!lacks_config (gateway, target))
    target->lacks_since_ms = 0;
  else if (target->lacks_since_ms == 0)
    target->lacks_since_ms = now_ms;
  if (target->lacks_since_ms == 0)
    return false;
  return is_near (gateway, target)
         || now_ms - target->lacks_since_ms >= FAR_AFTER_MS;
}

/// Give a sidecar what it lacks.
static void
help_sidecar (gtw_gateway_t *gateway, gtw_target_t *target)
{
  bool may_give = may_give_config (gateway, target);
  if (!trn_is_mine (gateway->host.incarnation, target->place_key,
                    gateway->gateway_count, gtw_now_ms (gateway)))
    return;
  if (may_give)
    give_document (gateway, target);
  if (target->sidecar_versions < gateway->versions.changes)
    psn_give_versions (&gateway->host, target->link, &gateway->versions);
  gtw_quarantine_help (gateway, target);
}

/// @return  How many sidecars are in the own failure domain.
static uint32_t
count_near (const gtw_gateway_t *gateway)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    count += t->is_linked && is_near (gateway, t);
  return count;
}

void
gtw_tell_all (gtw_gateway_t *gateway)
{
  uint32_t near = count_near (gateway);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (!t->is_linked || t->heard_ms == 0)
        continue;
      if (may_give_config (gateway, t)
          && trn_is_first_receiver (gateway->host.incarnation, t->place_key,
                                    near))
        give_document (gateway, t);
      gtw_tell_sidecar (gateway, t);
    }
}

void
gtw_take_config (gtw_gateway_t *gateway, svc_config_t *config,
                 kb_slice_t document, const char *from)
{
  if (!svc_revision_is_newer (revision_of (gateway), config->revision))
    {
      svc_config_free (config);
      return;
    }
  svc_config_free (gateway->config);
  gateway->config = config;
  kb_buf_clear (&gateway->document);
  kb_buf_append (&gateway->document, document.ptr, document.len_bytes);
  log_event_t line;
  if (log_begin (&line, LOG_INFO, "config", "config_in_force"))
    {
      log_int (&line, "revision", (int64_t)config->revision);
      log_int (&line, "routes", config->route_count);
      log_text (&line, "from", from);
      log_end (&line);
    }
  gtw_targets_tick (gateway);
  gtw_tell_all (gateway);
}

void
gtw_take_version (gtw_gateway_t *gateway, kb_slice_t model, kb_slice_t adapter,
                  uint32_t version)
{
  const ver_item_t *item
      = ver_learn (&gateway->versions, model, adapter, version);
  if (item == NULL)
    return;
  log_event_t line;
  if (log_begin (&line, LOG_INFO, "config", "adapter_version"))
    {
      log_str (&line, "adapter", adapter);
      log_int (&line, "version", version);
      log_end (&line);
    }
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_linked && t->heard_ms > 0)
      help_sidecar (gateway, t);
}

static void
copy_adapters (gtw_target_t *target, kb_slice_t packed)
{
  uint32_t count = packed.len_bytes / (uint32_t)sizeof *target->adapters;
  target->adapters
      = kb_realloc (target->adapters, (count + 1) * sizeof *target->adapters);
  memcpy (target->adapters, packed.ptr, count * sizeof *target->adapters);
  target->adapter_count = count;
  for (uint32_t i = 0; i < count; i++)
    if (target->adapters[i].state == MSG_ADAPTER_HELD)
      rct_note (&target->recent, target->adapters[i].key,
                target->adapters[i].version);
}

/// @return  Whether a sidecar speaks of another engine than before.
static bool
is_other_engine (const gtw_target_t *target, const msg_engine_state_t *state)
{
  return state->instance.len_bytes > 0 && target->engine.id[0] != '\0'
         && (!kb_slice_equal (state->instance,
                              kb_slice_str (target->engine.id))
             || target->engine.born_ms != state->born_ms);
}

/// @return  Whether the engine that served at the last word has ended since.
static bool
says_engine_ended (const gtw_target_t *target, const msg_engine_state_t *state)
{
  bool is_down = target->condition == MSG_ENGINE_READY
                 && state->condition == MSG_ENGINE_DOWN;
  return is_down || is_other_engine (target, state);
}

/// @return  Whether an engine that was taken for ended goes on: its reports
///          were late.
static bool
says_engine_lives (const gtw_target_t *target, const msg_engine_state_t *state)
{
  return state->condition == MSG_ENGINE_READY
         && kb_slice_equal (state->instance,
                            kb_slice_str (target->told.who.id));
}

/// A restarted engine has lost the copies of what it held.
static void
take_engine_instance (gtw_target_t *target, const msg_engine_state_t *state)
{
  if (state->instance.len_bytes == 0)
    return;
  if (is_other_engine (target, state))
    rct_recent_clear (&target->recent);
  target->engine.born_ms = state->born_ms;
  kb_slice_copy (state->instance, target->engine.id, sizeof target->engine.id);
}

/// Judge the birth that a sidecar names for its engine. It knows of a restart
/// before the list does; who may be used is the list's to tell.
/// @return  The target that the word is about, or NULL when it is about an
///          earlier incarnation than the one that is known.
static gtw_target_t *
target_of_word (gtw_gateway_t *gateway, gtw_target_t *target,
                const msg_engine_state_t *state)
{
  if (!target->is_listed
      || !kb_slice_equal (state->instance, kb_slice_str (target->told.who.id)))
    return target;
  src_target_t told = target->told;
  told.who.born_ms = state->born_ms;
  // Whether the next life leaves is told by its own entry and its sidecar.
  told.is_leaving = false;
  switch (inc_observe_birth (&target->belief, state->born_ms))
    {
    case INC_STALE:
      gtw_target_turn_away (target, state->born_ms, "sidecar");
      return NULL;
    case INC_NEW:
      return gtw_target_reborn (gateway, target, &told);
    default:
      return target;
    }
}

/// A list is sent when it changed; without one, the stamp tells whether the
/// list from before still holds. A stamp that does not fit is told back, and
/// the list comes with the next word.
static void
take_adapter_list (gtw_target_t *target, const msg_engine_state_t *state)
{
  if (state->adapters.len_bytes == 0
      && target->list_stamp == state->list_stamp)
    return;
  copy_adapters (target, state->adapters);
  uint64_t stamp
      = kb_hash (state->adapters.ptr, state->adapters.len_bytes, 1) | 1;
  target->list_stamp = stamp == state->list_stamp ? stamp : 0;
}

static void
take_engine_state (gtw_gateway_t *gateway, gtw_target_t *target,
                   const msg_engine_state_t *state)
{
  target = target_of_word (gateway, target, state);
  if (target == NULL)
    return;
  bool is_restarted = target->heard_ms > 0 && target->incarnation != 0
                      && target->incarnation != state->incarnation;
  bool is_first = target->heard_ms == 0;
  target->heard_ms = gtw_now_ms (gateway);
  // A sidecar that has just started knows of no engine yet.
  if (!is_first && !is_restarted && says_engine_ended (target, state))
    gtw_quarantine_target_ended (gateway, target, "sidecar");
  else if (says_engine_lives (target, state))
    target->ended_ms = 0;
  target->incarnation = state->incarnation;
  target->sidecar_revision = state->revision;
  target->sidecar_versions = state->versions_known;
  target->quarantine_stamp = state->quarantine_stamp;
  qof_peak_take (&gateway->peak, (uint32_t)state->gateway_peak,
                 state->gateway_peak_age_ms, tmr_boot_ms ());
  target->condition = (msg_engine_condition_t)state->condition;
  target->slots = (uint32_t)state->slots;
  target->granted = (uint32_t)state->granted;
  target->waiting = (uint32_t)state->waiting;
  target->asked_since = 0;
  target->asked_tokens = 0;
  target->backlog_ms = (double)state->backlog_us / 1000;
  target->load_wait_ms = (double)state->load_wait_ms;
  target->held_for_ms = (double)state->held_for_ms;
  target->start_wait_ms = (double)state->start_wait_ms;
  target->start_every_ms = (double)state->start_every_ms;
  target->tokens_per_ms = (double)state->tokens_per_s / 1000;
  if (state->gateway_count > 0)
    gateway->gateway_count = (uint32_t)state->gateway_count;
  take_engine_instance (target, state);
  take_adapter_list (target, state);
  if (is_first || is_restarted)
    gtw_tell_sidecar (gateway, target);
  help_sidecar (gateway, target);
  if (is_restarted)
    gtw_places_lost (gateway, target, "sidecar_lost");
}

static void
take_document (gtw_gateway_t *gateway, const msg_document_t *given,
               const char *from)
{
  if (!svc_revision_is_newer (revision_of (gateway), given->revision))
    return;
  kb_error_t error = { 0 };
  svc_config_t *config
      = gateway->deployment->decode_config (given->data, &error);
  if (config == NULL)
    {
      log_write (LOG_ERROR, "config", "A passed on document is ignored: %s.",
                 error.message);
      return;
    }
  gtw_take_config (gateway, config, given->data, from);
}

void
gtw_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg)
{
  gtw_gateway_t *gateway = (gtw_gateway_t *)host;
  gtw_target_t *target = kb_map_get (&gateway->links, gtw_link_key (peer));
  if (target == NULL)
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unknown_peer\"");
      return;
    }
  switch (msg->type)
    {
    case MSG_ENGINE_STATE:
      take_engine_state (gateway, target, &msg->engine_state);
      break;
    case MSG_PLACE_GRANT:
      gtw_place_granted (gateway, &msg->place_grant, target);
      break;
    case MSG_PLACE_DECLINE:
      gtw_place_declined (gateway, &msg->place_decline);
      break;
    case MSG_CHANGES:
      gtw_peers_answered (gateway, target, &msg->changes);
      break;
    case MSG_QUOTA_GRANT:
      gtw_quota_granted (gateway, &msg->quota_grant);
      break;
    case MSG_QUARANTINE:
      gtw_quarantine_take (gateway, msg->quarantine.words);
      break;
    case MSG_DOCUMENT:
      take_document (gateway, &msg->document, target->link);
      break;
    case MSG_ADAPTER_VERSION:
      gtw_take_version (gateway, msg->adapter_version.model,
                        msg->adapter_version.adapter,
                        (uint32_t)msg->adapter_version.version);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
      break;
    }
}
