/// @file rto.h
/// How long an answer may take before the call is made again, learned from the
/// answers so far as TCP learns its retransmission timeout (RFC 6298): a mean,
/// its deviation, and a longer timeout after each call without an answer. No
/// I/O.
#ifndef KB_COORDINATION_RTO_H
#define KB_COORDINATION_RTO_H

#include <stdint.h>

typedef struct
{
  double mean_ms; ///< Zero: no answer yet.
  double deviation_ms;
  uint32_t unanswered; ///< Calls in a row.
  uint32_t min_ms;
  uint32_t max_ms; ///< Also before any answer.
} rto_timeout_t;

/// @param min_ms  Never shorter: the granularity of the caller's clock.
void rto_init (rto_timeout_t *timeout, uint32_t min_ms, uint32_t max_ms);
void rto_answered (rto_timeout_t *timeout, uint64_t took_ms);
void rto_unanswered (rto_timeout_t *timeout);
/// @return  Timeout of the next call, milliseconds.
uint32_t rto_ms (const rto_timeout_t *timeout);

#endif
