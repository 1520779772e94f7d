#include "coordination/alone.h"

#include <stddef.h>

enum
{
  /// Others are blocked for at most this long if no first byte arrives: the
  /// request may wait for memory, or its gateway may have failed.
  MAX_BLOCK_MS = 1000,
  /// A request that must start alone blocks others while it waits for starting
  /// ones, of which one may hang. After this time it is refused and sent to
  /// another target.
  MAX_WAIT_MS = 500,
  /// Others are blocked for at most so long after ALN_STARTUP_MS until a
  /// target answers that has closed a connection. Longer than a report takes.
  MAX_SETTLE_MS = 100,
  /// Length of the cooldown, in durations of the preceding block.
  COOLDOWN_FACTOR = 4,
};

void
aln_gate_init_running (aln_gate_t *gate, uint64_t now_ms)
{
  *gate = (aln_gate_t){ .cooldown_until_ms = now_ms + MAX_BLOCK_MS };
}

void
aln_confirm_alive (aln_gate_t *gate, uint32_t broken_starts)
{
  gate->confirmed_starts = broken_starts;
}

bool
aln_awaits_answer (const aln_gate_t *gate)
{
  return gate->confirmed_starts != gate->broken_starts
         || gate->unsettled_until_ms != 0;
}

bool
aln_is_still_alone (const aln_request_t *request)
{
  return request->is_alone && !request->is_joined;
}

bool
aln_is_exclusive (const aln_gate_t *gate, uint64_t now_ms)
{
  return now_ms < gate->blocked_until_ms;
}

/// @return  Whether no request is starting.
static bool
is_none_starting (const aln_gate_t *gate, uint64_t now_ms)
{
  bool is_last_start_over = gate->first_byte_ms == 0
                            || now_ms - gate->first_byte_ms >= ALN_STARTUP_MS;
  return gate->starting == 0 && is_last_start_over;
}

bool
aln_may_start (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms)
{
  if (aln_is_exclusive (gate, now_ms))
    return false;
  if (!request->is_alone
      || (!aln_awaits_answer (gate) && is_none_starting (gate, now_ms)))
    return true;
  if (request->waiting_since_ms == 0)
    request->waiting_since_ms = now_ms;
  return false;
}

bool
aln_is_refused (const aln_gate_t *gate, const aln_request_t *request,
                uint64_t now_ms)
{
  if (!request->is_alone)
    return false;
  bool has_waited = request->waiting_since_ms > 0
                    && now_ms - request->waiting_since_ms > MAX_WAIT_MS;
  return has_waited || now_ms < gate->cooldown_until_ms;
}

/// Extend the cooldown for a period in which others are or were blocked.
static void
cooldown_extend (aln_gate_t *gate, uint64_t blocked_since_ms,
                 uint64_t blocked_until_ms)
{
  uint64_t cooldown_until_ms
      = blocked_until_ms
        + COOLDOWN_FACTOR * (blocked_until_ms - blocked_since_ms);
  if (cooldown_until_ms > gate->cooldown_until_ms)
    gate->cooldown_until_ms = cooldown_until_ms;
}

/// The block ends earlier than the cooldown assumed.
static void
cooldown_restart (aln_gate_t *gate, uint64_t blocked_until_ms)
{
  gate->cooldown_until_ms = 0;
  cooldown_extend (gate, gate->blocked_since_ms, blocked_until_ms);
}

/// A request that ends targets only after a long time would otherwise be
/// joined by others each time.
static uint64_t
max_block_ms (const aln_request_t *request)
{
  uint32_t patience = request->patience < ALN_MAX_PATIENCE ? request->patience
                                                           : ALN_MAX_PATIENCE;
  return (uint64_t)MAX_BLOCK_MS << patience;
}

/// @return  The request that was starting alone until now; NULL: none.
static aln_request_t *
exclusive_join (aln_gate_t *gate)
{
  aln_request_t *joined = gate->exclusive;
  if (joined == NULL || joined->is_joined)
    return NULL;
  joined->is_joined = true;
  return joined;
}

aln_request_t *
aln_started (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms)
{
  aln_request_t *joined = exclusive_join (gate);
  gate->starting++;
  request->is_starting = true;
  request->is_joined = false;
  if (!request->is_alone)
    return joined;
  gate->exclusive = request;
  gate->blocked_since_ms
      = request->waiting_since_ms > 0 ? request->waiting_since_ms : now_ms;
  request->waiting_since_ms = 0;
  gate->blocked_until_ms = now_ms + max_block_ms (request);
  cooldown_extend (gate, gate->blocked_since_ms, gate->blocked_until_ms);
  return joined;
}

void
aln_first_byte (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms)
{
  if (!request->is_starting)
    return;
  request->is_starting = false;
  gate->starting--;
  gate->first_byte_ms = now_ms;
  if (gate->exclusive != request)
    return;
  gate->exclusive = NULL;
  if (now_ms >= gate->blocked_until_ms)
    return;
  gate->blocked_until_ms = now_ms + ALN_STARTUP_MS;
  cooldown_restart (gate, gate->blocked_until_ms);
}

void
aln_answered (aln_gate_t *gate, aln_request_t *request)
{
  gate->starting -= request->is_starting;
  request->is_starting = false;
}

void
aln_block_ended (aln_gate_t *gate, const aln_request_t *request,
                 uint64_t now_ms)
{
  if (gate->exclusive == request && now_ms < gate->blocked_until_ms)
    cooldown_restart (gate, now_ms);
}

void
aln_broke_after_first_byte (aln_gate_t *gate)
{
  gate->broken_starts++;
}

void
aln_closed_alone (aln_gate_t *gate, uint64_t now_ms)
{
  gate->unsettled_until_ms = now_ms + ALN_STARTUP_MS;
  gate->blocked_until_ms = gate->unsettled_until_ms + MAX_SETTLE_MS;
  cooldown_extend (gate, gate->blocked_since_ms, gate->blocked_until_ms);
}

bool
aln_settle (aln_gate_t *gate, uint64_t asked_ms, uint64_t now_ms)
{
  if (gate->unsettled_until_ms == 0 || asked_ms < gate->unsettled_until_ms)
    return false;
  gate->unsettled_until_ms = 0;
  if (now_ms < gate->blocked_until_ms)
    {
      gate->blocked_until_ms = now_ms;
      cooldown_restart (gate, now_ms);
    }
  return true;
}

void
aln_ended (aln_gate_t *gate, aln_request_t *request)
{
  bool has_started = request->is_starting || gate->exclusive == request;
  gate->starting -= request->is_starting;
  gate->broken_starts += request->is_starting;
  request->is_starting = false;
  // It blocked others without having started.
  if (!has_started && request->waiting_since_ms > 0)
    cooldown_extend (gate, request->waiting_since_ms,
                     request->waiting_since_ms + MAX_WAIT_MS);
  if (gate->exclusive != request)
    return;
  gate->exclusive = NULL;
  gate->blocked_until_ms = 0;
}
