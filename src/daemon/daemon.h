/// @file daemon.h
/// What both roles share: the loop, the services on it, and the HTTP pages
/// that every daemon has.
#ifndef KB_DAEMON_DAEMON_H
#define KB_DAEMON_DAEMON_H

#include "protocol/settings.h"
#include "transport/httpd.h"
#include "transport/kv.h"
#include "transport/link.h"
#include "transport/timer.h"

enum
{
  DMN_EXIT_OK = 0,
  DMN_EXIT_SETTINGS = 2,     ///< The settings were refused.
  DMN_EXIT_START_FAILED = 3, ///< A port or service could not be had.
  DMN_EXIT_DRAIN_LIMIT = 4,  ///< The drain limit cut requests in progress.
};

typedef struct dmn_daemon dmn_daemon_t;

/// What a role provides.
typedef struct
{
  /// A request for a page of the role's own.
  void (*on_request) (dmn_daemon_t *daemon, hts_request_t *request);
  void (*on_abort) (dmn_daemon_t *daemon, hts_request_t *request);
  /// Stop taking work; the role calls dmn_exit when it is done.
  void (*on_drain) (dmn_daemon_t *daemon);
  bool (*is_ready) (dmn_daemon_t *daemon);
  /// Append the members of the status document.
  void (*write_status) (dmn_daemon_t *daemon, kb_buf_t *out);
} dmn_role_t;

struct dmn_daemon
{
  const dmn_role_t *role;
  void *role_state;
  set_settings_t settings;
  uv_loop_t loop;
  tmr_service_t timers;
  htc_client_t http;
  hts_server_t server;
  lnk_link_t link;
  kvc_client_t kv;
  uint16_t inner_port;
  uint64_t incarnation;
  uint64_t attempt_base;
  uint32_t attempt_count;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  bool is_draining;
  int exit_code;
};

/// Open the ports and print the ready line with their numbers.
kb_status_t dmn_init (dmn_daemon_t *daemon, const dmn_role_t *role,
                      const lnk_events_t *link_events, void *role_state,
                      kb_error_t *error);
/// Run until dmn_exit.
/// @return  The exit code.
int dmn_run (dmn_daemon_t *daemon);
void dmn_exit (dmn_daemon_t *daemon, int exit_code);
/// Begin a drain, once.
void dmn_drain (dmn_daemon_t *daemon);
uint64_t dmn_random (void);
/// A new attempt id, unique over daemons and restarts.
uint64_t dmn_new_attempt_id (dmn_daemon_t *daemon);
/// @return  Hash of the daemon's name, as others know it.
uint64_t dmn_own_id (const dmn_daemon_t *daemon);
/// @return  Hash of a daemon's name.
uint64_t dmn_name_id (kb_slice_t name);
/// Send to a peer by name.
kb_status_t dmn_send (dmn_daemon_t *daemon, const char *peer,
                      const msg_t *msg);
/// Reply with an error document and the outcome header.
/// @param outcome         Name of the outcome, such as "not_run".
/// @param retry_after_ms  Zero: no Retry-After header.
void dmn_reply_error (hts_request_t *request, int http_status,
                      const char *outcome, const char *message,
                      uint64_t retry_after_ms);

#endif
