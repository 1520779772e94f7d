/// @file gateway_place.c
/// Places at engines: request, grant, decline, release, and loss together with
/// the sidecar.
#include "gateway/gateway_origin.h"

enum
{
  /// A place request without a reply for this long may have been lost.
  PLACE_OVERDUE_MS = 350,
};

void
gtw_place_release (gtw_request_t *r)
{
  if (r->place_id == 0)
    return;
  kb_map_remove (&r->gateway->requests_by_place, r->place_id);
  msg_t msg = { .type = MSG_PLACE_RELEASE,
                .place_release
                = { .id = r->place_id, .engine_doubt = r->target_doubt } };
  if (r->is_complete && r->send_count == 1)
    {
      msg.place_release.gaps = r->gap_count;
      msg.place_release.gaps_ms = r->relayed_ms - r->first_event_ms;
    }
  // An unreachable sidecar drops the place with all others of this gateway.
  if (r->target != NULL)
    hst_send (&r->gateway->host, r->target->link, &msg);
  r->place_id = 0;
  r->has_place = false;
}

/// @return  Expected output tokens, from the caller's estimate and limit.
static uint32_t
expected_output_tokens (const rly_request_t *parsed)
{
  uint32_t expected = parsed->output_tokens_hint;
  return expected > 0 && expected < parsed->output_tokens
             ? expected
             : parsed->output_tokens;
}

void
gtw_place_request (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  if (!gtw_client_check_present (r->client))
    return;
  uint64_t now_ms = gtw_now_ms (gateway);
  r->stage = GTW_STAGE_WAITING_FOR_PLACE;
  r->place_id = ++gateway->next_place_id;
  r->place_requested_ms = now_ms;
  r->has_place = false;
  kb_map_put (&gateway->requests_by_place, r->place_id, r);
  // A stream that broke off has missed its objective in any case. It has to
  // continue before its caller gives up, so it is as urgent as a new request.
  uint64_t due_ms = r->has_event
                        ? gtw_request_caller_timeout_ms (r, r->relayed_ms)
                        : r->first_event_due_ms;
  uint64_t objective_ms = r->has_event ? due_ms : r->objective_ms;
  uint32_t exact_version = gtw_resume_version (r);
  msg_t msg
      = { .type = MSG_PLACE_REQUEST,
          .place_request
          = { .id = r->place_id,
              .priority = r->priority,
              .prompt_tokens = r->parsed_head.prompt_tokens,
              .output_tokens = expected_output_tokens (&r->parsed_head),
              .left_ms = gtw_remaining_ms (due_ms, now_ms),
              .objective_ms = gtw_remaining_ms (objective_ms, now_ms),
              .version = exact_version != 0
                             ? exact_version
                             : ver_newest (&gateway->versions, r->adapter_key),
              .decline_count = r->excluded_target_count,
              .alone_level = r->is_alone_attempt ? 1 + r->alone.patience : 0,
              .model = r->parsed_head.model,
              .adapter = r->parsed_head.adapter,
              .attempt = kb_slice_str (r->attempt_id),
              .exact_version = exact_version } };
  r->target->requests_since_report++;
  r->target->tokens_since_report += r->parsed_head.prompt_tokens;
  if (hst_send (&gateway->host, r->target->link, &msg) == KB_OK)
    return;
  r->target->condition = MSG_ENGINE_DOWN;
  gtw_request_exclude_target (r);
  gtw_request_release_target (r);
  gtw_request_dispatch (r);
}

/// @return  Whether a grant is from an earlier incarnation of the engine,
///          whose adapters are gone.
static bool
is_stale_grant (const msg_place_grant_t *grant, const gtw_target_t *from)
{
  return grant->born_ms > 0 && grant->born_ms < from->known_birth.born_ms
         && kb_slice_equal (grant->instance,
                            kb_slice_str (from->list_entry.identity.id));
}

void
gtw_place_on_grant (gtw_gateway_t *gateway, const msg_place_grant_t *grant,
                    gtw_target_t *from)
{
  gtw_request_t *r = kb_map_get (&gateway->requests_by_place, grant->id);
  if (r == NULL || r->stage != GTW_STAGE_WAITING_FOR_PLACE
      || strcmp (r->target->link, from->link) != 0)
    {
      // The request uses another target now; return the place.
      msg_t msg = { .type = MSG_PLACE_RELEASE,
                    .place_release = { .id = grant->id } };
      hst_send (&gateway->host, from->link, &msg);
      return;
    }
  if (is_stale_grant (grant, from))
    {
      gtw_target_report_stale (from, grant->born_ms, "grant");
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
      return;
    }
  // The engine has requested a pause, or leaves, since the place was
  // requested.
  if (gtw_target_pause_ms (from) > 0 || !gtw_target_is_staying (from))
    {
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
      return;
    }
  gtw_metrics_observe_grant (r);
  r->has_place = true;
  r->is_alone_attempt = grant->is_alone != 0;
  r->granted_version = (uint32_t)grant->version;
  kb_slice_copy (grant->instance, r->granted_engine.id,
                 sizeof r->granted_engine.id);
  r->granted_engine.born_ms = grant->born_ms;
  r->load_us += grant->load_us;
  if (!gtw_origin_allows_recipient (r))
    {
      gtw_request_exclude_target (r);
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
      return;
    }
  gtw_attempt_send (r);
}

/// Treat a decline as this engine's answer to the request.
static void
place_record_declined (gtw_request_t *r, const msg_place_decline_t *decline)
{
  r->reason = "declined";
  r->is_declined_late
      = r->is_declined_late || gtw_now_ms (r->gateway) > r->objective_ms;
  if (decline->retry_after_ms > r->retry_after_ms)
    r->retry_after_ms = decline->retry_after_ms;
  gtw_request_exclude_target (r);
}

void
gtw_place_on_decline (gtw_gateway_t *gateway,
                      const msg_place_decline_t *decline)
{
  gtw_request_t *r = kb_map_get (&gateway->requests_by_place, decline->id);
  if (r == NULL || r->stage != GTW_STAGE_WAITING_FOR_PLACE)
    return;
  char reason[48];
  kb_slice_copy (decline->reason, reason, sizeof reason);
  gtw_log_request_event (r, "place_declined", reason);
  if (kb_slice_equal (decline->reason, kb_slice_str ("engine_closed")))
    // Requests wait for its return. Reports are paced, and come later.
    r->target->is_closed = true;
  else
    place_record_declined (r, decline);
  kb_map_remove (&gateway->requests_by_place, r->place_id);
  r->place_id = 0;
  gtw_request_release_target (r);
  gtw_request_dispatch (r);
}

void
gtw_place_report_begun (gtw_request_t *r)
{
  if (r->place_id == 0)
    return;
  msg_t msg
      = { .type = MSG_PLACE_BEGUN, .place_begun = { .id = r->place_id } };
  hst_send (&r->gateway->host, r->target->link, &msg);
}

bool
gtw_places_are_overdue (const gtw_gateway_t *gateway,
                        const gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  for (const gtw_request_t *r = gateway->requests; r != NULL; r = r->next)
    if (r->target == target && r->stage == GTW_STAGE_WAITING_FOR_PLACE
        && now_ms - r->place_requested_ms > PLACE_OVERDUE_MS)
      return true;
  return false;
}

void
gtw_places_reroute (gtw_gateway_t *gateway, gtw_target_t *target,
                    const char *reason)
{
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      if (r->target != target || r->stage != GTW_STAGE_WAITING_FOR_PLACE)
        continue;
      gtw_log_request_event (r, "place_lost", reason);
      r->reason = reason;
      gtw_request_exclude_target (r);
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
    }
}
