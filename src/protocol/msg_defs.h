/// @file msg_defs.h
/// Typed messages of the inner protocol. Slices of a decoded message point
/// into the buffer that was decoded. Times ending in _ms are durations unless
/// the name says wall.
#ifndef KB_PROTOCOL_MSG_DEFS_H
#define KB_PROTOCOL_MSG_DEFS_H

#include <stdint.h>

#include "state/buf.h"

typedef enum
{
  MSG_HELLO = 1,
  MSG_PING,
  MSG_PONG,
  MSG_DISPATCH,
  MSG_PART,
  MSG_END,
  MSG_CANCEL,
  MSG_REVOKE,
  MSG_REVOKED,
  MSG_CLAIM,
  MSG_CLAIM_REPLY,
  MSG_CLAIM_OUTCOME,
  MSG_RECOVER,
  MSG_RECORDS,
  MSG_GATE_REQUEST,
  MSG_GATE_GRANT,
  MSG_GATE_DONE,
  MSG_ANNOUNCE,
  MSG_CONFIG_PULL,
  MSG_CONFIG_PART,
  MSG_GATEWAY_STATE,
  MSG_ENGINE_STATE,
  MSG_PLACE_REQUEST,
  MSG_PLACE_GRANT,
  MSG_PLACE_DECLINE,
  MSG_PLACE_RELEASE,
  MSG_PLACE_BEGUN,
  MSG_DOCUMENT,
  MSG_ADAPTER_VERSION,
  MSG_CHANGES_REQUEST,
  MSG_CHANGES,
  MSG_QUARANTINE,
  MSG_QUOTA_REQUEST,
  MSG_QUOTA_GRANT,
  MSG_TYPE_END,
} msg_type_t;

/// What is known of an attempt once it is over.
typedef enum
{
  MSG_OUTCOME_DONE = 1,   ///< The whole answer was produced.
  MSG_OUTCOME_NOT_RUN,    ///< Proved: it did not and will not run.
  MSG_OUTCOME_RAN_FAILED, ///< It started and failed.
  MSG_OUTCOME_UNKNOWN,    ///< It may have run.
} msg_outcome_t;

/// State of a daemon as it tells its peers.
typedef enum
{
  MSG_STATE_LIVE = 1,
  MSG_STATE_LEAVING,
  MSG_STATE_STARTING,
} msg_state_t;

/// Bits of msg_dispatch_t.flags.
enum
{
  MSG_FLAG_IDEMPOTENT = 1,
  MSG_FLAG_STREAM = 2,
  MSG_FLAG_PLAIN = 4,
  MSG_FLAG_CHAT = 8,
  MSG_FLAG_FETCH = 16, ///< Only the kept answer of `claim_key`; never run.
  MSG_FLAG_ALONE = 32, ///< To begin while no other request does.
};

typedef struct
{
  kb_slice_t name;
  uint64_t role; ///< set_role_t
  uint64_t incarnation;
  kb_slice_t failure_domain;
  kb_slice_t service;
  uint64_t is_plain;
  uint64_t slots;
  uint64_t max_batch;
  uint64_t revision;
  uint64_t state;
  uint64_t memory_since_wall_ms; ///< Claims run before this are forgotten.
  uint64_t is_reply;
  kb_slice_t resident; ///< Packed 64-bit hashes of the resident adapters.
} msg_hello_t;

typedef struct
{
  uint64_t stamp_us;
  uint64_t revision;
  uint64_t target_count; ///< Engines the sender sees; divides the load rate.
} msg_ping_t;

typedef struct
{
  uint64_t stamp_us;
  uint64_t revision;
  uint64_t state;
  uint64_t queue_len;
  uint64_t running;
  uint64_t expected_wait_ms;
  uint64_t stall_us_total;
  uint64_t fill_permille;
} msg_pong_t;

typedef struct
{
  uint64_t attempt;
  uint64_t claim_key; ///< Zero: no idempotency key.
  uint64_t claim_digest;
  uint64_t claim_epoch;
  uint64_t deadline_ms; ///< Time left.
  uint64_t flags;
  uint64_t priority_class; ///< Lower is served first.
  uint64_t weight;
  uint64_t revision;
  uint64_t version;
  uint64_t max_tokens;
  uint64_t incarnation; ///< Of the agent that the attempt was meant for.
  uint64_t fingerprint; ///< The same for a request that is sent again.
  kb_slice_t workspace;
  kb_slice_t adapter;
  kb_slice_t source;
  kb_slice_t method;
  kb_slice_t path;
  kb_slice_t body;
  kb_slice_t traceparent;
} msg_dispatch_t;

typedef struct
{
  uint64_t attempt;
  uint64_t seq;
  uint64_t http_status; ///< Of the answer's head; zero on later parts.
  kb_slice_t content_type;
  kb_slice_t data;
} msg_part_t;

typedef struct
{
  uint64_t attempt;
  uint64_t seq; ///< Number of parts that came before.
  uint64_t outcome;
  uint64_t http_status;
  uint64_t retry_after_ms;
  uint64_t queue_len;
  uint64_t running;
  uint64_t expected_wait_ms;
  uint64_t demand_permille; ///< Work for this adapter by engine capacity.
  uint64_t is_resident;
  uint64_t queue_us;
  uint64_t load_us;
  uint64_t run_us;
  uint64_t revision;
  uint64_t state;
  uint64_t version;
  kb_slice_t adapter;
  kb_slice_t reason;
} msg_end_t;

typedef struct
{
  uint64_t attempt;
} msg_cancel_t;

typedef struct
{
  uint64_t attempt;
  uint64_t claim_key;
  uint64_t incarnation; ///< Of the agent that the attempt was sent to.
} msg_revoke_t;

/// Answer to a revocation.
typedef enum
{
  MSG_REVOKED_VOIDED = 1, ///< It has not run and cannot start any more.
  MSG_REVOKED_RUNNING,
  MSG_REVOKED_DONE,
  MSG_REVOKED_FAILED,
  MSG_REVOKED_OTHER_INCARNATION, ///< Sent to an earlier incarnation: it may
                                 ///< have run.
} msg_revoked_state_t;

typedef struct
{
  uint64_t attempt;
  uint64_t claim_key;
  uint64_t state;
} msg_revoked_t;

typedef struct
{
  uint64_t id;
  uint64_t claim_key;
  uint64_t digest;
  uint64_t attempt;
  uint64_t voided_attempt; ///< An earlier attempt proved not run, or zero.
  uint64_t incarnation;    ///< Of the runner.
  uint64_t runner;         ///< Hash of its name.
} msg_claim_t;

typedef struct
{
  uint64_t id;
  uint64_t verdict; ///< clm_verdict_t
  uint64_t epoch;
  uint64_t attempt;     ///< The attempt that holds the claim.
  uint64_t incarnation; ///< Of its runner.
  uint64_t outcome;     ///< Of the attempt, or zero while it is not known.
  uint64_t runner;      ///< Hash of its name.
} msg_claim_reply_t;

typedef struct
{
  uint64_t claim_key;
  uint64_t attempt;
  uint64_t outcome;
} msg_claim_outcome_t;

typedef struct
{
  uint64_t id;       ///< Of this rebuild; comes back on the records.
  kb_slice_t epochs; ///< A 64-bit epoch for each shard; zero: not this one.
} msg_recover_t;

typedef struct
{
  uint64_t id;
  uint64_t is_last;
  uint64_t purpose; ///< msg_records_purpose_t
  uint64_t memory_since_wall_ms;
  kb_slice_t records; ///< Packed claim records.
} msg_records_t;

/// Why records are sent.
typedef enum
{
  MSG_RECORDS_REBUILD = 1, ///< Answer to msg_recover_t.
  MSG_RECORDS_HANDOVER,    ///< From an owner to the next one.
  MSG_RECORDS_INHERIT,     ///< From an agent that stops to an entry.
} msg_records_purpose_t;

typedef struct
{
  uint64_t id;
  uint64_t waiting;
  uint64_t priority_class;
} msg_gate_request_t;

typedef struct
{
  uint64_t id;
} msg_gate_grant_t;

typedef struct
{
  uint64_t id;
} msg_gate_done_t;

typedef struct
{
  uint64_t revision;
  uint64_t map_revision; ///< Of the shard map; zero: says nothing.
} msg_announce_t;

typedef struct
{
  uint64_t have_revision;
  kb_slice_t digests; ///< Packed 16-byte digests wanted; empty asks the head.
} msg_config_pull_t;

typedef struct
{
  uint64_t revision;
  uint64_t is_head;
  kb_slice_t digest;
  kb_slice_t data;
} msg_config_part_t;

/// A gateway to a sidecar: on connecting, when something changes, and as its
/// heartbeat.
typedef struct
{
  uint64_t incarnation;
  uint64_t revision;         ///< Of the configuration it has in force.
  uint64_t versions_known;   ///< How many adapter versions it knows.
  uint64_t engine_count;     ///< Engines of the sidecar's service it sees.
  uint64_t list_stamp;       ///< Of the adapter list it has from this sidecar.
  uint64_t quarantine_stamp; ///< Of the requests it keeps from targets.
  uint64_t gateway_peak;     ///< Most gateways that were there of late.
  uint64_t gateway_peak_age_ms;
  /// Requests that the engine stated to take in 1,000 s; zero: it stated none.
  uint64_t limit_milli;
  uint64_t limit_age_ms; ///< How old that is.
  /// Hashes of the workspaces for which it borrows from another sidecar,
  /// although this one would lend if that one did not, 64 bits each.
  kb_slice_t lent_elsewhere;
  /// Packed msg_place_ref_t of all places that it asked this sidecar for and
  /// has not released.
  kb_slice_t places;
} msg_gateway_state_t;

/// One place as its gateway knows it.
typedef struct
{
  uint64_t id;
  uint64_t is_granted;
} msg_place_ref_t;

/// How an engine can be used, as its sidecar sees it.
typedef enum
{
  MSG_ENGINE_DOWN = 1, ///< No report, or no model yet.
  MSG_ENGINE_READY,
  MSG_ENGINE_LEAVING,
} msg_engine_condition_t;

/// A sidecar to the gateways: heartbeat and load.
typedef struct
{
  uint64_t incarnation;
  uint64_t revision;
  uint64_t versions_known;
  uint64_t condition; ///< msg_engine_condition_t
  uint64_t slots;
  uint64_t granted; ///< Places given, or held by runs.
  uint64_t waiting; ///< Requests that wait for a place or a load.
  uint64_t gateway_count;
  uint64_t backlog_us;     ///< Time to read the prompts that are accepted.
  uint64_t tokens_per_s;   ///< Prompt tokens the engine reads.
  uint64_t load_wait_ms;   ///< Until an adapter new to it would be held.
  uint64_t held_for_ms;    ///< Mean time from a grant to its release.
  uint64_t start_wait_ms;  ///< Until one more request may start, by its limit.
  uint64_t start_every_ms; ///< Between two starts by its limit; zero: none.
  kb_slice_t instance;     ///< Id of the engine, or empty.
  uint64_t born_ms;        ///< Its birth; zero: not known.
  uint64_t list_stamp;     ///< Of the adapters it holds; changes with them.
  uint64_t quarantine_stamp; ///< Of what it knows of such requests.
  uint64_t gateway_peak;     ///< Most gateways that were there of late.
  uint64_t gateway_peak_age_ms;
  kb_slice_t adapters; ///< Packed msg_engine_adapter_t; empty: as told before.
} msg_engine_state_t;

/// How far an adapter is from being held.
typedef enum
{
  MSG_ADAPTER_HELD,
  MSG_ADAPTER_FETCHING, ///< Its fetch is under way.
  MSG_ADAPTER_PENDING,  ///< Asked for; its fetch has not begun.
} msg_adapter_state_t;

/// One adapter that an engine holds or fetches, or that is asked for there.
typedef struct
{
  uint64_t key;
  uint32_t version;
  uint32_t state; ///< msg_adapter_state_t
} msg_engine_adapter_t;

/// A gateway asks for a place at the engine.
typedef struct
{
  uint64_t id;
  uint64_t priority; ///< Lower is more urgent.
  uint64_t prompt_tokens;
  uint64_t output_tokens; ///< As far as known.
  uint64_t left_ms;       ///< Until the answer is of no more use.
  uint64_t objective_ms;  ///< Until a first event is late.
  uint64_t version;       ///< Oldest that may serve it.
  uint64_t decline_count; ///< Engines that declined it before.
  uint64_t is_alone;      ///< It is to begin while no other request does.
  kb_slice_t model;
  kb_slice_t adapter; ///< Empty: the model itself.
  kb_slice_t attempt; ///< The caller's id of the request, for the log.
} msg_place_request_t;

typedef struct
{
  uint64_t id;
  uint64_t version;    ///< Of the adapter held.
  uint64_t load_us;    ///< Time spent waiting for a load.
  kb_slice_t instance; ///< Id of the engine, or empty.
  uint64_t born_ms;    ///< Its birth; zero: not known.
  uint64_t is_alone;   ///< No other request begins there meanwhile.
} msg_place_grant_t;

typedef struct
{
  uint64_t id;
  uint64_t retry_after_ms;
  kb_slice_t reason;
} msg_place_decline_t;

/// The place is free again, or no longer wanted.
typedef struct
{
  uint64_t id;
  uint64_t gaps;    ///< Between events of its stream; zero: not whole.
  uint64_t gaps_ms; ///< From its first event to its last.
} msg_place_release_t;

/// The first event came: the prompt is read.
typedef struct
{
  uint64_t id;
} msg_place_begun_t;

/// The configuration document, passed on for daemons that can not read it.
typedef struct
{
  uint64_t revision;
  kb_slice_t data;
} msg_document_t;

typedef struct
{
  uint64_t version;
  kb_slice_t model;
  kb_slice_t adapter;
} msg_adapter_version_t;

/// A gateway asks a sidecar for changes of the store.
typedef struct
{
  uint64_t id;
  uint64_t store;        ///< Hash of the address of the store it follows.
  uint64_t after;        ///< It knows everything up to this revision.
  uint64_t known_age_ms; ///< How old that knowledge is.
  uint64_t pause_ms;     ///< Between two reads of the store.
} msg_changes_request_t;

/// How a sidecar answers for the store.
typedef enum
{
  MSG_CHANGES_AVAILABLE = 1,
  MSG_CHANGES_NOT_RETAINED, ///< It does not keep what the gateway lacks.
  MSG_CHANGES_NO_ANSWER,    ///< The store gave it none.
} msg_changes_status_t;

/// Changes that a sidecar read for several gateways. The read behind them
/// began before the question arrived, or after it; one of the two is zero.
typedef struct
{
  uint64_t id;
  uint64_t status; ///< msg_changes_status_t
  uint64_t as_of;  ///< All changes up to here.
  uint64_t began_before_ms;
  uint64_t began_after_ms;
  uint64_t config_revision; ///< Of a configuration it saw; none is in it.
  kb_slice_t changes;       ///< Packed, see relay/changes.h.
} msg_changes_t;

/// Requests under which targets ended: what one daemon knows.
typedef struct
{
  kb_slice_t records; ///< Packed, see coordination/quarantine.h.
} msg_quarantine_t;

/// A gateway asks a sidecar for credit of a quota, of a workspace or of a
/// target that states a limit. Amounts are in thousandths of its unit.
typedef struct
{
  uint64_t id;
  uint64_t subject;      ///< Hash of the workspace's name, or of the target.
  uint64_t is_of_target; ///< Else of a workspace.
  /// Of the configuration that says the limit; of a target's limit, its age in
  /// milliseconds.
  uint64_t revision;
  uint64_t rate_milli; ///< A second.
  uint64_t burst_milli;
  uint64_t min_milli; ///< For the first request that waits.
  uint64_t wanted_milli;
  uint64_t unspent_milli;       ///< Of what was granted before.
  uint64_t since_ms;            ///< For how long it has asked this sidecar.
  uint64_t sidecar_incarnation; ///< Of the sidecar, as the gateway knows it.
  uint64_t uptime_ms;           ///< Of the gateway.
  uint64_t reachable_milli;     ///< Of all sidecars, those that it hears.
  uint64_t prior;               ///< qln_past_t
  uint64_t ledger_age_ms;
  kb_slice_t ledger; ///< Packed, see coordination/quota_ledger.h.
  uint64_t gateway_peak;
  uint64_t gateway_peak_age_ms;
} msg_quota_request_t;

typedef struct
{
  uint64_t id;
  uint64_t subject;
  uint64_t granted_milli;
  uint64_t lasts_ms; ///< From when it was asked for.
  uint64_t wait_ms;  ///< Until there is more; zero: as much as was wanted.
  uint64_t is_pause;
  uint64_t is_refused; ///< Not asked of this sidecar, or of an earlier life.
  kb_slice_t ledger;   ///< Packed, see coordination/quota_ledger.h.
} msg_quota_grant_t;

/// Any message.
typedef struct
{
  msg_type_t type;
  union
  {
    msg_hello_t hello;
    msg_ping_t ping;
    msg_pong_t pong;
    msg_dispatch_t dispatch;
    msg_part_t part;
    msg_end_t end;
    msg_cancel_t cancel;
    msg_revoke_t revoke;
    msg_revoked_t revoked;
    msg_claim_t claim;
    msg_claim_reply_t claim_reply;
    msg_claim_outcome_t claim_outcome;
    msg_recover_t recover;
    msg_records_t records;
    msg_gate_request_t gate_request;
    msg_gate_grant_t gate_grant;
    msg_gate_done_t gate_done;
    msg_announce_t announce;
    msg_config_pull_t config_pull;
    msg_config_part_t config_part;
    msg_gateway_state_t gateway_state;
    msg_engine_state_t engine_state;
    msg_place_request_t place_request;
    msg_place_grant_t place_grant;
    msg_place_decline_t place_decline;
    msg_place_release_t place_release;
    msg_place_begun_t place_begun;
    msg_document_t document;
    msg_adapter_version_t adapter_version;
    msg_changes_request_t changes_request;
    msg_changes_t changes;
    msg_quarantine_t quarantine;
    msg_quota_request_t quota_request;
    msg_quota_grant_t quota_grant;
  };
} msg_t;

#endif
