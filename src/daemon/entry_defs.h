/// @file entry_defs.h
/// State of the entry role, shared by its files.
#ifndef KB_DAEMON_ENTRY_DEFS_H
#define KB_DAEMON_ENTRY_DEFS_H

#include "coordination/claim_owner.h"
#include "coordination/gate.h"
#include "coordination/member.h"
#include "coordination/quarantine.h"
#include "coordination/route.h"
#include "daemon/daemon.h"
#include "protocol/cfgdoc.h"
#include "protocol/openai.h"
#include "protocol/shardmap.h"
#include "transport/trace.h"

enum
{
  ENT_NAME_BYTES = 48,
  ENT_MAX_TRIES = 6,
  ENT_MODEL_BYTES = 272,
  ENT_MAX_INHERITED = 64,
};

typedef struct ent_entry ent_entry_t;

/// A VM of the list or one that said hello.
typedef struct
{
  char name[ENT_NAME_BYTES];
  char address[64]; ///< "tcp://ip:port"; empty when it connects to us.
  char domain[ENT_NAME_BYTES];
  char service[ENT_NAME_BYTES];
  uint64_t id;
  bool is_entry;
  bool is_connecting; ///< This process opened the connection.
  mem_vm_t mem;
  mem_state_t state;
  uint16_t route; ///< Index in the routing table, or RT_NONE.
  uint64_t revision;
  uint64_t memory_since_wall_ms;
  uint64_t down_ms; ///< Since when it is down; zero: it is not.
  uint64_t ping_ms; ///< Last ping sent.
  uint32_t inflight;
  msg_pong_t report;
} ent_vm_t;

/// Limits of one workspace.
typedef struct
{
  uint64_t id;
  uint32_t inflight;
  lim_bucket_t bucket;
} ent_workspace_t;

typedef enum
{
  ENT_CLAIMING, ///< Waits for the owner of its key.
  ENT_SENT,     ///< An attempt is at a target.
  ENT_REVOKING, ///< Asks the runner of an earlier attempt with its key.
  ENT_FETCHING, ///< Waits for a kept answer.
} ent_stage_t;

/// One caller's request.
typedef struct ent_request
{
  ent_entry_t *entry;
  hts_request_t *http; ///< NULL when the caller hung up.
  ent_stage_t stage;
  struct ent_request *next;
  struct ent_request *prev;

  char workspace[ENT_NAME_BYTES];
  ent_workspace_t *limits;
  char service[ENT_NAME_BYTES];
  uint64_t service_id;
  char adapter[OAI_MODEL_BYTES];
  uint32_t version;
  char model[ENT_MODEL_BYTES]; ///< "adapter@version"; empty for plain.
  uint64_t adapter_id;
  char *source;
  char *method;
  char *path;
  kb_buf_t body;
  uint64_t fingerprint; ///< Zero: not worked out yet.
  bool begins_alone;    ///< Targets ended under it.
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
  uint64_t holder_attempt; ///< Of an earlier request with the same key.
  bool is_claimed;         ///< The owner granted `attempt`.
  /// The most an earlier attempt may have done; a later refusal must not call
  /// the request "not run".
  msg_outcome_t earlier;
  uint32_t tries;
  uint32_t claim_tries;
  uint16_t excluded[ENT_MAX_TRIES];
  uint32_t excluded_count;

  uint64_t next_seq;
  bool is_gap;
  int http_status;
  char content_type[64];
  kb_buf_t answer;
  bool is_delivering; ///< The head of a stream went to the caller.
  uint64_t retry_after_ms;
  char reason[128];

  trc_context_t trace;
  uint64_t arrived_us;
  uint64_t arrived_wall_us;
  uint64_t first_sent_us;
  tmr_sub_t deadline;
  tmr_sub_t retry;
} ent_request_t;

/// One member of the roster that a rebuild waits for.
typedef struct
{
  char name[ENT_NAME_BYTES];
  bool is_entry;
  bool is_done;
  bool has_left; ///< Its memory went to the entries.
} ent_rebuild_source_t;

/// A takeover that collects what runners remember.
typedef struct
{
  bool is_active;
  uint64_t id;
  uint64_t epochs[CLM_SHARDS]; ///< Zero: not taken.
  ent_rebuild_source_t *sources;
  uint32_t source_count;
  bool is_whole;
  bool is_roster_known;
  uint64_t asked_ms;
  uint64_t started_ms;
} ent_rebuild_t;

/// Records of an agent that stopped, kept for rebuilds.
typedef struct
{
  char *bytes;
  uint32_t len_bytes;
  uint64_t expires_ms;
} ent_inherited_t;

/// The configuration and where it comes from.
typedef struct
{
  cfg_config_t *current;
  doc_head_t head;
  kb_map_t chunks;   ///< Digest prefix to kb_buf_t.
  bool has_evidence; ///< The store or a peer told what is in force.
  bool is_fetching;
  doc_head_t wanted;
  uint32_t missing;
  char from_peer[ENT_NAME_BYTES]; ///< Empty: from the store.
  uint64_t fetch_started_ms;
  uint64_t heard_revision; ///< Highest one heard of.
  uint64_t heard_ms;       ///< When it was first heard of.
  uint64_t pulled_ms;      ///< When a peer was last asked.
  kvc_watch_t *watch;
  uint64_t watch_retry_ms;
  uint64_t backoff_ms;
  uint64_t polled_ms;
  bool is_watcher;
} ent_config_t;

struct ent_entry
{
  dmn_daemon_t *daemon;
  rt_table_t routes;
  kb_map_t vms; ///< By id.
  kb_map_t vm_of_address;
  mem_options_t mem_options;
  ent_request_t *requests;
  uint32_t request_count;
  kb_map_t by_attempt;
  kb_map_t workspaces;
  lim_retry_budget_t retries;
  qrt_table_t quarantine;
  gat_gate_t gate;
  ent_config_t config;

  clm_owner_t owner;
  shm_shard_t shards[CLM_SHARDS];
  uint64_t shards_mod_revision;
  bool is_map_known;
  bool is_map_busy;
  uint64_t map_read_ms;
  uint64_t vacant_since_ms; ///< Since when some shard has no owner.
  ent_rebuild_t rebuild;
  kb_buf_t handover[CLM_SHARDS]; ///< Received, until the map names us.
  bool has_handover[CLM_SHARDS];
  ent_inherited_t inherited[ENT_MAX_INHERITED];
  uint32_t inherited_count;

  uint64_t started_ms;
  uint64_t drain_started_ms;
  bool is_handed_over;
  bool is_list_known;
  uint64_t ticks;
  tmr_sub_t tick;
  tmr_sub_t list_timer;
  tmr_sub_t gate_timer;
  tmr_sub_t exit_timer;
};

// entry_http.c
void ent_http_request (ent_entry_t *entry, hts_request_t *http);

// entry_request.c
/// Take a checked request.
void ent_request_start (ent_request_t *r);
/// The caller hung up.
void ent_request_abort (ent_request_t *r);
void ent_request_part (ent_entry_t *entry, const msg_part_t *part);
void ent_request_end (ent_entry_t *entry, kb_slice_t from,
                      const msg_end_t *end);
/// A target is down, or back under another incarnation.
/// @param is_final  Its earlier incarnation can not answer any more.
void ent_request_vm_lost (ent_entry_t *entry, ent_vm_t *vm, bool is_final);
/// A target is connected again in the same incarnation: settle what is there.
void ent_request_vm_back (ent_entry_t *entry, ent_vm_t *vm);

// entry_quarantine.c
/// An agent tells of requests under which its target ended.
void ent_quarantine_take (ent_entry_t *entry, kb_slice_t words);
/// @param hold_ms  How much longer it is held.
qrt_verdict_t ent_quarantine_judge (ent_request_t *r, uint64_t *hold_ms);
/// It was answered whole.
void ent_quarantine_note_served (ent_request_t *r);

// entry_request.c, for entry_keyed.c
/// End a request that has no whole answer.
void ent_request_fail (ent_request_t *r, int http_status, const char *outcome,
                       const char *message, uint64_t retry_after_ms);
/// The same with "not run", unless an earlier attempt may have run.
void ent_request_fail_not_run (ent_request_t *r, const char *message,
                               uint64_t retry_after_ms);
void ent_request_drop_attempt (ent_request_t *r);
void ent_request_leave_vm (ent_request_t *r);
/// Choose a target and begin an attempt there.
void ent_request_next (ent_request_t *r);
/// Send the present attempt to its target.
void ent_request_dispatch (ent_request_t *r);
/// The attempt is over and certainly did not run.
void ent_request_after_not_run (ent_request_t *r, const char *reason,
                                uint64_t retry_after_ms);
/// The attempt is over and may have run.
/// @param ran  Whether it certainly ran.
void ent_request_after_unknown (ent_request_t *r, const char *reason,
                                bool ran);

// entry_keyed.c
void ent_request_revoked (ent_entry_t *entry, const msg_revoked_t *revoked);
/// The answer of a claim owner, local or remote.
void ent_request_claimed (ent_request_t *r, clm_verdict_t verdict,
                          uint64_t epoch, uint64_t holder,
                          uint64_t incarnation, clm_state_t state,
                          uint64_t runner);

// entry_members.c
ent_vm_t *ent_vm_find (ent_entry_t *entry, kb_slice_t name);
void ent_members_start (ent_entry_t *entry);
void ent_members_tick (ent_entry_t *entry, uint64_t now_ms);
void ent_members_hello (ent_entry_t *entry, kb_slice_t from,
                        const msg_hello_t *hello);
void ent_members_ping (ent_entry_t *entry, kb_slice_t from,
                       const msg_ping_t *ping);
void ent_members_pong (ent_entry_t *entry, ent_vm_t *vm,
                       const msg_pong_t *pong);
/// Conclude again what state a VM is in.
void ent_vm_update (ent_entry_t *entry, ent_vm_t *vm);
/// The entry that a key belongs to by rendezvous among the live ones.
/// @return  Its name; NULL when this entry is alone and draining.
const char *ent_members_choose (ent_entry_t *entry, uint64_t key,
                                bool with_self);

// entry_shards.c
/// Whether the map names this entry and incarnation.
bool ent_shard_is_own (const ent_entry_t *entry, const shm_shard_t *shard);
void ent_claims_tick (ent_entry_t *entry, uint64_t now_ms);
void ent_claims_map_item (ent_entry_t *entry, const kvc_item_t *item);
/// Read the shard map, unless it was read just now.
void ent_claims_read_map (ent_entry_t *entry);
void ent_claims_on_records (ent_entry_t *entry, kb_slice_t from,
                            const msg_records_t *records);
/// Hand all shards to other entries.
void ent_claims_hand_over (ent_entry_t *entry);
uint32_t ent_claims_owned (const ent_entry_t *entry);

// entry_claims.c
/// Claim for the request's present attempt.
void ent_claim_send (ent_request_t *r);
void ent_claim_note (ent_request_t *r, clm_state_t state);
void ent_claims_on_claim (ent_entry_t *entry, kb_slice_t from,
                          const msg_claim_t *claim);
void ent_claims_on_reply (ent_entry_t *entry, const msg_claim_reply_t *reply);
void ent_claims_on_note (ent_entry_t *entry, const msg_claim_note_t *note);
void ent_claims_on_recover (ent_entry_t *entry, kb_slice_t from,
                            const msg_recover_t *recover);

// entry_config.c
void ent_config_tick (ent_entry_t *entry, uint64_t now_ms);
/// Some daemon is at this revision.
void ent_config_heard (ent_entry_t *entry, uint64_t revision, kb_slice_t peer);
void ent_config_on_pull (ent_entry_t *entry, kb_slice_t from,
                         const msg_config_pull_t *pull);
void ent_config_on_part (ent_entry_t *entry, kb_slice_t from,
                         const msg_config_part_t *part);
static inline uint64_t
ent_revision (const ent_entry_t *entry)
{
  return entry->config.current == NULL ? 0 : entry->config.current->revision;
}

#endif
