/// @file gateway_peers.c
/// Sidecars that read the store for the gateways of their failure domain:
/// which one is queried, and how its answer is used.
///
/// All gateways of a domain query the same sidecar, so that one store call
/// serves all of them. A sidecar that fails is not queried for a while, and
/// the next one in rank takes its place. This needs no election, and gateways
/// need not know each other.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/changes.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// With fewer gateways per domain, a shared read saves no store call.
  MIN_GATEWAYS_PER_DOMAIN = 2,
  /// More domains than this are counted as this many.
  MAX_DOMAINS = 64,
  /// A sidecar that gave no answer is not queried for this long. Its VM may be
  /// slow, cut off or gone, and each query costs a part of the time between
  /// two reads.
  PEER_BACKOFF_MS = 5000,
};

/// @return  Number of failure domains of the listed targets.
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
      while (i < count && strcmp (seen[i], t->list_entry.domain) != 0)
        i++;
      if (i == count && t->is_listed)
        seen[count++] = t->list_entry.domain;
    }
  return count;
}

static bool
can_query (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  bool is_backing_off
      = target->changes_request_failed_ms > 0
        && now_ms - target->changes_request_failed_ms < PEER_BACKOFF_MS;
  return gtw_target_is_in_contact (gateway, target) && !is_backing_off;
}

/// @return  The rank of a sidecar for the gateways of this domain: sidecars of
///          the domain come first, in an order that all its gateways share.
static uint64_t
rank_of (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  const char *domain = gateway->host.settings.failure_domain;
  uint64_t weight
      = kb_hash (domain, strlen (domain), target->address_hash) >> 1;
  bool is_same_domain = strcmp (target->list_entry.domain, domain) == 0;
  return is_same_domain ? weight | 1ULL << 63 : weight;
}

static gtw_target_t *
choose_peer (const gtw_gateway_t *gateway)
{
  gtw_target_t *best = NULL;
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (can_query (gateway, t)
        && (best == NULL || rank_of (gateway, t) > rank_of (gateway, best)))
      best = t;
  return best;
}

static bool
peers_has_usable (src_peers_t *base)
{
  const gtw_gateway_t *gateway = ((gtw_peers_t *)base)->gateway;
  return gateway->gateway_count
             >= MIN_GATEWAYS_PER_DOMAIN * (uint64_t)count_domains (gateway)
         && choose_peer (gateway) != NULL;
}

/// Pass the answer, or NULL, to the source.
static void
query_finish (gtw_peers_t *peers, const src_changes_t *changes)
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

/// Log why the sidecar gave no answer, and do not query it for a while.
static void
query_fail (gtw_peers_t *peers, const char *reason)
{
  gtw_gateway_t *gateway = peers->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  gtw_target_t *target = kb_map_get (&gateway->links, peers->link_key);
  if (target != NULL)
    target->changes_request_failed_ms = now_ms;
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "store", "shared_read_failed"))
    {
      log_text (&line, "sidecar", target == NULL ? "" : target->link);
      log_text (&line, "reason", reason);
      log_int (&line, "waited_ms", (int64_t)(now_ms - peers->requested_ms));
      log_end (&line);
    }
  query_finish (peers, NULL);
}

static void
query_on_timeout (void *arg)
{
  query_fail (arg, "no_answer");
}

static void
query_on_unsent (void *arg)
{
  query_fail (arg, "not_reached");
}

static void
peers_query (src_peers_t *base, const src_changes_request_t *query)
{
  gtw_peers_t *peers = (gtw_peers_t *)base;
  gtw_gateway_t *gateway = peers->gateway;
  const gtw_target_t *target = choose_peer (gateway);
  peers->id = ++peers->last_id;
  peers->era = query->era;
  peers->requested_ms = gtw_now_ms (gateway);
  peers->link_key = 0;
  bool is_sent = false;
  if (target != NULL)
    {
      peers->link_key = gtw_link_key (kb_slice_str (target->link));
      const char *store = gateway->host.settings.store_address;
      msg_t msg
          = { .type = MSG_CHANGES_REQUEST,
              .changes_request = { .id = peers->id,
                                   .store = kb_hash (store, strlen (store), 0),
                                   .era = query->era,
                                   .after = query->after,
                                   .known_age_ms = query->known_age_ms,
                                   .pause_ms = query->pause_ms } };
      is_sent = hst_send (&gateway->host, target->link, &msg) == KB_OK;
    }
  tmr_start_once (&gateway->host.timers, &peers->timer,
                  is_sent ? query->timeout_ms : 0,
                  is_sent ? query_on_timeout : query_on_unsent, peers);
}

/// @return  False: the bytes are malformed.
static bool
unpack_changes (kb_slice_t packed, src_change_t **changes, uint32_t *count)
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

/// @return  The earliest time, by this gateway's clock, at which the read
///          behind an answer can have begun. The sidecar states the begin
///          relative to the arrival of the query, which was not before the
///          query was sent. The time of the answer is never used: messages
///          wait in connections, and a sidecar that was frozen sends old data.
static uint64_t
read_began_ms (const gtw_peers_t *peers, const msg_changes_t *answer)
{
  uint64_t at_ms = peers->requested_ms + answer->began_after_ms;
  return at_ms > answer->began_before_ms ? at_ms - answer->began_before_ms : 0;
}

void
gtw_peers_receive_changes (gtw_gateway_t *gateway, const gtw_target_t *from,
                           const msg_changes_t *answer)
{
  gtw_peers_t *peers = &gateway->peers;
  // A late answer, or one to the process before this one.
  if (peers->id == 0 || answer->id != peers->id
      || gtw_link_key (kb_slice_str (from->link)) != peers->link_key)
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"not_asked\"");
      return;
    }
  if (answer->status == MSG_CHANGES_NOT_RETAINED)
    {
      query_finish (peers, NULL);
      return;
    }
  src_change_t *changes = NULL;
  uint32_t count = 0;
  if (answer->status != MSG_CHANGES_AVAILABLE)
    query_fail (peers, "store_silent");
  // A sidecar of the earlier release states no era.
  else if (answer->era != peers->era)
    query_fail (peers, "other_era");
  else if (!unpack_changes (answer->changes, &changes, &count))
    query_fail (peers, "malformed");
  else
    {
      src_changes_t known = { .era = answer->era,
                              .as_of = answer->as_of,
                              .began_ms = read_began_ms (peers, answer),
                              .config_revision = answer->config_revision,
                              .changes = changes,
                              .change_count = count };
      query_finish (peers, &known);
    }
  free (changes);
}

static void
peers_cancel (src_peers_t *base)
{
  gtw_peers_t *peers = (gtw_peers_t *)base;
  tmr_cancel (&peers->gateway->host.timers, &peers->timer);
  peers->id = 0;
}

static const src_peers_vtable_t peers_vtable
    = { peers_has_usable, peers_query, peers_cancel };

void
gtw_peers_init (gtw_gateway_t *gateway)
{
  gateway->peers = (gtw_peers_t){ .peers.vtable = &peers_vtable,
                                  .gateway = gateway,
                                  .last_id = gateway->host.incarnation };
}
