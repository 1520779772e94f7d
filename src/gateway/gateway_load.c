/// @file gateway_load.c
/// What the gateway's machine has to carry, and what may be short there:
/// processor, link, memory, descriptors.
#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  REPORT_INTERVAL_MS = 1000,
  /// Lateness of the tick from which on the load is logged.
  LOGGED_LAG_MS = 20,
  BYTES_PER_KB = 1024,
};

/// Bytes that callers have not taken.
typedef struct
{
  uint64_t unsent_bytes;
  uint32_t slow_callers;
} unsent_t;

static unsent_t
count_unsent (const gtw_gateway_t *gateway)
{
  unsent_t sum = { 0 };
  for (const gtw_client_t *c = gateway->clients; c != NULL; c = c->next)
    {
      sum.unsent_bytes += c->conn.unsent_bytes;
      sum.slow_callers += c->conn.unsent_bytes > 0;
    }
  return sum;
}

void
gtw_load_record_tick (gtw_gateway_t *gateway)
{
  gtw_load_t *load = &gateway->load;
  uint64_t now_ms = tmr_now_ms ();
  uint64_t due_ms = load->tick_ms + GTW_TICK_MS;
  if (load->tick_ms > 0 && now_ms > due_ms
      && now_ms - due_ms > load->longest_lag_ms)
    load->longest_lag_ms = now_ms - due_ms;
  load->tick_ms = now_ms;
}

static void
log_load (const gtw_gateway_t *gateway)
{
  const gtw_load_t *load = &gateway->load;
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "gateway", "entry_load"))
    return;
  unsent_t unsent = count_unsent (gateway);
  size_t resident_bytes = 0;
  uv_resident_set_memory (&resident_bytes);
  log_int (&line, "lag_ms", (int64_t)load->longest_lag_ms);
  log_int (&line, "accepted", (int64_t)load->accepted);
  log_int (&line, "clients", gateway->client_count);
  log_int (&line, "requests", gateway->request_count);
  log_int (&line, "target_connections", gateway->host.pool.open_count);
  log_int (&line, "unsent_bytes", (int64_t)unsent.unsent_bytes);
  log_int (&line, "slow_callers", unsent.slow_callers);
  log_int (&line, "resident_kb", (int64_t)resident_bytes / BYTES_PER_KB);
  log_int (&line, "gateways", gateway->gateway_count);
  log_end (&line);
}

static void
report_load (void *arg)
{
  gtw_gateway_t *gateway = arg;
  gtw_load_t *load = &gateway->load;
  met_set (met_counter ("knapweedbay_loop_lag_ms", ""),
           (int64_t)load->longest_lag_ms);
  if (load->longest_lag_ms >= LOGGED_LAG_MS)
    log_load (gateway);
  load->longest_lag_ms = 0;
  load->accepted = 0;
}

void
gtw_load_init (gtw_gateway_t *gateway)
{
  tmr_start_periodic (&gateway->host.timers, &gateway->load.timer,
                      REPORT_INTERVAL_MS, report_load, gateway);
}
