/// @file gateway_access.c
/// Authentication of callers: the key of a request, and the workspace that it
/// belongs to (coordination/access.h).
#include <stdio.h>

#include "coordination/access.h"
#include "gateway/gateway_defs.h"
#include "relay/secret.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  HTTP_UNAUTHORIZED = 401,
  HTTP_UNAVAILABLE = 503,
};

static const gtw_refusal_t refusals[] = {
  [ACC_ADMITTED] = { .http_status = 0 },
  [ACC_NO_KEY] = { HTTP_UNAUTHORIZED, "no key" },
  [ACC_UNKNOWN_KEY] = { HTTP_UNAUTHORIZED, "unknown key" },
  [ACC_STALE] = { HTTP_UNAVAILABLE, "keys_stale" },
};

uint64_t
gtw_list_age_ms (const gtw_gateway_t *gateway)
{
  uint64_t known_ms
      = gateway->source->vtable->last_read_boot_ms (gateway->source);
  // The event loop's time may date from before a suspension of the process.
  uint64_t now_ms = tmr_boottime_ms ();
  if (known_ms == 0)
    return UINT64_MAX;
  return now_ms > known_ms ? now_ms - known_ms : 0;
}

/// @return  How current the configuration is.
static acc_freshness_t
freshness_of (const gtw_gateway_t *gateway)
{
  return (acc_freshness_t){
    .age_ms = gtw_list_age_ms (gateway),
    .revoke_bound_ms = (uint64_t)gateway->host.settings.revoke_bound_ms
  };
}

static void
log_refusal (const gtw_request_t *r, const gtw_refusal_t *refusal,
             const uint8_t *digest, const acc_freshness_t *freshness)
{
  log_line_t line;
  if (!log_begin (&line, LOG_INFO, "gateway", "request_unauthorized"))
    return;
  char key[SCT_TEXT_BYTES] = "";
  if (digest != NULL)
    sct_format (digest, key);
  log_text (&line, "id", r->attempt_id);
  log_text (&line, "reason", refusal->reason);
  log_text (&line, "key", key);
  log_int (&line, "key_fields", r->parsed_head.key_count);
  log_text (&line, "route", r->route);
  log_int (&line, "revision", (int64_t)r->revision);
  log_int (&line, "age_ms", (int64_t)freshness->age_ms);
  log_end (&line);
}

static void
apply_workspace (gtw_request_t *r, const wsp_workspace_t *workspace)
{
  snprintf (r->workspace, sizeof r->workspace, "%s", workspace->name);
  if (workspace->has_priority)
    r->priority = workspace->priority;
  gtw_quota_prepare_workspace_charge (r, workspace);
}

gtw_refusal_t
gtw_access_check (gtw_request_t *r, const svc_route_t *route)
{
  const svc_config_t *config = r->gateway->config;
  uint8_t digest[WSP_DIGEST_BYTES];
  bool has_key = r->parsed_head.key.len_bytes > 0;
  if (has_key)
    sct_digest_key (r->parsed_head.key, digest);
  acc_request_t request = { .key_count = r->parsed_head.key_count,
                            .digest = has_key ? digest : NULL,
                            .is_route_public = route->is_public };
  acc_freshness_t freshness = freshness_of (r->gateway);
  acc_result_t verdict
      = acc_authorize (&config->workspaces, &request, &freshness);
  const gtw_refusal_t *refusal = &refusals[verdict.outcome];
  if (refusal->http_status != 0)
    {
      MET_INC ("knapweedbay_requests_unauthorized_total", "");
      log_refusal (r, refusal, request.digest, &freshness);
    }
  else if (verdict.workspace != NULL)
    apply_workspace (r, verdict.workspace);
  return *refusal;
}
