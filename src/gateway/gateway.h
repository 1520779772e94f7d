/// @file gateway.h
/// The gateway: the entry role that passes callers' requests on as they are.
/// It routes, asks a sidecar for a place, sends the request to the engine or
/// plain target itself, and passes the answer on.
#ifndef KB_GATEWAY_GATEWAY_H
#define KB_GATEWAY_GATEWAY_H

#include "relay/deployment.h"

typedef struct gtw_gateway gtw_gateway_t;

/// Open the ports and begin to learn from the deployment's store.
/// @param settings  Checked settings of an entry.
/// @param path      Their file, to be read again when it changes.
/// @return          NULL with the reason in `error`.
gtw_gateway_t *gtw_gateway_start (const set_settings_t *settings,
                                  const char *path,
                                  const dpl_deployment_t *deployment,
                                  kb_error_t *error);
/// Run until the process is told to stop.
/// @return  The exit code.
int gtw_gateway_run (gtw_gateway_t *gateway);

#endif
