#include "transport/httpd.h"

#include <h2o.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "transport/httpd_conn.h"
#include "transport/linger.h"
#include "transport/metrics.h"

enum
{
  HTS_BACKLOG = 1024,
  /// A packet that is lost is sent again within this time.
  MIN_WRITE_TIMEOUT_MS = 3000,
  HTTP_TOO_LARGE = 413,
};

typedef struct
{
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  lsn_listener_t listener;
  uv_loop_t *loop;
  uv_check_t after_poll;
  kb_account_t *memory;
  kb_account_t unlimited; ///< If none was given.
  uint64_t max_connections;
  hsc_list_t connections;
  uint64_t input_bytes; ///< Charged for what h2o holds of requests.
  uint64_t looked_ms;   ///< When that was found out.
} server_impl_t;

typedef struct
{
  h2o_handler_t super;
  hts_server_t *server;
} server_handler_t;

/// An h2o logger, used because h2o calls it when it releases a request, before
/// it closes the connection.
typedef struct
{
  h2o_logger_t super;
  hts_server_t *server;
} request_end_logger_t;

typedef struct
{
  h2o_generator_t super;
  hts_request_t *request;
} stream_generator_t;

/// Allocated in h2o's request pool; its disposal signals that h2o has released
/// the request.
typedef struct
{
  hts_request_t *request;
} request_pool_entry_t;

static void
request_free (hts_request_t *request)
{
  server_impl_t *impl = request->server->impl;
  hsc_conn_t *conn = request->connection;
  prs_peer_unwatch (&request->client);
  kb_account_release (impl->memory, request->reply_bytes);
  if (conn != NULL && conn->request == request)
    {
      conn->request = NULL;
      conn->since_ms = uv_now (impl->loop);
    }
  kb_buf_finish (&request->out);
  kb_buf_finish (&request->sending);
  free (request);
}

static void
request_on_dispose (void *arg)
{
  request_pool_entry_t *pool_entry = arg;
  hts_request_t *request = pool_entry->request;
  if (!request->is_finished)
    request->server->events->on_abort (request);
  request_free (request);
}

static int
request_fd (h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
  return sock == NULL ? -1 : h2o_socket_get_fd (sock);
}

prs_presence_t
hts_request_query_client (const hts_request_t *request)
{
  return prs_query (request_fd (request->impl));
}

/// h2o does not read from a connection while a response is pending, so a
/// client that has disconnected would occupy an engine until the response is
/// ready.
static void
request_on_client_left (prs_peer_t *client)
{
  hts_request_t *request
      = (hts_request_t *)((char *)client - offsetof (hts_request_t, client));
  h2o_req_t *req = request->impl;
  if (request->is_finished || request->is_aborted)
    return;
  request->is_aborted = true;
  request->server->events->on_abort (request);
  request->is_finished = true;
  if (request->is_streaming)
    {
      if (!request->is_sending)
        h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
      return;
    }
  req->http1_is_persistent = 0;
  req->res.status = 499;
  req->res.reason = "Client Closed Request";
  h2o_send_inline (req, H2O_STRLIT (""));
}

/// h2o rejects an oversized body without reading it and closes the connection.
/// The lingering close keeps the client from losing the response to a reset.
static void
on_request_end (h2o_logger_t *self, h2o_req_t *req)
{
  hts_server_t *server = ((request_end_logger_t *)self)->server;
  int fd = request_fd (req);
  if (req->res.status == HTTP_TOO_LARGE && fd >= 0)
    lng_start (server->loop, server->timers, fd);
}

static int
handler_on_req (h2o_handler_t *self, h2o_req_t *req)
{
  hts_server_t *server = ((server_handler_t *)self)->server;
  hts_request_t *request = kb_alloc (sizeof *request);
  request->server = server;
  request->impl = req;
  request->method
      = (kb_slice_t){ req->method.base, (uint32_t)req->method.len };
  request->path = (kb_slice_t){ req->path.base, (uint32_t)req->path.len };
  request->body = (kb_slice_t){ req->entity.base, (uint32_t)req->entity.len };
  request_pool_entry_t *pool_entry = h2o_mem_alloc_shared (
      &req->pool, sizeof *pool_entry, request_on_dispose);
  pool_entry->request = request;
  request->client.on_left = request_on_client_left;
  server_impl_t *impl = server->impl;
  kb_buf_set_account (&request->out, impl->memory);
  kb_buf_set_account (&request->sending, impl->memory);
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
  if (sock != NULL)
    {
      hsc_conn_t *conn = sock->on_close.data;
      request->connection = conn;
      conn->request = request;
    }
  int fd = request_fd (req);
  if (fd >= 0)
    prs_peer_watch (&server->watch, &request->client, fd);
  server->events->on_request (server, request);
  return 0;
}

static void
listener_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
connection_closed (void *data)
{
  hsc_conn_t *conn = data;
  server_impl_t *impl = conn->owner;
  hts_request_t *request = conn->request;
  if (request != NULL)
    request->connection = NULL;
  hsc_conn_free (&impl->connections, conn);
}

static size_t
request_unsent_bytes (const void *arg)
{
  const hts_request_t *request = arg;
  return request->reply_bytes + hts_stream_unsent_bytes (request);
}

/// A peer that takes none of its response leaves no other sign.
static void
set_write_timeout (const server_impl_t *impl, uv_tcp_t *tcp)
{
  uv_os_fd_t fd;
  unsigned timeout_ms = (unsigned)impl->config.http1.req_timeout;
  if (timeout_ms < MIN_WRITE_TIMEOUT_MS)
    timeout_ms = MIN_WRITE_TIMEOUT_MS;
  if (uv_fileno ((uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                sizeof timeout_ms);
}

/// Charge the memory for what h2o holds of requests, and close connections
/// while it is short. With more connections it is done less often.
static void
server_after_poll (uv_check_t *check)
{
  enum
  {
    CONNECTIONS_PER_MS = 512,
  };
  server_impl_t *impl = check->data;
  uint64_t now_ms = uv_now (check->loop);
  if (now_ms - impl->looked_ms < impl->connections.count / CONNECTIONS_PER_MS)
    return;
  impl->looked_ms = now_ms;
  uint64_t input_bytes = hsc_list_input_bytes (&impl->connections);
  kb_account_release (impl->memory, impl->input_bytes);
  kb_account_charge (impl->memory, input_bytes);
  impl->input_bytes = input_bytes;
  hsc_list_shed (&impl->connections, impl->memory, now_ms);
}

static void
on_accept (void *owner, uv_stream_t *listener)
{
  server_impl_t *impl = owner;
  uv_tcp_t *conn = h2o_mem_alloc (sizeof *conn);
  uv_tcp_init (listener->loop, conn);
  if (uv_accept (listener, (uv_stream_t *)conn) != 0)
    {
      uv_close ((uv_handle_t *)conn, listener_closed);
      return;
    }
  if (impl->connections.count >= impl->max_connections)
    {
      MET_INC ("knapweedbay_http_refused_connections_total", "");
      uv_close ((uv_handle_t *)conn, listener_closed);
      return;
    }
  uv_tcp_nodelay (conn, 1);
  h2o_socket_t *sock
      = h2o_uv_socket_create ((uv_stream_t *)conn, (uv_close_cb)free);
  set_write_timeout (impl, conn);
  sock->on_close.cb = connection_closed;
  sock->on_close.data
      = hsc_conn_create (&impl->connections, sock, impl, uv_now (impl->loop));
  h2o_accept (&impl->accept_ctx, sock);
}

static kb_status_t
server_set_tls (server_impl_t *impl, const hts_options_t *options,
                kb_error_t *error)
{
  SSL_CTX *ssl = SSL_CTX_new (TLS_server_method ());
  SSL_CTX_set_min_proto_version (ssl, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (ssl, options->certificate_file) != 1)
    return kb_error_set (error, KB_EINVAL,
                         "%s: cannot load PEM certificate chain",
                         options->certificate_file);
  if (SSL_CTX_use_PrivateKey_file (ssl, options->key_file, SSL_FILETYPE_PEM)
      != 1)
    return kb_error_set (error, KB_EINVAL, "%s: cannot load PEM private key",
                         options->key_file);
  impl->accept_ctx.ssl_ctx = ssl;
  return KB_OK;
}

kb_status_t
hts_server_init (hts_server_t *server, uv_loop_t *loop, tmr_service_t *timers,
                 const hts_events_t *events, void *owner,
                 const hts_options_t *options, kb_error_t *error)
{
  *server = (hts_server_t){
    .events = events, .owner = owner, .loop = loop, .timers = timers
  };
  if (prs_watch_init (&server->watch, loop, error) != KB_OK)
    return KB_ESYS;
  server_impl_t *impl = kb_alloc (sizeof *impl);
  server->impl = impl;
  impl->max_connections = options->max_connections;
  impl->loop = loop;
  impl->connections.unsent_bytes = request_unsent_bytes;
  impl->unlimited.limit_bytes = UINT64_MAX;
  impl->memory = options->memory == NULL ? &impl->unlimited : options->memory;
  uv_check_init (loop, &impl->after_poll);
  impl->after_poll.data = impl;
  uv_check_start (&impl->after_poll, server_after_poll);
  uv_unref ((uv_handle_t *)&impl->after_poll);
  h2o_config_init (&impl->config);
  impl->config.max_request_entity_size = options->max_body_bytes;
  impl->config.http1.req_timeout = options->read_timeout_ms;
  // A connection of HTTP/2 would hold as many bodies as it opens streams.
  impl->config.http1.upgrade_to_http2 = 0;
  impl->config.server_name = h2o_iovec_init (H2O_STRLIT ("knapweedbay"));
  h2o_hostconf_t *host = h2o_config_register_host (
      &impl->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  server_handler_t *handler = (server_handler_t *)h2o_create_handler (
      path, sizeof (server_handler_t));
  handler->super.on_req = handler_on_req;
  handler->server = server;
  // h2o assigns requests that it rejects itself to the fallback path.
  request_end_logger_t *end_logger
      = (request_end_logger_t *)h2o_create_logger (
          &host->fallback_path, sizeof (request_end_logger_t));
  end_logger->super.log_access = on_request_end;
  end_logger->server = server;
  h2o_context_init (&impl->ctx, loop, &impl->config);
  impl->accept_ctx.ctx = &impl->ctx;
  impl->accept_ctx.hosts = impl->config.hosts;
  if (options->certificate_file != NULL && options->certificate_file[0])
    {
      kb_status_t status = server_set_tls (impl, options, error);
      if (status != KB_OK)
        return status;
    }
  struct sockaddr_in addr;
  if (uv_ip4_addr (options->address, options->port, &addr) != 0)
    return kb_error_set (error, KB_EINVAL, "\"%s\" is not an IPv4 address",
                         options->address);
  impl->listener = (lsn_listener_t){ .accept = on_accept,
                                     .owner = impl,
                                     .policy = options->policy };
  kb_status_t status = lsn_listener_init (&impl->listener, loop, timers, &addr,
                                          HTS_BACKLOG, error);
  if (status != KB_OK)
    return status;
  server->port = lsn_listener_port (&impl->listener);
  return KB_OK;
}

void
hts_server_stop (hts_server_t *server)
{
  server_impl_t *impl = server->impl;
  lsn_listener_stop (&impl->listener);
}

uint32_t
hts_request_header_count (hts_request_t *request, const char *name)
{
  h2o_req_t *req = request->impl;
  uint32_t count = 0;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      h2o_header_t *h = &req->headers.entries[i];
      if (h2o_lcstris (h->name->base, h->name->len, name, strlen (name)))
        count++;
    }
  return count;
}

kb_slice_t
hts_request_header (hts_request_t *request, const char *name)
{
  h2o_req_t *req = request->impl;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      h2o_header_t *h = &req->headers.entries[i];
      if (h2o_lcstris (h->name->base, h->name->len, name, strlen (name)))
        return (kb_slice_t){ h->value.base, (uint32_t)h->value.len };
    }
  return (kb_slice_t){ "", 0 };
}

void
hts_response_header (hts_request_t *request, const char *name,
                     kb_slice_t value)
{
  h2o_req_t *req = request->impl;
  h2o_iovec_t n = h2o_strdup (&req->pool, name, strlen (name));
  h2o_iovec_t v = h2o_strdup (&req->pool, value.ptr, value.len_bytes);
  h2o_add_header_by_str (&req->pool, &req->res.headers, n.base, n.len, 0, NULL,
                         v.base, v.len);
}

static void
response_begin (hts_request_t *request, int http_status,
                const char *content_type)
{
  h2o_req_t *req = request->impl;
  req->res.status = http_status;
  req->res.reason = http_status == 200 ? "OK" : "Status";
  hts_response_header (request, "content-type", kb_slice_str (content_type));
}

void
hts_reply (hts_request_t *request, int http_status, const char *content_type,
           kb_slice_t body)
{
  h2o_req_t *req = request->impl;
  request->is_finished = true;
  prs_peer_unwatch (&request->client);
  response_begin (request, http_status, content_type);
  req->res.content_length = body.len_bytes;
  request->reply_bytes = body.len_bytes;
  kb_account_charge (((server_impl_t *)request->server->impl)->memory,
                     body.len_bytes);
  h2o_send_inline (req, body.ptr, body.len_bytes);
}

static void
stream_flush (hts_request_t *request)
{
  h2o_req_t *req = request->impl;
  if (request->is_sending)
    return;
  if (request->is_aborted)
    {
      h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
      return;
    }
  if (request->out.len_bytes == 0 && !request->is_end_queued)
    return;
  kb_buf_clear (&request->sending);
  kb_buf_swap (&request->out, &request->sending);
  h2o_iovec_t vec
      = h2o_iovec_init (request->sending.ptr, request->sending.len_bytes);
  request->is_sending = true;
  h2o_send (req, &vec, vec.len > 0 ? 1 : 0,
            request->is_end_queued ? H2O_SEND_STATE_FINAL
                                   : H2O_SEND_STATE_IN_PROGRESS);
}

static void
stream_proceed (h2o_generator_t *self, h2o_req_t *req)
{
  hts_request_t *request = ((stream_generator_t *)self)->request;
  request->is_sending = false;
  stream_flush (request);
}

static void
stream_stop (h2o_generator_t *self, h2o_req_t *req)
{
  hts_request_t *request = ((stream_generator_t *)self)->request;
  if (request->is_finished)
    return;
  request->server->events->on_abort (request);
  request->is_finished = true;
}

void
hts_stream_begin (hts_request_t *request, int http_status,
                  const char *content_type)
{
  h2o_req_t *req = request->impl;
  response_begin (request, http_status, content_type);
  stream_generator_t *generator
      = h2o_mem_alloc_pool (&req->pool, sizeof *generator);
  *generator
      = (stream_generator_t){ { stream_proceed, stream_stop }, request };
  request->generator = generator;
  request->is_streaming = true;
  h2o_start_response (req, &generator->super);
}

void
hts_stream_write (hts_request_t *request, kb_slice_t bytes)
{
  kb_buf_append (&request->out, bytes.ptr, bytes.len_bytes);
  stream_flush (request);
}

void
hts_stream_end (hts_request_t *request, bool is_complete)
{
  request->is_finished = true;
  prs_peer_unwatch (&request->client);
  request->is_end_queued = is_complete;
  request->is_aborted = !is_complete;
  stream_flush (request);
}

size_t
hts_stream_unsent_bytes (const hts_request_t *request)
{
  return request->out.len_bytes
         + (request->is_sending ? request->sending.len_bytes : 0);
}
