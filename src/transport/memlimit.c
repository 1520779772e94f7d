#include "transport/memlimit.h"

#include <uv.h>

enum
{
  PEER_PERCENT = 50,
  LARGE_PERCENT = 88,
  PERCENT = 100,
  BYTES_PER_MB = 1 << 20,
};

uint64_t
mlm_machine_bytes (uint64_t memory_mb)
{
  if (memory_mb > 0)
    return memory_mb * BYTES_PER_MB;
  uint64_t total_bytes = uv_get_total_memory ();
  uint64_t limit_bytes = uv_get_constrained_memory ();
  return limit_bytes == 0 || limit_bytes > total_bytes ? total_bytes
                                                       : limit_bytes;
}

uint64_t
mlm_peer_limit_bytes (uint64_t memory_mb)
{
  return mlm_machine_bytes (memory_mb) / PERCENT * PEER_PERCENT;
}

uint64_t
mlm_large_limit_bytes (const kb_account_t *account)
{
  return account->limit_bytes / PERCENT * LARGE_PERCENT;
}
