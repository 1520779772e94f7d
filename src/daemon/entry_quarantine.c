/// @file entry_quarantine.c
/// Quarantine of requests during which targets ended
/// (coordination/quarantine.h). Each agent reports the ends of its own target
/// to all entries; an entry decides by the merged reports.
#include "daemon/entry_defs.h"
#include "relay/fingerprint.h"
#include "transport/log.h"
#include "transport/metrics.h"

static uint64_t
fingerprint_of (ent_request_t *r)
{
  if (r->fingerprint != 0)
    return r->fingerprint;
  fpr_request_t parts = { .host = kb_slice_str (r->service),
                          .method = kb_slice_str (r->method),
                          .path = kb_slice_str (r->path),
                          .body = kb_buf_slice (&r->body) };
  r->fingerprint = fpr_compute (&parts);
  return r->fingerprint;
}

qrt_verdict_t
ent_quarantine_judge (ent_request_t *r, uint64_t *hold_ms)
{
  uint64_t caller = kb_hash (r->workspace, strlen (r->workspace), 0) | 1;
  // One agent starts all requests at a target, also at a plain one.
  return qrt_judge (&r->entry->quarantine, fingerprint_of (r), caller,
                    QRT_MIN_ALONE_AT_ENGINE, tmr_now_ms (), hold_ms);
}

void
ent_quarantine_merge (ent_entry_t *entry, kb_slice_t records)
{
  if (qrt_merge (&entry->quarantine, records, tmr_now_ms (), NULL))
    return;
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  log_write (LOG_WARN, "entry", "Ignored malformed quarantine records.");
}

void
ent_quarantine_mark_served (ent_request_t *r)
{
  qrt_mark_served (&r->entry->quarantine, fingerprint_of (r), tmr_now_ms ());
}

void
ent_quarantine_confirm (ent_entry_t *entry, uint64_t request)
{
  qrt_mark_served (&entry->quarantine, request, tmr_now_ms ());
}
