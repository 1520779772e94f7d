#include "coordination/software.h"

#include <stddef.h>

enum
{
  /// Lifetime of the record of a listed version.
  LISTED_TTL_MS = 600000,
  REFRESH_MS = 240000,
  /// A version whose targets restart is off the list for a moment.
  LEFT_DELAY_MS = 2000,
  /// Beyond the longest stream, for clocks and messages.
  LEFT_MARGIN_MS = 2000,
  RETRY_MS = 2000,
};

void
sfw_table_init (sfw_table_t *table)
{
  table->count = 0;
  table->is_absence_proof = false;
}

static sfw_item_t *
find (sfw_table_t *table, uint64_t service, uint64_t software)
{
  for (uint32_t i = 0; i < table->count; i++)
    {
      sfw_item_t *item = &table->items[i];
      if (item->service == service && item->software == software)
        return item;
    }
  return NULL;
}

static sfw_item_t *
oldest (sfw_table_t *table)
{
  sfw_item_t *item = &table->items[0];
  for (uint32_t i = 1; i < table->count; i++)
    if (table->items[i].known_ms < item->known_ms)
      item = &table->items[i];
  return item;
}

static sfw_item_t *
find_or_add (sfw_table_t *table, uint64_t service, uint64_t software,
             uint64_t now_ms)
{
  sfw_item_t *item = find (table, service, software);
  if (item != NULL)
    return item;
  item = table->count < SFW_MAX_ITEMS ? &table->items[table->count++]
                                      : oldest (table);
  *item = (sfw_item_t){ .service = service,
                        .software = software,
                        .known_ms = now_ms };
  return item;
}

/// @return  Number of versions of a service.
/// @param last_out  One of them.
static uint32_t
count_versions (const sfw_table_t *table, uint64_t service, uint64_t *last_out)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < table->count; i++)
    {
      if (table->items[i].service != service)
        continue;
      *last_out = table->items[i].software;
      count++;
    }
  return count;
}

bool
sfw_is_mixed (const sfw_table_t *table, uint64_t service)
{
  uint64_t software;
  return count_versions (table, service, &software) > 1;
}

bool
sfw_list (sfw_table_t *table, uint64_t service, uint64_t software,
          bool is_recorded, uint64_t now_ms)
{
  uint64_t any;
  uint32_t count = count_versions (table, service, &any);
  sfw_item_t *item = find_or_add (table, service, software, now_ms);
  if (count == 0 && table->is_absence_proof)
    item->is_witness = true;
  item->known_ms = item->listed_ms = now_ms;
  item->is_recorded = is_recorded;
  return count == 1 && sfw_is_mixed (table, service);
}

/// @return  Whether the store has, or had in another era, a record of any
///          version of a service.
static bool
has_record (const sfw_table_t *table, uint64_t service)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (table->items[i].service == service && table->items[i].revision > 0)
      return true;
  return false;
}

void
sfw_list_complete (sfw_table_t *table, bool was_restored)
{
  table->is_absence_proof = !was_restored;
  for (uint32_t i = 0; i < table->count && !was_restored; i++)
    if (!has_record (table, table->items[i].service))
      table->items[i].is_witness = true;
}

void
sfw_has_seen_all (sfw_table_t *table)
{
  table->is_absence_proof = true;
  for (uint32_t i = 0; i < table->count; i++)
    table->items[i].is_witness = true;
}

void
sfw_observe (sfw_table_t *table, uint64_t service, uint64_t software,
             uint64_t now_ms)
{
  find_or_add (table, service, software, now_ms)->known_ms = now_ms;
}

void
sfw_expire (sfw_table_t *table, uint64_t now_ms, uint64_t longest_ms)
{
  for (uint32_t i = 0; i < table->count;)
    if (table->items[i].record != SFW_RECORD_LISTED
        && now_ms - table->items[i].known_ms > longest_ms)
      table->items[i] = table->items[--table->count];
    else
      i++;
}

uint64_t
sfw_only (const sfw_table_t *table, uint64_t service)
{
  uint64_t software = 0;
  return count_versions (table, service, &software) == 1 ? software : 0;
}

bool
sfw_is_witness (const sfw_table_t *table, uint64_t service)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (table->items[i].service == service && table->items[i].is_witness)
      return true;
  return false;
}

/// Until a record says otherwise, the version may be listed elsewhere.
static void
set_record (sfw_item_t *item, sfw_record_state_t state, uint64_t now_ms)
{
  if (item->record == SFW_RECORD_LISTED || state == SFW_RECORD_LISTED)
    item->known_ms = now_ms;
  item->record = state;
}

void
sfw_record_read (sfw_table_t *table, const sfw_record_t *record,
                 bool is_current, uint64_t now_ms)
{
  sfw_item_t *item
      = find_or_add (table, record->service, record->software, now_ms);
  // It may have been listed, unnoticed here, since the last one was read.
  if (item->revision != record->revision)
    item->known_ms = now_ms;
  item->revision = record->revision;
  item->recorded_ms = now_ms;
  set_record (item, is_current ? record->state : SFW_RECORD_NONE, now_ms);
  item->is_record_of_witness = is_current && record->is_of_witness;
  item->is_witness |= item->is_record_of_witness;
}

void
sfw_record_removed (sfw_table_t *table, uint64_t service, uint64_t software,
                    uint64_t now_ms)
{
  sfw_item_t *item = find (table, service, software);
  if (item == NULL)
    return;
  set_record (item, SFW_RECORD_NONE, now_ms);
  item->revision = 0;
}

void
sfw_restored (sfw_table_t *table, bool was_current, uint64_t now_ms)
{
  table->is_absence_proof &= was_current;
  for (uint32_t i = 0; i < table->count; i++)
    {
      sfw_item_t *item = &table->items[i];
      set_record (item, SFW_RECORD_NONE, now_ms);
      item->revision = 0;
      item->is_witness &= was_current;
    }
}

/// @return  Whether the store has all else that this process, as a witness,
///          knows of the service of a version.
static bool
can_vouch (const sfw_table_t *table, const sfw_item_t *item)
{
  for (uint32_t i = 0; i < table->count; i++)
    {
      const sfw_item_t *other = &table->items[i];
      if (other != item && other->service == item->service
          && other->record == SFW_RECORD_NONE)
        return false;
    }
  return item->is_witness;
}

/// @return  The state to be written; SFW_RECORD_NONE: the record is right.
static sfw_record_state_t
wanted_record (const sfw_table_t *table, const sfw_item_t *item,
               uint64_t now_ms)
{
  bool is_listed
      = item->listed_ms > 0 && now_ms - item->listed_ms < LEFT_DELAY_MS;
  bool is_lost = item->record == SFW_RECORD_NONE && item->listed_ms > 0
                 && item->is_recorded;
  if (!is_listed)
    return item->record == SFW_RECORD_LISTED || is_lost ? SFW_RECORD_LEFT
                                                        : SFW_RECORD_NONE;
  bool is_right = item->record == SFW_RECORD_LISTED
                  && now_ms - item->recorded_ms < REFRESH_MS
                  && (item->is_record_of_witness || !can_vouch (table, item));
  return is_right || !item->is_recorded ? SFW_RECORD_NONE : SFW_RECORD_LISTED;
}

/// @return  Whether the record of a version is to be written now.
static bool
is_due (const sfw_table_t *table, sfw_item_t *item, uint64_t now_ms,
        uint64_t spread_ms, uint32_t random)
{
  if (wanted_record (table, item, now_ms) == SFW_RECORD_NONE)
    item->due_ms = 0;
  else if (item->due_ms == 0)
    item->due_ms = now_ms + (random ^ item->software) % (spread_ms + 1);
  return item->due_ms != 0 && item->due_ms <= now_ms;
}

bool
sfw_next_write (sfw_table_t *table, uint64_t now_ms, uint64_t longest_ms,
                uint64_t spread_ms, uint32_t random, sfw_record_t *out)
{
  for (uint32_t i = 0; i < table->count; i++)
    {
      sfw_item_t *item = &table->items[i];
      if (!is_due (table, item, now_ms, spread_ms, random))
        continue;
      sfw_record_state_t state = wanted_record (table, item, now_ms);
      *out = (sfw_record_t){ .service = item->service,
                             .software = item->software,
                             .state = state,
                             .is_of_witness = can_vouch (table, item),
                             .revision = item->revision,
                             .ttl_ms = state == SFW_RECORD_LISTED
                                           ? LISTED_TTL_MS
                                           : longest_ms + LEFT_MARGIN_MS };
      item->due_ms = now_ms + RETRY_MS;
      return true;
    }
  return false;
}

void
sfw_write_done (sfw_table_t *table, const sfw_record_t *write,
                sfw_result_t result, uint64_t now_ms)
{
  sfw_item_t *item = find (table, write->service, write->software);
  if (item == NULL || result == SFW_FAILED)
    return;
  if (result == SFW_WRITTEN)
    {
      set_record (item, write->state, now_ms);
      item->is_record_of_witness = write->is_of_witness;
      item->recorded_ms = now_ms;
      return;
    }
  // Another gateway's record is read next, or the known one has expired.
  if (item->revision == write->revision)
    item->revision = 0;
}
