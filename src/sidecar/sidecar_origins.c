/// @file sidecar_origins.c
/// Remembers for gateways, which may restart, what began their callers'
/// streams.
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

void
scr_origins_receive (scr_sidecar_t *s, const msg_origins_t *origins)
{
  if (org_unpack (&s->origins, origins->records, origins->adapter_versions,
                  scr_now_ms (s)))
    return;
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  log_write (LOG_WARN, "sidecar", "Ignored malformed origins of streams.");
}

void
scr_origins_handle_request (scr_sidecar_t *s, kb_slice_t peer,
                            const msg_origin_request_t *request)
{
  org_packed_t packed = { 0 };
  org_origin_t origin;
  uint64_t left_ms
      = org_get (&s->origins, request->stream, scr_now_ms (s), &origin);
  if (left_ms > 0)
    org_pack (request->stream, &origin, left_ms, &packed);
  msg_t msg
      = { .type = MSG_ORIGIN_REPLY,
          .origin_reply
          = { .id = request->id,
              .stream = request->stream,
              .records = kb_buf_slice (&packed.records),
              .adapter_versions = kb_buf_slice (&packed.adapter_versions) } };
  if (plk_link_send (&s->host.link, peer, &msg) != KB_OK)
    MET_INC ("knapweedbay_gateway_unreached_total", "");
  org_packed_finish (&packed);
}
