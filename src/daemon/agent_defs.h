/// @file agent_defs.h
/// State and internal functions of the agent role.
#ifndef KB_DAEMON_AGENT_DEFS_H
#define KB_DAEMON_AGENT_DEFS_H

#include "coordination/alone.h"
#include "coordination/backpressure.h"
#include "coordination/claim_runner.h"
#include "coordination/ending.h"
#include "coordination/parts.h"
#include "coordination/quarantine.h"
#include "coordination/sched.h"
#include "daemon/daemon.h"
#include "transport/engine.h"
#include "transport/probe.h"
#include "transport/trace.h"

enum
{
  AGT_MAX_PEERS = 512,
  AGT_NAME_BYTES = 48,
  AGT_MODEL_BYTES = 272,
  AGT_MAX_BROKEN_RUNS = 64,
};

/// An entry that has sent its hello message.
typedef struct
{
  char name[AGT_NAME_BYTES];
  uint64_t id;
  uint64_t incarnation;
  uint64_t last_contact_ms;
  uint64_t revision;
  uint32_t inflight; ///< Requests it has queued or running here.
} agt_peer_t;

typedef struct agt_agent agt_agent_t;

/// One attempt at this target.
typedef struct
{
  sch_item_t item; ///< Must be first: items are cast to requests.
  agt_agent_t *agent;
  uint64_t attempt;
  uint64_t claim_key;
  uint64_t flags;
  uint64_t peer; ///< Id of the sending entry.
  char peer_name[AGT_NAME_BYTES];
  char model[AGT_MODEL_BYTES]; ///< "adapter@version".
  char *source;
  char *method;
  char *path;
  kb_buf_t body;
  size_t copied_bytes; ///< Charged for the copy that is sent to the target.
  trc_context_t trace;
  char traceparent[TRC_TRACEPARENT_BYTES];
  uint64_t version;
  uint64_t fingerprint;
  prt_list_t parts; ///< Of its prompt.
  aln_request_t alone;

  eng_run_t *run;       ///< NULL: not started, or it has ended.
  kb_buf_t answer;      ///< Whole answer, or the unsplit rest of a stream.
  kb_buf_t sent_stream; ///< Keyed stream: events sent, kept for resends.
  char content_type[64];
  int http_status;
  uint64_t seq;
  bool has_end_mark; ///< The stream has delivered its [DONE] event.
  bool is_wrong_model;
  bool is_close_delimited; ///< The answer ends with its connection.
  uint32_t reruns; ///< Requeues because the engine did not know the adapter.
  uint64_t arrived_us;
  uint64_t arrived_wall_us;
  uint64_t started_us;
  /// When the first byte of the answer arrived; zero: not yet.
  uint64_t first_byte_ms;
  uint64_t load_us; ///< Total time spent waiting for the adapter to load.
  uint64_t not_resident_since_us; ///< Zero: not waiting for a load.
} agt_request_t;

/// Test connections that show whether a plain target lives on after a run that
/// broke off, or whose answer ended with its connection.
typedef struct
{
  prb_probe_t connection; ///< First.
  agt_agent_t *agent;
  tmr_timer_t timer;
  uint64_t began_ms;
  bool is_active;
  bool is_wanted; ///< Another one is due when this one is over.
} agt_probe_t;

/// Name of an adapter; elsewhere adapters are identified by its hash.
typedef struct
{
  char model[AGT_MODEL_BYTES];
} agt_model_t;

/// The load or unload order in progress; at most one at a time.
typedef struct
{
  bool is_busy;
  bool is_load;
  uint64_t adapter;
  uint64_t started_us;
} agt_order_t;

/// The permit for one load, requested from the load gate.
typedef struct
{
  bool is_requested;
  bool is_granted;
  bool is_from_own_share; ///< Taken from own_load_share; not released.
  uint64_t id;
  uint64_t requested_ms; ///< First request; starts the fallback timeout.
  uint64_t sent_ms;      ///< Last request message.
  char gate[AGT_NAME_BYTES];
} agt_load_permit_t;

/// A run that ended while it was starting. If the target has ended, this
/// request may be the cause.
typedef struct
{
  uint64_t request; ///< Fingerprint; zero: unused entry.
  uint64_t caller;  ///< Hash of the workspace.
  uint64_t at_ms;
  bool is_alone;
  bool is_unconfirmed; ///< It is a suspect unless the target has lived on.
  bool is_served;      ///< It was served if the target has lived on.
  bool is_starting;    ///< The request may have ended the target; else only a
                       ///< part of its prompt.
  prt_list_t parts;
} agt_broken_run_t;

struct agt_agent
{
  dmn_daemon_t *daemon;
  eng_engine_t engine;
  slt_table_t slots;
  sch_queue_t queue;
  clm_runner_t claims;
  aln_gate_t alone;
  bool is_list_pending;          ///< The engine's list was asked for.
  bool is_list_wanted;           ///< It is asked for again once it is there.
  uint64_t listed_ms;            ///< When it was asked for.
  uint32_t listed_broken_starts; ///< Broken starts at that time.
  bkp_meter_t meter;        ///< Enforces the target's stated request rate.
  uint64_t paused_until_ms; ///< End of the pause the target requested.
  tmr_timer_t meter_timer;
  qrt_table_t quarantine; ///< Requests during which this target ended.
  agt_broken_run_t broken_runs[AGT_MAX_BROKEN_RUNS];
  uint32_t target_end_count; ///< Times the target was seen to end.
  agt_probe_t probe;
  kb_map_t requests; ///< agt_request_t by attempt.
  kb_map_t models;   ///< agt_model_t by adapter hash.
  agt_peer_t peers[AGT_MAX_PEERS];
  uint32_t peer_count;
  msg_state_t state;
  bool is_target_closed; ///< As last reported to entries.
  bool is_engine_up;
  bool is_reconciled; ///< Slots were compared with the engine's list once.
  char engine_incarnation[64];
  agt_order_t order;
  agt_load_permit_t load_permit;
  lim_bucket_t own_load_share; ///< Load rate while the gate is unresponsive.
  uint32_t target_count; ///< Engines in the region, as reported by entries.
  uint64_t fence;
  uint64_t fence_mod_revision;
  bool is_registered;        ///< The roster entry is written.
  bool is_registering_again; ///< Its record on the roster was damaged.
  bool is_fence_unverified;  ///< The process stalled; no orders until checked.
  uint64_t memory_since_wall_ms; ///< The claim history is complete since.
  uint64_t revision;             ///< Highest configuration revision reported.
  uint64_t revision_since_ms;
  uint64_t last_tick_ms;
  double mean_run_ms;      ///< Moving average of the run time.
  uint64_t stall_us_total; ///< Time that requests waited for loads.
  uint64_t fill_sum;       ///< Running requests, summed over fill_ticks.
  uint64_t fill_ticks;     ///< Ticks with queued or running requests.
  uint64_t drain_started_ms;
  bool is_handover_started;
  bool is_handover_confirmed; ///< An entry has stored the claim records.
  tmr_timer_t tick;
  tmr_timer_t poll;
  tmr_timer_t retry_fence;
  tmr_timer_t exit_timer;
  tmr_fn_t on_left; ///< Called when writing the "left" entry has ended.
  uint32_t ticks;
};

/// Start the runs, loads and evictions that are possible now.
void agt_schedule_work (agt_agent_t *agent);

// agent.c
/// @return  The entry of that name, or NULL before its hello message.
agt_peer_t *agt_peer_find (agt_agent_t *agent, kb_slice_t name);
/// Record a configuration revision that another daemon reported.
void agt_record_revision (agt_agent_t *agent, uint64_t revision);

// agent_admit.c
/// Queue a dispatched attempt or refuse it.
void agt_run_accept (agt_agent_t *agent, kb_slice_t peer_name,
                     const msg_dispatch_t *dispatch);

// agent_memory.c
/// @return  A run to end because the agent holds more than its limit: the one
///          with the longest answer; NULL: none.
agt_request_t *agt_memory_find_excess (const agt_agent_t *agent);

// agent_run.c
/// Fill the load figures that every end message carries.
void agt_end_fill_load (const agt_agent_t *agent, uint64_t adapter,
                        msg_end_t *end);
void agt_count_outcome (msg_outcome_t outcome);
void agt_run_start (agt_agent_t *agent, agt_request_t *r);
/// End a queued attempt with the outcome "not_run".
void agt_run_refuse (agt_request_t *r, const char *reason,
                     uint64_t retry_after_ms);
void agt_run_cancel (agt_agent_t *agent, uint64_t attempt);
void agt_run_revoke (agt_agent_t *agent, kb_slice_t peer,
                     const msg_revoke_t *revoke);
/// Refuse queued requests whose deadline has passed.
void agt_run_expire (agt_agent_t *agent);
/// Refuse all queued requests.
void agt_run_refuse_all (agt_agent_t *agent, const char *reason);
/// Cancel the queued and the idempotent requests of an entry that is lost, as
/// nobody waits for them. Running non-idempotent requests finish.
void agt_run_cancel_peer (agt_agent_t *agent, uint64_t peer);
/// @return  Expected wait of a new request of this class, in milliseconds.
uint64_t agt_expected_wait_ms (const agt_agent_t *agent,
                               uint8_t priority_class);
/// @return  Whether the target is a plain service, without adapters.
bool agt_is_plain (const agt_agent_t *agent);

// agent_backpressure.c
/// Apply the limit and pause stated in the head of an answer.
void agt_backpressure_apply_head (agt_request_t *r, const eng_head_t *head);
/// @return  Rest of the pause that the target requested; zero: none.
uint64_t agt_backpressure_pause_ms (const agt_agent_t *agent);
/// @return  Time until the target's rate limit lets a new request of this
///          class start, behind the queued ones of this and better classes.
uint64_t agt_backpressure_wait_ms (const agt_agent_t *agent,
                                   uint8_t priority_class);
/// @return  Whether the target accepts no new requests: it has announced that
///          it leaves, or requested a pause.
bool agt_backpressure_is_closed (const agt_agent_t *agent);
/// @return  The state reported to entries: leaving while this process leaves
///          or the target accepts no new requests.
msg_state_t agt_reported_state (const agt_agent_t *agent);
/// Discard the statements of a former incarnation of the target.
void agt_backpressure_reset (agt_agent_t *agent);

// agent_ending.c
/// Called once with the result, unless the request ends before.
typedef void (*agt_ending_done_t) (agt_request_t *r, bool is_whole);
/// Ask whether a plain target still listens after an answer that ended with
/// its connection.
/// @return  False when there is nothing to ask; `done` is not called then.
bool agt_ending_check (agt_request_t *r, agt_ending_done_t done);

// agent_quarantine.c
/// Record what the end of a run proves, and find out whether the target has
/// ended. Call it at each end of a run.
void agt_quarantine_record_end (agt_request_t *r, end_kind_t kind);
/// The engine was alive at a moment, in the incarnation that is known.
void agt_quarantine_confirm_alive (agt_agent_t *agent, uint64_t alive_ms);
/// The target has ended: suspect the requests whose runs broke recently.
void agt_quarantine_record_target_end (agt_agent_t *agent);
/// Send the whole quarantine table to an entry.
void agt_quarantine_send (agt_agent_t *agent, const agt_peer_t *peer);
/// Refuse queued requests that must start alone and cannot
/// (coordination/alone.h).
void agt_quarantine_refuse_blocked (agt_agent_t *agent);

// agent_engine.c
/// Store the name of an adapter that holds a slot or has requests.
/// @return  Its hash.
uint64_t agt_model_register (agt_agent_t *agent, const char *name);
void agt_engine_load (agt_agent_t *agent, uint64_t adapter);
void agt_engine_unload (agt_agent_t *agent, uint64_t adapter);
/// Request the engine's adapter list and reconcile the slot table with it.
void agt_engine_poll (agt_agent_t *agent);
/// Request, renew or release the load permit, as the queue needs it.
void agt_gate_update (agt_agent_t *agent);
/// The gate has granted the permit with this id.
void agt_gate_on_grant (agt_agent_t *agent, uint64_t id);
/// Return the load permit to the gate, or withdraw the request for it.
void agt_gate_release (agt_agent_t *agent);

// agent_fence.c
/// Obtain a fencing number and register it, retrying in the background.
void agt_fence_start (agt_agent_t *agent);
/// After a stall of the process, check that it still owns its target.
void agt_fence_check (agt_agent_t *agent);
/// At the end of a drain, record in the roster that the claim records were
/// handed over.
/// @param done  Called when the write has ended, also when it failed.
void agt_fence_leave (agt_agent_t *agent, tmr_fn_t done);

#endif
