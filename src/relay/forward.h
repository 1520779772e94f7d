/// @file forward.h
/// Configuration and adapter versions that one daemon passes on to another,
/// which may be cut off from the store.
#ifndef KB_RELAY_FORWARD_H
#define KB_RELAY_FORWARD_H

#include "coordination/quarantine.h"
#include "relay/host.h"
#include "relay/versions.h"

/// @param document  As the store holds it.
void fwd_send_document (hst_host_t *host, const char *peer, uint64_t revision,
                        const kb_buf_t *document);
/// Give every version that is known; the receiver takes what is newer.
void fwd_send_versions (hst_host_t *host, const char *peer,
                        const ver_table_t *versions);
/// Give words of coordination/quarantine.h; nothing when there are none.
void fwd_send_quarantine (hst_host_t *host, const char *peer,
                          const kb_buf_t *records);

#endif
