#include "coordination/share.h"

#include <stdlib.h>

enum
{
  /// An answer must be fresher than what the gateway knows by this part of its
  /// pause; otherwise both would exchange words without end.
  GAIN_PART = 8,
  /// Equal tellings that are passed on: an older birth is believed when it is
  /// told INC_MIN_OLDER_REPORTS times in a row, and some of these may be
  /// missed. After them a heartbeat is no news.
  PASSED_TELLINGS = 8,
};

void
shr_cache_init (shr_cache_t *cache)
{
  *cache = (shr_cache_t){ 0 };
}

static void
items_clear (shr_cache_t *cache)
{
  uint32_t at = 0;
  for (shr_item_t *item = kb_map_next (&cache->items, &at); item != NULL;
       item = kb_map_next (&cache->items, &at))
    {
      kb_buf_finish (&item->value);
      free (item->key);
      free (item);
    }
  kb_map_finish (&cache->items);
}

void
shr_cache_finish (shr_cache_t *cache)
{
  items_clear (cache);
}

bool
shr_ask_add (shr_cache_t *cache, const shr_ask_t *ask)
{
  uint32_t at = 0;
  while (at < cache->ask_count
         && strcmp (cache->asks[at].gateway, ask->gateway) != 0)
    at++;
  if (at == SHR_MAX_ASKS)
    return false;
  if (at == cache->ask_count)
    cache->ask_count++;
  cache->asks[at] = *ask;
  if (cache->as_of == 0)
    {
      cache->as_of = ask->after;
      cache->floor = ask->after;
    }
  return true;
}

/// @return  Whether what is known here is fresher than what the gateway knows.
static bool
is_fresher (const shr_cache_t *cache, const shr_ask_t *ask, uint64_t now_ms)
{
  if (cache->began_ms == 0)
    return false;
  uint64_t its_age_ms = ask->known_age_ms + (now_ms - ask->arrived_ms);
  uint64_t own_age_ms = now_ms - cache->began_ms;
  return own_age_ms + ask->pause_ms / GAIN_PART <= its_age_ms;
}

/// @return  Whether an ask can be answered now.
static bool
ask_judge (const shr_cache_t *cache, const shr_ask_t *ask, uint64_t now_ms,
           shr_verdict_t *verdict)
{
  *verdict = SHR_NO_ANSWER;
  if (ask->is_refused)
    return true;
  *verdict = SHR_BEHIND;
  if (ask->after < cache->floor)
    return true;
  *verdict = SHR_KNOWN;
  return is_fresher (cache, ask, now_ms);
}

bool
shr_ask_take (shr_cache_t *cache, uint64_t now_ms, shr_ask_t *out,
              shr_verdict_t *verdict)
{
  for (uint32_t i = 0; i < cache->ask_count; i++)
    {
      if (!ask_judge (cache, &cache->asks[i], now_ms, verdict))
        continue;
      *out = cache->asks[i];
      cache->asks[i] = cache->asks[--cache->ask_count];
      return true;
    }
  return false;
}

uint64_t
shr_due_ms (const shr_cache_t *cache)
{
  if (cache->is_reading || cache->ask_count == 0)
    return UINT64_MAX;
  uint64_t pause_ms = UINT64_MAX;
  for (uint32_t i = 0; i < cache->ask_count; i++)
    if (cache->asks[i].pause_ms < pause_ms)
      pause_ms = cache->asks[i].pause_ms;
  return cache->began_ms == 0 ? 0 : cache->began_ms + pause_ms;
}

bool
shr_read_begin (shr_cache_t *cache, uint64_t now_ms, uint64_t *after)
{
  if (now_ms < shr_due_ms (cache))
    return false;
  cache->is_reading = true;
  cache->reading_since_ms = now_ms;
  *after = cache->as_of;
  return true;
}

static shr_item_t *
item_need (shr_cache_t *cache, kb_slice_t key)
{
  uint64_t hash = kb_hash (key.ptr, key.len_bytes, 0) | 1;
  shr_item_t *item = kb_map_get (&cache->items, hash);
  if (item != NULL)
    return item;
  item = kb_alloc (sizeof *item);
  *item = (shr_item_t){ .key = kb_slice_dup (key) };
  kb_map_put (&cache->items, hash, item);
  return item;
}

static void
change_take (shr_cache_t *cache, const shr_change_t *change)
{
  shr_item_t *item = item_need (cache, change->key);
  bool is_same = item->tellings > 0 && item->digest == change->digest
                 && item->is_gone == change->is_gone;
  if (is_same && item->tellings == PASSED_TELLINGS)
    return;
  item->tellings = is_same ? item->tellings + 1 : 1;
  item->digest = change->digest;
  item->is_gone = change->is_gone;
  item->revision = change->revision;
  kb_buf_clear (&item->value);
  kb_buf_append (&item->value, change->value.ptr, change->value.len_bytes);
}

/// Keep nothing: who lacks older changes reads the store itself.
static void
cache_forget (shr_cache_t *cache, uint64_t as_of)
{
  items_clear (cache);
  cache->floor = as_of;
  cache->as_of = as_of;
  // What was read up to now does not cover what a later ask begins behind.
  if (as_of == 0)
    cache->began_ms = 0;
}

void
shr_read_answered (shr_cache_t *cache, const shr_change_t *changes,
                   uint32_t count, uint64_t as_of, uint64_t config_revision)
{
  cache->is_reading = false;
  cache->began_ms = cache->reading_since_ms;
  for (uint32_t i = 0; i < count; i++)
    change_take (cache, &changes[i]);
  if (as_of > cache->as_of)
    cache->as_of = as_of;
  if (config_revision > cache->config_revision)
    cache->config_revision = config_revision;
  if (cache->items.len > SHR_MAX_ITEMS)
    cache_forget (cache, cache->as_of);
}

void
shr_read_failed (shr_cache_t *cache, bool is_history_gone)
{
  cache->is_reading = false;
  for (uint32_t i = 0; i < cache->ask_count; i++)
    cache->asks[i].is_refused = true;
  // Begins again behind the next ask.
  if (is_history_gone)
    cache_forget (cache, 0);
}

const shr_item_t *
shr_next_change (const shr_cache_t *cache, uint64_t after, uint32_t *at)
{
  const shr_item_t *item = kb_map_next (&cache->items, at);
  while (item != NULL && item->revision <= after)
    item = kb_map_next (&cache->items, at);
  return item;
}
