#include "transport/peerlink.h"

#include <stdio.h>
#include <stdlib.h>

#include "transport/h1.h"
#include "transport/metrics.h"
#include "transport/peerlink_conn.h"

enum
{
  BACKLOG = 512,
  RETRY_FIRST_MS = 50,
  RETRY_MOST_MS = 1000,
};

/// An address that is kept connected.
typedef struct
{
  plk_link_t *link;
  char address[PLK_NAME_BYTES];
  struct sockaddr_in to;
  plk_conn_t *conn; ///< NULL: waits for its next try.
  uint64_t retry_ms;
  tmr_sub_t timer;
} plk_dial_t;

static void dial_try (void *arg);

static void
listener_on_connection (uv_stream_t *listener, int status)
{
  plk_link_t *link = listener->data;
  if (status != 0)
    return;
  plk_conn_t *conn = plk_conn_add (link);
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) == 0)
    plk_conn_begin (conn);
  else
    plk_conn_end (conn);
}

/// The connection of a dial ended: try again, each time a little later.
static void
dial_on_end (plk_conn_t *conn)
{
  plk_dial_t *dial = conn->owner;
  dial->conn = NULL;
  tmr_after (dial->link->timers, &dial->timer, dial->retry_ms, dial_try, dial);
  dial->retry_ms *= 2;
  if (dial->retry_ms > RETRY_MOST_MS)
    dial->retry_ms = RETRY_MOST_MS;
}

static void
dial_on_connect (uv_connect_t *request, int status)
{
  plk_conn_t *conn = request->data;
  free (request);
  if (conn->is_ended)
    return;
  if (status != 0)
    {
      plk_conn_end (conn);
      return;
    }
  plk_dial_t *dial = conn->owner;
  dial->retry_ms = RETRY_FIRST_MS;
  plk_conn_begin (conn);
  if (plk_conn_send_hello (conn) == KB_OK)
    plk_conn_set_name (conn, kb_slice_str (dial->address));
  else
    plk_conn_end (conn);
}

static void
dial_try (void *arg)
{
  plk_dial_t *dial = arg;
  plk_conn_t *conn = plk_conn_add (dial->link);
  conn->on_end = dial_on_end;
  conn->owner = dial;
  dial->conn = conn;
  // It outlives the dial when that is given up while connecting.
  uv_connect_t *connect = kb_alloc (sizeof *connect);
  connect->data = conn;
  if (uv_tcp_connect (connect, &conn->tcp, (const struct sockaddr *)&dial->to,
                      dial_on_connect)
      == 0)
    return;
  free (connect);
  plk_conn_end (conn);
}

void
plk_link_init (plk_link_t *link, uv_loop_t *loop, tmr_service_t *timers,
               const plk_events_t *events, void *owner, const char *name)
{
  *link = (plk_link_t){ .events = events,
                        .owner = owner,
                        .loop = loop,
                        .timers = timers,
                        .read_buffer = kb_alloc (PLK_READ_BYTES) };
  snprintf (link->name, sizeof link->name, "%s", name);
}

static void
dial_free (plk_dial_t *dial)
{
  plk_conn_t *conn = dial->conn;
  if (conn != NULL)
    {
      conn->on_end = NULL;
      plk_conn_end (conn);
    }
  tmr_cancel (dial->link->timers, &dial->timer);
  free (dial);
}

void
plk_link_finish (plk_link_t *link)
{
  uint32_t at = 0;
  for (plk_dial_t *dial = kb_map_next (&link->dials, &at); dial != NULL;
       dial = kb_map_next (&link->dials, &at))
    dial_free (dial);
  kb_map_finish (&link->dials);
  while (link->conns != NULL)
    plk_conn_end (link->conns);
  kb_map_finish (&link->peers);
  if (link->is_listening)
    uv_close ((uv_handle_t *)&link->listener, NULL);
  free (link->read_buffer);
  kb_buf_finish (&link->scratch);
}

kb_status_t
plk_link_bind (plk_link_t *link, const char *address, uint16_t *port,
               kb_error_t *error)
{
  struct sockaddr_in at;
  if (uv_ip4_addr (address, *port, &at) != 0)
    return kb_error_set (error, KB_EINVAL, "\"%s\" is no IP number", address);
  uv_tcp_init (link->loop, &link->listener);
  link->listener.data = link;
  link->is_listening = true;
  int failed = uv_tcp_bind (&link->listener, (const struct sockaddr *)&at, 0);
  if (failed == 0)
    failed = uv_listen ((uv_stream_t *)&link->listener, BACKLOG,
                        listener_on_connection);
  int size = sizeof at;
  if (failed == 0)
    failed
        = uv_tcp_getsockname (&link->listener, (struct sockaddr *)&at, &size);
  if (failed != 0)
    return kb_error_set (error, KB_ESYS, "cannot listen on %s:%u: %s", address,
                         *port, uv_strerror (failed));
  *port = ntohs (at.sin_port);
  return KB_OK;
}

kb_status_t
plk_link_connect (plk_link_t *link, const char *address)
{
  uint64_t key = plk_name_key (kb_slice_str (address));
  struct sockaddr_in to;
  if (strlen (address) >= PLK_NAME_BYTES
      || h1_parse_address (kb_slice_str (address), &to) != KB_OK)
    return KB_EINVAL;
  if (kb_map_get (&link->dials, key) != NULL)
    return KB_OK;
  plk_dial_t *dial = kb_alloc (sizeof *dial);
  *dial = (plk_dial_t){ .link = link, .to = to, .retry_ms = RETRY_FIRST_MS };
  snprintf (dial->address, sizeof dial->address, "%s", address);
  kb_map_put (&link->dials, key, dial);
  dial_try (dial);
  return KB_OK;
}

void
plk_link_disconnect (plk_link_t *link, const char *address)
{
  plk_dial_t *dial
      = kb_map_remove (&link->dials, plk_name_key (kb_slice_str (address)));
  if (dial != NULL)
    dial_free (dial);
}

kb_status_t
plk_link_send (plk_link_t *link, kb_slice_t peer, const msg_t *msg)
{
  plk_conn_t *conn = kb_map_get (&link->peers, plk_name_key (peer));
  kb_status_t status = conn == NULL ? KB_EUNAVAIL : plk_conn_send (conn, msg);
  if (status != KB_OK)
    MET_INC ("knapweedbay_inner_unsent_total", "");
  return status;
}
