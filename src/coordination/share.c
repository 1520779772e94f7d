#include "coordination/share.h"

#include <stdlib.h>

enum
{
  /// An answer must be fresher than what the gateway knows by this part of its
  /// pause; otherwise both would exchange words without end.
  MIN_GAIN_DIVISOR = 8,
  /// Equal repeat_count that are passed on: an older birth is believed when it
  /// is told INC_INSIST times in a row, and some of these may be missed. After
  /// them a heartbeat is no news.
  MAX_FORWARDED_REPEATS = 8,
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
shr_request_add (shr_cache_t *cache, const shr_request_t *request)
{
  uint32_t at = 0;
  while (at < cache->request_count
         && strcmp (cache->requests[at].gateway, request->gateway) != 0)
    at++;
  if (at == SHR_MAX_REQUESTS)
    return false;
  if (at == cache->request_count)
    cache->request_count++;
  cache->requests[at] = *request;
  if (cache->as_of == 0)
    {
      cache->as_of = request->after;
      cache->floor_revision = request->after;
    }
  return true;
}

/// @return  Whether what is known here is fresher than what the gateway knows.
static bool
is_fresher (const shr_cache_t *cache, const shr_request_t *request,
            uint64_t now_ms)
{
  if (cache->read_began_ms == 0)
    return false;
  uint64_t requester_age_ms
      = request->known_age_ms + (now_ms - request->arrived_ms);
  uint64_t cache_age_ms = now_ms - cache->read_began_ms;
  return cache_age_ms + request->pause_ms / MIN_GAIN_DIVISOR
         <= requester_age_ms;
}

/// @return  Whether an request can be answered now.
static bool
request_resolve (const shr_cache_t *cache, const shr_request_t *request,
                 uint64_t now_ms, shr_status_t *verdict)
{
  *verdict = SHR_READ_FAILED;
  if (request->is_read_failed)
    return true;
  *verdict = SHR_TOO_OLD;
  if (request->after < cache->floor_revision)
    return true;
  *verdict = SHR_CHANGES_KNOWN;
  return is_fresher (cache, request, now_ms);
}

bool
shr_request_pop (shr_cache_t *cache, uint64_t now_ms, shr_request_t *out,
                 shr_status_t *verdict)
{
  for (uint32_t i = 0; i < cache->request_count; i++)
    {
      if (!request_resolve (cache, &cache->requests[i], now_ms, verdict))
        continue;
      *out = cache->requests[i];
      cache->requests[i] = cache->requests[--cache->request_count];
      return true;
    }
  return false;
}

uint64_t
shr_due_ms (const shr_cache_t *cache)
{
  if (cache->is_reading || cache->request_count == 0)
    return UINT64_MAX;
  uint64_t pause_ms = UINT64_MAX;
  for (uint32_t i = 0; i < cache->request_count; i++)
    if (cache->requests[i].pause_ms < pause_ms)
      pause_ms = cache->requests[i].pause_ms;
  return cache->read_began_ms == 0 ? 0 : cache->read_began_ms + pause_ms;
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
item_ensure (shr_cache_t *cache, kb_slice_t key)
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
change_apply (shr_cache_t *cache, const shr_change_t *change)
{
  shr_item_t *item = item_ensure (cache, change->key);
  bool is_same = item->repeat_count > 0 && item->digest == change->digest
                 && item->is_gone == change->is_gone;
  if (is_same && item->repeat_count == MAX_FORWARDED_REPEATS)
    return;
  item->repeat_count = is_same ? item->repeat_count + 1 : 1;
  item->digest = change->digest;
  item->is_gone = change->is_gone;
  item->revision = change->revision;
  kb_buf_clear (&item->value);
  kb_buf_append (&item->value, change->value.ptr, change->value.len_bytes);
}

/// Keep nothing: who lacks older changes reads the store itself.
static void
cache_reset (shr_cache_t *cache, uint64_t as_of)
{
  items_clear (cache);
  cache->floor_revision = as_of;
  cache->as_of = as_of;
  // What was read up to now does not cover what a later request begins behind.
  if (as_of == 0)
    cache->read_began_ms = 0;
}

void
shr_read_answered (shr_cache_t *cache, const shr_change_t *changes,
                   uint32_t count, uint64_t as_of, uint64_t config_revision)
{
  cache->is_reading = false;
  cache->read_began_ms = cache->reading_since_ms;
  for (uint32_t i = 0; i < count; i++)
    change_apply (cache, &changes[i]);
  if (as_of > cache->as_of)
    cache->as_of = as_of;
  if (config_revision > cache->config_revision)
    cache->config_revision = config_revision;
  if (cache->items.len > SHR_MAX_ITEMS)
    cache_reset (cache, cache->as_of);
}

void
shr_read_failed (shr_cache_t *cache, bool is_history_gone)
{
  cache->is_reading = false;
  for (uint32_t i = 0; i < cache->request_count; i++)
    cache->requests[i].is_read_failed = true;
  // Begins again behind the next request.
  if (is_history_gone)
    cache_reset (cache, 0);
}

const shr_item_t *
shr_next_change (const shr_cache_t *cache, uint64_t after, uint32_t *at)
{
  const shr_item_t *item = kb_map_next (&cache->items, at);
  while (item != NULL && item->revision <= after)
    item = kb_map_next (&cache->items, at);
  return item;
}
