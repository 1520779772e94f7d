/// @file changes.h
/// Changes of the store in one byte string, for messages between daemons.
#ifndef KB_RELAY_CHANGES_H
#define KB_RELAY_CHANGES_H

#include "gateway/source.h"

void chg_pack (kb_buf_t *out, const src_change_t *change);
/// Read the next change: start with `*at` = 0.
/// @return  KB_ENOTFOUND at the end; KB_EINVAL: these bytes are no changes.
kb_status_t chg_unpack (kb_slice_t packed, uint32_t *at, src_change_t *out);

#endif
