/// @file sidecar.h
/// The sidecar: the agent role for relayed engines. It alone orders the
/// engine on its VM, gives places to the gateways' requests and keeps the
/// adapters; answers go straight from the engine to the gateway.
#ifndef KB_SIDECAR_SIDECAR_H
#define KB_SIDECAR_SIDECAR_H

#include "relay/deployment.h"

typedef struct scr_sidecar scr_sidecar_t;

/// Open the inner port and begin to look after the engine.
/// @param settings  Checked settings of an agent.
/// @param path      Their file, to be read again when it changes.
/// @return          NULL with the reason in `error`.
scr_sidecar_t *scr_sidecar_start (const set_settings_t *settings,
                                  const char *path,
                                  const dpl_deployment_t *deployment,
                                  kb_error_t *error);
/// Run until the process is told to stop.
/// @return  The exit code.
int scr_sidecar_run (scr_sidecar_t *sidecar);

#endif
