#include "coordination/alone.h"

#include <stddef.h>

enum
{
  /// Others are kept back for this long, though nothing comes: the request may
  /// wait for memory, or its gateway may be gone.
  KEPT_MOST_MS = 1000,
  /// A request that is to begin alone keeps others back while those that are
  /// beginning finish. One of these may hang; after this it is refused, and
  /// another target is asked.
  WAIT_MOST_MS = 500,
  /// A target rests from it for this many times as long as it took.
  REST_PARTS = 4,
};

bool
aln_is_kept (const aln_gate_t *gate, uint64_t now_ms)
{
  return now_ms < gate->until_ms;
}

/// @return  Whether nobody is beginning.
static bool
is_quiet (const aln_gate_t *gate, uint64_t now_ms)
{
  bool is_over
      = gate->begun_ms == 0 || now_ms - gate->begun_ms >= ALN_BEGUN_MS;
  return gate->beginning == 0 && is_over;
}

bool
aln_may_start (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms)
{
  if (aln_is_kept (gate, now_ms))
    return false;
  if (!request->is_alone || is_quiet (gate, now_ms))
    return true;
  if (request->waited_ms == 0)
    request->waited_ms = now_ms;
  return false;
}

bool
aln_is_refused (const aln_gate_t *gate, const aln_request_t *request,
                uint64_t now_ms)
{
  if (!request->is_alone)
    return false;
  bool has_waited
      = request->waited_ms > 0 && now_ms - request->waited_ms > WAIT_MOST_MS;
  return has_waited || now_ms < gate->rest_until_ms;
}

/// Others are, or were, kept back for a while: rest from that.
static void
rest_after (aln_gate_t *gate, uint64_t from_ms, uint64_t until_ms)
{
  uint64_t rest_until_ms = until_ms + REST_PARTS * (until_ms - from_ms);
  if (rest_until_ms > gate->rest_until_ms)
    gate->rest_until_ms = rest_until_ms;
}

void
aln_started (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms)
{
  gate->beginning++;
  request->is_beginning = true;
  if (!request->is_alone)
    return;
  gate->who = request;
  gate->from_ms = request->waited_ms > 0 ? request->waited_ms : now_ms;
  request->waited_ms = 0;
  gate->until_ms = now_ms + KEPT_MOST_MS;
  rest_after (gate, gate->from_ms, gate->until_ms);
}

void
aln_begun (aln_gate_t *gate, aln_request_t *request, uint64_t now_ms)
{
  if (!request->is_beginning)
    return;
  request->is_beginning = false;
  gate->beginning--;
  gate->begun_ms = now_ms;
  if (gate->who != request)
    return;
  gate->who = NULL;
  if (now_ms >= gate->until_ms)
    return;
  gate->until_ms = now_ms + ALN_BEGUN_MS;
  gate->rest_until_ms = 0;
  rest_after (gate, gate->from_ms, gate->until_ms);
}

void
aln_ended (aln_gate_t *gate, aln_request_t *request)
{
  bool has_started = request->is_beginning || gate->who == request;
  gate->beginning -= request->is_beginning;
  request->is_beginning = false;
  // It kept others back in vain.
  if (!has_started && request->waited_ms > 0)
    rest_after (gate, request->waited_ms, request->waited_ms + WAIT_MOST_MS);
  if (gate->who != request)
    return;
  gate->who = NULL;
  gate->until_ms = 0;
}
