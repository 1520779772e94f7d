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
///
/// A start that ends without a first byte, or soon after it without proof that
/// the target lives, may have ended the target, or may still go on there.
/// Until the target has proved that it is alive since, no request starts
/// alone: it would be taken for the cause.
#ifndef KB_COORDINATION_ALONE_H
#define KB_COORDINATION_ALONE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /// A request counts as starting until this long after its first byte.
  ALN_STARTUP_MS = 150,
  ALN_MAX_PATIENCE = 3,
};

/// State of one request.
typedef struct
{
  bool is_alone;             ///< Must start alone.
  uint32_t patience;         ///< How often the time for which it may block
                             ///< others is doubled.
  bool is_joined;            ///< Another one started before its first byte.
  bool is_starting;          ///< Started, no byte of its answer received.
  uint64_t waiting_since_ms; ///< When it began to block others; zero: not.
} aln_request_t;

/// Starts at one target.
typedef struct
{
  uint32_t starting;          ///< Number of starting requests.
  uint64_t first_byte_ms;     ///< When one last arrived; zero: never.
  aln_request_t *exclusive;   ///< Starting alone; NULL: none.
  uint64_t blocked_since_ms;  ///< When it began to block others.
  uint64_t blocked_until_ms;  ///< No other request starts before this.
  uint64_t cooldown_until_ms; ///< No other one starts alone before this.
  uint32_t broken_starts;     ///< Starts that may have ended the target.
  uint32_t confirmed_starts;  ///< Those after which it was alive.
  /// An answer asked for from this moment on shows that the target has not
  /// ended with the request that started alone last; zero: none is awaited.
  uint64_t unsettled_until_ms;
} aln_gate_t;

/// Begin to watch a target at which requests of an earlier process may be
/// starting: none starts alone for a while.
void aln_gate_init_running (aln_gate_t *gate, uint64_t now_ms);
/// The target has answered a question that was asked when the gate had this
/// many broken starts.
void aln_confirm_alive (aln_gate_t *gate, uint32_t broken_starts);
/// @return  Whether nothing starts alone until the target answers.
bool aln_awaits_answer (const aln_gate_t *gate);
/// @return  Whether a request started alone and no other one has started there
///          before its first byte.
bool aln_is_still_alone (const aln_request_t *request);
/// @return  Whether the next queued request may start. One that must start
///          alone and may not yet blocks others from now on.
bool aln_may_start (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms);
/// @return  Whether a request is starting alone, so that no other may start.
bool aln_is_exclusive (const aln_gate_t *gate, uint64_t now_ms);
/// @return  Whether a request that must start alone should use another target:
///          this one is in its cooldown, or the request has waited too long.
bool aln_is_refused (const aln_gate_t *gate, const aln_request_t *request,
                     uint64_t now_ms);
/// A request starts.
/// @return  The request that was starting alone until now; NULL: none.
aln_request_t *aln_started (aln_gate_t *gate, aln_request_t *request,
                            uint64_t now_ms);
void aln_first_byte (aln_gate_t *gate, aln_request_t *request,
                     uint64_t now_ms);
/// A request that started among others was answered; its first byte was not
/// reported.
void aln_answered (aln_gate_t *gate, aln_request_t *request);
/// A request ended soon after its first byte, and its target may have ended
/// with it: it broke off, or its answer ended with its connection.
void aln_broke_after_first_byte (aln_gate_t *gate);
/// The target ended the answer of a request that started alone, soon after its
/// first byte, and closed the connection: it may end within ALN_STARTUP_MS.
/// Nothing else starts until it is known whether it has, or for a short time.
/// Call it besides aln_broke_after_first_byte().
void aln_closed_alone (aln_gate_t *gate, uint64_t now_ms);
/// The target has answered a question.
/// @param asked_ms  When it was asked.
/// @return          Whether this shows that it lived on after
///                  aln_closed_alone().
bool aln_settle (aln_gate_t *gate, uint64_t asked_ms, uint64_t now_ms);
/// A request ended that may have started alone and received no first byte: the
/// cooldown follows from the time for which it blocked others. Call it before
/// aln_ended().
void aln_block_ended (aln_gate_t *gate, const aln_request_t *request,
                      uint64_t now_ms);
/// Call this at each end, also of a request that was still waiting.
void aln_ended (aln_gate_t *gate, aln_request_t *request);

#endif
