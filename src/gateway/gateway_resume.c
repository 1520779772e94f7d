/// @file gateway_resume.c
/// Versions of adapters at which streams that broke off go on.
#include "coordination/resume.h"
#include "gateway/gateway_origin.h"
#include "transport/log.h"
#include "transport/metrics.h"

void
gtw_resume_tick (gtw_gateway_t *gateway)
{
  gateway->read_before_tick_ms
      = gateway->source->vtable->last_read_boot_ms (gateway->source);
}

void
gtw_resume_record_version (gtw_gateway_t *gateway, ver_item_t *item)
{
  // All reads that were answered before the last tick have been applied.
  item->unconfirmed_ms = gateway->read_before_tick_ms;
  item->learned_ms = tmr_boottime_ms ();
}

static rsm_versions_t
versions_of (const gtw_request_t *r)
{
  const ver_item_t *item = ver_find (&r->gateway->versions, r->adapter_key);
  if (item == NULL)
    return (rsm_versions_t){ 0 };
  return (rsm_versions_t){ .newest = item->version,
                           .previous = item->previous_version,
                           .unconfirmed_ms = item->unconfirmed_ms,
                           .learned_ms = item->learned_ms };
}

/// @param began  Version that began the stream; zero: not known.
static rsm_verdict_t
judge (const gtw_request_t *r, uint32_t began, uint32_t *version)
{
  const gtw_gateway_t *gateway = r->gateway;
  rsm_versions_t versions = versions_of (r);
  rsm_bounds_t bounds
      = { .version_bound_ms
          = (uint64_t)gateway->host.settings.version_bound_ms,
          .longest_stream_ms = gtw_software_longest_stream_ms (gateway) };
  return rsm_judge (&versions, &bounds, began, tmr_boottime_ms (), version);
}

bool
gtw_resume_settle_version (gtw_request_t *r)
{
  if (!r->is_engine || r->adapter_key == 0 || r->origin.adapter_version != 0)
    return true;
  uint32_t version = 0;
  rsm_verdict_t verdict = judge (r, 0, &version);
  rsm_versions_t versions = versions_of (r);
  // Nobody can be asked about callers that name no attempt; they go on at the
  // only version that is known, as with software.
  bool is_named = r->parsed_head.resumes.len_bytes > 0;
  bool goes_on = verdict == RSM_EXACT
                 || (verdict == RSM_UNKNOWN && !is_named
                     && rsm_is_only_version (&versions));
  r->origin.adapter_version = goes_on ? version : 0;
  return goes_on || verdict != RSM_UNKNOWN;
}

uint32_t
gtw_resume_version (const gtw_request_t *r)
{
  return r->is_engine && r->adapter_key != 0
             ? (uint32_t)r->origin.adapter_version
             : 0;
}

bool
gtw_resume_is_late (const gtw_request_t *r)
{
  uint32_t version = gtw_resume_version (r);
  return version != 0 && judge (r, version, &version) == RSM_GONE;
}

/// @return  The version of an adapter that a target holds; zero: none.
static uint32_t
held_version (const gtw_target_t *target, uint64_t adapter_key)
{
  for (uint32_t i = 0; i < target->adapter_count; i++)
    if (target->adapters[i].key == adapter_key
        && target->adapters[i].state == MSG_ADAPTER_HELD)
      return target->adapters[i].version;
  return 0;
}

bool
gtw_resume_allows (const gtw_request_t *r, const gtw_target_t *target)
{
  uint32_t version = gtw_resume_version (r);
  if (version == 0)
    return true;
  uint32_t held = held_version (target, r->adapter_key);
  if (version < ver_newest (&r->gateway->versions, r->adapter_key))
    return held == version && !gtw_resume_is_late (r);
  // Engines load the newest version.
  return held <= version;
}

static bool
is_serving (const gtw_target_t *target)
{
  return gtw_target_is_staying (target) && target->is_linked
         && target->condition == MSG_ENGINE_READY;
}

void
gtw_resume_spare_one (const gtw_request_t *r, gtw_target_t *const *targets,
                      plc_candidate_t *views, uint32_t count)
{
  uint32_t version = gtw_resume_version (r);
  if (version == 0
      || version >= ver_newest (&r->gateway->versions, r->adapter_key))
    return;
  plc_candidate_t *spared = NULL;
  uint64_t spared_rank = 0;
  uint32_t usable = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!is_serving (targets[i]))
        continue;
      if (held_version (targets[i], r->adapter_key) != version)
        return;
      usable += views[i].is_usable;
      uint64_t parts[2] = { r->adapter_key, targets[i]->address_hash };
      uint64_t rank = kb_hash (parts, sizeof parts, 0);
      if (spared != NULL && rank <= spared_rank)
        continue;
      spared = &views[i];
      spared_rank = rank;
    }
  if (spared != NULL && spared->is_usable && usable > 1)
    spared->is_usable = false;
}

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
  log_int (&line, "last_event", (int64_t)r->events.last_id);
  log_text (&line, "target", r->target->list_entry.identity.id);
  log_end (&line);
}
