/// @file msg_defs.h
/// Message types of the inner protocol. Slices of a decoded message point
/// into the decoded buffer. Fields ending in _ms are durations, except
/// `born_ms` and those with `wall` in the name, which are points in time.
/// Integers are all 64 bits wide, as the codec stores them; `is_` fields are
/// booleans.
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
  MSG_PLACE_JOINED,
  MSG_ORIGINS,
  MSG_ORIGIN_REQUEST,
  MSG_ORIGIN_REPLY,
  MSG_RUN_CONFIRMED,
  MSG_TYPE_END,
} msg_type_t;

/// Outcome of an attempt that has ended.
typedef enum
{
  MSG_OUTCOME_DONE = 1,   ///< The complete answer was produced.
  MSG_OUTCOME_NOT_RUN,    ///< Proven: it has not run and will not run.
  MSG_OUTCOME_RAN_FAILED, ///< It started and failed.
  MSG_OUTCOME_UNKNOWN,    ///< It may have run.
} msg_outcome_t;

/// State of a daemon, as reported to its peers.
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
  MSG_FLAG_FETCH = 16, ///< Return the cached answer of `claim_key`; never run.
  MSG_FLAG_ALONE = 32, ///< Start while no other request is starting.
};

/// Introduces a daemon to a peer.
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
  uint64_t memory_since_wall_ms; ///< Claims run earlier are not remembered.
  uint64_t is_reply;
  kb_slice_t resident; ///< Packed 64-bit hashes of the resident adapters.
} msg_hello_t;

typedef struct
{
  uint64_t stamp_us;
  uint64_t revision;
  uint64_t target_count; ///< Engines the sender knows; divides load rate.
} msg_ping_t;

/// Answer to a ping, with the load of the sender.
typedef struct
{
  uint64_t stamp_us;
  uint64_t revision;
  uint64_t state;
  uint64_t queue_len;
  uint64_t running;
  uint64_t expected_wait_ms;
  uint64_t stall_us_total;
  uint64_t fill_permille; ///< Occupancy of the engine's batches.
} msg_pong_t;

/// An entry sends an attempt to an agent.
typedef struct
{
  uint64_t attempt;
  uint64_t claim_key; ///< Zero: the request has no idempotency key.
  uint64_t claim_digest;
  uint64_t claim_epoch;
  uint64_t deadline_ms; ///< Remaining time.
  uint64_t flags;
  uint64_t priority_class; ///< Lower is served first.
  uint64_t weight;
  uint64_t revision;
  uint64_t version;
  uint64_t max_tokens;
  uint64_t incarnation; ///< Incarnation of the agent that is addressed.
  uint64_t fingerprint; ///< Identical for each re-send of a request.
  kb_slice_t parts;     ///< Keys of prt_list_t.
  kb_slice_t workspace;
  kb_slice_t adapter;
  kb_slice_t source;
  kb_slice_t method;
  kb_slice_t path;
  kb_slice_t body;
  kb_slice_t traceparent;
} msg_dispatch_t;

/// Part of an answer.
typedef struct
{
  uint64_t attempt;
  uint64_t seq;
  uint64_t http_status; ///< Status of the answer in the first part, else zero.
  kb_slice_t content_type;
  kb_slice_t data;
} msg_part_t;

/// End of an attempt, with the load of the target.
typedef struct
{
  uint64_t attempt;
  uint64_t seq;     ///< Number of parts sent before.
  uint64_t outcome; ///< msg_outcome_t
  uint64_t http_status;
  uint64_t retry_after_ms;
  uint64_t queue_len;
  uint64_t running;
  uint64_t expected_wait_ms;
  uint64_t demand_permille; ///< Work for the adapter by engine capacity.
  uint64_t is_resident;
  uint64_t queue_us;
  uint64_t load_us;
  uint64_t run_us;
  uint64_t revision;
  uint64_t state;
  uint64_t version;
  /// The answer ended with its connection; a msg_run_confirmed_t follows if
  /// the target is known to have lived on.
  uint64_t is_unconfirmed;
  kb_slice_t adapter;
  kb_slice_t reason;
} msg_end_t;

typedef struct
{
  uint64_t attempt;
} msg_cancel_t;

/// Requests that an agent void an attempt that has not run.
typedef struct
{
  uint64_t attempt;
  uint64_t claim_key;
  uint64_t incarnation; ///< Incarnation of the agent it was sent to.
} msg_revoke_t;

/// State of an attempt in the answer to a revocation.
typedef enum
{
  MSG_REVOKED_VOIDED = 1, ///< It has not run and can no longer start.
  MSG_REVOKED_RUNNING,
  MSG_REVOKED_DONE,
  MSG_REVOKED_FAILED,
  /// The attempt was sent to an earlier incarnation and may have run there.
  MSG_REVOKED_OTHER_INCARNATION,
} msg_revoked_state_t;

typedef struct
{
  uint64_t attempt;
  uint64_t claim_key;
  uint64_t state; ///< msg_revoked_state_t
} msg_revoked_t;

/// Requests the claim of an idempotency key from the owner of its shard.
typedef struct
{
  uint64_t id;
  uint64_t claim_key;
  uint64_t digest;
  uint64_t attempt;
  uint64_t voided_attempt; ///< Earlier attempt, proven not run; or zero.
  uint64_t incarnation;    ///< Incarnation of the runner.
  uint64_t runner;         ///< Hash of the name of the runner.
} msg_claim_t;

typedef struct
{
  uint64_t id;
  uint64_t verdict; ///< clm_verdict_t
  uint64_t epoch;
  uint64_t attempt;     ///< Attempt that holds the claim.
  uint64_t incarnation; ///< Incarnation of the runner.
  uint64_t outcome;     ///< msg_outcome_t of the attempt; zero: not known yet.
  uint64_t runner;      ///< Hash of the name of the runner.
} msg_claim_reply_t;

/// Reports the outcome of a claimed attempt to the owner of the shard.
typedef struct
{
  uint64_t claim_key;
  uint64_t attempt;
  uint64_t outcome;
} msg_claim_outcome_t;

/// A new owner requests the claims of the shards that it rebuilds.
typedef struct
{
  uint64_t id;       ///< Id of the rebuild, repeated in msg_records_t.
  kb_slice_t epochs; ///< 64-bit epoch of each shard; zero: not requested.
} msg_recover_t;

typedef struct
{
  uint64_t id;
  uint64_t is_last;
  uint64_t purpose;              ///< msg_records_purpose_t
  uint64_t memory_since_wall_ms; ///< Claims run earlier are not remembered.
  kb_slice_t records;            ///< Packed claim records.
} msg_records_t;

/// Reason for sending claim records.
typedef enum
{
  MSG_RECORDS_REBUILD = 1, ///< Answer to msg_recover_t.
  MSG_RECORDS_HANDOVER,    ///< From the owner of a shard to the next owner.
  MSG_RECORDS_INHERIT,     ///< From a stopping agent to an entry.
} msg_records_purpose_t;

/// An agent requests permission to load an adapter from the load gate.
typedef struct
{
  uint64_t id;
  uint64_t waiting; ///< Requests waiting for the adapter.
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

/// Announces new revisions of the configuration and the shard map.
typedef struct
{
  uint64_t revision;
  uint64_t map_revision; ///< Revision of the shard map; zero: not stated.
} msg_announce_t;

/// Requests the configuration head, or chunks of it.
typedef struct
{
  uint64_t have_revision; ///< Revision that the sender has.
  /// Packed 16-byte digests of the requested chunks; empty: the head.
  kb_slice_t digests;
} msg_config_pull_t;

/// The configuration head or one chunk.
typedef struct
{
  uint64_t revision;
  uint64_t is_head;
  kb_slice_t digest;
  kb_slice_t data;
} msg_config_part_t;

/// State of a gateway, sent to a sidecar on connecting, on each change and as
/// heartbeat.
typedef struct
{
  uint64_t incarnation;
  uint64_t revision;         ///< Revision of the active configuration.
  uint64_t versions_known;   ///< Number of adapter versions known.
  uint64_t engine_count;     ///< Known engines of the sidecar's service.
  uint64_t list_stamp;       ///< Stamp of the adapter list received last.
  uint64_t quarantine_stamp; ///< Stamp of its quarantine state.
  uint64_t gateway_peak;     ///< Recent maximum number of gateways.
  uint64_t gateway_peak_age_ms;
  /// Requests per 1,000 s that the engine states as its limit; zero: none.
  uint64_t limit_milli;
  uint64_t limit_age_ms; ///< Age of `limit_milli`.
  /// 64-bit hashes of the workspaces whose credit the gateway borrows from
  /// another sidecar, although this one would be the lender without that one.
  kb_slice_t served_elsewhere;
  /// Packed msg_place_ref_t of all places that it has requested from this
  /// sidecar and not released.
  kb_slice_t places;
} msg_gateway_state_t;

/// A place as known to its gateway.
typedef struct
{
  uint64_t id;
  uint64_t is_granted;
} msg_place_ref_t;

/// Availability of an engine, as seen by its sidecar.
typedef enum
{
  MSG_ENGINE_DOWN = 1, ///< No report from the engine, or no model loaded yet.
  MSG_ENGINE_READY,
  MSG_ENGINE_LEAVING,
} msg_engine_condition_t;

/// State and load of an engine, sent by its sidecar to the gateways; also the
/// heartbeat.
typedef struct
{
  uint64_t incarnation;
  uint64_t revision;
  uint64_t versions_known;
  uint64_t condition; ///< msg_engine_condition_t
  uint64_t slots;
  uint64_t granted; ///< Places granted or held by running requests.
  uint64_t waiting; ///< Requests waiting for a place or an adapter load.
  uint64_t gateway_count;
  uint64_t backlog_us;     ///< Prefill time of the accepted prompts.
  uint64_t tokens_per_s;   ///< Prefill rate of the engine.
  uint64_t load_wait_ms;   ///< Expected wait until a new adapter is loaded.
  uint64_t mean_hold_ms;   ///< Mean time from a grant to its release.
  uint64_t start_wait_ms;  ///< Wait for one more start under its limit.
  uint64_t start_every_ms; ///< Start interval under its limit; zero: none.
  kb_slice_t instance;     ///< Instance id of the engine, or empty.
  uint64_t born_ms;        ///< Unix time of its start; zero: unknown.
  uint64_t list_stamp; ///< Stamp of its adapter list; changes with the list.
  uint64_t quarantine_stamp; ///< Stamp of its quarantine state.
  uint64_t gateway_peak;     ///< Recent maximum number of gateways.
  uint64_t gateway_peak_age_ms;
  kb_slice_t adapters; ///< Packed msg_engine_adapter_t; empty: unchanged.
} msg_engine_state_t;

/// Load state of an adapter.
typedef enum
{
  MSG_ADAPTER_HELD,     ///< Loaded.
  MSG_ADAPTER_FETCHING, ///< Its fetch is in progress.
  MSG_ADAPTER_PENDING,  ///< Requested; its fetch has not started.
} msg_adapter_state_t;

/// An adapter that an engine holds or fetches, or that is requested there.
typedef struct
{
  uint64_t key;
  uint32_t version;
  uint32_t state; ///< msg_adapter_state_t
} msg_engine_adapter_t;

/// A gateway requests a place at an engine.
typedef struct
{
  uint64_t id;
  uint64_t priority; ///< Lower is more urgent.
  uint64_t prompt_tokens;
  uint64_t output_tokens; ///< Expected number, as far as known.
  uint64_t left_ms;       ///< Time until the answer is useless.
  uint64_t objective_ms;  ///< Time until the first event is late.
  uint64_t version;       ///< Oldest adapter version that may serve it.
  uint64_t decline_count; ///< Number of engines that declined it.
  uint64_t alone_level;   ///< Zero, or start while no other request is
                          ///< starting; one more for each doubling of the
                          ///< time for which it may block others.
  kb_slice_t model;
  kb_slice_t adapter; ///< Empty: the base model.
  kb_slice_t attempt; ///< The caller's id of the request, for logging.
  /// Only this adapter version may serve it; zero: `version` or a newer one.
  uint64_t exact_version;
} msg_place_request_t;

typedef struct
{
  uint64_t id;
  uint64_t version;    ///< Version of the loaded adapter.
  uint64_t load_us;    ///< Time spent waiting for a load.
  kb_slice_t instance; ///< Instance id of the engine, or empty.
  uint64_t born_ms;    ///< Unix time of its start; zero: unknown.
  uint64_t is_alone;   ///< No other request starts there meanwhile, until
                       ///< msg_place_joined_t says otherwise.
} msg_place_grant_t;

typedef struct
{
  uint64_t id;
  uint64_t retry_after_ms;
  kb_slice_t reason;
} msg_place_decline_t;

/// msg_place_release_t.engine_doubt: whether the engine may have ended soon
/// after the request's first event.
enum
{
  MSG_DOUBT_NONE,
  MSG_DOUBT_BROKEN, ///< The attempt broke off, and may go on there.
  MSG_DOUBT_CLOSED, ///< The engine ended the answer; not if it lived on.
};

/// Releases a place, or withdraws the request for it.
typedef struct
{
  uint64_t id;
  uint64_t gaps;    ///< Gaps between stream events; zero: incomplete stream.
  uint64_t gaps_ms; ///< Time from the first event to the last.
  uint64_t engine_doubt; ///< MSG_DOUBT_NONE to MSG_DOUBT_CLOSED.
} msg_place_release_t;

/// The first event has arrived, so the prefill has ended.
typedef struct
{
  uint64_t id;
} msg_place_begun_t;

/// Another request starts at the engine before the first event of one whose
/// place was granted alone.
typedef struct
{
  uint64_t id;
  uint64_t has_lived_on; ///< No other one started: the engine lived on after
                         ///< it had ended the answer.
} msg_place_joined_t;

/// The configuration document, forwarded to daemons that cannot read it
/// themselves.
typedef struct
{
  uint64_t revision;
  kb_slice_t data;
} msg_document_t;

/// Newest version of an adapter that the sender knows.
typedef struct
{
  uint64_t version;
  kb_slice_t model;
  kb_slice_t adapter;
} msg_adapter_version_t;

/// A gateway requests changes of the store from a sidecar.
typedef struct
{
  uint64_t id;
  uint64_t store;        ///< Hash of the address of the store.
  uint64_t after;        ///< Revision up to which the gateway is complete.
  uint64_t known_age_ms; ///< Age of that state.
  uint64_t pause_ms;     ///< Interval between two reads of the store.
  uint64_t era;          ///< Era of the store (era.h); optional.
} msg_changes_request_t;

/// Status of the answer to msg_changes_request_t.
typedef enum
{
  MSG_CHANGES_AVAILABLE = 1,
  MSG_CHANGES_NOT_RETAINED, ///< It does not keep the missing changes.
  MSG_CHANGES_NO_ANSWER,    ///< The store did not answer the sidecar.
} msg_changes_status_t;

/// Changes that a sidecar has read on behalf of several gateways. The read
/// began before or after the request arrived: one of `began_before_ms` and
/// `began_after_ms` is zero.
typedef struct
{
  uint64_t id;
  uint64_t status; ///< msg_changes_status_t
  uint64_t as_of;  ///< Complete up to this revision.
  uint64_t began_before_ms;
  uint64_t began_after_ms;
  /// Revision of a configuration it saw; `changes` contains none.
  uint64_t config_revision;
  kb_slice_t changes; ///< Packed, see relay/changes.h.
  uint64_t era;       ///< Era of the store (era.h); optional.
} msg_changes_t;

/// The target lived on after an answer that ended with its connection.
typedef struct
{
  uint64_t request; ///< Its fingerprint.
} msg_run_confirmed_t;

/// What one daemon knows of requests during which targets ended.
typedef struct
{
  kb_slice_t records; ///< Packed, see coordination/quarantine.h.
} msg_quarantine_t;

/// A gateway requests credit of a quota from a sidecar. The quota is that of a
/// workspace or of a target that states a limit. Amounts are in thousandths of
/// the unit of the quota.
typedef struct
{
  uint64_t id;
  uint64_t subject; ///< Hash of the name of the workspace, or of the target.
  uint64_t is_of_target; ///< Quota of a target, else of a workspace.
  /// Revision of the configuration that sets the limit; for a target, the age
  /// of its limit in milliseconds.
  uint64_t revision;
  uint64_t rate_milli; ///< Per second.
  uint64_t burst_milli;
  uint64_t min_milli;     ///< Amount for the first waiting request.
  uint64_t wanted_milli;  ///< Amount for all waiting requests, and in advance.
  uint64_t unspent_milli; ///< Unspent part of earlier grants.
  uint64_t since_ms;      ///< Time for which this sidecar has been its lender.
  uint64_t sidecar_incarnation; ///< As known to the gateway.
  uint64_t uptime_ms;           ///< Uptime of the gateway.
  uint64_t reachable_milli;     ///< Share of sidecars it is in contact with.
  uint64_t prior;               ///< qln_prior_t
  uint64_t ledger_age_ms;
  kb_slice_t ledger;     ///< Packed, see coordination/quota_ledger.h.
  uint64_t gateway_peak; ///< Recent maximum number of gateways.
  uint64_t gateway_peak_age_ms;
} msg_quota_request_t;

/// Answer to msg_quota_request_t. Amounts are in thousandths of the unit of
/// the quota.
typedef struct
{
  uint64_t id;
  uint64_t subject;
  uint64_t granted_milli;
  uint64_t lasts_ms; ///< Validity, counted from the request.
  uint64_t wait_ms;  ///< Time until more is available; zero: fully granted.
  uint64_t is_pause; ///< More follows soon; until then nothing is over quota.
  /// The request was not meant for this sidecar, or for an earlier
  /// incarnation.
  uint64_t is_refused;
  kb_slice_t ledger; ///< Packed, see coordination/quota_ledger.h.
} msg_quota_grant_t;

/// A gateway has a sidecar remember what began streams.
typedef struct
{
  kb_slice_t records; ///< Packed, see coordination/origins.h.
  kb_slice_t adapter_versions;
} msg_origins_t;

/// A gateway asks what began a stream that a caller continues.
typedef struct
{
  uint64_t id;     ///< Repeated in the reply.
  uint64_t stream; ///< See coordination/origins.h.
} msg_origin_request_t;

typedef struct
{
  uint64_t id;
  uint64_t stream;
  kb_slice_t records; ///< Packed as in msg_origins_t; empty: not known.
  kb_slice_t adapter_versions;
} msg_origin_reply_t;

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
    msg_place_joined_t place_joined;
    msg_origins_t origins;
    msg_origin_request_t origin_request;
    msg_origin_reply_t origin_reply;
    msg_document_t document;
    msg_adapter_version_t adapter_version;
    msg_changes_request_t changes_request;
    msg_changes_t changes;
    msg_quarantine_t quarantine;
    msg_run_confirmed_t run_confirmed;
    msg_quota_request_t quota_request;
    msg_quota_grant_t quota_grant;
  };
} msg_t;

#endif
