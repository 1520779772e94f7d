/// @file passing.h
/// Configuration and adapter versions that one daemon passes on to another,
/// which may be cut off from the store.
#ifndef KB_RELAY_PASSING_H
#define KB_RELAY_PASSING_H

#include "coordination/quarantine.h"
#include "relay/host.h"
#include "relay/versions.h"

/// @param document  As the store holds it.
void psn_give_document (hst_host_t *host, const char *peer, uint64_t revision,
                        const kb_buf_t *document);
/// Give every version that is known; the receiver takes what is newer.
void psn_give_versions (hst_host_t *host, const char *peer,
                        const ver_table_t *versions);
/// Give words of coordination/quarantine.h; nothing when there are none.
void psn_give_quarantine (hst_host_t *host, const char *peer,
                          const kb_buf_t *words);

#endif
