/// @file accept.h
/// Accepts new connections of a listener by the decisions of
/// coordination/intake.h.
#ifndef KB_RELAY_ACCEPT_H
#define KB_RELAY_ACCEPT_H

#include "coordination/intake.h"
#include "transport/listener.h"

typedef struct
{
  lsn_policy_t policy; ///< First.
  itk_intake_t intake;
  /// @return  Whether there are descriptors and memory for more connections;
  ///          NULL: always.
  bool (*has_room) (const void *owner);
  const void *owner;    ///< Of has_room.
  uint32_t turned_away; ///< Times that waiting connections were turned away.
} acc_accept_t;

void acc_init (acc_accept_t *accept);

#endif
