/// @file gateway_origin.c
/// What began the stream that a request receives, and which targets may
/// continue it.
#include "gateway/gateway_origin.h"

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

void
gtw_origin_record (gtw_request_t *r)
{
  if (r->origin.service != 0)
    return;
  const inc_t *recipient = gtw_request_recipient (r);
  r->origin = (org_origin_t){
    .service = gtw_service_key (r->service),
    .software = recipient_software (r),
    .instance
    = kb_hash (recipient->id, strlen (recipient->id), recipient->born_ms) | 1,
  };
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

/// @return  Whether the engine of a target has restarted and the list doesn't
///          name the new incarnation yet.
static bool
is_ahead_of_list (const gtw_target_t *target)
{
  const char *reported = target->reported_engine.id;
  return reported[0] != '\0'
         && strcmp (reported, target->list_entry.identity.id) != 0;
}

bool
gtw_origin_can_become_allowed (const gtw_request_t *r,
                               const gtw_target_t *target)
{
  return r->origin.service == 0 || is_ahead_of_list (target)
         || target->software_key == 0
         || target->software_key == origin_software (r);
}

bool
gtw_origin_allows (const gtw_request_t *r, const gtw_target_t *target)
{
  if (r->origin.service == 0)
    return true;
  if (is_ahead_of_list (target) || target->software_key == 0)
    return false;
  uint64_t software = origin_software (r);
  return software == target->software_key
         || (software == 0
             && !gtw_software_is_mixed (r->gateway, r->origin.service));
}

bool
gtw_origin_allows_recipient (const gtw_request_t *r)
{
  return gtw_origin_allows (r, r->target)
         && (r->origin.service == 0 || recipient_software (r) != 0);
}

bool
gtw_origin_is_gone (const gtw_request_t *r)
{
  const gtw_gateway_t *gateway = r->gateway;
  if (r->origin.service == 0 || !gateway->has_target_list)
    return false;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_listed && !gtw_target_is_leaving (t)
        && t->service_key == r->origin.service
        && (gtw_origin_allows (r, t) || gtw_origin_can_become_allowed (r, t)))
      return false;
  return true;
}
