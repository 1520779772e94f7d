/// @file memlimit.h
/// Memory of the machine, and the part of it that callers and peers may fill.
#ifndef KB_TRANSPORT_MEMLIMIT_H
#define KB_TRANSPORT_MEMLIMIT_H

#include <stdint.h>

#include "state/buf.h"

enum
{
  /// A request that makes a process hold no more than this is a small one.
  MLM_SMALL_BYTES = 65536,
};

/// @param memory_mb  Memory that was set for the process, MB; zero: as the
///                   system reports.
/// @return           Memory that the process may use, in bytes.
uint64_t mlm_machine_bytes (uint64_t memory_mb);
/// @param memory_mb  As for mlm_machine_bytes.
/// @return           Bytes that callers and peers may make the process hold.
///                   The rest is for its own state, and for what the kernel
///                   and the allocator add.
uint64_t mlm_peer_limit_bytes (uint64_t memory_mb);
/// @return  The part of an account's limit that large requests may fill. The
///          rest is kept for small ones and for answers.
uint64_t mlm_large_limit_bytes (const kb_account_t *account);

#endif
