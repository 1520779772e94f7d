/// @file entry.h
/// The entry role: accepts callers' requests, dispatches them to targets and
/// returns the answers.
#ifndef KB_DAEMON_ENTRY_H
#define KB_DAEMON_ENTRY_H

#include "daemon/daemon.h"

/// Start the role.
/// @param daemon  Its settings must be loaded.
/// @return        As dmn_init.
kb_status_t ent_start (dmn_daemon_t *daemon, kb_error_t *error);

#endif
