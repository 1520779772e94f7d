/// @file quota_rank.h
/// Which of the sidecars that a gateway hears lends a workspace's quota
/// (quota.h), which would be next, and since when the first is first. All
/// gateways rank them alike. No I/O; time is an argument.
///
/// Pass all sidecars that are candidate to qrk_add, then those that are not to
/// qrk_add_unreachable.
#ifndef KB_COORDINATION_QUOTA_RANK_H
#define KB_COORDINATION_QUOTA_RANK_H

#include <stdint.h>

/// A sidecar as it stands for one workspace.
typedef struct
{
  uint64_t link;             ///< Zero: none.
  uint64_t rank;             ///< Better ones are higher.
  uint64_t incarnation;      ///< Of the sidecar's process.
  uint64_t contact_since_ms; ///< Without a gap; zero: from now on.
  uint64_t contact_lost_ms;  ///< When it was candidate no more; zero: never.
} qrk_candidate_t;

typedef struct
{
  qrk_candidate_t first;
  qrk_candidate_t second;
  uint64_t better_seen_ms; ///< When a better one was there last.
} qrk_ranking_t;

/// @param removed_ms  When a sidecar left the list last: it may have been
/// better.
void qrk_init (qrk_ranking_t *rank, uint64_t removed_ms);
void qrk_add (qrk_ranking_t *rank, const qrk_candidate_t *candidate,
              uint64_t now_ms);
/// A better one that fell lost made the first what it is. Others that come
/// and go change nothing, and among hundreds some always do.
void qrk_add_unreachable (qrk_ranking_t *rank, const qrk_candidate_t *lost);
/// @return  Since when the first would have been named.
uint64_t qrk_first_since_ms (const qrk_ranking_t *rank);

#endif
