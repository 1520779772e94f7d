/// @file agent_memory.c
/// Limit on what answers make the agent hold. Each has its own; their sum
/// counts as well.
#include "daemon/agent_defs.h"
#include "transport/log.h"
#include "transport/memlimit.h"
#include "transport/metrics.h"

/// @return  The running request whose answer holds the most, more than a small
///          one; NULL: there is none.
static agt_request_t *
find_heaviest_answer (const agt_agent_t *agent)
{
  agt_request_t *heaviest = NULL;
  size_t heaviest_bytes = MLM_SMALL_BYTES;
  uint32_t at = 0;
  agt_request_t *r;
  while ((r = kb_map_next (&agent->requests, &at)) != NULL)
    {
      if (r->run == NULL || r->answer.cap_bytes <= heaviest_bytes)
        continue;
      heaviest = r;
      heaviest_bytes = r->answer.cap_bytes;
    }
  return heaviest;
}

static void
log_shed (const agt_agent_t *agent, const agt_request_t *r)
{
  const kb_account_t *memory = &agent->daemon->memory;
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "agent", "answer_shed"))
    return;
  log_int (&line, "held_bytes", (int64_t)r->answer.cap_bytes);
  log_int (&line, "sum_bytes", (int64_t)memory->held_bytes);
  log_int (&line, "limit_bytes", (int64_t)memory->limit_bytes);
  log_end (&line);
}

agt_request_t *
agt_memory_find_excess (const agt_agent_t *agent)
{
  const kb_account_t *memory = &agent->daemon->memory;
  if (memory->held_bytes <= mlm_large_limit_bytes (memory))
    return NULL;
  agt_request_t *r = find_heaviest_answer (agent);
  if (r == NULL)
    return NULL;
  MET_INC ("knapweedbay_answers_shed_total", "");
  log_shed (agent, r);
  return r;
}
