/// @file gateway_resume.c
/// Versions of adapters at which streams that broke off go on.
#include "gateway/gateway_origin.h"
#include "transport/log.h"
#include "transport/metrics.h"

/// @return  Whether the stream of a request began before the answer of its
///          present target.
static bool
is_resumed (const gtw_request_t *r)
{
  return r->kind == SVC_KIND_STREAM
         && (r->first_event_ms != 0
             || (r->parsed_head.is_resume
                 && r->parsed_head.resume_after_event_id > 0));
}

static void
count (const gtw_request_t *r)
{
  uint64_t began = r->origin.adapter_version;
  if (began == 0)
    MET_INC ("knapweedbay_streams_resumed_total",
             "adapter_version=\"unknown\"");
  else if (began == r->granted_version)
    MET_INC ("knapweedbay_streams_resumed_total", "adapter_version=\"same\"");
  else
    MET_INC ("knapweedbay_streams_resumed_total", "adapter_version=\"other\"");
}

void
gtw_resume_record (const gtw_request_t *r)
{
  if (r->adapter_key == 0 || !is_resumed (r))
    return;
  count (r);
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "stream_resumed"))
    return;
  log_text (&line, "id", r->attempt_id);
  log_slice (&line, "resumes", r->parsed_head.resumes);
  log_text (&line, "adapter", r->adapter_name);
  log_int (&line, "began_version", (int64_t)r->origin.adapter_version);
  log_int (&line, "version", r->granted_version);
  log_int (&line, "is_same_answer", r->first_event_ms != 0);
  log_int (&line, "last_event", (int64_t)r->last_event_id);
  log_text (&line, "target", r->target->list_entry.identity.id);
  log_end (&line);
}
