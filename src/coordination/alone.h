/// @file alone.h
/// Requests that begin at a target while no other one does. Targets ended
/// under some requests as these began, and with them what others had there;
/// whether a target ends under one that begins alone is its own doing. No I/O;
/// time is an argument.
///
/// A short time after the first byte of an answer counts as starting, because
/// a target can end a moment after it began. A target rests from this for a
/// multiple of the time that it took, so that a caller exclusive sends such
/// requests without end keeps others back for a small part of the time only.
#ifndef KB_COORDINATION_ALONE_H
#define KB_COORDINATION_ALONE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /// After its first byte a request counts as starting for this long.
  ALN_STARTUP_MS = 150,
};

/// One request, as far as this matters.
typedef struct
{
  bool is_alone;    ///< To begin alone.
  bool is_starting; ///< Started; nothing has come of its answer.
  uint64_t
      waiting_since_ms; ///< Moment since when it keeps others back; zero: not.
} aln_request_t;

/// Who begins at one target.
typedef struct
{
  uint32_t starting;      ///< Requests that are.
  uint64_t first_byte_ms; ///< When a first byte came last; zero: never.
  const aln_request_t *exclusive; ///< Begins alone; NULL: none does.
  uint64_t blocked_since_ms;      ///< Since when it has kept others back.
  uint64_t blocked_until_ms;      ///< Nobody else starts before this.
  uint64_t cooldown_until_ms;     ///< No other one begins alone before this.
} aln_gate_t;

/// @return  Whether the next request in turn may start. One that is to begin
///          alone and may not keeps others back from now on.
bool aln_may_start (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms);
/// @return  Whether a request begins alone now, so that no other one starts.
bool aln_is_exclusive (const aln_gate_t *gate, uint64_t now_ms);
/// @return  Whether a request that is to begin alone should do so elsewhere:
///          the target rests from that, or it has waited for too long.
bool aln_is_refused (const aln_gate_t *gate, const aln_request_t *request,
                     uint64_t now_ms);
/// Note each start, each first byte and each end, also of one that waits.
void aln_started (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms);
void aln_first_byte (aln_gate_t *gate, aln_request_t *request,
                     uint64_t now_ms);
void aln_ended (aln_gate_t *gate, aln_request_t *request);

#endif
