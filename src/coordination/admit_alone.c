/// @file admit_alone.c
/// Requests that begin while no other one does (adm_alone_t).
#include "coordination/admit_defs.h"

enum
{
  /// After its first event a request still counts as beginning: engines ended
  /// up to 0.1 s after they began.
  BEGUN_MS = 150,
  /// Others are kept back for this long, though no first event comes: it may
  /// wait for memory, or its gateway may be gone.
  KEPT_MOST_MS = 1000,
  /// A request that is to begin alone keeps others back while those that are
  /// beginning finish. One of these may hang; after this it is declined, and
  /// another engine is asked.
  WAIT_MOST_MS = 500,
  /// An engine rests from it for this many times as long as it took.
  REST_PARTS = 4,
};

bool
adm_alone_is_kept (const adm_alone_t *alone, uint64_t now_ms)
{
  return now_ms < alone->until_ms;
}

bool
adm_alone_is_quiet (const adm_alone_t *alone, uint64_t now_ms)
{
  bool is_over = alone->begun_ms == 0 || now_ms - alone->begun_ms >= BEGUN_MS;
  return alone->beginning == 0 && is_over;
}

bool
adm_alone_is_over (const adm_alone_t *alone, const adm_ask_t *ask,
                   uint64_t now_ms)
{
  if (!ask->is_alone)
    return false;
  bool has_waited
      = ask->alone_from_ms > 0 && now_ms - ask->alone_from_ms > WAIT_MOST_MS;
  return has_waited || now_ms < alone->rest_until_ms;
}

/// Others are, or were, kept back for a while: rest from that.
static void
rest_after (adm_alone_t *alone, uint64_t from_ms, uint64_t until_ms)
{
  uint64_t rest_until_ms = until_ms + REST_PARTS * (until_ms - from_ms);
  if (rest_until_ms > alone->rest_until_ms)
    alone->rest_until_ms = rest_until_ms;
}

void
adm_alone_granted (adm_alone_t *alone, const adm_ask_t *ask, uint64_t now_ms)
{
  alone->beginning++;
  if (!ask->is_alone)
    return;
  alone->ask = ask;
  alone->from_ms = ask->alone_from_ms > 0 ? ask->alone_from_ms : now_ms;
  alone->until_ms = now_ms + KEPT_MOST_MS;
  rest_after (alone, alone->from_ms, alone->until_ms);
}

void
adm_alone_begun (adm_alone_t *alone, const adm_ask_t *ask, uint64_t now_ms)
{
  alone->beginning--;
  alone->begun_ms = now_ms;
  if (alone->ask != ask)
    return;
  alone->ask = NULL;
  if (now_ms >= alone->until_ms)
    return;
  alone->until_ms = now_ms + BEGUN_MS;
  alone->rest_until_ms = 0;
  rest_after (alone, alone->from_ms, alone->until_ms);
}

void
adm_alone_removed (adm_alone_t *alone, const adm_ask_t *ask)
{
  alone->beginning -= ask->is_reading;
  // It was declined after it kept others back in vain.
  if (ask->granted_ms == 0 && ask->alone_from_ms > 0)
    rest_after (alone, ask->alone_from_ms, ask->alone_from_ms + WAIT_MOST_MS);
  if (alone->ask != ask)
    return;
  alone->ask = NULL;
  alone->until_ms = 0;
}
