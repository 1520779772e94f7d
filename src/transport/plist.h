/// @file plist.h
/// Client for the platform's list of VMs, a JSON document over HTTP that lags
/// behind the actual state. Only this module depends on its format.
#ifndef KB_TRANSPORT_PLIST_H
#define KB_TRANSPORT_PLIST_H

#include "transport/httpc.h"

/// One VM of the list.
typedef struct
{
  const char *name;
  const char *address; ///< "tcp://ip:port", for the inner protocol.
  const char *role;    ///< "entry" or "agent".
  const char *failure_domain;
  bool is_leaving;
} pls_vm_t;

/// @param vms  Valid during the callback; NULL when the list could not be
/// read.
typedef void (*pls_done_t) (void *arg, const pls_vm_t *vms, uint32_t count);

/// Fetch the list once.
/// @param timeout_ms  Longest silence of the server.
void pls_read (htc_client_t *http, const char *address, uint16_t port,
               uint64_t timeout_ms, pls_done_t done, void *arg);

#endif
