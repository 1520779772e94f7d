#include "transport/link.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "protocol/msg.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  LNK_MAX_QUEUED_MESSAGES = 4000,
  LNK_MAX_DRAIN_MESSAGES = 256,
  LNK_RECONNECT_MIN_MS = 50,
  LNK_RECONNECT_MAX_MS = 1000,
  LNK_HANDSHAKE_TIMEOUT_MS = 5000,
  LNK_KEY_BYTES = 32,
  LNK_KEY_Z85_BYTES = 41
};

static void link_drain (lnk_link_t *link);

/// The descriptor of a ZeroMQ socket is edge-triggered: after any send or
/// receive, an event may be pending that no further edge signals, and a
/// message would then be delivered only together with the next one. A check
/// handle therefore drains the socket after every loop iteration, and the idle
/// handle keeps the loop from blocking while messages may remain.
static void
link_on_idle (uv_idle_t *idle)
{
}

static void
link_on_check (uv_check_t *check)
{
  link_drain (check->data);
}

static void
link_on_readable (uv_poll_t *poll, int status, int events)
{
  link_drain (poll->data);
}

static void
link_handle_message (lnk_link_t *link, zmq_msg_t *peer, zmq_msg_t *body)
{
  kb_slice_t bytes = { zmq_msg_data (body), (uint32_t)zmq_msg_size (body) };
  kb_slice_t from = { zmq_msg_data (peer), (uint32_t)zmq_msg_size (peer) };
  link->bytes_in += bytes.len_bytes;
  msg_t msg;
  kb_status_t status = msg_decode (bytes, &msg);
  if (status == KB_ELIMIT)
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"newer_version\"");
      return;
    }
  if (status != KB_OK)
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
      return;
    }
  MET_INC ("knapweedbay_inner_received_total", "");
  link->events->on_message (link, from, &msg);
}

static bool
link_receive_one (lnk_link_t *link)
{
  zmq_msg_t peer;
  zmq_msg_t body;
  zmq_msg_init (&peer);
  if (zmq_msg_recv (&peer, link->socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&peer);
      return false;
    }
  bool has_body = zmq_msg_more (&peer) != 0;
  zmq_msg_init (&body);
  if (has_body && zmq_msg_recv (&body, link->socket, ZMQ_DONTWAIT) >= 0)
    {
      bool has_extra_frame = zmq_msg_more (&body) != 0;
      if (!has_extra_frame)
        link_handle_message (link, &peer, &body);
      else
        MET_INC ("knapweedbay_inner_dropped_total", "reason=\"frames\"");
      while (has_extra_frame)
        {
          zmq_msg_t extra;
          zmq_msg_init (&extra);
          has_extra_frame
              = zmq_msg_recv (&extra, link->socket, ZMQ_DONTWAIT) >= 0
                && zmq_msg_more (&extra);
          zmq_msg_close (&extra);
        }
    }
  zmq_msg_close (&body);
  zmq_msg_close (&peer);
  return true;
}

static void
link_drain (lnk_link_t *link)
{
  if (link->is_draining || link->socket == NULL)
    return;
  link->is_draining = true;
  int budget = LNK_MAX_DRAIN_MESSAGES;
  while (budget > 0 && link_receive_one (link))
    budget--;
  link->is_draining = false;
  if (budget == 0)
    uv_idle_start (&link->idle, link_on_idle);
  else
    uv_idle_stop (&link->idle);
}

static void
monitor_on_readable (uv_poll_t *poll, int status, int events)
{
  lnk_link_t *link = poll->data;
  for (;;)
    {
      zmq_msg_t event;
      zmq_msg_t address;
      zmq_msg_init (&event);
      if (zmq_msg_recv (&event, link->monitor, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&event);
          return;
        }
      uint16_t kind;
      memcpy (&kind, zmq_msg_data (&event), sizeof kind);
      zmq_msg_init (&address);
      zmq_msg_recv (&address, link->monitor, ZMQ_DONTWAIT);
      char text[128];
      kb_slice_copy ((kb_slice_t){ zmq_msg_data (&address),
                                   (uint32_t)zmq_msg_size (&address) },
                     text, sizeof text);
      zmq_msg_close (&event);
      zmq_msg_close (&address);
      if (kind == ZMQ_EVENT_HANDSHAKE_FAILED_AUTH
          || kind == ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
          || kind == ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL)
        MET_INC ("knapweedbay_inner_handshake_failures_total", "");
      if (link->events->on_disconnect != NULL)
        link->events->on_disconnect (link, text);
    }
}

static void
zap_reply (lnk_link_t *link, const char *request_id, const char *code)
{
  const char *frames[]
      = { "1.0", request_id, code, "", code[0] == '2' ? "peer" : "", "" };
  for (int i = 0; i < 6; i++)
    zmq_send (link->zap, frames[i], strlen (frames[i]),
              i < 5 ? ZMQ_SNDMORE : 0);
}

static bool
zap_key_is_allowed (const lnk_link_t *link, const uint8_t *key)
{
  char text[LNK_KEY_Z85_BYTES];
  if (zmq_z85_encode (text, key, LNK_KEY_BYTES) == NULL)
    return false;
  for (int i = 0; i < 2; i++)
    if (link->options.allowed_keys[i] != NULL
        && strcmp (text, link->options.allowed_keys[i]) == 0)
      return true;
  return false;
}

/// Answers ZAP authentication requests. The frames of a request are: version,
/// request id, domain, address, identity, mechanism, client key.
static void
zap_on_readable (uv_poll_t *poll, int status, int events)
{
  enum
  {
    FRAME_REQUEST_ID = 1,
    FRAME_KEY = 6,
    MAX_FRAMES = 8
  };
  lnk_link_t *link = poll->data;
  for (;;)
    {
      char request_id[64] = "";
      uint8_t key[LNK_KEY_BYTES] = { 0 };
      bool has_key = false;
      int more = 1;
      for (int i = 0; more && i < MAX_FRAMES; i++)
        {
          zmq_msg_t frame;
          zmq_msg_init (&frame);
          if (zmq_msg_recv (&frame, link->zap, ZMQ_DONTWAIT) < 0)
            {
              zmq_msg_close (&frame);
              return;
            }
          if (i == FRAME_REQUEST_ID)
            kb_slice_copy ((kb_slice_t){ zmq_msg_data (&frame),
                                         (uint32_t)zmq_msg_size (&frame) },
                           request_id, sizeof request_id);
          if (i == FRAME_KEY && zmq_msg_size (&frame) == LNK_KEY_BYTES)
            {
              memcpy (key, zmq_msg_data (&frame), LNK_KEY_BYTES);
              has_key = true;
            }
          more = zmq_msg_more (&frame);
          zmq_msg_close (&frame);
        }
      bool is_allowed = has_key && zap_key_is_allowed (link, key);
      if (!is_allowed)
        {
          MET_INC ("knapweedbay_inner_strangers_total", "");
          log_write (LOG_WARN, "link",
                     "Connection refused: unknown CURVE key.");
        }
      zap_reply (link, request_id, is_allowed ? "200" : "400");
    }
}

static void
link_start_poll (lnk_link_t *link, uv_poll_t *poll, void *socket,
                 uv_poll_cb fn)
{
  int fd;
  size_t size = sizeof fd;
  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  uv_poll_init (link->loop, poll, fd);
  poll->data = link;
  uv_poll_start (poll, UV_READABLE, fn);
}

static void
socket_set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static bool
link_has_curve (const lnk_link_t *link)
{
  return link->options.public_key != NULL
         && link->options.public_key[0] != '\0';
}

static kb_status_t
link_start_zap (lnk_link_t *link, kb_error_t *error)
{
  link->zap = zmq_socket (link->context, ZMQ_REP);
  if (zmq_bind (link->zap, "inproc://zeromq.zap.01") != 0)
    return kb_error_set (error, KB_ESYS, "cannot start the ZAP handler: %s",
                         zmq_strerror (errno));
  link_start_poll (link, &link->zap_poll, link->zap, zap_on_readable);
  return KB_OK;
}

static kb_status_t
link_set_curve (lnk_link_t *link, kb_error_t *error)
{
  void *s = link->socket;
  if (zmq_setsockopt (s, ZMQ_CURVE_PUBLICKEY, link->options.public_key,
                      LNK_KEY_Z85_BYTES)
          != 0
      || zmq_setsockopt (s, ZMQ_CURVE_SECRETKEY, link->options.secret_key,
                         LNK_KEY_Z85_BYTES)
             != 0)
    return kb_error_set (error, KB_EINVAL, "the CURVE keys are not valid Z85");
  return KB_OK;
}

kb_status_t
lnk_link_init (lnk_link_t *link, uv_loop_t *loop, const lnk_events_t *events,
               void *owner, const lnk_options_t *options, kb_error_t *error)
{
  *link = (lnk_link_t){
    .events = events, .owner = owner, .loop = loop, .options = *options
  };
  kb_buf_init (&link->scratch);
  link->context = zmq_ctx_new ();
  if (link_has_curve (link))
    {
      kb_status_t status = link_start_zap (link, error);
      if (status != KB_OK)
        return status;
    }
  link->socket = zmq_socket (link->context, ZMQ_ROUTER);
  if (link->socket == NULL)
    return kb_error_set (error, KB_ESYS, "cannot create the inner socket: %s",
                         zmq_strerror (errno));
  zmq_setsockopt (link->socket, ZMQ_ROUTING_ID, options->name,
                  strlen (options->name));
  // Without ROUTER_MANDATORY, a message to an unconnected peer is dropped
  // silently and the request waits until its deadline; with it, the send fails
  // immediately.
  socket_set_int (link->socket, ZMQ_ROUTER_MANDATORY, 1);
  // A restarted peer may reconnect under the same name before its old
  // connection is detected as dead; the new connection must take over.
  socket_set_int (link->socket, ZMQ_ROUTER_HANDOVER, 1);
  socket_set_int (link->socket, ZMQ_LINGER, 0);
  socket_set_int (link->socket, ZMQ_SNDHWM, LNK_MAX_QUEUED_MESSAGES);
  socket_set_int (link->socket, ZMQ_RCVHWM, LNK_MAX_QUEUED_MESSAGES);
  socket_set_int (link->socket, ZMQ_RECONNECT_IVL, LNK_RECONNECT_MIN_MS);
  socket_set_int (link->socket, ZMQ_RECONNECT_IVL_MAX, LNK_RECONNECT_MAX_MS);
  socket_set_int (link->socket, ZMQ_HANDSHAKE_IVL, LNK_HANDSHAKE_TIMEOUT_MS);
  if (link_has_curve (link))
    {
      kb_status_t status = link_set_curve (link, error);
      if (status != KB_OK)
        return status;
    }
  zmq_socket_monitor (link->socket, "inproc://monitor",
                      ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_CONNECT_RETRIED
                          | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH
                          | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
                          | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL);
  link->monitor = zmq_socket (link->context, ZMQ_PAIR);
  zmq_connect (link->monitor, "inproc://monitor");
  link_start_poll (link, &link->monitor_poll, link->monitor,
                   monitor_on_readable);
  // ZeroMQ signals the descriptor of a pipe only after a read has found the
  // pipe empty. Without this initial read no disconnect is ever reported, and
  // a killed agent is detected only seconds later by an unanswered ping.
  monitor_on_readable (&link->monitor_poll, 0, 0);
  link_start_poll (link, &link->poll, link->socket, link_on_readable);
  uv_check_init (loop, &link->check);
  link->check.data = link;
  uv_check_start (&link->check, link_on_check);
  uv_idle_init (loop, &link->idle);
  return KB_OK;
}

void
lnk_link_finish (lnk_link_t *link)
{
  if (link->socket != NULL)
    {
      uv_close ((uv_handle_t *)&link->poll, NULL);
      uv_close ((uv_handle_t *)&link->monitor_poll, NULL);
      uv_close ((uv_handle_t *)&link->check, NULL);
      uv_close ((uv_handle_t *)&link->idle, NULL);
      zmq_socket_monitor (link->socket, NULL, 0);
      zmq_close (link->monitor);
      zmq_close (link->socket);
    }
  if (link->zap != NULL)
    {
      uv_close ((uv_handle_t *)&link->zap_poll, NULL);
      zmq_close (link->zap);
    }
  link->socket = NULL;
  zmq_ctx_term (link->context);
  kb_buf_finish (&link->scratch);
}

kb_status_t
lnk_link_bind (lnk_link_t *link, const char *address, uint16_t *port,
               kb_error_t *error)
{
  char endpoint[128];
  if (*port == 0)
    snprintf (endpoint, sizeof endpoint, "tcp://%s:*", address);
  else
    snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", address, *port);
  socket_set_int (link->socket, ZMQ_CURVE_SERVER,
                  link_has_curve (link) ? 1 : 0);
  if (zmq_bind (link->socket, endpoint) != 0)
    return kb_error_set (error, KB_ESYS, "cannot listen on %s: %s", endpoint,
                         zmq_strerror (errno));
  socket_set_int (link->socket, ZMQ_CURVE_SERVER, 0);
  char bound[128];
  size_t size = sizeof bound;
  zmq_getsockopt (link->socket, ZMQ_LAST_ENDPOINT, bound, &size);
  *port = (uint16_t)atoi (strrchr (bound, ':') + 1);
  return KB_OK;
}

kb_status_t
lnk_link_connect (lnk_link_t *link, const char *address,
                  const char *server_key)
{
  if (link_has_curve (link))
    {
      link_set_curve (link, NULL);
      zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY, server_key,
                      LNK_KEY_Z85_BYTES);
    }
  // Without ZMQ_IMMEDIATE, the pipe exists before the connection does, and
  // messages are queued for a VM that may never come back.
  socket_set_int (link->socket, ZMQ_IMMEDIATE, 1);
  return zmq_connect (link->socket, address) == 0 ? KB_OK : KB_EINVAL;
}

void
lnk_link_disconnect (lnk_link_t *link, const char *address)
{
  zmq_disconnect (link->socket, address);
}

kb_status_t
lnk_link_send (lnk_link_t *link, kb_slice_t peer, const msg_t *msg)
{
  kb_buf_clear (&link->scratch);
  msg_encode (msg, &link->scratch);
  if (zmq_send (link->socket, peer.ptr, peer.len_bytes,
                ZMQ_SNDMORE | ZMQ_DONTWAIT)
      < 0)
    {
      MET_INC ("knapweedbay_inner_unsent_total", "");
      return KB_EUNAVAIL;
    }
  if (zmq_send (link->socket, link->scratch.ptr, link->scratch.len_bytes,
                ZMQ_DONTWAIT)
      < 0)
    {
      MET_INC ("knapweedbay_inner_unsent_total", "");
      return KB_EUNAVAIL;
    }
  link->bytes_out += link->scratch.len_bytes;
  // The check handle runs only when the loop iterates: prevent it from
  // blocking.
  uv_idle_start (&link->idle, link_on_idle);
  return KB_OK;
}
