/// @file gateway_place.c
/// Places at engines: asked for, granted, declined, given back, and lost with
/// the sidecar that was asked.
#include "gateway/gateway_defs.h"

enum
{
  /// A place asked for and not granted by then may be one that was never
  /// heard of.
  UNANSWERED_MS = 350,
};

void
gtw_place_release (gtw_request_t *r)
{
  if (r->place_id == 0)
    return;
  kb_map_remove (&r->gateway->places, r->place_id);
  msg_t msg
      = { .type = MSG_PLACE_RELEASE, .place_release = { .id = r->place_id } };
  if (r->is_whole && r->sends == 1)
    {
      msg.place_release.gaps = r->gap_count;
      msg.place_release.gaps_ms = r->passed_ms - r->first_event_ms;
    }
  // A sidecar that can not be reached forgets the place with this gateway.
  if (r->target != NULL)
    hst_send (&r->gateway->host, r->target->link, &msg);
  r->place_id = 0;
  r->has_place = false;
}

/// @return  Output tokens to expect, as far as the caller knows.
static uint32_t
output_tokens_of (const rly_request_t *said)
{
  uint32_t likely = said->output_tokens_hint;
  return likely > 0 && likely < said->output_tokens ? likely
                                                    : said->output_tokens;
}

void
gtw_place_ask (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  r->stage = GTW_ASKING;
  r->place_id = ++gateway->next_place;
  r->place_ms = now_ms;
  r->has_place = false;
  kb_map_put (&gateway->places, r->place_id, r);
  // A stream that was broken off is late in any case; what counts then is
  // that it goes on before its caller leaves, so it is as urgent as a new one.
  uint64_t due_ms = r->has_event
                        ? gtw_request_patience_end_ms (r, r->passed_ms)
                        : r->first_due_ms;
  uint64_t objective_ms = r->has_event ? due_ms : r->objective_ms;
  msg_t msg = { .type = MSG_PLACE_ASK,
                .place_ask
                = { .id = r->place_id,
                    .priority = r->priority,
                    .prompt_tokens = r->said.prompt_tokens,
                    .output_tokens = output_tokens_of (&r->said),
                    .left_ms = gtw_left_ms (due_ms, now_ms),
                    .objective_ms = gtw_left_ms (objective_ms, now_ms),
                    .version = ver_newest (&gateway->versions, r->adapter_key),
                    .declined = r->tried_count,
                    .is_alone = r->begins_alone,
                    .model = r->said.model,
                    .adapter = r->said.adapter,
                    .attempt = kb_slice_str (r->attempt_id) } };
  r->target->asked_since++;
  r->target->asked_tokens += r->said.prompt_tokens;
  if (hst_send (&gateway->host, r->target->link, &msg) == KB_OK)
    return;
  r->target->condition = MSG_ENGINE_DOWN;
  gtw_request_exclude (r);
  gtw_request_leave_target (r);
  gtw_request_next (r);
}

/// A grant of an earlier incarnation: what it promised to hold is gone.
static bool
is_stale_grant (const msg_place_grant_t *grant, const gtw_target_t *from)
{
  return grant->born_ms > 0 && grant->born_ms < from->belief.born_ms
         && kb_slice_equal (grant->instance, kb_slice_str (from->told.who.id));
}

void
gtw_place_granted (gtw_gateway_t *gateway, const msg_place_grant_t *grant,
                   gtw_target_t *from)
{
  gtw_request_t *r = kb_map_get (&gateway->places, grant->id);
  if (r == NULL || r->stage != GTW_ASKING
      || strcmp (r->target->link, from->link) != 0)
    {
      // The request went elsewhere; the place must not stay taken.
      msg_t msg = { .type = MSG_PLACE_RELEASE,
                    .place_release = { .id = grant->id } };
      hst_send (&gateway->host, from->link, &msg);
      return;
    }
  if (is_stale_grant (grant, from))
    {
      gtw_target_turn_away (from, grant->born_ms, "grant");
      gtw_request_leave_target (r);
      gtw_request_next (r);
      return;
    }
  // It turned another request away since this one asked.
  if (gtw_target_pause_ms (from) > 0)
    {
      gtw_request_leave_target (r);
      gtw_request_next (r);
      return;
    }
  gtw_observe_grant (r);
  r->has_place = true;
  r->begins_alone = grant->is_alone != 0;
  r->granted_version = (uint32_t)grant->version;
  kb_slice_copy (grant->instance, r->granted.id, sizeof r->granted.id);
  r->granted.born_ms = grant->born_ms;
  r->load_us += grant->load_us;
  gtw_answer_send (r);
}

void
gtw_place_declined (gtw_gateway_t *gateway, const msg_place_decline_t *decline)
{
  gtw_request_t *r = kb_map_get (&gateway->places, decline->id);
  if (r == NULL || r->stage != GTW_ASKING)
    return;
  char reason[48];
  kb_slice_copy (decline->reason, reason, sizeof reason);
  gtw_log_step (r, "place_declined", reason);
  r->reason = "declined";
  r->is_late = r->is_late || gtw_now_ms (gateway) > r->objective_ms;
  if (decline->retry_after_ms > r->retry_after_ms)
    r->retry_after_ms = decline->retry_after_ms;
  kb_map_remove (&gateway->places, r->place_id);
  r->place_id = 0;
  gtw_request_exclude (r);
  gtw_request_leave_target (r);
  gtw_request_next (r);
}

void
gtw_place_begun (gtw_request_t *r)
{
  if (r->place_id == 0)
    return;
  msg_t msg
      = { .type = MSG_PLACE_BEGUN, .place_begun = { .id = r->place_id } };
  hst_send (&r->gateway->host, r->target->link, &msg);
}

bool
gtw_places_wait_for (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  for (const gtw_request_t *r = gateway->requests; r != NULL; r = r->next)
    if (r->target == target && r->stage == GTW_ASKING
        && now_ms - r->place_ms > UNANSWERED_MS)
      return true;
  return false;
}

void
gtw_places_lost (gtw_gateway_t *gateway, gtw_target_t *target,
                 const char *reason)
{
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      if (r->target != target || r->stage != GTW_ASKING)
        continue;
      gtw_log_step (r, "place_lost", reason);
      r->reason = reason;
      gtw_request_exclude (r);
      gtw_request_leave_target (r);
      gtw_request_next (r);
    }
}
