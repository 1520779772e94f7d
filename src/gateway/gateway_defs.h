/// @file gateway_defs.h
/// State of the gateway, shared by its files.
#ifndef KB_GATEWAY_GATEWAY_DEFS_H
#define KB_GATEWAY_GATEWAY_DEFS_H

#include "coordination/alone.h"
#include "coordination/backpressure.h"
#include "coordination/budget.h"
#include "coordination/place.h"
#include "coordination/quarantine.h"
#include "gateway/gateway.h"
#include "gateway/gateway_quota.h"
#include "gateway/recent.h"
#include "gateway/source.h"
#include "relay/host.h"
#include "relay/versions.h"
#include "transport/relay.h"

enum
{
  GTW_TICK_MS = 100, ///< Checks of callers, targets and links.
  GTW_MAX_TRIES = 8,
  /// Callers refused by a process that stops are served by another one.
  GTW_STOP_RETRY_MS = 100,
  GTW_ID_BYTES = 64,
  GTW_MAX_BUDGETS = 16, ///< Services; the rest share the last one.
  GTW_MAX_BREAKS = 256,
  GTW_MAX_KEEPS = 32,
  /// Two heartbeats of a sidecar and some delay: its engine may have died
  /// since.
  GTW_SIDECAR_LATE_MS = 900,
};

/// How much of a request makes it the same one (relay/fingerprint.h).
enum
{
  GTW_WIDE,   ///< Under any adapter.
  GTW_NARROW, ///< Under its adapter.
  GTW_WIDTHS,
};

/// Why a request is refused before it begins; status zero: it is not.
typedef struct
{
  int http_status;
  const char *reason;
} gtw_refusal_t;

typedef struct gtw_client gtw_client_t;

/// What a target said of itself in the heads of its answers.
typedef struct
{
  inc_t who;         ///< The incarnation that said it.
  bkp_limit_t limit; ///< By the boot clock.
  bool is_leaving;
  uint64_t paused_until_ms; ///< It wants no request before, by the boot clock.
} gtw_stated_t;

/// A target, listed or still in use.
typedef struct
{
  src_target_t told;    ///< Last entry of the list.
  inc_tracker_t belief; ///< Which incarnation it is.
  uint64_t key;       ///< Of this incarnation alone; a later one's is larger.
  uint64_t place_key; ///< Hash of its address: the same after a restart.
  xch_peer_t peer;
  bool is_listed;
  uint32_t active;    ///< Requests of this gateway there.
  double failures;    ///< Recent share of failures, 0 to 1.
  uint64_t failed_ms; ///< When the share was last updated.

  // Sidecar of an engine.
  bool is_linked;
  char link[64]; ///< Name of its sidecar on the inner links.
  uint64_t linked_ms;
  uint64_t heard_ms; ///< Zero: never.
  /// Since when its sidecar is heard without a gap, and when it was heard no
  /// more, by the boot clock; zero: it is not, or was not yet.
  uint64_t heard_since_ms;
  uint64_t unheard_ms;
  uint64_t ask_failed_ms; ///< It gave no changes of the store; zero: never.
  uint64_t told_ms;       ///< Last word to it.
  uint64_t incarnation;
  uint64_t sidecar_revision;
  uint64_t lacks_since_ms; ///< It lacks the configuration; zero: it does not.
  uint64_t sidecar_versions;
  msg_engine_condition_t condition;
  uint32_t slots;
  uint32_t granted;
  uint32_t waiting;
  uint32_t asked_since;  ///< Own requests since that report.
  double asked_tokens;   ///< Their prompts.
  double backlog_ms;     ///< Time to read the prompts there.
  double load_wait_ms;   ///< Until an adapter new to it would be held.
  double held_for_ms;    ///< Mean time that a place there is taken.
  double start_wait_ms;  ///< Until one more may start, by its limit.
  double start_every_ms; ///< Between two starts by its limit; zero: none.
  double tokens_per_ms;  ///< Prompts that it reads.
  uint64_t list_stamp;   ///< Of these adapters, as the sidecar names them.
  msg_engine_adapter_t *adapters;
  uint32_t adapter_count;
  rct_recent_t recent;       ///< Adapters that it held.
  inc_t engine;              ///< What the sidecar's last word was about.
  uint64_t quarantine_stamp; ///< Of what the sidecar knows.

  gtw_stated_t stated;
  aln_gate_t alone;     ///< Of a plain target, as far as this gateway sends.
  uint64_t reserved_by; ///< Number of a request that waits to begin alone.
  uint64_t reserved_until_ms;

  uint64_t ended_ms; ///< When its process was found ended; zero: it was not.
  bool is_probed;    ///< A connection is tried, to see whether it has.
} gtw_target_t;

/// Where a request stands.
typedef enum
{
  GTW_READING,   ///< Its body is not whole.
  GTW_WAITING,   ///< For a configuration or a target that can be used.
  GTW_BORROWING, ///< Waits for credit of its workspace's quota.
  GTW_ASKING,    ///< Waits for a place.
  GTW_ISOLATING, ///< Waits until its plain target is quiet, to begin alone.
  GTW_SENT,      ///< At a target, nothing passed on yet.
  GTW_PASSING,   ///< The answer is being passed on.
} gtw_stage_t;

/// What is known of the attempts so far.
typedef enum
{
  GTW_NOT_RUN, ///< Proved: no target has run it.
  GTW_MAY_HAVE_RUN,
} gtw_fate_t;

/// One request of a caller.
struct gtw_request
{
  gtw_gateway_t *gateway;
  gtw_client_t *client;
  gtw_request_t *next;
  gtw_request_t *prev;
  uint64_t number; ///< Of this gateway's requests.
  gtw_stage_t stage;
  gtw_fate_t fate;
  char attempt_id[GTW_ID_BYTES];

  bool is_routed; ///< False only before the first configuration.
  // Copied from the route, which may change under way.
  char route[GTW_ID_BYTES];
  char service[GTW_ID_BYTES];
  svc_kind_t kind;
  bool is_resumable;
  bool is_engine;
  uint32_t max_attempts;
  uint32_t priority;
  uint64_t objective_ms;
  uint64_t revision;            ///< Of the configuration that routed it.
  char workspace[GTW_ID_BYTES]; ///< Of the caller's key; empty: none.
  gtw_charge_t charge;
  bool is_refused; ///< It was answered as not run.

  rly_request_t said;
  char adapter_name[EGN_KEY_BYTES];
  uint64_t adapter_key; ///< Zero: none.
  kb_buf_t body;
  uint64_t fingerprints[GTW_WIDTHS]; ///< Zero: not worked out yet.
  uint64_t arrived_ms;
  uint64_t deadline_ms;  ///< Moment; of no more use to the caller.
  uint64_t timeout_ms;   ///< Moment; the route's bound.
  uint64_t first_due_ms; ///< Moment; a first event is of no use after it.

  gtw_target_t *target; ///< Asked or sent to.
  uint64_t place_id;    ///< Zero: no place asked for.
  bool has_place;
  uint64_t place_ms; ///< When it was asked for.
  uint64_t load_us;  ///< Waited for a load.
  /// At an engine: targets ended under it, it is to begin alone, and was
  /// granted so. At a plain target: it broke off before.
  bool begins_alone;
  aln_request_t alone; ///< At a plain target.
  bool is_late;        ///< An engine had no time for it after its objective.
  uint32_t granted_version;
  inc_t granted; ///< The engine's incarnation; its id is empty: as listed.
  uint64_t tried[GTW_MAX_TRIES]; ///< Keys of targets that failed.
  uint32_t tried_count;
  uint32_t runs;         ///< Targets that may have begun it.
  uint32_t sends;        ///< Times it was sent.
  uint64_t sent_ms;      ///< When it was sent last.
  uint64_t sent_boot_ms; ///< The same by the boot clock.
  bool is_permit_used;
  gtw_charge_t permit;    ///< Of the limit that a plain target stated.
  uint32_t pauses;        ///< Targets that turned it away and asked for one.
  uint64_t limit_wait_ms; ///< Until a limited target takes one; zero: none was
                          ///< asked.
  xch_t exchange;
  tmr_sub_t timer;   ///< Deadline and timeout.
  tmr_sub_t silence; ///< No answer, no event, or a pause.

  // The answer.
  int http_status;
  bool is_stream_answer;
  bool is_head_written;
  bool is_begun;     ///< The present target sent an event.
  uint64_t begun_ms; ///< When it sent the first one.
  bool is_chunked;
  kb_buf_t head;
  kb_buf_t held; ///< Not passed on yet: a part of an event or of a body.
  uint64_t last_event;
  bool has_event;
  uint64_t first_event_ms;
  uint64_t passed_ms;      ///< When events were last passed on.
  uint64_t longest_gap_ms; ///< Between events, for the log.
  uint32_t gap_count;      ///< Events after those that came first.
  bool is_whole;           ///< All of the answer was passed on.
  uint64_t retry_after_ms; ///< Longest that a target asked for.
  const char *reason;      ///< Of the last failure.
};

/// A caller's connection.
struct gtw_client
{
  h1_conn_t conn; ///< First.
  gtw_gateway_t *gateway;
  gtw_client_t *next;
  gtw_client_t *prev;
  gtw_request_t *request;
  char caller[INET_ADDRSTRLEN]; ///< Address of its VM; empty: not known.
  gtw_refusal_t refusal;        ///< Answered once the body is in.
  char refusal_id[GTW_ID_BYTES];
  bool is_last;     ///< Closes after the present answer.
  uint64_t head_ms; ///< Last progress: a head, a piece of a body, an answer.
};

/// The retry budget of one service.
typedef struct
{
  char service[SRC_NAME_BYTES];
  bud_budget_t budget;
} gtw_budget_t;

/// A request that broke off while it was beginning at a target. If the target
/// has ended, it may be the cause.
typedef struct
{
  uint64_t target;               ///< Key; zero: none.
  uint64_t requests[GTW_WIDTHS]; ///< Its fingerprints.
  uint64_t caller;               ///< Hash of its address.
  uint64_t at_ms;
  bool is_plain;    ///< The target is no engine.
  bool is_isolated; ///< This gateway had no other request there.
  bool is_alone;    ///< gtw_request_t.begins_alone.
} gtw_break_t;

/// What is kept at the platform of requests that targets ended under, so that
/// it outlives a loss of power of all daemons.
typedef struct
{
  gtw_gateway_t *gateway;
  uint64_t due[GTW_MAX_KEEPS]; ///< Fingerprints, the oldest first.
  uint32_t due_count;
  uint64_t writing;  ///< Zero: nothing is.
  uint64_t pause_ms; ///< Before the next try; zero: the last one went well.
  tmr_sub_t timer;
} gtw_keeps_t;

/// The question for changes of the store that is open at a sidecar.
typedef struct
{
  src_peers_t peers; ///< First.
  gtw_gateway_t *gateway;
  uint64_t last_id;
  uint64_t id; ///< Zero: none is open.
  uint64_t link_key;
  uint64_t asked_ms;
  tmr_sub_t timer;
} gtw_peers_t;

struct gtw_gateway
{
  hst_host_t host; ///< First.
  const dpl_deployment_t *deployment;
  const rly_dialect_t *dialect;
  src_source_t *source;
  gtw_peers_t peers;
  uv_tcp_t listener;
  pgs_server_t ready_page;
  svc_config_t *config;
  kb_buf_t document;
  ver_table_t versions;
  qrt_table_t quarantine;
  gtw_keeps_t keeps;
  gtw_break_t breaks[GTW_MAX_BREAKS]; ///< The newest, in a ring.
  uint32_t break_count;               ///< Of all, ever.
  kb_map_t targets;                   ///< By key, all incarnations.
  kb_map_t present; ///< By hash of the id, the newest incarnation of each.
  kb_map_t links;   ///< By hash of the sidecar's name.
  bool are_targets_known;
  gtw_client_t *clients;
  uint32_t client_count;
  gtw_request_t *requests;
  uint32_t request_count;
  uint64_t newest_number; ///< Of the newest request.
  uint64_t newest_key;    ///< Of the newest target.
  kb_map_t quotas;        ///< gtw_quota_t by the key of their workspace.
  gtw_charge_t *decided;  ///< Wait for credit no longer.
  tmr_fn_t on_decided;    ///< Goes on with them.
  tmr_sub_t decided_timer;
  uint64_t unlinked_ms; ///< When a sidecar left the list last, as below.
  uint64_t alone_ms;    ///< When no sidecar was heard last, by the boot clock.
  uint64_t born_ms;     ///< By the boot clock.
  double reach;         ///< Part of the listed sidecars that is heard.
  qof_peak_t peak;      ///< Of gateways, as sidecars tell it.
  kb_map_t places;      ///< Requests by place id.
  uint64_t next_place;
  gtw_budget_t budgets[GTW_MAX_BUDGETS];
  uint32_t budget_count;
  plc_costs_t costs;
  uint32_t placed;     ///< Requests for engines since `rated_ms`.
  double placed_per_s; ///< Their rate.
  uint64_t rated_ms;
  uint32_t gateway_count; ///< As sidecars see it.
  uint64_t stop_ms;       ///< When the stop began; zero: it did not.
  tmr_sub_t tick;
  tmr_sub_t exit_timer;
};

/// @return  The moment at which a request is of no more use: its caller's
///          deadline or the route's timeout.
static inline uint64_t
gtw_request_end_ms (const gtw_request_t *r)
{
  return r->timeout_ms < r->deadline_ms ? r->timeout_ms : r->deadline_ms;
}

/// @return  Time until a moment, or zero when it has passed.
static inline uint64_t
gtw_left_ms (uint64_t moment_ms, uint64_t now_ms)
{
  return moment_ms > now_ms ? moment_ms - now_ms : 0;
}

static inline uint64_t
gtw_now_ms (const gtw_gateway_t *gateway)
{
  return hst_now_ms (&gateway->host);
}

/// @return  Whether a target's sidecar said something a moment ago.
static inline bool
gtw_target_is_heard (const gtw_gateway_t *gateway, const gtw_target_t *target)
{
  return target->is_listed && target->is_linked
         && gtw_now_ms (gateway) - target->heard_ms < GTW_SIDECAR_LATE_MS;
}

/// @return  The incarnation that a request is sent to. A sidecar knows of a
///          restart before the list does.
static inline const inc_t *
gtw_request_addressee (const gtw_request_t *r)
{
  bool is_granted = r->is_engine && r->granted.id[0] != '\0';
  return is_granted ? &r->granted : &r->target->told.who;
}

/// @return  Whether a target takes no new request: by the list, or because it
///          says so itself.
static inline bool
gtw_target_is_leaving (const gtw_target_t *target)
{
  return target->told.is_leaving || target->stated.is_leaving;
}

/// @return  How much longer a target wants no request from this gateway.
static inline uint64_t
gtw_target_pause_ms (const gtw_target_t *target)
{
  uint64_t until_ms = target->stated.paused_until_ms;
  return until_ms == 0 ? 0 : gtw_left_ms (until_ms, tmr_boot_ms ());
}

/// Key of a sidecar's name in `links`.
static inline uint64_t
gtw_link_key (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

// gateway_client.c
kb_status_t gtw_listen (gtw_gateway_t *gateway, kb_error_t *error);
/// The request's answer is complete, or was cut.
void gtw_client_answered (gtw_client_t *client, bool is_whole);
/// Whether the answer about to be written is the last on its connection.
bool gtw_client_is_last (gtw_client_t *client);
/// End connections whose caller takes too long.
void gtw_clients_check (gtw_gateway_t *gateway);
/// Close idle connections, at the end of a stop.
void gtw_clients_close_idle (gtw_gateway_t *gateway);

// gateway_request.c
/// @return  Longest body that a caller may send.
uint64_t gtw_max_body_bytes (const gtw_gateway_t *gateway);
/// A whole head arrived.
/// @return  NULL when it is refused; the client then holds the refusal.
gtw_request_t *gtw_request_begin (gtw_client_t *client);
/// Its body is whole.
void gtw_request_start (gtw_request_t *r);
/// The caller is gone, or the answer is whole: stop work and free it.
void gtw_request_end (gtw_request_t *r);
/// Choose a target and ask or send.
void gtw_request_next (gtw_request_t *r);
/// Go on with a request that waits for credit no longer.
void gtw_request_decided (gtw_request_t *r);
/// Try again for all requests that found no usable target.
void gtw_requests_retry (gtw_gateway_t *gateway);
/// Answer with a failure of the system's own.
void gtw_request_fail (gtw_request_t *r, int http_status, const char *reason);
/// Answer "not run" with a time to come back.
void gtw_request_refuse (gtw_request_t *r, const char *reason,
                         uint64_t retry_after_ms);
/// The present target is not to be tried again for this request.
void gtw_request_exclude (gtw_request_t *r);
/// Of a request whose body is whole.
/// @return  The same for each time that the request is sent.
uint64_t gtw_request_fingerprint (gtw_request_t *r, int width);
/// Give a place back and leave the target.
void gtw_request_leave_target (gtw_request_t *r);
/// @return  The moment until which a caller waits for the next byte, when the
///          last one came at `from_ms`.
uint64_t gtw_request_patience_end_ms (const gtw_request_t *r,
                                      uint64_t from_ms);

// gateway_alone.c
/// @return  Whether a request may go to a target now: no other one begins
///          alone there, or is about to.
bool gtw_alone_may_use (const gtw_request_t *r, const gtw_target_t *target);
/// @return  Whether a target of its service is kept from it so.
bool gtw_alone_is_anywhere (const gtw_request_t *r);
/// Begin at the present target, which is plain.
/// @return  False: it is to begin alone and has to wait; others leave the
///          target to it.
bool gtw_alone_start (gtw_request_t *r);
/// @return  Whether it has waited for too long and is to begin elsewhere.
bool gtw_alone_has_waited (const gtw_request_t *r);
/// It leaves the present target.
void gtw_alone_end (gtw_request_t *r);

// gateway_access.c
/// Judge the key of a request, and take over what its workspace says.
gtw_refusal_t gtw_access_judge (gtw_request_t *r, const svc_route_t *route);

// gateway_place.c
/// Ask the sidecar of the present target for a place.
void gtw_place_ask (gtw_request_t *r);
/// Give the place back, or take the question back.
void gtw_place_release (gtw_request_t *r);
void gtw_place_granted (gtw_gateway_t *gateway, const msg_place_grant_t *grant,
                        gtw_target_t *from);
void gtw_place_declined (gtw_gateway_t *gateway,
                         const msg_place_decline_t *decline);
/// The first event came: tell the sidecar that the prompt is read.
void gtw_place_begun (gtw_request_t *r);
/// Whether a request waits longer than usual for a word of this sidecar: its
/// question or the answer may be lost.
bool gtw_places_wait_for (const gtw_gateway_t *gateway,
                          const gtw_target_t *target);
/// Requests that wait for a place at an engine go on to another one.
/// @param reason  For the log: its sidecar is gone or was restarted, or the
///                engine asks for a pause.
void gtw_places_lost (gtw_gateway_t *gateway, gtw_target_t *target,
                      const char *reason);

// gateway_log.c
/// Log and count the end of a request.
void gtw_request_log (const gtw_request_t *r, const char *outcome,
                      int http_status);
/// Log a step between its beginning and its end.
void gtw_log_step (const gtw_request_t *r, const char *event,
                   const char *reason);
/// Log how one send to a target ended.
void gtw_log_attempt (gtw_request_t *r, const char *event, const char *reason);
/// Log the choice of a target, with what was known of it.
void gtw_log_choice (const gtw_request_t *r);

// gateway_answer.c
/// Send to the present target.
void gtw_answer_send (gtw_request_t *r);
/// Break off an attempt that will not be answered; it may have run.
void gtw_answer_cut (gtw_request_t *r, const char *reason);

// gateway_backpressure.c
/// Take what the present target says about itself in an answer's head.
void gtw_backpressure_note (gtw_request_t *r, const rly_answer_t *answer);
/// Take a permit of the present target, which is plain, or learn what became
/// of it.
qsp_verdict_t gtw_backpressure_take (gtw_request_t *r);
/// The list names the incarnation of an engine that requests have reached
/// already, at the address of the one before.
void gtw_backpressure_take_over (gtw_target_t *target,
                                 const gtw_target_t *from);
/// A target turned a request away and asked for a pause.
/// @return  Whether it may try another target: a request that every target
///          turns away so would shut all others out.
bool gtw_backpressure_may_go_on (gtw_request_t *r);
/// @return  Time until a target that could be used takes a request, after a
///          pause or by its limit; zero: there is none.
uint64_t gtw_backpressure_back_ms (const gtw_request_t *r);
/// @return  Time until a plain target takes one more request.
uint64_t gtw_backpressure_wait_ms (const gtw_gateway_t *gateway,
                                   const gtw_target_t *target);

// gateway_budget.c
void gtw_budget_note_first (gtw_gateway_t *gateway, const char *service);
bool gtw_budget_take (gtw_gateway_t *gateway, const char *service);

// gateway_metrics.c
void gtw_observe_end (const gtw_request_t *r, int http_status);
void gtw_observe_grant (const gtw_request_t *r);
void gtw_set_gauges (const gtw_gateway_t *gateway, bool is_ready);

// gateway_births.c
/// Another incarnation lives under a target's id: what was learnt of this one
/// ends, and requests under way there are broken off.
/// @param told  What takes its place.
/// @return      The target of that incarnation.
gtw_target_t *gtw_target_reborn (gtw_gateway_t *gateway, gtw_target_t *target,
                                 const src_target_t *told);
/// A word about an earlier incarnation came.
/// @param from  "list", "sidecar" or "grant".
void gtw_target_turn_away (const gtw_target_t *target, uint64_t born_ms,
                           const char *from);

// gateway_targets.c
gtw_target_t *gtw_target_add (gtw_gateway_t *gateway,
                              const src_target_t *told);
/// Open the link to the sidecar beside an engine.
void gtw_target_link (gtw_gateway_t *gateway, gtw_target_t *target);
void gtw_target_log (const gtw_target_t *target, const char *event);
void gtw_target_told (gtw_gateway_t *gateway, const src_target_t *told);
void gtw_target_gone (gtw_gateway_t *gateway, kb_slice_t id);
/// @return  Whether the sidecar of an engine has said a moment ago that the
///          engine serves.
bool gtw_target_is_alive (const gtw_gateway_t *gateway,
                          const gtw_target_t *target);
/// @return  How many listed targets a service has.
uint32_t gtw_targets_count (const gtw_gateway_t *gateway, const char *service);
/// Free targets that are gone and idle, keep links alive.
void gtw_targets_tick (gtw_gateway_t *gateway);

// gateway_quarantine.c
/// @param hold_ms  How much longer it is held.
qrt_verdict_t gtw_quarantine_judge (gtw_request_t *r, uint64_t *hold_ms);
/// @return  Whether it broke off before while it was beginning at a target, as
///          far as is known here.
bool gtw_quarantine_has_broken (gtw_request_t *r);
/// Answer a request that is held: it is not sent.
void gtw_quarantine_refuse (gtw_request_t *r, uint64_t hold_ms);
/// A request's connection to its target broke, its target is silent, or its
/// caller left.
void gtw_quarantine_note_break (gtw_request_t *r);
/// The process of a target has ended.
/// @param evidence  How that is known, for the log.
void gtw_quarantine_target_ended (gtw_gateway_t *gateway, gtw_target_t *target,
                                  const char *evidence);
/// A request was answered whole by its target.
void gtw_quarantine_note_served (gtw_request_t *r);
/// A sidecar tells what it knows.
void gtw_quarantine_take (gtw_gateway_t *gateway, kb_slice_t words);
/// Give a sidecar what it lacks.
void gtw_quarantine_help (gtw_gateway_t *gateway, const gtw_target_t *target);

// gateway_keep.c
void gtw_keeps_init (gtw_gateway_t *gateway);
/// Keep at the platform what is known of a request now.
void gtw_keep (gtw_gateway_t *gateway, uint64_t request);
/// A record was read there.
void gtw_keep_told (gtw_gateway_t *gateway, const src_record_t *record);

// gateway_probe.c
/// Try to connect to a target, to see whether its process has ended.
void gtw_probe_start (gtw_gateway_t *gateway, gtw_target_t *target);

// gateway_peers.c
void gtw_peers_init (gtw_gateway_t *gateway);
void gtw_peers_answered (gtw_gateway_t *gateway, const gtw_target_t *from,
                         const msg_changes_t *told);

// gateway_choose.c
/// @return  The target to use for a request, or NULL.
gtw_target_t *gtw_target_choose (gtw_gateway_t *gateway,
                                 const gtw_request_t *r);
/// @return  Whether an engine that was not tried for a request is listed and
///          does not serve yet.
bool gtw_target_may_come (const gtw_gateway_t *gateway,
                          const gtw_request_t *r);
/// Note the end of a request at a target.
void gtw_target_note (gtw_gateway_t *gateway, gtw_target_t *target,
                      bool is_good);
/// Follow the rate of requests for engines.
void gtw_choose_tick (gtw_gateway_t *gateway, uint64_t now_ms);

// gateway_links.c
void gtw_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg);
void gtw_tell_sidecar (gtw_gateway_t *gateway, gtw_target_t *target);
/// Tell all sidecars what changed here.
void gtw_tell_all (gtw_gateway_t *gateway);
/// Put a configuration in force if it is newer.
void gtw_take_config (gtw_gateway_t *gateway, svc_config_t *config,
                      kb_slice_t document, const char *from);
void gtw_take_version (gtw_gateway_t *gateway, kb_slice_t model,
                       kb_slice_t adapter, uint32_t version);

#endif
