/// @file gateway_targets.c
/// Targets as this gateway knows them: the list, what their sidecars say, and
/// how requests fared there.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/turn.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  MAX_CANDIDATES = 1024,
  MS_PER_S = 1000,
  MAX_IDLE_CONNECTIONS = 24,
  /// A sidecar says something at least every 400 ms.
  SIDECAR_SILENT_MS = 1300,
  /// Two heartbeats and some delay: its engine may have died since.
  SIDECAR_LATE_MS = 900,
  /// A new link is given this long for its first word.
  LINK_FIRST_MS = 1500,
  TELL_MS = 1000,
  /// While a request waits for a place, its sidecar is told this often which
  /// places are open, so that a lost message is made good.
  TELL_AGAIN_MS = 300,
  /// Half-life of the share of failures: a target that recovered is used
  /// fully again after a few seconds, without any request having to probe it.
  FAILURE_HALF_MS = 2500,
};

/// Weight of the newest tick in the rate of requests: about two seconds count.
static const double RATE_WEIGHT = 0.05;

/// Weight of the newest request in the share of failures.
static const double FAILURE_WEIGHT = 0.25;

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
  target->told_ms = from->told_ms;
  target->incarnation = from->incarnation;
  target->sidecar_revision = from->sidecar_revision;
  target->sidecar_versions = from->sidecar_versions;
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
  return target;
}

void
gtw_target_told (gtw_gateway_t *gateway, const src_target_t *told)
{
  uint64_t key = id_key (kb_slice_str (told->who.id));
  gtw_target_t *target = kb_map_get (&gateway->present, key);
  if (target == NULL)
    target = gtw_target_add (gateway, told);
  switch (inc_judge (&target->belief, told->who.born_ms))
    {
    case INC_STALE:
      gtw_target_turn_away (target, told->who.born_ms, "list");
      return;
    case INC_ANOTHER:
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

bool
gtw_target_is_heard (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return target->is_listed && target->is_linked
         && gtw_now_ms (gateway) - target->heard_ms < SIDECAR_LATE_MS;
}

bool
gtw_target_is_alive (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return gtw_target_is_heard (gateway, target)
         && target->condition == MSG_ENGINE_READY;
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
  if (!target->is_listed || target->told.is_leaving || was_tried (r, target))
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
    if (r->is_engine && t->is_listed && !t->told.is_leaving
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
      if (a->state == MSG_ADAPTER_COMING)
        return PLC_COMING;
      if (a->state == MSG_ADAPTER_AWAITED)
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
  gtw_places_lost (gateway, target);
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

/// Rate of the requests for engines, for plc_unseen.
static void
note_rate (gtw_gateway_t *gateway, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - gateway->rated_ms;
  if (passed_ms < GTW_TICK_MS)
    return;
  double per_s = (double)gateway->placed * MS_PER_S / (double)passed_ms;
  gateway->placed_per_s += RATE_WEIGHT * (per_s - gateway->placed_per_s);
  gateway->placed = 0;
  gateway->rated_ms = now_ms;
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
  note_rate (gateway, now_ms);
  free_unused (gateway);
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    tick_link (gateway, t, now_ms);
}
