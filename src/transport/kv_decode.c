#include "transport/kv_decode.h"

#include <openssl/evp.h>
#include <stdlib.h>

#include "protocol/json.h"
#include "protocol/json_walk.h"

enum
{
  MAX_DIGITS = 19, ///< Of a number that fits in 64 bits.
  BASE64_GROUP_BYTES = 4,
};

static bool
append_from_base64 (kb_buf_t *out, const char *text)
{
  size_t len = strlen (text);
  if (len % BASE64_GROUP_BYTES != 0)
    return false;
  unsigned char *bytes = kb_alloc (len / BASE64_GROUP_BYTES * 3 + 1);
  int decoded_bytes
      = EVP_DecodeBlock (bytes, (const unsigned char *)text, (int)len);
  if (decoded_bytes >= 0)
    {
      if (len > 0 && text[len - 1] == '=')
        decoded_bytes--;
      if (len > 1 && text[len - 2] == '=')
        decoded_bytes--;
      kb_buf_append (out, bytes, (size_t)decoded_bytes);
    }
  free (bytes);
  return decoded_bytes >= 0;
}

uint64_t
kvd_json_u64 (struct json_object *obj, const char *key)
{
  struct json_object *value = jsn_get (obj, key);
  if (!json_object_is_type (value, json_type_string)
      && !json_object_is_type (value, json_type_int))
    return 0;
  const char *digits = json_object_get_string (value);
  size_t len = strspn (digits, "0123456789");
  if (len == 0 || len > MAX_DIGITS || digits[len] != '\0')
    return 0;
  return strtoull (digits, NULL, 10);
}

/// @return  False if the key is not base64.
static bool
decode_key (struct json_object *kv, kb_buf_t *out)
{
  const char *text = jsn_str (kv, "key", "");
  return text[0] != '\0' && append_from_base64 (out, text);
}

static bool
key_fits (const kb_buf_t *key)
{
  return key->len_bytes > 0 && key->len_bytes < KVC_KEY_BYTES
         && memchr (key->ptr, '\0', key->len_bytes) == NULL;
}

/// Set what stands beside the key.
static void
decode_content (struct json_object *kv, kvc_item_t *out, kb_buf_t *value)
{
  if (!append_from_base64 (value, jsn_str (kv, "value", "")))
    kb_buf_clear (value);
  out->value = kb_buf_slice (value);
  out->mod_revision = kvd_json_u64 (kv, "mod_revision");
}

bool
kvd_item_decode (struct json_object *kv, kvc_item_t *out, kb_buf_t *value)
{
  *out = (kvc_item_t){ 0 };
  kb_buf_t key = { 0 };
  bool is_valid = decode_key (kv, &key) && key_fits (&key);
  if (is_valid)
    {
      kb_slice_copy (kb_buf_slice (&key), out->key, sizeof out->key);
      decode_content (kv, out, value);
    }
  kb_buf_finish (&key);
  return is_valid;
}

static kb_status_t
on_item (void *arg, struct json_object *kv, kb_error_t *error)
{
  kvd_range_t *range = arg;
  kb_buf_t key = { 0 };
  if (!decode_key (kv, &key))
    {
      kb_buf_finish (&key);
      return kb_error_set (error, KB_EINVAL, "kv: a key is not base64");
    }
  if (key_fits (&key))
    {
      uint32_t at = range->count++;
      range->items
          = kb_realloc (range->items, range->count * sizeof *range->items);
      range->values
          = kb_realloc (range->values, range->count * sizeof *range->values);
      range->items[at] = (kvc_item_t){ 0 };
      kb_buf_init (&range->values[at]);
      kb_slice_copy (kb_buf_slice (&key), range->items[at].key, KVC_KEY_BYTES);
      decode_content (kv, &range->items[at], &range->values[at]);
    }
  else
    range->ignored_count++;
  kb_buf_finish (&key);
  return KB_OK;
}

kb_status_t
kvd_range_decode (kb_slice_t text, kvd_range_t *out, kb_error_t *error)
{
  *out = (kvd_range_t){ 0 };
  struct json_object *rest = NULL;
  kb_status_t status
      = jsn_walk_list ("kv", text, "kvs", &rest, on_item, out, error);
  struct json_object *header = jsn_get (rest, "header");
  out->revision = kvd_json_u64 (header, "revision");
  out->cluster_id = kvd_json_u64 (header, "cluster_id");
  // The service leaves out an empty list. One that was found is empty in the
  // rest.
  struct json_object *kvs = jsn_get (rest, "kvs");
  bool is_list
      = kvs == NULL
        || (jsn_list (rest, "kvs") != NULL && jsn_list_len (kvs) == 0);
  if (status == KB_OK && (out->revision == 0 || !is_list))
    status = kb_error_set (error, KB_EINVAL, "kv: not an answer to a read");
  json_object_put (rest);
  if (status != KB_OK)
    kvd_range_finish (out);
  return status;
}

void
kvd_range_finish (kvd_range_t *range)
{
  for (uint32_t i = 0; i < range->count; i++)
    kb_buf_finish (&range->values[i]);
  free (range->values);
  free (range->items);
  *range = (kvd_range_t){ 0 };
}
