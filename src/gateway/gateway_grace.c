/// @file gateway_grace.c
/// The time that is left of a stop, and which requests have enough of it.
#include "gateway/gateway_defs.h"

enum
{
  MS_PER_S = 1000,
  /// Part of the grace before SIGKILL that is kept for the last answers and an
  /// orderly exit, and its maximum.
  RESERVE_DIVISOR = 6,
  MAX_RESERVE_MS = 400,
  /// New requests are refused once a stop has lasted this long.
  STOP_REFUSE_MS = 3000,
};

static uint64_t
grace_ms (const gtw_gateway_t *gateway)
{
  return (uint64_t)(gateway->host.settings.grace_s * MS_PER_S);
}

uint64_t
gtw_grace_reserve_ms (const gtw_gateway_t *gateway)
{
  uint64_t share_ms = grace_ms (gateway) / RESERVE_DIVISOR;
  return share_ms < MAX_RESERVE_MS ? share_ms : MAX_RESERVE_MS;
}

uint64_t
gtw_grace_end_ms (const gtw_gateway_t *gateway)
{
  return gateway->stop_began_ms + grace_ms (gateway)
         - gtw_grace_reserve_ms (gateway);
}

uint64_t
gtw_stopped_ms (const gtw_gateway_t *gateway)
{
  return gtw_now_ms (gateway) - gateway->stop_began_ms;
}

bool
gtw_grace_refuses_new (const gtw_gateway_t *gateway)
{
  return gateway->stop_began_ms > 0
         && gtw_stopped_ms (gateway) > STOP_REFUSE_MS;
}

/// @return  How long requests of a route take at targets. With more routes
///          than entries, some take an entry from another.
static rto_timeout_t *
duration_of (const gtw_request_t *r)
{
  kb_slice_t route = kb_slice_str (r->route);
  uint64_t key = kb_hash (route.ptr, route.len_bytes, 0) | 1;
  gtw_duration_t *entries = r->gateway->durations;
  gtw_duration_t *entry = &entries[key / 2 % GTW_MAX_ROUTE_DURATIONS];
  for (uint64_t i = 0; i < GTW_MAX_ROUTE_DURATIONS; i++)
    {
      gtw_duration_t *probed
          = &entries[(key / 2 + i) % GTW_MAX_ROUTE_DURATIONS];
      if (probed->key != key && probed->key != 0)
        continue;
      entry = probed;
      break;
    }
  if (entry->key != key)
    {
      entry->key = key;
      rto_init (&entry->duration, 0, UINT32_MAX);
    }
  return &entry->duration;
}

void
gtw_grace_record_duration (const gtw_request_t *r)
{
  rto_answered (duration_of (r), gtw_now_ms (r->gateway) - r->sent_ms);
}

/// @return  How long the answer is expected to take; what nearly none exceeds,
///          for a request that may not run again.
static uint64_t
expected_duration_ms (const gtw_request_t *r)
{
  const rto_timeout_t *duration = duration_of (r);
  if (duration->mean_ms <= 0)
    return r->objective_ms - r->arrived_ms;
  return gtw_request_is_repeatable (r)
             ? (uint64_t)(duration->mean_ms + duration->deviation_ms)
             : rto_ms (duration);
}

bool
gtw_grace_leaves_time (const gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  if (gateway->stop_began_ms == 0 || !r->is_routed || r->is_head_written)
    return true;
  uint64_t end_ms = gtw_grace_end_ms (gateway);
  if (gtw_request_expiry_ms (r) <= end_ms)
    return true;
  if (!gtw_request_is_repeatable (r) && gtw_grace_refuses_new (gateway))
    return false;
  return gtw_now_ms (gateway) + expected_duration_ms (r) <= end_ms;
}
