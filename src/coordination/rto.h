/// @file rto.h
/// Timeout after which a call is repeated, computed from earlier answer times
/// like the retransmission timeout of TCP (RFC 6298): a mean, its deviation,
/// and backoff after calls without an answer. No I/O.
#ifndef KB_COORDINATION_RTO_H
#define KB_COORDINATION_RTO_H

#include <stdint.h>

typedef struct
{
  double mean_ms; ///< Mean answer time; zero: no answer yet.
  double deviation_ms;
  uint32_t unanswered; ///< Consecutive calls without an answer.
  uint32_t min_ms;
  uint32_t max_ms; ///< Also used before the first answer.
} rto_timeout_t;

/// @param min_ms  Lower bound: the granularity of the caller's clock.
void rto_init (rto_timeout_t *timeout, uint32_t min_ms, uint32_t max_ms);
void rto_answered (rto_timeout_t *timeout, uint64_t duration_ms);
void rto_unanswered (rto_timeout_t *timeout);
/// @return  Timeout of the next call, milliseconds.
uint32_t rto_ms (const rto_timeout_t *timeout);

#endif
