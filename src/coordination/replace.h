/// @file replace.h
/// Choice of the entry of a full table that makes place for a new one, so that
/// whoever adds many entries loses their own. No I/O.
#ifndef KB_COORDINATION_REPLACE_H
#define KB_COORDINATION_REPLACE_H

#include <stdint.h>

/// What the choice depends on.
typedef struct
{
  uint64_t group;  ///< Entries of a group compete first, such as a target's.
  uint64_t caller; ///< Within the group.
  uint64_t at_ms;  ///< When it was added; zero: unused.
} rpl_entry_t;

/// @param count       At most 2^16.
/// @param added       The entry to add; its `at_ms` is the present time.
/// @param max_age_ms  Entries that are older have no use.
/// @return  Index of an entry without use. Otherwise that of the oldest entry
///          of the caller with the most in the group with the most, where the
///          new one counts too.
uint32_t rpl_choose (const rpl_entry_t *entries, uint32_t count,
                     const rpl_entry_t *added, uint64_t max_age_ms);

#endif
