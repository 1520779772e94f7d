/// @file quota_rank.h
/// Which of the sidecars that a gateway reaches lends a workspace's quota
/// (quota.h), which one is next, and since when the first one has been first.
/// All gateways rank the sidecars in the same order. No I/O; time is an
/// argument.
///
/// Pass all reachable sidecars to qrk_add first, then the unreachable ones to
/// qrk_add_unreachable.
#ifndef KB_COORDINATION_QUOTA_RANK_H
#define KB_COORDINATION_QUOTA_RANK_H

#include <stdint.h>

/// A sidecar, as ranked for one workspace.
typedef struct
{
  uint64_t link;             ///< Zero: none.
  uint64_t rank;             ///< The highest is the first.
  uint64_t incarnation;      ///< Of the sidecar's process.
  uint64_t contact_since_ms; ///< Without a gap; zero: since now.
  uint64_t contact_lost_ms;  ///< When it became unreachable; zero: never.
} qrk_candidate_t;

typedef struct
{
  qrk_candidate_t first;
  qrk_candidate_t second;
  uint64_t better_seen_ms; ///< When a higher one was last reachable.
} qrk_ranking_t;

/// @param removed_ms  When a sidecar was last removed from the list; it may
///                    have ranked higher.
void qrk_init (qrk_ranking_t *rank, uint64_t removed_ms);
void qrk_add (qrk_ranking_t *rank, const qrk_candidate_t *candidate,
              uint64_t now_ms);
/// Accounts for an unreachable sidecar. Only one that ranks higher than the
/// first affects since when the first has been first; in a fleet of hundreds
/// some lower one always comes or goes.
void qrk_add_unreachable (qrk_ranking_t *rank, const qrk_candidate_t *lost);
/// @return  Since when the first has been the first.
uint64_t qrk_first_since_ms (const qrk_ranking_t *rank);

#endif
