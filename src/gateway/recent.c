#include "gateway/recent.h"

#include <string.h>

void
rct_adapters_finish (rct_adapters_t *recent)
{
  kb_map_finish (&recent->versions);
}

void
rct_adapters_clear (rct_adapters_t *recent)
{
  kb_map_finish (&recent->versions);
  memset (recent, 0, sizeof *recent);
}

void
rct_add (rct_adapters_t *recent, uint64_t key, uint32_t version)
{
  bool is_known = kb_map_get (&recent->versions, key) != NULL;
  kb_map_put (&recent->versions, key, (void *)((uintptr_t)version + 1));
  if (is_known)
    return;
  uint64_t *slot = &recent->keys[recent->next++ % RCT_MAX_ADAPTERS];
  if (*slot != 0)
    kb_map_remove (&recent->versions, *slot);
  *slot = key;
}

bool
rct_was_held (const rct_adapters_t *recent, uint64_t key, uint32_t version)
{
  uintptr_t held = (uintptr_t)kb_map_get (&recent->versions, key);
  return held > version;
}
