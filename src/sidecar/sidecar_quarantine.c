/// @file sidecar_quarantine.c
/// What gateways know of requests under which targets ended, kept and passed
/// on. Gateways have no links among each other, and forget when they restart.
#include "relay/forward.h"
#include "relay/turn.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// A gateway that knows nothing has just started, and its first requests may
  /// come before anybody's turn: about this many give it what they know.
  GIVERS_AT_START = 16,
};

/// All gateways get what is new at once, also the one that told: joined with
/// what others saw it may say more.
static void
tell_all (scr_sidecar_t *s, const kb_buf_t *fresh)
{
  for (uint32_t i = 0; i < s->gateway_count; i++)
    fwd_send_quarantine (&s->host, s->gateways[i].name, fresh);
}

void
scr_quarantine_take (scr_sidecar_t *s, kb_slice_t words)
{
  kb_buf_t fresh = { 0 };
  if (!qrt_take (&s->quarantine, words, scr_now_ms (s), &fresh))
    {
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"malformed\"");
      log_write (LOG_WARN, "sidecar",
                 "A word about requests that end targets is ignored.");
    }
  tell_all (s, &fresh);
  kb_buf_finish (&fresh);
}

static bool
is_my_turn (const scr_sidecar_t *s, const scr_gateway_t *gateway,
            uint64_t stamp)
{
  uint64_t own = scr_name_id (kb_slice_str (s->host.settings.name));
  if (stamp != 0)
    return trn_has_turn (own, gateway->id, s->engine_count, scr_now_ms (s));
  uint64_t parts[2] = { own, gateway->id };
  return s->engine_count <= GIVERS_AT_START
         || kb_hash (parts, sizeof parts, 0) % s->engine_count
                < GIVERS_AT_START;
}

void
scr_quarantine_help (scr_sidecar_t *s, const scr_gateway_t *gateway,
                     uint64_t stamp)
{
  if (qrt_stamp (&s->quarantine) == stamp || !is_my_turn (s, gateway, stamp))
    return;
  kb_buf_t words = { 0 };
  qrt_pack (&s->quarantine, scr_now_ms (s), &words);
  fwd_send_quarantine (&s->host, gateway->name, &words);
  kb_buf_finish (&words);
}
