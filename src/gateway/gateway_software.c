/// @file gateway_software.c
/// Software versions of the targets of each service.
#include "gateway/gateway_origin.h"

enum
{
  /// Without a route of streams.
  DEFAULT_STREAM_MS = 60000,
  /// The list is read several times in this time while the store answers.
  MAX_LIST_AGE_MS = 2000,
};

void
gtw_software_identify (gtw_target_t *target)
{
  const src_target_t *entry = &target->list_entry;
  const char *id = entry->identity.id;
  const char *software = entry->software;
  target->instance_key
      = kb_hash (id, strlen (id), entry->identity.born_ms) | 1;
  target->software_key
      = software[0] == '\0' ? 0 : kb_hash (software, strlen (software), 0) | 1;
  target->service_key = gtw_service_key (entry->service);
}

uint64_t
gtw_software_longest_stream_ms (const gtw_gateway_t *gateway)
{
  uint64_t longest_ms = gateway->config == NULL
                            ? 0
                            : svc_config_longest_stream_ms (gateway->config);
  return longest_ms > 0 ? longest_ms : DEFAULT_STREAM_MS;
}

bool
gtw_software_is_listed (const gtw_target_t *target)
{
  const char *reported = target->reported_engine.id;
  bool is_ahead_of_list
      = reported[0] != '\0'
        && strcmp (reported, target->list_entry.identity.id) != 0;
  return !is_ahead_of_list && target->software_key != 0;
}

/// @return  Whether a service is one of those whose streams may be continued.
static bool
is_streamed (const gtw_gateway_t *gateway, uint64_t service)
{
  for (uint32_t i = 0; i < gateway->streamed_count; i++)
    if (gateway->streamed_services[i] == service)
      return true;
  return gateway->streamed_count == GTW_MAX_STREAMED_SERVICES;
}

void
gtw_software_apply_config (gtw_gateway_t *gateway)
{
  const svc_config_t *config = gateway->config;
  gateway->streamed_count = 0;
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const svc_route_t *route = &config->routes[i];
      for (uint32_t j = 0; route->is_resumable && j < route->share_count; j++)
        {
          uint64_t service = gtw_service_key (route->shares[j].service);
          if (!is_streamed (gateway, service))
            gateway->streamed_services[gateway->streamed_count++] = service;
        }
    }
}

bool
gtw_software_record (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  if (!target->is_listed || target->software_key == 0)
    return false;
  uint64_t service = target->service_key;
  return sfw_list (&gateway->software, service, target->software_key,
                   is_streamed (gateway, service), gtw_now_ms (gateway));
}

/// @return  Whether this gateway may have missed what served since its last
///          read of the list.
static bool
has_list_gap (uint64_t read_boot_ms)
{
  uint64_t now_ms = tmr_boottime_ms ();
  return now_ms > read_boot_ms + MAX_LIST_AGE_MS;
}

bool
gtw_software_tick (gtw_gateway_t *gateway)
{
  bool is_newly_mixed = false;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    is_newly_mixed |= gtw_software_record (gateway, t);
  uint64_t now_ms = gtw_now_ms (gateway);
  if (gateway->has_target_list
      && has_list_gap (
          gateway->source->vtable->last_read_boot_ms (gateway->source)))
    gateway->list_gap_ms = now_ms;
  uint64_t longest_ms = gtw_software_longest_stream_ms (gateway);
  sfw_expire (&gateway->software, now_ms, longest_ms);
  if (gateway->has_target_list
      && now_ms - gateway->target_list_ms > longest_ms)
    sfw_has_seen_all (&gateway->software);
  return is_newly_mixed;
}

bool
gtw_software_is_ambiguous (const gtw_gateway_t *gateway,
                           const org_origin_t *origin)
{
  return origin->software == 0
         || sfw_is_mixed (&gateway->software, origin->service);
}

void
gtw_software_observe (gtw_gateway_t *gateway, const org_origin_t *origin)
{
  if (origin->software != 0)
    sfw_observe (&gateway->software, origin->service, origin->software,
                 gtw_now_ms (gateway));
}

void
gtw_software_handle_restore (gtw_gateway_t *gateway)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  // The read that shows the restore counts as the last one already.
  if (has_list_gap (gateway->read_before_tick_ms))
    gateway->list_gap_ms = now_ms;
  bool was_current = gateway->list_gap_ms == 0
                     || now_ms - gateway->list_gap_ms
                            > gtw_software_longest_stream_ms (gateway);
  sfw_restored (&gateway->software, was_current, now_ms);
  if (!was_current)
    gateway->target_list_ms = now_ms;
}

/// @return  Whether a target of a service runs an incarnation, and so maybe a
///          version, that the list doesn't name.
static bool
has_unlisted (const gtw_gateway_t *gateway, uint64_t service)
{
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_listed && t->service_key == service
        && !gtw_software_is_listed (t))
      return true;
  return false;
}

gtw_software_proof_t
gtw_software_prove (const gtw_gateway_t *gateway, uint64_t service,
                    uint64_t since_boot_ms)
{
  uint64_t read_boot_ms
      = gateway->source->vtable->last_read_boot_ms (gateway->source);
  if (read_boot_ms < since_boot_ms)
    return gtw_list_age_ms (gateway) <= MAX_LIST_AGE_MS
               ? GTW_SOFTWARE_LIST_AWAITED
               : GTW_SOFTWARE_UNPROVEN;
  bool is_proven = !has_unlisted (gateway, service)
                   && sfw_is_witness (&gateway->software, service);
  return is_proven ? GTW_SOFTWARE_PROVEN : GTW_SOFTWARE_UNPROVEN;
}
