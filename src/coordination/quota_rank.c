#include "coordination/quota_rank.h"

void
qrk_init (qrk_ranking_t *rank, uint64_t removed_ms)
{
  *rank = (qrk_ranking_t){ .better_seen_ms = removed_ms };
}

void
qrk_add (qrk_ranking_t *rank, const qrk_candidate_t *candidate,
         uint64_t now_ms)
{
  if (rank->first.link != 0 && candidate->rank <= rank->first.rank)
    {
      if (rank->second.link == 0 || candidate->rank > rank->second.rank)
        rank->second = *candidate;
      return;
    }
  rank->second = rank->first;
  rank->first = *candidate;
  if (candidate->contact_since_ms == 0)
    rank->first.contact_since_ms = now_ms;
}

void
qrk_add_unreachable (qrk_ranking_t *rank, const qrk_candidate_t *lost)
{
  if (lost->rank > rank->first.rank
      && lost->contact_lost_ms > rank->better_seen_ms)
    rank->better_seen_ms = lost->contact_lost_ms;
}

uint64_t
qrk_first_since_ms (const qrk_ranking_t *rank)
{
  uint64_t contact_ms = rank->first.contact_since_ms;
  return contact_ms > rank->better_seen_ms ? contact_ms : rank->better_seen_ms;
}
