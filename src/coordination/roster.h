/// @file roster.h
/// Which targets are listed, kept from a list that lags: entries lapse while
/// the store is away though their targets live, and several may vanish at one
/// moment. No I/O; time is an argument.
#ifndef KB_COORDINATION_ROSTER_H
#define KB_COORDINATION_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/incarnation.h"
#include "state/map.h"

/// An id that is listed, or was a moment ago.
typedef struct
{
  char id[INC_ID_BYTES];
  uint64_t range_mark;   ///< The last whole range that held it.
  uint64_t remove_at_ms; ///< Zero: listed.
  bool has_birth_time;   ///< Its target does, so that each entry must.
} ros_entry_t;

typedef struct
{
  kb_map_t entries;
  uint64_t range_count;
  uint64_t
      mass_loss_retain_ms; ///< Targets that vanish together are kept for this.
} ros_roster_t;

/// @param leave_bound_ms  A leaving target gets nothing new after this.
void ros_init (ros_roster_t *roster, uint64_t leave_bound_ms);
void ros_finish (ros_roster_t *roster);
/// An entry names a target.
/// @return  Whether its id was not known.
bool ros_list (ros_roster_t *roster, const inc_t *incarnation);
/// @return  Whether an entry may name a target: one that told its birth before
///          tells it always.
bool ros_can_list (const ros_roster_t *roster, const inc_t *incarnation);
/// @return  When targets that vanish now are taken as gone.
/// @param missing_count         How many vanish at this moment.
/// @param retain_until_ms  Entries may have lapsed: kept until then.
uint64_t ros_removal_ms (const ros_roster_t *roster, uint32_t missing_count,
                         uint64_t retain_until_ms, uint64_t now_ms);
/// An entry is gone, or names no target any more. Unknown ids change nothing.
void ros_unlist (ros_roster_t *roster, const char *id, uint64_t remove_at_ms);
/// A whole range follows: what it does not list is missing at its end.
void ros_range_begin (ros_roster_t *roster);
void ros_range_end (ros_roster_t *roster, uint64_t retain_until_ms,
                    uint64_t now_ms);
/// Hand out one target whose time has come, and forget it.
/// @return  False when there is none.
bool ros_pop_expired (ros_roster_t *roster, uint64_t now_ms,
                      char id[INC_ID_BYTES]);
/// @return  Whether some target is still kept.
bool ros_has_pending_removals (const ros_roster_t *roster);
/// @return  Time for which targets that vanish together are kept,
///          milliseconds.
uint64_t ros_mass_loss_retain_ms (uint64_t leave_bound_ms);

#endif
