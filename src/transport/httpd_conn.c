#include "transport/httpd_conn.h"

#include <stdlib.h>
#include <sys/socket.h>

#include "transport/log.h"
#include "transport/memlimit.h"
#include "transport/metrics.h"

hsc_conn_t *
hsc_conn_create (hsc_list_t *list, h2o_socket_t *sock, void *owner,
                 uint64_t now_ms)
{
  hsc_conn_t *conn = kb_alloc (sizeof *conn);
  *conn = (hsc_conn_t){
    .sock = sock, .owner = owner, .next = list->first, .since_ms = now_ms
  };
  if (list->first != NULL)
    list->first->prev = conn;
  list->first = conn;
  list->count++;
  return conn;
}

void
hsc_conn_free (hsc_list_t *list, hsc_conn_t *conn)
{
  *(conn->prev == NULL ? &list->first : &conn->prev->next) = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  list->count--;
  free (conn);
}

static uint64_t
conn_input_bytes (const hsc_conn_t *conn)
{
  const h2o_buffer_t *input = conn->sock->input;
  // Without bytes it is a prototype, which all connections share.
  return input->bytes == NULL ? 0 : input->capacity;
}

uint64_t
hsc_list_input_bytes (const hsc_list_t *list)
{
  uint64_t sum_bytes = 0;
  for (const hsc_conn_t *conn = list->first; conn != NULL; conn = conn->next)
    sum_bytes += conn_input_bytes (conn);
  return sum_bytes;
}

/// @return  Bytes that closing a connection would free; zero: its request is
///          at work, and its client takes what it gets.
static uint64_t
conn_shed_bytes (const hsc_list_t *list, const hsc_conn_t *conn)
{
  if (conn->request == NULL)
    return conn_input_bytes (conn);
  size_t unsent_bytes = list->unsent_bytes (conn->request);
  return unsent_bytes == 0 ? 0 : conn_input_bytes (conn) + unsent_bytes;
}

static hsc_conn_t *
find_heaviest (const hsc_list_t *list, uint64_t now_ms)
{
  hsc_conn_t *heaviest = NULL;
  uint64_t heaviest_weight = 0;
  for (hsc_conn_t *conn = list->first; conn != NULL; conn = conn->next)
    {
      uint64_t weight
          = conn_shed_bytes (list, conn) * (now_ms - conn->since_ms + 1);
      if (conn->is_shed || weight <= heaviest_weight)
        continue;
      heaviest = conn;
      heaviest_weight = weight;
    }
  return heaviest;
}

/// h2o closes the connection when it finds it shut down.
static void
conn_shed (hsc_conn_t *conn, uint64_t held_bytes, uint64_t now_ms)
{
  static const char refusal[]
      = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n"
        "retry-after: 1\r\nx-knapweedbay-outcome: not_run\r\n"
        "content-length: 0\r\n\r\n";
  int fd = h2o_socket_get_fd (conn->sock);
  MET_INC ("knapweedbay_callers_shed_total", "");
  log_line_t line;
  if (log_begin (&line, LOG_WARN, "http", "caller_shed"))
    {
      log_int (&line, "held_bytes", (int64_t)held_bytes);
      log_int (&line, "held_ms", (int64_t)(now_ms - conn->since_ms));
      log_end (&line);
    }
  conn->is_shed = true;
  if (conn->request == NULL && conn->sock->ssl == NULL)
    (void)!send (fd, refusal, sizeof refusal - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown (fd, SHUT_RDWR);
}

void
hsc_list_shed (const hsc_list_t *list, const kb_account_t *memory,
               uint64_t now_ms)
{
  uint64_t held_bytes = memory->held_bytes;
  uint64_t limit_bytes = mlm_large_limit_bytes (memory);
  if (held_bytes <= limit_bytes)
    return;
  for (const hsc_conn_t *conn = list->first; conn != NULL; conn = conn->next)
    if (conn->is_shed)
      held_bytes -= conn_shed_bytes (list, conn);
  while (held_bytes > limit_bytes)
    {
      hsc_conn_t *conn = find_heaviest (list, now_ms);
      if (conn == NULL)
        return;
      uint64_t shed_bytes = conn_shed_bytes (list, conn);
      conn_shed (conn, shed_bytes, now_ms);
      held_bytes -= shed_bytes;
    }
}
