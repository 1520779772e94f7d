#include "transport/pages.h"

#include <stdlib.h>

enum
{
  BACKLOG = 64,
  MAX_HEADER_BYTES = 8192,
  /// Beyond it, the connection that has asked for nothing for the longest is
  /// closed.
  MAX_CLIENTS = 32,
};

struct pgs_client
{
  h1_conn_t conn; ///< Must be first: the callbacks cast it to this type.
  pgs_server_t *server;
  pgs_client_t *prev;
  pgs_client_t *next;
};

/// Add a client as the one that has asked last.
static void
client_link (pgs_client_t *client)
{
  pgs_server_t *server = client->server;
  client->prev = server->last;
  client->next = NULL;
  *(server->last == NULL ? &server->first : &server->last->next) = client;
  server->last = client;
  server->client_count++;
}

static void
client_unlink (pgs_client_t *client)
{
  pgs_server_t *server = client->server;
  *(client->prev == NULL ? &server->first : &client->prev->next)
      = client->next;
  *(client->next == NULL ? &server->last : &client->next->prev) = client->prev;
  server->client_count--;
}

/// Close the connection of a client. It counts no more.
static void
client_close (pgs_client_t *client, bool is_abort)
{
  if (client->conn.is_closing)
    return;
  client_unlink (client);
  h1_conn_close (&client->conn, is_abort);
}

static void
client_on_head (h1_conn_t *conn)
{
}

static void
client_on_body (h1_conn_t *conn, kb_slice_t bytes)
{
}

static void
client_on_message (h1_conn_t *conn)
{
  pgs_client_t *client = (pgs_client_t *)conn;
  client_unlink (client);
  client_link (client);
  kb_buf_t body = { 0 };
  kb_buf_t response = { 0 };
  int http_status = client->server->handler (
      client->server->owner, h1_head_target (&conn->head), &body);
  bool closes_connection = !http_should_keep_alive (&conn->parser);
  kb_buf_printf (&response,
                 "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
                 "Content-Length: %zu\r\n%s\r\n",
                 http_status, http_status_str ((enum http_status)http_status),
                 body.len_bytes,
                 closes_connection ? "Connection: close\r\n" : "");
  kb_buf_append (&response, body.ptr, body.len_bytes);
  h1_conn_write (conn, response.ptr, response.len_bytes);
  kb_buf_finish (&body);
  kb_buf_finish (&response);
  if (closes_connection)
    client_close (client, false);
  else
    h1_conn_next_message (conn);
}

static void
client_on_end (h1_conn_t *conn, h1_end_t end)
{
  client_close ((pgs_client_t *)conn, false);
}

static void
client_on_closed (h1_conn_t *conn)
{
  free (conn);
}

static const h1_events_t client_events = {
  .on_head = client_on_head,
  .on_body = client_on_body,
  .on_message = client_on_message,
  .on_end = client_on_end,
  .on_closed = client_on_closed,
};

static void
server_on_connection (uv_stream_t *listener, int status)
{
  pgs_server_t *server = listener->data;
  if (status != 0)
    return;
  pgs_client_t *client = kb_alloc (sizeof *client);
  kb_status_t accepted
      = h1_conn_accept (&client->conn, server->loop, listener, &client_events,
                        client, MAX_HEADER_BYTES);
  client->server = server;
  client_link (client);
  if (accepted != KB_OK)
    client_close (client, false);
  else if (server->client_count > MAX_CLIENTS)
    client_close (server->first, true);
}

kb_status_t
pgs_server_init (pgs_server_t *server, uv_loop_t *loop,
                 const struct sockaddr_in *address, pgs_handler_t handler,
                 void *owner, kb_error_t *error)
{
  *server = (pgs_server_t){ .loop = loop, .handler = handler, .owner = owner };
  return h1_listen (loop, &server->listener, address, BACKLOG,
                    server_on_connection, server, error);
}
