/// @file daemon.h
/// State shared by both roles: the event loop, its services, and the HTTP
/// endpoints that every daemon serves.
#ifndef KB_DAEMON_DAEMON_H
#define KB_DAEMON_DAEMON_H

#include "protocol/settings.h"
#include "relay/accept.h"
#include "transport/httpd.h"
#include "transport/kv.h"
#include "transport/link.h"
#include "transport/timer.h"

enum
{
  DMN_EXIT_OK = 0,
  DMN_EXIT_SETTINGS = 2,     ///< The settings are invalid.
  DMN_EXIT_START_FAILED = 3, ///< A port or service failed to open.
  DMN_EXIT_DRAIN_LIMIT = 4,  ///< The drain limit aborted requests.
};

typedef struct dmn_daemon dmn_daemon_t;

/// Callbacks that a role implements.
typedef struct
{
  /// A request for a path that the daemon itself doesn't serve.
  void (*on_request) (dmn_daemon_t *daemon, hts_request_t *request);
  /// The client closed the connection before the reply was complete.
  void (*on_abort) (dmn_daemon_t *daemon, hts_request_t *request);
  /// Stop accepting work. The role calls dmn_exit once it has drained.
  void (*on_drain) (dmn_daemon_t *daemon);
  bool (*is_ready) (dmn_daemon_t *daemon);
  /// Append the role's members to the status document, each with a leading
  /// comma.
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
  acc_accept_t accept; ///< Of callers' connections.
  lnk_link_t link;
  kvc_client_t kv;
  kb_account_t memory; ///< Of what callers and peers make this process hold.
  uint16_t inner_port;
  uint64_t incarnation;
  uint64_t attempt_base; ///< Random upper half of attempt ids.
  uint32_t attempt_count;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  bool is_draining;
  int exit_code;
};

/// Open the ports and print the ready line with the port numbers.
/// @return  KB_EINVAL for an invalid setting; another error if a port or
///          service cannot be opened.
kb_status_t dmn_init (dmn_daemon_t *daemon, const dmn_role_t *role,
                      const lnk_events_t *link_events, void *role_state,
                      kb_error_t *error);
/// Run the event loop until dmn_exit.
/// @return  The exit code.
int dmn_run (dmn_daemon_t *daemon);
/// Stop the event loop.
void dmn_exit (dmn_daemon_t *daemon, int exit_code);
/// Begin a drain. Does nothing if one is in progress.
void dmn_drain (dmn_daemon_t *daemon);
/// @return  64 bits from the system's random source.
uint64_t dmn_random (void);
/// @return  A new attempt id, unique across daemons and restarts.
uint64_t dmn_new_attempt_id (dmn_daemon_t *daemon);
/// @return  Hash of this daemon's name.
uint64_t dmn_own_id (const dmn_daemon_t *daemon);
/// @return  Hash of a daemon's name.
uint64_t dmn_name_id (kb_slice_t name);
/// @return  Whether there is memory for that many bytes more of a request.
///          A part is kept for small requests.
bool dmn_has_memory (const dmn_daemon_t *daemon, size_t bytes);
/// Send a message to a peer.
/// @param peer  Name of the peer.
kb_status_t dmn_send (dmn_daemon_t *daemon, const char *peer,
                      const msg_t *msg);
/// Reply with a JSON error document and the outcome header.
/// @param outcome         Name of the outcome, such as "not_run".
/// @param retry_after_ms  Value of the Retry-After headers; zero: no headers.
void dmn_reply_error (hts_request_t *request, int http_status,
                      const char *outcome, const char *message,
                      uint64_t retry_after_ms);

#endif
