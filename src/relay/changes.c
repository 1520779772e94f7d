#include "relay/changes.h"

/// Comes before the bytes of each key and value.
typedef struct
{
  uint64_t revision;
  uint32_t key_bytes;
  uint32_t value_bytes;
  uint64_t is_gone;
} chg_head_t;

void
chg_pack (kb_buf_t *out, const src_change_t *change)
{
  chg_head_t head = { .revision = change->revision,
                      .key_bytes = change->key.len_bytes,
                      .value_bytes = change->value.len_bytes,
                      .is_gone = change->is_gone };
  kb_buf_append (out, &head, sizeof head);
  kb_buf_append (out, change->key.ptr, change->key.len_bytes);
  kb_buf_append (out, change->value.ptr, change->value.len_bytes);
}

kb_status_t
chg_unpack (kb_slice_t packed, uint32_t *at, src_change_t *out)
{
  if (*at == packed.len_bytes)
    return KB_ENOTFOUND;
  chg_head_t head;
  uint64_t left_bytes = packed.len_bytes - *at;
  if (left_bytes < sizeof head)
    return KB_EINVAL;
  memcpy (&head, packed.ptr + *at, sizeof head);
  left_bytes -= sizeof head;
  if ((uint64_t)head.key_bytes + head.value_bytes > left_bytes
      || head.is_gone > 1)
    return KB_EINVAL;
  const char *key = packed.ptr + *at + sizeof head;
  *out = (src_change_t){ .revision = head.revision,
                         .key = { key, head.key_bytes },
                         .value = { key + head.key_bytes, head.value_bytes },
                         .is_gone = head.is_gone != 0 };
  *at += (uint32_t)sizeof head + head.key_bytes + head.value_bytes;
  return KB_OK;
}
