/// @file plist.h
/// The platform's lagging list of VMs, read by HTTP JSON. Only this file
/// knows its form.
#ifndef KB_TRANSPORT_PLIST_H
#define KB_TRANSPORT_PLIST_H

#include "transport/httpc.h"

/// One VM of the list.
typedef struct
{
  const char *name;
  const char *address; ///< "tcp://ip:port" of the inner protocol.
  const char *role;    ///< "entry" or "agent".
  const char *failure_domain;
  bool is_leaving;
} pls_vm_t;

/// @param vms  Gone after the callback; NULL when the list was not read.
typedef void (*pls_done_t) (void *arg, const pls_vm_t *vms, uint32_t count);

/// Read the list once.
void pls_read (htc_client_t *http, const char *address, uint16_t port,
               uint64_t timeout_ms, pls_done_t done, void *arg);

#endif
