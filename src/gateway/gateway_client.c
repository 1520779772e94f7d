/// @file gateway_client.c
/// Connections of callers: size and time limits, and one request at a time.
#include <stdlib.h>

#include "gateway/gateway_suspects.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  LISTEN_BACKLOG = 511,
  HTTP_BAD_REQUEST = 400,
  HTTP_TIMEOUT = 408,
  HTTP_TOO_LARGE = 413,
  HTTP_HEADER_TOO_LARGE = 431,
  // Limits before the first configuration is known.
  DEFAULT_MAX_HEADER_BYTES = 16384,
  DEFAULT_HEADER_TIMEOUT_MS = 10000,
  DEFAULT_IDLE_TIMEOUT_MS = 60000,
  /// Idle connections that are closed in a tick while new ones wait and there
  /// is no room for them, and how long they have been idle at least.
  MAX_CLOSED_FOR_ROOM = 8,
  MIN_IDLE_MS = 1000,
  /// Time for the request of a connection that was accepted during a stop.
  MIN_STOP_IDLE_MS = 500,
  /// Refused clients whose input is discarded, so that the refusal is not lost
  /// to a reset.
  MAX_REFUSED = 64,
};

static void
client_write_refusal (gtw_client_t *client, int http_status,
                      const char *reason, uint64_t retry_after_ms)
{
  rly_refusal_t refusal = { .http_status = http_status,
                            .attempt_id = kb_slice_str (client->refusal_id),
                            .retry_after_ms = retry_after_ms,
                            .is_last = client->is_last,
                            .reason = reason };
  kb_buf_t out = { 0 };
  client->gateway->dialect->write_refusal (&refusal, &out);
  h1_conn_write (&client->conn, out.ptr, out.len_bytes);
  kb_buf_finish (&out);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "gateway", "request_refused"))
    {
      log_text (&line, "id", client->refusal_id);
      log_int (&line, "status", http_status);
      log_text (&line, "reason", reason);
      log_end (&line);
    }
}

/// Count a client as refused, or no more.
static void
client_set_refused (gtw_client_t *client, bool is_refused)
{
  gtw_gateway_t *gateway = client->gateway;
  gateway->refused_count += is_refused;
  gateway->refused_count -= client->is_refused;
  client->is_refused = is_refused;
}

static gtw_client_t *
find_first_refused (const gtw_gateway_t *gateway)
{
  gtw_client_t *first = NULL;
  for (gtw_client_t *client = gateway->clients; client != NULL;
       client = client->next)
    if (client->is_refused
        && (first == NULL
            || client->last_progress_ms <= first->last_progress_ms))
      first = client;
  return first;
}

/// Close the client that was refused first, while there are too many.
static void
limit_refused (gtw_gateway_t *gateway)
{
  while (gateway->refused_count > MAX_REFUSED)
    {
      gtw_client_t *client = find_first_refused (gateway);
      client_set_refused (client, false);
      h1_conn_close (&client->conn, true);
    }
}

void
gtw_client_refuse_unfinished (gtw_client_t *client, int http_status,
                              const char *reason, uint64_t retry_after_ms)
{
  if (client->request != NULL)
    gtw_request_end (client->request);
  client->request = NULL;
  client->is_last = true;
  client->last_progress_ms = gtw_now_ms (client->gateway);
  client_write_refusal (client, http_status, reason, retry_after_ms);
  h1_conn_linger (&client->conn);
  client_set_refused (client, true);
  limit_refused (client->gateway);
}

/// Refuse and close the connection: further input cannot be parsed as a
/// request.
static void
client_refuse_and_close (gtw_client_t *client, int http_status,
                         const char *reason)
{
  gtw_client_refuse_unfinished (client, http_status, reason, 0);
}

bool
gtw_client_is_last_answer (gtw_client_t *client)
{
  // A caller must not send its next request to a stopping process.
  if (client->gateway->stop_began_ms > 0)
    client->is_last = true;
  return client->is_last;
}

void
gtw_client_finish_answer (gtw_client_t *client, bool is_complete)
{
  client->request = NULL;
  client->refusal_id[0] = '\0';
  client->last_progress_ms = gtw_now_ms (client->gateway);
  if (!is_complete)
    h1_conn_close (&client->conn, true);
  else if (client->is_last)
    h1_conn_linger (&client->conn);
  else
    h1_conn_next_message (&client->conn);
}

static void
client_on_head (h1_conn_t *conn)
{
  gtw_client_t *client = (gtw_client_t *)conn;
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  client->refusal.http_status = 0;
  client->refusal_id[0] = '\0';
  client->last_progress_ms = gtw_now_ms (client->gateway);
  client->is_last = !http_should_keep_alive (&conn->parser);
  client->request = gtw_request_create (client);
  const gtw_refusal_t *refusal = &client->refusal;
  if (refusal->http_status == HTTP_TOO_LARGE
      || refusal->http_status == HTTP_BAD_REQUEST)
    {
      client_refuse_and_close (client, refusal->http_status, refusal->reason);
      return;
    }
  if (client->request != NULL
      && h1_value_has_token (h1_head_get (&conn->head, "expect"),
                             "100-continue"))
    h1_conn_write (conn, continue_response, sizeof continue_response - 1);
}

static void
client_on_body (h1_conn_t *conn, kb_slice_t bytes)
{
  gtw_client_t *client = (gtw_client_t *)conn;
  gtw_request_t *r = client->request;
  if (r == NULL || conn->is_lingering)
    return;
  client->last_progress_ms = gtw_now_ms (client->gateway);
  kb_buf_append (&r->body->buf, bytes.ptr, bytes.len_bytes);
  if (r->body->buf.len_bytes <= gtw_max_body_bytes (client->gateway))
    return;
  client_refuse_and_close (client, HTTP_TOO_LARGE, "the body is too large");
}

static void
client_on_message (h1_conn_t *conn)
{
  gtw_client_t *client = (gtw_client_t *)conn;
  if (conn->is_lingering)
    return;
  if (client->request != NULL)
    {
      gtw_request_dispatch (client->request);
      return;
    }
  bool may_come_back = client->refusal.http_status == 503;
  gtw_client_is_last_answer (client);
  client_write_refusal (client, client->refusal.http_status,
                        client->refusal.reason,
                        may_come_back ? GTW_STOP_RETRY_AFTER_MS : 0);
  gtw_client_finish_answer (client, true);
}

/// End the request of a caller who has left, without an answer.
static void
client_abandon (gtw_client_t *client, const char *found)
{
  gtw_caller_record_left (client->request, found,
                          h1_conn_query_peer (&client->conn));
  gtw_request_end (client->request);
  client->request = NULL;
}

void
gtw_client_cut (gtw_client_t *client, const char *found)
{
  if (client->request != NULL)
    client_abandon (client, found);
  h1_conn_close (&client->conn, true);
}

bool
gtw_client_check_present (gtw_client_t *client)
{
  if (!h1_conn_query_peer (&client->conn).has_left)
    return true;
  client_abandon (client, "asked");
  h1_conn_close (&client->conn, false);
  return false;
}

static void
client_on_end (h1_conn_t *conn, h1_end_t end)
{
  gtw_client_t *client = (gtw_client_t *)conn;
  if (client->request != NULL)
    client_abandon (client, "read");
  bool is_answerable = !conn->is_lingering && !conn->is_message_complete;
  if (end == H1_END_MALFORMED && is_answerable)
    client_refuse_and_close (client, HTTP_BAD_REQUEST,
                             "the request is malformed");
  else if (end == H1_END_HEADER_TOO_LARGE && is_answerable)
    client_refuse_and_close (client, HTTP_HEADER_TOO_LARGE,
                             "the header fields are too large");
  else
    h1_conn_close (conn, false);
}

static void
client_on_closed (h1_conn_t *conn)
{
  gtw_client_t *client = (gtw_client_t *)conn;
  gtw_gateway_t *gateway = client->gateway;
  if (client->prev != NULL)
    client->prev->next = client->next;
  else
    gateway->clients = client->next;
  if (client->next != NULL)
    client->next->prev = client->prev;
  gateway->client_count--;
  gateway->releasing_bytes -= client->releasing_bytes;
  client_set_refused (client, false);
  free (client);
}

static void
client_on_drained (h1_conn_t *conn)
{
  gtw_client_t *client = (gtw_client_t *)conn;
  if (client->request != NULL)
    xch_resume (&client->request->exchange);
}

static void
client_on_over_limit (h1_conn_t *conn)
{
  gtw_gateway_t *gateway = ((gtw_client_t *)conn)->gateway;
  gateway->on_over_limit (gateway);
}

static const h1_events_t client_events = {
  .on_head = client_on_head,
  .on_body = client_on_body,
  .on_message = client_on_message,
  .on_end = client_on_end,
  .on_closed = client_on_closed,
  .on_drained = client_on_drained,
  .on_over_limit = client_on_over_limit,
};

/// Store the caller's address at once: it is not available after a reset of
/// the connection.
static void
client_set_caller_address (gtw_client_t *client)
{
  struct sockaddr_in address;
  int len_bytes = sizeof address;
  client->caller[0] = '\0';
  if (uv_tcp_getpeername (&client->conn.tcp, (struct sockaddr *)&address,
                          &len_bytes)
      == 0)
    uv_ip4_name (&address, client->caller, sizeof client->caller);
}

static void
client_accept (void *owner, uv_stream_t *listener)
{
  gtw_gateway_t *gateway = owner;
  gtw_client_t *client = kb_alloc (sizeof *client);
  uint32_t max_header_bytes = gateway->config == NULL
                                  ? DEFAULT_MAX_HEADER_BYTES
                                  : gateway->config->limits.max_header_bytes;
  kb_status_t accepted
      = h1_conn_accept (&client->conn, &gateway->host.loop, listener,
                        &client_events, client, max_header_bytes);
  h1_conn_share_loop (&client->conn, &gateway->host.bulk);
  h1_conn_set_account (&client->conn, &gateway->host.memory);
  client->gateway = gateway;
  client->request = NULL;
  client_set_caller_address (client);
  client->refusal.http_status = 0;
  client->refusal_id[0] = '\0';
  client->is_last = false;
  client->is_refused = false;
  client->last_progress_ms = gtw_now_ms (gateway);
  client->prev = NULL;
  client->next = gateway->clients;
  if (client->next != NULL)
    client->next->prev = client;
  gateway->clients = client;
  gateway->client_count++;
  gateway->load.accepted++;
  if (accepted != KB_OK)
    h1_conn_close (&client->conn, false);
}

/// @return  The moment at which the current phase of the connection times out;
///          zero: never.
static uint64_t
client_timeout_at_ms (const gtw_client_t *client)
{
  enum
  {
    DRAIN_MS = 1000,
  };
  const svc_config_t *config = client->gateway->config;
  const h1_conn_t *conn = &client->conn;
  if (conn->is_lingering)
    return client->last_progress_ms + DRAIN_MS;
  if (conn->is_message_complete)
    return 0;
  uint64_t header_timeout_ms = DEFAULT_HEADER_TIMEOUT_MS;
  uint64_t idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
  if (config != NULL)
    {
      header_timeout_ms = config->limits.header_timeout_ms;
      idle_timeout_ms = config->limits.idle_timeout_ms;
    }
  bool is_head_open = conn->is_in_message && client->request == NULL
                      && client->refusal.http_status == 0;
  return is_head_open ? conn->began_ms + header_timeout_ms
                      : client->last_progress_ms + idle_timeout_ms;
}

static void
client_check_timeout (gtw_client_t *client, uint64_t now_ms)
{
  uint64_t timeout_at_ms = client_timeout_at_ms (client);
  if (client->conn.is_closing || timeout_at_ms == 0 || now_ms < timeout_at_ms)
    return;
  bool is_in_message = client->conn.is_in_message;
  if (!is_in_message || client->conn.is_lingering)
    {
      if (client->conn.is_lingering || client->conn.is_clogged
          || !h1_conn_has_unread (&client->conn))
        h1_conn_close (&client->conn, false);
      return;
    }
  client_refuse_and_close (client, HTTP_TIMEOUT,
                           "the request did not arrive in time");
}

void
gtw_clients_check_timeouts (gtw_gateway_t *gateway)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  gtw_client_t *next;
  for (gtw_client_t *client = gateway->clients; client != NULL; client = next)
    {
      next = client->next;
      client_check_timeout (client, now_ms);
    }
}

static bool
client_is_idle (const gtw_client_t *client)
{
  return client->request == NULL && !client->conn.is_in_message
         && !client->conn.is_lingering && !client->conn.is_closing;
}

void
gtw_clients_close_idle (gtw_gateway_t *gateway)
{
  // A request that has arrived is answered, though it is not read yet.
  uint64_t now_ms = gtw_now_ms (gateway);
  for (gtw_client_t *client = gateway->clients; client != NULL;
       client = client->next)
    if (client_is_idle (client)
        && now_ms >= client->last_progress_ms + MIN_STOP_IDLE_MS
        && !h1_conn_has_unread (&client->conn))
      h1_conn_linger (&client->conn);
}

/// @return  The client that is idle for the longest, MIN_IDLE_MS at least, or
///          NULL.
static gtw_client_t *
find_longest_idle (const gtw_gateway_t *gateway)
{
  gtw_client_t *found = NULL;
  uint64_t since_ms = gtw_now_ms (gateway) - MIN_IDLE_MS;
  for (gtw_client_t *client = gateway->clients; client != NULL;
       client = client->next)
    if (client_is_idle (client) && client->last_progress_ms < since_ms
        && !h1_conn_has_unread (&client->conn))
      {
        found = client;
        since_ms = client->last_progress_ms;
      }
  return found;
}

void
gtw_clients_make_room (gtw_gateway_t *gateway)
{
  for (int i = 0; i < MAX_CLOSED_FOR_ROOM; i++)
    {
      gtw_client_t *client = find_longest_idle (gateway);
      if (client == NULL)
        return;
      MET_INC ("knapweedbay_idle_callers_closed_total", "");
      h1_conn_close (&client->conn, false);
    }
}

kb_status_t
gtw_listen (gtw_gateway_t *gateway, kb_error_t *error)
{
  const set_settings_t *s = &gateway->host.settings;
  struct sockaddr_in address;
  if (h1_parse_address (kb_slice_str (s->public_address), &address) != KB_OK)
    return kb_error_set (error, KB_EINVAL,
                         "\"public_address\": \"%s\" is not \"ip:port\"",
                         s->public_address);
  acc_init (&gateway->accept);
  gateway->listener = (lsn_listener_t){ .accept = client_accept,
                                        .owner = gateway,
                                        .policy = &gateway->accept.policy };
  return lsn_listener_init (&gateway->listener, &gateway->host.loop,
                            &gateway->host.timers, &address, LISTEN_BACKLOG,
                            error);
}
