/// @file sidecar.h
/// The sidecar: the agent role for relayed engines. It is the only process
/// that orders the engine on its VM. It grants places to requests of gateways
/// and manages the adapters; answers go directly from engine to gateway.
#ifndef KB_SIDECAR_SIDECAR_H
#define KB_SIDECAR_SIDECAR_H

#include "relay/deployment.h"

typedef struct scr_sidecar scr_sidecar_t;

/// Open the inner port and start managing the engine.
/// @param settings  Validated settings of an agent.
/// @param path      The settings file, reloaded when it changes.
/// @return          NULL on failure, with the reason in `error`.
scr_sidecar_t *scr_sidecar_start (const set_settings_t *settings,
                                  const char *path,
                                  const dpl_deployment_t *deployment,
                                  kb_error_t *error);
/// Run until the process is asked to stop.
/// @return  The exit code.
int scr_sidecar_run (scr_sidecar_t *sidecar);

#endif
