/// @file alone.h
/// Starts suspect requests at a target while no other request starts there.
/// Some requests make a target's process end when they start, and the open
/// requests of others fail with it; if a target ends while a request starts
/// alone, that request is the cause. No I/O; time is an argument.
///
/// A request counts as starting until a short time after the first byte of its
/// answer, because a target can end just after it. A start alone is
/// followed by a cooldown of a multiple of its duration, so that a caller who
/// keeps sending such requests blocks others for a small part of the time.
#ifndef KB_COORDINATION_ALONE_H
#define KB_COORDINATION_ALONE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /// A request counts as starting until this long after its first byte.
  ALN_STARTUP_MS = 150,
};

/// State of one request.
typedef struct
{
  bool is_alone;             ///< Must start alone.
  bool is_starting;          ///< Started, no byte of its answer received.
  uint64_t waiting_since_ms; ///< When it began to block others; zero: not.
} aln_request_t;

/// Starts at one target.
typedef struct
{
  uint32_t starting;              ///< Number of starting requests.
  uint64_t first_byte_ms;         ///< When one last arrived; zero: never.
  const aln_request_t *exclusive; ///< Starting alone; NULL: none.
  uint64_t blocked_since_ms;      ///< When it began to block others.
  uint64_t blocked_until_ms;      ///< No other request starts before this.
  uint64_t cooldown_until_ms;     ///< No other one starts alone before this.
} aln_gate_t;

/// @return  Whether the next queued request may start. One that must start
///          alone and may not yet blocks others from now on.
bool aln_may_start (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms);
/// @return  Whether a request is starting alone, so that no other may start.
bool aln_is_exclusive (const aln_gate_t *gate, uint64_t now_ms);
/// @return  Whether a request that must start alone should use another target:
///          this one is in its cooldown, or the request has waited too long.
bool aln_is_refused (const aln_gate_t *gate, const aln_request_t *request,
                     uint64_t now_ms);
/// Call these at each start, first byte and end, also at the end of a request
/// that was still waiting.
void aln_started (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms);
void aln_first_byte (aln_gate_t *gate, aln_request_t *request,
                     uint64_t now_ms);
void aln_ended (aln_gate_t *gate, aln_request_t *request);

#endif
