/// @file gateway_request.c
/// The life of a request: checks, its route, the choice of a target, and the
/// ways in which it ends without a target's answer.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/fingerprint.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_LARGE = 413,
  HTTP_TOO_MANY = 429,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504,
  /// Of a request that names no deadline.
  DEFAULT_DEADLINE_MS = 60000,
  /// Requests that need longer than this to end are not begun any more once a
  /// stop has gone on for so long.
  STOP_REFUSE_MS = 3000,
  /// A target can do nothing useful in less.
  LEAST_TIME_MS = 20,
  /// Callers come back after at least this, spread over as much again.
  RETRY_AFTER_MS = 300,
  OVER_LEAST_MS = 100, ///< The same for those over a quota.
  /// Part of a caller's time after which it may be told to come back when the
  /// end of an outage is not known; callers accept up to a third.
  OUTAGE_RETRY_PERCENT = 32,
  OUTAGE_RETRY_MAX_MS = 2500,
  /// Before a configuration is known.
  DEFAULT_BODY_BYTES = 4 << 20,
  /// Requests wait for an engine for as long as that: after a loss of power
  /// the first one is up within it. Worst seconds of such days 0.30 before and
  /// 0.32 since on one site, 0.43 and 0.45 on the other.
  DOWN_WAIT_MS = 1200,
  /// Callers abandon a stream without a first event after four objectives or
  /// two seconds, whichever is longer.
  PATIENCE_OBJECTIVES = 4,
  PATIENCE_LEAST_MS = 2000,
  /// Time for the prompt to be read and the first event to travel.
  PATIENCE_MARGIN_MS = 250,
};

static gtw_request_t *
refuse_head (gtw_client_t *client, int http_status, const char *reason)
{
  client->refusal = (gtw_refusal_t){ http_status, reason };
  return NULL;
}

static void
request_link (gtw_gateway_t *gateway, gtw_request_t *r)
{
  r->next = gateway->requests;
  if (r->next != NULL)
    r->next->prev = r;
  gateway->requests = r;
  gateway->request_count++;
}

static void
request_unlink (gtw_gateway_t *gateway, gtw_request_t *r)
{
  if (r->prev != NULL)
    r->prev->next = r->next;
  else
    gateway->requests = r->next;
  if (r->next != NULL)
    r->next->prev = r->prev;
  gateway->request_count--;
}

uint64_t
gtw_request_patience_end_ms (const gtw_request_t *r, uint64_t from_ms)
{
  uint64_t end_ms = gtw_request_end_ms (r);
  if (r->kind != SVC_KIND_STREAM)
    return end_ms;
  uint64_t patience_ms
      = PATIENCE_OBJECTIVES * (r->objective_ms - r->arrived_ms);
  if (patience_ms < PATIENCE_LEAST_MS)
    patience_ms = PATIENCE_LEAST_MS;
  uint64_t due_ms = from_ms + patience_ms - PATIENCE_MARGIN_MS;
  return due_ms < end_ms ? due_ms : end_ms;
}

/// Find its route in the configuration in force, copy what that says, and
/// judge its key.
static gtw_refusal_t
request_route (gtw_request_t *r)
{
  const svc_config_t *config = r->gateway->config;
  const h1_head_t *head = &r->client->conn.head;
  const svc_route_t *route = svc_route_find (
      config, h1_head_get (head, "host"), h1_head_target (head));
  if (route == NULL)
    return (gtw_refusal_t){ HTTP_NOT_FOUND, "no route" };
  const char *service = svc_route_pick (route, (uint64_t)rand ());
  const svc_service_t *known = svc_service_find (config, service);
  snprintf (r->route, sizeof r->route, "%s", route->name);
  snprintf (r->service, sizeof r->service, "%s", service);
  r->is_engine = known != NULL && known->is_engine;
  r->kind = route->kind;
  r->is_resumable = route->is_resumable;
  r->max_attempts = route->max_attempts;
  r->priority = route->priority;
  r->objective_ms = r->arrived_ms + route->objective_ms;
  r->timeout_ms = r->arrived_ms + route->timeout_ms;
  r->revision = config->revision;
  r->first_due_ms = gtw_request_patience_end_ms (r, r->arrived_ms);
  r->is_routed = true;
  return gtw_access_judge (r, route);
}

static void
request_copy_said (gtw_request_t *r, const rly_request_t *said)
{
  r->said = *said;
  kb_slice_copy (said->attempt_id, r->attempt_id, sizeof r->attempt_id);
  uint64_t deadline_ms
      = said->deadline_ms > 0 ? said->deadline_ms : DEFAULT_DEADLINE_MS;
  r->deadline_ms = r->arrived_ms + deadline_ms;
  r->timeout_ms = r->deadline_ms;
  if (said->adapter.len_bytes > 0)
    r->adapter_key = ver_key (said->model, said->adapter, r->adapter_name,
                              sizeof r->adapter_name);
}

static gtw_request_t *
request_add (gtw_client_t *client, const rly_request_t *said)
{
  gtw_gateway_t *gateway = client->gateway;
  gtw_request_t *r = kb_alloc (sizeof *r);
  *r = (gtw_request_t){ .gateway = gateway,
                        .client = client,
                        .number = ++gateway->newest_number,
                        .arrived_ms = gtw_now_ms (gateway),
                        .reason = "" };
  request_copy_said (r, said);
  request_link (gateway, r);
  return r;
}

uint64_t
gtw_max_body_bytes (const gtw_gateway_t *gateway)
{
  return gateway->config == NULL ? DEFAULT_BODY_BYTES
                                 : gateway->config->limits.max_body_bytes;
}

gtw_request_t *
gtw_request_begin (gtw_client_t *client)
{
  gtw_gateway_t *gateway = client->gateway;
  const h1_conn_t *conn = &client->conn;
  rly_request_t said;
  kb_error_t error = { 0 };
  if (!h1_request_is_proper (conn))
    return refuse_head (client, HTTP_BAD_REQUEST, "the request is ambiguous");
  kb_status_t status
      = gateway->dialect->read_request (&conn->head, &said, &error);
  if (status != KB_OK)
    return refuse_head (client, HTTP_BAD_REQUEST, "a header field is wrong");
  kb_slice_copy (said.attempt_id, client->refusal_id,
                 sizeof client->refusal_id);
  if (conn->parser.content_length != UINT64_MAX
      && conn->parser.content_length > gtw_max_body_bytes (gateway))
    return refuse_head (client, HTTP_TOO_LARGE, "the body is too large");
  uint64_t stopped_ms
      = gateway->stop_ms > 0 ? gtw_now_ms (gateway) - gateway->stop_ms : 0;
  if (stopped_ms > STOP_REFUSE_MS)
    return refuse_head (client, HTTP_UNAVAILABLE, "this process stops");
  gtw_request_t *r = request_add (client, &said);
  if (gateway->config == NULL)
    return r;
  gtw_refusal_t refusal = request_route (r);
  if (refusal.http_status == 0)
    return r;
  gtw_request_end (r);
  return refuse_head (client, refusal.http_status, refusal.reason);
}

uint64_t
gtw_request_fingerprint (gtw_request_t *r, int width)
{
  if (r->fingerprints[width] != 0)
    return r->fingerprints[width];
  const h1_conn_t *conn = &r->client->conn;
  const char *adapter = width == GTW_NARROW ? r->adapter_name : "";
  fpr_request_t parts
      = { .host = h1_head_get (&conn->head, "host"),
          .method = kb_slice_str (http_method_str (conn->parser.method)),
          .path = h1_head_target (&conn->head),
          .adapter = kb_slice_str (adapter),
          .body = kb_buf_slice (&r->body) };
  r->fingerprints[width] = fpr_of (&parts);
  return r->fingerprints[width];
}

void
gtw_request_leave_target (gtw_request_t *r)
{
  tmr_cancel (&r->gateway->host.timers, &r->silence);
  xch_cancel (&r->exchange);
  gtw_place_release (r);
  gtw_quota_release (&r->permit, !r->is_permit_used);
  gtw_alone_end (r);
  if (r->target != NULL)
    r->target->active--;
  r->target = NULL;
}

void
gtw_request_end (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  bool was_sent = r->stage == GTW_SENT || r->stage == GTW_PASSING;
  gtw_quota_release (&r->charge, r->is_refused || !was_sent);
  gtw_request_leave_target (r);
  tmr_cancel (&gateway->host.timers, &r->timer);
  request_unlink (gateway, r);
  kb_buf_finish (&r->body);
  kb_buf_finish (&r->head);
  kb_buf_finish (&r->held);
  free (r);
}

static void
request_answer_own (gtw_request_t *r, int http_status, const char *reason,
                    uint64_t retry_after_ms)
{
  gtw_client_t *client = r->client;
  r->reason = reason;
  r->is_refused
      = http_status == HTTP_UNAVAILABLE || http_status == HTTP_TOO_MANY;
  gtw_request_log (r, r->is_refused ? "refused" : "failed", http_status);
  bool is_cut = r->is_head_written;
  if (!is_cut)
    {
      rly_refusal_t refusal = { .http_status = http_status,
                                .attempt_id = kb_slice_str (r->attempt_id),
                                .retry_after_ms = retry_after_ms,
                                .is_last = gtw_client_is_last (client),
                                .reason = reason };
      kb_buf_t out = { 0 };
      r->gateway->dialect->write_refusal (&refusal, &out);
      h1_conn_write (&client->conn, out.ptr, out.len_bytes);
      kb_buf_finish (&out);
    }
  gtw_request_end (r);
  gtw_client_answered (client, !is_cut);
}

void
gtw_request_fail (gtw_request_t *r, int http_status, const char *reason)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"failed\"");
  request_answer_own (r, http_status, reason, 0);
}

void
gtw_request_refuse (gtw_request_t *r, const char *reason,
                    uint64_t retry_after_ms)
{
  // "Not run" is a promise: whatever may have begun ends as a failure.
  if (r->fate != GTW_NOT_RUN || r->is_head_written)
    {
      gtw_request_fail (r, HTTP_BAD_GATEWAY, reason);
      return;
    }
  MET_INC ("knapweedbay_requests_total", "outcome=\"refused\"");
  if (retry_after_ms < RETRY_AFTER_MS)
    retry_after_ms
        = r->gateway->stop_ms > 0 ? GTW_STOP_RETRY_MS : RETRY_AFTER_MS;
  // Callers that were refused together do not come back together.
  retry_after_ms += (uint64_t)rand () % retry_after_ms;
  request_answer_own (r, HTTP_UNAVAILABLE, reason, retry_after_ms);
}

static void
request_late (void *arg)
{
  gtw_request_t *r = arg;
  if (r->stage != GTW_SENT && r->stage != GTW_PASSING)
    {
      gtw_request_refuse (r, "timeout_unsent", 0);
      return;
    }
  gtw_quarantine_note_break (r);
  gtw_request_fail (r, HTTP_GATEWAY_TIMEOUT, "timeout");
}

static void
request_arm_end (gtw_request_t *r)
{
  uint64_t left_ms
      = gtw_left_ms (gtw_request_end_ms (r), gtw_now_ms (r->gateway));
  tmr_start_once (&r->gateway->host.timers, &r->timer, left_ms, request_late,
                  r);
}

void
gtw_request_start (gtw_request_t *r)
{
  request_arm_end (r);
  gtw_request_next (r);
}

void
gtw_request_exclude (gtw_request_t *r)
{
  if (r->target != NULL && r->tried_count < GTW_MAX_TRIES)
    r->tried[r->tried_count++] = r->target->key;
}

/// An outage whose end is not known: of callers that come back once, those
/// that come late have the best chance; they accept a third of their time.
static uint64_t
outage_retry_after_ms (const gtw_request_t *r)
{
  uint64_t left_ms = gtw_left_ms (r->deadline_ms, gtw_now_ms (r->gateway));
  uint64_t most_ms = left_ms * OUTAGE_RETRY_PERCENT / 100;
  // The refusal spreads it over as much again.
  return most_ms / 2 < OUTAGE_RETRY_MAX_MS ? most_ms / 2 : OUTAGE_RETRY_MAX_MS;
}

/// Wait for what every request needs and what is usually back soon: the first
/// configuration after a start, an engine after a loss of power. Callers that
/// are refused meanwhile come back once, and a second refusal is final for
/// most of them.
static void
request_wait (gtw_request_t *r, const char *reason)
{
  uint64_t from_ms = r->has_event ? r->passed_ms : r->arrived_ms;
  uint64_t waited_ms = gtw_now_ms (r->gateway) - from_ms;
  if (waited_ms >= DOWN_WAIT_MS || r->gateway->stop_ms > 0)
    {
      gtw_request_refuse (r, reason, outage_retry_after_ms (r));
      return;
    }
  if (r->stage != GTW_WAITING)
    gtw_log_step (r, "request_waits", reason);
  r->stage = GTW_WAITING;
}

/// A stream that was broken off waits for an engine that is not up yet: the
/// other way is to cut it. Seen when the only other engine's agent was just
/// being started.
static bool
may_resume_later (const gtw_request_t *r)
{
  return r->has_event && gtw_target_may_come (r->gateway, r);
}

static void
request_without_target (gtw_request_t *r)
{
  if (may_resume_later (r))
    {
      request_wait (r, r->reason);
      return;
    }
  bool is_service_down = r->reason[0] == '\0';
  uint64_t back_ms = gtw_backpressure_back_ms (r);
  if (back_ms > 0)
    gtw_request_refuse (r, is_service_down ? "target_paused" : r->reason,
                        back_ms);
  else if (gtw_alone_is_anywhere (r))
    request_wait (r, "others_begin");
  else if (is_service_down && (r->is_engine || !r->gateway->are_targets_known))
    request_wait (r, "no_target");
  else
    gtw_request_refuse (r, is_service_down ? "no_target" : r->reason,
                        outage_retry_after_ms (r));
}

/// A request that came before the first configuration.
/// @return  Whether it can go on.
static bool
request_route_late (gtw_request_t *r)
{
  if (r->gateway->config == NULL)
    {
      request_wait (r, "no_configuration");
      return false;
    }
  gtw_refusal_t refusal = request_route (r);
  if (refusal.http_status != 0)
    {
      if (refusal.http_status == HTTP_UNAVAILABLE)
        gtw_request_refuse (r, refusal.reason, 0);
      else
        gtw_request_fail (r, refusal.http_status, refusal.reason);
      return false;
    }
  request_arm_end (r);
  return true;
}

/// Beyond the quota of its workspace, which is nobody else's concern: the
/// caller learns when the same request would fit.
static void
request_refuse_over (gtw_request_t *r)
{
  uint64_t wait_ms = gtw_quota_wait_ms (&r->charge);
  if (wait_ms < OVER_LEAST_MS)
    wait_ms = OVER_LEAST_MS;
  wait_ms += (uint64_t)rand () % (wait_ms / 2);
  MET_INC ("knapweedbay_requests_total", "outcome=\"over_quota\"");
  request_answer_own (r, HTTP_TOO_MANY, "over_quota", wait_ms);
}

/// @return  Whether the quota of its workspace lets a request go on now.
static bool
request_take_quota (gtw_request_t *r)
{
  switch (gtw_quota_take (&r->charge))
    {
    case QSP_SPENT:
      return true;
    case QSP_WAITS:
      r->stage = GTW_BORROWING;
      return false;
    case QSP_OVER:
      request_refuse_over (r);
      return false;
    case QSP_UNKNOWN:
      gtw_request_refuse (r, "quota_unknown", 0);
      return false;
    }
  return false;
}

void
gtw_requests_retry (gtw_gateway_t *gateway)
{
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      if (r->stage == GTW_WAITING)
        gtw_request_next (r);
      else if (r->stage == GTW_ISOLATING)
        gtw_request_decided (r);
    }
}

/// Send to a plain target, once nobody else is there, if it begins alone.
static void
request_begin_plain (gtw_request_t *r)
{
  if (gtw_alone_has_waited (r))
    {
      gtw_request_leave_target (r);
      gtw_request_next (r);
    }
  else if (gtw_alone_start (r))
    gtw_answer_send (r);
  else
    r->stage = GTW_ISOLATING;
}

/// Send to a plain target, once its limit has room.
static void
request_send_plain (gtw_request_t *r)
{
  switch (gtw_backpressure_take (r))
    {
    case QSP_SPENT:
      request_begin_plain (r);
      return;
    case QSP_WAITS:
      r->stage = GTW_BORROWING;
      return;
    case QSP_OVER:
    case QSP_UNKNOWN:
      break;
    }
  r->reason = "target_limit";
  gtw_request_exclude (r);
  gtw_request_leave_target (r);
  gtw_request_next (r);
}

void
gtw_request_decided (gtw_request_t *r)
{
  const gtw_target_t *target = r->target;
  if (target == NULL)
    gtw_request_next (r);
  else if (target->is_listed && !gtw_target_is_leaving (target)
           && gtw_target_pause_ms (target) == 0)
    request_send_plain (r);
  else
    {
      gtw_request_leave_target (r);
      gtw_request_next (r);
    }
}

void
gtw_request_next (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  if (now_ms + LEAST_TIME_MS >= r->deadline_ms)
    {
      gtw_request_refuse (r, "no_time_left", 0);
      return;
    }
  if (!r->is_routed && !request_route_late (r))
    return;
  uint64_t hold_ms = 0;
  qrt_verdict_t verdict = gtw_quarantine_judge (r, &hold_ms);
  if (verdict == QRT_HELD)
    {
      gtw_quarantine_refuse (r, hold_ms);
      return;
    }
  if (!request_take_quota (r))
    return;
  r->alone.is_alone = !r->is_engine && verdict == QRT_ALONE;
  r->begins_alone
      = r->is_engine ? verdict == QRT_ALONE : gtw_quarantine_has_broken (r);
  gtw_target_t *target
      = r->tried_count < GTW_MAX_TRIES ? gtw_target_choose (gateway, r) : NULL;
  if (target == NULL)
    {
      request_without_target (r);
      return;
    }
  r->target = target;
  target->active++;
  gtw_log_choice (r);
  r->is_permit_used = false;
  if (r->is_engine)
    gtw_place_ask (r);
  else
    request_send_plain (r);
}
