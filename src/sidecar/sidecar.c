#include "sidecar/sidecar.h"

#include <stdio.h>

#include "relay/turn.h"
#include "sidecar/sidecar_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  GATEWAY_TIMEOUT_MS = 5000,
  /// A gateway whose connection has closed connects again well within this
  /// time, unless its process has ended.
  GATEWAY_CLOSED_MS = 700,
  DEFAULT_SLOTS = 16,
  DEFAULT_ADAPTER_SLOTS = 8,
  /// An engine fetches at most four adapters at a time. One slot is reserved
  /// for an adapter that it held before, which loads in a tenth of the time.
  MAX_LOADING = 4,
  MAX_COLD = 3,
  EXIT_MS = 250,
  PERCENT = 100,
  /// An order is answered within one or two milliseconds, or never when its
  /// answer is lost. The maximum allows for a VM with a starved CPU.
  ORDER_TIMEOUT_MIN_MS = 30,
  ORDER_TIMEOUT_MAX_MS = 400,
};

static bool
is_gateway_lost (const scr_sidecar_t *s, scr_gateway_t *gateway,
                 uint64_t now_ms)
{
  if (plk_link_is_connected (&s->host.link, kb_slice_str (gateway->name)))
    gateway->connected_ms = now_ms;
  return now_ms - gateway->connected_ms >= GATEWAY_CLOSED_MS
         || now_ms - gateway->last_contact_ms >= GATEWAY_TIMEOUT_MS;
}

/// Remove gateways that stopped responding, and send the heartbeat.
static void
check_gateways (void *arg)
{
  scr_sidecar_t *s = arg;
  uint64_t now_ms = scr_now_ms (s);
  for (uint32_t i = 0; i < s->gateway_count;)
    {
      scr_gateway_t *gateway = &s->gateways[i];
      if (!is_gateway_lost (s, gateway, now_ms))
        {
          i++;
          continue;
        }
      log_line_t line;
      if (log_begin (&line, LOG_WARN, "sidecar", "gateway_lost"))
        {
          log_text (&line, "gateway", gateway->name);
          log_int (&line, "silent_ms",
                   (int64_t)(now_ms - gateway->last_contact_ms));
          log_end (&line);
        }
      adm_owner_remove (&s->table, gateway->id);
      *gateway = s->gateways[--s->gateway_count];
    }
  qrt_expire (&s->quarantine, now_ms);
  org_expire (&s->origins, now_ms);
  if (now_ms - s->state_sent_ms >= TRN_HEARTBEAT_MS)
    scr_send_state (s, NULL);
  scr_process_queue (s);
}

static void
on_exit_timer (void *arg)
{
  scr_sidecar_t *s = arg;
  hst_host_exit (&s->host, 0);
}

/// Open requests do not pass through the sidecar; only requests for places are
/// waiting here.
static void
sidecar_on_stop (hst_host_t *host)
{
  scr_sidecar_t *s = (scr_sidecar_t *)host;
  s->table.is_engine_ready = false;
  scr_send_state (s, NULL);
  scr_process_queue (s);
  tmr_start_once (&host->timers, &s->exit_timer, EXIT_MS, on_exit_timer, s);
}

static void
sidecar_on_reload (hst_host_t *host)
{
}

static void
sidecar_on_metrics (hst_host_t *host)
{
  const scr_sidecar_t *s = (const scr_sidecar_t *)host;
  met_set (met_counter ("knapweedbay_places", "state=\"granted\""),
           s->table.granted);
  met_set (met_counter ("knapweedbay_places", "state=\"waiting\""),
           s->table.waiting);
  met_set (met_counter ("knapweedbay_adapters", "state=\"held\""),
           s->table.adapters_held);
  met_set (met_counter ("knapweedbay_adapters", "state=\"coming\""),
           s->table.adapters_loading);
  met_set (met_counter ("knapweedbay_engine_condition", ""), s->condition);
  met_set (met_counter ("knapweedbay_pace_percent", ""),
           (int64_t)(PERCENT * pce_fraction (&s->table.prefill.pace)));
  met_set (met_counter ("knapweedbay_engine_pressed", ""),
           adm_is_saturated (&s->table, scr_now_ms (s)));
  met_set (met_counter ("knapweedbay_gateways", ""), s->gateway_count);
  met_set (met_counter ("knapweedbay_config_revision", ""),
           s->config == NULL ? 0 : (int64_t)s->config->revision);
}

static const hst_role_t sidecar_role
    = { scr_on_message, sidecar_on_stop, sidecar_on_reload,
        sidecar_on_metrics };

scr_sidecar_t *
scr_sidecar_start (const set_settings_t *settings, const char *path,
                   const dpl_deployment_t *deployment, kb_error_t *error)
{
  scr_sidecar_t *s = kb_alloc (sizeof *s);
  *s = (scr_sidecar_t){ .host.settings = *settings,
                        .decode = deployment->decode_config,
                        .condition = MSG_ENGINE_DOWN };
  adm_options_t options = { .slots = DEFAULT_SLOTS,
                            .adapter_slots = DEFAULT_ADAPTER_SLOTS,
                            .max_cold_loads = MAX_COLD,
                            .max_loads_in_progress = MAX_LOADING };
  adm_table_init (&s->table, &options);
  qrt_table_init (&s->quarantine);
  org_table_init (&s->origins);
  rto_init (&s->order_timeout, ORDER_TIMEOUT_MIN_MS, ORDER_TIMEOUT_MAX_MS);
  // Gateways identify a sidecar by the address of its VM alone.
  char link_name[SET_TEXT_BYTES + 16];
  bool is_advertised = settings->advertised_address[0] != '\0';
  snprintf (link_name, sizeof link_name, "%s:%d",
            is_advertised ? settings->advertised_address
                          : settings->listen_address,
            (int)settings->inner_port);
  if (hst_host_init (&s->host, &sidecar_role, s, path, link_name, error)
      != KB_OK)
    return NULL;
  aln_gate_init_running (&s->table.alone, scr_now_ms (s));
  lto_start (&s->late_orders, scr_now_ms (s));
  scr_quota_init (s);
  s->engine = deployment->make_engine (&s->host.pool, settings, error);
  // Without a store address it reads the store for no gateway.
  if (settings->store_address[0] != '\0')
    {
      s->reader = deployment->make_reader (&s->host.pool, settings, error);
      if (s->reader == NULL)
        return NULL;
    }
  uint16_t port = (uint16_t)settings->inner_port;
  if (s->engine == NULL
      || plk_link_bind (&s->host.link, settings->listen_address, &port, error)
             != KB_OK)
    return NULL;
  tmr_start_periodic (&s->host.timers, &s->heartbeat_timer, TRN_HEARTBEAT_MS,
                      check_gateways, s);
  tmr_start_once (&s->host.timers, &s->poll_timer, 0, scr_poll_engine, s);
  return s;
}

int
scr_sidecar_run (scr_sidecar_t *sidecar)
{
  return hst_host_run (&sidecar->host);
}
