/// @file sidecar_defs.h
/// State of the sidecar, shared by its source files.
#ifndef KB_SIDECAR_SIDECAR_DEFS_H
#define KB_SIDECAR_SIDECAR_DEFS_H

#include "coordination/admit.h"
#include "coordination/lateorder.h"
#include "coordination/origins.h"
#include "coordination/quarantine.h"
#include "coordination/quota_lend.h"
#include "coordination/rto.h"
#include "relay/host.h"
#include "relay/reader.h"
#include "relay/versions.h"
#include "sidecar/sidecar.h"
#include "state/incarnation.h"

enum
{
  SCR_MAX_GATEWAYS = 512,
};

/// A gateway connected to this sidecar.
typedef struct
{
  char name[48];
  uint64_t id; ///< Hash of its name.
  uint64_t incarnation;
  uint64_t revision;       ///< Of its configuration.
  uint64_t versions_known; ///< Change count of its adapter versions.
  uint64_t list_stamp;     ///< Of the last adapter list sent to it.
  uint64_t last_contact_ms;
  uint64_t connected_ms; ///< When its connection was last seen established.
} scr_gateway_t;

struct scr_sidecar
{
  hst_host_t host; ///< Must be first: cast from hst_host_t.
  egn_engine_t *engine;
  src_decode_t decode;
  adm_table_t table; ///< Requests, places and adapters.
  ver_table_t versions;
  qrt_table_t quarantine;     ///< Kept for gateways that restart.
  org_table_t origins;        ///< Kept for gateways that restart.
  qln_lender_t lender;        ///< Lends workspaces' quotas.
  qln_lender_t target_limits; ///< Lends the limits of plain targets.
  qgw_table_t lender_role;    ///< Part of the quotas that it may lend.
  svc_config_t *config;
  kb_buf_t document;
  uint64_t document_received_ms; ///< When the configuration arrived.
  scr_gateway_t gateways[SCR_MAX_GATEWAYS];
  uint32_t gateway_count;
  uint32_t engine_count; ///< Engines of the service, as reported by gateways.

  bool is_engine_call_pending;   ///< A report or an order is pending.
  uint64_t polled_ms;            ///< When a report was asked for last.
  uint32_t polled_broken_starts; ///< Broken starts when a report was asked for
                                 ///< last.
  /// Place whose request started alone, until the engine is known to have
  /// lived on after its answer; zero: none.
  uint64_t unsettled_place;
  uint64_t unsettled_owner; ///< Id of its gateway.
  bool has_report;
  msg_engine_condition_t condition;
  inc_t engine_incarnation; ///< Its id is empty until it is known.
  bool is_identifying;
  uint64_t identify_sent_ms;  ///< Last request for the incarnation.
  uint64_t engine_restarts;   ///< Restarts of the engine that were noticed.
  uint64_t identify_restarts; ///< The same when the last request was sent.
  uint64_t seq; ///< Orders accepted by the engine since its start.
  bool is_model_held;
  bool is_engine_busy;
  uint64_t model_ordered_ms;  ///< Last order to load a model.
  uint64_t model_ordered_seq; ///< The count of orders that it expected.
  /// Whether that order was not sent, conflicted, or got no answer.
  bool is_model_order_in_doubt;
  uint32_t report_failures;

  /// The pending order.
  adm_action_kind_t order_kind;
  uint64_t order_adapter; ///< Key of the adapter; zero: the model.
  uint64_t ordered_ms;
  rto_timeout_t order_timeout;
  lto_orders_t late_orders; ///< Orders that got no answer.
  rdr_reader_t *reader;     ///< Of the store; NULL: no store address is set.
  shr_cache_t *share_cache; ///< NULL: no gateway has requested changes lately.
  tmr_timer_t share_timer;
  tmr_timer_t share_idle_timer;
  bool is_state_pending;
  uint64_t state_sent_ms;
  tmr_timer_t poll_timer;
  tmr_timer_t state_timer;
  tmr_timer_t heartbeat_timer;
  tmr_timer_t queue_timer;
  tmr_timer_t settle_timer;
  tmr_timer_t exit_timer;
};

static inline uint64_t
scr_now_ms (const scr_sidecar_t *s)
{
  return hst_now_ms (&s->host);
}

static inline uint64_t
scr_name_id (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

// sidecar_state.c
scr_gateway_t *scr_gateway_find (scr_sidecar_t *s, uint64_t id);
void scr_send (scr_sidecar_t *s, const scr_gateway_t *gateway,
               const msg_t *msg);
/// Send the state to one gateway, or to all when `only` is NULL.
void scr_send_state (scr_sidecar_t *s, scr_gateway_t *only);
/// Schedule a state message to all gateways; changes in quick succession are
/// sent as one.
void scr_state_changed (scr_sidecar_t *s);
void scr_set_condition (scr_sidecar_t *s, msg_engine_condition_t condition);

// sidecar_links.c
void scr_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg);
/// @return  The service of this engine; NULL before a configuration arrived.
const svc_service_t *scr_own_service (const scr_sidecar_t *s);
void scr_grant (scr_sidecar_t *s, const adm_request_t *request);
/// Report that a request whose place was granted alone starts alone no more.
/// @param has_lived_on  Rather that the engine lived on after its answer: an
///                      end of the engine is not its own.
void scr_report_joined (scr_sidecar_t *s, uint64_t owner, uint64_t place_id,
                        bool has_lived_on);
void scr_decline (scr_sidecar_t *s, kb_slice_t peer, uint64_t id,
                  const char *reason, uint64_t retry_after_ms);

// sidecar_share.c
/// Handle a request for changes of the store.
void scr_share_handle_request (scr_sidecar_t *s, kb_slice_t peer,
                               const msg_changes_request_t *msg);

// sidecar_quarantine.c
/// Receive records of requests during which targets ended.
void scr_quarantine_receive (scr_sidecar_t *s, kb_slice_t records);
/// Send a gateway the records that it lacks.
/// @param stamp  Of the records that it knows.
void scr_quarantine_sync_gateway (scr_sidecar_t *s,
                                  const scr_gateway_t *gateway,
                                  uint64_t stamp);

// sidecar_origins.c
/// Remember what began streams.
void scr_origins_receive (scr_sidecar_t *s, const msg_origins_t *origins);
/// Handle the question of what began a stream.
void scr_origins_handle_request (scr_sidecar_t *s, kb_slice_t peer,
                                 const msg_origin_request_t *request);

// sidecar_quota.c
void scr_quota_init (scr_sidecar_t *s);
/// @param gateway  Id of the sender.
void scr_quota_receive_state (scr_sidecar_t *s, uint64_t gateway,
                              const msg_gateway_state_t *state);
/// Handle a request for credit.
void scr_quota_handle_request (scr_sidecar_t *s, kb_slice_t peer,
                               const msg_quota_request_t *request);

// sidecar_engine.c
/// Grant and decline places and order the engine, as far as possible now.
void scr_process_queue (scr_sidecar_t *s);
/// Request a report from the engine unless a call is pending.
/// @param arg  The sidecar.
void scr_poll_engine (void *arg);
/// Find out whether the engine lives on after the answer of a request that
/// started alone there.
void scr_await_settlement (scr_sidecar_t *s, const adm_request_t *request);

#endif
