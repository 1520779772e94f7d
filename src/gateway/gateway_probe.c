/// @file gateway_probe.c
/// Test connections to a target of which attempts broke off. A broken
/// connection alone is no proof of its end, since links and targets that go on
/// also reset connections.
#include <stdlib.h>

#include "gateway/gateway_suspects.h"
#include "transport/probe.h"

typedef struct
{
  prb_probe_t probe; ///< First.
  gtw_gateway_t *gateway;
  uint64_t target_key; ///< The target may be freed meanwhile.
} target_probe_t;

static void
probe_on_result (prb_probe_t *probe, prb_result_t result)
{
  target_probe_t *own = (target_probe_t *)probe;
  gtw_gateway_t *gateway = own->gateway;
  gtw_target_t *target = kb_map_get (&gateway->targets, own->target_key);
  free (own);
  if (target == NULL)
    return;
  target->is_probed = false;
  if (result == PRB_REFUSED)
    gtw_quarantine_record_target_end (gateway, target, "refused");
}

static const prb_events_t probe_events = { probe_on_result };

void
gtw_probe_start (gtw_gateway_t *gateway, gtw_target_t *target)
{
  if (target->is_probed)
    return;
  target->is_probed = true;
  target_probe_t *own = kb_alloc (sizeof *own);
  own->gateway = gateway;
  own->target_key = target->key;
  prb_probe_start (&own->probe, &probe_events, &gateway->host.loop,
                   &gateway->host.timers, &target->list_entry.address);
}
