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
#include "protocol/json.h"
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
  snprintf (out, out_bytes, "kb/roster/%s", agent->daemon->settings.name);
}

static void
fence_value (const agt_agent_t *agent, const char *state, kb_buf_t *out)
{
  kb_buf_printf (out,
                 "{\"fence\":%" PRIu64 ",\"incarnation\":\"%016" PRIx64
                 "\",\"state\":\"%s\",\"memory_since\":%" PRIu64 "}",
                 agent->fence, agent->daemon->incarnation, state,
                 agent->memory_since_wall_ms);
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
inherit_memory_since (struct json_object *former, uint64_t now_wall_ms)
{
  if (former == NULL)
    return 0; // No incarnation ran here before.
  if (strcmp (jsn_str (former, "state", ""), "left") == 0)
    return (uint64_t)jsn_int (former, "memory_since", 0);
  return now_wall_ms;
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
  struct json_object *former = NULL;
  if (count > 0)
    jsn_parse_text ("roster", items[0].value, &former, NULL);
  char own[20];
  snprintf (own, sizeof own, "%016" PRIx64, agent->daemon->incarnation);
  if (strcmp (jsn_str (former, "incarnation", ""), own) == 0)
    {
      agent->fence = (uint64_t)jsn_int (former, "fence", 0);
      json_object_put (former);
      kvc_get (&agent->daemon->kv, SHM_KEY, on_epochs_read, agent);
      return;
    }
  uint64_t last = (uint64_t)jsn_int (former, "fence", 0);
  agent->memory_since_wall_ms = inherit_memory_since (former, tmr_wall_ms ());
  if (agent->fence <= last)
    agent->fence = last + 1;
  json_object_put (former);
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kb_buf_t value = { 0 };
  fence_value (agent, "live", &value);
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

static void
on_fence_checked (void *arg, kb_status_t status, const kvc_item_t *items,
                  uint32_t count)
{
  agt_agent_t *agent = arg;
  agent->is_fence_unverified = false;
  if (status != KB_OK || count == 0)
    {
      // During an outage no other agent can have registered either.
      agt_schedule_work (agent);
      return;
    }
  struct json_object *record = NULL;
  jsn_parse_text ("roster", items[0].value, &record, NULL);
  bool is_newer = (uint64_t)jsn_int (record, "fence", 0) > agent->fence;
  json_object_put (record);
  if (is_newer)
    {
      log_write (
          LOG_ERROR, "fence",
          "An agent with a newer fencing number owns this target; draining.");
      MET_INC ("knapweedbay_fence_lost_total", "");
      dmn_drain (agent->daemon);
      return;
    }
  agt_schedule_work (agent);
}

void
agt_fence_check (agt_agent_t *agent)
{
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
  struct json_object *record = NULL;
  jsn_parse_text ("roster", items[0].value, &record, NULL);
  bool is_own = (uint64_t)jsn_int (record, "fence", 0) == agent->fence;
  json_object_put (record);
  if (!is_own)
    {
      on_leave_written (agent, KB_ECONFLICT, NULL, 0);
      return;
    }
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kb_buf_t value = { 0 };
  fence_value (agent, "left", &value);
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
