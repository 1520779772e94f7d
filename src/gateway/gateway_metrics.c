/// @file gateway_metrics.c
/// Histograms of request latency by kind and outcome, and gauges of the
/// gateway.
#include "gateway/gateway_defs.h"
#include "transport/metrics.h"

enum
{
  KIND_COUNT = 3,
  US_PER_MS = 1000,
};

/// Labels by kind of request.
static const char *const kind_labels[KIND_COUNT]
    = { "kind=\"safe\"", "kind=\"unsafe\"", "kind=\"stream\"" };
static const char *const outcome_labels[KIND_COUNT][2]
    = { { "kind=\"safe\",outcome=\"failed\"",
          "kind=\"safe\",outcome=\"answered\"" },
        { "kind=\"unsafe\",outcome=\"failed\"",
          "kind=\"unsafe\",outcome=\"answered\"" },
        { "kind=\"stream\",outcome=\"failed\"",
          "kind=\"stream\",outcome=\"answered\"" } };

void
gtw_metrics_observe_end (const gtw_request_t *r, int http_status)
{
  uint64_t now_ms = gtw_now_ms (r->gateway);
  bool is_good = http_status >= 200 && http_status < 300;
  met_observe (met_histogram ("knapweedbay_request_ms",
                              outcome_labels[r->kind][is_good]),
               now_ms - r->arrived_ms);
  if (r->first_event_ms > 0)
    met_observe (
        met_histogram ("knapweedbay_first_event_ms", kind_labels[r->kind]),
        r->first_event_ms - r->arrived_ms);
  if (r->load_us > 0)
    met_observe (met_histogram ("knapweedbay_load_wait_ms", ""),
                 r->load_us / US_PER_MS);
}

void
gtw_metrics_observe_grant (const gtw_request_t *r)
{
  met_observe (met_histogram ("knapweedbay_place_wait_ms", ""),
               gtw_now_ms (r->gateway) - r->place_requested_ms);
}

/// @return  Age, in milliseconds, of the oldest last report of a linked
///          sidecar.
static uint64_t
oldest_report_age_ms (const gtw_gateway_t *gateway)
{
  uint64_t now_ms = gtw_now_ms (gateway);
  uint64_t oldest_ms = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    if (t->is_linked && t->last_contact_ms > 0
        && now_ms - t->last_contact_ms > oldest_ms)
      oldest_ms = now_ms - t->last_contact_ms;
  return oldest_ms;
}

static uint32_t
count_rate_limited (const gtw_gateway_t *gateway)
{
  uint32_t count = 0;
  uint32_t at = 0;
  for (const gtw_target_t *t = kb_map_next (&gateway->targets, &at); t != NULL;
       t = kb_map_next (&gateway->targets, &at))
    count += t->is_listed && t->advertised.limit.is_limited;
  return count;
}

void
gtw_metrics_set_gauges (const gtw_gateway_t *gateway, bool is_ready)
{
  met_set (met_counter ("knapweedbay_clients", ""), gateway->client_count);
  met_set (met_counter ("knapweedbay_requests_open", ""),
           gateway->request_count);
  met_set (met_counter ("knapweedbay_targets", ""), gateway->targets.len);
  met_set (met_counter ("knapweedbay_targets_limited", ""),
           count_rate_limited (gateway));
  met_set (met_counter ("knapweedbay_config_revision", ""),
           gateway->config == NULL ? 0 : (int64_t)gateway->config->revision);
  met_set (met_counter ("knapweedbay_sidecar_word_age_ms", ""),
           (int64_t)oldest_report_age_ms (gateway));
  met_set (met_counter ("knapweedbay_quarantine_requests", "state=\"known\""),
           gateway->quarantine.entries.len);
  met_set (met_counter ("knapweedbay_quarantine_requests", "state=\"held\""),
           qrt_count_held (&gateway->quarantine, gtw_now_ms (gateway)));
  met_set (met_counter ("knapweedbay_ready", ""), is_ready);
}
