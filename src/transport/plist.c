#include "transport/plist.h"

#include <stdio.h>
#include <stdlib.h>

#include "transport/log.h"
#include "transport/metrics.h"
#include "transport/timer.h"

enum
{
  PLS_MAX_RESPONSE_BYTES = 8 << 20,
};

typedef struct
{
  pls_reader_t *reader;
  pls_done_t done;
  void *arg;
  kb_buf_t response;
} list_call_t;

static void
on_head (htc_call_t *http, int http_status, kb_slice_t content_type)
{
}

static void
on_body (htc_call_t *http, kb_slice_t bytes)
{
  list_call_t *call = http->owner;
  if (call->response.len_bytes + bytes.len_bytes < PLS_MAX_RESPONSE_BYTES)
    kb_buf_append (&call->response, bytes.ptr, bytes.len_bytes);
  else
    htc_call_abort (http);
}

static void
log_unread (pls_reader_t *reader, const char *reason)
{
  uint64_t hash = kb_hash (reason, strlen (reason), 0) | 1;
  log_line_t line;
  if (!sen_is_new (&reader->seen, hash, tmr_now_ms ())
      || !log_begin (&line, LOG_WARN, "list", "list_unread"))
    return;
  log_text (&line, "reason", reason);
  log_end (&line);
  log_flush ();
}

static void
log_ignored (pls_reader_t *reader, const vml_fault_t *fault)
{
  log_line_t line;
  if (!sen_is_new (&reader->seen, fault->hash, tmr_now_ms ())
      || !log_begin (&line, LOG_WARN, "list", "entry_ignored"))
    return;
  log_text (&line, "key", fault->name);
  log_text (&line, "reason", fault->reason);
  log_end (&line);
  log_flush ();
}

static void
report_faults (pls_reader_t *reader, const vml_list_t *list)
{
  met_set (met_counter ("knapweedbay_list_entries_ignored", ""),
           list->fault_count);
  for (uint32_t i = 0; i < list->fault_count && i < VML_MAX_FAULTS; i++)
    log_ignored (reader, &list->faults[i]);
}

/// @return  Whether the list was read; the caller then releases it.
static bool
decode_response (list_call_t *call, bool is_complete, int http_status,
                 vml_list_t *list)
{
  kb_error_t error = { 0 };
  if (!is_complete)
    kb_error_set (&error, KB_EUNAVAIL,
                  "no answer, or none of at most 8 MiB in time");
  else if (http_status != 200)
    kb_error_set (&error, KB_EUNAVAIL, "status %d", http_status);
  else if (vml_list_decode (kb_buf_slice (&call->response), list, &error)
           == KB_OK)
    return true;
  log_unread (call->reader, error.message);
  return false;
}

static void
on_end (htc_call_t *http, htc_end_t end)
{
  list_call_t *call = http->owner;
  vml_list_t list;
  if (decode_response (call, end == HTC_END_COMPLETE, http->http_status,
                       &list))
    {
      report_faults (call->reader, &list);
      call->done (call->arg, &list);
      vml_list_finish (&list);
    }
  else
    call->done (call->arg, NULL);
  kb_buf_finish (&call->response);
  free (call);
}

static const htc_events_t list_events = { on_head, on_body, on_end };

void
pls_reader_init (pls_reader_t *reader, htc_client_t *http, const char *address,
                 uint16_t port, uint64_t timeout_ms)
{
  *reader = (pls_reader_t){
    .http = http, .address = address, .port = port, .timeout_ms = timeout_ms
  };
}

void
pls_read (pls_reader_t *reader, pls_done_t done, void *arg)
{
  list_call_t *call = kb_alloc (sizeof *call);
  call->reader = reader;
  call->done = done;
  call->arg = arg;
  htc_call_t *sent = htc_call_start (
      reader->http, &list_events, call, reader->address, reader->port, "GET",
      "/v1/vms", "", (kb_slice_t){ "", 0 }, reader->timeout_ms);
  htc_call_limit_time (sent, reader->timeout_ms);
}
