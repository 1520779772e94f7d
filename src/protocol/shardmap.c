#include "protocol/shardmap.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/json.h"

bool
shm_merge (shm_shard_t read[SHM_SHARDS], const shm_shard_t known[SHM_SHARDS])
{
  bool is_outdated = false;
  for (uint32_t i = 0; i < SHM_SHARDS; i++)
    if (known[i].epoch > read[i].epoch)
      {
        read[i] = known[i];
        is_outdated = true;
      }
  return is_outdated;
}

void
shm_write (const shm_shard_t shards[SHM_SHARDS], kb_buf_t *out)
{
  kb_buf_append_str (out, "{\"shards\":[");
  for (uint32_t s = 0; s < SHM_SHARDS; s++)
    kb_buf_printf (
        out, "%s{\"o\":\"%s\",\"i\":\"%016" PRIx64 "\",\"e\":%" PRIu64 "}",
        s > 0 ? "," : "", shards[s].owner, shards[s].incarnation,
        shards[s].epoch);
  kb_buf_append_str (out, "]}");
}

/// @return  False if the element is not one that shm_write writes.
static bool
parse_shard (struct json_object *item, shm_shard_t *out)
{
  const char *owner = jsn_str (item, "o", NULL);
  const char *incarnation = jsn_str (item, "i", "");
  int64_t epoch = jsn_int (item, "e", -1);
  if (owner == NULL || strlen (owner) >= sizeof out->owner || epoch < 0
      || epoch >= SHM_MAX_EPOCH || strlen (incarnation) != 16
      || strspn (incarnation, "0123456789abcdef") != 16)
    return false;
  *out = (shm_shard_t){ .incarnation = strtoull (incarnation, NULL, 16),
                        .epoch = (uint64_t)epoch };
  snprintf (out->owner, sizeof out->owner, "%s", owner);
  return true;
}

bool
shm_parse (kb_slice_t text, shm_shard_t out[SHM_SHARDS])
{
  struct json_object *doc;
  if (jsn_parse_text ("claims", text, &doc, NULL) != KB_OK)
    return false;
  struct json_object *list = jsn_get (doc, "shards");
  bool is_valid = json_object_is_type (list, json_type_array)
                  && json_object_array_length (list) == SHM_SHARDS;
  for (uint32_t s = 0; is_valid && s < SHM_SHARDS; s++)
    is_valid = parse_shard (json_object_array_get_idx (list, s), &out[s]);
  json_object_put (doc);
  return is_valid;
}
