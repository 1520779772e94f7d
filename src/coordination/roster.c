#include "coordination/roster.h"

#include <stdio.h>
#include <stdlib.h>

#include "state/buf.h"

enum
{
  /// Many targets that disappear at once, without a gap in the reads, probably
  /// had their leases expire but are alive. They are retained for this time,
  /// limited to a percentage of the bound for leaving targets.
  MASS_LOSS_RETAIN_MS = 800,
  MASS_LOSS_RETAIN_PERCENT = 40,
  MIN_MASS_LOSS = 3,
  /// How long a removed target is remembered. The store comes back from a copy
  /// that is some seconds old.
  GONE_MEMORY_MS = 60000,
  /// A live target writes its entry about every second, and the store removes
  /// that of a silent one after a few.
  HOLD_MS = 10000,
};

static uint64_t
entry_key (const char *id)
{
  return kb_hash (id, strlen (id), 0) | 1;
}

uint64_t
ros_mass_loss_retain_ms (uint64_t leave_bound_ms)
{
  uint64_t retain_ms = leave_bound_ms * MASS_LOSS_RETAIN_PERCENT / 100;
  return retain_ms < MASS_LOSS_RETAIN_MS ? retain_ms : MASS_LOSS_RETAIN_MS;
}

void
ros_init (ros_roster_t *roster, uint64_t leave_bound_ms)
{
  *roster = (ros_roster_t){ .mass_loss_retain_ms
                            = ros_mass_loss_retain_ms (leave_bound_ms) };
}

void
ros_finish (ros_roster_t *roster)
{
  uint32_t at = 0;
  for (ros_entry_t *entry = kb_map_next (&roster->entries, &at); entry != NULL;
       entry = kb_map_next (&roster->entries, &at))
    free (entry);
  kb_map_finish (&roster->entries);
}

bool
ros_can_list (const ros_roster_t *roster, const inc_t *incarnation)
{
  const ros_entry_t *entry
      = kb_map_get (&roster->entries, entry_key (incarnation->id));
  return entry == NULL || !entry->has_birth_time || incarnation->born_ms > 0;
}

static void
record_gone (ros_roster_t *roster, const ros_entry_t *entry, uint64_t now_ms)
{
  ros_gone_t *gone = &roster->gone[roster->gone_count++ % ROS_MAX_GONE];
  *gone = (ros_gone_t){ .latest_born_ms = entry->latest_born_ms,
                        .gone_ms = now_ms };
  snprintf (gone->id, sizeof gone->id, "%s", entry->id);
}

/// @return  NULL: the target is not known to be gone.
static const ros_gone_t *
find_gone (const ros_roster_t *roster, const char *id)
{
  for (uint32_t i = 0; i < ROS_MAX_GONE; i++)
    if (strcmp (roster->gone[i].id, id) == 0)
      return &roster->gone[i];
  return NULL;
}

bool
ros_accept_copy (const ros_roster_t *roster, const inc_t *incarnation,
                 uint64_t now_ms, bool *is_leaving)
{
  const ros_entry_t *entry
      = kb_map_get (&roster->entries, entry_key (incarnation->id));
  if (entry == NULL)
    {
      const ros_gone_t *gone = find_gone (roster, incarnation->id);
      return gone == NULL || now_ms - gone->gone_ms >= GONE_MEMORY_MS
             || incarnation->born_ms > gone->latest_born_ms;
    }
  if (entry->remove_at_ms > 0)
    return false;
  if (incarnation->born_ms != entry->born_ms)
    return incarnation->born_ms > entry->latest_born_ms;
  *is_leaving = *is_leaving || entry->is_leaving;
  return true;
}

/// Forget that a target is gone, since a new entry lists it.
/// @return  Latest birth that its earlier entries stated.
static uint64_t
take_gone (ros_roster_t *roster, const char *id)
{
  for (uint32_t i = 0; i < ROS_MAX_GONE; i++)
    if (strcmp (roster->gone[i].id, id) == 0)
      {
        roster->gone[i].id[0] = '\0';
        return roster->gone[i].latest_born_ms;
      }
  return 0;
}

bool
ros_list (ros_roster_t *roster, const inc_t *incarnation, bool is_leaving)
{
  uint64_t key = entry_key (incarnation->id);
  ros_entry_t *entry = kb_map_get (&roster->entries, key);
  bool is_new = entry == NULL;
  if (is_new)
    {
      entry = kb_alloc (sizeof *entry);
      *entry = (ros_entry_t){ 0 };
      snprintf (entry->id, sizeof entry->id, "%s", incarnation->id);
      kb_map_put (&roster->entries, key, entry);
      entry->latest_born_ms = take_gone (roster, entry->id);
    }
  entry->has_birth_time = entry->has_birth_time || incarnation->born_ms > 0;
  entry->remove_at_ms = 0;
  entry->held_until_ms = 0;
  entry->range_mark = roster->range_count;
  entry->born_ms = incarnation->born_ms;
  if (entry->born_ms > entry->latest_born_ms)
    entry->latest_born_ms = entry->born_ms;
  entry->is_leaving = is_leaving;
  return is_new;
}

uint64_t
ros_removal_ms (const ros_roster_t *roster, uint32_t missing_count,
                uint64_t retain_until_ms, uint64_t now_ms)
{
  uint64_t at_ms = now_ms;
  if (missing_count >= MIN_MASS_LOSS)
    at_ms += roster->mass_loss_retain_ms;
  return retain_until_ms > at_ms ? retain_until_ms : at_ms;
}

void
ros_unlist (ros_roster_t *roster, const char *id, uint64_t remove_at_ms)
{
  ros_entry_t *entry = kb_map_get (&roster->entries, entry_key (id));
  if (entry == NULL || entry->remove_at_ms > 0)
    return;
  entry->held_until_ms = 0;
  entry->remove_at_ms = remove_at_ms;
}

static void
entry_hold (ros_entry_t *entry, uint64_t now_ms)
{
  if (entry->held_until_ms == 0)
    entry->held_until_ms = now_ms + HOLD_MS;
}

void
ros_hold (ros_roster_t *roster, const char *id, bool is_leaving,
          uint64_t now_ms)
{
  ros_entry_t *entry = kb_map_get (&roster->entries, entry_key (id));
  if (entry == NULL || entry->remove_at_ms > 0)
    return;
  entry->range_mark = roster->range_count;
  entry->is_leaving = entry->is_leaving || is_leaving;
  entry_hold (entry, now_ms);
}

bool
ros_pop_held (ros_roster_t *roster, uint64_t now_ms, char id[INC_ID_BYTES])
{
  uint32_t at = 0;
  for (ros_entry_t *entry = kb_map_next (&roster->entries, &at); entry != NULL;
       entry = kb_map_next (&roster->entries, &at))
    if (entry->held_until_ms > 0 && entry->held_until_ms <= now_ms)
      {
        entry->held_until_ms = 0;
        snprintf (id, INC_ID_BYTES, "%s", entry->id);
        return true;
      }
  return false;
}

uint32_t
ros_held_count (const ros_roster_t *roster)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const ros_entry_t *entry = kb_map_next (&roster->entries, &at);
       entry != NULL; entry = kb_map_next (&roster->entries, &at))
    count += entry->held_until_ms > 0;
  return count;
}

void
ros_range_begin (ros_roster_t *roster)
{
  roster->range_count++;
}

static bool
is_missing (const ros_roster_t *roster, const ros_entry_t *entry)
{
  return entry->range_mark != roster->range_count && entry->remove_at_ms == 0;
}

void
ros_range_end (ros_roster_t *roster, uint32_t unnamed_count,
               uint64_t retain_until_ms, uint64_t now_ms)
{
  uint32_t missing_count = 0;
  uint32_t at = 0;
  for (ros_entry_t *entry = kb_map_next (&roster->entries, &at); entry != NULL;
       entry = kb_map_next (&roster->entries, &at))
    missing_count += is_missing (roster, entry);
  uint64_t remove_at_ms
      = ros_removal_ms (roster, missing_count, retain_until_ms, now_ms);
  at = 0;
  for (ros_entry_t *entry = kb_map_next (&roster->entries, &at); entry != NULL;
       entry = kb_map_next (&roster->entries, &at))
    if (is_missing (roster, entry) && missing_count <= unnamed_count)
      entry_hold (entry, now_ms);
    else if (is_missing (roster, entry))
      {
        entry->held_until_ms = 0;
        entry->remove_at_ms = remove_at_ms;
      }
}

bool
ros_pop_expired (ros_roster_t *roster, uint64_t now_ms, char id[INC_ID_BYTES])
{
  uint32_t at = 0;
  for (ros_entry_t *entry = kb_map_next (&roster->entries, &at); entry != NULL;
       entry = kb_map_next (&roster->entries, &at))
    {
      if (entry->remove_at_ms == 0 || entry->remove_at_ms > now_ms)
        continue;
      snprintf (id, INC_ID_BYTES, "%s", entry->id);
      record_gone (roster, entry, now_ms);
      kb_map_remove (&roster->entries, entry_key (entry->id));
      free (entry);
      return true;
    }
  return false;
}

bool
ros_has_pending_removals (const ros_roster_t *roster)
{
  uint32_t at = 0;
  for (const ros_entry_t *entry = kb_map_next (&roster->entries, &at);
       entry != NULL; entry = kb_map_next (&roster->entries, &at))
    if (entry->remove_at_ms > 0)
      return true;
  return false;
}
