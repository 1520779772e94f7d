/// @file agent_ending.c
/// Decides whether an answer that ended with its connection is whole. A
/// process that is killed within it closes the connection in order, but
/// listens no more.
#include <stdlib.h>

#include "daemon/agent_defs.h"
#include "transport/metrics.h"

typedef struct
{
  prb_probe_t connection; ///< First.
  tmr_timer_t timer;
  agt_agent_t *agent;
  uint64_t attempt; ///< The request may be freed meanwhile.
  agt_ending_done_t done;
} ending_t;

static void
ending_on_result (prb_probe_t *connection, prb_result_t result)
{
  ending_t *ending = (ending_t *)connection;
  agt_request_t *r = kb_map_get (&ending->agent->requests, ending->attempt);
  agt_ending_done_t done = ending->done;
  free (ending);
  if (result == PRB_REFUSED)
    MET_INC ("knapweedbay_answers_of_ended_targets_total", "");
  if (r != NULL)
    done (r, result != PRB_REFUSED);
}

static const prb_events_t ending_events = { ending_on_result };

static void
ending_connect (void *arg)
{
  ending_t *ending = arg;
  const eng_engine_t *engine = &ending->agent->engine;
  struct sockaddr_in address;
  uv_ip4_addr (engine->address, engine->port, &address);
  prb_probe_start (&ending->connection, &ending_events,
                   &ending->agent->daemon->loop,
                   &ending->agent->daemon->timers, &address);
}

bool
agt_ending_check (agt_request_t *r, agt_ending_done_t done)
{
  // A target that leaves may listen no more while it answers.
  if (!r->is_close_delimited || (r->flags & MSG_FLAG_PLAIN) == 0
      || agt_reported_state (r->agent) == MSG_STATE_LEAVING)
    return false;
  ending_t *ending = kb_alloc (sizeof *ending);
  ending->agent = r->agent;
  ending->attempt = r->attempt;
  ending->done = done;
  tmr_start_once (&r->agent->daemon->timers, &ending->timer, END_SETTLE_MS,
                  ending_connect, ending);
  return true;
}
