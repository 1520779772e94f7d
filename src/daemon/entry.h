/// @file entry.h
/// The entry role: takes callers' requests, chooses targets and answers.
#ifndef KB_DAEMON_ENTRY_H
#define KB_DAEMON_ENTRY_H

#include "daemon/daemon.h"

/// Start the role on a daemon whose settings are loaded.
kb_status_t ent_start (dmn_daemon_t *daemon, kb_error_t *error);

#endif
