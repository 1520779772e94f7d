/// @file gateway_quarantine.c
/// Quarantine of requests during which targets ended
/// (coordination/quarantine.h), and the records that are shared with other
/// daemons.
#include "coordination/alone.h"
#include "coordination/quarantine.h"
#include "gateway/gateway_suspects.h"
#include "relay/fingerprint.h"
#include "relay/forward.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Sidecars that get a record at once and merge those of all gateways.
  IMMEDIATE_RECEIVERS = 3,
};

uint64_t
gtw_quarantine_caller (const gtw_request_t *r)
{
  bool has_workspace = r->workspace[0] != '\0';
  const char *caller = has_workspace ? r->workspace : r->client->caller;
  return kb_hash (caller, strlen (caller), has_workspace) | 1;
}

/// @return  Ends at which a request has to have been alone to be held.
static uint32_t
min_alone (bool is_plain)
{
  return is_plain ? QRT_MIN_ALONE_AT_PLAIN : QRT_MIN_ALONE_AT_ENGINE;
}

qrt_verdict_t
gtw_quarantine_judge (const gtw_gateway_t *gateway, uint64_t request,
                      uint64_t caller, bool is_plain, uint64_t *hold_ms)
{
  return qrt_judge (&gateway->quarantine, request, caller,
                    min_alone (is_plain), gtw_now_ms (gateway), hold_ms);
}

qrt_verdict_t
gtw_quarantine_check (gtw_request_t *r, uint64_t *hold_ms)
{
  const qrt_table_t *table = &r->gateway->quarantine;
  // The fingerprint is not computed while there are no records.
  if (table->entries.len == 0)
    return QRT_FREE;
  qrt_verdict_t worst = QRT_FREE;
  for (int scope = 0; scope < GTW_SCOPE_COUNT; scope++)
    {
      qrt_verdict_t verdict = gtw_quarantine_judge (
          r->gateway, gtw_request_fingerprint (r, scope),
          gtw_quarantine_caller (r), !r->is_engine, hold_ms);
      if (verdict > worst)
        worst = verdict;
    }
  return worst;
}

uint32_t
gtw_quarantine_patience (gtw_request_t *r)
{
  uint32_t patience = 0;
  for (int scope = 0; scope < GTW_SCOPE_COUNT; scope++)
    {
      uint32_t of_scope = qrt_patience (&r->gateway->quarantine,
                                        gtw_request_fingerprint (r, scope));
      if (of_scope > patience)
        patience = of_scope;
    }
  return patience;
}

static void
send_all_records (gtw_gateway_t *gateway, const gtw_target_t *target)
{
  kb_buf_t records = { 0 };
  qrt_pack (&gateway->quarantine, gtw_now_ms (gateway), &records);
  fwd_send_quarantine (&gateway->host, target->link, &records);
  kb_buf_finish (&records);
}

void
gtw_quarantine_sync_sidecar (gtw_gateway_t *gateway,
                             const gtw_target_t *target)
{
  if (target->quarantine_stamp != qrt_digest (&gateway->quarantine))
    send_all_records (gateway, target);
}

/// Send the record of a request to a few sidecars at once. All gateways send
/// to the same ones, so that these can merge the records of all gateways, and
/// send them to every gateway once they matter.
/// @return  Number of sidecars that it was sent to.
static uint32_t
send_to_receivers (gtw_gateway_t *gateway, uint64_t request)
{
  kb_buf_t records = { 0 };
  qrt_pack_one (&gateway->quarantine, request, gtw_now_ms (gateway), &records);
  uint32_t sent_count = 0;
  uint64_t rank = UINT64_MAX;
  for (const gtw_target_t *t
       = gtw_target_next_receiver (gateway, request, &rank);
       t != NULL && sent_count < IMMEDIATE_RECEIVERS;
       t = gtw_target_next_receiver (gateway, request, &rank))
    {
      fwd_send_quarantine (&gateway->host, t->link, &records);
      sent_count++;
    }
  kb_buf_finish (&records);
  return sent_count;
}

void
gtw_quarantine_publish (gtw_gateway_t *gateway, uint64_t request,
                        bool may_be_held)
{
  if (send_to_receivers (gateway, request) == 0 || may_be_held)
    gtw_records_enqueue (gateway, request);
}

void
gtw_quarantine_merge_records (gtw_gateway_t *gateway, kb_slice_t records)
{
  if (qrt_merge (&gateway->quarantine, records, gtw_now_ms (gateway), NULL))
    return;
  MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
  log_write (LOG_WARN, "gateway", "Ignored malformed quarantine records.");
}

void
gtw_quarantine_mark_served (gtw_gateway_t *gateway, uint64_t request)
{
  uint32_t ends = qrt_count_ends (&gateway->quarantine, request);
  if (qrt_mark_served (&gateway->quarantine, request, gtw_now_ms (gateway)))
    gtw_quarantine_publish (gateway, request, ends >= QRT_ENDS_ALONE);
}
