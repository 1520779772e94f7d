/// @file agent.h
/// The agent role: the only process that orders loads and runs at one engine,
/// or the proxy of one plain service.
#ifndef KB_DAEMON_AGENT_H
#define KB_DAEMON_AGENT_H

#include "daemon/daemon.h"

/// Start the role on a daemon whose settings are loaded.
/// @return  KB_OK, or the error of initialising the daemon.
kb_status_t agt_start (dmn_daemon_t *daemon, kb_error_t *error);

#endif
