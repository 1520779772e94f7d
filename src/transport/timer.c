#include "transport/timer.h"

#include <stdlib.h>
#include <time.h>

#include "state/buf.h"

static void
heap_place (tmr_service_t *s, uint32_t at, tmr_sub_t *sub)
{
  s->heap[at] = sub;
  sub->heap_at = at + 1;
}

static void
heap_up (tmr_service_t *s, uint32_t at)
{
  tmr_sub_t *sub = s->heap[at];
  while (at > 0 && s->heap[(at - 1) / 2]->due_ms > sub->due_ms)
    {
      heap_place (s, at, s->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  heap_place (s, at, sub);
}

static void
heap_down (tmr_service_t *s, uint32_t at)
{
  tmr_sub_t *sub = s->heap[at];
  for (;;)
    {
      uint32_t child = 2 * at + 1;
      if (child >= s->len)
        break;
      if (child + 1 < s->len
          && s->heap[child + 1]->due_ms < s->heap[child]->due_ms)
        child++;
      if (s->heap[child]->due_ms >= sub->due_ms)
        break;
      heap_place (s, at, s->heap[child]);
      at = child;
    }
  heap_place (s, at, sub);
}

static void
heap_remove (tmr_service_t *s, tmr_sub_t *sub)
{
  uint32_t at = sub->heap_at - 1;
  sub->heap_at = 0;
  tmr_sub_t *last = s->heap[--s->len];
  if (last == sub)
    return;
  heap_place (s, at, last);
  heap_down (s, at);
  heap_up (s, last->heap_at - 1);
}

static void service_rearm (tmr_service_t *s);

static void
service_fire (uv_timer_t *timer)
{
  tmr_service_t *s = timer->data;
  uint64_t now = uv_now (s->loop);
  while (s->len > 0 && s->heap[0]->due_ms <= now)
    {
      tmr_sub_t *sub = s->heap[0];
      heap_remove (s, sub);
      if (sub->period_ms > 0)
        tmr_every (s, sub, sub->period_ms, sub->fn, sub->arg);
      sub->fn (sub->arg);
    }
  service_rearm (s);
}

static void
service_rearm (tmr_service_t *s)
{
  if (s->len == 0)
    {
      uv_timer_stop (&s->timer);
      return;
    }
  uint64_t now = uv_now (s->loop);
  uint64_t due = s->heap[0]->due_ms;
  uv_timer_start (&s->timer, service_fire, due > now ? due - now : 0, 0);
}

void
tmr_service_init (tmr_service_t *service, uv_loop_t *loop)
{
  *service = (tmr_service_t){ .loop = loop };
  uv_timer_init (loop, &service->timer);
  service->timer.data = service;
}

void
tmr_service_finish (tmr_service_t *service)
{
  uv_timer_stop (&service->timer);
  uv_close ((uv_handle_t *)&service->timer, NULL);
  free (service->heap);
  service->heap = NULL;
  service->len = 0;
}

static void
service_arm (tmr_service_t *s, tmr_sub_t *sub, uint64_t delay_ms)
{
  if (sub->heap_at != 0)
    heap_remove (s, sub);
  sub->due_ms = uv_now (s->loop) + delay_ms;
  if (s->len == s->cap)
    {
      s->cap = s->cap == 0 ? 64 : s->cap * 2;
      // An array of pointers is meant.
      // NOLINTNEXTLINE(bugprone-sizeof-expression)
      s->heap = kb_realloc (s->heap, s->cap * sizeof *s->heap);
    }
  heap_place (s, s->len++, sub);
  heap_up (s, s->len - 1);
  service_rearm (s);
}

void
tmr_every (tmr_service_t *service, tmr_sub_t *sub, uint64_t period_ms,
           tmr_fn_t fn, void *arg)
{
  sub->fn = fn;
  sub->arg = arg;
  sub->period_ms = period_ms;
  service_arm (service, sub, period_ms);
}

void
tmr_after (tmr_service_t *service, tmr_sub_t *sub, uint64_t delay_ms,
           tmr_fn_t fn, void *arg)
{
  sub->fn = fn;
  sub->arg = arg;
  sub->period_ms = 0;
  service_arm (service, sub, delay_ms);
}

void
tmr_cancel (tmr_service_t *service, tmr_sub_t *sub)
{
  sub->period_ms = 0;
  if (sub->heap_at == 0)
    return;
  heap_remove (service, sub);
  service_rearm (service);
}

static uint64_t
clock_us (clockid_t clock)
{
  struct timespec ts;
  clock_gettime (clock, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
tmr_now_us (void)
{
  return clock_us (CLOCK_MONOTONIC);
}

uint64_t
tmr_now_ms (void)
{
  return tmr_now_us () / 1000;
}

uint64_t
tmr_boot_ms (void)
{
  return clock_us (CLOCK_BOOTTIME) / 1000;
}

uint64_t
tmr_wall_ms (void)
{
  return clock_us (CLOCK_REALTIME) / 1000;
}
