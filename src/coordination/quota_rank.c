#include "coordination/quota_rank.h"

void
qrk_init (qrk_rank_t *rank, uint64_t left_ms)
{
  *rank = (qrk_rank_t){ .changed_ms = left_ms };
}

void
qrk_add (qrk_rank_t *rank, const qrk_place_t *heard, uint64_t now_ms)
{
  if (rank->first.link != 0 && heard->rank <= rank->first.rank)
    {
      if (rank->second.link == 0 || heard->rank > rank->second.rank)
        rank->second = *heard;
      return;
    }
  rank->second = rank->first;
  rank->first = *heard;
  if (heard->heard_since_ms == 0)
    rank->first.heard_since_ms = now_ms;
}

void
qrk_note_silent (qrk_rank_t *rank, const qrk_place_t *silent)
{
  if (silent->rank > rank->first.rank && silent->silent_ms > rank->changed_ms)
    rank->changed_ms = silent->silent_ms;
}

uint64_t
qrk_first_since_ms (const qrk_rank_t *rank)
{
  uint64_t heard_ms = rank->first.heard_since_ms;
  return heard_ms > rank->changed_ms ? heard_ms : rank->changed_ms;
}
