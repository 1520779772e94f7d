/// @file agent_fence.c
/// The fencing number and the roster entry of an agent.
///
/// The number is max(last + 1, wall clock in milliseconds), registered by
/// compare-and-swap. During an outage of the key-value service the wall clock
/// alone is used, so that an agent can start; it registers as soon as the
/// service is back, and accepts no keyed requests until then.
#include <inttypes.h>
#include <stdio.h>

#include "daemon/agent_defs.h"
#include "protocol/fence.h"
#include "protocol/shardmap.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  FENCE_RETRY_MS = 500,
  FENCE_RETRY_JITTER_MS = 1000,
};

static void
fence_key (const agt_agent_t *agent, char *out, size_t out_bytes)
{
  snprintf (out, out_bytes, FNC_KEY_PREFIX "%s", agent->daemon->settings.name);
}

static void
fence_value (const agt_agent_t *agent, bool has_left, kb_buf_t *out)
{
  fnc_record_t record = { .fence = agent->fence,
                          .incarnation = agent->daemon->incarnation,
                          .memory_since_wall_ms = agent->memory_since_wall_ms,
                          .has_left = has_left };
  fnc_record_write (&record, out);
}

/// @return  Whether the record can be read.
static bool
parse_record (kb_slice_t value, fnc_record_t *out)
{
  if (fnc_record_parse (value, out))
    return true;
  MET_INC ("knapweedbay_entries_ignored_total", "reason=\"roster\"");
  log_write (LOG_WARN, "fence",
             "This target's record on the roster cannot be read; replacing "
             "it.");
  return false;
}

static void read_fence (void *arg);

static void
retry_read_fence (agt_agent_t *agent)
{
  uint64_t delay = FENCE_RETRY_MS + dmn_random () % FENCE_RETRY_JITTER_MS;
  tmr_start_once (&agent->daemon->timers, &agent->retry_fence, delay,
                  read_fence, agent);
}

/// The last step of the registration: apply the epochs in force. A takeover
/// swaps the shard map first and reads the roster after, so it either finds
/// this incarnation on the roster and queries it, or its epoch is in the map
/// read here. Otherwise a restarted agent would accept a former owner's grant.
static void
on_epochs_read (void *arg, kb_status_t status, const kvc_item_t *items,
                uint32_t count)
{
  agt_agent_t *agent = arg;
  shm_shard_t shards[SHM_SHARDS];
  bool is_read
      = status == KB_OK && (count == 0 || shm_parse (items[0].value, shards));
  if (!is_read)
    {
      retry_read_fence (agent);
      return;
    }
  for (uint32_t s = 0; count > 0 && s < SHM_SHARDS; s++)
    clm_runner_raise_epoch (&agent->claims, s, shards[s].epoch);
  agent->is_registered = true;
  if (agent->is_registering_again)
    {
      agent->is_registering_again = false;
      agent->is_fence_unverified = false;
      agt_schedule_work (agent);
    }
  log_write (LOG_INFO, "fence", "Registered with fencing number %" PRIu64 ".",
             agent->fence);
}

static void
on_fence_written (void *arg, kb_status_t status, const kvc_item_t *items,
                  uint32_t count)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK)
    {
      // A conflict may come from this process's own write whose answer was
      // lost; the next read recognizes it by the incarnation.
      retry_read_fence (agent);
      return;
    }
  kvc_get (&agent->daemon->kv, SHM_KEY, on_epochs_read, agent);
}

/// @return  Since when the claim history of this target is complete. A former
///          incarnation that left gracefully handed its claim records to
///          entries, so its history continues.
static uint64_t
inherit_memory_since (bool has_former, const fnc_record_t *former)
{
  if (!has_former)
    return 0; // No incarnation ran here before.
  return former != NULL && former->has_left ? former->memory_since_wall_ms
                                            : tmr_wall_ms ();
}

static void
leave_to_successor (agt_agent_t *agent)
{
  log_write (
      LOG_ERROR, "fence",
      "An agent with a newer fencing number owns this target; draining.");
  MET_INC ("knapweedbay_fence_lost_total", "");
  dmn_drain (agent->daemon);
}

static void
on_fence_read (void *arg, kb_status_t status, const kvc_item_t *items,
               uint32_t count)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK)
    {
      retry_read_fence (agent);
      return;
    }
  fnc_record_t former = { 0 };
  bool is_readable = count > 0 && parse_record (items[0].value, &former);
  if (is_readable && former.incarnation == agent->daemon->incarnation)
    {
      agent->fence = former.fence;
      kvc_get (&agent->daemon->kv, SHM_KEY, on_epochs_read, agent);
      return;
    }
  if (is_readable && agent->is_registering_again && !former.has_left)
    {
      leave_to_successor (agent);
      return;
    }
  agent->memory_since_wall_ms
      = inherit_memory_since (count > 0, is_readable ? &former : NULL);
  if (agent->fence <= former.fence)
    agent->fence = former.fence + 1;
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kb_buf_t value = { 0 };
  fence_value (agent, false, &value);
  kvc_cas (&agent->daemon->kv, key, count > 0 ? items[0].mod_revision : 0,
           kb_buf_slice (&value), on_fence_written, agent);
  kb_buf_finish (&value);
}

static void
read_fence (void *arg)
{
  agt_agent_t *agent = arg;
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kvc_get (&agent->daemon->kv, key, on_fence_read, agent);
}

void
agt_fence_start (agt_agent_t *agent)
{
  agent->fence = tmr_wall_ms ();
  agent->memory_since_wall_ms = agent->fence;
  read_fence (agent);
}

/// Register once more, with a higher number: a successor may have registered
/// before the record was damaged. No orders until that is done.
static void
register_again (agt_agent_t *agent)
{
  uint64_t wall_ms = tmr_wall_ms ();
  agent->fence = agent->fence < wall_ms ? wall_ms : agent->fence + 1;
  agent->is_registered = false;
  agent->is_registering_again = true;
  read_fence (agent);
}

static void
on_fence_checked (void *arg, kb_status_t status, const kvc_item_t *items,
                  uint32_t count)
{
  agt_agent_t *agent = arg;
  fnc_record_t record;
  bool is_read = status == KB_OK && count > 0;
  if (is_read && !parse_record (items[0].value, &record))
    {
      register_again (agent);
      return;
    }
  agent->is_fence_unverified = false;
  if (!is_read)
    {
      // During an outage no other agent can have registered either.
      agt_schedule_work (agent);
      return;
    }
  if (record.fence > agent->fence)
    {
      leave_to_successor (agent);
      return;
    }
  agt_schedule_work (agent);
}

void
agt_fence_check (agt_agent_t *agent)
{
  if (agent->is_registering_again)
    return;
  agent->is_fence_unverified = true;
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kvc_get (&agent->daemon->kv, key, on_fence_checked, agent);
}

/// The write of the "left" entry has ended, or was skipped.
static void
on_leave_written (void *arg, kb_status_t status, const kvc_item_t *items,
                  uint32_t count)
{
  agt_agent_t *agent = arg;
  agent->on_left (agent);
}

static void
on_leave_read (void *arg, kb_status_t status, const kvc_item_t *items,
               uint32_t count)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK || count == 0)
    {
      on_leave_written (agent, status, NULL, 0);
      return;
    }
  // The successor of one that cannot be read counts the history as lost.
  fnc_record_t record;
  if (!fnc_record_parse (items[0].value, &record)
      || record.fence != agent->fence)
    {
      on_leave_written (agent, KB_ECONFLICT, NULL, 0);
      return;
    }
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kb_buf_t value = { 0 };
  fence_value (agent, true, &value);
  kvc_cas (&agent->daemon->kv, key, items[0].mod_revision,
           kb_buf_slice (&value), on_leave_written, agent);
  kb_buf_finish (&value);
}

void
agt_fence_leave (agt_agent_t *agent, tmr_fn_t done)
{
  agent->on_left = done;
  tmr_cancel (&agent->daemon->timers, &agent->retry_fence);
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kvc_get (&agent->daemon->kv, key, on_leave_read, agent);
}
