#include "transport/plist.h"

#include <stdio.h>
#include <stdlib.h>

#include "protocol/json.h"

enum
{
  PLS_MAX_RESPONSE_BYTES = 8 << 20,
  PLS_ADDRESS_BYTES = 64
};

typedef struct
{
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
list_deliver (list_call_t *call, struct json_object *doc)
{
  struct json_object *list = jsn_get (doc, "vms");
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;
  pls_vm_t *vms = kb_alloc ((count + 1) * sizeof *vms);
  char (*addresses)[PLS_ADDRESS_BYTES]
      = kb_alloc ((count + 1) * sizeof *addresses);
  uint32_t vm_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *vm = json_object_array_get_idx (list, i);
      const char *name = jsn_str (vm, "name", "");
      int64_t port = jsn_int (vm, "port", 0);
      if (name[0] == '\0' || port <= 0)
        continue;
      snprintf (addresses[vm_count], PLS_ADDRESS_BYTES, "tcp://%s:%d",
                jsn_str (vm, "address", "127.0.0.1"), (int)port);
      vms[vm_count] = (pls_vm_t){
        .name = name,
        .address = addresses[vm_count],
        .role = jsn_str (vm, "role", "agent"),
        .failure_domain = jsn_str (vm, "failure_domain", ""),
        .is_leaving = strcmp (jsn_str (vm, "state", "live"), "leaving") == 0
      };
      vm_count++;
    }
  call->done (call->arg, vms, vm_count);
  free (addresses);
  free (vms);
}

static void
on_end (htc_call_t *http, htc_end_t end)
{
  list_call_t *call = http->owner;
  struct json_object *doc = NULL;
  if (end == HTC_END_COMPLETE && http->http_status == 200)
    jsn_parse_text ("list", kb_buf_slice (&call->response), &doc, NULL);
  if (doc != NULL)
    list_deliver (call, doc);
  else
    call->done (call->arg, NULL, 0);
  json_object_put (doc);
  kb_buf_finish (&call->response);
  free (call);
}

static const htc_events_t list_events = { on_head, on_body, on_end };

void
pls_read (htc_client_t *http, const char *address, uint16_t port,
          uint64_t timeout_ms, pls_done_t done, void *arg)
{
  list_call_t *call = kb_alloc (sizeof *call);
  call->done = done;
  call->arg = arg;
  htc_call_t *sent
      = htc_call_start (http, &list_events, call, address, port, "GET",
                        "/v1/vms", "", (kb_slice_t){ "", 0 }, timeout_ms);
  htc_call_limit_time (sent, timeout_ms);
}
