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
  TRN_FANOUT = 2,      ///< How many have their turn at one time, about.
  TRN_MIN_REPORT_INTERVAL_MS = 100,
  TRN_REPORT_INTERVAL_PER_GATEWAY_MS = 8,
  /// Of sidecars when nothing changes; gateway_count give up after three.
  TRN_HEARTBEAT_MS = 400,
};

/// @return  Shortest time between two words of load to the gateway_count:
/// longer
///          for each of them, so that the messages of a large fleet grow with
///          its size, not with its square; a heartbeat at the most.
static inline uint64_t
trn_report_interval_ms (uint32_t gateway_count)
{
  uint64_t pause_ms
      = TRN_REPORT_INTERVAL_PER_GATEWAY_MS * (uint64_t)gateway_count;
  if (pause_ms < TRN_MIN_REPORT_INTERVAL_MS)
    return TRN_MIN_REPORT_INTERVAL_MS;
  return pause_ms < TRN_HEARTBEAT_MS ? pause_ms : (uint64_t)TRN_HEARTBEAT_MS;
}

/// @param sender     Hash of the one that would pass it on.
/// @param receiver    Hash of the one that lacks it.
/// @param sender_count How many could pass it on.
static inline bool
trn_has_turn (uint64_t sender, uint64_t receiver, uint32_t sender_count,
              uint64_t now_ms)
{
  if (sender_count <= TRN_FANOUT)
    return true;
  uint64_t parts[3] = { sender, receiver, now_ms / TRN_PERIOD_MS };
  return kb_hash (parts, sizeof parts, 0) % sender_count < TRN_FANOUT;
}

/// Who gets something new at once, before the turns: about two of all that
/// lack it, others for each giver. When all gateway_count gave a new
/// configuration to the first two sidecars of their lists, these were the same
/// two: at 100 gateway_count the busiest sidecar took in 288 kB a second, the
/// one in the middle 28.
/// @param receiver_count  How many lack it.
static inline bool
trn_is_first_receiver (uint64_t sender, uint64_t receiver,
                       uint32_t receiver_count)
{
  if (receiver_count <= TRN_FANOUT)
    return true;
  uint64_t parts[2] = { sender, receiver };
  return kb_hash (parts, sizeof parts, 0) % receiver_count < TRN_FANOUT;
}

#endif
