/// @file pages.h
/// A small HTTP server for pages that people and probes read: ready, metrics.
#ifndef KB_TRANSPORT_PAGES_H
#define KB_TRANSPORT_PAGES_H

#include "transport/h1.h"

typedef struct pgs_server pgs_server_t;

/// Answer one GET.
/// @param body  To be filled.
/// @return      The HTTP status.
typedef int (*pgs_handler_t) (void *owner, kb_slice_t path, kb_buf_t *body);

struct pgs_server
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  pgs_handler_t handler;
  void *owner;
};

kb_status_t pgs_server_init (pgs_server_t *server, uv_loop_t *loop,
                             const struct sockaddr_in *address,
                             pgs_handler_t handler, void *owner,
                             kb_error_t *error);

#endif
