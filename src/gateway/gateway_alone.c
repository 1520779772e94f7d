/// @file gateway_alone.c
/// Requests that have to start alone at a plain target, among the requests of
/// this gateway (coordination/alone.h). At engines the sidecar enforces this.
#include "gateway/gateway_suspects.h"

enum
{
  /// How long a target is reserved for a request that waits to start alone.
  RESERVATION_MS = 500,
};

static bool
is_reserved_by_other (const gtw_target_t *target, const gtw_request_t *r,
                      uint64_t now_ms)
{
  return target->reserved_by != r->number
         && now_ms < target->reserved_until_ms;
}

bool
gtw_alone_can_use (const gtw_request_t *r, const gtw_target_t *target)
{
  if (r->is_engine)
    return true;
  uint64_t now_ms = gtw_now_ms (r->gateway);
  return !aln_is_exclusive (&target->alone, now_ms)
         && !is_reserved_by_other (target, r, now_ms)
         && !aln_is_refused (&target->alone, &r->alone, now_ms);
}

bool
gtw_alone_is_blocking_any (const gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_listed && strcmp (t->list_entry.service, r->service) == 0
        && !gtw_alone_can_use (r, t))
      return true;
  return false;
}

bool
gtw_alone_start (gtw_request_t *r)
{
  uint64_t now_ms = gtw_now_ms (r->gateway);
  gtw_target_t *target = r->target;
  if (!aln_may_start (&target->alone, &r->alone, now_ms))
    {
      target->reserved_by = r->number;
      target->reserved_until_ms = now_ms + RESERVATION_MS;
      return false;
    }
  target->reserved_until_ms = 0;
  aln_started (&target->alone, &r->alone, now_ms);
  return true;
}

bool
gtw_alone_has_timed_out (const gtw_request_t *r)
{
  return aln_is_refused (&r->target->alone, &r->alone,
                         gtw_now_ms (r->gateway));
}

void
gtw_alone_leave (gtw_request_t *r)
{
  gtw_target_t *target = r->target;
  if (r->is_engine || target == NULL)
    return;
  if (target->reserved_by == r->number)
    target->reserved_until_ms = 0;
  // Other requests may use the target as soon as this one is served.
  if (r->is_served && r->alone.is_alone)
    aln_first_byte (&target->alone, &r->alone, gtw_now_ms (r->gateway));
  else if (r->is_served)
    aln_answered (&target->alone, &r->alone);
  aln_block_ended (&target->alone, &r->alone, gtw_now_ms (r->gateway));
  aln_ended (&target->alone, &r->alone);
  r->alone.waiting_since_ms = 0;
}
