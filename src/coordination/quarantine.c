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

bool
qrt_is_proven_for_all (const qrt_record_t *record)
{
  for (uint32_t i = 1; i < record->end_count; i++)
    if (record->ends[i].is_alone && record->ends[0].is_alone
        && record->ends[i].caller != record->ends[0].caller)
      return record->end_count >= QRT_ENDS_HELD;
  return false;
}

/// @param min_alone  Ends at which it has to have been alone.
static bool
is_proven_for (const qrt_record_t *record, uint64_t caller, uint32_t min_alone)
{
  uint32_t ends = 0;
  uint32_t alone = 0;
  for (uint32_t i = 0; i < record->end_count; i++)
    {
      bool is_callers = record->ends[i].caller == caller;
      ends += is_callers;
      alone += is_callers && record->ends[i].is_alone != QRT_AMONG_OTHERS;
    }
  return ends >= QRT_ENDS_HELD && alone >= min_alone;
}

/// @return  Whether the ends suffice to hold the request for any caller.
static bool
is_proven (const qrt_record_t *record)
{
  if (qrt_is_proven_for_all (record))
    return true;
  for (uint32_t i = 0; i < record->end_count; i++)
    if (is_proven_for (record, record->ends[i].caller,
                       QRT_MIN_ALONE_AT_ENGINE))
      return true;
  return false;
}

uint64_t
qrt_hold_ms (uint32_t end_count)
{
  uint32_t extra = end_count > QRT_ENDS_HELD ? end_count - QRT_ENDS_HELD : 0;
  return (uint64_t)QRT_HOLD_MS << extra;
}

static uint64_t
hold_ms_of (const qrt_record_t *record)
{
  return qrt_hold_ms (record->end_count);
}

/// After a hold the request starts alone for the same time again, before it is
/// treated like any other.
static uint64_t
expiry_ms_of (const qrt_record_t *record)
{
  return is_proven (record) ? 2 * hold_ms_of (record) : QRT_HOLD_MS;
}

static uint64_t
age_ms_of (const qrt_entry_t *entry, uint64_t now_ms)
{
  return now_ms > entry->since_ms ? now_ms - entry->since_ms : 0;
}

qrt_verdict_t
qrt_judge (const qrt_table_t *table, uint64_t request, uint64_t caller,
           uint32_t min_alone, uint64_t now_ms, uint64_t *hold_ms)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL)
    return QRT_FREE;
  const qrt_record_t *record = &entry->record;
  uint64_t age_ms = age_ms_of (entry, now_ms);
  if (age_ms >= expiry_ms_of (record) || record->end_count < QRT_ENDS_ALONE)
    return QRT_FREE;
  bool is_held = qrt_is_proven_for_all (record)
                 || is_proven_for (record, caller, min_alone);
  if (!is_held || age_ms >= hold_ms_of (record))
    return QRT_ALONE;
  if (hold_ms != NULL)
    *hold_ms = hold_ms_of (record) - age_ms;
  return QRT_HELD;
}

bool
qrt_read (const qrt_table_t *table, uint64_t subject, uint64_t now_ms,
          qrt_record_t *out)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, subject);
  if (entry == NULL)
    return false;
  *out = entry->record;
  out->age_ms = age_ms_of (entry, now_ms);
  return out->age_ms < expiry_ms_of (&entry->record);
}

uint32_t
qrt_count_ends (const qrt_table_t *table, uint64_t request)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  return entry == NULL ? 0 : entry->record.end_count;
}

uint32_t
qrt_patience (const qrt_table_t *table, uint64_t request)
{
  uint32_t ends = qrt_count_ends (table, request);
  return ends > QRT_ENDS_ALONE ? ends - QRT_ENDS_ALONE : 0;
}

uint64_t
qrt_remaining_ms (const qrt_table_t *table, uint64_t request, uint64_t now_ms)
{
  const qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL)
    return 0;
  uint64_t age_ms = age_ms_of (entry, now_ms);
  uint64_t expiry_ms = expiry_ms_of (&entry->record);
  return expiry_ms > age_ms ? expiry_ms - age_ms : 0;
}

static void
entry_drop (qrt_table_t *table, qrt_entry_t *entry)
{
  kb_map_remove (&table->entries, entry->record.request);
  free (entry);
}

/// @return  Whether the record is shared with all daemons. When targets end
///          together, many requests are starting there, most of which have
///          one end and never another; sharing their records would fill the
///          links of a large fleet.
static bool
is_shared (const qrt_record_t *record)
{
  return record->end_count >= QRT_ENDS_ALONE || record->generation > 0;
}

/// Subjects of parts have this bit and are even.
static const uint64_t part_bit = (uint64_t)1 << 63;

uint64_t
qrt_part_subject (uint64_t hash)
{
  return (hash | part_bit) & ~(uint64_t)1;
}

bool
qrt_is_part (uint64_t subject)
{
  return (subject & (part_bit | 1)) == part_bit;
}

/// @return  Importance of a record; the lowest is evicted first. A part that
///          was served matters less than one that may be bad.
static int
eviction_rank (const qrt_record_t *record)
{
  if (qrt_is_part (record->request) && record->end_count == 0)
    return 0;
  int rank = is_proven (record) ? 2 : is_shared (record);
  return qrt_is_part (record->request) ? rank + 1 : rank;
}

/// Entries of one kind, of one caller or of all.
typedef struct
{
  bool is_part;
  uint64_t first_caller; ///< Zero: all.
} group_t;

static bool
is_in_group (const qrt_entry_t *entry, const group_t *group)
{
  return qrt_is_part (entry->record.request) == group->is_part
         && (group->first_caller == 0
             || entry->record.first_caller == group->first_caller);
}

static uint32_t
count_entries_of (const qrt_table_t *table, const group_t *group)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    count += is_in_group (e, group);
  return count;
}

static int
compare_callers (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;
  return (left > right) - (left < right);
}

/// @param all  All entries of a kind.
/// @return     The caller with most of them, if these are more than its fair
///             share of a full table; zero: none.
static uint64_t
oversized_caller (const qrt_table_t *table, const group_t *all)
{
  uint64_t callers[QRT_MAX_ENTRIES];
  uint32_t len = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at);
       e != NULL && len < QRT_MAX_ENTRIES; e = next_entry (table, &at))
    if (is_in_group (e, all))
      callers[len++] = e->record.first_caller;
  qsort (callers, len, sizeof *callers, compare_callers);
  uint64_t largest = 0;
  uint32_t max_count = QRT_FAIR_ENTRIES_PER_CALLER;
  uint32_t count = 0;
  for (uint32_t i = 0; i < len; i++)
    {
      count = i > 0 && callers[i] == callers[i - 1] ? count + 1 : 1;
      if (count <= max_count)
        continue;
      max_count = count;
      largest = callers[i];
    }
  return largest;
}

/// @return  The least important entry of a group, the oldest of those.
static qrt_entry_t *
eviction_candidate (const qrt_table_t *table, const group_t *group)
{
  qrt_entry_t *best = NULL;
  uint32_t at = 0;
  for (qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    {
      if (!is_in_group (e, group))
        continue;
      int rank = eviction_rank (&e->record);
      int best_rank = best == NULL ? 0 : eviction_rank (&best->record);
      bool is_less = best == NULL || rank < best_rank
                     || (rank == best_rank && e->since_ms < best->since_ms);
      if (is_less)
        best = e;
    }
  return best;
}

/// Adds an entry. In a full table the entries of a caller with very many make
/// room, so that one that sends thousands of such requests cannot evict the
/// entries of others.
static qrt_entry_t *
entry_add (qrt_table_t *table, uint64_t request, uint64_t first_caller)
{
  group_t group = { .is_part = qrt_is_part (request) };
  group_t callers = { group.is_part, first_caller };
  if (count_entries_of (table, &callers) >= QRT_MAX_ENTRIES_PER_CALLER)
    entry_drop (table, eviction_candidate (table, &callers));
  if (count_entries_of (table, &group) >= QRT_MAX_ENTRIES)
    {
      callers.first_caller = oversized_caller (table, &group);
      entry_drop (table, eviction_candidate (table, &callers));
    }
  qrt_entry_t *entry = kb_alloc (sizeof *entry);
  *entry = (qrt_entry_t){ .record = { .request = request,
                                      .first_caller = first_caller } };
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
end_remove (qrt_record_t *record, uint32_t at)
{
  record->end_count--;
  memmove (&record->ends[at], &record->ends[at + 1],
           (record->end_count - at) * sizeof *record->ends);
}

/// Adds an end. Of more than QRT_MAX_ENDS, all daemons keep the same ones.
/// @return  Whether the record changed.
static bool
end_add (qrt_record_t *record, const qrt_end_t *end)
{
  for (uint32_t i = 0; i < record->end_count; i++)
    {
      if (record->ends[i].target != end->target)
        continue;
      if (!is_before (end, &record->ends[i]))
        return false;
      end_remove (record, i);
      break;
    }
  uint32_t at = record->end_count;
  while (at > 0 && is_before (end, &record->ends[at - 1]))
    at--;
  if (at == QRT_MAX_ENDS)
    return false;
  if (record->end_count == QRT_MAX_ENDS)
    record->end_count--;
  memmove (&record->ends[at + 1], &record->ends[at],
           (record->end_count - at) * sizeof *record->ends);
  record->ends[at] = *end;
  record->end_count++;
  return true;
}

bool
qrt_add_end (qrt_table_t *table, uint64_t request, const qrt_end_t *end,
             uint64_t now_ms)
{
  qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL)
    entry = entry_add (table, request, end->caller);
  bool is_new = end_add (&entry->record, end);
  if (is_new)
    entry->since_ms = now_ms;
  return is_new;
}

bool
qrt_mark_served (qrt_table_t *table, uint64_t request, uint64_t now_ms)
{
  qrt_entry_t *entry = kb_map_get (&table->entries, request);
  if (entry == NULL || entry->record.end_count == 0)
    return false;
  if (!is_shared (&entry->record))
    {
      entry_drop (table, entry);
      return false;
    }
  entry->record.end_count = 0;
  entry->record.generation++;
  entry->since_ms = now_ms;
  return true;
}

/// @return  Whether a received record is well formed.
static bool
is_valid_record (const qrt_record_t *record)
{
  if (record->request == 0 || record->end_count > QRT_MAX_ENDS
      || (record->end_count == 0 && record->generation == 0))
    return false;
  uint64_t max_proof
      = qrt_is_part (record->request) ? QRT_WAS_SOLE : QRT_WAS_ALONE;
  for (uint32_t i = 0; i < record->end_count; i++)
    {
      const qrt_end_t *end = &record->ends[i];
      bool is_in_order = i == 0 || is_before (&record->ends[i - 1], end);
      if (end->target == 0 || end->is_alone > max_proof || !is_in_order)
        return false;
    }
  return true;
}

/// @return  Whether the received record changed the entry.
static bool
record_merge (qrt_table_t *table, const qrt_record_t *received,
              uint64_t now_ms)
{
  qrt_entry_t *entry = kb_map_get (&table->entries, received->request);
  if (received->age_ms >= expiry_ms_of (received)
      || (entry != NULL && received->generation < entry->record.generation))
    return false;
  uint64_t since_ms
      = now_ms > received->age_ms ? now_ms - received->age_ms : 0;
  if (entry == NULL || received->generation > entry->record.generation)
    {
      if (entry == NULL)
        entry = entry_add (table, received->request, received->first_caller);
      entry->record = *received;
      entry->since_ms = since_ms;
      return true;
    }
  bool is_new = false;
  for (uint32_t i = 0; i < received->end_count; i++)
    is_new = end_add (&entry->record, &received->ends[i]) || is_new;
  if (since_ms > entry->since_ms)
    entry->since_ms = since_ms;
  return is_new;
}

static void
entry_pack (const qrt_entry_t *entry, uint64_t now_ms, kb_buf_t *out)
{
  qrt_record_t record = entry->record;
  record.age_ms = age_ms_of (entry, now_ms);
  memset (&record.ends[record.end_count], 0,
          (QRT_MAX_ENDS - record.end_count) * sizeof *record.ends);
  kb_buf_append (out, &record, sizeof record);
}

bool
qrt_merge (qrt_table_t *table, kb_slice_t records, uint64_t now_ms,
           kb_buf_t *changed)
{
  uint32_t count = records.len_bytes / (uint32_t)sizeof (qrt_record_t);
  if (records.len_bytes % sizeof (qrt_record_t) != 0
      || count > 2 * QRT_MAX_ENTRIES)
    return false;
  qrt_record_t record;
  for (uint32_t i = 0; i < count; i++)
    {
      memcpy (&record, records.ptr + i * sizeof record, sizeof record);
      if (!is_valid_record (&record))
        return false;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      memcpy (&record, records.ptr + i * sizeof record, sizeof record);
      bool is_new = record_merge (table, &record, now_ms);
      const qrt_entry_t *entry = kb_map_get (&table->entries, record.request);
      if (is_new && changed != NULL && is_shared (&entry->record))
        entry_pack (entry, now_ms, changed);
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
    if (is_shared (&e->record))
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
qrt_digest (const qrt_table_t *table)
{
  uint64_t digest = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    {
      if (!is_shared (&e->record))
        continue;
      // The order of entries is undefined, so their hashes are summed.
      uint64_t seed = e->record.request + e->record.generation;
      digest += kb_hash (e->record.ends,
                         e->record.end_count * sizeof *e->record.ends, seed);
    }
  return digest == 0 ? 0 : digest | 1;
}

void
qrt_expire (qrt_table_t *table, uint64_t now_ms)
{
  uint32_t at = 0;
  for (qrt_entry_t *e = next_entry (table, &at); e != NULL;
       e = next_entry (table, &at))
    if (age_ms_of (e, now_ms) >= expiry_ms_of (&e->record))
      {
        entry_drop (table, e);
        // Removal moves entries; start over.
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
    count += is_proven (&e->record)
             && age_ms_of (e, now_ms) < hold_ms_of (&e->record);
  return count;
}
