/// @file fake_plain.c
/// Fakes of a plain service, which counts calls by their body, and of the
/// platform's list, whose content is set by POST.
#include <stdio.h>
#include <stdlib.h>

#include "fake.h"

static struct
{
  int64_t latency_ms;
  bool is_reply_truncated; ///< The call takes effect, but its answer is lost.
} faults;

static struct json_object *call_counts;
static kb_buf_t list_document;

/// A call whose answer is delayed.
typedef struct
{
  hts_request_t *http;
  tmr_timer_t timer;
} call_t;

static void
call_answer (hts_request_t *http, int64_t count)
{
  kb_buf_t body = { 0 };
  kb_buf_printf (&body, "{\"path\":\"%.*s\",\"count\":%lld}",
                 (int)http->path.len_bytes, http->path.ptr, (long long)count);
  fk_reply (http, 200, &body);
  kb_buf_finish (&body);
}

static void
call_fire (void *arg)
{
  call_t *call = arg;
  if (call->http != NULL)
    {
      call->http->owner = NULL;
      call_answer (call->http, 1);
    }
  free (call);
}

static void
plain_request (hts_request_t *http)
{
  if (call_counts == NULL)
    call_counts = json_object_new_object ();
  if (fk_path_is (http, "/stats"))
    {
      kb_buf_t body = { 0 };
      kb_buf_printf (&body, "{\"turned_away\":%llu,\"runs\":%s}",
                     (unsigned long long)fk_rejected_count,
                     json_object_to_json_string (call_counts));
      fk_reply (http, 200, &body);
      kb_buf_finish (&body);
      return;
    }
  if (fk_reject_if_paused (http))
    return;
  char *key = kb_slice_dup (http->body);
  int64_t count = jsn_int (call_counts, key, 0) + 1;
  json_object_object_add (call_counts, key, json_object_new_int64 (count));
  free (key);
  if (faults.is_reply_truncated)
    {
      fk_reply_truncated (http);
      return;
    }
  if (faults.latency_ms == 0)
    {
      call_answer (http, count);
      return;
    }
  call_t *call = kb_alloc (sizeof *call);
  call->http = http;
  http->owner = call;
  tmr_start_once (&fk_timers, &call->timer, (uint64_t)faults.latency_ms,
                  call_fire, call);
}

static void
plain_abort (hts_request_t *http)
{
  if (http->owner != NULL)
    ((call_t *)http->owner)->http = NULL;
}

static void
plain_fault (struct json_object *f)
{
  faults.latency_ms = jsn_int (f, "latency_ms", faults.latency_ms);
  faults.is_reply_truncated = jsn_bool (f, "cut", faults.is_reply_truncated);
}

static void
list_request (hts_request_t *http)
{
  if (kb_slice_equal (http->method, kb_slice_str ("POST")))
    {
      kb_buf_clear (&list_document);
      kb_buf_append (&list_document, http->body.ptr, http->body.len_bytes);
      fk_reply_text (http, 200, "{}");
      return;
    }
  if (list_document.len_bytes == 0)
    fk_reply_text (http, 200, "{\"vms\":[]}");
  else
    fk_reply (http, 200, &list_document);
}

static void
list_abort (hts_request_t *http)
{
}

static void
list_fault (struct json_object *f)
{
}

const fk_role_t fk_plain = { plain_request, plain_abort, plain_fault };
const fk_role_t fk_list = { list_request, list_abort, list_fault };
