/// @file host.h
/// Runtime of both relay roles: the event loop and its services, signals,
/// reload of the settings, the metrics page and the log.
#ifndef KB_RELAY_HOST_H
#define KB_RELAY_HOST_H

#include "protocol/settings.h"
#include "transport/exchange.h"
#include "transport/pages.h"
#include "transport/peerlink.h"

typedef struct hst_host hst_host_t;

/// Callbacks of a role.
typedef struct
{
  void (*on_message) (hst_host_t *host, kb_slice_t peer, const msg_t *msg);
  /// Called once, at the first SIGTERM or SIGINT.
  void (*on_stop) (hst_host_t *host);
  /// Called after new valid settings were read.
  void (*on_reload) (hst_host_t *host);
  /// Sets gauges before the metrics page is written.
  void (*on_metrics) (hst_host_t *host);
} hst_role_t;

struct hst_host
{
  const hst_role_t *role;
  void *state;
  const char *settings_path;
  set_settings_t settings;
  uv_loop_t loop;
  tmr_service_t timers;
  blk_queue_t bulk;
  xch_pool_t pool;
  plk_link_t link;
  pgs_server_t metrics;
  kb_account_t memory; ///< Of what callers and peers make this process hold.
  uv_signal_t signals[3];
  tmr_timer_t flush_timer;
  tmr_timer_t reload_timer;
  uint64_t settings_stamp; ///< Hash of the file's mtime and size.
  uint64_t incarnation;
  bool is_stopping;
  int exit_code;
};

/// @param link_name  Name of this process on the inner links.
kb_status_t hst_host_init (hst_host_t *host, const hst_role_t *role,
                           void *state, const char *settings_path,
                           const char *link_name, kb_error_t *error);
/// Run the event loop until hst_host_exit.
/// @return  The exit code.
int hst_host_run (hst_host_t *host);
void hst_host_exit (hst_host_t *host, int exit_code);
/// Queue a message to a peer.
kb_status_t hst_send (hst_host_t *host, const char *peer, const msg_t *msg);
static inline uint64_t
hst_now_ms (const hst_host_t *host)
{
  return uv_now (&host->loop);
}

#endif
