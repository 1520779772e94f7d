#include "coordination/quota_gateways.h"

#include <stdlib.h>

enum
{
  /// Gateways report every second. One that is later than this may be cut off,
  /// and uses another lender 0.9 s after its last contact with this one.
  CONTACT_TIMEOUT_MS = 1300,
  REPORT_TTL_MS = 2500,
  /// A gateway that has stopped for good is counted for this long, since its
  /// share could be in use on the other side of a network partition.
  PEAK_TTL_MS = 60000,
};

void
qgw_peak_merge (qgw_peak_t *peak, uint32_t count, uint64_t age_ms,
                uint64_t now_ms)
{
  if (age_ms > PEAK_TTL_MS || age_ms > now_ms)
    return;
  uint64_t seen_ms = now_ms - age_ms;
  bool has_expired = now_ms - peak->seen_ms > PEAK_TTL_MS;
  bool is_later = count == peak->count && seen_ms > peak->seen_ms;
  if (count > peak->count || has_expired || is_later)
    *peak = (qgw_peak_t){ count, seen_ms };
}

void
qgw_init (qgw_table_t *table, uint64_t now_ms)
{
  *table = (qgw_table_t){ .evicted_ms = now_ms, .last_missing_ms = now_ms };
}

/// Time of the last report of a workspace.
typedef struct
{
  uint64_t at_ms;
} report_t;

static void
clear_reported (qgw_table_t *table)
{
  uint32_t at = 0;
  for (report_t *n = kb_map_next (&table->reported, &at); n != NULL;
       n = kb_map_next (&table->reported, &at))
    free (n);
  kb_map_finish (&table->reported);
  table->reported = (kb_map_t){ 0 };
}

static void
record_reported (qgw_table_t *table, uint64_t workspace, uint64_t now_ms)
{
  report_t *reported = kb_map_get (&table->reported, workspace);
  if (reported == NULL && table->reported.len >= QGW_MAX_REPORTED)
    {
      clear_reported (table);
      table->evicted_ms = now_ms;
    }
  if (reported == NULL)
    {
      reported = kb_alloc (sizeof *reported);
      kb_map_put (&table->reported, workspace, reported);
    }
  reported->at_ms = now_ms;
}

static uint64_t
sole_lender_for_ms (const qgw_table_t *table, uint64_t workspace,
                    uint64_t now_ms)
{
  const report_t *reported = kb_map_get (&table->reported, workspace);
  uint64_t since_ms = table->evicted_ms;
  if (reported != NULL && reported->at_ms > since_ms)
    since_ms = reported->at_ms;
  if (table->last_missing_ms > since_ms)
    since_ms = table->last_missing_ms;
  return now_ms - since_ms;
}

void
qgw_finish (qgw_table_t *table)
{
  for (uint32_t i = 0; i < table->gateway_count; i++)
    free (table->gateways[i].workspaces);
  free (table->gateways);
  clear_reported (table);
  *table = (qgw_table_t){ 0 };
}

static bool
is_reachable (const qgw_gateway_t *gateway, uint64_t now_ms)
{
  return now_ms - gateway->last_contact_ms <= CONTACT_TIMEOUT_MS;
}

/// Also updates the peak, and the time at which a gateway was last missing.
/// @return  How many gateways are reachable now.
static uint32_t
count_reachable (qgw_table_t *table, uint64_t now_ms)
{
  uint32_t reachable = 0;
  for (uint32_t i = 0; i < table->gateway_count; i++)
    reachable += is_reachable (&table->gateways[i], now_ms);
  qgw_peak_merge (&table->peak, reachable > 0 ? reachable : 1, 0, now_ms);
  if (reachable < table->peak.count)
    table->last_missing_ms = now_ms;
  return reachable;
}

/// @return  Index of a gateway; without one that of an expired entry, or else
///          the first index after the array.
static uint32_t
slot_of (const qgw_table_t *table, uint64_t id, uint64_t now_ms)
{
  uint32_t unused = table->gateway_count;
  for (uint32_t i = 0; i < table->gateway_count; i++)
    {
      const qgw_gateway_t *gateway = &table->gateways[i];
      if (gateway->id == id)
        return i;
      bool has_expired = now_ms - gateway->last_contact_ms > PEAK_TTL_MS;
      if (has_expired && unused == table->gateway_count)
        unused = i;
    }
  return unused;
}

uint32_t
qgw_record_contact (qgw_table_t *table, uint64_t gateway_id, uint64_t now_ms)
{
  uint32_t slot = slot_of (table, gateway_id, now_ms);
  if (slot == QGW_MAX_GATEWAYS)
    return slot;
  if (slot == table->gateway_count)
    {
      table->gateways = kb_realloc (
          table->gateways, ++table->gateway_count * sizeof *table->gateways);
      table->gateways[slot] = (qgw_gateway_t){ .id = gateway_id };
    }
  qgw_gateway_t *gateway = &table->gateways[slot];
  if (gateway->id != gateway_id)
    {
      gateway->id = gateway_id;
      gateway->workspace_count = 0;
    }
  else if (gateway->last_contact_ms > 0 && !is_reachable (gateway, now_ms))
    table->last_missing_ms = now_ms;
  gateway->last_contact_ms = now_ms;
  return slot;
}

bool
qgw_record_served_elsewhere (qgw_table_t *table, uint64_t gateway_id,
                             kb_slice_t packed, uint64_t now_ms)
{
  uint32_t count = packed.len_bytes / (uint32_t)sizeof (uint64_t);
  if (packed.len_bytes % sizeof (uint64_t) != 0 || count > QGW_MAX_WORKSPACES)
    return false;
  uint32_t slot = qgw_record_contact (table, gateway_id, now_ms);
  if (slot == QGW_MAX_GATEWAYS)
    return true;
  qgw_gateway_t *gateway = &table->gateways[slot];
  gateway->workspace_count = count;
  gateway->reported_ms = now_ms;
  count_reachable (table, now_ms);
  if (count == 0)
    return true;
  gateway->workspaces = kb_realloc (gateway->workspaces, packed.len_bytes);
  memcpy (gateway->workspaces, packed.ptr, packed.len_bytes);
  for (uint32_t i = 0; i < count; i++)
    record_reported (table, gateway->workspaces[i], now_ms);
  return true;
}

static bool
has_reported (const qgw_gateway_t *gateway, uint64_t workspace,
              uint64_t now_ms)
{
  if (gateway->workspace_count == 0
      || now_ms - gateway->reported_ms > REPORT_TTL_MS)
    return false;
  for (uint32_t i = 0; i < gateway->workspace_count; i++)
    if (gateway->workspaces[i] == workspace)
      return true;
  return false;
}

qgw_share_t
qgw_share (qgw_table_t *table, uint64_t workspace, uint64_t requester,
           uint64_t now_ms)
{
  qgw_share_t share = { 0 };
  for (uint32_t i = 0; i < table->gateway_count; i++)
    {
      const qgw_gateway_t *gateway = &table->gateways[i];
      if (gateway->id == requester
          || !has_reported (gateway, workspace, now_ms))
        continue;
      qgw_set_add (&share.served_elsewhere, i);
      share.is_contested = true;
    }
  uint32_t reachable = count_reachable (table, now_ms);
  share.sole_lender_ms = sole_lender_for_ms (table, workspace, now_ms);
  share.total_fraction = (double)reachable / table->peak.count;
  share.gateway_fraction = 1.0 / table->peak.count;
  return share;
}
