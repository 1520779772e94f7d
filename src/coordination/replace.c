#include "coordination/replace.h"

#include <stdbool.h>

#include "state/buf.h"

enum
{
  /// Groups and callers that share a bucket count as one.
  BUCKETS = 1024,
};

/// Number of entries by group and by caller.
typedef struct
{
  uint16_t groups[BUCKETS];
  uint16_t callers[BUCKETS];
} counts_t;

static uint32_t
group_bucket (const rpl_entry_t *entry)
{
  return (uint32_t)(kb_hash (&entry->group, sizeof entry->group, 0) % BUCKETS);
}

static uint32_t
caller_bucket (const rpl_entry_t *entry)
{
  return (
      uint32_t)(kb_hash (&entry->caller, sizeof entry->caller, entry->group)
                % BUCKETS);
}

static void
counts_add (counts_t *counts, const rpl_entry_t *entry)
{
  counts->groups[group_bucket (entry)]++;
  counts->callers[caller_bucket (entry)]++;
}

/// Order of replacement: the entry with the largest counts, then the oldest.
/// Of equal counts, the new entry's own group and caller come first.
typedef struct
{
  uint32_t group;
  uint32_t caller;
  uint64_t at_ms;
} weight_t;

static weight_t
weight_of (const counts_t *counts, const rpl_entry_t *entry,
           const rpl_entry_t *added)
{
  bool is_own_group = entry->group == added->group;
  bool is_own_caller = is_own_group && entry->caller == added->caller;
  return (weight_t){
    .group = 2U * counts->groups[group_bucket (entry)] + is_own_group,
    .caller = 2U * counts->callers[caller_bucket (entry)] + is_own_caller,
    .at_ms = entry->at_ms,
  };
}

static bool
is_heavier (const weight_t *a, const weight_t *b)
{
  if (a->group != b->group)
    return a->group > b->group;
  if (a->caller != b->caller)
    return a->caller > b->caller;
  return a->at_ms < b->at_ms;
}

uint32_t
rpl_choose (const rpl_entry_t *entries, uint32_t count,
            const rpl_entry_t *added, uint64_t max_age_ms)
{
  for (uint32_t i = 0; i < count; i++)
    if (entries[i].at_ms == 0 || added->at_ms - entries[i].at_ms > max_age_ms)
      return i;
  counts_t counts = { 0 };
  counts_add (&counts, added);
  for (uint32_t i = 0; i < count; i++)
    counts_add (&counts, &entries[i]);
  uint32_t chosen = 0;
  weight_t heaviest = weight_of (&counts, &entries[0], added);
  for (uint32_t i = 1; i < count; i++)
    {
      weight_t weight = weight_of (&counts, &entries[i], added);
      if (!is_heavier (&weight, &heaviest))
        continue;
      chosen = i;
      heaviest = weight;
    }
  return chosen;
}
