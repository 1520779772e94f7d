/// @file httpd_conn.h
/// Connections of the HTTP server: what h2o holds for each, and which are
/// closed while memory is short.
#ifndef KB_TRANSPORT_HTTPD_CONN_H
#define KB_TRANSPORT_HTTPD_CONN_H

#include <h2o.h>

#include "state/buf.h"

typedef struct hsc_conn hsc_conn_t;

/// The connections of a server.
typedef struct
{
  hsc_conn_t *first;
  uint64_t count;
  /// @return  Bytes of a response that its client has not taken.
  size_t (*unsent_bytes) (const void *request);
} hsc_list_t;

struct hsc_conn
{
  h2o_socket_t *sock;
  void *owner;
  hsc_conn_t *prev;
  hsc_conn_t *next;
  void *request;     ///< At work; NULL: none is complete.
  uint64_t since_ms; ///< When it was opened, or its last request ended.
  bool is_shed;
};

/// Create a connection and add it to a list.
hsc_conn_t *hsc_conn_create (hsc_list_t *list, h2o_socket_t *sock, void *owner,
                             uint64_t now_ms);
/// Take a connection out of its list, and free it.
void hsc_conn_free (hsc_list_t *list, hsc_conn_t *conn);
/// @return  Bytes that h2o holds of the requests of all connections.
uint64_t hsc_list_input_bytes (const hsc_list_t *list);
/// Close connections while an account is near its limit: first the one with
/// the largest product of bytes and time, of those whose request is not
/// complete, or whose client takes too little of its response. A request that
/// is not complete is refused as not run.
void hsc_list_shed (const hsc_list_t *list, const kb_account_t *memory,
                    uint64_t now_ms);

#endif
