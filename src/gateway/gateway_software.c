/// @file gateway_software.c
/// Software versions of the targets of each service.
#include "gateway/gateway_origin.h"

enum
{
  /// Without a route of streams.
  DEFAULT_STREAM_MS = 60000,
  /// Stands for all versions that the list didn't name; no hash has its value.
  UNLISTED_SOFTWARE = 2,
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

/// @return  How long a stream that has begun may be continued.
static uint64_t
longest_stream_ms (const gtw_gateway_t *gateway)
{
  uint64_t longest_ms = gateway->config == NULL
                            ? 0
                            : svc_config_longest_stream_ms (gateway->config);
  return longest_ms > 0 ? longest_ms : DEFAULT_STREAM_MS;
}

static gtw_software_t *
find_or_add (gtw_gateway_t *gateway, uint64_t service, uint64_t software)
{
  gtw_software_t *oldest = &gateway->software[0];
  for (uint32_t i = 0; i < gateway->software_count; i++)
    {
      gtw_software_t *item = &gateway->software[i];
      if (item->service == service && item->software == software)
        return item;
      if (item->listed_ms < oldest->listed_ms)
        oldest = item;
    }
  gtw_software_t *item = gateway->software_count < GTW_MAX_SOFTWARE
                             ? &gateway->software[gateway->software_count++]
                             : oldest;
  *item = (gtw_software_t){ .service = service, .software = software };
  return item;
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

bool
gtw_software_record (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  if (!target->is_listed)
    return false;
  bool is_silent
      = target->is_linked && !gtw_target_is_in_contact (gateway, target);
  if (is_silent || !gtw_software_is_listed (target))
    find_or_add (gateway, target->service_key, UNLISTED_SOFTWARE)->listed_ms
        = gtw_now_ms (gateway);
  if (target->software_key == 0)
    return false;
  bool was_mixed = gtw_software_is_mixed (gateway, target->service_key);
  find_or_add (gateway, target->service_key, target->software_key)->listed_ms
      = gtw_now_ms (gateway);
  return !was_mixed && gtw_software_is_mixed (gateway, target->service_key);
}

bool
gtw_software_tick (gtw_gateway_t *gateway)
{
  bool is_newly_mixed = false;
  uint64_t now_ms = gtw_now_ms (gateway);
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    is_newly_mixed |= gtw_software_record (gateway, t);
  uint64_t max_age_ms = longest_stream_ms (gateway);
  for (uint32_t i = 0; i < gateway->software_count;)
    if (now_ms - gateway->software[i].listed_ms > max_age_ms)
      gateway->software[i] = gateway->software[--gateway->software_count];
    else
      i++;
  return is_newly_mixed;
}

/// @return  Number of versions of a service.
/// @param last_out  One of them.
static uint32_t
count_versions (const gtw_gateway_t *gateway, uint64_t service,
                uint64_t *last_out)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < gateway->software_count; i++)
    {
      const gtw_software_t *item = &gateway->software[i];
      if (item->service != service || item->software == UNLISTED_SOFTWARE)
        continue;
      *last_out = item->software;
      count++;
    }
  return count;
}

bool
gtw_software_is_mixed (const gtw_gateway_t *gateway, uint64_t service)
{
  uint64_t software;
  return count_versions (gateway, service, &software) > 1;
}

uint64_t
gtw_software_only (const gtw_gateway_t *gateway, uint64_t service)
{
  uint64_t software = 0;
  return count_versions (gateway, service, &software) == 1 ? software : 0;
}

bool
gtw_software_has_unlisted (const gtw_gateway_t *gateway, uint64_t service)
{
  for (uint32_t i = 0; i < gateway->software_count; i++)
    if (gateway->software[i].service == service
        && gateway->software[i].software == UNLISTED_SOFTWARE)
      return true;
  return false;
}

bool
gtw_software_is_ambiguous (const gtw_gateway_t *gateway,
                           const org_origin_t *origin)
{
  return origin->software == 0
         || gtw_software_is_mixed (gateway, origin->service);
}

bool
gtw_software_has_seen_all (const gtw_gateway_t *gateway)
{
  return gtw_now_ms (gateway) - gateway->started_ms
         > longest_stream_ms (gateway);
}
