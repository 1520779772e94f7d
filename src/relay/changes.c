#include "relay/changes.h"

/// Precedes the bytes of each key and value.
typedef struct
{
  uint64_t revision;
  uint32_t key_bytes;
  uint32_t value_bytes;
  uint64_t is_gone;
} chg_header_t;

void
chg_pack (kb_buf_t *out, const src_change_t *change)
{
  chg_header_t header = { .revision = change->revision,
                          .key_bytes = change->key.len_bytes,
                          .value_bytes = change->value.len_bytes,
                          .is_gone = change->is_gone };
  kb_buf_append (out, &header, sizeof header);
  kb_buf_append (out, change->key.ptr, change->key.len_bytes);
  kb_buf_append (out, change->value.ptr, change->value.len_bytes);
}

kb_status_t
chg_unpack (kb_slice_t packed, uint32_t *at, src_change_t *out)
{
  if (*at == packed.len_bytes)
    return KB_ENOTFOUND;
  chg_header_t header;
  uint64_t left_bytes = packed.len_bytes - *at;
  if (left_bytes < sizeof header)
    return KB_EINVAL;
  memcpy (&header, packed.ptr + *at, sizeof header);
  left_bytes -= sizeof header;
  if ((uint64_t)header.key_bytes + header.value_bytes > left_bytes
      || header.is_gone > 1)
    return KB_EINVAL;
  const char *key = packed.ptr + *at + sizeof header;
  *out = (src_change_t){ .revision = header.revision,
                         .key = { key, header.key_bytes },
                         .value
                         = { key + header.key_bytes, header.value_bytes },
                         .is_gone = header.is_gone != 0 };
  *at += (uint32_t)sizeof header + header.key_bytes + header.value_bytes;
  return KB_OK;
}
