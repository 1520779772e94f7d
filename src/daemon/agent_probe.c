/// @file agent_probe.c
/// Test connections to a plain target that show whether its process lives on
/// after a run that broke off, or whose answer ended with its connection. An
/// engine's list shows the same.
#include "daemon/agent_defs.h"

enum
{
  /// A target that ends with a run has ended by then.
  DELAY_MS = ALN_STARTUP_MS + 50,
  /// A target at its connection limit may refuse one connection.
  MIN_REFUSALS = 2,
  /// A VM that does not answer does not show whether the process has ended.
  CONNECT_TIMEOUT_MS = 400,
};

static void probe_connect (void *arg);

static void
probe_again (agt_agent_t *agent)
{
  tmr_start_once (&agent->daemon->timers, &agent->probe.timer, DELAY_MS,
                  probe_connect, agent);
}

static void
probe_on_closed (uv_handle_t *handle)
{
  agt_agent_t *agent = handle->data;
  agt_probe_t *probe = &agent->probe;
  probe->refusals = probe->is_refused ? probe->refusals + 1 : 0;
  if (probe->is_open)
    agt_quarantine_confirm_alive (agent, probe->began_ms);
  bool has_ended = probe->refusals >= MIN_REFUSALS;
  if (has_ended)
    agt_quarantine_record_target_end (agent);
  bool is_undecided = probe->is_refused && !has_ended;
  probe->is_active = is_undecided || probe->is_wanted;
  probe->is_wanted = false;
  if (probe->is_active)
    probe_again (agent);
  else
    probe->refusals = 0;
}

static void
probe_close (void *arg)
{
  agt_agent_t *agent = arg;
  uv_handle_t *handle = (uv_handle_t *)&agent->probe.tcp;
  if (!uv_is_closing (handle))
    uv_close (handle, probe_on_closed);
}

static void
probe_on_connect (uv_connect_t *connect, int status)
{
  agt_agent_t *agent = connect->handle->data;
  // The timeout has closed the handle, which ends this try.
  if (status == UV_ECANCELED)
    return;
  tmr_cancel (&agent->daemon->timers, &agent->probe.timer);
  agent->probe.is_refused = status == UV_ECONNREFUSED;
  agent->probe.is_open = status == 0;
  probe_close (agent);
}

static void
probe_connect (void *arg)
{
  agt_agent_t *agent = arg;
  agt_probe_t *probe = &agent->probe;
  struct sockaddr_in address;
  uv_ip4_addr (agent->engine.address, agent->engine.port, &address);
  probe->is_refused = probe->is_open = false;
  probe->began_ms = tmr_now_ms ();
  uv_tcp_init (&agent->daemon->loop, &probe->tcp);
  probe->tcp.data = agent;
  tmr_start_once (&agent->daemon->timers, &probe->timer, CONNECT_TIMEOUT_MS,
                  probe_close, agent);
  if (uv_tcp_connect (&probe->connect, &probe->tcp,
                      (const struct sockaddr *)&address, probe_on_connect)
      != 0)
    probe_close (agent);
}

void
agt_probe_start (agt_agent_t *agent)
{
  if (agent->probe.is_active)
    {
      agent->probe.is_wanted = true;
      return;
    }
  agent->probe.is_active = true;
  probe_again (agent);
}
