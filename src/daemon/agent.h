/// @file agent.h
/// The agent role: the single writer of one engine, or the guard of one plain
/// service.
#ifndef KB_DAEMON_AGENT_H
#define KB_DAEMON_AGENT_H

#include "daemon/daemon.h"

/// Start the role on a daemon whose settings are loaded.
kb_status_t agt_start (dmn_daemon_t *daemon, kb_error_t *error);

#endif
