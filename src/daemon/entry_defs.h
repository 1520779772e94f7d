/// @file entry_defs.h
/// State and functions shared by the source files of the entry role.
#ifndef KB_DAEMON_ENTRY_DEFS_H
#define KB_DAEMON_ENTRY_DEFS_H

#include "coordination/claim_owner.h"
#include "coordination/gate.h"
#include "coordination/member.h"
#include "coordination/parts.h"
#include "coordination/quarantine.h"
#include "coordination/route.h"
#include "daemon/daemon.h"
#include "protocol/cfgdoc.h"
#include "protocol/openai.h"
#include "protocol/shardmap.h"
#include "transport/plist.h"
#include "transport/trace.h"

enum
{
  ENT_NAME_BYTES = 48,
  ENT_MAX_ATTEMPTS = 6,
  ENT_MODEL_BYTES = 272,
  ENT_MAX_INHERITED = 64,
};

typedef struct ent_entry ent_entry_t;

/// A VM from the platform's list, or one that sent a hello.
typedef struct
{
  char name[ENT_NAME_BYTES];
  char address[64]; ///< "tcp://ip:port"; empty when the peer connects.
  char domain[ENT_NAME_BYTES];
  char service[ENT_NAME_BYTES];
  uint64_t id;
  bool is_entry;
  bool is_initiator; ///< This entry opened the connection.
  mem_vm_t member;
  mem_state_t state;
  uint16_t route; ///< Index in the routing table, or RT_NONE.
  uint64_t revision;
  uint64_t memory_since_wall_ms;
  uint64_t down_since_ms;   ///< Zero: it isn't down.
  uint64_t last_ping_ms;    ///< When the last ping was sent.
  uint32_t inflight;        ///< Attempts of this entry at the VM.
  uint64_t list_read_count; ///< ent_entry_t.list_read_count when listed last.
  msg_pong_t last_pong;
} ent_vm_t;

/// Usage and rate limit of one workspace.
typedef struct
{
  uint64_t id;
  uint32_t inflight;
  lim_bucket_t bucket;
} ent_workspace_t;

typedef enum
{
  ENT_STAGE_CLAIMING, ///< Waits for the claim owner of its key.
  ENT_STAGE_SENT,     ///< An attempt is at a target.
  ENT_STAGE_REVOKING, ///< Revokes an earlier attempt with the same key.
  ENT_STAGE_FETCHING, ///< Fetches the stored answer of an earlier attempt.
} ent_stage_t;

/// A caller's request.
typedef struct ent_request
{
  ent_entry_t *entry;
  hts_request_t *http; ///< NULL after the caller hung up.
  ent_stage_t stage;
  struct ent_request *next;
  struct ent_request *prev;

  char workspace[ENT_NAME_BYTES];
  ent_workspace_t *limits;
  char service[ENT_NAME_BYTES];
  uint64_t service_id;
  char adapter[OAI_MODEL_BYTES];
  uint32_t version;
  /// "adapter@version"; empty for plain services.
  char model[ENT_MODEL_BYTES];
  uint64_t adapter_id;
  char *source;
  char *method;
  char *path;
  kb_buf_t body;
  size_t queued_bytes;  ///< Charged for the copy that waits to be sent.
  uint64_t fingerprint; ///< Zero: not computed yet.
  /// Targets ended during it, so no other request may start at the same time.
  bool is_alone_attempt;
  bool is_suspect;  ///< The same, because of ends under this very request.
  prt_list_t parts; ///< Of its prompt, once they are known.
  bool are_parts_known;
  bool are_parts_served;  ///< In this attempt.
  uint64_t first_part_ms; ///< When its answer began; zero: not yet.
  uint64_t flags;
  uint64_t priority_class;
  uint32_t weight;
  uint32_t max_tokens;
  uint64_t claim_key; ///< Zero: no idempotency key.
  uint64_t claim_digest;
  uint64_t deadline_at_ms;

  uint64_t attempt; ///< Zero: none.
  uint64_t epoch;
  ent_vm_t *vm; ///< Target of the attempt.
  uint64_t vm_incarnation;
  uint64_t voided_attempt;
  uint64_t holder_attempt; ///< Attempt of an earlier request with the key.
  bool is_claimed;         ///< The owner granted the claim of `attempt`.
  /// Worst outcome of the earlier attempts. If one of them ran or may have
  /// run, the request must not be reported as "not_run".
  msg_outcome_t earlier_outcome;
  uint32_t attempt_count;
  uint32_t claim_retry_count;
  uint16_t excluded_routes[ENT_MAX_ATTEMPTS];
  uint32_t excluded_count;

  uint64_t next_seq; ///< Expected sequence number of the next part.
  bool has_gap;      ///< A part of the answer is missing.
  int http_status;
  char content_type[64];
  kb_buf_t answer;
  bool is_stream_started; ///< The caller has received the head.
  uint64_t retry_after_ms;
  char not_run_reason[128];

  trc_context_t trace;
  uint64_t arrived_us;
  uint64_t arrived_wall_us;
  uint64_t first_dispatch_us;
  uint64_t sent_us; ///< When it was dispatched last; zero: never.
  tmr_timer_t deadline_timer;
  tmr_timer_t claim_retry_timer;
} ent_request_t;

/// A roster member or entry whose records a rebuild needs.
typedef struct
{
  char name[ENT_NAME_BYTES];
  bool is_entry;
  bool has_replied;
  bool has_left; ///< It drained and sent its records to the entries.
} ent_rebuild_source_t;

/// The rebuild of taken-over shards from the records of runners and entries.
typedef struct
{
  bool is_active;
  uint64_t id;
  uint64_t epochs[CLM_SHARDS]; ///< By shard; zero: not being rebuilt.
  ent_rebuild_source_t *sources;
  uint32_t source_count;
  bool is_complete; ///< No source lost records within the claim window.
  bool is_roster_known;
  uint64_t last_request_ms;
  uint64_t started_ms;
} ent_rebuild_t;

/// Claim records of an agent that stopped, kept for rebuilds.
typedef struct
{
  char *bytes;
  uint32_t len_bytes;
  uint64_t expires_ms;
} ent_inherited_t;

/// The configuration in force and the state of its fetch.
typedef struct
{
  cfg_config_t *current;
  doc_head_t head;
  kb_map_t chunks;   ///< kb_buf_t by digest prefix.
  bool is_confirmed; ///< The head, or that there is none, is known.
  bool is_fetching;
  doc_head_t pending_head;
  uint32_t missing_chunks;
  char source_peer[ENT_NAME_BYTES]; ///< Source of the fetch; empty: the store.
  uint64_t fetch_started_ms;
  uint64_t latest_revision;          ///< Highest revision that is known.
  uint64_t latest_revision_since_ms; ///< When it became known.
  uint64_t last_pull_ms;             ///< Last pull in reply to a report.
  kvc_watch_t *watch;
  uint64_t watch_retry_at_ms;
  uint64_t backoff_ms;
  uint64_t last_poll_ms;
  bool is_watcher;
} ent_config_t;

struct ent_entry
{
  dmn_daemon_t *daemon;
  rt_table_t routes;
  kb_map_t vms; ///< ent_vm_t by id.
  kb_map_t vms_by_address;
  mem_options_t member_options;
  pls_reader_t list;
  uint64_t list_read_count; ///< Lists of VMs read so far.
  ent_request_t *requests;
  uint32_t request_count;
  kb_map_t requests_by_attempt;
  kb_map_t workspaces;
  lim_retry_budget_t retry_budget;
  qrt_table_t quarantine; ///< Of requests and of parts of prompts.
  prt_served_t served_parts;
  gat_gate_t gate;
  ent_config_t config;

  clm_owner_t claim_owner;
  shm_shard_t shard_map[CLM_SHARDS];
  uint64_t shard_map_mod_revision;
  uint32_t shard_map_restore_count; ///< kvc_client_t.restore_count then.
  bool is_shard_map_outdated; ///< The service lacks takeovers that are known.
  bool is_map_known;
  bool is_map_damaged;     ///< The stored map cannot be read.
  uint64_t map_damaged_ms; ///< Since when, last time; zero: never.
  bool is_map_call_pending;
  uint64_t last_map_read_ms;
  uint64_t vacant_since_ms; ///< Since when a shard lacks an owner; zero: none.
  ent_rebuild_t rebuild;
  /// Received records, applied when the shard map names this entry.
  kb_buf_t handover[CLM_SHARDS];
  bool has_handover[CLM_SHARDS];
  ent_inherited_t inherited[ENT_MAX_INHERITED];
  uint32_t inherited_count;

  uint64_t started_ms;
  uint64_t drain_started_ms;
  bool is_drain_limit_reached; ///< With requests in progress.
  bool is_handover_done;
  bool is_list_known;
  uint64_t tick_count;
  tmr_timer_t tick_timer;
  tmr_timer_t list_poll_timer;
  tmr_timer_t gate_timer;
  tmr_timer_t exit_timer;
};

// entry_http.c
void ent_http_handle_request (ent_entry_t *entry, hts_request_t *http);

// entry_rebuild.c
/// Rebuild shards that this entry owns now.
/// @param epochs  By shard; zero: not this one.
void ent_rebuild_start (ent_entry_t *entry, const uint64_t *epochs);
/// Ask for records again, or end the rebuild once all sources are settled.
void ent_rebuild_check_progress (ent_entry_t *entry, uint64_t now);
void ent_rebuild_receive_records (ent_entry_t *entry, kb_slice_t from,
                                  const msg_records_t *records);
/// Merge packed records into the shards that are being rebuilt.
void ent_rebuild_merge (ent_entry_t *entry, kb_slice_t records);

// entry_request.c
/// Start a validated request.
void ent_request_start (ent_request_t *r);
/// Answer a request that is in progress when this entry has to exit.
void ent_request_end_at_drain_limit (ent_request_t *r);
/// Handle a caller's hang-up.
void ent_request_abort (ent_request_t *r);
void ent_request_on_part (ent_entry_t *entry, const msg_part_t *part);
void ent_request_on_end (ent_entry_t *entry, kb_slice_t from,
                         const msg_end_t *end);
/// Handle a target that is down or restarted: retry its requests elsewhere or
/// fail them.
/// @param is_final  The earlier incarnation can no longer answer. Otherwise
///                  only repeatable requests are handled.
void ent_requests_on_vm_lost (ent_entry_t *entry, ent_vm_t *vm, bool is_final);
/// Handle a target that reconnected with the same incarnation: determine the
/// state of the attempts there.
void ent_requests_on_vm_reconnected (ent_entry_t *entry, ent_vm_t *vm);

// entry_quarantine.c
/// Merge an agent's report of requests during which its target ended.
void ent_quarantine_merge (ent_entry_t *entry, kb_slice_t records);
/// Decide whether the request may run freely, only while no other request
/// starts, or not at all for a time (held).
/// @param[out] hold_ms  Remaining time for which it is held.
qrt_verdict_t ent_quarantine_judge (ent_request_t *r, uint64_t *hold_ms);
/// Record that the request was answered completely.
void ent_quarantine_mark_served (ent_request_t *r);
/// The target of a request lived on after it had answered it.
void ent_quarantine_confirm (ent_entry_t *entry, uint64_t request);

// entry_parts.c
/// Decide whether a request may start, by the parts of its prompt.
prt_judgement_t ent_parts_judge (ent_request_t *r);
/// @return  The target at which all entries try a part, or RT_NONE.
uint16_t ent_parts_trial_route (const ent_request_t *r, uint64_t part);
/// Record that the parts of a request were served.
void ent_parts_record_served (ent_request_t *r);
/// The same once it has received its answer for long enough.
void ent_parts_record_progress (ent_request_t *r);
/// Clear the records, learned from agents, of parts that were served here.
void ent_parts_clear_served (ent_entry_t *entry);

// entry_request.c, for entry_keyed.c
/// End a request that has no complete answer, and free it.
void ent_request_fail (ent_request_t *r, int http_status, const char *outcome,
                       const char *message, uint64_t retry_after_ms);
/// End a request as "not_run", unless an earlier attempt ran or may have run.
void ent_request_fail_not_run (ent_request_t *r, const char *message,
                               uint64_t retry_after_ms);
/// Forget the current attempt, so that its late messages are ignored.
void ent_request_drop_attempt (ent_request_t *r);
/// Unbind the request from its target.
void ent_request_release_vm (ent_request_t *r);
/// Choose a target and begin an attempt there, or fail the request.
void ent_request_begin_attempt (ent_request_t *r);
/// Send the current attempt to its target.
void ent_request_dispatch (ent_request_t *r);
/// Handle an attempt that ended and did not run: retry at another target, or
/// fail the request.
void ent_request_handle_not_run (ent_request_t *r, const char *reason,
                                 uint64_t retry_after_ms);
/// Handle an attempt that ended and ran or may have run: retry if the request
/// is repeatable, else fail it.
/// @param has_run  It is certain that it ran.
void ent_request_handle_unknown (ent_request_t *r, const char *reason,
                                 bool has_run);

// entry_keyed.c
void ent_request_on_revoked (ent_entry_t *entry, const msg_revoked_t *revoked);
/// Handle the verdict of a claim owner, local or remote.
/// @param holder       Attempt that holds the key, if any.
/// @param incarnation  Incarnation of the holder's runner.
/// @param state        State of the holder's claim.
/// @param runner       Id of the VM that runs or ran the holder.
void ent_request_handle_claim_verdict (ent_request_t *r, clm_verdict_t verdict,
                                       uint64_t epoch, uint64_t holder,
                                       uint64_t incarnation, clm_state_t state,
                                       uint64_t runner);

// entry_members.c
/// @return  NULL if the VM is unknown.
ent_vm_t *ent_vm_find (ent_entry_t *entry, kb_slice_t name);
void ent_members_start (ent_entry_t *entry);
void ent_members_tick (ent_entry_t *entry, uint64_t now_ms);
void ent_members_on_hello (ent_entry_t *entry, kb_slice_t from,
                           const msg_hello_t *hello);
void ent_members_on_ping (ent_entry_t *entry, kb_slice_t from,
                          const msg_ping_t *ping);
void ent_members_on_pong (ent_entry_t *entry, ent_vm_t *vm,
                          const msg_pong_t *pong);
/// Re-evaluate the state of a VM and apply it to the routing table.
void ent_vm_update_state (ent_entry_t *entry, ent_vm_t *vm);
/// Choose an entry for a key by rendezvous hashing among the live entries.
/// @param can_be_self  Whether this entry is a candidate.
/// @return  Its name; NULL if there is no candidate.
const char *ent_members_choose_entry (ent_entry_t *entry, uint64_t key,
                                      bool can_be_self);

// entry_shards.c
/// @return  Whether the shard map names this entry in its current incarnation
///          as the owner.
bool ent_shard_is_own (const ent_entry_t *entry, const shm_shard_t *shard);
void ent_claims_tick (ent_entry_t *entry, uint64_t now_ms);
void ent_claims_apply_map_item (ent_entry_t *entry, const kvc_item_t *item);
/// Read the shard map from the store. Does nothing while a call is pending or
/// within MAP_READ_INTERVAL_MS of the last read.
void ent_claims_read_map (ent_entry_t *entry);
void ent_claims_on_records (ent_entry_t *entry, kb_slice_t from,
                            const msg_records_t *records);
/// Hand the owned shards over to other entries.
void ent_claims_hand_over (ent_entry_t *entry);
uint32_t ent_claims_count_owned_shards (const ent_entry_t *entry);

// entry_claims.c
/// Claim the request's key for its current attempt.
void ent_claim_send (ent_request_t *r);
/// Report the state of the request's claim to the owner of its key.
void ent_claim_report_outcome (ent_request_t *r, clm_state_t state);
void ent_claims_on_claim (ent_entry_t *entry, kb_slice_t from,
                          const msg_claim_t *claim_msg);
void ent_claims_on_reply (ent_entry_t *entry, const msg_claim_reply_t *reply);
void ent_claims_on_outcome (ent_entry_t *entry,
                            const msg_claim_outcome_t *outcome_msg);
void ent_claims_on_recover (ent_entry_t *entry, kb_slice_t from,
                            const msg_recover_t *recover);

// entry_config.c
void ent_config_tick (ent_entry_t *entry, uint64_t now_ms);
/// Record that a daemon has a revision; pull the configuration from it if this
/// entry is older.
/// @param peer  Entry that has the revision; empty: no entry to pull from.
void ent_config_record_revision (ent_entry_t *entry, uint64_t revision,
                                 kb_slice_t peer);
void ent_config_on_pull (ent_entry_t *entry, kb_slice_t from,
                         const msg_config_pull_t *pull);
void ent_config_on_part (ent_entry_t *entry, kb_slice_t from,
                         const msg_config_part_t *part);
/// @return  The revision in force; zero: none.
static inline uint64_t
ent_config_revision (const ent_entry_t *entry)
{
  return entry->config.current == NULL ? 0 : entry->config.current->revision;
}

#endif
