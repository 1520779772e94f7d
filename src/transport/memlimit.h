/// @file memlimit.h
/// Memory of the machine, and the part of it that callers and peers may fill.
#ifndef KB_TRANSPORT_MEMLIMIT_H
#define KB_TRANSPORT_MEMLIMIT_H

#include <stdint.h>

/// @param memory_mb  Memory that was set for the process, MB; zero: as the
///                   system reports.
/// @return           Memory that the process may use, in bytes.
uint64_t mlm_machine_bytes (uint64_t memory_mb);
/// @param memory_mb  As for mlm_machine_bytes.
/// @return           Bytes that callers and peers may make the process hold.
///                   The rest is for its own state, and for what the kernel
///                   and the allocator add.
uint64_t mlm_peer_limit_bytes (uint64_t memory_mb);

#endif
