#include "state/config.h"

#include <stdlib.h>

enum
{
  BLOCK_BYTES = 256 << 10, ///< Above malloc's mmap threshold.
  ALIGN_BYTES = 8
};

struct cfg_block
{
  cfg_block_t *next;
  size_t used_bytes;
  size_t cap_bytes;
  char bytes[];
};

void *
cfg_alloc (cfg_config_t *config, size_t bytes)
{
  cfg_block_t *block = config->arena.blocks;
  bytes = (bytes + ALIGN_BYTES - 1) / ALIGN_BYTES * ALIGN_BYTES;
  if (block == NULL || block->cap_bytes - block->used_bytes < bytes)
    {
      size_t cap = bytes > BLOCK_BYTES ? bytes : BLOCK_BYTES;
      block = kb_alloc (sizeof *block + cap);
      block->cap_bytes = cap;
      block->next = config->arena.blocks;
      config->arena.blocks = block;
    }
  void *memory = block->bytes + block->used_bytes;
  block->used_bytes += bytes;
  return memory;
}

char *
cfg_strdup (cfg_config_t *config, const char *text)
{
  size_t bytes = strlen (text) + 1;
  return memcpy (cfg_alloc (config, bytes), text, bytes);
}

void
cfg_config_finish (cfg_config_t *config)
{
  cfg_block_t *block = config->arena.blocks;
  while (block != NULL)
    {
      cfg_block_t *next = block->next;
      free (block);
      block = next;
    }
  kb_map_finish (&config->adapter_by_name);
  *config = (cfg_config_t){ 0 };
}

const cfg_service_t *
cfg_service_find (const cfg_config_t *config, kb_slice_t name)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    if (kb_slice_equal (kb_slice_str (config->services[i].name), name))
      return &config->services[i];
  return NULL;
}

const cfg_adapter_t *
cfg_adapter_find (const cfg_config_t *config, kb_slice_t name)
{
  const cfg_adapter_t *adapter = kb_map_get (
      &config->adapter_by_name, kb_hash (name.ptr, name.len_bytes, 0) | 1);
  if (adapter == NULL || !kb_slice_equal (kb_slice_str (adapter->name), name))
    return NULL;
  return adapter;
}

const cfg_version_t *
cfg_version_find (const cfg_adapter_t *adapter, uint32_t number)
{
  for (uint32_t i = 0; i < adapter->version_count; i++)
    if (adapter->versions[i].number == number)
      return &adapter->versions[i];
  return NULL;
}

const cfg_workspace_t *
cfg_workspace_find (const cfg_config_t *config, const uint8_t *key_digest)
{
  for (uint32_t i = 0; i < config->workspace_count; i++)
    if (memcmp (config->workspaces[i].key_digest, key_digest,
                CFG_KEY_DIGEST_BYTES)
        == 0)
      return &config->workspaces[i];
  return NULL;
}

static bool
rule_field_matches (const char *expected, kb_slice_t value)
{
  return expected[0] == '\0'
         || kb_slice_equal (kb_slice_str (expected), value);
}

static bool
prefix_matches (const char *prefix, kb_slice_t value)
{
  size_t len = strlen (prefix);
  return len <= value.len_bytes && memcmp (prefix, value.ptr, len) == 0;
}

uint8_t
cfg_priority_class (const cfg_config_t *config,
                    const cfg_workspace_t *workspace, kb_slice_t service,
                    kb_slice_t adapter)
{
  kb_slice_t workspace_name = kb_slice_str (workspace->name);
  for (uint32_t i = 0; i < config->rule_count; i++)
    {
      const cfg_rule_t *rule = &config->rules[i];
      if (rule_field_matches (rule->workspace, workspace_name)
          && rule_field_matches (rule->service, service)
          && prefix_matches (rule->adapter_prefix, adapter))
        return rule->priority_class;
    }
  return workspace->priority_class;
}
