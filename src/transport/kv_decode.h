/// @file kv_decode.h
/// Decoder of what the key-value service answers to a read of a range. Any
/// client may write under our prefixes: an odd item costs that item alone.
#ifndef KB_TRANSPORT_KV_DECODE_H
#define KB_TRANSPORT_KV_DECODE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/status.h"

enum
{
  KVC_KEY_BYTES = 160,
};

typedef struct
{
  char key[KVC_KEY_BYTES];
  kb_slice_t value;      ///< Empty if it cannot be decoded.
  uint64_t mod_revision; ///< For kvc_cas; 0: the key is absent.
} kvc_item_t;

/// Decoded answer.
typedef struct
{
  kvc_item_t *items;
  kb_buf_t *values; ///< Hold the values of `items`.
  uint32_t count;
  uint32_t ignored_count; ///< Items whose key is none of ours.
  uint64_t revision;      ///< Of the service; not zero.
  uint64_t cluster_id;    ///< Zero: not stated.
} kvd_range_t;

/// Decode an item.
/// @param value  Receives the value; the caller releases it.
/// @return       False if the key cannot be one of ours: it is not base64, has
///               a zero byte, or does not fit.
bool kvd_item_decode (struct json_object *kv, kvc_item_t *out,
                      kb_buf_t *value);
/// Decode an answer. An answer that does not state the revision, or with an
/// item whose key is not known, is rejected, since a key that it lacks is not
/// known to be absent.
/// @param out  Receives the items, which the caller releases with
///             kvd_range_finish; empty on error.
kb_status_t kvd_range_decode (kb_slice_t text, kvd_range_t *out,
                              kb_error_t *error);
void kvd_range_finish (kvd_range_t *range);
/// @return  A member that is a decimal number or a string of digits; zero for
///          anything else.
uint64_t kvd_json_u64 (struct json_object *obj, const char *key);

#endif
