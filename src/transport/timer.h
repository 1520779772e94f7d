/// @file uv_timer.h
/// Timer service. Parts subscribe to a period or to one moment; the caller
/// owns the subscription's memory until tmr_cancel returns.
#ifndef KB_TRANSPORT_TIMER_H
#define KB_TRANSPORT_TIMER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef void (*tmr_fn_t) (void *arg);

/// The service: one uv uv_timer that serves every subscription.
typedef struct tmr_service tmr_service_t;

typedef struct tmr_timer
{
  tmr_fn_t fn;
  void *arg;
  uint64_t due_ms;        ///< Loop time.
  uint64_t period_ms;     ///< Zero for a single call.
  uint32_t heap_position; ///< Place in the heap plus one; zero when not armed.
} tmr_timer_t;

struct tmr_service
{
  uv_loop_t *loop;
  uv_timer_t uv_timer;
  tmr_timer_t **heap; ///< Binary heap by due time.
  uint32_t len;
  uint32_t cap;
};

void tmr_service_init (tmr_service_t *service, uv_loop_t *loop);
void tmr_service_finish (tmr_service_t *service);
/// Call `fn` every `period_ms`, first after one period.
void tmr_start_periodic (tmr_service_t *service, tmr_timer_t *timer,
                         uint64_t period_ms, tmr_fn_t fn, void *arg);
/// Call `fn` once after `delay_ms`; re-arms a subscription already armed.
void tmr_start_once (tmr_service_t *service, tmr_timer_t *timer,
                     uint64_t delay_ms, tmr_fn_t fn, void *arg);
/// Disarm; harmless when not armed.
void tmr_cancel (tmr_service_t *service, tmr_timer_t *timer);
/// Monotonic time in microseconds.
uint64_t tmr_now_us (void);
/// Monotonic time in milliseconds.
uint64_t tmr_now_ms (void);
/// Monotonic time in milliseconds that also counts while the VM is suspended.
uint64_t tmr_boottime_ms (void);
/// Wall-clock time in milliseconds since 1970.
uint64_t tmr_wall_ms (void);

#endif
