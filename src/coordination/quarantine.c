#include "coordination/quarantine.h"

#include <stdlib.h>

void
qrt_table_init (qrt_table_t *table)
{
  kb_map_init (&table->entries);
}

static qrt_entry_t *
next_entry (const qrt_table_t *table, uint32_t *at)
{
  return kb_map_next (&table->entries, at);
}

void
qrt_table_finish (qrt_table_t *table)
{
  uint32_t at = 0;
  for (qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    free (e);
  kb_map_finish (&table->entries);
}

static bool
has_end_alone (const qrt_word_t *word, uint64_t caller)
{
  for (uint32_t i = 0; i < word->end_count; i++)
    if (word->ends[i].is_alone && word->ends[i].caller == caller)
      return true;
  return false;
}

/// @return  Whether two callers were alone at an end each.
static bool
is_proven_for_all (const qrt_word_t *word)
{
  for (uint32_t i = 1; i < word->end_count; i++)
    if (word->ends[i].is_alone && word->ends[0].is_alone
        && word->ends[i].caller != word->ends[0].caller)
      return word->end_count >= QRT_ENDS_HELD;
  return false;
}

static bool
is_proven_for (const qrt_word_t *word, uint64_t caller)
{
  uint32_t ends = 0;
  for (uint32_t i = 0; i < word->end_count; i++)
    ends += word->ends[i].caller == caller;
  return ends >= QRT_ENDS_HELD && has_end_alone (word, caller);
}

/// @return  Whether it is held for anyone.
static bool
is_proven (const qrt_word_t *word)
{
  if (is_proven_for_all (word))
    return true;
  for (uint32_t i = 0; i < word->end_count; i++)
    if (is_proven_for (word, word->ends[i].caller))
      return true;
  return false;
}

static uint64_t
hold_of (const qrt_word_t *word)
{
  uint32_t more
      = word->end_count > QRT_ENDS_HELD ? word->end_count - QRT_ENDS_HELD : 0;
  return (uint64_t)QRT_HOLD_MS << more;
}

/// A request that was held begins alone for as long again, before it counts
/// as any other.
static uint64_t
lapse_of (const qrt_word_t *word)
{
  return is_proven (word) ? 2 * hold_of (word) : QRT_HOLD_MS;
}

static uint64_t
age_of (const qrt_entry_t *entry, uint64_t now_ms)
{
  return now_ms > entry->since_ms ? now_ms - entry->since_ms : 0;
}

qrt_verdict_t
qrt_judge (const qrt_table_t *table, uint64_t request, uint64_t caller,
           uint64_t now_ms, uint64_t *hold_ms)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL)
    return QRT_FREE;
  const qrt_word_t *word = &entry->word;
  uint64_t age_ms = age_of (entry, now_ms);
  if (age_ms >= lapse_of (word) || word->end_count < QRT_ENDS_ALONE)
    return QRT_FREE;
  bool is_held = is_proven_for_all (word) || is_proven_for (word, caller);
  if (!is_held || age_ms >= hold_of (word))
    return QRT_ALONE;
  if (hold_ms != NULL)
    *hold_ms = hold_of (word) - age_ms;
  return QRT_HELD;
}

uint32_t
qrt_ends (const qrt_table_t *table, uint64_t request)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  return entry == NULL ? 0 : entry->word.end_count;
}

uint64_t
qrt_lasts_ms (const qrt_table_t *table, uint64_t request, uint64_t now_ms)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL)
    return 0;
  uint64_t age_ms = age_of (entry, now_ms);
  uint64_t lapse_ms = lapse_of (&entry->word);
  return lapse_ms > age_ms ? lapse_ms - age_ms : 0;
}

/// Drop an entry.
static void
entry_drop (qrt_table_t *table, qrt_entry_t *entry)
{
  kb_map_remove (&table->entries, entry->word.request);
  free (entry);
}

/// Whether all daemons are to know it. Many requests are beginning at targets
/// that end together, and most are suspected once and never again: passed on
/// to all, their words would fill the links of a large fleet.
static bool
is_shared (const qrt_word_t *word)
{
  return word->end_count >= QRT_ENDS_ALONE || word->generation > 0;
}

/// How much is lost with a word.
static int
rank_of (const qrt_word_t *word)
{
  return is_proven (word) ? 2 : is_shared (word);
}

/// @return  The entry that is missed least: one that holds nothing before one
///          that does, the oldest first.
/// @param owner  Of this caller alone; zero: of any.
static qrt_entry_t *
least_missed (const qrt_table_t *table, uint64_t owner)
{
  qrt_entry_t *best = NULL;
  uint32_t at = 0;
  for (qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    {
      if (owner != 0 && e->word.owner != owner)
        continue;
      int rank = rank_of (&e->word);
      int best_rank = best == NULL ? 0 : rank_of (&best->word);
      bool is_less = best == NULL || rank < best_rank
                     || (rank == best_rank && e->since_ms < best->since_ms);
      if (is_less)
        best = e;
    }
  return best;
}

static uint32_t
count_of (const qrt_table_t *table, uint64_t owner)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    count += e->word.owner == owner;
  return count;
}

/// Make room, first among the caller's own: one that sends thousands of
/// requests of this kind can not make others' be forgotten.
static qrt_entry_t *
entry_add (qrt_table_t *table, uint64_t request, uint64_t owner)
{
  if (count_of (table, owner) >= QRT_ENTRIES_PER_CALLER)
    entry_drop (table, least_missed (table, owner));
  if (table->entries.len >= QRT_ENTRIES_MOST)
    entry_drop (table, least_missed (table, 0));
  qrt_entry_t *entry = kb_alloc (sizeof *entry);
  *entry = (qrt_entry_t){ .word = { .request = request, .owner = owner } };
  kb_map_put (&table->entries, request, entry);
  return entry;
}

static bool
is_before (const qrt_end_t *a, const qrt_end_t *b)
{
  if (a->is_alone != b->is_alone)
    return a->is_alone > b->is_alone;
  return a->target < b->target;
}

static void
end_remove (qrt_word_t *word, uint32_t at)
{
  word->end_count--;
  memmove (&word->ends[at], &word->ends[at + 1],
           (word->end_count - at) * sizeof *word->ends);
}

/// Add an end. Of more than there is room for, all daemons keep the same.
/// @return  Whether the word changed.
static bool
end_add (qrt_word_t *word, const qrt_end_t *end)
{
  for (uint32_t i = 0; i < word->end_count; i++)
    {
      if (word->ends[i].target != end->target)
        continue;
      if (!is_before (end, &word->ends[i]))
        return false;
      end_remove (word, i);
      break;
    }
  uint32_t at = word->end_count;
  while (at > 0 && is_before (end, &word->ends[at - 1]))
    at--;
  if (at == QRT_ENDS_MOST)
    return false;
  if (word->end_count == QRT_ENDS_MOST)
    word->end_count--;
  memmove (&word->ends[at + 1], &word->ends[at],
           (word->end_count - at) * sizeof *word->ends);
  word->ends[at] = *end;
  word->end_count++;
  return true;
}

bool
qrt_note_end (qrt_table_t *table, uint64_t request, const qrt_end_t *end,
              uint64_t now_ms)
{
  qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL)
    entry = entry_add (table, request, end->caller);
  bool is_new = end_add (&entry->word, end);
  if (is_new)
    entry->since_ms = now_ms;
  return is_new;
}

bool
qrt_note_served (qrt_table_t *table, uint64_t request, uint64_t now_ms)
{
  qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL || entry->word.end_count == 0)
    return false;
  if (!is_shared (&entry->word))
    {
      entry_drop (table, entry);
      return false;
    }
  entry->word.end_count = 0;
  entry->word.generation++;
  entry->since_ms = now_ms;
  return true;
}

/// Whether another daemon can have come to know this.
static bool
is_plausible (const qrt_word_t *word)
{
  if (word->request == 0 || word->end_count > QRT_ENDS_MOST
      || (word->end_count == 0 && word->generation == 0))
    return false;
  for (uint32_t i = 0; i < word->end_count; i++)
    {
      const qrt_end_t *end = &word->ends[i];
      bool is_in_order = i == 0 || is_before (&word->ends[i - 1], end);
      if (end->target == 0 || end->is_alone > 1 || !is_in_order)
        return false;
    }
  return true;
}

/// @return  Whether anything of it was new.
static bool
word_merge (qrt_table_t *table, const qrt_word_t *given, uint64_t now_ms)
{
  qrt_entry_t *entry = kb_map_get (&table->entries, given->request);
  if (given->age_ms >= lapse_of (given)
      || (entry != NULL && given->generation < entry->word.generation))
    return false;
  uint64_t since_ms = now_ms > given->age_ms ? now_ms - given->age_ms : 0;
  if (entry == NULL || given->generation > entry->word.generation)
    {
      if (entry == NULL)
        entry = entry_add (table, given->request, given->owner);
      entry->word = *given;
      entry->since_ms = since_ms;
      return true;
    }
  bool is_new = false;
  for (uint32_t i = 0; i < given->end_count; i++)
    is_new = end_add (&entry->word, &given->ends[i]) || is_new;
  if (since_ms > entry->since_ms)
    entry->since_ms = since_ms;
  return is_new;
}

static void
entry_pack (const qrt_entry_t *entry, uint64_t now_ms, kb_buf_t *out)
{
  qrt_word_t word = entry->word;
  word.age_ms = age_of (entry, now_ms);
  memset (&word.ends[word.end_count], 0,
          (QRT_ENDS_MOST - word.end_count) * sizeof *word.ends);
  kb_buf_append (out, &word, sizeof word);
}

bool
qrt_take (qrt_table_t *table, kb_slice_t words, uint64_t now_ms,
          kb_buf_t *fresh)
{
  uint32_t count = words.len_bytes / (uint32_t)sizeof (qrt_word_t);
  if (words.len_bytes % sizeof (qrt_word_t) != 0 || count > QRT_ENTRIES_MOST)
    return false;
  qrt_word_t word;
  for (uint32_t i = 0; i < count; i++)
    {
      memcpy (&word, words.ptr + i * sizeof word, sizeof word);
      if (!is_plausible (&word))
        return false;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      memcpy (&word, words.ptr + i * sizeof word, sizeof word);
      bool is_new = word_merge (table, &word, now_ms);
      const qrt_entry_t *entry = kb_map_get (&table->entries, word.request);
      if (is_new && fresh != NULL && is_shared (&entry->word))
        entry_pack (entry, now_ms, fresh);
    }
  return true;
}

void
qrt_pack_all (const qrt_table_t *table, uint64_t now_ms, kb_buf_t *out)
{
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    entry_pack (e, now_ms, out);
}

void
qrt_pack (const qrt_table_t *table, uint64_t now_ms, kb_buf_t *out)
{
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    if (is_shared (&e->word))
      entry_pack (e, now_ms, out);
}

void
qrt_pack_one (const qrt_table_t *table, uint64_t request, uint64_t now_ms,
              kb_buf_t *out)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry != NULL)
    entry_pack (entry, now_ms, out);
}

uint64_t
qrt_stamp (const qrt_table_t *table)
{
  uint64_t stamp = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    {
      if (!is_shared (&e->word))
        continue;
      // Entries come in any order.
      uint64_t seed = e->word.request + e->word.generation;
      stamp += kb_hash (e->word.ends, e->word.end_count * sizeof *e->word.ends,
                        seed);
    }
  return stamp == 0 ? 0 : stamp | 1;
}

void
qrt_lapse (qrt_table_t *table, uint64_t now_ms)
{
  uint32_t at = 0;
  for (qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    if (age_of (e, now_ms) >= lapse_of (&e->word))
      {
        entry_drop (table, e);
        // Removal moves entries; begin again.
        at = 0;
      }
}

uint32_t
qrt_count_held (const qrt_table_t *table, uint64_t now_ms)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    count += is_proven (&e->word) && age_of (e, now_ms) < hold_of (&e->word);
  return count;
}
