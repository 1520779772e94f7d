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
adm_alone_is_over (const adm_ask_t *ask, uint64_t now_ms)
{
  return ask->is_alone && ask->alone_from_ms > 0
         && now_ms - ask->alone_from_ms > WAIT_MOST_MS;
}

void
adm_alone_granted (adm_alone_t *alone, const adm_ask_t *ask, uint64_t now_ms)
{
  alone->beginning++;
  if (!ask->is_alone)
    return;
  alone->ask = ask;
  alone->until_ms = now_ms + KEPT_MOST_MS;
}

void
adm_alone_begun (adm_alone_t *alone, const adm_ask_t *ask, uint64_t now_ms)
{
  alone->beginning--;
  alone->begun_ms = now_ms;
  if (alone->ask == ask)
    alone->until_ms = now_ms + BEGUN_MS;
}

void
adm_alone_removed (adm_alone_t *alone, const adm_ask_t *ask)
{
  alone->beginning -= ask->is_reading;
  if (alone->ask != ask)
    return;
  alone->ask = NULL;
  alone->until_ms = 0;
}
