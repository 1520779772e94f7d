/// @file gateway_peers.c
/// Sidecars that read the store for the gateways of their failure domain:
/// which one is asked, and what its answer is worth.
///
/// All gateways of a domain ask the same sidecar, so that one call serves all
/// of them; one that fails is left alone for a while, and the next one takes
/// its place. Nobody is elected and nobody has to know the others.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/changes.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// With fewer gateways in a domain than this, a shared read saves no call.
  LEAST_SHARERS = 2,
  /// Counted; more are taken for as many.
  MAX_DOMAINS = 64,
  /// A sidecar that gave no answer is not asked for this long. Its VM may be
  /// slow, cut off or gone; asking costs a part of a pause each time.
  LEAVE_ALONE_MS = 5000,
};

/// @return  How many failure domains the listed targets are in.
static uint32_t
count_domains (const gtw_gateway_t *gateway)
{
  const char *seen[MAX_DOMAINS];
  uint32_t count = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at);
       t != NULL && count < MAX_DOMAINS;
       t = kb_map_next (&gateway->targets, &at))
    {
      uint32_t i = 0;
      while (i < count && strcmp (seen[i], t->told.domain) != 0)
        i++;
      if (i == count && t->is_listed)
        seen[count++] = t->told.domain;
    }
  return count;
}

static bool
may_ask (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  bool is_left_alone = target->ask_failed_ms > 0
                       && now_ms - target->ask_failed_ms < LEAVE_ALONE_MS;
  return gtw_target_is_heard (gateway, target) && !is_left_alone;
}

/// @return  The rank of a sidecar for the gateways of this domain: those in
///          their own one come first, in an order that all agree on.
static uint64_t
rank_of (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  const char *domain = gateway->host.settings.failure_domain;
  uint64_t weight = kb_hash (domain, strlen (domain), target->place_key) >> 1;
  bool is_near = strcmp (target->told.domain, domain) == 0;
  return is_near ? weight | 1ULL << 63 : weight;
}

static gtw_target_t *
choose_peer (const gtw_gateway_t *gateway)
{
  gtw_target_t *best = NULL;
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (may_ask (gateway, t)
        && (best == NULL || rank_of (gateway, t) > rank_of (gateway, best)))
      best = t;
  return best;
}

static bool
peers_is_any (src_peers_t *base)
{
  const gtw_gateway_t *gateway = ((gtw_peers_t *)base)->gateway;
  return gateway->gateway_count
             >= LEAST_SHARERS * (uint64_t)count_domains (gateway)
         && choose_peer (gateway) != NULL;
}

/// Hand an answer, or NULL, to the source.
static void
ask_end (gtw_peers_t *peers, const src_changes_t *changes)
{
  gtw_gateway_t *gateway = peers->gateway;
  tmr_cancel (&gateway->host.timers, &peers->timer);
  peers->id = 0;
  if (changes != NULL)
    MET_INC ("knapweedbay_store_shared_reads_total", "result=\"ok\"");
  else
    MET_INC ("knapweedbay_store_shared_reads_total", "result=\"failed\"");
  gateway->source->vtable->on_changes (gateway->source, changes);
}

/// The peer is of no use now: say why, and leave it alone.
static void
ask_fail (gtw_peers_t *peers, const char *reason)
{
  gtw_gateway_t *gateway = peers->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  gtw_target_t *target = kb_map_get (&gateway->links, peers->link_key);
  if (target != NULL)
    target->ask_failed_ms = now_ms;
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "store", "shared_read_failed"))
    {
      log_text (&line, "sidecar", target == NULL ? "" : target->link);
      log_text (&line, "reason", reason);
      log_int (&line, "waited_ms", (int64_t)(now_ms - peers->asked_ms));
      log_end (&line);
    }
  ask_end (peers, NULL);
}

static void
ask_late (void *arg)
{
  ask_fail (arg, "no_answer");
}

static void
ask_unsent (void *arg)
{
  ask_fail (arg, "not_reached");
}

static void
peers_ask (src_peers_t *base, const src_ask_t *ask)
{
  gtw_peers_t *peers = (gtw_peers_t *)base;
  gtw_gateway_t *gateway = peers->gateway;
  const gtw_target_t *target = choose_peer (gateway);
  peers->id = ++peers->last_id;
  peers->asked_ms = gtw_now_ms (gateway);
  peers->link_key = 0;
  bool is_sent = false;
  if (target != NULL)
    {
      peers->link_key = gtw_link_key (kb_slice_str (target->link));
      const char *store = gateway->host.settings.store_address;
      msg_t msg
          = { .type = MSG_CHANGES_ASK,
              .changes_ask = { .id = peers->id,
                               .store = kb_hash (store, strlen (store), 0),
                               .after = ask->after,
                               .known_age_ms = ask->known_age_ms,
                               .pause_ms = ask->pause_ms } };
      is_sent = hst_send (&gateway->host, target->link, &msg) == KB_OK;
    }
  tmr_start_once (&gateway->host.timers, &peers->timer,
                  is_sent ? ask->timeout_ms : 0,
                  is_sent ? ask_late : ask_unsent, peers);
}

/// @return  False: these bytes are no changes.
static bool
unpack (kb_slice_t packed, src_change_t **changes, uint32_t *count)
{
  uint32_t at = 0;
  src_change_t change;
  kb_status_t status;
  while ((status = chg_unpack (packed, &at, &change)) == KB_OK)
    {
      *changes = kb_realloc (*changes, (*count + 1) * sizeof change);
      (*changes)[(*count)++] = change;
    }
  return status == KB_ENOTFOUND;
}

/// When the read behind an answer began, by this clock, at the latest. The
/// sidecar says how much later or earlier than the question's arrival; that
/// was not before it was sent. The time of the answer is never used: words
/// wait in connections, and a sidecar that was frozen tells old knowledge.
static uint64_t
began_ms (const gtw_peers_t *peers, const msg_changes_t *told)
{
  uint64_t at_ms = peers->asked_ms + told->began_after_ms;
  return at_ms > told->began_before_ms ? at_ms - told->began_before_ms : 0;
}

void
gtw_peers_answered (gtw_gateway_t *gateway, const gtw_target_t *from,
                    const msg_changes_t *told)
{
  gtw_peers_t *peers = &gateway->peers;
  // An answer that comes too late, or to the process before this one.
  if (peers->id == 0 || told->id != peers->id
      || gtw_link_key (kb_slice_str (from->link)) != peers->link_key)
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"not_asked\"");
      return;
    }
  if (told->status == MSG_CHANGES_BEHIND)
    {
      ask_end (peers, NULL);
      return;
    }
  src_change_t *changes = NULL;
  uint32_t count = 0;
  if (told->status != MSG_CHANGES_KNOWN)
    ask_fail (peers, "store_silent");
  else if (!unpack (told->changes, &changes, &count))
    ask_fail (peers, "malformed");
  else
    {
      src_changes_t known = { .as_of = told->as_of,
                              .began_ms = began_ms (peers, told),
                              .config_revision = told->config_revision,
                              .changes = changes,
                              .change_count = count };
      ask_end (peers, &known);
    }
  free (changes);
}

static const src_peers_vtable_t peers_vtable = { peers_is_any, peers_ask };

void
gtw_peers_init (gtw_gateway_t *gateway)
{
  gateway->peers = (gtw_peers_t){ .peers.vtable = &peers_vtable,
                                  .gateway = gateway,
                                  .last_id = gateway->host.incarnation };
}
