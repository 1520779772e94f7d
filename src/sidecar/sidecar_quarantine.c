/// @file sidecar_quarantine.c
/// Keeps and forwards the gateways' records of requests during which targets
/// ended. Gateways are not connected to each other and lose their records
/// when they restart.
#include "relay/forward.h"
#include "relay/turn.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// A gateway without records has just started, and its first requests may
  /// arrive before any sidecar's turn to sync it. About this many sidecars
  /// send their records at once.
  INITIAL_SYNC_SIDECARS = 16,
};

/// Send new records to all gateways, including the sender: merged with those
/// of other gateways they may contain more than it reported.
static void
send_to_gateways (scr_sidecar_t *s, const kb_buf_t *new_records)
{
  for (uint32_t i = 0; i < s->gateway_count; i++)
    fwd_send_quarantine (&s->host, s->gateways[i].name, new_records);
}

void
scr_quarantine_receive (scr_sidecar_t *s, kb_slice_t records)
{
  kb_buf_t new_records = { 0 };
  if (!qrt_merge (&s->quarantine, records, scr_now_ms (s), &new_records))
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
      log_write (LOG_WARN, "sidecar", "Ignored malformed quarantine records.");
    }
  send_to_gateways (s, &new_records);
  kb_buf_finish (&new_records);
}

static bool
is_own_turn (const scr_sidecar_t *s, const scr_gateway_t *gateway,
             uint64_t stamp)
{
  uint64_t own_id = scr_name_id (kb_slice_str (s->host.settings.name));
  if (stamp != 0)
    return trn_has_turn (own_id, gateway->id, s->engine_count, scr_now_ms (s));
  uint64_t ids[2] = { own_id, gateway->id };
  return s->engine_count <= INITIAL_SYNC_SIDECARS
         || kb_hash (ids, sizeof ids, 0) % s->engine_count
                < INITIAL_SYNC_SIDECARS;
}

void
scr_quarantine_sync_gateway (scr_sidecar_t *s, const scr_gateway_t *gateway,
                             uint64_t stamp)
{
  if (qrt_digest (&s->quarantine) == stamp || !is_own_turn (s, gateway, stamp))
    return;
  kb_buf_t records = { 0 };
  qrt_pack (&s->quarantine, scr_now_ms (s), &records);
  fwd_send_quarantine (&s->host, gateway->name, &records);
  kb_buf_finish (&records);
}
