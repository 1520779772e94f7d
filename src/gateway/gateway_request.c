/// @file gateway_request.c
/// Life cycle of a request: validation, routing, dispatch to a target, and
/// ending without an answer of a target.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_origin.h"
#include "gateway/gateway_suspects.h"
#include "relay/fingerprint.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_TIMEOUT = 408,
  HTTP_TOO_LARGE = 413,
  HTTP_TOO_MANY = 429,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504,
  /// Of a request without a deadline field.
  DEFAULT_DEADLINE_MS = 60000,
  /// Minimum time left for which an attempt is useful.
  MIN_ATTEMPT_MS = 20,
  /// Minimum Retry-After of a refusal, which is spread over as much again.
  MIN_RETRY_AFTER_MS = 300,
  MIN_QUOTA_RETRY_AFTER_MS = 100, ///< Of a request over its quota.
  /// Retry-After during an outage of unknown duration, as a share of the
  /// caller's remaining time; callers accept up to a third.
  OUTAGE_RETRY_AFTER_PERCENT = 32,
  MAX_OUTAGE_RETRY_AFTER_MS = 2500,
  /// Limit before the first configuration is known.
  DEFAULT_MAX_BODY_BYTES = 4 << 20,
  /// Longest wait for an engine: after a power loss the first engine is up
  /// within it. In the worst second after the loss, waiting is better than
  /// refusing.
  DOWN_WAIT_MS = 1200,
  /// Callers abandon a stream without a first event after this many objectives
  /// or the minimum time, whichever is longer.
  CALLER_TIMEOUT_OBJECTIVES = 4,
  MIN_CALLER_TIMEOUT_MS = 2000,
  /// Time to process the prompt and deliver the first event.
  FIRST_EVENT_MARGIN_MS = 250,
};

static gtw_request_t *
refuse_head (gtw_client_t *client, int http_status, const char *reason)
{
  client->refusal = (gtw_refusal_t){ http_status, reason };
  return NULL;
}

static void
request_list_insert (gtw_gateway_t *gateway, gtw_request_t *r)
{
  r->next = gateway->requests;
  if (r->next != NULL)
    r->next->prev = r;
  gateway->requests = r;
  gateway->request_count++;
}

static void
request_list_remove (gtw_gateway_t *gateway, gtw_request_t *r)
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
gtw_request_caller_timeout_ms (const gtw_request_t *r, uint64_t from_ms)
{
  uint64_t end_ms = gtw_request_expiry_ms (r);
  if (r->kind != SVC_KIND_STREAM)
    return end_ms;
  uint64_t caller_timeout_ms
      = CALLER_TIMEOUT_OBJECTIVES * (r->objective_ms - r->arrived_ms);
  if (caller_timeout_ms < MIN_CALLER_TIMEOUT_MS)
    caller_timeout_ms = MIN_CALLER_TIMEOUT_MS;
  uint64_t due_ms = from_ms + caller_timeout_ms - FIRST_EVENT_MARGIN_MS;
  return due_ms < end_ms ? due_ms : end_ms;
}

/// Find the route in the current configuration, copy its properties, and check
/// the caller's key.
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
  const svc_service_t *service_config = svc_service_find (config, service);
  snprintf (r->route, sizeof r->route, "%s", route->name);
  snprintf (r->service, sizeof r->service, "%s", service);
  r->is_engine = service_config != NULL && service_config->is_engine;
  r->kind = route->kind;
  r->is_resumable = route->is_resumable;
  r->max_attempts = route->max_attempts;
  r->priority = route->priority;
  r->objective_ms = r->arrived_ms + route->objective_ms;
  r->timeout_ms = r->arrived_ms + route->timeout_ms;
  r->revision = config->revision;
  r->first_event_due_ms = gtw_request_caller_timeout_ms (r, r->arrived_ms);
  r->is_routed = true;
  gtw_origin_seek (r);
  return gtw_access_check (r, route);
}

static void
request_copy_head (gtw_request_t *r, const rly_request_t *parsed)
{
  r->parsed_head = *parsed;
  kb_slice_copy (parsed->attempt_id, r->attempt_id, sizeof r->attempt_id);
  uint64_t deadline_ms
      = parsed->deadline_ms > 0 ? parsed->deadline_ms : DEFAULT_DEADLINE_MS;
  r->deadline_ms = r->arrived_ms + deadline_ms;
  // Until its route is known.
  r->timeout_ms = r->arrived_ms + DEFAULT_DEADLINE_MS;
  if (parsed->adapter.len_bytes > 0)
    r->adapter_key = ver_key (parsed->model, parsed->adapter, r->adapter_name,
                              sizeof r->adapter_name);
}

static gtw_request_t *
request_add (gtw_client_t *client, const rly_request_t *parsed)
{
  gtw_gateway_t *gateway = client->gateway;
  gtw_request_t *r = kb_alloc (sizeof *r);
  *r = (gtw_request_t){ .gateway = gateway,
                        .client = client,
                        .number = ++gateway->last_request_number,
                        .arrived_ms = gtw_now_ms (gateway),
                        .framing = "",
                        .end = "",
                        .evidence = "",
                        .reason = "" };
  r->body = kb_shared_create (&gateway->host.memory);
  kb_buf_set_account (&r->head, &gateway->host.memory);
  kb_buf_set_account (&r->pending_answer, &gateway->host.memory);
  request_copy_head (r, parsed);
  request_list_insert (gateway, r);
  return r;
}

uint64_t
gtw_max_body_bytes (const gtw_gateway_t *gateway)
{
  return gateway->config == NULL ? DEFAULT_MAX_BODY_BYTES
                                 : gateway->config->limits.max_body_bytes;
}

static void
request_on_expiry (void *arg)
{
  gtw_request_t *r = arg;
  if (!r->client->conn.is_message_complete)
    {
      gtw_client_refuse_unfinished (r->client, HTTP_TIMEOUT,
                                    "the request did not arrive in time", 0);
      return;
    }
  if (r->stage != GTW_STAGE_SENT && r->stage != GTW_STAGE_RELAYING)
    {
      gtw_request_refuse (r, "timeout_unsent", 0);
      return;
    }
  gtw_quarantine_record_end (r, END_EXPIRED);
  gtw_log_attempt (r, "attempt_broken", end_row (END_EXPIRED)->name);
  gtw_request_fail (r, HTTP_GATEWAY_TIMEOUT, "timeout");
}

void
gtw_request_arm_expiry (gtw_request_t *r)
{
  uint64_t left_ms
      = gtw_remaining_ms (gtw_request_expiry_ms (r), gtw_now_ms (r->gateway));
  tmr_start_once (&r->gateway->host.timers, &r->expiry_timer, left_ms,
                  request_on_expiry, r);
}

gtw_request_t *
gtw_request_create (gtw_client_t *client)
{
  gtw_gateway_t *gateway = client->gateway;
  const h1_conn_t *conn = &client->conn;
  rly_request_t parsed;
  kb_error_t error = { 0 };
  if (!h1_request_is_well_formed (conn))
    return refuse_head (client, HTTP_BAD_REQUEST, "the request is ambiguous");
  kb_status_t status
      = gateway->dialect->read_request (&conn->head, &parsed, &error);
  if (status != KB_OK)
    return refuse_head (client, HTTP_BAD_REQUEST, "a header field is wrong");
  kb_slice_copy (parsed.attempt_id, client->refusal_id,
                 sizeof client->refusal_id);
  if (conn->parser.content_length != UINT64_MAX
      && conn->parser.content_length > gtw_max_body_bytes (gateway))
    return refuse_head (client, HTTP_TOO_LARGE, "the body is too large");
  if (gtw_grace_refuses_new (gateway))
    return refuse_head (client, HTTP_UNAVAILABLE, "this process stops");
  gtw_request_t *r = request_add (client, &parsed);
  gtw_refusal_t refusal = { 0 };
  if (gateway->config != NULL)
    refusal = request_route (r);
  if (refusal.http_status == 0 && !gtw_grace_leaves_time (r))
    refusal = (gtw_refusal_t){ HTTP_UNAVAILABLE, "this process stops" };
  if (refusal.http_status == 0)
    {
      gtw_request_arm_expiry (r);
      if (r->kind == SVC_KIND_STREAM && parsed.is_resume)
        gtw_log_continuation (r);
      return r;
    }
  gtw_request_end (r);
  return refuse_head (client, refusal.http_status, refusal.reason);
}

void
gtw_request_release_target (gtw_request_t *r)
{
  tmr_cancel (&r->gateway->host.timers, &r->silence_timer);
  xch_cancel (&r->exchange);
  gtw_place_release (r);
  gtw_quota_release_charge (&r->permit, !r->is_permit_used);
  gtw_alone_leave (r);
  r->awaited_health_request = 0;
  r->watched_ms = 0;
  if (r->target != NULL)
    r->target->active--;
  r->target = NULL;
}

void
gtw_request_end (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  bool was_sent = r->stage == GTW_STAGE_SENT || r->stage == GTW_STAGE_RELAYING;
  gtw_quota_release_charge (&r->charge, r->is_refused || !was_sent);
  gtw_request_release_target (r);
  tmr_cancel (&gateway->host.timers, &r->expiry_timer);
  request_list_remove (gateway, r);
  kb_shared_unref (r->body);
  kb_buf_finish (&r->head);
  kb_buf_finish (&r->pending_answer);
  rsc_scan_finish (&r->scan);
  free (r);
}

static void
request_answer_error (gtw_request_t *r, int http_status, const char *reason,
                      uint64_t retry_after_ms)
{
  gtw_client_t *client = r->client;
  r->reason = reason;
  r->is_refused
      = http_status == HTTP_UNAVAILABLE || http_status == HTTP_TOO_MANY;
  gtw_log_request_end (r, r->is_refused ? "refused" : "failed", http_status);
  bool is_cut = r->is_head_written;
  if (!is_cut)
    {
      rly_refusal_t refusal = { .http_status = http_status,
                                .attempt_id = r->parsed_head.attempt_id,
                                .retry_after_ms = retry_after_ms,
                                .is_last = gtw_client_is_last_answer (client),
                                .reason = reason };
      kb_buf_t out = { 0 };
      r->gateway->dialect->write_refusal (&refusal, &out);
      h1_conn_write (&client->conn, out.ptr, out.len_bytes);
      kb_buf_finish (&out);
    }
  gtw_request_end (r);
  gtw_client_finish_answer (client, !is_cut);
}

void
gtw_request_fail (gtw_request_t *r, int http_status, const char *reason)
{
  MET_INC ("knapweedbay_requests_total", "outcome=\"failed\"");
  request_answer_error (r, http_status, reason, 0);
}

void
gtw_request_refuse (gtw_request_t *r, const char *reason,
                    uint64_t retry_after_ms)
{
  // "Not run" must be certain: a request that may have begun fails instead.
  if (r->execution_state != GTW_EXECUTION_NOT_RUN || r->is_head_written)
    {
      gtw_request_fail (r, HTTP_BAD_GATEWAY, reason);
      return;
    }
  MET_INC ("knapweedbay_requests_total", "outcome=\"refused\"");
  if (retry_after_ms < MIN_RETRY_AFTER_MS)
    retry_after_ms = r->gateway->stop_began_ms > 0 ? GTW_STOP_RETRY_AFTER_MS
                                                   : MIN_RETRY_AFTER_MS;
  // Spread the retries of callers that were refused at the same time.
  retry_after_ms += (uint64_t)rand () % retry_after_ms;
  request_answer_error (r, HTTP_UNAVAILABLE, reason, retry_after_ms);
}

void
gtw_request_refuse_held (gtw_request_t *r, uint64_t hold_ms)
{
  MET_INC ("knapweedbay_requests_held_total", "");
  gtw_request_refuse (r, "quarantined", hold_ms);
}

void
gtw_request_exclude_target (gtw_request_t *r)
{
  if (r->target != NULL && r->excluded_target_count < GTW_MAX_EXCLUDED_TARGETS)
    r->excluded_targets[r->excluded_target_count++] = r->target->key;
}

/// @return  Retry-After for an outage of unknown duration. Callers retry once,
///          so a late retry has the best chance; they accept up to a third of
///          their remaining time.
static uint64_t
outage_retry_after_ms (const gtw_request_t *r)
{
  uint64_t left_ms
      = gtw_remaining_ms (r->deadline_ms, gtw_now_ms (r->gateway));
  uint64_t max_ms = left_ms * OUTAGE_RETRY_AFTER_PERCENT / 100;
  // Halved, since gtw_request_refuse() adds up to the same time again.
  return max_ms / 2 < MAX_OUTAGE_RETRY_AFTER_MS ? max_ms / 2
                                                : MAX_OUTAGE_RETRY_AFTER_MS;
}

/// Wait for a resource that is usually available soon: the first configuration
/// after a start, or an engine after a power loss. Callers that are refused
/// meanwhile retry once, and a second refusal is final for most of them.
static void
request_wait_for_target (gtw_request_t *r, const char *reason)
{
  uint64_t from_ms = r->has_event ? r->relayed_ms : r->arrived_ms;
  uint64_t waited_ms = gtw_now_ms (r->gateway) - from_ms;
  if (waited_ms >= DOWN_WAIT_MS || r->gateway->stop_began_ms > 0)
    {
      gtw_request_refuse (r, reason, outage_retry_after_ms (r));
      return;
    }
  if (r->stage != GTW_STAGE_WAITING_FOR_TARGET)
    gtw_log_request_event (r, "request_waits", reason);
  r->stage = GTW_STAGE_WAITING_FOR_TARGET;
}

/// @return  Whether a stream that broke off waits for an engine that is not up
///          yet, which happens when the only other engine's sidecar is being
///          started. The alternative is to cut the stream.
static bool
can_resume_later (const gtw_request_t *r)
{
  return r->has_event && gtw_target_can_become_ready (r->gateway, r);
}

static void
request_handle_no_target (gtw_request_t *r)
{
  if (gtw_origin_is_gone (r))
    {
      gtw_request_refuse (r, "version_gone", outage_retry_after_ms (r));
      return;
    }
  if (can_resume_later (r))
    {
      request_wait_for_target (r, r->reason);
      return;
    }
  bool is_service_down = r->reason[0] == '\0';
  uint64_t pause_left_ms = gtw_backpressure_retry_after_ms (r);
  if (pause_left_ms > 0)
    gtw_request_refuse (r, is_service_down ? "target_paused" : r->reason,
                        pause_left_ms);
  else if (gtw_alone_is_blocking_any (r))
    request_wait_for_target (r, "others_begin");
  else if (is_service_down && (r->is_engine || !r->gateway->has_target_list))
    request_wait_for_target (r, "no_target");
  else
    gtw_request_refuse (r, is_service_down ? "no_target" : r->reason,
                        outage_retry_after_ms (r));
}

/// Route a request that arrived before the first configuration.
/// @return  Whether it can be dispatched.
static bool
request_route_deferred (gtw_request_t *r)
{
  if (r->gateway->config == NULL)
    {
      request_wait_for_target (r, "no_configuration");
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
  gtw_request_arm_expiry (r);
  return true;
}

/// Refuse a request over the quota of its workspace, with the time at which it
/// would fit.
static void
request_refuse_over_quota (gtw_request_t *r)
{
  uint64_t wait_ms = gtw_quota_wait_ms (&r->charge);
  if (wait_ms < MIN_QUOTA_RETRY_AFTER_MS)
    wait_ms = MIN_QUOTA_RETRY_AFTER_MS;
  wait_ms += (uint64_t)rand () % (wait_ms / 2);
  MET_INC ("knapweedbay_requests_total", "outcome=\"over_quota\"");
  request_answer_error (r, HTTP_TOO_MANY, "over_quota", wait_ms);
}

/// @return  Whether the quota of its workspace admits a request now.
static bool
request_acquire_credit (gtw_request_t *r)
{
  switch (gtw_quota_try_charge (&r->charge))
    {
    case QSP_ADMITTED:
      return true;
    case QSP_WAITING:
      r->stage = GTW_STAGE_WAITING_FOR_CREDIT;
      return false;
    case QSP_OVER_QUOTA:
      request_refuse_over_quota (r);
      return false;
    case QSP_NO_LENDER:
      gtw_request_refuse (r, "quota_unknown", 0);
      return false;
    }
  return false;
}

void
gtw_requests_retry_waiting (gtw_gateway_t *gateway)
{
  gtw_request_t *next;
  for (gtw_request_t *r = gateway->requests; r != NULL; r = next)
    {
      next = r->next;
      if (r->stage == GTW_STAGE_WAITING_FOR_TARGET
          || r->stage == GTW_STAGE_WAITING_FOR_ORIGIN)
        gtw_request_dispatch (r);
      else if (r->stage == GTW_STAGE_WAITING_TO_BE_ALONE)
        gtw_request_resume (r);
    }
}

/// Send to a plain target; a request that has to start alone waits until the
/// target is idle, and a suspected one until the target is proved to be alive.
static void
request_start_plain (gtw_request_t *r)
{
  gtw_liveness_t liveness = gtw_liveness_check (r);
  bool has_failed
      = liveness == GTW_LIVENESS_FAILED || liveness == GTW_LIVENESS_REPLACED;
  if (liveness == GTW_LIVENESS_REPLACED)
    gtw_quarantine_record_target_end (r->gateway, r->target, "misdirected");
  if (has_failed)
    {
      r->reason = "target_silent";
      gtw_request_exclude_target (r);
    }
  if (has_failed || gtw_alone_has_timed_out (r))
    {
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
    }
  else if (liveness == GTW_LIVENESS_PROVED && gtw_alone_start (r))
    gtw_attempt_send (r);
  else
    {
      // A proof holds for a start at once.
      if (liveness == GTW_LIVENESS_PROVED)
        r->awaited_health_request = 0;
      r->stage = GTW_STAGE_WAITING_TO_BE_ALONE;
    }
}

/// Send to a plain target once its rate limit permits.
static void
request_send_plain (gtw_request_t *r)
{
  switch (gtw_backpressure_try_permit (r))
    {
    case QSP_ADMITTED:
      request_start_plain (r);
      return;
    case QSP_WAITING:
      r->stage = GTW_STAGE_WAITING_FOR_CREDIT;
      return;
    case QSP_OVER_QUOTA:
    case QSP_NO_LENDER:
      break;
    }
  r->reason = "target_limit";
  gtw_request_exclude_target (r);
  gtw_request_release_target (r);
  gtw_request_dispatch (r);
}

void
gtw_request_resume (gtw_request_t *r)
{
  const gtw_target_t *target = r->target;
  if (target == NULL)
    gtw_request_dispatch (r);
  else if (gtw_target_is_staying (target) && gtw_target_pause_ms (target) == 0)
    request_send_plain (r);
  else
    {
      gtw_request_release_target (r);
      gtw_request_dispatch (r);
    }
}

/// @return  Whether the target of a request can be chosen: it continues no
///          stream, or what began that is known.
static bool
request_resolve_origin (gtw_request_t *r)
{
  switch (gtw_origin_resolve (r))
    {
    case GTW_ORIGIN_RESOLVED:
      return true;
    case GTW_ORIGIN_NO_LIST:
      request_wait_for_target (r, "no_target");
      return false;
    case GTW_ORIGIN_AWAITED:
      r->stage = GTW_STAGE_WAITING_FOR_ORIGIN;
      return false;
    case GTW_ORIGIN_UNKNOWN:
      gtw_request_refuse (r, "origin_unknown", outage_retry_after_ms (r));
      return false;
    }
  return false;
}

void
gtw_request_dispatch (gtw_request_t *r)
{
  gtw_gateway_t *gateway = r->gateway;
  uint64_t now_ms = gtw_now_ms (gateway);
  if (now_ms + MIN_ATTEMPT_MS >= r->deadline_ms)
    {
      gtw_request_refuse (r, "no_time_left", 0);
      return;
    }
  if (!r->is_routed && !request_route_deferred (r))
    return;
  if (!request_resolve_origin (r))
    return;
  uint64_t hold_ms = 0;
  qrt_verdict_t verdict = gtw_quarantine_check (r, &hold_ms);
  if (verdict == QRT_HELD)
    {
      gtw_request_refuse_held (r, hold_ms);
      return;
    }
  // Further trials would end more targets before the first one counts.
  if (verdict == QRT_ALONE && !r->is_engine
      && gtw_quarantine_has_unsettled_trial (r))
    {
      request_wait_for_target (r, "suspected");
      return;
    }
  prt_judgement_t parts = gtw_parts_judge (r);
  if (parts.verdict == PRT_HELD)
    {
      gtw_request_refuse_held (r, parts.hold_ms);
      return;
    }
  if (parts.verdict == PRT_WAIT)
    {
      request_wait_for_target (r, "part_suspected");
      return;
    }
  if (!request_acquire_credit (r))
    return;
  r->is_trial = parts.verdict == PRT_TRIAL;
  r->alone.is_alone = !r->is_engine && verdict == QRT_ALONE;
  r->alone.patience = verdict == QRT_ALONE ? gtw_quarantine_patience (r) : 0;
  r->is_alone_attempt = r->is_engine ? verdict == QRT_ALONE || r->is_trial
                                     : gtw_quarantine_has_earlier_break (r);
  gtw_target_t *target = r->excluded_target_count < GTW_MAX_EXCLUDED_TARGETS
                             ? gtw_target_choose (gateway, r)
                             : NULL;
  if (target == NULL)
    {
      request_handle_no_target (r);
      return;
    }
  r->target = target;
  target->active++;
  gtw_log_choice (r);
  r->is_permit_used = false;
  if (r->is_engine)
    gtw_place_request (r);
  else
    request_send_plain (r);
}
