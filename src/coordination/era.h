/// @file era.h
/// Detects that the store came back from an older copy. Its changes since that
/// copy are lost, and their revisions are given out again, so that revisions
/// are comparable within one era only. A store that knows the term states its
/// era with each answer, and raises it by one each time; of other stores, a
/// revision that went back is the only sign. No I/O.
#ifndef KB_COORDINATION_ERA_H
#define KB_COORDINATION_ERA_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  ERA_CURRENT,  ///< Of the known era.
  ERA_RESTORED, ///< The first answer of another era, which is now the known
                ///< one. Changes may be missing from it.
  ERA_STALE,    ///< Of an earlier era; to be ignored.
} era_verdict_t;

/// An answer of the store, as far as the era depends on it.
typedef struct
{
  uint64_t era;   ///< Zero: not stated.
  uint64_t as_of; ///< Revision of the store.
  /// Highest revision that was known when the read was sent. The store's
  /// revision is never lower in the same era.
  uint64_t known_revision;
} era_answer_t;

typedef struct
{
  uint64_t era;         ///< Zero: none was stated.
  uint64_t revision;    ///< Highest of this era; zero: no answer yet.
  uint32_t stale_count; ///< Answers of an earlier era in a row.
} era_tracker_t;

/// Judge an answer, and update what is known.
era_verdict_t era_observe (era_tracker_t *tracker, const era_answer_t *answer);

#endif
