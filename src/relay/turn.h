/// @file turn.h
/// Who of many passes something on that all of them have. Without turns every
/// gateway would send a new configuration to every sidecar and back, which
/// filled 10 Mbit/s links of a fleet of 25 by 46 for 0.8 s, and every stream
/// with them.
#ifndef KB_RELAY_TURN_H
#define KB_RELAY_TURN_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  TRN_PERIOD_MS = 400, ///< Turns change, so that one who lacks it is replaced.
  TRN_AT_ONCE = 2,     ///< How many have their turn at one time, about.
  TRN_TELL_LEAST_MS = 100,
  TRN_TELL_PER_GATEWAY_MS = 8,
  /// Of sidecars when nothing changes; gateways give up after three.
  TRN_HEARTBEAT_MS = 400,
};

/// @return  Shortest time between two words of load to the gateways: longer
///          for each of them, so that the messages of a large fleet grow with
///          its size, not with its square; a heartbeat at the most.
static inline uint64_t
trn_tell_pause_ms (uint32_t gateways)
{
  uint64_t pause_ms = TRN_TELL_PER_GATEWAY_MS * (uint64_t)gateways;
  if (pause_ms < TRN_TELL_LEAST_MS)
    return TRN_TELL_LEAST_MS;
  return pause_ms < TRN_HEARTBEAT_MS ? pause_ms : (uint64_t)TRN_HEARTBEAT_MS;
}

/// @param own     Hash of the one that would pass it on.
/// @param peer    Hash of the one that lacks it.
/// @param sharers How many could pass it on.
static inline bool
trn_is_mine (uint64_t own, uint64_t peer, uint32_t sharers, uint64_t now_ms)
{
  if (sharers <= TRN_AT_ONCE)
    return true;
  uint64_t parts[3] = { own, peer, now_ms / TRN_PERIOD_MS };
  return kb_hash (parts, sizeof parts, 0) % sharers < TRN_AT_ONCE;
}

/// Who gets something new at once, before the turns: about two of all that
/// lack it, others for each giver. When all gateways gave a new configuration
/// to the first two sidecars of their lists, these were the same two: at 100
/// gateways the busiest sidecar took in 288 kB a second, the one in the
/// middle 28.
/// @param receivers  How many lack it.
static inline bool
trn_is_first_receiver (uint64_t own, uint64_t peer, uint32_t receivers)
{
  if (receivers <= TRN_AT_ONCE)
    return true;
  uint64_t parts[2] = { own, peer };
  return kb_hash (parts, sizeof parts, 0) % receivers < TRN_AT_ONCE;
}

#endif
