#include "transport/peerlink.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "transport/h1.h"
#include "transport/metrics.h"
#include "transport/peerlink_conn.h"

enum
{
  LISTEN_BACKLOG = 512,
  /// Part of the descriptors that peers may take.
  DESCRIPTOR_PARTS = 4,
  /// Incomplete frames of all peers. A frame is up to 8 MB, for a page of the
  /// store; few are under way at the same time.
  MAX_PARTIAL_BYTES = 24 << 20,
  RECONNECT_MIN_MS = 50,
  RECONNECT_MAX_MS = 1000,
};

/// Maintains the connection to an address.
typedef struct
{
  plk_link_t *link;
  char address[PLK_NAME_BYTES];
  struct sockaddr_in remote_addr;
  plk_conn_t *conn; ///< NULL while waiting for the next attempt.
  uint64_t reconnect_delay_ms;
  tmr_timer_t timer;
} plk_dialer_t;

static void dialer_connect (void *arg);

static void
listener_on_connection (uv_stream_t *listener, int status)
{
  plk_link_t *link = listener->data;
  if (status != 0)
    return;
  plk_conn_t *conn = plk_conn_create (link);
  conn->is_accepted = true;
  link->accepted_count++;
  kb_buf_set_account (&conn->partial_frame, &link->partial_frames);
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) == 0)
    plk_conn_start_read (conn);
  else
    plk_conn_close (conn);
  plk_conns_limit (link);
}

/// The connection of a dialer was closed: reconnects with exponential backoff.
static void
dialer_on_conn_close (plk_conn_t *conn)
{
  plk_dialer_t *dialer = conn->owner;
  dialer->conn = NULL;
  tmr_start_once (dialer->link->timers, &dialer->timer,
                  dialer->reconnect_delay_ms, dialer_connect, dialer);
  dialer->reconnect_delay_ms *= 2;
  if (dialer->reconnect_delay_ms > RECONNECT_MAX_MS)
    dialer->reconnect_delay_ms = RECONNECT_MAX_MS;
}

static void
dialer_on_connect (uv_connect_t *request, int status)
{
  plk_conn_t *conn = request->data;
  free (request);
  if (conn->is_closing)
    return;
  if (status != 0)
    {
      plk_conn_close (conn);
      return;
    }
  plk_dialer_t *dialer = conn->owner;
  dialer->reconnect_delay_ms = RECONNECT_MIN_MS;
  plk_conn_start_read (conn);
  if (plk_conn_send_hello (conn) == KB_OK)
    plk_conn_set_name (conn, kb_slice_str (dialer->address));
  else
    plk_conn_close (conn);
}

static void
dialer_connect (void *arg)
{
  plk_dialer_t *dialer = arg;
  plk_conn_t *conn = plk_conn_create (dialer->link);
  conn->on_close = dialer_on_conn_close;
  conn->owner = dialer;
  dialer->conn = conn;
  // The request outlives the dialer if that is freed while connecting.
  uv_connect_t *connect = kb_alloc (sizeof *connect);
  connect->data = conn;
  if (uv_tcp_connect (connect, &conn->tcp,
                      (const struct sockaddr *)&dialer->remote_addr,
                      dialer_on_connect)
      == 0)
    return;
  free (connect);
  plk_conn_close (conn);
}

static uint32_t
max_accepted (void)
{
  struct rlimit limit;
  bool is_known
      = getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < UINT32_MAX;
  return is_known ? (uint32_t)limit.rlim_cur / DESCRIPTOR_PARTS : UINT32_MAX;
}

void
plk_link_init (plk_link_t *link, uv_loop_t *loop, tmr_service_t *timers,
               const plk_events_t *events, void *owner, const char *name)
{
  *link = (plk_link_t){ .events = events,
                        .owner = owner,
                        .loop = loop,
                        .timers = timers,
                        .max_accepted = max_accepted (),
                        .partial_frames.limit_bytes = MAX_PARTIAL_BYTES,
                        .read_buffer = kb_alloc (PLK_READ_BYTES) };
  snprintf (link->name, sizeof link->name, "%s", name);
}

static void
dialer_free (plk_dialer_t *dialer)
{
  plk_conn_t *conn = dialer->conn;
  if (conn != NULL)
    {
      conn->on_close = NULL;
      plk_conn_close (conn);
    }
  tmr_cancel (dialer->link->timers, &dialer->timer);
  free (dialer);
}

void
plk_link_finish (plk_link_t *link)
{
  uint32_t cursor = 0;
  for (plk_dialer_t *dialer = kb_map_next (&link->dialers, &cursor);
       dialer != NULL; dialer = kb_map_next (&link->dialers, &cursor))
    dialer_free (dialer);
  kb_map_finish (&link->dialers);
  while (link->conns != NULL)
    plk_conn_close (link->conns);
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
  struct sockaddr_in listen_addr;
  if (uv_ip4_addr (address, *port, &listen_addr) != 0)
    return kb_error_set (error, KB_EINVAL, "\"%s\" is not an IPv4 address",
                         address);
  uv_tcp_init (link->loop, &link->listener);
  link->listener.data = link;
  link->is_listening = true;
  int error_code = h1_bind (&link->listener, &listen_addr);
  if (error_code == 0)
    error_code = uv_listen ((uv_stream_t *)&link->listener, LISTEN_BACKLOG,
                            listener_on_connection);
  int size = sizeof listen_addr;
  if (error_code == 0)
    error_code = uv_tcp_getsockname (&link->listener,
                                     (struct sockaddr *)&listen_addr, &size);
  if (error_code != 0)
    return kb_error_set (error, KB_ESYS, "cannot listen on %s:%u: %s", address,
                         *port, uv_strerror (error_code));
  *port = ntohs (listen_addr.sin_port);
  return KB_OK;
}

kb_status_t
plk_link_connect (plk_link_t *link, const char *address)
{
  uint64_t key = plk_name_key (kb_slice_str (address));
  struct sockaddr_in remote_addr;
  if (strlen (address) >= PLK_NAME_BYTES
      || h1_parse_address (kb_slice_str (address), &remote_addr) != KB_OK)
    return KB_EINVAL;
  if (kb_map_get (&link->dialers, key) != NULL)
    return KB_OK;
  plk_dialer_t *dialer = kb_alloc (sizeof *dialer);
  *dialer = (plk_dialer_t){ .link = link,
                            .remote_addr = remote_addr,
                            .reconnect_delay_ms = RECONNECT_MIN_MS };
  snprintf (dialer->address, sizeof dialer->address, "%s", address);
  kb_map_put (&link->dialers, key, dialer);
  dialer_connect (dialer);
  return KB_OK;
}

void
plk_link_disconnect (plk_link_t *link, const char *address)
{
  plk_dialer_t *dialer
      = kb_map_remove (&link->dialers, plk_name_key (kb_slice_str (address)));
  if (dialer != NULL)
    dialer_free (dialer);
}

bool
plk_link_is_connected (const plk_link_t *link, kb_slice_t peer)
{
  return kb_map_get (&link->peers, plk_name_key (peer)) != NULL;
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
