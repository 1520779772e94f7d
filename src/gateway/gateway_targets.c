/// @file gateway_targets.c
/// Targets as this gateway knows them: the list, and the links to the sidecars
/// of engines.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_origin.h"
#include "gateway/gateway_suspects.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MAX_IDLE_CONNECTIONS = 24,
  MAX_IDLE_HEALTH_CONNECTIONS = 1,
  /// A sidecar sends a report at least every 400 ms.
  SIDECAR_TIMEOUT_MS = 1300,
  /// Timeout of the first report on a new link.
  FIRST_REPORT_TIMEOUT_MS = 1500,
  STATE_INTERVAL_MS = 1000,
  /// While a request waits for a place, its sidecar is sent the open places
  /// this often, to recover from lost messages.
  STATE_RESEND_INTERVAL_MS = 300,
  /// How long what an unlisted target announced is kept at most. Its entry may
  /// return, or name the incarnation that announced it only now.
  MAX_REMEMBERED_MS = 60000,
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

/// Move what the sidecar reported of its engine.
static void
move_engine_state (gtw_target_t *target, gtw_target_t *from)
{
  target->condition = from->condition;
  target->is_closed = from->is_closed;
  target->slots = from->slots;
  target->granted = from->granted;
  target->waiting = from->waiting;
  target->mean_hold_ms = from->mean_hold_ms;
  target->start_wait_ms = from->start_wait_ms;
  target->start_every_ms = from->start_every_ms;
  target->tokens_per_ms = from->tokens_per_ms;
  target->list_stamp = from->list_stamp;
  free (target->adapters);
  target->adapters = from->adapters;
  target->adapter_count = from->adapter_count;
  rct_adapters_finish (&target->recent_adapters);
  target->recent_adapters = from->recent_adapters;
  target->reported_engine = from->reported_engine;
  from->recent_adapters = (rct_adapters_t){ 0 };
  from->adapters = NULL;
  from->adapter_count = 0;
}

/// @return  Whether a sidecar's report was about the previous incarnation.
static bool
is_about_previous (const inc_t *engine, const gtw_target_t *next,
                   const gtw_target_t *previous)
{
  uint64_t born_ms = next->list_entry.identity.born_ms;
  if (strcmp (engine->id, next->list_entry.identity.id) == 0)
    return engine->born_ms > 0 && born_ms > 0 && engine->born_ms != born_ms;
  return strcmp (engine->id, previous->list_entry.identity.id) == 0;
}

/// Move the link to another incarnation beside the same sidecar. The last
/// report still holds, and the engine can be used before the next one, unless
/// the report was about the previous incarnation, whose adapters are gone.
static void
move_link (gtw_target_t *target, gtw_target_t *from)
{
  target->last_contact_ms = from->last_contact_ms;
  target->contact_since_ms = from->contact_since_ms;
  target->contact_lost_ms = from->contact_lost_ms;
  target->state_sent_ms = from->state_sent_ms;
  target->sidecar_incarnation = from->sidecar_incarnation;
  target->sidecar_revision = from->sidecar_revision;
  target->sidecar_versions = from->sidecar_versions;
  gtw_backpressure_inherit (target, from);
  from->is_linked = false;
  if (!is_about_previous (&from->reported_engine, target, from))
    move_engine_state (target, from);
}

/// Open the link to the sidecar beside an engine.
void
gtw_target_open_link (gtw_gateway_t *gateway, gtw_target_t *target)
{
  if (target->is_linked || !target->is_listed
      || !is_engine_service (gateway, target->list_entry.service))
    return;
  char ip[INET_ADDRSTRLEN];
  uv_ip4_name (&target->list_entry.address, ip, sizeof ip);
  snprintf (target->link, sizeof target->link, "%s:%d", ip,
            (int)gateway->host.settings.inner_port);
  uint64_t link_key = gtw_link_key (kb_slice_str (target->link));
  gtw_target_t *current = kb_map_get (&gateway->links, link_key);
  // After a restart the list has both incarnations of the engine for a while.
  // The older one must not take the link back: each would lose the requests
  // made through the other.
  if (current != NULL && current->is_listed && current->key > target->key)
    return;
  target->is_linked = true;
  target->linked_ms = gtw_now_ms (gateway);
  target->last_contact_ms = 0;
  target->list_stamp = 0;
  if (current != NULL && current != target)
    move_link (target, current);
  else if (current == NULL)
    plk_link_connect (&gateway->host.link, target->link);
  kb_map_put (&gateway->links, link_key, target);
}

static void
target_close_link (gtw_gateway_t *gateway, gtw_target_t *target)
{
  if (!target->is_linked)
    return;
  gtw_quarantine_forget_alone (gateway, target);
  plk_link_disconnect (&gateway->host.link, target->link);
  kb_map_remove (&gateway->links, gtw_link_key (kb_slice_str (target->link)));
  target->is_linked = false;
  target->last_contact_ms = 0;
  target->contact_since_ms = 0;
  gateway->last_unlink_ms = tmr_boottime_ms ();
  target->condition = MSG_ENGINE_DOWN;
}

void
gtw_target_log_event (const gtw_target_t *target, const char *event)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", event))
    return;
  log_text (&line, "target", target->list_entry.identity.id);
  log_int (&line, "born", (int64_t)target->known_birth.born_ms);
  log_text (&line, "service", target->list_entry.service);
  log_text (&line, "failure_domain", target->list_entry.domain);
  log_text (&line, "software", target->list_entry.software);
  log_int (&line, "active", target->active);
  log_end (&line);
}

/// @return  Whether the list names an earlier incarnation after a later one,
///          which its sidecar reports to be alive.
static bool
is_listed_late (const gtw_gateway_t *gateway, const gtw_target_t *next,
                const gtw_target_t *known)
{
  uint64_t born_ms = next->list_entry.identity.born_ms;
  return born_ms > 0 && born_ms < known->known_birth.born_ms
         && gtw_target_is_alive (gateway, known)
         && strcmp (known->reported_engine.id, known->list_entry.identity.id)
                == 0;
}

/// Another incarnation is listed at an address, so the previous ones have
/// ended, however short the time between them. One of them may have been used
/// for requests that the new one answered.
static void
apply_previous (gtw_gateway_t *gateway, gtw_target_t *next)
{
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      if (t == next || t->address_hash != next->address_hash)
        continue;
      gtw_backpressure_inherit (next, t);
      bool is_late = is_listed_late (gateway, next, t);
      gtw_quarantine_move_breaks (gateway, t, next, is_late);
      t->next_key = next->key;
      if (!is_late)
        gtw_quarantine_record_target_end (gateway, t, "replaced");
    }
}

void
gtw_target_close_peers (gtw_target_t *target)
{
  xch_peer_finish (&target->peer);
  xch_peer_finish (&target->health_peer);
}

gtw_target_t *
gtw_target_add (gtw_gateway_t *gateway, const src_target_t *listing)
{
  gtw_target_t *target = kb_alloc (sizeof *target);
  *target = (gtw_target_t){ .list_entry = *listing,
                            .known_birth
                            = { .born_ms = listing->identity.born_ms },
                            .key = ++gateway->last_target_key,
                            .address_hash = address_key (&listing->address),
                            .condition = MSG_ENGINE_DOWN,
                            .is_listed = true };
  gtw_software_identify (target);
  xch_peer_init (&target->peer, &gateway->host.pool, &listing->address,
                 MAX_IDLE_CONNECTIONS);
  xch_peer_init (&target->health_peer, &gateway->host.pool, &listing->address,
                 MAX_IDLE_HEALTH_CONNECTIONS);
  kb_map_put (&gateway->targets, target->key, target);
  kb_map_put (&gateway->newest_targets,
              id_key (kb_slice_str (listing->identity.id)), target);
  gtw_target_log_event (target, "target_listed");
  apply_previous (gateway, target);
  return target;
}

void
gtw_target_apply_listing (gtw_gateway_t *gateway, const src_target_t *listing)
{
  uint64_t key = id_key (kb_slice_str (listing->identity.id));
  gtw_target_t *target = kb_map_get (&gateway->newest_targets, key);
  if (target == NULL)
    target = gtw_target_add (gateway, listing);
  switch (inc_observe_birth (&target->known_birth, listing->identity.born_ms))
    {
    case INC_STALE:
      gtw_target_report_stale (target, listing->identity.born_ms, "list");
      return;
    case INC_NEW:
      target = gtw_target_replace_incarnation (gateway, target, listing);
      break;
    case INC_SAME:
      break;
    }
  if (listing->is_leaving && !target->list_entry.is_leaving)
    gtw_target_log_event (target, "target_leaving");
  target->list_entry = *listing;
  gtw_software_identify (target);
  target->is_listed = true;
  target->unlisted_ms = 0;
  gtw_target_open_link (gateway, target);
  if (gtw_software_record (gateway, target))
    gtw_origin_share_all (gateway);
}

void
gtw_target_remove_listing (gtw_gateway_t *gateway, kb_slice_t id)
{
  gtw_target_t *target = kb_map_get (&gateway->newest_targets, id_key (id));
  if (target == NULL || !target->is_listed)
    return;
  target->is_listed = false;
  target->unlisted_ms = gtw_now_ms (gateway);
  gtw_target_log_event (target, "target_gone");
  gtw_target_close_peers (target);
}

void
gtw_target_set_leaving (gtw_gateway_t *gateway, kb_slice_t id)
{
  gtw_target_t *target = kb_map_get (&gateway->newest_targets, id_key (id));
  if (target == NULL || !target->is_listed || target->list_entry.is_leaving)
    return;
  target->list_entry.is_leaving = true;
  gtw_target_log_event (target, "target_leaving");
}

bool
gtw_target_is_confirmed (const gtw_gateway_t *gateway, kb_slice_t id)
{
  const gtw_target_t *target
      = kb_map_get (&gateway->newest_targets, id_key (id));
  return target != NULL && target->is_listed
         && gtw_target_is_alive (gateway, target)
         && kb_slice_equal (id, kb_slice_str (target->reported_engine.id));
}

uint32_t
gtw_targets_count (const gtw_gateway_t *gateway, const char *service)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    count += t->is_listed && strcmp (t->list_entry.service, service) == 0;
  return count;
}

bool
gtw_target_is_alive (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return gtw_target_is_in_contact (gateway, target)
         && target->condition == MSG_ENGINE_READY;
}

/// Reconnect to a sidecar that is silent: its VM is gone, or the connection is
/// dead while a new one would work.
static void
check_sidecar (gtw_gateway_t *gateway, gtw_target_t *target, uint64_t now_ms)
{
  uint64_t since_ms = target->last_contact_ms > 0 ? target->last_contact_ms
                                                  : target->linked_ms;
  uint64_t limit_ms = target->last_contact_ms > 0 ? SIDECAR_TIMEOUT_MS
                                                  : FIRST_REPORT_TIMEOUT_MS;
  if (now_ms - since_ms < limit_ms)
    return;
  if (target->last_contact_ms > 0)
    gtw_target_log_event (target, "sidecar_lost");
  target_close_link (gateway, target);
  gtw_target_open_link (gateway, target);
  gtw_places_reroute (gateway, target, "sidecar_lost");
}

static void
target_free (gtw_gateway_t *gateway, gtw_target_t *target)
{
  target_close_link (gateway, target);
  kb_map_remove (&gateway->targets, target->key);
  uint64_t id = id_key (kb_slice_str (target->list_entry.identity.id));
  if (kb_map_get (&gateway->newest_targets, id) == target)
    kb_map_remove (&gateway->newest_targets, id);
  gtw_target_close_peers (target);
  free (target->adapters);
  rct_adapters_finish (&target->recent_adapters);
  org_packed_finish (&target->unsent_origins);
  free (target);
}

/// Whether what is known of an unlisted target may matter once its address is
/// listed again. The entries of two incarnations may be read seconds apart:
/// the next one proves that this one has ended, and what it announced also
/// holds if its own entry returns.
static bool
is_remembered (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  if (target->unlisted_ms == 0)
    return false;
  uint64_t unlisted_for_ms = gtw_now_ms (gateway) - target->unlisted_ms;
  return gtw_quarantine_awaits_evidence (gateway, target)
         || (unlisted_for_ms < MAX_REMEMBERED_MS
             && gtw_backpressure_is_in_force (target));
}

/// @return  An unlisted target without requests, connections and knowledge
///          that is kept, or NULL.
static gtw_target_t *
find_unused (const gtw_gateway_t *gateway)
{
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (!t->is_listed && t->active == 0 && t->peer.open_count == 0
        && t->health_peer.open_count == 0 && !is_remembered (gateway, t))
      return t;
  return NULL;
}

/// Free all of them at once: after a loss of power the list drops hundreds,
/// and the state reports to sidecars, which follow in the tick, must not wait.
/// With one per tick, 120 of them would keep every link silent for 12 s.
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
  gtw_target_open_link (gateway, target);
  if (!target->is_linked)
    return;
  check_sidecar (gateway, target, now_ms);
  if (gtw_target_pause_ms (target) > 0)
    gtw_places_reroute (gateway, target, "target_paused");
  else if (!gtw_target_is_staying (target))
    gtw_places_reroute (gateway, target, "target_leaving");
  uint64_t since_sent_ms = now_ms - target->state_sent_ms;
  bool is_resend_due = since_sent_ms > STATE_RESEND_INTERVAL_MS
                       && gtw_places_are_overdue (gateway, target);
  // Nothing reaches the sidecar until the link is up. Repeat the state at each
  // tick, or a restarted fleet has no engines for a second.
  if (since_sent_ms >= STATE_INTERVAL_MS || target->last_contact_ms == 0
      || is_resend_due)
    gtw_send_gateway_state (gateway, target);
}

void
gtw_targets_tick (gtw_gateway_t *gateway)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  gtw_choose_update_rate (gateway, now_ms);
  if (gtw_software_tick (gateway))
    gtw_origin_share_all (gateway);
  gtw_software_write_records (gateway);
  free_unused (gateway);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    tick_link (gateway, t, now_ms);
}
