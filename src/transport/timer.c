#include "transport/timer.h"

#include <stdlib.h>
#include <time.h>

#include "state/buf.h"

static void
heap_set (tmr_service_t *s, uint32_t index, tmr_timer_t *timer)
{
  s->heap[index] = timer;
  timer->heap_position = index + 1;
}

static void
heap_sift_up (tmr_service_t *s, uint32_t index)
{
  tmr_timer_t *timer = s->heap[index];
  while (index > 0 && s->heap[(index - 1) / 2]->due_ms > timer->due_ms)
    {
      heap_set (s, index, s->heap[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  heap_set (s, index, timer);
}

static void
heap_sift_down (tmr_service_t *s, uint32_t index)
{
  tmr_timer_t *timer = s->heap[index];
  for (;;)
    {
      uint32_t child = 2 * index + 1;
      if (child >= s->len)
        break;
      if (child + 1 < s->len
          && s->heap[child + 1]->due_ms < s->heap[child]->due_ms)
        child++;
      if (s->heap[child]->due_ms >= timer->due_ms)
        break;
      heap_set (s, index, s->heap[child]);
      index = child;
    }
  heap_set (s, index, timer);
}

static void
heap_remove (tmr_service_t *s, tmr_timer_t *timer)
{
  uint32_t index = timer->heap_position - 1;
  timer->heap_position = 0;
  tmr_timer_t *last = s->heap[--s->len];
  if (last == timer)
    return;
  heap_set (s, index, last);
  heap_sift_down (s, index);
  heap_sift_up (s, last->heap_position - 1);
}

static void service_rearm (tmr_service_t *s);
static void service_after_poll (uv_check_t *check);

static void
service_keep_polling (uv_idle_t *idle)
{
}

/// Input is handled before the timers that are due: a loop that is late must
/// not take what has arrived for missing.
static void
service_on_timeout (uv_timer_t *uv_timer)
{
  tmr_service_t *s = uv_timer->data;
  uv_idle_start (&s->idle, service_keep_polling);
  uv_check_start (&s->check, service_after_poll);
}

static void
service_after_poll (uv_check_t *check)
{
  tmr_service_t *s = check->data;
  uv_check_stop (&s->check);
  uv_idle_stop (&s->idle);
  uint64_t now = uv_now (s->loop);
  while (s->len > 0 && s->heap[0]->due_ms <= now)
    {
      tmr_timer_t *timer = s->heap[0];
      heap_remove (s, timer);
      if (timer->period_ms > 0)
        tmr_start_periodic (s, timer, timer->period_ms, timer->fn, timer->arg);
      timer->fn (timer->arg);
    }
  service_rearm (s);
}

static void
service_rearm (tmr_service_t *s)
{
  if (s->len == 0)
    {
      uv_timer_stop (&s->uv_timer);
      return;
    }
  uint64_t now = uv_now (s->loop);
  uint64_t due = s->heap[0]->due_ms;
  uv_timer_start (&s->uv_timer, service_on_timeout, due > now ? due - now : 0,
                  0);
}

void
tmr_service_init (tmr_service_t *service, uv_loop_t *loop)
{
  *service = (tmr_service_t){ .loop = loop };
  uv_timer_init (loop, &service->uv_timer);
  service->uv_timer.data = service;
  uv_check_init (loop, &service->check);
  service->check.data = service;
  uv_idle_init (loop, &service->idle);
}

void
tmr_service_finish (tmr_service_t *service)
{
  uv_timer_stop (&service->uv_timer);
  uv_close ((uv_handle_t *)&service->uv_timer, NULL);
  uv_close ((uv_handle_t *)&service->check, NULL);
  uv_close ((uv_handle_t *)&service->idle, NULL);
  free (service->heap);
  service->heap = NULL;
  service->len = 0;
}

static void
service_arm_timer (tmr_service_t *s, tmr_timer_t *timer, uint64_t delay_ms)
{
  if (timer->heap_position != 0)
    heap_remove (s, timer);
  timer->due_ms = uv_now (s->loop) + delay_ms;
  if (s->len == s->cap)
    {
      s->cap = s->cap == 0 ? 64 : s->cap * 2;
      // The array holds pointers, so the size of a pointer is intended.
      // NOLINTNEXTLINE(bugprone-sizeof-expression)
      s->heap = kb_realloc (s->heap, s->cap * sizeof *s->heap);
    }
  heap_set (s, s->len++, timer);
  heap_sift_up (s, s->len - 1);
  service_rearm (s);
}

void
tmr_start_periodic (tmr_service_t *service, tmr_timer_t *timer,
                    uint64_t period_ms, tmr_fn_t fn, void *arg)
{
  timer->fn = fn;
  timer->arg = arg;
  timer->period_ms = period_ms;
  service_arm_timer (service, timer, period_ms);
}

void
tmr_start_once (tmr_service_t *service, tmr_timer_t *timer, uint64_t delay_ms,
                tmr_fn_t fn, void *arg)
{
  timer->fn = fn;
  timer->arg = arg;
  timer->period_ms = 0;
  service_arm_timer (service, timer, delay_ms);
}

void
tmr_cancel (tmr_service_t *service, tmr_timer_t *timer)
{
  timer->period_ms = 0;
  if (timer->heap_position == 0)
    return;
  heap_remove (service, timer);
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
tmr_turn_ms (const tmr_service_t *service)
{
  uint64_t now_ms = tmr_now_ms ();
  uint64_t began_ms = uv_now (service->loop);
  return now_ms > began_ms ? now_ms - began_ms : 0;
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
tmr_boottime_ms (void)
{
  return clock_us (CLOCK_BOOTTIME) / 1000;
}

uint64_t
tmr_wall_ms (void)
{
  return clock_us (CLOCK_REALTIME) / 1000;
}
