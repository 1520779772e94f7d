/// @file changes.h
/// Serializes changes of the store for messages between daemons.
#ifndef KB_RELAY_CHANGES_H
#define KB_RELAY_CHANGES_H

#include "gateway/source.h"

/// Append one change.
void chg_pack (kb_buf_t *out, const src_change_t *change);
/// Read the next change; its key and value point into `packed`.
/// @param at  Offset of the change, advanced past it; zero at the start.
/// @return    KB_ENOTFOUND at the end; KB_EINVAL: malformed bytes.
kb_status_t chg_unpack (kb_slice_t packed, uint32_t *at, src_change_t *out);

#endif
