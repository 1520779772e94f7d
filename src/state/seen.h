/// @file seen.h
/// Memory of faults that were reported, so that one that is found again at
/// each read is logged once.
#ifndef KB_STATE_SEEN_H
#define KB_STATE_SEEN_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  SEN_SLOTS = 128,
  SEN_FORGET_MS = 60000, ///< A fault not found for this long is new again.
};

/// Zero-initialized.
typedef struct
{
  uint64_t hashes[SEN_SLOTS]; ///< Zero: free.
  uint64_t seen_ms[SEN_SLOTS];
} sen_table_t;

/// Record a fault; if there is no room, in place of the one found least
/// recently.
/// @param hash  Identifies the fault; not zero.
/// @return      Whether it is to be reported.
bool sen_is_new (sen_table_t *table, uint64_t hash, uint64_t now_ms);

#endif
