/// @file sidecar.h
/// The sidecar: the agent role for relayed engines. It alone orders the
/// engine on its VM, gives places to the gateways' requests and keeps the
/// adapters; answers go straight from the engine to the gateway.
#ifndef KB_SIDECAR_SIDECAR_H
#define KB_SIDECAR_SIDECAR_H

#include "coordination/admit.h"
#include "relay/deployment.h"
#include "relay/host.h"
#include "relay/versions.h"
#include "sidecar/engine.h"

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

typedef struct
{
  hst_host_t host; ///< First.
  egn_engine_t *engine;
  src_decode_t decode;
  adm_table_t table;
  ver_table_t versions;
  svc_config_t *config;
  kb_buf_t document;
  uint64_t document_ms; ///< When it came.
  scr_gateway_t gateways[SCR_MAX_GATEWAYS];
  uint32_t gateway_count;
  uint32_t engine_count; ///< Of the service, as gateways see it.

  bool is_calling; ///< A report or an order is under way.
  bool has_report;
  msg_engine_condition_t condition;
  char instance[EGN_NAME_BYTES]; ///< Empty: not known yet.
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
  bool is_state_due;
  uint64_t told_ms;
  tmr_sub_t poll_timer;
  tmr_sub_t tell_timer;
  tmr_sub_t watch_timer;
  tmr_sub_t exit_timer;
} scr_sidecar_t;

/// Open the inner port and begin to look after the engine.
/// @param settings  Checked settings of an agent.
/// @param path      Their file, to be read again when it changes.
/// @return          NULL with the reason in `error`.
scr_sidecar_t *scr_sidecar_start (const set_settings_t *settings,
                                  const char *path,
                                  const dpl_deployment_t *deployment,
                                  kb_error_t *error);
/// Run until the process is told to stop.
/// @return  The exit code.
int scr_sidecar_run (scr_sidecar_t *sidecar);

#endif
