/// @file fake_kv.c
/// Fake key-value service: the etcd v3 JSON calls that the daemons make.
#include <inttypes.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake.h"

enum
{
  KV_MAX_WATCHES = 2048,
};

typedef struct
{
  char *key; ///< Decoded, because base64 does not keep the order of keys.
  char *value64;
  uint64_t mod_revision;
} kv_item_t;

typedef struct
{
  hts_request_t *http;
  char *from;
  char *to;
} watch_t;

/// A call whose answer is delayed.
typedef struct
{
  hts_request_t *http;
  tmr_timer_t timer;
} delayed_call_t;

static struct
{
  int64_t latency_ms;
  int64_t lose_cas; ///< Number of next writes whose answers are lost.
  bool is_down;     ///< Accepts calls and never answers them.
} faults;

static kv_item_t *items;
static uint32_t item_count;
static uint64_t revision = 1;
static kv_item_t *saved_items; ///< Copy from which the service comes back.
static uint32_t saved_count;
static uint64_t saved_revision;
static watch_t watches[KV_MAX_WATCHES];
static uint64_t reads;
static uint64_t writes;
static uint64_t watch_calls;
static uint64_t oversized_writes;

static char *
decode (const char *text)
{
  size_t len = strlen (text);
  char *out = kb_alloc (len / 4 * 3 + 4);
  int got = EVP_DecodeBlock ((unsigned char *)out, (const unsigned char *)text,
                             (int)len);
  if (got > 0 && len > 0 && text[len - 1] == '=')
    out[--got] = '\0';
  if (got > 0 && len > 1 && text[len - 2] == '=')
    out[--got] = '\0';
  return out;
}

static void
append_item (const kv_item_t *item, kb_buf_t *out)
{
  char key64[512];
  EVP_EncodeBlock ((unsigned char *)key64, (const unsigned char *)item->key,
                   (int)strlen (item->key));
  kb_buf_printf (out,
                 "{\"key\":\"%s\",\"mod_revision\":\"%" PRIu64
                 "\",\"value\":\"%s\"}",
                 key64, item->mod_revision, item->value64);
}

static bool
is_in_range (const char *key, const char *from, const char *to)
{
  if (to[0] == '\0')
    return strcmp (key, from) == 0;
  return strcmp (key, from) >= 0 && strcmp (key, to) < 0;
}

static void
notify (const kv_item_t *item)
{
  for (int i = 0; i < KV_MAX_WATCHES; i++)
    {
      watch_t *w = &watches[i];
      if (w->http == NULL || !is_in_range (item->key, w->from, w->to))
        continue;
      kb_buf_t line = { 0 };
      kb_buf_append_str (&line,
                         "{\"result\":{\"events\":[{\"type\":\"PUT\",\"kv\":");
      append_item (item, &line);
      kb_buf_append_str (&line, "}]}}\n");
      hts_stream_write (w->http, kb_buf_slice (&line));
      kb_buf_finish (&line);
    }
}

static kv_item_t *
item_find (const char *key)
{
  for (uint32_t i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0)
      return &items[i];
  return NULL;
}

static void
item_put (const char *key, const char *value64)
{
  kv_item_t *item = item_find (key);
  writes++;
  oversized_writes += strlen (value64) > (1 << 20) * 4 / 3 + 4;
  if (item == NULL)
    {
      items = kb_realloc (items, (item_count + 1) * sizeof *items);
      item = &items[item_count++];
      *item = (kv_item_t){ .key = kb_strdup (key) };
    }
  free (item->value64);
  item->value64 = kb_strdup (value64);
  item->mod_revision = ++revision;
  notify (item);
}

static void
on_range (hts_request_t *http, struct json_object *doc)
{
  reads++;
  char *from = decode (jsn_str (doc, "key", ""));
  char *to = decode (jsn_str (doc, "range_end", ""));
  kb_buf_t body = { 0 };
  kb_buf_printf (&body, "{\"header\":{\"revision\":\"%" PRIu64 "\"},\"kvs\":[",
                 revision);
  bool is_first = true;
  for (uint32_t i = 0; i < item_count; i++)
    if (is_in_range (items[i].key, from, to))
      {
        if (!is_first)
          kb_buf_append_str (&body, ",");
        append_item (&items[i], &body);
        is_first = false;
      }
  kb_buf_append_str (&body, "]}");
  fk_reply (http, 200, &body);
  kb_buf_finish (&body);
  free (from);
  free (to);
}

static void
reply_write (hts_request_t *http, bool is_done)
{
  if (faults.lose_cas > 0)
    {
      faults.lose_cas--;
      fk_reply_truncated (http);
      return;
    }
  fk_reply_text (http, 200,
                 is_done ? "{\"succeeded\":true}" : "{\"succeeded\":false}");
}

static void
on_txn (hts_request_t *http, struct json_object *doc)
{
  struct json_object *compare
      = json_object_array_get_idx (jsn_get (doc, "compare"), 0);
  struct json_object *put = jsn_get (
      json_object_array_get_idx (jsn_get (doc, "success"), 0), "request_put");
  char *key = decode (jsn_str (compare, "key", ""));
  uint64_t expected
      = strtoull (jsn_str (compare, "mod_revision", "0"), NULL, 10);
  kv_item_t *item = item_find (key);
  bool is_match = (item == NULL ? 0 : item->mod_revision) == expected;
  if (is_match)
    item_put (key, jsn_str (put, "value", ""));
  else
    writes++;
  free (key);
  reply_write (http, is_match);
}

static void
on_put (hts_request_t *http, struct json_object *doc)
{
  char *key = decode (jsn_str (doc, "key", ""));
  item_put (key, jsn_str (doc, "value", ""));
  free (key);
  reply_write (http, true);
}

static void
on_watch (hts_request_t *http, struct json_object *doc)
{
  watch_calls++;
  struct json_object *create = jsn_get (doc, "create_request");
  hts_stream_begin (http, 200, "application/json");
  hts_stream_write (http, kb_slice_str ("{\"result\":{\"created\":true}}\n"));
  for (int i = 0; i < KV_MAX_WATCHES; i++)
    if (watches[i].http == NULL)
      {
        watches[i] = (watch_t){ http, decode (jsn_str (create, "key", "")),
                                decode (jsn_str (create, "range_end", "")) };
        return;
      }
}

static void
handle_call (hts_request_t *http)
{
  if (fk_path_is (http, "/stats"))
    {
      uint32_t open_watches = 0;
      for (int i = 0; i < KV_MAX_WATCHES; i++)
        open_watches += watches[i].http != NULL;
      kb_buf_t body = { 0 };
      kb_buf_printf (&body,
                     "{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64
                     ",\"watch_calls\":%" PRIu64
                     ",\"open_watches\":%u,\"too_large\":%" PRIu64 "}",
                     reads, writes, watch_calls, open_watches,
                     oversized_writes);
      fk_reply (http, 200, &body);
      kb_buf_finish (&body);
      return;
    }
  struct json_object *doc = fk_body (http);
  if (fk_path_is (http, "/v3/kv/range"))
    on_range (http, doc);
  else if (fk_path_is (http, "/v3/kv/txn"))
    on_txn (http, doc);
  else if (fk_path_is (http, "/v3/kv/put"))
    on_put (http, doc);
  else if (fk_path_is (http, "/v3/watch"))
    on_watch (http, doc);
  else
    fk_reply_text (http, 404, "{}");
  json_object_put (doc);
}

static void
delayed_call_fire (void *arg)
{
  delayed_call_t *delayed_call = arg;
  hts_request_t *http = delayed_call->http;
  if (http != NULL)
    {
      http->owner = NULL;
      handle_call (http);
    }
  free (delayed_call);
}

static void
kv_request (hts_request_t *http)
{
  bool is_control = fk_path_is (http, "/stats");
  if (faults.is_down && !is_control)
    return;
  if (faults.latency_ms == 0 || is_control)
    {
      handle_call (http);
      return;
    }
  delayed_call_t *delayed_call = kb_alloc (sizeof *delayed_call);
  delayed_call->http = http;
  http->owner = delayed_call;
  tmr_start_once (&fk_timers, &delayed_call->timer,
                  (uint64_t)faults.latency_ms, delayed_call_fire,
                  delayed_call);
}

static void
kv_abort (hts_request_t *http)
{
  if (http->owner != NULL)
    ((delayed_call_t *)http->owner)->http = NULL;
  for (int i = 0; i < KV_MAX_WATCHES; i++)
    if (watches[i].http == http)
      {
        free (watches[i].from);
        free (watches[i].to);
        watches[i] = (watch_t){ 0 };
      }
}

static kv_item_t *
copy_items (const kv_item_t *from, uint32_t count)
{
  kv_item_t *out = kb_alloc ((count + 1) * sizeof *out);
  for (uint32_t i = 0; i < count; i++)
    out[i] = (kv_item_t){ .key = kb_strdup (from[i].key),
                          .value64 = kb_strdup (from[i].value64),
                          .mod_revision = from[i].mod_revision };
  return out;
}

static void
save_copy (void)
{
  saved_items = copy_items (items, item_count);
  saved_count = item_count;
  saved_revision = revision;
}

static void
restore_copy (void)
{
  items = copy_items (saved_items, saved_count);
  item_count = saved_count;
  revision = saved_revision;
}

static void
kv_fault (struct json_object *f)
{
  if (jsn_bool (f, "save_copy", false))
    save_copy ();
  // Watches end, and what was written since is lost.
  bool is_restored = jsn_bool (f, "restore_copy", false);
  if (is_restored)
    restore_copy ();
  faults.latency_ms = jsn_int (f, "latency_ms", faults.latency_ms);
  faults.lose_cas = jsn_int (f, "lose_cas", faults.lose_cas);
  faults.is_down = jsn_bool (f, "down", faults.is_down);
  // Muted watches stay open and receive nothing more.
  bool is_mute = jsn_bool (f, "mute_watches", false);
  if (!jsn_bool (f, "drop_watches", false) && !faults.is_down && !is_mute
      && !is_restored)
    return;
  for (int i = 0; i < KV_MAX_WATCHES; i++)
    {
      hts_request_t *http = watches[i].http;
      if (http == NULL)
        continue;
      free (watches[i].from);
      free (watches[i].to);
      watches[i] = (watch_t){ 0 };
      if (!is_mute)
        hts_stream_end (http, false);
    }
}

const fk_role_t fk_kv = { kv_request, kv_abort, kv_fault };
