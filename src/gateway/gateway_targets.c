/// @file gateway_targets.c
/// Targets as this gateway knows them: the list, and the links to the sidecars
/// beside them.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MAX_IDLE_CONNECTIONS = 24,
  /// A sidecar says something at least every 400 ms.
  SIDECAR_SILENT_MS = 1300,
  /// A new link is given this long for its first word.
  LINK_FIRST_MS = 1500,
  TELL_MS = 1000,
  /// While a request waits for a place, its sidecar is told this often which
  /// places are open, so that a lost message is made good.
  TELL_AGAIN_MS = 300,
};

static uint64_t
id_key (kb_slice_t id)
{
  return kb_hash (id.ptr, id.len_bytes, 0) | 1;
}

static uint64_t
address_key (const struct sockaddr_in *address)
{
  uint64_t parts[2] = { address->sin_addr.s_addr, address->sin_port };
  return kb_hash (parts, sizeof parts, 0) | 1;
}

static bool
is_engine_service (const gtw_gateway_t *gateway, const char *service)
{
  const svc_service_t *known
      = gateway->config == NULL ? NULL
                                : svc_service_find (gateway->config, service);
  return known != NULL && known->is_engine;
}

/// What the sidecar said of its engine.
static void
take_over_engine (gtw_target_t *target, gtw_target_t *from)
{
  target->condition = from->condition;
  target->slots = from->slots;
  target->granted = from->granted;
  target->waiting = from->waiting;
  target->held_for_ms = from->held_for_ms;
  target->start_wait_ms = from->start_wait_ms;
  target->start_every_ms = from->start_every_ms;
  target->tokens_per_ms = from->tokens_per_ms;
  target->list_stamp = from->list_stamp;
  free (target->adapters);
  target->adapters = from->adapters;
  target->adapter_count = from->adapter_count;
  rct_recent_finish (&target->recent);
  target->recent = from->recent;
  target->engine = from->engine;
  from->recent = (rct_recent_t){ 0 };
  from->adapters = NULL;
  from->adapter_count = 0;
}

/// @return  Whether a sidecar's word was about the incarnation before.
static bool
is_of_before (const inc_t *engine, const gtw_target_t *next,
              const gtw_target_t *before)
{
  uint64_t born_ms = next->told.who.born_ms;
  if (strcmp (engine->id, next->told.who.id) == 0)
    return engine->born_ms > 0 && born_ms > 0 && engine->born_ms != born_ms;
  return strcmp (engine->id, before->told.who.id) == 0;
}

/// The same sidecar looks after another incarnation. What it said last holds,
/// and the engine can be used before its next word, unless that was about the
/// incarnation before: it said so, and what that one held is gone.
static void
take_over_link (gtw_target_t *target, gtw_target_t *from)
{
  target->heard_ms = from->heard_ms;
  target->heard_since_ms = from->heard_since_ms;
  target->unheard_ms = from->unheard_ms;
  target->told_ms = from->told_ms;
  target->incarnation = from->incarnation;
  target->sidecar_revision = from->sidecar_revision;
  target->sidecar_versions = from->sidecar_versions;
  gtw_backpressure_take_over (target, from);
  from->is_linked = false;
  if (!is_of_before (&from->engine, target, from))
    take_over_engine (target, from);
}

/// Open the link to the sidecar beside an engine.
void
gtw_target_link (gtw_gateway_t *gateway, gtw_target_t *target)
{
  if (target->is_linked || !target->is_listed
      || !is_engine_service (gateway, target->told.service))
    return;
  char ip[INET_ADDRSTRLEN];
  uv_ip4_name (&target->told.address, ip, sizeof ip);
  snprintf (target->link, sizeof target->link, "%s:%d", ip,
            (int)gateway->host.settings.inner_port);
  uint64_t link_key = gtw_link_key (kb_slice_str (target->link));
  gtw_target_t *present = kb_map_get (&gateway->links, link_key);
  // After a restart the list names the engine's incarnations before and after
  // it for a while. The older one must not take the link back: each would
  // lose what was asked through the other.
  if (present != NULL && present->is_listed && present->key > target->key)
    return;
  target->is_linked = true;
  target->linked_ms = gtw_now_ms (gateway);
  target->heard_ms = 0;
  target->list_stamp = 0;
  if (present != NULL && present != target)
    take_over_link (target, present);
  else if (present == NULL)
    plk_link_connect (&gateway->host.link, target->link);
  kb_map_put (&gateway->links, link_key, target);
}

static void
target_unlink (gtw_gateway_t *gateway, gtw_target_t *target)
{
  if (!target->is_linked)
    return;
  plk_link_disconnect (&gateway->host.link, target->link);
  kb_map_remove (&gateway->links, gtw_link_key (kb_slice_str (target->link)));
  target->is_linked = false;
  target->heard_ms = 0;
  target->heard_since_ms = 0;
  gateway->unlinked_ms = tmr_boot_ms ();
  target->condition = MSG_ENGINE_DOWN;
}

void
gtw_target_log (const gtw_target_t *target, const char *event)
{
  log_event_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", event))
    return;
  log_text (&line, "target", target->told.who.id);
  log_int (&line, "born", (int64_t)target->belief.born_ms);
  log_text (&line, "service", target->told.service);
  log_text (&line, "failure_domain", target->told.domain);
  log_int (&line, "active", target->active);
  log_end (&line);
}

/// Another incarnation is listed at an address: those before it have ended,
/// however short the time was between them.
static void
end_those_before (gtw_gateway_t *gateway, const gtw_target_t *next)
{
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t != next && t->place_key == next->place_key)
      gtw_quarantine_target_ended (gateway, t, "replaced");
}

gtw_target_t *
gtw_target_add (gtw_gateway_t *gateway, const src_target_t *told)
{
  gtw_target_t *target = kb_alloc (sizeof *target);
  *target = (gtw_target_t){ .told = *told,
                            .belief = { .born_ms = told->who.born_ms },
                            .key = ++gateway->newest_key,
                            .place_key = address_key (&told->address),
                            .condition = MSG_ENGINE_DOWN,
                            .is_listed = true };
  xch_peer_init (&target->peer, &gateway->host.pool, &told->address,
                 MAX_IDLE_CONNECTIONS);
  kb_map_put (&gateway->targets, target->key, target);
  kb_map_put (&gateway->present, id_key (kb_slice_str (told->who.id)), target);
  gtw_target_log (target, "target_listed");
  end_those_before (gateway, target);
  return target;
}

void
gtw_target_told (gtw_gateway_t *gateway, const src_target_t *told)
{
  uint64_t key = id_key (kb_slice_str (told->who.id));
  gtw_target_t *target = kb_map_get (&gateway->present, key);
  if (target == NULL)
    target = gtw_target_add (gateway, told);
  switch (inc_observe_birth (&target->belief, told->who.born_ms))
    {
    case INC_STALE:
      gtw_target_turn_away (target, told->who.born_ms, "list");
      return;
    case INC_NEW:
      target = gtw_target_reborn (gateway, target, told);
      break;
    case INC_SAME:
      break;
    }
  if (told->is_leaving && !target->told.is_leaving)
    gtw_target_log (target, "target_leaving");
  target->told = *told;
  target->is_listed = true;
  gtw_target_link (gateway, target);
}

void
gtw_target_gone (gtw_gateway_t *gateway, kb_slice_t id)
{
  gtw_target_t *target = kb_map_get (&gateway->present, id_key (id));
  if (target == NULL || !target->is_listed)
    return;
  target->is_listed = false;
  gtw_target_log (target, "target_gone");
  xch_peer_finish (&target->peer);
}

uint32_t
gtw_targets_count (const gtw_gateway_t *gateway, const char *service)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    count += t->is_listed && strcmp (t->told.service, service) == 0;
  return count;
}

bool
gtw_target_is_alive (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return gtw_target_is_heard (gateway, target)
         && target->condition == MSG_ENGINE_READY;
}

/// A sidecar that fell silent: its VM is gone, or the connection carries
/// nothing any more while new ones would.
static void
check_sidecar (gtw_gateway_t *gateway, gtw_target_t *target, uint64_t now_ms)
{
  uint64_t since_ms
      = target->heard_ms > 0 ? target->heard_ms : target->linked_ms;
  uint64_t limit_ms = target->heard_ms > 0 ? SIDECAR_SILENT_MS : LINK_FIRST_MS;
  if (now_ms - since_ms < limit_ms)
    return;
  if (target->heard_ms > 0)
    gtw_target_log (target, "sidecar_lost");
  target_unlink (gateway, target);
  gtw_target_link (gateway, target);
  gtw_places_lost (gateway, target, "sidecar_lost");
}

static void
target_free (gtw_gateway_t *gateway, gtw_target_t *target)
{
  target_unlink (gateway, target);
  kb_map_remove (&gateway->targets, target->key);
  uint64_t id = id_key (kb_slice_str (target->told.who.id));
  if (kb_map_get (&gateway->present, id) == target)
    kb_map_remove (&gateway->present, id);
  xch_peer_finish (&target->peer);
  free (target->adapters);
  rct_recent_finish (&target->recent);
  free (target);
}

/// @return  A target that is off the list and no longer used, or NULL.
static gtw_target_t *
find_unused (const gtw_gateway_t *gateway)
{
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (!t->is_listed && t->active == 0 && t->peer.open_count == 0)
      return t;
  return NULL;
}

/// All of them at once: after a loss of power the list drops hundreds, and
/// what comes behind this in a tick, the word to each sidecar, may not wait.
/// With one a tick, 120 of them kept every link silent for 12 s.
static void
free_unused (gtw_gateway_t *gateway)
{
  for (gtw_target_t *target = find_unused (gateway); target != NULL;
       target = find_unused (gateway))
    target_free (gateway, target);
}

static void
tick_link (gtw_gateway_t *gateway, gtw_target_t *target, uint64_t now_ms)
{
  gtw_target_link (gateway, target);
  if (!target->is_linked)
    return;
  check_sidecar (gateway, target, now_ms);
  if (gtw_target_pause_ms (target) > 0)
    gtw_places_lost (gateway, target, "target_paused");
  uint64_t silent_ms = now_ms - target->told_ms;
  bool is_answer_due
      = silent_ms > TELL_AGAIN_MS && gtw_places_wait_for (gateway, target);
  // Until the link is up nothing reaches the sidecar; say it again soon, or a
  // restarted fleet stays without engines for a second.
  if (silent_ms >= TELL_MS || target->heard_ms == 0 || is_answer_due)
    gtw_tell_sidecar (gateway, target);
}

void
gtw_targets_tick (gtw_gateway_t *gateway)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  gtw_choose_tick (gateway, now_ms);
  free_unused (gateway);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    tick_link (gateway, t, now_ms);
}
