#include "relay/host.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "transport/log.h"
#include "transport/memlimit.h"
#include "transport/metrics.h"

enum
{
  LOG_FLUSH_INTERVAL_MS = 250,
  /// Period of the check for a settings file that changed without a signal.
  SETTINGS_CHECK_INTERVAL_MS = 2000,
};

static void
link_on_message (plk_link_t *link, kb_slice_t peer, const msg_t *msg)
{
  hst_host_t *host = link->owner;
  host->role->on_message (host, peer, msg);
}

static void
apply_memory_settings (hst_host_t *host)
{
  host->memory.limit_bytes
      = mlm_peer_limit_bytes ((uint64_t)host->settings.memory_mb);
}

static const plk_events_t link_events = { link_on_message };

static uint64_t
file_stamp (const char *path)
{
  struct stat st;
  if (stat (path, &st) != 0)
    return 0;
  uint64_t parts[3] = { (uint64_t)st.st_mtim.tv_sec,
                        (uint64_t)st.st_mtim.tv_nsec, (uint64_t)st.st_size };
  return kb_hash (parts, sizeof parts, 0);
}

static void
apply_log_settings (const hst_host_t *host)
{
  log_level_t level;
  if (log_level_parse (host->settings.log_level, &level) == KB_OK)
    log_level_set (level);
  log_configure (host->settings.name,
                 (uint32_t)host->settings.log_lines_per_s);
}

/// Read the settings again. With an invalid file the current ones stay in
/// force.
static void
host_reload (hst_host_t *host)
{
  set_settings_t reloaded;
  kb_error_t error = { 0 };
  host->settings_stamp = file_stamp (host->settings_path);
  if (set_load_file (host->settings_path, &reloaded, &error) != KB_OK)
    {
      log_write (LOG_ERROR, "settings",
                 "Reload failed, current settings stay in force: %s.",
                 error.message);
      return;
    }
  host->settings = reloaded;
  apply_log_settings (host);
  apply_memory_settings (host);
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "daemon", "reload"))
    {
      log_text (&line, "settings", host->settings_path);
      log_end (&line);
    }
  host->role->on_reload (host);
}

static void
host_check_settings (void *arg)
{
  hst_host_t *host = arg;
  if (file_stamp (host->settings_path) != host->settings_stamp)
    host_reload (host);
}

static void
host_on_signal (uv_signal_t *handle, int number)
{
  hst_host_t *host = handle->data;
  if (number == SIGHUP)
    {
      host_reload (host);
      return;
    }
  if (host->is_stopping)
    return;
  host->is_stopping = true;
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "daemon", "stop_begins"))
    {
      log_int (&line, "signal", number);
      log_end (&line);
    }
  host->role->on_stop (host);
}

static void
host_start_signals (hst_host_t *host)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
  signal (SIGPIPE, SIG_IGN);
  for (int i = 0; i < 3; i++)
    {
      uv_signal_init (&host->loop, &host->signals[i]);
      host->signals[i].data = host;
      uv_signal_start (&host->signals[i], host_on_signal, numbers[i]);
    }
}

static int
host_serve_page (void *owner, kb_slice_t path, kb_buf_t *body)
{
  hst_host_t *host = owner;
  if (!kb_slice_equal (path, kb_slice_str ("/metrics")))
    return 404;
  host->role->on_metrics (host);
  size_t rss_bytes = 0;
  uv_resident_set_memory (&rss_bytes);
  met_set (met_counter ("knapweedbay_resident_bytes", ""), (int64_t)rss_bytes);
  met_set (met_counter ("knapweedbay_log_lines_left_out_total", ""),
           (int64_t)log_dropped_count ());
  met_set (met_counter ("knapweedbay_connections_opened_total", ""),
           (int64_t)host->pool.opened_total);
  met_write (body);
  return 200;
}

static kb_status_t
host_start_metrics (hst_host_t *host, kb_error_t *error)
{
  const set_settings_t *s = &host->settings;
  if (s->metrics_port == 0)
    return KB_OK;
  struct sockaddr_in address;
  if (uv_ip4_addr (s->listen_address, (int)s->metrics_port, &address) != 0)
    return kb_error_set (error, KB_EINVAL,
                         "\"listen_address\": \"%s\" is not an IPv4 address",
                         s->listen_address);
  return pgs_server_init (&host->metrics, &host->loop, &address,
                          host_serve_page, host, error);
}

static void
host_flush (void *arg)
{
  log_flush ();
}

kb_status_t
hst_host_init (hst_host_t *host, const hst_role_t *role, void *state,
               const char *settings_path, const char *link_name,
               kb_error_t *error)
{
  host->role = role;
  host->state = state;
  host->settings_path = settings_path;
  host->settings_stamp = file_stamp (settings_path);
  apply_log_settings (host);
  apply_memory_settings (host);
  uv_loop_init (&host->loop);
  tmr_service_init (&host->timers, &host->loop);
  blk_queue_init (&host->bulk, &host->loop);
  host->pool = (xch_pool_t){ .loop = &host->loop,
                             .timers = &host->timers,
                             .bulk = &host->bulk,
                             .account = &host->memory };
  uv_random (NULL, NULL, &host->incarnation, sizeof host->incarnation, 0,
             NULL);
  srand ((unsigned)host->incarnation);
  plk_link_init (&host->link, &host->loop, &host->timers, &link_events, host,
                 link_name);
  kb_status_t status = host_start_metrics (host, error);
  if (status != KB_OK)
    return status;
  host_start_signals (host);
  tmr_start_periodic (&host->timers, &host->flush_timer, LOG_FLUSH_INTERVAL_MS,
                      host_flush, host);
  tmr_start_periodic (&host->timers, &host->reload_timer,
                      SETTINGS_CHECK_INTERVAL_MS, host_check_settings, host);
  return KB_OK;
}

int
hst_host_run (hst_host_t *host)
{
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "daemon", "start"))
    {
      log_text (&line, "role", host->settings.role_name);
      log_text (&line, "failure_domain", host->settings.failure_domain);
      log_end (&line);
    }
  log_flush ();
  uv_run (&host->loop, UV_RUN_DEFAULT);
  log_flush ();
  return host->exit_code;
}

void
hst_host_exit (hst_host_t *host, int exit_code)
{
  host->exit_code = exit_code;
  log_line_t line;
  if (log_begin (&line, LOG_INFO, "daemon", "stop"))
    {
      log_int (&line, "exit_code", exit_code);
      log_end (&line);
    }
  uv_stop (&host->loop);
}

kb_status_t
hst_send (hst_host_t *host, const char *peer, const msg_t *msg)
{
  return plk_link_send (&host->link, kb_slice_str (peer), msg);
}
