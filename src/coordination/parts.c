#include "coordination/parts.h"

enum
{
  /// Ends alone that prove a part bad although there were others to blame.
  MIN_ALONE = 2,
};

/// State of one part for one caller.
typedef struct
{
  bool is_suspect;
  uint64_t hold_ms; ///< Remaining; zero: not held.
  uint64_t age_ms;  ///< Since its last end.
} part_state_t;

void
prt_list_parse (kb_slice_t text, prt_list_t *out)
{
  out->count = 0;
  while (text.len_bytes > 0 && out->count < PRT_MAX_PARTS)
    {
      if (*text.ptr == ' ')
        {
          text.ptr++;
          text.len_bytes--;
          continue;
        }
      const char *comma = memchr (text.ptr, ',', text.len_bytes);
      uint32_t item_bytes
          = comma == NULL ? text.len_bytes : (uint32_t)(comma - text.ptr);
      const char *colon = memchr (text.ptr, ':', item_bytes);
      uint32_t id_bytes
          = colon == NULL ? item_bytes : (uint32_t)(colon - text.ptr);
      if (id_bytes > 0)
        out->keys[out->count++]
            = qrt_part_subject (kb_hash (text.ptr, id_bytes, 0));
      uint32_t used_bytes = item_bytes + (comma != NULL);
      text.ptr += used_bytes;
      text.len_bytes -= used_bytes;
    }
}

/// The lowest bit of a key is fixed.
static uint32_t
slot_of (uint64_t part)
{
  return (uint32_t)(part >> 1) % PRT_SERVED_SLOTS;
}

void
prt_served_add (prt_served_t *served, uint64_t part, uint64_t now_ms)
{
  served->slots[slot_of (part)].key = part;
  served->slots[slot_of (part)].served_ms = now_ms;
}

bool
prt_served_contains (const prt_served_t *served, uint64_t part, uint64_t at_ms)
{
  uint32_t slot = slot_of (part);
  return served->slots[slot].key == part
         && served->slots[slot].served_ms + PRT_SERVED_MS > at_ms;
}

void
prt_list_remove_served (prt_list_t *list, const prt_served_t *served,
                        uint64_t at_ms)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < list->count; i++)
    if (!prt_served_contains (served, list->keys[i], at_ms))
      list->keys[kept++] = list->keys[i];
  list->count = kept;
}

uint32_t
prt_find_served (const qrt_table_t *table, const prt_served_t *served,
                 uint64_t now_ms, uint64_t *out)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const qrt_entry_t *e = kb_map_next (&table->entries, &at);
       e != NULL && count < QRT_MAX_ENTRIES;
       e = kb_map_next (&table->entries, &at))
    if (e->record.end_count > 0
        && prt_served_contains (served, e->record.request, now_ms))
      out[count++] = e->record.request;
  return count;
}

uint64_t
prt_proof_of (const prt_list_t *blamed, bool is_alone)
{
  if (!is_alone)
    return QRT_AMONG_OTHERS;
  return blamed->count == 1 ? QRT_WAS_SOLE : QRT_WAS_ALONE;
}

/// @return  Whether a target ended with a part while it started alone.
static bool
was_alone_at (const qrt_record_t *record, uint64_t target)
{
  for (uint32_t i = 0; i < record->end_count; i++)
    if (record->ends[i].target == target)
      return record->ends[i].is_alone != QRT_AMONG_OTHERS;
  return false;
}

/// @return  Whether another part that has more ends was alone at one of this
///          part's ends as well: it is the likelier cause.
static bool
has_likelier_cause (const qrt_table_t *table, const qrt_record_t *record,
                    uint64_t target)
{
  uint32_t at = 0;
  for (const qrt_entry_t *e = kb_map_next (&table->entries, &at); e != NULL;
       e = kb_map_next (&table->entries, &at))
    if (qrt_is_part (e->record.request)
        && e->record.end_count > record->end_count
        && was_alone_at (&e->record, target))
      return true;
  return false;
}

/// @return  Whether a part was alone at an end for which no other part is the
///          likelier cause.
static bool
is_likely_cause (const qrt_table_t *table, const qrt_record_t *record,
                 uint64_t caller)
{
  for (uint32_t i = 0; i < record->end_count; i++)
    if (record->ends[i].caller == caller
        && record->ends[i].is_alone != QRT_AMONG_OTHERS
        && !has_likelier_cause (table, record, record->ends[i].target))
      return true;
  return false;
}

/// @return  How long the ends under one caller's requests hold a part.
static uint64_t
hold_ms_for (const qrt_table_t *table, const qrt_record_t *record,
             uint64_t caller)
{
  uint32_t ends = 0;
  uint32_t alone = 0;
  uint32_t sole = 0;
  for (uint32_t i = 0; i < record->end_count; i++)
    {
      const qrt_end_t *end = &record->ends[i];
      bool is_callers = end->caller == caller;
      ends += is_callers;
      alone += is_callers && end->is_alone != QRT_AMONG_OTHERS;
      sole += is_callers && end->is_alone == QRT_WAS_SOLE;
    }
  bool is_proven = ends >= QRT_ENDS_HELD
                   && (sole > 0
                       || (alone >= MIN_ALONE
                           && is_likely_cause (table, record, caller)));
  if (is_proven || qrt_is_proven_for_all (record))
    return qrt_hold_ms (record->end_count);
  return ends >= PRT_ENDS_HELD_UNPROVEN
             ? (uint64_t)PRT_UNPROVEN_HOLD_MS
                   << (ends - PRT_ENDS_HELD_UNPROVEN)
             : 0;
}

static part_state_t
state_of (const qrt_table_t *table, uint64_t part, uint64_t caller,
          uint64_t now_ms)
{
  qrt_record_t record;
  if (!qrt_read (table, part, now_ms, &record)
      || record.end_count < QRT_ENDS_ALONE)
    return (part_state_t){ 0 };
  uint64_t hold_ms = hold_ms_for (table, &record, caller);
  return (part_state_t){
    .is_suspect = true,
    .hold_ms = hold_ms > record.age_ms ? hold_ms - record.age_ms : 0,
    .age_ms = record.age_ms,
  };
}

prt_judgement_t
prt_judge (const qrt_table_t *table, const prt_list_t *parts, uint64_t caller,
           uint64_t now_ms)
{
  prt_judgement_t out = { .verdict = PRT_FREE };
  uint32_t suspects = 0;
  uint64_t quiet_ms = UINT64_MAX;
  for (uint32_t i = 0; i < parts->count; i++)
    {
      part_state_t state = state_of (table, parts->keys[i], caller, now_ms);
      if (!state.is_suspect)
        continue;
      suspects++;
      if (state.age_ms < quiet_ms)
        quiet_ms = state.age_ms;
      // All gateways try the same one.
      if (parts->keys[i] > out.suspect)
        out.suspect = parts->keys[i];
      if (state.hold_ms > out.hold_ms)
        out.hold_ms = state.hold_ms;
    }
  if (out.hold_ms > 0)
    out.verdict = PRT_HELD;
  else if (suspects > 1 && quiet_ms < PRT_QUIET_MS)
    out.verdict = PRT_WAIT;
  else if (suspects > 0)
    out.verdict = PRT_TRIAL;
  return out;
}
