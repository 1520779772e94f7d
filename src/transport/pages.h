/// @file pages.h
/// Minimal HTTP server for readiness and metrics pages.
#ifndef KB_TRANSPORT_PAGES_H
#define KB_TRANSPORT_PAGES_H

#include "transport/h1.h"

typedef struct pgs_server pgs_server_t;
typedef struct pgs_client pgs_client_t;

/// Handle one request.
/// @param body  Receives the body of the response.
/// @return      The HTTP status.
typedef int (*pgs_handler_t) (void *owner, kb_slice_t path, kb_buf_t *body);

struct pgs_server
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  pgs_handler_t handler;
  void *owner;
  pgs_client_t *first; ///< The one that has asked for nothing the longest.
  pgs_client_t *last;
  uint32_t client_count;
};

/// Listen and serve.
/// @return  KB_OK or KB_ESYS.
kb_status_t pgs_server_init (pgs_server_t *server, uv_loop_t *loop,
                             const struct sockaddr_in *address,
                             pgs_handler_t handler, void *owner,
                             kb_error_t *error);

#endif
