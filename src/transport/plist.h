/// @file plist.h
/// Client for the platform's list of VMs, a JSON document over HTTP that lags
/// behind the actual state. protocol/vmlist.h decodes it.
#ifndef KB_TRANSPORT_PLIST_H
#define KB_TRANSPORT_PLIST_H

#include "protocol/vmlist.h"
#include "state/seen.h"
#include "transport/httpc.h"

/// Reads the list again and again. Logs each odd entry once.
typedef struct
{
  htc_client_t *http;
  const char *address;
  uint16_t port;
  uint64_t timeout_ms; ///< Longest silence of the server.
  sen_table_t seen;
} pls_reader_t;

/// @param list  Valid during the callback; NULL when the list could not be
///              read.
typedef void (*pls_done_t) (void *arg, const vml_list_t *list);

/// @param address  Must outlive the reader.
void pls_reader_init (pls_reader_t *reader, htc_client_t *http,
                      const char *address, uint16_t port, uint64_t timeout_ms);
/// Fetch the list once.
void pls_read (pls_reader_t *reader, pls_done_t done, void *arg);

#endif
