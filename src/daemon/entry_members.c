/// @file entry_members.c
/// Membership at an entry: the platform's list of VMs, hellos and pings.
#include <stdio.h>
#include <stdlib.h>

#include "daemon/entry_defs.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  PING_BUSY_MS = 2000,  ///< To a target with attempts of this entry.
  PING_IDLE_MS = 15000, ///< To any other daemon.
  DOWN_RETRY_MS = 1000, ///< Tolerates flaps; then retries repeatable requests.
  DOWN_FAIL_MS = 5000,  ///< Then fails the remaining requests as unknown.
};

ent_vm_t *
ent_vm_find (ent_entry_t *entry, kb_slice_t name)
{
  return kb_map_get (&entry->vms, dmn_name_id (name));
}

static ent_vm_t *
vm_find_or_add (ent_entry_t *entry, kb_slice_t name)
{
  ent_vm_t *vm = ent_vm_find (entry, name);
  if (vm != NULL)
    return vm;
  vm = kb_alloc (sizeof *vm);
  kb_slice_copy (name, vm->name, sizeof vm->name);
  vm->id = dmn_name_id (name);
  vm->route = RT_NONE;
  kb_map_put (&entry->vms, vm->id, vm);
  return vm;
}

static rt_state_t
route_state (mem_state_t state)
{
  switch (state)
    {
    case MEM_UP:
      return RT_UP;
    case MEM_LEAVING:
      return RT_LEAVING;
    default:
      return RT_DOWN;
    }
}

void
ent_vm_update_state (ent_entry_t *entry, ent_vm_t *vm)
{
  uint64_t now = tmr_now_ms ();
  mem_state_t state = mem_vm_state (&vm->member, &entry->member_options, now);
  if (state != vm->state)
    {
      static const char *const state_names[]
          = { "down", "leaving", "up", "gone" };
      log_write (LOG_INFO, "member", "%s is %s.", vm->name,
                 state_names[state]);
      bool is_down = state == MEM_DOWN || state == MEM_GONE;
      vm->down_since_ms
          = is_down ? (vm->down_since_ms ? vm->down_since_ms : now) : 0;
      vm->state = state;
    }
  if (vm->route == RT_NONE)
    return;
  rt_target_set_state (&entry->routes, vm->route, route_state (state));
  if (state == MEM_GONE)
    {
      rt_target_remove (&entry->routes, vm->route);
      vm->route = RT_NONE;
    }
}

static void
hello_build (ent_entry_t *entry, bool is_reply, msg_t *msg)
{
  const set_settings_t *s = &entry->daemon->settings;
  *msg = (msg_t){ .type = MSG_HELLO };
  msg->hello
      = (msg_hello_t){ .name = kb_slice_str (s->name),
                       .role = SET_ROLE_ENTRY,
                       .incarnation = entry->daemon->incarnation,
                       .failure_domain = kb_slice_str (s->failure_domain),
                       .revision = ent_config_revision (entry),
                       .state = entry->daemon->is_draining ? MSG_STATE_LEAVING
                                                           : MSG_STATE_LIVE,
                       .is_reply = is_reply };
}

static void
vm_add_route (ent_entry_t *entry, ent_vm_t *vm, const msg_hello_t *hello)
{
  kb_slice_copy (hello->service, vm->service, sizeof vm->service);
  uint64_t service = kb_hash (vm->service, strlen (vm->service), 0) | 1;
  uint64_t domain = kb_hash (vm->domain, strlen (vm->domain), 0);
  vm->route = rt_target_add (&entry->routes, vm->id, service, domain,
                             (uint32_t)hello->max_batch);
  if (vm->route == RT_NONE)
    log_write (LOG_ERROR, "member",
               "Routing table is full; target %s gets no requests.", vm->name);
}

void
ent_members_on_hello (ent_entry_t *entry, kb_slice_t from,
                      const msg_hello_t *hello)
{
  ent_vm_t *vm = vm_find_or_add (entry, from);
  uint64_t now = tmr_now_ms ();
  uint64_t former_incarnation = vm->member.incarnation;
  bool was_unreported = vm->member.reported == MEM_REPORTED_NONE;
  mem_reported_t reported_state = hello->state == MSG_STATE_LEAVING
                                      ? MEM_REPORTED_LEAVING
                                      : MEM_REPORTED_LIVE;
  bool is_new = mem_vm_record_hello (&vm->member, hello->incarnation,
                                     reported_state, now);
  vm->is_entry = hello->role == SET_ROLE_ENTRY;
  vm->revision = hello->revision;
  vm->memory_since_wall_ms = hello->memory_since_wall_ms;
  kb_slice_copy (hello->failure_domain, vm->domain, sizeof vm->domain);
  if (!vm->is_entry)
    vm_add_route (entry, vm, hello);
  if (is_new && former_incarnation != 0 && !vm->is_entry)
    {
      log_write (LOG_WARN, "member", "%s was restarted.", vm->name);
      clm_owner_runner_lost (&entry->claim_owner, vm->id, former_incarnation,
                             now);
      ent_requests_on_vm_lost (entry, vm, true);
      if (vm->route != RT_NONE)
        rt_clear_residency (&entry->routes, vm->route);
    }
  else if (was_unreported && !vm->is_entry)
    ent_requests_on_vm_reconnected (entry, vm);
  ent_vm_update_state (entry, vm);
  ent_config_record_revision (entry, hello->revision,
                              vm->is_entry ? from : (kb_slice_t){ "", 0 });
  if (hello->is_reply)
    return;
  msg_t msg;
  hello_build (entry, true, &msg);
  lnk_link_send (&entry->daemon->link, from, &msg);
}

void
ent_members_on_ping (ent_entry_t *entry, kb_slice_t from,
                     const msg_ping_t *ping)
{
  ent_config_record_revision (entry, ping->revision, from);
  msg_t msg = { .type = MSG_PONG };
  msg.pong
      = (msg_pong_t){ .stamp_us = ping->stamp_us,
                      .revision = ent_config_revision (entry),
                      .state = entry->daemon->is_draining ? MSG_STATE_LEAVING
                                                          : MSG_STATE_LIVE };
  lnk_link_send (&entry->daemon->link, from, &msg);
}

void
ent_members_on_pong (ent_entry_t *entry, ent_vm_t *vm, const msg_pong_t *pong)
{
  vm->last_pong = *pong;
  vm->revision = pong->revision;
  if (vm->route != RT_NONE)
    rt_record_load_report (&entry->routes, vm->route,
                           (uint32_t)pong->queue_len, (uint32_t)pong->running,
                           (uint32_t)pong->expected_wait_ms, tmr_now_ms ());
  if (pong->state == MSG_STATE_LEAVING)
    vm->member.reported = MEM_REPORTED_LEAVING;
  // The target that was leaving stays on, under another incarnation.
  else if (vm->member.reported == MEM_REPORTED_LEAVING)
    vm->member.reported = MEM_REPORTED_LIVE;
  ent_vm_update_state (entry, vm);
  ent_config_record_revision (entry, pong->revision,
                              vm->is_entry ? kb_slice_str (vm->name)
                                           : (kb_slice_t){ "", 0 });
}

static bool
is_self (const ent_entry_t *entry, const char *name)
{
  return strcmp (name, entry->daemon->settings.name) == 0;
}

/// Whether this entry opens the connection to a VM. Of two entries the one
/// with the smaller name does, since two connections under one name would
/// conflict.
static bool
is_initiator_for (const ent_entry_t *entry, const vml_vm_t *vm)
{
  return !vm->is_entry || strcmp (entry->daemon->settings.name, vm->name) < 0;
}

static void
vm_connect (ent_entry_t *entry, ent_vm_t *vm, const vml_vm_t *listed)
{
  const set_settings_t *s = &entry->daemon->settings;
  if (vm->is_initiator && strcmp (vm->address, listed->address) == 0)
    return;
  if (vm->is_initiator)
    {
      lnk_link_disconnect (&entry->daemon->link, vm->address);
      kb_map_remove (&entry->vms_by_address,
                     kb_hash (vm->address, strlen (vm->address), 0) | 1);
    }
  snprintf (vm->address, sizeof vm->address, "%s", listed->address);
  const char *key = vm->is_entry ? s->curve_entry_key : s->curve_agent_key;
  vm->is_initiator
      = lnk_link_connect (&entry->daemon->link, vm->address, key) == KB_OK;
  kb_map_put (&entry->vms_by_address,
              kb_hash (vm->address, strlen (vm->address), 0) | 1, vm);
}

/// Apply an entry of which only the name is known, and perhaps that it says
/// that the VM is leaving.
static void
apply_unreadable_vm (ent_entry_t *entry, ent_vm_t *vm, bool is_leaving)
{
  mem_vm_set_listed_unreadable (&vm->member);
  if (is_leaving)
    mem_vm_set_listed (&vm->member, MEM_LISTED_LEAVING, tmr_now_ms ());
  ent_vm_update_state (entry, vm);
}

static void
apply_listed_vm (ent_entry_t *entry, const vml_vm_t *listed)
{
  if (is_self (entry, listed->name))
    return;
  ent_vm_t *vm = vm_find_or_add (entry, kb_slice_str (listed->name));
  vm->list_read_count = entry->list_read_count;
  if (!listed->is_readable)
    {
      apply_unreadable_vm (entry, vm, listed->is_leaving);
      return;
    }
  vm->is_entry = listed->is_entry;
  if (vm->domain[0] == '\0')
    snprintf (vm->domain, sizeof vm->domain, "%s", listed->failure_domain);
  mem_vm_set_listed (&vm->member,
                     listed->is_leaving ? MEM_LISTED_LEAVING : MEM_LISTED_LIVE,
                     tmr_now_ms ());
  if (is_initiator_for (entry, listed))
    vm_connect (entry, vm, listed);
  ent_vm_update_state (entry, vm);
}

static void
apply_absent_vms (ent_entry_t *entry)
{
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->list_read_count != entry->list_read_count)
      {
        mem_vm_set_listed (&vm->member, MEM_LISTED_ABSENT, tmr_now_ms ());
        ent_vm_update_state (entry, vm);
      }
}

static void
on_list_read (void *arg, const vml_list_t *list)
{
  ent_entry_t *entry = arg;
  if (list == NULL)
    {
      // A failed read says nothing about the state of any VM.
      MET_INC ("knapweedbay_list_failures_total", "");
      return;
    }
  entry->list_read_count++;
  for (uint32_t i = 0; i < list->count; i++)
    apply_listed_vm (entry, &list->vms[i]);
  if (!list->is_complete)
    return;
  entry->is_list_known = true;
  apply_absent_vms (entry);
}

static void
read_list (void *arg)
{
  ent_entry_t *entry = arg;
  pls_read (&entry->list, on_list_read, entry);
}

void
ent_members_start (ent_entry_t *entry)
{
  const set_settings_t *s = &entry->daemon->settings;
  pls_reader_init (&entry->list, &entry->daemon->http, s->list_address,
                   (uint16_t)s->list_port, (uint64_t)s->kv_timeout_ms);
  read_list (entry);
  tmr_start_periodic (&entry->daemon->timers, &entry->list_poll_timer,
                      (uint64_t)s->list_poll_ms, read_list, entry);
}

static void
vm_send_hello (ent_entry_t *entry, ent_vm_t *vm)
{
  msg_t msg;
  hello_build (entry, false, &msg);
  dmn_send (entry->daemon, vm->name, &msg);
}

static void
vm_ping (ent_entry_t *entry, ent_vm_t *vm, uint64_t now)
{
  // Absence from the list alone doesn't prove that the VM is gone; a quick
  // reply shows that it is up.
  bool is_absent_from_list = vm->member.listed == MEM_LISTED_ABSENT;
  uint64_t period_ms
      = vm->inflight > 0 || is_absent_from_list ? PING_BUSY_MS : PING_IDLE_MS;
  uint64_t since_last_message_ms = now - vm->member.last_message_ms;
  bool is_due
      = now - vm->last_ping_ms >= period_ms
        && (since_last_message_ms >= period_ms || vm->member.pinged_ms != 0);
  if (!is_due)
    return;
  vm->last_ping_ms = now;
  msg_t msg = { .type = MSG_PING };
  msg.ping = (msg_ping_t){ .stamp_us = tmr_now_us (),
                           .revision = ent_config_revision (entry),
                           .target_count = entry->routes.by_id.len };
  dmn_send (entry->daemon, vm->name, &msg);
  if (vm->member.pinged_ms == 0)
    vm->member.pinged_ms = now;
}

static void
vm_tick (ent_entry_t *entry, ent_vm_t *vm, uint64_t now)
{
  ent_vm_update_state (entry, vm);
  if (vm->member.reported == MEM_REPORTED_NONE && vm->is_initiator)
    vm_send_hello (entry, vm);
  else if (vm->member.reported != MEM_REPORTED_NONE)
    vm_ping (entry, vm, now);
  if (vm->down_since_ms == 0 || vm->is_entry || vm->inflight == 0)
    return;
  if (now - vm->down_since_ms > DOWN_FAIL_MS)
    ent_requests_on_vm_lost (entry, vm, true);
  else if (now - vm->down_since_ms > DOWN_RETRY_MS)
    ent_requests_on_vm_lost (entry, vm, false);
}

/// Remove one VM that is gone and has no attempts, if any.
static void
remove_gone_vm (ent_entry_t *entry)
{
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    if (vm->state == MEM_GONE && vm->inflight == 0)
      break;
  if (vm == NULL)
    return;
  if (vm->is_initiator)
    lnk_link_disconnect (&entry->daemon->link, vm->address);
  kb_map_remove (&entry->vms_by_address,
                 kb_hash (vm->address, strlen (vm->address), 0) | 1);
  clm_owner_runner_lost (&entry->claim_owner, vm->id, vm->member.incarnation,
                         tmr_now_ms ());
  kb_map_remove (&entry->vms, vm->id);
  free (vm);
}

void
ent_members_tick (ent_entry_t *entry, uint64_t now_ms)
{
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    vm_tick (entry, vm, now_ms);
  remove_gone_vm (entry);
}

const char *
ent_members_choose_entry (ent_entry_t *entry, uint64_t key, bool can_be_self)
{
  const char *own_name = entry->daemon->settings.name;
  const char *best = can_be_self ? own_name : NULL;
  uint64_t own_id = dmn_own_id (entry->daemon);
  uint64_t best_weight
      = can_be_self ? kb_hash (&own_id, sizeof own_id, key) : 0;
  uint32_t at = 0;
  ent_vm_t *vm;
  while ((vm = kb_map_next (&entry->vms, &at)) != NULL)
    {
      if (!vm->is_entry || vm->state != MEM_UP)
        continue;
      uint64_t weight = kb_hash (&vm->id, sizeof vm->id, key);
      if (best != NULL && weight <= best_weight)
        continue;
      best = vm->name;
      best_weight = weight;
    }
  return best;
}
