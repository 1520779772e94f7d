/// @file agent_defs.h
/// State of the agent role, shared by its files.
#ifndef KB_DAEMON_AGENT_DEFS_H
#define KB_DAEMON_AGENT_DEFS_H

#include "coordination/alone.h"
#include "coordination/backpressure.h"
#include "coordination/claim_runner.h"
#include "coordination/quarantine.h"
#include "coordination/sched.h"
#include "daemon/daemon.h"
#include "transport/engine.h"
#include "transport/trace.h"

enum
{
  AGT_MAX_PEERS = 512,
  AGT_NAME_BYTES = 48,
  AGT_MODEL_BYTES = 272,
  AGT_MAX_BREAKS = 64,
};

/// An entry that said hello.
typedef struct
{
  char name[AGT_NAME_BYTES];
  uint64_t id;
  uint64_t incarnation;
  uint64_t heard_ms;
  uint64_t revision;
  uint32_t inflight; ///< Its requests here.
} agt_peer_t;

typedef struct agt_agent agt_agent_t;

/// One attempt at this target.
typedef struct
{
  sch_item_t item; ///< First, so that an item is its request.
  agt_agent_t *agent;
  uint64_t attempt;
  uint64_t claim_key;
  uint64_t flags;
  uint64_t peer; ///< Id of the entry that sent it.
  char peer_name[AGT_NAME_BYTES];
  char model[AGT_MODEL_BYTES]; ///< "adapter@version".
  char *source;
  char *method;
  char *path;
  kb_buf_t body;
  trc_context_t trace;
  char traceparent[TRC_TRACEPARENT_BYTES];
  uint64_t version;
  uint64_t fingerprint;
  aln_request_t alone;

  eng_run_t *run;
  kb_buf_t answer; ///< Unary: the whole answer. Stream: not yet split.
  kb_buf_t kept;   ///< Keyed stream: what was sent, for re-sends.
  char content_type[64];
  int http_status;
  uint64_t seq;
  bool is_whole; ///< The end mark of a stream was seen.
  bool is_wrong_model;
  uint32_t reruns; ///< Times the engine did not know the adapter.
  uint64_t arrived_us;
  uint64_t arrived_wall_us;
  uint64_t started_us;
  uint64_t begun_ms; ///< When the first byte of its answer came; zero: none.
  uint64_t load_us;  ///< Time spent waiting for its adapter's load.
  uint64_t not_resident_since_us; ///< Zero when it does not wait for a load.
} agt_request_t;

/// Name and source of an adapter the agent knows by hash.
typedef struct
{
  char model[AGT_MODEL_BYTES];
} agt_model_t;

/// The order to the engine that is under way; one at a time.
typedef struct
{
  bool is_busy;
  bool is_load;
  uint64_t adapter;
  uint64_t started_us;
} agt_order_t;

/// The wish for a load that stands at the gate.
typedef struct
{
  bool is_asked;
  bool is_granted;
  bool is_own_share; ///< Granted by the fallback; nothing to give back.
  uint64_t id;
  uint64_t asked_ms; ///< First asked, for the fallback.
  uint64_t sent_ms;  ///< Last sent.
  char gate[AGT_NAME_BYTES];
} agt_wish_t;

/// A run that broke off while it was beginning. If the target has ended, it
/// may be the cause.
typedef struct
{
  uint64_t request; ///< Fingerprint; zero: none.
  uint64_t caller;  ///< Hash of its workspace.
  uint64_t at_ms;
  bool is_alone;
} agt_break_t;

struct agt_agent
{
  dmn_daemon_t *daemon;
  eng_engine_t engine;
  slt_table_t slots;
  sch_queue_t queue;
  clm_runner_t claims;
  aln_gate_t alone;
  bkp_meter_t meter;        ///< Of the requests that the target takes.
  uint64_t paused_until_ms; ///< The target wants no request before.
  tmr_timer_t meter_timer;
  qrt_table_t quarantine;             ///< Of ends of this target.
  agt_break_t breaks[AGT_MAX_BREAKS]; ///< The newest, in a ring.
  uint32_t break_count;
  uint32_t end_count; ///< Ends of the target that were seen.
  kb_map_t requests;  ///< By attempt.
  kb_map_t models;    ///< By adapter hash: agt_model_t.
  agt_peer_t peers[AGT_MAX_PEERS];
  uint32_t peer_count;
  msg_state_t state;
  bool is_target_closed; ///< It takes nothing new, as entries were told.
  bool is_engine_up;
  bool is_reconciled; ///< The engine's list was compared at least once.
  char engine_incarnation[64];
  agt_order_t order;
  agt_wish_t wish;
  lim_bucket_t own_share;
  uint32_t target_count; ///< Engines in the region, as entries tell.
  uint64_t fence;
  uint64_t fence_mod_revision;
  bool is_fence_known;    ///< Registered at the key-value service.
  bool is_fence_in_doubt; ///< The process was paused; check before orders.
  uint64_t memory_since_wall_ms;
  uint64_t revision; ///< Highest configuration revision heard of.
  uint64_t revision_since_ms;
  uint64_t tick_ms;
  double service_ms; ///< Moving average of a run.
  uint64_t stall_us_total;
  uint64_t fill_sum;   ///< Running requests summed over ticks.
  uint64_t fill_ticks; ///< Ticks with work.
  uint64_t drain_started_ms;
  bool is_leaving_said;
  bool is_memory_kept; ///< An entry confirmed the memory of claims.
  tmr_timer_t tick;
  tmr_timer_t poll;
  tmr_timer_t retry_fence;
  tmr_timer_t exit_timer;
  tmr_fn_t on_left; ///< Called when the roster entry says "left".
  uint32_t ticks;
};

/// Do whatever can be done now: start runs, loads and evictions.
void agt_pump (agt_agent_t *agent);

// agent.c
/// @return  The entry of that name, or NULL before its hello.
agt_peer_t *agt_peer_find (agt_agent_t *agent, kb_slice_t name);
/// Some daemon is at this configuration revision.
void agt_note_revision (agt_agent_t *agent, uint64_t revision);

// agent_admit.c
/// Take a dispatched attempt or refuse it.
void agt_run_accept (agt_agent_t *agent, kb_slice_t peer,
                     const msg_dispatch_t *dispatch);

// agent_run.c
/// Fill the load figures that go back on every reply.
void agt_end_fill_load (const agt_agent_t *agent, uint64_t adapter,
                        msg_end_t *end);
void agt_count_outcome (msg_outcome_t outcome);
void agt_run_start (agt_agent_t *agent, agt_request_t *request);
/// End an attempt that waits, with a proof that it did not run.
void agt_run_refuse (agt_request_t *request, const char *reason,
                     uint64_t retry_after_ms);
void agt_run_cancel (agt_agent_t *agent, uint64_t attempt);
void agt_run_revoke (agt_agent_t *agent, kb_slice_t peer,
                     const msg_revoke_t *revoke);
/// Refuse what waits past its deadline.
void agt_run_expire (agt_agent_t *agent);
/// Refuse everything that waits.
void agt_run_refuse_all (agt_agent_t *agent, const char *reason);
/// An entry is lost: stop its idempotent work, nobody waits for it.
void agt_run_peer_lost (agt_agent_t *agent, uint64_t peer);
/// @return  Expected wait of new work of a class, milliseconds.
uint64_t agt_expected_wait_ms (const agt_agent_t *agent,
                               uint8_t priority_class);
bool agt_is_plain (const agt_agent_t *agent);

// agent_backpressure.c
/// Take what the target says about itself in the head of its answer.
void agt_backpressure_note (agt_request_t *r, const eng_head_t *head);
/// @return  How much longer the target wants no request.
uint64_t agt_backpressure_pause_ms (const agt_agent_t *agent);
/// @return  Time until a new request of a class may start, by the limit.
uint64_t agt_backpressure_wait_ms (const agt_agent_t *agent,
                                   uint8_t priority_class);
/// @return  Whether the target takes nothing new: it said that it leaves, or
///          asked for a pause.
bool agt_backpressure_is_closed (const agt_agent_t *agent);
/// @return  What entries are told: this process leaves, or its target takes
///          nothing new.
msg_state_t agt_state (const agt_agent_t *agent);
/// The target is another incarnation, which has stated nothing.
void agt_backpressure_forget (agt_agent_t *agent);

// agent_quarantine.c
/// A run's connection broke; whether the target ended is looked up next.
void agt_quarantine_note_break (agt_request_t *r);
/// The target has ended since its last good word.
void agt_quarantine_target_ended (agt_agent_t *agent);
/// Tell an entry all that is known here.
void agt_quarantine_tell (agt_agent_t *agent, const agt_peer_t *peer);
/// Refuse waiting requests that are to begin alone and can not.
void agt_quarantine_expire (agt_agent_t *agent);

// agent_engine.c
/// Keep the name of an adapter that holds a slot or has requests.
/// @return  Its hash.
uint64_t agt_model_remember (agt_agent_t *agent, const char *name);
void agt_engine_load (agt_agent_t *agent, uint64_t adapter);
void agt_engine_unload (agt_agent_t *agent, uint64_t adapter);
/// Ask the engine's list and reconcile the slot table with it.
void agt_engine_poll (agt_agent_t *agent);
/// Keep the wish at the load gate in step with what is wanted.
void agt_gate_update (agt_agent_t *agent);
void agt_gate_granted (agt_agent_t *agent, uint64_t id);
void agt_gate_give_back (agt_agent_t *agent);

// agent_fence.c
/// Take a fencing number, retrying in the background.
void agt_fence_start (agt_agent_t *agent);
/// After a pause: is this process still the owner of its target?
void agt_fence_check (agt_agent_t *agent);
/// At the end of a drain: say that the memory was handed over.
void agt_fence_leave (agt_agent_t *agent, tmr_fn_t done);

#endif
