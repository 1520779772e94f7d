#include "transport/call.h"

#include <arpa/inet.h>

enum
{
  /// A page of the store is about 1 MB.
  DEFAULT_MAX_RESPONSE_BYTES = 8 << 20,
  CONNECT_TIMEOUT_MS = 1000,
};

static void
call_finish (cal_call_t *call, kb_status_t status)
{
  tmr_cancel (call->timers, &call->timer);
  xch_cancel (&call->exchange);
  call->is_active = false;
  kb_buf_t body = { 0 };
  kb_buf_swap (&body, &call->body);
  cal_result_t result = { .status = status,
                          .http_status = call->http_status,
                          .body = kb_buf_slice (&body),
                          .first_byte_ms = call->first_byte_ms,
                          .header = kb_slice_str (call->header),
                          .header_count = call->header_count };
  call->done (call->arg, &result);
  kb_buf_finish (&body);
}

static void
call_on_timeout (void *arg)
{
  cal_call_t *call = arg;
  call_finish (call,
               xch_is_sent (&call->exchange) ? KB_EUNKNOWN : KB_EUNAVAIL);
}

/// Restart the timer when part of the response arrives, since that shows that
/// the peer is alive.
static void
call_extend_timeout (cal_call_t *call)
{
  if (call->stall_timeout_ms == 0)
    return;
  uint64_t elapsed_ms = uv_now (call->timers->loop) - call->began_ms;
  uint64_t left_ms = call->total_timeout_ms > elapsed_ms
                         ? call->total_timeout_ms - elapsed_ms
                         : 0;
  tmr_start_once (call->timers, &call->timer,
                  left_ms < call->stall_timeout_ms ? left_ms
                                                   : call->stall_timeout_ms,
                  call_on_timeout, call);
}

static void
call_on_head (xch_t *x)
{
  cal_call_t *call = x->owner;
  const h1_conn_t *conn = xch_conn (x);
  call->http_status = conn->parser.status_code;
  call->first_byte_ms
      = (int64_t)(uv_now (call->timers->loop) - call->began_ms);
  if (call->returned_header != NULL)
    {
      kb_slice_copy (h1_head_get (&conn->head, call->returned_header),
                     call->header, sizeof call->header);
      call->header_count = h1_head_count (&conn->head, call->returned_header);
    }
  call_extend_timeout (call);
}

static void
call_on_body (xch_t *x, kb_slice_t bytes)
{
  cal_call_t *call = x->owner;
  if (call->body.len_bytes + bytes.len_bytes > call->max_response_bytes)
    {
      call_finish (call, KB_ELIMIT);
      return;
    }
  kb_buf_append (&call->body, bytes.ptr, bytes.len_bytes);
  call_extend_timeout (call);
}

static void
call_on_done (xch_t *x)
{
  call_finish (x->owner, KB_OK);
}

static void
call_on_fail (xch_t *x, xch_failure_t fail)
{
  call_finish (x->owner, fail == XCH_NOT_SENT ? KB_EUNAVAIL : KB_EUNKNOWN);
}

static const xch_events_t call_events
    = { call_on_head, call_on_body, call_on_done, call_on_fail };

void
cal_call_start (cal_call_t *call, xch_peer_t *peer,
                const cal_request_t *request, cal_done_t done, void *arg)
{
  kb_buf_finish (&call->body);
  *call = (cal_call_t){ .timers = peer->pool->timers,
                        .returned_header = request->returned_header,
                        .began_ms = uv_now (peer->pool->loop),
                        .stall_timeout_ms = request->stall_timeout_ms,
                        .total_timeout_ms = request->total_timeout_ms,
                        .max_response_bytes = request->max_response_bytes > 0
                                                  ? request->max_response_bytes
                                                  : DEFAULT_MAX_RESPONSE_BYTES,
                        .first_byte_ms = -1,
                        .done = done,
                        .arg = arg,
                        .is_active = true };
  char host[INET_ADDRSTRLEN];
  uv_ip4_name (&peer->address, host, sizeof host);
  kb_buf_t head = { 0 };
  kb_buf_printf (&head, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n", request->method,
                 request->path, host, ntohs (peer->address.sin_port));
  if (request->extra_headers != NULL)
    kb_buf_append_str (&head, request->extra_headers);
  if (request->json_body.len_bytes > 0)
    kb_buf_printf (&head,
                   "Content-Type: application/json\r\n"
                   "Content-Length: %u\r\n",
                   request->json_body.len_bytes);
  else if (request->method[0] != 'G')
    kb_buf_append_str (&head, "Content-Length: 0\r\n");
  kb_buf_append_str (&head, "\r\n");
  kb_buf_append (&head, request->json_body.ptr, request->json_body.len_bytes);
  xch_request_t sent = { .head = kb_buf_slice (&head),
                         .max_idle_ms = XCH_ANY_IDLE_MS,
                         .connect_timeout_ms = CONNECT_TIMEOUT_MS };
  xch_start (&call->exchange, peer, &call_events, call, &sent);
  kb_buf_finish (&head);
  tmr_start_once (call->timers, &call->timer, request->timeout_ms,
                  call_on_timeout, call);
}

void
cal_call_cancel (cal_call_t *call)
{
  if (!call->is_active)
    return;
  tmr_cancel (call->timers, &call->timer);
  xch_cancel (&call->exchange);
  kb_buf_finish (&call->body);
  call->is_active = false;
}
