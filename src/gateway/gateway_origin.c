/// @file gateway_origin.c
/// What began the stream that a request receives, and which targets may
/// continue it.
#include "gateway/gateway_origin.h"

enum
{
  /// Beyond the caller's deadline, for the time that its requests are on their
  /// way.
  CONTINUATION_MARGIN_MS = 1000,
};

/// @return  The key of a stream that an attempt of the same workspace began.
static uint64_t
stream_key (const gtw_request_t *r, kb_slice_t attempt)
{
  uint64_t seed = kb_hash (r->workspace, strlen (r->workspace), 0);
  return kb_hash (attempt.ptr, attempt.len_bytes, seed) | 1;
}

/// @return  The software of the incarnation that a request is sent to; zero:
///          the list doesn't name it yet.
static uint64_t
recipient_software (const gtw_request_t *r)
{
  const inc_t *recipient = gtw_request_recipient (r);
  const inc_t *listed = &r->target->list_entry.identity;
  bool is_listed = strcmp (recipient->id, listed->id) == 0
                   && (recipient->born_ms == 0 || listed->born_ms == 0
                       || recipient->born_ms == listed->born_ms);
  return is_listed ? r->target->software_key : 0;
}

/// @return  Version of the adapter that serves a request; zero: none, or not
///          known.
static uint64_t
serving_adapter_version (const gtw_request_t *r)
{
  return r->is_engine && r->adapter_key != 0 ? r->granted_version : 0;
}

/// Remember, here and at sidecars, what began the stream that a caller may
/// continue under the name of an attempt.
static void
remember (gtw_request_t *r, kb_slice_t attempt)
{
  gtw_gateway_t *gateway = r->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  uint64_t ttl_ms
      = gtw_remaining_ms (r->deadline_ms, now_ms) + CONTINUATION_MARGIN_MS;
  uint64_t stream = stream_key (r, attempt);
  org_put (&gateway->origins, stream, &r->origin, ttl_ms, now_ms);
  // Also while one version serves: this gateway may end before it hears of
  // another one.
  gtw_origin_share (gateway, stream, &r->origin, ttl_ms);
}

static void
set_origin (gtw_request_t *r)
{
  const inc_t *recipient = gtw_request_recipient (r);
  r->origin = (org_origin_t){
    .service = gtw_service_key (r->service),
    .software = recipient_software (r),
    .instance
    = kb_hash (recipient->id, strlen (recipient->id), recipient->born_ms) | 1,
  };
}

void
gtw_origin_record (gtw_request_t *r)
{
  if (r->origin.service == 0)
    set_origin (r);
  if (r->origin.adapter_version == 0)
    r->origin.adapter_version = serving_adapter_version (r);
  if (!r->is_resumable)
    return;
  remember (r, kb_slice_str (r->attempt_id));
  if (r->parsed_head.resumes.len_bytes > 0)
    remember (r, r->parsed_head.resumes);
}

/// @return  The software that began the stream; zero: unknown. An incarnation
///          that was not listed when it began the stream may be listed now.
static uint64_t
origin_software (const gtw_request_t *r)
{
  if (r->origin.software != 0)
    return r->origin.software;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&r->gateway->targets, &at);
       t != NULL; t = kb_map_next (&r->gateway->targets, &at))
    if (t->instance_key == r->origin.instance)
      return t->software_key;
  return 0;
}

bool
gtw_origin_can_become_allowed (const gtw_request_t *r,
                               const gtw_target_t *target)
{
  if (!gtw_resume_allows (r, target))
    return false;
  if (r->origin.service == 0 || !gtw_software_is_listed (target))
    return true;
  uint64_t software = origin_software (r);
  return software == 0 || software == target->software_key;
}

/// @return  Whether a target runs the software that began the stream of a
///          request.
static bool
allows_software (const gtw_request_t *r, const gtw_target_t *target)
{
  if (r->origin.service == 0)
    return true;
  // An incarnation that the list doesn't name yet may run any version.
  return gtw_software_is_listed (target)
         && origin_software (r) == target->software_key;
}

bool
gtw_origin_allows (const gtw_request_t *r, const gtw_target_t *target)
{
  return allows_software (r, target) && gtw_resume_allows (r, target);
}

bool
gtw_origin_allows_recipient (const gtw_request_t *r)
{
  uint32_t version = gtw_resume_version (r);
  return allows_software (r, r->target)
         && (r->origin.service == 0 || recipient_software (r) != 0)
         && (version == 0 || r->granted_version == version)
         && !gtw_resume_is_late (r);
}

/// @return  Whether a newer version of the adapter is known than the one that
///          began the stream of a request.
static bool
is_adapter_outdated (const gtw_request_t *r)
{
  uint32_t version = gtw_resume_version (r);
  return version != 0
         && version < ver_newest (&r->gateway->versions, r->adapter_key);
}

bool
gtw_origin_is_gone (const gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  if (gtw_resume_is_late (r))
    return true;
  // Targets of a service with one version may come back, and engines may load
  // the newest version of an adapter.
  bool is_software_mixed
      = r->origin.service != 0
        && sfw_is_mixed (&gateway->software, r->origin.service);
  if (!gateway->has_target_list
      || !(is_software_mixed || is_adapter_outdated (r)))
    return false;
  uint64_t service = gtw_service_key (r->service);
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (gtw_target_is_staying (t) && t->service_key == service
        && (gtw_origin_allows (r, t) || gtw_origin_can_become_allowed (r, t)))
      return false;
  return true;
}

void
gtw_origin_seek (gtw_request_t *r)
{
  r->is_origin_sought = r->kind == SVC_KIND_STREAM && r->parsed_head.is_resume
                        && r->parsed_head.resume_after_event_id > 0;
  r->origin_sought_boot_ms = tmr_boottime_ms ();
}

/// Continue a stream at the service that began it. If the operator has moved
/// the route to another service, it goes on there, at any software version.
static void
adopt_origin (gtw_request_t *r, const org_origin_t *origin)
{
  const svc_config_t *config = r->gateway->config;
  const h1_head_t *head = &r->client->conn.head;
  const svc_route_t *route = svc_route_find (
      config, h1_head_get (head, "host"), h1_head_target (head));
  r->origin.adapter_version = origin->adapter_version;
  for (uint32_t i = 0; route != NULL && i < route->share_count; i++)
    {
      const char *name = route->shares[i].service;
      if (gtw_service_key (name) != origin->service)
        continue;
      const svc_service_t *service = svc_service_find (config, name);
      kb_slice_copy (kb_slice_str (name), r->service, sizeof r->service);
      r->is_engine = service != NULL && service->is_engine;
      r->origin = *origin;
      gtw_software_observe (r->gateway, origin);
      return;
    }
}

/// The software that began a stream is known, as far as it has to be.
static gtw_origin_verdict_t
settle (gtw_request_t *r)
{
  if (!gtw_resume_settle_version (r))
    return GTW_ORIGIN_UNKNOWN;
  r->is_origin_sought = false;
  return GTW_ORIGIN_RESOLVED;
}

/// Nobody remembers what began the stream of a request, or its caller names no
/// attempt. Only a version that was listed alone all the time can have begun
/// it.
static gtw_origin_verdict_t
resolve_from_list (gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  uint64_t service = gtw_service_key (r->service);
  bool is_named = r->parsed_head.resumes.len_bytes > 0;
  uint64_t software = sfw_only (&gateway->software, service);
  if (sfw_is_mixed (&gateway->software, service))
    return GTW_ORIGIN_UNKNOWN;
  if (is_named || software != 0)
    switch (gtw_software_prove (gateway, service, r->origin_sought_boot_ms))
      {
      case GTW_SOFTWARE_PROVEN:
        break;
      case GTW_SOFTWARE_UNPROVEN:
        return GTW_ORIGIN_UNKNOWN;
      case GTW_SOFTWARE_LIST_AWAITED:
        return GTW_ORIGIN_AWAITED;
      }
  if (software != 0)
    r->origin = (org_origin_t){ .service = service, .software = software };
  return settle (r);
}

gtw_origin_verdict_t
gtw_origin_resolve (gtw_request_t *r)
{
  if (!r->is_origin_sought)
    return GTW_ORIGIN_RESOLVED;
  const gtw_gateway_t *gateway = r->gateway;
  org_origin_t origin;
  uint64_t stream = stream_key (r, r->parsed_head.resumes);
  if (org_get (&gateway->origins, stream, gtw_now_ms (gateway), &origin) > 0)
    {
      adopt_origin (r, &origin);
      return settle (r);
    }
  if (!gateway->has_target_list)
    return GTW_ORIGIN_NO_LIST;
  bool is_named = r->parsed_head.resumes.len_bytes > 0;
  if (is_named && gtw_origin_ask (r, stream))
    return GTW_ORIGIN_AWAITED;
  return resolve_from_list (r);
}
