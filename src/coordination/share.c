#include "coordination/share.h"

#include <stdlib.h>

enum
{
  /// An answer must be fresher than the gateway's state by 1 / this of its
  /// pause; otherwise both sides would exchange messages in a busy loop.
  MIN_GAIN_DIVISOR = 8,
  /// Equal changes in a row that are forwarded: an older birth time is
  /// accepted after INC_MIN_OLDER_REPORTS equal reports in a row, some of
  /// which may be missed. Further heartbeats are not forwarded.
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

/// Clear the cache. Gateways that need older changes must read the store.
/// @param as_of  Zero: it restarts at the revision of the next request.
static void
cache_reset (shr_cache_t *cache, uint64_t era, uint64_t as_of)
{
  items_clear (cache);
  if (era != cache->era)
    cache->config_revision = 0;
  cache->era = era;
  cache->floor_revision = as_of;
  cache->as_of = as_of;
  // Earlier reads do not cover the revision from which the next request
  // starts.
  if (as_of == 0)
    cache->read_began_ms = 0;
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
  // A read that is under way is answered for the cache as it is.
  if (request->era > cache->era && !cache->is_reading)
    cache_reset (cache, request->era, 0);
  if (cache->as_of == 0 && request->era >= cache->era)
    cache_reset (cache, request->era, request->after);
  return true;
}

/// @return  Whether the cache is fresher than the gateway's state.
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

/// @return  Whether a request can be answered now, with `status`.
static bool
request_resolve (const shr_cache_t *cache, const shr_request_t *request,
                 uint64_t now_ms, shr_status_t *status)
{
  *status = SHR_TOO_OLD;
  if (request->era != cache->era)
    return true;
  *status = SHR_READ_FAILED;
  if (request->is_read_failed)
    return true;
  *status = SHR_TOO_OLD;
  if (request->after < cache->floor_revision)
    return true;
  *status = SHR_CHANGES_KNOWN;
  return is_fresher (cache, request, now_ms);
}

bool
shr_request_pop (shr_cache_t *cache, uint64_t now_ms, shr_request_t *out,
                 shr_status_t *status)
{
  for (uint32_t i = 0; i < cache->request_count; i++)
    {
      if (!request_resolve (cache, &cache->requests[i], now_ms, status))
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

/// @return  Whether the store was restored since the last answer.
static bool
is_other_era (const shr_cache_t *cache, const shr_answer_t *answer)
{
  return answer->era != cache->era || answer->as_of < cache->as_of;
}

void
shr_read_answered (shr_cache_t *cache, const shr_answer_t *answer)
{
  if (is_other_era (cache, answer))
    {
      cache_reset (cache, answer->era, 0);
      shr_read_failed (cache, true);
      return;
    }
  cache->is_reading = false;
  cache->read_began_ms = cache->reading_since_ms;
  for (uint32_t i = 0; i < answer->change_count; i++)
    change_apply (cache, &answer->changes[i]);
  cache->as_of = answer->as_of;
  if (answer->config_revision > cache->config_revision)
    cache->config_revision = answer->config_revision;
  if (cache->items.len > SHR_MAX_ITEMS)
    cache_reset (cache, cache->era, cache->as_of);
}

void
shr_read_failed (shr_cache_t *cache, bool is_history_gone)
{
  cache->is_reading = false;
  for (uint32_t i = 0; i < cache->request_count; i++)
    cache->requests[i].is_read_failed = true;
  // Restarts at the revision of the next request.
  if (is_history_gone)
    cache_reset (cache, cache->era, 0);
}

const shr_item_t *
shr_next_change (const shr_cache_t *cache, uint64_t after, uint32_t *at)
{
  const shr_item_t *item = kb_map_next (&cache->items, at);
  while (item != NULL && item->revision <= after)
    item = kb_map_next (&cache->items, at);
  return item;
}
