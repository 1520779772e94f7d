/// @file gateway_origin_peers.c
/// What began streams, remembered by sidecars for gateways that restart and
/// for callers that return to another gateway.
#include "gateway/gateway_origin.h"
#include "transport/metrics.h"

enum
{
  /// Sidecars that remember a stream.
  COPIES = 2,
  /// Sidecars that are asked: those that remember it rank further back when
  /// others have come since.
  ASKED = 4,
  /// Longest wait for replies.
  MAX_WAIT_MS = 1000,
  /// Until then a gateway that has just started waits for its links.
  START_MS = 2000,
  MAX_MESSAGE_BYTES = 32768,
};

static void
flush_origins (gtw_gateway_t *gateway, gtw_target_t *target)
{
  org_packed_t *unsent = &target->unsent_origins;
  if (unsent->records.len_bytes == 0)
    return;
  msg_t msg = { .type = MSG_ORIGINS,
                .origins = { .records = kb_buf_slice (&unsent->records),
                             .adapter_versions
                             = kb_buf_slice (&unsent->adapter_versions) } };
  if (hst_send (&gateway->host, target->link, &msg) != KB_OK)
    MET_INC ("knapweedbay_sidecar_unreached_total", "");
  org_packed_clear (unsent);
}

/// Add a stream to what is sent to the sidecars that remember it.
/// @param only  NULL: to all of them.
static void
add_stream (gtw_gateway_t *gateway, const gtw_target_t *only, uint64_t stream,
            const org_origin_t *origin, uint64_t ttl_ms)
{
  uint64_t rank = UINT64_MAX;
  for (uint32_t i = 0; i < COPIES; i++)
    {
      gtw_target_t *target = gtw_target_next_receiver (gateway, stream, &rank);
      if (target == NULL)
        return;
      if (only != NULL && target != only)
        continue;
      org_pack (stream, origin, ttl_ms, &target->unsent_origins);
      if (target->unsent_origins.records.len_bytes >= MAX_MESSAGE_BYTES)
        flush_origins (gateway, target);
    }
}

static void
flush_all (gtw_gateway_t *gateway)
{
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    flush_origins (gateway, t);
}

void
gtw_origin_share (gtw_gateway_t *gateway, uint64_t stream,
                  const org_origin_t *origin, uint64_t ttl_ms)
{
  add_stream (gateway, NULL, stream, origin, ttl_ms);
  flush_all (gateway);
}

/// Where the remembered streams are sent.
typedef struct
{
  gtw_gateway_t *gateway;
  const gtw_target_t *only; ///< NULL: to all sidecars.
} selection_t;

static void
add_selected (void *arg, uint64_t stream, const org_origin_t *origin,
              uint64_t ttl_ms)
{
  const selection_t *selection = arg;
  // A new version of the adapter may be declared at any time.
  if (origin->adapter_version != 0
      || gtw_software_is_ambiguous (selection->gateway, origin))
    add_stream (selection->gateway, selection->only, stream, origin, ttl_ms);
}

void
gtw_origin_share_all (gtw_gateway_t *gateway)
{
  selection_t selection = { .gateway = gateway };
  org_each (&gateway->origins, gtw_now_ms (gateway), add_selected, &selection);
  flush_all (gateway);
}

void
gtw_origin_share_with (gtw_gateway_t *gateway, gtw_target_t *target)
{
  selection_t selection = { .gateway = gateway, .only = target };
  org_each (&gateway->origins, gtw_now_ms (gateway), add_selected, &selection);
  flush_origins (gateway, target);
}

static bool
was_asked (const gtw_request_t *r, const gtw_target_t *target)
{
  for (uint32_t i = 0; i < r->origin_asked_count; i++)
    if (r->origin_asked[i] == target->key)
      return true;
  return false;
}

static void
ask_sidecar (gtw_request_t *r, const gtw_target_t *target, uint64_t stream)
{
  msg_t msg = { .type = MSG_ORIGIN_REQUEST,
                .origin_request = { .id = r->number, .stream = stream } };
  if (hst_send (&r->gateway->host, target->link, &msg) == KB_OK)
    r->origin_asked[r->origin_asked_count++] = target->key;
}

/// @return  Whether this gateway has just started and has no contact yet with
///          some of the listed sidecars.
static bool
is_connecting (const gtw_gateway_t *gateway)
{
  if (gtw_now_ms (gateway) - gateway->started_ms >= START_MS)
    return false;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_listed && t->is_linked && !gtw_target_is_in_contact (gateway, t))
      return true;
  return false;
}

bool
gtw_origin_ask (gtw_request_t *r, uint64_t stream)
{
  gtw_gateway_t *gateway = r->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  uint64_t rank = UINT64_MAX;
  if (r->origin_sought_ms == 0)
    r->origin_sought_ms = now_ms;
  for (uint32_t i = 0;
       i < ASKED && r->origin_asked_count < GTW_MAX_ORIGIN_ASKED; i++)
    {
      const gtw_target_t *target
          = gtw_target_next_receiver (gateway, stream, &rank);
      if (target == NULL)
        break;
      if (!was_asked (r, target))
        ask_sidecar (r, target, stream);
    }
  if (now_ms - r->origin_sought_ms >= MAX_WAIT_MS)
    return false;
  return r->origin_reply_count < r->origin_asked_count
         || is_connecting (gateway);
}

void
gtw_origin_receive_reply (gtw_gateway_t *gateway,
                          const msg_origin_reply_t *reply)
{
  gtw_request_t *r = gateway->requests;
  while (r != NULL && r->number != reply->id)
    r = r->next;
  if (r == NULL || r->stage != GTW_STAGE_WAITING_FOR_ORIGIN)
    return;
  r->origin_reply_count++;
  if (!org_unpack (&gateway->origins, reply->records, reply->adapter_versions,
                   gtw_now_ms (gateway)))
    MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  gateway->on_retry (gateway);
}
