/// @file sidecar_defs.h
/// State of the sidecar, shared by its files.
#ifndef KB_SIDECAR_SIDECAR_DEFS_H
#define KB_SIDECAR_SIDECAR_DEFS_H

#include "coordination/admit.h"
#include "coordination/lateorder.h"
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

/// A gateway that speaks to this sidecar.
typedef struct
{
  char name[48];
  uint64_t id; ///< Hash of its name.
  uint64_t incarnation;
  uint64_t revision;
  uint64_t versions_known;
  uint64_t list_stamp; ///< Of the adapter list it was sent last.
  uint64_t heard_ms;
} scr_gateway_t;

struct scr_sidecar
{
  hst_host_t host; ///< First.
  egn_engine_t *engine;
  src_decode_t decode;
  adm_table_t table;
  ver_table_t versions;
  qrt_table_t quarantine; ///< Kept for gateways that start again.
  qln_lender_t lender;    ///< Of workspaces' quotas.
  qln_lender_t limits;    ///< Lends what plain targets take.
  qof_office_t office;
  svc_config_t *config;
  kb_buf_t document;
  uint64_t document_ms; ///< When it came.
  scr_gateway_t gateways[SCR_MAX_GATEWAYS];
  uint32_t gateway_count;
  uint32_t engine_count; ///< Of the service, as gateways see it.

  bool is_calling; ///< A report or an order is under way.
  bool has_report;
  msg_engine_condition_t condition;
  inc_t who; ///< The engine; its id is empty until it is known.
  bool is_identifying;
  uint64_t identified_ms; ///< When it was last asked for.
  uint64_t seq;
  bool is_model_held;
  bool is_engine_busy;
  uint64_t model_ordered_ms; ///< Last order to fetch a model.
  uint32_t report_failures;

  /// The order under way.
  adm_kind_t order_kind;
  uint64_t order_adapter; ///< Key; zero: the model.
  uint64_t ordered_ms;
  rto_timeout_t order_timeout;
  lto_orders_t late_orders; ///< Without an answer.
  rdr_reader_t *reader;     ///< Of the store; NULL: it has none.
  shr_cache_t *share;       ///< NULL: no gateway asks for changes.
  tmr_timer_t share_timer;
  tmr_timer_t share_idle_timer;
  bool is_state_due;
  uint64_t told_ms;
  tmr_timer_t poll_timer;
  tmr_timer_t tell_timer;
  tmr_timer_t watch_timer;
  tmr_timer_t pace_timer;
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

// sidecar_tell.c
scr_gateway_t *scr_gateway_find (scr_sidecar_t *s, uint64_t id);
void scr_send (scr_sidecar_t *s, const scr_gateway_t *gateway,
               const msg_t *msg);
/// Tell one gateway, or all when `only` is NULL.
void scr_tell_state (scr_sidecar_t *s, scr_gateway_t *only);
/// Tell the gateways soon; changes close together go out as one.
void scr_state_changed (scr_sidecar_t *s);
void scr_set_condition (scr_sidecar_t *s, msg_engine_condition_t condition);

// sidecar_links.c
void scr_on_message (hst_host_t *host, kb_slice_t peer, const msg_t *msg);
/// @return  The service of this engine, or NULL before a configuration.
const svc_service_t *scr_own_service (const scr_sidecar_t *s);
void scr_grant (scr_sidecar_t *s, const adm_ask_t *ask);
void scr_decline (scr_sidecar_t *s, kb_slice_t peer, uint64_t id,
                  const char *reason, uint64_t retry_after_ms);

// sidecar_share.c
/// A gateway asks for changes of the store.
void scr_share_ask (scr_sidecar_t *s, kb_slice_t peer,
                    const msg_changes_ask_t *given);

// sidecar_quarantine.c
/// A gateway tells of requests under which targets ended.
void scr_quarantine_take (scr_sidecar_t *s, kb_slice_t words);
/// Give a gateway what it lacks.
/// @param stamp  Of what it knows.
void scr_quarantine_help (scr_sidecar_t *s, const scr_gateway_t *gateway,
                          uint64_t stamp);

// sidecar_quota.c
void scr_quota_init (scr_sidecar_t *s);
/// @param gateway  Id of the one that tells its state.
void scr_quota_take_state (scr_sidecar_t *s, uint64_t gateway,
                           const msg_gateway_state_t *state);
/// A gateway asks for credit.
void scr_quota_ask (scr_sidecar_t *s, kb_slice_t peer,
                    const msg_quota_ask_t *given);

// sidecar_engine.c
/// Do whatever can be done now: grant, decline, order.
void scr_pump (scr_sidecar_t *s);
/// Ask the engine for its report, unless a call is under way; takes the
/// sidecar.
void scr_poll (void *arg);

#endif
