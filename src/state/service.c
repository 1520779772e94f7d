#include "state/service.h"

#include <stdlib.h>
#include <strings.h>

static int
route_compare (const void *a, const void *b)
{
  const svc_route_t *left = a;
  const svc_route_t *right = b;
  int by_host = strcasecmp (left->host, right->host);
  if (by_host != 0)
    return by_host;
  size_t left_bytes = strlen (left->prefix);
  size_t right_bytes = strlen (right->prefix);
  if (left_bytes != right_bytes)
    return left_bytes > right_bytes ? -1 : 1;
  return strcmp (left->prefix, right->prefix);
}

void
svc_config_seal (svc_config_t *config)
{
  if (config->route_count > 0)
    qsort (config->routes, config->route_count, sizeof *config->routes,
           route_compare);
  wsp_seal (&config->workspaces);
}

static void
route_finish (svc_route_t *route)
{
  free (route->name);
  free (route->host);
  free (route->prefix);
  for (uint32_t i = 0; i < route->share_count; i++)
    free (route->shares[i].service);
}

static void
service_finish (svc_service_t *service)
{
  free (service->name);
  free (service->health_path);
  for (uint32_t i = 0; i < service->model_count; i++)
    free (service->models[i].name);
}

void
svc_config_drop_gateway_data (svc_config_t *config)
{
  for (uint32_t i = 0; i < config->route_count; i++)
    route_finish (&config->routes[i]);
  free (config->routes);
  config->routes = NULL;
  config->route_count = 0;
  wsp_finish (&config->workspaces);
}

void
svc_config_free (svc_config_t *config)
{
  if (config == NULL)
    return;
  svc_config_drop_gateway_data (config);
  for (uint32_t i = 0; i < config->service_count; i++)
    service_finish (&config->services[i]);
  free (config->services);
  free (config);
}

static int
host_compare (kb_slice_t host, const char *text)
{
  size_t len = strlen (text);
  size_t common_len = host.len_bytes < len ? host.len_bytes : len;
  int by_bytes = strncasecmp (host.ptr, text, common_len);
  if (by_bytes != 0)
    return by_bytes;
  return host.len_bytes == len ? 0 : host.len_bytes < len ? -1 : 1;
}

/// @return  Index of the first route whose host is not below `host`.
static uint32_t
routes_lower_bound (const svc_config_t *config, kb_slice_t host)
{
  uint32_t low = 0;
  uint32_t high = config->route_count;
  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (host_compare (host, config->routes[middle].host) > 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const svc_route_t *
svc_route_find (const svc_config_t *config, kb_slice_t host, kb_slice_t path)
{
  const char *colon
      = host.len_bytes == 0 ? NULL : memchr (host.ptr, ':', host.len_bytes);
  if (colon != NULL)
    host.len_bytes = (uint32_t)(colon - host.ptr);
  for (uint32_t i = routes_lower_bound (config, host);
       i < config->route_count
       && host_compare (host, config->routes[i].host) == 0;
       i++)
    {
      const svc_route_t *route = &config->routes[i];
      size_t len = strlen (route->prefix);
      if (path.len_bytes >= len && memcmp (path.ptr, route->prefix, len) == 0)
        return route;
    }
  return NULL;
}

const char *
svc_route_pick (const svc_route_t *route, uint64_t random_number)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return route->share_count > 0 ? route->shares[0].service : NULL;
  uint64_t offset = random_number % total;
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      if (offset < route->shares[i].weight)
        return route->shares[i].service;
      offset -= route->shares[i].weight;
    }
  return route->shares[0].service;
}

const svc_service_t *
svc_service_find (const svc_config_t *config, const char *name)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return &config->services[i];
  return NULL;
}

uint32_t
svc_service_max_adapters (const svc_service_t *service)
{
  uint32_t max_count = service->adapter_slots;
  if (service->model_count == 0)
    return max_count;
  const svc_model_t *model = &service->models[0];
  // Zero: the configuration does not limit the memory.
  if (service->memory_mb <= 0 || model->adapter_size_mb <= 0)
    return max_count;
  double free_mb = service->memory_mb - model->size_mb;
  double fitting_count = free_mb > 0 ? free_mb / model->adapter_size_mb : 0;
  return fitting_count < max_count ? (uint32_t)fitting_count : max_count;
}

static bool
route_has_service (const svc_route_t *route, const char *service)
{
  for (uint32_t i = 0; i < route->share_count; i++)
    if (strcmp (route->shares[i].service, service) == 0)
      return true;
  return false;
}

uint32_t
svc_service_gap_target_ms (const svc_config_t *config, const char *service)
{
  uint32_t min_gap_ms = 0;
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const svc_route_t *route = &config->routes[i];
      uint32_t gap_ms = route->gap_target_ms;
      if (gap_ms == 0 || !route_has_service (route, service))
        continue;
      if (min_gap_ms == 0 || gap_ms < min_gap_ms)
        min_gap_ms = gap_ms;
    }
  return min_gap_ms;
}

uint32_t
svc_config_longest_stream_ms (const svc_config_t *config)
{
  uint32_t longest_ms = 0;
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const svc_route_t *route = &config->routes[i];
      if (route->kind == SVC_KIND_STREAM && route->timeout_ms > longest_ms)
        longest_ms = route->timeout_ms;
    }
  return longest_ms;
}
