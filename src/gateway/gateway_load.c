/// @file gateway_load.c
/// What the gateway's machine has to carry, and what may be short there:
/// processor, link, memory, descriptors.
#include <sys/resource.h>

#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/memlimit.h"
#include "transport/metrics.h"

enum
{
  REPORT_INTERVAL_MS = 1000,
  /// Lateness of the tick from which on the load is logged.
  LOGGED_LAG_MS = 20,
  BYTES_PER_KB = 1024,
  /// Descriptors for files, the store, pages, and each link to a sidecar.
  RESERVED_DESCRIPTORS = 232,
  DESCRIPTORS_PER_LINK = 2,
  /// Share of the machine's memory up to which callers are accepted.
  MAX_RESIDENT_PERCENT = 80,
  PERCENT = 100,
  MIN_CALLERS_FOR_MEMORY = 64,
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

/// @return  Whether there are descriptors and memory for more callers.
static bool
has_room (const void *owner)
{
  const gtw_gateway_t *gateway = owner;
  uint32_t clients = gateway->client_count + ITK_BATCH;
  uint32_t targets = gateway->host.pool.open_count;
  // Each caller may need a connection to a target at once.
  uint32_t wanted = RESERVED_DESCRIPTORS
                    + DESCRIPTORS_PER_LINK * gateway->links.len + clients
                    + (targets > clients ? targets : clients);
  bool has_descriptors = wanted <= gateway->load.max_descriptors;
  return has_descriptors && !gateway->load.is_memory_short;
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
  log_int (&line, "turned_away", gateway->accept.turned_away);
  log_int (&line, "is_path_slow",
           itk_is_path_slow (&gateway->accept.intake, tmr_now_ms ()));
  log_int (&line, "rate_limit", (int64_t)gateway->accept.intake.rate_per_s);
  log_int (&line, "has_room", gateway->accept.intake.has_room);
  log_int (&line, "clients", gateway->client_count);
  log_int (&line, "requests", gateway->request_count);
  log_int (&line, "target_connections", gateway->host.pool.open_count);
  log_int (&line, "unsent_bytes", (int64_t)unsent.unsent_bytes);
  log_int (&line, "slow_callers", unsent.slow_callers);
  log_int (&line, "resident_kb", (int64_t)resident_bytes / BYTES_PER_KB);
  log_int (&line, "gateways", gateway->gateway_count);
  log_end (&line);
}

/// Log when the gateway begins or ceases to say that it is not ready.
static void
log_short (gtw_gateway_t *gateway)
{
  bool is_short = itk_is_short (&gateway->accept.intake, tmr_now_ms ());
  if (is_short == gateway->load.was_short)
    return;
  gateway->load.was_short = is_short;
  log_line_t line;
  if (log_begin (&line, LOG_WARN, "gateway",
                 is_short ? "entry_short" : "entry_sufficient"))
    log_end (&line);
}

/// The memory of a process is read from the system, so it is looked at only
/// when callers are connected.
static void
check_memory (gtw_gateway_t *gateway)
{
  gateway->load.is_memory_short = false;
  size_t resident_bytes = 0;
  if (gateway->client_count < MIN_CALLERS_FOR_MEMORY
      || uv_resident_set_memory (&resident_bytes) != 0)
    return;
  uint64_t max_bytes
      = mlm_machine_bytes ((uint64_t)gateway->host.settings.memory_mb);
  gateway->load.is_memory_short
      = resident_bytes > max_bytes / PERCENT * MAX_RESIDENT_PERCENT;
}

static void
report_load (void *arg)
{
  gtw_gateway_t *gateway = arg;
  gtw_load_t *load = &gateway->load;
  met_set (met_counter ("knapweedbay_loop_lag_ms", ""),
           (int64_t)load->longest_lag_ms);
  if (load->longest_lag_ms >= LOGGED_LAG_MS || gateway->accept.turned_away > 0)
    log_load (gateway);
  log_short (gateway);
  check_memory (gateway);
  load->longest_lag_ms = 0;
  gateway->accept.turned_away = 0;
  load->accepted = 0;
}

static void
pool_on_path (void *owner, uint64_t took_us)
{
  gtw_gateway_t *gateway = owner;
  itk_record_path (&gateway->accept.intake, took_us, tmr_now_ms ());
}

void
gtw_load_init (gtw_gateway_t *gateway)
{
  struct rlimit limit;
  gateway->load.max_descriptors = UINT32_MAX;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < UINT32_MAX)
    gateway->load.max_descriptors = (uint32_t)limit.rlim_cur;
  gateway->host.pool.on_path = pool_on_path;
  gateway->host.pool.on_over_limit = gateway->on_over_limit;
  gateway->host.pool.owner = gateway;
  gateway->accept.has_room = has_room;
  gateway->accept.owner = gateway;
  tmr_start_periodic (&gateway->host.timers, &gateway->load.timer,
                      REPORT_INTERVAL_MS, report_load, gateway);
}
