/// @file gateway_receivers.c
/// The sidecars at which gateways share what they know of a subject, without
/// knowing each other.
#include "gateway/gateway_defs.h"

gtw_target_t *
gtw_target_next_receiver (const gtw_gateway_t *gateway, uint64_t subject,
                          uint64_t *rank)
{
  gtw_target_t *best = NULL;
  uint64_t best_rank = 0;
  uint32_t at = 0;
  for (gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    {
      uint64_t own_rank
          = kb_hash (&t->address_hash, sizeof t->address_hash, subject);
      if (!gtw_target_is_in_contact (gateway, t) || own_rank >= *rank
          || own_rank <= best_rank)
        continue;
      best = t;
      best_rank = own_rank;
    }
  *rank = best_rank;
  return best;
}
