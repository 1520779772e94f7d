/// @file gateway.h
/// The gateway: the entry role that forwards callers' requests unchanged. It
/// routes a request, requests a place from the engine's sidecar, sends the
/// request directly to the engine or plain target, and relays the answer.
#ifndef KB_GATEWAY_GATEWAY_H
#define KB_GATEWAY_GATEWAY_H

#include "relay/deployment.h"

typedef struct gtw_gateway gtw_gateway_t;

/// Open the ports and start reading the deployment's store.
/// @param settings  Validated settings of an entry.
/// @param path      Settings file, read again on reload.
/// @return          NULL with the reason in `error`.
gtw_gateway_t *gtw_gateway_start (const set_settings_t *settings,
                                  const char *path,
                                  const dpl_deployment_t *deployment,
                                  kb_error_t *error);
/// Run the event loop until the process is stopped.
/// @return  The exit code.
int gtw_gateway_run (gtw_gateway_t *gateway);

#endif
