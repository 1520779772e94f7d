/// @file gateway_defs.h
/// State of the gateway, shared by its source files.
#ifndef KB_GATEWAY_GATEWAY_DEFS_H
#define KB_GATEWAY_GATEWAY_DEFS_H

#include "coordination/alone.h"
#include "coordination/backpressure.h"
#include "coordination/budget.h"
#include "coordination/eventseq.h"
#include "coordination/origins.h"
#include "coordination/software.h"
#include "coordination/parts.h"
#include "coordination/place.h"
#include "coordination/quarantine.h"
#include "gateway/gateway.h"
#include "gateway/gateway_quota.h"
#include "gateway/recent.h"
#include "gateway/source.h"
#include "coordination/rewrite.h"
#include "coordination/rto.h"
#include "relay/accept.h"
#include "relay/host.h"
#include "relay/versions.h"
#include "transport/relay.h"
#include "transport/respscan.h"

enum
{
  GTW_TICK_MS = 100, ///< Interval of the checks of clients, targets and links.
  GTW_MAX_EXCLUDED_TARGETS = 8,
  /// Retry-After of a stopping gateway: short, since another gateway serves
  /// the retry.
  GTW_STOP_RETRY_AFTER_MS = 100,
  GTW_HTTP_UNAVAILABLE = 503,
  GTW_ID_BYTES = 64,
  GTW_MAX_BROKEN_ATTEMPTS = 256,
  GTW_MAX_UNCONFIRMED_ATTEMPTS = GTW_MAX_BROKEN_ATTEMPTS,
  GTW_MAX_SUSPECT_ATTEMPTS
  = GTW_MAX_BROKEN_ATTEMPTS + GTW_MAX_UNCONFIRMED_ATTEMPTS,
  GTW_MAX_ORIGIN_ASKED = 8,
  /// Services whose streams may be continued; with that many, all count.
  GTW_MAX_STREAMED_SERVICES = 64,
  GTW_MAX_EVENT_STEPS = 64,
  GTW_MAX_ROUTE_DURATIONS = 64,
  GTW_MAX_QUEUED_RECORDS = 32,
  /// Two heartbeat intervals of a sidecar plus some delay. After a longer
  /// silence the engine may have died.
  GTW_MAX_REPORT_AGE_MS = 900,
};

/// Scopes of a request's fingerprint (relay/fingerprint.h).
enum
{
  GTW_SCOPE_ANY_ADAPTER, ///< Ignores the adapter.
  GTW_SCOPE_ONE_ADAPTER, ///< Includes the adapter.
  GTW_SCOPE_COUNT,
};

/// Refusal of a request before it is dispatched; status zero: not refused.
typedef struct
{
  int http_status;
  const char *reason;
} gtw_refusal_t;

typedef struct gtw_client gtw_client_t;

/// State that a target advertises in the header fields of its answers.
typedef struct
{
  inc_t identity;    ///< The incarnation that advertised it.
  bkp_limit_t limit; ///< Times by the boot clock.
  bool is_leaving;
  uint64_t paused_until_ms; ///< Accepts no request before; boot clock.
} gtw_advertised_t;

/// A target that is listed, still has requests or connections, or is
/// remembered.
typedef struct
{
  src_target_t list_entry;   ///< Newest entry of the target list.
  inc_tracker_t known_birth; ///< Identifies the incarnation.
  uint64_t key;          ///< Unique per incarnation; a later one's is larger.
  uint64_t address_hash; ///< The same after a restart of the target.
  uint64_t service_key;  ///< gtw_service_key of its service.
  uint64_t software_key; ///< Hash of its software version; zero: unknown.
  uint64_t instance_key; ///< Hash of the listed incarnation.
  xch_peer_t peer;
  /// Of health requests: their answers have no id, and a second one must not
  /// be taken for that of a request.
  xch_peer_t health_peer;
  bool is_listed;
  uint64_t unlisted_ms; ///< When its entry disappeared; zero: it is listed, or
                        ///< another incarnation is listed under its id.
  uint32_t active;      ///< Requests of this gateway at the target.
  double failure_rate;  ///< Decaying share of failed requests, 0 to 1.
  uint64_t failure_rate_ms; ///< Last update of `failure_rate`.

  // Sidecar of an engine.
  bool is_linked;
  char link[64]; ///< Name of the sidecar on the inner links.
  uint64_t linked_ms;
  uint64_t last_contact_ms;  ///< Last report of the sidecar; zero: none yet.
  uint64_t contact_since_ms; ///< Start of uninterrupted contact with the
                             ///< sidecar, boot clock; zero: no contact now.
  uint64_t contact_lost_ms;  ///< When contact was lost last, boot clock; zero:
                             ///< never.
  uint64_t changes_request_failed_ms; ///< Last failed request to the sidecar
                                      ///< for store changes; zero: none.
  uint64_t state_sent_ms;             ///< Last gateway state sent to it.
  uint64_t sidecar_incarnation;
  uint64_t sidecar_revision;
  uint64_t config_missing_since_ms; ///< Since when it lacks the current
                                    ///< configuration; zero: it has it.
  uint64_t sidecar_versions;
  msg_engine_condition_t condition;
  bool is_closed;    ///< Its sidecar has said so since its last report.
  uint64_t ready_ms; ///< When it was last reported ready; zero: never.
  uint32_t slots;
  uint32_t granted;
  uint32_t waiting;
  uint32_t requests_since_report; ///< Places requested since the last report.
  double tokens_since_report;     ///< Prompt tokens of those requests.
  double backlog_ms;     ///< Prefill time of the prompts queued there.
  double load_wait_ms;   ///< Time until an adapter not held would be loaded.
  double mean_hold_ms;   ///< Mean time that a place is held.
  double start_wait_ms;  ///< Until its rate limit allows one more start.
  double start_every_ms; ///< Interval of starts at its rate limit; zero: none.
  double tokens_per_ms;  ///< Prefill rate.
  uint64_t list_stamp;   ///< Hash of `adapters`, as the sidecar states it.
  msg_engine_adapter_t *adapters;
  uint32_t adapter_count;
  rct_adapters_t recent_adapters; ///< Adapters that it held recently.
  inc_t reported_engine; ///< Engine that the sidecar's last report was about.
  uint64_t quarantine_stamp;   ///< Of the sidecar's quarantine table.
  org_packed_t unsent_origins; ///< For its sidecar.

  gtw_advertised_t advertised;
  aln_gate_t alone;     ///< Of a plain target, for this gateway's requests.
  uint64_t reserved_by; ///< Number of the request that waits to start alone.
  uint64_t reserved_until_ms;

  uint64_t ended_ms; ///< When its process was found ended; zero: not ended.
  uint64_t next_key; ///< Of the next incarnation at its address; zero: none.
  bool is_probed;    ///< A test connection to find out whether it has ended is
                     ///< under way.
  bool is_health_requested;     ///< A health request is under way.
  uint64_t health_requested_ms; ///< When the last one was sent; zero: never.
  uint64_t health_requests;     ///< Number of them.
  uint64_t alive_request;       ///< Number of the last one that this
                                ///< incarnation answered; zero: none.
  uint64_t failed_request;      ///< Number of the last other one; zero: none.
  bool is_replaced;     ///< Another incarnation answered `failed_request`.
  bool has_unconfirmed; ///< Attempts are suspects unless it has lived on.
} gtw_target_t;

/// Stage of a request.
typedef enum
{
  GTW_STAGE_READING_BODY,        ///< The body is not complete.
  GTW_STAGE_WAITING_FOR_ORIGIN,  ///< For what began the stream that it
                                 ///< continues.
  GTW_STAGE_WAITING_FOR_TARGET,  ///< For a configuration or a usable target.
  GTW_STAGE_WAITING_FOR_CREDIT,  ///< For credit of a quota.
  GTW_STAGE_WAITING_FOR_PLACE,   ///< For a place at an engine.
  GTW_STAGE_WAITING_TO_BE_ALONE, ///< For its plain target to become idle, to
                                 ///< start alone.
  GTW_STAGE_SENT,                ///< At a target, nothing relayed yet.
  GTW_STAGE_RELAYING,            ///< The answer is being relayed.
} gtw_stage_t;

/// Whether a target may have executed a request in the attempts so far.
typedef enum
{
  GTW_EXECUTION_NOT_RUN, ///< Proven: no target has run it.
  GTW_EXECUTION_UNKNOWN, ///< A target may have run it.
} gtw_execution_t;

/// One request of a caller.
struct gtw_request
{
  gtw_gateway_t *gateway;
  gtw_client_t *client;
  gtw_request_t *next;
  gtw_request_t *prev;
  uint64_t number; ///< Unique within this gateway.
  gtw_stage_t stage;
  gtw_execution_t execution_state;
  char attempt_id[GTW_ID_BYTES]; ///< Truncated; whole in `parsed_head`.

  bool is_routed; ///< False only before the first configuration.
  // Copied from the route, which may change during the request.
  char route[GTW_ID_BYTES];
  char service[GTW_ID_BYTES];
  svc_kind_t kind;
  bool is_resumable;
  bool is_engine;
  uint32_t max_attempts;
  uint32_t priority;
  uint64_t objective_ms;        ///< Moment of the latency objective.
  uint64_t revision;            ///< Of the configuration that routed it.
  char workspace[GTW_ID_BYTES]; ///< Of the caller's key; empty: none.
  gtw_charge_t charge;
  bool is_refused; ///< Answered as not run.

  rly_request_t parsed_head;
  char adapter_name[EGN_KEY_BYTES];
  uint64_t adapter_key; ///< Zero: none.
  kb_shared_t *body;
  uint64_t fingerprints[GTW_SCOPE_COUNT]; ///< Zero: not computed yet.
  uint64_t arrived_ms;
  uint64_t deadline_ms;        ///< Moment of the caller's deadline.
  uint64_t timeout_ms;         ///< Moment of the route's timeout.
  uint64_t first_event_due_ms; ///< Moment after which the caller no longer
                               ///< waits for a first event.

  gtw_target_t *target; ///< Where a place is requested or the request is.
  uint64_t place_id;    ///< Zero: no place requested.
  bool has_place;
  uint64_t place_requested_ms;
  uint64_t load_us; ///< Time waited for adapters to load.
  /// At an engine: targets ended during it, so it has to start alone, and the
  /// place was granted so. At a plain target: an earlier attempt broke off.
  bool is_alone_attempt;
  uint64_t trial_target; ///< Key of the only engine where it may start, to try
                         ///< a part of its prompt; zero: any.
  prt_list_t parts;      ///< Of its prompt, once they are known.
  bool is_trial;         ///< It was to start at `trial_target`, alone.
  bool are_parts_known;
  bool are_parts_served; ///< In this attempt.
  aln_request_t alone; ///< At a plain target; its patience at an engine, too.
  /// Number of the health request whose result decides whether it may start
  /// at its plain target; zero: none.
  uint64_t awaited_health_request;
  bool is_declined_late; ///< An engine declined it after its objective.
  uint32_t granted_version;
  inc_t granted_engine; ///< Incarnation of the engine that granted the place;
                        ///< empty id: the listed one.
  uint64_t excluded_targets[GTW_MAX_EXCLUDED_TARGETS]; ///< Keys of targets not
                                                       ///< to try again.
  uint32_t excluded_target_count;
  /// What began the stream that it receives or continues; zero: a new request.
  org_origin_t origin;
  bool is_origin_sought; ///< It continues a stream whose origin is unknown.
  /// When it came, by the boot clock.
  uint64_t origin_sought_boot_ms;
  uint64_t origin_asked[GTW_MAX_ORIGIN_ASKED]; ///< Keys of targets whose
                                               ///< sidecars were asked.
  uint32_t origin_asked_count;
  uint32_t origin_reply_count;
  uint64_t origin_sought_ms; ///< When the first one was asked; zero: none.
  uint32_t possible_runs;    ///< Attempts in which a target may have begun it.
  uint32_t send_count;       ///< Times it was sent.
  uint64_t sent_ms;          ///< When it was sent last.
  uint64_t sent_boot_ms;     ///< The same by the boot clock.
  uint64_t received_bytes;   ///< Of the answer's body, in this attempt.
  uint64_t relayed_bytes;    ///< Of the answer's body, to the caller.
  uint64_t surplus_bytes;    ///< Read behind the answer, in this attempt.
  const char *framing;       ///< Of the answer, for the log; empty: no head.
  const char *end;           ///< How this attempt ended, for the log.
  const char *evidence;      ///< What that counts as, for the log.
  uint32_t target_doubt;     ///< It has ended soon after its first event, and
                             ///< its target may have: MSG_DOUBT_NONE to
                             ///< MSG_DOUBT_CLOSED.
  bool is_permit_used;
  gtw_charge_t permit;       ///< Of the rate limit of a plain target.
  uint32_t pauses_requested; ///< Targets that refused it and requested a
                             ///< pause.
  uint64_t limit_wait_ms; ///< Shortest wait for a permit of a limited target;
                          ///< zero: none was refused.
  xch_t exchange;
  tmr_timer_t expiry_timer;  ///< At the deadline or timeout.
  tmr_timer_t silence_timer; ///< No answer or no further event in time.

  // The answer.
  int http_status;
  bool is_stream_answer;
  /// See gateway_ending.h; NULL: its target is not being asked.
  void (*ending_done) (gtw_request_t *r, bool is_whole);
  bool is_close_delimited; ///< It ends with the connection to the target.
  /// When its end began to be withheld: it is whole unless bytes behind it
  /// show otherwise. Zero: it is not.
  uint64_t watched_ms;
  /// See gateway_refusal.h; NULL: no refusal is withheld.
  void (*refusal_done) (gtw_request_t *r, uint64_t retry_after_ms);
  int refusal_status;              ///< Of the one that is withheld.
  uint64_t refusal_retry_after_ms; ///< The same.
  bool is_head_written;
  bool is_begun;     ///< The current target has sent an event.
  uint64_t begun_ms; ///< When it sent the first one.
  bool is_chunked;
  kb_buf_t head;
  kb_buf_t pending_answer; ///< Not relayed yet: a partial event or body.
  rsc_scan_t scan;         ///< For another answer within this one.
  uint32_t scanned_bytes;  ///< Of these, searched for the end of an event.
  esq_stream_t events;
  uint32_t logged_verdicts; ///< On events of this answer, a bit each.
  bool has_event;           ///< An event was relayed.
  uint64_t first_event_ms;
  uint64_t relayed_ms;     ///< When events were last relayed.
  uint64_t longest_gap_ms; ///< Between events, for the log.
  uint32_t gap_count;      ///< Events relayed after the first batch.
  bool is_complete;        ///< The whole answer was relayed.
  bool is_served;          ///< The same, and its target lived on.
  uint64_t retry_after_ms; ///< Longest that a target requested.
  const char *reason;      ///< Of the last failure.
};

/// Connection of a caller.
struct gtw_client
{
  h1_conn_t conn; ///< First.
  gtw_gateway_t *gateway;
  gtw_client_t *next;
  gtw_client_t *prev;
  gtw_request_t *request;
  char caller[INET_ADDRSTRLEN]; ///< Address of its VM; empty: unknown.
  gtw_refusal_t refusal;        ///< Sent once the body has arrived.
  char refusal_id[GTW_ID_BYTES];
  bool is_last; ///< The connection closes after the current answer.
  uint64_t last_progress_ms; ///< Last head or body bytes received, or answer
                             ///< sent.
  uint64_t releasing_bytes;  ///< Given up, and freed once it is closed.
  bool is_refused; ///< Its request did not arrive completely; what still
                   ///< arrives is discarded.
};

/// Retry budget of one service.
typedef struct
{
  char service[SRC_NAME_BYTES];
  bud_budget_t budget;
} gtw_budget_t;

/// An attempt that ended while the request was starting at a target. If the
/// target has ended, the request may be the cause.
typedef struct
{
  uint64_t target;               ///< Key of the target; zero: unused entry.
  char attempt_id[GTW_ID_BYTES]; ///< Of the caller's attempt.
  uint64_t fingerprints[GTW_SCOPE_COUNT];
  uint64_t caller; ///< Hash of its workspace or address.
  uint64_t at_ms;
  uint64_t incarnation; ///< Hash of the incarnation that it was sent to.
  uint64_t born_ms;     ///< Of that incarnation; zero: not known.
  uint64_t place_id;    ///< At an engine.
  bool is_plain;        ///< The target is not an engine.
  bool is_isolated;     ///< This gateway had no other request there.
  bool is_alone;        ///< gtw_request_t.is_alone_attempt, or isolated.
  bool is_unconfirmed;  ///< It is a suspect unless the target has lived on.
  bool is_starting;     ///< It may have ended the target.
  bool is_served;       ///< It was served if the target has lived on.
  bool has_ended;       ///< The target has ended; `target` is zero.
  prt_list_t parts;     ///< Of its prompt.
  uint64_t parts_caller;
  bool are_parts_starting; ///< They may have ended the target.
} gtw_broken_attempt_t;

/// Steps between the ids of events of one model of a service.
typedef struct
{
  uint64_t key; ///< Hash of service and model; zero: unused entry.
  esq_steps_t steps;
} gtw_steps_t;

/// How long the requests of one route take at targets.
typedef struct
{
  uint64_t key; ///< Hash of the route's name; zero: unused entry.
  rto_timeout_t duration;
} gtw_duration_t;

/// Writes records of requests during which targets ended to the platform's
/// store, where they survive a power loss of all daemons.
typedef struct
{
  gtw_gateway_t *gateway;
  uint64_t queue[GTW_MAX_QUEUED_RECORDS]; ///< Fingerprints, oldest first.
  uint32_t queue_count;
  uint64_t writing_fingerprint; ///< Zero: no write under way.
  uint64_t writing_stamp;
  bool is_rewriting; ///< The write repeats one that a restore has lost.
  rwr_table_t stored;
  tmr_timer_t rewrite_timer;
  uint64_t retry_pause_ms; ///< Before the next try; zero: the last one
                           ///< succeeded.
  tmr_timer_t timer;
} gtw_record_writer_t;

/// The record of a software version that is being written.
typedef struct
{
  bool is_writing;
  sfw_record_t write;
} gtw_software_writer_t;

/// The request for store changes that is pending at a sidecar.
typedef struct
{
  src_peers_t peers; ///< First.
  gtw_gateway_t *gateway;
  uint64_t last_id;
  uint64_t id;  ///< Zero: none is pending.
  uint64_t era; ///< Of the store, as the query states it.
  uint64_t link_key;
  uint64_t requested_ms;
  tmr_timer_t timer;
} gtw_peers_t;

/// What the gateway had to carry since its last report of it.
typedef struct
{
  uint64_t tick_ms;        ///< Moment of the last tick.
  uint64_t longest_lag_ms; ///< Lateness of a tick.
  uint64_t accepted;       ///< Connections of callers.
  uint32_t max_descriptors;
  bool is_memory_short;
  bool was_short;
  tmr_timer_t timer;
} gtw_load_t;

struct gtw_gateway
{
  hst_host_t host; ///< First.
  const dpl_deployment_t *deployment;
  const rly_dialect_t *dialect;
  src_source_t *source;
  gtw_peers_t peers;
  lsn_listener_t listener;
  acc_accept_t accept;
  pgs_server_t ready_page;
  svc_config_t *config;
  kb_buf_t config_document;
  ver_table_t versions;
  /// Start of the newest read of the store that was answered before the last
  /// tick, boot clock: it showed no version that was learned since.
  uint64_t read_before_tick_ms;
  qrt_table_t quarantine; ///< Of requests and of parts of prompts.
  prt_served_t served_parts;
  gtw_record_writer_t record_writer;
  /// Suspects, then those that are suspects unless their targets have lived
  /// on.
  gtw_broken_attempt_t broken_attempts[GTW_MAX_SUSPECT_ATTEMPTS];
  bool has_broken_attempts; ///< There was a suspect of the first kind.
  uint64_t unconfirmed_ms;  ///< When the last one of the second kind was
                            ///< recorded; zero: never.
  kb_map_t targets;         ///< By key, all incarnations.
  kb_map_t newest_targets;  ///< By hash of the id, newest incarnation of each.
  kb_map_t links;           ///< Targets by hash of the sidecar's name.
  bool has_target_list;
  uint64_t target_list_ms; ///< Since when it has followed the list.
  uint64_t list_gap_ms;    ///< When the list was last too old; zero: never.
  gtw_client_t *clients;
  uint32_t client_count;
  uint64_t releasing_bytes; ///< Of all clients.
  uint32_t refused_count;   ///< Clients that are refused.
  gtw_request_t *requests;
  uint32_t request_count;
  uint64_t last_request_number; ///< Of the newest request.
  uint64_t last_target_key;     ///< Of the newest target.
  kb_map_t quotas;              ///< gtw_quota_t by key of the quota's subject.
  gtw_charge_t *decided;        ///< Charges that no longer wait for credit.
  tmr_fn_t on_decided;          ///< Resumes the requests of those charges.
  tmr_timer_t decided_timer;
  tmr_fn_t on_retry;           ///< Retries the requests that wait.
  tmr_fn_t on_over_limit;      ///< Relieves the memory that callers hold.
  uint64_t last_unlink_ms;     ///< When a link to a sidecar was closed last;
                               ///< boot clock.
  uint64_t last_no_contact_ms; ///< When this gateway last had contact with no
                               ///< sidecar at all; boot clock.
  uint64_t started_ms;
  uint64_t started_boot_ms;   ///< By the boot clock.
  double reachable_share;     ///< Share of the listed sidecars in contact.
  qgw_peak_t gateway_peak;    ///< Peak number of gateways, from sidecars.
  kb_map_t requests_by_place; ///< By place id.
  uint64_t next_place_id;
  gtw_budget_t *budgets; ///< Of configured services that got requests.
  uint32_t budget_count;
  uint64_t budgets_since_ms; ///< Since when none has been dropped; a budget
                             ///< that is added was unused since then.
  sfw_table_t software;
  gtw_software_writer_t software_writer;
  uint64_t streamed_services[GTW_MAX_STREAMED_SERVICES]; ///< gtw_service_key
  uint32_t streamed_count;
  gtw_steps_t event_steps[GTW_MAX_EVENT_STEPS];      ///< By hash of the key.
  gtw_duration_t durations[GTW_MAX_ROUTE_DURATIONS]; ///< By hash of the key.
  org_table_t origins; ///< Of streams that this gateway began or continued.
  plc_costs_t costs;
  uint32_t engine_requests; ///< Requests for engines since `rate_updated_ms`.
  double engine_requests_per_s; ///< Moving average.
  uint64_t rate_updated_ms;
  uint32_t gateway_count; ///< As reported by sidecars.
  uint64_t stop_began_ms; ///< When the stop began; zero: running.
  gtw_load_t load;
  tmr_timer_t tick;
  tmr_timer_t exit_timer;
};

/// @return  The moment at which a request expires: its caller's deadline or
///          the route's timeout, whichever comes first.
static inline uint64_t
gtw_request_expiry_ms (const gtw_request_t *r)
{
  return r->timeout_ms < r->deadline_ms ? r->timeout_ms : r->deadline_ms;
}

/// @return  Milliseconds until a moment, or zero once it has passed.
static inline uint64_t
gtw_remaining_ms (uint64_t moment_ms, uint64_t now_ms)
{
  return moment_ms > now_ms ? moment_ms - now_ms : 0;
}

static inline uint64_t
gtw_now_ms (const gtw_gateway_t *gateway)
{
  return hst_now_ms (&gateway->host);
}

/// @return  Whether the last report of a target's sidecar is recent.
static inline bool
gtw_target_is_in_contact (const gtw_gateway_t *gateway,
                          const gtw_target_t *target)
{
  return target->is_listed && target->is_linked
         && gtw_now_ms (gateway) - target->last_contact_ms
                < GTW_MAX_REPORT_AGE_MS;
}

/// @return  The incarnation that a request is sent to. The sidecar's grant
///          takes precedence: it learns of a restart before the target list.
static inline const inc_t *
gtw_request_recipient (const gtw_request_t *r)
{
  bool is_granted = r->is_engine && r->granted_engine.id[0] != '\0';
  return is_granted ? &r->granted_engine : &r->target->list_entry.identity;
}

/// @return  Whether a request may be sent again though it may have run. The
///          body of another run cannot continue a body that was begun.
static inline bool
gtw_request_is_repeatable (const gtw_request_t *r)
{
  return (r->kind == SVC_KIND_SAFE && !r->is_head_written)
         || (r->kind == SVC_KIND_STREAM && r->is_resumable
             && esq_stream_can_continue (&r->events));
}

/// @return  Whether a target drains, by the target list or by its own answers,
///          and accepts no new request.
static inline bool
gtw_target_is_leaving (const gtw_target_t *target)
{
  return target->list_entry.is_leaving || target->advertised.is_leaving;
}

/// @return  Whether a target gets new requests: it is listed, and stays.
static inline bool
gtw_target_is_staying (const gtw_target_t *target)
{
  return target->is_listed && !gtw_target_is_leaving (target);
}

/// @return  Remaining time, in milliseconds, in which a target accepts no
///          request from this gateway.
static inline uint64_t
gtw_target_pause_ms (const gtw_target_t *target)
{
  uint64_t until_ms = target->advertised.paused_until_ms;
  return until_ms == 0 ? 0 : gtw_remaining_ms (until_ms, tmr_boottime_ms ());
}

/// @return  The key of a sidecar's name in gtw_gateway_t.links.
static inline uint64_t
gtw_link_key (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

/// @return  The key by which a service is compared.
static inline uint64_t
gtw_service_key (const char *service)
{
  return kb_hash (service, strlen (service), 0) | 1;
}

// gateway_client.c
kb_status_t gtw_listen (gtw_gateway_t *gateway, kb_error_t *error);
/// Finish the current answer and continue with the next request.
/// @param is_complete  False: the answer was cut; the connection is reset.
void gtw_client_finish_answer (gtw_client_t *client, bool is_complete);
/// @return  Whether the answer about to be written is the last one on its
///          connection.
bool gtw_client_is_last_answer (gtw_client_t *client);
/// Check that the caller of a request is still there, right before a step that
/// gives a target work for it.
/// @return  False: it has left, and the request was ended.
bool gtw_client_check_present (gtw_client_t *client);
/// Refuse a request that has not arrived completely, and close its
/// connection.
void gtw_client_refuse_unfinished (gtw_client_t *client, int http_status,
                                   const char *reason,
                                   uint64_t retry_after_ms);
/// Reset the connection of a client and end its request without an answer.
/// @param found  Why, for the log.
void gtw_client_cut (gtw_client_t *client, const char *found);
/// Close connections whose caller exceeds a time limit.
void gtw_clients_check_timeouts (gtw_gateway_t *gateway);
/// Close the connections that are idle for the longest.
void gtw_clients_make_room (gtw_gateway_t *gateway);
/// Close idle connections while stopping.
void gtw_clients_close_idle (gtw_gateway_t *gateway);

// gateway_grace.c
/// @return  Time since the stop began.
uint64_t gtw_stopped_ms (const gtw_gateway_t *gateway);
/// @return  Time that is kept for the last answers and the exit.
uint64_t gtw_grace_reserve_ms (const gtw_gateway_t *gateway);
/// @return  The moment at which what is still open is answered.
uint64_t gtw_grace_end_ms (const gtw_gateway_t *gateway);
/// @return  Whether a stop has lasted so long that no request is taken.
bool gtw_grace_refuses_new (const gtw_gateway_t *gateway);
/// @return  Whether the answer to a request that is sent now can be expected
///          before the exit.
bool gtw_grace_leaves_time (const gtw_request_t *r);
/// Record how long a request took that its target has answered.
void gtw_grace_record_duration (const gtw_request_t *r);

// gateway_stop.c
/// Stop: take and answer requests while there is time, then exit.
void gtw_stop_begin (gtw_gateway_t *gateway);
/// Apply a grace that was changed during the stop.
void gtw_stop_apply_settings (gtw_gateway_t *gateway);

// gateway_memory.c
/// Refuse callers until all of them hold no more than the limit.
void gtw_memory_relieve (gtw_gateway_t *gateway);

// gateway_request.c
/// @return  Maximum length of a request body, in bytes.
uint64_t gtw_max_body_bytes (const gtw_gateway_t *gateway);
/// Create a request from the client's complete head.
/// @return  NULL when it is refused, with the reason in `client->refusal`.
gtw_request_t *gtw_request_create (gtw_client_t *client);
/// Release everything that a request holds, and free it.
void gtw_request_end (gtw_request_t *r);
/// Choose a target, then request a place there or send.
void gtw_request_dispatch (gtw_request_t *r);
/// Continue a request whose wait for credit or for an idle target is over.
void gtw_request_resume (gtw_request_t *r);
/// Retry all requests that wait for a usable or an idle target.
void gtw_requests_retry_waiting (gtw_gateway_t *gateway);
/// Answer with an error of the gateway itself, and end the request.
void gtw_request_fail (gtw_request_t *r, int http_status, const char *reason);
/// Answer "not run" with a retry time, and end the request. A request that may
/// have run fails instead.
void gtw_request_refuse (gtw_request_t *r, const char *reason,
                         uint64_t retry_after_ms);
/// Exclude the current target from further attempts of a request.
void gtw_request_exclude_target (gtw_request_t *r);
/// Refuse a request that is held in quarantine.
void gtw_request_refuse_held (gtw_request_t *r, uint64_t hold_ms);
// gateway_fingerprint.c
/// @param r      A request whose body is complete.
/// @param scope  GTW_SCOPE_ANY_ADAPTER or GTW_SCOPE_ONE_ADAPTER.
/// @return       Its fingerprint, the same for each attempt and retry.
uint64_t gtw_request_fingerprint (gtw_request_t *r, int scope);
/// Cancel the current attempt and return its place and permit.
void gtw_request_release_target (gtw_request_t *r);
/// End the request at its deadline or timeout.
void gtw_request_arm_expiry (gtw_request_t *r);
/// @return  The moment until which a caller waits for the next event, when the
///          last one was relayed at `from_ms`.
uint64_t gtw_request_caller_timeout_ms (const gtw_request_t *r,
                                        uint64_t from_ms);

// gateway_access.c
/// Check the key of a request, and apply the settings of its workspace.
gtw_refusal_t gtw_access_check (gtw_request_t *r, const svc_route_t *route);
/// @return  Age of the newest read of the store that shows all that was
///          confirmed before it, milliseconds; UINT64_MAX: none was answered.
uint64_t gtw_list_age_ms (const gtw_gateway_t *gateway);

// gateway_place.c
/// Request a place from the sidecar of the current target.
void gtw_place_request (gtw_request_t *r);
/// Return the place, or withdraw the request for one.
void gtw_place_release (gtw_request_t *r);
void gtw_place_on_grant (gtw_gateway_t *gateway,
                         const msg_place_grant_t *grant, gtw_target_t *from);
void gtw_place_on_decline (gtw_gateway_t *gateway,
                           const msg_place_decline_t *decline);
/// Report the first event to the sidecar: the prompt is processed.
void gtw_place_report_begun (gtw_request_t *r);
/// @return  Whether a request has waited longer than usual for a place from
///          this sidecar: its request or the reply may be lost.
bool gtw_places_are_overdue (const gtw_gateway_t *gateway,
                             const gtw_target_t *target);
/// Dispatch requests that wait for a place at an engine to another one.
/// @param reason  For the log: the sidecar is lost or was restarted, or the
///                engine requests a pause.
void gtw_places_reroute (gtw_gateway_t *gateway, gtw_target_t *target,
                         const char *reason);

// gateway_events.c
/// Begin an answer to a request for a stream.
void gtw_events_begin (gtw_request_t *r);
/// Judge a complete event of the answer that is no comment, and log what is
/// irregular.
esq_verdict_t gtw_events_judge (gtw_request_t *r, kb_slice_t event);
/// Judge the end of the answer; as gtw_events_judge.
esq_verdict_t gtw_events_judge_end (gtw_request_t *r);

// gateway_log.c
/// Log an irregular event, or end, of the current answer.
/// @param event_id  Zero: none.
void gtw_log_irregular_event (const gtw_request_t *r, esq_verdict_t verdict,
                              uint64_t event_id);
/// Log the end of a request and update its metrics.
void gtw_log_request_end (const gtw_request_t *r, const char *outcome,
                          int http_status);
/// Log that a caller continues a stream of an earlier attempt.
void gtw_log_continuation (const gtw_request_t *r);
/// Log an intermediate event of a request.
void gtw_log_request_event (const gtw_request_t *r, const char *event,
                            const char *reason);
/// Log how one attempt at a target ended.
void gtw_log_attempt (gtw_request_t *r, const char *event, const char *reason);
/// Log the choice of a target with the state that it was based on.
void gtw_log_choice (const gtw_request_t *r);

// gateway_load.c
/// Start to report the load.
void gtw_load_init (gtw_gateway_t *gateway);
/// Measure how late a tick is.
void gtw_load_record_tick (gtw_gateway_t *gateway);

// gateway_answer.c
/// Send a request to its current target.
void gtw_attempt_send (gtw_request_t *r);
/// Abort an attempt whose target has been replaced by another incarnation.
void gtw_attempt_abort (gtw_request_t *r);
/// Release what an attempt holds of its answer: relay it before its end, or
/// end a stream within an event.
void gtw_attempt_release_answer (gtw_request_t *r);

// gateway_backpressure.c
/// Apply the limit, drain and pause that the current target advertises in an
/// answer's head.
void gtw_backpressure_apply_answer (gtw_request_t *r,
                                    const rly_response_t *answer);
/// Acquire a permit of the rate limit of the current target, which is plain,
/// or return the result of an earlier request for one.
qsp_verdict_t gtw_backpressure_try_permit (gtw_request_t *r);
/// Keep the advertised state when the list names the incarnation of an engine
/// that requests already reached at the previous one's address.
void gtw_backpressure_inherit (gtw_target_t *target, const gtw_target_t *from);
/// @return  Whether a target asked for a pause that is not over, announced
///          that it leaves, or announced a rate limit.
bool gtw_backpressure_is_in_force (const gtw_target_t *target);
/// Count a target that refused a request and requested a pause.
/// @return  Whether the request may try another target. A request that every
///          target refuses in this way would pause all of them for everybody.
bool gtw_backpressure_may_retry (gtw_request_t *r);
/// @return  Milliseconds until a usable target accepts a request again, after
///          a pause or by its rate limit; zero: no target is paused or
///          limited.
uint64_t gtw_backpressure_retry_after_ms (const gtw_request_t *r);
/// @return  Milliseconds until the rate limit of a plain target allows one
///          more request.
uint64_t gtw_backpressure_wait_ms (const gtw_gateway_t *gateway,
                                   const gtw_target_t *target);

// gateway_budget.c
/// Apply changed settings to all retry budgets; what was spent remains spent.
void gtw_budgets_apply_settings (gtw_gateway_t *gateway);
/// Drop the budgets of services that are no longer configured.
void gtw_budgets_apply_config (gtw_gateway_t *gateway);
/// Record the first attempt of a request.
void gtw_budget_record_first (gtw_gateway_t *gateway, const char *service);
/// Take one more attempt of a request from the retry budget of its service.
/// @return  False if the budget is used up.
bool gtw_budget_take_retry (const gtw_request_t *r);
/// @return  Whether the budget has a retry for a request; none is taken.
bool gtw_budget_has_retry (const gtw_request_t *r);

// gateway_metrics.c
void gtw_metrics_observe_end (const gtw_request_t *r, int http_status);
void gtw_metrics_observe_grant (const gtw_request_t *r);
void gtw_metrics_set_gauges (const gtw_gateway_t *gateway, bool is_ready);

// gateway_caller.c
/// Log and count that the caller of a request has left, which is ended next.
/// @param found  How that was found out.
void gtw_caller_record_left (gtw_request_t *r, const char *found,
                             prs_presence_t presence);

// gateway_incarnations.c
/// Replace a target by another incarnation with its id. State of the previous
/// one is dropped, and attempts under way there are aborted.
/// @param listing  List entry of the new incarnation.
/// @return         The target of the new incarnation.
gtw_target_t *gtw_target_replace_incarnation (gtw_gateway_t *gateway,
                                              gtw_target_t *target,
                                              const src_target_t *listing);
/// Count and log a report about an earlier incarnation, which is ignored.
/// @param from  Its source: "list", "sidecar" or "grant".
void gtw_target_report_stale (const gtw_target_t *target, uint64_t born_ms,
                              const char *from);

// gateway_targets.c
gtw_target_t *gtw_target_add (gtw_gateway_t *gateway,
                              const src_target_t *listing);
/// Close the idle connections to a target.
void gtw_target_close_peers (gtw_target_t *target);
/// Open the link to the sidecar of an engine.
void gtw_target_open_link (gtw_gateway_t *gateway, gtw_target_t *target);
void gtw_target_log_event (const gtw_target_t *target, const char *event);
void gtw_target_apply_listing (gtw_gateway_t *gateway,
                               const src_target_t *listing);
void gtw_target_remove_listing (gtw_gateway_t *gateway, kb_slice_t id);
/// Its entry says that a target is leaving, and no more can be read of it.
void gtw_target_set_leaving (gtw_gateway_t *gateway, kb_slice_t id);
/// @return  Whether a recent report of its sidecar names this incarnation of
/// an
///          engine and says that it is ready.
bool gtw_target_is_confirmed (const gtw_gateway_t *gateway, kb_slice_t id);
/// @return  Whether a recent report of an engine's sidecar says that the
///          engine is ready.
bool gtw_target_is_alive (const gtw_gateway_t *gateway,
                          const gtw_target_t *target);
/// @return  Number of listed targets of a service.
uint32_t gtw_targets_count (const gtw_gateway_t *gateway, const char *service);
/// Free unlisted idle targets, and keep the links to sidecars alive.
void gtw_targets_tick (gtw_gateway_t *gateway);

// gateway_receivers.c
/// @param rank  Set to the rank of the result; UINT64_MAX for the first call.
/// @return      The sidecar in contact that ranks next for a subject that
///              several gateways share through sidecars; NULL: none.
gtw_target_t *gtw_target_next_receiver (const gtw_gateway_t *gateway,
                                        uint64_t subject, uint64_t *rank);

// gateway_records.c
void gtw_records_init (gtw_gateway_t *gateway);
/// Queue a record of a request's quarantine state to be written to the
/// platform's store.
void gtw_records_enqueue (gtw_gateway_t *gateway, uint64_t fingerprint);
/// Apply a record that was read from the platform's store.
void gtw_records_receive (gtw_gateway_t *gateway, const src_record_t *stored);
/// The store was restored, and the records of its copy are received next:
/// those that it lacks are written again (coordination/rewrite.h).
void gtw_records_handle_restore (gtw_gateway_t *gateway);
/// @return  Whether a record is being written; the source takes one at a time.
bool gtw_records_is_writing (const gtw_gateway_t *gateway);
/// Continue with the queued records after another one was written.
void gtw_records_resume (gtw_gateway_t *gateway);

// gateway_peers.c
void gtw_peers_init (gtw_gateway_t *gateway);
/// Pass a sidecar's reply with store changes on to the source.
void gtw_peers_receive_changes (gtw_gateway_t *gateway,
                                const gtw_target_t *from,
                                const msg_changes_t *answer);

// gateway_choose.c
/// @return  The best target for a request, or NULL.
gtw_target_t *gtw_target_choose (gtw_gateway_t *gateway,
                                 const gtw_request_t *r);
/// @return  Whether another target than its own can be chosen for a request.
bool gtw_target_has_other (const gtw_gateway_t *gateway,
                           const gtw_request_t *r);
/// @return  Whether another target than its own has a place for a request now,
///          as far as its last report shows.
bool gtw_target_has_free_place (const gtw_gateway_t *gateway,
                                const gtw_request_t *r);
/// @return  Whether an engine that a request does not exclude is listed and
///          not usable yet.
bool gtw_target_can_become_ready (const gtw_gateway_t *gateway,
                                  const gtw_request_t *r);
/// Update the failure rate of a target after an attempt.
void gtw_target_record_result (gtw_gateway_t *gateway, gtw_target_t *target,
                               bool is_good);
/// Update the rate of requests for engines.
void gtw_choose_update_rate (gtw_gateway_t *gateway, uint64_t now_ms);

// gateway_links.c
void gtw_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg);
void gtw_send_gateway_state (gtw_gateway_t *gateway, gtw_target_t *target);
/// Send the gateway's state to all sidecars.
void gtw_send_state_to_all (gtw_gateway_t *gateway);
/// Apply a configuration if it is newer than the current one.
/// @param from  Its source, for the log.
void gtw_apply_config (gtw_gateway_t *gateway, svc_config_t *config,
                       kb_slice_t document, const char *from);
void gtw_apply_adapter_version (gtw_gateway_t *gateway, kb_slice_t model,
                                kb_slice_t adapter, uint32_t version);

#endif
