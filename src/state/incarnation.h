/// @file incarnation.h
/// Incarnations of a target. A target may restart under the same id, without
/// the state that it had before. Its id and its birth (start time) together
/// identify one incarnation.
///
/// Births are compared only between incarnations of the same id: they are
/// taken from the clock of the target's VM, and the clocks of two VMs differ.
/// When that clock is stepped back, a later incarnation may have an earlier
/// birth. An older birth is therefore rejected when it is reported once or
/// twice, as by a late write or a stale message, and accepted when it is
/// reported repeatedly, which only a running target does.
#ifndef KB_STATE_INCARNATION_H
#define KB_STATE_INCARNATION_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  INC_ID_BYTES = 64,
  /// Consecutive reports after which an older birth is accepted: heartbeats
  /// repeat it every 1.2 s, whereas a late write arrives once.
  INC_MIN_OLDER_REPORTS = 3,
};

typedef struct
{
  char id[INC_ID_BYTES];
  uint64_t born_ms; ///< Unix time of its start; zero: unknown.
} inc_t;

typedef enum
{
  INC_SAME,  ///< The known incarnation.
  INC_NEW,   ///< A new incarnation; it replaces the known one.
  INC_STALE, ///< An earlier incarnation; the report is to be ignored.
} inc_verdict_t;

/// Tracks the incarnation of one id.
typedef struct
{
  uint64_t born_ms;            ///< Zero: not reported yet.
  uint64_t older_born_ms;      ///< The older birth reported last.
  uint32_t older_report_count; ///< Consecutive reports of older_born_ms.
} inc_tracker_t;

/// Classify a report about an id by its birth, and update the tracker.
/// @param born_ms  The birth reported; the first one is taken as that of the
///                 known incarnation. Zero: the report names none and is about
///                 the known incarnation.
inc_verdict_t inc_observe_birth (inc_tracker_t *tracker, uint64_t born_ms);
/// @return  Whether a number is a valid birth: from 1970 to the year 5138.
bool inc_is_valid_birth (int64_t born_ms);

#endif
