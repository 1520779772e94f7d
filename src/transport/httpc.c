#include "transport/httpc.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "transport/metrics.h"
#include "transport/presence.h"

enum
{
  H2O_IO_TIMEOUT_MS = 3600000,
  /// Of the bytes behind a body, more than a status line has.
  MAX_PEEKED_BYTES = 4096,
  MAX_RESPONSE_HEAD_BYTES = 32768,
  /// Receive buffer in the kernel, which doubles this value.
  RECEIVE_BYTES = 32768,
};

typedef struct
{
  h2o_http1client_ctx_t ctx;
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t receiver;
  h2o_timeout_t io_timeout;
} client_impl_t;

static void check_heads (uv_check_t *check);

void
htc_client_init (htc_client_t *client, uv_loop_t *loop, tmr_service_t *timers)
{
  client_impl_t *impl = kb_alloc (sizeof *impl);
  impl->queue = h2o_multithread_create_queue (loop);
  h2o_multithread_register_receiver (impl->queue, &impl->receiver,
                                     h2o_hostinfo_getaddr_receiver);
  h2o_timeout_init (loop, &impl->io_timeout, H2O_IO_TIMEOUT_MS);
  impl->ctx.loop = loop;
  impl->ctx.getaddr_receiver = &impl->receiver;
  impl->ctx.io_timeout = &impl->io_timeout;
  *client = (htc_client_t){ .loop = loop, .timers = timers, .impl = impl };
  uv_check_init (loop, &client->check);
  client->check.data = client;
  uv_unref ((uv_handle_t *)&client->check);
}

void
htc_client_finish (htc_client_t *client)
{
  client_impl_t *impl = client->impl;
  h2o_multithread_unregister_receiver (impl->queue, &impl->receiver);
  h2o_multithread_destroy_queue (impl->queue);
  h2o_timeout_dispose (client->loop, &impl->io_timeout);
  free (impl);
  client->impl = NULL;
  uv_close ((uv_handle_t *)&client->check, NULL);
}

static void
call_await_head (htc_call_t *call)
{
  htc_client_t *client = call->client;
  if (client->awaiting == NULL)
    uv_check_start (&client->check, check_heads);
  call->next_awaiting = client->awaiting;
  client->awaiting = call;
}

static void
call_stop_awaiting (const htc_call_t *call)
{
  htc_client_t *client = call->client;
  htc_call_t **at = &client->awaiting;
  while (*at != NULL && *at != call)
    at = &(*at)->next_awaiting;
  if (*at == NULL)
    return;
  *at = call->next_awaiting;
  if (client->awaiting == NULL)
    uv_check_stop (&client->check);
}

static void
call_free (htc_call_t *call)
{
  call_stop_awaiting (call);
  tmr_cancel (call->client->timers, &call->timer);
  kb_buf_finish (&call->request);
  rso_search_finish (&call->search);
  free (call->iovec);
  free (call);
}

/// Report the end of the call and free it. h2o closes the connection itself
/// after an error or the end of the response.
static void
call_end (htc_call_t *call, htc_end_t end)
{
  call->is_ended = true;
  if (call->is_starting)
    return;
  call->events->on_end (call, end);
  call_free (call);
}

static void
call_report_not_sent (void *arg)
{
  htc_call_t *call = arg;
  call->events->on_end (call, HTC_END_NOT_SENT);
  call_free (call);
}

/// @return  A call whose head is too long as far as it has arrived; NULL:
/// none.
static htc_call_t *
find_oversized_head (const htc_client_t *client)
{
  for (htc_call_t *call = client->awaiting; call != NULL;
       call = call->next_awaiting)
    {
      const h2o_http1client_t *h2o_client = call->h2o_client;
      if (h2o_client->sock->input->size > MAX_RESPONSE_HEAD_BYTES)
        return call;
    }
  return NULL;
}

/// h2o has no limit for a head, and parses it from its beginning with each
/// read.
static void
check_heads (uv_check_t *check)
{
  htc_call_t *call;
  while ((call = find_oversized_head (check->data)) != NULL)
    {
      h2o_http1client_cancel (call->h2o_client);
      call_end (call, HTC_END_INCOMPLETE);
    }
}

static void
call_on_idle_timeout (void *arg)
{
  htc_call_t *call = arg;
  h2o_http1client_cancel (call->h2o_client);
  call_end (call, call->is_sent ? HTC_END_TIMEOUT : HTC_END_NOT_SENT);
}

static void
call_restart_idle_timer (htc_call_t *call)
{
  uint64_t timeout_ms = call->idle_timeout_ms;
  if (call->ends_at_ms > 0)
    {
      uint64_t now_ms = uv_now (call->client->loop);
      uint64_t left_ms
          = call->ends_at_ms > now_ms ? call->ends_at_ms - now_ms : 0;
      if (left_ms < timeout_ms)
        timeout_ms = left_ms;
    }
  tmr_start_once (call->client->timers, &call->timer, timeout_ms,
                  call_on_idle_timeout, call);
}

/// h2o also reports the end of a chunked body when the connection ends between
/// two chunks, or within the size of one.
/// @return  Whether the end of the body was reported without a last chunk.
static bool
is_cut_between_chunks (const htc_call_t *call, const h2o_http1client_t *client,
                       const char *errstr)
{
  return errstr == h2o_http1client_error_is_eos && call->is_chunked
         && client->sock->bytes_read == 0;
}

/// h2o also reports the end of a close-delimited body when its connection is
/// reset.
static bool
is_reset_in_body (const htc_call_t *call, const h2o_http1client_t *client,
                  const char *errstr)
{
  return errstr == h2o_http1client_error_is_eos && call->is_close_delimited
         && !prs_is_closed_in_order (h2o_socket_get_fd (client->sock));
}

/// Search the bytes behind a body with a length: those that h2o read, which
/// it leaves behind its input, and those that wait in the socket.
static bool
is_second_in_surplus (htc_call_t *call, const h2o_http1client_t *client)
{
  const h2o_buffer_t *input = client->sock->input;
  kb_buf_t surplus = { 0 };
  if (client->sock->bytes_read > input->size)
    kb_buf_append (&surplus, input->bytes + input->size,
                   client->sock->bytes_read - input->size);
  char waiting[MAX_PEEKED_BYTES];
  ssize_t waiting_bytes = recv (h2o_socket_get_fd (client->sock), waiting,
                                sizeof waiting, MSG_PEEK | MSG_DONTWAIT);
  if (waiting_bytes > 0)
    kb_buf_append (&surplus, waiting, (size_t)waiting_bytes);
  bool is_found
      = surplus.len_bytes > 0
        && rsc_scan_feed_surplus (&call->search.scan, kb_buf_slice (&surplus));
  kb_buf_finish (&surplus);
  return is_found;
}

/// @return  Whether bytes of the body are those of another response.
static bool
is_second_in_body (htc_call_t *call, const h2o_http1client_t *client,
                   const char *errstr)
{
  const h2o_buffer_t *input = client->sock->input;
  bool is_found = rso_search_feed (
      &call->search, (kb_slice_t){ input->bytes, (uint32_t)input->size });
  if (errstr != NULL && !is_found)
    is_found = call->is_close_delimited
                   ? rsc_scan_is_open (&call->search.scan)
                   : !call->is_chunked && is_second_in_surplus (call, client);
  if (is_found)
    MET_INC ("knapweedbay_second_answers_total", "");
  return is_found;
}

static int
on_body (h2o_http1client_t *client, const char *errstr)
{
  htc_call_t *call = client->data;
  bool is_error = errstr != NULL && errstr != h2o_http1client_error_is_eos;
  if (is_error || is_cut_between_chunks (call, client, errstr)
      || is_reset_in_body (call, client, errstr))
    {
      call_end (call, HTC_END_INCOMPLETE);
      return -1;
    }
  if (is_second_in_body (call, client, errstr))
    {
      call_end (call, HTC_END_SECOND);
      return -1;
    }
  call_restart_idle_timer (call);
  h2o_buffer_t *input = client->sock->input;
  if (input->size > 0)
    {
      kb_slice_t bytes = { input->bytes, (uint32_t)input->size };
      call->is_in_callback = true;
      call->events->on_body (call, bytes);
      call->is_in_callback = false;
      h2o_buffer_consume (&client->sock->input, input->size);
    }
  if (call->is_cancelled)
    {
      call_free (call);
      return -1;
    }
  if (call->is_aborted)
    {
      call_end (call, HTC_END_INCOMPLETE);
      return -1;
    }
  if (errstr == h2o_http1client_error_is_eos)
    call_end (call, HTC_END_COMPLETE);
  return 0;
}

kb_slice_t
htc_call_header (const htc_call_t *call, const char *name)
{
  const h2o_header_t *headers = call->headers;
  for (size_t i = 0; i < call->header_count; i++)
    if (h2o_lcstris (headers[i].name->base, headers[i].name->len, name,
                     strlen (name)))
      return (kb_slice_t){ headers[i].value.base,
                           (uint32_t)headers[i].value.len };
  return (kb_slice_t){ "", 0 };
}

/// h2o takes the last one of several lengths, and a length beside a transfer
/// coding.
/// @return  Whether the fields of a head contradict each other about where its
///          body ends.
static bool
is_framing_contradictory (const htc_call_t *call)
{
  const h2o_header_t *headers = call->headers;
  const h2o_iovec_t *length = NULL;
  for (size_t i = 0; i < call->header_count; i++)
    {
      if (headers[i].name != &H2O_TOKEN_CONTENT_LENGTH->buf)
        continue;
      const h2o_iovec_t *value = &headers[i].value;
      if (length != NULL
          && !h2o_memis (value->base, value->len, length->base, length->len))
        return true;
      length = value;
    }
  return length != NULL && call->is_chunked;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *errstr, int minor_version,
         int status, h2o_iovec_t msg, h2o_header_t *headers,
         size_t num_headers, int rlen)
{
  htc_call_t *call = client->data;
  call_stop_awaiting (call);
  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      call_end (call, HTC_END_INCOMPLETE);
      return NULL;
    }
  call_restart_idle_timer (call);
  call->http_status = status;
  call->headers = headers;
  call->header_count = num_headers;
  call->is_chunked = htc_call_header (call, "transfer-encoding").len_bytes > 0;
  if (is_framing_contradictory (call))
    {
      call_end (call, HTC_END_INCOMPLETE);
      return NULL;
    }
  call->is_close_delimited
      = !call->is_chunked
        && htc_call_header (call, "content-length").len_bytes == 0;
  for (size_t i = 0; i < num_headers; i++)
    rso_search_add_field (
        &call->search,
        (kb_slice_t){ headers[i].name->base, (uint32_t)headers[i].name->len },
        (kb_slice_t){ headers[i].value.base, (uint32_t)headers[i].value.len });
  call->is_in_callback = true;
  call->events->on_head (call, status, htc_call_header (call, "content-type"));
  call->is_in_callback = false;
  call->headers = NULL;
  call->header_count = 0;
  if (call->is_cancelled)
    {
      call_free (call);
      return NULL;
    }
  if (errstr == h2o_http1client_error_is_eos)
    {
      call_end (call, HTC_END_COMPLETE);
      return NULL;
    }
  return on_body;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *errstr,
            h2o_iovec_t **reqbufs, size_t *reqbufcnt, int *method_is_head)
{
  htc_call_t *call = client->data;
  if (errstr != NULL)
    {
      call_end (call, HTC_END_NOT_SENT);
      return NULL;
    }
  call->is_sent = true;
  call->h2o_client = client;
  int receive_bytes = RECEIVE_BYTES;
  setsockopt (h2o_socket_get_fd (client->sock), SOL_SOCKET, SO_RCVBUF,
              &receive_bytes, sizeof receive_bytes);
  call_await_head (call);
  h2o_iovec_t *vec = kb_alloc (sizeof *vec);
  *vec = h2o_iovec_init (call->request.ptr, call->request.len_bytes);
  call->iovec = vec;
  *reqbufs = vec;
  *reqbufcnt = 1;
  *method_is_head = 0;
  return on_head;
}

htc_call_t *
htc_call_start (htc_client_t *client, const htc_events_t *events, void *owner,
                const char *address, uint16_t port, const char *method,
                const char *path, const char *extra_headers, kb_slice_t body,
                uint64_t idle_timeout_ms)
{
  htc_call_t *call = kb_alloc (sizeof *call);
  call->events = events;
  call->owner = owner;
  call->client = client;
  call->idle_timeout_ms = idle_timeout_ms;
  rso_search_init (&call->search);
  kb_buf_printf (&call->request,
                 "%s %s HTTP/1.1\r\nhost: %s:%u\r\nconnection: close\r\n"
                 "content-length: %u\r\n%s\r\n",
                 method, path, address, port, body.len_bytes, extra_headers);
  kb_buf_append (&call->request, body.ptr, body.len_bytes);
  call_restart_idle_timer (call);
  client_impl_t *impl = client->impl;
  h2o_http1client_t *h2o_client = NULL;
  call->is_starting = true;
  h2o_http1client_connect (&h2o_client, call, &impl->ctx,
                           h2o_iovec_init (address, strlen (address)), port, 0,
                           on_connect);
  call->h2o_client = h2o_client;
  call->is_starting = false;
  // h2o reports a lack of file descriptors from within connect, before the
  // owner has stored the call. The end is therefore reported from the event
  // loop.
  if (call->is_ended)
    tmr_start_once (client->timers, &call->timer, 0, call_report_not_sent,
                    call);
  return call;
}

void
htc_call_limit_time (htc_call_t *call, uint64_t total_timeout_ms)
{
  call->ends_at_ms = uv_now (call->client->loop) + total_timeout_ms;
  if (!call->is_ended)
    call_restart_idle_timer (call);
}

void
htc_call_abort (htc_call_t *call)
{
  call->is_aborted = true;
}

void
htc_call_cancel (htc_call_t *call)
{
  if (call->is_in_callback)
    {
      call->is_cancelled = true;
      return;
    }
  h2o_http1client_cancel (call->h2o_client);
  call_free (call);
}
