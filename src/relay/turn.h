/// @file turn.h
/// Chooses which of many daemons that have the same data send it to a peer
/// that lacks it. If every gateway sent a new configuration to every sidecar
/// and back, the 10 Mbit/s links of a fleet of 25 gateways and 46 sidecars
/// would be full for 0.8 s, which delays every stream.
#ifndef KB_RELAY_TURN_H
#define KB_RELAY_TURN_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

enum
{
  /// Length of a turn. The senders change with it, since one of them may lack
  /// the data itself.
  TRN_PERIOD_MS = 400,
  TRN_FANOUT = 2, ///< Mean number of senders, or of first receivers.
  TRN_MIN_REPORT_INTERVAL_MS = 100,
  TRN_REPORT_INTERVAL_PER_GATEWAY_MS = 8,
  /// Report interval of a sidecar when nothing changes. Gateways consider it
  /// lost after three.
  TRN_HEARTBEAT_MS = 400,
};

/// @return  Shortest time between two load reports of a sidecar. It grows with
///          the number of gateways, so that the messages of a fleet grow with
///          its size, not with its square; at most TRN_HEARTBEAT_MS.
static inline uint64_t
trn_report_interval_ms (uint32_t gateway_count)
{
  uint64_t pause_ms
      = TRN_REPORT_INTERVAL_PER_GATEWAY_MS * (uint64_t)gateway_count;
  if (pause_ms < TRN_MIN_REPORT_INTERVAL_MS)
    return TRN_MIN_REPORT_INTERVAL_MS;
  return pause_ms < TRN_HEARTBEAT_MS ? pause_ms : (uint64_t)TRN_HEARTBEAT_MS;
}

/// @param sender        Hash of the daemon that has the data.
/// @param receiver      Hash of the peer that lacks it.
/// @param sender_count  How many daemons have the data.
/// @return              Whether it is the sender's turn to send.
static inline bool
trn_has_turn (uint64_t sender, uint64_t receiver, uint32_t sender_count,
              uint64_t now_ms)
{
  if (sender_count <= TRN_FANOUT)
    return true;
  uint64_t parts[3] = { sender, receiver, now_ms / TRN_PERIOD_MS };
  return kb_hash (parts, sizeof parts, 0) % sender_count < TRN_FANOUT;
}

/// Choose the peers that get new data at once, before any turn: about
/// TRN_FANOUT of all that lack it, different ones for each sender. If all
/// gateways sent a new configuration to the first two sidecars of their lists,
/// these would be the same two: with 100 gateways the busiest sidecar received
/// 288 kB/s, the median one 28 kB/s.
/// @param receiver_count  How many peers lack the data.
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
