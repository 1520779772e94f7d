/// @file origins.h
/// What began a stream: the software version of a target. Targets of several
/// versions may serve one service, and what two of them write doesn't fit
/// together, so a stream may go on only at the version that began it. No I/O.
#ifndef KB_COORDINATION_ORIGINS_H
#define KB_COORDINATION_ORIGINS_H

#include <stdint.h>

typedef struct
{
  uint64_t service;  ///< Hash of the service's name; zero: no origin.
  uint64_t software; ///< Hash of the software version; zero: not known yet.
  uint64_t instance; ///< Hash of the target's incarnation.
} org_origin_t;

#endif
