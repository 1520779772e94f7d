/// @file forward.h
/// Sends configuration, adapter versions and quarantine records to a daemon
/// that may be unable to reach the store.
#ifndef KB_RELAY_FORWARD_H
#define KB_RELAY_FORWARD_H

#include "coordination/quarantine.h"
#include "relay/host.h"
#include "relay/versions.h"

/// @param document  As the store holds it.
void fwd_send_document (hst_host_t *host, const char *peer, uint64_t revision,
                        const kb_buf_t *document);
/// Send all known versions; the receiver applies those that are newer.
void fwd_send_versions (hst_host_t *host, const char *peer,
                        const ver_table_t *versions);
/// Send packed records of coordination/quarantine.h; nothing if empty.
void fwd_send_quarantine (hst_host_t *host, const char *peer,
                          const kb_buf_t *records);

#endif
