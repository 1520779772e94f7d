/// @file roster.h
/// Set of listed targets, derived from a list that may be wrong for a while:
/// leases of live targets expire while the store is unreachable, and several
/// entries may disappear at once. Targets whose entries disappear are
/// therefore retained for some time. A target whose entry cannot be read is
/// neither gone nor confirmed: it is held for a limited time. A list that was
/// read from an older copy of the store does not bring back what is known to
/// be gone. No I/O; time is an argument.
#ifndef KB_COORDINATION_ROSTER_H
#define KB_COORDINATION_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/incarnation.h"
#include "state/map.h"

enum
{
  ROS_MAX_GONE = 1024,
};

/// A target id that is listed, or was listed until recently.
typedef struct
{
  char id[INC_ID_BYTES];
  uint64_t range_mark;   ///< Number of the last full range with this id.
  uint64_t remove_at_ms; ///< Zero: still listed.
  bool has_birth_time;   ///< Its entries must state the birth time.
  uint64_t born_ms;      ///< Of the last entry.
  /// Of all entries. The target's clock may have been stepped back since.
  uint64_t latest_born_ms;
  bool is_leaving; ///< As the last entry said.
  /// Its entry cannot be read, and what was read last holds until then; zero:
  /// it can.
  uint64_t held_until_ms;
} ros_entry_t;

/// A target that was removed from the list.
typedef struct
{
  char id[INC_ID_BYTES];
  uint64_t latest_born_ms; ///< Of all its entries.
  uint64_t gone_ms;
} ros_gone_t;

typedef struct
{
  kb_map_t entries;
  uint64_t range_count;
  uint64_t
      mass_loss_retain_ms; ///< Retention of targets that disappear at once.
  ros_gone_t gone[ROS_MAX_GONE]; ///< Ring; an empty id: none.
  uint32_t gone_count;           ///< Total ever recorded.
} ros_roster_t;

/// @param leave_bound_ms  A leaving target gets no new request after this.
void ros_init (ros_roster_t *roster, uint64_t leave_bound_ms);
void ros_finish (ros_roster_t *roster);
/// Add the target of an entry.
/// @return  Whether its id is new.
bool ros_list (ros_roster_t *roster, const inc_t *incarnation,
               bool is_leaving);
/// Judge an entry that was read from an older copy of the list.
/// @param is_leaving  Set if the target is known to be leaving.
/// @return            False: the target is known to be gone, or a later
///                    incarnation of it is known.
bool ros_accept_copy (const ros_roster_t *roster, const inc_t *incarnation,
                      uint64_t now_ms, bool *is_leaving);
/// @return  Whether an entry is acceptable: once a target has stated its birth
///          time, each of its entries must.
bool ros_can_list (const ros_roster_t *roster, const inc_t *incarnation);
/// @return  When targets that disappear now are to be removed.
/// @param missing_count    How many disappear now.
/// @param retain_until_ms  Leases may have expired: retained until then.
uint64_t ros_removal_ms (const ros_roster_t *roster, uint32_t missing_count,
                         uint64_t retain_until_ms, uint64_t now_ms);
/// An entry was deleted or no longer has a target. Ignores unknown ids.
void ros_unlist (ros_roster_t *roster, const char *id, uint64_t remove_at_ms);
/// The entry of a target cannot be read: what it said last holds for a while.
/// Ignores unknown ids and targets whose entry was deleted.
/// @param is_leaving  Whether the entry says that the target is leaving.
void ros_hold (ros_roster_t *roster, const char *id, bool is_leaving,
               uint64_t now_ms);
/// Take one target that was held for long. It counts as readable until it is
/// held again.
/// @param id  Set to its id.
/// @return    False if there is none.
bool ros_pop_held (ros_roster_t *roster, uint64_t now_ms,
                   char id[INC_ID_BYTES]);
/// @return  How many targets are held.
uint32_t ros_held_count (const ros_roster_t *roster);
/// A full range follows: ids that are not listed by its end are missing.
void ros_range_begin (ros_roster_t *roster);
/// @param unnamed_count  Items of the range that may be entries, but whose key
///                       cannot be read. No more ids than that are held rather
///                       than missing.
void ros_range_end (ros_roster_t *roster, uint32_t unnamed_count,
                    uint64_t retain_until_ms, uint64_t now_ms);
/// Remove one target whose retention has expired.
/// @param id  Set to its id.
/// @return    False if there is none.
bool ros_pop_expired (ros_roster_t *roster, uint64_t now_ms,
                      char id[INC_ID_BYTES]);
/// @return  Whether a target that is no longer listed is still retained.
bool ros_has_pending_removals (const ros_roster_t *roster);
/// @return  Retention of targets that disappear at once, milliseconds.
uint64_t ros_mass_loss_retain_ms (uint64_t leave_bound_ms);

#endif
