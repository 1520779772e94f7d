/// @file agent_fence.c
/// The fencing number and the roster entry of an agent.
///
/// Number = max(last + 1, wall clock in milliseconds), taken by
/// compare-and-swap. In an outage the wall clock alone serves, so that an
/// agent can start; it is registered as soon as the service is back, and
/// until then it takes no keyed work.
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

static void fence_read (void *arg);

static void
fence_retry (agt_agent_t *agent)
{
  uint64_t delay = FENCE_RETRY_MS + dmn_random () % FENCE_RETRY_JITTER_MS;
  tmr_start_once (&agent->daemon->timers, &agent->retry_fence, delay,
                  fence_read, agent);
}

/// The last step of the registration: learn the epochs in force. A takeover
/// swaps the map first and reads the roster after, so it either finds this
/// incarnation on the roster and asks it, or its epoch is in the map read
/// here. Without this a restarted agent would take a former owner's grant.
static void
epochs_got (void *arg, kb_status_t status, const kvc_item_t *items,
            uint32_t count)
{
  agt_agent_t *agent = arg;
  shm_shard_t shards[SHM_SHARDS];
  bool is_read
      = status == KB_OK && (count == 0 || shm_parse (items[0].value, shards));
  if (!is_read)
    {
      fence_retry (agent);
      return;
    }
  for (uint32_t s = 0; count > 0 && s < SHM_SHARDS; s++)
    clm_runner_raise_epoch (&agent->claims, s, shards[s].epoch);
  agent->is_fence_known = true;
  log_write (LOG_INFO, "fence", "Registered with number %" PRIu64 ".",
             agent->fence);
}

static void
fence_written (void *arg, kb_status_t status, const kvc_item_t *items,
               uint32_t count)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK)
    {
      // A conflict may be our own write whose answer was lost; the next read
      // tells by the incarnation.
      fence_retry (agent);
      return;
    }
  kvc_get (&agent->daemon->kv, SHM_KEY, epochs_got, agent);
}

/// The former incarnation left gracefully: its memory of claims went to the
/// entries, so the memory of this target is unbroken.
static uint64_t
memory_after (struct json_object *former, uint64_t now_wall_ms)
{
  if (former == NULL)
    return 0; // Nothing ever ran here.
  if (strcmp (jsn_str (former, "state", ""), "left") == 0)
    return (uint64_t)jsn_int (former, "memory_since", 0);
  return now_wall_ms;
}

static void
fence_got (void *arg, kb_status_t status, const kvc_item_t *items,
           uint32_t count)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK)
    {
      fence_retry (agent);
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
      kvc_get (&agent->daemon->kv, SHM_KEY, epochs_got, agent);
      return;
    }
  uint64_t last = (uint64_t)jsn_int (former, "fence", 0);
  agent->memory_since_wall_ms = memory_after (former, tmr_wall_ms ());
  if (agent->fence <= last)
    agent->fence = last + 1;
  json_object_put (former);
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kb_buf_t value = { 0 };
  fence_value (agent, "live", &value);
  kvc_cas (&agent->daemon->kv, key, count > 0 ? items[0].mod_revision : 0,
           kb_buf_slice (&value), fence_written, agent);
  kb_buf_finish (&value);
}

static void
fence_read (void *arg)
{
  agt_agent_t *agent = arg;
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kvc_get (&agent->daemon->kv, key, fence_got, agent);
}

void
agt_fence_start (agt_agent_t *agent)
{
  agent->fence = tmr_wall_ms ();
  agent->memory_since_wall_ms = agent->fence;
  fence_read (agent);
}

static void
fence_checked (void *arg, kb_status_t status, const kvc_item_t *items,
               uint32_t count)
{
  agt_agent_t *agent = arg;
  agent->is_fence_in_doubt = false;
  if (status != KB_OK || count == 0)
    {
      // In an outage nobody can have registered in between either.
      agt_pump (agent);
      return;
    }
  struct json_object *record = NULL;
  jsn_parse_text ("roster", items[0].value, &record, NULL);
  bool is_newer = (uint64_t)jsn_int (record, "fence", 0) > agent->fence;
  json_object_put (record);
  if (is_newer)
    {
      log_write (LOG_ERROR, "fence",
                 "A newer agent owns this target; leaving.");
      MET_INC ("knapweedbay_fence_lost_total", "");
      dmn_drain (agent->daemon);
      return;
    }
  agt_pump (agent);
}

void
agt_fence_check (agt_agent_t *agent)
{
  agent->is_fence_in_doubt = true;
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kvc_get (&agent->daemon->kv, key, fence_checked, agent);
}

/// The roster entry as it stands, to be replaced by "left".
static void
leave_written (void *arg, kb_status_t status, const kvc_item_t *items,
               uint32_t count)
{
  agt_agent_t *agent = arg;
  agent->on_left (agent);
}

static void
leave_got (void *arg, kb_status_t status, const kvc_item_t *items,
           uint32_t count)
{
  agt_agent_t *agent = arg;
  if (status != KB_OK || count == 0)
    {
      leave_written (agent, status, NULL, 0);
      return;
    }
  struct json_object *record = NULL;
  jsn_parse_text ("roster", items[0].value, &record, NULL);
  bool is_own = (uint64_t)jsn_int (record, "fence", 0) == agent->fence;
  json_object_put (record);
  if (!is_own)
    {
      leave_written (agent, KB_ECONFLICT, NULL, 0);
      return;
    }
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kb_buf_t value = { 0 };
  fence_value (agent, "left", &value);
  kvc_cas (&agent->daemon->kv, key, items[0].mod_revision,
           kb_buf_slice (&value), leave_written, agent);
  kb_buf_finish (&value);
}

void
agt_fence_leave (agt_agent_t *agent, tmr_fn_t done)
{
  agent->on_left = done;
  tmr_cancel (&agent->daemon->timers, &agent->retry_fence);
  char key[KVC_KEY_BYTES];
  fence_key (agent, key, sizeof key);
  kvc_get (&agent->daemon->kv, key, leave_got, agent);
}
