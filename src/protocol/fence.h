/// @file fence.h
/// The record of an agent on the roster in the key-value service. Its fencing
/// number decides which of two agents owns a target, so a record that cannot
/// be read is never taken for one with the number zero.
#ifndef KB_PROTOCOL_FENCE_H
#define KB_PROTOCOL_FENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"

/// Prefix of the records' keys; the agent's name follows.
#define FNC_KEY_PREFIX "kb/roster/"

/// Largest number that each JSON parser reads exactly.
#define FNC_MAX_NUMBER ((int64_t)1 << 53)

typedef struct
{
  uint64_t fence;
  uint64_t incarnation;
  uint64_t memory_since_wall_ms; ///< The claim history is complete since.
  bool has_left;                 ///< It handed its claim records to entries.
} fnc_record_t;

/// @return  False if the text is no record; `out` is then not set.
bool fnc_record_parse (kb_slice_t text, fnc_record_t *out);
/// Append the record as JSON.
void fnc_record_write (const fnc_record_t *record, kb_buf_t *out);

#endif
