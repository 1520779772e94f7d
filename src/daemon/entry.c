/// @file entry.c
/// Message dispatch, periodic work, load gate and drain of the entry role.
#include "daemon/entry.h"

#include <inttypes.h>
#include <stdio.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  TICK_MS = 100, ///< Period of on_tick.
  REMOVE_ADAPTERS_TICKS = 100,
  ADAPTER_IDLE_LIMIT_MS = 3600000,
  EXIT_FLUSH_MS = 200,
};

static void gate_grant_pending (ent_entry_t *entry);

static void
gate_timer_on_expire (void *arg)
{
  gate_grant_pending (arg);
}

/// Grant the loads that the gate allows now, and set the timer for the next.
static void
gate_grant_pending (ent_entry_t *entry)
{
  const gat_request_t *grant;
  while ((grant = gat_grant_next (&entry->gate, tmr_now_us ())) != NULL)
    {
      ent_vm_t *vm = kb_map_get (&entry->vms, grant->agent);
      msg_t msg = { .type = MSG_GATE_GRANT };
      msg.gate_grant.id = grant->id;
      if (vm == NULL || dmn_send (entry->daemon, vm->name, &msg) != KB_OK)
        gat_end_load (&entry->gate, grant->agent, grant->id);
    }
  uint64_t wait_us = gat_wait_us (&entry->gate, tmr_now_us ());
  if (wait_us > 0)
    tmr_start_once (&entry->daemon->timers, &entry->gate_timer,
                    wait_us / 1000 + 1, gate_timer_on_expire, entry);
}

static void
on_gate_request (ent_entry_t *entry, ent_vm_t *vm,
                 const msg_gate_request_t *load_request)
{
  gat_request_load (&entry->gate, vm->id, load_request->id,
                    (uint8_t)load_request->priority_class,
                    (uint32_t)load_request->waiting, tmr_now_us ());
  gate_grant_pending (entry);
}

static void
on_announce (ent_entry_t *entry, kb_slice_t from, const msg_announce_t *a)
{
  ent_config_record_revision (entry, a->revision, from);
  if (a->map_revision > entry->shard_map_mod_revision)
    ent_claims_read_map (entry);
}

/// Handle the messages that are accepted only after a hello.
static void
dispatch_from_vm (ent_entry_t *entry, ent_vm_t *vm, const msg_t *msg)
{
  switch (msg->type)
    {
    case MSG_PONG:
      ent_members_on_pong (entry, vm, &msg->pong);
      break;
    case MSG_PART:
      ent_request_on_part (entry, &msg->part);
      break;
    case MSG_END:
      ent_request_on_end (entry, kb_slice_str (vm->name), &msg->end);
      break;
    case MSG_QUARANTINE:
      ent_quarantine_merge (entry, msg->quarantine.records);
      ent_parts_clear_served (entry);
      break;
    case MSG_RUN_CONFIRMED:
      ent_quarantine_confirm (entry, msg->run_confirmed.request);
      break;
    case MSG_REVOKED:
      ent_request_on_revoked (entry, &msg->revoked);
      break;
    case MSG_GATE_REQUEST:
      on_gate_request (entry, vm, &msg->gate_request);
      break;
    case MSG_GATE_DONE:
      gat_end_load (&entry->gate, vm->id, msg->gate_done.id);
      gate_grant_pending (entry);
      break;
    default:
      MET_INC ("knapweedbay_inner_dropped_total", "reason=\"unexpected\"");
    }
}

static void
link_on_message (lnk_link_t *link, kb_slice_t from, const msg_t *msg)
{
  ent_entry_t *entry = ((dmn_daemon_t *)link->owner)->role_state;
  ent_vm_t *vm = ent_vm_find (entry, from);
  if (vm != NULL)
    mem_vm_record_message (&vm->member, MEM_REPORTED_NONE, tmr_now_ms ());
  switch (msg->type)
    {
    case MSG_HELLO:
      ent_members_on_hello (entry, from, &msg->hello);
      break;
    case MSG_PING:
      ent_members_on_ping (entry, from, &msg->ping);
      break;
    case MSG_ANNOUNCE:
      on_announce (entry, from, &msg->announce);
      break;
    case MSG_CONFIG_PULL:
      ent_config_on_pull (entry, from, &msg->config_pull);
      break;
    case MSG_CONFIG_PART:
      ent_config_on_part (entry, from, &msg->config_part);
      break;
    case MSG_CLAIM:
      ent_claims_on_claim (entry, from, &msg->claim);
      break;
    case MSG_CLAIM_REPLY:
      ent_claims_on_reply (entry, &msg->claim_reply);
      break;
    case MSG_CLAIM_OUTCOME:
      ent_claims_on_outcome (entry, &msg->claim_outcome);
      break;
    case MSG_RECORDS:
      ent_claims_on_records (entry, from, &msg->records);
      break;
    case MSG_RECOVER:
      ent_claims_on_recover (entry, from, &msg->recover);
      break;
    default:
      if (vm != NULL)
        dispatch_from_vm (entry, vm, msg);
      else
        MET_INC ("knapweedbay_inner_dropped_total", "reason=\"no_hello\"");
    }
}

static void
link_on_disconnect (lnk_link_t *link, const char *address)
{
  ent_entry_t *entry = ((dmn_daemon_t *)link->owner)->role_state;
  uint64_t key = kb_hash (address, strlen (address), 0) | 1;
  ent_vm_t *vm = kb_map_get (&entry->vms_by_address, key);
  if (vm == NULL)
    return;
  mem_vm_record_disconnect (&vm->member);
  ent_vm_update_state (entry, vm);
  gat_remove_agent (&entry->gate, vm->id);
}

static void
exit_timer_on_expire (void *arg)
{
  ent_entry_t *entry = arg;
  dmn_exit (entry->daemon, entry->is_drain_limit_reached ? DMN_EXIT_DRAIN_LIMIT
                                                         : DMN_EXIT_OK);
}

static void
end_requests (ent_entry_t *entry)
{
  ent_request_t *next;
  for (ent_request_t *r = entry->requests; r != NULL; r = next)
    {
      next = r->next;
      ent_request_end_at_drain_limit (r);
    }
}

static void
check_drain_progress (ent_entry_t *entry, uint64_t now)
{
  if (!entry->daemon->is_draining || entry->exit_timer.heap_position != 0)
    return;
  uint64_t limit_ms = (uint64_t)entry->daemon->settings.drain_limit_ms;
  bool is_limit_reached = now - entry->drain_started_ms > limit_ms;
  bool is_done = entry->request_count == 0 && entry->is_handover_done;
  if (!is_done && !is_limit_reached)
    return;
  if (!is_done)
    log_write (LOG_ERROR, "daemon",
               "The drain limit is reached with %u requests in progress.",
               entry->request_count);
  entry->is_drain_limit_reached = entry->request_count > 0;
  end_requests (entry);
  tmr_start_once (&entry->daemon->timers, &entry->exit_timer, EXIT_FLUSH_MS,
                  exit_timer_on_expire, entry);
}

static void
on_tick (void *arg)
{
  ent_entry_t *entry = arg;
  uint64_t now = tmr_now_ms ();
  entry->tick_count++;
  ent_members_tick (entry, now);
  qrt_expire (&entry->quarantine, now);
  ent_config_tick (entry, now);
  ent_claims_tick (entry, now);
  gate_grant_pending (entry); // Also expires the grants of lost holders.
  if (entry->tick_count % REMOVE_ADAPTERS_TICKS == 0
      && now > ADAPTER_IDLE_LIMIT_MS)
    rt_remove_idle_adapters (&entry->routes, now - ADAPTER_IDLE_LIMIT_MS);
  met_set (met_counter ("knapweedbay_requests_in_progress", ""),
           entry->request_count);
  check_drain_progress (entry, now);
}

static void
on_drain (dmn_daemon_t *daemon)
{
  ent_entry_t *entry = daemon->role_state;
  entry->drain_started_ms = tmr_now_ms ();
  ent_claims_hand_over (entry);
}

static void
on_request (dmn_daemon_t *daemon, hts_request_t *request)
{
  ent_http_handle_request (daemon->role_state, request);
}

static void
on_abort (dmn_daemon_t *daemon, hts_request_t *request)
{
  if (request->owner != NULL)
    ent_request_abort (request->owner);
}

static bool
is_ready (dmn_daemon_t *daemon)
{
  ent_entry_t *entry = daemon->role_state;
  return entry->config.current != NULL && entry->config.is_confirmed;
}

static void
write_vm (const ent_vm_t *vm, bool is_first, kb_buf_t *out)
{
  static const char *const states[] = { "down", "leaving", "up", "gone" };
  kb_buf_printf (
      out,
      "%s{\"name\":\"%s\",\"role\":\"%s\",\"failure_domain\":\"%s\","
      "\"service\":\"%s\",\"state\":\"%s\",\"revision\":%" PRIu64
      ",\"queue\":%" PRIu64 ",\"running\":%" PRIu64
      ",\"inflight\":%u,\"stall_ms_total\":%" PRIu64 ",\"step_fill\":%.3f}",
      is_first ? "" : ",", vm->name, vm->is_entry ? "entry" : "agent",
      vm->domain, vm->service, states[vm->state], vm->revision,
      vm->last_pong.queue_len, vm->last_pong.running, vm->inflight,
      vm->last_pong.stall_us_total / 1000,
      (double)vm->last_pong.fill_permille / 1000);
}

static void
write_status (dmn_daemon_t *daemon, kb_buf_t *out)
{
  ent_entry_t *entry = daemon->role_state;
  const cfg_config_t *config = entry->config.current;
  kb_buf_printf (out,
                 ",\"revision\":%" PRIu64
                 ",\"adapters\":%u,\"requests\":%u,\"shards_owned\":%u,"
                 "\"claims\":%u,\"watcher\":%s,\"gate_wishes\":%u,\"vms\":[",
                 ent_config_revision (entry),
                 config ? config->adapter_count : 0, entry->request_count,
                 ent_claims_count_owned_shards (entry),
                 entry->claim_owner.records.len,
                 entry->config.is_watcher ? "true" : "false", entry->gate.len);
  uint32_t at = 0;
  bool is_first = true;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    {
      write_vm (vm, is_first, out);
      is_first = false;
    }
  kb_buf_append_str (out, "]");
}

static const dmn_role_t entry_role
    = { on_request, on_abort, on_drain, is_ready, write_status };
static const lnk_events_t link_events
    = { link_on_message, link_on_disconnect };

kb_status_t
ent_start (dmn_daemon_t *daemon, kb_error_t *error)
{
  enum
  {
    MAX_RETRY_BUDGET = 100,
    GRANT_HOLD_LIMIT_US = 30000000
  };
  static ent_entry_t entry;
  const set_settings_t *s = &daemon->settings;
  entry.daemon = daemon;
  entry.started_ms = tmr_now_ms ();
  entry.member_options
      = (mem_options_t){ .silence_ms = (uint64_t)s->silence_ms,
                         .gone_after_ms = (uint64_t)s->vm_gone_after_ms };
  rt_options_t route_options;
  rt_options_default (&route_options);
  rt_table_init (&entry.routes, &route_options);
  lim_retry_init (&entry.retry_budget, 0.2, MAX_RETRY_BUDGET);
  clm_owner_init (&entry.claim_owner, (uint32_t)s->claim_limit,
                  (uint64_t)s->claim_window_ms);
  gat_options_t gate_options = { .rate_per_s = s->load_rate_per_s,
                                 .concurrency = (uint32_t)s->load_concurrency,
                                 .max_hold_us = GRANT_HOLD_LIMIT_US };
  gat_gate_init (&entry.gate, &gate_options, tmr_now_us ());
  kb_status_t status
      = dmn_init (daemon, &entry_role, &link_events, &entry, error);
  if (status != KB_OK)
    return status;
  ent_members_start (&entry);
  tmr_start_periodic (&daemon->timers, &entry.tick_timer, TICK_MS, on_tick,
                      &entry);
  return KB_OK;
}
