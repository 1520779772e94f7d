/// @file gateway_memory.c
/// Limit on what callers make the gateway hold: heads, bodies, pipelined
/// requests, and answers that they do not take; and of what answers hold that
/// are not relayed yet. Beyond it, answers are relayed before their end, then
/// callers that hold much for long are refused.
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "transport/log.h"
#include "transport/memlimit.h"
#include "transport/metrics.h"

enum
{
  /// Retry-After, which is spread over as much again.
  MIN_RETRY_AFTER_MS = 1000,
  /// Answers that hold no more are left alone.
  MIN_ANSWER_BYTES = 4096,
};

static size_t
client_held_bytes (const gtw_client_t *client)
{
  const gtw_request_t *r = client->request;
  size_t held_bytes = h1_conn_held_bytes (&client->conn);
  if (r != NULL)
    held_bytes += r->body->buf.cap_bytes + r->pending_answer.cap_bytes;
  return held_bytes;
}

/// @return  Whether a request can be ended without taking anything back that
///          a target has begun, or its caller takes too little of its answer.
static bool
request_can_be_shed (const gtw_request_t *r)
{
  if (r->stage == GTW_STAGE_SENT)
    return false;
  if (r->stage == GTW_STAGE_RELAYING)
    return r->client->conn.unsent_bytes > 0;
  return r->execution_state == GTW_EXECUTION_NOT_RUN && !r->is_head_written;
}

static bool
client_can_be_shed (const gtw_client_t *client)
{
  return !client->conn.is_closing
         && (client->request == NULL || request_can_be_shed (client->request));
}

/// @return  The client that holds the most for the longest, of those that hold
///          more than `min_bytes`; NULL: none can be shed.
static gtw_client_t *
find_heaviest (const gtw_gateway_t *gateway, size_t min_bytes)
{
  gtw_client_t *heaviest = NULL;
  uint64_t heaviest_weight = 0;
  uint64_t now_ms = gtw_now_ms (gateway);
  for (gtw_client_t *client = gateway->clients; client != NULL;
       client = client->next)
    {
      size_t held_bytes = client_held_bytes (client);
      uint64_t weight = held_bytes * (now_ms - client->conn.began_ms + 1);
      if (held_bytes <= min_bytes || weight <= heaviest_weight
          || !client_can_be_shed (client))
        continue;
      heaviest = client;
      heaviest_weight = weight;
    }
  return heaviest;
}

static void
client_shed (gtw_client_t *client, size_t held_bytes)
{
  gtw_gateway_t *gateway = client->gateway;
  gtw_request_t *r = client->request;
  MET_INC ("knapweedbay_callers_shed_total", "");
  log_line_t line;
  if (log_begin (&line, LOG_WARN, "gateway", "caller_shed"))
    {
      log_text (&line, "id", r == NULL ? "" : r->attempt_id);
      log_text (&line, "caller", client->caller);
      log_int (&line, "held_bytes", (int64_t)held_bytes);
      log_int (&line, "held_ms",
               (int64_t)(gtw_now_ms (gateway) - client->conn.began_ms));
      log_int (&line, "sum_bytes", (int64_t)gateway->host.memory.held_bytes);
      log_int (&line, "limit_bytes",
               (int64_t)gateway->host.memory.limit_bytes);
      log_end (&line);
    }
  if (r != NULL && client->conn.is_message_complete
      && r->stage != GTW_STAGE_RELAYING)
    {
      gtw_request_refuse (r, "short_of_memory", MIN_RETRY_AFTER_MS);
      return;
    }
  if (client->conn.is_in_message && !client->conn.is_lingering)
    {
      gtw_client_refuse_unfinished (
          client, GTW_HTTP_UNAVAILABLE, "short_of_memory",
          MIN_RETRY_AFTER_MS + (uint64_t)rand () % MIN_RETRY_AFTER_MS);
      return;
    }
  // What is being written is freed when the connection has closed.
  client->releasing_bytes = client->conn.unsent_bytes;
  gateway->releasing_bytes += client->releasing_bytes;
  gtw_client_cut (client, "shed");
}

static uint64_t
held_bytes (const gtw_gateway_t *gateway)
{
  uint64_t sum_bytes = gateway->host.memory.held_bytes;
  return sum_bytes > gateway->releasing_bytes
             ? sum_bytes - gateway->releasing_bytes
             : 0;
}

/// @return  The request whose answer, as far as it is not relayed, holds the
///          most; NULL: none holds much.
static gtw_request_t *
find_heaviest_answer (const gtw_gateway_t *gateway)
{
  gtw_request_t *heaviest = NULL;
  size_t heaviest_bytes = MIN_ANSWER_BYTES;
  for (gtw_client_t *client = gateway->clients; client != NULL;
       client = client->next)
    {
      gtw_request_t *r = client->request;
      // One that is whole is released soon.
      if (client->conn.is_closing || r == NULL || r->ending_done != NULL
          || r->watched_ms > 0 || r->pending_answer.len_bytes == 0
          || r->pending_answer.cap_bytes <= heaviest_bytes)
        continue;
      heaviest = r;
      heaviest_bytes = r->pending_answer.cap_bytes;
    }
  return heaviest;
}

void
gtw_memory_relieve (gtw_gateway_t *gateway)
{
  uint64_t limit_bytes = gateway->host.memory.limit_bytes;
  uint64_t large_bytes = mlm_large_limit_bytes (&gateway->host.memory);
  // Relaying takes nothing away from callers, so it goes first.
  while (held_bytes (gateway) > large_bytes)
    {
      gtw_request_t *r = find_heaviest_answer (gateway);
      if (r == NULL)
        break;
      gtw_attempt_release_answer (r);
    }
  while (held_bytes (gateway) > large_bytes)
    {
      size_t min_bytes
          = held_bytes (gateway) > limit_bytes ? 0 : MLM_SMALL_BYTES;
      gtw_client_t *client = find_heaviest (gateway, min_bytes);
      if (client == NULL)
        return;
      client_shed (client, client_held_bytes (client));
    }
}
