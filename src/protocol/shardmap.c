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
    {
      struct json_object *item = json_object_array_get_idx (list, s);
      snprintf (out[s].owner, sizeof out[s].owner, "%s",
                jsn_str (item, "o", ""));
      out[s].incarnation = strtoull (jsn_str (item, "i", "0"), NULL, 16);
      out[s].epoch = (uint64_t)jsn_int (item, "e", 0);
    }
  json_object_put (doc);
  return is_valid;
}
