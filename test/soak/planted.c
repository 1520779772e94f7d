/// @file planted.c
/// A fault for the soak to find: linked into a separate daemon with the
/// linker's --wrap, it treats every route as safe to repeat.
#include "state/service.h"

const svc_route_t *__real_svc_route_find (const svc_config_t *config,
                                          kb_slice_t host, kb_slice_t target);
const svc_route_t *__wrap_svc_route_find (const svc_config_t *config,
                                          kb_slice_t host, kb_slice_t target);

const svc_route_t *
__wrap_svc_route_find (const svc_config_t *config, kb_slice_t host,
                       kb_slice_t target)
{
  static svc_route_t wrong;
  const svc_route_t *route = __real_svc_route_find (config, host, target);
  if (route == NULL)
    return NULL;
  wrong = *route;
  wrong.kind = wrong.kind == SVC_KIND_STREAM ? SVC_KIND_STREAM : SVC_KIND_SAFE;
  wrong.is_resumable = true;
  wrong.max_attempts = 3;
  return &wrong;
}
