#include "gateway/gateway.h"

#include <stdlib.h>

#include "gateway/gateway_origin.h"
#include "gateway/gateway_suspects.h"
#include "transport/log.h"
#include "transport/metrics.h"

static void
source_on_config (void *owner, svc_config_t *config, kb_slice_t document)
{
  gtw_apply_config (owner, config, document, "store");
}

static void
source_on_target (void *owner, const src_target_t *target)
{
  gtw_target_apply_listing (owner, target);
}

static void
source_on_target_gone (void *owner, kb_slice_t id)
{
  gtw_target_remove_listing (owner, id);
}

static void
source_on_target_leaving (void *owner, kb_slice_t id)
{
  gtw_target_set_leaving (owner, id);
}

static bool
source_is_target_alive (void *owner, kb_slice_t id)
{
  return gtw_target_is_confirmed (owner, id);
}

static void
source_on_version (void *owner, const src_version_t *version)
{
  gtw_apply_adapter_version (owner, version->model, version->adapter,
                             version->version);
}

static void
source_on_record (void *owner, const src_record_t *record)
{
  gtw_records_receive (owner, record);
  gtw_software_receive_record (owner, record);
  gtw_parts_clear_served (owner);
}

static void
source_on_record_removed (void *owner, kb_slice_t key)
{
  gtw_software_remove_record (owner, key);
}

static void
source_on_restored (void *owner)
{
  gtw_gateway_t *gateway = owner;
  gtw_records_handle_restore (gateway);
  gtw_software_handle_restore (gateway);
}

static void
source_on_targets_known (void *owner)
{
  gtw_gateway_t *gateway = owner;
  if (gateway->has_target_list)
    return;
  gateway->has_target_list = true;
  gateway->target_list_ms = gtw_now_ms (gateway);
  sfw_list_complete (&gateway->software,
                     gateway->source->vtable->era (gateway->source) > 0);
}

static void
source_on_reachable (void *owner, bool is_reachable)
{
  log_line_t line;
  if (log_begin (&line, is_reachable ? LOG_INFO : LOG_WARN, "gateway",
                 is_reachable ? "store_regained" : "store_lost"))
    log_end (&line);
  met_set (met_counter ("knapweedbay_store_reachable", ""), is_reachable);
}

static const src_events_t source_events = {
  .on_config = source_on_config,
  .on_target = source_on_target,
  .on_target_removed = source_on_target_gone,
  .on_target_leaving = source_on_target_leaving,
  .is_target_alive = source_is_target_alive,
  .on_version = source_on_version,
  .on_record = source_on_record,
  .on_record_removed = source_on_record_removed,
  .on_restored = source_on_restored,
  .on_target_list_complete = source_on_targets_known,
  .on_reachable = source_on_reachable,
};

static bool
is_ready (gtw_gateway_t *gateway)
{
  return gateway->config != NULL && gateway->has_target_list
         && gateway->stop_began_ms == 0
         && !itk_is_short (&gateway->accept.intake, tmr_now_ms ());
}

static int
ready_page_status (void *owner, kb_slice_t path, kb_buf_t *body)
{
  return is_ready (owner) ? 200 : 503;
}

/// Resume requests that no longer wait for credit.
static void
gateway_resume_decided (void *arg)
{
  gtw_gateway_t *gateway = arg;
  for (gtw_request_t *r = gtw_quota_pop_decided (gateway); r != NULL;
       r = gtw_quota_pop_decided (gateway))
    gtw_request_resume (r);
}

static void
gateway_retry_waiting (void *arg)
{
  gtw_requests_retry_waiting (arg);
}

static void
gateway_relieve_memory (void *arg)
{
  gtw_memory_relieve (arg);
}

static void
gateway_tick (void *arg)
{
  gtw_gateway_t *gateway = arg;
  gtw_load_record_tick (gateway);
  gtw_resume_tick (gateway);
  gtw_clients_check_timeouts (gateway);
  gtw_memory_relieve (gateway);
  if (!gateway->accept.intake.has_room)
    gtw_clients_make_room (gateway);
  qrt_expire (&gateway->quarantine, gtw_now_ms (gateway));
  org_expire (&gateway->origins, gtw_now_ms (gateway));
  gtw_targets_tick (gateway);
  gtw_liveness_tick (gateway);
  gtw_quotas_tick (gateway);
  gtw_requests_retry_waiting (gateway);
}

static void
gateway_on_stop (hst_host_t *host)
{
  gtw_stop_begin ((gtw_gateway_t *)host);
}

static void
gateway_on_reload (hst_host_t *host)
{
  gtw_budgets_apply_settings ((gtw_gateway_t *)host);
  gtw_stop_apply_settings ((gtw_gateway_t *)host);
}

static void
gateway_on_metrics (hst_host_t *host)
{
  gtw_gateway_t *gateway = (gtw_gateway_t *)host;
  gtw_metrics_set_gauges (gateway, is_ready (gateway));
  gateway->source->vtable->set_gauges (gateway->source);
}

static const hst_role_t gateway_role
    = { gtw_on_message, gateway_on_stop, gateway_on_reload,
        gateway_on_metrics };

static kb_status_t
open_ready_page (gtw_gateway_t *gateway, kb_error_t *error)
{
  const set_settings_t *s = &gateway->host.settings;
  struct sockaddr_in address;
  if (h1_parse_address (kb_slice_str (s->ready_address), &address) != KB_OK)
    return kb_error_set (error, KB_EINVAL,
                         "\"ready_address\": \"%s\" is not \"ip:port\"",
                         s->ready_address);
  return pgs_server_init (&gateway->ready_page, &gateway->host.loop, &address,
                          ready_page_status, gateway, error);
}

gtw_gateway_t *
gtw_gateway_start (const set_settings_t *settings, const char *path,
                   const dpl_deployment_t *deployment, kb_error_t *error)
{
  gtw_gateway_t *gateway = kb_alloc (sizeof *gateway);
  *gateway = (gtw_gateway_t){ .host.settings = *settings,
                              .deployment = deployment,
                              .dialect = deployment->dialect,
                              .gateway_count = 1,
                              .on_decided = gateway_resume_decided,
                              .on_retry = gateway_retry_waiting,
                              .on_over_limit = gateway_relieve_memory };
  plc_costs_default (&gateway->costs);
  qrt_table_init (&gateway->quarantine);
  org_table_init (&gateway->origins);
  sfw_table_init (&gateway->software);
  if (hst_host_init (&gateway->host, &gateway_role, gateway, path,
                     settings->name, error)
      != KB_OK)
    return NULL;
  // Place ids must differ from those of the previous process.
  gateway->next_place_id = gateway->host.incarnation >> 24 << 20;
  gateway->source
      = deployment->make_source (&gateway->host.pool, settings, error);
  if (gateway->source == NULL || open_ready_page (gateway, error) != KB_OK
      || gtw_listen (gateway, error) != KB_OK)
    return NULL;
  gateway->started_ms = gateway->budgets_since_ms = gtw_now_ms (gateway);
  gateway->started_boot_ms = gateway->last_no_contact_ms = tmr_boottime_ms ();
  gtw_load_init (gateway);
  gtw_peers_init (gateway);
  gtw_records_init (gateway);
  gateway->source->vtable->set_peers (gateway->source, &gateway->peers.peers);
  gateway->source->vtable->start (gateway->source, &source_events, gateway);
  tmr_start_periodic (&gateway->host.timers, &gateway->tick, GTW_TICK_MS,
                      gateway_tick, gateway);
  return gateway;
}

int
gtw_gateway_run (gtw_gateway_t *gateway)
{
  return hst_host_run (&gateway->host);
}
